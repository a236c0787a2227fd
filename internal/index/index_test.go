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

func TestReplyWordsMapToOutcomes(t *testing.T) {
	words := []struct {
		reply   string
		outcome policy.Outcome
	}{
		{"SHED", policy.Rejected}, {"NOBODY", policy.Rejected}, {"BROKEN", policy.Failed},
		{"SLOW", policy.TimedOut},
	}
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
	c.Get(callID(0), longWait, []byte("first"))
	p := f.next()
	p.expect("GET", callID(0))
	p.hit(callID(0), []byte("found"))
	if got := r.expect(t, callID(0), policy.Succeeded); string(got.result) != "found" || got.took <= 0 {
		t.Fatalf("HIT gave result %q in %v", got.result, got.took)
	}
	for n, w := range words {
		c.Get(callID(n+1), longWait, nil)
		p.expect("GET", callID(n+1))
		p.send(callID(n+1) + " " + w.reply + "\r\n")
		if got := r.expect(t, callID(n+1), w.outcome); got.result != nil {
			t.Fatalf("%s gave result %q", w.reply, got.result)
		}
	}
}

func TestBodiesAndResultsAreUnchanged(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
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
		c.Get(callID(n), longWait+time.Microsecond, body)
		clear(body) // the body belongs to the caller again once Get returns
		if p == nil {
			p = f.next()
		}
		got := p.expect("GET", callID(n))
		if !bytes.Equal(got.body, sent) || got.ms != 60_001 {
			t.Fatalf("call %d: the index got %d bytes and %d ms, want %d bytes and 60001 ms", n, len(got.body),
				got.ms, len(sent))
		}
		p.hit(callID(n), sent)
		if back := r.expect(t, callID(n), policy.Succeeded); !bytes.Equal(back.result, sent) {
			t.Fatalf("call %d: result of %d bytes changed on the way back", n, len(sent))
		}
	}
}

func TestRepliesOutOfOrder(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
	for n := range 3 {
		c.Get(callID(n), longWait, []byte{byte(n)})
	}
	p := f.next()
	for n := range 3 {
		p.expect("GET", callID(n))
	}
	for _, n := range []int{2, 0, 1} {
		p.hit(callID(n), []byte{'r', byte(n)})
		if got := r.expect(t, callID(n), policy.Succeeded); !bytes.Equal(got.result, []byte{'r', byte(n)}) {
			t.Fatalf("call %d got result %q", n, got.result)
		}
	}
}

func TestStopWritesStopAndNoReplyFollows(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClient(t, f.addr())
	c.Get(callID(0), longWait, nil)
	p := f.next()
	p.expect("GET", callID(0))
	c.Stop(callID(0))
	p.expect("STOP", callID(0))
	p.hit(callID(0), []byte("late")) // the index answered before it read STOP
	c.Get(callID(1), longWait, nil)
	p.expect("GET", callID(1))
	p.send(callID(1) + " SHED\r\n")
	r.expect(t, callID(1), policy.Rejected) // replies are read in order, so the late one was read before
	r.expectNone(t)
	if n := set.Get("index_replies_unknown").Load(); n != 1 {
		t.Fatalf("%d unknown replies counted, want 1", n)
	}
	c.Stop(callID(7)) // no such call: Stop does nothing
}

func TestSecondGetReplacesTheFirst(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
	c.Get(callID(0), longWait, []byte("one"))
	p := f.next()
	p.expect("GET", callID(0))
	c.Get(callID(0), longWait, []byte("two"))
	if got := p.expect("GET", callID(0)); string(got.body) != "two" {
		t.Fatalf("second GET carried %q", got.body)
	}
	p.hit(callID(0), []byte("for two"))
	r.expect(t, callID(0), policy.Succeeded)
	c.Get(callID(1), longWait, nil)
	p.expect("GET", callID(1))
	p.send(callID(1) + " NOBODY\r\n")
	r.expect(t, callID(1), policy.Rejected)
	r.expectNone(t) // the replaced call gets no Reply
}

func TestRefusedDialIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close() // nothing listens there now: connections are refused
	c, r, set := newTestClient(t, addr)
	c.Get(callID(0), longWait, nil)
	c.Get(callID(1), longWait, nil)
	for range 2 {
		if got := r.next(t); got.outcome != policy.Unreachable {
			t.Fatalf("Reply(%s, %v), want Unreachable", got.id, got.outcome)
		}
	}
	// Both calls share one dial unless it failed between them; either way every dial failed.
	if dials, failed := set.Get("index_dials").Load(), set.Get("index_dials_failed").Load(); failed != dials || dials < 1 {
		t.Fatalf("%d of %d dials failed, want all", failed, dials)
	}
	f := newFakeIndex(t) // the index is available at another address
	c.Move(f.addr())
	c.Get(callID(2), longWait, nil)
	p := f.next()
	p.expect("GET", callID(2))
	p.send(callID(2) + " BROKEN\r\n")
	r.expect(t, callID(2), policy.Failed)
}

func TestBrokenConnectionInterruptsCallsOut(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClient(t, f.addr())
	c.Get(callID(0), longWait, nil)
	c.Get(callID(1), longWait, nil)
	p := f.next()
	p.expect("GET", callID(0))
	p.expect("GET", callID(1))
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
	f := newFakeIndex(t)
	c, r, set := newTestClient(t, f.addr())
	c.Get(callID(0), 20*time.Millisecond, nil)
	p := f.next()
	if got := p.expect("GET", callID(0)); got.ms != 20 {
		t.Fatalf("GET carried a wait of %d ms, want 20", got.ms)
	}
	p.expect("STOP", callID(0)) // written when the client's own timer expired
	if got := r.expect(t, callID(0), policy.TimedOut); got.took < 20*time.Millisecond {
		t.Fatalf("timed out after %v, before the wait of 20 ms", got.took)
	}
	p.send(callID(0) + " SLOW\r\n") // too late: ignored
	c.Get(callID(1), longWait, nil)
	p.expect("GET", callID(1))
	p.send(callID(1) + " SHED\r\n")
	r.expect(t, callID(1), policy.Rejected)
	r.expectNone(t)
	if n := set.Get("index_calls_timed_out").Load(); n != 1 {
		t.Fatalf("%d calls timed out, want 1", n)
	}
}

func TestOpenCallLimit(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClient(t, f.addr())
	for n := range maxOpenCalls {
		c.Get(callID(n), longWait, nil)
	}
	c.Get(callID(maxOpenCalls), longWait, nil)
	r.expect(t, callID(maxOpenCalls), policy.Rejected) // at once, without asking the index
	p := f.next()
	for n := range maxOpenCalls {
		p.expect("GET", callID(n))
	}
	c.Get(callID(0), longWait, []byte("again")) // replaces an open call, so their number does not grow
	p.expect("GET", callID(0))
	p.send(callID(5) + " SHED\r\n")
	r.expect(t, callID(5), policy.Rejected)
	c.Get(callID(maxOpenCalls+1), longWait, nil) // the number of open calls is below the limit again
	p.expect("GET", callID(maxOpenCalls+1))
	c.Close()
	seen := map[string]bool{}
	for range maxOpenCalls {
		got := r.next(t)
		if got.outcome != policy.Interrupted || seen[got.id] {
			t.Fatalf("Reply(%s, %v), want Interrupted once for each call", got.id, got.outcome)
		}
		seen[got.id] = true
	}
	r.expectNone(t)
	if n := set.Get("index_calls_turned_away").Load(); n != 1 {
		t.Fatalf("%d calls rejected, want 1", n)
	}
}

func TestPendingByteLimit(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
	c.Get(callID(0), longWait, make([]byte, maxPendingBytes))
	r.expect(t, callID(0), policy.Rejected)
	c.Get(callID(1), longWait, []byte("fits"))
	p := f.next()
	p.expect("GET", callID(1)) // nothing of the call that was rejected was written
}

func TestInvalidCallsAreRejected(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
	c.Get("9b1f03aa5c7e2d4", longWait, nil) // 15 digits
	r.expect(t, "9b1f03aa5c7e2d4", policy.Rejected)
	c.Get("9b1f03aa5c7e2d4g", longWait, nil)
	r.expect(t, "9b1f03aa5c7e2d4g", policy.Rejected)
	c.Get(callID(0), 0, nil)
	r.expect(t, callID(0), policy.Rejected)
	c.Close()
	c.Get(callID(1), longWait, nil)
	r.expect(t, callID(1), policy.Rejected)
	select {
	case p := <-f.accepted:
		t.Fatalf("a connection was made from %v for calls that were rejected", p.socket.RemoteAddr())
	default:
	}
}

// lockingCaller simulates a replica: it holds its own lock while it calls Get, and Reply takes that lock.
type lockingCaller struct {
	mu      sync.Mutex
	inside  atomic.Bool
	wrong   atomic.Bool
	replies chan struct{}
}

func (k *lockingCaller) Reply(string, policy.Outcome, time.Duration, []byte) {
	if k.inside.Load() {
		k.wrong.Store(true)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replies <- struct{}{}
}

func TestGetDoesNotReplySynchronously(t *testing.T) {
	caller := &lockingCaller{replies: make(chan struct{}, 1)}
	c := New("127.0.0.1:1", caller, new(counters.Set))
	c.Close()
	caller.mu.Lock()
	caller.inside.Store(true)
	c.Get(callID(0), longWait, nil) // rejected; a Reply made by Get itself would deadlock here
	caller.inside.Store(false)
	caller.mu.Unlock()
	select {
	case <-caller.replies:
	case <-time.After(testTimeout):
		t.Fatalf("no Reply within %v", testTimeout)
	}
	if caller.wrong.Load() {
		t.Fatal("Reply was called from within Get")
	}
}

func TestMalformedReplyEndsConnection(t *testing.T) {
	var logged bytes.Buffer
	before := log.Writer()
	log.SetOutput(&logged)
	defer log.SetOutput(before)
	malformed := []string{
		"junk\r\n",
		callID(0) + " WHAT\r\n",
		callID(0) + " SHED\n",
		callID(0) + " SHED 4\r\n",
		callID(0) + " HIT\r\n",
		callID(0) + " HIT -1\r\n",
		callID(0) + " HIT 4194305\r\n",
		callID(0) + " HIT 3\r\nabcXY",
		strings.Repeat("x", 200) + "\r\n",
	}
	for _, text := range malformed {
		logged.Reset()
		f := newFakeIndex(t)
		c, r, set := newTestClient(t, f.addr())
		c.Get(callID(0), longWait, nil)
		p := f.next()
		p.expect("GET", callID(0))
		p.send(text)
		r.expect(t, callID(0), policy.Interrupted)
		if n := set.Get("index_links_garbage").Load(); n != 1 {
			t.Fatalf("after %q: %d links ended by malformed replies, want 1", text, n)
		}
		if lines := strings.Count(logged.String(), "malformed reply"); lines != 1 {
			t.Fatalf("after %q: %d lines logged, want 1: %s", text, lines, logged.String())
		}
		c.Close()
	}
}

func TestReconnectAfterTheIndexClosedAnIdleConnection(t *testing.T) {
	f := newFakeIndex(t)
	ended := make(chan struct{}, 1)
	c, r, set := newTestClient(t, f.addr())
	c.onLinkEnded = func() { ended <- struct{}{} }
	c.Get(callID(0), longWait, nil)
	p := f.next()
	p.expect("GET", callID(0))
	p.send(callID(0) + " SHED\r\n")
	r.expect(t, callID(0), policy.Rejected)
	p.socket.Close() // the index closes the connection, which is idle now
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the client did not see the connection end")
	}
	r.expectNone(t) // no call was outstanding
	c.Get(callID(1), longWait, nil)
	q := f.next()
	q.expect("GET", callID(1))
	q.hit(callID(1), []byte("after"))
	r.expect(t, callID(1), policy.Succeeded)
	if n := set.Get("index_dials").Load(); n != 2 {
		t.Fatalf("%d dials, want 2", n)
	}
}

func TestCloseInterruptsEachCallOnce(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClient(t, f.addr())
	c.Get(callID(0), longWait, nil)
	c.Get(callID(1), longWait, nil)
	p := f.next()
	p.expect("GET", callID(0))
	p.expect("GET", callID(1))
	c.Stop(callID(1))
	p.expect("STOP", callID(1))
	c.Close()
	r.expect(t, callID(0), policy.Interrupted)
	c.Close()
	c.Stop(callID(0))
	r.expectNone(t)
}
