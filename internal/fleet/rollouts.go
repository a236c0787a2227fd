package fleet

import (
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/straggler"
)

// Errors of operators' commands on configurations.
var (
	ErrNoConfigs = errors.New("this box does not store the fleet's configurations")
	ErrNoBody    = errors.New("the contents of this configuration are not on this box yet; retry shortly, or ask the box that took it ('cairnctl fleet config list' names it)")
	ErrNoRollout = errors.New("no roll-out is under way")
)

// Rollouts describes configurations and roll-outs, as far as this box knows.
type Rollouts struct {
	Table      *rollout.Table  `json:"table"`
	Index      uint64          `json:"index"`    // of the ledger on this box
	InForce    uint64          `json:"in_force"` // on this box
	State      string          `json:"state"`    // of this box
	Stands     straggler.State `json:"stands"`
	Number     uint64          `json:"build_number"`
	Conducts   bool            `json:"conducts"` // this box holds the conductor's lease
	Stragglers []Straggler     `json:"stragglers,omitempty"`
}

// Rollouts returns the state of configurations and roll-outs, as far as this box knows.
func (f *Fleet) Rollouts() Rollouts {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	r := Rollouts{Index: f.node.Ledger().State().Index, Table: rollout.NewTable(), InForce: f.node.InForce(), State: f.node.rollouts.box.State().String(), Stands: f.node.Standing(), Number: f.cfg.BuildNumber,
		Stragglers: f.node.Stragglers(now)}
	if t := f.node.Ledger().State().Rollout; t != nil {
		r.Table = t.Clone()
	}
	if l := f.node.rollouts.conductorLease; l != nil {
		r.Conducts = f.node.Holder().CheckPermit(now, l, 0) == nil
	}
	return r
}

// Body returns the contents of a numbered configuration.
func (f *Fleet) Body(n uint64) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfers == nil {
		return nil, ErrNoConfigs
	}
	t := f.node.Ledger().State().Rollout
	if t == nil || t.Version(n) == nil {
		return nil, rollout.ErrUnknown
	}
	if b := f.transfers.store.Body(t.Version(n).Digest); b != nil {
		return b, nil
	}
	return nil, ErrNoBody
}

// PutConfig checks and stores a configuration and has the fleet assign it a number.
func (f *Fleet) PutConfig(src []byte, caller string) (uint64, error) {
	if f.transfers == nil || f.cfg.CheckConfig == nil {
		return 0, ErrNoConfigs
	}
	if len(src) > rollout.MaxSize {
		return 0, fmt.Errorf("configuration has %d bytes; the limit is %d", len(src), rollout.MaxSize)
	}
	needs, rules, err := f.cfg.CheckConfig(0, src)
	if err != nil {
		return 0, err
	}
	if needs > f.cfg.BuildNumber {
		return 0, fmt.Errorf("configuration needs a build of number %d, but this box runs %d: submit it to a box with a later build", needs, f.cfg.BuildNumber)
	}
	if least := straggler.MinGrace(f.Terms().Term); rules.Grace < least {
		return 0, fmt.Errorf("stragglers: grace of %v is too short; this fleet's lease term requires at least %v, so that an unreachable box has stopped before it is shut out", rules.Grace, least)
	}
	digest, err := f.transfers.store.Put(src)
	if err != nil {
		return 0, err
	}
	var n uint64
	err = f.submitRolloutCommand(rollout.Command{Kind: rollout.Put, Digest: digest, Size: len(src), Needs: needs, Rules: &rules, Caller: caller}, func(t *rollout.Table) {
		for _, v := range t.Versions {
			if v.Digest == digest && v.By == f.cfg.Name {
				n = v.N
			}
		}
	})
	return n, err
}

// StartRollout starts the roll-out of configuration n.
func (f *Fleet) StartRollout(n uint64, p rollout.Plan, caller string) error {
	if err := p.Validate(); err != nil {
		return err
	}
	p.Caller = caller
	return f.submitRolloutCommand(rollout.Command{Kind: rollout.Start, N: n, Plan: &p}, nil)
}

// ChangeRollout holds, resumes or aborts the current roll-out.
func (f *Fleet) ChangeRollout(kind rollout.Kind, why, caller string) error {
	r := f.Rollouts().Table.Current
	if r == nil {
		return ErrNoRollout
	}
	if why != "" {
		caller += ": " + why
	}
	return f.submitRolloutCommand(rollout.Command{Kind: kind, RolloutID: r.ID, Why: caller}, nil)
}

// SetLowest sets the lowest configuration that the fleet allows.
func (f *Fleet) SetLowest(n uint64) error {
	return f.submitRolloutCommand(rollout.Command{Kind: rollout.Lowest, N: n}, nil)
}

// LeavesServiceWhenShutOut reports whether this box is shut out and the fleet's configuration requires such a box to leave service.
func (f *Fleet) LeavesServiceWhenShutOut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.node.Ledger().State().Rollout
	if t == nil || f.node.Standing() != straggler.ShutOut {
		return false
	}
	v := t.Version(t.Target)
	return v != nil && v.Rules.LeaveService
}

// submitRolloutCommand submits an operator's command once and waits for its outcome. On success, after is called with the resulting table.
func (f *Fleet) submitRolloutCommand(c rollout.Command, after func(*rollout.Table)) error {
	var session, seq uint64
	f.update(func(now time.Duration) { session, seq = f.node.SubmitRolloutCommand(now, c) })
	for end := time.Now().Add(operatorTimeout); ; {
		f.mu.Lock()
		known, why := f.node.Outcome(session, seq)
		if known && why == nil && after != nil {
			after(f.node.Ledger().State().Rollout)
		}
		changed := f.changed
		f.mu.Unlock()
		if known {
			return why
		}
		left := time.Until(end)
		if left <= 0 {
			return errors.New("the command was not committed within " + operatorTimeout.String() + "; it may still be: 'cairnctl fleet status' shows why, 'cairnctl fleet config list' whether it was")
		}
		select {
		case <-changed:
		case <-time.After(left):
		}
	}
}
