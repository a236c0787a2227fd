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
// What a stopped process may do when it wakes: between the check in Act and the effect it may be stopped for any time, and
// then acts although another box may hold the slot. What is acted upon finds that out by the token, if it compares tokens. For
// what cannot, this is what is left of the risk; there is no call here that would take it away.
type Task struct {
	f   *Fleet
	ask *lease.Ask
}

// Permit is given to one effect.
type Permit struct {
	Token uint64        // for what is acted upon; it must refuse a smaller one than it has seen
	Left  time.Duration // until the effect must have ended, by this box's clock
	// Version is the fleet's configuration that the effect is made under, and Lowest the lowest one that this box knows to be
	// allowed, 0 for none. What is acted upon may refuse a Version below the greatest Lowest that it has seen.
	Version, Lowest uint64
}

// ErrWaiting says that a slot was not granted within the time for it.
var ErrWaiting = errors.New("the slot was not granted in time")

// Acquire waits for a slot of a task. When ctx ends before, the request is withdrawn.
func (f *Fleet) Acquire(ctx context.Context, r lease.Request) (*Task, error) {
	t, err := f.Ask(r)
	if err != nil {
		return nil, err
	}
	for {
		state, changed := t.look()
		switch {
		case state.State == lease.Held || state.State == lease.Renewing:
			return t, nil
		case state.State == lease.Refused:
			t.Release()
			return nil, fmt.Errorf("%s was refused: %w", r.Task, state.Why)
		case state.State.Over():
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

// Ask asks for a slot and does not wait.
func (f *Fleet) Ask(r lease.Request) (t *Task, err error) {
	t = &Task{f: f}
	f.with(func(now time.Duration) { t.ask, err = f.node.Acquire(now, r) })
	if err != nil {
		return nil, err
	}
	if t.ask == nil {
		return nil, lease.ErrOut
	}
	return t, nil
}

// Taken lists the sticky slots that this box's earlier process held and that are this one's now.
func (f *Fleet) Taken() (list []*Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.node.Holder().Asks() {
		if a.Taken() && !a.State.Over() {
			list = append(list, &Task{f, a})
		}
	}
	return list
}

func (t *Task) look() (lease.Ask, <-chan struct{}) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	return *t.ask, t.f.changed
}

// Look tells how the request stands, for how long its box may still act, and gives a channel that closes at the next change.
func (t *Task) Look() (ask lease.Ask, left time.Duration, changed <-chan struct{}) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	now := t.f.cfg.Now()
	if t.f.node.May(now, t.ask, 0) == nil {
		left = t.f.node.Holder().Until() - now
	}
	return *t.ask, left, t.f.changed
}

// why says why nothing may be begun under a slot that is held.
func (t *Task) why() string {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	if err := t.f.node.May(t.f.cfg.Now(), t.ask, 0); err != nil {
		return err.Error()
	}
	return ""
}

// Act makes one effect under the lease, or none. The permit is checked immediately before: the effect is begun only if need,
// the longest that it can take, ends before the lease can be another's. An effect that takes longer is counted
// (fleet_effects_over_time) and breaks what is promised.
func (t *Task) Act(need time.Duration, effect func(Permit) error) error {
	// The audit has it before it is made, and before the permit is checked: nothing stands between check and effect.
	// Both are under one lock, so that the version that the entry names is the one that the permit is for.
	t.f.mu.Lock()
	ask := *t.ask
	ref := t.f.noteLocked(audit.Entry{Kind: audit.Effect, Task: ask.Task, Token: ask.Token})
	now := t.f.cfg.Now()
	err := t.f.node.May(now, t.ask, need)
	p := Permit{Token: t.ask.Token, Left: t.f.node.Holder().Until() - now, Version: t.f.node.InForce(), Lowest: t.f.node.Lowest()}
	t.f.mu.Unlock()
	if err != nil {
		t.f.note(audit.Entry{Kind: audit.Done, Task: ask.Task, Token: ask.Token, Ref: ref, Text: "not made: " + err.Error()})
		return err
	}
	err = effect(p)
	if t.f.cfg.Now()-now > need {
		t.f.over.Inc()
	}
	done := audit.Entry{Kind: audit.Done, Task: ask.Task, Token: ask.Token, Ref: ref, OK: err == nil}
	if err != nil {
		done.Text = err.Error()
	}
	t.f.note(done)
	return err
}

// Release gives the slot back, or withdraws the request. Nothing acts under it any more when it is called.
func (t *Task) Release() {
	t.f.with(func(now time.Duration) {
		t.f.node.GiveUp(now, t.ask)
		t.f.node.Drop(t.ask)
	})
}
