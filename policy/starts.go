package policy

// This file holds the order of held requests and when they start.

import (
	"container/heap"
	"time"
)

// Tuned values of starts.
const (
	marginRuns  = 1.4  // mean runs that must fit before the aim: crowded ones take longer than the mean
	aheadShare  = 0.6  // share of those held with a tighter aim taken to start first: some are refused
	workShare   = 0.5  // share of a run that grows with its expected work; the rest is waits
	trialAbove  = 0.5  // share of the aim above which the mean run of a class may be stale: one is tried
	trialDelays = 2    // referenceDelays between such trials
	trialWeight = 0.25 // weight of such a trial in its class\'s mean
)

// order is the place in the hold: the tightest aim first.
func (c *Controller) order(r *request) time.Duration { return min(r.aimAt, r.dueAt) }

// need is the time that a run of r takes, as seen so far.
func (c *Controller) need(r *request) time.Duration {
	mean := r.class.meanRun
	if r.trial {
		return 0
	}
	if r.Expected > 0 && r.class.meanExpected > 0 {
		share := 1.0 // under pressure a doubtful large request is not worth the cores
		if c.ahead.dropProb < lastAbove {
			share = workShare
		}
		mean *= 1 + share*(r.Expected.Seconds()/r.class.meanExpected-1)
	}
	if r.class.SkipWorth == 0 {
		mean += r.class.meanCalls * c.callDelay()
	}
	return time.Duration(marginRuns * mean * float64(time.Second))
}

// stale tells whether r is to be tried though runs of its class seem to take too long, as none was of late.
// It guards against a mean learned in a jam that shuts its class out for good, as no run corrects it. Harm:
// one run for every trialDelays that may be late.
func (c *Controller) stale(r *request) bool {
	k := r.class
	if float64(c.need(r)) < trialAbove*float64(k.Aim) || c.now-k.tried <= trialDelays*c.referenceDelay {
		return false
	}
	k.tried = c.now
	return true
}

func (c *Controller) tooLate(r *request) bool {
	return c.now+c.need(r) > c.limit(min(r.aimAt, r.dueAt))
}

// startHeld fills the pool from the hold; what can no longer make its aim is refused.
func (c *Controller) startHeld() {
	for len(c.hold) > 0 {
		switch r := c.hold[0].r; {
		case r.ended || r.state != held:
		case c.tooLate(r):
			c.refuse(r)
		case !c.room(r):
			c.full = true
			return
		default:
			c.run(r)
		}
		heap.Pop(&c.hold)
	}
}

// sweepHold gives up at once on what can no longer make its aim, also behind a head that still can: runs of
// its class take longer. Its caller hears so a tick later instead of when it gets to the head.
func (c *Controller) sweepHold() {
	for _, e := range c.hold {
		if r := e.r; !r.ended && r.state == held && c.tooLate(r) {
			c.refuse(r)
		}
	}
}

// doomed tells whether those held with a tighter aim, at the present rate of starts, keep r past its own.
// It guards against reads that are held only to be given up on. Harm: some that others would have let pass.
func (c *Controller) doomed(r *request) bool {
	if c.count[held] == 0 || c.startSum < 0.5 {
		return false
	}
	ahead, at := 0, c.order(r)
	for _, e := range c.hold {
		if e.at <= at && !e.r.ended && e.r.state == held {
			ahead++
		}
	}
	wait := aheadShare * float64(ahead) * c.startTime / c.startSum
	return c.now+time.Duration(wait*float64(time.Second))+c.need(r) > c.limit(at)
}

func (c *Controller) room(r *request) bool {
	inHand := c.count[running] + c.count[atCall] + c.count[calling]
	return c.count[running] < c.pool && inHand < c.crowd() &&
		c.memory+r.KB*(c.cfg.RunFactor-1) <= c.memoryLimit()
}

func (c *Controller) run(r *request) {
	c.enter(r, running)
	c.peak = max(c.peak, c.count[running])
	c.starts++
	c.lastStart, r.class.tried = c.now, c.now
	c.host.Run(r.ID)
}

// Done takes the end of a run or of a join.
func (c *Controller) Done(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	c.begin(now)
	r := c.live[id]
	if r == nil {
		return
	}
	if r.state == calling {
		heap.Push(&c.lingerer, entry{c.now + c.cfg.CallLinger, nil}) // still in the dependency's hands
	}
	switch t := took.Seconds(); {
	case r.state == joined:
	case o == Succeeded:
		c.learn(r, t)
	case o == TurnedAway: // it never ran: no dequeue, and its key is free
		c.starts--
		c.forget(r)
	case o == Failed:
		c.starts-- // a quick failure is no dequeue
	case o == Cancelled && t > r.class.meanRun: // it would have taken longer still
		average(&r.class.meanRun, t)
	}
	c.end(r)
	c.startHeld()
	c.startCalls()
}

func (c *Controller) learn(r *request, took float64) {
	weight := meanWeight
	if r.trial { // one of few runs of its class, all of them made to correct its mean
		weight = trialWeight
	}
	move(&r.class.meanRun, max(0, took-r.callWait.Seconds()), weight)
	move(&r.class.meanCalls, float64(r.calls), weight)
	average(&c.meanRun, took)
	if r.Expected > 0 {
		average(&r.class.meanExpected, r.Expected.Seconds())
	}
	c.completions++
	c.latencySum += took
}

// count moves the share of the cases in which yes held of late.
func count(share *float64, yes bool) {
	*share *= 1 - meanWeight
	if yes {
		*share += meanWeight
	}
}

func average(mean *float64, x float64) { move(mean, x, meanWeight) }

// move draws a mean to its newest value, whose weight is given.
func move(mean *float64, x, weight float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += weight * (x - *mean)
}
