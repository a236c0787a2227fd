package policy

// This file holds draining, health and what callers are told ahead of their requests.

import (
	"math"
	"time"
)

// Tuned values of signals. Times are relative to Config.Heeded, the answer slack and the reference delay.
const (
	levelShare    = 0.9  // share of p that callers are asked to hold back; the dice take the rest
	signalStep    = 0.01 // smallest change of the signal that is worth saying
	levelApart    = 0.15 // by how much more than the mean of all servers one in trouble asks for
	commonFrom    = 0.1  // mean above which they come to ask for the same, fully a commonOver further
	commonOver    = 0.2
	retireAbove   = 2    // wait unread, in referenceDelays, above which a server alone in trouble leaves
	retireRepeats = 0.08 // share refused elsewhere under which it is taken to be alone
	retireDelays  = 10   // referenceDelays for which it leaves
	leadShare     = 0.1  // share of Heeded before the end of the grace at which a drain sends callers away
	stopSlacks    = 2    // answer slacks before the stop by which a drain has answered all
	gaugeTicks    = 8.0  // ticks over which the demand for cores is averaged
)

// Drain takes the notice to leave: callers are steered away before its grace ends.
func (c *Controller) Drain(now, stopAt time.Duration) {
	c.begin(now)
	c.draining, c.drainAt, c.stopAt = true, now, stopAt
	c.host.Health(false)
	c.say()
}

// StopAt says when this process ends though its server goes on: all is answered before then.
func (c *Controller) StopAt(now, stopAt time.Duration) {
	c.begin(now)
	c.stopAt = stopAt
}

// limit is the given time, or the last moment before a stop.
func (c *Controller) limit(at time.Duration) time.Duration {
	if c.stopAt > 0 {
		return min(at, c.stopAt-stopSlacks*max(c.cfg.AnswerSlack, c.tick))
	}
	return at
}

// Tick takes the timer with the server's gauges; all that goes by time happens here.
func (c *Controller) Tick(now time.Duration, g Gauges) {
	c.begin(now)
	dt := now - c.ticked
	c.ticked = now
	if g.Age > c.referenceDelay { // nobody knows: taken for busy, so that the pool does not climb
		g.OnCores = float64(c.cfg.Cores)
	}
	c.onCores += (min(g.OnCores, float64(c.cfg.Cores)) - c.onCores) / gaugeTicks
	c.answerDue()
	c.expireKeys()
	c.regulate(dt)
	c.resize()
	c.tickCalls(dt)
	c.sweepHold()
	c.startHeld()
	c.say()
	c.retire()
	c.host.Wake(c.tick)
}

// retire leaves the list that all callers share for a while, where arrivals wait long to be read and the
// neighbours are well: at size the one word that reaches all. Harm: a herd that leaves together.
func (c *Controller) retire() {
	alone := c.cfg.MarksRetry && c.refusedElsewhere() < retireRepeats
	switch {
	case !c.cfg.Readiness || c.draining || c.now < c.back:
	case c.back > 0:
		c.back = 0
		c.host.Health(true)
	case alone && float64(c.unread) > retireAbove*float64(c.referenceDelay):
		c.back = c.now + time.Duration(retireDelays*float64(c.referenceDelay))
		c.host.Health(false)
	}
}

// say tells callers how much to send, in the terms that the site knows, from the same law. A server that
// leaves sends them away only as the grace runs out: until then its cores still serve.
func (c *Controller) say() {
	value := 0.0
	lead := time.Duration(leadShare * float64(c.cfg.Heeded))
	leaving := c.draining && c.now >= c.drainAt+c.cfg.DrainGrace-lead
	switch c.cfg.Signal {
	case NoSignal:
		return
	case RankFloor:
		value = c.common(c.Level())
		if leaving {
			value = 1
		}
	case CallerTokens:
		whole := float64(c.pool) + c.referenceDelay.Seconds()*c.startSum/max(c.startTime, 1e-3)
		value = max(1, whole/(1+c.ahead.dropProb*(1/max(c.sameCaller, meanWeight)-1)))
	case ArrivalChance:
		value = 1 - c.ahead.dropProb
	}
	if leaving && c.cfg.Signal != RankFloor {
		value = 0
	}
	if math.Abs(value-c.signal) > signalStep*max(1, value) || value == 0 && c.signal != 0 {
		c.signal = value
		c.host.Signal(value)
	}
}

// Level is the part of all requests, by rank, that this server would by itself have callers hold back.
func (c *Controller) Level() float64 { return c.quotas.level(c.ahead.dropProb) * levelShare }

// Others tells what all servers would have callers hold back, in the mean; 0 where nothing is known.
func (c *Controller) Others(mean float64) { c.mean = mean }

// common draws what callers are told to the mean of the servers. It guards against a herd: callers leave one
// that asks for more, so each is by turns empty and flooded. One that is far worse off still says so.
func (c *Controller) common(own float64) float64 {
	return own + min(max((c.mean-commonFrom)/commonOver, 0), 1)*(max(c.mean, own-levelApart)-own)
}
