// Package conns decides which router connections are kept and when one of them may be ended. It does no I/O:
// the front tells what it sees of a connection and carries out what is decided.
//
// One rule holds for every end, whatever its reason. What was written whole to the connection before the look
// that the end rests on has been read and answered, and its answer has been taken by the peer. A request that
// is written after that look crosses the close: nothing of it is run, so its router sends it again.
package conns

import "time"

// Reason says why a connection is to be ended.
type Reason uint8

// The reasons. The first four are withdrawn when the connection turns out to be in use.
const (
	None    Reason = iota
	Evicted        // the table is full and this one is missed least
	Idle           // it has carried nothing for too long
	Overdue        // its first good call, or the rest of a frame, is late (see Stay)
	Exit           // the process ends
	Garbage        // it sent what cannot be read
	Deaf           // it does not read its answers, and the bound on them is reached
	Broken         // a write to it failed
	reasons
)

// Reasons is how many there are.
const Reasons = int(reasons)

var names = [Reasons]string{"none", "evicted", "idle", "overdue", "exit", "garbage", "deaf", "broken"}

// String is the reason's name in counters and logs.
func (r Reason) String() string { return names[r] }

const (
	// answerTime bounds how long a peer that sent garbage is kept for the answers to what it sent before.
	// Such a client is owed an end within 3 s of connecting.
	answerTime = time.Second
	// lingerTime bounds how long input is read and thrown away after our side of the connection was ended.
	// Closed with unread input, the kernel would reset the connection and take back answers on their way.
	lingerTime = 500 * time.Millisecond
	// DiscardMost bounds the input that is thrown away for such a peer, in bytes.
	DiscardMost = 256 << 10
)

// View is what is seen of a connection. Input moves from each of the first three fields to the next. Between
// Kernel and Reader lies a place that cannot be seen, the poller's hands. So whoever looks is either the poller
// itself, or has found Kernel at 0 once before and has seen the poller go round since.
type View struct {
	Kernel  int  // bytes of input that the kernel holds
	Reader  int  // bytes of input that were read and not yet handed to the session
	Feeding bool // the session is at work on input
	Partial bool // a frame is begun and not whole
	Open    int  // calls without their answer
	Unsent  bool // answers that the kernel has not yet taken
	Unacked int  // bytes of answers that the peer's kernel has not yet taken
}

// Quiet tells whether nothing whole stands unread and nothing unanswered or on its way.
func (v View) Quiet() bool {
	return v.Kernel == 0 && v.Reader == 0 && !v.Feeding && v.Open == 0 && !v.Unsent && v.Unacked == 0
}

// owes tells whether there are answers that the peer has not got.
func (v View) owes() bool { return v.Open > 0 || v.Unsent || v.Unacked > 0 }

// State is how far the end of a connection has come.
type State uint8

// The states. Answering, Lingering and Ended take no more calls.
const (
	Serving   State = iota
	Answering       // input is thrown away; what was taken before is still answered
	Lingering       // our side is ended; input is read out until the peer ends its own
	Ended           // closed, or to be closed at once
)

// Action is what is to be done with the connection now.
type Action uint8

// The actions.
const (
	Keep      Action = iota
	HalfClose        // end our side, after which the connection is Lingering
	Close
)

// Ending is the end of one connection. The zero value is that of one in service. It is not safe for
// concurrent use; whoever carries it out must take the View and the step under one lock with the taking of
// calls, so that none is taken between the look and the end.
type Ending struct {
	state     State
	reason    Reason
	began     time.Duration
	until     time.Duration // of the linger
	discarded int
}

// State tells how far it has come.
func (e *Ending) State() State { return e.state }

// Reason tells why it ends, or None.
func (e *Ending) Reason() Reason { return e.reason }

// Takes tells whether calls are still taken.
func (e *Ending) Takes() bool { return e.state == Serving }

// Discard counts input that was thrown away.
func (e *Ending) Discard(n int) { e.discarded += n }

// Want asks for an end. A reason that can be withdrawn ends a quiet connection at once and leaves any other as
// it is: it may be asked for again. The others begin an end that Step carries on.
func (e *Ending) Want(now time.Duration, why Reason, v View) Action {
	if e.state != Serving {
		return e.Step(now, v)
	}
	switch why {
	case Evicted, Idle, Overdue, Exit: // a frame that is not whole is no request yet
		if !v.Quiet() {
			return Keep
		}
	case Garbage:
		e.state, e.reason, e.began = Answering, why, now
		if v.owes() {
			return Keep
		}
	}
	e.state, e.reason = Ended, why
	return Close
}

// Step carries an end on that has begun. At Ended it says Close each time.
func (e *Ending) Step(now time.Duration, v View) Action {
	switch e.state {
	case Answering:
		late := now >= e.began+answerTime || e.discarded > DiscardMost
		if v.owes() && !late {
			return Keep
		}
		if !late {
			e.state, e.until = Lingering, now+lingerTime
			return HalfClose
		}
	case Lingering:
		if now < e.until && e.discarded <= DiscardMost {
			return Keep
		}
	case Serving:
		return Keep
	}
	e.state = Ended
	return Close
}
