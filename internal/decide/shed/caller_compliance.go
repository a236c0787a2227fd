package shed

import "time"

// CallerCompliance tracks how far callers comply with the free value that they are sent. Rejecting a request costs a read, and a caller that goes on to
// the next box regardless makes all boxes read what one box has rejected; serving the request costs less. Requests of such a caller are
// therefore not ranked for rejection before others and not rejected as attempts beyond the budget. Only the module's own decision applies.
//
// Compliance shows in the ranks that a caller sends: a caller that complies sends nothing of a rank below the free value. The clock is the
// box's own. The zero value is ready to use; it is not safe for concurrent use.
type CallerCompliance struct {
	callers   map[int]float64
	minFloors [2]float64    // lowest free value of the current and of the previous span; a caller may have received any value of either
	spanEnd   time.Duration // end of the current span
}

const (
	floorSpan         = 500 * time.Millisecond
	minFloor          = 0.05 // below this free value, ranks say too little about compliance
	noncompliantScore = 3.0  // score from which on a caller counts as not complying
	maxScore          = 12.0
	maxCallers        = 4096
)

// SetFloor records the free value that is sent with answers from now on.
func (m *CallerCompliance) SetFloor(now time.Duration, floor float64) {
	if now >= m.spanEnd {
		m.minFloors = [2]float64{floor, m.minFloors[0]}
		if now >= m.spanEnd+floorSpan {
			m.minFloors[1] = floor
		}
		m.spanEnd = now + floorSpan
	}
	m.minFloors[0] = min(m.minFloors[0], floor)
}

// Observe records a request's rank and reports whether its caller counts as not complying. Of the requests of a caller that ignores the floor, the
// share below it equals the floor; half of that share is enough to raise the score.
func (m *CallerCompliance) Observe(caller int, rank float64) (noncompliant bool) {
	floor := min(m.minFloors[0], m.minFloors[1])
	score := m.callers[caller]
	if floor >= minFloor {
		if rank < floor {
			score++
		} else {
			score -= floor / (1 - min(floor, 0.9)) / 2
		}
		score = max(0, min(score, maxScore))
		_, known := m.callers[caller]
		switch {
		case known && score == 0:
			delete(m.callers, caller)
		case known || score > 0:
			if m.callers == nil || !known && len(m.callers) >= maxCallers {
				m.callers = map[int]float64{} // the table is full: start again with an empty one
			}
			m.callers[caller] = score
		}
	}
	return score >= noncompliantScore
}
