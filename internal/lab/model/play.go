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

// Mode is how the boxes of a day go by their fleet.
type Mode string

// The modes.
const (
	Alone Mode = "alone" // each sheds by itself
	Fleet Mode = "fleet" // they shed as one
	Cut   Mode = "cut"   // they would, and none hears another
)

// Kind is a kind of trouble.
type Kind string

// The kinds.
const (
	Kill      Kind = "kill"      // boxes die and come back cold
	Slow      Kind = "slow"      // boxes are so many times slower
	Partition Kind = "partition" // boxes and the others hear nothing of each other; routers reach all
	Late      Kind = "late"      // what boxes say comes 2 s late
	Lose      Kind = "lose"      // half of what boxes say is lost
	Reorder   Kind = "reorder"   // what boxes say overtakes each other, and comes twice
	Lie       Kind = "lie"       // boxes say a hundred times their capacity, and that they are offered nothing
	Nothing   Kind = "nothing"   // boxes say that they can do nothing
	Catalog   Kind = "catalog"   // it is down
)

// Trouble is something that goes wrong for a time.
type Trouble struct {
	Kind  Kind
	From  time.Duration
	For   time.Duration
	Boxes []int
	Times float64
}

func (t Trouble) on(now time.Duration, kind Kind, box int) bool {
	return t.Kind == kind && now >= t.From && now < t.From+t.For && (t.Boxes == nil || slices.Contains(t.Boxes, box))
}

// Day is what is played.
type Day struct {
	Site
	Load
	Mode     Mode
	Tries    float64 // the budget; 0 for the usual one
	Troubles []Trouble
	Relays   int // 3 if not given
}

// Result is what came of a day.
type Result struct {
	Worth
	Lost, Twice, DoubleRuns int
	Levels                  []time.Duration // changes of the first box's level
	LevelChanges            int             // at most, of one box in 10 s
	Probes                  float64         // questions to the catalog a second while it was down
	Reports                 float64         // and while it was up
	Blind                   time.Duration   // the longest that a box took to report after the catalog was back
	Messages, Bytes         float64         // of the fleet's talk, a second and box
	GaveUp                  int             // refusals that asked to try nowhere else
	Wrongly                 int             // of them, while another box was idle
	Calls, Skipped          int             // to the index: those that it served, and those that runs went on without
	Events                  uint64
	Broken                  []string
}

// start is when a day begins, by the clock of the world: nothing stands at 0.
const start = 1000 * time.Second

const (
	hop        = 500 * time.Microsecond // between a router and a box, and between two boxes
	ledgerLag  = 5 * time.Second        // until the fleet knows of a box that has died
	reportEach = 700 * time.Millisecond // as a lone box reports to the catalog
	reportMost = 1300 * time.Millisecond
	returnEach = 5 * time.Millisecond // what the catalog needs for one box
)

type play struct {
	World
	day     Day
	boxes   []*box
	names   []string
	relays  []string
	routers []*Router
	rules   *shed.Rules
	talk    *rand.Rand
	res     Result
	fates   []Fate
	runs    map[string]int // of keyed requests on one box
	said    int
	bytes   int
	down    int // questions while the catalog was down
	up      int
	gone    []bool // as the ledger has it
	index   *index
}

type box struct {
	p      *play
	i      int
	rep    *replica.Replica
	cores  *Cores
	pumped int
	dead   bool
	flows  map[string]*flow
	load   view.Load
	life   uint64 // incarnation
	pace   probes.Schedule
	level  int
	turns  []time.Duration       // of its level
	since  time.Duration         // the catalog is back, and it has not reported; 0: it has
	calls  map[string]*indexCall // out, by request; nil at sites without calls
	waits  map[string]*engineRun // runs that have calls to make
	notice int64                 // of the engine, the last that asked for a call
}

// flow is a request on its way.
type flow struct {
	q      Request
	tried  []int
	tries  int
	let    int
	at     *box
	inside bool // its box's Arrive is on the stack
	over   bool
	txn    string
}

// Play plays a day.
func Play(d Day) Result {
	p := &play{day: d, talk: stream(d.Seed, streamTalk), runs: map[string]int{}, gone: make([]bool, d.Boxes)}
	p.now, p.index = start, &index{p: p}
	if d.Relays == 0 {
		p.day.Relays = 3
	}
	if d.Mode != Alone {
		p.rules = &shed.Rules{Version: 1, Tries: d.Tries, Shares: d.Shares(d.Quota), Order: d.Order()}
	}
	for i := range d.Boxes {
		p.names = append(p.names, fmt.Sprintf("n%04d", i))
		p.boxes = append(p.boxes, &box{p: p, i: i, flows: map[string]*flow{}})
		p.boxes[i].start(false)
	}
	p.relays = p.names[:min(p.day.Relays, d.Boxes)]
	src := stream(d.Seed, streamRouters)
	for _, h := range Habits(d.Seed, d.Routers) {
		r := NewRouter(h, d.Heeded, src)
		p.routers = append(p.routers, r)
	}
	p.list()
	for _, q := range d.Draw(d.Load) {
		p.At(start+q.At, func() { p.try(&flow{q: q}) })
	}
	for _, t := range d.Troubles {
		p.trouble(t)
	}
	p.Run(start + d.Span)
	p.Run(start + d.Span + 12*time.Second) // what is open ends
	for _, b := range p.boxes {
		p.res.LevelChanges = max(p.res.LevelChanges, Most(b.turns, 10*time.Second))
		for _, f := range b.flows {
			if !f.over {
				p.res.Lost++
			}
		}
	}
	p.res.Levels = p.boxes[0].turns
	p.res.Worth = d.Judge(d.Load, p.fates)
	seconds := d.Span.Seconds() * float64(d.Boxes)
	p.res.Messages, p.res.Bytes = float64(p.said)/seconds, float64(p.bytes)/seconds
	out := 0.0
	for _, t := range d.Troubles {
		if t.Kind == Catalog {
			out += t.For.Seconds()
		}
	}
	if out > 0 {
		p.res.Probes = float64(p.down) / out
	}
	p.res.Reports = float64(p.up) / (d.Span.Seconds() + 12 - out)
	p.res.Events, p.res.Calls = p.n, p.index.served
	return p.res
}

// Most is how many of some times lie within a span of each other, at the most.
func Most(times []time.Duration, span time.Duration) (n int) {
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

// list tells all routers which boxes there are.
func (p *play) list() {
	var up []int
	for _, b := range p.boxes {
		if !b.dead {
			up = append(up, b.i)
		}
	}
	for _, r := range p.routers {
		r.List(up)
	}
}

func (p *play) trouble(t Trouble) {
	switch t.Kind {
	case Kill:
		for _, i := range t.Boxes {
			p.At(start+t.From, func() { p.boxes[i].kill() })
			p.At(start+t.From+t.For, func() { p.boxes[i].start(true) })
		}
	case Slow:
		for _, i := range t.Boxes {
			p.At(start+t.From, func() { p.boxes[i].slow(1 / t.Times) })
			p.At(start+t.From+t.For, func() { p.boxes[i].slow(1) })
		}
	case Catalog:
		p.At(start+t.From+t.For, func() {
			for _, b := range p.boxes {
				b.since = p.now
			}
		})
	}
}

// is tells whether a trouble is on at a box.
func (p *play) is(kind Kind, box int) bool {
	for _, t := range p.day.Troubles {
		if t.on(p.now-start, kind, box) {
			return true
		}
	}
	return false
}

// start is the begin of a box's process.
func (b *box) start(cold bool) {
	p := b.p
	b.life++
	b.dead, b.cores = false, NewCores(p.now, p.day.Machine, cold)
	cfg := p.day.Policy(int64(p.day.Seed)*1000+int64(b.i), p.day.Routers)
	cfg.Cold = cold
	b.waits = map[string]*engineRun{}
	var tenants []string
	for _, t := range p.day.Tenants {
		tenants = append(tenants, t.Name)
	}
	rep, err := replica.New(replica.Config{Policy: cfg, Tenants: tenants, MaxResultBytes: 1 << 20, Index: b.indexFor()}, life{p, b, b.life}, engineOf{b, b.life}, new(counters.Set))
	if err != nil {
		panic("model: the site's figures are no settings: " + err.Error())
	}
	b.rep = rep
	rep.Attached(0, func() {})
	rep.Started(0)
	b.load = view.Load{}
	p.res.LevelChanges = max(p.res.LevelChanges, Most(b.turns, 10*time.Second)) // of the process before
	b.turns, b.level = nil, 0
	b.pace = probes.Schedule{Self: p.names[b.i], BaseInterval: reportEach, MaxInterval: reportMost, CostPerBox: returnEach, Place: place(b.i)}
	mine := b.life
	p.each(view.ExchangeInterval, place(b.i), func() bool { return b.life == mine && !b.dead }, b.turn)
	p.each(reportEach/8, place(b.i), func() bool { return b.life == mine && !b.dead }, b.report)
	if b.life > 1 {
		p.At(p.now+p.day.ListLag, p.list)
		p.At(p.now+ledgerLag/5, func() { p.gone[b.i] = false })
	}
}

// place is a box's own, evenly over 0 to 1.
func place(i int) float64 { return float64(mix(77, i)>>11) / (1 << 53) }

// each does something again and again while a box lives.
func (p *play) each(every time.Duration, at float64, while func() bool, do func()) {
	var next func()
	next = func() {
		if while() {
			do()
			p.At(p.now+every, next)
		}
	}
	p.At(p.now+time.Duration(at*float64(every)), next)
}

// life is the clock of one process: what it asked for does not happen once it is dead.
type life struct {
	p *play
	b *box
	n uint64
}

func (l life) Now() time.Duration { return l.p.now }
func (l life) AfterFunc(d time.Duration, f func()) {
	l.p.AfterFunc(d, func() {
		if !l.b.dead && l.b.life == l.n {
			f()
		}
	})
}

func (b *box) kill() {
	p := b.p
	b.dead = true
	for _, txn := range slices.Sorted(maps.Keys(b.flows)) { // their connections end
		p.lost(b.flows[txn])
	}
	b.flows = map[string]*flow{}
	p.At(p.now+p.day.ListLag, p.list)
	p.At(p.now+ledgerLag, func() { p.gone[b.i] = b.dead })
}

func (b *box) slow(speed float64) {
	b.cores.Slow(b.p.now, speed)
	b.pump()
}

// add puts work on the cores; do happens apart from whatever is on the stack then.
func (b *box) add(work time.Duration, do func()) {
	mine := b.life
	b.cores.Add(b.p.now, work, func() {
		b.p.At(b.p.now, func() {
			if !b.dead && b.life == mine {
				do()
			}
		})
	})
	b.pump()
}

func (b *box) pump() {
	at, ok := b.cores.Next()
	if !ok {
		return
	}
	b.pumped++
	n, mine := b.pumped, b.life
	b.p.At(at, func() {
		if n == b.pumped && mine == b.life && !b.dead {
			b.cores.Advance(b.p.now)
			b.pump()
		}
	})
}

// engineOf is the engine of one process.
type engineOf struct {
	b    *box
	life uint64
}

// Run implements replica.Engine.
func (e engineOf) Run(txn, class string, body []byte) bool {
	b := e.b
	f := b.flows[txn]
	if f == nil {
		return true
	}
	q := f.q
	if b.p.day.Classes[q.Class].Semantics == policy.Keyed {
		key := fmt.Sprint(b.i, "/", b.life, "/", q.N)
		if b.p.runs[key]++; b.p.runs[key] > 1 {
			b.p.res.DoubleRuns++
		}
	}
	began := b.p.now
	work := func() { b.add(q.Work, func() { b.rep.Done(txn, policy.Succeeded, b.p.now-began, nil) }) }
	if b.calls == nil || b.p.day.callsOf(q) == 0 {
		work()
		return true
	}
	run := &engineRun{left: b.p.day.callsOf(q), begin: work}
	b.waits[txn] = run
	b.p.At(start+b.p.day.Due(q), func() { // it ends at its call once its request is over
		if b.waits[txn] == run && !b.dead && b.life == e.life {
			delete(b.waits, txn)
			b.rep.Done(txn, policy.Cancelled, b.p.now-began, nil)
		}
	})
	e.need(txn, run)
	return true
}

// RequestGauges implements replica.Engine.
func (e engineOf) RequestGauges() bool {
	b := e.b
	b.p.At(b.p.now, func() {
		if !b.dead && b.life == e.life {
			b.rep.Gauges([]float64{float64(b.cores.Demand())})
		}
	})
	return true
}

// try sends a request to a box, if there is one to send it to.
func (p *play) try(f *flow) {
	r := p.routers[f.q.Router]
	now := p.now - start
	if now >= p.day.Due(f.q) {
		p.end(f, false)
		return
	}
	i, ok := r.Pick(p.now, f.q, f.tried)
	if !ok {
		p.end(f, false)
		return
	}
	f.tried = append(f.tried, i)
	b := p.boxes[i]
	if b.dead {
		p.At(p.now+2*hop, func() { p.try(f) }) // refused connections are not tries: nobody reads them
		return
	}
	r.Sent(i)
	f.tries++
	f.at = b
	f.txn = fmt.Sprintf("%08x%08x", f.q.N, f.tries)
	f.over = false
	b.flows[f.txn] = f
	door := p.now
	b.add(p.day.Read, func() { b.read(f, door) })
	txn := f.txn
	p.At(start+p.day.Due(f.q), func() { // its client leaves
		if f.txn == txn && !f.over {
			f.over = true
			r.Heard(p.now, i, Told{})
			p.end(f, false)
		}
	})
}

func (b *box) read(f *flow, door time.Duration) {
	p, q := b.p, f.q
	k := p.day.Classes[q.Class]
	in := replica.Request{Txn: f.txn, Class: k.Name, Tenant: p.day.Tenants[q.Tenant].Name, Body: []byte(fmt.Sprint(q.N)), Caller: q.Router, Retry: f.tries > 1,
		KB: 16, Rank: q.Rank, ArrivedAt: time.Unix(0, int64(door)), WaitLimit: start + p.day.Due(q) - door, Reply: &reply{b, f, f.txn}}
	if k.Semantics == policy.Keyed {
		in.IdempotencyKey = fmt.Sprintf("%032x", q.N)
	}
	if in.WaitLimit <= 0 {
		delete(b.flows, f.txn)
		return
	}
	f.inside = true
	if err := b.rep.Arrive(in); err != nil && !f.over { // one that waited to be read until long after its client had left is none
		p.broke("a request is not taken: %v", err)
	}
	if f.inside && f.tries > 1 && !f.over {
		f.let++
	}
	f.inside = false
}

func (p *play) broke(format string, a ...any) {
	if len(p.res.Broken) < 20 {
		p.res.Broken = append(p.res.Broken, fmt.Sprintf("%v: ", p.now-start)+fmt.Sprintf(format, a...))
	}
}

// reply takes the one answer of a try.
type reply struct {
	b   *box
	f   *flow
	txn string
}

// Answer implements replica.Reply.
func (r *reply) Answer(a replica.Answer) {
	b, f := r.b, r.f
	p := b.p
	if b.flows[r.txn] == nil {
		p.res.Twice++
		return
	}
	delete(b.flows, r.txn)
	if f.txn == r.txn && f.inside && a.Kind == replica.Rejected {
		f.inside = false // refused at read
	}
	if a.GiveUp {
		p.res.GaveUp++
		if p.day.Mode == Fleet && p.idle(b) {
			p.res.Wrongly++
		}
	}
	told := Told{Later: a.RetryAfter, GiveUp: a.GiveUp, Signal: a.Signal.Value, Set: a.Signal.Set}
	p.At(p.now+hop, func() { p.heard(f, r.txn, b.i, a.Kind, told) })
}

// idle tells whether another box has most of its cores free.
func (p *play) idle(but *box) bool {
	for _, b := range p.boxes {
		if b != but && !b.dead && b.cores.speed == 1 && b.cores.Demand() < p.day.Cores/4 {
			return true
		}
	}
	return false
}

func (p *play) heard(f *flow, txn string, box int, kind replica.Kind, told Told) {
	if f.txn != txn || f.over {
		return // its client has left
	}
	f.over = true
	r := p.routers[f.q.Router]
	r.Heard(p.now, box, told)
	switch {
	case kind == replica.Served:
		p.end(f, true)
	case kind == replica.Rejected && r.Again(f.tries, told):
		p.try(f)
	default:
		p.end(f, false)
	}
}

// lost is the end of a try whose connection has ended.
func (p *play) lost(f *flow) {
	if f.over {
		return
	}
	f.over = true
	p.routers[f.q.Router].Heard(p.now, f.at.i, Told{})
	if p.day.Classes[f.q.Class].Semantics == policy.Safe && p.routers[f.q.Router].Again(f.tries, Told{}) {
		p.At(p.now+hop, func() { p.try(f) })
		return
	}
	p.end(f, false)
}

func (p *play) end(f *flow, served bool) {
	f.over = true
	p.fates = append(p.fates, Fate{Request: f.q, Served: served, Took: p.now - start - f.q.At, Tries: f.tries, Let: f.let})
}

// turn is what a box does for its fleet, a few times a second.
func (b *box) turn() {
	p := b.p
	if p.day.Mode == Alone {
		return
	}
	t := view.TotalsOf(b.rep.Figures(), b.rep.Level())
	if p.is(Lie, b.i) {
		t.Served, t.First, t.Further = t.Served*100, 0, 0
	}
	if p.is(Nothing, b.i) {
		t.Served, t.RejectedLocally, t.Busy = 0, t.First, 1
	}
	out := b.load.Tick(p.now, view.TickInputs{Membership: p.place(b), Totals: t, Rules: p.rules, MaxRetryDelay: p.day.MaxLater, Finding: b.said()})
	b.rep.Advise(b.load.Advice)
	if l := b.load.Advice.Level; l != b.level {
		b.level = l
		b.turns = append(b.turns, p.now-start)
	}
	b.pace.SetFleet(len(p.names), b.i == p.prober())
	for _, s := range b.load.Sums.Reports {
		b.pace.RecordReport(p.now, s)
	}
	for _, o := range out {
		p.send(b, o)
	}
}

func (b *box) said() *probes.FindingReport {
	if s, ok := b.pace.Report(b.p.now); ok {
		return &s
	}
	return nil
}

// prober is the box that has the lease, as the ledger gives it out.
func (p *play) prober() int {
	for i := range p.boxes {
		if !p.gone[i] {
			return i
		}
	}
	return 0
}

func (p *play) place(b *box) view.Membership {
	known := 0
	for _, g := range p.gone {
		if !g {
			known++
		}
	}
	return view.Membership{Self: p.names[b.i], Session: b.life, Relays: p.relays, Known: known}
}

func (p *play) send(from *box, o view.OutgoingMessage) {
	p.said++
	if p.said%16 == 1 {
		if raw, err := cbor.Marshal(o.Message); err == nil {
			p.bytes += 16 * len(raw)
		}
	}
	var i int
	fmt.Sscanf(o.To, "n%d", &i)
	to := p.boxes[i]
	delay, times := hop, 1
	cut := p.day.Mode == Cut
	for _, t := range p.day.Troubles {
		switch {
		case t.Kind == Partition && p.now-start >= t.From && p.now-start < t.From+t.For:
			cut = cut || slices.Contains(t.Boxes, from.i) != slices.Contains(t.Boxes, i)
		case t.on(p.now-start, Late, from.i):
			delay = 2 * time.Second
		case t.on(p.now-start, Lose, from.i):
			cut = cut || p.talk.IntN(2) == 0
		case t.on(p.now-start, Reorder, from.i):
			delay = time.Duration(p.talk.IntN(600)) * time.Millisecond
			times = 1 + p.talk.IntN(2)
		}
	}
	if cut {
		return
	}
	for range times {
		p.At(p.now+delay, func() {
			if !to.dead {
				to.load.Take(p.now, p.names[from.i], o.Message, p.place(to))
			}
		})
	}
}

// report is a box's look at whether it is to report to the catalog.
func (b *box) report() {
	p := b.p
	if !b.pace.Due(p.now) {
		return
	}
	up := !p.is(Catalog, -1)
	if up {
		p.up++
		if b.since > 0 {
			p.res.Blind = max(p.res.Blind, p.now-b.since)
			b.since = 0
		}
	} else {
		p.down++
	}
	b.pace.RecordResult(p.now, up)
}
