package engine

import (
	"io"
	"net"
	"testing"
	"time"

	"cairnlane/internal/fake/index"
)

// TestRunStartsAfterItsIndexCallEnds checks that each run sends one NEED, starts its work only after FEED or SKIP, and that FEED and
// SKIP without a matching open call are rejected.
func TestRunStartsAfterItsIndexCallEnds(t *testing.T) {
	engine := New(func(string) time.Duration { return 0 })
	engine.SetIndexCalls(true)
	addr, err := engine.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer addr.Close()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	exchange := func(send, want string) {
		t.Helper()
		if _, err := io.WriteString(conn, send); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
			t.Fatalf("after %q: read %q, %v, want %q", send, got, err, want)
		}
	}
	exchange("ATTACH 0\r\n", "HELLO running 60000\r\n")
	exchange("RUN 0a read 2\r\nab\r\n", "NEED 1 0a 11\r\ncall for ab\r\n")
	if engine.MaxRunning() != 0 || engine.RunCount("ab") != 1 {
		t.Errorf("before the end of the call: %d runs at work, want 0; begun %d times, want 1", engine.MaxRunning(), engine.RunCount("ab"))
	}
	exchange("SKIP 0a 7\r\n", "NO SKIP 0a\r\n") // not the number of the call's NEED notice
	exchange("FEED 0a 17\r\n"+index.Reply("call for ab")+"\r\n", "DONE 2 0a fine 0 6\r\ndid ab\r\n")
	exchange("FEED 0a 1\r\nx\r\n", "NO FEED 0a\r\n")
	exchange("RUN 0b read 1\r\nx\r\n", "NEED 3 0b 10\r\ncall for x\r\n")
	exchange("SKIP 0b 3\r\n", "DONE 4 0b fine 0 5\r\ndid x\r\n")
	exchange("RUN 0c read 1\r\ny\r\n", "NEED 5 0c 10\r\ncall for y\r\n")
	exchange("FEED 0c 7\r\nanother\r\n", "DONE 6 0c fine 0 5\r\ndid y\r\n")
	if fed, skipped, wrong := engine.CallCounts(); fed != 1 || skipped != 1 || wrong != 1 {
		t.Errorf("fed %d, skipped %d, wrong %d, want 1 of each", fed, skipped, wrong)
	}
}
