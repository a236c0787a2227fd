// Package shed decides what a box sheds as part of a fleet. It turns sums over the fleet, which are nearly the same on every box, into advice
// for the box's own module. No box asks another one: all apply the same rule to the offered load, not to the admitted load. What all boxes
// shed therefore adds up to the excess, and no box compensates for what another one has already shed.
//
// Sums are some hundred milliseconds old and differ between boxes by the messages that were lost. Every rule is therefore a share and not a
// turn: two boxes whose sums differ by 5% shed shares that differ by about as much. When sums are old or cover too few boxes, the advice fades
// out, and the box acts like a box without a fleet (see Trust).
package shed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cairnlane/internal/decide/probes"
)

// Sums holds what a box knows of the whole fleet, including itself. Rates are in requests per second.
type Sums struct {
	Boxes       int                    `cbor:"1,keyasint" json:"boxes"`                     // boxes with a fresh summary
	Known       int                    `cbor:"2,keyasint" json:"known"`                     // boxes of the fleet, except dead ones
	Age         time.Duration          `cbor:"3,keyasint" json:"age_ns"`                    // age of the oldest summary included
	Capacity    float64                `cbor:"4,keyasint" json:"capacity"`                  // requests that can be served
	Free        float64                `cbor:"5,keyasint" json:"free"`                      // part of the capacity that is free at other boxes
	First       float64                `cbor:"6,keyasint" json:"first"`                     // first attempts received
	Further     float64                `cbor:"7,keyasint" json:"further"`                   // further attempts received
	Classes     []float64              `cbor:"8,keyasint" json:"classes"`                   // first attempts offered by class, in the order of the settings
	Tenants     map[string]float64     `cbor:"9,keyasint" json:"tenants"`                   // first attempts offered by tenant
	Level       float64                `cbor:"11,keyasint" json:"level"`                    // share that callers are asked to hold back, averaged by capacity
	Reports     []probes.FindingReport `cbor:"10,keyasint,omitempty" json:"said,omitempty"` // boxes' findings about the shared dependency
	LeaderLevel int                    `cbor:"12,keyasint" json:"shed"`                     // level of the leader: the first relay by name
	IsLeader    bool                   `cbor:"-" json:"lead"`                               // this box is the leader
}

// Rules holds the overload rules of the fleet's configuration. They are the same on all boxes that have the same version in force.
type Rules struct {
	Version uint64             // number of the fleet's configuration
	Tries   float64            // allowed ratio of further to first attempts; 0: the default of one tenth
	Shares  map[string]float64 // shares of the capacity by tenant; tenants without one share equally what the others leave
	Order   []int              // classes by their index in the settings, in the order in which they are shed
}

// SheddingOrder returns the classes, by their index, in the order in which they are shed: ascending by worth per target time. The target time is the
// only measure of a class's cost that is the same on all boxes.
func SheddingOrder(n int, worth func(class int) float64, latencyTarget func(class int) time.Duration) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	density := func(i int) float64 { return worth(i) / latencyTarget(i).Seconds() }
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(density(a), density(b)) })
	return list
}

// Advice is what the fleet advises the box's module. The zero value is no advice: the box acts as if it had no fleet. An Advice is immutable once
// it has been passed on.
type Advice struct {
	Version      uint64             `json:"version"`           // number of the configuration whose rules it follows
	Trust        float64            `json:"trust"`             // 0 to 1: the weight of the advice
	Tenants      map[string]float64 `json:"tenants,omitempty"` // probability that a tenant's request is beyond its share, if above 0
	Level        int                `json:"level"`             // number of classes, in the order of shedding, that are shed before others
	LowClasses   []bool             `json:"low,omitempty"`     // whether a class is one of them, by its index in the settings
	Further      float64            `json:"further"`           // probability with which a further attempt is rejected when it is read
	MeanHoldBack float64            `json:"mean"`              // share that callers are asked to hold back, averaged over the boxes
	GiveUp       bool               `json:"give_up"`           // no other box has capacity for a rejected request
	RetryWindow  [2]time.Duration   `json:"later_ns"`          // range from which the retry delay of a rejected request is drawn uniformly
}

// The ranks in which requests are rejected if some must be. Requests beyond a tenant's share are rejected before those of a low class.
const (
	NotByChance = iota - 1 // not rejected by chance: the next box would have to read the request again
	Ordinary
	LowClass  // of a class below the fleet's level
	OverShare // beyond its tenant's share
)

// RequestAdvice is the advice on one request. The zero value is no advice.
type RequestAdvice struct {
	Version    uint64
	RetryValid bool          // FleetFull and RetryAfter are valid
	FleetFull  bool          // no other box has capacity for it
	RetryAfter time.Duration // retry delay for the caller, if the request is rejected
	OverBudget bool          // a further attempt beyond the fleet's budget
	Order      int           // NotByChance, Ordinary, LowClass or OverShare
}

// ForRequest returns the advice on a request of a tenant and a class, given by its index in the settings. draw returns uniform numbers from 0 to 1.
func (a *Advice) ForRequest(tenant string, class int, further bool, draw func() float64) RequestAdvice {
	w := RequestAdvice{Version: a.Version}
	if a.Trust == 0 {
		return w
	}
	w.OverBudget = further && draw() < a.Further
	switch {
	case draw() < a.Tenants[tenant]:
		w.Order = OverShare
	case class < len(a.LowClasses) && a.LowClasses[class] && draw() < a.Trust:
		w.Order = LowClass
	}
	if w.RetryValid = a.Trust == 1; w.RetryValid {
		w.FleetFull, w.RetryAfter = a.GiveUp, a.RetryDelay(draw())
	}
	return w
}

// The parameters of the rules.
const (
	defaultRetryRatio = 0.10 // allowed ratio of further to first attempts, unless the configuration sets it
	fullLoad          = 1.00 // of the capacity; above this load, tenants are held to their shares
	enterLoad         = 1.05 // of the capacity; one more class is shed once the load of classes not shed was above this for enterFor
	exitLoad          = 0.85 // of the capacity; one class less is shed once the load without it being shed was below this for exitFor
	enterFor          = 2 * time.Second
	exitFor           = 30 * time.Second // longer than the periods of 15 to 30 s in which boxes slow down and recover
	minLevelInterval  = 10 * time.Second
	noPressure        = 0.03 // of what callers are asked to hold back; no more than this is not pressure
	squeezeRate       = 0.5  // of the capacity, per second of asking callers to hold back everything
	maxSqueeze        = 0.6
	minFreeShare      = 0.02 // of the capacity; below this, free capacity elsewhere counts as none
	freshAge          = time.Second
	maxAge            = 3 * time.Second
	fullTrustShare    = 0.5 // share of the boxes that must have a fresh summary for full trust; at half of it trust is 0
)

// MaxFleetSize is the largest fleet that sheds as one. In a fleet of 1,000 boxes a caller contacts each box so rarely that no box learns which
// callers comply, and rejected requests move on through the list of boxes. There, shedding as a fleet gave worse results than the boxes on
// their own (docs/experiments/overload.md).
const MaxFleetSize = 128

// Trust returns the weight of sums: 1 if they are fresh and cover enough boxes, 0 if they are old or cover few, linear in between.
func Trust(s Sums) float64 {
	if s.Known < 2 || s.Known > MaxFleetSize || s.Boxes < 2 || s.Capacity <= 0 {
		return 0
	}
	age := 1 - float64(s.Age-freshAge)/float64(maxAge-freshAge)
	coverage := 2*float64(s.Boxes)/(fullTrustShare*2*float64(s.Known)) - 1
	return max(0, min(1, age, coverage))
}

// MaxMinShares divides a capacity among tenants so that no tenant gets more than it offers, and tenants that get less share in the ratio of
// their weights (weighted max-min fairness, Bertsekas and Gallager, Data Networks, 6.5).
func MaxMinShares(offered map[string]float64, capacity float64, weight func(tenant string) float64) map[string]float64 {
	need := func(n string) float64 { return offered[n] / weight(n) }
	names := slices.SortedFunc(maps.Keys(offered), func(a, b string) int { return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(a, b)) })
	rest := 0.0 // total weight of the tenants without an allocation yet
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

// Allocate divides a capacity among tenants: each gets what it offers up to its stated share, and what is left of the given part of the capacity
// is divided among those that offer more.
func (r Rules) Allocate(offered map[string]float64, capacity, part float64) map[string]float64 {
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
	for n, g := range MaxMinShares(more, rest, weight) {
		got[n] += g
	}
	return got
}

// minWeight is the weight of a tenant for which the stated shares leave nothing.
const minWeight = 0.01

// weights returns the tenants' weights: the shares stated in the configuration, and an equal part of the rest for each other tenant.
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
	even := max((1-stated)/float64(max(others, 1)), minWeight)
	return func(n string) float64 {
		if w := r.Shares[n]; w > 0 {
			return w
		}
		return even
	}
}

// Shedder holds one box's state of shedding. Its clock is the box's own. It is not safe for concurrent use.
type Shedder struct {
	level          int
	levelChanged   time.Duration // time of the last change of level; 0: none
	squeeze        float64       // part of the capacity that is withheld beyond the stated shares
	squeezeUpdated time.Duration // time of the last update of squeeze
	aboveSince     time.Duration // time since which the load is above enterLoad; 0: it is not
	belowSince     time.Duration // time since which the load is below exitLoad; 0: it is not
}

// Level returns the number of classes that are shed.
func (s *Shedder) Level() int { return s.level }

// Advise returns the advice that follows from sums and the fleet's rules. later is the longest retry delay that a caller may be given.
func (s *Shedder) Advise(now time.Duration, v Sums, r Rules, maxRetryDelay time.Duration) Advice {
	a := Advice{Version: r.Version, Trust: Trust(v)}
	s.updateLevel(now, v, r, a.Trust)
	s.updateSqueeze(now, v, a.Trust)
	a.Level = s.level
	if a.Trust == 0 {
		return a
	}
	if offered := sum(v.Tenants); offered > (fullLoad-s.squeeze)*v.Capacity {
		shares := r.Allocate(v.Tenants, v.Capacity, fullLoad-s.squeeze)
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
		a.LowClasses = make([]bool, len(r.Order))
		for _, place := range r.Order[:min(s.level, len(r.Order))] {
			if place < len(a.LowClasses) {
				a.LowClasses[place] = true
			}
		}
	}
	tries := r.Tries
	if tries == 0 {
		tries = defaultRetryRatio
	}
	if v.Further > tries*v.First {
		a.Further = a.Trust * (1 - tries*v.First/v.Further)
	}
	a.GiveUp = a.Trust == 1 && v.Free < minFreeShare*v.Capacity
	a.RetryWindow, a.MeanHoldBack = retryWindow(v, maxRetryDelay), min(v.Level, 1)
	return a
}

// updateSqueeze reduces what tenants get beyond their stated shares while callers are asked to hold back more than a little. Callers hold back by rank
// alone, and would otherwise hold back requests within a share too. Since rejecting costs a read, the reduction ends when it is not needed.
func (s *Shedder) updateSqueeze(now time.Duration, v Sums, trust float64) {
	span := min(now-s.squeezeUpdated, time.Second).Seconds()
	s.squeezeUpdated = now
	goal := v.Level - noPressure
	if trust < 1 {
		goal = -noPressure
	}
	s.squeeze = max(0, min(maxSqueeze, s.squeeze+squeezeRate*span*goal))
}

// updateLevel moves the level by one step at a time. Without valid sums it moves down as if no load were offered, because a box that has received
// no sums for long sheds on its own.
func (s *Shedder) updateLevel(now time.Duration, v Sums, r Rules, trust float64) {
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
	if !v.IsLeader && trust > 0 { // the fleet has one level: a box follows the leader's, with the same minimum time between changes
		if s.level != v.LeaderLevel && (s.levelChanged == 0 || now-s.levelChanged >= minLevelInterval) {
			s.level, s.levelChanged = min(max(v.LeaderLevel, 0), max(len(r.Order)-1, 0)), max(now, 1)
		}
		s.aboveSince, s.belowSince = 0, 0
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
	mark(s.level < len(r.Order)-1 && use(s.level) > enterLoad, &s.aboveSince)
	mark(s.level > 0 && use(s.level-1) < exitLoad, &s.belowSince)
	if s.levelChanged != 0 && now-s.levelChanged < minLevelInterval {
		return
	}
	switch {
	case s.aboveSince != 0 && now-s.aboveSince >= enterFor:
		s.level++
	case s.belowSince != 0 && now-s.belowSince >= exitFor:
		s.level--
	default:
		return
	}
	s.levelChanged, s.aboveSince, s.belowSince = max(now, 1), 0, 0
}

// retryWindow returns the range of retry delays: the time in which free capacity can serve the requests rejected in one second, or the longest
// allowed delay if there is none. If all callers returned at once they would be rejected again.
func retryWindow(v Sums, maxDelay time.Duration) [2]time.Duration {
	excess := v.First + v.Further - v.Capacity
	if excess <= 0 {
		return [2]time.Duration{0, min(maxDelay, time.Second)}
	}
	over := maxDelay.Seconds()
	if v.Free > 0 {
		over = min(over, excess/v.Free)
	}
	return [2]time.Duration{min(maxDelay, time.Second) / 4, max(min(maxDelay, time.Second), time.Duration(over*float64(time.Second)))}
}

func sum(m map[string]float64) (n float64) {
	for _, v := range m {
		n += v
	}
	return n
}

// RetryDelay returns a retry delay within RetryWindow, for a uniform number u from 0 to 1.
func (a Advice) RetryDelay(u float64) time.Duration {
	return a.RetryWindow[0] + time.Duration(math.Max(0, math.Min(1, u))*float64(a.RetryWindow[1]-a.RetryWindow[0]))
}
