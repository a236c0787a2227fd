package index

import (
	"io"
	"maps"
	"testing"
	"time"

	"cairnlane/policy"
)

// TestBrokenConnectionInterruptsOnlyItsCalls checks that a malformed reply on one connection does not interrupt
// calls on another one: it is unknown whether interrupted writes ran, so they fail.
func TestBrokenConnectionInterruptsOnlyItsCalls(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClientWithLinks(t, f.addr(), maxLinks)
	c.Get(callID(0), longWait, nil)
	first := f.next()
	first.expect("GET", callID(0))
	c.Get(callID(1), longWait, nil)
	second := f.next()
	second.expect("GET", callID(1))
	first.send("spoilt\r\n")
	r.expect(t, callID(0), policy.Interrupted)
	second.hit(callID(1), []byte("whole"))
	r.expect(t, callID(1), policy.Succeeded)
	if n := set.Get("index_calls_interrupted").Load(); n != 1 {
		t.Fatalf("%d calls interrupted, want 1", n)
	}
}

// TestIdleConnectionIsReused checks that a connection without open calls is used before a new one is made, the
// oldest first, so that few connections stay open under low load.
func TestIdleConnectionIsReused(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClientWithLinks(t, f.addr(), maxLinks)
	var peers []*peer
	for n := range maxLinks {
		c.Get(callID(n), longWait, nil)
		p := f.next()
		p.expect("GET", callID(n))
		peers = append(peers, p)
		if n == 0 { // without open calls, it takes the next call too
			p.hit(callID(0), nil)
			r.expect(t, callID(0), policy.Succeeded)
			c.Get(callID(0), longWait, nil)
			p.expect("GET", callID(0))
		}
	}
	c.Get(callID(maxLinks), longWait, nil) // shares a connection, as there are maxLinks
	peers[0].expect("GET", callID(maxLinks))
	for _, n := range []int{2, 1} {
		peers[n].hit(callID(n), nil)
		r.expect(t, callID(n), policy.Succeeded)
	}
	c.Get(callID(maxLinks+1), longWait, nil)
	peers[1].expect("GET", callID(maxLinks+1))
	if n := set.Get("index_dials").Load(); n != maxLinks {
		t.Fatalf("%d dials, want %d", n, maxLinks)
	}
}

// TestRepeatedCallUsesConnectionOfStoppedCall checks that a new call uses the connection of an abandoned call
// with the same id. The index may read lines on two connections in any order, so the STOP of the abandoned call
// could otherwise stop the new call.
func TestRepeatedCallUsesConnectionOfStoppedCall(t *testing.T) {
	f := newFakeIndex(t)
	c, r, _ := newTestClientWithLinks(t, f.addr(), maxLinks)
	c.Get(callID(0), longWait, nil)
	first := f.next()
	first.expect("GET", callID(0))
	c.Get(callID(1), longWait, nil)
	second := f.next()
	second.expect("GET", callID(1))
	c.Stop(callID(1))
	second.expect("STOP", callID(1))
	first.hit(callID(0), nil)
	r.expect(t, callID(0), policy.Succeeded) // the oldest connection has no open calls, and any other call would use it
	c.Get(callID(1), longWait, nil)
	second.expect("GET", callID(1))
	c.Get(callID(1), longWait, []byte("again")) // replaces the call without a STOP
	second.expect("GET", callID(1))
	second.hit(callID(1), nil)
	r.expect(t, callID(1), policy.Succeeded)
	r.expectNone(t)
}

// TestCallsAfterMoveUseNewAddress checks that calls after a move do not continue to use the connection to the
// old address: they would be lost when it ends.
func TestCallsAfterMoveUseNewAddress(t *testing.T) {
	old, moved := newFakeIndex(t), newFakeIndex(t)
	c, r, _ := newTestClientWithLinks(t, old.addr(), 1)
	c.Get(callID(0), longWait, nil)
	p := old.next()
	p.expect("GET", callID(0))
	c.Move(moved.addr())
	c.Get(callID(1), longWait, nil)
	q := moved.next()
	q.expect("GET", callID(1))
	p.hit(callID(0), []byte("from the old one"))
	r.expect(t, callID(0), policy.Succeeded)
	p.socket.Close()
	q.hit(callID(1), nil)
	r.expect(t, callID(1), policy.Succeeded)
	r.expectNone(t)
}

// TestSilentConnectionIsClosed checks that a connection that accepts calls but answers none is closed. Otherwise
// its calls, and their retries, would wait for as long as they may.
func TestSilentConnectionIsClosed(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClientWithLinks(t, f.addr(), 2)
	c.silenceLimit = 0
	c.Get(callID(0), longWait, nil)
	silent := f.next()
	silent.expect("GET", callID(0))
	var answering *peer
	for n := 1; n <= maxPassed; n++ {
		r.expectNone(t)
		c.Get(callID(n), longWait, nil)
		if n == 1 {
			answering = f.next()
		}
		answering.expect("GET", callID(n))
		answering.hit(callID(n), nil)
		if n < maxPassed {
			r.expect(t, callID(n), policy.Succeeded)
		}
	}
	got := map[string]policy.Outcome{}
	for range 2 { // in either order: the reader delivers one, the drain goroutine the other
		reply := r.next(t)
		got[reply.id] = reply.outcome
	}
	if want := map[string]policy.Outcome{callID(0): policy.Interrupted, callID(maxPassed): policy.Succeeded}; !maps.Equal(got, want) {
		t.Fatalf("replies %v, want %v", got, want)
	}
	silent.socket.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Fatalf("read on the silent connection: %v, want EOF", err)
	}
	if n := set.Get("index_links_silent").Load(); n != 1 {
		t.Fatalf("%d silent links counted, want 1", n)
	}
}

// TestConnectionWithOneSlowCallStaysOpen checks that a slow call does not end a connection that answers other
// calls.
func TestConnectionWithOneSlowCallStaysOpen(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClientWithLinks(t, f.addr(), 1)
	c.silenceLimit = 0
	c.Get(callID(0), longWait, nil)
	p := f.next()
	p.expect("GET", callID(0))
	for n := 1; n <= 2*maxPassed; n++ {
		c.Get(callID(n), longWait, nil)
		p.expect("GET", callID(n))
		p.hit(callID(n), nil)
		r.expect(t, callID(n), policy.Succeeded)
	}
	p.hit(callID(0), nil)
	r.expect(t, callID(0), policy.Succeeded)
	if n := set.Get("index_links_silent").Load(); n != 0 {
		t.Fatalf("%d silent links counted, want 0", n)
	}
}
