package front

import (
	"net"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
)

// held is a listening socket as the platform holds it, and what a process inherits of it.
func held(t *testing.T) (addr string, give func() int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), func() int {
		f, err := ln.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		fd, err := unix.Dup(int(f.Fd())) // its own, as Inherit closes it
		if err != nil {
			t.Fatal(err)
		}
		return fd
	}
}

// named serves with its name, so that a router sees who has answered.
type named struct {
	core
	name string
}

func (n *named) Arrive(q replica.Request) error {
	go q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: []byte(n.name)})
	return nil
}

func inheritedServer(t *testing.T, fd int, name string) *Server {
	t.Helper()
	s, err := Inherit(fd, 100, &named{name: name}, testkit.NewClock().Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestAHandOverTurnsNobodyBack has two servers on one socket. The old one stops accepting and is closed; the shutdown
// that ends listening otherwise would end it for both, and connections that wait would be reset.
func TestAHandOverTurnsNobodyBack(t *testing.T) {
	addr, give := held(t)
	old := inheritedServer(t, give(), "old")
	go old.Serve()
	ask := func(want string) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.Write(message("serve", 1, fields(), "body"))
		if want != "" {
			if h, ok := receive(t, c); !ok || h.Seq != 1 {
				t.Fatalf("%s: answer %+v, %v", want, h, ok)
			}
		}
		return c
	}
	first := ask("old")
	old.HandOver()
	if h, ok := receive(t, first); !ok || h.Name != "goaway" {
		t.Fatalf("at the hand-over: %+v, %v", h, ok)
	}
	var waiting []net.Conn
	for range 20 { // nobody accepts
		waiting = append(waiting, ask(""))
	}
	if !old.fence.pass(fenceTime * 50) {
		t.Fatal("the poller stands still")
	}
	if n := old.Connections(); n != 1 {
		t.Errorf("the old server holds %d connections after it has stopped accepting", n)
	}
	next := inheritedServer(t, give(), "new")
	go next.Serve()
	for _, c := range waiting {
		if _, ok := receive(t, c); !ok {
			t.Fatal("a connection that waited has no answer")
		}
	}
	ask("new")
}

// A usual drain of one process leaves the platform's socket alone as well: the next process takes who waits.
func TestADrainLeavesTheSharedSocketListening(t *testing.T) {
	addr, give := held(t)
	old := inheritedServer(t, give(), "old")
	go old.Serve()
	old.Leave()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(message("serve", 1, fields(), "body"))
	next := inheritedServer(t, give(), "new")
	go next.Serve()
	if _, ok := receive(t, c); !ok {
		t.Error("who waited has no answer")
	}
}

func TestABadDescriptorIsNamed(t *testing.T) {
	closed, err := unix.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(closed)
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	plain, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	path := t.TempDir() + "/s"
	local, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer local.Close()
	lf, err := local.(*net.UnixListener).File()
	if err != nil {
		t.Fatal(err)
	}
	for fd, want := range map[int]string{closed: "is not open", int(file.Fd()): "is no socket", plain: "does not listen", int(lf.Fd()): "no TCP address"} {
		if _, err := Inherit(fd, 10, nil, nil, new(counters.Set)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
