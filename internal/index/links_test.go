package index

import (
	"io"
	"maps"
	"testing"
	"time"

	"cairnlane/policy"
)

// All calls used to share one connection, and each that broke under one call or one spoilt reply took the other calls out
// with it. Writes among them failed, as nobody knows whether they ran.
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

// A connection with no call out is used again before another one is made, and the oldest first: with few calls out, few
// connections stay.
func TestIdleConnectionIsReused(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClientWithLinks(t, f.addr(), maxLinks)
	var peers []*peer
	for n := range maxLinks {
		c.Get(callID(n), longWait, nil)
		p := f.next()
		p.expect("GET", callID(n))
		peers = append(peers, p)
		if n == 0 { // free again, it takes the next call too
			p.hit(callID(0), nil)
			r.expect(t, callID(0), policy.Succeeded)
			c.Get(callID(0), longWait, nil)
			p.expect("GET", callID(0))
		}
	}
	c.Get(callID(maxLinks), longWait, nil) // shares, as no more may be made
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

// Lines on two connections may be read in any order: a call made again must not be taken for the one that was given up.
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
	r.expect(t, callID(0), policy.Succeeded) // the oldest connection is free, and would be taken for any other call
	c.Get(callID(1), longWait, nil)
	second.expect("GET", callID(1))
	c.Get(callID(1), longWait, []byte("again")) // given up without a word
	second.expect("GET", callID(1))
	second.hit(callID(1), nil)
	r.expect(t, callID(1), policy.Succeeded)
	r.expectNone(t)
}

// After a move calls used to go on to the old address for as long as its connection lasted, and were lost as it ended.
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

// A connection that takes calls and answers none of them used to keep them, and each that was made again went to it too,
// until all had waited for as long as they might.
func TestSilentConnectionIsClosed(t *testing.T) {
	f := newFakeIndex(t)
	c, r, set := newTestClientWithLinks(t, f.addr(), 2)
	c.silenceLimit = 0
	c.Get(callID(0), longWait, nil)
	silent := f.next()
	silent.expect("GET", callID(0))
	var well *peer
	for n := 1; n <= maxPassed; n++ {
		r.expectNone(t)
		c.Get(callID(n), longWait, nil)
		if n == 1 {
			well = f.next()
		}
		well.expect("GET", callID(n))
		well.hit(callID(n), nil)
		if n < maxPassed {
			r.expect(t, callID(n), policy.Succeeded)
		}
	}
	got := map[string]policy.Outcome{}
	for range 2 { // in either order: one is told by the reader, one by the client's own goroutine
		reply := r.next(t)
		got[reply.id] = reply.outcome
	}
	if want := map[string]policy.Outcome{callID(0): policy.Interrupted, callID(maxPassed): policy.Succeeded}; !maps.Equal(got, want) {
		t.Fatalf("replies %v, want %v", got, want)
	}
	silent.socket.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Fatalf("the silent connection: %v, want its end", err)
	}
	if n := set.Get("index_links_silent").Load(); n != 1 {
		t.Fatalf("%d silent links are counted, want 1", n)
	}
}

// A slow call on a connection that answers others is no reason to end it.
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
		t.Fatalf("%d silent links are counted", n)
	}
}
