package policy

// This file handles requests that end without the result
// of a run: rejections, failures and callers that are gone.

import (
	"container/heap"
	"time"
)

// Parameters of rejections.
const (
	noRetryThreshold = 0.1 // probability above which rejected callers are advised not to retry elsewhere
	complianceShare  = 0.8 // share of callers assumed to follow the advice
)

// answerDue answers every request one tick before it is due (rule 1), and all of them before a stop (rule 3).
func (c *Controller) answerDue() {
	for len(c.dueQueue) > 0 && c.beforeStop(c.dueQueue[0].at) <= c.now+c.tickInterval {
		r := heap.Pop(&c.dueQueue).(entry).req
		switch {
		case r.ended || r.answered:
		case c.now+c.tickInterval < c.beforeStop(r.dueAt) && c.dropProb == 0 && c.count[queued] == 0:
			// Only the aim has passed, and no other request needs the cores.
		case r.state == queued:
			c.reject(r)
		case r.state == joined:
			c.fail(r)
			c.remove(r)
		case c.worthlessAfterAim(r):
			r.answered = true
			c.host.Reject(r.ID, Advice{DoNotRetry: true})
			c.halt(r)
		default:
			c.fail(r)
			c.halt(r)
		}
	}
}

// worthlessAfterAim reports whether r can be stopped and earns nothing
// after its aim. While other requests wait, such a run is ended at its aim,
// whatever made it late. The cost is that its caller may repeat it at once.
func (c *Controller) worthlessAfterAim(r *request) bool {
	return r.class.LateWorth == 0 && r.class.Semantics == Safe && c.cfg.Halt != NoHalt
}

// CallerGone reports that the caller of a request has stopped waiting, so that it needs no answer.
func (c *Controller) CallerGone(now time.Duration, id RequestID) {
	c.beginEvent(now)
	r := c.live[id]
	if r == nil {
		return
	}
	r.answered = true
	if r.state == queued || r.state == joined {
		c.discard(r)
	} else {
		c.halt(r)
	}
	c.startQueued()
}

// halt stops a run whose result is no longer needed, if runs can be stopped and this one has no side effects.
func (c *Controller) halt(r *request) {
	if r.state == running && r.class.Semantics == Safe && c.cfg.Halt != NoHalt {
		c.host.Halt(r.ID)
	}
}

// fail answers r with an error; its run, if any, may go on.
func (c *Controller) fail(r *request) {
	r.answered = true
	c.host.Fail(r.ID)
}

// reject answers a queued request, which never ran, with a rejection and advice for its caller. The advice is
// not to retry elsewhere only if the other servers are full, as far as known, or else if marked retries show
// that they reject requests too: other servers can serve what a single slow or cold one rejects. The cost is
// that other servers have to read such requests until the retries are noticed.
func (c *Controller) reject(r *request) {
	others, othersReject := r.Peers,
		c.advisory.dropProb > noRetryThreshold && c.rejectedElsewhere() > repeatThreshold
	if others.Known {
		othersReject = others.Full
	}
	advice := Advice{DoNotRetry: !c.draining && (othersReject || c.now > r.aimAt), Version: r.Peers.Version}
	updateShare(&c.noRetryShare, advice.DoNotRetry)
	noZeroSignal := c.cfg.Signal == NoSignal || c.cfg.Signal == CallerTokens
	if noZeroSignal && !c.closingIdle { // the signal cannot ask for zero requests, and callers return
		advice.HoldOff = time.Duration(c.quotas.level(c.advisory.dropProb) * float64(c.cfg.MaxHoldOff))
	} else if !noZeroSignal && !c.draining && c.now > r.arrived+r.ReadWait { // queued in vain
		untilStart := time.Duration(c.startTime / max(c.startSum, 1) * float64(time.Second))
		advice.HoldOff = min(untilStart, c.cfg.MaxHoldOff)
	}
	roomElsewhere := !noZeroSignal && !c.draining && !others.Full && c.advisory.dropProb > noRetryThreshold
	if others.Known && (roomElsewhere || advice.HoldOff > 0) {
		advice.HoldOff = min(others.RetryAfter, c.cfg.MaxHoldOff)
	}
	c.host.Reject(r.ID, advice)
	c.discard(r)
}

// rejectedElsewhere estimates the share of requests that other servers reject from the share of retries among
// arrivals, corrected for callers that follow the advice not to retry.
func (c *Controller) rejectedElsewhere() float64 {
	if !c.cfg.RetriesMarked {
		return 1
	}
	return c.repeatShare / (1 - complianceShare*c.noRetryShare)
}

// discard ends a request that never ran and deletes its key, so that a repeat counts as a new request.
func (c *Controller) discard(r *request) {
	c.forgetKey(r)
	if r.class.Semantics == Keyed && r.state == queued {
		c.rejectedInBatch[r.ID] = true
	}
	c.remove(r)
}
