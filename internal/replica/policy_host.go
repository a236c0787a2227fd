package replica

import (
	"maps"
	"slices"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/shed"
	"cairnlane/policy"
)

// The methods below implement policy.Host for the controller. They are called from the module's
// methods, under the lock, and never call the module themselves.

// Run implements policy.Host.
func (r *Replica) Run(id policy.RequestID) {
	req := r.live[id]
	if !assert.That(req != nil && !req.running && !req.answered, "a request is run only if it is neither running nor answered") {
		return
	}
	req.running, req.pending = true, true
	r.count.runs.Inc()
	if k := req.key; k != nil {
		k.ran = true
	}
	r.sendRun(req)
}

// sendRun is the only place where RUN is written. It enforces the rule on duplicates: an attempt is not written if
// its keyed request may have run as another attempt.
func (r *Replica) sendRun(req *request) {
	if req.class.Semantics == policy.Keyed {
		k := r.keys.byName[keyName(req)]
		if !assert.That(k != nil && k.holder == req.id, "a keyed attempt runs only as the holder of its key") {
			r.deferCall(func(now time.Duration) { r.runEnded(now, req, policy.Failed, 0, nil) })
			return
		}
	}
	if r.engine.Run(req.Txn, req.Class, req.Body) {
		if req.sent {
			r.count.resent.Inc()
		} else {
			r.figures.runs.Add(1)
		}
		req.sent, req.sentAt, req.pending = true, r.clock.Now(), false
	}
}

// Reject implements policy.Host.
func (r *Replica) Reject(id policy.RequestID, a policy.Advice) {
	req := r.live[id]
	if req == nil {
		return
	}
	if !assert.That(!req.running || req.class.Semantics == policy.Safe, "a run that may have effects is not rejected") {
		r.Fail(id)
		return
	}
	assert.That(a.Version == req.fleetAdvice.Version, "one version of the advice applies to a request from its read to its answer")
	switch advice := &req.fleetAdvice; {
	case advice.BeyondRetryLimit:
		r.count.overBudget.Inc()
		r.figures.fleetRejections[req.classIndex][reasonOverBudget].Add(1)
	case advice.RejectOrder == shed.OverShare:
		r.count.overShare.Inc()
		r.figures.fleetRejections[req.classIndex][reasonOverShare].Add(1)
	case advice.RejectOrder == shed.LowClass:
		r.count.lowClass.Inc()
		r.figures.fleetRejections[req.classIndex][reasonLowClass].Add(1)
	}
	rejection := Answer{Kind: Rejected, RetryAfter: a.HoldOff, DoNotRetry: a.DoNotRetry}
	r.answer(req, rejection)
	if req.running {
		return
	}
	r.remove(req)
	if k := req.key; k != nil { // repeats that waited for it never ran either
		k.rejection = rejection
		r.releaseWaiting(k, rejection, policy.Failed)
	}
}

// releaseWaiting answers all requests that wait for the outcome of a key.
func (r *Replica) releaseWaiting(k *key, a Answer, o policy.Outcome) {
	waiting := k.waiting
	k.waiting = nil
	for _, req := range waiting {
		req.waitsOn = nil
		r.finishRepeat(req, a, o)
	}
}

// finishRepeat answers a repeat and informs the module after the present call.
func (r *Replica) finishRepeat(req *request, a Answer, o policy.Outcome) {
	if !req.answered {
		r.answer(req, a)
	}
	r.remove(req)
	r.deferCall(func(now time.Duration) { r.callModule(func() { r.ctl.Done(now, req.id, o, 0) }) })
}

// Fail implements policy.Host.
func (r *Replica) Fail(id policy.RequestID) {
	req := r.live[id]
	if req == nil {
		return
	}
	r.answer(req, Answer{Kind: Failed})
	if !req.running { // it waited for another attempt; the module has already removed it
		r.remove(req)
	}
}

// holdInDoubt waits for the end of a run that may be lost, until its answer is due.
func (r *Replica) holdInDoubt(now time.Duration, req *request) {
	req.inDoubt = true
	r.count.inDoubt.Inc()
	abandon := func(now time.Duration) { r.abandonInDoubt(now, req) }
	wait := req.arrivedAt + r.callerWait(req) - now
	if wait <= 0 {
		r.deferCall(abandon)
		return
	}
	stop := r.clock.AfterFunc(wait, func() { r.locked(abandon) })
	req.stopTimers = append(req.stopTimers, stop)
}

// abandonInDoubt ends an in-doubt run that was not reported by the time its answer was due. If its end is reported
// later, it is counted as unmatched.
func (r *Replica) abandonInDoubt(now time.Duration, req *request) {
	if req.running {
		r.runEnded(now, req, policy.Interrupted, 0, nil)
	}
}

// Reuse implements policy.Host.
func (r *Replica) Reuse(id policy.RequestID) {
	req := r.live[id]
	k := r.keys.find(req)
	if !assert.That(k != nil, "a repeat has an entry in the key table") {
		r.finishRepeat(req, Answer{Kind: Failed}, policy.Failed)
		return
	}
	r.count.reused.Inc()
	switch {
	case !k.ended:
		req.waitsOn = k
		k.waiting = append(k.waiting, req)
	case k.stored != nil:
		r.finishRepeat(req, Answer{Kind: Served, Body: k.result}, policy.Succeeded)
	default:
		r.finishRepeat(req, Answer{Kind: Failed}, policy.Failed)
	}
}

// StoreKey implements policy.Host. The window counts from the arrival of the attempt, as in the module, plus a margin.
func (r *Replica) StoreKey(id policy.RequestID, ttl time.Duration) {
	if req := r.live[id]; req != nil {
		req.key = r.keys.keep(req, r.clock.Now()+ttl+keyMargin)
		r.sendEntry(req.key)
	}
}

// DeleteKey implements policy.Host.
func (r *Replica) DeleteKey(id policy.RequestID) {
	if k := r.keys.byHolder[id]; k != nil && assert.That(!k.ran, "the key of a run is not forgotten") {
		r.keys.drop(k)
		r.sendDrop(k)
	}
}

// Signal implements policy.Host.
func (r *Replica) Signal(value float64) { r.signal = Signal{Value: value, Set: true} }

// Health implements policy.Host.
func (r *Replica) Health(good bool) { r.healthy = good }

// CloseIdle implements policy.Host.
func (r *Replica) CloseIdle(after time.Duration) {
	if r.cfg.CloseIdle != nil {
		r.cfg.CloseIdle(after)
	}
}

// Wake implements policy.Host.
func (r *Replica) Wake(after time.Duration) { r.clock.AfterFunc(after, r.tick) }

// Halt implements policy.Host. The engine's protocol has no preemption, and the settings are validated
// accordingly.
func (r *Replica) Halt(policy.RequestID) { assert.That(false, "the engine supports no preemption") }

// The methods below handle the notices of the engine, one call at a time.

// Started handles the notice that the engine started ago earlier. The cores count as cold from then on: counted
// from the start of this process, which may wait for the engine for a while, a cold server would be taken for a
// warm one.
func (r *Replica) Started(ago time.Duration) {
	r.locked(func(now time.Duration) { r.callModule(func() { r.ctl.CoresStarted(now, ago) }) })
}

// Done handles the end of a run.
func (r *Replica) Done(txn string, end policy.Outcome, took time.Duration, result []byte) {
	r.locked(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || !req.running {
			r.count.noticesUnmatched.Inc()
			return
		}
		r.runEnded(now, req, end, took, result)
	})
}

// Rejected handles the notice that the engine did not execute a run: the request fails. As it never ran, the
// module forgets its key, so that calls which the engine does not know neither fail later attempts under the same
// key nor occupy the key table.
func (r *Replica) Rejected(txn string) {
	r.locked(func(now time.Duration) {
		if req := r.txns[txn]; req != nil && req.running {
			r.count.rejectedRuns.Inc()
			if k := req.key; k != nil {
				k.ran = false
			}
			r.runEnded(now, req, policy.Rejected, 0, nil)
		}
	})
}

// runEnded handles the end of a run: it answers the request, unless that has an answer already, and all requests
// that wait for it.
func (r *Replica) runEnded(now time.Duration, req *request, outcome policy.Outcome, took time.Duration, result []byte) {
	a := Answer{Kind: Failed}
	if outcome == policy.Succeeded {
		a = Answer{Kind: Served, Body: result}
		r.count.done.Inc()
	} else {
		r.count.doneUnserved.Inc()
	}
	if !req.answered {
		r.answer(req, a)
	}
	req.running = false
	r.remove(req)
	if k := req.key; k != nil {
		k.ended, k.succeeded = true, outcome == policy.Succeeded
		if k.succeeded {
			r.keys.store(k, result)
		}
		if req.class.Semantics == policy.Safe { // the result may be shared for exactly this long; a margin would not help
			k.windowEnd = now + r.cfg.Policy.AnswerReuseTime
		}
		r.releaseWaiting(k, a, outcome)
		r.sendEntry(k)
	}
	r.callModule(func() { r.ctl.Done(now, req.id, outcome, took) })
}

// Gauges handles the engine's gauges: the tick that requested them continues.
func (r *Replica) Gauges(values []float64) {
	r.locked(func(now time.Duration) {
		if r.cfg.CoresGauge < len(values) {
			r.gauges.CoreDemand, r.gaugesAt = values[r.cfg.CoresGauge], now
			r.figures.recordDemand(r.gauges.CoreDemand / float64(r.cfg.Policy.Cores))
		}
		if r.awaitingGauges {
			r.finishTick(now)
		}
	})
}

// Attached handles the notice that a link is up; open makes it accept runs. A run that was written at since or
// later, and whose end is not among the notices that were missed, may not have reached the engine, may still be
// running, or may be reported at any moment. Runs of safe classes are sent again. Others are waited for until
// their answer is due, because a second RUN could execute them twice; that holds also if nobody waits for the answer.
func (r *Replica) Attached(since time.Duration, open func()) {
	r.locked(func(now time.Duration) {
		open()
		ids := slices.Sorted(maps.Keys(r.live))
		for _, id := range ids {
			req := r.live[id]
			if !req.running {
				continue
			}
			if lost := req.sent && !req.pending && !req.inDoubt && req.sentAt >= since; lost && req.class.Semantics == policy.Safe {
				req.pending = true
			} else if lost {
				r.holdInDoubt(now, req)
			}
			if req.pending {
				r.sendRun(req)
			}
			r.resumeCall(req, since)
		}
	})
}
