package conns

import (
	"fmt"
	"strings"
	"testing"
)

// The model: one connection from the router's write to the router's kernel that takes the answer, with all that
// can happen in any order, and a closer that looks and then closes. A request is two bytes, so that one can be
// half written, half read. Every state that can be reached is visited.
const (
	asked = 3         // requests that the router writes
	bytes = 2 * asked // and their bytes
)

// What has become of a request.
const (
	unread  = iota
	taken   // handed to the core: it may run
	waiting // answered, in the outbox
	sent    // in our kernel
	got     // in the router's kernel
)

// world is a state. The first five count bytes that have come past a place, in the order in which they do.
type world struct {
	wrote, left, acked, next, parsed uint8 // written; out of the kernel; in the reader; with the feed; parsed

	stage  [asked]uint8
	task   uint8 // 0 none, 1 queued, 2 feeding
	garble bool  // the last byte that the router writes is garbage

	end     Ending
	step    uint8 // of the closer
	locked  bool  // the closer holds the session's lock
	looked  uint8 // wrote, at the look that counts
	kernel  uint8 // what it saw there
	closing bool  // the close was called
	closed  bool  // the descriptor is closed
	half    bool  // our side is ended
}

// way is how the closer works. The zero value of each part leaves it out, for the mutants.
type way struct {
	name   string
	why    Reason
	before bool // looks at the usage alone and closes later, as before there was one place for it
	poller bool // is called by the poller
	fence  bool
	seal   bool // what is fed after the decision is thrown away
	kernel bool // looks at the kernel
	reader bool
	feed   bool
	unsent bool
	acks   bool
}

var (
	evict = way{name: "evict", why: Evicted, poller: true, seal: true, kernel: true, reader: true, feed: true, unsent: true, acks: true}
	sweep = way{name: "sweep", why: Idle, fence: true, seal: true, kernel: true, reader: true, feed: true, unsent: true, acks: true}
)

// done tells how many whole requests lie within so many bytes.
func done(n uint8) int { return int(n) / 2 }

func (w *world) open() (n int) {
	for _, s := range w.stage {
		if s == taken {
			n++
		}
	}
	return n
}

// count tells how many requests stand at a stage.
func (w *world) count(stage uint8) (n int) {
	for _, s := range w.stage {
		if s == stage {
			n++
		}
	}
	return n
}

// shut closes the descriptor and tells what that loses.
func (w *world) shut(y way) string {
	w.closed = true
	for i, s := range w.stage {
		switch {
		case w.garble && i == asked-1: // no request
		case s == taken || s == waiting:
			return fmt.Sprintf("request %d was taken and its answer goes nowhere", i)
		case s == sent && w.wrote > w.left:
			return fmt.Sprintf("request %d: the reset for unread input takes its answer back", i)
		case s == unread && done(w.looked) > i && !w.garble:
			return fmt.Sprintf("request %d stood whole before the look and was not read", i)
		}
	}
	return ""
}

// pollerHeld tells whether the closer stands in the poller's own call.
func (w *world) pollerHeld(y way) bool { return y.poller && w.step > 0 && !w.closing }

type move struct {
	name string
	w    world
	lost string
}

// moves lists all that can happen next.
func (w world) moves(y way) (list []move) {
	add := func(name string, n world, lost string) { list = append(list, move{name, n, lost}) }
	if w.closed && w.task == 0 {
		return nil
	}
	if w.wrote < bytes && !w.closed {
		n := w
		n.wrote++
		add("router writes a byte", n, "")
	}
	if !w.closing && !w.pollerHeld(y) {
		if w.left == w.acked && w.wrote > w.left {
			n := w
			n.left = w.wrote
			add("poller reads the kernel", n, "")
		}
		if w.left > w.acked {
			n := w
			n.acked = w.left
			if n.task == 0 {
				n.task = 1
			}
			add("poller hands it to the reader", n, "")
		}
	}
	switch {
	case w.task == 1 && !w.locked:
		n := w
		switch {
		case y.seal && !w.end.Takes():
			n.end.Discard(int(w.acked - w.next)) // as the front does
			n.next, n.parsed = w.acked, w.acked
			n.end.discarded = 0 // the bound is not reached here
			n.task = 0
			if w.closing {
				add("the task throws input away and closes", n, n.shut(y))
			} else {
				add("the task throws input away", n, "")
			}
		default:
			n.task = 2
			add("the task begins", n, "")
		}
	case w.task == 2 && w.next < w.acked && w.parsed == w.next:
		n := w
		n.next = w.acked
		add("the task takes input", n, "")
	case w.task == 2 && w.parsed < w.next && !w.locked:
		n := w
		n.parsed++
		lost := ""
		switch {
		case w.garble && n.parsed == bytes: // cannot be read: the connection is to end
			n.task, n.next = 0, n.parsed
			act := n.end.Want(0, Garbage, n.see(y))
			n.do(act, y)
			if n.closing {
				lost = n.shut(y)
			}
			add("the task meets garbage", n, lost)
			return list
		case n.parsed%2 == 0:
			n.stage[done(n.parsed)-1] = taken
			if w.closing {
				lost = "taken after the close"
			}
		}
		add("the task parses a byte", n, lost)
	case w.task == 2 && !w.locked:
		n := w
		n.task = 0
		if w.closing {
			add("the task ends and closes", n, n.shut(y))
		} else {
			add("the task ends", n, "")
		}
	}
	if !w.closed {
		for i, s := range w.stage {
			if s != taken && s != waiting && s != sent || s == taken && w.locked {
				continue
			}
			n := w
			n.stage[i]++
			add([]string{"", "the core answers", "the outbox writes", "the router's kernel takes"}[s]+fmt.Sprint(" ", i), n, "")
		}
	}
	return append(list, w.closerMoves(y)...)
}

// see is the whole view at once.
func (w *world) see(y way) View {
	v := View{Feeding: y.feed && w.task == 2, Partial: w.parsed%2 == 1, Open: w.open()}
	if y.kernel {
		v.Kernel = int(w.wrote - w.left)
	}
	if y.reader {
		v.Reader = int(w.acked - w.next)
	}
	if y.unsent {
		v.Unsent = w.count(waiting) > 0
	}
	if y.acks {
		v.Unacked = w.count(sent)
	}
	return v
}

// do carries an action out; the close itself waits for a task.
func (w *world) do(a Action, y way) {
	switch a {
	case HalfClose:
		w.half = true
	case Close:
		w.closing = true
	}
}

// closerMoves lists the closer's next step, if it has one.
func (w world) closerMoves(y way) (list []move) {
	add := func(name string, n world, lost string) { list = append(list, move{name, n, lost}) }
	if w.closing {
		if !w.closed && w.task == 0 {
			n := w
			add("the close is carried out", n, n.shut(y))
			return []move{{"the close is carried out", n, n.shut(y)}}
		}
		return nil
	}
	if w.garble {
		if st := w.end.State(); st == Answering {
			n := w
			act := n.end.Step(0, n.see(y))
			n.do(act, y)
			if act != Keep {
				add("the end goes on", n, "")
			}
		}
		return list
	}
	n := w
	switch w.step {
	case 0:
		switch {
		case y.before:
			if w.open() > 0 || y.reader && w.acked > w.next {
				return nil
			}
			n.step, n.looked = 9, w.wrote
			add("the closer looks at the usage", n, "")
		case y.poller:
			if w.left == w.acked { // it is in prepare, so its hands are empty
				n.step, n.looked = 3, w.wrote
				add("the poller calls for room", n, "")
			}
		case !y.kernel || w.wrote == w.left:
			n.step, n.looked = 1, w.wrote
			add("the sweep looks first", n, "")
		}
	case 1:
		if !y.fence || w.left == w.acked {
			n.step = 3
			add("the fence is passed", n, "")
		}
	case 3: // under the lock, which does not hold the poller up
		n.locked, n.step, n.kernel = true, 4, uint8(w.see(y).Kernel)
		add("the closer looks at the kernel", n, "")
	case 4:
		v := w.see(y)
		v.Kernel = int(w.kernel)
		n.kernel, n.locked = 0, false
		act := n.end.Want(0, y.why, v)
		if n.step = 9; act == Keep {
			n.step, n.looked = 0, 0
		}
		add(fmt.Sprintf("the closer decides %v", act == Close), n, "")
	case 9:
		n.closing = true
		add("the close is called", n, "")
	}
	return list
}

// explore visits every state and returns the moves to the first loss whose text holds like, and how many states and steps there were.
func explore(t *testing.T, start world, y way, like string) (trace []string, lost string, states, depth int) {
	t.Helper()
	type from struct {
		prev world
		name string
	}
	seen := map[world]from{start: {}}
	level := []world{start}
	for ; len(level) > 0; depth++ {
		var next []world
		for _, w := range level {
			for _, m := range w.moves(y) {
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

// TestNoOrderOfEventsLosesARequest visits every order of events on one connection of two requests, for both
// callers of the closer and for garbage behind a request.
func TestNoOrderOfEventsLosesARequest(t *testing.T) {
	for _, y := range []way{evict, sweep} {
		for _, start := range []world{{}, {garble: true}} {
			trace, lost, states, depth := explore(t, start, y, "")
			if lost != "" {
				t.Errorf("%s (garbage %v): %s after\n  %s", y.name, start.garble, lost, strings.Join(trace, "\n  "))
			}
			t.Logf("%s (garbage %v): %d states, all that can be reached, in %d steps at most", y.name, start.garble, states, depth)
			if states < 500 {
				t.Errorf("only %d states", states)
			}
		}
	}
}

// TestTheModelFindsTheLossesOfTheCloserBefore: a closer that looked at the usage of a connection and closed it
// later. The last of these is what a probe saw on the bench: evicted for room with a whole request in the reader,
// a connection had its task run once more, which took the request; the answer to it went nowhere.
func TestTheModelFindsTheLossesOfTheCloserBefore(t *testing.T) {
	for _, y := range []way{
		{name: "evicted before", before: true},
		{name: "idle before", before: true, reader: true},
	} {
		for _, like := range []string{"stood whole before the look", "its answer goes nowhere", "taken after the close"} {
			trace, lost, _, depth := explore(t, world{}, y, like)
			if lost == "" {
				t.Errorf("%s: no loss found of the kind: %s", y.name, like)
			}
			t.Logf("%s, %d steps: %s after\n  %s", y.name, depth, lost, strings.Join(trace, "\n  "))
		}
	}
}

// TestEveryPartOfTheLookIsNeeded leaves out one part at a time; the model must find what that loses.
func TestEveryPartOfTheLookIsNeeded(t *testing.T) {
	for name, mutate := range map[string]func(*way){
		"the kernel is not looked at":     func(y *way) { y.kernel = false },
		"the reader is not looked at":     func(y *way) { y.reader = false },
		"the feed is not looked at":       func(y *way) { y.feed = false },
		"the outbox is not looked at":     func(y *way) { y.unsent = false },
		"acknowledgements do not count":   func(y *way) { y.acks = false },
		"the poller is not fenced":        func(y *way) { y.fence = false },
		"calls are taken after the close": func(y *way) { y.seal = false },
	} {
		y := sweep
		mutate(&y)
		trace, lost, _, _ := explore(t, world{}, y, "")
		if lost == "" {
			t.Errorf("%s: no loss found", name)
			continue
		}
		t.Logf("%s: %s after\n  %s", name, lost, strings.Join(trace, "\n  "))
	}
}
