package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cairnlane/internal/replica"
)

// Totals holds a box's counts since its process started.
type Totals struct {
	First, Further  uint64            // attempts received
	Served, Late    uint64            // answers, and those after their target time
	RejectedLocally uint64            // rejected because of the box's own load
	RejectedByFleet uint64            // rejected on the fleet's advice, whatever the box's own load
	Busy            float64           // recent share of the cores in demand, 0 to 1; 0: unknown
	Level           float64           // the free value that is sent with answers
	Classes         []uint64          // first attempts, by class in the order of the settings
	Tenants         map[string]uint64 // first attempts
}

// TotalsOf returns a replica's totals, with its free value.
func TotalsOf(f replica.Figures, level float64) Totals {
	t := Totals{First: uint64(max(0, f.Attempts-f.Retries)), Further: uint64(f.Retries), RejectedByFleet: uint64(f.RejectedOverBudget), Busy: f.CoreDemand, Level: level, Tenants: make(map[string]uint64, len(f.FirstByTenant))}
	for _, c := range f.Classes {
		t.Served, t.Late, t.RejectedLocally = t.Served+uint64(c.Served), t.Late+uint64(c.Late), t.RejectedLocally+uint64(c.Rejected)
		t.Classes = append(t.Classes, uint64(c.Wanted))
	}
	t.RejectedLocally -= min(t.RejectedLocally, t.RejectedByFleet)
	for name, n := range f.WantedByTenant {
		t.Tenants[name] = uint64(n)
	}
	return t
}

// Meter derives summaries from totals. The zero value is ready to use; it is not safe for concurrent use.
type Meter struct {
	last          Totals
	at            time.Duration
	mean          Summary // smoothed
	rejectedShare float64 // smoothed share of requests rejected because of the box's own load
}

// A box's capacity is measured only where it is visible: as the rate served while the box rejects requests because of its own load, and
// otherwise as the rate served divided by the share of the cores in use. Rejections on the fleet's advice are not evidence of a full box:
// if they were, the advice would lower the measured capacity and the fleet would shed ever more.
const (
	smoothing = 0.2  // weight of the newest of a few readings a second
	fullShare = 0.01 // share of rejections from which on a box counts as full
	minBusy   = 0.2  // share of the cores from which on the rate served indicates the capacity
)

// Read returns the smoothed summary, updated with the counts since the last reading.
func (m *Meter) Read(now time.Duration, t Totals) Summary {
	was, span := m.last, (now - m.at).Seconds()
	first := m.at == 0
	m.last, m.at = t, max(now, 1)
	if first || span <= 0 {
		return Summary{}
	}
	rate := func(a, b uint64) float64 {
		if a < b {
			return 0 // the counts have restarted
		}
		return float64(a-b) / span
	}
	s := &m.mean
	mix := func(mean *float64, x float64) { *mean += smoothing * (x - *mean) }
	mix(&s.First, rate(t.First, was.First))
	mix(&s.Further, rate(t.Further, was.Further))
	mix(&s.Running, rate(t.Served, was.Served))
	mix(&s.Late, rate(t.Late, was.Late))
	mix(&s.Refused, rate(t.RejectedLocally, was.RejectedLocally)+rate(t.RejectedByFleet, was.RejectedByFleet))
	own, served := rate(t.RejectedLocally, was.RejectedLocally), rate(t.Served, was.Served)
	if own+served > 0 {
		mix(&m.rejectedShare, own/(own+served))
	}
	switch {
	case m.rejectedShare > fullShare:
		mix(&s.Capacity, served)
	case t.Busy > minBusy:
		mix(&s.Capacity, served/t.Busy)
	}
	if s.Capacity == 0 {
		s.Capacity = served
	}
	s.Full, s.Level = m.rejectedShare > fullShare, t.Level
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
	out.Tenants = topTenants(s.Tenants)
	return out
}

// topTenants returns the tenants with the highest offered rates, as many as a summary may contain.
func topTenants(all map[string]float64) map[string]float64 {
	if len(all) <= MaxTenants {
		return maps.Clone(all)
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int { return cmp.Or(cmp.Compare(all[b], all[a]), cmp.Compare(a, b)) })
	out := make(map[string]float64, MaxTenants)
	for _, n := range names[:MaxTenants] {
		out[n] = all[n]
	}
	return out
}
