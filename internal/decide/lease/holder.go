package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a request for a slot as known to its box.
type State uint8

// The states of a request.
const (
	Requested State = iota + 1 // not known to be granted
	Held                       // granted, and the box may act
	Renewing                   // held, with a renewal in progress
	Uncertain                  // granted, but by the box's clock the lease may have expired: the box may not act
	Lost                       // ended by the ledger
	Released                   // released or withdrawn by the box itself
	Rejected                   // rejected by the ledger, or the box's name was taken by another process
)

var stateNames = [...]string{"", "asked", "held", "renewing", "doubtful", "lost", "given up", "refused"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText implements encoding.TextMarshaler. The text is the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Final reports whether the state is final.
func (s State) Final() bool { return s == Lost || s == Released || s == Rejected }

// event is an input to the state machine of a request.
type event uint8

const (
	grantedFresh event = iota + 1 // the table shows it as held, and the box's session is valid by its clock
	grantedStale                  // the table shows it as held, but the box's session may have expired
	renewalSent
	deadlinePassed
	removedFromTable // the table no longer shows it as held
	rejected         // the table does not contain the request, which was never granted
	sessionEnded
	givenUp
)

// next returns the state after an event.
func (s State) next(e event) State {
	if s.Final() {
		return s
	}
	switch e {
	case grantedFresh:
		return Held
	case grantedStale, deadlinePassed:
		if s == Requested && e == deadlinePassed {
			return Requested // still waiting; the next session repeats the request
		}
		return Uncertain
	case renewalSent:
		if s == Held {
			return Renewing
		}
	case removedFromTable:
		return Lost
	case rejected:
		return Rejected
	case sessionEnded:
		if s != Requested {
			return Lost
		}
	case givenUp:
		return Released
	}
	return s
}

// Request describes a requested slot.
type Request struct {
	Task     string
	Slots    int // maximum number of boxes that hold one at a time; must be the same on all boxes
	Priority int
	Sticky   bool
}

// TrackedRequest is a request and its state.
type TrackedRequest struct {
	Request
	ID            uint64 // assigned by this box; never 0
	State         State
	Token         uint64 // set once granted
	StopRequested bool   // the box is requested to stop early
	Reason        error  // reason of Rejected
	QueuePosition int    // position in the queue, from 1; 0 when not waiting or unknown

	acquireSeq uint64 // number of its Acquire in this session; 0 if none was created
	takenOver  bool   // taken over from an earlier session of the box
	inTable    bool
}

// TakenOver reports whether the slot was taken over from an earlier session of the box.
func (a *TrackedRequest) TakenOver() bool { return a.takenOver }

// Phase is the membership state of a box in its fleet.
type Phase uint8

// Phases of a box.
const (
	Joining    Phase = iota + 1 // the box has no session
	Joined                      // the box has a session
	Displaced                   // another process has joined under the box's name but sent nothing since: the join may be a delayed message of a dead process
	Superseded                  // another live process has joined under the box's name; this one stops acting and does not join again
	Left                        // the box has left
)

var phaseNames = [...]string{"", "joining", "in", "displaced", "superseded", "gone"}

func (p Phase) String() string { return phaseNames[p] }

// MarshalText implements encoding.TextMarshaler. The text is the name of the phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// unacknowledged is a command that is not known to be applied.
type unacknowledged struct {
	Command
	createdAt time.Duration // creation time, which is before it could be sent
}

// Holder is the client side of the leases of one box. Times are those of the box's own clock, which also runs while the
// machine is suspended. The zero value is not usable; use NewHolder. A Holder is not safe for concurrent use.
type Holder struct {
	box, build    string
	nonce         uint64
	terms         Terms
	phase         Phase
	joinAttempts  uint64           // number of joins so far
	session       uint64           // current session; 0 if there is none
	lastSession   uint64           // ID of the last session, which may have ended
	lastSeq       uint64           // number of the last command created
	lastRequestID uint64           // ID of the last TrackedRequest
	lastCreated   time.Duration    // creation time of the last command
	actUntil      time.Duration    // the box may act before this time
	pending       []unacknowledged // in order
	resendAt      time.Duration    // when to resend the pending commands; 0: immediately
	requests      []*TrackedRequest
}

// MaxRequests is the maximum number of requests of one box at a time.
const MaxRequests = 2048

// maxPendingForRenew is the number of pending commands from which on no Renew is added: the ledger is not responding, and
// each resend contains all pending commands.
const maxPendingForRenew = 64

// Errors returned by a Holder.
var (
	ErrTooMany      = errors.New("too many open requests on this box")
	ErrNotMember    = errors.New("this box has left the fleet or was superseded by another process")
	ErrMayBeExpired = errors.New("the lease may have expired by this box's clock")
	ErrTooShort     = errors.New("the remaining lease time is too short")
)

// NewHolder returns the Holder of a box. Each process must use a new random nonce.
func NewHolder(box, build string, nonce uint64, terms Terms) *Holder {
	return &Holder{box: box, build: build, nonce: nonce, terms: terms, phase: Joining}
}

// Phase returns the membership state of the box.
func (h *Holder) Phase() Phase { return h.phase }

// Session returns the ID of the box's current session, 0 if there is none.
func (h *Holder) Session() uint64 { return h.session }

// Left reports whether the box has left and has no command to send any more.
func (h *Holder) Left() bool { return h.phase == Left && len(h.pending) == 0 }

// ActDeadline returns the time, by the box's clock, before which the box may act for the fleet.
func (h *Holder) ActDeadline() time.Duration { return h.actUntil }

// Requests returns all requests, oldest first. They belong to the Holder and must not be modified.
func (h *Holder) Requests() []*TrackedRequest { return h.requests }

// Find returns the request with the given ID, or nil.
func (h *Holder) Find(id uint64) *TrackedRequest {
	for _, a := range h.requests {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// Acquire requests a slot. The request stays queued across sessions until it is granted or released.
func (h *Holder) Acquire(now time.Duration, r Request) (*TrackedRequest, error) {
	if h.phase == Superseded || h.phase == Left {
		return nil, ErrNotMember
	}
	if len(h.requests) >= MaxRequests {
		return nil, ErrTooMany
	}
	h.lastRequestID++
	a := &TrackedRequest{Request: r, ID: h.lastRequestID, State: Requested}
	h.requests = append(h.requests, a)
	h.sendAcquire(now, a)
	return a, nil
}

// sendAcquire creates the Acquire command of a request if the box has a session.
func (h *Holder) sendAcquire(now time.Duration, a *TrackedRequest) {
	if h.phase == Joined {
		a.acquireSeq = h.enqueue(now, Command{Kind: Acquire, Task: a.Task, Slots: a.Slots, Priority: a.Priority, Sticky: a.Sticky})
	}
}

// enqueue assigns the next number to a command of the session and queues it for sending.
func (h *Holder) enqueue(now time.Duration, c Command) uint64 {
	h.lastSeq++
	c.Session, c.Seq = h.session, h.lastSeq
	h.pending = append(h.pending, unacknowledged{c, now})
	h.lastCreated, h.resendAt = now, 0
	return c.Seq
}

// Release releases a slot or withdraws a request. The caller must have stopped acting under it.
func (h *Holder) Release(now time.Duration, a *TrackedRequest) {
	if a.State.Final() {
		return
	}
	a.State = a.State.next(givenUp)
	if h.phase == Joined && (a.acquireSeq != 0 || a.takenOver) {
		c := Command{Kind: Release, AcquireSeq: a.acquireSeq}
		if a.takenOver {
			c.Token = a.Token
		}
		h.enqueue(now, c)
	}
}

// Leave makes the box leave the fleet. The caller must have stopped acting.
func (h *Holder) Leave(now time.Duration) {
	for _, a := range h.requests {
		a.State = a.State.next(givenUp)
	}
	if h.phase == Joined {
		h.enqueue(now, Command{Kind: Leave})
	}
	h.phase, h.actUntil = Left, 0
	if h.session == 0 {
		h.pending = nil
	}
}

// Remove removes a request that is in a final state.
func (h *Holder) Remove(a *TrackedRequest) {
	if a.State.Final() {
		h.requests = slices.DeleteFunc(h.requests, func(o *TrackedRequest) bool { return o == a })
	}
}

// CheckPermit returns nil if an action that takes at most need may be started now. It must be called immediately before the action.
func (h *Holder) CheckPermit(now time.Duration, a *TrackedRequest, need time.Duration) error {
	if a.State == Held || a.State == Renewing {
		if now >= h.actUntil {
			h.checkDeadline(now)
		} else if now+need >= h.actUntil {
			return fmt.Errorf("%w: %v left, %v needed", ErrTooShort, h.actUntil-now, need)
		}
	}
	switch a.State {
	case Held, Renewing:
		return nil
	case Uncertain:
		return ErrMayBeExpired
	}
	return fmt.Errorf("the request is %v", a.State)
}

// checkDeadline updates the states of the requests if the box may no longer act.
func (h *Holder) checkDeadline(now time.Duration) {
	if now < h.actUntil {
		return
	}
	for _, a := range h.requests {
		a.State = a.State.next(deadlinePassed)
	}
}

// Due returns the commands to send to the ledger now, in order, and the time of the next call. All commands that are not
// known to be applied are sent together; the table rejects already applied ones by their number.
func (h *Holder) Due(now time.Duration) (commands []Command, next time.Duration) {
	h.checkDeadline(now)
	interval := h.terms.RenewInterval()
	switch {
	case h.phase == Joining && len(h.pending) == 0:
		h.joinAttempts++
		h.pending = []unacknowledged{{Command{Kind: Join, Box: h.box, Nonce: h.nonce, JoinAttempt: h.joinAttempts, Build: h.build}, now}}
		h.resendAt = 0
	case h.phase == Joined && now >= h.lastCreated+h.terms.RenewInterval() && len(h.pending) < maxPendingForRenew:
		h.enqueue(now, Command{Kind: Renew})
		for _, a := range h.requests {
			a.State = a.State.next(renewalSent)
		}
	}
	next = now + interval
	if h.phase == Joined {
		next = min(next, max(h.lastCreated+interval, now+interval/4))
	}
	if len(h.pending) == 0 {
		return nil, next
	}
	if now < h.resendAt {
		return nil, min(next, h.resendAt)
	}
	h.resendAt = now + interval/2
	for _, p := range h.pending {
		commands = append(commands, p.Command)
	}
	return commands, min(next, h.resendAt)
}

// Update updates the Holder after commands were applied to the local table. rejection returns the reason for which the
// command of this box with the given number was rejected; it may be nil if reasons are not known.
func (h *Holder) Update(now time.Duration, t *Table, rejection func(seq uint64) error) {
	h.terms = t.Terms
	if h.phase == Superseded {
		return
	}
	newest := t.Sessions[t.CurrentSessions[h.box]]
	mine := t.Sessions[h.session]
	switch {
	case h.phase == Joined && (mine == nil || mine.NotRenewable):
		h.endSession()
	case h.phase == Left && mine == nil:
		h.pending = nil
		return
	}
	switch {
	case newest != nil && newest.Nonce != h.nonce && h.lastSession != 0 && newest.ID > h.lastSession:
		h.phase, h.pending = Displaced, nil
		if newest.Seq > 0 { // the other process is alive
			h.phase = Superseded
			for _, a := range h.requests {
				a.State = a.State.next(rejected)
			}
		}
		return
	case h.phase == Displaced:
		h.phase = Joining
		return
	case h.phase == Joining && newest != nil && newest.Nonce == h.nonce:
		h.startSession(now, newest)
	}
	if mine = t.Sessions[h.session]; mine == nil {
		return
	}
	for len(h.pending) > 0 && h.pending[0].Seq <= mine.Seq {
		h.actUntil = max(h.actUntil, h.pending[0].createdAt+h.terms.HolderDuration())
		h.pending = h.pending[1:]
	}
	if h.phase != Left {
		h.updateRequests(now, t, mine, rejection)
	}
}

// startSession starts using the session that a join has created.
func (h *Holder) startSession(now time.Duration, s *Session) {
	h.phase, h.session, h.lastSession, h.lastSeq = Joined, s.ID, s.ID, 0
	if len(h.pending) == 1 && h.pending[0].Kind == Join && s.JoinAttempt == h.joinAttempts {
		h.actUntil, h.lastCreated = h.pending[0].createdAt+h.terms.HolderDuration(), h.pending[0].createdAt
	} else { // an earlier join was applied late: its creation time is unknown
		h.actUntil, h.lastCreated = 0, now-h.terms.RenewInterval()
	}
	h.pending = nil
	for _, a := range h.requests {
		if a.State == Requested {
			h.sendAcquire(now, a)
		}
	}
}

// endSession updates the state after the session has ended.
func (h *Holder) endSession() {
	h.phase, h.session, h.actUntil, h.pending = Joining, 0, 0, nil
	for _, a := range h.requests {
		a.State = a.State.next(sessionEnded)
		a.acquireSeq, a.inTable, a.QueuePosition = 0, false, 0
	}
}

// updateRequests updates the state of this box's requests from the table.
func (h *Holder) updateRequests(now time.Duration, t *Table, mine *Session, rejection func(uint64) error) {
	bySeq := map[uint64]*TrackedRequest{}
	byToken := map[uint64]*TrackedRequest{}
	for _, a := range h.requests {
		a.inTable = false
		if a.takenOver {
			byToken[a.Token] = a
		} else if a.acquireSeq != 0 {
			bySeq[a.acquireSeq] = a
		}
	}
	for name, task := range t.Tasks {
		for _, l := range task.Holders {
			if l.Session != h.session || l.Orphan {
				continue
			}
			a := bySeq[l.AcquireSeq]
			if l.AcquireSeq == 0 {
				if a = byToken[l.Token]; a == nil {
					h.lastRequestID++
					a = &TrackedRequest{Request: Request{Task: name, Slots: task.Slots, Priority: l.Priority, Sticky: true}, ID: h.lastRequestID, State: Requested, takenOver: true}
					h.requests = append(h.requests, a)
				}
			}
			if a == nil {
				continue
			}
			a.Token, a.StopRequested, a.QueuePosition, a.inTable = l.Token, a.StopRequested || l.StopRequested, 0, true
			if now < h.actUntil {
				if a.State != Renewing || len(h.pending) == 0 {
					a.State = a.State.next(grantedFresh)
				}
			} else {
				a.State = a.State.next(grantedStale)
			}
		}
		for i, w := range task.Queue {
			if a := bySeq[w.AcquireSeq]; w.Session == h.session && a != nil {
				a.QueuePosition, a.inTable = i+1, true
			}
		}
	}
	for _, a := range h.requests {
		if a.inTable || a.State.Final() || !a.takenOver && (a.acquireSeq == 0 || a.acquireSeq > mine.Seq) {
			continue
		}
		if a.State != Requested {
			a.State = a.State.next(removedFromTable)
			continue
		}
		if rejection != nil {
			a.Reason = rejection(a.acquireSeq)
		}
		a.State = a.State.next(rejected)
	}
}

// Report sends the head of the box's audit chain. It returns false if there is no session to send it in.
func (h *Holder) Report(now time.Duration, m Mark) bool {
	if h.phase == Joined {
		h.enqueue(now, Command{Kind: Report, Chain: m.Chain, N: m.N, Sum: m.Sum, First: m.First})
	}
	return h.phase == Joined
}

// SendPayload queues a payload as a command of this session and returns the command's number, or 0 if there is no session.
func (h *Holder) SendPayload(now time.Duration, payload cbor.ByteString) uint64 {
	if h.phase != Joined {
		return 0
	}
	return h.enqueue(now, Command{Kind: CarryPayload, Payload: payload})
}

// Stop requests the holder of a token to stop early.
func (h *Holder) Stop(now time.Duration, token uint64) {
	if h.phase == Joined {
		h.enqueue(now, Command{Kind: Stop, Token: token})
	}
}
