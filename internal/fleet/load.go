package fleet

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/decide/shed"
	"cairnlane/internal/decide/straggler"
	"cairnlane/internal/fleet/view"
)

// load is a box's part in what its fleet knows of its load; f.mu is held for all of it. What comes of it is shown and acted upon by nobody
// yet: serving knows nothing of it.
type load struct {
	exchange view.Exchange
	meter    view.Meter
	shedder  shed.Shedder
	own      view.Summary
	advice   shed.Advice
	sums     shed.Sums
	level    time.Duration // since when the level is what it is
}

// LoadStatus is how the fleet is loaded, as a box knows it.
type LoadStatus struct {
	Own    view.Summary `json:"own"`
	Fleet  shed.Sums    `json:"fleet"`
	Advice shed.Advice  `json:"advice"`
	Since  string       `json:"level_since,omitempty"`
}

// Load tells how the fleet is loaded.
func (f *Fleet) Load() LoadStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := LoadStatus{Own: f.load.own, Fleet: f.load.sums, Advice: f.load.advice}
	if f.load.level != 0 {
		s.Since = (f.cfg.Now() - f.load.level).Round(time.Second).String()
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

// laterMost is the longest that a caller would be asked to stay away for.
const laterMost = 10 * time.Second

// tellLoad says how this box is loaded, and hears of the others.
func (f *Fleet) tellLoad(ctx context.Context) {
	tick := time.NewTicker(view.Each)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		totals := f.cfg.Load()
		f.mu.Lock()
		now, l := f.cfg.Now(), &f.load
		l.own = l.meter.Read(now, totals)
		p := f.place()
		var out []view.Out
		if f.node.Stands() != straggler.Out {
			out = l.exchange.Tick(now, p, l.own)
		}
		l.sums = l.exchange.Sums(now, p)
		was := l.advice.Level
		if l.advice = l.shedder.Advise(now, l.sums, laterMost); l.advice.Level != was {
			l.level = now
		}
		f.mu.Unlock()
		for _, o := range out {
			if raw, err := cbor.Marshal(o.Message); err == nil {
				f.links.Send(o.To, kindLoad, raw)
			}
		}
	}
}

// hearLoad takes what another box says of its load.
func (f *Fleet) hearLoad(now time.Duration, from string, m view.Message) {
	if !f.load.exchange.Take(now, from, m, f.place()) {
		f.lost.Inc()
	}
}
