// Package conns decides which router connections are kept and when one may be closed. It does no I/O: the front
// passes in what it observes of a connection and carries out the decisions.
//
// The same invariant holds for each close, whatever its reason. Each request that was completely written to the connection
// before the observation that the close is based on has been read and answered, and the peer has acknowledged the
// answer. A request written after that observation races with the close: no part of it is run, so the router sends
// it again.
package conns

import "time"

// Reason says why a connection is closed.
type Reason uint8

// The reasons. Evicted, Idle, Overdue and Exit are withdrawn when the connection turns out to be in use.
const (
	None       Reason = iota
	Evicted           // the table is full and this connection is the first to be evicted
	Idle              // nothing was transferred for the idle time-out
	Overdue           // its first valid call, or the rest of a frame, is late (see Lifetime)
	Exit              // the process exits
	Malformed         // its input cannot be parsed
	SlowReader        // the peer does not read its answers, and the limit on unread output is reached
	Broken            // a write to the connection failed
	reasons
)

// Reasons is the number of reasons.
const Reasons = int(reasons)

var reasonNames = [Reasons]string{"none", "evicted", "idle", "overdue", "exit", "garbage", "deaf", "broken"}

// String returns the reason's name in counters and logs.
func (r Reason) String() string { return reasonNames[r] }

const (
	// answerTimeout is how long a connection with malformed input is kept for the answers to its earlier requests.
	// Such a client must be disconnected within 3 s of connecting.
	answerTimeout = time.Second
	// lingerTimeout is how long input is read and discarded after the write side was closed. If the socket were
	// closed with unread input, the kernel would send a reset and the peer could lose answers in flight.
	lingerTimeout = 500 * time.Millisecond
	// MaxDiscard bounds the input in bytes that is discarded before the connection is closed.
	MaxDiscard = 256 << 10
)

// View is an observation of a connection. Input is always in sight: it is in Kernel until the session is Feeding, or, over TLS, in
// Reader between the two.
type View struct {
	Kernel  int  // bytes of input in the kernel's receive buffer
	Reader  int  // above 0 while input was read and not yet passed to the session
	Feeding bool // the session is processing input
	Partial bool // a frame is incomplete
	Open    int  // calls that are not answered yet
	Unsent  bool // there are answers that were not yet written to the kernel
	Unacked int  // bytes of answers that the peer's kernel has not acknowledged
}

// Quiet reports whether no complete request is unread and no answer is outstanding or in flight.
func (v View) Quiet() bool {
	return v.Kernel == 0 && v.Reader == 0 && !v.Feeding && v.Open == 0 && !v.Unsent && v.Unacked == 0
}

// hasPendingAnswers reports whether there are answers that the peer has not received.
func (v View) hasPendingAnswers() bool { return v.Open > 0 || v.Unsent || v.Unacked > 0 }

// State is the stage that the close of a connection has reached.
type State uint8

// The states. In Answering, Lingering and Ended no calls are accepted.
const (
	Serving   State = iota
	Answering       // input is discarded; calls accepted earlier are still answered
	Lingering       // the write side is closed; input is discarded until the peer closes its side
	Ended           // closed, or to be closed immediately
)

// Action is the next operation on the connection.
type Action uint8

// The actions.
const (
	Keep      Action = iota
	HalfClose        // close the write side; the connection is Lingering afterwards
	Close
)

// Closing is the state machine that closes one connection. The zero value is a connection in service. It is not safe
// for concurrent use; the caller must hold, while it takes the View and calls Request or Step, the lock under which
// calls are accepted, so that no call is accepted between the observation and the decision.
type Closing struct {
	state       State
	reason      Reason
	startedAt   time.Duration
	lingerUntil time.Duration // end of the linger period
	discarded   int
}

// State returns the current state.
func (e *Closing) State() State { return e.state }

// Reason returns why the connection is closed, or None.
func (e *Closing) Reason() Reason { return e.reason }

// AcceptsCalls reports whether calls are still accepted.
func (e *Closing) AcceptsCalls() bool { return e.state == Serving }

// Discard adds n bytes to the input that was discarded.
func (e *Closing) Discard(n int) { e.discarded += n }

// Request requests a close. For a reason that can be withdrawn, it closes a quiet connection at once and leaves any
// other unchanged; the caller may request it again. Any other reason starts a close that Step continues.
func (e *Closing) Request(now time.Duration, reason Reason, v View) Action {
	if e.state != Serving {
		return e.Step(now, v)
	}
	switch reason {
	case Evicted, Idle, Overdue, Exit: // an incomplete frame is not a request yet
		if !v.Quiet() {
			return Keep
		}
	case Malformed:
		e.state, e.reason, e.startedAt = Answering, reason, now
		if v.hasPendingAnswers() {
			return Keep
		}
	}
	e.state, e.reason = Ended, reason
	return Close
}

// Step continues a close that has started. In state Ended it returns Close each time.
func (e *Closing) Step(now time.Duration, v View) Action {
	switch e.state {
	case Answering:
		expired := now >= e.startedAt+answerTimeout || e.discarded > MaxDiscard
		if v.hasPendingAnswers() && !expired {
			return Keep
		}
		if !expired {
			e.state, e.lingerUntil = Lingering, now+lingerTimeout
			return HalfClose
		}
	case Lingering:
		if now < e.lingerUntil && e.discarded <= MaxDiscard {
			return Keep
		}
	case Serving:
		return Keep
	}
	e.state = Ended
	return Close
}
