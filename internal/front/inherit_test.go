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

// sharedSocket opens a listening socket, as the platform holds it. It returns its address and a function that returns a
// new descriptor of it, as a process inherits it.
func sharedSocket(t *testing.T) (addr string, dup func() int) {
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
		fd, err := unix.Dup(int(f.Fd())) // a descriptor of its own, as Inherit closes it
		if err != nil {
			t.Fatal(err)
		}
		return fd
	}
}

// namedCore answers each request with its name.
type namedCore struct {
	recordingCore
	name string
}

func (n *namedCore) Arrive(q replica.Request) error {
	go q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: []byte(n.name)})
	return nil
}

func inheritedServer(t *testing.T, fd int, name string) *Server {
	t.Helper()
	s, err := Inherit(fd, 100, &namedCore{name: name}, testkit.NewClock().Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestHandOverKeepsWaitingConnections runs two servers on one socket and has the old one stop accepting. A shutdown of the
// socket would stop listening for both and reset the connections in the backlog.
func TestHandOverKeepsWaitingConnections(t *testing.T) {
	addr, dup := sharedSocket(t)
	old := inheritedServer(t, dup(), "old")
	stopped := make(chan error, 1)
	go func() { stopped <- old.Serve() }()
	sendRequest := func(want string) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.Write(callMessage("serve", 1, requestFields(), "body"))
		if want != "" {
			if h, ok := receive(t, c); !ok || h.Seq != 1 {
				t.Fatalf("%s: answer %+v, %v", want, h, ok)
			}
		}
		return c
	}
	first := sendRequest("old")
	old.HandOver()
	if h, ok := receive(t, first); !ok || h.Name != "goaway" {
		t.Fatalf("message at the hand-over: %+v, %v", h, ok)
	}
	var waiting []net.Conn
	for range 20 { // no process accepts them yet
		waiting = append(waiting, sendRequest(""))
	}
	if err := <-stopped; err != nil {
		t.Errorf("the old server stops accepting with %v", err)
	}
	if n := old.Connections(); n != 1 {
		t.Errorf("the old server holds %d connections after it has stopped accepting", n)
	}
	successor := inheritedServer(t, dup(), "new")
	go successor.Serve()
	for _, c := range waiting {
		if _, ok := receive(t, c); !ok {
			t.Fatal("a connection from the backlog has no answer")
		}
	}
	sendRequest("new")
}

// TestDrainKeepsSharedSocketListening checks that the drain of one process does not shut down the platform's socket: the
// next process accepts the waiting connections.
func TestDrainKeepsSharedSocketListening(t *testing.T) {
	addr, dup := sharedSocket(t)
	old := inheritedServer(t, dup(), "old")
	go old.Serve()
	old.Drain()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(callMessage("serve", 1, requestFields(), "body"))
	successor := inheritedServer(t, dup(), "new")
	go successor.Serve()
	if _, ok := receive(t, c); !ok {
		t.Error("the waiting connection has no answer")
	}
}

func TestInvalidDescriptorIsReported(t *testing.T) {
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
	defer lf.Close()
	notTCP, err := unix.Dup(int(lf.Fd())) // a descriptor of its own: Inherit closes it, and lf would close its number once more
	if err != nil {
		t.Fatal(err)
	}
	for fd, want := range map[int]string{closed: "is not open", int(file.Fd()): "is no socket", plain: "does not listen", notTCP: "no TCP address"} {
		if _, err := Inherit(fd, 10, nil, nil, new(counters.Set)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
