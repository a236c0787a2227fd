package index

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestCallsAreAnsweredOnce: a reply for each, none for one that is given up, a word for one that is turned away.
func TestCallsAreAnsweredOnce(t *testing.T) {
	x, err := Start(0)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	x.Shed(func(call int) bool { return call == 2 })
	c, err := net.Dial("tcp", x.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, s := range [][2]string{{"GET 0a 250 2\r\nab\r\n", "0a HIT 8\r\nfound ab\r\n"}, {"GET 0b 250 1\r\nx\r\n", "0b SHED\r\n"}, {"STOP 0a\r\nGET 0c 90 0\r\n\r\n", "0c HIT 6\r\nfound \r\n"}} {
		if _, err := io.WriteString(c, s[0]); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(s[1]))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != s[1] {
			t.Fatalf("%q is answered %q, %v", s[0], got, err)
		}
	}
	if calls, stopped := x.Calls(); calls != 3 || stopped != 0 {
		t.Errorf("%d calls, %d stopped", calls, stopped)
	}
}

// TestACallThatIsGivenUpHasNoReply, by STOP or by a second one for the same request.
func TestACallThatIsGivenUpHasNoReply(t *testing.T) {
	x, err := Start(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() { x.serve(far); close(served) }()
	if _, err := io.WriteString(near, "GET 0a 250 1\r\nx\r\nGET 0a 250 1\r\ny\r\nSTOP 0a\r\nSTOP 0a\r\nWHAT\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(near); err != nil || len(got) > 0 {
		t.Errorf("%q, %v", got, err)
	}
	<-served
	if calls, stopped := x.Calls(); calls != 2 || stopped != 2 {
		t.Errorf("%d calls, %d stopped", calls, stopped)
	}
}
