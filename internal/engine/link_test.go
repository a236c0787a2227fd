package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
	"cairnlane/internal/testkit"
	"cairnlane/policy"
)

// toldEvents passes what a link tells to the test.
type toldEvents struct {
	attached chan time.Duration // since when what was written may be lost
	done     chan string
}

func (e *toldEvents) Done(id string, _ policy.Outcome, _ time.Duration, result []byte) {
	e.done <- id + " " + string(result)
}
func (e *toldEvents) Started(time.Duration) {}
func (e *toldEvents) Rejected(string)       {}
func (e *toldEvents) Gauges([]float64)      {}
func (e *toldEvents) Attached(since time.Duration, open func()) {
	open()
	e.attached <- since
}

// accept takes the next link, checks its ATTACH and answers HELLO, then reads the STAT.
func accept(t *testing.T, ln net.Listener, last int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	r := bufio.NewReader(c)
	expect(t, r, fmt.Sprintf("ATTACH %d\r\n", last))
	fmt.Fprint(c, "HELLO running 5\r\n")
	expect(t, r, "STAT g1\r\n")
	return c, r
}

func expect(t *testing.T, r *bufio.Reader, line string) {
	t.Helper()
	if got, err := r.ReadString('\n'); got != line {
		t.Fatalf("the engine reads %q (%v), want %q", got, err, line)
	}
}

func TestALostLinkIsTakenUpFromTheLastNotice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &toldEvents{make(chan time.Duration, 4), make(chan string, 4)}
	l := NewLink(ln.Addr().String(), testkit.NewClock().Now, new(counters.Set))
	if l.Run("a", "x", nil) {
		t.Error("a run is taken with no link")
	}
	go l.Keep(ctx, e)
	c, r := accept(t, ln, 0)
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\n")
	<-e.attached
	if !l.Run("aa", "x", []byte("b")) {
		t.Fatal("the link takes no run")
	}
	expect(t, r, "RUN aa x 1\r\n")
	fmt.Fprint(c, "DONE 1 aa fine 3 2\r\nok\r\n")
	if got := <-e.done; got != "aa ok" {
		t.Errorf("told %q", got)
	}
	c.Close()
	c, _ = accept(t, ln, 1)
	if l.Run("bb", "x", nil) {
		t.Error("a run is taken before what was missed was told")
	}
	fmt.Fprint(c, "DONE 2 cc fine 3 0\r\n\r\nSTATS g1 0 0 0 0\r\n")
	if got := <-e.done; got != "cc " {
		t.Errorf("told %q", got)
	}
	<-e.attached
	if !l.Run("bb", "x", nil) {
		t.Error("the new link takes no run")
	}
}

// A link used to have one address for good. A move flushes and ends the old link, takes what it still
// tells, and goes on at the new address with the last notice read.
func TestAMoveLosesAndDoublesNothing(t *testing.T) {
	old, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	next, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &toldEvents{make(chan time.Duration, 4), make(chan string, 4)}
	clock := testkit.NewClock()
	l := NewLink(old.Addr().String(), clock.Now, new(counters.Set))
	l.retireTime = time.Minute // the old link ends by itself, however slow this machine is
	go l.Keep(ctx, e)
	c, r := accept(t, old, 0)
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\n")
	<-e.attached
	l.Run("aa", "x", nil)
	clock.Advance(time.Minute)
	l.Move(next.Addr().String())
	expect(t, r, "RUN aa x 0\r\n") // what was written is not cut off
	expect(t, r, "\r\n")
	expect(t, r, "STAT g2\r\n") // whose answer says that all of it was read
	expect(t, r, "")
	if l.Run("bb", "x", nil) {
		t.Error("a run is taken by the link that retires")
	}
	clock.Advance(time.Second)
	fmt.Fprint(c, "DONE 1 aa fine 3 2\r\nok\r\nSTATS g2 0 0 0 0\r\n")
	if got := <-e.done; got != "aa ok" {
		t.Errorf("told %q", got)
	}
	c.Close()
	c, _ = accept(t, next, 1)
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\n")
	if since := <-e.attached; since != testkit.Start+time.Minute {
		t.Errorf("what was written before %v has reached the engine, want up to the move", since-testkit.Start)
	}
	if !l.Run("bb", "x", nil) {
		t.Error("the new link takes no run")
	}
}

// A link that stays open and tells nothing used to be kept for good, and runs with it.
func TestALinkThatGoesSilentIsGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e := &toldEvents{make(chan time.Duration, 4), make(chan string, 4)}
	clock := testkit.NewClock()
	set := new(counters.Set)
	l := NewLink(ln.Addr().String(), clock.Now, set)
	go l.Keep(t.Context(), e)
	c, r := accept(t, ln, 0)
	clock.Advance(time.Minute) // the engine takes its time to say what was missed: the answer is still waited for
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\n")
	<-e.attached
	if !l.AskGauges() {
		t.Fatal("the gauges are not asked for")
	}
	expect(t, r, "STAT g2\r\n")
	clock.Advance(quietMost)
	fmt.Fprint(c, "DONE 1 aa fine 3 2\r\nok\r\n") // it says something, if not the gauges
	<-e.done
	if clock.Advance(quietMost); !l.AskGauges() {
		t.Fatal("an engine that talks is given up")
	}
	expect(t, r, "STAT g3\r\n")
	if clock.Advance(time.Millisecond); l.AskGauges() {
		t.Error("a silent engine is asked once more")
	}
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("the silent link goes on")
	}
	c, r = accept(t, ln, 1) // and once more, before all that was missed has been told
	clock.Advance(quietMost + time.Millisecond)
	l.AskGauges()
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("a link that goes silent as it is taken up goes on")
	}
	accept(t, ln, 1)
	if n := set.Get("engine_links_silent").Load(); n != 2 {
		t.Errorf("%d links were given up", n)
	}
	c.Close()
}

// A link that was taken up anew and got no HELLO used to be kept for good: nothing was asked on it, so that nothing was
// missed, and no run was sent any more. An engine that has not been heard of at all may take its time.
func TestALinkWithoutHelloIsGivenUpLaterEachTime(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e := &toldEvents{make(chan time.Duration, 4), make(chan string, 4)}
	clock := testkit.NewClock()
	l := NewLink(ln.Addr().String(), clock.Now, new(counters.Set))
	go l.Keep(t.Context(), e)
	hangs := func(last int, patience time.Duration) {
		t.Helper()
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		r := bufio.NewReader(c)
		expect(t, r, fmt.Sprintf("ATTACH %d\r\n", last))
		clock.Advance(patience)
		l.AskGauges()
		c.SetReadDeadline(time.Now().Add(time.Millisecond)) // it goes on, so that only the time ends this read
		if _, err := r.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("given up within %v: %v", patience, err)
		}
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		clock.Advance(time.Millisecond)
		l.AskGauges()
		if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("not given up after %v: %v", patience, err)
		}
	}
	hangs(0, 4*quietMost)
	hangs(0, 8*quietMost)
	c, _ := accept(t, ln, 0)
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\nDONE 1 aa fine 3 0\r\n\r\n")
	<-e.done
	c.Close()
	for _, patience := range []time.Duration{1, 2, 4, 8, 16, 16} {
		hangs(1, patience*quietMost)
	}
	accept(t, ln, 1)
}

// RUNs of the last 150 ms before the engine was last heard used to count as lost, and older ones as read: one that stood in
// our buffers for longer never ran. What tells is the answer to a question that was written behind them.
func TestWhatStandsBeforeAnAnsweredQuestionHasReachedTheEngine(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e := &toldEvents{make(chan time.Duration, 4), make(chan string, 4)}
	clock := testkit.NewClock()
	l := NewLink(ln.Addr().String(), clock.Now, new(counters.Set))
	go l.Keep(t.Context(), e)
	c, r := accept(t, ln, 0)
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\n")
	<-e.attached
	asked := clock.Now()
	for n := 2; n <= 3; n++ { // the engine reads the second question and not the third
		clock.Advance(time.Second)
		l.AskGauges()
		if n == 2 {
			asked = clock.Now()
			expect(t, r, "STAT g2\r\n")
		}
	}
	fmt.Fprint(c, "STATS g2 0 0 0 0\r\nDONE 1 aa fine 3 0\r\n\r\n")
	<-e.done
	clock.Advance(time.Second) // and is heard long after
	fmt.Fprint(c, "DONE 2 bb fine 3 0\r\n\r\n")
	<-e.done
	c.Close()
	c, _ = accept(t, ln, 2)
	fmt.Fprint(c, "STATS g1 0 0 0 0\r\n")
	if since := <-e.attached; since != asked {
		t.Errorf("since %v, want %v: when the last question was written that has its answer", since, asked)
	}
}

// late is a connection that ended between two looks: it says that it is open, and its descriptor is another's by now.
type late struct {
	netpoll.Connection
	fd int
}

func (l late) IsActive() bool { return true }
func (l late) Fd() int        { return l.fd }

// The side of whatever had got the descriptor of a link that closed at this moment was ended.
func TestTheEndOfALinkHitsNoOtherConnection(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	l := NewLink("", testkit.NewClock().Now, new(counters.Set))
	c := &connection{Connection: late{fd: pair[0]}, sess: &session{}}
	l.detach(c)
	l.endOurs(c)
	if _, err := unix.Write(pair[0], []byte("x")); err != nil {
		t.Errorf("another connection's side is ended: %v", err)
	}
}

// The link used to end with the process, which may take its time over that; its engine knew of nothing until then.
func TestALinkEndsBeforeItsProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	l := NewLink(ln.Addr().String(), testkit.NewClock().Now, new(counters.Set))
	ended := make(chan struct{})
	go func() {
		l.Keep(ctx, &toldEvents{make(chan time.Duration, 4), make(chan string, 4)})
		close(ended)
	}()
	_, r := accept(t, ln, 0)
	cancel()
	<-ended
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the engine reads %v", err)
	}
}
