// Package fleetsim simulates fleets in virtual time. It runs the production nodes (fleet.Node, with the same raft library) over a
// simulated network, clocks and disks, with pauses and other faults drawn from a seed. A seed repeats exactly, so a failing seed is a
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

// Config holds the parameters of a simulation.
type Config struct {
	Seed   uint64
	Boxes  int
	Voters int
	Terms  lease.Terms
	Timing ledger.Timing
	// FaultSpan is the time during which faults are injected. Then all faults are healed and the fleet has RecoverySpan to recover.
	FaultSpan, RecoverySpan time.Duration
	Faults                  int
	Tasks                   int
	Busy                    bool          // boxes request tasks and perform effects under their leases
	MeanDelay               time.Duration // mean delay of a message
	LossRate                float64       // probability that a message is lost
	RolloutInterval         time.Duration // mean time between operators' rollout commands; 0 for none
}

// Default returns the parameters of a small fleet with many faults.
func Default(seed uint64) Config {
	return Config{Seed: seed, Boxes: 4, Voters: 3, Terms: lease.Terms{Term: 2 * time.Second, Drift: 0.02}, FaultSpan: 24 * time.Second, RecoverySpan: 12 * time.Second,
		Timing: ledger.Timing{Heartbeat: 250 * time.Millisecond, Election: time.Second, Poll: time.Second, BatchDelay: 20 * time.Millisecond},
		Faults: 10, Tasks: 2, Busy: true, MeanDelay: 5 * time.Millisecond, LossRate: 0.01}
}

// Result holds the outcome of a simulation. Violations lists the violated invariants.
type Result struct {
	Violations                     []string
	Faults                         map[string]int
	Effects, Fenced, StaleRejected int // effects started, ended by a newer token, rejected for an older token
	Takeovers                      int
	Messages, Bytes                int64
	Commands                       int64
	AgreementTime                  time.Duration // time until all boxes hold a new lease after the faults are healed
	Events                         int
	Trace                          []string
	Vacancy                        time.Duration // longest time from the end of a session by the expiry detector until another box could act
	DigestsDiffer, Alarm           int
	Rollouts                       map[string]int // by final phase
	ShutOut, Readmitted            int
	LowVersionRejected             int // effects with a version below the lowest allowed one, rejected by the resource
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

// box is one simulated box.
type box struct {
	name        string
	clockRate   float64       // of its clock, in relation to virtual time
	clockBase   time.Duration // reading of its clock at the start; it differs from box to box
	disk        *ledger.Memory
	node        *fleet.Node // nil while the process is dead
	incarnation int         // changes with each start and kill
	paused      bool
	backlog     []func()      // events that came while it was paused
	wakeAt      time.Duration // of the scheduled tick; 0 if none is scheduled
	requests    map[*lease.TrackedRequest]*taskWork
	rand        *rand.Rand
	configs     *configStore
}

// taskWork is the work of a box under one lease request.
type taskWork struct {
	task        string
	effectsLeft int
	busyFor     time.Duration // duration of the effect that was started last
}

// Simulation is a simulation: the boxes, the network between them and the resources on which they act.
type Simulation struct {
	cfg             Config
	now             time.Duration
	queue           events
	seq             int
	rand            *rand.Rand // faults and the network
	boxes           []*box
	cutLinks        map[[2]int]bool          // by sender and receiver: all messages are lost
	linkDelay       map[[2]int]time.Duration // by sender and receiver: additional delay
	resources       map[string]*resource
	result          *Result
	healed          bool          // the faults have ended
	pauseNextEffect time.Duration // how long the box is paused between the check and the start of the next effect; 0 for no pause
	messagesSent    int64
	countBytes      bool // traffic is counted in bytes, too
	traffic         map[int]boxTraffic

	configsPut     int    // number of configurations that operators have put
	watchedIndex   uint64 // highest ledger index that was checked
	lowest, target uint64 // versions as of watchedIndex
	shutOut        map[string]bool
	rolloutEnds    map[uint64]string // final phase by rollout ID
}

// boxTraffic counts what a box has sent.
type boxTraffic struct{ messages, bytes int64 }

// resource is what boxes act on. It rejects tokens older than the newest one it has seen, and a newer token ends the effect of an older one.
type resource struct {
	token     uint64
	effectEnd time.Duration // end of the current effect
	holder    string        // box of the last effect
	delayed   bool          // the current effect was delayed between its check and its start
	lowest    uint64        // lowest version that the resource accepts
}

// after schedules do to run d from now.
func (sim *Simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, do})
}

// recordViolation records a violated invariant; the first 10 are kept.
func (sim *Simulation) recordViolation(format string, args ...any) {
	if len(sim.result.Violations) < 10 {
		sim.result.Violations = append(sim.result.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
	}
}

// trace adds a line to the trace; the first 400 are kept.
func (sim *Simulation) trace(format string, args ...any) {
	if len(sim.result.Trace) < 400 {
		sim.result.Trace = append(sim.result.Trace, fmt.Sprintf("%8.3fs ", sim.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// clock returns the reading of the box's clock.
func (b *box) clock(sim *Simulation) time.Duration {
	return b.clockBase + time.Duration(float64(sim.now)*b.clockRate)
}

// New starts a fleet with drawn clocks and has its first box initialize it.
func New(cfg Config) *Simulation {
	sim := &Simulation{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), cutLinks: map[[2]int]bool{}, linkDelay: map[[2]int]time.Duration{}, resources: map[string]*resource{}, traffic: map[int]boxTraffic{},
		result: &Result{Faults: map[string]int{}, Rollouts: map[string]int{}}, shutOut: map[string]bool{}, rolloutEnds: map[uint64]string{}}
	for i := range cfg.Boxes {
		rate := 1 + cfg.Terms.Drift*[]float64{-1, 1, 0, 0.5}[sim.rand.IntN(4)]
		b := &box{name: fmt.Sprintf("box%d", i), clockRate: rate, clockBase: time.Duration(sim.rand.Int64N(int64(100 * time.Hour))), disk: new(ledger.Memory),
			rand: rand.New(rand.NewPCG(cfg.Seed, uint64(100+i)))}
		b.configs = &configStore{sim: sim, b: b, has: map[string]bool{}}
		sim.boxes = append(sim.boxes, b)
	}
	for i := range sim.boxes {
		sim.start(i)
	}
	if cfg.RolloutInterval > 0 {
		sim.scheduleOperators(rand.New(rand.NewPCG(cfg.Seed, 5)))
	}
	var voters []string
	for i := range cfg.Voters {
		voters = append(voters, sim.boxes[i].name)
	}
	if err := sim.boxes[0].node.Init(sim.boxes[0].clock(sim), cfg.Terms, voters); err != nil {
		panic(err)
	}
	sim.flush(0)
	return sim
}

// maxSeeds is the maximum number of boxes that each box knows from its configuration.
const maxSeeds = 8

// start starts the process of box i. If it cannot start, it retries after 1 s.
func (sim *Simulation) start(i int) {
	b := sim.boxes[i]
	var seeds []string
	for j := range min(maxSeeds, len(sim.boxes)) {
		seeds = append(seeds, fmt.Sprintf("box%d", j))
	}
	cfg := fleet.NodeConfig{Name: b.name, Build: "sim", Seeds: seeds, Timing: sim.cfg.Timing, Rand: b.rand, Disk: b.disk,
		Logf: func(format string, args ...any) { sim.trace("%s: %s", b.name, fmt.Sprintf(format, args...)) }}
	if sim.cfg.RolloutInterval > 0 {
		cfg.Configs, cfg.InForce, cfg.Since, cfg.BuildNumber = b.configs, b.configs.inForce, b.configs.since, 1
	}
	node, err := fleet.NewNode(b.clock(sim), cfg)
	if err != nil {
		sim.trace("%s cannot start: %v", b.name, err)
		incarnation := b.incarnation
		sim.after(time.Second, func() {
			if b.node == nil && b.incarnation == incarnation {
				sim.start(i)
			}
		})
		return
	}
	b.node, b.paused, b.backlog, b.requests = node, false, nil, map[*lease.TrackedRequest]*taskWork{}
	b.incarnation++
	b.wakeAt = 0
	sim.flush(i)
	if sim.cfg.Busy {
		sim.requestTasks(i, b.incarnation)
	}
}

// kill ends the process of box i. Its disk stays.
func (sim *Simulation) kill(i int) {
	b := sim.boxes[i]
	b.node, b.paused, b.backlog = nil, false, nil
	b.incarnation++
}

// run calls do in a box's process if that is still alive. While the box is paused, do is kept in the backlog of up to 256 events.
func (sim *Simulation) run(i, incarnation int, do func()) {
	b := sim.boxes[i]
	switch {
	case b.incarnation != incarnation || b.node == nil:
	case b.paused:
		if len(b.backlog) < 256 {
			b.backlog = append(b.backlog, do)
		}
	default:
		do()
		if b.node != nil && b.incarnation == incarnation {
			sim.flush(i)
		}
	}
}

// flush sends the messages of box i and schedules its next tick.
func (sim *Simulation) flush(i int) {
	b := sim.boxes[i]
	if sim.cfg.RolloutInterval > 0 {
		sim.observeRollouts(b)
	}
	for _, e := range b.node.TakeMessages() {
		sim.send(i, e)
	}
	due := sim.now + max(time.Millisecond, time.Duration(float64(b.node.NextTick()-b.clock(sim))/b.clockRate))
	if b.wakeAt > sim.now && b.wakeAt <= due {
		return
	}
	b.wakeAt = due
	incarnation := b.incarnation
	sim.after(due-sim.now, func() {
		if b.incarnation == incarnation && b.wakeAt == due {
			sim.run(i, incarnation, func() { b.wakeAt = 0; b.node.Tick(b.clock(sim)) })
		}
	})
}

// index returns the number of the box with the name, -1 if there is none.
func (sim *Simulation) index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "box%d", &i); err != nil || i >= len(sim.boxes) {
		return -1
	}
	return i
}

// frameBytes is the overhead of a link per message.
const frameBytes = 21

// send delivers a message unless it is lost or its link is cut, at the time of sending or of delivery.
func (sim *Simulation) send(from int, e ledger.Envelope) {
	sim.messagesSent++
	if sim.countBytes {
		raw, _ := cbor.Marshal(e.Message)
		t := sim.traffic[from]
		sim.traffic[from] = boxTraffic{t.messages + 1, t.bytes + int64(len(raw)) + frameBytes}
	}
	to := sim.index(e.To)
	if to < 0 || sim.cutLinks[[2]int{from, to}] || sim.rand.Float64() < sim.cfg.LossRate && !sim.healed {
		return
	}
	sim.result.Messages++
	delay := sim.cfg.MeanDelay/2 + time.Duration(sim.rand.ExpFloat64()*float64(sim.cfg.MeanDelay)/2) + sim.linkDelay[[2]int{from, to}]
	incarnation, name := sim.boxes[to].incarnation, sim.boxes[from].name
	sim.after(delay, func() {
		if sim.cutLinks[[2]int{from, to}] {
			return
		}
		sim.run(to, incarnation, func() { sim.boxes[to].node.Receive(sim.boxes[to].clock(sim), name, e.Message) })
	})
}

// requestTasks makes a box request the lease of a random task from time to time.
func (sim *Simulation) requestTasks(i, incarnation int) {
	b := sim.boxes[i]
	sim.after(time.Duration(b.rand.ExpFloat64()*float64(1500*time.Millisecond)), func() {
		if b.incarnation != incarnation {
			return
		}
		sim.run(i, incarnation, func() {
			task := fmt.Sprintf("task%d", b.rand.IntN(sim.cfg.Tasks))
			for _, work := range b.requests {
				if work.task == task {
					return
				}
			}
			request, err := b.node.Acquire(b.clock(sim), lease.Request{Task: task, Slots: 1, Priority: b.rand.IntN(2)})
			if err == nil {
				b.requests[request] = &taskWork{task: task, effectsLeft: 1 + b.rand.IntN(6)}
				sim.continueTask(i, incarnation, request)
			}
		})
		sim.requestTasks(i, incarnation)
	})
}

// continueTask makes a box start effects under its lease request, one after the other, and then release it.
func (sim *Simulation) continueTask(i, incarnation int, request *lease.TrackedRequest) {
	b := sim.boxes[i]
	delay := time.Duration(20+b.rand.IntN(100)) * time.Millisecond
	if work := b.requests[request]; work != nil {
		delay += work.busyFor
		work.busyFor = 0
	}
	sim.after(delay, func() {
		sim.run(i, incarnation, func() {
			work := b.requests[request]
			now := b.clock(sim)
			switch {
			case request.State.Final():
				delete(b.requests, request)
				b.node.ForgetRequest(request)
				return
			case work.effectsLeft == 0 || request.State != lease.Requested && b.rand.IntN(12) == 0:
				b.node.ReleaseSlot(now, request)
				delete(b.requests, request)
				b.node.ForgetRequest(request)
				return
			}
			need := time.Duration(20+b.rand.IntN(200)) * time.Millisecond
			if b.node.CheckEffect(now, request, need) == nil {
				work.effectsLeft--
				work.busyFor = need // the lease is not released before the effect has ended
				sim.startEffect(i, incarnation, work.task, request.Token, need)
			}
			sim.continueTask(i, incarnation, request)
		})
	})
}

// startEffect performs an effect that has just passed its check: it starts 100 µs later, or much later if the box is paused in between. Only such
// a delayed effect may collide with another holder's or come with an old token, which the lease alone cannot exclude.
func (sim *Simulation) startEffect(i, incarnation int, task string, token uint64, need time.Duration) {
	checked := sim.now
	b := sim.boxes[i]
	version, lowest := b.node.InForce(), b.node.Lowest()
	if version != b.configs.inForce {
		sim.recordViolation("%s acts under version %d, but version %d is on its disk", b.name, version, b.configs.inForce)
	}
	// The box counts the time for an effect by its own clock.
	duration := time.Duration(float64(need) / b.clockRate * 0.98)
	if sim.pauseNextEffect > 0 && !sim.healed {
		sim.trace("%s is paused between the check and the start of an effect", b.name)
		sim.pause(i, sim.pauseNextEffect)
		sim.pauseNextEffect = 0
	}
	sim.after(100*time.Microsecond, func() {
		sim.run(i, incarnation, func() {
			res := sim.resources[task]
			if res == nil {
				res = &resource{}
				sim.resources[task] = res
			}
			delayed := sim.now-checked > time.Millisecond
			if token < res.token {
				if !delayed {
					sim.recordViolation("%s acts on %s under token %d after token %d was used", b.name, task, token, res.token)
				}
				sim.result.StaleRejected++
				return
			}
			if version < res.lowest { // the box may not know of the higher lowest version yet; the resource does, and rejects the effect
				if sim.result.LowVersionRejected++; version < lowest {
					sim.recordViolation("%s acts on %s under version %d although it knows that %d is the lowest allowed one", b.name, task, version, lowest)
				}
				return
			}
			res.lowest = max(res.lowest, lowest)
			if res.effectEnd > sim.now && res.token != token {
				sim.result.Fenced++
				if !res.delayed && !delayed {
					sim.recordViolation("%s acts on %s under token %d while %s acts under token %d", b.name, task, token, res.holder, res.token)
				}
			}
			if res.holder != "" && res.holder != b.name {
				sim.result.Takeovers++
			}
			sim.result.Effects++
			res.token, res.effectEnd, res.holder, res.delayed = token, sim.now+duration, b.name, delayed
		})
	})
}
