package policy

// This file holds the PIE controller: the probability of rejection, moved by the queueing delay.

import (
	"math"
	"time"
)

// Tuned values of the PIE controller. Times are relative to the aims in Config.
const (
	referenceShare = 0.125 // referenceDelay over the tightest aim (the design starts at 0.25)
	alphaStep      = 0.25  // α΄ for each referenceDelay of time at twice the wanted delay
	betaStep       = 0.25  // β΄ for each referenceDelay by which the delay has grown
	burstDelays    = 4.0   // maxBurst in referenceDelays: a short jump passes without dice
	rateDelays     = 8.0   // window of the dequeue rate in referenceDelays
)

// pie is the paper's regulator: a probability moved by a delay.
type pie struct {
	referenceDelay, currentDelay, oldDelay time.Duration
	dropProb                               float64
}

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

// regulate moves the chance of the dice by the delay in the hold, and what callers are told by that delay
// and the wait unread together: the dice cannot shorten the latter, callers can. It guards against slow
// reads while the hold stays empty (a slowed server, a storm of repeats).
func (c *Controller) regulate(dt time.Duration) {
	c.measureRate(dt)
	if c.now-c.lastArrival > c.referenceDelay {
		c.unread = 0
	}
	c.update(c.estimateDelay(), dt)
	c.ahead.update(c.currentDelay+c.unread, dt)
	c.quotas.average(c.dropProb, c.ahead.dropProb, dt, c.referenceDelay)
	if c.dropProb == 0 && c.currentDelay < c.referenceDelay/2 && c.oldDelay < c.referenceDelay/2 {
		c.burstAllowed = c.maxBurst
	} else {
		c.burstAllowed -= min(dt, c.burstAllowed)
	}
}

// measureRate averages the starts per second over the time in which work stood in the hold: at
// other times starts tell what comes in, not what the server can do.
func (c *Controller) measureRate(dt time.Duration) {
	if c.count[held] > 0 || c.full {
		fade := math.Exp(-float64(dt) / (rateDelays * float64(c.referenceDelay)))
		c.startSum = max(c.startSum*fade+c.starts, 0)
		c.startTime = c.startTime*fade + dt.Seconds()
	}
	c.starts = 0
}

func (c *Controller) estimateDelay() time.Duration {
	waiting := c.count[held]
	if waiting == 0 {
		return 0
	}
	window := time.Duration(rateDelays * float64(c.referenceDelay))
	if c.startSum < 0.5 || c.now-c.lastStart > window {
		return c.now - c.hold[0].r.arrived // startHeld leaves a held one there
	}
	return time.Duration(float64(waiting) * c.startTime / c.startSum * float64(time.Second))
}
