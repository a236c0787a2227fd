package view

import (
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
)

// Load is one box's part in what its fleet knows of its load, from its own readings to the advice for its module: the same in a process and
// in virtual time. Its clock is the box's own. The zero value is ready; it is not safe for use by several goroutines.
type Load struct {
	exchange Exchange
	meter    Meter
	shedder  shed.Shedder

	Own    Summary
	Sums   shed.Sums
	Advice *shed.Advice  // nil while the fleet's configuration has no rules, or the box is shut out; not changed once it is there
	Level  time.Duration // since when the level is what it is; 0: always
}

// Turn is what a box goes by when it looks at its load.
type Turn struct {
	Place
	Totals Totals
	Rules  *shed.Rules   // nil: the fleet sheds nothing
	Later  time.Duration // the longest that a caller may be asked to stay away
	Said   *probes.Said  // what it has found itself of what all depend on
	Out    bool          // the box is shut out: it says nothing and goes by nothing
}

// Tick is called each Each. It returns what is to be sent.
func (l *Load) Tick(now time.Duration, t Turn) (out []Out) {
	l.Own = l.meter.Read(now, t.Totals)
	l.Own.Said = t.Said
	if !t.Out {
		out = l.exchange.Tick(now, t.Place, l.Own)
	}
	l.Sums = l.exchange.Sums(now, t.Place)
	if t.Rules == nil || t.Out {
		l.Advice, l.shedder = nil, shed.Shedder{}
		return out
	}
	was := l.shedder.Level()
	a := l.shedder.Advise(now, l.Sums, *t.Rules, t.Later)
	if a.Level != was {
		l.Level = now
	}
	l.Advice, l.exchange.level = &a, a.Level
	return out
}

// Take takes what another box says. It tells false for what is left out.
func (l *Load) Take(now time.Duration, from string, m Message, p Place) bool {
	return l.exchange.Take(now, from, m, p)
}
