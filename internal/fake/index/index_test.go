package index

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestEachCallIsAnsweredOnce checks that each call gets one reply, SHED if it is rejected, and that a STOP after the reply is ignored.
func TestEachCallIsAnsweredOnce(t *testing.T) {
	x, err := Start(0)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	x.RejectIf(func(call int) bool { return call == 2 })
	conn, err := net.Dial("tcp", x.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, exchange := range [][2]string{{"GET 0a 250 2\r\nab\r\n", "0a HIT 8\r\nfound ab\r\n"}, {"GET 0b 250 1\r\nx\r\n", "0b SHED\r\n"}, {"STOP 0a\r\nGET 0c 90 0\r\n\r\n", "0c HIT 6\r\nfound \r\n"}} {
		send, want := exchange[0], exchange[1]
		if _, err := io.WriteString(conn, send); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
			t.Fatalf("after %q: read %q, %v, want %q", send, got, err, want)
		}
	}
	if calls, abandoned := x.CallCounts(); calls != 3 || abandoned != 0 {
		t.Errorf("%d calls, %d of them abandoned, want 3 and 0", calls, abandoned)
	}
}

// TestAbandonedCallGetsNoReply checks calls that are abandoned by STOP and by a second call for the same request.
func TestAbandonedCallGetsNoReply(t *testing.T) {
	x, err := Start(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	client, server := net.Pipe()
	served := make(chan struct{})
	go func() { x.serve(server); close(served) }()
	if _, err := io.WriteString(client, "GET 0a 250 1\r\nx\r\nGET 0a 250 1\r\ny\r\nSTOP 0a\r\nSTOP 0a\r\nWHAT\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(client); err != nil || len(got) > 0 {
		t.Errorf("read %q, %v, want no reply", got, err)
	}
	<-served
	if calls, abandoned := x.CallCounts(); calls != 2 || abandoned != 2 {
		t.Errorf("%d calls, %d of them abandoned, want 2 and 2", calls, abandoned)
	}
}
