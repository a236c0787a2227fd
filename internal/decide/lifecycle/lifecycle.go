// Package lifecycle is the state machine of one process from start to exit. It does no I/O: the daemon passes in
// events and carries out the effects. Health checks, operators' calls, the catalog reporter and the signal handling
// query it and decide nothing themselves.
//
// During a replacement two processes share one replica. A drain by the operator applies to the replica, so both
// processes receive it; SIGTERM applies to one process. It starts a hand-over if a successor accepts clients,
// and a drain otherwise.
package lifecycle

import (
	"errors"
	"fmt"
	"time"
)

// State is the state of the process.
type State uint8

// The states.
const (
	Starting    State = iota // does not accept clients yet
	Serving                  // accepts clients and is advertised as healthy
	Drained                  // the operator wants callers to use other replicas; those that connect are served as usual
	HandingOver              // requested to exit while a successor accepts clients
	Draining                 // requested to exit without a successor
)

// String returns the state's name in logs and answers.
func (s State) String() string {
	return [...]string{"starting", "serving", "drained by the operator", "handing over", "leaving"}[s]
}

// Event is an input of the state machine.
type Event uint8

// The events.
const (
	EngineConnected Event = iota // the engine has completed its handshake
	StateReceived                // the state of the previous process is known; at once where there is none
	Acknowledged                 // the previous process knows that this one is about to accept clients, or has ended
	DrainOn                      // an operator's call, at this process or at the other one
	DrainOff                     // an operator ends the drain
	Successor                    // a process that replaces this one accepts clients
	SuccessorGone                // the successor has ended
	ExitRequested                // the request to exit (SIGTERM, SIGINT)
	Events
)

// Effect is a bit set of operations that the daemon must carry out.
type Effect uint8

// The effects.
const (
	Announce          Effect = 1 << iota // notify the previous process that this one is about to accept clients
	Accept                               // start accepting clients
	StopAccept                           // stop accepting clients, but leave the listening socket to the successor
	DisconnectCallers                    // ask all callers to send no new requests on their connections
	DrainAll                             // drain the module, deregister from the catalog, and stop listening after the grace period
	ExitWhenIdle                         // exit as soon as nothing is outstanding
)

const (
	maxHandOverDeadline = 3 * time.Second
	handOverMargin      = 700 * time.Millisecond
)

// HandOverTime returns the time after SIGTERM at which a process that hands over is killed: the longest deadline,
// at most 3 s, and a margin.
func HandOverTime(longest time.Duration) time.Duration {
	return min(longest, maxHandOverDeadline) + handOverMargin
}

// ErrNotNow is wrapped by errors of calls that the current state does not allow.
var ErrNotNow = errors.New("not now")

// Machine is the state of one process. The zero value has no previous process to wait for. It is not safe for
// concurrent use.
type Machine struct {
	// HasPredecessor is true if there is a previous process. Clients are then accepted only once its state is known and the
	// engine is connected, as the previous process serves them better until then. The previous process must also know
	// of this one first: it may receive SIGTERM as soon as this one reports that it is ready, and without a successor
	// it would drain the whole replica.
	HasPredecessor bool

	state           State
	engineConnected bool
	stateReceived   bool
	announced       bool
	acknowledged    bool
	drained         bool
	successor       bool
}

// Apply handles an event. An error says why an operator's call is not possible in the current state; the state is
// unchanged then.
func (l *Machine) Apply(e Event) (Effect, error) {
	switch e {
	case EngineConnected:
		l.engineConnected = true
		return l.open(), nil
	case StateReceived:
		l.stateReceived = true
		return l.open(), nil
	case Acknowledged:
		l.acknowledged = true
		return l.open(), nil
	case DrainOn, DrainOff:
		return 0, l.drain(e == DrainOn)
	case Successor:
		l.successor = true
	case SuccessorGone:
		l.successor = false
	case ExitRequested:
		return l.requestExit(), nil
	}
	return 0, nil
}

// open starts the service once its preconditions hold.
func (l *Machine) open() Effect {
	switch {
	case l.state != Starting || !l.stateReceived || l.HasPredecessor && !l.engineConnected:
		return 0
	case l.HasPredecessor && !l.acknowledged:
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

// drain applies the operator's drain or the end of it. Repeating a call is no error. The drain of a process
// that exits without a successor cannot be ended.
func (l *Machine) drain(on bool) error {
	switch {
	case l.state == Draining && !on:
		return fmt.Errorf("%w: this process was told to exit and ends soon", ErrNotNow)
	case l.state == Serving && on:
		l.state = Drained
	case l.state == Drained && !on:
		l.state = Serving
	}
	l.drained = on
	return nil
}

func (l *Machine) requestExit() Effect {
	switch {
	case l.state == HandingOver || l.state == Draining: // a repeated SIGTERM
		return 0
	case l.successor:
		l.state = HandingOver
		return StopAccept | DisconnectCallers | ExitWhenIdle
	}
	l.state = Draining
	return DrainAll | ExitWhenIdle
}

// State returns the current state.
func (l *Machine) State() State { return l.state }

// Announced reports whether this process was announced to the previous one; a new link to it must repeat the
// announcement.
func (l *Machine) Announced() bool { return l.announced }

// Drained reports whether the operator has drained the replica, in any state.
func (l *Machine) Drained() bool { return l.drained }

// Healthy returns the answer to health checks; module is the module's own answer. During a hand-over the replica stays
// in service, so callers must not be sent to other replicas.
func (l *Machine) Healthy(module bool) bool {
	switch l.state {
	case Draining:
		return false
	case HandingOver:
		return !l.drained
	}
	return module && !l.drained
}

// Ready returns nil while this process accepts clients, and the reason otherwise. It answers the operators' check.
func (l *Machine) Ready() error {
	switch l.state {
	case Serving, Drained:
		return nil
	case Starting:
		switch {
		case l.HasPredecessor && !l.stateReceived:
			return fmt.Errorf("%w: the previous process has not sent all of its state yet", ErrNotNow)
		case l.HasPredecessor && !l.engineConnected:
			return fmt.Errorf("%w: the engine has not completed its handshake", ErrNotNow)
		case l.HasPredecessor && !l.acknowledged:
			return fmt.Errorf("%w: the previous process has not acknowledged this one", ErrNotNow)
		}
	}
	return fmt.Errorf("%w: this process is %v", ErrNotNow, l.state)
}
