package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"cairnlane/internal/decide/lease"
)

// newSettledFleet returns a simulation without drawn faults whose voters and members are complete.
func newSettledFleet(boxes, voters int, change func(*Config)) *Simulation {
	cfg := Default(7)
	cfg.Boxes, cfg.Voters, cfg.LossRate = boxes, voters, 0
	if change != nil {
		change(&cfg)
	}
	w := New(cfg)
	for w.now < time.Minute && !w.settled() {
		w.Advance(w.now + 100*time.Millisecond)
	}
	w.Advance(w.now + 2*time.Second)
	return w
}

// settled reports whether all intended voters are full voters and every box is a member.
func (w *Simulation) settled() bool {
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

// leaderNumber returns the number of the leading box, -1 if there is none.
func (w *Simulation) leaderNumber() int {
	for i, b := range w.boxes {
		if b.node != nil && b.node.Ledger().Leads(b.clock(w)) {
			return i
		}
	}
	return -1
}

// cutBox cuts all links of box i, or restores them.
func (w *Simulation) cutBox(i int, on bool) {
	for k := range w.boxes {
		if k != i {
			w.cutLinks[[2]int{i, k}], w.cutLinks[[2]int{k, i}] = on, on
		}
	}
}

// TestSingleFaultsOnBusyFleet injects one kind of fault at a time into a busy fleet. In each case no two boxes may act on a resource at once, and
// all boxes have to recover.
func TestSingleFaultsOnBusyFleet(t *testing.T) {
	for name, c := range map[string]struct {
		boxes, voters int
		change        func(*Config)
		do            func(w *Simulation)
	}{
		"leader is paused and resumes": {4, 3, nil, func(w *Simulation) { w.pause(w.leaderNumber(), 9*time.Second); w.Advance(w.now + 12*time.Second) }},
		"leader receives but its messages are lost": {4, 3, nil, func(w *Simulation) {
			i := w.leaderNumber()
			for k := range w.boxes {
				w.cutLinks[[2]int{i, k}] = true
			}
			w.Advance(w.now + 10*time.Second)
			if l := w.leaderNumber(); l == i || l < 0 {
				w.recordViolation("box%d leads", l)
			}
		}},
		"leader sends but receives nothing": {4, 3, nil, func(w *Simulation) {
			i := w.leaderNumber()
			for k := range w.boxes {
				w.cutLinks[[2]int{k, i}] = true
			}
			w.Advance(w.now + 15*time.Second)
			if l := w.leaderNumber(); l == i || l < 0 {
				w.recordViolation("box%d leads", l)
			}
		}},
		"leader's links have 200 ms more delay": {5, 3, nil, func(w *Simulation) {
			i := w.leaderNumber()
			for k := range w.boxes {
				w.linkDelay[[2]int{i, k}], w.linkDelay[[2]int{k, i}] = 200*time.Millisecond, 200*time.Millisecond
			}
			acts := w.result.Effects
			w.Advance(w.now + 15*time.Second)
			if w.result.Effects == acts {
				w.recordViolation("no effects")
			}
		}},
		"links flap at the renewal interval": {4, 3, nil, func(w *Simulation) {
			for range 30 {
				w.cutBox(3, true)
				w.Advance(w.now + w.cfg.Terms.RenewInterval())
				w.cutBox(3, false)
				w.Advance(w.now + w.cfg.Terms.RenewInterval())
			}
		}},
		"answers to renewals are lost": {4, 3, nil, func(w *Simulation) {
			for k := range w.boxes {
				w.cutLinks[[2]int{k, 3}] = true
			}
			w.Advance(w.now + 6*time.Second)
		}},
		"two boxes, one voter": {2, 1, nil, func(w *Simulation) { w.kill(1); w.Advance(w.now + 4*time.Second); w.start(1) }},
		"all boxes killed and restarted in another order": {5, 3, nil, func(w *Simulation) {
			for i := range w.boxes {
				w.kill(i)
			}
			for _, i := range []int{3, 1, 4, 0, 2} {
				w.Advance(w.now + 1100*time.Millisecond)
				w.start(i)
			}
		}},
		"box restarts with an old copy of its disk": {4, 3, nil, func(w *Simulation) {
			old := w.boxes[1].disk.Copy()
			w.Advance(w.now + 10*time.Second)
			w.kill(1)
			*w.boxes[1].disk = *old
			w.start(1)
			w.Advance(w.now + 8*time.Second)
		}},
		"full disks during an election": {4, 3, nil, func(w *Simulation) {
			i := w.leaderNumber()
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
		"nearly all boxes replaced with empty disks": {20, 3, nil, func(w *Simulation) {
			lost := (w.leaderNumber() + 1) % 3
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
		w := newSettledFleet(c.boxes, c.voters, c.change)
		c.do(w)
		w.heal()
		w.Advance(w.now + w.cfg.RecoverySpan)
		w.checkHealedFleet()
		if len(w.result.Violations) > 0 || w.result.Effects < 20 {
			t.Errorf("%s: %v\n%v", name, w.result, w.result.Violations)
		}
	}
}

// TestRemovedVoterDoesNotVoteAfterRestart removes a voter while its process is dead, and checks that it restarts as a follower with a new identity.
func TestRemovedVoterDoesNotVoteAfterRestart(t *testing.T) {
	w := newSettledFleet(5, 3, nil)
	removed := (w.leaderNumber() + 1) % 3
	id := w.boxes[removed].node.Ledger().ID()
	w.kill(removed)
	w.Advance(w.now + 5*time.Second)
	leader := w.leaderNumber()
	var wanted []string
	for _, i := range []int{0, 1, 2, 3} {
		if i != removed {
			wanted = append(wanted, fmt.Sprintf("box%d", i))
		}
	}
	w.run(leader, w.boxes[leader].incarnation, func() { w.boxes[leader].node.SetWantedVoters(w.boxes[leader].clock(w), wanted) })
	w.Advance(w.now + 12*time.Second)
	w.start(removed)
	w.Advance(w.now + 10*time.Second)
	b := w.boxes[removed]
	if v := b.node.Ledger().State().Voters; len(v) != 3 || v[b.name].ID != 0 {
		t.Fatalf("want 3 voters without %s, got %v", b.name, v)
	}
	if b.node.Ledger().ID() == id || b.node.Ledger().Role() != "follower" {
		t.Errorf("the removed voter is a %s, with its old identity: %v; want a follower with a new one", b.node.Ledger().Role(), b.node.Ledger().ID() == id)
	}
}

// TestRecoveredEraUsesHigherTokensAndDelaysGrants loses the quorum for good while a box acts under a lease that the recovering box does not know
// of. The new era must not grant that lease until it has expired at its holder, and must use a higher token.
func TestRecoveredEraUsesHigherTokensAndDelaysGrants(t *testing.T) {
	w := newSettledFleet(5, 3, func(c *Config) { c.Busy = false })
	// Box 4 does not learn of grants from now on.
	w.cutBox(4, true)
	holder := w.boxes[3]
	heldLease, _ := holder.node.Acquire(holder.clock(w), lease.Request{Task: "x", Slots: 1})
	w.flush(3)
	w.Advance(w.now + time.Second)
	if holder.node.CheckEffect(holder.clock(w), heldLease, 0) != nil {
		t.Fatal("box3 does not hold the lease")
	}
	token := heldLease.Token
	for i := range 3 {
		w.kill(i)
	}
	w.cutBox(4, false)
	recovering := w.boxes[4]
	if err := recovering.node.Recover(recovering.clock(w)); err != nil {
		t.Fatal(err)
	}
	w.flush(4)
	request, _ := recovering.node.Acquire(recovering.clock(w), lease.Request{Task: "x", Slots: 1})
	w.flush(4)
	granted := time.Duration(0)
	for end := w.now + 10*time.Second; w.now < end; {
		w.Advance(w.now + 10*time.Millisecond)
		holderActs, requesterActs := holder.node.CheckEffect(holder.clock(w), heldLease, 0) == nil, recovering.node.CheckEffect(recovering.clock(w), request, 0) == nil
		if holderActs && requesterActs {
			t.Fatal("both boxes may act under the lease of x")
		}
		if requesterActs && granted == 0 {
			granted = w.now
		}
	}
	if granted == 0 || request.Token <= token {
		t.Errorf("granted at %v with token %d, want a token above %d", granted, request.Token, token)
	}
	if holder.node.Ledger().State().Era != 2 {
		t.Errorf("box3 is in era %d, want 2", holder.node.Ledger().State().Era)
	}
	// A voter of the old era that restarts moves to the new era, too.
	w.start(0)
	w.Advance(w.now + 8*time.Second)
	if s := w.boxes[0].node.Ledger().State(); s.Era != 2 || s.Index < 2<<40 {
		t.Errorf("box0 is in era %d at index %d, want era 2 and an index of at least 2<<40", s.Era, s.Index)
	}
}

// TestClockDriftBeyondLimitBreaksLeaseButNotToken checks the documented limit: the fleet cannot detect a clock that drifts more than configured, so two
// boxes may act at once, but the newer lease has the higher token, so that a resource that compares tokens stays safe.
func TestClockDriftBeyondLimitBreaksLeaseButNotToken(t *testing.T) {
	w := newSettledFleet(4, 3, func(c *Config) { c.Busy = false })
	slow, other := w.boxes[3], w.boxes[2]
	slow.clockBase, slow.clockRate = slow.clock(w), 0.4
	slow.clockBase -= time.Duration(float64(w.now) * slow.clockRate)
	slowRequest, _ := slow.node.Acquire(slow.clock(w), lease.Request{Task: "x", Slots: 1})
	w.flush(3)
	w.Advance(w.now + time.Second)
	otherRequest, _ := other.node.Acquire(other.clock(w), lease.Request{Task: "x", Slots: 1})
	w.flush(2)
	w.cutBox(3, true)
	for end := w.now + 8*time.Second; w.now < end; w.Advance(w.now + 10*time.Millisecond) {
		if slow.node.CheckEffect(slow.clock(w), slowRequest, 0) == nil && other.node.CheckEffect(other.clock(w), otherRequest, 0) == nil {
			if otherRequest.Token <= slowRequest.Token {
				t.Errorf("both boxes act and the newer lease has token %d, want above %d", otherRequest.Token, slowRequest.Token)
			}
			return
		}
	}
	t.Error("no two boxes act at once with a clock at 0.4 of its rate, so the test checks nothing")
}
