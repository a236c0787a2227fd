package engine

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
	"cairnlane/internal/testkit"
	"cairnlane/policy"
)

// eventChannels passes what a link tells to the test.
type eventChannels struct {
	attached chan time.Duration // since when what was written may be lost
	done     chan string
}

func (e *eventChannels) Done(id string, _ policy.Outcome, _ time.Duration, result []byte) {
	e.done <- id + " " + string(result)
}
func (e *eventChannels) Started(time.Duration)      {}
func (e *eventChannels) Rejected(string)            {}
func (e *eventChannels) Need(string, int64, []byte) {}
func (e *eventChannels) Gauges([]float64)           {}
func (e *eventChannels) Attached(since time.Duration, open func()) {
	open()
	e.attached <- since
}

// linkHarness is a link with the engine that the test is.
type linkHarness struct {
	*Link
	*eventChannels
	t            *testing.T
	ln           net.Listener
	clock        *testkit.Clock
	counters     *counters.Set
	cancel       context.CancelFunc
	keepReturned chan struct{} // closes when Keep has returned
}

// newLinkHarness has a link kept up; edit may change it before.
func newLinkHarness(t *testing.T, edit func(*Link)) *linkHarness {
	t.Helper()
	w := &linkHarness{eventChannels: &eventChannels{make(chan time.Duration, 4), make(chan string, 4)}, t: t, ln: testkit.Listen(t), clock: testkit.NewClock(),
		counters: new(counters.Set), keepReturned: make(chan struct{})}
	w.Link = NewLink(w.ln.Addr().String(), w.clock.Now, w.counters)
	edit(w.Link)
	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = cancel
	go func() {
		w.Keep(ctx, w.eventChannels)
		close(w.keepReturned)
	}()
	return w
}

func unchanged(*Link) {}

// stop ends the link, before its peers do: under the race detector netpoll finds a connection by its descriptor alone, and
// what a peer's end and ours leave in its hands together may reach the next that has the number.
func (w *linkHarness) stop() {
	w.cancel()
	<-w.keepReturned
}

// accept takes the next link at a listener, checks its ATTACH and answers HELLO, then reads the STAT.
func accept(t *testing.T, ln net.Listener, last int) *testkit.Peer {
	t.Helper()
	c := testkit.Accept(t, ln)
	c.Reads(fmt.Sprintf("ATTACH %d\r\n", last))
	c.Says("HELLO running 5\r\n")
	c.Reads("STAT g1\r\n")
	return c
}

// attach has the next link taken up to where runs are taken, and gives since when what was written may be lost.
func (w *linkHarness) attach(ln net.Listener, last int) (*testkit.Peer, time.Duration) {
	w.t.Helper()
	c := accept(w.t, ln, last)
	c.Says("STATS g1 0 0 0 0\r\n")
	return c, <-w.attached
}

// wantDone demands the end of a run next.
func (w *linkHarness) wantDone(end string) {
	w.t.Helper()
	if got := <-w.done; got != end {
		w.t.Errorf("told %q, want %q", got, end)
	}
}

func TestLostLinkResumesAfterLastNotice(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	if w.Run("a", "x", nil) {
		t.Error("a run is taken with no link")
	}
	c, _ := w.attach(w.ln, 0)
	if !w.Run("aa", "x", []byte("b")) {
		t.Fatal("the link takes no run")
	}
	c.Reads("RUN aa x 1\r\nb\r\n")
	c.Says("DONE 1 aa fine 3 2\r\nok\r\n")
	w.wantDone("aa ok")
	c.Close()
	c = accept(t, w.ln, 1)
	if w.Run("bb", "x", nil) {
		t.Error("a run is taken before what was missed was told")
	}
	c.Says("DONE 2 cc fine 3 0\r\n\r\nSTATS g1 0 0 0 0\r\n")
	w.wantDone("cc ")
	<-w.attached
	if !w.Run("bb", "x", nil) {
		t.Error("the new link takes no run")
	}
}

// A link used to have one address for good. A move flushes and ends the old link, takes what it still
// tells, and goes on at the new address with the last notice read.
func TestMoveNeitherLosesNorDuplicatesRuns(t *testing.T) {
	w := newLinkHarness(t, func(l *Link) { l.retireTimeout = time.Minute }) // the old link ends by itself, however slow this machine is
	defer w.stop()
	next := testkit.Listen(t)
	c, _ := w.attach(w.ln, 0)
	w.Run("aa", "x", nil)
	w.clock.Advance(time.Minute)
	w.Move(next.Addr().String())
	c.Reads("RUN aa x 0\r\n\r\nSTAT g2\r\n") // what was written is not cut off, and the answer to the last says that it was read
	c.Ends()
	if w.Run("bb", "x", nil) {
		t.Error("a run is taken by the link that retires")
	}
	w.clock.Advance(time.Second)
	c.Says("DONE 1 aa fine 3 2\r\nok\r\nSTATS g2 0 0 0 0\r\n")
	w.wantDone("aa ok")
	c.Close()
	if _, since := w.attach(next, 1); since != testkit.Start+time.Minute {
		t.Errorf("what was written before %v has reached the engine, want up to the move", since-testkit.Start)
	}
	if !w.Run("bb", "x", nil) {
		t.Error("the new link takes no run")
	}
}

// A link that stays open and tells nothing used to be kept for good, and runs with it.
func TestSilentLinkIsClosed(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	c := accept(t, w.ln, 0)
	w.clock.Advance(time.Minute) // the engine takes its time to say what was missed: the answer is still waited for
	c.Says("STATS g1 0 0 0 0\r\n")
	<-w.attached
	if !w.AskGauges() {
		t.Fatal("the gauges are not asked for")
	}
	c.Reads("STAT g2\r\n")
	w.clock.Advance(maxSilence)
	c.Says("DONE 1 aa fine 3 2\r\nok\r\n") // it says something, if not the gauges
	w.wantDone("aa ok")
	if w.clock.Advance(maxSilence); !w.AskGauges() {
		t.Fatal("an engine that talks is given up")
	}
	c.Reads("STAT g3\r\n")
	if w.clock.Advance(time.Millisecond); w.AskGauges() {
		t.Error("a silent engine is asked once more")
	}
	c.Ends()
	c = accept(t, w.ln, 1) // and once more, before all that was missed has been told
	w.clock.Advance(maxSilence + time.Millisecond)
	w.AskGauges()
	c.Ends()
	accept(t, w.ln, 1)
	if n := w.counters.Get("engine_links_silent").Load(); n != 2 {
		t.Errorf("%d links were given up", n)
	}
}

// A link that was taken up anew and got no HELLO used to be kept for good: nothing was asked on it, so that nothing was
// missed, and no run was sent any more. An engine that has not been heard of at all may take its time.
func TestHelloTimeoutDoublesWithEachLink(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	hangs := func(last int, patience time.Duration) {
		t.Helper()
		c := testkit.Accept(t, w.ln)
		c.Reads(fmt.Sprintf("ATTACH %d\r\n", last))
		w.clock.Advance(patience)
		w.AskGauges()
		c.Stays()
		w.clock.Advance(time.Millisecond)
		w.AskGauges()
		c.Ends()
	}
	hangs(0, 4*maxSilence)
	hangs(0, 8*maxSilence)
	c, _ := w.attach(w.ln, 0)
	c.Says("DONE 1 aa fine 3 0\r\n\r\n")
	w.wantDone("aa ")
	c.Close()
	for _, patience := range []time.Duration{1, 2, 4, 8, 16, 16} {
		hangs(1, patience*maxSilence)
	}
	accept(t, w.ln, 1)
}

// RUNs of the last 150 ms before the engine was last heard used to count as lost, and older ones as read: one that stood in
// our buffers for longer never ran. What tells is the answer to a question that was written behind them.
func TestAnsweredStatConfirmsEarlierWrites(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	c, _ := w.attach(w.ln, 0)
	w.clock.Advance(time.Second)
	asked := w.clock.Now()
	w.AskGauges()
	c.Reads("STAT g2\r\n")
	w.clock.Advance(time.Second)
	w.AskGauges() // which the engine does not read
	c.Says("STATS g2 0 0 0 0\r\nDONE 1 aa fine 3 0\r\n\r\n")
	w.wantDone("aa ")
	w.clock.Advance(time.Second) // it is heard long after
	c.Says("DONE 2 bb fine 3 0\r\n\r\n")
	w.wantDone("bb ")
	c.Close()
	if _, since := w.attach(w.ln, 2); since != asked {
		t.Errorf("since %v, want %v: when the last question was written that has its answer", since, asked)
	}
}

// staleConnection is a connection that ended between two looks: it says that it is open, and its descriptor is another's by now.
type staleConnection struct {
	netpoll.Connection
	fd int
}

func (l staleConnection) IsActive() bool { return true }
func (l staleConnection) Fd() int        { return l.fd }

// The side of whatever had got the descriptor of a link that closed at this moment was ended.
func TestShutdownSparesReusedDescriptor(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	l := NewLink("", testkit.NewClock().Now, new(counters.Set))
	c := &connection{Connection: staleConnection{fd: pair[0]}, sess: &session{}}
	l.detach(c)
	l.shutdownWrite(c)
	if _, err := unix.Write(pair[0], []byte("x")); err != nil {
		t.Errorf("another connection's side is ended: %v", err)
	}
}

// The link used to end with the process, which may take its time over that; its engine knew of nothing until then.
func TestLinkClosesWhenContextEnds(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	c := accept(t, w.ln, 0)
	w.stop()
	c.Ends()
}
