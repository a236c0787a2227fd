package index

import (
	"testing"

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
