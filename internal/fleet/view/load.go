package view

import (
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
)

// Load derives one box's advice from its own readings and the exchange with the fleet. The same code runs in a process and in virtual time.
// Its clock is the box's own. The zero value is ready to use; it is not safe for concurrent use.
type Load struct {
	exchange Exchange
	meter    Meter
	shedder  shed.Shedder

	Own    Summary
	Sums   shed.Sums
	Advice *shed.Advice  // nil while the configuration has no rules or the box is shut out; immutable
	Level  time.Duration // time of the last change of the level; 0: it has not changed
}

// Turn holds the inputs of one Tick.
type Turn struct {
	Place
	Totals Totals
	Rules  *shed.Rules   // nil: the fleet has no overload rules
	Later  time.Duration // longest retry delay that a caller may be given
	Said   *probes.Said  // the box's own finding about the shared dependency
	Out    bool          // the box is shut out: it sends nothing and has no advice
}

// Tick must be called at each interval Each. It returns the messages to be sent.
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

// Take handles another box's message. It returns false for a rejected one.
func (l *Load) Take(now time.Duration, from string, m Message, p Place) bool {
	return l.exchange.Take(now, from, m, p)
}
