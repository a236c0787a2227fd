// Package renewal decides when a certificate is renewed, at which authority, and how failures are handled.
// It does no I/O and reads no clock: callers report the current time and events to a Plan, and Next returns the
// next action and its time. One Plan manages one certificate.
//
// Terms are those of RFC 8555 (ACME) and RFC 9773 (ARI, the renewal window that an authority suggests).
package renewal

import (
	"fmt"
	"time"
)

// Certificate describes the certificate in use.
type Certificate struct {
	Serial       string
	NotBefore    time.Time
	NotAfter     time.Time
	Placeholder  bool // self-signed placeholder; it is due for replacement at once
	FromFallback bool // issued by an authority other than the first
}

// Lifetime returns the certificate's total validity period.
func (h Certificate) Lifetime() time.Duration { return h.NotAfter.Sub(h.NotBefore) }

// FailureClass is the kind of a failed attempt. It decides when and where the next attempt is made.
type FailureClass uint8

// The failure classes.
const (
	Transient           FailureClass = iota // unreachable, slow or a server error: retry after a backoff
	RateLimited                             // rate limit: no order before its Retry-After
	RejectedByAuthority                     // this authority does not issue the certificate, another one may
	NeedsOperator                           // every authority fails until an operator changes something
	classCount
)

var classNames = [classCount]string{"transient", "limited", "hopeless at this authority", "needs a person"}

// String returns the name of the class.
func (c FailureClass) String() string { return classNames[c] }

// Outcome is the classified result of a failed attempt.
type Outcome struct {
	Class      FailureClass
	RetryAfter time.Duration // 0 if the authority sent none
}

// Budget limits the orders that are started at one authority.
type Budget struct {
	Hour int // in any 60 minutes
	Week int // in any 168 hours
}

// DefaultBudget stays below the limits of public authorities for one set of names: five failed validations an hour
// and five certificates a week. Week is above five because an order that fails issues no certificate.
var DefaultBudget = Budget{Hour: 4, Week: 40}

// Settings configure a Plan.
type Settings struct {
	Authorities  int            // at least 1; the first is preferred
	Budget       Budget         // at each authority
	WindowOffset float64        // in [0, 1): the box's fixed offset in a renewal window, which spreads a fleet over it
	Jitter       func() float64 // returns a number in [0, 1) that scales the backoff; nil for a constant 0.5
}

// Phase is the state of a Plan.
type Phase uint8

// The phases.
const (
	NotDue   Phase = iota // the certificate is valid and its renewal is not due
	Due                   // the renewal is due: an order may be started
	Ordering              // an order is in progress
	Waiting               // an attempt failed; the retry is not due yet
	phaseCount
)

var phaseNames = [phaseCount]string{"settled", "due", "ordering", "waiting"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Alarm is the severity that is shown to operators.
type Alarm uint8

// The alarms, in order of rising severity.
const (
	NoAlarm  Alarm = iota
	Notice         // a renewal has failed while at least 2/9 of the lifetime is left, or there is no certificate yet
	Warning        // a renewal has failed and less than 2/9 of the lifetime is left, or an operator has to act
	Critical       // less than a tenth of the lifetime or less than an hour is left
	Expired        // the certificate is no longer valid
	alarmCount
)

var alarmNames = [alarmCount]string{"calm", "notice", "warning", "critical", "expired"}

// String returns the name of the alarm.
func (a Alarm) String() string { return alarmNames[a] }

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Wait      ActionKind = iota // do nothing until At
	AskWindow                   // request the suggested renewal window from the first authority
	Order                       // start an order, or resume the recorded one
)

// Action is the next step of a Plan.
type Action struct {
	Kind      ActionKind
	At        time.Time // Wait: latest time of the next call of Next
	Authority int       // Order, AskWindow: index of the authority
	Replaces  bool      // Order: name the current certificate in the order's replaces field
}

const (
	windowAskInterval      = 6 * time.Hour       // between requests of the window, unless the authority sends a Retry-After
	minWindowAskInterval   = time.Minute         // lower bound of the authority's Retry-After
	maxWindowAskInterval   = 24 * time.Hour      // upper bound: a mass revocation is announced by a changed window
	firstBackoff           = 2 * time.Minute     // after the first failure; doubled after each further one
	maxBackoff             = time.Hour           // between attempts
	defaultRateLimitDelay  = time.Hour           // after a rate limit without a Retry-After
	exclusionTime          = 24 * time.Hour      // time for which an authority that rejected an order is excluded
	operatorRetryInterval  = 6 * time.Hour       // between attempts that need an operator, who may have acted in between
	shortLifetime          = 10 * 24 * time.Hour // up to this lifetime, a certificate is renewed when half of it is left, not a third
	failuresBeforeFallback = 3                   // consecutive failures at one authority before another one is used, when the renewal is urgent
)

// Plan decides the renewal of one certificate. Create it with New; the zero value must not be used.
type Plan struct {
	settings Settings

	now            time.Time // time of the last call
	current        Certificate
	hasCertificate bool

	window           Window
	windowAskedAt    time.Time // time of the last window request; zero if none was made
	windowAskAgainAt time.Time

	phase          Phase
	orderAuthority int       // index of the authority of the order in progress
	retryAt        time.Time // Waiting: earliest time of the next attempt
	failures       int       // consecutive, since the last certificate
	needsOperator  bool      // the last failure has class NeedsOperator
	lastClass      FailureClass

	authorities []authorityState
}

// Window is the period in which the authority suggests to start the renewal.
type Window struct{ Start, End time.Time }

// authorityState is the history of one authority.
type authorityState struct {
	orders        []time.Time // start times of the orders of the last week, oldest first; at most Budget.Week
	blockedUntil  time.Time   // no order is started before this time
	excluded      bool        // the authority rejected an order and is excluded until blockedUntil
	failuresInRow int         // consecutive failures
}

// New returns a plan without a certificate, so the first order is due at once.
func New(now time.Time, s Settings) (*Plan, error) {
	if s.Authorities < 1 {
		return nil, fmt.Errorf("renewal: %d authorities configured, at least one is required", s.Authorities)
	}
	if s.Budget.Hour < 1 || s.Budget.Week < s.Budget.Hour {
		return nil, fmt.Errorf("renewal: invalid budget of %d orders an hour and %d a week: the hourly budget must be at least 1 and at most the weekly one",
			s.Budget.Hour, s.Budget.Week)
	}
	if s.WindowOffset < 0 || s.WindowOffset >= 1 {
		return nil, fmt.Errorf("renewal: window offset %v is out of range [0, 1)", s.WindowOffset)
	}
	if s.Jitter == nil {
		s.Jitter = func() float64 { return 0.5 }
	}
	return &Plan{settings: s, now: now, phase: Due, authorities: make([]authorityState, s.Authorities)}, nil
}

// Phase returns the current phase.
func (p *Plan) Phase() Phase { return p.phase }

// Failures returns the number of consecutive failed attempts.
func (p *Plan) Failures() int { return p.failures }

// Current returns the certificate in use; the second result is false if there is none.
func (p *Plan) Current() (Certificate, bool) { return p.current, p.hasCertificate }

// CertificateIssued reports a certificate that was installed, at the start of the process or after an order.
func (p *Plan) CertificateIssued(now time.Time, certificate Certificate) {
	p.advanceClock(now)
	if p.phase == Ordering {
		p.authorities[p.orderAuthority].failuresInRow = 0
	}
	p.current, p.hasCertificate = certificate, true
	p.window, p.windowAskedAt, p.windowAskAgainAt = Window{}, time.Time{}, time.Time{}
	p.phase, p.failures, p.needsOperator, p.retryAt = NotDue, 0, false, time.Time{}
}

// SetWindow sets the window that the authority suggests and the time until the next request for it, 0 if the
// authority sent none. A window that does not end after its start counts as none.
func (p *Plan) SetWindow(now time.Time, w Window, askAgainAfter time.Duration) {
	p.advanceClock(now)
	if !w.End.After(w.Start) {
		w = Window{}
	}
	p.window, p.windowAskedAt = w, now
	if askAgainAfter == 0 {
		askAgainAfter = windowAskInterval
	}
	p.windowAskAgainAt = now.Add(min(max(askAgainAfter, minWindowAskInterval), maxWindowAskInterval))
}

// WindowFailed reports that the request for the window failed.
func (p *Plan) WindowFailed(now time.Time) {
	p.advanceClock(now)
	p.windowAskedAt, p.windowAskAgainAt = now, now.Add(windowAskInterval)
}

// OrderStarted reports the start of an order, which counts against the budget. A resumed order was counted when it was
// first started and does not count again.
func (p *Plan) OrderStarted(now time.Time, authority int, resumed bool) {
	p.advanceClock(now)
	p.phase, p.orderAuthority = Ordering, authority
	if !resumed {
		a := &p.authorities[authority]
		a.orders = append(a.orders, now)
		if extra := len(a.orders) - p.settings.Budget.Week; extra > 0 {
			a.orders = append(a.orders[:0], a.orders[extra:]...)
		}
	}
}

// RestoreOrder restores an order that was started before a restart, so that it still counts against the budget.
func (p *Plan) RestoreOrder(authority int, begun time.Time) {
	if authority < 0 || authority >= len(p.authorities) || begun.After(p.now) {
		return
	}
	a := &p.authorities[authority]
	a.orders = append(a.orders, begun)
}

// OrderFailed reports that the order in progress ended without a certificate.
func (p *Plan) OrderFailed(now time.Time, a Outcome) {
	p.advanceClock(now)
	if p.phase != Ordering {
		return
	}
	authority := &p.authorities[p.orderAuthority]
	authority.failuresInRow++
	p.failures++
	p.lastClass, p.needsOperator = a.Class, a.Class == NeedsOperator
	backoff := p.backoff(authority.failuresInRow)
	switch a.Class {
	case RateLimited:
		wait := a.RetryAfter
		if wait <= 0 {
			wait = defaultRateLimitDelay
		}
		p.block(authority, now.Add(wait), false)
	case RejectedByAuthority:
		p.block(authority, now.Add(max(a.RetryAfter, exclusionTime)), true)
	case NeedsOperator:
		backoff = operatorRetryInterval
		p.block(authority, now.Add(a.RetryAfter), false)
	default:
		p.block(authority, now.Add(a.RetryAfter), false)
	}
	p.phase, p.retryAt = Waiting, now.Add(backoff)
	if a.Class == RateLimited || a.Class == RejectedByAuthority { // this authority is blocked, and another one needs no backoff
		p.retryAt = now
	}
}

// block allows no order at an authority before until.
func (p *Plan) block(authority *authorityState, until time.Time, excluded bool) {
	if until.After(authority.blockedUntil) {
		authority.blockedUntil = until
	}
	authority.excluded = excluded
}

// backoff returns the time to the next attempt after consecutive failures. It doubles with each failure up to
// maxBackoff, is limited to a sixteenth of the remaining validity but not below firstBackoff, and is then scaled by
// jitter to between half and all of it.
func (p *Plan) backoff(failuresInRow int) time.Duration {
	d := firstBackoff << min(failuresInRow-1, 10)
	d = min(d, maxBackoff)
	if left := p.remaining(p.now); p.hasCertificate && left > 0 {
		d = min(d, max(left/16, firstBackoff))
	}
	return d/2 + time.Duration(p.settings.Jitter()*float64(d)/2)
}

// advanceClock sets the current time. If the clock stepped back, all stored times move back by the same amount, so
// that no wait becomes longer and no recorded order lies in the future.
func (p *Plan) advanceClock(now time.Time) {
	if step := p.now.Sub(now); step > 0 {
		for _, t := range []*time.Time{&p.retryAt, &p.windowAskAgainAt, &p.windowAskedAt} {
			if !t.IsZero() {
				*t = t.Add(-step)
			}
		}
		for i := range p.authorities {
			a := &p.authorities[i]
			if !a.blockedUntil.IsZero() {
				a.blockedUntil = a.blockedUntil.Add(-step)
			}
			for j := range a.orders {
				a.orders[j] = a.orders[j].Add(-step)
			}
		}
	}
	p.now = now
}

// remaining returns the remaining validity of the certificate, 0 without one.
func (p *Plan) remaining(now time.Time) time.Duration {
	if !p.hasCertificate {
		return 0
	}
	return p.current.NotAfter.Sub(now)
}

// DueAt returns the time at which the renewal starts. Without a window of the authority, this is when a third of the
// lifetime is left (half of a short lifetime), up to a twelfth of the lifetime earlier depending on
// Settings.WindowOffset.
// A window takes precedence, but the renewal starts at the latest when a sixth of the lifetime is left: a wrong
// window must not let the certificate expire.
func (p *Plan) DueAt() time.Time {
	if !p.hasCertificate || p.current.Placeholder {
		return time.Time{}
	}
	life := p.current.Lifetime()
	beforeEnd := life / 3
	if life <= shortLifetime {
		beforeEnd = life / 2
	}
	at := p.current.NotAfter.Add(-beforeEnd - time.Duration((1-p.settings.WindowOffset)*float64(life/12)))
	if !p.window.End.IsZero() {
		span := p.window.End.Sub(p.window.Start)
		at = p.window.Start.Add(time.Duration(p.settings.WindowOffset * float64(span)))
		if last := p.current.NotAfter.Add(-life / 6); at.After(last) {
			at = last
		}
	}
	return at
}

// urgent reports whether another authority is preferred to another attempt at the same one: less than a sixth of
// the lifetime is left, or less than a third of a short one, which is the time for which two authorities may be
// excluded one after the other.
func (p *Plan) urgent(now time.Time) bool {
	threshold := p.current.Lifetime() / 6
	if p.current.Lifetime() <= shortLifetime {
		threshold *= 2
	}
	return !p.hasCertificate || p.current.Placeholder || p.remaining(now) < threshold
}

// Alarm returns the alarm at a time.
func (p *Plan) Alarm(now time.Time) Alarm {
	if !p.hasCertificate {
		if p.failures > 0 {
			return Critical
		}
		return Notice
	}
	left, life := p.remaining(now), p.current.Lifetime()
	switch {
	case left <= 0:
		return Expired
	case p.current.Placeholder:
		return Warning
	case left < life/10 || left < time.Hour:
		return Critical
	case p.needsOperator || p.failures > 0 && left < life*2/9:
		return Warning
	case p.failures > 0:
		return Notice
	}
	return NoAlarm
}

// Next returns the next action. It may be called at any time: a call sets the clock and the phase and drops expired
// entries, and starts nothing.
func (p *Plan) Next(now time.Time) Action {
	p.advanceClock(now)
	due := p.DueAt()
	if p.phase == NotDue && !now.Before(due) {
		p.phase = Due
	}
	if p.phase == Due && now.Before(due) { // the window has moved
		p.phase = NotDue
	}
	asksWindow := p.hasCertificate && !p.current.Placeholder && !p.current.FromFallback && p.remaining(now) > 0
	switch p.phase {
	case Ordering:
		return Action{Kind: Order, Authority: p.orderAuthority, Replaces: p.canReplace(p.orderAuthority)}
	case NotDue:
		if asksWindow && !now.Before(p.windowAskAgainAt) {
			return Action{Kind: AskWindow}
		}
		at := due
		if asksWindow && p.windowAskAgainAt.Before(at) {
			at = p.windowAskAgainAt
		}
		return Action{Kind: Wait, At: at}
	case Waiting:
		if now.Before(p.retryAt) {
			return Action{Kind: Wait, At: p.retryAt}
		}
	}
	best, at := p.chooseAuthority(now)
	if now.Before(at) {
		return Action{Kind: Wait, At: at}
	}
	return Action{Kind: Order, Authority: best, Replaces: p.canReplace(best)}
}

// canReplace reports whether an order at an authority can name the certificate that it replaces. Only the authority
// that issued the certificate accepts that.
func (p *Plan) canReplace(authority int) bool {
	return p.hasCertificate && !p.current.Placeholder && !p.current.FromFallback && authority == 0
}

// chooseAuthority returns the authority of the next order and the earliest time of that order. The first authority
// is preferred. Another one is chosen if the first is excluded, or if the renewal is urgent and the first either has
// failed failuresBeforeFallback times in a row and more often than the other, or accepts an order only later.
func (p *Plan) chooseAuthority(now time.Time) (best int, at time.Time) {
	for i := range p.authorities {
		a := &p.authorities[i]
		if a.excluded && !now.Before(a.blockedUntil) {
			a.excluded, a.failuresInRow = false, 0
		}
	}
	best = -1
	for i := range p.authorities {
		a, free := &p.authorities[i], p.nextOrderTime(i, now)
		switch {
		case best < 0:
			best, at = i, free
		case p.authorities[best].excluded && !a.excluded:
			best, at = i, free
		case a.excluded && !p.authorities[best].excluded:
		case !p.urgent(now):
		case p.authorities[best].failuresInRow >= failuresBeforeFallback && a.failuresInRow < p.authorities[best].failuresInRow && !free.After(latest(at, now)):
			best, at = i, free
		case free.Before(at) && at.After(now):
			best, at = i, free
		}
	}
	return best, at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextOrderTime returns the earliest time of an order at an authority: within the budget and not before blockedUntil.
func (p *Plan) nextOrderTime(i int, now time.Time) time.Time {
	authority := &p.authorities[i]
	for len(authority.orders) > 0 && !now.Before(authority.orders[0].Add(week)) {
		authority.orders = authority.orders[1:]
	}
	at := authority.blockedUntil
	if n := len(authority.orders) - p.settings.Budget.Week; n >= 0 {
		at = latest(at, authority.orders[n].Add(week))
	}
	if n := len(authority.orders) - p.settings.Budget.Hour; n >= 0 {
		at = latest(at, authority.orders[n].Add(time.Hour))
	}
	return at
}

const week = 7 * 24 * time.Hour
