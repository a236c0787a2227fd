// Package view is what a box knows of the others' load: one small summary of each, aged, bounded, and clamped, so that no single box
// moves what all of them do. It does no I/O.
package view

import (
	"maps"
	"math"
	"slices"
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
)

// Summary is what a box says of itself, a few times a second. Rates are a second's.
type Summary struct {
	Session  uint64             `cbor:"1,keyasint" json:"session"`  // the box's incarnation in the ledger
	Seq      uint64             `cbor:"2,keyasint" json:"seq"`      // grows within an incarnation
	Capacity float64            `cbor:"3,keyasint" json:"capacity"` // requests that it can serve
	Running  float64            `cbor:"4,keyasint" json:"running"`  // requests that it serves
	Refused  float64            `cbor:"9,keyasint" json:"refused"`
	Late     float64            `cbor:"10,keyasint" json:"late"`  // served after their aim
	Full     bool               `cbor:"11,keyasint" json:"full"`  // it refuses by its own word: it has nothing free
	Level    float64            `cbor:"12,keyasint" json:"level"` // its free value
	First    float64            `cbor:"5,keyasint" json:"first"`
	Further  float64            `cbor:"6,keyasint" json:"further"`
	Classes  []float64          `cbor:"7,keyasint" json:"classes"`                   // first tries, in the order of the settings
	Tenants  map[string]float64 `cbor:"8,keyasint" json:"tenants,omitempty"`         // first tries, of the greatest
	Said     *probes.Said       `cbor:"13,keyasint,omitempty" json:"said,omitempty"` // what it has found itself of what all depend on
}

// The bounds of a view.
const (
	BoxesMost   = 4096
	ClassesMost = 32
	TenantsMost = 64 // of one summary
	nameMost    = 128
	fresh       = time.Second     // a summary counts in full for so long
	forgotten   = 3 * time.Second // and not at all after it
	// mostOfMedian is how many times the median box's capacity one box's counts at the most, and mostOffered how many times its own
	// capacity what it is offered. A box that says a hundred times the truth moves the sum of n boxes by less than mostOfMedian/n.
	mostOfMedian = 4.0
	mostOffered  = 8.0
)

type heard struct {
	Summary
	at time.Duration
}

// View is one box's. Its clock is the box's own. The zero value is ready; it is not safe for use by several goroutines.
type View struct{ boxes map[string]heard }

// Take keeps what a box says. It tells false for what is left out: what is impossible, late, or of an earlier incarnation.
func (v *View) Take(now time.Duration, box string, s Summary) bool {
	if !possible(s) || len(box) > nameMost || s.Said != nil && s.Said.Box != box { // a box says what it has found itself
		return false
	}
	was, known := v.boxes[box]
	if known && (s.Session < was.Session || s.Session == was.Session && s.Seq <= was.Seq) || !known && len(v.boxes) >= BoxesMost {
		return false
	}
	if v.boxes == nil {
		v.boxes = map[string]heard{}
	}
	v.boxes[box] = heard{s, now}
	return true
}

// Forget drops a box: it has left, is dead or shut out.
func (v *View) Forget(box string) { delete(v.boxes, box) }

// possible tells whether a summary can be true at all.
func possible(s Summary) bool {
	number := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }
	if len(s.Classes) > ClassesMost || len(s.Tenants) > TenantsMost || !number(s.Capacity) || !number(s.Running) || !number(s.First) || !number(s.Further) ||
		!number(s.Refused) || !number(s.Late) || !number(s.Level) {
		return false
	}
	for _, c := range s.Classes {
		if !number(c) {
			return false
		}
	}
	if s.Said != nil && (s.Said.Ago < 0 || len(s.Said.Box) > nameMost) {
		return false
	}
	for name, o := range s.Tenants {
		if len(name) > nameMost || !number(o) {
			return false
		}
	}
	return true
}

// Sums adds up what counts now. self is this box, whose own capacity is not among what is free elsewhere. known is how many boxes there
// are.
func (v *View) Sums(now time.Duration, self string, known int) shed.Sums {
	out := shed.Sums{Known: known, Tenants: map[string]float64{}}
	var capacities []float64
	for box, h := range v.boxes {
		if now-h.at > forgotten {
			delete(v.boxes, box)
			continue
		}
		capacities = append(capacities, h.Capacity)
	}
	if len(capacities) == 0 {
		return out
	}
	slices.Sort(capacities)
	cap := mostOfMedian * capacities[len(capacities)/2]
	for _, box := range slices.Sorted(maps.Keys(v.boxes)) { // in one order: floating sums depend on it
		h := v.boxes[box]
		// What was said long ago counts less and less, so that a box that is gone does not vanish from the sums at once.
		weight := min(1, max(0, 1-float64(now-h.at-fresh)/float64(forgotten-fresh)))
		if now-h.at <= fresh {
			out.Boxes++
		}
		out.Age = max(out.Age, min(now-h.at, fresh))
		if h.Said != nil {
			out.Said = append(out.Said, older(*h.Said, now-h.at))
		}
		capacity := min(h.Capacity, cap)
		// All that it is offered is scaled together, so that the parts still add up.
		offered := weight
		if o := h.First + h.Further; o > mostOffered*capacity && o > 0 {
			offered *= mostOffered * capacity / o
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
	out.Said = probes.Newest(out.Said)
	out.Level /= max(out.Capacity, 1e-9)
	return out
}

// older is a word that was heard a while ago.
func older(s probes.Said, by time.Duration) probes.Said {
	s.Ago += by
	return s
}
