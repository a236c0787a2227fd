package engine

import (
	"io"
	"net"
	"testing"
	"time"

	"cairnlane/internal/standin/index"
)

// TestRunsWaitForTheirCalls: each asks once, is fed or goes on without, and what is not its wait is turned down.
func TestRunsWaitForTheirCalls(t *testing.T) {
	e := New(func(string) time.Duration { return 0 })
	e.Calls(true)
	a, err := e.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	say := func(out, in string) {
		t.Helper()
		if _, err := io.WriteString(c, out); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(in))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != in {
			t.Fatalf("%q is answered %q, %v", out, got, err)
		}
	}
	say("ATTACH 0\r\n", "HELLO running 60000\r\n")
	say("RUN 0a read 2\r\nab\r\n", "NEED 1 0a 11\r\ncall for ab\r\n")
	if e.Most() != 0 || e.Ran("ab") != 1 {
		t.Errorf("%d on the cores before its call, begun %d times", e.Most(), e.Ran("ab"))
	}
	say("SKIP 0a 7\r\n", "NO SKIP 0a\r\n") // another notice
	say("FEED 0a 17\r\n"+index.Reply("call for ab")+"\r\n", "DONE 2 0a fine 0 6\r\ndid ab\r\n")
	say("FEED 0a 1\r\nx\r\n", "NO FEED 0a\r\n")
	say("RUN 0b read 1\r\nx\r\n", "NEED 3 0b 10\r\ncall for x\r\n")
	say("SKIP 0b 3\r\n", "DONE 4 0b fine 0 5\r\ndid x\r\n")
	say("RUN 0c read 1\r\ny\r\n", "NEED 5 0c 10\r\ncall for y\r\n")
	say("FEED 0c 7\r\nanother\r\n", "DONE 6 0c fine 0 5\r\ndid y\r\n")
	if fed, skipped, wrong := e.Fed(); fed != 1 || skipped != 1 || wrong != 1 {
		t.Errorf("fed %d, skipped %d, wrong %d", fed, skipped, wrong)
	}
}
