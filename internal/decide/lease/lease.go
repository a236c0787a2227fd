// Package lease implements the leases under which a box may run a task that must run on a limited number of boxes. It
// has two parts: the Table, a replicated state machine that every box applies from the ledger in the same order, and the
// Holder, which each box runs locally and which decides until when the box may act.
//
// Timestamps are never compared between boxes, and the ledger contains none. Every command of a box that the ledger
// applies renews the box's session; the commands of a session carry sequence numbers. The lease term is measured twice,
// each time by the clock of one box:
//
//   - The holder's interval starts before it creates the command and is shortened by the maximum clock drift
//     (Terms.HolderDuration).
//   - The interval of the ExpiryDetector starts when it sees the command applied, which is later. The command that ends a
//     session names the last sequence number the detector saw. If the session has been renewed since, the number differs
//     and the command has no effect. It is therefore safe for any box to run a detector, with a table of any age and after
//     a pause of any length: a former leader that resumes cannot end a renewed session.
//
// Clocks must keep running while the machine is suspended. A clock that drifts by more than Terms.Drift breaks the
// guarantee; the resource that the holder acts on must then still reject the older token.
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

// Terms are the lease parameters of a fleet. They are part of the replicated state.
type Terms struct {
	Term  time.Duration // time after which a session that is not renewed may be ended
	Drift float64       // maximum relative rate error of a clock, fast or slow
}

// Bounds of Terms.
const (
	MinTerm  = 100 * time.Millisecond
	MaxTerm  = 10 * time.Minute
	MaxDrift = 0.2
)

// Validate returns an error if a value of t is out of bounds.
func (t Terms) Validate() error {
	if t.Term < MinTerm || t.Term > MaxTerm {
		return fmt.Errorf("lease term %v is out of range: must be from %v to %v", t.Term, MinTerm, MaxTerm)
	}
	if !(t.Drift >= 0 && t.Drift <= MaxDrift) {
		return fmt.Errorf("clock drift %v is out of range: must be from 0 to %v", t.Drift, MaxDrift)
	}
	return nil
}

// HolderDuration returns how long, by its own clock, a holder may act after it created a command that was applied. A slow holder
// measures HolderDuration in HolderDuration/(1-Drift) of real time, a fast detector measures Term in Term/(1+Drift): the former is never longer.
func (t Terms) HolderDuration() time.Duration {
	return time.Duration(float64(t.Term) * (1 - t.Drift) / (1 + t.Drift))
}

// RenewInterval returns the time after its last command at which a box renews its session.
func (t Terms) RenewInterval() time.Duration { return t.HolderDuration() / 3 }

// Kind is the type of a command.
type Kind uint8

// Command kinds. All but the first four belong to a session and carry its sequence number.
const (
	Join         Kind = iota + 1 // starts a session for a box; Nonce distinguishes its process from others with the same name
	Expire                       // ends a session that has not been renewed since Seq
	Free                         // sent by an operator: releases the slot with this Token, whoever holds it
	ResumeGrants                 // allows grants again after SuspendGrants; Seq is the index at which they were suspended
	Renew                        // only renews the session
	Acquire                      // requests a slot of a task
	Release                      // releases the slot or withdraws the request of the Acquire with number AcquireSeq
	Stop                         // requests the holder of Token to stop early
	Leave                        // ends the session; the box stops acting
	Report                       // reports the head of the box's audit chain: Chain, N and Sum
	CarryPayload                 // transports Payload, which is not about leases, exactly once and in session order
)

var kindNames = [...]string{"", "join", "expire", "free", "open", "renew", "acquire", "release", "stop", "part", "report", "carry"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one lease command in the ledger. Fields that a kind does not use are omitted.
type Command struct {
	Kind        Kind            `cbor:"1,keyasint"`
	Session     uint64          `cbor:"2,keyasint,omitempty"`
	Seq         uint64          `cbor:"3,keyasint,omitempty"`
	Box         string          `cbor:"4,keyasint,omitempty"`
	Nonce       uint64          `cbor:"5,keyasint,omitempty"`  // random number of the box's process
	JoinAttempt uint64          `cbor:"13,keyasint,omitempty"` // counts the joins of the process
	Build       string          `cbor:"6,keyasint,omitempty"`
	Task        string          `cbor:"7,keyasint,omitempty"`
	AcquireSeq  uint64          `cbor:"8,keyasint,omitempty"` // the Seq of the Acquire that is referred to
	Slots       int             `cbor:"9,keyasint,omitempty"`
	Priority    int             `cbor:"10,keyasint,omitempty"`
	Sticky      bool            `cbor:"11,keyasint,omitempty"` // the slot survives the end of the session: see Lease
	Token       uint64          `cbor:"12,keyasint,omitempty"`
	Chain       string          `cbor:"14,keyasint,omitempty"`
	N           uint64          `cbor:"15,keyasint,omitempty"`
	Sum         string          `cbor:"16,keyasint,omitempty"` // in hexadecimal
	First       uint64          `cbor:"18,keyasint,omitempty"`
	Payload     cbor.ByteString `cbor:"17,keyasint,omitempty"` // opaque to the table
}

// Mark is the head of a box's audit chain as reported by the box.
type Mark struct {
	Chain string `cbor:"1,keyasint" json:"chain"`
	N     uint64 `cbor:"2,keyasint" json:"n"`
	Sum   string `cbor:"3,keyasint" json:"sum"`
	Index uint64 `cbor:"4,keyasint" json:"index"` // ledger index of the report: entries before N were written before it
	First uint64 `cbor:"5,keyasint" json:"first"` // oldest entry since which the box has kept all entries; 0 if unknown
}

// maxMarks is the number of marks kept for each box; the oldest are dropped first.
const maxMarks = 32

// Session is one membership of a box in the fleet, from a join to its end.
type Session struct {
	ID           uint64 `cbor:"1,keyasint"` // ledger index of the join; it is the box's incarnation number and only increases
	Box          string `cbor:"2,keyasint"`
	Nonce        uint64 `cbor:"3,keyasint"`
	JoinAttempt  uint64 `cbor:"7,keyasint"`
	Build        string `cbor:"4,keyasint"`
	Seq          uint64 `cbor:"5,keyasint"` // number of the last applied command
	NotRenewable bool   `cbor:"6,keyasint"` // the session can no longer be renewed: another process has joined under the name, or the box was barred
}

// EndedSession describes the last session of a box that has no session now.
type EndedSession struct {
	Session     uint64 `cbor:"1,keyasint"`
	LeftInOrder bool   `cbor:"2,keyasint"` // the box left by Leave; otherwise its session expired or the box was barred
}

// Lease is a held slot.
type Lease struct {
	Session    uint64 `cbor:"1,keyasint"`
	Box        string `cbor:"2,keyasint"`
	AcquireSeq uint64 `cbor:"3,keyasint"`
	Token      uint64 `cbor:"4,keyasint"`
	Priority   int    `cbor:"5,keyasint"`
	// Sticky slots represent a condition that persists while the box is unreachable, such as being out of service. When
	// the session ends, its sticky slots become orphans: they stay occupied, but no box may act under them. The box's
	// next session takes them over.
	Sticky        bool `cbor:"6,keyasint"`
	Orphan        bool `cbor:"7,keyasint"`
	StopRequested bool `cbor:"8,keyasint"` // the holder is requested to stop early
}

// Waiter is an entry of a task's queue.
type Waiter struct {
	Session     uint64 `cbor:"1,keyasint"`
	Box         string `cbor:"2,keyasint"`
	AcquireSeq  uint64 `cbor:"3,keyasint"`
	Ticket      uint64 `cbor:"4,keyasint"`
	Priority    int    `cbor:"5,keyasint"`
	Sticky      bool   `cbor:"6,keyasint"`
	PassedCount int    `cbor:"7,keyasint"` // number of later requests that were granted first
}

// MaxPassed is the number of later requests with higher priority that may be granted before a waiter.
const MaxPassed = 8

// Task is a task that at most Slots boxes may run at a time.
type Task struct {
	Slots   int      `cbor:"1,keyasint"`
	Holders []Lease  `cbor:"2,keyasint"` // in the order of the grants
	Queue   []Waiter `cbor:"3,keyasint"` // in the order of arrival
}

// Bounds of a Table. Commands that would exceed them are rejected.
const (
	MaxTasks             = 4096
	MaxWaiters           = 1024 // for each task
	MaxSessions          = 4096
	MaxHoldersAndWaiters = 1 << 16 // holders and waiters of all tasks together
	MaxName              = 128     // length of a name in bytes
	MaxSlots             = 1024
)

// Table is the replicated lease state. It depends only on the commands and their order.
type Table struct {
	Terms           Terms                   `cbor:"1,keyasint"`
	Token           uint64                  `cbor:"2,keyasint"` // last fencing token issued; it only increases
	Ticket          uint64                  `cbor:"3,keyasint"`
	Sessions        map[uint64]*Session     `cbor:"4,keyasint"`
	CurrentSessions map[string]uint64       `cbor:"5,keyasint"`            // current session of each box that has one
	Tasks           map[string]*Task        `cbor:"6,keyasint"`            // tasks with a holder or a waiter
	EndedSessions   map[string]EndedSession `cbor:"8,keyasint"`            // last session of each box that has none now
	Marks           map[string][]Mark       `cbor:"9,keyasint"`            // for each box, oldest first
	SuspendedAt     uint64                  `cbor:"7,keyasint"`            // if not 0, nothing is granted until an ExpiryDetector sends ResumeGrants; see SuspendGrants
	Barred          map[string]bool         `cbor:"10,keyasint,omitempty"` // boxes whose requests are rejected; see Bar
}

// NewTable returns an empty table.
func NewTable(t Terms) *Table {
	return &Table{Terms: t, Sessions: map[uint64]*Session{}, CurrentSessions: map[string]uint64{}, Tasks: map[string]*Task{}, EndedSessions: map[string]EndedSession{}, Marks: map[string][]Mark{}}
}

// Reasons for which Apply rejects a command. A rejected command has no effect, but if it carried the next number of a
// valid session it has renewed that session.
var (
	ErrNoSession      = errors.New("the box's session has ended; the box must join again")
	ErrSuperseded     = errors.New("session superseded: the box's name was taken by another process, or the box was barred")
	ErrOrder          = errors.New("command out of order: repeated, or a previous command is missing")
	ErrStale          = errors.New("stale command: the state that it refers to has changed in the meantime")
	ErrSlotMismatch   = errors.New("the task is in use with a different number of slots")
	ErrLimit          = errors.New("limit reached: too many sessions, tasks, waiters or slots in use")
	ErrNoLease        = errors.New("no such lease or request")
	ErrInvalidCommand = errors.New("invalid or unknown command")
	ErrBarred         = errors.New("this box is barred from the fleet until it is up to date; see 'cairnctl fleet stragglers'")
)

// Apply executes the command at the given ledger index.
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
			return ErrStale
		}
		t.end(s, false)
		return nil
	case Free:
		return t.free(func(l Lease) bool { return l.Token == c.Token })
	case ResumeGrants:
		if t.SuspendedAt == 0 || t.SuspendedAt != c.Seq {
			return ErrStale
		}
		t.SuspendedAt = 0
		for _, name := range t.TaskNames() {
			t.grant(name, t.Tasks[name])
		}
		return nil
	}
	s := t.Sessions[c.Session]
	if s == nil {
		return ErrNoSession
	}
	if s.NotRenewable {
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
	case Renew, CarryPayload:
		return nil
	case Acquire:
		return t.acquire(s, c)
	case Release:
		return t.release(s.ID, c.AcquireSeq, c.Token)
	case Stop:
		return t.stop(c.Token)
	case Leave:
		t.end(s, true)
		return nil
	case Report:
		return t.report(s.Box, Mark{c.Chain, c.N, c.Sum, index, c.First})
	}
	return ErrInvalidCommand
}

// report stores a mark. Within a chain, N must increase.
func (t *Table) report(box string, m Mark) error {
	marks := t.Marks[box]
	switch {
	case m.Chain == "" || len(m.Chain) > MaxName || len(m.Sum) > MaxName || len(marks) == 0 && len(t.Marks) >= MaxSessions:
		return ErrInvalidCommand
	case len(marks) > 0 && marks[len(marks)-1].Chain == m.Chain && marks[len(marks)-1].N >= m.N:
		return ErrOrder
	}
	t.Marks[box] = append(slices.Clone(marks[max(0, len(marks)+1-maxMarks):]), m)
	return nil
}

// join starts a session. An existing session of the same box name is not ended, because its process may still act until
// the session expires; the session just cannot be renewed any more.
func (t *Table) join(index uint64, c Command) error {
	if c.Box == "" || len(c.Box) > MaxName || len(c.Build) > MaxName {
		return ErrInvalidCommand
	}
	old := t.Sessions[t.CurrentSessions[c.Box]]
	if old != nil && old.Nonce == c.Nonce && old.JoinAttempt >= c.JoinAttempt {
		return ErrOrder
	}
	if len(t.Sessions) >= MaxSessions {
		return ErrLimit
	}
	if old != nil {
		old.NotRenewable = true
	}
	t.Sessions[index] = &Session{ID: index, Box: c.Box, Nonce: c.Nonce, JoinAttempt: c.JoinAttempt, Build: c.Build}
	t.CurrentSessions[c.Box] = index
	delete(t.EndedSessions, c.Box)
	for _, name := range t.TaskNames() {
		for i := range t.Tasks[name].Holders {
			if l := &t.Tasks[name].Holders[i]; l.Orphan && l.Box == c.Box {
				t.Token++
				l.Session, l.AcquireSeq, l.Token, l.Orphan = index, 0, t.Token, false
			}
		}
	}
	return nil
}

// end removes a session, withdraws its requests and frees its slots, except sticky ones.
func (t *Table) end(s *Session, parted bool) {
	delete(t.Sessions, s.ID)
	if t.CurrentSessions[s.Box] == s.ID {
		delete(t.CurrentSessions, s.Box)
		if len(t.EndedSessions) < MaxSessions {
			t.EndedSessions[s.Box] = EndedSession{s.ID, parted}
		}
	}
	next := t.Sessions[t.CurrentSessions[s.Box]] // session of another process of the same box, if one has joined
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
				l.Session, l.AcquireSeq, l.Token = next.ID, 0, t.Token
			default:
				l.Orphan = true
			}
			kept = append(kept, l)
		}
		task.Holders = kept
		t.grant(name, task)
	}
}

// TaskNames returns the names of all tasks in sorted order, which is the same on all boxes.
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
		return ErrInvalidCommand
	}
	task := t.Tasks[c.Task]
	switch {
	case t.placeCount() >= MaxHoldersAndWaiters, task == nil && len(t.Tasks) >= MaxTasks:
		return ErrLimit
	case task == nil:
		task = &Task{Slots: c.Slots}
		t.Tasks[c.Task] = task
	case task.Slots != c.Slots:
		return ErrSlotMismatch
	case len(task.Queue) >= MaxWaiters:
		return ErrLimit
	}
	t.Ticket++
	task.Queue = append(task.Queue, Waiter{Session: s.ID, Box: s.Box, AcquireSeq: c.Seq, Ticket: t.Ticket, Priority: c.Priority, Sticky: c.Sticky})
	t.grant(c.Task, task)
	return nil
}

// placeCount counts the holders and waiters of all tasks. The bound on them keeps an encoded state small enough for one message.
func (t *Table) placeCount() (n int) {
	for _, task := range t.Tasks {
		n += len(task.Holders) + len(task.Queue)
	}
	return n
}

// grant assigns free slots to waiters: highest priority first, in order of arrival among equals, and waiters that were
// passed MaxPassed times before all others. A task without holders and waiters is deleted.
func (t *Table) grant(name string, task *Task) {
	for len(task.Holders) < task.Slots && len(task.Queue) > 0 && t.SuspendedAt == 0 {
		best := 0
		for i, w := range task.Queue {
			if precedes(w, task.Queue[best]) {
				best = i
			}
		}
		w := task.Queue[best]
		for i := range task.Queue {
			if task.Queue[i].Ticket < w.Ticket {
				task.Queue[i].PassedCount++
			}
		}
		task.Queue = slices.Delete(task.Queue, best, best+1)
		t.Token++
		task.Holders = append(task.Holders, Lease{Session: w.Session, Box: w.Box, AcquireSeq: w.AcquireSeq, Token: t.Token, Priority: w.Priority, Sticky: w.Sticky})
	}
	if len(task.Holders) == 0 && len(task.Queue) == 0 {
		delete(t.Tasks, name)
	}
}

// precedes reports whether a is to be granted a slot before b.
func precedes(a, b Waiter) bool {
	if x, y := a.PassedCount >= MaxPassed, b.PassedCount >= MaxPassed; x != y {
		return x
	} else if x {
		return a.Ticket < b.Ticket
	}
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c < 0
	}
	return a.Ticket < b.Ticket
}

// release frees the slot or withdraws the request of one of the session's Acquire commands. A sticky slot taken over from
// an earlier session has no such command in this session and is identified by its token.
func (t *Table) release(session, acquireSeq, token uint64) error {
	if acquireSeq == 0 {
		return t.free(func(l Lease) bool { return l.Session == session && l.Token == token })
	}
	for _, name := range t.TaskNames() {
		task := t.Tasks[name]
		n := len(task.Queue)
		task.Queue = slices.DeleteFunc(task.Queue, func(w Waiter) bool { return w.Session == session && w.AcquireSeq == acquireSeq })
		if len(task.Queue) < n {
			t.grant(name, task)
			return nil
		}
	}
	return t.free(func(l Lease) bool { return l.Session == session && l.AcquireSeq == acquireSeq })
}

// free frees all slots for which match returns true.
func (t *Table) free(match func(Lease) bool) error {
	err := ErrNoLease
	for _, name := range t.TaskNames() {
		task := t.Tasks[name]
		n := len(task.Holders)
		task.Holders = slices.DeleteFunc(task.Holders, match)
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
				task.Holders[i].StopRequested = true
				return nil
			}
		}
	}
	return ErrNoLease
}

// Bar rejects all Acquire and Stop commands of a box until Unbar. Its session can no longer be renewed and ends by expiry.
// Its slots are granted to others only after that, so it is safe if the box has not learned of it yet. The box joins again
// to report that it is up to date.
func (t *Table) Bar(box string) {
	if t.Barred == nil {
		t.Barred = map[string]bool{}
	}
	t.Barred[box] = true
	if s := t.Sessions[t.CurrentSessions[box]]; s != nil {
		s.NotRenewable = true
		delete(t.CurrentSessions, box)
		t.EndedSessions[box] = EndedSession{s.ID, false}
	}
}

// Unbar reverts Bar.
func (t *Table) Unbar(box string) {
	if delete(t.Barred, box); len(t.Barred) == 0 {
		t.Barred = nil
	}
}

// SuspendGrants raises the token to at least the given one and suspends all grants. It is used when an operator restarts a ledger
// whose majority is lost: holders granted by the lost ledger may still act, and this table may not know all of them, so
// nothing is granted until an ExpiryDetector has waited for a term and sends ResumeGrants.
func (t *Table) SuspendGrants(index, token uint64) {
	t.Token, t.SuspendedAt = max(t.Token, token), index
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	c := *t
	c.EndedSessions, c.Barred = maps.Clone(t.EndedSessions), maps.Clone(t.Barred)
	c.Marks = maps.Clone(t.Marks) // shallow is enough: a box's list is replaced, not modified
	c.Sessions, c.CurrentSessions, c.Tasks = make(map[uint64]*Session, len(t.Sessions)), maps.Clone(t.CurrentSessions), make(map[string]*Task, len(t.Tasks))
	for id, s := range t.Sessions {
		n := *s
		c.Sessions[id] = &n
	}
	for name, task := range t.Tasks {
		c.Tasks[name] = &Task{Slots: task.Slots, Holders: slices.Clone(task.Holders), Queue: slices.Clone(task.Queue)}
	}
	return &c
}

// Check returns an error if an invariant is violated.
func (t *Table) Check() error {
	tokens := map[uint64]string{}
	for name, task := range t.Tasks {
		switch {
		case len(task.Holders) > task.Slots:
			return fmt.Errorf("%s: %d holders of %d slots", name, len(task.Holders), task.Slots)
		case len(task.Holders) < task.Slots && len(task.Queue) > 0 && t.SuspendedAt == 0:
			return fmt.Errorf("%s: a slot is free although the queue is not empty", name)
		case len(task.Holders)+len(task.Queue) == 0:
			return fmt.Errorf("%s: task without holders and waiters", name)
		}
		for _, l := range task.Holders {
			if other, ok := tokens[l.Token]; ok || l.Token > t.Token || l.Token == 0 {
				return fmt.Errorf("%s: token %d (last issued: %d) is invalid or duplicated in task %q", name, l.Token, t.Token, other)
			}
			tokens[l.Token] = name
			if _, ok := t.Sessions[l.Session]; ok == l.Orphan || l.Orphan && !l.Sticky {
				return fmt.Errorf("%s: holder %+v does not match its session (present: %v)", name, l, ok)
			}
		}
		for _, w := range task.Queue {
			if t.Sessions[w.Session] == nil {
				return fmt.Errorf("%s: waiter %s has no session", name, w.Box)
			}
		}
	}
	for box, id := range t.CurrentSessions {
		if s := t.Sessions[id]; s == nil || s.Box != box || s.NotRenewable {
			return fmt.Errorf("%s: invalid current session %+v", box, s)
		}
	}
	return nil
}
