package fleetsim

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
)

// injectFault draws a fault and its duration, and starts it.
func (sim *Simulation) injectFault() {
	if sim.healed {
		return
	}
	i := sim.rand.IntN(len(sim.boxes))
	j := (i + 1 + sim.rand.IntN(len(sim.boxes)-1)) % len(sim.boxes)
	span := time.Duration(200+sim.rand.IntN(6000)) * time.Millisecond
	b := sim.boxes[i]
	kinds := []string{"stop", "kill", "cut one way", "cut off", "split", "slow", "full disk", "stop the holder", "kill the leader", "disk lost", "old disk", "kill all", "stop in an act"}
	kind := kinds[sim.rand.IntN(len(kinds))]
	setCut := func(x, y int, on bool) { sim.cutLinks[[2]int{x, y}], sim.cutLinks[[2]int{y, x}] = on, on }
	switch kind {
	case "stop the holder":
		for _, name := range slices.Sorted(maps.Keys(sim.resources)) {
			t := sim.resources[name]
			if k := sim.index(t.holder); k >= 0 && (t.effectEnd > sim.now || sim.rand.IntN(2) == 0) {
				i, b = k, sim.boxes[k]
			}
		}
		kind = "stop"
	case "kill the leader":
		for k, o := range sim.boxes {
			if o.node != nil && o.node.Ledger().Role() == "leader" {
				i, b = k, o
			}
		}
		kind = "kill"
	}
	sim.result.Faults[kind]++
	sim.trace("%s %s for %v", kind, b.name, span)
	switch kind {
	case "stop":
		sim.pause(i, span)
	case "stop in an act":
		sim.pauseNextEffect = sim.cfg.Terms.Term + span/2
	case "kill", "disk lost", "old disk":
		if b.node == nil {
			return
		}
		oldDisk, oldConfigs := b.disk.Copy(), *b.configs
		sim.kill(i)
		incarnation := b.incarnation
		if kind == "disk lost" && !sim.quorumWithout(i) || kind == "old disk" && !sim.quorumWithout(i) {
			kind = "kill" // the loss of a quorum's disks needs an operator, which is not simulated here
		}
		sim.after(span, func() {
			if b.incarnation != incarnation || b.node != nil {
				return
			}
			switch kind {
			case "disk lost":
				b.disk.Erase()
				b.configs.inForce, b.configs.since, b.configs.has = 0, fleet.LedgerPosition{}, map[string]bool{}
			case "old disk":
				*b.disk = *oldDisk
				b.configs.inForce, b.configs.since = oldConfigs.inForce, oldConfigs.since
			}
			sim.start(i)
		})
	case "kill all":
		for k, o := range sim.boxes {
			if o.node == nil {
				continue
			}
			sim.kill(k)
			incarnation := o.incarnation
			sim.after(time.Duration(sim.rand.IntN(4000))*time.Millisecond, func() {
				if o.incarnation == incarnation && o.node == nil {
					sim.start(k)
				}
			})
		}
	case "cut one way":
		sim.cutLinks[[2]int{i, j}] = true
		sim.after(span, func() { delete(sim.cutLinks, [2]int{i, j}) })
	case "cut off":
		for k := range sim.boxes {
			setCut(i, k, true)
		}
		sim.after(span, func() {
			for k := range sim.boxes {
				setCut(i, k, false)
			}
		})
	case "split":
		side := map[int]bool{}
		for k := range sim.boxes {
			side[k] = sim.rand.IntN(2) == 0
		}
		set := func(on bool) {
			for x := range sim.boxes {
				for y := range sim.boxes {
					if side[x] != side[y] {
						sim.cutLinks[[2]int{x, y}] = on
					}
				}
			}
		}
		set(true)
		sim.after(span, func() { set(false) })
	case "slow":
		delay := time.Duration(sim.rand.IntN(1500)) * time.Millisecond
		sim.linkDelay[[2]int{i, j}] = delay
		sim.after(span, func() { delete(sim.linkDelay, [2]int{i, j}) })
	case "full disk":
		b.disk.Full = true
		sim.after(span, func() { b.disk.Full = false })
	}
}

// quorumWithout reports whether a quorum of voters with intact disks remains if box i loses its disk: every other voter runs under its
// current identity, and no change of voters is in progress.
func (sim *Simulation) quorumWithout(i int) bool {
	for k, o := range sim.boxes {
		if o.node == nil {
			if k != i {
				return false
			}
			continue
		}
		s := o.node.Ledger().State()
		if len(s.ReplacedIDs) > 0 || len(s.Voters) != sim.cfg.Voters {
			return false
		}
		for _, v := range s.Voters {
			if v.Learner {
				return false
			}
		}
		if k < sim.cfg.Voters && s.Voters[o.name].ID != o.node.Ledger().ID() {
			return false
		}
	}
	return true
}

// pause stops box i for a time. It then processes what came meanwhile.
func (sim *Simulation) pause(i int, span time.Duration) {
	b := sim.boxes[i]
	if b.node == nil || b.paused {
		return
	}
	b.paused = true
	incarnation := b.incarnation
	sim.after(span, func() {
		if b.incarnation != incarnation {
			return
		}
		b.paused = false
		backlog := b.backlog
		b.backlog = nil
		for _, do := range backlog {
			sim.run(i, incarnation, do)
		}
		if b.incarnation == incarnation && b.node != nil && !b.paused {
			b.wakeAt = 0
			sim.run(i, incarnation, func() { b.node.Tick(b.clock(sim)) })
		}
	})
}

// Advance processes all events up to and including until.
func (sim *Simulation) Advance(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		sim.result.Events++
		e.do()
	}
	sim.now = until
}

// heal ends all faults: it restores the network and the disks, and resumes or restarts the boxes.
func (sim *Simulation) heal() {
	sim.healed = true
	clear(sim.cutLinks)
	clear(sim.linkDelay)
	for i, b := range sim.boxes {
		b.disk.Full = false
		if b.paused {
			b.paused = false
			backlog, incarnation := b.backlog, b.incarnation
			b.backlog = nil
			for _, do := range backlog {
				sim.run(i, incarnation, do)
			}
			if b.node != nil {
				b.wakeAt = 0
				sim.flush(i)
			}
		}
		if b.node == nil {
			sim.start(i)
		}
	}
}

// Run simulates one seed and checks the invariants at the end.
func Run(cfg Config) *Result {
	sim := New(cfg)
	sim.Advance(3 * time.Second) // lets the voters form a quorum
	begin := sim.now
	for range cfg.Faults {
		sim.after(time.Duration(sim.rand.Int64N(int64(cfg.FaultSpan))), sim.injectFault)
	}
	sim.Advance(begin + cfg.FaultSpan)
	sim.heal()
	sim.Advance(sim.now + cfg.RecoverySpan)
	if cfg.RolloutInterval > 0 {
		sim.Advance(sim.now + cfg.RecoverySpan) // lets a running rollout end
		sim.checkRollouts()
	}
	sim.checkHealedFleet()
	return sim.result
}

// checkHealedFleet checks what has to hold after all faults are healed: every box runs, is a member and has the same replicated state, and
// leases are granted.
func (sim *Simulation) checkHealedFleet() {
	requests := make([]*lease.TrackedRequest, len(sim.boxes))
	for i, b := range sim.boxes {
		if b.node == nil {
			sim.recordViolation("%s does not run", b.name)
			continue
		}
		if !mayAct(b) {
			continue // it has rejected the version that the fleet allows
		}
		sim.run(i, b.incarnation, func() {
			requests[i], _ = b.node.Acquire(b.clock(sim), lease.Request{Task: "last", Slots: len(sim.boxes)})
		})
	}
	began := sim.now
	for step := 0; step < 200; step++ {
		sim.Advance(sim.now + 25*time.Millisecond)
		all := true
		for i, b := range sim.boxes {
			if b.node != nil && mayAct(b) && (requests[i] == nil || b.node.CheckEffect(b.clock(sim), requests[i], 0) != nil) {
				all = false
			}
		}
		if all {
			sim.result.AgreementTime = sim.now - began
			break
		}
	}
	digests := map[uint64]uint64{}
	for i, b := range sim.boxes {
		if b.node == nil {
			continue
		}
		led := b.node.Ledger()
		if mayAct(b) && (requests[i] == nil || b.node.CheckEffect(b.clock(sim), requests[i], 0) != nil) {
			name, agrees := led.Leader(b.clock(sim))
			sim.recordViolation("%s did not get a free slot: role %v, leader %q, agrees %v, phase %v, index %d", b.name, led.Role(), name, agrees, b.node.Holder().Phase(), led.State().Index)
		}
		if led.Alarm() != nil {
			sim.result.Alarm++
			sim.recordViolation("%s: %v", b.name, led.Alarm())
		}
		if err := led.State().Table.Check(); err != nil {
			sim.recordViolation("%s: %v", b.name, err)
		}
		if d, ok := digests[led.State().Index]; ok && d != led.State().Digest() {
			sim.result.DigestsDiffer++
			sim.recordViolation("%s: state differs from another box's at index %d", b.name, led.State().Index)
		}
		digests[led.State().Index] = led.State().Digest()
		sim.result.Commands = max(sim.result.Commands, b.node.Counts().Commands)
		if v := led.State().Voters; i < sim.cfg.Voters && (len(v) != sim.cfg.Voters || v[b.name].ID != led.ID() || v[b.name].Learner) {
			sim.recordViolation("%s: is not a full voter: voters %v, own identity %x", b.name, v, led.ID())
		}
	}
	sim.result.Messages = sim.messagesSent
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("acts=%d takeovers=%d stale=%d fenced=%d messages=%d events=%d agreed=%v faults=%v broken=%d", r.Effects, r.Takeovers, r.StaleRejected, r.Fenced, r.Messages, r.Events, r.AgreementTime, r.Faults, len(r.Violations))
}
