package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/decide/straggler"
	"cairnlane/internal/fleet/view"
)

// loadState is the box's part in the exchange of load within the fleet. Code that serves requests gets the result as a value and never waits.
type loadState struct {
	view.Load
	rules        *shed.Rules // of the configuration in force
	configNumber uint64      // its number

	pacing *Pacing
}

// LoadStatus describes the load of the fleet, as far as this box knows.
type LoadStatus struct {
	Own    view.Summary `json:"own"`
	Fleet  shed.Sums    `json:"fleet"`
	Rules  *shed.Rules  `json:"rules,omitempty"` // nil: the configuration in force has no overload rules
	Advice *shed.Advice `json:"advice,omitempty"`
	Since  string       `json:"level_since,omitempty"`
	// Refused counts the requests that this box rejected on the fleet's advice.
	Refused RejectionCounts `json:"refused"`
	Pacing  *Pacing         `json:"pacing,omitempty"`
}

// RejectionCounts counts rejections on the fleet's advice, by reason.
type RejectionCounts struct {
	OverShare  int64 `json:"over_share"`
	LowClass   int64 `json:"low_class"`
	OverBudget int64 `json:"beyond_tries"`
}

// Load returns the load of the fleet, as far as this box knows.
func (f *Fleet) Load() LoadStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := LoadStatus{Own: f.load.Own, Fleet: f.load.Sums, Rules: f.load.rules, Advice: f.load.Advice, Pacing: f.load.pacing, Refused: RejectionCounts{f.counters.Get("refused_over_share").Load(), f.counters.Get("refused_low_class").Load(), f.counters.Get("refused_beyond_tries").Load()}}
	if f.load.LevelChanged != 0 {
		s.Since = (f.cfg.Now() - f.load.LevelChanged).Round(time.Second).String()
	}
	return s
}

// membership returns the membership recorded in the ledger. Boxes that are shut out do not count as members.
func (f *Fleet) membership() view.Membership {
	st := f.node.Ledger().State()
	p := view.Membership{Self: f.cfg.Name, Session: f.node.Holder().Session(), Known: len(st.Table.CurrentSessions), Member: func(box string) bool {
		return st.Table.CurrentSessions[box] != 0 && !st.Table.Barred[box]
	}}
	for name, v := range st.Voters {
		if !v.Learner && p.Member(name) {
			p.Relays = append(p.Relays, name)
		}
	}
	for name := range st.Table.Barred {
		if st.Table.CurrentSessions[name] != 0 {
			p.Known--
		}
	}
	return p
}

// refreshRules reads the rules again if another configuration is in force.
func (f *Fleet) refreshRules() {
	l := &f.load
	if n := f.node.InForce(); n != l.configNumber {
		l.configNumber, l.rules = n, nil
		if n == 0 || f.cfg.Overload == nil || f.transfers == nil {
			return
		}
		if now := f.transfers.store.InForce(); now.N == n {
			l.rules = f.cfg.Overload(n, f.transfers.store.Body(now.Digest))
		} else {
			l.configNumber = 0 // the store is changing just now: read again at the next call
		}
	}
}

// publishLoad publishes this box's load at each interval and passes on the resulting advice.
func (f *Fleet) publishLoad(ctx context.Context) {
	tick := time.NewTicker(view.ExchangeInterval)
	defer tick.Stop()
	var lease proberLease
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		totals := f.cfg.Load()
		f.mu.Lock()
		f.refreshRules()
		now, p, rules := f.cfg.Now(), f.membership(), f.load.rules
		findings := f.load.Sums.Reports
		f.mu.Unlock()
		var finding *probes.FindingReport
		if f.cfg.Pacer != nil {
			boxes := 1
			if rules != nil {
				boxes = p.Known
			}
			isProber := lease.update(f, now, rules != nil && slices.Contains(p.Relays, p.Self))
			finding = f.cfg.Pacer.exchange(boxes, isProber, findings)
			pacing := f.cfg.Pacer.status(isProber)
			f.mu.Lock()
			f.load.pacing = &pacing
			f.mu.Unlock()
		}
		f.mu.Lock()
		out := f.load.Tick(f.cfg.Now(), view.TickInputs{Membership: p, Totals: totals, Rules: rules, MaxRetryDelay: f.cfg.MaxRetryDelay, Finding: finding, ShutOut: f.node.Standing() == straggler.ShutOut})
		advice := f.load.Advice
		f.mu.Unlock()
		if f.cfg.OnAdvice != nil {
			f.cfg.OnAdvice(advice)
		}
		for _, o := range out {
			if raw, err := cbor.Marshal(o.Message); err == nil {
				f.links.Send(o.To, kindLoad, raw)
			}
		}
	}
}

// receiveLoad handles a load message of another box.
func (f *Fleet) receiveLoad(now time.Duration, from string, m view.Message) {
	if !f.load.Take(now, from, m, f.membership()) {
		f.messagesLost.Inc()
	}
}
