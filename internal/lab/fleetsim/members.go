package fleetsim

import (
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/fleet/ledger"
)

// MemberFigures measures failure detection by the sessions of the ledger. Messages and bytes are per box and second.
type MemberFigures struct {
	MessagesPerBox, BytesPerBox   float64
	FirstDetection, FullDetection time.Duration
	FalseAlarms                   int
}

// MeasureFailureDetection simulates a fleet, kills one box and measures how soon the others notice. Then it delays all messages to a fifth of the boxes by slowBy
// and counts the sessions that end although their boxes are alive.
func MeasureFailureDetection(boxes int, term, slowBy time.Duration) (f MemberFigures) {
	sim := New(Config{Seed: 1, Boxes: boxes, Voters: 5, Terms: lease.Terms{Term: term, Drift: 0.01}, Timing: ledger.DefaultTiming, Tasks: 1, MeanDelay: time.Millisecond})
	sim.countBytes = true
	sim.Advance(20 * time.Second)
	clear(sim.traffic)
	const span = 20 * time.Second
	sim.Advance(sim.now + span)
	for _, t := range sim.traffic {
		f.MessagesPerBox += float64(t.messages) / span.Seconds() / float64(boxes)
		f.BytesPerBox += float64(t.bytes) / span.Seconds() / float64(boxes)
	}
	victim := boxes - 1
	sim.kill(victim)
	killed := sim.now
	for f.FullDetection == 0 && sim.now < killed+time.Minute {
		sim.Advance(sim.now + 50*time.Millisecond)
		noticed := 0
		for i, b := range sim.boxes[:victim] {
			for _, m := range b.node.Members(b.clock(sim)) {
				if m.Name == sim.boxes[victim].name && m.State == fleet.Dead {
					noticed++
					break
				}
			}
			if i == 0 && noticed == 0 && f.FirstDetection > 0 {
				break
			}
		}
		if noticed > 0 && f.FirstDetection == 0 {
			f.FirstDetection = sim.now - killed
		}
		if noticed == victim {
			f.FullDetection = sim.now - killed
		}
	}
	before := map[string]uint64{}
	for name, id := range sim.boxes[0].node.Ledger().State().Table.CurrentSessions {
		before[name] = id
	}
	for i := range boxes / 5 {
		for k := range sim.boxes {
			sim.linkDelay[[2]int{i, k}] = slowBy
		}
	}
	sim.Advance(sim.now + 2*span)
	now := sim.boxes[boxes/2].node.Ledger().State().Table.CurrentSessions
	for name, id := range before {
		if now[name] != id {
			f.FalseAlarms++
		}
	}
	return f
}
