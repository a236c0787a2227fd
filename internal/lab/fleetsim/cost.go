package fleetsim

import (
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fleet/ledger"
)

// CatchUpTime lets one box miss a number of configurations and returns the time from the end of its partition until it has the newest one in
// force; 0 if it does not within a minute.
func CatchUpTime(missed int) time.Duration {
	cfg := Default(1)
	cfg.Busy, cfg.RolloutInterval, cfg.LossRate = false, 1000*time.Hour, 0
	sim := New(cfg)
	sim.Advance(5 * time.Second)
	rollOut := func() {
		sim.configsPut++
		d := digestOf(sim.configsPut * 5) // any digest will do: Verify goes by the version's number
		b := sim.boxes[0]
		b.configs.has[d] = true
		sim.run(0, b.incarnation, func() {
			b.node.SubmitRolloutCommand(b.clock(sim), rollout.Command{Kind: rollout.Put, Digest: d, Size: 100, Rules: &rollout.Rules{Grace: time.Hour, Floor: 0.1}})
		})
		sim.Advance(sim.now + time.Second)
		sim.run(0, b.incarnation, func() {
			b.node.SubmitRolloutCommand(b.clock(sim), rollout.Command{Kind: rollout.Start, N: b.node.Ledger().State().Rollout.Last,
				Plan: &rollout.Plan{Canaries: 9, Share: 1, Timeout: time.Minute, MaxRejected: 9, MaxDead: 9, Slots: 9, Supersede: true}})
		})
		sim.Advance(sim.now + 4*time.Second)
	}
	rollOut()
	last := len(sim.boxes) - 1
	for k := range last {
		sim.cutLinks[[2]int{k, last}], sim.cutLinks[[2]int{last, k}] = true, true
	}
	sim.Advance(sim.now + 4*cfg.Terms.Term)
	for range missed {
		rollOut()
	}
	clear(sim.cutLinks)
	began, b := sim.now, sim.boxes[last]
	for sim.now < began+time.Minute {
		sim.Advance(sim.now + 10*time.Millisecond)
		if t := sim.boxes[0].node.Ledger().State().Rollout; b.configs.inForce == t.Target && t.Target > 1 {
			return sim.now - began
		}
	}
	return 0
}

// AuditBytes simulates an idle fleet and returns how many bytes a voter's ledger writes per box and hour: for renewals alone, and with rollout
// status and audit heads.
func AuditBytes(members int, span time.Duration) (without, with float64) {
	bytesWritten := func(withReports bool) float64 {
		cfg := Config{Seed: 1, Boxes: members, Voters: 3, Terms: lease.Terms{Term: 10 * time.Second, Drift: 0.01}, Timing: ledger.DefaultTiming, Tasks: 1, MeanDelay: time.Millisecond}
		if withReports {
			cfg.RolloutInterval = 1000 * time.Hour
		}
		sim := New(cfg)
		sim.Advance(30 * time.Second)
		if withReports {
			sim.boxes[0].configs.has[digestOf(5)] = true
			sim.run(0, sim.boxes[0].incarnation, func() {
				sim.boxes[0].node.SubmitRolloutCommand(sim.boxes[0].clock(sim), rollout.Command{Kind: rollout.Put, Digest: digestOf(5), Size: 100, Rules: &rollout.Rules{Grace: time.Hour, Floor: 0.1}})
			})
			sim.Advance(sim.now + 5*time.Second)
			var reportHead func(i int, n uint64)
			reportHead = func(i int, n uint64) {
				b := sim.boxes[i]
				sim.run(i, b.incarnation, func() {
					b.node.ReportAuditHead(b.clock(sim), lease.Mark{Chain: "01a233d09ba0bff584b4", N: n, Sum: digestOf(int(n)), First: 1})
				})
				sim.after(5*time.Second, func() { reportHead(i, n+1) })
			}
			for i := range sim.boxes {
				sim.after(time.Duration(i)*5*time.Second/time.Duration(members), func() { reportHead(i, 1) })
			}
		}
		sim.Advance(sim.now + 10*time.Second)
		before, from := sim.boxes[0].disk.Written, sim.now
		sim.Advance(sim.now + span)
		return float64(sim.boxes[0].disk.Written-before) / float64(members) / (sim.now - from).Hours()
	}
	return bytesWritten(false), bytesWritten(true)
}
