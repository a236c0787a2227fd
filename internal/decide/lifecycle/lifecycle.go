// Package lifecycle decides what this process is, from its start to its end. It does no I/O: the daemon tells it what
// has happened and carries out the effects; health checks, the operators' door, the catalog and the signals ask it and
// decide nothing by themselves.
//
// A process of a replacement shares its replica with another one. A drain by the operator belongs to the replica, so
// both processes are told of it; the notice to leave belongs to the process. With a successor that takes clients it
// is a hand-over, without one a drain.
package lifecycle

import (
	"errors"
	"fmt"
	"time"
)

// State is what the process is.
type State uint8

// The states.
const (
	Starting    State = iota // does not take clients yet
	Serving                  // takes clients, and tells so
	Drained                  // the operator wants callers elsewhere; who comes all the same is served as usual
	HandingOver              // told to leave while a successor takes clients
	Leaving                  // told to leave, and nobody takes over
)

// String is the state's name in logs and answers.
func (s State) String() string {
	return [...]string{"starting", "serving", "drained by the operator", "handing over", "leaving"}[s]
}

// Event is something that has happened.
type Event uint8

// The events.
const (
	Engine        Event = iota // the engine has said hello
	Inherited                  // what a process before this one owes is known; at once where there is none
	Known                      // the process before this one knows that this one is about to take clients, or has ended
	DrainOn                    // the operators' calls, at this process or at the other one
	DrainOff                   //
	Successor                  // a process that replaces this one takes clients
	SuccessorGone              // it has ended
	Term                       // the notice to leave
	Events
)

// Effect is what is to be done now, as a set of bits.
type Effect uint8

// The effects.
const (
	Announce   Effect = 1 << iota // tell the process before this one that clients are about to be taken
	Accept                        // begin to take clients
	StopAccept                    // take no more, but leave the listening socket to the successor
	Part                          // ask all callers to open no new request on their connections
	DrainAll                      // the module drains, the catalog hears of it, and listening ends after the grace
	EndEmpty                      // the process ends as soon as nothing is owed
)

const (
	handOverMost = 3 * time.Second
	handOverRest = 700 * time.Millisecond
)

// HandOverTime is how long after the notice to leave a process that hands over is killed: the longest deadline, taken as
// 3 s if it is longer, and a rest.
func HandOverTime(longest time.Duration) time.Duration {
	return min(longest, handOverMost) + handOverRest
}

// ErrNotNow is wrapped by what is said of a call that cannot be carried out.
var ErrNotNow = errors.New("not now")

// Life is one process. The zero value has no predecessor to wait for and is not safe for concurrent use.
type Life struct {
	// Waits says that there is a process before this one. Clients are then taken only once what it owes is known
	// and the engine is there: until then it serves them better. And it must know of this one first: its notice to
	// leave may come as soon as this one says yes, and without a successor it would drain the whole replica.
	Waits bool

	state     State
	engine    bool
	inherited bool
	announced bool
	known     bool
	drained   bool
	successor bool
}

// Take takes an event. An error says why an operator's call cannot be carried out; nothing has changed then.
func (l *Life) Take(e Event) (Effect, error) {
	switch e {
	case Engine:
		l.engine = true
		return l.open(), nil
	case Inherited:
		l.inherited = true
		return l.open(), nil
	case Known:
		l.known = true
		return l.open(), nil
	case DrainOn, DrainOff:
		return 0, l.drain(e == DrainOn)
	case Successor:
		l.successor = true
	case SuccessorGone:
		l.successor = false
	case Term:
		return l.term(), nil
	}
	return 0, nil
}

// open begins the service once all that it needs is there.
func (l *Life) open() Effect {
	switch {
	case l.state != Starting || !l.inherited || l.Waits && !l.engine:
		return 0
	case l.Waits && !l.known:
		if l.announced {
			return 0
		}
		l.announced = true
		return Announce
	}
	l.state = Serving
	if l.drained {
		l.state = Drained
	}
	return Accept
}

// drain carries the operator's wish. Twice the same is no error. A process that leaves without a successor is in a
// drain that cannot be taken back.
func (l *Life) drain(on bool) error {
	switch {
	case l.state == Leaving && !on:
		return fmt.Errorf("%w: this process was told to leave and ends soon", ErrNotNow)
	case l.state == Serving && on:
		l.state = Drained
	case l.state == Drained && !on:
		l.state = Serving
	}
	l.drained = on
	return nil
}

func (l *Life) term() Effect {
	switch {
	case l.state == HandingOver || l.state == Leaving: // told twice
		return 0
	case l.successor:
		l.state = HandingOver
		return StopAccept | Part | EndEmpty
	}
	l.state = Leaving
	return DrainAll | EndEmpty
}

// State tells what the process is.
func (l *Life) State() State { return l.state }

// Announced tells whether the process before this one was told of it, which a new link to it has to repeat.
func (l *Life) Announced() bool { return l.announced }

// Drained tells whether the operator wants callers elsewhere, whatever the process is.
func (l *Life) Drained() bool { return l.drained }

// Good is the answer to health checks; module is what the module would say. In a hand-over the replica goes on, so
// that its callers must not be sent away.
func (l *Life) Good(module bool) bool {
	switch l.state {
	case Leaving:
		return false
	case HandingOver:
		return !l.drained
	}
	return module && !l.drained
}

// Ready is the answer to the operators' check: nil as soon as, and as long as, this process takes clients.
func (l *Life) Ready() error {
	switch l.state {
	case Serving, Drained:
		return nil
	case Starting:
		switch {
		case l.Waits && !l.inherited:
			return fmt.Errorf("%w: the process before this one has not told yet what it owes", ErrNotNow)
		case l.Waits && !l.engine:
			return fmt.Errorf("%w: the engine has not said hello", ErrNotNow)
		case l.Waits && !l.known:
			return fmt.Errorf("%w: the process before this one has not heard of it", ErrNotNow)
		}
	}
	return fmt.Errorf("%w: this process is %v", ErrNotNow, l.state)
}
