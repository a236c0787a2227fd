package policy

// This file holds quotas: which tenants' requests are rejected first.

import "time"

// Tuned values of the rejection by tenants.
const (
	tenantWeight       = 0.0075 // weight of the newest arrival in the tenants' shares of the arrivals
	meanRejectDelays   = 8      // reference delays over which the probability of rejection is averaged
	meanRejectMultiple = 1.5    // most by which a tenant's probability exceeds its own at that average
	levelMultiple      = 2      // most by which the level exceeds that at its average
)

// quotas divides a rejection probability for all arrivals among the tenants, so that what is admitted is
// shared by weighted max-min fairness: each tenant is admitted up to the same multiple of its fraction of the
// service, and none gets more than it sends. Traffic far beyond a quota is worth little and goes first. A
// tenant that is not in the settings is treated as if there were no quotas.
type quotas struct {
	fractions  []float64 // of the service, by tenant
	arrivals   []float64 // share of the recent arrivals, by tenant
	meanReject float64   // mean rejection probability of late
	meanAhead  float64   // mean of late of the probability that callers are told of
}

func newQuotas(tenants []Tenant) quotas {
	q := quotas{arrivals: make([]float64, len(tenants))}
	for _, tenant := range tenants {
		q.fractions = append(q.fractions, tenant.Fraction)
	}
	return q
}

// observe counts an arrival of a tenant, given as in Request.Tenant.
func (q *quotas) observe(tenant int) {
	for i := range q.arrivals {
		q.arrivals[i] *= 1 - tenantWeight
	}
	if i := tenant - 1; i >= 0 && i < len(q.arrivals) {
		q.arrivals[i] += tenantWeight
	}
}

// average moves the means by the rejection probability and the one that callers are told of, which were in
// force for the time elapsed.
func (q *quotas) average(probability, ahead float64, elapsed, referenceDelay time.Duration) {
	weight := min(1, float64(elapsed)/(meanRejectDelays*float64(referenceDelay)))
	q.meanReject += weight * (probability - q.meanReject)
	q.meanAhead += weight * (ahead - q.meanAhead)
}

// reject is the rejection probability of a tenant where it is probability for all arrivals, bounded by the
// mean of late: a controller that overshoots for a moment must not reject tenants within their quotas. Harm:
// a sudden overload by such tenants is met a few reference delays later.
func (q *quotas) reject(tenant int, probability float64) float64 {
	if !q.known(tenant) {
		return probability
	}
	bound := meanRejectMultiple * q.share(tenant, q.meanReject)
	return min(q.share(tenant, probability), bound)
}

// level is the part of all requests that callers are to hold back where probability of all is to be rejected:
// no more than is rejected of the tenant rejected least, as callers hold back by rank and know nothing of
// quotas. It is bounded as reject is, for callers go by what they were told longer than the moment lasted.
func (q *quotas) level(probability float64) float64 {
	if len(q.arrivals) == 0 {
		return probability
	}
	return min(q.least(probability), levelMultiple*q.least(q.meanAhead))
}

// least is the part rejected of the tenant that is rejected least.
func (q *quotas) least(probability float64) float64 {
	least := probability
	for i := range q.arrivals {
		least = min(least, q.share(i+1, probability))
	}
	return least
}

// share is the part of a tenant's arrivals that is rejected where probability of all arrivals is.
func (q *quotas) share(tenant int, probability float64) float64 {
	if !q.known(tenant) {
		return probability
	}
	i := tenant - 1
	admitted := q.fillLevel(1-probability) * q.fractions[i] / q.arrivals[i]
	return max(0, 1-admitted)
}

// known tells whether a tenant has a quota and has sent something.
func (q *quotas) known(tenant int) bool {
	i := tenant - 1
	return i >= 0 && i < len(q.arrivals) && q.arrivals[i] > 0 && q.fractions[i] > 0
}

// fillLevel is what each tenant is admitted for a unit of its fraction, where the admitted part of all
// arrivals is. Each round admits at least one more tenant entirely, so tenants bound the rounds.
func (q *quotas) fillLevel(admitted float64) float64 {
	level := 0.0
	for range len(q.arrivals) + 1 {
		all, entire, weights := 0.0, 0.0, 0.0
		for i, arrivals := range q.arrivals {
			all += arrivals
			if arrivals <= level*q.fractions[i] {
				entire += arrivals
			} else {
				weights += q.fractions[i]
			}
		}
		if weights == 0 {
			return level
		}
		level = max(level, (admitted*all-entire)/weights)
	}
	return level
}
