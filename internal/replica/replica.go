// Package replica carries out the decisions of the module for one server: it owns the live requests,
// the table of keys, repeats that wait for another try, the timer and the drain. It knows no wire
// format; requests come in and answers go out in neutral terms.
package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/handover"
	"cairnlane/internal/decide/shed"
	"cairnlane/policy"
)

// Clock gives the time since the Unix epoch on a monotonic base.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func())
}

// Engine takes what is to be run. Its methods never block.
type Engine interface {
	// Run sends a request to the engine; false means that there is no link to send it on.
	Run(txn, class string, body []byte) bool
	// Feed hands a run the reply to its call; false means that there is no link to send it on.
	Feed(txn string, reply []byte) bool
	// Skip has a run go on without the call that notice number asked for; false means that there is no link.
	Skip(txn string, number int64) bool
	// AskGauges asks for the gauges; false means that no answer is to be expected soon.
	AskGauges() bool
}

// Index makes the calls that running requests wait for, to the index that all replicas share. Its methods never
// block; the end of each call comes back by Replica.Called, once, unless the call was stopped.
type Index interface {
	// Get makes the call of a request, which waits at most wait for it. A second Get for a request gives up the first.
	Get(txn string, wait time.Duration, body []byte)
	// Stop gives up the call of a request.
	Stop(txn string)
}

// Request is one try, as read from a router.
type Request struct {
	Txn    string // id of the try, unique
	Class  string
	Tenant string
	Body   []byte
	Caller int
	Retry  bool
	KB     float64
	Rank   float64
	Door   time.Time     // when it came to the machine
	Limit  time.Duration // how long its caller waits, from Door
	// LimitUnknown says that the router did not tell Limit: the caller is taken to wait as long as its class's deadline.
	LimitUnknown bool
	Unique       string // the same for all tries of one keyed request
	Item         string // what a read is about
	Reply        Reply
}

// Kind is the kind of an answer.
type Kind int

// The kinds of answers.
const (
	Served  Kind = iota // with the result of the run
	Refused             // this try never ran
	Failed
	kinds
)

// Answer is the one final answer of a try.
type Answer struct {
	Kind   Kind
	Body   []byte        // lent for the call
	Later  time.Duration // Refused: stay away for so long
	GiveUp bool          // Refused: try no other replica
	Signal Signal        // the free value that goes out with it
}

// Signal is the free value, once one was set.
type Signal struct {
	Value float64
	Set   bool
}

// Reply takes the one final answer of a request. It must not block nor call the replica.
type Reply interface{ Answer(Answer) }

// Config is what a replica needs.
type Config struct {
	Policy      policy.Config
	Tenants     []string // those that exist; empty at a site that has none
	OnCores     int      // place of the gauge among those that the engine tells
	ResultBytes int      // bound on stored results
	CloseIdle   func(after time.Duration)
	Replaceable bool  // another process may take over from this one, or this one does
	Index       Index // nil at sites whose requests make no calls
}

const (
	// keyMargin is added to the window of a key: the clocks that count it are not ours alone.
	keyMargin = time.Second
	// gaugeWait is how long a tick waits for the gauges that it has asked for.
	gaugeWait = 2 * time.Millisecond
	// oldestDeadlines is how many of the longest deadline may have passed since a request came.
	oldestDeadlines = 2
	// doorAhead is how far in the future a door may lie before it is not believed.
	doorAhead = time.Second
	// adviceStream names the random numbers of the fleet's advice.
	adviceStream = 20
)

// ErrRequest is wrapped by what Arrive says of a request that cannot be taken.
var ErrRequest = errors.New("bad request")

// request is a live try: not answered, or running.
type request struct {
	Request
	id       policy.RequestID
	class    *policy.Class
	place    int // of its class
	tenant   int // its tenant, as the module counts them
	door     time.Duration
	content  handover.Digest // Keyed: of class and body
	claim    uint64          // under which the other process of a replacement has left its key to this one
	others   policy.Others   // what is known of the other boxes, from its read to its answer
	answered bool
	running  bool // decided to run; its end is awaited
	sent     bool // RUN was written at least once
	sentAt   time.Duration
	pending  bool      // RUN is to be written, or once more, as soon as there is a link
	doubt    bool      // RUN may be lost with its link, or its end be told at this moment: it is not written again
	key      *key      // its entry, once kept
	waitsOn  *key      // the try whose outcome it waits for
	call     indexCall // the call its run waits for, if any
}

// Replica drives one policy.Controller. All of its methods may be called from any goroutine.
type Replica struct {
	cfg     Config
	clock   Clock
	engine  Engine
	classes map[string]int
	tenants map[string]int // 1 + the place of each in the module's configuration
	count   counts
	figures *figures
	advice  atomic.Pointer[shed.Advice] // what the fleet advises; nil where there is none

	mu      sync.Mutex // the module is entered by one caller at a time
	ctl     *policy.Controller
	inside  bool // a method of the module is on the stack
	after   []func(now time.Duration)
	nextID  policy.RequestID
	live    map[policy.RequestID]*request
	txns    map[string]*request
	keys    keyTable
	shared  shared
	gauges  policy.Gauges
	gauged  time.Duration // when they came; 0 before the first
	ticks   int           // ticks begun
	asking  bool          // the present tick waits for its gauges
	signal  Signal
	healthy bool
	oldest  time.Duration // no request that is read came longer ago
	draw    func() float64
	manners shed.Manners
}

type counts struct {
	beyond, overShare, lowClass                                                                                                     *counters.Counter // refusals by the fleet's word
	read, retries, served, refused, failed, reused, advised, giveups, runs, resent, doubted, done, moot, stray, rejected, malformed *counters.Counter
	calls, callsStray, gone                                                                                                         *counters.Counter
}

// New builds a replica. The module may act at once, so the engine must be able to take calls.
func New(cfg Config, clock Clock, engine Engine, set *counters.Set) (*Replica, error) {
	r := &Replica{cfg: cfg, clock: clock, engine: engine, classes: map[string]int{}, tenants: map[string]int{},
		live: map[policy.RequestID]*request{}, txns: map[string]*request{},
		keys: keyTable{byName: map[string]*key{}, byHolder: map[policy.RequestID]*key{}, bound: cfg.ResultBytes}}
	r.count = counts{read: set.Get("requests_read"), retries: set.Get("requests_marked_retry"),
		served: set.Get("answers_served"), refused: set.Get("answers_refused"), failed: set.Get("answers_failed"),
		reused: set.Get("answers_reused"), advised: set.Get("answers_with_later"), giveups: set.Get("answers_with_giveup"),
		runs: set.Get("runs_decided"), resent: set.Get("runs_sent_again"), doubted: set.Get("runs_in_doubt"), done: set.Get("runs_done"),
		moot: set.Get("runs_done_unserved"), stray: set.Get("notices_unmatched"), rejected: set.Get("runs_rejected"), malformed: set.Get("requests_malformed")}
	r.count.calls, r.count.callsStray, r.count.gone = set.Get("calls_made"), set.Get("calls_unmatched"), set.Get("callers_gone")
	r.count.beyond, r.count.overShare, r.count.lowClass = set.Get("refused_beyond_tries"), set.Get("refused_over_share"), set.Get("refused_low_class")
	r.shared = newShared(cfg.Replaceable)
	for i := range cfg.Policy.Classes {
		r.classes[cfg.Policy.Classes[i].Name] = i
		r.oldest = max(r.oldest, oldestDeadlines*cfg.Policy.Classes[i].Deadline)
	}
	for i, t := range cfg.Policy.Tenants {
		r.tenants[t.Name] = i + 1
	}
	if r.cfg.Policy.KeyKB <= 0 {
		r.cfg.Policy.KeyKB = 1e-3 // the module keeps only keys that cost something
	}
	r.figures = newFigures(cfg.Policy.Classes, cfg.Tenants)
	var err error
	r.enter(func(now time.Duration) { r.ctl, err = policy.New(now, r.cfg.Policy, r) })
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	return r, nil
}

// enter serializes the entry to the module. What an action of the module makes due, such as the end
// of a join that is over at once, is told to it only after the call that acted has returned.
func (r *Replica) enter(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	f(now)
	for len(r.after) > 0 {
		next := r.after[0]
		r.after = r.after[1:]
		next(now)
	}
	r.after = nil
}

// call enters the module, which is never entered again from the actions it takes.
func (r *Replica) call(method func()) {
	assert.That(!r.inside, "the module is not entered from its own calls")
	r.inside = true
	defer func() { r.inside = false }() // also by a panic, which netpoll's pool takes for the end of one connection
	method()
}

func (r *Replica) queue(f func(now time.Duration)) { r.after = append(r.after, f) }

// Arrive takes a request that was read. An error means that it was not taken and has no answer yet.
func (r *Replica) Arrive(q Request) error {
	class, ok := r.classes[q.Class]
	if !ok {
		return fmt.Errorf("%w: unknown class %.80q", ErrRequest, q.Class)
	}
	// From here on the settings' own names are held, of which there is one each.
	q.Class = r.cfg.Policy.Classes[class].Name
	if tenant := slices.Index(r.cfg.Tenants, q.Tenant); tenant >= 0 {
		q.Tenant = r.cfg.Tenants[tenant]
	} else if len(r.cfg.Tenants) > 0 {
		return fmt.Errorf("%w: unknown tenant %.80q", ErrRequest, q.Tenant)
	} else {
		q.Tenant = ""
	}
	req := &request{Request: q, class: &r.cfg.Policy.Classes[class], place: class, tenant: r.tenants[q.Tenant], door: time.Duration(q.Door.UnixNano())}
	if req.class.Semantics == policy.Keyed && q.Unique == "" {
		return fmt.Errorf("%w: class %q needs a key", ErrRequest, q.Class)
	}
	if req.class.Semantics == policy.Keyed {
		req.content = content(&q)
	}
	var err error
	r.enter(func(now time.Duration) {
		switch {
		case r.txns[q.Txn] != nil:
			err = fmt.Errorf("%w: try %q is open already", ErrRequest, q.Txn)
			return
		case req.door > now+doorAhead:
			err = fmt.Errorf("%w: it came in the future", ErrRequest)
			return
		case now-req.door > r.oldest || q.Limit > r.oldest: // would be taken for a long wait to be read
			err = fmt.Errorf("%w: it came %v ago and waits %v, no caller does", ErrRequest, now-req.door, q.Limit)
			return
		}
		k := r.keys.find(req)
		if k != nil && k.content != req.content {
			// All tries of one request carry the same body. What carries another is no try of it and
			// must not be handed its result, nor run under its key.
			err = fmt.Errorf("%w: its key belongs to another body", ErrRequest)
			return
		}
		r.count.read.Inc()
		if q.Retry {
			r.count.retries.Inc()
		}
		r.nextID++
		req.id = r.nextID
		r.live[req.id], r.txns[q.Txn] = req, req
		r.figures.came(req)
		req.others = r.othersFor(now, req)
		if k == nil && r.shared.possible && req.class.Semantics == policy.Keyed {
			r.ask(now, req)
			return
		}
		r.admit(now, req, k)
	})
	return err
}

// admit has the module decide on a request that repeats the one of an entry, or none.
func (r *Replica) admit(now time.Duration, req *request, k *key) {
	in := r.described(now, req, k)
	r.call(func() { r.ctl.Arrive(now, in) })
}

// described is what the module is told of a request that repeats the one of an entry, or none.
func (r *Replica) described(now time.Duration, req *request, k *key) policy.Request {
	in := policy.Request{ID: req.id, Class: req.place, Tenant: req.tenant, Retry: req.Retry, Caller: req.Caller, KB: req.KB, Rank: req.Rank,
		Key: req.Item, Waited: max(now-req.door, 0), Others: req.others}
	if !req.LimitUnknown { // else the module goes by the deadline of the class
		in.Due = req.door + req.Limit
	}
	if k != nil {
		in.Earlier = k.holder
	}
	return in
}

// Advise has requests that are read from now on decided with what the fleet advises, until the next call; nil ends it. Those that were
// read before keep what they were read under. The value is not changed afterwards.
func (r *Replica) Advise(a *shed.Advice) {
	r.advice.Store(a)
	mean := 0.0
	if a != nil {
		mean = a.Trust * a.Mean
	}
	r.enter(func(time.Duration) { r.call(func() { r.ctl.Others(mean) }) })
}

// Level is what the module by itself would have callers hold back.
func (r *Replica) Level() (level float64) {
	r.enter(func(time.Duration) { level = r.ctl.Level() })
	return level
}

// othersFor is the fleet's word on a request, in the module's terms.
func (r *Replica) othersFor(now time.Duration, req *request) policy.Others {
	a := r.advice.Load()
	if a == nil {
		return policy.Others{}
	}
	if r.draw == nil { // of its own, so that the module's chances are the same with a fleet and without
		r.draw = rand.New(rand.NewPCG(uint64(r.cfg.Policy.Seed), adviceStream)).Float64
	}
	r.manners.Told(now, r.signal.Value)
	r.figures.want(req, r.signal.Value)
	w := a.For(req.Tenant, req.place, req.Retry, r.draw)
	if r.manners.Saw(req.Caller, req.Rank) {
		w.Beyond, w.Order = false, shed.Ordinary
		if req.Retry {
			w.Order = shed.Last
		}
	}
	return policy.Others{Version: w.Version, Known: w.Known, Full: w.Full, Return: w.Return, Beyond: w.Beyond, Order: w.Order}
}

// answer gives a request its one final answer.
func (r *Replica) answer(req *request, a Answer) {
	if !assert.That(!req.answered, "a try is answered once") {
		return
	}
	req.answered = true
	r.figures.ended(req.place, a.Kind)
	if a.Kind == Served && r.clock.Now() > req.door+req.class.Aim {
		r.figures.late[req.place].Add(1)
	}
	switch a.Kind {
	case Served:
		r.count.served.Inc()
	case Refused:
		r.count.refused.Inc()
		if a.Later > 0 {
			r.count.advised.Inc()
		}
		if a.GiveUp {
			r.count.giveups.Inc()
		}
	default:
		r.count.failed.Inc()
	}
	a.Signal = r.signal
	req.Reply.Answer(a)
	req.Reply = nil
}

// patience is how long the caller of a request waits from its door: as the router says, or else the deadline of its
// class.
func (r *Replica) patience(req *request) time.Duration {
	if req.LimitUnknown {
		return req.class.Deadline
	}
	return req.Limit
}

// forget ends the books of a request.
func (r *Replica) forget(req *request) {
	if req.call.out {
		r.cfg.Index.Stop(req.Txn)
	}
	delete(r.live, req.id)
	delete(r.txns, req.Txn)
	if k := req.waitsOn; k != nil {
		k.leave(req)
	}
}

// tick is the module's timer. The module is to see the gauges as they are now, not those of the tick
// before: it climbs by how many cores are idle. So the tick asks first and goes on with the answer,
// or without one after a moment: an engine that is slow to tell must not delay what is due.
func (r *Replica) tick() {
	r.enter(func(now time.Duration) {
		r.ticks++
		if r.asking = r.engine.AskGauges(); !r.asking {
			r.ticked(now)
			return
		}
		mine := r.ticks
		r.clock.AfterFunc(gaugeWait, func() {
			r.enter(func(now time.Duration) {
				if r.asking && r.ticks == mine {
					r.ticked(now)
				}
			})
		})
	})
}

func (r *Replica) ticked(now time.Duration) {
	r.asking = false
	r.keys.expire(now)
	if r.gauged > 0 {
		r.gauges.Age = now - r.gauged
	}
	r.call(func() { r.ctl.Tick(now, r.gauges) })
}

// Drain takes the notice to leave; the process is stopped after stop.
func (r *Replica) Drain(stop time.Duration) {
	r.enter(func(now time.Duration) { r.call(func() { r.ctl.Drain(now, now+stop) }) })
}

// Owed tells how many requests have no answer yet.
func (r *Replica) Owed() int { return int(r.figures.open.Load()) }

// Healthy is the answer to health checks, from store.
func (r *Replica) Healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healthy
}

// CurrentSignal returns the free value, for health checks.
func (r *Replica) CurrentSignal() Signal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.signal
}

// Gone takes word that the caller of a try has stopped waiting for it: no answer is owed any more, and what has not
// begun need not run. The module is told. A try that neither runs nor waits for another one is answered at once, as
// refused, since it never ran: one answer does no harm, and its connection is not kept busy by it. Keyed tries are left
// as they are while the other process of a replacement may be asked for their key.
func (r *Replica) Gone(txn string) {
	r.enter(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || req.answered || (r.shared.possible && req.class.Semantics == policy.Keyed) {
			return
		}
		r.count.gone.Inc()
		r.call(func() { r.ctl.Gone(now, req.id) })
		if !req.running && req.waitsOn == nil && !req.answered {
			r.answer(req, Answer{Kind: Refused})
			r.forget(req)
			if k := req.key; k != nil { // repeats that waited for it never ran either
				r.release(k, Answer{Kind: Refused}, policy.Failed)
			}
		}
	})
}

// Turned counts a call that could not be taken as a request.
func (r *Replica) Turned() { r.count.malformed.Inc() }
