package policy

// This file schedules the calls that running requests make to a dependency.

import (
	"container/heap"
	"slices"
	"time"
)

// Parameters of calls.
const (
	callShare       = 0.5 // share of FairCalls to use, as the dependency slows down before that number
	maxCallAttempts = 3   // attempts at a call if the request can end without it
	backoffSteps    = 5   // maximum number of doublings of the tick between two attempts at a call
	skipWaitShare   = 0.2 // share of its aim that a request waits for a call before the call is skipped
)

// NeedsCall reports that a running request waits for the controller to make its call.
func (c *Controller) NeedsCall(now time.Duration, id RequestID) {
	c.beginEvent(now)
	if r := c.live[id]; r != nil {
		c.setState(r, awaitingCall)
		r.attempts, r.callWantedAt = 0, c.now
		r.callCount++
		if r.answered {
			return
		}
		heap.Push(&c.callQueue, entry{c.startBy(r), r})
		c.startCalls()
		c.startQueued()
	}
}

// startCalls makes queued calls as far as the limit allows, and skips those that may and should be skipped.
func (c *Controller) startCalls() {
	if c.callLimit.congested() { // the few possible calls are left to requests that cannot skip theirs
		c.skipCalls()
	}
	for len(c.callQueue) > 0 {
		r := c.callQueue[0].req
		if r.ended || r.answered || r.state != awaitingCall {
			heap.Pop(&c.callQueue)
			continue
		}
		if !c.mayCall() {
			c.skipCalls()
			return
		}
		heap.Pop(&c.callQueue)
		if r.attempts == 0 {
			r.callWait += c.now - r.callWantedAt
		}
		r.attempts++
		c.setState(r, calling)
		if c.cfg.Dependency == SharedDependency {
			r.callStartedAt = c.now
			c.openCalls = append(c.openCalls, entry{c.now, r})
		}
		c.host.Call(r.ID, max(c.beforeStop(r.dueAt)-c.now, c.tickInterval))
	}
}

// skipCalls continues requests without a call that they can skip: at once while
// the dependency is congested, and otherwise once they have waited, as other
// requests cannot skip theirs. The cost is that they earn only SkipWorth.
func (c *Controller) skipCalls() {
	waiting := c.callQueue[:0]
	for _, e := range c.callQueue {
		switch r := e.req; {
		case r.ended || r.answered || r.state != awaitingCall:
		case c.shouldSkip(r):
			r.callWait += c.now - r.callWantedAt
			c.setState(r, running)
			c.host.Skip(r.ID)
		default:
			waiting = append(waiting, e)
		}
	}
	clear(c.callQueue[len(waiting):])
	c.callQueue = waiting
	heap.Init(&c.callQueue)
}

// shouldSkip reports whether a request that waits for a call is to continue without it.
func (c *Controller) shouldSkip(r *request) bool {
	patience := time.Duration(skipWaitShare * float64(r.class.Aim))
	return r.class.SkipWorth > 0 && (c.callLimit.congested() || c.now-r.callWantedAt > patience)
}

// callDelay estimates the time in seconds until a new request could make a call, from the number that wait
// for theirs now. It prevents starting requests that would wait for their call past their aim.
func (c *Controller) callDelay() float64 {
	if c.cfg.Dependency != SharedDependency {
		return 0
	}
	return float64(c.count[awaitingCall]) * c.callLimit.meanTime / max(c.callLimit.limit, 1)
}

// mayCall reports whether another call may be made. The open calls, abandoned ones included, stay within this
// server's share (rule 4). If the share is less than one call, it holds in the mean.
func (c *Controller) mayCall() bool {
	if c.cfg.Dependency != SharedDependency {
		return true
	}
	inHand := float64(c.count[calling] + len(c.abandonedCalls))
	if inHand+1 > c.callLimit.maximum {
		return inHand == 0 && c.meanCallsInHand < c.callLimit.maximum
	}
	return inHand-float64(c.overdueCalls())+1 <= c.callLimit.limit
}

// overdueCalls counts the open calls that are overdue. They do not count towards the latency-based limit, as
// a few calls that are never answered would block all others until they time out.
func (c *Controller) overdueCalls() int {
	overdue, first := 0, 0
	for ; first < len(c.openCalls) && c.now-c.openCalls[first].at > c.callLimit.overdueAge(); first++ {
		if e := c.openCalls[first]; e.isOpenCall() {
			c.openCalls[overdue] = e
			overdue++
		}
	}
	if first > overdue {
		c.openCalls = slices.Delete(c.openCalls, overdue, first)
	}
	return overdue
}

// CallDone handles the outcome of a call.
func (c *Controller) CallDone(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	c.beginEvent(now)
	r := c.live[id]
	if r == nil {
		return
	}
	if o == TimedOut {
		heap.Push(&c.abandonedCalls, entry{c.now + c.cfg.CallLinger, nil}) // may still occupy the dependency
	}
	if c.cfg.Dependency == SharedDependency && (o == Succeeded || o == TimedOut) {
		c.callLimit.observe(took)
	}
	if c.cfg.Dependency == SharedDependency && o == Rejected {
		c.callLimit.observeRejection()
	}
	if o == Succeeded {
		c.setState(r, running)
	} else {
		c.setState(r, awaitingCall)
		c.afterFailedCall(r, o)
	}
	c.startCalls()
}

// afterFailedCall retries a call only if that cannot repeat an effect (rule 2); otherwise it skips the call
// or fails the request.
func (c *Controller) afterFailedCall(r *request, o Outcome) {
	neverRan := o == Rejected || o == Unreachable
	again := neverRan || r.class.Semantics == Safe
	if r.attempts >= maxCallAttempts { // only a call that cannot be skipped is retried, to save the work done
		again = neverRan && r.class.SkipWorth == 0
	}
	wait := c.tickInterval << min(r.attempts, backoffSteps)
	switch {
	case r.answered:
	case again && c.now+wait < c.beforeStop(r.dueAt):
		heap.Push(&c.callRetries, entry{c.now + wait, r})
	case r.class.SkipWorth > 0:
		c.setState(r, running)
		c.host.Skip(r.ID)
	default:
		c.fail(r)
	}
}

// tickCalls drops abandoned calls that have lingered long enough, requeues retries that are due and updates
// the mean number of open calls.
func (c *Controller) tickCalls(dt time.Duration) {
	for len(c.abandonedCalls) > 0 && c.abandonedCalls[0].at <= c.now {
		heap.Pop(&c.abandonedCalls)
	}
	for len(c.callRetries) > 0 && c.callRetries[0].at <= c.now {
		r := heap.Pop(&c.callRetries).(entry).req
		heap.Push(&c.callQueue, entry{c.startBy(r), r})
	}
	gap := float64(c.count[calling]+len(c.abandonedCalls)) - c.meanCallsInHand
	c.meanCallsInHand += gap * min(1, float64(dt)/float64(max(c.cfg.MeanCallWindow, c.tickInterval)))
	c.startCalls()
}
