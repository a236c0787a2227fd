// Package renewal decides when a certificate is renewed, at which authority, and what is done when that fails.
// It does no I/O and reads no clock: a Plan takes the time and what has happened, and Next says what is to be
// done and when. One Plan keeps one certificate.
//
// Terms are those of RFC 8555 (ACME) and RFC 9773 (ARI, the renewal window that an authority suggests).
package renewal

import (
	"fmt"
	"time"
)

// Held is the certificate in use.
type Held struct {
	Serial     string
	NotBefore  time.Time
	NotAfter   time.Time
	Stopgap    bool // self-signed until the first one comes; it is replaced at once
	FromSecond bool // it came from an authority that is not the first
}

// Lifetime is how long it is good for in all.
func (h Held) Lifetime() time.Duration { return h.NotAfter.Sub(h.NotBefore) }

// Class sorts the failed attempts.
type Class uint8

// The classes.
const (
	Transient Class = iota // down, slow, an error of the server: the same again later
	Limited                // a rate limit: not before its Retry-After
	Hopeless               // this authority will not issue this: another one may
	Person                 // the same at any authority until somebody changes something
	classes
)

var classNames = [classes]string{"transient", "limited", "hopeless at this authority", "needs a person"}

// String names the class.
func (c Class) String() string { return classNames[c] }

// Answer is how an attempt failed.
type Answer struct {
	Class      Class
	RetryAfter time.Duration // 0 if the authority did not say
}

// Budget bounds the orders that are begun at one authority, whatever happens.
type Budget struct {
	Hour int // in any 60 minutes
	Week int // in any 168 hours
}

// DefaultBudget stays under what public authorities allow for one set of names: five failed validations an hour,
// five certificates a week. Weekly is above five as most attempts of a bad week issue none.
var DefaultBudget = Budget{Hour: 4, Week: 40}

// Settings are what a Plan is told once.
type Settings struct {
	Authorities int     // at least 1; the first is preferred
	Budget      Budget  // at each authority
	Place       float64 // 0 to under 1: the box's own place in a window, so that a fleet is spread over it
	Jitter      func() float64
}

// Phase is where a Plan stands. The phases are exclusive.
type Phase uint8

// The phases.
const (
	Settled  Phase = iota // the certificate is good and its time has not come
	Due                   // its time has come: an order may be begun
	Ordering              // an order is on its way
	Waiting               // an attempt failed; the next one is not due yet
	phases
)

var phaseNames = [phases]string{"settled", "due", "ordering", "waiting"}

// String names the phase.
func (p Phase) String() string { return phaseNames[p] }

// Alarm is how worried the operators should be.
type Alarm uint8

// The alarms, in rising order.
const (
	Calm     Alarm = iota
	Notice         // renewing has failed, and there is plenty of time
	Warning        // a third of the time in which it is renewed is over, or somebody has to act
	Critical       // a tenth of the lifetime is left, or an hour
	Expired        // it is not good any more
	alarms
)

var alarmNames = [alarms]string{"calm", "notice", "warning", "critical", "expired"}

// String names the alarm.
func (a Alarm) String() string { return alarmNames[a] }

// Kind says what is to be done.
type Kind uint8

// The kinds of actions.
const (
	Wait  Kind = iota // nothing until At
	Ask               // ask the first authority for its window
	Order             // begin an order, or go on with the one that is recorded
)

// Action is the next step.
type Action struct {
	Kind      Kind
	At        time.Time // Wait: when to ask Next again, at the latest
	Authority int       // Order, Ask: which one
	Replaces  bool      // Order: name the present certificate as replaced
}

const (
	askEvery   = 6 * time.Hour   // the window, unless the authority says when
	askLeast   = time.Minute     // however soon it says
	askMost    = 24 * time.Hour  // and however late: a mass revocation is learned of by it
	firstPause = 2 * time.Minute // after the first failure; doubled for each further one
	mostPause  = time.Hour       // between attempts
	limitPause = time.Hour       // after a limit that did not say for how long
	outTime    = 24 * time.Hour  // for which an authority that is hopeless is left out
	handTime   = 6 * time.Hour   // between attempts that need a person: somebody may have acted
	shortLife  = 10 * 24 * time.Hour
	otherAfter = 3 // failures in a row at one authority until another one is tried, when time presses
)

// Plan keeps one certificate. The zero value is not ready; New makes one.
type Plan struct {
	set Settings

	now  time.Time // of the last call
	held Held
	have bool

	window   Window
	asked    time.Time // when the window was last asked for; zero if never
	askAgain time.Time

	phase    Phase
	at       int       // the authority of the order on its way
	next     time.Time // Waiting: not before
	failures int       // in a row, since the last certificate
	person   bool      // the last failure needs one
	lastOf   Class

	places []place
}

// Window is a span in which the authority would like the renewal to begin.
type Window struct{ Start, End time.Time }

// place is what is remembered of one authority.
type place struct {
	begun    []time.Time // orders of the last week, oldest first; bounded by the budget
	notUntil time.Time   // limited, or left out
	out      bool        // left out as hopeless until then
	row      int         // failures in a row
}

// New makes a plan without a certificate: one is due at once.
func New(now time.Time, s Settings) (*Plan, error) {
	if s.Authorities < 1 {
		return nil, fmt.Errorf("renewal: %d authorities, at least one is needed", s.Authorities)
	}
	if s.Budget.Hour < 1 || s.Budget.Week < s.Budget.Hour {
		return nil, fmt.Errorf("renewal: a budget of %d orders an hour and %d a week; at least one an hour, and no fewer a week",
			s.Budget.Hour, s.Budget.Week)
	}
	if s.Place < 0 || s.Place >= 1 {
		return nil, fmt.Errorf("renewal: place %v is not from 0 to under 1", s.Place)
	}
	if s.Jitter == nil {
		s.Jitter = func() float64 { return 0.5 }
	}
	return &Plan{set: s, now: now, phase: Due, places: make([]place, s.Authorities)}, nil
}

// Phase tells where the plan stands.
func (p *Plan) Phase() Phase { return p.phase }

// Failures tells how many attempts in a row have failed.
func (p *Plan) Failures() int { return p.failures }

// Held tells what is in use.
func (p *Plan) Held() (Held, bool) { return p.held, p.have }

// Issued takes a certificate into use, at a start or after an order.
func (p *Plan) Issued(now time.Time, h Held) {
	p.clock(now)
	if p.phase == Ordering {
		p.places[p.at].row = 0
	}
	p.held, p.have = h, true
	p.window, p.asked, p.askAgain = Window{}, time.Time{}, time.Time{}
	p.phase, p.failures, p.person, p.next = Settled, 0, false, time.Time{}
}

// Suggested takes the window that the authority suggests, and for how long it is good. A zero window, or one that
// makes no sense, is as none.
func (p *Plan) Suggested(now time.Time, w Window, again time.Duration) {
	p.clock(now)
	if !w.End.After(w.Start) {
		w = Window{}
	}
	p.window, p.asked = w, now
	if again == 0 {
		again = askEvery
	}
	p.askAgain = now.Add(min(max(again, askLeast), askMost))
}

// NotSuggested takes word that the window could not be had.
func (p *Plan) NotSuggested(now time.Time) {
	p.clock(now)
	p.asked, p.askAgain = now, now.Add(askEvery)
}

// Begun takes word that an order is begun, which counts against the budget. resumed says that it is one that was
// begun before and counted then.
func (p *Plan) Begun(now time.Time, authority int, resumed bool) {
	p.clock(now)
	p.phase, p.at = Ordering, authority
	if !resumed {
		a := &p.places[authority]
		a.begun = append(a.begun, now)
		if extra := len(a.begun) - p.set.Budget.Week; extra > 0 {
			a.begun = append(a.begun[:0], a.begun[extra:]...)
		}
	}
}

// Remembers puts back an order that was begun before a restart, so that the budget outlives it.
func (p *Plan) Remembers(authority int, begun time.Time) {
	if authority < 0 || authority >= len(p.places) || begun.After(p.now) {
		return
	}
	a := &p.places[authority]
	a.begun = append(a.begun, begun)
}

// Failed takes the end of an order without a certificate.
func (p *Plan) Failed(now time.Time, a Answer) {
	p.clock(now)
	if p.phase != Ordering {
		return
	}
	at := &p.places[p.at]
	at.row++
	p.failures++
	p.lastOf, p.person = a.Class, a.Class == Person
	pause := p.pause(at.row)
	switch a.Class {
	case Limited:
		wait := a.RetryAfter
		if wait <= 0 {
			wait = limitPause
		}
		p.shut(at, now.Add(wait), false)
	case Hopeless:
		p.shut(at, now.Add(max(a.RetryAfter, outTime)), true)
	case Person:
		pause = handTime
		p.shut(at, now.Add(a.RetryAfter), false)
	default:
		p.shut(at, now.Add(a.RetryAfter), false)
	}
	p.phase, p.next = Waiting, now.Add(pause)
	if a.Class == Limited || a.Class == Hopeless { // another authority needs no pause
		p.next = now
	}
}

func (p *Plan) shut(a *place, until time.Time, out bool) {
	if until.After(a.notUntil) {
		a.notUntil = until
	}
	a.out = out
}

// pause is the time to the next attempt after so many failures in a row: doubled each time, with jitter, and
// never more than a sixteenth of what is left.
func (p *Plan) pause(row int) time.Duration {
	d := firstPause << min(row-1, 10)
	d = min(d, mostPause)
	if left := p.left(p.now); p.have && left > 0 {
		d = min(d, max(left/16, firstPause))
	}
	return d/2 + time.Duration(p.set.Jitter()*float64(d)/2)
}

// clock takes the time. When it has stepped back, nothing that was to be waited for is waited for longer than
// from now on anew, and orders that lie in the future count as begun now.
func (p *Plan) clock(now time.Time) {
	if step := p.now.Sub(now); step > 0 {
		for _, t := range []*time.Time{&p.next, &p.askAgain, &p.asked} {
			if !t.IsZero() {
				*t = t.Add(-step)
			}
		}
		for i := range p.places {
			a := &p.places[i]
			if !a.notUntil.IsZero() {
				a.notUntil = a.notUntil.Add(-step)
			}
			for j := range a.begun {
				a.begun[j] = a.begun[j].Add(-step)
			}
		}
	}
	p.now = now
}

// left is how long the certificate is still good.
func (p *Plan) left(now time.Time) time.Duration {
	if !p.have {
		return 0
	}
	return p.held.NotAfter.Sub(now)
}

// DueAt is when the renewal is to begin. By itself it lies where a third of the lifetime is left, or a half of a
// short one, less up to a twelfth for the box's place; a window of the authority comes before that, but never
// later than a sixth of the lifetime before the end: an authority's slip must not cost the certificate.
func (p *Plan) DueAt() time.Time {
	if !p.have || p.held.Stopgap {
		return time.Time{}
	}
	life := p.held.Lifetime()
	part := life / 3
	if life <= shortLife {
		part = life / 2
	}
	at := p.held.NotAfter.Add(-part - time.Duration((1-p.set.Place)*float64(life/12)))
	if !p.window.End.IsZero() {
		span := p.window.End.Sub(p.window.Start)
		at = p.window.Start.Add(time.Duration(p.set.Place * float64(span)))
		if last := p.held.NotAfter.Add(-life / 6); at.After(last) {
			at = last
		}
	}
	return at
}

// presses tells whether time presses so that another authority is better than another try: with a sixth of the
// lifetime left, or a third of a short one, which is then as long as two authorities may be left out one after the other.
func (p *Plan) presses(now time.Time) bool {
	part := p.held.Lifetime() / 6
	if p.held.Lifetime() <= shortLife {
		part *= 2
	}
	return !p.have || p.held.Stopgap || p.left(now) < part
}

// Alarm tells how things stand.
func (p *Plan) Alarm(now time.Time) Alarm {
	if !p.have {
		if p.failures > 0 {
			return Critical
		}
		return Notice
	}
	left, life := p.left(now), p.held.Lifetime()
	switch {
	case left <= 0:
		return Expired
	case p.held.Stopgap:
		return Warning
	case left < life/10 || left < time.Hour:
		return Critical
	case p.person || p.failures > 0 && left < life*2/9:
		return Warning
	case p.failures > 0:
		return Notice
	}
	return Calm
}

// Next says what is to be done. It changes nothing but the phase, and may be asked at any time.
func (p *Plan) Next(now time.Time) Action {
	p.clock(now)
	due := p.DueAt()
	if p.phase == Settled && !now.Before(due) {
		p.phase = Due
	}
	if p.phase == Due && now.Before(due) { // a window was moved
		p.phase = Settled
	}
	asks := p.have && !p.held.Stopgap && !p.held.FromSecond && p.left(now) > 0
	switch p.phase {
	case Ordering:
		return Action{Kind: Order, Authority: p.at, Replaces: p.replaces(p.at)}
	case Settled:
		if asks && !now.Before(p.askAgain) {
			return Action{Kind: Ask}
		}
		at := due
		if asks && p.askAgain.Before(at) {
			at = p.askAgain
		}
		return Action{Kind: Wait, At: at}
	case Waiting:
		if now.Before(p.next) {
			return Action{Kind: Wait, At: p.next}
		}
	}
	best, at := p.choose(now)
	if now.Before(at) {
		return Action{Kind: Wait, At: at}
	}
	return Action{Kind: Order, Authority: best, Replaces: p.replaces(best)}
}

// replaces tells whether the order can name what it replaces, which only the authority that issued it takes.
func (p *Plan) replaces(authority int) bool {
	return p.have && !p.held.Stopgap && !p.held.FromSecond && authority == 0
}

// choose gives the authority for the next order and when it may be begun. The first is preferred; another one
// takes its place when the first is left out, or when time presses and it has failed several times in a row or is
// limited. All that is equal, the one that may be asked soonest is.
func (p *Plan) choose(now time.Time) (best int, at time.Time) {
	for i := range p.places {
		a := &p.places[i]
		if a.out && !now.Before(a.notUntil) {
			a.out, a.row = false, 0
		}
	}
	best = -1
	for i := range p.places {
		a, free := &p.places[i], p.free(i, now)
		switch {
		case best < 0:
			best, at = i, free
		case p.places[best].out && !a.out:
			best, at = i, free
		case a.out && !p.places[best].out:
		case !p.presses(now):
		case p.places[best].row >= otherAfter && a.row < p.places[best].row && !free.After(later(at, now)):
			best, at = i, free
		case free.Before(at) && at.After(now):
			best, at = i, free
		}
	}
	return best, at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// free is when an order may be begun at an authority: within the budget and not before its Retry-After.
func (p *Plan) free(i int, now time.Time) time.Time {
	a := &p.places[i]
	for len(a.begun) > 0 && !now.Before(a.begun[0].Add(week)) {
		a.begun = a.begun[1:]
	}
	at := a.notUntil
	if n := len(a.begun) - p.set.Budget.Week; n >= 0 {
		at = later(at, a.begun[n].Add(week))
	}
	if n := len(a.begun) - p.set.Budget.Hour; n >= 0 {
		at = later(at, a.begun[n].Add(time.Hour))
	}
	return at
}

const week = 7 * 24 * time.Hour
