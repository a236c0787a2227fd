package front

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
	"cairnlane/internal/thrift"
)

// gatedListener is a listener that does not accept while the gate is shut, so that connections stay in the kernel's backlog.
type gatedListener struct {
	*net.TCPListener
	mu sync.Mutex // held while the gate is shut, and while a connection is accepted
}

// gatePeriod is how long the listener waits for a connection before it looks at the gate again.
const gatePeriod = time.Millisecond

func (g *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := g.acceptOnce()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

func (g *gatedListener) acceptOnce() (net.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.SetDeadline(time.Now().Add(gatePeriod)); err != nil {
		return nil, err
	}
	return g.TCPListener.Accept()
}

// holdingCore is a Core that holds requests until the test answers them.
type holdingCore struct {
	mu       sync.Mutex
	requests []replica.Request
	arrived  chan struct{}
}

func (k *holdingCore) Arrive(q replica.Request) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, q)
	k.arrived <- struct{}{}
	return nil
}
func (k *holdingCore) CountMalformed()               {}
func (k *holdingCore) CallerGone(string)             {}
func (k *holdingCore) Healthy() bool                 { return true }
func (k *holdingCore) CurrentSignal() replica.Signal { return replica.Signal{} }

// answerAll answers all held requests and returns how many there were.
func (k *holdingCore) answerAll() int {
	k.mu.Lock()
	taken := k.requests
	k.requests = nil
	k.mu.Unlock()
	for _, q := range taken {
		q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: q.Body})
	}
	return len(taken)
}

// controlledServer is a server whose acceptance, reading, clock, core and sweep are controlled by the test.
type controlledServer struct {
	*Server
	gate  *gatedListener
	core  *holdingCore
	clock *testkit.Clock
	held  [][]byte // the server's read buffers while it is kept from reading
}

// holdReading keeps the server from reading, so that input stays in the kernel for as long as a test needs.
func (st *controlledServer) holdReading() {
	for len(st.held) < cap(st.readBuffers) {
		st.held = append(st.held, <-st.readBuffers)
	}
}

// releaseReading ends holdReading.
func (st *controlledServer) releaseReading() {
	for _, buf := range st.held {
		st.readBuffers <- buf
	}
	st.held = nil
}

// awaitInput waits until a connection has input in the kernel, and its goroutine waits for its turn to read it.
func (st *controlledServer) awaitInput() {
	for waiting := false; !waiting; time.Sleep(50 * time.Microsecond) {
		for _, c := range st.openConnections() {
			kernel, _ := c.transport.input()
			waiting = waiting || kernel > 0
		}
	}
}

func newControlledServer(t *testing.T, maxConns int) *controlledServer {
	t.Helper()
	st := &controlledServer{core: &holdingCore{arrived: make(chan struct{}, 1024)}, clock: testkit.NewClock()}
	s, err := Listen("127.0.0.1:0", maxConns, st.core, st.clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	st.gate = &gatedListener{TCPListener: s.ln}
	s.acceptor.tcpListener = st.gate
	s.backlogTimeout = time.Minute
	st.Server = s
	go s.Serve()
	t.Cleanup(st.releaseReading)
	return st
}

// dial connects and waits until the server has accepted or rejected the connection.
func (st *controlledServer) dial(t *testing.T) net.Conn {
	t.Helper()
	handled := st.count.accepted.Load() + st.count.rejected.Load()
	c := dial(t, st.Server)
	for st.count.accepted.Load()+st.count.rejected.Load() == handled {
		time.Sleep(50 * time.Microsecond)
	}
	return c
}

// dialUsed connects and completes a health check.
func (st *controlledServer) dialUsed(t *testing.T) net.Conn {
	t.Helper()
	c := st.dial(t)
	c.Write(callMessage("isWell", 1, nil, ""))
	if _, ok := receive(t, c); !ok {
		t.Fatal("no answer to a health check")
	}
	st.waitQuiet()
	return c
}

// waitQuiet waits until all output has been acknowledged, which may take a kernel 40 ms, and until no connection is still in the
// last steps of processing its input: until then it is not evicted.
func (s *Server) waitQuiet() {
	for pending := true; pending; {
		pending = false
		s.mu.Lock()
		for c := range s.conns {
			c.mu.Lock()
			_, unprocessed := c.transport.input()
			pending = pending || !c.closed && (!c.out.Empty() || c.transport.unacked() > 0 || c.feeding || unprocessed > 0)
			c.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

// shutGate keeps the server from accepting. The server does not accept while the gate's lock is held.
func (st *controlledServer) shutGate() { st.gate.mu.Lock() }

// connectionEnded reports whether the server has closed a connection on which no more output is expected.
func connectionEnded(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// TestConnectionWithUnreadRequestIsNotEvicted guards against a lost request: it is in the kernel, the connection waits for its turn
// to be read, the table is full and another client connects. If the connection is evicted then, the request is lost.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	st := newControlledServer(t, 1)
	router := st.dial(t)
	st.holdReading()
	router.Write(callMessage("serve", 1, requestFields(), "body"))
	st.awaitInput()
	newcomer := st.dial(t)
	st.releaseReading()
	if !connectionEnded(newcomer) {
		t.Error("the new connection is kept although the table is full")
	}
	<-st.core.arrived
	st.core.answerAll()
	if h, ok := receive(t, router); !ok || h.Seq != 1 {
		t.Errorf("answer %+v, received %v", h, ok)
	}
}

// TestConnectionBeingReadIsNotEvicted guards against a lost request: its bytes have been taken out of the kernel and it has not
// reached the core when the table is full and another client connects.
func TestConnectionBeingReadIsNotEvicted(t *testing.T) {
	core := &blockingCore{entered: make(chan struct{}, 1), proceed: make(chan struct{})}
	s := serveCore(t, 1, core)
	router := dial(t, s)
	router.Write(callMessage("serve", 1, requestFields(), "body"))
	<-core.entered
	if newcomer := dial(t, s); !connectionEnded(newcomer) {
		t.Error("the new connection is kept although the table is full")
	}
	close(core.proceed)
	if h, ok := receive(t, router); !ok || h.Seq != 1 {
		t.Errorf("answer %+v, received %v", h, ok)
	}
}

// blockingCore is a Core that blocks in Arrive until proceed is closed.
type blockingCore struct {
	echoCore
	entered chan struct{}
	proceed chan struct{}
}

func (b *blockingCore) Arrive(q replica.Request) error {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.proceed
	return b.echoCore.Arrive(q)
}

// TestConnectionWithRequestInKernelIsNotClosedAsIdle delays the reading: a request arrives on an idle connection and is still
// in the kernel during the sweep. If the connection is closed then, the request is lost, as it arrived over 50 ms before.
func TestConnectionWithRequestInKernelIsNotClosedAsIdle(t *testing.T) {
	st := newControlledServer(t, 9)
	st.CloseIdle(time.Second)
	router, idle := st.dialUsed(t), st.dialUsed(t)
	st.holdReading()
	st.clock.Advance(2 * time.Second)
	router.Write(callMessage("serve", 2, requestFields(), "body"))
	st.awaitInput()
	st.sweep(false)
	if !connectionEnded(idle) || st.count.ended[conns.Idle].Load() != 1 {
		t.Errorf("%d connections are closed as idle, want the one without input", st.count.ended[conns.Idle].Load())
	}
	if st.CloseQuiet() {
		t.Error("CloseQuiet closes a connection with a request in the kernel")
	}
	st.releaseReading()
	<-st.core.arrived
	st.core.answerAll()
	if h, ok := receive(t, router); !ok || h.Seq != 2 {
		t.Errorf("answer %+v, received %v", h, ok)
	}
}

// TestDrainServesConnectionsInTheBacklog sends a complete request on a connection that is in the backlog when
// listening stops. The connection must not be reset.
func TestDrainServesConnectionsInTheBacklog(t *testing.T) {
	st := newControlledServer(t, 9)
	st.shutGate()
	router := dial(t, st.Server)
	router.Write(callMessage("serve", 1, requestFields(), "body"))
	drained := make(chan struct{})
	go func() { st.Drain(); close(drained) }()
	for { // open the gate only once Drain has begun
		st.mu.Lock()
		begun := st.draining
		st.mu.Unlock()
		if begun {
			break
		}
	}
	st.gate.mu.Unlock()
	<-drained
	<-st.core.arrived
	st.core.answerAll()
	var names []string
	for range 2 {
		h, _ := receive(t, router)
		names = append(names, h.Name)
	}
	if slices.Sort(names); !slices.Equal(names, []string{"goaway", "serve"}) {
		t.Errorf("the router receives %v", names)
	}
}

// TestRequestBeforeGarbageIsAnswered checks that malformed input does not close a connection before its open calls
// are answered.
func TestRequestBeforeGarbageIsAnswered(t *testing.T) {
	st := newControlledServer(t, 9)
	c := st.dial(t)
	c.Write(callMessage("serve", 1, requestFields(), "body"))
	<-st.core.arrived
	c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	for st.takesCalls(&testPeer{Conn: c}) {
		time.Sleep(50 * time.Microsecond) // until the server has read the garbage
	}
	st.sweep(false)
	st.core.answerAll()
	if h, ok := receive(t, c); !ok || h.Seq != 1 {
		t.Fatalf("answer %+v, received %v", h, ok)
	}
	st.waitQuiet()
	for st.count.ended[conns.Malformed].Load() == 0 { // the clock does not wait for the connection's goroutine, which removes it
		st.sweep(false)
		if st.clock.Now() > testkit.StartTime+3*time.Second {
			t.Fatal("the connection is open for over 3 s")
		}
		st.clock.Advance(sweepPeriod)
	}
	if !connectionEnded(c) {
		t.Error("the connection is not closed")
	}
	eventually(t, "the removal of the connection", func() bool { return st.Connections() == 0 })
}

// TestPeerThatKeepsSendingGarbageIsDisconnected checks that the dropped input of a connection is bounded.
func TestPeerThatKeepsSendingGarbageIsDisconnected(t *testing.T) {
	st := newControlledServer(t, 9)
	c := st.dial(t)
	c.Write(callMessage("serve", 1, requestFields(), "body"))
	<-st.core.arrived
	c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	for err := error(nil); err == nil; { // no sweep runs, and the clock stands still
		_, err = c.Write(make([]byte, 16<<10))
	}
	eventually(t, "the removal of the connection", func() bool { return st.Connections() == 0 })
	st.core.answerAll() // the answer is dropped without an assertion failure
}

// TestNewConnectionIsNotEvictedFirst fills the table with connections that have carried one health check. A new
// connection must not be evicted by the next one before anything is read from it.
func TestNewConnectionIsNotEvictedFirst(t *testing.T) {
	st := newControlledServer(t, 8)
	var holders []net.Conn
	for range 8 {
		holders = append(holders, st.dialUsed(t))
	}
	st.clock.Advance(time.Second)
	first, second := st.dial(t), st.dial(t)
	for _, c := range []net.Conn{first, second} {
		c.Write(callMessage("serve", 1, requestFields(), "body"))
		<-st.core.arrived
		st.core.answerAll()
		if h, ok := receive(t, c); !ok || h.Seq != 1 {
			t.Errorf("the new connection receives %+v, %v", h, ok)
		}
	}
	if !connectionEnded(holders[0]) || !connectionEnded(holders[1]) {
		t.Error("the connections unused for longest are kept")
	}
}

// TestSilentConnectionsAreBoundedAndTimeOut opens hundreds of connections and sends nothing on them.
func TestSilentConnectionsAreBoundedAndTimeOut(t *testing.T) {
	st := newControlledServer(t, 16)
	router := st.dialUsed(t)
	for range 300 {
		st.dial(t)
		if n := st.Connections(); n > 16 {
			t.Fatalf("%d connections", n)
		}
		st.clock.Advance(time.Millisecond)
	}
	router.Write(callMessage("isWell", 2, nil, ""))
	if _, ok := receive(t, router); !ok {
		t.Error("the router's connection is evicted before the silent ones")
	}
	st.clock.Advance(conns.FirstCallTimeout)
	open := st.Connections()
	st.sweep(false)
	if n := st.count.ended[conns.Overdue].Load(); n != int64(open-1) {
		t.Errorf("%d of %d connections are closed as overdue, want all but one", n, open)
	}
	eventually(t, "one connection after the silent ones are overdue", func() bool { return st.Connections() == 1 })
}

// TestPartialRequestIsNotEvictedBySilentConnections writes half a request, opens silent connections for many times the
// table's size during 2 s, and writes the rest. The connection must not be evicted as if it were silent.
func TestPartialRequestIsNotEvictedBySilentConnections(t *testing.T) {
	st := newControlledServer(t, 16)
	slow, request := st.dial(t), callMessage("isWell", 1, nil, "")
	slow.Write(request[:len(request)/2])
	for st.count.bytesIn.Load() < int64(len(request)/2) {
		time.Sleep(time.Millisecond)
	}
	for range 200 {
		st.dial(t)
		st.clock.Advance(10 * time.Millisecond)
	}
	st.sweep(false)
	slow.Write(request[len(request)/2:])
	if _, ok := receive(t, slow); !ok {
		t.Error("a request that took 2 s to write is lost")
	}
}

// delayedClose is a transport whose Close takes effect only when the test lets it.
type delayedClose struct {
	*socket
	begun chan struct{}
}

func (d delayedClose) Close() error {
	close(d.begun)
	return nil
}

// TestConnectionBeingClosedKeepsItsPlace guards against more connections than the limit: an evicted connection that another
// goroutine had still to close no longer counted, although it held its descriptor.
func TestConnectionBeingClosedKeepsItsPlace(t *testing.T) {
	st := newControlledServer(t, 1)
	st.dialUsed(t)
	st.clock.Advance(time.Second)
	st.mu.Lock()
	var victim *conn
	for victim = range st.conns {
	}
	st.mu.Unlock()
	delayed := delayedClose{victim.transport.(*socket), make(chan struct{})}
	victim.mu.Lock()
	victim.transport = delayed
	victim.mu.Unlock()
	if early := st.dial(t); !connectionEnded(early) {
		t.Error("a connection is accepted before the evicted one is closed")
	}
	<-delayed.begun
	if n := st.Connections(); n > 1 {
		t.Errorf("%d connections, the limit is 1", n)
	}
	delayed.socket.Close()
	late := st.dial(t)
	late.Write(callMessage("isWell", 1, nil, ""))
	if _, ok := receive(t, late); !ok {
		t.Error("no connection is accepted after the evicted one is closed")
	}
}

// testPeer is the router's side of one connection in the random steps.
type testPeer struct {
	net.Conn
	seq       int32  // the last number used
	unwritten []byte // the rest of the request that is being written
	buffered  []byte
	requests  int // requests written completely while the server accepted calls on the connection
	answers   int // answers received
}

// read reads the available input and reports whether the connection is closed.
func (p *testPeer) read(rt *rapid.T) (closed bool) {
	p.SetReadDeadline(time.Now().Add(time.Millisecond))
	buf := make([]byte, 4096)
	n, err := p.Read(buf)
	p.buffered = append(p.buffered, buf[:n]...)
	for {
		frame, rest, ferr := thrift.Frame(p.buffered)
		if ferr != nil {
			rt.Fatal(ferr)
		}
		if frame == nil {
			return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		}
		p.answers, p.buffered = p.answers+1, rest
	}
}

// takesCalls reports whether the server holds the connection of that peer and accepts calls on it.
func (st *controlledServer) takesCalls(p *testPeer) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for c := range st.conns {
		if c.transport.RemoteAddr().String() == p.LocalAddr().String() {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.ending.AcceptsCalls()
		}
	}
	return false
}

// TestRequestsWrittenBeforeCloseAreAnswered performs random steps on a server over loopback. Whenever a connection is
// closed, for any reason, each request that was completely written before must have been answered.
func TestRequestsWrittenBeforeCloseAreAnswered(t *testing.T) {
	st := newControlledServer(t, 4)
	st.CloseIdle(3 * time.Second)
	var peers []*testPeer
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		st.releaseReading()
		for _, p := range peers {
			p.Close()
		}
		peers = nil
		pick := func(rt *rapid.T) *testPeer {
			if len(peers) == 0 {
				rt.Skip()
			}
			return peers[rapid.IntRange(0, len(peers)-1).Draw(rt, "peer")]
		}
		readAnswers := func(rt *rapid.T) {
			st.releaseReading()
			for _, p := range peers {
				for over := false; p.answers < p.requests; {
					if over {
						rt.Fatalf("%d of %d requests are answered when the connection is closed", p.answers, p.requests)
					}
					st.core.answerAll()
					over = p.read(rt)
				}
			}
		}
		return map[string]func(*rapid.T){
			"dial": func(rt *rapid.T) {
				if len(peers) < 12 {
					peers = append(peers, &testPeer{Conn: st.dial(t)})
				}
			},
			"write": func(rt *rapid.T) {
				p := pick(rt)
				if len(p.unwritten) == 0 {
					p.seq++
					p.unwritten = callMessage("serve", p.seq, requestFields(), "body")
				}
				n := rapid.IntRange(1, len(p.unwritten)).Draw(rt, "bytes")
				if rapid.Bool().Draw(rt, "whole") {
					n = len(p.unwritten)
				}
				takesCalls := st.takesCalls(p)
				_, err := p.Write(p.unwritten[:n])
				if p.unwritten = p.unwritten[n:]; len(p.unwritten) == 0 && takesCalls && err == nil {
					p.requests++
				}
			},
			"hold":    func(*rapid.T) { st.holdReading() },
			"release": func(*rapid.T) { st.releaseReading() },
			"answer":  func(*rapid.T) { st.core.answerAll() },
			"wait":    func(*rapid.T) { st.clock.Advance(time.Second) },
			"sweep":   func(*rapid.T) { st.sweep(false) },
			"settle":  readAnswers,
			"": func(rt *rapid.T) {
				if n := st.Connections(); n > 4 {
					rt.Fatalf("%d connections", n)
				}
			},
		}
	})
	for _, why := range []conns.Reason{conns.Evicted, conns.Idle, conns.Overdue} {
		if st.count.ended[why].Load() == 0 {
			t.Errorf("no connection was closed as %v in any step", why)
		}
	}
}
