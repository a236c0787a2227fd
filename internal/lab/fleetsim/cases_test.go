package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"cairnlane/internal/decide/lease"
)

// quiet is a fleet without drawn faults that has come together.
func quiet(boxes, voters int, change func(*Config)) *World {
	cfg := Default(7)
	cfg.Boxes, cfg.Voters, cfg.Loss = boxes, voters, 0
	if change != nil {
		change(&cfg)
	}
	w := New(cfg)
	for w.now < time.Minute && !w.whole() {
		w.Advance(w.now + 100*time.Millisecond)
	}
	w.Advance(w.now + 2*time.Second)
	return w
}

// whole tells whether all that are to vote do, and everybody is in.
func (w *World) whole() bool {
	for i, b := range w.boxes {
		s := b.node.Ledger().State()
		if len(s.Voters) < w.cfg.Voters || b.node.Holder().Phase() != lease.Joined {
			return false
		}
		if i < w.cfg.Voters && (s.Voters[b.name].Learner || s.Voters[b.name].ID != b.node.Ledger().ID()) {
			return false
		}
	}
	return true
}

func (w *World) leader() int {
	for i, b := range w.boxes {
		if b.node != nil && b.node.Ledger().Leads(b.clock(w)) {
			return i
		}
	}
	return -1
}

func (w *World) both(i int, on bool) {
	for k := range w.boxes {
		if k != i {
			w.cut[[2]int{i, k}], w.cut[[2]int{k, i}] = on, on
		}
	}
}

// TestHardCases plays one thing at a time on a busy fleet. Whatever happens, no two act at once and all come back.
func TestHardCases(t *testing.T) {
	for name, c := range map[string]struct {
		boxes, voters int
		change        func(*Config)
		do            func(w *World)
	}{
		"the leader is stopped and wakes": {4, 3, nil, func(w *World) { w.stop(w.leader(), 9*time.Second); w.Advance(w.now + 12*time.Second) }},
		"the leader hears and is not heard": {4, 3, nil, func(w *World) {
			i := w.leader()
			for k := range w.boxes {
				w.cut[[2]int{i, k}] = true
			}
			w.Advance(w.now + 10*time.Second)
			if l := w.leader(); l == i || l < 0 {
				w.broken("box%d leads", l)
			}
		}},
		"the leader is heard and does not hear": {4, 3, nil, func(w *World) {
			i := w.leader()
			for k := range w.boxes {
				w.cut[[2]int{k, i}] = true
			}
			w.Advance(w.now + 15*time.Second)
			if l := w.leader(); l == i || l < 0 {
				w.broken("box%d leads", l)
			}
		}},
		"a majority through a slow relay": {5, 3, nil, func(w *World) {
			i := w.leader()
			for k := range w.boxes {
				w.slow[[2]int{i, k}], w.slow[[2]int{k, i}] = 200*time.Millisecond, 200*time.Millisecond
			}
			acts := w.res.Acts
			w.Advance(w.now + 15*time.Second)
			if w.res.Acts == acts {
				w.broken("nobody acts")
			}
		}},
		"links that flap at a renewal's pace": {4, 3, nil, func(w *World) {
			for range 30 {
				w.both(3, true)
				w.Advance(w.now + w.cfg.Terms.RenewInterval())
				w.both(3, false)
				w.Advance(w.now + w.cfg.Terms.RenewInterval())
			}
		}},
		"renewals whose answers are lost": {4, 3, nil, func(w *World) {
			for k := range w.boxes {
				w.cut[[2]int{k, 3}] = true
			}
			w.Advance(w.now + 6*time.Second)
		}},
		"two boxes, one votes": {2, 1, nil, func(w *World) { w.kill(1); w.Advance(w.now + 4*time.Second); w.start(1) }},
		"all killed, back in any order": {5, 3, nil, func(w *World) {
			for i := range w.boxes {
				w.kill(i)
			}
			for _, i := range []int{3, 1, 4, 0, 2} {
				w.Advance(w.now + 1100*time.Millisecond)
				w.start(i)
			}
		}},
		"one with an old copy of its folder": {4, 3, nil, func(w *World) {
			old := w.boxes[1].disk.Copy()
			w.Advance(w.now + 10*time.Second)
			w.kill(1)
			*w.boxes[1].disk = *old
			w.start(1)
			w.Advance(w.now + 8*time.Second)
		}},
		"a disk that is full at a vote": {4, 3, nil, func(w *World) {
			i := w.leader()
			for k := range w.boxes {
				w.boxes[k].disk.Full = k != i
			}
			w.kill(i)
			w.Advance(w.now + 5*time.Second)
			for k := range w.boxes {
				w.boxes[k].disk.Full = false
			}
			w.start(i)
		}},
		"nearly all replaced cold": {20, 3, nil, func(w *World) {
			lost := (w.leader() + 1) % 3
			for i := range w.boxes {
				if i > 2 || i == lost {
					w.kill(i)
					w.boxes[i].disk.Erase()
				}
			}
			for i := range w.boxes {
				if w.boxes[i].node == nil {
					w.Advance(w.now + 1500*time.Millisecond)
					w.start(i)
				}
			}
			w.Advance(w.now + 10*time.Second)
		}},
	} {
		w := quiet(c.boxes, c.voters, c.change)
		c.do(w)
		w.heal()
		w.Advance(w.now + w.cfg.Settle)
		w.rest2()
		if len(w.res.Broken) > 0 || w.res.Acts < 20 {
			t.Errorf("%s: %v\n%v", name, w.res, w.res.Broken)
		}
	}
}

// TestARemovedVoterThatComesBackVotesNoMore takes a voter out while it is away.
func TestARemovedVoterThatComesBackVotesNoMore(t *testing.T) {
	w := quiet(5, 3, nil)
	gone := (w.leader() + 1) % 3
	id := w.boxes[gone].node.Ledger().ID()
	w.kill(gone)
	w.Advance(w.now + 5*time.Second)
	l := w.leader()
	var want []string
	for _, i := range []int{0, 1, 2, 3} {
		if i != gone {
			want = append(want, fmt.Sprintf("box%d", i))
		}
	}
	w.run(l, w.boxes[l].life, func() { w.boxes[l].node.SetWantedVoters(w.boxes[l].clock(w), want) })
	w.Advance(w.now + 12*time.Second)
	w.start(gone)
	w.Advance(w.now + 10*time.Second)
	b := w.boxes[gone]
	if v := b.node.Ledger().State().Voters; len(v) != 3 || v[b.name].ID != 0 {
		t.Fatalf("voters %v", v)
	}
	if b.node.Ledger().ID() == id || b.node.Ledger().Role() != "follower" {
		t.Errorf("it is a %s under the identity that it had: %v", b.node.Ledger().Role(), b.node.Ledger().ID() == id)
	}
}

// TestANewEraIsAboveAllNumbersAndGrantsNothingForATerm loses a majority for good, while a holder that the operator's box does
// not know of acts on.
func TestANewEraIsAboveAllNumbersAndGrantsNothingForATerm(t *testing.T) {
	w := quiet(5, 3, func(c *Config) { c.Busy = false })
	// Box 4 knows nothing of what is granted from now on.
	w.both(4, true)
	hold := w.boxes[3]
	a, _ := hold.node.Acquire(hold.clock(w), lease.Request{Task: "x", Slots: 1})
	w.after(3)
	w.Advance(w.now + time.Second)
	if hold.node.CheckEffect(hold.clock(w), a, 0) != nil {
		t.Fatal("not held")
	}
	token := a.Token
	for i := range 3 {
		w.kill(i)
	}
	w.both(4, false)
	op := w.boxes[4]
	if err := op.node.Recover(op.clock(w)); err != nil {
		t.Fatal(err)
	}
	w.after(4)
	b, _ := op.node.Acquire(op.clock(w), lease.Request{Task: "x", Slots: 1})
	w.after(4)
	granted := time.Duration(0)
	for end := w.now + 10*time.Second; w.now < end; {
		w.Advance(w.now + 10*time.Millisecond)
		one, other := hold.node.CheckEffect(hold.clock(w), a, 0) == nil, op.node.CheckEffect(op.clock(w), b, 0) == nil
		if one && other {
			t.Fatal("both act")
		}
		if other && granted == 0 {
			granted = w.now
		}
	}
	if granted == 0 || b.Token <= token {
		t.Errorf("granted at %v with token %d, and before it was %d", granted, b.Token, token)
	}
	if hold.node.Ledger().State().Era != 2 {
		t.Error("the other box does not go over to the new era")
	}
	// An old voter that comes back goes over to it as well.
	w.start(0)
	w.Advance(w.now + 8*time.Second)
	if s := w.boxes[0].node.Ledger().State(); s.Era != 2 || s.Index < 2<<40 {
		t.Errorf("an old voter is in era %d", s.Era)
	}
}

// TestAClockBeyondTheStatedDriftBreaksTheLeaseAndNotTheToken shows what the docs say: the fleet cannot find such a clock out, and
// what compares tokens is safe all the same.
func TestAClockBeyondTheStatedDriftBreaksTheLeaseAndNotTheToken(t *testing.T) {
	w := quiet(4, 3, func(c *Config) { c.Busy = false })
	slow, other := w.boxes[3], w.boxes[2]
	slow.base, slow.rate = slow.clock(w), 0.4
	slow.base -= time.Duration(float64(w.now) * slow.rate)
	a, _ := slow.node.Acquire(slow.clock(w), lease.Request{Task: "x", Slots: 1})
	w.after(3)
	w.Advance(w.now + time.Second)
	b, _ := other.node.Acquire(other.clock(w), lease.Request{Task: "x", Slots: 1})
	w.after(2)
	w.both(3, true)
	for end := w.now + 8*time.Second; w.now < end; w.Advance(w.now + 10*time.Millisecond) {
		if slow.node.CheckEffect(slow.clock(w), a, 0) == nil && other.node.CheckEffect(other.clock(w), b, 0) == nil {
			if b.Token <= a.Token {
				t.Errorf("tokens %d and %d", a.Token, b.Token)
			}
			return
		}
	}
	t.Error("a clock at 0.4 of its rate breaks nothing: the test shows nothing")
}
