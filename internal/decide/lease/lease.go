// Package lease decides who may do a task that a fleet does once. Two halves work together: the Table, which all boxes
// apply from the ledger in the same order, and the Holder, which each box has for itself and which says until when it
// may act.
//
// What it rests on. No times are compared between boxes and none stands in the ledger. A box's session is renewed by any
// of its commands that the ledger applies; commands of a session are numbered. Two spans of one length, the term, are
// measured, each by one box's own clock:
//
//   - the holder's runs from before it made the command, and is shorter by the stated drift (Terms.Acting);
//   - the judge's runs from when it saw the command applied, which is later (Judge). A session is ended by a command that
//     names the number the judge saw last. If the session was renewed since, the number is another one and the command
//     does nothing. So it does not matter who judges, how old its view is, or how long it was stopped: a former leader
//     that wakes can say nothing that harms.
//
// A clock here is one that also runs while the machine sleeps. A clock that drifts by more than the stated share breaks
// the promise; what is acted upon then still refuses the older token.
package lease

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Terms are what a fleet has agreed on; they are part of what the ledger holds.
type Terms struct {
	Term  time.Duration // how long a session lives without a word of its box
	Drift float64       // the share by which a clock may run fast or slow, at most
}

// The bounds of terms.
const (
	MinTerm  = 100 * time.Millisecond
	MaxTerm  = 10 * time.Minute
	MaxDrift = 0.2
)

// Check tells what is wrong with terms.
func (t Terms) Check() error {
	if t.Term < MinTerm || t.Term > MaxTerm {
		return fmt.Errorf("the term is %v, it must be from %v to %v", t.Term, MinTerm, MaxTerm)
	}
	if !(t.Drift >= 0 && t.Drift <= MaxDrift) {
		return fmt.Errorf("the drift is %v, it must be from 0 to %v", t.Drift, MaxDrift)
	}
	return nil
}

// Acting is how long, by its own clock, a holder may act after it made a command that was applied. A slow holder measures
// Acting in Acting/(1-Drift) of true time, a fast judge measures Term in Term/(1+Drift): the first is never the longer one.
func (t Terms) Acting() time.Duration {
	return time.Duration(float64(t.Term) * (1 - t.Drift) / (1 + t.Drift))
}

// Pause is how long after its last command a box renews its session.
func (t Terms) Pause() time.Duration { return t.Acting() / 3 }

// Kind is what a command does.
type Kind uint8

// The commands. All but the first four are of a session, and numbered in it.
const (
	Join    Kind = iota + 1 // begins a session for a box; Nonce tells its process from another one of that name
	Expire                  // ends a session that was not renewed since Seq
	Free                    // by an operator: gives back the slot with this Token, whoever holds it
	Open                    // ends what Close began; Seq is the index at which it was closed
	Renew                   // does nothing but renew
	Acquire                 // asks for a slot of a task
	Release                 // gives back or withdraws what Ask asked for
	Stop                    // asks the holder of Token to stop early
	Part                    // ends the session; the box acts no more
	Report                  // tells the head of the box's audit chain: Chain, N and Sum
	Carry                   // carries what is not about leases, once and in the session's order: Payload
)

var kinds = [...]string{"", "join", "expire", "free", "open", "renew", "acquire", "release", "stop", "part", "report", "carry"}

func (k Kind) String() string {
	if int(k) < len(kinds) && k > 0 {
		return kinds[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one entry of the ledger that concerns leases. Fields that a kind does not use are left out.
type Command struct {
	Kind     Kind            `cbor:"1,keyasint"`
	Session  uint64          `cbor:"2,keyasint,omitempty"`
	Seq      uint64          `cbor:"3,keyasint,omitempty"`
	Box      string          `cbor:"4,keyasint,omitempty"`
	Nonce    uint64          `cbor:"5,keyasint,omitempty"`  // drawn by each process of a box
	Try      uint64          `cbor:"13,keyasint,omitempty"` // counts the joins of a process
	Build    string          `cbor:"6,keyasint,omitempty"`
	Task     string          `cbor:"7,keyasint,omitempty"`
	Ask      uint64          `cbor:"8,keyasint,omitempty"` // the Seq of the Acquire that is meant
	Slots    int             `cbor:"9,keyasint,omitempty"`
	Priority int             `cbor:"10,keyasint,omitempty"`
	Sticky   bool            `cbor:"11,keyasint,omitempty"` // the slot outlives the session: see Lease
	Token    uint64          `cbor:"12,keyasint,omitempty"`
	Chain    string          `cbor:"14,keyasint,omitempty"`
	N        uint64          `cbor:"15,keyasint,omitempty"`
	Sum      string          `cbor:"16,keyasint,omitempty"` // in hexadecimal
	First    uint64          `cbor:"18,keyasint,omitempty"`
	Payload  cbor.ByteString `cbor:"17,keyasint,omitempty"` // the table does not look into it
}

// Mark is the head of a box's audit chain, as the box has told it.
type Mark struct {
	Chain string `cbor:"1,keyasint" json:"chain"`
	N     uint64 `cbor:"2,keyasint" json:"n"`
	Sum   string `cbor:"3,keyasint" json:"sum"`
	Index uint64 `cbor:"4,keyasint" json:"index"` // at which it was told: what is before N was done before
	First uint64 `cbor:"5,keyasint" json:"first"` // from this entry on the box has kept all; 0: it does not know
}

// marksKept is how many marks are kept for each box; the oldest go first.
const marksKept = 32

// Session is a box's time in the fleet, from one join to its end.
type Session struct {
	ID    uint64 `cbor:"1,keyasint"` // the ledger's index of the join: the box's incarnation, which only grows
	Box   string `cbor:"2,keyasint"`
	Nonce uint64 `cbor:"3,keyasint"`
	Try   uint64 `cbor:"7,keyasint"`
	Build string `cbor:"4,keyasint"`
	Seq   uint64 `cbor:"5,keyasint"` // of the last command that was applied
	Past  bool   `cbor:"6,keyasint"` // another process has joined under the name; this one may renew no more
}

// Ended is the last session of a box that has none.
type Ended struct {
	Session uint64 `cbor:"1,keyasint"`
	Parted  bool   `cbor:"2,keyasint"` // it left in order; else it was not heard of for a term
}

// Lease is a slot that is held.
type Lease struct {
	Session  uint64 `cbor:"1,keyasint"`
	Box      string `cbor:"2,keyasint"`
	Ask      uint64 `cbor:"3,keyasint"`
	Token    uint64 `cbor:"4,keyasint"`
	Priority int    `cbor:"5,keyasint"`
	// Sticky slots stand for something that is so although its box is silent, such as being out of service. When the
	// session ends they are Orphans: taken, but nobody may act under them. The box's next session takes them up.
	Sticky bool `cbor:"6,keyasint"`
	Orphan bool `cbor:"7,keyasint"`
	Stop   bool `cbor:"8,keyasint"` // the holder is asked to stop early
}

// Waiter is a place in a task's queue.
type Waiter struct {
	Session  uint64 `cbor:"1,keyasint"`
	Box      string `cbor:"2,keyasint"`
	Ask      uint64 `cbor:"3,keyasint"`
	Ticket   uint64 `cbor:"4,keyasint"`
	Priority int    `cbor:"5,keyasint"`
	Sticky   bool   `cbor:"6,keyasint"`
	Passed   int    `cbor:"7,keyasint"` // how often one that came later was served first
}

// PassedMost is how often a waiter may be passed by others of higher priority.
const PassedMost = 8

// Task is something that at most Slots boxes do at a time.
type Task struct {
	Slots   int      `cbor:"1,keyasint"`
	Holders []Lease  `cbor:"2,keyasint"` // in the order in which they got it
	Queue   []Waiter `cbor:"3,keyasint"` // in the order in which they came
}

// The bounds of a table. What is beyond them is turned down.
const (
	MaxTasks    = 4096
	MaxWaiters  = 1024 // of one task
	MaxSessions = 4096
	MaxPlaces   = 1 << 16 // holders and waiters of all tasks together
	MaxName     = 128     // bytes of a name
	MaxSlots    = 1024
)

// Table is what the fleet agrees on. It depends on nothing but the commands and their order.
type Table struct {
	Terms    Terms               `cbor:"1,keyasint"`
	Token    uint64              `cbor:"2,keyasint"` // the last that was given out; it only grows
	Ticket   uint64              `cbor:"3,keyasint"`
	Sessions map[uint64]*Session `cbor:"4,keyasint"`
	Names    map[string]uint64   `cbor:"5,keyasint"`            // the newest session of each box that has one
	Tasks    map[string]*Task    `cbor:"6,keyasint"`            // those that somebody holds or waits for
	Left     map[string]Ended    `cbor:"8,keyasint"`            // the last session of boxes that have none now
	Marks    map[string][]Mark   `cbor:"9,keyasint"`            // of each box, oldest first
	Closed   uint64              `cbor:"7,keyasint"`            // not 0: nothing is granted until a judge opens; see Close
	Barred   map[string]bool     `cbor:"10,keyasint,omitempty"` // boxes that are granted nothing; see Bar
}

// NewTable returns an empty one.
func NewTable(t Terms) *Table {
	return &Table{Terms: t, Sessions: map[uint64]*Session{}, Names: map[string]uint64{}, Tasks: map[string]*Task{}, Left: map[string]Ended{}, Marks: map[string][]Mark{}}
}

// Why a command was turned down. The command has then changed nothing, but renewed its session if it has one.
var (
	ErrNoSession  = errors.New("this box's session has ended; it has to join anew")
	ErrSuperseded = errors.New("another process has joined under this box's name")
	ErrOrder      = errors.New("the command is a repeat, or one before it is missing")
	ErrRenewed    = errors.New("the session was renewed in the meantime")
	ErrSlots      = errors.New("the task is held or waited for with another number of slots")
	ErrFull       = errors.New("the fleet keeps no more of these")
	ErrNotHeld    = errors.New("nobody holds or waits for this")
	ErrBad        = errors.New("not a command that this box knows")
	ErrBarred     = errors.New("this box is shut out of the fleet until it is up to date; 'cairnctl fleet stragglers' says what is missing")
)

// Apply carries out a command that stands at an index of the ledger.
func (t *Table) Apply(index uint64, c Command) error {
	switch c.Kind {
	case Join:
		return t.join(index, c)
	case Expire:
		s := t.Sessions[c.Session]
		if s == nil {
			return ErrNoSession
		}
		if s.Seq != c.Seq {
			return ErrRenewed
		}
		t.end(s, false)
		return nil
	case Free:
		return t.free(func(l Lease) bool { return l.Token == c.Token })
	case Open:
		if t.Closed == 0 || t.Closed != c.Seq {
			return ErrRenewed
		}
		t.Closed = 0
		for _, name := range t.TaskNames() {
			t.grant(name, t.Tasks[name])
		}
		return nil
	}
	s := t.Sessions[c.Session]
	if s == nil {
		return ErrNoSession
	}
	if s.Past {
		return ErrSuperseded
	}
	if c.Seq != s.Seq+1 {
		return ErrOrder
	}
	s.Seq = c.Seq
	if t.Barred[s.Box] && (c.Kind == Acquire || c.Kind == Stop) {
		return ErrBarred
	}
	switch c.Kind {
	case Renew, Carry:
		return nil
	case Acquire:
		return t.acquire(s, c)
	case Release:
		return t.release(s.ID, c.Ask, c.Token)
	case Stop:
		return t.stop(c.Token)
	case Part:
		t.end(s, true)
		return nil
	case Report:
		return t.report(s.Box, Mark{c.Chain, c.N, c.Sum, index, c.First})
	}
	return ErrBad
}

// report keeps a mark. A mark never goes back within a chain.
func (t *Table) report(box string, m Mark) error {
	list := t.Marks[box]
	switch {
	case m.Chain == "" || len(m.Chain) > MaxName || len(m.Sum) > MaxName || len(list) == 0 && len(t.Marks) >= MaxSessions:
		return ErrBad
	case len(list) > 0 && list[len(list)-1].Chain == m.Chain && list[len(list)-1].N >= m.N:
		return ErrOrder
	}
	t.Marks[box] = append(slices.Clone(list[max(0, len(list)+1-marksKept):]), m)
	return nil
}

// join begins a session. One that a process of the same name has is not ended: that process may still act, until the
// judges have waited for it as for any other. It may only renew no more.
func (t *Table) join(index uint64, c Command) error {
	if c.Box == "" || len(c.Box) > MaxName || len(c.Build) > MaxName {
		return ErrBad
	}
	old := t.Sessions[t.Names[c.Box]]
	if old != nil && old.Nonce == c.Nonce && old.Try >= c.Try {
		return ErrOrder
	}
	if len(t.Sessions) >= MaxSessions {
		return ErrFull
	}
	if old != nil {
		old.Past = true
	}
	t.Sessions[index] = &Session{ID: index, Box: c.Box, Nonce: c.Nonce, Try: c.Try, Build: c.Build}
	t.Names[c.Box] = index
	delete(t.Left, c.Box)
	for _, name := range t.TaskNames() {
		for i := range t.Tasks[name].Holders {
			if l := &t.Tasks[name].Holders[i]; l.Orphan && l.Box == c.Box {
				t.Token++
				l.Session, l.Ask, l.Token, l.Orphan = index, 0, t.Token, false
			}
		}
	}
	return nil
}

// end ends a session. What it held is free, but for what outlives it.
func (t *Table) end(s *Session, parted bool) {
	delete(t.Sessions, s.ID)
	if t.Names[s.Box] == s.ID {
		delete(t.Names, s.Box)
		if len(t.Left) < MaxSessions {
			t.Left[s.Box] = Ended{s.ID, parted}
		}
	}
	next := t.Sessions[t.Names[s.Box]] // of the same box, if another process has joined
	for _, name := range t.TaskNames() {
		task := t.Tasks[name]
		task.Queue = slices.DeleteFunc(task.Queue, func(w Waiter) bool { return w.Session == s.ID })
		kept := task.Holders[:0]
		for _, l := range task.Holders {
			switch {
			case l.Session != s.ID || l.Orphan:
			case !l.Sticky:
				continue
			case next != nil:
				t.Token++
				l.Session, l.Ask, l.Token = next.ID, 0, t.Token
			default:
				l.Orphan = true
			}
			kept = append(kept, l)
		}
		task.Holders = kept
		t.grant(name, task)
	}
}

// TaskNames lists the tasks in one order on all boxes.
func (t *Table) TaskNames() []string {
	names := make([]string, 0, len(t.Tasks))
	for name := range t.Tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *Table) acquire(s *Session, c Command) error {
	if c.Task == "" || len(c.Task) > MaxName || c.Slots < 1 || c.Slots > MaxSlots {
		return ErrBad
	}
	task := t.Tasks[c.Task]
	switch {
	case t.places() >= MaxPlaces, task == nil && len(t.Tasks) >= MaxTasks:
		return ErrFull
	case task == nil:
		task = &Task{Slots: c.Slots}
		t.Tasks[c.Task] = task
	case task.Slots != c.Slots:
		return ErrSlots
	case len(task.Queue) >= MaxWaiters:
		return ErrFull
	}
	t.Ticket++
	task.Queue = append(task.Queue, Waiter{Session: s.ID, Box: s.Box, Ask: c.Seq, Ticket: t.Ticket, Priority: c.Priority, Sticky: c.Sticky})
	t.grant(c.Task, task)
	return nil
}

// places counts holders and waiters, so that a state stays within what one message may hold.
func (t *Table) places() (n int) {
	for _, task := range t.Tasks {
		n += len(task.Holders) + len(task.Queue)
	}
	return n
}

// grant gives free slots to those who wait: the highest priority first, among equals who came first, and whoever was
// passed too often before all of them. A task that nobody is left for is forgotten.
func (t *Table) grant(name string, task *Task) {
	for len(task.Holders) < task.Slots && len(task.Queue) > 0 && t.Closed == 0 {
		best := 0
		for i, w := range task.Queue {
			if before(w, task.Queue[best]) {
				best = i
			}
		}
		w := task.Queue[best]
		for i := range task.Queue {
			if task.Queue[i].Ticket < w.Ticket {
				task.Queue[i].Passed++
			}
		}
		task.Queue = slices.Delete(task.Queue, best, best+1)
		t.Token++
		task.Holders = append(task.Holders, Lease{Session: w.Session, Box: w.Box, Ask: w.Ask, Token: t.Token, Priority: w.Priority, Sticky: w.Sticky})
	}
	if len(task.Holders) == 0 && len(task.Queue) == 0 {
		delete(t.Tasks, name)
	}
}

func before(a, b Waiter) bool {
	if x, y := a.Passed >= PassedMost, b.Passed >= PassedMost; x != y {
		return x
	} else if x {
		return a.Ticket < b.Ticket
	}
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c < 0
	}
	return a.Ticket < b.Ticket
}

// release gives back or withdraws what a session's command asked for. A sticky slot that was taken up from an earlier
// session was asked for by none of this one's, and is named by its token.
func (t *Table) release(session, ask, token uint64) error {
	if ask == 0 {
		return t.free(func(l Lease) bool { return l.Session == session && l.Token == token })
	}
	for _, name := range t.TaskNames() {
		task := t.Tasks[name]
		n := len(task.Queue)
		task.Queue = slices.DeleteFunc(task.Queue, func(w Waiter) bool { return w.Session == session && w.Ask == ask })
		if len(task.Queue) < n {
			t.grant(name, task)
			return nil
		}
	}
	return t.free(func(l Lease) bool { return l.Session == session && l.Ask == ask })
}

// free takes the slots away that a test names.
func (t *Table) free(is func(Lease) bool) error {
	err := ErrNotHeld
	for _, name := range t.TaskNames() {
		task := t.Tasks[name]
		n := len(task.Holders)
		task.Holders = slices.DeleteFunc(task.Holders, is)
		if len(task.Holders) < n {
			t.grant(name, task)
			err = nil
		}
	}
	return err
}

func (t *Table) stop(token uint64) error {
	for _, task := range t.Tasks {
		for i := range task.Holders {
			if task.Holders[i].Token == token {
				task.Holders[i].Stop = true
				return nil
			}
		}
	}
	return ErrNotHeld
}

// Bar has a box be granted nothing until Unbar. Its session may renew no more and ends as that of a box which is not heard: what
// it holds is another's once the judges have waited for it, so a box that has not heard of it yet is no danger. It joins anew, to
// say that it is up to date.
func (t *Table) Bar(box string) {
	if t.Barred == nil {
		t.Barred = map[string]bool{}
	}
	t.Barred[box] = true
	if s := t.Sessions[t.Names[box]]; s != nil {
		s.Past = true
		delete(t.Names, box)
		t.Left[box] = Ended{s.ID, false}
	}
}

// Unbar ends what Bar began.
func (t *Table) Unbar(box string) {
	if delete(t.Barred, box); len(t.Barred) == 0 {
		t.Barred = nil
	}
}

// Close begins the table anew above a token, for an operator who gives up a ledger whose majority is lost. Holders whom
// the lost ledger had may still act, and not all of them are known here; so nothing is granted until a judge has waited
// for a term and asks to Open.
func (t *Table) Close(index, token uint64) {
	t.Token, t.Closed = max(t.Token, token), index
}

// Clone returns a copy that shares nothing.
func (t *Table) Clone() *Table {
	c := *t
	c.Left, c.Barred = maps.Clone(t.Left), maps.Clone(t.Barred)
	c.Marks = maps.Clone(t.Marks) // a box's list is made anew when it changes
	c.Sessions, c.Names, c.Tasks = make(map[uint64]*Session, len(t.Sessions)), maps.Clone(t.Names), make(map[string]*Task, len(t.Tasks))
	for id, s := range t.Sessions {
		n := *s
		c.Sessions[id] = &n
	}
	for name, task := range t.Tasks {
		c.Tasks[name] = &Task{Slots: task.Slots, Holders: slices.Clone(task.Holders), Queue: slices.Clone(task.Queue)}
	}
	return &c
}

// Check tells which invariant does not hold; nil means that all do.
func (t *Table) Check() error {
	tokens := map[uint64]string{}
	for name, task := range t.Tasks {
		switch {
		case len(task.Holders) > task.Slots:
			return fmt.Errorf("%s: %d holders of %d slots", name, len(task.Holders), task.Slots)
		case len(task.Holders) < task.Slots && len(task.Queue) > 0 && t.Closed == 0:
			return fmt.Errorf("%s: a slot is free and somebody waits", name)
		case len(task.Holders)+len(task.Queue) == 0:
			return fmt.Errorf("%s: kept for nobody", name)
		}
		for _, l := range task.Holders {
			if other, ok := tokens[l.Token]; ok || l.Token > t.Token || l.Token == 0 {
				return fmt.Errorf("%s: token %d of %d given out, also for %q", name, l.Token, t.Token, other)
			}
			tokens[l.Token] = name
			if _, ok := t.Sessions[l.Session]; ok == l.Orphan || l.Orphan && !l.Sticky {
				return fmt.Errorf("%s: holder %+v, and its session is there: %v", name, l, ok)
			}
		}
		for _, w := range task.Queue {
			if t.Sessions[w.Session] == nil {
				return fmt.Errorf("%s: %s waits without a session", name, w.Box)
			}
		}
	}
	for box, id := range t.Names {
		if s := t.Sessions[id]; s == nil || s.Box != box || s.Past {
			return fmt.Errorf("%s: its newest session is %+v", box, s)
		}
	}
	return nil
}
