package policy

// This file holds the limit on the calls in hand at a dependency that all servers share.

import "time"

// Tuned values of the limit.
const (
	callTolerance  = 2.0   // multiple of the time of an uncrowded call above which the limit falls
	callAllowance  = 2.0   // calls beyond what the latency leaves, so that the limit can rise again
	callWeight     = 0.1   // weight of the newest call in the mean time of calls and in the limit
	callMemory     = 0.001 // part of the gap to the present mean by which each call raises the uncrowded time
	crowdedFrom    = 0.5   // share of the calls allowed at the most under which the dependency is crowded
	shedFactor     = 0.8   // what a call that was turned away leaves of the limit
	leastCallLimit = 1.0   // calls that the limit leaves, where so many are allowed at all
	outlierFactor  = 5.0   // most that one call counts for in the mean time of calls, as a multiple of it
	overdueFactor  = 10.0  // multiple of the mean time of calls after which one is overdue
)

// callLimit is a gradient limit on the calls in hand: it falls in proportion as calls take longer than
// callTolerance times an uncrowded one. It guards against a dependency that gets less done the more it holds.
type callLimit struct {
	most      float64 // calls in hand that are allowed at the most
	limit     float64 // calls in hand that are allowed now
	uncrowded float64 // seconds that a call takes where few are in hand
	recent    float64 // seconds that calls took in the mean of late
}

func newCallLimit(most float64) callLimit { return callLimit{most: most, limit: most} }

// observe learns from a call that ended after took, or was given up then. One that took far longer than the
// mean counts for outlierFactor times it: a call that was never answered tells nothing of the others.
func (l *callLimit) observe(took time.Duration) {
	seconds := took.Seconds()
	if l.recent > 0 {
		seconds = min(seconds, outlierFactor*l.recent)
	}
	move(&l.recent, seconds, callWeight)
	if l.uncrowded == 0 {
		l.uncrowded = l.recent
	}
	l.uncrowded = min(l.recent, l.uncrowded+callMemory*(l.recent-l.uncrowded))
	target := l.limit*l.gradient() + callAllowance
	l.limit += callWeight * (target - l.limit)
	l.limit = min(max(l.limit, leastCallLimit), l.most)
}

// shed takes the word that the dependency turned a call away unseen: it holds too many.
func (l *callLimit) shed() { l.limit = min(max(l.limit*shedFactor, leastCallLimit), l.most) }

// overdue is the age above which a call in hand is taken for one that will not be answered.
func (l *callLimit) overdue() time.Duration {
	return time.Duration(overdueFactor * l.recent * float64(time.Second))
}

// gradient is the part of the limit that the present latency leaves, 1 where calls are not crowded.
func (l *callLimit) gradient() float64 {
	if l.recent <= 0 {
		return 1
	}
	return min(1, callTolerance*l.uncrowded/l.recent)
}

// crowded tells whether the dependency takes far fewer calls than this server may have in hand.
func (l *callLimit) crowded() bool { return l.limit < crowdedFrom*l.most }
