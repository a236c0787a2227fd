package main

import (
	"time"

	"cairnlane/internal/wire"
	"cairnlane/policy"
)

// The exported methods below implement policy.Host: each adds an action of the protocol to the reply.

// addAction adds an action of this instance to the reply.
func (in *instance) addAction(a wire.Action) {
	a.Instance = in.name
	in.fleet.actions = append(in.fleet.actions, a)
}

// addRequestAction adds an action that names only a request.
func (in *instance) addRequestAction(name string, id policy.RequestID) {
	in.addAction(wire.Action{Name: name, RequestID: int64(id)})
}

// Run implements policy.Host.
func (in *instance) Run(id policy.RequestID) { in.addRequestAction("serve", id) }

// Reject implements policy.Host.
func (in *instance) Reject(id policy.RequestID, a policy.Advice) {
	in.addAction(wire.Action{Name: "not-now", RequestID: int64(id), HoldOff: a.HoldOff.Microseconds(), DoNotRetry: a.DoNotRetry})
}

// Fail implements policy.Host.
func (in *instance) Fail(id policy.RequestID) { in.addRequestAction("finish-error", id) }

// Reuse implements policy.Host.
func (in *instance) Reuse(id policy.RequestID) { in.addRequestAction("reuse", id) }

// StoreKey implements policy.Host.
func (in *instance) StoreKey(id policy.RequestID, ttl time.Duration) {
	us := ttl.Microseconds()
	in.addAction(wire.Action{Name: "store-key", RequestID: int64(id), TTL: &us})
}

// DeleteKey implements policy.Host.
func (in *instance) DeleteKey(id policy.RequestID) { in.addRequestAction("erase", id) }

// Call implements policy.Host.
func (in *instance) Call(id policy.RequestID, maxWait time.Duration) {
	in.addAction(wire.Action{Name: "dial", RequestID: int64(id), MaxWait: maxWait.Microseconds()})
}

// Skip implements policy.Host.
func (in *instance) Skip(id policy.RequestID) { in.addRequestAction("skip", id) }

// Halt implements policy.Host.
func (in *instance) Halt(id policy.RequestID) { in.addRequestAction("yank", id) }

// Signal implements policy.Host.
func (in *instance) Signal(value float64) { in.addAction(wire.Action{Name: "signal", Value: &value}) }

// Health implements policy.Host.
func (in *instance) Health(good bool) {
	in.addAction(wire.Action{Name: "fitness", Cached: true, Healthy: &good})
}

// CloseIdle implements policy.Host.
func (in *instance) CloseIdle(after time.Duration) {
	us := after.Microseconds()
	in.addAction(wire.Action{Name: "reap-after", TTL: &us})
}

// Wake implements policy.Host.
func (in *instance) Wake(after time.Duration) {
	us, label := after.Microseconds(), uint64(0)
	in.addAction(wire.Action{Name: "notify-me", TimerID: &label, After: &us})
}
