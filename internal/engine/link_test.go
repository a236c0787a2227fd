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

// eventChannels passes the events of a link to the test.
type eventChannels struct {
	attached chan time.Duration // the since argument of Attached
	done     chan string
}

func (e *eventChannels) Done(id string, _ policy.Outcome, _ time.Duration, result []byte) {
	e.done <- id + " " + string(result)
}
func (e *eventChannels) Started(time.Duration)               {}
func (e *eventChannels) Rejected(string)                     {}
func (e *eventChannels) CallRequested(string, int64, []byte) {}
func (e *eventChannels) Gauges([]float64)                    {}
func (e *eventChannels) Attached(since time.Duration, open func()) {
	open()
	e.attached <- since
}

// linkHarness is a link to an engine that the test simulates.
type linkHarness struct {
	*Link
	*eventChannels
	t                *testing.T
	ln               net.Listener
	clock            *testkit.Clock
	counters         *counters.Set
	cancel           context.CancelFunc
	keepOpenReturned chan struct{} // closed when KeepOpen has returned
}

// newLinkHarness returns a harness whose link is kept open; edit may change the link first.
func newLinkHarness(t *testing.T, edit func(*Link)) *linkHarness {
	t.Helper()
	w := &linkHarness{eventChannels: &eventChannels{make(chan time.Duration, 4), make(chan string, 4)}, t: t, ln: testkit.Listen(t), clock: testkit.NewClock(),
		counters: new(counters.Set), keepOpenReturned: make(chan struct{})}
	w.Link = NewLink(w.ln.Addr().String(), w.clock.Now, w.counters)
	edit(w.Link)
	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = cancel
	go func() {
		w.KeepOpen(ctx, w.eventChannels)
		close(w.keepOpenReturned)
	}()
	return w
}

func unchanged(*Link) {}

// stop closes the link before its peers close it. Under the race detector netpoll identifies a connection by its
// descriptor alone, so that state left when both sides close at once could reach the next connection with the same
// descriptor.
func (w *linkHarness) stop() {
	w.cancel()
	<-w.keepOpenReturned
}

// accept accepts the next link at a listener, checks its ATTACH, answers HELLO, and reads the STAT.
func accept(t *testing.T, ln net.Listener, last int) *testkit.Peer {
	t.Helper()
	c := testkit.Accept(t, ln)
	c.ExpectRead(fmt.Sprintf("ATTACH %d\r\n", last))
	c.Writef("HELLO running 5\r\n")
	c.ExpectRead("STAT g1\r\n")
	return c
}

// attach accepts the next link until it takes runs, and returns the since argument of Attached.
func (w *linkHarness) attach(ln net.Listener, last int) (*testkit.Peer, time.Duration) {
	w.t.Helper()
	c := accept(w.t, ln, last)
	c.Writef("STATS g1 0 0 0 0\r\n")
	return c, <-w.attached
}

// wantDone checks the next end of a run that is reported.
func (w *linkHarness) wantDone(end string) {
	w.t.Helper()
	if got := <-w.done; got != end {
		w.t.Errorf("got end %q, want %q", got, end)
	}
}

func TestLostLinkResumesAfterLastNotice(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	if w.Run("a", "x", nil) {
		t.Error("a run was accepted without a link")
	}
	c, _ := w.attach(w.ln, 0)
	if !w.Run("aa", "x", []byte("b")) {
		t.Fatal("the link did not accept a run")
	}
	c.ExpectRead("RUN aa x 1\r\nb\r\n")
	c.Writef("DONE 1 aa fine 3 2\r\nok\r\n")
	w.wantDone("aa ok")
	c.Close()
	c = accept(t, w.ln, 1)
	if w.Run("bb", "x", nil) {
		t.Error("a run was accepted before the missed notices were delivered")
	}
	c.Writef("DONE 2 cc fine 3 0\r\n\r\nSTATS g1 0 0 0 0\r\n")
	w.wantDone("cc ")
	<-w.attached
	if !w.Run("bb", "x", nil) {
		t.Error("the new link does not accept a run")
	}
}

// TestMoveNeitherLosesNorDuplicatesRuns checks that a move flushes and ends the old link, reads the notices it
// still sends, and continues at the new address after the last notice read.
func TestMoveNeitherLosesNorDuplicatesRuns(t *testing.T) {
	w := newLinkHarness(t, func(l *Link) { l.retireTimeout = time.Minute }) // the old link closes by itself, however slow the machine is
	defer w.stop()
	next := testkit.Listen(t)
	c, _ := w.attach(w.ln, 0)
	w.Run("aa", "x", nil)
	w.clock.Advance(time.Minute)
	w.Move(next.Addr().String())
	c.ExpectRead("RUN aa x 0\r\n\r\nSTAT g2\r\n") // the write is not cut off, and the answer to the last STAT confirms that it was read
	c.ExpectEOF()
	if w.Run("bb", "x", nil) {
		t.Error("the retired link accepted a run")
	}
	w.clock.Advance(time.Second)
	c.Writef("DONE 1 aa fine 3 2\r\nok\r\nSTATS g2 0 0 0 0\r\n")
	w.wantDone("aa ok")
	c.Close()
	if _, since := w.attach(next, 1); since != testkit.StartTime+time.Minute {
		t.Errorf("writes before %v are confirmed, want those up to the move", since-testkit.StartTime)
	}
	if !w.Run("bb", "x", nil) {
		t.Error("the new link does not accept a run")
	}
}

// TestSilentLinkIsClosed checks that a link that stays open but delivers nothing is closed. Otherwise its runs
// would wait without end.
func TestSilentLinkIsClosed(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	c := accept(t, w.ln, 0)
	w.clock.Advance(time.Minute) // the engine takes long to send the missed notices: the answer is still awaited
	c.Writef("STATS g1 0 0 0 0\r\n")
	<-w.attached
	if !w.RequestGauges() {
		t.Fatal("the gauges were not requested")
	}
	c.ExpectRead("STAT g2\r\n")
	w.clock.Advance(maxSilence)
	c.Writef("DONE 1 aa fine 3 2\r\nok\r\n") // any input counts, not only the gauges
	w.wantDone("aa ok")
	if w.clock.Advance(maxSilence); !w.RequestGauges() {
		t.Fatal("the link was closed although the engine sends notices")
	}
	c.ExpectRead("STAT g3\r\n")
	if w.clock.Advance(time.Millisecond); w.RequestGauges() {
		t.Error("a silent engine was sent another request")
	}
	c.ExpectEOF()
	c = accept(t, w.ln, 1) // silent again, before all missed notices have been delivered
	w.clock.Advance(maxSilence + time.Millisecond)
	w.RequestGauges()
	c.ExpectEOF()
	accept(t, w.ln, 1)
	if n := w.counters.Get("engine_links_silent").Load(); n != 2 {
		t.Errorf("%d links closed as silent, want 2", n)
	}
}

// TestHelloTimeoutDoublesWithEachLink checks that a re-established link that gets no HELLO is closed: no STAT is
// sent on it, so no answer would be missed, and no runs would be sent any more. An engine that has never sent
// HELLO is given more time.
func TestHelloTimeoutDoublesWithEachLink(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	hangs := func(last int, patience time.Duration) {
		t.Helper()
		c := testkit.Accept(t, w.ln)
		c.ExpectRead(fmt.Sprintf("ATTACH %d\r\n", last))
		w.clock.Advance(patience)
		w.RequestGauges()
		c.ExpectOpen()
		w.clock.Advance(time.Millisecond)
		w.RequestGauges()
		c.ExpectEOF()
	}
	hangs(0, 4*maxSilence)
	hangs(0, 8*maxSilence)
	c, _ := w.attach(w.ln, 0)
	c.Writef("DONE 1 aa fine 3 0\r\n\r\n")
	w.wantDone("aa ")
	c.Close()
	for _, patience := range []time.Duration{1, 2, 4, 8, 16, 16} {
		hangs(1, patience*maxSilence)
	}
	accept(t, w.ln, 1)
}

// TestAnsweredStatConfirmsEarlierWrites checks that the answer to a STAT confirms the RUNs written before it.
// The age of a RUN does not show whether the engine has read it, because it may have stayed in the output buffer
// for any time.
func TestAnsweredStatConfirmsEarlierWrites(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	defer w.stop()
	c, _ := w.attach(w.ln, 0)
	w.clock.Advance(time.Second)
	asked := w.clock.Now()
	w.RequestGauges()
	c.ExpectRead("STAT g2\r\n")
	w.clock.Advance(time.Second)
	w.RequestGauges() // the engine does not read this request
	c.Writef("STATS g2 0 0 0 0\r\nDONE 1 aa fine 3 0\r\n\r\n")
	w.wantDone("aa ")
	w.clock.Advance(time.Second) // the engine sends again long after
	c.Writef("DONE 2 bb fine 3 0\r\n\r\n")
	w.wantDone("bb ")
	c.Close()
	if _, since := w.attach(w.ln, 2); since != asked {
		t.Errorf("since %v, want %v, when the last answered STAT was written", since, asked)
	}
}

// staleConnection is a connection that closed between two checks: it reports itself as open, but its descriptor
// now belongs to another connection.
type staleConnection struct {
	netpoll.Connection
	fd int
}

func (l staleConnection) IsActive() bool { return true }
func (l staleConnection) Fd() int        { return l.fd }

// TestShutdownDoesNotAffectReusedDescriptor checks a link that closes while its write side is being shut down: its
// descriptor may have been reused, and the shutdown must not affect the connection that has it now.
func TestShutdownDoesNotAffectReusedDescriptor(t *testing.T) {
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
		t.Errorf("the write side of another connection was shut down: %v", err)
	}
}

// TestLinkClosesWhenContextEnds checks that the link closes when its context ends, not when the process exits:
// the exit may take time, and the engine would not notice the end until then.
func TestLinkClosesWhenContextEnds(t *testing.T) {
	w := newLinkHarness(t, unchanged)
	c := accept(t, w.ln, 0)
	w.stop()
	c.ExpectEOF()
}
