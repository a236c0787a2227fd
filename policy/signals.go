package policy

// This file handles draining, health and the signal that limits how much callers send.

import (
	"math"
	"time"
)

// Parameters of signals. Times are relative to Config.SignalLifetime, the answer slack and the reference
// delay.
const (
	levelShare       = 0.9  // share of the probability that callers hold back; random rejection does the rest
	signalStep       = 0.01 // smallest change of the signal that is sent
	levelExcess      = 0.15 // excess of a server's own level over the mean up to which it asks for the mean
	commonFrom       = 0.1  // mean level above which servers start to ask for the same level
	commonOver       = 0.2  // further increase of the mean at which all of them ask for the mean
	delistAbove      = 2    // wait to be read, in referenceDelays, above which a server is delisted
	delistMaxRepeats = 0.08 // share rejected elsewhere below which only this server is overloaded
	delistDelays     = 10   // referenceDelays for which it is delisted
	drainLeadShare   = 0.1  // a drain redirects callers this share of SignalLifetime before its grace ends
	stopSlacks       = 2    // answer slacks before the stop by which all requests are answered
	gaugeTicks       = 8.0  // ticks over which the demand for cores is averaged
)

// Drain starts a drain: the server stops at stopAt, and its callers are redirected before the grace ends.
func (c *Controller) Drain(now, stopAt time.Duration) {
	c.beginEvent(now)
	c.draining, c.drainAt, c.stopAt = true, now, stopAt
	c.host.Health(false)
	c.updateSignal()
}

// SetStopTime sets when this process ends while its server goes on. All requests are answered before then.
func (c *Controller) SetStopTime(now, stopAt time.Duration) {
	c.beginEvent(now)
	c.stopAt = stopAt
}

// beforeStop returns at, or the time by which all requests must be answered before a stop if that is earlier.
func (c *Controller) beforeStop(at time.Duration) time.Duration {
	if c.stopAt > 0 {
		return min(at, c.stopAt-stopSlacks*max(c.cfg.AnswerSlack, c.tickInterval))
	}
	return at
}

// Tick handles the periodic timer: it does everything that depends on the passage of time.
func (c *Controller) Tick(now time.Duration, g Gauges) {
	c.beginEvent(now)
	dt := now - c.lastTick
	c.lastTick = now
	if g.Age > c.referenceDelay { // too old: assume busy cores, so that the run limit does not grow
		g.CoreDemand = float64(c.cfg.Cores)
	}
	c.coreDemand += (min(g.CoreDemand, float64(c.cfg.Cores)) - c.coreDemand) / gaugeTicks
	c.answerDue()
	c.expireKeys()
	c.updateProbabilities(dt)
	c.resize()
	c.tickCalls(dt)
	c.rejectLate()
	c.startQueued()
	c.updateSignal()
	c.updateListing()
	c.host.Wake(c.tickInterval)
}

// updateListing removes this server from the list that all callers use for a while, if its arrivals wait long
// to be read and the other servers are not overloaded. With many callers, the list is the only message that
// reaches all of them. The risk is that many servers leave the list at once.
func (c *Controller) updateListing() {
	onlyHere := c.cfg.RetriesMarked && c.rejectedElsewhere() < delistMaxRepeats
	switch {
	case !c.cfg.ListedByHealth || c.draining || c.now < c.relistAt:
	case c.relistAt > 0:
		c.relistAt = 0
		c.host.Health(true)
	case onlyHere && float64(c.meanReadWait) > delistAbove*float64(c.referenceDelay):
		c.relistAt = c.now + time.Duration(delistDelays*float64(c.referenceDelay))
		c.host.Health(false)
	}
}

// updateSignal sets the signal for how much callers may send, in the form of Config.Signal. All forms follow
// the advisory probability. A draining server redirects its callers only when the grace is about to end, as
// its cores can serve requests until then.
func (c *Controller) updateSignal() {
	value := 0.0
	lead := time.Duration(drainLeadShare * float64(c.cfg.SignalLifetime))
	redirecting := c.draining && c.now >= c.drainAt+c.cfg.DrainGrace-lead
	switch c.cfg.Signal {
	case NoSignal:
		return
	case RankFloor:
		value = c.blendWithMean(c.Level())
		if redirecting {
			value = 1
		}
	case CallerTokens:
		capacity := float64(c.runLimit) + c.referenceDelay.Seconds()*c.startSum/max(c.startTime, 1e-3)
		value = max(1, capacity/(1+c.advisory.dropProb*(1/max(c.sameCallerProb, meanWeight)-1)))
	case ArrivalChance:
		value = 1 - c.advisory.dropProb
	}
	if redirecting && c.cfg.Signal != RankFloor {
		value = 0
	}
	if math.Abs(value-c.signal) > signalStep*max(1, value) || value == 0 && c.signal != 0 {
		c.signal = value
		c.host.Signal(value)
	}
}

// Level returns the share of all requests, lowest ranks first, that this server alone would ask callers to
// hold back.
func (c *Controller) Level() float64 { return c.quotas.level(c.advisory.dropProb) * levelShare }

// SetMeanLevel sets the mean Level of all servers, or 0 if it is unknown.
func (c *Controller) SetMeanLevel(mean float64) { c.meanLevel = mean }

// blendWithMean moves the level of this server towards the mean of all servers. Otherwise callers would move
// away from a server that asks for more than others, so that each server would alternate between empty and
// flooded. A server that is far above the mean still asks for more.
func (c *Controller) blendWithMean(own float64) float64 {
	return own + min(max((c.meanLevel-commonFrom)/commonOver, 0), 1)*(max(c.meanLevel, own-levelExcess)-own)
}
