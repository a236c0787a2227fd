package policy

// This file holds final answers that are not results of runs: rejections, failures, callers that have left.

import (
	"container/heap"
	"time"
)

// Tuned values of rejections.
const (
	lastAbove = 0.1 // p above which a refused caller is asked not to try elsewhere
	heedShare = 0.8 // share of callers taken to do as asked
)

// answerDue gives every request its answer a tick before it is owed (rule 1), all of them before a
// stop (rule 3).
func (c *Controller) answerDue() {
	for len(c.dues) > 0 && c.limit(c.dues[0].at) <= c.now+c.tick {
		r := heap.Pop(&c.dues).(entry).r
		switch {
		case r.ended || r.answered:
		case c.now+c.tick < c.limit(r.dueAt) && c.dropProb == 0 && c.count[held] == 0: // past its aim only
		case r.state == held:
			c.refuse(r)
		case r.state == joined:
			c.fail(r)
			c.end(r)
		case c.worthlessLate(r):
			r.answered = true
			c.host.Refuse(r.ID, Advice{Last: true})
			c.halt(r)
		default:
			c.fail(r)
			c.halt(r)
		}
	}
}

// worthlessLate tells whether r can be stopped and earns nothing past its aim. While others wait, such
// a run is ended at its aim, whatever made it late. Harm: a caller that repeats at once what was ended.
func (c *Controller) worthlessLate(r *request) bool {
	return r.class.LateWorth == 0 && r.class.Semantics == Safe && c.cfg.Halt != NoHalt
}

// Gone takes the word that the caller has left: nothing is owed any more.
func (c *Controller) Gone(now time.Duration, id RequestID) {
	c.begin(now)
	r := c.live[id]
	if r == nil {
		return
	}
	r.answered = true
	if r.state == held || r.state == joined {
		c.drop(r)
	} else {
		c.halt(r)
	}
	c.startHeld()
}

// halt stops work for which nobody waits, where it can be stopped and leaves no effect.
func (c *Controller) halt(r *request) {
	if r.state == running && r.class.Semantics == Safe && c.cfg.Halt != NoHalt {
		c.host.Halt(r.ID)
	}
}

func (c *Controller) fail(r *request) {
	r.answered = true
	c.host.Fail(r.ID)
}

// refuse turns away a held request, which never ran, with advice on what its caller should do. It asks not
// to try elsewhere where repeats, if marked, tell that the neighbours refuse too: what one slow or cold
// server of many refuses is not lost. Harm: reads elsewhere, until the repeats are seen.
func (c *Controller) refuse(r *request) {
	o, crowded := r.Others, c.ahead.dropProb > lastAbove && c.refusedElsewhere() > repeatsAbove
	if o.Known {
		crowded = o.Full
	}
	advice := Advice{Last: !c.draining && (crowded || c.now > r.aimAt), Version: r.Others.Version}
	count(&c.lastShare, advice.Last)
	mute := c.cfg.Signal == NoSignal || c.cfg.Signal == CallerTokens
	if mute && !c.closing { // the signal cannot say zero, and callers do come back
		advice.HoldOff = time.Duration(c.quotas.level(c.ahead.dropProb) * float64(c.cfg.MaxHoldOff))
	} else if !mute && !c.draining && c.now > r.arrived+r.Waited { // given up on: back after a start
		free := time.Duration(c.startTime / max(c.startSum, 1) * float64(time.Second))
		advice.HoldOff = min(free, c.cfg.MaxHoldOff)
	}
	elsewhere := !mute && !c.draining && !o.Full && c.ahead.dropProb > lastAbove // others have room
	if o.Known && (elsewhere || advice.HoldOff > 0) {
		advice.HoldOff = min(o.Return, c.cfg.MaxHoldOff)
	}
	c.host.Refuse(r.ID, advice)
	c.drop(r)
}

// refusedElsewhere estimates the share refused by the neighbours from repeats, fewer where callers heed Last.
func (c *Controller) refusedElsewhere() float64 {
	if !c.cfg.MarksRetry {
		return 1
	}
	return c.repeats / (1 - heedShare*c.lastShare)
}

// drop ends a request that never ran and forgets its key, so that a repeat counts as new.
func (c *Controller) drop(r *request) {
	c.forget(r)
	if r.class.Semantics == Keyed && r.state == held {
		c.refused[r.ID] = true
	}
	c.end(r)
}
