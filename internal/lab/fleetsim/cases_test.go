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
	sim := New(cfg)
	for sim.now < time.Minute && !sim.settled() {
		sim.Advance(sim.now + 100*time.Millisecond)
	}
	sim.Advance(sim.now + 2*time.Second)
	return sim
}

// settled reports whether all intended voters are full voters and every box is a member.
func (sim *Simulation) settled() bool {
	for i, b := range sim.boxes {
		s := b.node.Ledger().State()
		if len(s.Voters) < sim.cfg.Voters || b.node.Holder().Phase() != lease.Joined {
			return false
		}
		if i < sim.cfg.Voters && (s.Voters[b.name].Learner || s.Voters[b.name].ID != b.node.Ledger().ID()) {
			return false
		}
	}
	return true
}

// leaderNumber returns the number of the leading box, -1 if there is none.
func (sim *Simulation) leaderNumber() int {
	for i, b := range sim.boxes {
		if b.node != nil && b.node.Ledger().Leads(b.clock(sim)) {
			return i
		}
	}
	return -1
}

// cutBox cuts all links of box i, or restores them.
func (sim *Simulation) cutBox(i int, on bool) {
	for k := range sim.boxes {
		if k != i {
			sim.cutLinks[[2]int{i, k}], sim.cutLinks[[2]int{k, i}] = on, on
		}
	}
}

// TestSingleFaultsOnBusyFleet injects one kind of fault at a time into a busy fleet. In each case no two boxes may act on a resource at once, and
// all boxes have to recover.
func TestSingleFaultsOnBusyFleet(t *testing.T) {
	for name, c := range map[string]struct {
		boxes, voters int
		change        func(*Config)
		do            func(sim *Simulation)
	}{
		"leader is paused and resumes": {4, 3, nil, func(sim *Simulation) {
			sim.pause(sim.leaderNumber(), 9*time.Second)
			sim.Advance(sim.now + 12*time.Second)
		}},
		"leader receives but its messages are lost": {4, 3, nil, func(sim *Simulation) {
			i := sim.leaderNumber()
			for k := range sim.boxes {
				sim.cutLinks[[2]int{i, k}] = true
			}
			sim.Advance(sim.now + 10*time.Second)
			if l := sim.leaderNumber(); l == i || l < 0 {
				sim.recordViolation("box%d leads", l)
			}
		}},
		"leader sends but receives nothing": {4, 3, nil, func(sim *Simulation) {
			i := sim.leaderNumber()
			for k := range sim.boxes {
				sim.cutLinks[[2]int{k, i}] = true
			}
			sim.Advance(sim.now + 15*time.Second)
			if l := sim.leaderNumber(); l == i || l < 0 {
				sim.recordViolation("box%d leads", l)
			}
		}},
		"leader's links have 200 ms more delay": {5, 3, nil, func(sim *Simulation) {
			i := sim.leaderNumber()
			for k := range sim.boxes {
				sim.linkDelay[[2]int{i, k}], sim.linkDelay[[2]int{k, i}] = 200*time.Millisecond, 200*time.Millisecond
			}
			acts := sim.result.Effects
			sim.Advance(sim.now + 15*time.Second)
			if sim.result.Effects == acts {
				sim.recordViolation("no effects")
			}
		}},
		"links flap at the renewal interval": {4, 3, nil, func(sim *Simulation) {
			for range 30 {
				sim.cutBox(3, true)
				sim.Advance(sim.now + sim.cfg.Terms.RenewInterval())
				sim.cutBox(3, false)
				sim.Advance(sim.now + sim.cfg.Terms.RenewInterval())
			}
		}},
		"answers to renewals are lost": {4, 3, nil, func(sim *Simulation) {
			for k := range sim.boxes {
				sim.cutLinks[[2]int{k, 3}] = true
			}
			sim.Advance(sim.now + 6*time.Second)
		}},
		"two boxes, one voter": {2, 1, nil, func(sim *Simulation) { sim.kill(1); sim.Advance(sim.now + 4*time.Second); sim.start(1) }},
		"all boxes killed and restarted in another order": {5, 3, nil, func(sim *Simulation) {
			for i := range sim.boxes {
				sim.kill(i)
			}
			for _, i := range []int{3, 1, 4, 0, 2} {
				sim.Advance(sim.now + 1100*time.Millisecond)
				sim.start(i)
			}
		}},
		"box restarts with an old copy of its disk": {4, 3, nil, func(sim *Simulation) {
			old := sim.boxes[1].disk.Copy()
			sim.Advance(sim.now + 10*time.Second)
			sim.kill(1)
			*sim.boxes[1].disk = *old
			sim.start(1)
			sim.Advance(sim.now + 8*time.Second)
		}},
		"full disks during an election": {4, 3, nil, func(sim *Simulation) {
			i := sim.leaderNumber()
			for k := range sim.boxes {
				sim.boxes[k].disk.Full = k != i
			}
			sim.kill(i)
			sim.Advance(sim.now + 5*time.Second)
			for k := range sim.boxes {
				sim.boxes[k].disk.Full = false
			}
			sim.start(i)
		}},
		"nearly all boxes replaced with empty disks": {20, 3, nil, func(sim *Simulation) {
			lost := (sim.leaderNumber() + 1) % 3
			for i := range sim.boxes {
				if i > 2 || i == lost {
					sim.kill(i)
					sim.boxes[i].disk.Erase()
				}
			}
			for i := range sim.boxes {
				if sim.boxes[i].node == nil {
					sim.Advance(sim.now + 1500*time.Millisecond)
					sim.start(i)
				}
			}
			sim.Advance(sim.now + 10*time.Second)
		}},
	} {
		sim := newSettledFleet(c.boxes, c.voters, c.change)
		c.do(sim)
		sim.heal()
		sim.Advance(sim.now + sim.cfg.RecoverySpan)
		sim.checkHealedFleet()
		if len(sim.result.Violations) > 0 || sim.result.Effects < 20 {
			t.Errorf("%s: %v\n%v", name, sim.result, sim.result.Violations)
		}
	}
}

// TestRemovedVoterDoesNotVoteAfterRestart removes a voter while its process is dead, and checks that it restarts as a follower with a new identity.
func TestRemovedVoterDoesNotVoteAfterRestart(t *testing.T) {
	sim := newSettledFleet(5, 3, nil)
	removed := (sim.leaderNumber() + 1) % 3
	id := sim.boxes[removed].node.Ledger().ID()
	sim.kill(removed)
	sim.Advance(sim.now + 5*time.Second)
	leader := sim.leaderNumber()
	var wanted []string
	for _, i := range []int{0, 1, 2, 3} {
		if i != removed {
			wanted = append(wanted, fmt.Sprintf("box%d", i))
		}
	}
	sim.run(leader, sim.boxes[leader].incarnation, func() { sim.boxes[leader].node.SetWantedVoters(sim.boxes[leader].clock(sim), wanted) })
	sim.Advance(sim.now + 12*time.Second)
	sim.start(removed)
	sim.Advance(sim.now + 10*time.Second)
	b := sim.boxes[removed]
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
	sim := newSettledFleet(5, 3, func(c *Config) { c.Busy = false })
	// Box 4 does not learn of grants from now on.
	sim.cutBox(4, true)
	holder := sim.boxes[3]
	heldLease, _ := holder.node.Acquire(holder.clock(sim), lease.Request{Task: "x", Slots: 1})
	sim.flush(3)
	sim.Advance(sim.now + time.Second)
	if holder.node.CheckEffect(holder.clock(sim), heldLease, 0) != nil {
		t.Fatal("box3 does not hold the lease")
	}
	token := heldLease.Token
	for i := range 3 {
		sim.kill(i)
	}
	sim.cutBox(4, false)
	recovering := sim.boxes[4]
	if err := recovering.node.Recover(recovering.clock(sim)); err != nil {
		t.Fatal(err)
	}
	sim.flush(4)
	request, _ := recovering.node.Acquire(recovering.clock(sim), lease.Request{Task: "x", Slots: 1})
	sim.flush(4)
	granted := time.Duration(0)
	for end := sim.now + 10*time.Second; sim.now < end; {
		sim.Advance(sim.now + 10*time.Millisecond)
		holderActs, requesterActs := holder.node.CheckEffect(holder.clock(sim), heldLease, 0) == nil, recovering.node.CheckEffect(recovering.clock(sim), request, 0) == nil
		if holderActs && requesterActs {
			t.Fatal("both boxes may act under the lease of x")
		}
		if requesterActs && granted == 0 {
			granted = sim.now
		}
	}
	if granted == 0 || request.Token <= token {
		t.Errorf("granted at %v with token %d, want a token above %d", granted, request.Token, token)
	}
	if holder.node.Ledger().State().Era != 2 {
		t.Errorf("box3 is in era %d, want 2", holder.node.Ledger().State().Era)
	}
	// A voter of the old era that restarts moves to the new era, too.
	sim.start(0)
	sim.Advance(sim.now + 8*time.Second)
	if s := sim.boxes[0].node.Ledger().State(); s.Era != 2 || s.Index < 2<<40 {
		t.Errorf("box0 is in era %d at index %d, want era 2 and an index of at least 2<<40", s.Era, s.Index)
	}
}

// TestClockDriftBeyondLimitBreaksLeaseButNotToken checks the documented limit: the fleet cannot detect a clock that drifts more than configured, so two
// boxes may act at once, but the newer lease has the higher token, so that a resource that compares tokens stays safe.
func TestClockDriftBeyondLimitBreaksLeaseButNotToken(t *testing.T) {
	sim := newSettledFleet(4, 3, func(c *Config) { c.Busy = false })
	slow, other := sim.boxes[3], sim.boxes[2]
	slow.clockBase, slow.clockRate = slow.clock(sim), 0.4
	slow.clockBase -= time.Duration(float64(sim.now) * slow.clockRate)
	slowRequest, _ := slow.node.Acquire(slow.clock(sim), lease.Request{Task: "x", Slots: 1})
	sim.flush(3)
	sim.Advance(sim.now + time.Second)
	otherRequest, _ := other.node.Acquire(other.clock(sim), lease.Request{Task: "x", Slots: 1})
	sim.flush(2)
	sim.cutBox(3, true)
	for end := sim.now + 8*time.Second; sim.now < end; sim.Advance(sim.now + 10*time.Millisecond) {
		if slow.node.CheckEffect(slow.clock(sim), slowRequest, 0) == nil && other.node.CheckEffect(other.clock(sim), otherRequest, 0) == nil {
			if otherRequest.Token <= slowRequest.Token {
				t.Errorf("both boxes act and the newer lease has token %d, want above %d", otherRequest.Token, slowRequest.Token)
			}
			return
		}
	}
	t.Error("no two boxes act at once with a clock at 0.4 of its rate, so the test checks nothing")
}
