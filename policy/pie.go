package policy

// This file holds the PIE controller (RFC 8033), which sets the drop probability from the queuing delay.

import (
	"math"
	"time"
)

// Parameters of the PIE controller. Times are relative to the aims in Config.
const (
	referenceShare = 0.125 // referenceDelay as a share of the tightest aim
	alphaStep      = 0.25  // α per referenceDelay of time, at a delay of twice the reference
	betaStep       = 0.25  // β per referenceDelay by which the delay has grown
	burstDelays    = 4.0   // maxBurst in referenceDelays; a short burst passes without random rejections
	rateDelays     = 8.0   // window in referenceDelays over which the dequeue rate is averaged
)

// pie is the control law of PIE: it moves a drop probability by the deviation and the trend of a delay.
type pie struct {
	referenceDelay, currentDelay, oldDelay time.Duration
	dropProb                               float64
}

// update moves dropProb for the delay measured over the time dt. The steps are smaller while dropProb is low.
func (e *pie) update(currentDelay, dt time.Duration) {
	e.oldDelay, e.currentDelay = e.currentDelay, currentDelay
	ref := float64(e.referenceDelay)
	alpha, beta := alphaStep*float64(dt)/ref, betaStep
	switch p := e.dropProb; {
	case p < 0.01:
		alpha, beta = alpha/8, beta/8
	case p < 0.1:
		alpha, beta = alpha/2, beta/2
	}
	e.dropProb += alpha * float64(e.currentDelay-e.referenceDelay) / ref
	e.dropProb += beta * float64(e.currentDelay-e.oldDelay) / ref
	e.dropProb = min(max(e.dropProb, 0), 1)
}

// updateProbabilities moves the drop probability by the queuing delay, and the advisory probability by that
// delay plus the wait of requests to be read. Rejecting requests that were read cannot shorten the latter,
// but callers that send less can. This covers a server that reads slowly while its queue is empty, as when
// it has slowed down or gets a flood of retries.
func (c *Controller) updateProbabilities(dt time.Duration) {
	c.updateStartRate(dt)
	if c.now-c.lastArrival > c.referenceDelay {
		c.meanReadWait = 0
	}
	c.update(c.estimateQueueDelay(), dt)
	c.advisory.update(c.currentDelay+c.meanReadWait, dt)
	c.quotas.updateMeans(c.dropProb, c.advisory.dropProb, dt, c.referenceDelay)
	if c.dropProb == 0 && c.currentDelay < c.referenceDelay/2 && c.oldDelay < c.referenceDelay/2 {
		c.burstAllowed = c.maxBurst
	} else {
		c.burstAllowed -= min(dt, c.burstAllowed)
	}
}

// updateStartRate averages the starts per second over the time in which requests were queued. At other times
// the starts show the arrival rate, not the capacity of the server.
func (c *Controller) updateStartRate(dt time.Duration) {
	if c.count[queued] > 0 || c.limitReached {
		fade := math.Exp(-float64(dt) / (rateDelays * float64(c.referenceDelay)))
		c.startSum = max(c.startSum*fade+c.newStarts, 0)
		c.startTime = c.startTime*fade + dt.Seconds()
	}
	c.newStarts = 0
}

// estimateQueueDelay returns the time in which the queue empties at the recent rate of starts, or the wait of
// its head if there were too few starts.
func (c *Controller) estimateQueueDelay() time.Duration {
	waiting := c.count[queued]
	if waiting == 0 {
		return 0
	}
	window := time.Duration(rateDelays * float64(c.referenceDelay))
	if c.startSum < 0.5 || c.now-c.lastStart > window {
		return c.now - c.waitQueue[0].req.arrived // startQueued leaves a queued request at the head
	}
	return time.Duration(float64(waiting) * c.startTime / c.startSum * float64(time.Second))
}
