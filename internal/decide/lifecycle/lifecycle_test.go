package lifecycle

import (
	"errors"
	"testing"
)

// sequenceLength is the number of events in each sequence of the exhaustive search: 8^6 sequences for each kind of
// start.
const sequenceLength = 6

// modelState is the process under test with the facts that its answers must follow from.
type modelState struct {
	machine                                                           Machine
	engineConnected, stateReceived, acknowledged, drain, hasSuccessor bool
	terminated, successorAtTerm                                       bool // ExitRequested was received; a successor existed at that time
	announced, accepted, stopped, moduleDrains, exits                 int
}

func (w *modelState) take(e Event) error {
	before := w.machine
	effect, err := w.machine.Apply(e)
	if err != nil {
		if w.machine != before || effect != 0 {
			return errors.New("a rejected call has changed the state")
		}
		if !errors.Is(err, ErrNotNow) || e != DrainOff || !w.terminated || w.successorAtTerm {
			return errors.New("rejected without a reason: " + err.Error())
		}
		return nil
	}
	switch e {
	case EngineConnected:
		w.engineConnected = true
	case StateReceived:
		w.stateReceived = true
	case Acknowledged:
		w.acknowledged = true
	case DrainOn, DrainOff:
		w.drain = e == DrainOn
	case Successor, SuccessorGone:
		w.hasSuccessor = e == Successor
	case ExitRequested:
		if !w.terminated {
			w.terminated, w.successorAtTerm = true, w.hasSuccessor
		}
	}
	for bit, n := range map[Effect]*int{Announce: &w.announced, Accept: &w.accepted, StopAccept: &w.stopped, DrainAll: &w.moduleDrains, ExitWhenIdle: &w.exits} {
		if effect&bit != 0 {
			*n++
		}
	}
	return w.check()
}

// check compares every answer with the recorded facts.
func (w *modelState) check() error {
	l := &w.machine
	canServe := w.stateReceived && (w.engineConnected || !l.HasPredecessor)
	mustAccept := canServe && (w.acknowledged || !l.HasPredecessor)
	switch {
	case w.announced > 0 && !(canServe && l.HasPredecessor), canServe && l.HasPredecessor && !w.acknowledged && !w.terminated && w.announced == 0:
		return errors.New("Announce must be sent if and only if only the acknowledgement of the previous process is missing")
	case w.announced > 1 || w.accepted > 1 || w.stopped > 1 || w.moduleDrains > 1 || w.exits > 1:
		return errors.New("an effect was returned twice")
	case w.accepted > 0 && !mustAccept:
		return errors.New("clients are accepted too early")
	case mustAccept && !w.terminated && w.accepted == 0:
		return errors.New("clients are not accepted")
	case (w.moduleDrains > 0) != (w.terminated && !w.successorAtTerm):
		return errors.New("the module must drain if and only if there is no successor")
	case (w.stopped > 0) != (w.terminated && w.successorAtTerm):
		return errors.New("accepting must stop at once if and only if there is a successor")
	case (w.exits > 0) != w.terminated:
		return errors.New("the process must exit if and only if it received Term")
	case (l.Ready() == nil) != (mustAccept && !w.terminated):
		return errors.New("Ready does not match whether clients are accepted")
	case l.Drained() != w.drain:
		return errors.New("Drained does not match the operator's last call")
	case l.Healthy(true) && w.drain:
		return errors.New("healthy during a drain")
	case l.Healthy(true) != (!w.drain && !(w.terminated && !w.successorAtTerm)):
		return errors.New("health does not match the drain; a hand-over must stay healthy")
	case !w.terminated && l.Healthy(false):
		return errors.New("the module's health is ignored")
	}
	return nil
}

// TestEveryOrderOfEvents runs all sequences of events on a first process and on a successor.
func TestEveryOrderOfEvents(t *testing.T) {
	sequences := 0
	var walk func(w modelState, sequence []Event)
	walk = func(w modelState, sequence []Event) {
		if len(sequence) == sequenceLength {
			sequences++
			return
		}
		for e := range Events {
			next := w
			if err := next.take(e); err != nil {
				t.Fatalf("waits %v, %v then %v: %v (state %v)", w.machine.HasPredecessor, sequence, e, err, next.machine.State())
			}
			walk(next, append(sequence[:len(sequence):len(sequence)], e))
		}
	}
	for _, waits := range []bool{false, true} {
		walk(modelState{machine: Machine{HasPredecessor: waits}}, nil)
	}
	if sequences != 2*262144 {
		t.Errorf("played %d sequences, want %d", sequences, 2*262144)
	}
}

// TestReadyReasons checks the reasons that an operator reads.
func TestReadyReasons(t *testing.T) {
	l := Machine{HasPredecessor: true}
	for _, step := range []struct {
		e    Event
		want string
	}{{EngineConnected, "not now: the previous process has not sent all of its state yet"}, {StateReceived, "not now: the previous process has not acknowledged this one"}, {Acknowledged, ""}, {DrainOn, ""}, {ExitRequested, "not now: this process is leaving"}} {
		l.Apply(step.e)
		if got := l.Ready(); (got == nil) != (step.want == "") || got != nil && got.Error() != step.want {
			t.Errorf("after event %d: Ready() = %v, want %q", step.e, got, step.want)
		}
	}
	if _, err := l.Apply(DrainOff); !errors.Is(err, ErrNotNow) {
		t.Errorf("DrainOff while leaving: %v, want ErrNotNow", err)
	}
	if l = (Machine{HasPredecessor: true}); l.Ready() == nil {
		t.Error("Ready() = nil before any event")
	}
	l.Apply(StateReceived)
	if err := l.Ready(); err == nil || err.Error() != "not now: the engine has not completed its handshake" {
		t.Error(err)
	}
	l.Apply(EngineConnected)
	if err := l.Ready(); err == nil || err.Error() != "not now: the previous process has not acknowledged this one" {
		t.Error(err)
	}
}
