// Package shed decides what a box sheds as one of a fleet: from sums over the fleet that every box has about the same to numbers that
// its own module takes as advice. No box asks another: the rule is the same everywhere and works on what was offered, not on what was let
// in, so what all boxes shed adds up to the excess and nobody makes up for it twice.
//
// What it rests on. Sums are some hundred milliseconds old and differ between boxes by what was lost on the way. Every rule is
// therefore a share and not a turn: two boxes with sums that differ by 5% shed shares that differ by about as much. With sums that are old,
// or of too few boxes, the advice fades to none, and the box does what a lone one does (Trust).
package shed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cairnlane/internal/decide/probes"
)

// Sums are what a box knows of the whole fleet, itself included. Rates are in requests a second.
type Sums struct {
	Boxes    int                `cbor:"1,keyasint" json:"boxes"`                     // with a fresh summary
	Known    int                `cbor:"2,keyasint" json:"known"`                     // boxes that there are, the dead excepted
	Age      time.Duration      `cbor:"3,keyasint" json:"age_ns"`                    // of the oldest summary that counts
	Capacity float64            `cbor:"4,keyasint" json:"capacity"`                  // that can be served
	Free     float64            `cbor:"5,keyasint" json:"free"`                      // of the capacity, at boxes other than this one
	First    float64            `cbor:"6,keyasint" json:"first"`                     // first tries that come
	Further  float64            `cbor:"7,keyasint" json:"further"`                   // further tries that come
	Classes  []float64          `cbor:"8,keyasint" json:"classes"`                   // first tries offered by class, in the order of the settings
	Tenants  map[string]float64 `cbor:"9,keyasint" json:"tenants"`                   // first tries offered by tenant
	Level    float64            `cbor:"11,keyasint" json:"level"`                    // what callers are asked to hold back, in the mean by capacity
	Said     []probes.Said      `cbor:"10,keyasint,omitempty" json:"said,omitempty"` // what boxes have found of what all depend on
	Shed     int                `cbor:"12,keyasint" json:"shed"`                     // the level of who leads: the first by name of the boxes that sum up
	Lead     bool               `cbor:"-" json:"lead"`                               // it is this box
}

// Rules are what the fleet's configuration says of overload. All boxes that have a version in force have the same ones.
type Rules struct {
	Version uint64             // of the fleet's configuration
	Tries   float64            // further tries over first ones that the fleet takes; 0: a tenth
	Shares  map[string]float64 // of the capacity, by tenant; a tenant without one has an even part of what the others leave
	Order   []int              // classes by their place in the settings, in the order in which they are shed
}

// Order puts classes, by their place, in the order in which they are shed: what is worth least for the time that it may take goes first. That
// time is the only measure of a class's work that all boxes have alike.
func Order(n int, worth func(class int) float64, aim func(class int) time.Duration) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	density := func(i int) float64 { return worth(i) / aim(i).Seconds() }
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(density(a), density(b)) })
	return list
}

// Advice is what the module may take from the fleet. The zero value is none: the box is as if it were alone. It is not changed once it is
// given out.
type Advice struct {
	Version uint64             `json:"version"`           // of the configuration that it was made under
	Trust   float64            `json:"trust"`             // 0 to 1: how much of what follows counts already
	Tenants map[string]float64 `json:"tenants,omitempty"` // the chance at which a tenant's request is beyond its share, where it is above 0
	Level   int                `json:"level"`             // so many classes of the order are shed before the others
	Low     []bool             `json:"low,omitempty"`     // which ones they are, by their place in the settings
	Further float64            `json:"further"`           // the chance at which a further try is refused at read
	Mean    float64            `json:"mean"`              // what callers are asked to hold back, in the mean of the boxes
	GiveUp  bool               `json:"give_up"`           // no other box could serve it
	Later   [2]time.Duration   `json:"later_ns"`          // between these a refused caller is asked to come back, at a place drawn evenly
}

// The places in the order in which requests go where some must. Who is beyond a share goes before who is of a low class.
const (
	Last = iota - 1 // not by chance: refused here, it would be read at the next box
	Ordinary
	LowClass  // of a class below the fleet's level
	OverShare // of a tenant, beyond its share
)

// Word is what an advice says of one request. The zero value is nothing.
type Word struct {
	Version uint64
	Known   bool          // Full and Return count
	Full    bool          // no other box could serve it
	Return  time.Duration // when its caller is to come back, if it is refused
	Beyond  bool          // a further try beyond what the fleet takes
	Order   int           // Ordinary, LowClass or OverShare
}

// For is the word on a request of a tenant and a class, by its place in the settings. draw gives numbers evenly from 0 to 1.
func (a *Advice) For(tenant string, class int, further bool, draw func() float64) Word {
	w := Word{Version: a.Version}
	if a.Trust == 0 {
		return w
	}
	w.Beyond = further && draw() < a.Further
	switch {
	case draw() < a.Tenants[tenant]:
		w.Order = OverShare
	case class < len(a.Low) && a.Low[class] && draw() < a.Trust:
		w.Order = LowClass
	}
	if w.Known = a.Trust == 1; w.Known {
		w.Full, w.Return = a.GiveUp, a.Place(draw())
	}
	return w
}

// The stated rules.
const (
	budget      = 0.10 // further tries over first ones that the fleet takes, where its configuration says nothing
	fullFrom    = 1.00 // of the capacity: from here on tenants are held to their shares
	enterAbove  = 1.05 // of the capacity, offered by what is not shed yet: one class more is shed, once it was so for enterFor
	exitBelow   = 0.85 // of the capacity, offered by what is not shed and the class that is let in again, for exitFor
	enterFor    = 2 * time.Second
	exitFor     = 30 * time.Second // longer than the waves of 15 to 30 s in which boxes slow and recover
	changeEach  = 10 * time.Second
	calm        = 0.03 // of what callers are asked to hold back: as much is no pressure
	squeezeRate = 0.5  // of the capacity, in a second of asking callers to hold back everything
	squeezeMost = 0.6
	noFree      = 0.02 // of the capacity: less than this free elsewhere is nobody's to give
	staleAfter  = time.Second
	forgotAfter = 3 * time.Second
	leastKnown  = 0.5 // share of the boxes that must be heard for full trust; below half of it there is none
)

// SizeMost is the largest fleet that sheds as one. In one of 1,000 boxes a caller sees each box so seldom that none learns what callers heed,
// and what is refused first goes on through the list: there the fleet was worse than its boxes alone (docs/experiments/overload.md).
const SizeMost = 128

// Trust says how much sums count: 1 while they are fresh and of enough boxes, 0 when they are old or of few, evenly between.
func Trust(s Sums) float64 {
	if s.Known < 2 || s.Known > SizeMost || s.Boxes < 2 || s.Capacity <= 0 {
		return 0
	}
	age := 1 - float64(s.Age-staleAfter)/float64(forgotAfter-staleAfter)
	heard := 2*float64(s.Boxes)/(leastKnown*2*float64(s.Known)) - 1
	return max(0, min(1, age, heard))
}

// Shares divides a capacity over what tenants offer so that nobody gets more than it asks for, and those who do not get all of it get
// parts in the ratio of their weights (weighted max-min fairness, Bertsekas and Gallager, Data Networks, 6.5).
func Shares(offered map[string]float64, capacity float64, weight func(tenant string) float64) map[string]float64 {
	need := func(n string) float64 { return offered[n] / weight(n) }
	names := slices.SortedFunc(maps.Keys(offered), func(a, b string) int { return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(a, b)) })
	rest := 0.0 // weights of those who have got nothing yet
	for _, n := range names {
		rest += weight(n)
	}
	got := make(map[string]float64, len(names))
	for _, n := range names {
		got[n] = min(offered[n], max(0, capacity)*weight(n)/rest)
		capacity -= got[n]
		rest -= weight(n)
	}
	return got
}

// Parts divides a capacity over what tenants offer: each gets what it asks for up to its stated share, and what is left of the part that
// may be given out goes to those who ask for more.
func (r Rules) Parts(offered map[string]float64, capacity, part float64) map[string]float64 {
	weight := r.weights(offered)
	sum := 0.0
	for n := range offered {
		sum += weight(n)
	}
	got, more := make(map[string]float64, len(offered)), make(map[string]float64, len(offered))
	rest := part * capacity
	for n, o := range offered {
		got[n] = min(o, capacity*weight(n)/max(sum, 1))
		more[n] = o - got[n]
		rest -= got[n]
	}
	for n, g := range Shares(more, rest, weight) {
		got[n] += g
	}
	return got
}

// leastWeight is that of a tenant whom the stated shares leave nothing.
const leastWeight = 0.01

// weights are the shares that the configuration states; those that it does not name have an even part of the rest.
func (r Rules) weights(offered map[string]float64) func(string) float64 {
	stated, others := 0.0, 0
	for _, w := range r.Shares {
		stated += w
	}
	for n := range offered {
		if r.Shares[n] <= 0 {
			others++
		}
	}
	even := max((1-stated)/float64(max(others, 1)), leastWeight)
	return func(n string) float64 {
		if w := r.Shares[n]; w > 0 {
			return w
		}
		return even
	}
}

// Shedder is one box's. Its clock is the box's own. It is not safe for use by several goroutines.
type Shedder struct {
	level   int
	changed time.Duration // when the level did; 0: never
	squeeze float64       // part of the capacity that is not given out beyond the stated shares
	looked  time.Duration // when it was changed last
	above   time.Duration // since when too much was offered; 0: it is not
	below   time.Duration // since when there was room; 0: there is not
}

// Level is the present one.
func (s *Shedder) Level() int { return s.level }

// Advise says what this box is to do by sums and the fleet's rules. later bounds what a refused caller may be told.
func (s *Shedder) Advise(now time.Duration, v Sums, r Rules, later time.Duration) Advice {
	a := Advice{Version: r.Version, Trust: Trust(v)}
	s.turn(now, v, r, a.Trust)
	s.press(now, v, a.Trust)
	a.Level = s.level
	if a.Trust == 0 {
		return a
	}
	if offered := sum(v.Tenants); offered > (fullFrom-s.squeeze)*v.Capacity {
		shares := r.Parts(v.Tenants, v.Capacity, fullFrom-s.squeeze)
		for name, o := range v.Tenants {
			if o > shares[name] {
				if a.Tenants == nil {
					a.Tenants = map[string]float64{}
				}
				a.Tenants[name] = a.Trust * (1 - shares[name]/o)
			}
		}
	}
	if s.level > 0 {
		a.Low = make([]bool, len(r.Order))
		for _, place := range r.Order[:min(s.level, len(r.Order))] {
			if place < len(a.Low) {
				a.Low[place] = true
			}
		}
	}
	tries := r.Tries
	if tries == 0 {
		tries = budget
	}
	if v.Further > tries*v.First {
		a.Further = a.Trust * (1 - tries*v.First/v.Further)
	}
	a.GiveUp = a.Trust == 1 && v.Free < noFree*v.Capacity
	a.Later, a.Mean = spread(v, later), min(v.Level, 1)
	return a
}

// press squeezes what tenants get beyond their stated shares while callers are asked to hold back more than a little: they do so by rank
// alone, and would hold back what is within a share as well. Refusing costs a read, so the squeeze ends as soon as it is not needed.
func (s *Shedder) press(now time.Duration, v Sums, trust float64) {
	span := min(now-s.looked, time.Second).Seconds()
	s.looked = now
	goal := v.Level - calm
	if trust < 1 {
		goal = -calm
	}
	s.squeeze = max(0, min(squeezeMost, s.squeeze+squeezeRate*span*goal))
}

// turn moves the level, one step at a time. With sums that do not count it goes down as if nothing were offered: a box that is alone for
// long sheds by itself.
func (s *Shedder) turn(now time.Duration, v Sums, r Rules, trust float64) {
	use := func(level int) float64 {
		if trust == 0 {
			return 0
		}
		n := 0.0
		for _, place := range r.Order[min(level, len(r.Order)):] {
			if place < len(v.Classes) {
				n += v.Classes[place]
			}
		}
		return n / v.Capacity
	}
	if !v.Lead && trust > 0 { // one level for the fleet: that of who leads, with the same time between two changes
		if s.level != v.Shed && (s.changed == 0 || now-s.changed >= changeEach) {
			s.level, s.changed = min(max(v.Shed, 0), max(len(r.Order)-1, 0)), max(now, 1)
		}
		s.above, s.below = 0, 0
		return
	}
	mark := func(on bool, since *time.Duration) {
		switch {
		case !on:
			*since = 0
		case *since == 0:
			*since = max(now, 1)
		}
	}
	mark(s.level < len(r.Order)-1 && use(s.level) > enterAbove, &s.above)
	mark(s.level > 0 && use(s.level-1) < exitBelow, &s.below)
	if s.changed != 0 && now-s.changed < changeEach {
		return
	}
	switch {
	case s.above != 0 && now-s.above >= enterFor:
		s.level++
	case s.below != 0 && now-s.below >= exitFor:
		s.level--
	default:
		return
	}
	s.changed, s.above, s.below = max(now, 1), 0, 0
}

// spread says over which time refused callers are to come back: as long as it takes to serve those that are refused in a second with what
// is free or, where nothing is, as long as may be said. All at once they would be refused again.
func spread(v Sums, most time.Duration) [2]time.Duration {
	excess := v.First + v.Further - v.Capacity
	if excess <= 0 {
		return [2]time.Duration{0, min(most, time.Second)}
	}
	over := most.Seconds()
	if v.Free > 0 {
		over = min(over, excess/v.Free)
	}
	return [2]time.Duration{min(most, time.Second) / 4, max(min(most, time.Second), time.Duration(over*float64(time.Second)))}
}

func sum(m map[string]float64) (n float64) {
	for _, v := range m {
		n += v
	}
	return n
}

// Place draws when a caller is asked to come back, from a number evenly between 0 and 1.
func (a Advice) Place(u float64) time.Duration {
	return a.Later[0] + time.Duration(math.Max(0, math.Min(1, u))*float64(a.Later[1]-a.Later[0]))
}
