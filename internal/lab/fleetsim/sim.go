// Package fleetsim plays fleets in virtual time: the very nodes that run in a process (fleet.Node, with the same raft
// library) over a network, clocks, disks and stops that are drawn from a seed. A seed repeats exactly, so a seed that fails is a
// test case.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/fleet/ledger"
)

// Config is what a play is drawn with.
type Config struct {
	Seed   uint64
	Boxes  int
	Voters int
	Terms  lease.Terms
	Timing ledger.Timing
	// Span is how long faults come; then all is healed and the fleet has Settle to come to rest.
	Span, Settle time.Duration
	Faults       int
	Tasks        int
	Busy         bool // boxes ask for tasks and act
	Delay        time.Duration
	Loss         float64
	Rollouts     time.Duration // between two things that operators say of configurations; 0: they say nothing
}

// Default is a small fleet with many faults.
func Default(seed uint64) Config {
	return Config{Seed: seed, Boxes: 4, Voters: 3, Terms: lease.Terms{Term: 2 * time.Second, Drift: 0.02}, Span: 24 * time.Second, Settle: 12 * time.Second,
		Timing: ledger.Timing{Heartbeat: 250 * time.Millisecond, Election: time.Second, Poll: time.Second, BatchDelay: 20 * time.Millisecond},
		Faults: 10, Tasks: 2, Busy: true, Delay: 5 * time.Millisecond, Loss: 0.01}
}

// Result is what a play came to. Broken is empty when all that is promised held.
type Result struct {
	Broken               []string
	Faults               map[string]int
	Acts, Fenced, Stale  int // effects that were begun, ended by a newer token, refused for an older one
	Takeovers            int
	Messages, Bytes      int64
	Commands             int64
	Agreed               time.Duration // the longest time to agree on something new after the last fault
	Events               int
	Trace                []string
	Vacancy              time.Duration // the longest time from an end by the judge to the next act's possible begin
	DigestsDiffer, Alarm int
	Rollouts             map[string]int // by how they ended
	ShutOut, BackIn      int
	Below                int // effects on a version that was allowed no more, refused by the thing
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// box is one box of the play.
type box struct {
	name    string
	rate    float64       // of its clock
	base    time.Duration // what its clock showed at the beginning: no two boxes' clocks agree
	disk    *ledger.Memory
	node    *fleet.Node // nil while the process is dead
	life    int         // grows with each start
	stopped bool
	backlog []func() // what came while it was stopped
	wake    time.Duration
	asks    map[*lease.TrackedRequest]*work
	rand    *rand.Rand
	copies  *copies
}

// work is what a box does under an ask.
type work struct {
	task string
	left int // effects
	busy time.Duration
}

// World is a play.
type World struct {
	cfg     Config
	now     time.Duration
	queue   events
	seq     int
	rand    *rand.Rand // faults and the network
	boxes   []*box
	cut     map[[2]int]bool // directions that lose everything
	slow    map[[2]int]time.Duration
	things  map[string]*thing
	res     *Result
	quiet   bool          // no more faults
	catch   time.Duration // the next act is stopped for this long between its check and its begin
	sent    int64
	measure bool // bytes as well
	talk    map[int]said

	puts           int // configurations
	seen           uint64
	lowest, target uint64
	out            map[string]bool
	ends           map[uint64]string // of roll-outs, by their ID
}

// said is what a box has sent.
type said struct{ messages, bytes int64 }

// thing is what is acted upon: it takes the newest token it has seen and none older, and ends what an older one is about.
type thing struct {
	token  uint64
	until  time.Duration // of the effect under way
	by     string
	stale  bool   // the effect under way was delayed between its check and its begin
	lowest uint64 // version that it takes
}

func (w *World) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *World) broken(format string, args ...any) {
	if len(w.res.Broken) < 10 {
		w.res.Broken = append(w.res.Broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *World) trace(format string, args ...any) {
	if len(w.res.Trace) < 400 {
		w.res.Trace = append(w.res.Trace, fmt.Sprintf("%8.3fs ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

func (b *box) clock(w *World) time.Duration { return b.base + time.Duration(float64(w.now)*b.rate) }

// New draws a fleet; its first box has begun it.
func New(cfg Config) *World {
	w := &World{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), cut: map[[2]int]bool{}, slow: map[[2]int]time.Duration{}, things: map[string]*thing{}, talk: map[int]said{},
		res: &Result{Faults: map[string]int{}, Rollouts: map[string]int{}}, out: map[string]bool{}, ends: map[uint64]string{}}
	for i := range cfg.Boxes {
		rate := 1 + cfg.Terms.Drift*[]float64{-1, 1, 0, 0.5}[w.rand.IntN(4)]
		b := &box{name: fmt.Sprintf("box%d", i), rate: rate, base: time.Duration(w.rand.Int64N(int64(100 * time.Hour))), disk: new(ledger.Memory),
			rand: rand.New(rand.NewPCG(cfg.Seed, uint64(100+i)))}
		b.copies = &copies{w: w, b: b, has: map[string]bool{}}
		w.boxes = append(w.boxes, b)
	}
	for i := range w.boxes {
		w.start(i)
	}
	if cfg.Rollouts > 0 {
		w.operate(rand.New(rand.NewPCG(cfg.Seed, 5)))
	}
	var voters []string
	for i := range cfg.Voters {
		voters = append(voters, w.boxes[i].name)
	}
	if err := w.boxes[0].node.Init(w.boxes[0].clock(w), cfg.Terms, voters); err != nil {
		panic(err)
	}
	w.after(0)
	return w
}

// seedsMost bounds how many boxes each knows by configuration.
const seedsMost = 8

func (w *World) start(i int) {
	b := w.boxes[i]
	var seeds []string
	for j := range min(seedsMost, len(w.boxes)) {
		seeds = append(seeds, fmt.Sprintf("box%d", j))
	}
	cfg := fleet.NodeConfig{Name: b.name, Build: "sim", Seeds: seeds, Timing: w.cfg.Timing, Rand: b.rand, Disk: b.disk,
		Logf: func(format string, args ...any) { w.trace("%s: %s", b.name, fmt.Sprintf(format, args...)) }}
	if w.cfg.Rollouts > 0 {
		cfg.Configs, cfg.InForce, cfg.Since, cfg.BuildNumber = b.copies, b.copies.inForce, b.copies.since, 1
	}
	node, err := fleet.NewNode(b.clock(w), cfg)
	if err != nil {
		w.trace("%s cannot start: %v", b.name, err)
		life := b.life
		w.at(time.Second, func() {
			if b.node == nil && b.life == life {
				w.start(i)
			}
		})
		return
	}
	b.node, b.stopped, b.backlog, b.asks = node, false, nil, map[*lease.TrackedRequest]*work{}
	b.life++
	b.wake = 0
	w.after(i)
	if w.cfg.Busy {
		w.want(i, b.life)
	}
}

func (w *World) kill(i int) {
	b := w.boxes[i]
	b.node, b.stopped, b.backlog = nil, false, nil
	b.life++
}

// run does something in a box's process, or once it goes on.
func (w *World) run(i, life int, do func()) {
	b := w.boxes[i]
	switch {
	case b.life != life || b.node == nil:
	case b.stopped:
		if len(b.backlog) < 256 {
			b.backlog = append(b.backlog, do)
		}
	default:
		do()
		if b.node != nil && b.life == life {
			w.after(i)
		}
	}
}

// after sends what a box has to say and has it woken when something is due.
func (w *World) after(i int) {
	b := w.boxes[i]
	if w.cfg.Rollouts > 0 {
		w.watch(b)
	}
	for _, e := range b.node.TakeMessages() {
		w.send(i, e)
	}
	due := w.now + max(time.Millisecond, time.Duration(float64(b.node.NextTick()-b.clock(w))/b.rate))
	if b.wake > w.now && b.wake <= due {
		return
	}
	b.wake = due
	life := b.life
	w.at(due-w.now, func() {
		if b.life == life && b.wake == due {
			w.run(i, life, func() { b.wake = 0; b.node.Tick(b.clock(w)) })
		}
	})
}

func (w *World) index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "box%d", &i); err != nil || i >= len(w.boxes) {
		return -1
	}
	return i
}

// frameBytes is what a link adds to a message.
const frameBytes = 21

// send carries a message, if the network does.
func (w *World) send(from int, e ledger.Envelope) {
	w.sent++
	if w.measure {
		raw, _ := cbor.Marshal(e.Message)
		t := w.talk[from]
		w.talk[from] = said{t.messages + 1, t.bytes + int64(len(raw)) + frameBytes}
	}
	to := w.index(e.To)
	if to < 0 || w.cut[[2]int{from, to}] || w.rand.Float64() < w.cfg.Loss && !w.quiet {
		return
	}
	w.res.Messages++
	delay := w.cfg.Delay/2 + time.Duration(w.rand.ExpFloat64()*float64(w.cfg.Delay)/2) + w.slow[[2]int{from, to}]
	life, name := w.boxes[to].life, w.boxes[from].name
	w.at(delay, func() {
		if w.cut[[2]int{from, to}] {
			return
		}
		w.run(to, life, func() { w.boxes[to].node.Receive(w.boxes[to].clock(w), name, e.Message) })
	})
}

// want has a box ask for something, now and then.
func (w *World) want(i, life int) {
	b := w.boxes[i]
	w.at(time.Duration(b.rand.ExpFloat64()*float64(1500*time.Millisecond)), func() {
		if b.life != life {
			return
		}
		w.run(i, life, func() {
			task := fmt.Sprintf("task%d", b.rand.IntN(w.cfg.Tasks))
			for _, k := range b.asks {
				if k.task == task {
					return
				}
			}
			a, err := b.node.Acquire(b.clock(w), lease.Request{Task: task, Slots: 1, Priority: b.rand.IntN(2)})
			if err == nil {
				b.asks[a] = &work{task: task, left: 1 + b.rand.IntN(6)}
				w.work(i, life, a)
			}
		})
		w.want(i, life)
	})
}

// work has a box act under an ask, effect after effect, and give it back.
func (w *World) work(i, life int, a *lease.TrackedRequest) {
	b := w.boxes[i]
	pause := time.Duration(20+b.rand.IntN(100)) * time.Millisecond
	if k := b.asks[a]; k != nil {
		pause += k.busy
		k.busy = 0
	}
	w.at(pause, func() {
		w.run(i, life, func() {
			k := b.asks[a]
			now := b.clock(w)
			switch {
			case a.State.Final():
				delete(b.asks, a)
				b.node.ForgetRequest(a)
				return
			case k.left == 0 || a.State != lease.Requested && b.rand.IntN(12) == 0:
				b.node.ReleaseSlot(now, a)
				delete(b.asks, a)
				b.node.ForgetRequest(a)
				return
			}
			need := time.Duration(20+b.rand.IntN(200)) * time.Millisecond
			if b.node.CheckEffect(now, a, need) == nil {
				k.left--
				k.busy = need // it gives nothing back before the effect is over
				w.act(i, life, k.task, a.Token, need)
			}
			w.work(i, life, a)
		})
	})
}

// act is an effect: checked now, begun a moment later, which a stop makes much later. Then it is what the docs say is left.
func (w *World) act(i, life int, task string, token uint64, need time.Duration) {
	checked := w.now
	b := w.boxes[i]
	version, lowest := b.node.InForce(), b.node.Lowest()
	if version != b.copies.inForce {
		w.broken("%s acts as %d, and %d is on its disk", b.name, version, b.copies.inForce)
	}
	// A box's need is counted by its own clock.
	takes := time.Duration(float64(need) / b.rate * 0.98)
	if w.catch > 0 && !w.quiet {
		w.trace("%s is stopped in an act", b.name)
		w.stop(i, w.catch)
		w.catch = 0
	}
	w.at(100*time.Microsecond, func() {
		w.run(i, life, func() {
			t := w.things[task]
			if t == nil {
				t = &thing{}
				w.things[task] = t
			}
			late := w.now-checked > time.Millisecond
			if token < t.token {
				if !late {
					w.broken("%s acts on %s under %d after %d has acted", b.name, task, token, t.token)
				}
				w.res.Stale++
				return
			}
			if version < t.lowest { // it has not heard yet what others have: the thing has, and refuses
				if w.res.Below++; version < lowest {
					w.broken("%s acts on %s as %d and knows that %d is the lowest", b.name, task, version, lowest)
				}
				return
			}
			t.lowest = max(t.lowest, lowest)
			if t.until > w.now && t.token != token {
				w.res.Fenced++
				if !t.stale && !late {
					w.broken("%s acts on %s under %d while %s does under %d", b.name, task, token, t.by, t.token)
				}
			}
			if t.by != "" && t.by != b.name {
				w.res.Takeovers++
			}
			w.res.Acts++
			t.token, t.until, t.by, t.stale = token, w.now+takes, b.name, late
		})
	})
}
