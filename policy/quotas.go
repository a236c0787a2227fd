package policy

// This file holds tenant quotas, which decide whose requests are rejected first.

import "time"

// Parameters of the quotas.
const (
	tenantWeight       = 0.0075 // weight of the newest arrival in the tenants' shares of the arrivals
	meanRejectDelays   = 8      // referenceDelays over which the rejection probability is averaged
	meanRejectMultiple = 1.5    // bound on a tenant's probability, as a multiple of that at the average
	levelMultiple      = 2      // bound on the level, as a multiple of that at the average
)

// quotas divides a rejection probability for all arrivals among the tenants so that admission follows
// weighted max-min fairness: each tenant is admitted up to the same multiple of its fraction of the service,
// and none gets more than it sends. Requests beyond a quota are worth little and are rejected first. A
// tenant that is not in the settings is treated as if there were no quotas.
type quotas struct {
	fractions    []float64 // of the service, by tenant
	arrivals     []float64 // share of the recent arrivals, by tenant
	meanReject   float64   // moving average of the rejection probability
	meanAdvisory float64   // moving average of the advisory probability
}

func newQuotas(tenants []Tenant) quotas {
	q := quotas{arrivals: make([]float64, len(tenants))}
	for _, tenant := range tenants {
		q.fractions = append(q.fractions, tenant.Fraction)
	}
	return q
}

// observe counts an arrival of a tenant, which is numbered as in Request.Tenant.
func (q *quotas) observe(tenant int) {
	for i := range q.arrivals {
		q.arrivals[i] *= 1 - tenantWeight
	}
	if i := tenant - 1; i >= 0 && i < len(q.arrivals) {
		q.arrivals[i] += tenantWeight
	}
}

// updateMeans updates the averages with the rejection probability and the advisory probability that were in
// effect for the time elapsed.
func (q *quotas) updateMeans(probability, advisory float64, elapsed, referenceDelay time.Duration) {
	weight := min(1, float64(elapsed)/(meanRejectDelays*float64(referenceDelay)))
	q.meanReject += weight * (probability - q.meanReject)
	q.meanAdvisory += weight * (advisory - q.meanAdvisory)
}

// reject returns the rejection probability of a tenant when probability is that
// of all arrivals. It is bounded by the moving average, so that a short overshoot
// of the controller does not reject tenants within their quotas. The cost is that
// a sudden overload by such tenants is countered a few reference delays later.
func (q *quotas) reject(tenant int, probability float64) float64 {
	if !q.hasQuota(tenant) {
		return probability
	}
	bound := meanRejectMultiple * q.rejectedShare(tenant, q.meanReject)
	return min(q.rejectedShare(tenant, probability), bound)
}

// level returns the share of all requests that callers are asked to hold back when probability is to be
// rejected. It is at most the rejected share of the tenant that is rejected least, as callers select
// requests by rank and know nothing of quotas. It is bounded like the result of reject, because callers
// follow a signal for longer than a short overshoot lasts.
func (q *quotas) level(probability float64) float64 {
	if len(q.arrivals) == 0 {
		return probability
	}
	return min(q.leastRejected(probability), levelMultiple*q.leastRejected(q.meanAdvisory))
}

// leastRejected returns the rejected share of the tenant that is rejected least.
func (q *quotas) leastRejected(probability float64) float64 {
	least := probability
	for i := range q.arrivals {
		least = min(least, q.rejectedShare(i+1, probability))
	}
	return least
}

// rejectedShare returns the share of a tenant's arrivals
// that is rejected when probability is that of all arrivals.
func (q *quotas) rejectedShare(tenant int, probability float64) float64 {
	if !q.hasQuota(tenant) {
		return probability
	}
	i := tenant - 1
	admitted := q.fillLevel(1-probability) * q.fractions[i] / q.arrivals[i]
	return max(0, 1-admitted)
}

// hasQuota reports whether a tenant has a quota and has sent requests.
func (q *quotas) hasQuota(tenant int) bool {
	i := tenant - 1
	return i >= 0 && i < len(q.arrivals) && q.arrivals[i] > 0 && q.fractions[i] > 0
}

// fillLevel returns what each tenant is admitted per unit of its fraction when admitted is the admitted
// share of all arrivals (the water level of max-min fairness). Each round but the last admits at least one
// more tenant entirely, so the number of tenants bounds the rounds.
func (q *quotas) fillLevel(admitted float64) float64 {
	level := 0.0
	for range len(q.arrivals) + 1 {
		total, entirely, weights := 0.0, 0.0, 0.0
		for i, arrivals := range q.arrivals {
			total += arrivals
			if arrivals <= level*q.fractions[i] {
				entirely += arrivals
			} else {
				weights += q.fractions[i]
			}
		}
		if weights == 0 {
			return level
		}
		level = max(level, (admitted*total-entirely)/weights)
	}
	return level
}
