package front

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"pgregory.net/rapid"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
	"cairnlane/internal/thrift"
)

// taskRunner replaces netpoll's runner. It can delay the tasks of a server's connections, so that input stays
// in the reader for as long as a test needs.
type taskRunner struct {
	mu      sync.Mutex
	holding bool
	held    []func()
	queued  chan struct{}
}

var runner = &taskRunner{queued: make(chan struct{}, 1024)}

func (q *taskRunner) run(ctx context.Context, f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ours := ctx.Value(connKey{}).(*conn); !ours || !q.holding {
		go f()
		return
	}
	q.held = append(q.held, f)
	q.queued <- struct{}{}
}

func (q *taskRunner) hold() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holding = true
}

func (q *taskRunner) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.held {
		go f()
	}
	for len(q.queued) > 0 {
		<-q.queued
	}
	q.holding, q.held = false, nil
}

func TestMain(m *testing.M) {
	if err := netpoll.Configure(netpoll.Config{Runner: runner.run}); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// gatedListener is a listener that blocks the poller in Accept while the gate is shut, so that input stays in the kernel.
type gatedListener struct {
	netpoll.Listener
	mu      sync.Mutex // held while the gate is shut
	reached chan struct{}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	select {
	case g.reached <- struct{}{}:
	default:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Listener.Accept()
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

// controlledServer is a server whose poller, tasks, clock, core and sweep are controlled by the test.
type controlledServer struct {
	*Server
	gate  *gatedListener
	core  *holdingCore
	clock *testkit.Clock
}

func newControlledServer(t *testing.T, maxConns int) *controlledServer {
	t.Helper()
	st := &controlledServer{core: &holdingCore{arrived: make(chan struct{}, 1024)}, clock: testkit.NewClock()}
	s, err := Listen("127.0.0.1:0", maxConns, st.core, st.clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	st.gate = &gatedListener{Listener: s.ln, reached: make(chan struct{}, 1)}
	s.ln = st.gate
	s.backlogTimeout = time.Minute
	st.Server = s
	go s.Serve()
	t.Cleanup(runner.release)
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
	st.waitAcked()
	return c
}

// waitAcked waits until all output has been acknowledged, which may take a kernel 40 ms.
func (s *Server) waitAcked() {
	for pending := true; pending; {
		pending = false
		s.mu.Lock()
		for c := range s.conns {
			c.mu.Lock()
			pending = pending || !c.closed && (!c.out.Empty() || c.transport.unacked() > 0)
			c.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

// stallPoller shuts the gate and waits until the poller is blocked in Accept.
func (st *controlledServer) stallPoller(t *testing.T) {
	t.Helper()
	select {
	case <-st.gate.reached:
	default:
	}
	st.gate.mu.Lock()
	dial(t, st.Server)
	<-st.gate.reached
}

// connectionEnded reports whether the server has closed a connection on which no more output is expected.
func connectionEnded(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// TestConnectionWithRequestInReaderIsNotEvicted guards against a lost request: its bytes have been read, its task has not
// begun, the table is full and another client connects. If the connection is evicted then, the task still handles the
// request and the answer is dropped.
func TestConnectionWithRequestInReaderIsNotEvicted(t *testing.T) {
	st := newControlledServer(t, 1)
	router := st.dial(t)
	runner.hold()
	router.Write(callMessage("serve", 1, requestFields(), "body"))
	<-runner.queued
	newcomer := st.dial(t)
	runner.release()
	if !connectionEnded(newcomer) {
		t.Error("the new connection is kept although the table is full")
	}
	<-st.core.arrived
	st.core.answerAll()
	if h, ok := receive(t, router); !ok || h.Seq != 1 {
		t.Errorf("answer %+v, received %v", h, ok)
	}
}

// TestConnectionWithRequestInKernelIsNotClosedAsIdle delays the poller: a request arrives on an idle connection and is still
// in the kernel during the sweep. If the connection is closed then, the request is lost, as it arrived over 50 ms before.
func TestConnectionWithRequestInKernelIsNotClosedAsIdle(t *testing.T) {
	st := newControlledServer(t, 9)
	st.CloseIdle(time.Second)
	router, idle := st.dialUsed(t), st.dialUsed(t)
	st.stallPoller(t)
	st.clock.Advance(2 * time.Second)
	router.Write(callMessage("serve", 2, requestFields(), "body"))
	st.sweep(false)
	if n := st.count.ended[conns.Idle].Load(); n != 0 {
		t.Errorf("%d connections are closed while the poller may hold input of theirs", n)
	}
	if st.CloseQuiet() {
		t.Error("Close closes a connection with a request in the kernel")
	}
	st.gate.mu.Unlock()
	<-st.core.arrived
	st.sweep(false)
	if !connectionEnded(idle) {
		t.Error("the idle connection is kept")
	}
	st.core.answerAll()
	if h, ok := receive(t, router); !ok || h.Seq != 2 {
		t.Errorf("answer %+v, received %v", h, ok)
	}
}

// TestDrainServesConnectionsInTheBacklog sends a complete request on a connection that is in the backlog when
// listening stops. The connection must not be reset.
func TestDrainServesConnectionsInTheBacklog(t *testing.T) {
	st := newControlledServer(t, 9)
	st.stallPoller(t)
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
	st.waitAcked()
	for st.Connections() > 0 {
		st.sweep(false)
		if st.clock.Now() > testkit.StartTime+3*time.Second {
			t.Fatal("the connection is open for over 3 s")
		}
		st.clock.Advance(sweepPeriod)
	}
	if !connectionEnded(c) {
		t.Error("the connection is not closed")
	}
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
	if n := st.Connections(); n != 0 {
		t.Errorf("%d connections", n)
	}
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
	st.sweep(false)
	if n := st.Connections(); n != 1 {
		t.Errorf("%d connections after the silent ones are overdue, want 1", n)
	}
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
	polledTransport
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
	delayed := delayedClose{victim.transport.(polledTransport), make(chan struct{})}
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
	delayed.polledTransport.Close()
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
		if c.transport.(polledTransport).RemoteAddr().String() == p.LocalAddr().String() {
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
		runner.release()
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
			runner.release()
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
			"hold":    func(*rapid.T) { runner.hold() },
			"release": func(*rapid.T) { runner.release() },
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
