package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/fleet/view"
	"cairnlane/internal/replica"
	"cairnlane/policy"
)

// Mode is how the boxes shed load: as a fleet or on their own.
type Mode string

// The modes.
const (
	Alone        Mode = "alone" // each box decides by itself
	Fleet        Mode = "fleet" // boxes exchange load summaries and follow the fleet advice
	Disconnected Mode = "cut"   // as Fleet, but every message between boxes is lost
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	Kill            FaultKind = "kill"      // boxes are killed and restart cold
	SlowDown        FaultKind = "slow"      // the cores of boxes are slower by the factor Slowdown
	Partition       FaultKind = "partition" // boxes and the rest of the fleet cannot exchange messages; routers reach all boxes
	DelayMessages   FaultKind = "late"      // messages from boxes are delayed by 2 s
	LoseMessages    FaultKind = "lose"      // half of the messages from boxes are lost
	ReorderMessages FaultKind = "reorder"   // messages from boxes are reordered and duplicated
	ReportTooMuch   FaultKind = "lie"       // boxes report 100 times the requests they served and no offered load
	ReportNothing   FaultKind = "nothing"   // boxes report that they serve nothing and reject all requests
	CatalogDown     FaultKind = "catalog"   // the catalog is down
)

// Fault is a fault with its start, duration and, where the kind has them, the boxes it hits (nil for all) and the slowdown factor.
type Fault struct {
	Kind     FaultKind
	From     time.Duration
	Duration time.Duration
	Boxes    []int
	Slowdown float64
}

// activeAt reports whether f is a fault of the given kind that hits box at now, counted from the start of the scenario.
func (f Fault) activeAt(now time.Duration, kind FaultKind, box int) bool {
	return f.Kind == kind && now >= f.From && now < f.From+f.Duration && (f.Boxes == nil || slices.Contains(f.Boxes, box))
}

// Scenario is a scenario to simulate: site, client load, mode and faults.
type Scenario struct {
	Site
	Load
	Mode        Mode
	RetryBudget float64 // retry budget in the fleet's rules; 0 for the default
	Faults      []Fault
	Relays      int // number of relays; 0 means 3
}

// Result is the result of a simulated scenario.
type Result struct {
	Score
	Lost, AnsweredTwice, DoubleRuns int
	FirstBoxLevelChanges            []time.Duration // times at which the first box's shedding level changed
	MaxLevelChanges                 int             // maximum number of level changes of one box within 10 s
	ReportRateDown                  float64         // reports to the catalog per second while it was down
	ReportRateUp                    float64         // the same while it was up
	MaxReportDelay                  time.Duration   // longest time from the catalog's return to a box's next report
	Messages, Bytes                 float64         // messages between boxes, per second and box
	DoNotRetry                      int             // rejections that asked the router not to retry
	DoNotRetryWhileIdle             int             // those sent while another box was mostly idle
	IndexCalls, SkippedCalls        int             // index calls: served by the index; skipped by the replica, so that the run continued without a reply
	Events                          uint64
	Violations                      []string
}

// startTime is the virtual time at which a scenario begins. It is not 0, so that a zero time stands for "never".
const startTime = 1000 * time.Second

const (
	networkDelay      = 500 * time.Microsecond // one way, between a router and a box and between two boxes
	ledgerDelay       = 5 * time.Second        // from a box's death until the fleet knows of it
	reportInterval    = 700 * time.Millisecond // a box's reports to the catalog when it is alone
	maxReportInterval = 1300 * time.Millisecond
	reportCostPerBox  = 5 * time.Millisecond // catalog's processing time for one box's report
)

// simulation is the state of one simulated scenario.
type simulation struct {
	EventLoop
	scenario         Scenario
	boxes            []*box
	names            []string
	relays           []string
	routers          []*Router
	rules            *shed.Rules
	messageRand      *rand.Rand
	result           Result
	outcomes         []RequestOutcome
	keyedRuns        map[string]int // runs by box, incarnation and keyed request
	messagesSent     int
	bytesSent        int
	reportsWhileDown int
	reportsWhileUp   int
	knownDead        []bool // by box: dead according to the ledger
	index            *index
}

// box is one simulated box: its process, its cores and what it has in flight.
type box struct {
	sim            *simulation
	number         int
	rep            *replica.Replica
	cores          *Cores
	timerSeq       int
	dead           bool
	attempts       map[string]*requestState // unanswered, by transaction
	load           view.Load
	incarnation    uint64 // number of this box's process, from 1
	reportSchedule probes.Schedule
	level          int
	levelChanges   []time.Duration       // times of its level changes
	catalogBackAt  time.Duration         // when the catalog came back; 0 once the box has reported since
	openCalls      map[string]*indexCall // by transaction; nil at sites without index calls
	waitingRuns    map[string]*engineRun // runs that still have index calls to make, by transaction
	lastNotice     int64                 // number of the last notice that requested an index call
}

// requestState is a client's request with its attempts.
type requestState struct {
	request         Request
	triedBoxes      []int
	attempts        int
	admittedRetries int
	box             *box   // of the current attempt
	arriving        bool   // the replica's Arrive is running for the current attempt
	finished        bool   // the current attempt, or the whole request
	txn             string // of the current attempt
}

// Simulate simulates a scenario.
func Simulate(scenario Scenario) Result {
	sim := &simulation{scenario: scenario, messageRand: stream(scenario.Seed, streamMessages), keyedRuns: map[string]int{}, knownDead: make([]bool, scenario.Boxes)}
	sim.now, sim.index = startTime, &index{sim: sim}
	if scenario.Relays == 0 {
		sim.scenario.Relays = 3
	}
	if scenario.Mode != Alone {
		sim.rules = &shed.Rules{Version: 1, Tries: scenario.RetryBudget, Shares: scenario.Shares(scenario.Quota), Order: scenario.SheddingOrder()}
	}
	for i := range scenario.Boxes {
		sim.names = append(sim.names, fmt.Sprintf("n%04d", i))
		sim.boxes = append(sim.boxes, &box{sim: sim, number: i, attempts: map[string]*requestState{}})
		sim.boxes[i].start(false)
	}
	sim.relays = sim.names[:min(sim.scenario.Relays, scenario.Boxes)]
	src := stream(scenario.Seed, streamRouters)
	for _, h := range DrawRouterBehaviors(scenario.Seed, scenario.Routers) {
		r := NewRouter(h, scenario.SignalLifetime, src)
		sim.routers = append(sim.routers, r)
	}
	sim.updateRouterLists()
	for _, q := range scenario.DrawRequests(scenario.Load) {
		sim.Schedule(startTime+q.At, func() { sim.sendAttempt(&requestState{request: q}) })
	}
	for _, t := range scenario.Faults {
		sim.scheduleFault(t)
	}
	sim.RunUntil(startTime + scenario.Span)
	sim.RunUntil(startTime + scenario.Span + 12*time.Second) // lets open requests finish
	for _, b := range sim.boxes {
		sim.result.MaxLevelChanges = max(sim.result.MaxLevelChanges, MaxWithin(b.levelChanges, 10*time.Second))
		for _, state := range b.attempts {
			if !state.finished {
				sim.result.Lost++
			}
		}
	}
	sim.result.FirstBoxLevelChanges = sim.boxes[0].levelChanges
	sim.result.Score = scenario.Evaluate(scenario.Load, sim.outcomes)
	seconds := scenario.Span.Seconds() * float64(scenario.Boxes)
	sim.result.Messages, sim.result.Bytes = float64(sim.messagesSent)/seconds, float64(sim.bytesSent)/seconds
	outage := 0.0
	for _, t := range scenario.Faults {
		if t.Kind == CatalogDown {
			outage += t.Duration.Seconds()
		}
	}
	if outage > 0 {
		sim.result.ReportRateDown = float64(sim.reportsWhileDown) / outage
	}
	sim.result.ReportRateUp = float64(sim.reportsWhileUp) / (scenario.Span.Seconds() + 12 - outage)
	sim.result.Events, sim.result.IndexCalls = sim.lastSeq, sim.index.served
	return sim.result
}

// MaxWithin returns the largest number of times that lie within one span. The times are ascending.
func MaxWithin(times []time.Duration, span time.Duration) (n int) {
	for i := range times {
		k := 0
		for _, t := range times[i:] {
			if t < times[i]+span {
				k++
			}
		}
		n = max(n, k)
	}
	return n
}

// updateRouterLists gives every router the list of boxes that are alive.
func (sim *simulation) updateRouterLists() {
	var alive []int
	for _, b := range sim.boxes {
		if !b.dead {
			alive = append(alive, b.number)
		}
	}
	for _, r := range sim.routers {
		r.SetBoxes(alive)
	}
}

// scheduleFault queues the begin and end of a fault that changes a box or the catalog; the others are looked up when a message is sent.
func (sim *simulation) scheduleFault(t Fault) {
	switch t.Kind {
	case Kill:
		for _, i := range t.Boxes {
			sim.Schedule(startTime+t.From, func() { sim.boxes[i].kill() })
			sim.Schedule(startTime+t.From+t.Duration, func() { sim.boxes[i].start(true) })
		}
	case SlowDown:
		for _, i := range t.Boxes {
			sim.Schedule(startTime+t.From, func() { sim.boxes[i].setSpeed(1 / t.Slowdown) })
			sim.Schedule(startTime+t.From+t.Duration, func() { sim.boxes[i].setSpeed(1) })
		}
	case CatalogDown:
		sim.Schedule(startTime+t.From+t.Duration, func() {
			for _, b := range sim.boxes {
				b.catalogBackAt = sim.now
			}
		})
	}
}

// faultActive reports whether a fault of the given kind hits box now.
func (sim *simulation) faultActive(kind FaultKind, box int) bool {
	for _, t := range sim.scenario.Faults {
		if t.activeAt(sim.now-startTime, kind, box) {
			return true
		}
	}
	return false
}

// start starts a new process of the box.
func (b *box) start(cold bool) {
	sim := b.sim
	b.incarnation++
	b.dead, b.cores = false, NewCores(sim.now, sim.scenario.Machine, cold)
	cfg := sim.scenario.Policy(int64(sim.scenario.Seed)*1000+int64(b.number), sim.scenario.Routers)
	cfg.Cold = cold
	b.waitingRuns = map[string]*engineRun{}
	var tenants []string
	for _, t := range sim.scenario.Tenants {
		tenants = append(tenants, t.Name)
	}
	rep, err := replica.New(replica.Config{Policy: cfg, Tenants: tenants, MaxResultBytes: 1 << 20, Index: b.newIndex()}, processClock{sim, b, b.incarnation}, boxEngine{b, b.incarnation}, new(counters.Set))
	if err != nil {
		panic("model: the site's settings are invalid: " + err.Error())
	}
	b.rep = rep
	rep.Attached(0, func() {})
	rep.Started(0)
	b.load = view.Load{}
	sim.result.MaxLevelChanges = max(sim.result.MaxLevelChanges, MaxWithin(b.levelChanges, 10*time.Second)) // of the previous process
	b.levelChanges, b.level = nil, 0
	b.reportSchedule = probes.Schedule{Self: sim.names[b.number], BaseInterval: reportInterval, MaxInterval: maxReportInterval, CostPerBox: reportCostPerBox, Place: phaseOf(b.number)}
	incarnation := b.incarnation
	sim.repeat(view.ExchangeInterval, phaseOf(b.number), func() bool { return b.incarnation == incarnation && !b.dead }, b.exchangeLoad)
	sim.repeat(reportInterval/8, phaseOf(b.number), func() bool { return b.incarnation == incarnation && !b.dead }, b.reportIfDue)
	if b.incarnation > 1 {
		sim.Schedule(sim.now+sim.scenario.ListDelay, sim.updateRouterLists)
		sim.Schedule(sim.now+ledgerDelay/5, func() { sim.knownDead[b.number] = false })
	}
}

// phaseOf returns a fixed number in [0, 1) for i; the numbers of different i are spread evenly.
func phaseOf(i int) float64 { return float64(hashKey(77, i)>>11) / (1 << 53) }

// repeat calls do every interval for as long as while reports true. The first call comes after phase times the interval.
func (sim *simulation) repeat(interval time.Duration, phase float64, while func() bool, do func()) {
	var next func()
	next = func() {
		if while() {
			do()
			sim.Schedule(sim.now+interval, next)
		}
	}
	sim.Schedule(sim.now+time.Duration(phase*float64(interval)), next)
}

// processClock is the clock of one process. Its timers do not fire once the process is dead.
type processClock struct {
	sim         *simulation
	box         *box
	incarnation uint64
}

// Now implements replica.Clock.
func (l processClock) Now() time.Duration { return l.sim.now }

// AfterFunc implements replica.Clock.
func (l processClock) AfterFunc(d time.Duration, f func()) (stop func()) {
	return l.sim.AfterFunc(d, func() {
		if !l.box.dead && l.box.incarnation == l.incarnation {
			f()
		}
	})
}

// kill ends the box's process and its connections. Routers learn of it after the list delay, the fleet after ledgerDelay.
func (b *box) kill() {
	sim := b.sim
	b.dead = true
	for _, txn := range slices.Sorted(maps.Keys(b.attempts)) { // in a fixed order, so that a seed repeats exactly
		sim.loseConnection(b.attempts[txn])
	}
	b.attempts = map[string]*requestState{}
	sim.Schedule(sim.now+sim.scenario.ListDelay, sim.updateRouterLists)
	sim.Schedule(sim.now+ledgerDelay, func() { sim.knownDead[b.number] = b.dead })
}

func (b *box) setSpeed(speed float64) {
	b.cores.SetSpeed(b.sim.now, speed)
	b.armTimer()
}

// addWork puts work on the cores. do runs when it is done, in an event of its own and not inside the call that completes the work.
func (b *box) addWork(work time.Duration, do func()) {
	incarnation := b.incarnation
	b.cores.Add(b.sim.now, work, func() {
		b.sim.Schedule(b.sim.now, func() {
			if !b.dead && b.incarnation == incarnation {
				do()
			}
		})
	})
	b.armTimer()
}

// armTimer schedules the next advance of the cores and replaces the one scheduled before.
func (b *box) armTimer() {
	at, ok := b.cores.Next()
	if !ok {
		return
	}
	b.timerSeq++
	n, incarnation := b.timerSeq, b.incarnation
	b.sim.Schedule(at, func() {
		if n == b.timerSeq && incarnation == b.incarnation && !b.dead {
			b.cores.Advance(b.sim.now)
			b.armTimer()
		}
	})
}

// boxEngine implements replica.Engine for one process.
type boxEngine struct {
	box         *box
	incarnation uint64
}

// Run implements replica.Engine.
func (e boxEngine) Run(txn, class string, body []byte) bool {
	b := e.box
	state := b.attempts[txn]
	if state == nil {
		return true
	}
	q := state.request
	if b.sim.scenario.Classes[q.Class].Semantics == policy.Keyed {
		key := fmt.Sprint(b.number, "/", b.incarnation, "/", q.N)
		if b.sim.keyedRuns[key]++; b.sim.keyedRuns[key] > 1 {
			b.sim.result.DoubleRuns++
		}
	}
	startedAt := b.sim.now
	work := func() { b.addWork(q.Work, func() { b.rep.Done(txn, policy.Succeeded, b.sim.now-startedAt, nil) }) }
	if b.openCalls == nil || b.sim.scenario.callCount(q) == 0 {
		work()
		return true
	}
	run := &engineRun{callsLeft: b.sim.scenario.callCount(q), startWork: work}
	b.waitingRuns[txn] = run
	b.sim.Schedule(startTime+b.sim.scenario.RequestDeadline(q), func() { // a run that still waits for a call is cancelled at its request's deadline
		if b.waitingRuns[txn] == run && !b.dead && b.incarnation == e.incarnation {
			delete(b.waitingRuns, txn)
			b.rep.Done(txn, policy.Cancelled, b.sim.now-startedAt, nil)
		}
	})
	e.advance(txn, run)
	return true
}

// RequestGauges implements replica.Engine.
func (e boxEngine) RequestGauges() bool {
	b := e.box
	b.sim.Schedule(b.sim.now, func() {
		if !b.dead && b.incarnation == e.incarnation {
			b.rep.Gauges([]float64{float64(b.cores.JobCount())})
		}
	})
	return true
}

// sendAttempt sends a request to the box that its router picks, or finishes it as not served if the deadline has passed or no box may be sent to.
func (sim *simulation) sendAttempt(state *requestState) {
	r := sim.routers[state.request.Router]
	now := sim.now - startTime
	if now >= sim.scenario.RequestDeadline(state.request) {
		sim.finish(state, false)
		return
	}
	target, ok := r.Pick(sim.now, state.request, state.triedBoxes)
	if !ok {
		sim.finish(state, false)
		return
	}
	state.triedBoxes = append(state.triedBoxes, target)
	b := sim.boxes[target]
	if b.dead {
		sim.Schedule(sim.now+2*networkDelay, func() { sim.sendAttempt(state) }) // a refused connection is not an attempt: no box reads the request
		return
	}
	r.Sent(target)
	state.attempts++
	state.box = b
	state.txn = fmt.Sprintf("%08x%08x", state.request.N, state.attempts)
	state.finished = false
	b.attempts[state.txn] = state
	arrivedAt := sim.now
	b.addWork(sim.scenario.ReadWork, func() { b.handOver(state, arrivedAt) })
	txn := state.txn
	sim.Schedule(startTime+sim.scenario.RequestDeadline(state.request), func() { // the client abandons the request at its deadline
		if state.txn == txn && !state.finished {
			state.finished = true
			r.HandleAnswer(sim.now, target, Hints{})
			sim.finish(state, false)
		}
	})
}

// handOver passes an attempt that the box has read to the replica.
func (b *box) handOver(state *requestState, arrivedAt time.Duration) {
	sim, q := b.sim, state.request
	class := sim.scenario.Classes[q.Class]
	in := replica.Request{Txn: state.txn, Class: class.Name, Tenant: sim.scenario.Tenants[q.Tenant].Name, Body: []byte(fmt.Sprint(q.N)), Caller: q.Router, Retry: state.attempts > 1,
		KB: 16, Rank: q.Rank, ArrivedAt: time.Unix(0, int64(arrivedAt)), WaitLimit: startTime + sim.scenario.RequestDeadline(q) - arrivedAt, Reply: &reply{b, state, state.txn}}
	if class.Semantics == policy.Keyed {
		in.IdempotencyKey = fmt.Sprintf("%032x", q.N)
	}
	if in.WaitLimit <= 0 {
		delete(b.attempts, state.txn)
		return
	}
	state.arriving = true
	if err := b.rep.Arrive(in); err != nil && !state.finished { // an error is allowed for an attempt that was read long after its client's deadline
		sim.recordViolation("request not accepted: %v", err)
	}
	if state.arriving && state.attempts > 1 && !state.finished {
		state.admittedRetries++
	}
	state.arriving = false
}

// recordViolation records a violated invariant; the first 20 are kept.
func (sim *simulation) recordViolation(format string, a ...any) {
	if len(sim.result.Violations) < 20 {
		sim.result.Violations = append(sim.result.Violations, fmt.Sprintf("%v: ", sim.now-startTime)+fmt.Sprintf(format, a...))
	}
}

// reply implements replica.Reply for one attempt.
type reply struct {
	box   *box
	state *requestState
	txn   string
}

// Answer implements replica.Reply.
func (r *reply) Answer(a replica.Answer) {
	b, state := r.box, r.state
	sim := b.sim
	if b.attempts[r.txn] == nil {
		sim.result.AnsweredTwice++
		return
	}
	delete(b.attempts, r.txn)
	if state.txn == r.txn && state.arriving && a.Kind == replica.Rejected {
		state.arriving = false // rejected as soon as it was read
	}
	if a.DoNotRetry {
		sim.result.DoNotRetry++
		if sim.scenario.Mode == Fleet && sim.otherBoxIdle(b) {
			sim.result.DoNotRetryWhileIdle++
		}
	}
	hints := Hints{RetryAfter: a.RetryAfter, DoNotRetry: a.DoNotRetry, Signal: a.Signal.Value, HasSignal: a.Signal.Set}
	sim.Schedule(sim.now+networkDelay, func() { sim.handleAnswer(state, r.txn, b.number, a.Kind, hints) })
}

// otherBoxIdle reports whether some live box other than except runs at full speed with over three quarters of its cores free.
func (sim *simulation) otherBoxIdle(except *box) bool {
	for _, b := range sim.boxes {
		if b != except && !b.dead && b.cores.speed == 1 && b.cores.JobCount() < sim.scenario.Cores/4 {
			return true
		}
	}
	return false
}

// handleAnswer processes the answer of an attempt at its router, which may retry.
func (sim *simulation) handleAnswer(state *requestState, txn string, box int, kind replica.Kind, hints Hints) {
	if state.txn != txn || state.finished {
		return // the client has abandoned the request
	}
	state.finished = true
	r := sim.routers[state.request.Router]
	r.HandleAnswer(sim.now, box, hints)
	switch {
	case kind == replica.Served:
		sim.finish(state, true)
	case kind == replica.Rejected && r.ShouldRetry(state.attempts, hints):
		sim.sendAttempt(state)
	default:
		sim.finish(state, false)
	}
}

// loseConnection ends an attempt whose connection was closed without an answer. Only safe requests are retried.
func (sim *simulation) loseConnection(state *requestState) {
	if state.finished {
		return
	}
	state.finished = true
	sim.routers[state.request.Router].HandleAnswer(sim.now, state.box.number, Hints{})
	if sim.scenario.Classes[state.request.Class].Semantics == policy.Safe && sim.routers[state.request.Router].ShouldRetry(state.attempts, Hints{}) {
		sim.Schedule(sim.now+networkDelay, func() { sim.sendAttempt(state) })
		return
	}
	sim.finish(state, false)
}

// finish records the outcome of a request.
func (sim *simulation) finish(state *requestState, served bool) {
	state.finished = true
	sim.outcomes = append(sim.outcomes, RequestOutcome{Request: state.request, Served: served, Latency: sim.now - startTime - state.request.At, Attempts: state.attempts, AdmittedRetries: state.admittedRetries})
}

// exchangeLoad runs one step of the fleet's load exchange: the box publishes its totals, applies the advice and sends what is due.
func (b *box) exchangeLoad() {
	sim := b.sim
	if sim.scenario.Mode == Alone {
		return
	}
	t := view.TotalsOf(b.rep.Figures(), b.rep.Level())
	if sim.faultActive(ReportTooMuch, b.number) {
		t.Served, t.First, t.Further = t.Served*100, 0, 0
	}
	if sim.faultActive(ReportNothing, b.number) {
		t.Served, t.RejectedLocally, t.Busy = 0, t.First, 1
	}
	out := b.load.Tick(sim.now, view.TickInputs{Membership: sim.membership(b), Totals: t, Rules: sim.rules, MaxRetryDelay: sim.scenario.MaxRetryAfter, Finding: b.findingReport()})
	b.rep.Advise(b.load.Advice)
	if l := b.load.Advice.Level; l != b.level {
		b.level = l
		b.levelChanges = append(b.levelChanges, sim.now-startTime)
	}
	b.reportSchedule.SetFleet(len(sim.names), b.number == sim.proberNumber())
	for _, s := range b.load.Sums.Reports {
		b.reportSchedule.RecordReport(sim.now, s)
	}
	for _, o := range out {
		sim.send(b, o)
	}
}

// findingReport returns the box's report of the catalog's state, nil if it has none.
func (b *box) findingReport() *probes.FindingReport {
	if s, ok := b.reportSchedule.Report(b.sim.now); ok {
		return &s
	}
	return nil
}

// proberNumber returns the box that holds the prober's lease: the first one that is alive according to the ledger.
func (sim *simulation) proberNumber() int {
	for i := range sim.boxes {
		if !sim.knownDead[i] {
			return i
		}
	}
	return 0
}

// membership returns the fleet's membership as box b knows it.
func (sim *simulation) membership(b *box) view.Membership {
	known := 0
	for _, g := range sim.knownDead {
		if !g {
			known++
		}
	}
	return view.Membership{Self: sim.names[b.number], Session: b.incarnation, Relays: sim.relays, Known: known}
}

// send delivers a message between two boxes, subject to the faults that are active. The size of every 16th message stands for 16.
func (sim *simulation) send(from *box, o view.OutgoingMessage) {
	sim.messagesSent++
	if sim.messagesSent%16 == 1 {
		if raw, err := cbor.Marshal(o.Message); err == nil {
			sim.bytesSent += 16 * len(raw)
		}
	}
	var receiver int
	fmt.Sscanf(o.To, "n%d", &receiver)
	to := sim.boxes[receiver]
	delay, copies := networkDelay, 1
	cut := sim.scenario.Mode == Disconnected
	for _, t := range sim.scenario.Faults {
		switch {
		case t.Kind == Partition && sim.now-startTime >= t.From && sim.now-startTime < t.From+t.Duration:
			cut = cut || slices.Contains(t.Boxes, from.number) != slices.Contains(t.Boxes, receiver)
		case t.activeAt(sim.now-startTime, DelayMessages, from.number):
			delay = 2 * time.Second
		case t.activeAt(sim.now-startTime, LoseMessages, from.number):
			cut = cut || sim.messageRand.IntN(2) == 0
		case t.activeAt(sim.now-startTime, ReorderMessages, from.number):
			delay = time.Duration(sim.messageRand.IntN(600)) * time.Millisecond
			copies = 1 + sim.messageRand.IntN(2)
		}
	}
	if cut {
		return
	}
	for range copies {
		sim.Schedule(sim.now+delay, func() {
			if !to.dead {
				to.load.Take(sim.now, sim.names[from.number], o.Message, sim.membership(to))
			}
		})
	}
}

// reportIfDue reports to the catalog when the schedule says so.
func (b *box) reportIfDue() {
	sim := b.sim
	if !b.reportSchedule.Due(sim.now) {
		return
	}
	up := !sim.faultActive(CatalogDown, -1)
	if up {
		sim.reportsWhileUp++
		if b.catalogBackAt > 0 {
			sim.result.MaxReportDelay = max(sim.result.MaxReportDelay, sim.now-b.catalogBackAt)
			b.catalogBackAt = 0
		}
	} else {
		sim.reportsWhileDown++
	}
	b.reportSchedule.RecordResult(sim.now, up)
}
