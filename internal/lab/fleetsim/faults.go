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
func (w *Simulation) injectFault() {
	if w.healed {
		return
	}
	i := w.rand.IntN(len(w.boxes))
	j := (i + 1 + w.rand.IntN(len(w.boxes)-1)) % len(w.boxes)
	span := time.Duration(200+w.rand.IntN(6000)) * time.Millisecond
	b := w.boxes[i]
	kinds := []string{"stop", "kill", "cut one way", "cut off", "split", "slow", "full disk", "stop the holder", "kill the leader", "disk lost", "old disk", "kill all", "stop in an act"}
	kind := kinds[w.rand.IntN(len(kinds))]
	setCut := func(x, y int, on bool) { w.cutLinks[[2]int{x, y}], w.cutLinks[[2]int{y, x}] = on, on }
	switch kind {
	case "stop the holder":
		for _, name := range slices.Sorted(maps.Keys(w.resources)) {
			t := w.resources[name]
			if k := w.index(t.holder); k >= 0 && (t.effectEnd > w.now || w.rand.IntN(2) == 0) {
				i, b = k, w.boxes[k]
			}
		}
		kind = "stop"
	case "kill the leader":
		for k, o := range w.boxes {
			if o.node != nil && o.node.Ledger().Role() == "leader" {
				i, b = k, o
			}
		}
		kind = "kill"
	}
	w.result.Faults[kind]++
	w.trace("%s %s for %v", kind, b.name, span)
	switch kind {
	case "stop":
		w.pause(i, span)
	case "stop in an act":
		w.pauseNextEffect = w.cfg.Terms.Term + span/2
	case "kill", "disk lost", "old disk":
		if b.node == nil {
			return
		}
		oldDisk, oldConfigs := b.disk.Copy(), *b.configs
		w.kill(i)
		incarnation := b.incarnation
		if kind == "disk lost" && !w.quorumWithout(i) || kind == "old disk" && !w.quorumWithout(i) {
			kind = "kill" // the loss of a quorum's disks needs an operator, which is not simulated here
		}
		w.after(span, func() {
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
			w.start(i)
		})
	case "kill all":
		for k, o := range w.boxes {
			if o.node == nil {
				continue
			}
			w.kill(k)
			incarnation := o.incarnation
			w.after(time.Duration(w.rand.IntN(4000))*time.Millisecond, func() {
				if o.incarnation == incarnation && o.node == nil {
					w.start(k)
				}
			})
		}
	case "cut one way":
		w.cutLinks[[2]int{i, j}] = true
		w.after(span, func() { delete(w.cutLinks, [2]int{i, j}) })
	case "cut off":
		for k := range w.boxes {
			setCut(i, k, true)
		}
		w.after(span, func() {
			for k := range w.boxes {
				setCut(i, k, false)
			}
		})
	case "split":
		side := map[int]bool{}
		for k := range w.boxes {
			side[k] = w.rand.IntN(2) == 0
		}
		set := func(on bool) {
			for x := range w.boxes {
				for y := range w.boxes {
					if side[x] != side[y] {
						w.cutLinks[[2]int{x, y}] = on
					}
				}
			}
		}
		set(true)
		w.after(span, func() { set(false) })
	case "slow":
		delay := time.Duration(w.rand.IntN(1500)) * time.Millisecond
		w.linkDelay[[2]int{i, j}] = delay
		w.after(span, func() { delete(w.linkDelay, [2]int{i, j}) })
	case "full disk":
		b.disk.Full = true
		w.after(span, func() { b.disk.Full = false })
	}
}

// quorumWithout reports whether a quorum of voters with intact disks remains if box i loses its disk: every other voter runs under its
// current identity, and no change of voters is in progress.
func (w *Simulation) quorumWithout(i int) bool {
	for k, o := range w.boxes {
		if o.node == nil {
			if k != i {
				return false
			}
			continue
		}
		s := o.node.Ledger().State()
		if len(s.ReplacedIDs) > 0 || len(s.Voters) != w.cfg.Voters {
			return false
		}
		for _, v := range s.Voters {
			if v.Learner {
				return false
			}
		}
		if k < w.cfg.Voters && s.Voters[o.name].ID != o.node.Ledger().ID() {
			return false
		}
	}
	return true
}

// pause stops box i for a time. It then processes what came meanwhile.
func (w *Simulation) pause(i int, span time.Duration) {
	b := w.boxes[i]
	if b.node == nil || b.paused {
		return
	}
	b.paused = true
	incarnation := b.incarnation
	w.after(span, func() {
		if b.incarnation != incarnation {
			return
		}
		b.paused = false
		backlog := b.backlog
		b.backlog = nil
		for _, do := range backlog {
			w.run(i, incarnation, do)
		}
		if b.incarnation == incarnation && b.node != nil && !b.paused {
			b.wakeAt = 0
			w.run(i, incarnation, func() { b.node.Tick(b.clock(w)) })
		}
	})
}

// Advance processes all events up to and including until.
func (w *Simulation) Advance(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.result.Events++
		e.do()
	}
	w.now = until
}

// heal ends all faults: it restores the network and the disks, and resumes or restarts the boxes.
func (w *Simulation) heal() {
	w.healed = true
	clear(w.cutLinks)
	clear(w.linkDelay)
	for i, b := range w.boxes {
		b.disk.Full = false
		if b.paused {
			b.paused = false
			backlog, incarnation := b.backlog, b.incarnation
			b.backlog = nil
			for _, do := range backlog {
				w.run(i, incarnation, do)
			}
			if b.node != nil {
				b.wakeAt = 0
				w.flush(i)
			}
		}
		if b.node == nil {
			w.start(i)
		}
	}
}

// Run simulates one seed and checks the invariants at the end.
func Run(cfg Config) *Result {
	w := New(cfg)
	w.Advance(3 * time.Second) // lets the voters form a quorum
	begin := w.now
	for range cfg.Faults {
		w.after(time.Duration(w.rand.Int64N(int64(cfg.FaultSpan))), w.injectFault)
	}
	w.Advance(begin + cfg.FaultSpan)
	w.heal()
	w.Advance(w.now + cfg.RecoverySpan)
	if cfg.RolloutInterval > 0 {
		w.Advance(w.now + cfg.RecoverySpan) // lets a running rollout end
		w.checkRollouts()
	}
	w.checkHealedFleet()
	return w.result
}

// checkHealedFleet checks what has to hold after all faults are healed: every box runs, is a member and has the same replicated state, and
// leases are granted.
func (w *Simulation) checkHealedFleet() {
	requests := make([]*lease.TrackedRequest, len(w.boxes))
	for i, b := range w.boxes {
		if b.node == nil {
			w.recordViolation("%s does not run", b.name)
			continue
		}
		if !mayAct(b) {
			continue // it has rejected the version that the fleet allows
		}
		w.run(i, b.incarnation, func() {
			requests[i], _ = b.node.Acquire(b.clock(w), lease.Request{Task: "last", Slots: len(w.boxes)})
		})
	}
	began := w.now
	for step := 0; step < 200; step++ {
		w.Advance(w.now + 25*time.Millisecond)
		all := true
		for i, b := range w.boxes {
			if b.node != nil && mayAct(b) && (requests[i] == nil || b.node.CheckEffect(b.clock(w), requests[i], 0) != nil) {
				all = false
			}
		}
		if all {
			w.result.AgreementTime = w.now - began
			break
		}
	}
	digests := map[uint64]uint64{}
	for i, b := range w.boxes {
		if b.node == nil {
			continue
		}
		led := b.node.Ledger()
		if mayAct(b) && (requests[i] == nil || b.node.CheckEffect(b.clock(w), requests[i], 0) != nil) {
			name, agrees := led.Leader(b.clock(w))
			w.recordViolation("%s did not get a free slot: role %v, leader %q, agrees %v, phase %v, index %d", b.name, led.Role(), name, agrees, b.node.Holder().Phase(), led.State().Index)
		}
		if led.Alarm() != nil {
			w.result.Alarm++
			w.recordViolation("%s: %v", b.name, led.Alarm())
		}
		if err := led.State().Table.Check(); err != nil {
			w.recordViolation("%s: %v", b.name, err)
		}
		if d, ok := digests[led.State().Index]; ok && d != led.State().Digest() {
			w.result.DigestsDiffer++
			w.recordViolation("%s: state differs from another box's at index %d", b.name, led.State().Index)
		}
		digests[led.State().Index] = led.State().Digest()
		w.result.Commands = max(w.result.Commands, b.node.Counts().Commands)
		if v := led.State().Voters; i < w.cfg.Voters && (len(v) != w.cfg.Voters || v[b.name].ID != led.ID() || v[b.name].Learner) {
			w.recordViolation("%s: is not a full voter: voters %v, own identity %x", b.name, v, led.ID())
		}
	}
	w.result.Messages = w.messagesSent
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("acts=%d takeovers=%d stale=%d fenced=%d messages=%d events=%d agreed=%v faults=%v broken=%d", r.Effects, r.Takeovers, r.StaleRejected, r.Fenced, r.Messages, r.Events, r.AgreementTime, r.Faults, len(r.Violations))
}
