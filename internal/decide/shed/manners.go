package shed

import "time"

// Manners is what a box has seen of how far callers do as they are told. Refusing costs a read, and a caller that goes on to the next box
// whatever it is told has all boxes read what one has refused: serving it costs less. So what such a caller sends is not put before the
// rest, and not refused as a try beyond the budget; the module's own chance is all that it meets.
//
// It is seen by the free value: callers that heed it send nothing of lower rank. The clock is the box's own. The zero value is ready; it
// is not safe for use by several goroutines.
type Manners struct {
	callers map[int]float64
	floors  [2]float64    // the least free value in the present span and in the one before: a caller may have heard any of them
	until   time.Duration // end of the present span
}

const (
	floorSpan   = 500 * time.Millisecond
	leastFloor  = 0.05 // a free value below it tells too little of who heeds it
	rudeFrom    = 3.0  // of the score
	scoreMost   = 12.0
	callersMost = 4096
)

// Told takes the free value that goes out with answers now.
func (m *Manners) Told(now time.Duration, floor float64) {
	if now >= m.until {
		m.floors = [2]float64{floor, m.floors[0]}
		if now >= m.until+floorSpan {
			m.floors[1] = floor
		}
		m.until = now + floorSpan
	}
	m.floors[0] = min(m.floors[0], floor)
}

// Saw takes a request that a caller has sent and tells whether it is one that does not do as it is told. A caller that does not heed the
// floor sends as many below it as the floor says; half as many are enough to be taken for one.
func (m *Manners) Saw(caller int, rank float64) (rude bool) {
	floor := min(m.floors[0], m.floors[1])
	score := m.callers[caller]
	if floor >= leastFloor {
		if rank < floor {
			score++
		} else {
			score -= floor / (1 - min(floor, 0.9)) / 2
		}
		score = max(0, min(score, scoreMost))
		_, known := m.callers[caller]
		switch {
		case known && score == 0:
			delete(m.callers, caller)
		case known || score > 0:
			if m.callers == nil || !known && len(m.callers) >= callersMost {
				m.callers = map[int]float64{} // what is known is learnt anew
			}
			m.callers[caller] = score
		}
	}
	return score >= rudeFrom
}
