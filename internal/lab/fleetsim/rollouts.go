package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/straggler"
	"cairnlane/internal/fleet"
)

// configStore holds the configurations of a box. It outlives the box's process. It implements fleet.Configs.
type configStore struct {
	sim     *Simulation
	b       *box
	inForce uint64
	since   fleet.LedgerPosition
	has     map[string]bool
}

func digestOf(n int) string { return fmt.Sprintf("%064x", n) }

// Has implements fleet.Configs.
func (c *configStore) Has(digest string) bool { return c.has[digest] }

// Fetch implements fleet.Configs. The body arrives after up to 400 ms if the process is still alive, or when its pause ends.
func (c *configStore) Fetch(digest string, _ int) {
	incarnation, i := c.b.incarnation, c.sim.index(c.b.name)
	c.sim.after(time.Duration(c.b.rand.IntN(400))*time.Millisecond, func() {
		c.sim.run(i, incarnation, func() { c.has[digest] = true; c.b.node.RecheckRollout(c.b.clock(c.sim)) })
	})
}

// Verify implements fleet.Configs. Of five versions, one is rejected by all boxes and the next one by every second box.
func (c *configStore) Verify(v rollout.Version) string {
	switch i := c.sim.index(c.b.name); {
	case v.N%5 == 3, v.N%5 == 4 && i%2 == 1:
		return "line 1: not for this box"
	}
	return ""
}

// Store implements fleet.Configs.
func (c *configStore) Store(v rollout.Version, at fleet.LedgerPosition) error {
	if c.b.disk.Full {
		return fmt.Errorf("the disk is full")
	}
	c.inForce, c.since = v.N, at
	return nil
}

// Served implements fleet.Configs.
func (c *configStore) Served() (good, bad uint64) { return 0, 0 }

// scheduleOperators makes operators submit rollout commands from time to time, at one or two boxes at once.
func (sim *Simulation) scheduleOperators(r *rand.Rand) {
	sim.after(time.Duration(r.ExpFloat64()*float64(sim.cfg.RolloutInterval)), func() {
		if sim.healed {
			return
		}
		for range 1 + r.IntN(2) {
			i := r.IntN(len(sim.boxes))
			b := sim.boxes[i]
			sim.run(i, b.incarnation, func() { sim.submitOperatorCommand(r, b) })
		}
		sim.scheduleOperators(r)
	})
}

// submitOperatorCommand submits a random rollout command at a box: put, start, abort, or hold with a later resume.
func (sim *Simulation) submitOperatorCommand(r *rand.Rand, b *box) {
	table := b.node.Ledger().State().Rollout
	cmd := rollout.Command{Kind: rollout.Put, Rules: &rollout.Rules{Grace: 4 * time.Second, Floor: 0.4}}
	if table != nil && table.Current != nil {
		cmd.RolloutID = table.Current.ID
	}
	switch k := r.IntN(10); {
	case table == nil || table.Last == table.Target || k < 3:
		sim.configsPut++
		cmd.Digest, cmd.Size = digestOf(sim.configsPut), 100
		b.configs.has[cmd.Digest] = true
	case k < 8:
		cmd.Kind, cmd.N = rollout.Start, table.Last
		cmd.Plan = &rollout.Plan{Canaries: 1, Share: 0.5, ObserveFor: time.Second, Timeout: 5 * time.Second, MaxRejected: r.IntN(2), MaxDead: r.IntN(3), Slots: 1 + r.IntN(2), Supersede: r.IntN(3) == 0}
	case k == 8:
		cmd.Kind, cmd.Why = rollout.Abort, "an operator"
	default:
		cmd.Kind = rollout.Hold
		sim.after(time.Duration(r.IntN(2000))*time.Millisecond, func() { // every hold is resumed
			i := sim.index(b.name)
			sim.run(i, b.incarnation, func() {
				b.node.SubmitRolloutCommand(b.clock(sim), rollout.Command{Kind: rollout.Resume, RolloutID: cmd.RolloutID})
			})
		})
	}
	sim.trace("operator command at %s: %v, version %d", b.name, cmd.Kind, cmd.N)
	b.node.SubmitRolloutCommand(b.clock(sim), cmd)
}

// observeRollouts checks the replicated rollout state at each new ledger index, on the box that reaches the index first.
func (sim *Simulation) observeRollouts(b *box) {
	state := b.node.Ledger().State()
	table := state.Rollout
	if table == nil || state.Index <= sim.watchedIndex {
		return
	}
	sim.watchedIndex = state.Index
	if table.Lowest < sim.lowest || table.Target < sim.target {
		sim.recordViolation("versions went back: lowest %d and target %d after %d and %d", table.Lowest, table.Target, sim.lowest, sim.target)
	}
	sim.lowest, sim.target = table.Lowest, table.Target
	if err := table.Check(); err != nil {
		sim.recordViolation("%s: %v", b.name, err)
	}
	for box := range table.ShutOutBoxes {
		if !sim.shutOut[box] {
			sim.result.ShutOut++
			sim.trace("%s is shut out: %+v", box, table.ShutOutBoxes[box])
		}
		sim.shutOut[box] = true
	}
	for box := range sim.shutOut {
		if _, out := table.ShutOutBoxes[box]; !out {
			delete(sim.shutOut, box)
			sim.result.Readmitted++
		}
	}
	for _, r := range table.Finished {
		if sim.rolloutEnds[r.ID] == "" {
			sim.rolloutEnds[r.ID] = r.Phase.String()
			sim.result.Rollouts[r.Phase.String()]++
		}
	}
}

// checkRollouts checks what has to hold for configurations after all faults are healed and no commands are submitted any more.
func (sim *Simulation) checkRollouts() {
	for _, b := range sim.boxes {
		if b.node == nil {
			continue
		}
		table := b.node.Ledger().State().Rollout
		if table == nil {
			continue
		}
		if table.Current != nil && table.Current.Phase != rollout.Held {
			sim.recordViolation("%s: rollout does not end: %+v, boxes %v, shut out %v", b.name, *table.Current, table.Boxes, table.ShutOutBoxes)
		}
		status := table.Boxes[b.name]
		rejected := status.Rejected == table.WantedVersion(b.name)
		if b.configs.inForce < table.Lowest && !rejected || status.InForce != b.configs.inForce && b.node.Holder().Session() == status.Session {
			sim.recordViolation("%s has version %d in force and has reported %+v, but %d is the lowest allowed version", b.name, b.configs.inForce, status, table.Lowest)
		}
		if _, out := table.ShutOutBoxes[b.name]; out && !rejected {
			sim.recordViolation("%s is still shut out without a reason: %+v", b.name, status)
		}
		if standing := b.node.Standing(); standing != straggler.UpToDate && !rejected {
			sim.recordViolation("%s is %v, want up to date", b.name, standing)
		}
	}
}

// mayAct reports whether a box may act for the fleet. A box that has rejected the version that the fleet allows may not.
func mayAct(b *box) bool { return b.node.Standing() == straggler.UpToDate }
