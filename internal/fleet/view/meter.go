package view

import "time"

// Totals are what a box has counted since its process began.
type Totals struct {
	First, Further  uint64   // tries that came
	Served, Refused uint64   // answers
	Running         int      // requests without their answer
	Classes         []uint64 // answered by class, the least worth first
}

// Meter makes summaries from totals. The zero value is ready; it is not safe for use by several goroutines.
type Meter struct {
	last     Totals
	at       time.Duration
	capacity float64
}

// What a box can serve is measured where it shows: what it serves while it refuses, smoothed, and else the most that it has served lately,
// which fades, as nobody knows whether it still could.
const (
	smooth = 0.2   // weight of the newest reading
	fades  = 0.998 // of each reading: half of it is left after a minute and a half
	shows  = 0.01  // share of refusals from which on a box is at its capacity
)

// Read makes a summary of what came since the last reading.
func (m *Meter) Read(now time.Duration, t Totals) (s Summary) {
	was, span := m.last, (now - m.at).Seconds()
	first := m.at == 0
	m.last, m.at = t, max(now, 1)
	if first || span <= 0 {
		return s
	}
	rate := func(a, b uint64) float64 {
		if a < b {
			return 0
		}
		return float64(a-b) / span
	}
	served, refused := rate(t.Served, was.Served), rate(t.Refused, was.Refused)
	if refused > shows*(served+refused) {
		if m.capacity == 0 {
			m.capacity = served
		}
		m.capacity += smooth * (served - m.capacity)
	} else {
		m.capacity = max(m.capacity*fades, served)
	}
	s = Summary{Capacity: m.capacity, Running: served, First: rate(t.First, was.First), Further: rate(t.Further, was.Further)}
	for i, n := range t.Classes {
		before := uint64(0)
		if i < len(was.Classes) {
			before = was.Classes[i]
		}
		s.Classes = append(s.Classes, rate(n, before))
	}
	return s
}
