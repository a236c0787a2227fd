package policy

// This file limits the open calls at a dependency that all servers share.

import "time"

// Parameters of the limit.
const (
	callTolerance   = 2.0   // multiple of the baseline duration of calls above which the limit falls
	callAllowance   = 2.0   // calls added to what the gradient allows, so that the limit can rise again
	callWeight      = 0.1   // weight of the newest call in the mean duration of calls and in the limit
	baselineDrift   = 0.001 // part of its gap to the mean by which each call raises the baseline
	congestedShare  = 0.5   // share of the maximum below which a limit means that the dependency is congested
	rejectionFactor = 0.8   // factor on the limit for each rejected call
	minCallLimit    = 1.0   // lower bound of the limit, unless the maximum is lower
	outlierFactor   = 5.0   // multiple of the mean duration at which the duration of a single call is capped
	overdueFactor   = 10.0  // multiple of the mean duration after which a call is overdue
)

// callLimit is a gradient-based limit on open calls: it falls in proportion as calls take longer than
// callTolerance times the baseline. It protects a dependency whose throughput falls under concurrent calls.
type callLimit struct {
	maximum  float64 // upper bound of the limit
	limit    float64 // open calls allowed now
	baseline float64 // duration in seconds of a call while few are open
	meanTime float64 // moving average of the duration in seconds
}

func newCallLimit(maximum float64) callLimit { return callLimit{maximum: maximum, limit: maximum} }

// observe adjusts the limit to a call that ended or was abandoned after took. A duration far above the mean
// is capped at outlierFactor times the mean, as a call that is never answered is no measure of the others.
func (l *callLimit) observe(took time.Duration) {
	seconds := took.Seconds()
	if l.meanTime > 0 {
		seconds = min(seconds, outlierFactor*l.meanTime)
	}
	updateWeightedMean(&l.meanTime, seconds, callWeight)
	if l.baseline == 0 {
		l.baseline = l.meanTime
	}
	l.baseline = min(l.meanTime, l.baseline+baselineDrift*(l.meanTime-l.baseline))
	target := l.limit*l.gradient() + callAllowance
	l.limit += callWeight * (target - l.limit)
	l.limit = min(max(l.limit, minCallLimit), l.maximum)
}

// observeRejection lowers the limit after the dependency rejected a call, which means that it has too many.
func (l *callLimit) observeRejection() {
	l.limit = min(max(l.limit*rejectionFactor, minCallLimit), l.maximum)
}

// overdueAge returns the age above which an open call is assumed to remain unanswered.
func (l *callLimit) overdueAge() time.Duration {
	return time.Duration(overdueFactor * l.meanTime * float64(time.Second))
}

// gradient returns the factor on the limit at the present latency, which is 1 without congestion.
func (l *callLimit) gradient() float64 {
	if l.meanTime <= 0 {
		return 1
	}
	return min(1, callTolerance*l.baseline/l.meanTime)
}

// congested reports whether the dependency takes far fewer calls than this server may have open.
func (l *callLimit) congested() bool { return l.limit < congestedShare*l.maximum }
