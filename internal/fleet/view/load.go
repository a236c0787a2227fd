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

	Own          Summary
	Sums         shed.Sums
	Advice       *shed.Advice  // nil while the configuration has no rules or the box is shut out; immutable
	LevelChanged time.Duration // time of the last change of the level; 0: it has not changed
}

// TickInputs holds the inputs of one Tick.
type TickInputs struct {
	Membership
	Totals        Totals
	Rules         *shed.Rules           // nil: the fleet has no overload rules
	MaxRetryDelay time.Duration         // longest retry delay that a caller may be given
	Finding       *probes.FindingReport // the box's own finding about the shared dependency
	ShutOut       bool                  // the box is shut out: it sends nothing and has no advice
}

// Tick must be called once per ExchangeInterval. It returns the messages to be sent.
func (l *Load) Tick(now time.Duration, t TickInputs) (out []OutgoingMessage) {
	l.Own = l.meter.Read(now, t.Totals)
	l.Own.Finding = t.Finding
	if !t.ShutOut {
		out = l.exchange.Tick(now, t.Membership, l.Own)
	}
	l.Sums = l.exchange.Sums(now, t.Membership)
	if t.Rules == nil || t.ShutOut {
		l.Advice, l.shedder = nil, shed.Shedder{}
		return out
	}
	was := l.shedder.Level()
	a := l.shedder.Advise(now, l.Sums, *t.Rules, t.MaxRetryDelay)
	if a.Level != was {
		l.LevelChanged = now
	}
	l.Advice, l.exchange.level = &a, a.Level
	return out
}

// Take handles another box's message. It returns false for a rejected one.
func (l *Load) Take(now time.Duration, from string, m Message, p Membership) bool {
	return l.exchange.Take(now, from, m, p)
}
