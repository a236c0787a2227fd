package conns

import (
	"fmt"
	"strings"
	"testing"
)

// The model covers one connection from the router's write to the acknowledgement of the answer by the router's
// kernel, with all events in any order, and a closer that observes the connection and then closes it. A request has
// two bytes, so that it can be half written or half read. Every reachable state is visited.
const (
	requestCount = 3                // requests that the router writes
	byteCount    = 2 * requestCount // bytes of all requests
)

// The stages of a request.
const (
	stageUnread   = iota
	stageAccepted // handed to the core: it may run
	stageAnswered // answered; the answer is in the outbox
	stageSent     // the answer is in the replica's kernel
	stageReceived // the answer is in the router's kernel
)

// modelState is one state of the model. The first three fields count the bytes that have passed a stage, in the
// order of the stages.
type modelState struct {
	written, fed, parsed uint8 // written by the router; taken out of the kernel by the connection's reader; parsed

	stage     [requestCount]uint8
	reader    uint8 // 0 waits for input, 1 waits for its turn, 2 feeding
	malformed bool  // the last byte that the router writes is malformed

	machine              Closing
	closerStep           uint8 // the closer's next step
	locked               bool  // the closer holds the session's lock
	writtenAtObservation uint8 // value of written at the observation that the close is based on
	kernelSeen           uint8 // unread bytes in the kernel at that observation
	closing              bool  // close was called
	closed               bool  // the descriptor is closed
	halfClosed           bool  // the replica's write side is closed
}

// closer configures how the closer works. Each check that is false is omitted, which gives the faulty variants.
type closer struct {
	name          string
	reason        Reason
	separateClose bool // observes only the usage and closes in a separate step
	lateFeeding   bool // the reader marks the connection as feeding only once it has taken the input out of the kernel
	discardLate   bool // input that arrives after the decision is discarded
	checkKernel   bool
	checkFeeding  bool
	checkUnsent   bool
	checkUnacked  bool
}

var (
	evict = closer{name: "evict", reason: Evicted, discardLate: true, checkKernel: true, checkFeeding: true, checkUnsent: true, checkUnacked: true}
	sweep = closer{name: "sweep", reason: Idle, discardLate: true, checkKernel: true, checkFeeding: true, checkUnsent: true, checkUnacked: true}
)

// completeRequests returns how many complete requests n bytes hold.
func completeRequests(n uint8) int { return int(n) / 2 }

func (w *modelState) openCalls() (n int) {
	for _, s := range w.stage {
		if s == stageAccepted {
			n++
		}
	}
	return n
}

// countStage returns the number of requests at a stage.
func (w *modelState) countStage(stage uint8) (n int) {
	for _, s := range w.stage {
		if s == stage {
			n++
		}
	}
	return n
}

// closeAndFindLoss closes the descriptor and describes the request that is lost by it, if any.
func (w *modelState) closeAndFindLoss(c closer) string {
	w.closed = true
	for i, s := range w.stage {
		switch {
		case w.malformed && i == requestCount-1: // malformed input is not a request
		case s == stageAccepted || s == stageAnswered:
			return fmt.Sprintf("request %d was accepted and its answer cannot be sent", i)
		case s == stageSent && w.written > w.fed:
			return fmt.Sprintf("request %d: the reset for unread input discards its answer", i)
		case s == stageUnread && completeRequests(w.writtenAtObservation) > i && !w.malformed:
			return fmt.Sprintf("request %d was complete before the observation and was not read", i)
		}
	}
	return ""
}

type transition struct {
	name string
	w    modelState
	lost string
}

// transitions returns all events that can happen next.
func (w modelState) transitions(c closer) (list []transition) {
	add := func(name string, n modelState, lost string) { list = append(list, transition{name, n, lost}) }
	if w.closed && w.reader == 0 {
		return nil
	}
	if w.written < byteCount && !w.closed {
		n := w
		n.written++
		add("router writes a byte", n, "")
	}
	switch {
	case w.reader == 0 && w.written > w.fed && !w.closing:
		n := w
		n.reader = 1
		add("the reader sees input", n, "")
	case w.reader == 1 && w.closing:
		n := w
		n.reader = 0
		add("the reader finds the connection closed", n, n.closeAndFindLoss(c))
	case w.reader == 1 && c.lateFeeding && w.fed < w.written && w.parsed == w.fed:
		n := w
		n.fed = w.written
		add("the reader takes input", n, "")
	case w.reader == 1 && !w.locked:
		n := w
		if c.discardLate && !w.machine.AcceptsCalls() {
			n.machine.Discard(int(w.written - w.fed)) // as the front does it
			n.fed, n.parsed = w.written, w.written
			n.machine.discarded = 0 // the model never reaches the limit
			n.reader = 0
			add("the reader discards input", n, "")
		} else {
			n.reader = 2
			add("the reader begins", n, "")
		}
	case w.reader == 2 && w.fed < w.written && w.parsed == w.fed && !w.closing:
		n := w
		n.fed = w.written
		add("the reader takes input", n, "")
	case w.reader == 2 && w.parsed < w.fed && !w.locked:
		n := w
		n.parsed++
		lost := ""
		switch {
		case w.malformed && n.parsed == byteCount: // malformed input: the connection is to be closed
			n.reader, n.fed = 0, n.parsed
			act := n.machine.Request(0, Malformed, n.view(c))
			n.apply(act, c)
			if n.closing {
				lost = n.closeAndFindLoss(c)
			}
			add("the reader parses malformed input", n, lost)
			return list
		case n.parsed%2 == 0:
			n.stage[completeRequests(n.parsed)-1] = stageAccepted
			if w.closing {
				lost = "accepted after the close"
			}
		}
		add("the reader parses a byte", n, lost)
	case w.reader == 2 && !w.locked:
		n := w
		n.reader = 0
		if w.closing {
			add("the reader ends and closes", n, n.closeAndFindLoss(c))
		} else {
			add("the reader waits again", n, "")
		}
	}
	if !w.closed {
		for i, s := range w.stage {
			if s != stageAccepted && s != stageAnswered && s != stageSent || s == stageAccepted && w.locked {
				continue
			}
			n := w
			n.stage[i]++
			add([]string{"", "the core answers", "the outbox writes", "the router's kernel acknowledges"}[s]+fmt.Sprint(" ", i), n, "")
		}
	}
	return append(list, w.closerTransitions(c)...)
}

// view returns the View that the closer observes, with the checks that are configured.
func (w *modelState) view(c closer) View {
	v := View{Feeding: c.checkFeeding && w.reader == 2, Partial: w.parsed%2 == 1, Open: w.openCalls()}
	if c.checkKernel {
		v.Kernel = int(w.written - w.fed)
	}
	if c.checkUnsent {
		v.Unsent = w.countStage(stageAnswered) > 0
	}
	if c.checkUnacked {
		v.Unacked = w.countStage(stageSent)
	}
	return v
}

// apply carries out an action; the close itself waits for the reader.
func (w *modelState) apply(a Action, c closer) {
	switch a {
	case HalfClose:
		w.halfClosed = true
	case Close:
		w.closing = true
	}
}

// closerTransitions returns the closer's next step, if there is one.
func (w modelState) closerTransitions(c closer) (list []transition) {
	add := func(name string, n modelState, lost string) { list = append(list, transition{name, n, lost}) }
	if w.closing {
		if !w.closed && w.reader == 0 {
			n := w
			add("the close is carried out", n, n.closeAndFindLoss(c))
			return []transition{{"the close is carried out", n, n.closeAndFindLoss(c)}}
		}
		return nil
	}
	if w.malformed {
		if st := w.machine.State(); st == Answering {
			n := w
			act := n.machine.Step(0, n.view(c))
			n.apply(act, c)
			if act != Keep {
				add("the close continues", n, "")
			}
		}
		return list
	}
	n := w
	switch w.closerStep {
	case 0:
		if !c.separateClose {
			n.closerStep, n.writtenAtObservation = 3, w.written
			add("the closer begins", n, "")
		} else if w.openCalls() == 0 {
			n.closerStep, n.writtenAtObservation = 9, w.written
			add("the closer observes the usage", n, "")
		}
	case 3: // under the lock, which does not keep the router from writing
		n.locked, n.closerStep, n.kernelSeen = true, 4, uint8(w.view(c).Kernel)
		add("the closer observes the kernel", n, "")
	case 4:
		v := w.view(c)
		v.Kernel = int(w.kernelSeen)
		n.kernelSeen, n.locked = 0, false
		act := n.machine.Request(0, c.reason, v)
		if n.closerStep = 9; act == Keep {
			n.closerStep, n.writtenAtObservation = 0, 0
		}
		add(fmt.Sprintf("the closer decides %v", act == Close), n, "")
	case 9:
		n.closing = true
		add("the close is called", n, "")
	}
	return list
}

// explore visits every state. It returns the events that lead to the first loss whose text contains like, and the
// numbers of states and steps.
func explore(t *testing.T, start modelState, c closer, like string) (trace []string, lost string, states, depth int) {
	t.Helper()
	type from struct {
		prev modelState
		name string
	}
	seen := map[modelState]from{start: {}}
	level := []modelState{start}
	for ; len(level) > 0; depth++ {
		var next []modelState
		for _, w := range level {
			for _, m := range w.transitions(c) {
				if m.lost != "" && !strings.Contains(m.lost, like) {
					continue
				}
				if m.lost != "" {
					trace = []string{m.name}
					for at := w; at != start; at = seen[at].prev {
						trace = append([]string{seen[at].name}, trace...)
					}
					return trace, m.lost, len(seen), depth
				}
				if _, ok := seen[m.w]; !ok {
					seen[m.w] = from{w, m.name}
					next = append(next, m.w)
				}
			}
		}
		level = next
	}
	return nil, "", len(seen), depth
}

// TestNoOrderOfEventsLosesARequest visits every order of events on one connection of three requests, for both
// callers of the closer and for malformed input behind a request.
func TestNoOrderOfEventsLosesARequest(t *testing.T) {
	for _, c := range []closer{evict, sweep} {
		for _, start := range []modelState{{}, {malformed: true}} {
			trace, lost, states, depth := explore(t, start, c, "")
			if lost != "" {
				t.Errorf("%s (garbage %v): %s after\n  %s", c.name, start.malformed, lost, strings.Join(trace, "\n  "))
			}
			t.Logf("%s (garbage %v): %d states, all that are reachable, in at most %d steps", c.name, start.malformed, states, depth)
			if states < 500 {
				t.Errorf("visited only %d states, want at least 500", states)
			}
		}
	}
}

// TestModelFindsLossesOfSeparateClose checks that the model detects the losses of a closer that observes the usage
// of a connection and closes it in a separate step. In the last kind of loss, a connection is evicted with a
// complete request in the reader; its task runs once more and accepts the request, and the answer cannot be sent.
func TestModelFindsLossesOfSeparateClose(t *testing.T) {
	for _, c := range []closer{
		{name: "evict in two steps", separateClose: true},
		{name: "evict in two steps, late input discarded", separateClose: true, discardLate: true},
	} {
		for _, like := range []string{"was complete before the observation", "its answer cannot be sent", "accepted after the close"} {
			trace, lost, _, depth := explore(t, modelState{}, c, like)
			if lost == "" {
				t.Errorf("%s: found no loss of the kind %q", c.name, like)
			}
			t.Logf("%s, %d steps: %s after\n  %s", c.name, depth, lost, strings.Join(trace, "\n  "))
		}
	}
}

// TestEachCheckOfTheCloserIsNeeded omits one check at a time; the model must find a loss.
func TestEachCheckOfTheCloserIsNeeded(t *testing.T) {
	for name, mutate := range map[string]func(*closer){
		"kernel not checked":           func(c *closer) { c.checkKernel = false },
		"feeding not checked":          func(c *closer) { c.checkFeeding = false },
		"outbox not checked":           func(c *closer) { c.checkUnsent = false },
		"acknowledgements not checked": func(c *closer) { c.checkUnacked = false },
		"feeding marked too late":      func(c *closer) { c.lateFeeding = true },
		"late input not discarded":     func(c *closer) { c.discardLate = false },
	} {
		c := sweep
		mutate(&c)
		trace, lost, _, _ := explore(t, modelState{}, c, "")
		if lost == "" {
			t.Errorf("%s: found no loss", name)
			continue
		}
		t.Logf("%s: %s after\n  %s", name, lost, strings.Join(trace, "\n  "))
	}
}
