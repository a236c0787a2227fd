// Package replica executes the decisions of the decision module (package policy) for one server. It owns the live
// requests, the key table, repeats that wait for the outcome of another attempt, the timer and the drain. It knows
// no wire format: requests come in and answers go out as Go values.
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

// Clock returns the time since the Unix epoch on a monotonic base and runs functions after a delay. A function whose stop is
// called first does not run, and what it refers to is released.
type Clock interface {
	Now() time.Duration
	AfterFunc(d time.Duration, f func()) (stop func())
}

// Engine is the engine that executes requests. Its methods never block.
type Engine interface {
	// Run sends a request to the engine; it returns false if there is no link to send it on.
	Run(txn, class string, body []byte) bool
	// Feed sends a run the reply to its index call; it returns false if there is no link to send it on.
	Feed(txn string, reply []byte) bool
	// Skip makes a run continue without the call requested by notice number; it returns false if there is no
	// link to send it on.
	Skip(txn string, number int64) bool
	// RequestGauges requests the gauges; it returns false if no answer is to be expected soon.
	RequestGauges() bool
}

// Index makes the calls that running requests wait for to the index shared by all replicas. Its methods never
// block. The end of each call is reported to Replica.CallEnded, once, unless the call was stopped.
type Index interface {
	// Get makes the call of a request, which waits at most wait for the reply. A second Get for the same request
	// abandons the first.
	Get(txn string, wait time.Duration, body []byte)
	// Stop abandons the call of a request.
	Stop(txn string)
}

// Request is one attempt, as read from a router.
type Request struct {
	Txn       string // unique id of the attempt
	Class     string
	Tenant    string
	Body      []byte
	Caller    int
	Retry     bool
	KB        float64
	Rank      float64
	ArrivedAt time.Time     // when the attempt arrived at the machine
	WaitLimit time.Duration // how long the caller waits, counted from ArrivedAt
	// WaitLimitUnknown is set if the router sent no wait limit: the caller is then assumed to wait for the deadline of
	// the class.
	WaitLimitUnknown bool
	IdempotencyKey   string // idempotency key, shared by all attempts of one keyed request
	Item             string // what a read refers to; reads of the same item may share a result
	Reply            Reply
}

// Kind is the kind of an answer.
type Kind int

// The kinds of answers.
const (
	Served   Kind = iota // with the result of the run
	Rejected             // the attempt never ran
	Failed
	kindCount
)

// Answer is the one final answer to an attempt.
type Answer struct {
	Kind       Kind
	Body       []byte        // valid only during the call
	RetryAfter time.Duration // Rejected: the caller should not retry before this has passed
	DoNotRetry bool          // Rejected: the caller should not retry at another replica
	Signal     Signal        // sent along with the answer
}

// Signal is the value that the module publishes to callers with each answer. Set is false until the module has
// published one.
type Signal struct {
	Value float64
	Set   bool
}

// Reply takes the one final answer of a request. Answer must neither block nor call the replica.
type Reply interface{ Answer(Answer) }

// Config is the configuration of a replica.
type Config struct {
	Policy         policy.Config
	Tenants        []string // names of all tenants; empty if the site has none
	CoresGauge     int      // index of the on-cores gauge among the gauges that the engine reports
	MaxResultBytes int      // limit on the total size of stored results
	CloseIdle      func(after time.Duration)
	Replaceable    bool  // this process may be replaced by another one, or replaces one
	Index          Index // nil if the site's requests make no index calls
}

const (
	// keyMargin is added to the window of a key, because clocks of other machines count the window too.
	keyMargin = time.Second
	// gaugeWait is how long a tick waits for the gauges that it has requested.
	gaugeWait = 2 * time.Millisecond
	// maxAgeDeadlines limits the age of a request that is read, in multiples of the longest class deadline.
	maxAgeDeadlines = 2
	// maxClockSkew is how far in the future an arrival time may lie before the request is rejected.
	maxClockSkew = time.Second
	// adviceStream selects the random number stream used to apply the fleet's advice.
	adviceStream = 20
)

// ErrRequest is wrapped by the errors that Arrive returns for invalid requests.
var ErrRequest = errors.New("bad request")

// request is a live attempt: it is unanswered, running, or both.
type request struct {
	Request
	id          policy.RequestID
	class       *policy.Class
	classIndex  int // index of class in the module's configuration
	tenant      int // 1 + index of the tenant in the module's configuration; 0 if none
	arrivedAt   time.Duration
	digest      handover.Digest  // of class and body; set for keyed classes only
	claimSeq    uint64           // number of the claim by which the peer process granted the key to this one
	fleetAdvice policy.PeerState // the fleet's advice, fixed when the request was read
	answered    bool
	running     bool // the module decided to run it and its end was not reported yet
	sent        bool // RUN was written at least once
	sentAt      time.Duration
	pending     bool      // RUN is to be written or resent as soon as there is a link
	inDoubt     bool      // RUN may have been lost with its link, or its end may be about to be reported: RUN is not resent
	key         *key      // its entry in the key table, once there is one
	waitsOn     *key      // entry of the attempt whose outcome this one waits for
	stopTimers  []func()  // stop its timers; called when it is removed
	call        indexCall // the index call that its run waits for, if any
}

// Replica drives one policy.Controller. All of its methods may be called from any goroutine.
type Replica struct {
	cfg     Config
	clock   Clock
	engine  Engine
	classes map[string]int
	tenants map[string]int // 1 + index of each tenant in the module's configuration
	count   counts
	figures *requestFigures
	advice  atomic.Pointer[shed.Advice] // current advice of the fleet; nil if there is none

	mu             sync.Mutex // guards the fields below and serializes calls to the module
	ctl            *policy.Controller
	inModule       bool                      // a method of the module is being executed
	deferred       []func(now time.Duration) // calls to make once the present call has returned
	nextID         policy.RequestID
	live           map[policy.RequestID]*request
	txns           map[string]*request
	keys           keyTable
	peerState      peerState
	gauges         policy.Gauges
	gaugesAt       time.Duration // when the gauges were received; 0 before the first
	ticks          int           // number of ticks started
	awaitingGauges bool          // the current tick waits for its gauges
	signal         Signal
	healthy        bool
	maxAge         time.Duration // limit on the age and on the wait of a request
	random         func() float64
	compliance     shed.CallerCompliance
}

// New returns a replica. The module may act at once, so the engine must be ready to take calls.
func New(cfg Config, clock Clock, engine Engine, set *counters.Set) (*Replica, error) {
	r := &Replica{cfg: cfg, clock: clock, engine: engine, count: newCounts(set), classes: map[string]int{}, tenants: map[string]int{},
		live: map[policy.RequestID]*request{}, txns: map[string]*request{},
		keys: newKeyTable(cfg.MaxResultBytes)}
	r.peerState = newPeerState(cfg.Replaceable)
	for i := range cfg.Policy.Classes {
		r.classes[cfg.Policy.Classes[i].Name] = i
		r.maxAge = max(r.maxAge, maxAgeDeadlines*cfg.Policy.Classes[i].Deadline)
	}
	for i, t := range cfg.Policy.Tenants {
		r.tenants[t.Name] = i + 1
	}
	if r.cfg.Policy.KeyKB <= 0 {
		r.cfg.Policy.KeyKB = 1e-3 // the module only keeps keys with a cost above 0
	}
	r.figures = newRequestFigures(cfg.Policy.Classes, cfg.Tenants)
	var err error
	r.locked(func(now time.Duration) { r.ctl, err = policy.New(now, r.cfg.Policy, r) })
	if err != nil {
		return nil, fmt.Errorf("start the decision module: %w", err)
	}
	return r, nil
}

// locked calls f under the lock. What an action of the module triggers, such as the end of a repeat whose original
// has already ended, is passed to the module only after the call that acted has returned.
func (r *Replica) locked(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	f(now)
	for len(r.deferred) > 0 {
		call := r.deferred[0]
		r.deferred = r.deferred[1:]
		call(now)
	}
	r.deferred = nil
}

// callModule calls a method of the module. The module is never called from within the actions that it takes.
func (r *Replica) callModule(method func()) {
	assert.That(!r.inModule, "the module is not called from within its own actions")
	r.inModule = true
	defer func() { r.inModule = false }() // also after a panic, which ends one connection only
	method()
}

// deferCall schedules f for when the present call to the module has returned.
func (r *Replica) deferCall(f func(now time.Duration)) { r.deferred = append(r.deferred, f) }

// Arrive takes a request that was read. If it returns an error, the request was not accepted and has not been
// answered.
func (r *Replica) Arrive(q Request) error {
	class, ok := r.classes[q.Class]
	if !ok {
		return fmt.Errorf("%w: unknown class %.80q", ErrRequest, q.Class)
	}
	// The strings are replaced by those of the settings, so that a request does not retain copies of its own.
	q.Class = r.cfg.Policy.Classes[class].Name
	if tenant := slices.Index(r.cfg.Tenants, q.Tenant); tenant >= 0 {
		q.Tenant = r.cfg.Tenants[tenant]
	} else if len(r.cfg.Tenants) > 0 {
		return fmt.Errorf("%w: unknown tenant %.80q", ErrRequest, q.Tenant)
	} else {
		q.Tenant = ""
	}
	req := &request{Request: q, class: &r.cfg.Policy.Classes[class], classIndex: class, tenant: r.tenants[q.Tenant], arrivedAt: time.Duration(q.ArrivedAt.UnixNano())}
	if req.class.Semantics == policy.Keyed && q.IdempotencyKey == "" {
		return fmt.Errorf("%w: class %q needs an idempotency key", ErrRequest, q.Class)
	}
	if req.class.Semantics == policy.Keyed {
		req.digest = contentDigest(&q)
	}
	var err error
	r.locked(func(now time.Duration) {
		switch {
		case r.txns[q.Txn] != nil:
			err = fmt.Errorf("%w: attempt %q is already open", ErrRequest, q.Txn)
			return
		case req.arrivedAt > now+maxClockSkew:
			err = fmt.Errorf("%w: arrival time is %v in the future", ErrRequest, req.arrivedAt-now)
			return
		case now-req.arrivedAt > r.maxAge || q.WaitLimit > r.maxAge: // the age would be mistaken for a long wait to be read
			err = fmt.Errorf("%w: arrived %v ago with a wait of %v, more than %v", ErrRequest, now-req.arrivedAt, q.WaitLimit, r.maxAge)
			return
		}
		k := r.keys.find(req)
		if k != nil && k.digest != req.digest {
			// All attempts of one request carry the same body. One with a different body belongs to another
			// request: it must neither get the stored result nor run under this key.
			err = fmt.Errorf("%w: idempotency key was used with a different body", ErrRequest)
			return
		}
		r.count.read.Inc()
		if q.Retry {
			r.count.retries.Inc()
		}
		r.nextID++
		req.id = r.nextID
		r.live[req.id], r.txns[q.Txn] = req, req
		r.figures.countAccepted(req)
		req.fleetAdvice = r.adviceFor(now, req)
		if k == nil && r.peerState.enabled && req.class.Semantics == policy.Keyed {
			r.claimKey(now, req)
			return
		}
		r.admit(now, req, k)
	})
	return err
}

// admit asks the module to decide on a request that repeats the request of entry k, or is new if k is nil.
func (r *Replica) admit(now time.Duration, req *request, k *key) {
	in := r.describe(now, req, k)
	r.callModule(func() { r.ctl.Arrive(now, in) })
}

// describe returns the module's view of a request that repeats the request of entry k, or is new if k is
// nil.
func (r *Replica) describe(now time.Duration, req *request, k *key) policy.Request {
	in := policy.Request{ID: req.id, Class: req.classIndex, Tenant: req.tenant, Retry: req.Retry, Caller: req.Caller, KB: req.KB, Rank: req.Rank,
		Key: req.Item, ReadWait: max(now-req.arrivedAt, 0), Peers: req.fleetAdvice}
	if !req.WaitLimitUnknown { // otherwise the module uses the deadline of the class
		in.Due = req.arrivedAt + req.WaitLimit
	}
	if k != nil {
		in.RepeatOf = k.holder
	}
	return in
}

// Advise sets the fleet's advice for the requests that are read until the next call; nil ends it. Requests that
// were read earlier keep the advice they were read under. a must not be changed afterwards.
func (r *Replica) Advise(a *shed.Advice) {
	r.advice.Store(a)
	mean := 0.0
	if a != nil {
		mean = a.Trust * a.MeanHoldBack
	}
	r.locked(func(time.Duration) { r.callModule(func() { r.ctl.SetMeanLevel(mean) }) })
}

// Level returns the share of requests, by rank, that the module alone would have callers hold back, without regard
// to the fleet's advice.
func (r *Replica) Level() (level float64) {
	r.locked(func(time.Duration) { level = r.ctl.Level() })
	return level
}

// adviceFor returns the fleet's advice on a request, in the module's terms.
func (r *Replica) adviceFor(now time.Duration, req *request) policy.PeerState {
	a := r.advice.Load()
	if a == nil {
		return policy.PeerState{}
	}
	if r.random == nil { // a separate source: the module draws the same numbers with a fleet and without
		r.random = rand.New(rand.NewPCG(uint64(r.cfg.Policy.Seed), adviceStream)).Float64
	}
	r.compliance.SetFloor(now, r.signal.Value)
	r.figures.countWanted(req, r.signal.Value)
	verdict := a.ForRequest(req.Tenant, req.classIndex, req.Retry, r.random)
	if r.compliance.Observe(req.Caller, req.Rank) {
		verdict.OverBudget, verdict.Order = false, shed.Ordinary
		if req.Retry {
			verdict.Order = shed.NotByChance
		}
	}
	return policy.PeerState{Version: verdict.Version, Known: verdict.RetryValid, Full: verdict.FleetFull, RetryAfter: verdict.RetryAfter, BeyondRetryLimit: verdict.OverBudget, RejectOrder: verdict.Order}
}

// answer gives a request its one final answer.
func (r *Replica) answer(req *request, a Answer) {
	if !assert.That(!req.answered, "an attempt is answered only once") {
		return
	}
	req.answered = true
	r.figures.countAnswer(req.classIndex, a.Kind)
	if a.Kind == Served && r.clock.Now() > req.arrivedAt+req.class.Aim {
		r.figures.lateByClass[req.classIndex].Add(1)
	}
	switch a.Kind {
	case Served:
		r.count.served.Inc()
	case Rejected:
		r.count.rejectedAnswers.Inc()
		if a.RetryAfter > 0 {
			r.count.withLater.Inc()
		}
		if a.DoNotRetry {
			r.count.withGiveUp.Inc()
		}
	default:
		r.count.failed.Inc()
	}
	a.Signal = r.signal
	req.Reply.Answer(a)
	req.Reply = nil
}

// callerWait returns how long the caller of a request waits, counted from its arrival: the limit sent by the
// router or else the deadline of the class.
func (r *Replica) callerWait(req *request) time.Duration {
	if req.WaitLimitUnknown {
		return req.class.Deadline
	}
	return req.WaitLimit
}

// remove drops a request from the tables of live requests and stops its timers and its index call.
func (r *Replica) remove(req *request) {
	for _, stop := range req.stopTimers {
		stop()
	}
	req.stopTimers = nil
	if req.call.outstanding {
		r.cfg.Index.Stop(req.Txn)
	}
	delete(r.live, req.id)
	delete(r.txns, req.Txn)
	if k := req.waitsOn; k != nil {
		k.removeWaiting(req)
	}
}

// tick is the module's timer. The module raises its concurrency by the number of idle cores, so it needs the
// current gauges and not those of the previous tick. tick therefore requests the gauges first and continues with
// the answer, or without it after gaugeWait: a slow engine must not delay decisions that are due.
func (r *Replica) tick() {
	r.locked(func(now time.Duration) {
		r.ticks++
		if r.awaitingGauges = r.engine.RequestGauges(); !r.awaitingGauges {
			r.finishTick(now)
			return
		}
		current := r.ticks
		r.clock.AfterFunc(gaugeWait, func() {
			r.locked(func(now time.Duration) {
				if r.awaitingGauges && r.ticks == current {
					r.finishTick(now)
				}
			})
		})
	})
}

// finishTick runs the module's tick with the gauges that are known.
func (r *Replica) finishTick(now time.Duration) {
	r.awaitingGauges = false
	r.keys.expire(now)
	if r.gaugesAt > 0 {
		r.gauges.Age = now - r.gaugesAt
	}
	r.callModule(func() { r.ctl.Tick(now, r.gauges) })
}

// Drain starts the drain; the process is stopped after stop.
func (r *Replica) Drain(stop time.Duration) {
	r.locked(func(now time.Duration) { r.callModule(func() { r.ctl.Drain(now, now+stop) }) })
}

// Unanswered returns the number of requests that have no answer yet.
func (r *Replica) Unanswered() int { return int(r.figures.open.Load()) }

// Healthy returns the health state that the module last set, for health checks.
func (r *Replica) Healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healthy
}

// CurrentSignal returns the published value, for health checks.
func (r *Replica) CurrentSignal() Signal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.signal
}

// CallerGone handles the notice that the caller of an attempt has stopped waiting: it needs no answer any more, and
// what has not started need not run. The module is informed. An attempt that does not run is answered at once: the answer
// does no harm, and the attempt occupies neither memory nor its connection until somebody else's run ends. Keyed
// attempts are left as they are while there may be another process that is asked for their key or waits for it.
func (r *Replica) CallerGone(txn string) {
	r.locked(func(now time.Duration) {
		req := r.txns[txn]
		if req == nil || req.answered || (!r.peerState.alone() && req.class.Semantics == policy.Keyed) {
			return
		}
		r.count.callersGone.Inc()
		r.callModule(func() { r.ctl.CallerGone(now, req.id) })
		if !req.running && !req.answered {
			r.endWithoutRun(req)
		}
	})
}

// endWithoutRun answers an attempt that does not run and whose caller has gone. A repeat fails: the attempt that it waited
// for may have run. Any other attempt is rejected, like the repeats that waited for it.
func (r *Replica) endWithoutRun(req *request) {
	if req.waitsOn != nil {
		r.answer(req, Answer{Kind: Failed})
		r.remove(req)
		return
	}
	r.answer(req, Answer{Kind: Rejected})
	r.remove(req)
	if k := req.key; k != nil {
		r.releaseWaiting(k, Answer{Kind: Rejected}, policy.Failed)
	}
}

// CountMalformed counts a call that could not be accepted as a request.
func (r *Replica) CountMalformed() { r.count.malformed.Inc() }
