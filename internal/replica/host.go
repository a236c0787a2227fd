package replica

import (
	"maps"
	"slices"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/shed"
	"cairnlane/policy"
)

// The methods below make the replica the policy.Host of its controller. They are called inside the
// module's methods, under the lock, and never call the module themselves.

// Run implements policy.Host.
func (r *Replica) Run(id policy.RequestID) {
	req := r.live[id]
	if !assert.That(req != nil && !req.running && !req.answered, "only a held request is run") {
		return
	}
	req.running, req.pending = true, true
	r.count.runs.Inc()
	if k := req.key; k != nil {
		k.ran = true
	}
	r.send(req)
}

// send is the one place where RUN is written. No try is written here whose keyed request may have run
// as another try: that is the rule on duplicates.
func (r *Replica) send(req *request) {
	if req.class.Semantics == policy.Keyed {
		k := r.keys.byName[name(req)]
		if !assert.That(k != nil && k.holder == req.id, "a keyed try runs only as the holder of its key") {
			r.queue(func(now time.Duration) { r.ended(now, req, policy.Failed, 0, nil) })
			return
		}
	}
	if r.engine.Run(req.Txn, req.Class, req.Body) {
		if req.sent {
			r.count.resent.Inc()
		} else {
			r.figures.tries.Add(1)
		}
		req.sent, req.sentAt, req.pending = true, r.clock.Now(), false
	}
}

// Refuse implements policy.Host.
func (r *Replica) Refuse(id policy.RequestID, a policy.Advice) {
	req := r.live[id]
	if req == nil {
		return
	}
	if !assert.That(!req.running || req.class.Semantics == policy.Safe, "what ran and has an effect is not refused") {
		r.Fail(id)
		return
	}
	assert.That(a.Version == req.others.Version, "a request is judged from its read to its answer by one version")
	switch o := &req.others; {
	case o.Beyond:
		r.count.beyond.Inc()
		r.figures.words[req.place][wordBeyond].Add(1)
	case o.Order == shed.OverShare:
		r.count.overShare.Inc()
		r.figures.words[req.place][wordShare].Add(1)
	case o.Order == shed.LowClass:
		r.count.lowClass.Inc()
		r.figures.words[req.place][wordLow].Add(1)
	}
	refusal := Answer{Kind: Refused, Later: a.HoldOff, GiveUp: a.Last}
	r.answer(req, refusal)
	if req.running {
		return
	}
	r.forget(req)
	if k := req.key; k != nil { // repeats that waited for it never ran either
		k.refusal = refusal
		r.release(k, refusal, policy.Failed)
	}
}

// release answers all who wait for the outcome of a key.
func (r *Replica) release(k *key, a Answer, o policy.Outcome) {
	waiting := k.waiting
	k.waiting = nil
	for _, w := range waiting {
		w.waitsOn = nil
		r.finish(w, a, o)
	}
}

// finish answers a repeat and tells the module after the present call.
func (r *Replica) finish(w *request, a Answer, o policy.Outcome) {
	if !w.answered {
		r.answer(w, a)
	}
	r.forget(w)
	r.queue(func(now time.Duration) { r.call(func() { r.ctl.Done(now, w.id, o, 0) }) })
}

// Fail implements policy.Host.
func (r *Replica) Fail(id policy.RequestID) {
	req := r.live[id]
	if req == nil {
		return
	}
	r.answer(req, Answer{Kind: Failed})
	switch {
	case !req.running: // it waited for another try; the module has ended it
		r.forget(req)
	case req.doubt: // nobody is told whether it ran, so that nothing more is waited for
		r.queue(func(now time.Duration) { r.giveUp(now, req) })
	}
}

// giveUp ends a run in doubt of which nothing was heard until its answer was due. Its end, if it comes yet, is stray.
func (r *Replica) giveUp(now time.Duration, req *request) {
	if req.running {
		r.ended(now, req, policy.Interrupted, 0, nil)
	}
}

// Reuse implements policy.Host.
func (r *Replica) Reuse(id policy.RequestID) {
	req := r.live[id]
	k := r.keys.find(req)
	if !assert.That(k != nil, "a repeat has an entry") {
		r.finish(req, Answer{Kind: Failed}, policy.Failed)
		return
	}
	r.count.reused.Inc()
	switch {
	case !k.over:
		req.waitsOn = k
		k.waiting = append(k.waiting, req)
	case k.stored:
		r.finish(req, Answer{Kind: Served, Body: k.result}, policy.Succeeded)
	default:
		r.finish(req, Answer{Kind: Failed}, policy.Failed)
	}
}

// Keep implements policy.Host. The window counts from the door of the try, as the module's does, with
// a margin.
func (r *Replica) Keep(id policy.RequestID, ttl time.Duration) {
	if req := r.live[id]; req != nil {
		req.key = r.keys.keep(req, r.clock.Now()+ttl+keyMargin)
		r.tellEntry(req.key)
	}
}

// Forget implements policy.Host.
func (r *Replica) Forget(id policy.RequestID) {
	if k := r.keys.byHolder[id]; k != nil && assert.That(!k.ran, "what ran is not forgotten") {
		r.keys.drop(k)
		r.tellDrop(k)
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

// Halt implements policy.Host. The engine's protocol has no preemption; the settings are checked for it.
func (r *Replica) Halt(policy.RequestID) { assert.That(false, "no preemption at this engine") }

// The methods below take what the engine tells, one call at a time.

// Started takes word that the engine came up that long ago. The cores are cold from then on: counted from
// the start of this process, which may wait for them for a while, a cold server would be taken for warm.
func (r *Replica) Started(ago time.Duration) {
	r.enter(func(now time.Duration) { r.call(func() { r.ctl.Started(now, ago) }) })
}

// Done takes the end of a run.
func (r *Replica) Done(txn string, end policy.Outcome, took time.Duration, result []byte) {
	r.enter(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || !req.running {
			r.count.stray.Inc()
			return
		}
		r.ended(now, req, end, took, result)
	})
}

// Rejected takes word that a run was not carried out: the request ends as failed. It never ran, so the
// module forgets its key: strangers' calls must not fail the tries of the request that owns the key, nor
// take the room of keys.
func (r *Replica) Rejected(txn string) {
	r.enter(func(now time.Duration) {
		if req := r.txns[txn]; req != nil && req.running {
			r.count.rejected.Inc()
			if k := req.key; k != nil {
				k.ran = false
			}
			r.ended(now, req, policy.TurnedAway, 0, nil)
		}
	})
}

// ended takes the end of a run: its answer, unless it has one, and that of all who wait for it.
func (r *Replica) ended(now time.Duration, req *request, end policy.Outcome, took time.Duration, result []byte) {
	a := Answer{Kind: Failed}
	if end == policy.Succeeded {
		a = Answer{Kind: Served, Body: result}
		r.count.done.Inc()
	} else {
		r.count.moot.Inc()
	}
	if !req.answered {
		r.answer(req, a)
	}
	req.running = false
	r.forget(req)
	if k := req.key; k != nil {
		k.over, k.ok = true, end == policy.Succeeded
		if k.ok {
			r.keys.store(k, result)
		}
		if req.class.Semantics == policy.Safe { // its answer may be handed on for so long, and no margin helps anybody
			k.until = now + r.cfg.Policy.ShareFor
		}
		r.release(k, a, end)
		r.tellEntry(k)
	}
	r.call(func() { r.ctl.Done(now, req.id, end, took) })
}

// Gauges takes the gauges: the tick that asked for them goes on.
func (r *Replica) Gauges(values []float64) {
	r.enter(func(now time.Duration) {
		if r.cfg.OnCores < len(values) {
			r.gauges.OnCores, r.gauged = values[r.cfg.OnCores], now
			r.figures.demand(r.gauges.OnCores / float64(r.cfg.Policy.Cores))
		}
		if r.asking {
			r.ticked(now)
		}
	})
}

// Attached takes word that a link is up and open lets runs through. What was decided to run, was written at since or
// later and was not told of among the notices that were missed may not have reached the engine, or runs still, or
// its end is told at this very moment. What may run twice is sent again; what may not is waited for until its answer is
// due, as sent again it could run a second time.
func (r *Replica) Attached(since time.Duration, open func()) {
	r.enter(func(time.Duration) {
		open()
		ids := slices.Sorted(maps.Keys(r.live))
		for _, id := range ids {
			req := r.live[id]
			if !req.running {
				continue
			}
			if lost := req.sent && !req.pending && !req.doubt && req.sentAt >= since; lost && req.class.Semantics == policy.Safe {
				req.pending = true
			} else if lost {
				req.doubt = true
				r.count.doubted.Inc()
			}
			switch {
			case req.pending:
				r.send(req)
			case req.doubt && req.answered:
				r.queue(func(now time.Duration) { r.giveUp(now, req) })
			}
			r.resendWait(req, since)
		}
	})
}
