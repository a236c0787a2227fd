package index

import (
	"bytes"
	"log"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/policy"
)

func TestEachReplyWord(t *testing.T) {
	words := []struct {
		reply   string
		outcome policy.Outcome
	}{
		{"SHED", policy.TurnedAway}, {"NOBODY", policy.TurnedAway}, {"BROKEN", policy.Failed},
		{"SLOW", policy.TimedOut},
	}
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	c.Get(id(0), long, []byte("first"))
	p := f.next()
	p.expect("GET", id(0))
	p.hit(id(0), []byte("found"))
	if got := r.expect(t, id(0), policy.Succeeded); string(got.result) != "found" || got.took <= 0 {
		t.Fatalf("HIT gave result %q in %v", got.result, got.took)
	}
	for n, w := range words {
		c.Get(id(n+1), long, nil)
		p.expect("GET", id(n+1))
		p.send(id(n+1) + " " + w.reply + "\r\n")
		if got := r.expect(t, id(n+1), w.outcome); got.result != nil {
			t.Fatalf("%s gave result %q", w.reply, got.result)
		}
	}
}

func TestBodiesGoAndComeUnchanged(t *testing.T) {
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	random := rand.New(rand.NewPCG(1, 2))
	sizes := []int{0, 1, 2, 96, 4096, 100_000}
	bodies := make([][]byte, len(sizes))
	for n, size := range sizes {
		bodies[n] = make([]byte, size)
		for i := range bodies[n] {
			bodies[n][i] = byte(random.UintN(256))
		}
		if size >= 2 {
			copy(bodies[n], "\r\n") // a line end in a body is data
		}
	}
	var p *peer
	for n, body := range bodies {
		sent := bytes.Clone(body)
		c.Get(id(n), long+time.Microsecond, body)
		clear(body) // the body is the caller's again once Get returns
		if p == nil {
			p = f.next()
		}
		got := p.expect("GET", id(n))
		if !bytes.Equal(got.body, sent) || got.ms != 60_001 {
			t.Fatalf("call %d: the index got %d bytes and %d ms, want %d bytes and 60001 ms", n, len(got.body),
				got.ms, len(sent))
		}
		p.hit(id(n), sent)
		if back := r.expect(t, id(n), policy.Succeeded); !bytes.Equal(back.result, sent) {
			t.Fatalf("call %d: result of %d bytes changed on the way back", n, len(sent))
		}
	}
}

func TestRepliesOutOfOrder(t *testing.T) {
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	for n := range 3 {
		c.Get(id(n), long, []byte{byte(n)})
	}
	p := f.next()
	for n := range 3 {
		p.expect("GET", id(n))
	}
	for _, n := range []int{2, 0, 1} {
		p.hit(id(n), []byte{'r', byte(n)})
		if got := r.expect(t, id(n), policy.Succeeded); !bytes.Equal(got.result, []byte{'r', byte(n)}) {
			t.Fatalf("call %d got result %q", n, got.result)
		}
	}
}

func TestStopWritesStopAndNoReplyFollows(t *testing.T) {
	f := newFake(t)
	c, r, set := start(t, f.addr())
	c.Get(id(0), long, nil)
	p := f.next()
	p.expect("GET", id(0))
	c.Stop(id(0))
	p.expect("STOP", id(0))
	p.hit(id(0), []byte("late")) // an index that answered before it read STOP
	c.Get(id(1), long, nil)
	p.expect("GET", id(1))
	p.send(id(1) + " SHED\r\n")
	r.expect(t, id(1), policy.TurnedAway) // replies are read in order: the late one came first
	r.none(t)
	if n := set.Get("index_replies_unknown").Load(); n != 1 {
		t.Fatalf("%d unknown replies counted, want 1", n)
	}
	c.Stop(id(7)) // no such call: nothing happens
}

func TestSecondGetReplacesTheFirst(t *testing.T) {
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	c.Get(id(0), long, []byte("one"))
	p := f.next()
	p.expect("GET", id(0))
	c.Get(id(0), long, []byte("two"))
	if got := p.expect("GET", id(0)); string(got.body) != "two" {
		t.Fatalf("second GET carried %q", got.body)
	}
	p.hit(id(0), []byte("for two"))
	r.expect(t, id(0), policy.Succeeded)
	c.Get(id(1), long, nil)
	p.expect("GET", id(1))
	p.send(id(1) + " NOBODY\r\n")
	r.expect(t, id(1), policy.TurnedAway)
	r.none(t) // the replaced call got no Reply
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close() // nothing listens there now: connections are refused
	c, r, set := start(t, addr)
	c.Get(id(0), long, nil)
	c.Get(id(1), long, nil)
	for range 2 {
		if got := r.next(t); got.outcome != policy.Unreachable {
			t.Fatalf("Reply(%s, %v), want Unreachable", got.id, got.outcome)
		}
	}
	// Both calls wait for one dial unless it failed between them; either way every dial failed.
	if dials, failed := set.Get("index_dials").Load(), set.Get("index_dials_failed").Load(); failed != dials || dials < 1 {
		t.Fatalf("%d of %d dials failed, want all", failed, dials)
	}
	f := newFake(t) // the index comes up elsewhere
	c.Move(f.addr())
	c.Get(id(2), long, nil)
	p := f.next()
	p.expect("GET", id(2))
	p.send(id(2) + " BROKEN\r\n")
	r.expect(t, id(2), policy.Failed)
}

func TestBrokenConnectionInterruptsCallsOut(t *testing.T) {
	f := newFake(t)
	c, r, set := start(t, f.addr())
	c.Get(id(0), long, nil)
	c.Get(id(1), long, nil)
	p := f.next()
	p.expect("GET", id(0))
	p.expect("GET", id(1))
	p.socket.Close()
	seen := map[string]bool{}
	for range 2 {
		got := r.next(t)
		if got.outcome != policy.Interrupted || seen[got.id] {
			t.Fatalf("Reply(%s, %v), want Interrupted once for each call", got.id, got.outcome)
		}
		seen[got.id] = true
	}
	if n := set.Get("index_links_lost").Load(); n != 1 {
		t.Fatalf("%d links lost, want 1", n)
	}
}

func TestOwnTimeoutWritesStop(t *testing.T) {
	f := newFake(t)
	c, r, set := start(t, f.addr())
	c.Get(id(0), 20*time.Millisecond, nil)
	p := f.next()
	if got := p.expect("GET", id(0)); got.ms != 20 {
		t.Fatalf("GET told %d ms, want 20", got.ms)
	}
	p.expect("STOP", id(0)) // written when the client's own timer ran out
	if got := r.expect(t, id(0), policy.TimedOut); got.took < 20*time.Millisecond {
		t.Fatalf("timed out after %v, before the wait of 20 ms", got.took)
	}
	p.send(id(0) + " SLOW\r\n") // too late: ignored
	c.Get(id(1), long, nil)
	p.expect("GET", id(1))
	p.send(id(1) + " SHED\r\n")
	r.expect(t, id(1), policy.TurnedAway)
	r.none(t)
	if n := set.Get("index_calls_timed_out").Load(); n != 1 {
		t.Fatalf("%d calls timed out, want 1", n)
	}
}

func TestBoundOnOpenCalls(t *testing.T) {
	f := newFake(t)
	c, r, set := start(t, f.addr())
	for n := range callsMost {
		c.Get(id(n), long, nil)
	}
	c.Get(id(callsMost), long, nil)
	r.expect(t, id(callsMost), policy.TurnedAway) // at once, with no word from the index
	p := f.next()
	for n := range callsMost {
		p.expect("GET", id(n))
	}
	c.Get(id(0), long, []byte("again")) // replaces an open call: no more are open
	p.expect("GET", id(0))
	p.send(id(5) + " SHED\r\n")
	r.expect(t, id(5), policy.TurnedAway)
	c.Get(id(callsMost+1), long, nil) // a place is free again
	p.expect("GET", id(callsMost+1))
	c.Close()
	seen := map[string]bool{}
	for range callsMost {
		got := r.next(t)
		if got.outcome != policy.Interrupted || seen[got.id] {
			t.Fatalf("Reply(%s, %v), want Interrupted once for each call", got.id, got.outcome)
		}
		seen[got.id] = true
	}
	r.none(t)
	if n := set.Get("index_calls_turned_away").Load(); n != 1 {
		t.Fatalf("%d calls turned away, want 1", n)
	}
}

func TestBoundOnBytesToWrite(t *testing.T) {
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	c.Get(id(0), long, make([]byte, outputMost))
	r.expect(t, id(0), policy.TurnedAway)
	c.Get(id(1), long, []byte("fits"))
	p := f.next()
	p.expect("GET", id(1)) // nothing of the call turned away was written
}

func TestCallsThatCannotGoAreTurnedAway(t *testing.T) {
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	c.Get("9b1f03aa5c7e2d4", long, nil) // 15 digits
	r.expect(t, "9b1f03aa5c7e2d4", policy.TurnedAway)
	c.Get("9b1f03aa5c7e2d4g", long, nil)
	r.expect(t, "9b1f03aa5c7e2d4g", policy.TurnedAway)
	c.Get(id(0), 0, nil)
	r.expect(t, id(0), policy.TurnedAway)
	c.Close()
	c.Get(id(1), long, nil)
	r.expect(t, id(1), policy.TurnedAway)
	select {
	case p := <-f.accepted:
		t.Fatalf("a connection was made from %v for calls that were turned away", p.socket.RemoteAddr())
	default:
	}
}

// caller stands for a replica: it holds its own lock while it calls Get, and Reply takes that lock.
type caller struct {
	mu      sync.Mutex
	inside  atomic.Bool
	wrong   atomic.Bool
	replies chan struct{}
}

func (k *caller) Reply(string, policy.Outcome, time.Duration, []byte) {
	if k.inside.Load() {
		k.wrong.Store(true)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replies <- struct{}{}
}

func TestGetNeverRepliesFromWithin(t *testing.T) {
	k := &caller{replies: make(chan struct{}, 1)}
	c := New("127.0.0.1:1", k, new(counters.Set))
	c.Close()
	k.mu.Lock()
	k.inside.Store(true)
	c.Get(id(0), long, nil) // turned away; a Reply told from Get itself would deadlock here
	k.inside.Store(false)
	k.mu.Unlock()
	select {
	case <-k.replies:
	case <-time.After(guard):
		t.Fatal("no Reply came")
	}
	if k.wrong.Load() {
		t.Fatal("Reply was told from within Get")
	}
}

func TestGarbageEndsTheConnection(t *testing.T) {
	var logged bytes.Buffer
	before := log.Writer()
	log.SetOutput(&logged)
	defer log.SetOutput(before)
	garbage := []string{
		"junk\r\n",
		id(0) + " WHAT\r\n",
		id(0) + " SHED\n",
		id(0) + " SHED 4\r\n",
		id(0) + " HIT\r\n",
		id(0) + " HIT -1\r\n",
		id(0) + " HIT 4194305\r\n",
		id(0) + " HIT 3\r\nabcXY",
		strings.Repeat("x", 200) + "\r\n",
	}
	for _, text := range garbage {
		logged.Reset()
		f := newFake(t)
		c, r, set := start(t, f.addr())
		c.Get(id(0), long, nil)
		p := f.next()
		p.expect("GET", id(0))
		p.send(text)
		r.expect(t, id(0), policy.Interrupted)
		if n := set.Get("index_links_garbage").Load(); n != 1 {
			t.Fatalf("after %q: %d links ended by garbage, want 1", text, n)
		}
		if lines := strings.Count(logged.String(), "garbage"); lines != 1 {
			t.Fatalf("after %q: %d lines logged, want 1: %s", text, lines, logged.String())
		}
		c.Close()
	}
}

func TestReconnectAfterTheIndexClosedAnIdleConnection(t *testing.T) {
	f := newFake(t)
	ended := make(chan struct{}, 1)
	c, r, set := start(t, f.addr())
	c.linkEnded = func() { ended <- struct{}{} }
	c.Get(id(0), long, nil)
	p := f.next()
	p.expect("GET", id(0))
	p.send(id(0) + " SHED\r\n")
	r.expect(t, id(0), policy.TurnedAway)
	p.socket.Close() // the index closes the connection that is idle now
	select {
	case <-ended:
	case <-time.After(guard):
		t.Fatal("the client did not see the connection end")
	}
	r.none(t) // no call was out: nothing to tell
	c.Get(id(1), long, nil)
	q := f.next()
	q.expect("GET", id(1))
	q.hit(id(1), []byte("after"))
	r.expect(t, id(1), policy.Succeeded)
	if n := set.Get("index_dials").Load(); n != 2 {
		t.Fatalf("%d dials, want 2", n)
	}
}

func TestCloseInterruptsEachCallOnce(t *testing.T) {
	f := newFake(t)
	c, r, _ := start(t, f.addr())
	c.Get(id(0), long, nil)
	c.Get(id(1), long, nil)
	p := f.next()
	p.expect("GET", id(0))
	p.expect("GET", id(1))
	c.Stop(id(1))
	p.expect("STOP", id(1))
	c.Close()
	r.expect(t, id(0), policy.Interrupted)
	c.Close()
	c.Stop(id(0))
	r.none(t)
}
