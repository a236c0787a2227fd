package replica

import (
	"time"

	"cairnlane/internal/assert"
	"cairnlane/policy"
)

// indexCall is the state of a run's call to the index: the notice that requested it, its body, whether it is
// outstanding, and the command that ends the engine's wait until a link has taken it.
type indexCall struct {
	notice      int64  // number of the engine's NEED notice; SKIP refers to it
	body        []byte // body of the call, as sent by the engine
	outstanding bool   // a Get was made and its end was not reported yet
	unsent      bool   // FEED or SKIP is to be written to the engine once there is a link
	skip        bool   // the command to write is SKIP; otherwise FEED with reply
	reply       []byte // the index's reply, unchanged
	written     bool   // the command was written to a link
	writtenAt   time.Duration
}

// CallRequested handles the engine's notice that a run waits for an index call with this body.
func (r *Replica) CallRequested(txn string, notice int64, body []byte) {
	r.locked(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || !req.running {
			r.count.noticesUnmatched.Inc()
			return
		}
		req.call = indexCall{notice: notice, body: append([]byte(nil), body...)}
		r.callModule(func() { r.ctl.NeedsCall(now, req.id) })
	})
}

// CallEnded handles the end of a call to the index: a reply is passed to the run unchanged, and the module is
// informed.
func (r *Replica) CallEnded(txn string, outcome policy.Outcome, took time.Duration, reply []byte) {
	r.locked(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || !req.call.outstanding {
			r.count.callsUnmatched.Inc()
			return
		}
		req.call.outstanding = false
		if outcome == policy.Succeeded {
			req.call.reply = append([]byte(nil), reply...)
			req.call.skip = false
			r.sendCallOutcome(req)
		}
		r.callModule(func() { r.ctl.CallDone(now, req.id, outcome, took) })
	})
}

// Call implements policy.Host.
func (r *Replica) Call(id policy.RequestID, maxWait time.Duration) {
	req := r.live[id]
	if !assert.That(req != nil && req.running && r.cfg.Index != nil, "an index call is made only for a run that waits for it") {
		return
	}
	req.call.outstanding = true
	r.count.calls.Inc()
	r.cfg.Index.Get(req.Txn, maxWait, req.call.body)
}

// Skip implements policy.Host.
func (r *Replica) Skip(id policy.RequestID) {
	req := r.live[id]
	if !assert.That(req != nil && req.running, "an index call is skipped only for a run that waits for it") {
		return
	}
	req.call.skip = true
	r.sendCallOutcome(req)
}

// sendCallOutcome writes the FEED or SKIP that ends a run's wait for its call, or marks it for the next link.
func (r *Replica) sendCallOutcome(req *request) {
	c := &req.call
	var sent bool
	if c.skip {
		sent = r.engine.Skip(req.Txn, c.notice)
	} else {
		sent = r.engine.Feed(req.Txn, c.reply)
	}
	c.unsent, c.written, c.writtenAt = !sent, sent, r.clock.Now()
}

// resumeCall continues a call whose FEED or SKIP was not written, or may have been lost with the previous link. SKIP names
// the call that it ends, so it can be written again. FEED does not: if the engine has read the first one, the run may
// wait for its next call by now and would take the reply for that call's. So the run continues without the call, if
// its class allows that. Otherwise nothing is written: either the run goes on, or it fails when its answer is due.
func (r *Replica) resumeCall(req *request, since time.Duration) {
	c := &req.call
	mayBeLost := c.written && !c.outstanding && c.writtenAt >= since
	switch {
	case c.unsent, mayBeLost && c.skip:
		r.sendCallOutcome(req)
	case mayBeLost:
		r.count.callsInDoubt.Inc()
		if req.class.SkipWorth > 0 {
			c.skip = true
			r.sendCallOutcome(req)
		}
	}
}
