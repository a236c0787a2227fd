package policy

// This file holds the calls that running requests make to a dependency.

import (
	"container/heap"
	"slices"
	"time"
)

// Tuned values of calls.
const (
	callShare    = 0.5 // share of the calls that this server may have in hand: it slows down earlier
	callTries    = 3   // tries of one call, where the request can end without it
	backoffSteps = 5   // doublings of the tick between two tries of one call
	skipPatience = 0.2 // share of its aim that a request waits for a call before it goes on without it
)

// NeedsCall takes a running request that waits for us to make its call.
func (c *Controller) NeedsCall(now time.Duration, id RequestID) {
	c.begin(now)
	if r := c.live[id]; r != nil {
		c.enter(r, atCall)
		r.tries, r.callAt = 0, c.now
		r.calls++
		if r.answered {
			return
		}
		heap.Push(&c.calls, entry{c.order(r), r})
		c.startCalls()
		c.startHeld()
	}
}

func (c *Controller) startCalls() {
	if c.callLimit.crowded() { // the calls there are go to those that cannot do without
		c.skipCalls()
	}
	for len(c.calls) > 0 {
		r := c.calls[0].r
		if r.ended || r.answered || r.state != atCall {
			heap.Pop(&c.calls)
			continue
		}
		if !c.mayCall() {
			c.skipCalls()
			return
		}
		heap.Pop(&c.calls)
		if r.tries == 0 {
			r.callWait += c.now - r.callAt
		}
		r.tries++
		c.enter(r, calling)
		if c.cfg.Dependency == SharedDependency {
			r.calledAt = c.now
			c.callsOut = append(c.callsOut, entry{c.now, r})
		}
		c.host.Call(r.ID, max(c.limit(r.dueAt)-c.now, c.tick))
	}
}

// skipCalls lets requests go on without a call that they can do without: at once while the dependency is
// crowded, and else once they have waited, as others need the call more. Harm: they earn SkipWorth only.
func (c *Controller) skipCalls() {
	waiting := c.calls[:0]
	for _, e := range c.calls {
		switch r := e.r; {
		case r.ended || r.answered || r.state != atCall:
		case c.skips(r):
			r.callWait += c.now - r.callAt
			c.enter(r, running)
			c.host.Skip(r.ID)
		default:
			waiting = append(waiting, e)
		}
	}
	clear(c.calls[len(waiting):])
	c.calls = waiting
	heap.Init(&c.calls)
}

// skips tells whether a request that waits for a call is to go on without it.
func (c *Controller) skips(r *request) bool {
	patience := time.Duration(skipPatience * float64(r.class.Aim))
	return r.class.SkipWorth > 0 && (c.callLimit.crowded() || c.now-r.callAt > patience)
}

// callDelay is the time in seconds until a request may make a call, by those that wait for theirs now. It
// guards against work that is started only to wait there past its aim.
func (c *Controller) callDelay() float64 {
	if c.cfg.Dependency != SharedDependency {
		return 0
	}
	return float64(c.count[atCall]) * c.callLimit.recent / max(c.callLimit.limit, 1)
}

// mayCall keeps calls in hand, abandoned ones too, in this server's share (rule 4), in the mean if under 1.
func (c *Controller) mayCall() bool {
	if c.cfg.Dependency != SharedDependency {
		return true
	}
	n := float64(c.count[calling] + len(c.lingerer))
	if n+1 > c.callLimit.most {
		return n == 0 && c.callMean < c.callLimit.most
	}
	return n-float64(c.overdueCalls())+1 <= c.callLimit.limit
}

// overdueCalls counts the calls in hand that are overdue. They are kept out of the limit that follows the
// latency: a few that are never answered would hold up all others until they are given up.
func (c *Controller) overdueCalls() int {
	overdue, first := 0, 0
	for ; first < len(c.callsOut) && c.now-c.callsOut[first].at > c.callLimit.overdue(); first++ {
		if e := c.callsOut[first]; e.r.state == calling && !e.r.ended && e.r.calledAt == e.at {
			c.callsOut[overdue] = e
			overdue++
		}
	}
	if first > overdue {
		c.callsOut = slices.Delete(c.callsOut, overdue, first)
	}
	return overdue
}

// Called takes the outcome of a call.
func (c *Controller) Called(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	c.begin(now)
	r := c.live[id]
	if r == nil {
		return
	}
	if o == TimedOut {
		heap.Push(&c.lingerer, entry{c.now + c.cfg.CallLinger, nil}) // still in the dependency's hands
	}
	if c.cfg.Dependency == SharedDependency && (o == Succeeded || o == TimedOut) {
		c.callLimit.observe(took)
	}
	if c.cfg.Dependency == SharedDependency && o == TurnedAway {
		c.callLimit.shed()
	}
	if o == Succeeded {
		c.enter(r, running)
	} else {
		c.enter(r, atCall)
		c.afterFailedCall(r, o)
	}
	c.startCalls()
}

// afterFailedCall calls again only where that repeats no effect (rule 2), else skips or fails.
func (c *Controller) afterFailedCall(r *request, o Outcome) {
	neverRan := o == TurnedAway || o == Unreachable
	again := neverRan || r.class.Semantics == Safe
	if r.tries >= callTries { // what has no other way goes on trying: it holds work that is done already
		again = neverRan && r.class.SkipWorth == 0
	}
	wait := c.tick << min(r.tries, backoffSteps)
	switch {
	case r.answered:
	case again && c.now+wait < c.limit(r.dueAt):
		heap.Push(&c.callRetry, entry{c.now + wait, r})
	case r.class.SkipWorth > 0:
		c.enter(r, running)
		c.host.Skip(r.ID)
	default:
		c.fail(r)
	}
}

func (c *Controller) tickCalls(dt time.Duration) {
	for len(c.lingerer) > 0 && c.lingerer[0].at <= c.now {
		heap.Pop(&c.lingerer)
	}
	for len(c.callRetry) > 0 && c.callRetry[0].at <= c.now {
		r := heap.Pop(&c.callRetry).(entry).r
		heap.Push(&c.calls, entry{c.order(r), r})
	}
	gap := float64(c.count[calling]+len(c.lingerer)) - c.callMean
	c.callMean += gap * min(1, float64(dt)/float64(max(c.cfg.CallsOver, c.tick)))
	c.startCalls()
}
