package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/straggler"
	"cairnlane/internal/fleet"
)

// copies is what a box has of configurations: it outlives its process. It implements fleet.Configs.
type copies struct {
	w       *World
	b       *box
	inForce uint64
	since   fleet.LedgerPosition
	has     map[string]bool
}

func digestOf(n int) string { return fmt.Sprintf("%064x", n) }

// Has implements fleet.Configs.
func (c *copies) Has(digest string) bool { return c.has[digest] }

// Fetch implements fleet.Configs: a body comes after a while, if its box is still the same and is not stopped then.
func (c *copies) Fetch(digest string, _ int) {
	life, i := c.b.life, c.w.index(c.b.name)
	c.w.at(time.Duration(c.b.rand.IntN(400))*time.Millisecond, func() {
		c.w.run(i, life, func() { c.has[digest] = true; c.b.node.RecheckRollout(c.b.clock(c.w)) })
	})
}

// Verify implements fleet.Configs. Every fifth is turned down by all boxes, and the one after it by every other one.
func (c *copies) Verify(v rollout.Version) string {
	switch i := c.w.index(c.b.name); {
	case v.N%5 == 3, v.N%5 == 4 && i%2 == 1:
		return "line 1: not for this box"
	}
	return ""
}

// Store implements fleet.Configs.
func (c *copies) Store(v rollout.Version, at fleet.LedgerPosition) error {
	if c.b.disk.Full {
		return fmt.Errorf("the disk is full")
	}
	c.inForce, c.since = v.N, at
	return nil
}

// Served implements fleet.Configs.
func (c *copies) Served() (good, bad uint64) { return 0, 0 }

// operate has operators say things of configurations now and then: two of them may do so at once.
func (w *World) operate(r *rand.Rand) {
	w.at(time.Duration(r.ExpFloat64()*float64(w.cfg.Rollouts)), func() {
		if w.quiet {
			return
		}
		for range 1 + r.IntN(2) {
			i := r.IntN(len(w.boxes))
			b := w.boxes[i]
			w.run(i, b.life, func() { w.say(r, b) })
		}
		w.operate(r)
	})
}

func (w *World) say(r *rand.Rand, b *box) {
	t := b.node.Ledger().State().Rollout
	c := rollout.Command{Kind: rollout.Put, Rules: &rollout.Rules{Grace: 4 * time.Second, Floor: 0.4}}
	if t != nil && t.Current != nil {
		c.RolloutID = t.Current.ID
	}
	switch k := r.IntN(10); {
	case t == nil || t.Last == t.Target || k < 3:
		w.puts++
		c.Digest, c.Size = digestOf(w.puts), 100
		b.copies.has[c.Digest] = true
	case k < 8:
		c.Kind, c.N = rollout.Start, t.Last
		c.Plan = &rollout.Plan{Canaries: 1, Share: 0.5, ObserveFor: time.Second, Timeout: 5 * time.Second, MaxRejected: r.IntN(2), MaxDead: r.IntN(3), Slots: 1 + r.IntN(2), Supersede: r.IntN(3) == 0}
	case k == 8:
		c.Kind, c.Why = rollout.Abort, "an operator"
	default:
		c.Kind = rollout.Hold
		w.at(time.Duration(r.IntN(2000))*time.Millisecond, func() { // whoever holds resumes
			i := w.index(b.name)
			w.run(i, b.life, func() {
				b.node.SubmitRolloutCommand(b.clock(w), rollout.Command{Kind: rollout.Resume, RolloutID: c.RolloutID})
			})
		})
	}
	w.trace("an operator at %s: %v %d", b.name, c.Kind, c.N)
	b.node.SubmitRolloutCommand(b.clock(w), c)
}

// watch follows what the fleet agrees on from entry to entry, by whichever box has it first.
func (w *World) watch(b *box) {
	s := b.node.Ledger().State()
	t := s.Rollout
	if t == nil || s.Index <= w.seen {
		return
	}
	w.seen = s.Index
	if t.Lowest < w.lowest || t.Target < w.target {
		w.broken("the fleet's numbers went back: %d and %d after %d and %d", t.Lowest, t.Target, w.lowest, w.target)
	}
	w.lowest, w.target = t.Lowest, t.Target
	if err := t.Check(); err != nil {
		w.broken("%s: %v", b.name, err)
	}
	for box := range t.ShutOutBoxes {
		if !w.out[box] {
			w.res.ShutOut++
			w.trace("%s is shut out: %+v", box, t.ShutOutBoxes[box])
		}
		w.out[box] = true
	}
	for box := range w.out {
		if _, out := t.ShutOutBoxes[box]; !out {
			delete(w.out, box)
			w.res.BackIn++
		}
	}
	for _, r := range t.Finished {
		if w.ends[r.ID] == "" {
			w.ends[r.ID] = r.Phase.String()
			w.res.Rollouts[r.Phase.String()]++
		}
	}
}

// atRest checks what has to hold of configurations once all is healed and quiet.
func (w *World) atRest() {
	for _, b := range w.boxes {
		if b.node == nil {
			continue
		}
		t := b.node.Ledger().State().Rollout
		if t == nil {
			continue
		}
		if t.Current != nil && t.Current.Phase != rollout.Held {
			w.broken("%s: a roll-out does not end: %+v, boxes %v, out %v", b.name, *t.Current, t.Boxes, t.ShutOutBoxes)
		}
		s := t.Boxes[b.name]
		turned := s.Rejected == t.WantedVersion(b.name)
		if b.copies.inForce < t.Lowest && !turned || s.InForce != b.copies.inForce && b.node.Holder().Session() == s.Session {
			w.broken("%s has %d in force, has told %+v, and %d is the lowest", b.name, b.copies.inForce, s, t.Lowest)
		}
		if _, out := t.ShutOutBoxes[b.name]; out && !turned {
			w.broken("%s is shut out for no reason any more: %+v", b.name, s)
		}
		if stands := b.node.Standing(); stands != straggler.UpToDate && !turned {
			w.broken("%s is %v", b.name, stands)
		}
	}
}

// level tells whether a box may act for the fleet. One that has turned down what the fleet allows may not.
func level(b *box) bool { return b.node.Standing() == straggler.UpToDate }
