package policy

// This file sets the concurrency limit, runLimit: how many requests run at once.

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	shrinkRatio    = 1.2  // a limit that was not reached shrinks to the peak of running requests times this
	exploreProb    = 0.4  // probability that a limit that was reached explores rather than optimizes
	stepShare      = 0.15 // largest step as a share of the limit; at least 1
	resizeRuns     = 12.0 // mean runs between resizes: with few cores, fewer completions give no useful mean
	resizeDelays   = 2    // least number of referenceDelays between resizes
	statLifetime   = 20   // resize intervals after which a measurement expires, as speeds change
	minGain        = 1.03 // factor by which a nearby limit must be better than the present one
	idleCoreFactor = 0.57 // spare cores, in square roots of the core count (square-root staffing)
	inFlightShare  = 0.8  // share of the sustainable number of requests that may be in flight
)

// maxInFlight returns how many requests may be in flight.
// Those at calls count, as they may resume at any time.
func (c *Controller) maxInFlight() int {
	warmth := 1.0
	if c.cfg.Cold && c.now-c.startedAt < c.cfg.ColdFor {
		warmth = c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*float64(c.now-c.startedAt)/float64(c.cfg.ColdFor)
	}
	limit := float64(c.cfg.Cores) * (1 + (c.cfg.MaxRunsPerCore-1)*warmth)
	return max(1, int(limit*inFlightShare*c.serverShare))
}

// SetServerShare sets the part of the server that this instance may use while another process also runs work
// there (rule 4).
func (c *Controller) SetServerShare(now time.Duration, share float64) {
	c.beginEvent(now)
	c.serverShare = share
	c.runLimit = min(c.runLimit, c.maxInFlight())
}

// resize takes one of the three steps of the autothrottle algorithm (explore, optimize, shrink) at the end of
// each resize interval. Between them it raises the limit while cores are idle and requests are queued.
func (c *Controller) resize() {
	c.growOnIdleCores()
	since := c.now - c.resizedAt
	if since < c.resizeInterval() {
		return
	}
	if c.limitReached {
		if c.completions > 0 && c.runLimit < len(c.limitStats) {
			c.limitStats[c.runLimit] = limitStat{
				c.completions / since.Seconds(), c.latencySum / c.completions, c.now}
		}
		if c.random() < exploreProb {
			c.explore()
		} else {
			c.optimize()
		}
	} else {
		c.runLimit = min(c.runLimit, int(math.Ceil(float64(c.peakRunning)*shrinkRatio)))
	}
	c.runLimit = min(max(c.runLimit, c.cfg.Cores), c.maxInFlight())
	c.resizedAt, c.peakRunning, c.limitReached = c.now, c.count[running], false
	c.completions, c.latencySum = 0, 0
}

// resizeInterval returns the time between two steps of the limit.
func (c *Controller) resizeInterval() time.Duration {
	return max(resizeDelays*c.referenceDelay, time.Duration(resizeRuns*c.meanRun*float64(time.Second)))
}

// growOnIdleCores raises the limit, at most once per
// referenceDelay, if cores are idle while requests are queued.
func (c *Controller) growOnIdleCores() {
	c.runLimit = min(c.runLimit, c.maxInFlight())
	cores := float64(c.cfg.Cores)
	idle := c.coreDemand < cores-idleCoreFactor*math.Sqrt(cores)
	if idle && c.limitReached && c.count[queued] > 0 && c.now-c.grownAt >= c.referenceDelay {
		c.runLimit = min(c.runLimit+max(1, c.cfg.Cores/4), c.maxInFlight())
		c.grownAt = c.now
	}
}

// maxStep returns the largest step of the limit up or down.
func (c *Controller) maxStep() int { return max(1, int(stepShare*float64(c.runLimit))) }

// explore moves the limit by a random step.
func (c *Controller) explore() {
	c.runLimit += int(c.random()*float64(2*c.maxStep()+1)) - c.maxStep()
}

// optimize moves the limit to the value within one step that has the best ratio of throughput to latency.
func (c *Controller) optimize() {
	best, bestMerit := c.runLimit, 0.0
	for n := max(1, c.runLimit-c.maxStep()); n <= min(c.runLimit+c.maxStep(), len(c.limitStats)-1); n++ {
		st := c.limitStats[n]
		if st.latency <= 0 || c.now-st.at > statLifetime*c.resizeInterval() {
			continue
		}
		merit := st.throughput / st.latency
		if n != c.runLimit {
			merit /= minGain
		}
		if merit > bestMerit {
			best, bestMerit = n, merit
		}
	}
	c.runLimit = best
}
