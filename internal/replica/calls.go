package replica

import (
	"time"

	"cairnlane/internal/assert"
	"cairnlane/policy"
)

// indexCall is what a run that waits for a call to the index needs: the notice that asked for it, its body, whether it is
// out, and the command for the engine that ends the wait, until a link has taken it.
type indexCall struct {
	notice  int64  // number of the engine's NEED; a SKIP names it
	body    []byte // what the engine gave for the call
	out     bool   // a Get is out and its end not told
	owed    bool   // reply or skip is to be written to the engine once there is a link
	skip    bool   // the command owed is a SKIP, else a FEED of reply
	reply   []byte // the index's reply, unchanged
	written time.Duration
}

// Need takes word from the engine that a run waits for a call with this body.
func (r *Replica) Need(txn string, notice int64, body []byte) {
	r.enter(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || !req.running {
			r.count.stray.Inc()
			return
		}
		req.call = indexCall{notice: notice, body: append([]byte(nil), body...)}
		r.call(func() { r.ctl.NeedsCall(now, req.id) })
	})
}

// Called takes the end of a call to the index: a reply is handed to the run unchanged, and the module is told.
func (r *Replica) Called(txn string, outcome policy.Outcome, took time.Duration, reply []byte) {
	r.enter(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || !req.call.out {
			r.count.callsStray.Inc()
			return
		}
		req.call.out = false
		if outcome == policy.Succeeded {
			req.call.reply = append([]byte(nil), reply...)
			req.call.skip = false
			r.endWait(req)
		}
		r.call(func() { r.ctl.Called(now, req.id, outcome, took) })
	})
}

// Call implements policy.Host.
func (r *Replica) Call(id policy.RequestID, maxWait time.Duration) {
	req := r.live[id]
	if !assert.That(req != nil && req.running && r.cfg.Index != nil, "a call is made for a run that waits for it") {
		return
	}
	req.call.out = true
	r.count.calls.Inc()
	r.cfg.Index.Get(req.Txn, maxWait, req.call.body)
}

// Skip implements policy.Host.
func (r *Replica) Skip(id policy.RequestID) {
	req := r.live[id]
	if !assert.That(req != nil && req.running, "a call is skipped for a run that waits for it") {
		return
	}
	req.call.skip = true
	r.endWait(req)
}

// endWait writes what ends the wait of a run for its call, or keeps it for the next link.
func (r *Replica) endWait(req *request) {
	c := &req.call
	var sent bool
	if c.skip {
		sent = r.engine.Skip(req.Txn, c.notice)
	} else {
		sent = r.engine.Feed(req.Txn, c.reply)
	}
	c.owed, c.written = !sent, r.clock.Now()
}

// resendWait writes again, on a link that is new, what ends the wait of a run: what was not written, or may have been
// lost with the link before. A command for a run that no longer waits is turned down by the engine and harms nothing.
func (r *Replica) resendWait(req *request, since time.Duration) {
	if c := &req.call; c.owed || (c.notice > 0 && !c.out && c.written >= since) {
		r.endWait(req)
	}
}
