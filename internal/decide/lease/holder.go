package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is how a request for a slot stands, as its box knows.
type State uint8

// The states of a request.
const (
	Asked    State = iota + 1 // not granted yet, as far as this box knows
	Held                      // granted, and the box may act
	Renewing                  // held, with a renewal under way
	Doubtful                  // granted, but the box's own clock says that another may have it: it may not act
	Lost                      // the ledger has ended it
	GivenUp                   // given back or withdrawn by the box itself
	Refused                   // the ledger turned it down
)

var states = [...]string{"", "asked", "held", "renewing", "doubtful", "lost", "given up", "refused"}

func (s State) String() string {
	if int(s) < len(states) {
		return states[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText has states written by name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Over tells whether a request stands so for good.
func (s State) Over() bool { return s == Lost || s == GivenUp || s == Refused }

// event is what happens to a request.
type event uint8

const (
	grantedFresh event = iota + 1 // the ledger shows it as held, and the box's clock allows to act
	grantedStale                  // the ledger shows it as held, and the box's clock does not
	renewalSent
	clockRanOut
	tableEnded // the ledger held it and does so no more
	turnedDown // the ledger knows the request no more and never granted it
	sessionEnded
	given
)

// next is the state machine of a request.
func (s State) next(e event) State {
	if s.Over() {
		return s
	}
	switch e {
	case grantedFresh:
		return Held
	case grantedStale, clockRanOut:
		if s == Asked && e == clockRanOut {
			return Asked // it waits on; the next session asks again
		}
		return Doubtful
	case renewalSent:
		if s == Held {
			return Renewing
		}
	case tableEnded:
		return Lost
	case turnedDown:
		return Refused
	case sessionEnded:
		if s != Asked {
			return Lost
		}
	case given:
		return GivenUp
	}
	return s
}

// Request is what a box asks for.
type Request struct {
	Task     string
	Slots    int // how many boxes may have one at a time; the same at all boxes
	Priority int
	Sticky   bool
}

// Ask is one request and how it stands.
type Ask struct {
	Request
	ID    uint64 // by this box; 0 is none
	State State
	Token uint64 // once granted
	Stop  bool   // the box is asked to stop early
	Why   error  // of Refused
	Place int    // in the queue, from 1; 0 when it does not wait or that is not known

	seq     uint64 // of its Acquire in this session; 0 before it was made
	taken   bool   // taken up from an earlier session of the box
	inTable bool
}

// Taken tells whether the slot was taken up from an earlier session of the box.
func (a *Ask) Taken() bool { return a.taken }

// Phase is how a box stands to its fleet.
type Phase uint8

// The phases of a box.
const (
	Joining    Phase = iota + 1 // it has no session
	In                          // it has one
	Displaced                   // another process has joined under its name and has said no more yet: it may be a late word of a dead one
	Superseded                  // another process has joined under its name; it acts no more and does not join again
	Gone                        // it has left
)

var phases = [...]string{"", "joining", "in", "displaced", "superseded", "gone"}

func (p Phase) String() string { return phases[p] }

// MarshalText has phases written by name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// pending is a command that this box does not know to be applied.
type pending struct {
	Command
	at time.Duration // when it was made, which is before it could be sent
}

// Holder is one box's side. Its clock is the box's own and runs also while the machine sleeps. The zero value is not
// ready; it is not safe for use by several goroutines.
type Holder struct {
	box, build string
	nonce      uint64
	terms      Terms
	phase      Phase
	try        uint64 // joins so far
	session    uint64 // 0 when there is none
	latest     uint64 // the last one that there was
	seq        uint64 // of the last command that was made
	last       uint64 // ID of the last ask
	made       time.Duration
	until      time.Duration // it may act before this
	open       []pending     // in order
	send       time.Duration // when to send what is open again; 0: at once
	asks       []*Ask
}

// AsksMost bounds what one box asks for at a time.
const AsksMost = 2048

// openMost is with how many open commands none is made only to renew: the ledger does not answer, and each is sent again
// with all before it.
const openMost = 64

// Errors of a holder.
var (
	ErrTooMany = errors.New("this box asks for too much at a time")
	ErrOut     = errors.New("this box takes no part in the fleet any more")
	ErrLate    = errors.New("the lease may have run out by this box's own clock")
	ErrShort   = errors.New("the lease does not last long enough for this")
)

// NewHolder returns the side of a box. The nonce is drawn anew at each start of a process.
func NewHolder(box, build string, nonce uint64, terms Terms) *Holder {
	return &Holder{box: box, build: build, nonce: nonce, terms: terms, phase: Joining}
}

// Phase tells how the box stands.
func (h *Holder) Phase() Phase { return h.phase }

// Session is the box's present one, 0 if there is none.
func (h *Holder) Session() uint64 { return h.session }

// Left tells whether the box has left, as far as it has to tell anybody.
func (h *Holder) Left() bool { return h.phase == Gone && len(h.open) == 0 }

// Until is before when, by its own clock, the box may act for the fleet.
func (h *Holder) Until() time.Duration { return h.until }

// Asks lists what it asks for and what was decided, oldest first. The asks are the holder's.
func (h *Holder) Asks() []*Ask { return h.asks }

// Find returns an ask; nil if there is none.
func (h *Holder) Find(id uint64) *Ask {
	for _, a := range h.asks {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// Acquire asks for a slot. It waits in the queue until it is granted or given up, over sessions.
func (h *Holder) Acquire(now time.Duration, r Request) (*Ask, error) {
	if h.phase == Superseded || h.phase == Gone {
		return nil, ErrOut
	}
	if len(h.asks) >= AsksMost {
		return nil, ErrTooMany
	}
	h.last++
	a := &Ask{Request: r, ID: h.last, State: Asked}
	h.asks = append(h.asks, a)
	h.ask(now, a)
	return a, nil
}

func (h *Holder) ask(now time.Duration, a *Ask) {
	if h.phase == In {
		a.seq = h.make(now, Command{Kind: Acquire, Task: a.Task, Slots: a.Slots, Priority: a.Priority, Sticky: a.Sticky})
	}
}

// make numbers a command of the session and has it sent.
func (h *Holder) make(now time.Duration, c Command) uint64 {
	h.seq++
	c.Session, c.Seq = h.session, h.seq
	h.open = append(h.open, pending{c, now})
	h.made, h.send = now, 0
	return c.Seq
}

// GiveUp gives a slot back, or withdraws a request. The caller acts under it no more when it calls.
func (h *Holder) GiveUp(now time.Duration, a *Ask) {
	if a.State.Over() {
		return
	}
	a.State = a.State.next(given)
	if h.phase == In && (a.seq != 0 || a.taken) {
		c := Command{Kind: Release, Ask: a.seq}
		if a.taken {
			c.Token = a.Token
		}
		h.make(now, c)
	}
}

// Part has the box leave. It acts no more when it calls.
func (h *Holder) Part(now time.Duration) {
	for _, a := range h.asks {
		a.State = a.State.next(given)
	}
	if h.phase == In {
		h.make(now, Command{Kind: Part})
	}
	h.phase, h.until = Gone, 0
	if h.session == 0 {
		h.open = nil
	}
}

// Drop forgets an ask that is over.
func (h *Holder) Drop(a *Ask) {
	if a.State.Over() {
		h.asks = slices.DeleteFunc(h.asks, func(o *Ask) bool { return o == a })
	}
}

// May tells whether an effect that takes at most need may be begun now. It is to be asked immediately before the effect.
func (h *Holder) May(now time.Duration, a *Ask, need time.Duration) error {
	if a.State == Held || a.State == Renewing {
		if now >= h.until {
			h.tick(now)
		} else if now+need >= h.until {
			return fmt.Errorf("%w: it has %v left and %v is needed", ErrShort, h.until-now, need)
		}
	}
	switch a.State {
	case Held, Renewing:
		return nil
	case Doubtful:
		return ErrLate
	}
	return fmt.Errorf("the lease is %v", a.State)
}

// tick takes note that time has passed.
func (h *Holder) tick(now time.Duration) {
	if now < h.until {
		return
	}
	for _, a := range h.asks {
		a.State = a.State.next(clockRanOut)
	}
}

// Due returns what is to be sent to the ledger now, in order, and when to ask next. All that is not known to be applied is
// sent together: what was applied already is turned down by its number.
func (h *Holder) Due(now time.Duration) (list []Command, next time.Duration) {
	h.tick(now)
	again := h.terms.Pause()
	switch {
	case h.phase == Joining && len(h.open) == 0:
		h.try++
		h.open = []pending{{Command{Kind: Join, Box: h.box, Nonce: h.nonce, Try: h.try, Build: h.build}, now}}
		h.send = 0
	case h.phase == In && now >= h.made+h.terms.Pause() && len(h.open) < openMost:
		h.make(now, Command{Kind: Renew})
		for _, a := range h.asks {
			a.State = a.State.next(renewalSent)
		}
	}
	next = now + again
	if h.phase == In {
		next = min(next, max(h.made+again, now+again/4))
	}
	if len(h.open) == 0 {
		return nil, next
	}
	if now < h.send {
		return nil, min(next, h.send)
	}
	h.send = now + again/2
	for _, p := range h.open {
		list = append(list, p.Command)
	}
	return list, min(next, h.send)
}

// Saw takes the table as it is after commands were applied here. turned tells why one of this box's commands was turned
// down, by its number; it may be nil, when that is not known.
func (h *Holder) Saw(now time.Duration, t *Table, turned func(seq uint64) error) {
	h.terms = t.Terms
	if h.phase == Superseded {
		return
	}
	newest := t.Sessions[t.Names[h.box]]
	mine := t.Sessions[h.session]
	switch {
	case h.phase == In && (mine == nil || mine.Past):
		h.lose()
	case h.phase == Gone && mine == nil:
		h.open = nil
		return
	}
	switch {
	case newest != nil && newest.Nonce != h.nonce && h.latest != 0 && newest.ID > h.latest:
		h.phase, h.open = Displaced, nil
		if newest.Seq > 0 { // it lives
			h.phase = Superseded
			for _, a := range h.asks {
				a.State = a.State.next(turnedDown)
			}
		}
		return
	case h.phase == Displaced:
		h.phase = Joining
		return
	case h.phase == Joining && newest != nil && newest.Nonce == h.nonce:
		h.begin(now, newest)
	}
	if mine = t.Sessions[h.session]; mine == nil {
		return
	}
	for len(h.open) > 0 && h.open[0].Seq <= mine.Seq {
		h.until = max(h.until, h.open[0].at+h.terms.Acting())
		h.open = h.open[1:]
	}
	if h.phase != Gone {
		h.look(now, t, mine, turned)
	}
}

// begin takes up the session that a join has begun.
func (h *Holder) begin(now time.Duration, s *Session) {
	h.phase, h.session, h.latest, h.seq = In, s.ID, s.ID, 0
	if len(h.open) == 1 && h.open[0].Kind == Join && s.Try == h.try {
		h.until, h.made = h.open[0].at+h.terms.Acting(), h.open[0].at
	} else { // an earlier join came late: nothing says when it was made
		h.until, h.made = 0, now-h.terms.Pause()
	}
	h.open = nil
	for _, a := range h.asks {
		if a.State == Asked {
			h.ask(now, a)
		}
	}
}

// lose takes note that the session has ended.
func (h *Holder) lose() {
	h.phase, h.session, h.until, h.open = Joining, 0, 0, nil
	for _, a := range h.asks {
		a.State = a.State.next(sessionEnded)
		a.seq, a.inTable, a.Place = 0, false, 0
	}
}

// look finds what the table says of this box's requests.
func (h *Holder) look(now time.Duration, t *Table, mine *Session, turned func(uint64) error) {
	bySeq := map[uint64]*Ask{}
	byToken := map[uint64]*Ask{}
	for _, a := range h.asks {
		a.inTable = false
		if a.taken {
			byToken[a.Token] = a
		} else if a.seq != 0 {
			bySeq[a.seq] = a
		}
	}
	for name, task := range t.Tasks {
		for _, l := range task.Holders {
			if l.Session != h.session || l.Orphan {
				continue
			}
			a := bySeq[l.Ask]
			if l.Ask == 0 {
				if a = byToken[l.Token]; a == nil {
					h.last++
					a = &Ask{Request: Request{Task: name, Slots: task.Slots, Priority: l.Priority, Sticky: true}, ID: h.last, State: Asked, taken: true}
					h.asks = append(h.asks, a)
				}
			}
			if a == nil {
				continue
			}
			a.Token, a.Stop, a.Place, a.inTable = l.Token, a.Stop || l.Stop, 0, true
			if now < h.until {
				if a.State != Renewing || len(h.open) == 0 {
					a.State = a.State.next(grantedFresh)
				}
			} else {
				a.State = a.State.next(grantedStale)
			}
		}
		for i, w := range task.Queue {
			if a := bySeq[w.Ask]; w.Session == h.session && a != nil {
				a.Place, a.inTable = i+1, true
			}
		}
	}
	for _, a := range h.asks {
		if a.inTable || a.State.Over() || !a.taken && (a.seq == 0 || a.seq > mine.Seq) {
			continue
		}
		if a.State != Asked {
			a.State = a.State.next(tableEnded)
			continue
		}
		if turned != nil {
			a.Why = turned(a.seq)
		}
		a.State = a.State.next(turnedDown)
	}
}

// Report tells the head of the box's audit chain. It tells whether there is a session to tell it in.
func (h *Holder) Report(now time.Duration, m Mark) bool {
	if h.phase == In {
		h.make(now, Command{Kind: Report, Chain: m.Chain, N: m.N, Sum: m.Sum, First: m.First})
	}
	return h.phase == In
}

// Carry has the ledger take a payload in this session, and returns its number; 0 when there is no session.
func (h *Holder) Carry(now time.Duration, payload cbor.ByteString) uint64 {
	if h.phase != In {
		return 0
	}
	return h.make(now, Command{Kind: Carry, Payload: payload})
}

// Stop asks the holder of a token to stop early.
func (h *Holder) Stop(now time.Duration, token uint64) {
	if h.phase == In {
		h.make(now, Command{Kind: Stop, Token: token})
	}
}
