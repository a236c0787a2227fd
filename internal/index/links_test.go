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
func TestABrokenConnectionTakesNoCallOfAnother(t *testing.T) {
	f := newFake(t)
	c, r, set := startWith(t, f.addr(), linksMost)
	c.Get(id(0), long, nil)
	first := f.next()
	first.expect("GET", id(0))
	c.Get(id(1), long, nil)
	second := f.next()
	second.expect("GET", id(1))
	first.send("spoilt\r\n")
	r.expect(t, id(0), policy.Interrupted)
	second.hit(id(1), []byte("whole"))
	r.expect(t, id(1), policy.Succeeded)
	if n := set.Get("index_calls_interrupted").Load(); n != 1 {
		t.Fatalf("%d calls interrupted, want 1", n)
	}
}

// A connection with no call out is used again before another one is made, and the oldest first: with few calls out, few
// connections stay.
func TestAFreeConnectionIsUsedAgain(t *testing.T) {
	f := newFake(t)
	c, r, set := startWith(t, f.addr(), linksMost)
	var peers []*peer
	for n := range linksMost {
		c.Get(id(n), long, nil)
		p := f.next()
		p.expect("GET", id(n))
		peers = append(peers, p)
		if n == 0 { // free again, it takes the next call too
			p.hit(id(0), nil)
			r.expect(t, id(0), policy.Succeeded)
			c.Get(id(0), long, nil)
			p.expect("GET", id(0))
		}
	}
	c.Get(id(linksMost), long, nil) // shares, as no more may be made
	peers[0].expect("GET", id(linksMost))
	for _, n := range []int{2, 1} {
		peers[n].hit(id(n), nil)
		r.expect(t, id(n), policy.Succeeded)
	}
	c.Get(id(linksMost+1), long, nil)
	peers[1].expect("GET", id(linksMost+1))
	if n := set.Get("index_dials").Load(); n != linksMost {
		t.Fatalf("%d dials, want %d", n, linksMost)
	}
}

// Lines on two connections may be read in any order: a call made again must not be taken for the one that was given up.
func TestACallMadeAgainFollowsTheOneGivenUp(t *testing.T) {
	f := newFake(t)
	c, r, _ := startWith(t, f.addr(), linksMost)
	c.Get(id(0), long, nil)
	first := f.next()
	first.expect("GET", id(0))
	c.Get(id(1), long, nil)
	second := f.next()
	second.expect("GET", id(1))
	c.Stop(id(1))
	second.expect("STOP", id(1))
	first.hit(id(0), nil)
	r.expect(t, id(0), policy.Succeeded) // the oldest connection is free, and would be taken for any other call
	c.Get(id(1), long, nil)
	second.expect("GET", id(1))
	c.Get(id(1), long, []byte("again")) // given up without a word
	second.expect("GET", id(1))
	second.hit(id(1), nil)
	r.expect(t, id(1), policy.Succeeded)
	r.none(t)
}

// After a move calls used to go on to the old address for as long as its connection lasted, and were lost as it ended.
func TestCallsAfterAMoveGoToTheNewAddress(t *testing.T) {
	old, moved := newFake(t), newFake(t)
	c, r, _ := startWith(t, old.addr(), 1)
	c.Get(id(0), long, nil)
	p := old.next()
	p.expect("GET", id(0))
	c.Move(moved.addr())
	c.Get(id(1), long, nil)
	q := moved.next()
	q.expect("GET", id(1))
	p.hit(id(0), []byte("from the old one"))
	r.expect(t, id(0), policy.Succeeded)
	p.socket.Close()
	q.hit(id(1), nil)
	r.expect(t, id(1), policy.Succeeded)
	r.none(t)
}

// A connection that takes calls and answers none of them used to keep them, and each that was made again went to it too,
// until all had waited for as long as they might.
func TestAConnectionThatAnswersNothingMoreIsGivenUp(t *testing.T) {
	f := newFake(t)
	c, r, set := startWith(t, f.addr(), 2)
	c.silentAfter = 0
	c.Get(id(0), long, nil)
	silent := f.next()
	silent.expect("GET", id(0))
	var well *peer
	for n := 1; n <= passedMost; n++ {
		r.none(t)
		c.Get(id(n), long, nil)
		if n == 1 {
			well = f.next()
		}
		well.expect("GET", id(n))
		well.hit(id(n), nil)
		if n < passedMost {
			r.expect(t, id(n), policy.Succeeded)
		}
	}
	got := map[string]policy.Outcome{}
	for range 2 { // in either order: one is told by the reader, one by the client's own goroutine
		reply := r.next(t)
		got[reply.id] = reply.outcome
	}
	if want := map[string]policy.Outcome{id(0): policy.Interrupted, id(passedMost): policy.Succeeded}; !maps.Equal(got, want) {
		t.Fatalf("replies %v, want %v", got, want)
	}
	silent.socket.SetReadDeadline(time.Now().Add(guard))
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Fatalf("the silent connection: %v, want its end", err)
	}
	if n := set.Get("index_links_silent").Load(); n != 1 {
		t.Fatalf("%d silent links are counted, want 1", n)
	}
}

// A slow call on a connection that answers others is no reason to end it.
func TestAConnectionWithASlowCallStays(t *testing.T) {
	f := newFake(t)
	c, r, set := startWith(t, f.addr(), 1)
	c.silentAfter = 0
	c.Get(id(0), long, nil)
	p := f.next()
	p.expect("GET", id(0))
	for n := 1; n <= 2*passedMost; n++ {
		c.Get(id(n), long, nil)
		p.expect("GET", id(n))
		p.hit(id(n), nil)
		r.expect(t, id(n), policy.Succeeded)
	}
	p.hit(id(0), nil)
	r.expect(t, id(0), policy.Succeeded)
	if n := set.Get("index_links_silent").Load(); n != 0 {
		t.Fatalf("%d silent links are counted", n)
	}
}
