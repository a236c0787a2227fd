package lease

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// simFleet simulates a small fleet: one ledger, and boxes that apply it with a delay, whose clocks drift up to the stated
// bound, whose commands are lost, duplicated, delayed and reordered, and which may pause between any two steps. Real time
// is known only to the test.
type simFleet struct {
	terms     Terms
	realTime  time.Duration
	log       []Command
	results   []error // result of each entry
	fullTable *Table  // with the whole log applied
	inFlight  []Command
	boxes     []*simBox
	lastNonce uint64 // last nonce used
	tasks     []string
	slots     int
	muted     map[*simBox]bool // boxes that settle skips
	// statistics
	acts, grants int
	lastToken    uint64
}

type simBox struct {
	name    string
	rate    float64 // of its clock relative to real time
	holder  *Holder
	judge   ExpiryDetector
	table   *Table
	applied int // number of applied entries
}

func newSimFleet(boxes int, drift float64, slots int, tasks ...string) *simFleet {
	w := &simFleet{terms: Terms{Term: 12 * time.Second, Drift: drift}, tasks: tasks, slots: slots, muted: map[*simBox]bool{}}
	w.fullTable = NewTable(w.terms)
	for i := range boxes {
		rate := 1.0
		switch i % 3 {
		case 0:
			rate = 1 - drift
		case 1:
			rate = 1 + drift
		}
		b := &simBox{name: fmt.Sprintf("box%d", i), rate: rate, table: NewTable(w.terms)}
		w.boxes = append(w.boxes, b)
		w.startProcess(b)
	}
	return w
}

// startProcess starts a new process of a box, which keeps the box's copy of the table.
func (w *simFleet) startProcess(b *simBox) {
	w.lastNonce++
	b.holder = NewHolder(b.name, "test", w.lastNonce, w.terms)
	b.judge.Reset()
	b.observe(w)
}

func (b *simBox) now(w *simFleet) time.Duration { return time.Duration(float64(w.realTime) * b.rate) }

func (b *simBox) observe(w *simFleet) {
	b.holder.Update(b.now(w), b.table, func(seq uint64) error {
		for i, c := range w.log[:b.applied] {
			if c.Session == b.holder.Session() && c.Seq == seq && w.results[i] != ErrOrder {
				return w.results[i]
			}
		}
		return nil
	})
	b.judge.Update(b.now(w), b.table)
}

// deliver appends the i-th command in flight to the ledger. If twice is true, the command stays in flight.
func (w *simFleet) deliver(i int, twice bool) {
	c := w.inFlight[i]
	if !twice {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	w.log = append(w.log, c)
	before := w.fullTable.Token
	w.results = append(w.results, applyEntry(w.fullTable, uint64(len(w.log)), c))
	w.grants += int(w.fullTable.Token - before)
}

// Kinds of log entries for the calls of Bar and Unbar, which in production are made by package ledger.
const (
	kindBar   = Kind(200)
	kindUnbar = Kind(201)
)

// applyEntry executes a command, a bar or an unbar entry.
func applyEntry(t *Table, index uint64, c Command) error {
	switch c.Kind {
	case kindBar:
		t.Bar(c.Box)
	case kindUnbar:
		t.Unbar(c.Box)
	default:
		return t.Apply(index, c)
	}
	return nil
}

// catchUp applies up to n entries of the log to the box's table.
func (b *simBox) catchUp(w *simFleet, n int) {
	for ; n > 0 && b.applied < len(w.log); n-- {
		b.applied++
		applyEntry(b.table, uint64(b.applied), w.log[b.applied-1])
	}
	b.observe(w)
}

// sendDue sends the commands that are due at the box's holder.
func (b *simBox) sendDue(w *simFleet) {
	list, _ := b.holder.Due(b.now(w))
	for _, c := range list {
		w.send(c)
	}
}

// sendExpirations sends the commands that are due at the box's expiry detector.
func (b *simBox) sendExpirations(w *simFleet) {
	list, _ := b.judge.Due(b.now(w), b.table)
	for _, c := range list {
		w.send(c)
	}
}

// settle lets all boxes that are not muted send commands, expire sessions and catch up for three rounds.
func (w *simFleet) settle() {
	for range 3 {
		for _, b := range w.boxes {
			if w.muted[b] {
				continue
			}
			b.sendDue(w)
			b.sendExpirations(w)
			for len(w.inFlight) > 0 {
				w.deliver(0, false)
			}
			b.catchUp(w, 1000)
		}
	}
}

// send puts a command in flight, unless it is already or too many are.
func (w *simFleet) send(c Command) {
	if len(w.inFlight) < 24 && !slices.Contains(w.inFlight, c) {
		w.inFlight = append(w.inFlight, c)
	}
}

// activeAsk returns the box's active request for a task, or nil.
func (b *simBox) activeAsk(task string) *TrackedRequest {
	for _, a := range b.holder.Requests() {
		if a.Task == task && !a.State.Final() {
			return a
		}
	}
	return nil
}

// check verifies the guarantees: at no real time may more boxes act than there are slots, tokens never decrease, and the
// table's invariants hold.
func (w *simFleet) check() error {
	if err := w.fullTable.Check(); err != nil {
		return err
	}
	if w.fullTable.Token < w.lastToken {
		return fmt.Errorf("token decreased from %d to %d", w.lastToken, w.fullTable.Token)
	}
	w.lastToken = w.fullTable.Token
	for _, task := range w.tasks {
		var acting []string
		for _, b := range w.boxes {
			for _, a := range b.holder.Requests() {
				// CheckPermit is called on a copy because it updates the state.
				h, copied := *b.holder, *a
				h.requests = []*TrackedRequest{&copied}
				if a.Task == task && h.CheckPermit(b.now(w), &copied, 0) == nil {
					acting = append(acting, fmt.Sprintf("%s under %d", b.name, a.Token))
				}
			}
		}
		w.acts += len(acting)
		if len(acting) > w.slots {
			return fmt.Errorf("%s: %s act at the same time with %d slots", task, strings.Join(acting, ", "), w.slots)
		}
	}
	return nil
}

// fingerprint returns a string that identifies the state.
func (w *simFleet) fingerprint() string {
	var s strings.Builder
	fmt.Fprint(&s, w.realTime, w.inFlight, len(w.log), w.log)
	for _, b := range w.boxes {
		fmt.Fprint(&s, b.applied, b.holder.phase, b.holder.actUntil, b.holder.lastCreated, b.holder.resendAt, b.holder.lastSeq, len(b.holder.pending))
		for _, a := range b.holder.requests {
			fmt.Fprint(&s, *a)
		}
		fmt.Fprint(&s, len(b.judge.observed), b.judge.observed)
	}
	return s.String()
}

// clone returns a deep copy.
func (w *simFleet) clone() *simFleet {
	c := *w
	c.log, c.results, c.inFlight, c.fullTable = slices.Clone(w.log), slices.Clone(w.results), slices.Clone(w.inFlight), w.fullTable.Clone()
	c.boxes = nil
	for _, b := range w.boxes {
		n := *b
		h := *b.holder
		h.pending, h.requests = slices.Clone(b.holder.pending), nil
		for _, a := range b.holder.requests {
			copied := *a
			h.requests = append(h.requests, &copied)
		}
		n.holder, n.table = &h, b.table.Clone()
		n.judge.observed = map[uint64]observation{}
		for id, s := range b.judge.observed {
			n.judge.observed[id] = s
		}
		c.boxes = append(c.boxes, &n)
	}
	return &c
}

// TestRandomStepsNeverExceedSlots runs random steps, with clocks at the bounds of the stated drift, and checks that never more
// boxes act than there are slots.
func TestRandomStepsNeverExceedSlots(t *testing.T) {
	acts, grants, fleets := 0, 0, 0
	testkit.RunStateMachines(t, 1500, 300, func(rt *rapid.T) map[string]func(*rapid.T) {
		slots := rapid.IntRange(1, 2).Draw(rt, "slots")
		w := newSimFleet(3, rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(rt, "drift"), slots, "export", "probe")
		fleets++
		box := func(t *rapid.T) *simBox { return w.boxes[rapid.IntRange(0, len(w.boxes)-1).Draw(t, "box")] }
		return map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				b, task := box(t), rapid.SampledFrom(w.tasks).Draw(t, "task")
				if b.activeAsk(task) == nil {
					b.holder.Acquire(b.now(w), Request{Task: task, Slots: slots, Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Sticky: task == "probe"})
				}
			},
			"give up": func(t *rapid.T) {
				b := box(t)
				if a := b.activeAsk(rapid.SampledFrom(w.tasks).Draw(t, "task")); a != nil {
					b.holder.Release(b.now(w), a)
				}
			},
			"submit": func(t *rapid.T) { box(t).sendDue(w) },
			"judge":  func(t *rapid.T) { box(t).sendExpirations(w) },
			"deliver": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "twice") == 0)
				}
			},
			"deliver all": func(t *rapid.T) {
				for len(w.inFlight) > 0 {
					w.deliver(0, false)
				}
			},
			"settle":      func(t *rapid.T) { w.settle() },
			"settle more": func(t *rapid.T) { w.settle(); w.realTime += w.terms.Term / 12; w.settle() },
			"silence or resume": func(t *rapid.T) { // a box that is disconnected, or paused between two steps
				b := box(t)
				w.muted[b] = !w.muted[b] && len(w.muted) < 2
				if !w.muted[b] {
					delete(w.muted, b)
				}
			},
			"all request all": func(t *rapid.T) {
				for _, b := range w.boxes {
					for _, task := range w.tasks {
						if b.activeAsk(task) == nil && !w.muted[b] {
							b.holder.Acquire(b.now(w), Request{Task: task, Slots: slots, Sticky: task == "probe"})
						}
					}
				}
			},
			"lose all": func(t *rapid.T) { w.inFlight = nil },
			"follow": func(t *rapid.T) {
				box(t).catchUp(w, rapid.IntRange(1, 8).Draw(t, "entries"))
			},
			"all follow": func(t *rapid.T) {
				for _, b := range w.boxes {
					b.catchUp(w, 1000)
				}
			},
			"time passes": func(t *rapid.T) {
				w.realTime += w.terms.Term / time.Duration(rapid.SampledFrom([]int{1, 3, 6, 12}).Draw(t, "part"))
			},
			"restart": func(t *rapid.T) { w.startProcess(box(t)) },
			"shut out": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "seldom") > 0 { // more often would leave few leases held for long
					return
				}
				b, c := box(t), Command{Kind: kindUnbar}
				if c.Box = b.name; !w.fullTable.Barred[b.name] {
					c.Kind = kindBar
				}
				w.send(c)
			},
			"spurious update": func(t *rapid.T) { b := box(t); b.observe(w) },
			"operator": func(t *rapid.T) {
				task := w.fullTable.Tasks["probe"]
				if task == nil || len(task.Holders) == 0 {
					return
				}
				if l := task.Holders[0]; l.Orphan {
					w.send(Command{Kind: Free, Token: l.Token})
				} else if s := w.fullTable.Sessions[l.Session]; !s.NotRenewable {
					for _, b := range w.boxes {
						if b.holder.Session() == l.Session && b.holder.Phase() == Joined {
							b.holder.enqueue(b.now(w), Command{Kind: Stop, Token: l.Token})
						}
					}
				}
			},
			"": func(t *rapid.T) {
				if err := w.check(); err != nil {
					t.Fatal(err)
				}
				acts, grants = acts+w.acts, grants+w.grants
				w.acts, w.grants = 0, 0
			},
		}
	})
	if acts < 10000 || grants < 1000 {
		t.Errorf("only %d acts and %d grants in %d fleets: too few for a meaningful test", acts, grants, fleets)
	}
	t.Logf("%d fleets, %d acts seen, %d grants", fleets, acts, grants)
}

// possibleSteps returns all possible next steps in a fixed order.
func (w *simFleet) possibleSteps() (list []func(*simFleet)) {
	for i := range w.boxes {
		list = append(list, func(w *simFleet) { w.boxes[i].sendDue(w) })
		list = append(list, func(w *simFleet) { w.boxes[i].catchUp(w, 1000) })
		list = append(list, func(w *simFleet) { w.boxes[i].sendExpirations(w) })
		list = append(list, func(w *simFleet) { w.startProcess(w.boxes[i]) })
		for _, task := range w.tasks {
			list = append(list, func(w *simFleet) {
				b := w.boxes[i]
				if a := b.activeAsk(task); a != nil {
					b.holder.Release(b.now(w), a)
				} else {
					b.holder.Acquire(b.now(w), Request{Task: task, Slots: 1})
				}
			})
		}
	}
	for i := range w.inFlight {
		list = append(list, func(w *simFleet) { w.deliver(i, false) })
	}
	if len(w.inFlight) > 0 {
		list = append(list, func(w *simFleet) { w.inFlight = nil })
	}
	return append(list, func(w *simFleet) { w.realTime += w.terms.Term / 2 }, func(w *simFleet) { w.realTime += w.terms.Term })
}

// explore runs every order of steps up to a depth and visits each state once.
func explore(w *simFleet, depth int, seen map[string]int, fail func(error)) {
	key := w.fingerprint()
	if left, ok := seen[key]; ok && left >= depth {
		return
	}
	seen[key] = depth
	if err := w.check(); err != nil {
		fail(err)
		return
	}
	if depth == 0 {
		return
	}
	for _, step := range w.possibleSteps() {
		next := w.clone()
		step(next)
		explore(next, depth-1, seen, fail)
	}
}

// TestEveryOrderOfStepsOfThreeBoxes starts from a fleet in which one box holds both tasks, another one waits for one of them,
// and all boxes know this state. It runs every order of the next steps.
func TestEveryOrderOfStepsOfThreeBoxes(t *testing.T) {
	for _, drift := range []float64{0, 0.2} {
		w := newSimFleet(3, drift, 1, "export", "probe")
		settle := func() {
			for range 4 {
				for _, b := range w.boxes {
					b.sendDue(w)
				}
				for len(w.inFlight) > 0 {
					w.deliver(0, false)
				}
				for _, b := range w.boxes {
					b.catchUp(w, 1000)
				}
			}
		}
		settle()
		for i, task := range []string{"export", "probe", "export"} {
			w.boxes[i/2].holder.Acquire(w.boxes[i/2].now(w), Request{Task: task, Slots: 1})
			settle()
		}
		if w.fullTable.Tasks["export"].Holders[0].Box != "box0" || len(w.fullTable.Tasks["export"].Queue) != 1 {
			t.Fatalf("wrong initial state: %+v", w.fullTable.Tasks["export"])
		}
		depth := 4
		if n, err := strconv.Atoi(os.Getenv("LEASE_DEPTH")); err == nil {
			depth = n
		}
		seen := map[string]int{}
		failed := 0
		explore(w, depth, seen, func(err error) {
			if failed++; failed < 4 {
				t.Error(err)
			}
		})
		t.Logf("drift %v: %d states in %d steps", drift, len(seen), depth)
		if len(seen) < 2000 {
			t.Error("too few states for a meaningful test")
		}
	}
}
