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

// tasks stands in for netpoll's runner and can hold the tasks of a server's connections back, so that input
// stands in the reader for as long as a test wants.
type tasks struct {
	mu     sync.Mutex
	holds  bool
	held   []func()
	queued chan struct{}
}

var running = &tasks{queued: make(chan struct{}, 1024)}

func (q *tasks) run(ctx context.Context, f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ours := ctx.Value(connKey{}).(*conn); !ours || !q.holds {
		go f()
		return
	}
	q.held = append(q.held, f)
	q.queued <- struct{}{}
}

func (q *tasks) hold() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holds = true
}

func (q *tasks) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.held {
		go f()
	}
	for len(q.queued) > 0 {
		<-q.queued
	}
	q.holds, q.held = false, nil
}

func TestMain(m *testing.M) {
	if err := netpoll.Configure(netpoll.Config{Runner: running.run}); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// gate is a listener that holds the poller in Accept while it is shut, so that input stands in the kernel.
type gate struct {
	netpoll.Listener
	mu   sync.Mutex // held while the gate is shut
	came chan struct{}
}

func (g *gate) Accept() (net.Conn, error) {
	select {
	case g.came <- struct{}{}:
	default:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Listener.Accept()
}

// keeper is a Core that keeps what it is given until the test answers.
type keeper struct {
	mu    sync.Mutex
	taken []replica.Request
	came  chan struct{}
}

func (k *keeper) Arrive(q replica.Request) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.taken = append(k.taken, q)
	k.came <- struct{}{}
	return nil
}
func (k *keeper) CountMalformed()               {}
func (k *keeper) CallerGone(string)             {} // its routers do not give up
func (k *keeper) Healthy() bool                 { return true }
func (k *keeper) CurrentSignal() replica.Signal { return replica.Signal{} }

// answer answers all that was taken and tells how many there were.
func (k *keeper) answer() int {
	k.mu.Lock()
	taken := k.taken
	k.taken = nil
	k.mu.Unlock()
	for _, q := range taken {
		q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: q.Body})
	}
	return len(taken)
}

// stage is a server whose poller, tasks, clock, core and sweep are in the test's hands.
type stage struct {
	*Server
	gate  *gate
	core  *keeper
	clock *testkit.Clock
}

func newStage(t *testing.T, most int) *stage {
	t.Helper()
	st := &stage{core: &keeper{came: make(chan struct{}, 1024)}, clock: testkit.NewClock()}
	s, err := Listen("127.0.0.1:0", most, st.core, st.clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	st.gate = &gate{Listener: s.ln, came: make(chan struct{}, 1)}
	s.ln = st.gate
	s.backlogTime = time.Minute
	st.Server = s
	go s.Serve()
	t.Cleanup(running.release)
	return st
}

// dial connects and waits until the server has taken or turned the connection away.
func (st *stage) dial(t *testing.T) net.Conn {
	t.Helper()
	before := st.count.accepted.Load() + st.count.turned.Load()
	c := dial(t, st.Server)
	for st.count.accepted.Load()+st.count.turned.Load() == before {
		time.Sleep(50 * time.Microsecond) // until it is so, however long that takes
	}
	return c
}

// used connects and has a health check answered.
func (st *stage) used(t *testing.T) net.Conn {
	t.Helper()
	c := st.dial(t)
	c.Write(message("isWell", 1, nil, ""))
	if _, ok := receive(t, c); !ok {
		t.Fatal("no answer to a health check")
	}
	st.settle()
	return c
}

// settle waits until all that was sent has been acknowledged: a kernel may take 40 ms for that.
func (s *Server) settle() {
	for open := true; open; {
		open = false
		s.mu.Lock()
		for c := range s.conns {
			c.mu.Lock()
			open = open || !c.closed && (!c.out.Empty() || c.line.unacked() > 0)
			c.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

// stall shuts the gate and brings the poller to it.
func (st *stage) stall(t *testing.T) {
	t.Helper()
	select {
	case <-st.gate.came:
	default:
	}
	st.gate.mu.Lock()
	dial(t, st.Server)
	<-st.gate.came
}

// ended tells whether the server has ended a connection that nothing more comes on.
func ended(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// TestARequestInTheReaderIsNotEvicted forces what the bench saw as a lost request: the bytes of a request have
// been read, its task has not begun, the table is full and one more connects. The connection was closed, the
// task took the request all the same, and the answer went nowhere.
func TestARequestInTheReaderIsNotEvicted(t *testing.T) {
	st := newStage(t, 1)
	router := st.dial(t)
	running.hold()
	router.Write(message("serve", 1, fields(), "body"))
	<-running.queued
	newcomer := st.dial(t)
	running.release()
	if !ended(newcomer) {
		t.Error("the newcomer is kept in a full table")
	}
	<-st.core.came
	st.core.answer()
	if h, ok := receive(t, router); !ok || h.Seq != 1 {
		t.Errorf("the answer is %+v, %v", h, ok)
	}
}

// TestARequestInTheKernelIsNotClosedAsIdle has the poller late: an idle connection carries a request again, which
// the kernel holds when the sweep comes. It was closed, and the request lost as it came over 50 ms before.
func TestARequestInTheKernelIsNotClosedAsIdle(t *testing.T) {
	st := newStage(t, 9)
	st.CloseIdle(time.Second)
	router, idle := st.used(t), st.used(t)
	st.stall(t)
	st.clock.Advance(2 * time.Second)
	router.Write(message("serve", 2, fields(), "body"))
	st.sweep(false)
	if n := st.count.ended[conns.Idle].Load(); n != 0 {
		t.Errorf("%d connections are ended while the poller may have input of theirs in its hands", n)
	}
	if st.Close() {
		t.Error("at the process's end nothing is left of a connection with a request in the kernel")
	}
	st.gate.mu.Unlock()
	<-st.core.came
	st.sweep(false)
	if !ended(idle) {
		t.Error("the idle connection is kept")
	}
	st.core.answer()
	if h, ok := receive(t, router); !ok || h.Seq != 2 {
		t.Errorf("the answer is %+v, %v", h, ok)
	}
}

// TestLeavingTakesWhatTheKernelHasAccepted has a whole request on a connection that stands in the backlog when
// listening ends: it was reset.
func TestLeavingTakesWhatTheKernelHasAccepted(t *testing.T) {
	st := newStage(t, 9)
	st.stall(t)
	router := dial(t, st.Server)
	router.Write(message("serve", 1, fields(), "body"))
	left := make(chan struct{})
	go func() { st.Leave(); close(left) }()
	for { // let the poller go on only once Leave is on its way
		st.mu.Lock()
		leaving := st.leaving
		st.mu.Unlock()
		if leaving {
			break
		}
	}
	st.gate.mu.Unlock()
	<-left
	<-st.core.came
	st.core.answer()
	var names []string
	for range 2 {
		h, _ := receive(t, router)
		names = append(names, h.Name)
	}
	if slices.Sort(names); !slices.Equal(names, []string{"goaway", "serve"}) {
		t.Errorf("the router is told %v", names)
	}
}

// TestGarbageBehindARequestDoesNotTakeItsAnswer: the connection was closed at once, with the calls open on it.
func TestGarbageBehindARequestDoesNotTakeItsAnswer(t *testing.T) {
	st := newStage(t, 9)
	c := st.dial(t)
	c.Write(message("serve", 1, fields(), "body"))
	<-st.core.came
	c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	for st.serves(&peer{Conn: c}) {
		time.Sleep(50 * time.Microsecond) // until the garbage is met
	}
	st.sweep(false)
	st.core.answer()
	if h, ok := receive(t, c); !ok || h.Seq != 1 {
		t.Fatalf("the answer is %+v, %v", h, ok)
	}
	st.settle()
	for st.Connections() > 0 {
		st.sweep(false)
		if st.clock.Now() > testkit.Start+3*time.Second {
			t.Fatal("it holds its descriptor for over 3 s")
		}
		st.clock.Advance(sweepPeriod)
	}
	if !ended(c) {
		t.Error("it is not ended")
	}
}

// TestAPeerThatKeepsSendingGarbageIsNotKept: what is thrown away is bounded.
func TestAPeerThatKeepsSendingGarbageIsNotKept(t *testing.T) {
	st := newStage(t, 9)
	c := st.dial(t)
	c.Write(message("serve", 1, fields(), "body"))
	<-st.core.came
	c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	for err := error(nil); err == nil; { // no sweep comes, and the clock stands
		_, err = c.Write(make([]byte, 16<<10))
	}
	if n := st.Connections(); n != 0 {
		t.Errorf("%d connections", n)
	}
	st.core.answer() // goes nowhere, and is no fault
}

// TestAFreshConnectionIsNotTheFirstToGo: with the table full of connections that had carried one health check,
// each newcomer was evicted by the next one before anything of it was read.
func TestAFreshConnectionIsNotTheFirstToGo(t *testing.T) {
	st := newStage(t, 8)
	var holders []net.Conn
	for range 8 {
		holders = append(holders, st.used(t))
	}
	st.clock.Advance(time.Second)
	first, second := st.dial(t), st.dial(t)
	for _, c := range []net.Conn{first, second} {
		c.Write(message("serve", 1, fields(), "body"))
		<-st.core.came
		st.core.answer()
		if h, ok := receive(t, c); !ok || h.Seq != 1 {
			t.Errorf("the newcomer gets %+v, %v", h, ok)
		}
	}
	if !ended(holders[0]) || !ended(holders[1]) {
		t.Error("those that hold a connection for nothing longest are kept")
	}
}

// TestACrowdHoldsNoMoreThanTheTable connects by the hundreds and sends nothing.
func TestACrowdHoldsNoMoreThanTheTable(t *testing.T) {
	st := newStage(t, 16)
	router := st.used(t)
	for range 300 {
		st.dial(t)
		if n := st.Connections(); n > 16 {
			t.Fatalf("%d connections", n)
		}
		st.clock.Advance(time.Millisecond)
	}
	router.Write(message("isWell", 2, nil, ""))
	if _, ok := receive(t, router); !ok {
		t.Error("the router's connection goes before those of the crowd")
	}
	st.clock.Advance(conns.CallTime)
	st.sweep(false)
	if n := st.Connections(); n != 1 {
		t.Errorf("%d connections after the crowd's time", n)
	}
}

// TestARequestHalfWrittenSurvivesACrowd writes half a request, has a crowd fill the table many times over for 2 s, and
// writes the rest. It used to go with the silent ones.
func TestARequestHalfWrittenSurvivesACrowd(t *testing.T) {
	st := newStage(t, 16)
	slow, whole := st.dial(t), message("isWell", 1, nil, "")
	slow.Write(whole[:len(whole)/2])
	for st.count.bytesIn.Load() < int64(len(whole)/2) {
		time.Sleep(time.Millisecond)
	}
	for range 200 {
		st.dial(t)
		st.clock.Advance(10 * time.Millisecond)
	}
	st.sweep(false)
	slow.Write(whole[len(whole)/2:])
	if _, ok := receive(t, slow); !ok {
		t.Error("a request that took 2 s to write is lost")
	}
}

// peer is a router's side of one connection in random steps.
type peer struct {
	net.Conn
	seq   int32  // the last number used
	rest  []byte // of the request that is being written
	in    []byte
	whole int // requests that were written whole to a connection in service
	got   int // answers
}

// read takes what has come and tells whether the connection has ended.
func (p *peer) read(rt *rapid.T) (over bool) {
	p.SetReadDeadline(time.Now().Add(time.Millisecond))
	buf := make([]byte, 4096)
	n, err := p.Read(buf)
	p.in = append(p.in, buf[:n]...)
	for {
		frame, rest, ferr := thrift.Frame(p.in)
		if ferr != nil {
			rt.Fatal(ferr)
		}
		if frame == nil {
			return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		}
		p.got, p.in = p.got+1, rest
	}
}

// serves tells whether the server holds the connection of that peer and takes calls on it.
func (st *stage) serves(p *peer) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for c := range st.conns {
		if c.line.(polledLine).RemoteAddr().String() == p.LocalAddr().String() {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.ending.Takes()
		}
	}
	return false
}

// TestNoCloseLosesWhatWasWrittenBefore plays random steps on the real server over loopback: whatever is closed for
// whatever reason, each request that was written whole before that is answered.
func TestNoCloseLosesWhatWasWrittenBefore(t *testing.T) {
	st := newStage(t, 4)
	st.CloseIdle(3 * time.Second)
	var peers []*peer
	testkit.Steps(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		running.release()
		for _, p := range peers {
			p.Close()
		}
		peers = nil
		pick := func(rt *rapid.T) *peer {
			if len(peers) == 0 {
				rt.Skip()
			}
			return peers[rapid.IntRange(0, len(peers)-1).Draw(rt, "peer")]
		}
		settle := func(rt *rapid.T) {
			running.release()
			for _, p := range peers {
				for over := false; p.got < p.whole; {
					if over {
						rt.Fatalf("%d of %d requests are answered when the connection ends", p.got, p.whole)
					}
					st.core.answer()
					over = p.read(rt)
				}
			}
		}
		return map[string]func(*rapid.T){
			"dial": func(rt *rapid.T) {
				if len(peers) < 12 {
					peers = append(peers, &peer{Conn: st.dial(t)})
				}
			},
			"write": func(rt *rapid.T) {
				p := pick(rt)
				if len(p.rest) == 0 {
					p.seq++
					p.rest = message("serve", p.seq, fields(), "body")
				}
				n := rapid.IntRange(1, len(p.rest)).Draw(rt, "bytes")
				if rapid.Bool().Draw(rt, "whole") {
					n = len(p.rest)
				}
				serves := st.serves(p)
				_, err := p.Write(p.rest[:n])
				if p.rest = p.rest[n:]; len(p.rest) == 0 && serves && err == nil {
					p.whole++
				}
			},
			"hold":    func(*rapid.T) { running.hold() },
			"release": func(*rapid.T) { running.release() },
			"answer":  func(*rapid.T) { st.core.answer() },
			"wait":    func(*rapid.T) { st.clock.Advance(time.Second) },
			"sweep":   func(*rapid.T) { st.sweep(false) },
			"settle":  settle,
			"": func(rt *rapid.T) {
				if n := st.Connections(); n > 4 {
					rt.Fatalf("%d connections", n)
				}
			},
		}
	})
	for _, why := range []conns.Reason{conns.Evicted, conns.Idle, conns.Overdue} {
		if st.count.ended[why].Load() == 0 {
			t.Errorf("no connection was %v in all these steps", why)
		}
	}
}
