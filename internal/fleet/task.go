package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/state/audit"
)

// Task is a slot of a task that this box holds, or has held.
//
// A process may be stopped for any time between the check in Act and the effect, and on waking acts although another box may hold
// the slot. A target that compares tokens detects this. For a target that cannot, the risk remains; no call of this package removes it.
type Task struct {
	f       *Fleet
	request *lease.TrackedRequest
}

// Permit is the permission for one effect.
type Permit struct {
	Token uint64        // passed to the target, which must reject a token smaller than one it has seen
	Left  time.Duration // time until the effect must have ended, by this box's clock
	// Version is the fleet configuration under which the effect is made. Lowest is the lowest allowed one that this box knows, 0 for
	// none. The target may reject a Version below the greatest Lowest that it has seen.
	Version, Lowest uint64
}

// ErrWaiting reports that a slot was not granted before the context ended.
var ErrWaiting = errors.New("the slot was not granted in time")

// Acquire waits for a slot of a task. If ctx ends first, the request is withdrawn.
func (f *Fleet) Acquire(ctx context.Context, r lease.Request) (*Task, error) {
	t, err := f.Request(r)
	if err != nil {
		return nil, err
	}
	for {
		state, changed := t.current()
		switch {
		case state.State == lease.Held || state.State == lease.Renewing:
			return t, nil
		case state.State == lease.Rejected:
			t.Release()
			return nil, fmt.Errorf("%s was rejected: %w", r.Task, state.Reason)
		case state.State.Final():
			t.Release()
			return nil, fmt.Errorf("%s is %v", r.Task, state.State)
		}
		select {
		case <-ctx.Done():
			t.Release()
			return nil, fmt.Errorf("%w: %w", ErrWaiting, ctx.Err())
		case <-changed:
		}
	}
}

// Request requests a slot without waiting for it.
func (f *Fleet) Request(r lease.Request) (t *Task, err error) {
	t = &Task{f: f}
	f.update(func(now time.Duration) { t.request, err = f.node.Acquire(now, r) })
	if err != nil {
		return nil, err
	}
	if t.request == nil {
		return nil, lease.ErrNotMember
	}
	return t, nil
}

// InheritedTasks lists the sticky slots that this process inherited from the box's previous process.
func (f *Fleet) InheritedTasks() (list []*Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.node.Holder().Requests() {
		if a.TakenOver() && !a.State.Final() {
			list = append(list, &Task{f, a})
		}
	}
	return list
}

func (t *Task) current() (lease.TrackedRequest, <-chan struct{}) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	return *t.request, t.f.changed
}

// Status returns the state of the request, how long its box may still act, and a channel that is closed at the next change.
func (t *Task) Status() (request lease.TrackedRequest, left time.Duration, changed <-chan struct{}) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	now := t.f.cfg.Now()
	if t.f.node.CheckEffect(now, t.request, 0) == nil {
		left = t.f.node.Holder().ActDeadline() - now
	}
	return *t.request, left, t.f.changed
}

// blockedReason returns why no effect may begin under a held slot; "" if one may.
func (t *Task) blockedReason() string {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	if err := t.f.node.CheckEffect(t.f.cfg.Now(), t.request, 0); err != nil {
		return err.Error()
	}
	return ""
}

// Act makes one effect under the lease, or returns an error. It checks the permit immediately before: the effect begins only if need,
// the longest time it can take, ends before another box can hold the lease. An effect that takes longer is counted in
// fleet_effects_over_time and breaks this guarantee.
func (t *Task) Act(need time.Duration, effect func(Permit) error) error {
	// The audit entry is written before the permit check, so that nothing delays the effect after the check. Both happen under one
	// lock, so that the entry names the same version as the permit.
	t.f.mu.Lock()
	request := *t.request
	ref := t.f.recordAuditLocked(audit.Entry{Kind: audit.Effect, Task: request.Task, Token: request.Token})
	now := t.f.cfg.Now()
	err := t.f.node.CheckEffect(now, t.request, need)
	p := Permit{Token: t.request.Token, Left: t.f.node.Holder().ActDeadline() - now, Version: t.f.node.InForce(), Lowest: t.f.node.Lowest()}
	t.f.mu.Unlock()
	if err != nil {
		t.f.recordAudit(audit.Entry{Kind: audit.EffectDone, Task: request.Task, Token: request.Token, Ref: ref, Text: "not made: " + err.Error()})
		return err
	}
	err = effect(p)
	if t.f.cfg.Now()-now > need {
		t.f.overtimeEffects.Inc()
	}
	done := audit.Entry{Kind: audit.EffectDone, Task: request.Task, Token: request.Token, Ref: ref, OK: err == nil}
	if err != nil {
		done.Text = err.Error()
	}
	t.f.recordAudit(done)
	return err
}

// Release gives the slot back or withdraws the request. The caller must not act under it any more.
func (t *Task) Release() {
	t.f.update(func(now time.Duration) {
		t.f.node.ReleaseSlot(now, t.request)
		t.f.node.ForgetRequest(t.request)
	})
}
