// Package view maintains what a box knows of the other boxes' load: one small summary per box, aged, bounded and clamped, so that no
// single box can move the fleet's decisions far. It does no I/O.
package view

import (
	"maps"
	"math"
	"slices"
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
)

// Summary is a box's report of its load, sent a few times a second. Rates are per second.
type Summary struct {
	Session  uint64                `cbor:"1,keyasint" json:"session"`  // the box's incarnation in the ledger
	Seq      uint64                `cbor:"2,keyasint" json:"seq"`      // increases within an incarnation
	Capacity float64               `cbor:"3,keyasint" json:"capacity"` // requests it can serve
	Running  float64               `cbor:"4,keyasint" json:"running"`  // requests it serves
	Refused  float64               `cbor:"9,keyasint" json:"refused"`
	Late     float64               `cbor:"10,keyasint" json:"late"`  // served after their target time
	Full     bool                  `cbor:"11,keyasint" json:"full"`  // the box rejects requests because it has no free capacity itself
	Level    float64               `cbor:"12,keyasint" json:"level"` // its free value, as sent with answers
	First    float64               `cbor:"5,keyasint" json:"first"`
	Further  float64               `cbor:"6,keyasint" json:"further"`
	Classes  []float64             `cbor:"7,keyasint" json:"classes"`                   // first attempts, by class in the order of the settings
	Tenants  map[string]float64    `cbor:"8,keyasint" json:"tenants,omitempty"`         // first attempts, of the tenants with most
	Finding  *probes.FindingReport `cbor:"13,keyasint,omitempty" json:"said,omitempty"` // the box's own finding about the shared dependency
}

// The limits of a view.
const (
	MaxBoxes     = 4096
	MaxClasses   = 32
	MaxTenants   = 64 // per summary
	maxNameBytes = 128
	freshAge     = time.Second     // age up to which a summary has full weight
	maxAge       = 3 * time.Second // age from which it has no weight
	// maxOfMedian limits one box's capacity to a multiple of the median, and maxOffered its offered load to a multiple of its own
	// capacity. A box that reports a hundred times its real values then moves the sum of n boxes by less than maxOfMedian/n.
	maxOfMedian = 4.0
	maxOffered  = 8.0
)

type receivedSummary struct {
	Summary
	at time.Duration
}

// View holds the summaries that one box has received. Its clock is the box's own. The zero value is ready to use; it is not safe for
// concurrent use.
type View struct{ boxes map[string]receivedSummary }

// Take stores a box's summary. It returns false for a rejected one: invalid, out of order, or of an earlier incarnation.
func (v *View) Take(now time.Duration, box string, s Summary) bool {
	if !validSummary(s) || len(box) > maxNameBytes || s.Finding != nil && s.Finding.Box != box { // a box reports only its own findings
		return false
	}
	was, known := v.boxes[box]
	if known && (s.Session < was.Session || s.Session == was.Session && s.Seq <= was.Seq) || !known && len(v.boxes) >= MaxBoxes {
		return false
	}
	if v.boxes == nil {
		v.boxes = map[string]receivedSummary{}
	}
	v.boxes[box] = receivedSummary{s, now}
	return true
}

// Forget removes a box that has left, is dead or is shut out.
func (v *View) Forget(box string) { delete(v.boxes, box) }

// validSummary reports whether a summary is within the limits and has valid numbers.
func validSummary(s Summary) bool {
	number := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }
	if len(s.Classes) > MaxClasses || len(s.Tenants) > MaxTenants || !number(s.Capacity) || !number(s.Running) || !number(s.First) || !number(s.Further) ||
		!number(s.Refused) || !number(s.Late) || !number(s.Level) {
		return false
	}
	for _, c := range s.Classes {
		if !number(c) {
			return false
		}
	}
	if s.Finding != nil && (s.Finding.Ago < 0 || len(s.Finding.Box) > maxNameBytes) {
		return false
	}
	for name, o := range s.Tenants {
		if len(name) > maxNameBytes || !number(o) {
			return false
		}
	}
	return true
}

// Sums adds up the summaries that have weight now. self is this box, whose free capacity is not counted as free elsewhere. known is the
// number of boxes in the fleet.
func (v *View) Sums(now time.Duration, self string, known int) shed.Sums {
	out := shed.Sums{Known: known, Tenants: map[string]float64{}}
	var capacities []float64
	for box, h := range v.boxes {
		if now-h.at > maxAge {
			delete(v.boxes, box)
			continue
		}
		capacities = append(capacities, h.Capacity)
	}
	if len(capacities) == 0 {
		return out
	}
	slices.Sort(capacities)
	cap := maxOfMedian * capacities[len(capacities)/2]
	for _, box := range slices.Sorted(maps.Keys(v.boxes)) { // a fixed order, because sums of floating-point numbers depend on it
		h := v.boxes[box]
		// The weight decreases with age, so that a box that disappears does not leave the sums at once.
		weight := min(1, max(0, 1-float64(now-h.at-freshAge)/float64(maxAge-freshAge)))
		if now-h.at <= freshAge {
			out.Boxes++
		}
		out.Age = max(out.Age, min(now-h.at, freshAge))
		if h.Finding != nil {
			out.Reports = append(out.Reports, withAge(*h.Finding, now-h.at))
		}
		capacity := min(h.Capacity, cap)
		// All parts of the offered load are scaled alike, so that they still add up.
		offered := weight
		if o := h.First + h.Further; o > maxOffered*capacity && o > 0 {
			offered *= maxOffered * capacity / o
		}
		out.Capacity += weight * capacity
		out.Level += weight * capacity * min(h.Level, 1)
		out.First += offered * h.First
		out.Further += offered * h.Further
		if box != self && !h.Full {
			out.Free += weight * max(0, capacity-min(h.Running, capacity))
		}
		for i, c := range h.Classes {
			for len(out.Classes) <= i {
				out.Classes = append(out.Classes, 0)
			}
			out.Classes[i] += offered * min(c, h.First+h.Further)
		}
		for name, o := range h.Tenants {
			out.Tenants[name] += offered * min(o, h.First+h.Further)
		}
	}
	out.Reports = probes.NewestReports(out.Reports)
	out.Level /= max(out.Capacity, 1e-9)
	return out
}

// withAge returns a finding with its age increased.
func withAge(s probes.FindingReport, by time.Duration) probes.FindingReport {
	s.Ago += by
	return s
}
