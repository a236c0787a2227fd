package policy

// This file orders the queued requests and starts them.

import (
	"container/heap"
	"time"
)

// Parameters of starts.
const (
	marginRuns  = 1.4  // mean runs that must fit before the aim, as runs under load take longer than the mean
	aheadShare  = 0.6  // share of queued requests with a tighter aim that start first; the rest are rejected
	workShare   = 0.5  // share of a run that grows with its expected work; the rest is waiting
	probeAbove  = 0.5  // share of the aim; a class whose needed time exceeds it may have an outdated mean
	probeDelays = 2    // referenceDelays between probes of such a class
	probeWeight = 0.25 // weight of a probe in the mean run of its class
)

// startBy returns the time by which queued requests are ordered: the earlier of the aim and the due time.
func (c *Controller) startBy(r *request) time.Duration { return min(r.aimAt, r.dueAt) }

// neededTime returns the time that r needs to finish its run, with a margin, or 0 for a probe.
func (c *Controller) neededTime(r *request) time.Duration {
	mean := r.class.meanRun
	if r.probe {
		return 0
	}
	if r.Expected > 0 && r.class.meanExpected > 0 {
		share := 1.0 // under pressure a large request is not worth its cores
		if c.advisory.dropProb < noRetryThreshold {
			share = workShare
		}
		mean *= 1 + share*(r.Expected.Seconds()/r.class.meanExpected-1)
	}
	if r.class.SkipWorth == 0 {
		mean += r.class.meanCalls * c.callDelay()
	}
	return time.Duration(marginRuns * mean * float64(time.Second))
}

// needsProbe reports whether r is to run as a probe although runs of its class seem to take too long,
// because none has started recently. Otherwise a mean measured during an overload could exclude its class
// for good, as no run would correct it. The cost is one run per probeDelays that may be late.
func (c *Controller) needsProbe(r *request) bool {
	cl := r.class
	if float64(c.neededTime(r)) < probeAbove*float64(cl.Aim) ||
		c.now-cl.lastStart <= probeDelays*c.referenceDelay {
		return false
	}
	cl.lastStart = c.now
	return true
}

// tooLate reports whether r could not finish in time even if it started now.
func (c *Controller) tooLate(r *request) bool {
	return c.now+c.neededTime(r) > c.beforeStop(min(r.aimAt, r.dueAt))
}

// startQueued starts queued requests up to the run limit,
// and rejects those that can no longer meet their aim.
func (c *Controller) startQueued() {
	for len(c.waitQueue) > 0 {
		switch r := c.waitQueue[0].req; {
		case r.ended || r.state != queued:
		case c.tooLate(r):
			c.reject(r)
		case !c.hasRoom(r):
			c.limitReached = true
			return
		default:
			c.startRun(r)
		}
		heap.Pop(&c.waitQueue)
	}
}

// rejectLate rejects all queued requests that can no longer meet their aim.
// A request behind a head that still can may be late as well, if runs of its class
// take longer; it is rejected within a tick rather than once it is the head.
func (c *Controller) rejectLate() {
	for _, e := range c.waitQueue {
		if r := e.req; !r.ended && r.state == queued && c.tooLate(r) {
			c.reject(r)
		}
	}
}

// predictedLate reports whether the queued requests with a tighter aim will keep r waiting past its own aim
// at the present rate of starts. This avoids queuing requests only to reject them later. The cost is that
// some are rejected that would have met their aim, as requests ahead of them are rejected in turn.
func (c *Controller) predictedLate(r *request) bool {
	if c.count[queued] == 0 || c.startSum < 0.5 {
		return false
	}
	ahead, at := 0, c.startBy(r)
	for _, e := range c.waitQueue {
		if e.at <= at && !e.req.ended && e.req.state == queued {
			ahead++
		}
	}
	wait := aheadShare * float64(ahead) * c.startTime / c.startSum
	return c.now+time.Duration(wait*float64(time.Second))+c.neededTime(r) > c.beforeStop(at)
}

// hasRoom reports whether the limits on running requests, requests in flight and memory let r start.
func (c *Controller) hasRoom(r *request) bool {
	inHand := c.count[running] + c.count[awaitingCall] + c.count[calling]
	return c.count[running] < c.runLimit && inHand < c.maxInFlight() &&
		c.memoryUsed+r.KB*(c.cfg.RunMemoryFactor-1) <= c.memoryLimit()
}

func (c *Controller) startRun(r *request) {
	c.setState(r, running)
	c.peakRunning = max(c.peakRunning, c.count[running])
	c.newStarts++
	c.lastStart, r.class.lastStart = c.now, c.now
	c.host.Run(r.ID)
}

// Done handles the end of a run, or of a repeat that was joined to an earlier request.
func (c *Controller) Done(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	c.beginEvent(now)
	r := c.live[id]
	if r == nil {
		return
	}
	if r.state == calling {
		heap.Push(&c.abandonedCalls, entry{c.now + c.cfg.CallLinger, nil}) // may still occupy the dependency
	}
	switch seconds := took.Seconds(); {
	case r.state == joined:
	case o == Succeeded:
		c.learnFromRun(r, seconds)
	case o == Rejected: // it never ran: its start does not count, and its key is free
		c.newStarts--
		c.forgetKey(r)
	case o == Failed:
		c.newStarts-- // a quick failure does not show the rate of starts
	case o == Cancelled && seconds > r.class.meanRun: // a complete run would have taken even longer
		updateMean(&r.class.meanRun, seconds)
	}
	c.remove(r)
	c.startQueued()
	c.startCalls()
}

// learnFromRun updates the moving averages with a successful run.
func (c *Controller) learnFromRun(r *request, took float64) {
	weight := meanWeight
	if r.probe { // one of few runs of its class, made to correct its mean
		weight = probeWeight
	}
	updateWeightedMean(&r.class.meanRun, max(0, took-r.callWait.Seconds()), weight)
	updateWeightedMean(&r.class.meanCalls, float64(r.callCount), weight)
	updateMean(&c.meanRun, took)
	if r.Expected > 0 {
		updateMean(&r.class.meanExpected, r.Expected.Seconds())
	}
	c.completions++
	c.latencySum += took
}

// updateShare updates a moving average of the share of cases in which yes is true.
func updateShare(share *float64, yes bool) {
	*share *= 1 - meanWeight
	if yes {
		*share += meanWeight
	}
}

// updateMean updates a moving average with x, whose weight is meanWeight.
func updateMean(mean *float64, x float64) { updateWeightedMean(mean, x, meanWeight) }

// updateWeightedMean updates a moving average with x. The first value becomes the average.
func updateWeightedMean(mean *float64, x, weight float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += weight * (x - *mean)
}
