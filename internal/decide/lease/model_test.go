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

// world is a fleet in small: one ledger, and boxes that see it late, whose clocks drift as far as is stated, whose commands
// are lost, doubled, delayed and reordered, and who may stop between any two steps. The true time is known to the test alone.
type world struct {
	terms Terms
	true_ time.Duration
	log   []Command
	why   []error // of each entry
	all   *Table  // with the whole log applied
	wire  []Command
	boxes []*simBox
	next  uint64 // nonce
	tasks []string
	slots int
	mute  map[*simBox]bool // left out of what all do together
	// what the histories showed
	acts, grants int
	lastToken    uint64
}

type simBox struct {
	name  string
	rate  float64 // of its clock against the true time
	h     *Holder
	judge Judge
	table *Table
	seen  int // entries applied
}

func newWorld(boxes int, drift float64, slots int, tasks ...string) *world {
	w := &world{terms: Terms{Term: 12 * time.Second, Drift: drift}, tasks: tasks, slots: slots, mute: map[*simBox]bool{}}
	w.all = NewTable(w.terms)
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
		w.start(b)
	}
	return w
}

// start is a new process of a box, which keeps what it knew of the ledger.
func (w *world) start(b *simBox) {
	w.next++
	b.h = NewHolder(b.name, "test", w.next, w.terms)
	b.judge.Forget()
	b.look(w)
}

func (b *simBox) now(w *world) time.Duration { return time.Duration(float64(w.true_) * b.rate) }

func (b *simBox) look(w *world) {
	b.h.Saw(b.now(w), b.table, func(seq uint64) error {
		for i, c := range w.log[:b.seen] {
			if c.Session == b.h.Session() && c.Seq == seq && w.why[i] != ErrOrder {
				return w.why[i]
			}
		}
		return nil
	})
	b.judge.Saw(b.now(w), b.table)
}

// apply takes the command at a place of the wire into the ledger; it stays on the wire, if twice.
func (w *world) apply(i int, twice bool) {
	c := w.wire[i]
	if !twice {
		w.wire = slices.Delete(w.wire, i, i+1)
	}
	w.log = append(w.log, c)
	before := w.all.Token
	w.why = append(w.why, apply(w.all, uint64(len(w.log)), c))
	w.grants += int(w.all.Token - before)
}

// What the ledger does of its own accord has its place in the log as well.
const (
	bar   = Kind(200)
	unbar = Kind(201)
)

func apply(t *Table, index uint64, c Command) error {
	switch c.Kind {
	case bar:
		t.Bar(c.Box)
	case unbar:
		t.Unbar(c.Box)
	default:
		return t.Apply(index, c)
	}
	return nil
}

// follow has a box apply up to n entries.
func (b *simBox) follow(w *world, n int) {
	for ; n > 0 && b.seen < len(w.log); n-- {
		b.seen++
		apply(b.table, uint64(b.seen), w.log[b.seen-1])
	}
	b.look(w)
}

// talk puts on the wire what a box wants to say.
func (b *simBox) talk(w *world) {
	list, _ := b.h.Due(b.now(w))
	for _, c := range list {
		w.say(c)
	}
}

// judgeNow has a box judge by what it has seen.
func (b *simBox) judgeNow(w *world) {
	list, _ := b.judge.Due(b.now(w), b.table)
	for _, c := range list {
		w.say(c)
	}
}

// settle has all that are not mute talk, follow and judge until nothing is left to say.
func (w *world) settle() {
	for range 3 {
		for _, b := range w.boxes {
			if w.mute[b] {
				continue
			}
			b.talk(w)
			b.judgeNow(w)
			for len(w.wire) > 0 {
				w.apply(0, false)
			}
			b.follow(w, 1000)
		}
	}
}

func (w *world) say(c Command) {
	if len(w.wire) < 24 && !slices.Contains(w.wire, c) {
		w.wire = append(w.wire, c)
	}
}

func (b *simBox) open(task string) *Ask {
	for _, a := range b.h.Asks() {
		if a.Task == task && !a.State.Over() {
			return a
		}
	}
	return nil
}

// check is what is promised: at no true time may more boxes act than there are slots, an act's token is the newest of its
// task's, and the table is whole.
func (w *world) check() error {
	if err := w.all.Check(); err != nil {
		return err
	}
	if w.all.Token < w.lastToken {
		return fmt.Errorf("tokens went back from %d to %d", w.lastToken, w.all.Token)
	}
	w.lastToken = w.all.Token
	for _, task := range w.tasks {
		var acting []string
		for _, b := range w.boxes {
			for _, a := range b.h.Asks() {
				// May is asked on a copy: asking takes note of the time.
				h, copied := *b.h, *a
				h.asks = []*Ask{&copied}
				if a.Task == task && h.May(b.now(w), &copied, 0) == nil {
					acting = append(acting, fmt.Sprintf("%s under %d", b.name, a.Token))
				}
			}
		}
		w.acts += len(acting)
		if len(acting) > w.slots {
			return fmt.Errorf("%s: %s act at once of %d slots", task, strings.Join(acting, ", "), w.slots)
		}
	}
	return nil
}

// key tells states apart.
func (w *world) key() string {
	var s strings.Builder
	fmt.Fprint(&s, w.true_, w.wire, len(w.log), w.log)
	for _, b := range w.boxes {
		fmt.Fprint(&s, b.seen, b.h.phase, b.h.until, b.h.made, b.h.send, b.h.seq, len(b.h.open))
		for _, a := range b.h.asks {
			fmt.Fprint(&s, *a)
		}
		fmt.Fprint(&s, len(b.judge.seen), b.judge.seen)
	}
	return s.String()
}

// clone copies a world.
func (w *world) clone() *world {
	c := *w
	c.log, c.why, c.wire, c.all = slices.Clone(w.log), slices.Clone(w.why), slices.Clone(w.wire), w.all.Clone()
	c.boxes = nil
	for _, b := range w.boxes {
		n := *b
		h := *b.h
		h.open, h.asks = slices.Clone(b.h.open), nil
		for _, a := range b.h.asks {
			copied := *a
			h.asks = append(h.asks, &copied)
		}
		n.h, n.table = &h, b.table.Clone()
		n.judge.seen = map[uint64]sight{}
		for id, s := range b.judge.seen {
			n.judge.seen[id] = s
		}
		c.boxes = append(c.boxes, &n)
	}
	return &c
}

// TestNoTwoActAtOnceOverRandomSteps plays random steps, with clocks at the edges of the stated drift.
func TestNoTwoActAtOnceOverRandomSteps(t *testing.T) {
	acts, grants, worlds := 0, 0, 0
	testkit.LongSteps(t, 1500, 300, func(rt *rapid.T) map[string]func(*rapid.T) {
		slots := rapid.IntRange(1, 2).Draw(rt, "slots")
		w := newWorld(3, rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(rt, "drift"), slots, "export", "probe")
		worlds++
		box := func(t *rapid.T) *simBox { return w.boxes[rapid.IntRange(0, len(w.boxes)-1).Draw(t, "box")] }
		return map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				b, task := box(t), rapid.SampledFrom(w.tasks).Draw(t, "task")
				if b.open(task) == nil {
					b.h.Acquire(b.now(w), Request{Task: task, Slots: slots, Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Sticky: task == "probe"})
				}
			},
			"give up": func(t *rapid.T) {
				b := box(t)
				if a := b.open(rapid.SampledFrom(w.tasks).Draw(t, "task")); a != nil {
					b.h.GiveUp(b.now(w), a)
				}
			},
			"talk":  func(t *rapid.T) { box(t).talk(w) },
			"judge": func(t *rapid.T) { box(t).judgeNow(w) },
			"deliver": func(t *rapid.T) {
				if len(w.wire) > 0 {
					w.apply(rapid.IntRange(0, len(w.wire)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "twice") == 0)
				}
			},
			"deliver all": func(t *rapid.T) {
				for len(w.wire) > 0 {
					w.apply(0, false)
				}
			},
			"settle":      func(t *rapid.T) { w.settle() },
			"settle more": func(t *rapid.T) { w.settle(); w.true_ += w.terms.Term / 12; w.settle() },
			"silence": func(t *rapid.T) { // a box that is cut off, or stopped between two steps
				b := box(t)
				w.mute[b] = !w.mute[b] && len(w.mute) < 2
				if !w.mute[b] {
					delete(w.mute, b)
				}
			},
			"all want all": func(t *rapid.T) {
				for _, b := range w.boxes {
					for _, task := range w.tasks {
						if b.open(task) == nil && !w.mute[b] {
							b.h.Acquire(b.now(w), Request{Task: task, Slots: slots, Sticky: task == "probe"})
						}
					}
				}
			},
			"lose": func(t *rapid.T) { w.wire = nil },
			"follow": func(t *rapid.T) {
				box(t).follow(w, rapid.IntRange(1, 8).Draw(t, "entries"))
			},
			"all follow": func(t *rapid.T) {
				for _, b := range w.boxes {
					b.follow(w, 1000)
				}
			},
			"time": func(t *rapid.T) {
				w.true_ += w.terms.Term / time.Duration(rapid.SampledFrom([]int{1, 3, 6, 12}).Draw(t, "part"))
			},
			"restart": func(t *rapid.T) { w.start(box(t)) },
			"shut out": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "seldom") > 0 { // else little is held for long
					return
				}
				b, c := box(t), Command{Kind: unbar}
				if c.Box = b.name; !w.all.Barred[b.name] {
					c.Kind = bar
				}
				w.say(c)
			},
			"stop one": func(t *rapid.T) { b := box(t); b.look(w) },
			"operator": func(t *rapid.T) {
				task := w.all.Tasks["probe"]
				if task == nil || len(task.Holders) == 0 {
					return
				}
				if l := task.Holders[0]; l.Orphan {
					w.say(Command{Kind: Free, Token: l.Token})
				} else if s := w.all.Sessions[l.Session]; !s.Past {
					for _, b := range w.boxes {
						if b.h.Session() == l.Session && b.h.Phase() == In {
							b.h.make(b.now(w), Command{Kind: Stop, Token: l.Token})
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
		t.Errorf("only %d acts and %d grants in %d worlds: the test shows nothing", acts, grants, worlds)
	}
	t.Logf("%d worlds, %d acts seen, %d grants", worlds, acts, grants)
}

// choices are all steps that may come next, in an order.
func (w *world) choices() (list []func(*world)) {
	for i := range w.boxes {
		list = append(list, func(w *world) { w.boxes[i].talk(w) })
		list = append(list, func(w *world) { w.boxes[i].follow(w, 1000) })
		list = append(list, func(w *world) { w.boxes[i].judgeNow(w) })
		list = append(list, func(w *world) { w.start(w.boxes[i]) })
		for _, task := range w.tasks {
			list = append(list, func(w *world) {
				b := w.boxes[i]
				if a := b.open(task); a != nil {
					b.h.GiveUp(b.now(w), a)
				} else {
					b.h.Acquire(b.now(w), Request{Task: task, Slots: 1})
				}
			})
		}
	}
	for i := range w.wire {
		list = append(list, func(w *world) { w.apply(i, false) })
	}
	if len(w.wire) > 0 {
		list = append(list, func(w *world) { w.wire = nil })
	}
	return append(list, func(w *world) { w.true_ += w.terms.Term / 2 }, func(w *world) { w.true_ += w.terms.Term })
}

// explore takes every order of steps down to a depth, each state once.
func explore(w *world, depth int, seen map[string]int, fail func(error)) {
	key := w.key()
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
	for _, step := range w.choices() {
		next := w.clone()
		step(next)
		explore(next, depth-1, seen, fail)
	}
}

// TestEveryOrderOfStepsOfThreeBoxes starts from a fleet in which one box holds both tasks, another waits for one, and all
// know of it, and takes every order of the next steps.
func TestEveryOrderOfStepsOfThreeBoxes(t *testing.T) {
	for _, drift := range []float64{0, 0.2} {
		w := newWorld(3, drift, 1, "export", "probe")
		settle := func() {
			for range 4 {
				for _, b := range w.boxes {
					b.talk(w)
				}
				for len(w.wire) > 0 {
					w.apply(0, false)
				}
				for _, b := range w.boxes {
					b.follow(w, 1000)
				}
			}
		}
		settle()
		for i, task := range []string{"export", "probe", "export"} {
			w.boxes[i/2].h.Acquire(w.boxes[i/2].now(w), Request{Task: task, Slots: 1})
			settle()
		}
		if w.all.Tasks["export"].Holders[0].Box != "box0" || len(w.all.Tasks["export"].Queue) != 1 {
			t.Fatalf("not the state to start from: %+v", w.all.Tasks["export"])
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
			t.Error("too few states to show anything")
		}
	}
}
