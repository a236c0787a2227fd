package front

import (
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

// echo is a Core that serves each request with its own body at once.
type echo struct{ core }

func (e *echo) Arrive(q replica.Request) error {
	go q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: q.Body})
	return nil
}

func serve(t *testing.T, most int) *Server { return serveBy(t, most, new(echo)) }

func serveBy(t *testing.T, most int, c Core) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", most, c, testkit.NewClock().Now, new(counters.Set))
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

func TestServesOverRealSocketsAndParts(t *testing.T) {
	s := serve(t, 10)
	c, bad := dial(t, s), dial(t, s)
	c.Write(message("serve", 1, fields(), "body"))
	if h, ok := receive(t, c); !ok || h.Type != thrift.Reply || h.Seq != 1 {
		t.Fatalf("answer %+v, %v", h, ok)
	}
	if s.count.bytesIn.Load() == 0 || s.count.bytesOut.Load() == 0 { // what was sent used to go uncounted
		t.Errorf("%d bytes in, %d out", s.count.bytesIn.Load(), s.count.bytesOut.Load())
	}
	bad.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if _, ok := receive(t, bad); ok {
		t.Error("garbage is answered")
	}
	s.Leave()
	if h, ok := receive(t, c); !ok || h.Name != "goaway" || h.Type != thrift.Oneway {
		t.Errorf("on leaving: %+v, %v", h, ok)
	}
	c.Write(message("serve", 2, fields(), "crossing")) // a request that crosses the goaway is still answered
	if h, ok := receive(t, c); !ok || h.Seq != 2 {
		t.Errorf("answer %+v, %v", h, ok)
	}
	accepted := s.count.accepted.Load()
	if c, err := net.Dial("tcp", s.Addr()); err == nil { // it may be another program's by now, as the port is free
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(message("isWell", 3, nil, ""))
		c.Read(make([]byte, 1))
		c.Close()
		if s.count.accepted.Load() != accepted {
			t.Error("connects after leaving")
		}
	}
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	s := serveBy(t, 1, new(core)) // which leaves its requests open
	first := dial(t, s)
	first.Write(append(message("serve", 1, fields(), ""), message("isWell", 2, nil, "")...))
	if _, ok := receive(t, first); !ok {
		t.Fatal("no answer on the first connection")
	}
	if _, ok := receive(t, dial(t, s)); ok {
		t.Error("a second connection is served")
	}
}

func TestIdleConnectionsAreClosedOnlyOnceSet(t *testing.T) {
	clock := testkit.NewClock()
	s, err := Listen("127.0.0.1:0", 9, new(echo), clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	c := dial(t, s)
	c.Write(message("isWell", 1, nil, ""))
	receive(t, c)
	s.settle()
	clock.Advance(time.Minute)
	s.sweep(false)
	if n := s.Connections(); n != 1 {
		t.Errorf("%d connections before a time was set, want 1", n)
	}
	s.CloseIdle(time.Second)
	s.sweep(false)
	if _, ok := receive(t, c); ok || s.count.ended[conns.Idle].Load() != 1 {
		t.Errorf("an idle connection is kept, %d ended so", s.count.ended[conns.Idle].Load())
	}
}

// A full table used to turn away whoever came next, which could be a router.
func TestAFullTableClosesWhatIsLeastMissed(t *testing.T) {
	s := serve(t, 3)
	ask := func(c net.Conn) bool {
		c.Write(message("isWell", 1, nil, ""))
		_, ok := receive(t, c)
		return ok
	}
	used, silent, begun := dial(t, s), dial(t, s), dial(t, s)
	if !ask(used) {
		t.Fatal("no answer")
	}
	begun.Write([]byte{0}) // it connected after the silent one, and something has come in
	for range 2 {
		if !ask(dial(t, s)) {
			t.Fatal("a router is turned away though others hold connections for nothing")
		}
	}
	for _, c := range []net.Conn{silent, begun} {
		if _, ok := receive(t, c); ok {
			t.Error("one that never called is answered")
		}
	}
	used.Write(message("isWell", 2, nil, ""))
	if _, ok := receive(t, used); !ok {
		t.Error("one that has called is closed before those that never did")
	}
}

// A frame that is too long used to be known only after netpoll had gathered what there was of it.
func TestAHugeFrameIsEndedAtItsFirstBytes(t *testing.T) {
	s := serve(t, 3)
	c := dial(t, s)
	sent, err := c.Write(append([]byte{3, 0x93, 0x87, 0}, make([]byte, 60_000_000)...))
	if err == nil {
		t.Error("60 MB are taken")
	}
	if n, err := syscall.GetsockoptInt(s.ln.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF); err != nil || n > 2*readBuffer {
		t.Errorf("the kernel takes %d bytes of what was not read (%v)", n, err)
	}
	if in := s.count.bytesIn.Load(); in > chunk || s.count.ended[conns.Garbage].Load() != 1 {
		t.Errorf("%d bytes were looked at of %d sent", in, sent)
	}
}

// A router that never reads fills its own output and loses its own connection; others are served.
func TestARouterThatDoesNotReadStallsNobodyElse(t *testing.T) {
	s := serve(t, 10)
	deaf, other := dial(t, s), dial(t, s)
	var err error
	for seq := int32(1); err == nil; seq++ { // until its connection is closed for what it leaves unread
		_, err = deaf.Write(message("serve", seq, fields(), strings.Repeat("x", maxBody)))
	}
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("a router that does not read is never cut off")
	}
	other.Write(message("serve", 1, fields(), "body"))
	if h, ok := receive(t, other); !ok || h.Seq != 1 {
		t.Errorf("the other router gets %+v, %v", h, ok)
	}
}

// Without descriptors netpoll used to accept from a goroutine of its own, beside the poller, once there were some again.
// Who comes meanwhile is turned away by the poller itself, and who comes later is served.
func TestWithoutDescriptorsThePollerTurnsAway(t *testing.T) {
	if os.Getenv(aloneVariable) == "" {
		alone(t)
		return
	}
	s, err := Listen("127.0.0.1:0", 100, new(echo), testkit.NewClock().Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	early := []net.Conn{dial(t, s), dial(t, s)} // they wait to be accepted
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	ln := newAccepting(s.ln, s.count.turned)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: min(was.Cur, 256), Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	var held []int
	for {
		fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			break
		}
		held = append(held, fd)
	}
	go s.loop.Serve(ln)
	for _, c := range early {
		if _, ok := receive(t, c); ok {
			t.Error("a message without a call")
		}
	}
	for _, fd := range held {
		unix.Close(fd)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if n := s.count.turned.Load(); n != 2 || s.count.accepted.Load() != 0 {
		t.Errorf("%d turned away, %d accepted", n, s.count.accepted.Load())
	}
	late := dial(t, s)
	if _, err := late.Write(message("serve", 1, fields(), "b")); err != nil {
		t.Fatal(err)
	}
	if h, ok := receive(t, late); !ok || h.Seq != 1 {
		t.Errorf("with descriptors again: %+v, %v", h, ok)
	}
}

// aloneVariable marks the process of a test that needs one of its own.
const aloneVariable = "FRONT_TEST_ALONE"

// alone runs the test in a process of its own: what others of this one close late would free descriptors.
func alone(t *testing.T) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), aloneVariable+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

// Two that end one connection at the same moment, the sweep and its writer say, end it once.
func TestAnEndIsCarriedOutOnce(t *testing.T) {
	s := serve(t, 100)
	peer := dial(t, s)
	if _, err := peer.Write(message("isWell", 1, nil, "")); err != nil {
		t.Fatal(err)
	}
	if _, ok := receive(t, peer); !ok {
		t.Fatal("no answer")
	}
	s.mu.Lock()
	var c *conn
	for c = range s.conns {
	}
	s.mu.Unlock()
	if a := c.look(conns.Broken); a != conns.Close {
		t.Fatalf("action %v", a)
	}
	s.act(c, conns.Close)
	s.act(c, conns.Close)
	if _, ok := receive(t, peer); ok {
		t.Error("it goes on")
	}
	if n := s.count.ended[conns.Broken].Load(); n != 1 {
		t.Errorf("it ended %d times", n)
	}
}
