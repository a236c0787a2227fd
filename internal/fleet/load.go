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

// load is a box's part in what its fleet knows of its load. Serving takes what comes of it as a value, and waits for none of it.
type load struct {
	view.Load
	rules *shed.Rules // of the configuration that is in force
	n     uint64      // its number

	pacing *Pacing
}

// LoadStatus is how the fleet is loaded, as a box knows it.
type LoadStatus struct {
	Own    view.Summary `json:"own"`
	Fleet  shed.Sums    `json:"fleet"`
	Rules  *shed.Rules  `json:"rules,omitempty"` // nil: the configuration that is in force has the fleet shed nothing
	Advice *shed.Advice `json:"advice,omitempty"`
	Since  string       `json:"level_since,omitempty"`
	// Refused counts what this box has refused by the fleet's word.
	Refused Refused `json:"refused"`
	Pacing  *Pacing `json:"pacing,omitempty"`
}

// Refused counts refusals by the fleet's word.
type Refused struct {
	OverShare int64 `json:"over_share"`
	LowClass  int64 `json:"low_class"`
	Beyond    int64 `json:"beyond_tries"`
}

// Load tells how the fleet is loaded.
func (f *Fleet) Load() LoadStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := LoadStatus{Own: f.load.Own, Fleet: f.load.Sums, Rules: f.load.rules, Advice: f.load.Advice, Pacing: f.load.pacing, Refused: Refused{f.set.Get("refused_over_share").Load(), f.set.Get("refused_low_class").Load(), f.set.Get("refused_beyond_tries").Load()}}
	if f.load.Level != 0 {
		s.Since = (f.cfg.Now() - f.load.Level).Round(time.Second).String()
	}
	return s
}

// place is what the ledger says of who there is. Boxes that are shut out are not believed.
func (f *Fleet) place() view.Place {
	st := f.node.Ledger().State()
	p := view.Place{Self: f.cfg.Name, Session: f.node.Holder().Session(), Known: len(st.Table.Names), Member: func(box string) bool {
		return st.Table.Names[box] != 0 && !st.Table.Barred[box]
	}}
	for name, v := range st.Voters {
		if !v.Learner && p.Member(name) {
			p.Relays = append(p.Relays, name)
		}
	}
	for name := range st.Table.Barred {
		if st.Table.Names[name] != 0 {
			p.Known--
		}
	}
	return p
}

// overload reads the rules anew when another configuration is in force.
func (f *Fleet) overload() {
	l := &f.load
	if n := f.node.InForce(); n != l.n {
		l.n, l.rules = n, nil
		if n == 0 || f.cfg.Overload == nil || f.versions == nil {
			return
		}
		if now := f.versions.store.InForce(); now.N == n {
			l.rules = f.cfg.Overload(n, f.versions.store.Body(now.Digest))
		} else {
			l.n = 0 // it changes just now
		}
	}
}

// tellLoad says how this box is loaded, and hears of the others.
func (f *Fleet) tellLoad(ctx context.Context) {
	tick := time.NewTicker(view.Each)
	defer tick.Stop()
	var who prober
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		totals := f.cfg.Load()
		f.mu.Lock()
		f.overload()
		now, p, rules := f.cfg.Now(), f.place(), f.load.rules
		heard := f.load.Sums.Said
		f.mu.Unlock()
		var said *probes.Said
		if f.cfg.Pacer != nil {
			boxes := 1
			if rules != nil {
				boxes = p.Known
			}
			probes := who.turn(f, now, rules != nil && slices.Contains(p.Relays, p.Self))
			said = f.cfg.Pacer.turn(boxes, probes, heard)
			pacing := f.cfg.Pacer.status(probes)
			f.mu.Lock()
			f.load.pacing = &pacing
			f.mu.Unlock()
		}
		f.mu.Lock()
		out := f.load.Tick(f.cfg.Now(), view.Turn{Place: p, Totals: totals, Rules: rules, Later: f.cfg.Later, Said: said, Out: f.node.Stands() == straggler.Out})
		advice := f.load.Advice
		f.mu.Unlock()
		if f.cfg.Advise != nil {
			f.cfg.Advise(advice)
		}
		for _, o := range out {
			if raw, err := cbor.Marshal(o.Message); err == nil {
				f.links.Send(o.To, kindLoad, raw)
			}
		}
	}
}

// hearLoad takes what another box says of its load.
func (f *Fleet) hearLoad(now time.Duration, from string, m view.Message) {
	if !f.load.Take(now, from, m, f.place()) {
		f.lost.Inc()
	}
}
