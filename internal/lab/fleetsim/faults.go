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

// fault draws one and the time after which it is over.
func (w *World) fault() {
	if w.quiet {
		return
	}
	i := w.rand.IntN(len(w.boxes))
	j := (i + 1 + w.rand.IntN(len(w.boxes)-1)) % len(w.boxes)
	span := time.Duration(200+w.rand.IntN(6000)) * time.Millisecond
	b := w.boxes[i]
	kinds := []string{"stop", "kill", "cut one way", "cut off", "split", "slow", "full disk", "stop the holder", "kill the leader", "disk lost", "old disk", "kill all", "stop in an act"}
	kind := kinds[w.rand.IntN(len(kinds))]
	both := func(x, y int, on bool) { w.cut[[2]int{x, y}], w.cut[[2]int{y, x}] = on, on }
	switch kind {
	case "stop the holder":
		for _, name := range slices.Sorted(maps.Keys(w.things)) {
			t := w.things[name]
			if k := w.index(t.by); k >= 0 && (t.until > w.now || w.rand.IntN(2) == 0) {
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
	w.res.Faults[kind]++
	w.trace("%s %s for %v", kind, b.name, span)
	switch kind {
	case "stop":
		w.stop(i, span)
	case "stop in an act":
		w.catch = w.cfg.Terms.Term + span/2
	case "kill", "disk lost", "old disk":
		if b.node == nil {
			return
		}
		old, oldCopy := b.disk.Copy(), *b.copies
		w.kill(i)
		life := b.life
		if kind == "disk lost" && !w.rest(i) || kind == "old disk" && !w.rest(i) {
			kind = "kill" // a majority that loses its disks is for an operator
		}
		w.at(span, func() {
			if b.life != life || b.node != nil {
				return
			}
			switch kind {
			case "disk lost":
				b.disk.Erase()
				b.copies.inForce, b.copies.since, b.copies.has = 0, fleet.LedgerPosition{}, map[string]bool{}
			case "old disk":
				*b.disk = *old
				b.copies.inForce, b.copies.since = oldCopy.inForce, oldCopy.since
			}
			w.start(i)
		})
	case "kill all":
		for k, o := range w.boxes {
			if o.node == nil {
				continue
			}
			w.kill(k)
			life := o.life
			w.at(time.Duration(w.rand.IntN(4000))*time.Millisecond, func() {
				if o.life == life && o.node == nil {
					w.start(k)
				}
			})
		}
	case "cut one way":
		w.cut[[2]int{i, j}] = true
		w.at(span, func() { delete(w.cut, [2]int{i, j}) })
	case "cut off":
		for k := range w.boxes {
			both(i, k, true)
		}
		w.at(span, func() {
			for k := range w.boxes {
				both(i, k, false)
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
						w.cut[[2]int{x, y}] = on
					}
				}
			}
		}
		set(true)
		w.at(span, func() { set(false) })
	case "slow":
		late := time.Duration(w.rand.IntN(1500)) * time.Millisecond
		w.slow[[2]int{i, j}] = late
		w.at(span, func() { delete(w.slow, [2]int{i, j}) })
	case "full disk":
		b.disk.Full = true
		w.at(span, func() { b.disk.Full = false })
	}
}

// rest tells whether enough of the voters keep their disks should this box lose its: all others that vote are whole, and no
// change of voters is under way.
func (w *World) rest(i int) bool {
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

func (w *World) stop(i int, span time.Duration) {
	b := w.boxes[i]
	if b.node == nil || b.stopped {
		return
	}
	b.stopped = true
	life := b.life
	w.at(span, func() {
		if b.life != life {
			return
		}
		b.stopped = false
		list := b.backlog
		b.backlog = nil
		for _, do := range list {
			w.run(i, life, do)
		}
		if b.life == life && b.node != nil && !b.stopped {
			b.wake = 0
			w.run(i, life, func() { b.node.Tick(b.clock(w)) })
		}
	})
}

// Advance plays until a time.
func (w *World) Advance(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.res.Events++
		e.do()
	}
	w.now = until
}

// heal ends all faults.
func (w *World) heal() {
	w.quiet = true
	clear(w.cut)
	clear(w.slow)
	for i, b := range w.boxes {
		b.disk.Full = false
		if b.stopped {
			b.stopped = false
			list, life := b.backlog, b.life
			b.backlog = nil
			for _, do := range list {
				w.run(i, life, do)
			}
			if b.node != nil {
				b.wake = 0
				w.after(i)
			}
		}
		if b.node == nil {
			w.start(i)
		}
	}
}

// Run plays one case.
func Run(cfg Config) *Result {
	w := New(cfg)
	w.Advance(3 * time.Second) // the voters come together
	begin := w.now
	for range cfg.Faults {
		w.at(time.Duration(w.rand.Int64N(int64(cfg.Span))), w.fault)
	}
	w.Advance(begin + cfg.Span)
	w.heal()
	w.Advance(w.now + cfg.Settle)
	if cfg.Rollouts > 0 {
		w.Advance(w.now + cfg.Settle) // a roll-out under way ends as well
		w.atRest()
	}
	w.rest2()
	return w.res
}

// rest2 checks what has to hold once all is healed: everybody is in, agrees, has the same state, and a task can be got.
func (w *World) rest2() {
	asks := make([]*lease.TrackedRequest, len(w.boxes))
	for i, b := range w.boxes {
		if b.node == nil {
			w.broken("%s is not there", b.name)
			continue
		}
		if !level(b) {
			continue // it has turned down what the fleet allows
		}
		w.run(i, b.life, func() {
			asks[i], _ = b.node.Acquire(b.clock(w), lease.Request{Task: "last", Slots: len(w.boxes)})
		})
	}
	began := w.now
	for step := 0; step < 200; step++ {
		w.Advance(w.now + 25*time.Millisecond)
		all := true
		for i, b := range w.boxes {
			if b.node != nil && level(b) && (asks[i] == nil || b.node.CheckEffect(b.clock(w), asks[i], 0) != nil) {
				all = false
			}
		}
		if all {
			w.res.Agreed = w.now - began
			break
		}
	}
	digests := map[uint64]uint64{}
	for i, b := range w.boxes {
		if b.node == nil {
			continue
		}
		l := b.node.Ledger()
		if level(b) && (asks[i] == nil || b.node.CheckEffect(b.clock(w), asks[i], 0) != nil) {
			name, agrees := l.Leader(b.clock(w))
			w.broken("%s did not get a slot that is free: %v, leader %q, agrees %v, phase %v, index %d", b.name, l.Role(), name, agrees, b.node.Holder().Phase(), l.State().Index)
		}
		if l.Alarm() != nil {
			w.res.Alarm++
			w.broken("%s: %v", b.name, l.Alarm())
		}
		if err := l.State().Table.Check(); err != nil {
			w.broken("%s: %v", b.name, err)
		}
		if d, ok := digests[l.State().Index]; ok && d != l.State().Digest() {
			w.res.DigestsDiffer++
			w.broken("%s: another state at %d", b.name, l.State().Index)
		}
		digests[l.State().Index] = l.State().Digest()
		w.res.Commands = max(w.res.Commands, b.node.Counts().Commands)
		if v := l.State().Voters; i < w.cfg.Voters && (len(v) != w.cfg.Voters || v[b.name].ID != l.ID() || v[b.name].Learner) {
			w.broken("%s: voters %v and its own identity %x", b.name, v, l.ID())
		}
	}
	w.res.Messages = w.sent
}

func (r *Result) String() string {
	return fmt.Sprintf("acts=%d takeovers=%d stale=%d fenced=%d messages=%d events=%d agreed=%v faults=%v broken=%d", r.Acts, r.Takeovers, r.Stale, r.Fenced, r.Messages, r.Events, r.Agreed, r.Faults, len(r.Broken))
}
