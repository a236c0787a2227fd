package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cairnlane/internal/replica"
)

// Totals are what a box has counted since its process began.
type Totals struct {
	First, Further uint64            // tries that came
	Served, Late   uint64            // answers, and those of them after their aim
	Refused        uint64            // by its own word
	Advised        uint64            // refused by the fleet's word whatever the box's own state was
	Busy           float64           // share of the cores that was wanted of late, 0 to 1; 0 where it is not known
	Level          float64           // the free value that goes out with answers
	Classes        []uint64          // first tries, in the order of the settings
	Tenants        map[string]uint64 // first tries
}

// TotalsOf are those of a replica, with its free value.
func TotalsOf(f replica.Figures, level float64) Totals {
	t := Totals{First: uint64(max(0, f.Read-f.Further)), Further: uint64(f.Further), Advised: uint64(f.Beyond), Busy: f.Busy, Level: level, Tenants: make(map[string]uint64, len(f.Tenants))}
	for _, c := range f.Classes {
		t.Served, t.Late, t.Refused = t.Served+uint64(c.Served), t.Late+uint64(c.Late), t.Refused+uint64(c.Refused)
		t.Classes = append(t.Classes, uint64(c.Wanted))
	}
	t.Refused -= min(t.Refused, t.Advised)
	for name, n := range f.Wanted {
		t.Tenants[name] = uint64(n)
	}
	return t
}

// Meter makes summaries from totals. The zero value is ready; it is not safe for use by several goroutines.
type Meter struct {
	last Totals
	at   time.Duration
	mean Summary // smoothed
	full float64 // smoothed share of refusals by the box's own word
}

// What a box can serve is measured where it shows: what it serves while it refuses by its own word, and else what it serves for the share
// of its cores that this takes. What it refuses by the fleet's word shows nothing: a fleet that took it for a sign would shed ever more.
const (
	smooth    = 0.2  // weight of the newest reading, of a few a second
	shows     = 0.01 // share of refusals from which on a box is at its capacity
	leastBusy = 0.2  // share of the cores from which on what is served tells what could be
)

// Read makes a summary of what came since the last reading.
func (m *Meter) Read(now time.Duration, t Totals) Summary {
	was, span := m.last, (now - m.at).Seconds()
	first := m.at == 0
	m.last, m.at = t, max(now, 1)
	if first || span <= 0 {
		return Summary{}
	}
	rate := func(a, b uint64) float64 {
		if a < b {
			return 0 // it counts anew
		}
		return float64(a-b) / span
	}
	s := &m.mean
	mix := func(mean *float64, x float64) { *mean += smooth * (x - *mean) }
	mix(&s.First, rate(t.First, was.First))
	mix(&s.Further, rate(t.Further, was.Further))
	mix(&s.Running, rate(t.Served, was.Served))
	mix(&s.Late, rate(t.Late, was.Late))
	mix(&s.Refused, rate(t.Refused, was.Refused)+rate(t.Advised, was.Advised))
	own, served := rate(t.Refused, was.Refused), rate(t.Served, was.Served)
	if own+served > 0 {
		mix(&m.full, own/(own+served))
	}
	switch {
	case m.full > shows:
		mix(&s.Capacity, served)
	case t.Busy > leastBusy:
		mix(&s.Capacity, served/t.Busy)
	}
	if s.Capacity == 0 {
		s.Capacity = served
	}
	s.Full, s.Level = m.full > shows, t.Level
	for len(s.Classes) < len(t.Classes) {
		s.Classes = append(s.Classes, 0)
	}
	for i, n := range t.Classes {
		before := uint64(0)
		if i < len(was.Classes) {
			before = was.Classes[i]
		}
		mix(&s.Classes[i], rate(n, before))
	}
	if s.Tenants == nil {
		s.Tenants = map[string]float64{}
	}
	for name, n := range t.Tenants {
		x := s.Tenants[name]
		mix(&x, rate(n, was.Tenants[name]))
		s.Tenants[name] = x
	}
	out := *s
	out.Classes = slices.Clone(s.Classes)
	out.Tenants = greatest(s.Tenants)
	return out
}

// greatest are the tenants that offer most, as many as a summary may name.
func greatest(all map[string]float64) map[string]float64 {
	if len(all) <= TenantsMost {
		return maps.Clone(all)
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int { return cmp.Or(cmp.Compare(all[b], all[a]), cmp.Compare(a, b)) })
	out := make(map[string]float64, TenantsMost)
	for _, n := range names[:TenantsMost] {
		out[n] = all[n]
	}
	return out
}
