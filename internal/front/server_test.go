package front

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
	"cairnlane/internal/thrift"
)

// echoCore is a Core that answers each request with its own body at once.
type echoCore struct{ recordingCore }

func (e *echoCore) Arrive(q replica.Request) error {
	go q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: q.Body})
	return nil
}

func serve(t *testing.T, maxConns int) *Server { return serveCore(t, maxConns, new(echoCore)) }

func serveCore(t *testing.T, maxConns int, c Core) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", maxConns, c, testkit.NewClock().Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	go s.Sweep(t.Context())
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// receive reads one message and returns its header; ok is false at the end of the connection.
func receive(t *testing.T, c net.Conn) (h thrift.Header, ok bool) {
	t.Helper()
	var in []byte
	for {
		if p, _, err := thrift.Frame(in); err != nil {
			t.Fatal(err)
		} else if p != nil {
			return thrift.NewReader(p).Header(), true
		}
		b := make([]byte, 1)
		if _, err := c.Read(b); err != nil {
			return h, false
		}
		in = append(in, b[0])
	}
}

func TestServeAndDrainOverSockets(t *testing.T) {
	s := serve(t, 10)
	c, garbage := dial(t, s), dial(t, s)
	c.Write(callMessage("serve", 1, requestFields(), "body"))
	if h, ok := receive(t, c); !ok || h.Type != thrift.Reply || h.Seq != 1 {
		t.Fatalf("answer %+v, %v", h, ok)
	}
	if s.count.bytesIn.Load() == 0 || s.count.bytesOut.Load() == 0 {
		t.Errorf("counted %d bytes in, %d out", s.count.bytesIn.Load(), s.count.bytesOut.Load())
	}
	garbage.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if _, ok := receive(t, garbage); ok {
		t.Error("garbage is answered")
	}
	s.Drain()
	if h, ok := receive(t, c); !ok || h.Name != "goaway" || h.Type != thrift.Oneway {
		t.Errorf("message after Drain: %+v, %v", h, ok)
	}
	c.Write(callMessage("serve", 2, requestFields(), "crossing")) // a request that crosses the goaway is still answered
	if h, ok := receive(t, c); !ok || h.Seq != 2 {
		t.Errorf("answer %+v, %v", h, ok)
	}
	accepted := s.count.accepted.Load()
	if c, err := net.Dial("tcp", s.Addr()); err == nil { // another program may listen there by now, as the port is free
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(callMessage("isWell", 3, nil, ""))
		c.Read(make([]byte, 1))
		c.Close()
		if s.count.accepted.Load() != accepted {
			t.Error("a connection is accepted after Drain")
		}
	}
}

func TestConnectionsOverLimitAreClosed(t *testing.T) {
	s := serveCore(t, 1, new(recordingCore)) // it never answers requests
	first := dial(t, s)
	first.Write(append(callMessage("serve", 1, requestFields(), ""), callMessage("isWell", 2, nil, "")...))
	if _, ok := receive(t, first); !ok {
		t.Fatal("no answer on the first connection")
	}
	if _, ok := receive(t, dial(t, s)); ok {
		t.Error("a second connection is served")
	}
}

func TestIdleConnectionsAreClosedOnlyAfterTimeoutIsSet(t *testing.T) {
	clock := testkit.NewClock()
	s, err := Listen("127.0.0.1:0", 9, new(echoCore), clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	c := dial(t, s)
	c.Write(callMessage("isWell", 1, nil, ""))
	receive(t, c)
	s.waitQuiet()
	clock.Advance(time.Minute)
	s.sweep(false)
	if n := s.Connections(); n != 1 {
		t.Errorf("%d connections before a timeout is set, want 1", n)
	}
	s.CloseIdle(time.Second)
	s.sweep(false)
	if _, ok := receive(t, c); ok || s.count.ended[conns.Idle].Load() != 1 {
		t.Errorf("an idle connection is kept, %d closed as idle", s.count.ended[conns.Idle].Load())
	}
}

// TestFullTableEvictsLeastUsedConnection checks that a full table evicts a connection without calls rather than
// reject a new one, which may be a router's.
func TestFullTableEvictsLeastUsedConnection(t *testing.T) {
	s := serve(t, 3)
	check := func(c net.Conn) bool {
		c.Write(callMessage("isWell", 1, nil, ""))
		_, ok := receive(t, c)
		return ok
	}
	used, silent, partial := dial(t, s), dial(t, s), dial(t, s)
	if !check(used) {
		t.Fatal("no answer")
	}
	read := s.count.bytesIn.Load()
	partial.Write([]byte{0}) // it connected after the silent one and has sent a byte
	eventually(t, "the byte to be read", func() bool { return s.count.bytesIn.Load() > read })
	for range 2 {
		s.waitQuiet()
		if !check(dial(t, s)) {
			t.Fatal("a router is rejected although there are connections without calls")
		}
	}
	for _, c := range []net.Conn{silent, partial} {
		if _, ok := receive(t, c); ok {
			t.Error("a connection without calls receives a message")
		}
	}
	used.Write(callMessage("isWell", 2, nil, ""))
	if _, ok := receive(t, used); !ok {
		t.Error("a connection with a call is evicted before those without")
	}
}

// TestOversizedFrameIsRejectedFromItsHeader checks that a frame that is too long is rejected before its contents have been
// read.
func TestOversizedFrameIsRejectedFromItsHeader(t *testing.T) {
	s := serve(t, 3)
	c := dial(t, s)
	sent, err := c.Write(append([]byte{3, 0x93, 0x87, 0}, make([]byte, 60_000_000)...))
	if err == nil {
		t.Error("60 MB are accepted")
	}
	if n, err := receiveBuffer(s.ln); err != nil || n > 2*readBuffer {
		t.Errorf("the kernel's receive buffer has %d bytes (%v)", n, err)
	}
	if in := s.count.bytesIn.Load(); in > maxFeed || s.count.ended[conns.Malformed].Load() != 1 {
		t.Errorf("%d of %d sent bytes were parsed", in, sent)
	}
}

// receiveBuffer returns the size of the kernel's receive buffer of a listener's connections.
func receiveBuffer(ln *net.TCPListener) (n int, err error) {
	sys, err := ln.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := sys.Control(func(fd uintptr) { n, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) })
	return n, errors.Join(failed, err)
}

// TestRouterThatDoesNotReadDoesNotBlockOthers checks that a router that never reads its answers is disconnected once its
// output buffer is full, while others are served.
func TestRouterThatDoesNotReadDoesNotBlockOthers(t *testing.T) {
	s := serve(t, 10)
	nonReading, other := dial(t, s), dial(t, s)
	var err error
	for seq := int32(1); err == nil; seq++ { // until the connection is closed because of its unread answers
		_, err = nonReading.Write(callMessage("serve", seq, requestFields(), strings.Repeat("x", maxBody)))
	}
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("a router that does not read is never disconnected")
	}
	other.Write(callMessage("serve", 1, requestFields(), "body"))
	if h, ok := receive(t, other); !ok || h.Seq != 1 {
		t.Errorf("the other router receives %+v, %v", h, ok)
	}
}

// TestConnectionsAreRejectedWithoutDescriptors checks that connections are rejected while the process is out of descriptors,
// and that those that arrive later are served.
func TestConnectionsAreRejectedWithoutDescriptors(t *testing.T) {
	if os.Getenv(ownProcessEnv) == "" {
		runInOwnProcess(t)
		return
	}
	s, err := Listen("127.0.0.1:0", 100, new(echoCore), testkit.NewClock().Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	early := []net.Conn{dial(t, s), dial(t, s)} // they are in the backlog
	var oldLimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &oldLimit); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: min(oldLimit.Cur, 256), Max: oldLimit.Max}); err != nil {
		t.Fatal(err)
	}
	var descriptors []int
	for {
		fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			break
		}
		descriptors = append(descriptors, fd)
	}
	go s.Serve()
	for _, c := range early {
		if _, ok := receive(t, c); ok {
			t.Error("a rejected connection receives a message")
		}
	}
	for _, fd := range descriptors {
		unix.Close(fd)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &oldLimit); err != nil {
		t.Fatal(err)
	}
	if n := s.count.rejected.Load(); n != 2 || s.count.accepted.Load() != 0 {
		t.Errorf("%d rejected, %d accepted; want 2 and 0", n, s.count.accepted.Load())
	}
	late := dial(t, s)
	if _, err := late.Write(callMessage("serve", 1, requestFields(), "b")); err != nil {
		t.Fatal(err)
	}
	if h, ok := receive(t, late); !ok || h.Seq != 1 {
		t.Errorf("answer once descriptors are free: %+v, %v", h, ok)
	}
}

// ownProcessEnv is set in the process that runInOwnProcess starts.
const ownProcessEnv = "FRONT_TEST_ALONE"

// runInOwnProcess runs the test in another process, as descriptors that other tests close late would become available
// to it in this one.
func runInOwnProcess(t *testing.T) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), ownProcessEnv+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

// TestConnectionIsClosedOnce checks that a connection is closed and counted once when two goroutines close it at the same
// time, for example the sweep and the connection's writer.
func TestConnectionIsClosedOnce(t *testing.T) {
	s := serve(t, 100)
	client := dial(t, s)
	if _, err := client.Write(callMessage("isWell", 1, nil, "")); err != nil {
		t.Fatal(err)
	}
	if _, ok := receive(t, client); !ok {
		t.Fatal("no answer")
	}
	s.mu.Lock()
	var c *conn
	for c = range s.conns {
	}
	s.mu.Unlock()
	if a := c.decide(conns.Broken); a != conns.Close {
		t.Fatalf("action %v", a)
	}
	s.apply(c, conns.Close)
	s.apply(c, conns.Close)
	if _, ok := receive(t, client); ok {
		t.Error("the connection is still open")
	}
	if n := s.count.ended[conns.Broken].Load(); n != 1 {
		t.Errorf("the close is counted %d times", n)
	}
}
