package fleet

import (
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/straggler"
)

// Errors of operators' commands.
var (
	ErrNoConfigs = errors.New("this box keeps no configurations of the fleet")
	ErrNoBody    = errors.New("the contents of this configuration are not on this box yet; ask again in a moment, or ask the box that took it ('cairnctl fleet config list' names it)")
	ErrNoRoll    = errors.New("no roll-out is under way")
)

// Rollouts is what a box knows of configurations and their roll-outs.
type Rollouts struct {
	Table      *rollout.Table  `json:"table"`
	Index      uint64          `json:"index"`    // of the ledger on this box
	InForce    uint64          `json:"in_force"` // on this box
	State      string          `json:"state"`    // of this box
	Stands     straggler.State `json:"stands"`
	Number     uint64          `json:"build_number"`
	Conducts   bool            `json:"conducts"` // this box conducts
	Stragglers []Straggler     `json:"stragglers,omitempty"`
}

// Rollouts tells how roll-outs stand, as far as this box knows.
func (f *Fleet) Rollouts() Rollouts {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	r := Rollouts{Index: f.node.Ledger().State().Index, Table: rollout.NewTable(), InForce: f.node.InForce(), State: f.node.changes.box.State().String(), Stands: f.node.Stands(), Number: f.cfg.Number,
		Stragglers: f.node.Stragglers(now)}
	if t := f.node.Ledger().State().Rollout; t != nil {
		r.Table = t.Clone()
	}
	if l := f.node.changes.lead; l != nil {
		r.Conducts = f.node.Holder().May(now, l, 0) == nil
	}
	return r
}

// Body returns the contents of a numbered configuration.
func (f *Fleet) Body(n uint64) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		return nil, ErrNoConfigs
	}
	t := f.node.Ledger().State().Rollout
	if t == nil || t.Version(n) == nil {
		return nil, rollout.ErrUnknown
	}
	if b := f.versions.store.Body(t.Version(n).Digest); b != nil {
		return b, nil
	}
	return nil, ErrNoBody
}

// PutConfig checks a configuration, keeps it and has the fleet number it.
func (f *Fleet) PutConfig(src []byte, caller string) (uint64, error) {
	if f.versions == nil || f.cfg.Check == nil {
		return 0, ErrNoConfigs
	}
	if len(src) > rollout.SizeMost {
		return 0, fmt.Errorf("the configuration has %d bytes; %d are the most", len(src), rollout.SizeMost)
	}
	needs, rules, err := f.cfg.Check(0, src)
	if err != nil {
		return 0, err
	}
	if needs > f.cfg.Number {
		return 0, fmt.Errorf("the configuration needs a build of number %d, and this box's is %d: give it to a later one", needs, f.cfg.Number)
	}
	if least := straggler.LeastGrace(f.Terms().Term); rules.Grace < least {
		return 0, fmt.Errorf("stragglers: the grace is %v; with this fleet's leases it must be %v at the least, so that a box that cannot hear has stopped before it is shut out", rules.Grace, least)
	}
	digest, err := f.versions.store.Put(src)
	if err != nil {
		return 0, err
	}
	var n uint64
	err = f.say(rollout.Command{Kind: rollout.Put, Digest: digest, Size: len(src), Needs: needs, Rules: &rules, Caller: caller}, func(t *rollout.Table) {
		for _, v := range t.Versions {
			if v.Digest == digest && v.By == f.cfg.Name {
				n = v.N
			}
		}
	})
	return n, err
}

// StartRoll begins a roll-out.
func (f *Fleet) StartRoll(n uint64, p rollout.Plan, caller string) error {
	if err := p.Check(); err != nil {
		return err
	}
	p.Caller = caller
	return f.say(rollout.Command{Kind: rollout.Start, N: n, Plan: &p}, nil)
}

// ChangeRoll holds, resumes or aborts the roll-out that runs.
func (f *Fleet) ChangeRoll(kind rollout.Kind, why, caller string) error {
	r := f.Rollouts().Table.Roll
	if r == nil {
		return ErrNoRoll
	}
	if why != "" {
		caller += ": " + why
	}
	return f.say(rollout.Command{Kind: kind, Roll: r.ID, Why: caller}, nil)
}

// SetLowest has the fleet allow no lower number.
func (f *Fleet) SetLowest(n uint64) error {
	return f.say(rollout.Command{Kind: rollout.Lowest, N: n}, nil)
}

// Leaves tells whether this box is shut out of a fleet whose configuration has it leave service then.
func (f *Fleet) Leaves() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.node.Ledger().State().Rollout
	if t == nil || f.node.Stands() != straggler.Out {
		return false
	}
	v := t.Version(t.Target)
	return v != nil && v.Rules.Leave
}

// say has the ledger take an operator's command, once, and waits for what comes of it. after looks at the table then.
func (f *Fleet) say(c rollout.Command, after func(*rollout.Table)) error {
	var session, seq uint64
	f.with(func(now time.Duration) { session, seq = f.node.Carry(now, c) })
	for end := time.Now().Add(operatorTime); ; {
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
			return errors.New("the fleet has not agreed on it within " + operatorTime.String() + "; it may still do so: 'cairnctl fleet status' says why, 'cairnctl fleet config list' whether it did")
		}
		select {
		case <-changed:
		case <-time.After(left):
		}
	}
}
