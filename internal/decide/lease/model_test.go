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
	sim := &simFleet{terms: Terms{Term: 12 * time.Second, Drift: drift}, tasks: tasks, slots: slots, muted: map[*simBox]bool{}}
	sim.fullTable = NewTable(sim.terms)
	for i := range boxes {
		rate := 1.0
		switch i % 3 {
		case 0:
			rate = 1 - drift
		case 1:
			rate = 1 + drift
		}
		b := &simBox{name: fmt.Sprintf("box%d", i), rate: rate, table: NewTable(sim.terms)}
		sim.boxes = append(sim.boxes, b)
		sim.startProcess(b)
	}
	return sim
}

// startProcess starts a new process of a box, which keeps the box's copy of the table.
func (sim *simFleet) startProcess(b *simBox) {
	sim.lastNonce++
	b.holder = NewHolder(b.name, "test", sim.lastNonce, sim.terms)
	b.judge.Reset()
	b.observe(sim)
}

func (b *simBox) now(sim *simFleet) time.Duration {
	return time.Duration(float64(sim.realTime) * b.rate)
}

func (b *simBox) observe(sim *simFleet) {
	b.holder.Update(b.now(sim), b.table, func(seq uint64) error {
		for i, c := range sim.log[:b.applied] {
			if c.Session == b.holder.Session() && c.Seq == seq && sim.results[i] != ErrOrder {
				return sim.results[i]
			}
		}
		return nil
	})
	b.judge.Update(b.now(sim), b.table)
}

// deliver appends the i-th command in flight to the ledger. If twice is true, the command stays in flight.
func (sim *simFleet) deliver(i int, twice bool) {
	c := sim.inFlight[i]
	if !twice {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	sim.log = append(sim.log, c)
	before := sim.fullTable.Token
	sim.results = append(sim.results, applyEntry(sim.fullTable, uint64(len(sim.log)), c))
	sim.grants += int(sim.fullTable.Token - before)
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
func (b *simBox) catchUp(sim *simFleet, n int) {
	for ; n > 0 && b.applied < len(sim.log); n-- {
		b.applied++
		applyEntry(b.table, uint64(b.applied), sim.log[b.applied-1])
	}
	b.observe(sim)
}

// sendDue sends the commands that are due at the box's holder.
func (b *simBox) sendDue(sim *simFleet) {
	list, _ := b.holder.Due(b.now(sim))
	for _, c := range list {
		sim.send(c)
	}
}

// sendExpirations sends the commands that are due at the box's expiry detector.
func (b *simBox) sendExpirations(sim *simFleet) {
	list, _ := b.judge.Due(b.now(sim), b.table)
	for _, c := range list {
		sim.send(c)
	}
}

// settle lets all boxes that are not muted send commands, expire sessions and catch up for three rounds.
func (sim *simFleet) settle() {
	for range 3 {
		for _, b := range sim.boxes {
			if sim.muted[b] {
				continue
			}
			b.sendDue(sim)
			b.sendExpirations(sim)
			for len(sim.inFlight) > 0 {
				sim.deliver(0, false)
			}
			b.catchUp(sim, 1000)
		}
	}
}

// send puts a command in flight, unless it is already or too many are.
func (sim *simFleet) send(c Command) {
	if len(sim.inFlight) < 24 && !slices.Contains(sim.inFlight, c) {
		sim.inFlight = append(sim.inFlight, c)
	}
}

// activeRequest returns the box's active request for a task, or nil.
func (b *simBox) activeRequest(task string) *TrackedRequest {
	for _, a := range b.holder.Requests() {
		if a.Task == task && !a.State.Final() {
			return a
		}
	}
	return nil
}

// check verifies the guarantees: at no real time may more boxes act than there are slots, tokens never decrease, and the
// table's invariants hold.
func (sim *simFleet) check() error {
	if err := sim.fullTable.Check(); err != nil {
		return err
	}
	if sim.fullTable.Token < sim.lastToken {
		return fmt.Errorf("token decreased from %d to %d", sim.lastToken, sim.fullTable.Token)
	}
	sim.lastToken = sim.fullTable.Token
	for _, task := range sim.tasks {
		var acting []string
		for _, b := range sim.boxes {
			for _, a := range b.holder.Requests() {
				// CheckPermit is called on a copy because it updates the state.
				h, copied := *b.holder, *a
				h.requests = []*TrackedRequest{&copied}
				if a.Task == task && h.CheckPermit(b.now(sim), &copied, 0) == nil {
					acting = append(acting, fmt.Sprintf("%s under %d", b.name, a.Token))
				}
			}
		}
		sim.acts += len(acting)
		if len(acting) > sim.slots {
			return fmt.Errorf("%s: %s act at the same time with %d slots", task, strings.Join(acting, ", "), sim.slots)
		}
	}
	return nil
}

// fingerprint returns a string that identifies the state.
func (sim *simFleet) fingerprint() string {
	var s strings.Builder
	fmt.Fprint(&s, sim.realTime, sim.inFlight, len(sim.log), sim.log)
	for _, b := range sim.boxes {
		fmt.Fprint(&s, b.applied, b.holder.phase, b.holder.actUntil, b.holder.lastCreated, b.holder.resendAt, b.holder.lastSeq, len(b.holder.pending))
		for _, a := range b.holder.requests {
			fmt.Fprint(&s, *a)
		}
		fmt.Fprint(&s, len(b.judge.observed), b.judge.observed)
	}
	return s.String()
}

// clone returns a deep copy.
func (sim *simFleet) clone() *simFleet {
	c := *sim
	c.log, c.results, c.inFlight, c.fullTable = slices.Clone(sim.log), slices.Clone(sim.results), slices.Clone(sim.inFlight), sim.fullTable.Clone()
	c.boxes = nil
	for _, b := range sim.boxes {
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
		sim := newSimFleet(3, rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(rt, "drift"), slots, "export", "probe")
		fleets++
		box := func(t *rapid.T) *simBox { return sim.boxes[rapid.IntRange(0, len(sim.boxes)-1).Draw(t, "box")] }
		return map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				b, task := box(t), rapid.SampledFrom(sim.tasks).Draw(t, "task")
				if b.activeRequest(task) == nil {
					b.holder.Acquire(b.now(sim), Request{Task: task, Slots: slots, Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Sticky: task == "probe"})
				}
			},
			"give up": func(t *rapid.T) {
				b := box(t)
				if a := b.activeRequest(rapid.SampledFrom(sim.tasks).Draw(t, "task")); a != nil {
					b.holder.Release(b.now(sim), a)
				}
			},
			"submit": func(t *rapid.T) { box(t).sendDue(sim) },
			"judge":  func(t *rapid.T) { box(t).sendExpirations(sim) },
			"deliver": func(t *rapid.T) {
				if len(sim.inFlight) > 0 {
					sim.deliver(rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "twice") == 0)
				}
			},
			"deliver all": func(t *rapid.T) {
				for len(sim.inFlight) > 0 {
					sim.deliver(0, false)
				}
			},
			"settle":      func(t *rapid.T) { sim.settle() },
			"settle more": func(t *rapid.T) { sim.settle(); sim.realTime += sim.terms.Term / 12; sim.settle() },
			"silence or resume": func(t *rapid.T) { // a box that is disconnected, or paused between two steps
				b := box(t)
				sim.muted[b] = !sim.muted[b] && len(sim.muted) < 2
				if !sim.muted[b] {
					delete(sim.muted, b)
				}
			},
			"all request all": func(t *rapid.T) {
				for _, b := range sim.boxes {
					for _, task := range sim.tasks {
						if b.activeRequest(task) == nil && !sim.muted[b] {
							b.holder.Acquire(b.now(sim), Request{Task: task, Slots: slots, Sticky: task == "probe"})
						}
					}
				}
			},
			"lose all": func(t *rapid.T) { sim.inFlight = nil },
			"follow": func(t *rapid.T) {
				box(t).catchUp(sim, rapid.IntRange(1, 8).Draw(t, "entries"))
			},
			"all follow": func(t *rapid.T) {
				for _, b := range sim.boxes {
					b.catchUp(sim, 1000)
				}
			},
			"time passes": func(t *rapid.T) {
				sim.realTime += sim.terms.Term / time.Duration(rapid.SampledFrom([]int{1, 3, 6, 12}).Draw(t, "part"))
			},
			"restart": func(t *rapid.T) { sim.startProcess(box(t)) },
			"shut out": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "seldom") > 0 { // more often would leave few leases held for long
					return
				}
				b, c := box(t), Command{Kind: kindUnbar}
				if c.Box = b.name; !sim.fullTable.Barred[b.name] {
					c.Kind = kindBar
				}
				sim.send(c)
			},
			"spurious update": func(t *rapid.T) { b := box(t); b.observe(sim) },
			"operator": func(t *rapid.T) {
				task := sim.fullTable.Tasks["probe"]
				if task == nil || len(task.Holders) == 0 {
					return
				}
				if l := task.Holders[0]; l.Orphan {
					sim.send(Command{Kind: Free, Token: l.Token})
				} else if s := sim.fullTable.Sessions[l.Session]; !s.NotRenewable {
					for _, b := range sim.boxes {
						if b.holder.Session() == l.Session && b.holder.Phase() == Joined {
							b.holder.enqueue(b.now(sim), Command{Kind: Stop, Token: l.Token})
						}
					}
				}
			},
			"": func(t *rapid.T) {
				if err := sim.check(); err != nil {
					t.Fatal(err)
				}
				acts, grants = acts+sim.acts, grants+sim.grants
				sim.acts, sim.grants = 0, 0
			},
		}
	})
	if acts < 10000 || grants < 1000 {
		t.Errorf("only %d acts and %d grants in %d fleets: too few for a meaningful test", acts, grants, fleets)
	}
	t.Logf("%d fleets, %d acts seen, %d grants", fleets, acts, grants)
}

// possibleSteps returns all possible next steps in a fixed order.
func (sim *simFleet) possibleSteps() (list []func(*simFleet)) {
	for i := range sim.boxes {
		list = append(list, func(sim *simFleet) { sim.boxes[i].sendDue(sim) })
		list = append(list, func(sim *simFleet) { sim.boxes[i].catchUp(sim, 1000) })
		list = append(list, func(sim *simFleet) { sim.boxes[i].sendExpirations(sim) })
		list = append(list, func(sim *simFleet) { sim.startProcess(sim.boxes[i]) })
		for _, task := range sim.tasks {
			list = append(list, func(sim *simFleet) {
				b := sim.boxes[i]
				if a := b.activeRequest(task); a != nil {
					b.holder.Release(b.now(sim), a)
				} else {
					b.holder.Acquire(b.now(sim), Request{Task: task, Slots: 1})
				}
			})
		}
	}
	for i := range sim.inFlight {
		list = append(list, func(sim *simFleet) { sim.deliver(i, false) })
	}
	if len(sim.inFlight) > 0 {
		list = append(list, func(sim *simFleet) { sim.inFlight = nil })
	}
	return append(list, func(sim *simFleet) { sim.realTime += sim.terms.Term / 2 }, func(sim *simFleet) { sim.realTime += sim.terms.Term })
}

// explore runs every order of steps up to a depth and visits each state once.
func explore(sim *simFleet, depth int, seen map[string]int, fail func(error)) {
	key := sim.fingerprint()
	if left, ok := seen[key]; ok && left >= depth {
		return
	}
	seen[key] = depth
	if err := sim.check(); err != nil {
		fail(err)
		return
	}
	if depth == 0 {
		return
	}
	for _, step := range sim.possibleSteps() {
		next := sim.clone()
		step(next)
		explore(next, depth-1, seen, fail)
	}
}

// TestEveryOrderOfStepsOfThreeBoxes starts from a fleet in which one box holds both tasks, another one waits for one of them,
// and all boxes know this state. It runs every order of the next steps.
func TestEveryOrderOfStepsOfThreeBoxes(t *testing.T) {
	for _, drift := range []float64{0, 0.2} {
		sim := newSimFleet(3, drift, 1, "export", "probe")
		settle := func() {
			for range 4 {
				for _, b := range sim.boxes {
					b.sendDue(sim)
				}
				for len(sim.inFlight) > 0 {
					sim.deliver(0, false)
				}
				for _, b := range sim.boxes {
					b.catchUp(sim, 1000)
				}
			}
		}
		settle()
		for i, task := range []string{"export", "probe", "export"} {
			sim.boxes[i/2].holder.Acquire(sim.boxes[i/2].now(sim), Request{Task: task, Slots: 1})
			settle()
		}
		if sim.fullTable.Tasks["export"].Holders[0].Box != "box0" || len(sim.fullTable.Tasks["export"].Queue) != 1 {
			t.Fatalf("wrong initial state: %+v", sim.fullTable.Tasks["export"])
		}
		depth := 4
		if n, err := strconv.Atoi(os.Getenv("LEASE_DEPTH")); err == nil {
			depth = n
		}
		seen := map[string]int{}
		failed := 0
		explore(sim, depth, seen, func(err error) {
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
