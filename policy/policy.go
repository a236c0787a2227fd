// Cairnlane's decisions, all of them: kanaloa's mechanism, in which a PIE controller refuses arrivals
// at read by chance and an exploring autothrottle pool bounds how many requests run at once.
// The interface (settings, events, actions) is in api.go. This file holds the controller, its state and
// what happens to an arrival; the other files hold one concern each.
package policy

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// Tuned values of the controller; each other file names its own. Times are relative to the aims, the answer
// slack and the windows in Config.
const (
	ticksPerSlack = 4    // ticks in the answer slack: a due answer is never later than a quarter of it
	unreadWeight  = 0.1  // weight of the newest arrival in the mean wait to be read
	memoryShare   = 0.96 // share of the memory that is used
	meanWeight    = 0.05 // weight of the newest run in a class's mean
	sameShare     = 0.01 // shares of the deadline that differ by less are the same patience
	seenMost      = 50   // most that a caller's usual patience counts for: habits change
	repeatsAbove  = 0.15 // share of repeats among arrivals above which the neighbours refuse as well
	idleShare     = 0.25 // share of IdleMax whose idling costs as much as a new connection
)

type state int

const (
	held    state = iota
	joined        // waits for the outcome of the request it repeats
	running       // in the pool
	atCall        // waits for us to make or give up its call
	calling       // its call is out
	states
)

type request struct {
	Request
	class    *class
	state    state
	arrived  time.Duration
	aimAt    time.Duration
	dueAt    time.Duration
	answered bool // the final answer is out; what still runs is only waited for
	ended    bool
	kept     bool
	trial    bool          // runs to correct the mean of its class
	tries    int           // calls made
	calls    int           // calls that it came to
	callAt   time.Duration // when it came to the latest of them
	callWait time.Duration // in all, until it could make them
	calledAt time.Duration // when its latest call was made
}

type class struct {
	Class
	meanRun      float64 // seconds, of successful runs without their waits for calls
	meanCalls    float64 // of successful runs
	meanExpected float64
	tried        time.Duration // when one was last started, or held for a trial
}

// caller holds the share of the deadline most often seen on its tries (a majority count) and its last visit.
type caller struct {
	tryShare float64
	seen     int
	last     time.Duration
}

type entry struct {
	at time.Duration
	r  *request
}

// queue is a heap by time.
type queue []entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(entry)) }

func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type sizeStat struct {
	throughput, latency float64
	at                  time.Duration
}

// Controller decides for one server.
type Controller struct {
	cfg     Config
	host    Host
	classes []class
	now     time.Duration
	rng     uint64

	began, ticked, tick time.Duration

	live   map[RequestID]*request
	count  [states]int
	memory float64
	hold   queue // held requests in the order of starts
	dues   queue // all requests by the time an answer is owed

	pie                             // moves the dice
	ahead                       pie // moves what callers are told before they send
	burstAllowed, maxBurst      time.Duration
	starts, startSum, startTime float64
	lastStart, lastArrival      time.Duration
	unread                      time.Duration // mean wait of arrivals to be read

	pool, peak                 int
	full                       bool
	resized, climbed           time.Duration
	stats                      []sizeStat
	completions, latencySum    float64
	meanRun, onCores           float64
	meanDensity                float64 // worth for work of the mean arrival
	sameCaller                 float64 // chance that two arrivals share a caller: 1 / callers that count
	repeats, lastShare         float64 // of arrivals: tried before; of refusals: asked not to try again
	quotas                     quotas
	lastCaller                 int
	calls, callRetry, lingerer queue
	callMean                   float64
	callLimit                  callLimit
	callsOut                   []entry // calls made, oldest first; ended ones are dropped once overdue

	callers, former map[int]*caller // seen since aged, and in the time before
	aged            time.Duration
	reuse, idling   float64 // chance that a caller comes back to its open connection; seconds that one idles
	closing         bool    // idle connections are closed at once
	keys            map[RequestID]bool
	keyEnds         queue
	refused         map[RequestID]bool // keyed requests turned away in this batch

	back            time.Duration // when this server returns to the list it has left; 0 while on it
	draining        bool
	drainAt, stopAt time.Duration // stopAt is 0 while no stop is known
	share           float64       // of the server, where another process of it runs work as well
	signal, mean    float64       // what callers are to hold back, here and in the mean of all servers
}

// New returns the controller of a server that starts now; its error names a setting no server could have.
func New(now time.Duration, cfg Config, host Host) (*Controller, error) {
	switch {
	case cfg.Cores <= 0:
		return nil, fmt.Errorf("config: Cores is %d", cfg.Cores)
	case cfg.MemoryKB <= 0:
		return nil, fmt.Errorf("config: MemoryKB is %g", cfg.MemoryKB)
	case len(cfg.Classes) == 0:
		return nil, fmt.Errorf("config: Classes is empty")
	}
	cfg.RunFactor, cfg.FallFactor = max(cfg.RunFactor, 1), max(cfg.FallFactor, 1)
	c := &Controller{cfg: cfg, host: host, now: now, began: now, ticked: now, resized: now, lastStart: now,
		rng: uint64(cfg.Seed), live: map[RequestID]*request{}, keys: map[RequestID]bool{},
		callers: map[int]*caller{}, reuse: 1, share: 1, signal: -1, refused: map[RequestID]bool{},
		quotas: newQuotas(cfg.Tenants)}
	tightest := time.Duration(math.MaxInt64)
	for i, k := range cfg.Classes {
		if k.Aim <= 0 || k.Deadline <= 0 {
			return nil, fmt.Errorf("config: Classes[%d] has no Aim or no Deadline", i)
		}
		c.classes = append(c.classes, class{Class: k})
		tightest = min(tightest, k.Aim)
	}
	c.referenceDelay = time.Duration(float64(tightest) * referenceShare)
	c.ahead.referenceDelay = c.referenceDelay
	c.maxBurst = time.Duration(float64(c.referenceDelay) * burstDelays)
	c.tick = cfg.AnswerSlack / ticksPerSlack
	if c.tick <= 0 {
		c.tick = c.referenceDelay / ticksPerSlack
	}
	if !cfg.Cold {
		c.burstAllowed = c.maxBurst
	}
	c.callLimit = newCallLimit(cfg.FairCalls * callShare)
	c.pool = min(cfg.Cores, c.crowd())
	c.stats = make([]sizeStat, int(float64(cfg.Cores)*cfg.FallFactor)+1)
	c.sameCaller = 1 / float64(max(cfg.Callers, 1))
	host.Health(true)
	host.Wake(c.tick)
	return c, nil
}

// Started tells that the cores of this server came up that long ago: a cold server warms from then on,
// however long its process has waited for them.
func (c *Controller) Started(now, ago time.Duration) {
	c.begin(now)
	if c.cfg.Cold {
		c.began = now - ago
		c.pool = min(c.pool, c.crowd())
	}
}

// ---- arrival: guards, then burst allowance, then PIE's dice ----

// Arrive takes a request that was read: it is joined to what it repeats, refused or held.
func (c *Controller) Arrive(now time.Duration, q Request) {
	c.begin(now)
	r := &request{Request: q, class: &c.classes[q.Class], arrived: now - q.Waited}
	r.dueAt = max(q.Due, now)
	if q.Due <= 0 {
		r.dueAt = max(r.arrived+r.class.Deadline, now)
	}
	r.aimAt = c.origin(r) + r.class.Aim
	c.observe(r)
	c.unread += time.Duration(unreadWeight * float64(q.Waited-c.unread))
	c.lastArrival = now
	r.trial = c.stale(r)
	c.enter(r, held)
	heap.Push(&c.dues, entry{r.dueAt, r})
	if c.worthlessLate(r) && r.aimAt < r.dueAt {
		heap.Push(&c.dues, entry{r.aimAt, r})
	}
	switch {
	case q.Earlier != 0 && !c.refused[q.Earlier]:
		c.join(r)
	case c.guarded(r) || c.dice(r):
		c.refuse(r)
	default:
		c.keep(r)
		heap.Push(&c.hold, entry{c.order(r), r})
	}
	c.startHeld()
}

// origin estimates when the request that r is a try of was first sent, as its aim counts from there.
// Callers give each try a fixed share of the deadline, the one most often seen: what comes with less is an
// attempt at the same try, what comes with more has all that is left. It guards against cores spent on
// repeats that are late already. Harm: where patience varies it takes some first tries for old.
func (c *Controller) origin(r *request) time.Duration {
	k := c.caller(r)
	share := float64(r.dueAt-r.arrived) / float64(r.class.Deadline)
	switch {
	case math.Abs(share-k.tryShare) <= sameShare:
		k.seen = min(k.seen+1, seenMost)
	case k.seen == 0:
		k.tryShare = share
	default:
		k.seen--
		if share > k.tryShare {
			return min(r.dueAt-r.class.Deadline, r.arrived)
		}
		return r.dueAt - time.Duration(k.tryShare*float64(r.class.Deadline))
	}
	return r.arrived
}

// caller finds what is known of r's caller; what was not seen for a while is forgotten.
func (c *Controller) caller(r *request) *caller {
	if age := c.cfg.IdleMax + r.class.Deadline; c.now-c.aged > age {
		c.callers, c.former, c.aged = map[int]*caller{}, c.callers, c.now
	}
	k := c.callers[r.Caller]
	if k == nil {
		if k = c.former[r.Caller]; k == nil {
			k = &caller{last: c.began - 1}
		}
		c.callers[r.Caller] = k
	}
	c.connections(c.now-k.last, k.last >= c.began)
	k.last = c.now
	return k
}

// connections closes idle ones at once where holding them costs more than opening them anew, and keeps
// them where callers come back soon. It guards against a full table, which takes cores and shuts callers
// out, where there are far more callers than places. Harm: handshakes, where callers come in clusters.
func (c *Controller) connections(gap time.Duration, known bool) {
	count(&c.reuse, known && gap < c.cfg.IdleMax)
	average(&c.idling, min(gap, c.cfg.IdleMax).Seconds())
	closing, after := c.idling > c.reuse*idleShare*c.cfg.IdleMax.Seconds(), c.cfg.IdleMax
	if closing {
		after = c.tick
	}
	if closing != c.closing {
		c.closing = closing
		c.host.CloseIdle(after)
	}
}

// guarded tells whether a rule or plain arithmetic forbids holding r, whatever the dice say.
func (c *Controller) guarded(r *request) bool {
	switch o := r.Others; {
	case c.draining && r.arrived > c.drainAt+c.cfg.DrainGrace: // rule 3
		return true
	case c.tooLate(r) || c.doomed(r):
		return true
	case o.Beyond || o.Order > 1 && c.ahead.dropProb > 0 || o.Order > 0 && c.dropProb > lastAbove:
		return true // first, so that callers need not hold back the rest
	case c.memory+c.keyCost(r) > c.memoryLimit(): // rule 4, and rule 2: no room to remember it
		return true
	case c.keyCost(r) > 0 && float64(len(c.keys)+1)*c.cfg.KeyKB > keyShare*c.cfg.MemoryKB:
		return true
	}
	return false
}

// dice is PIE's random refusal. Ranks below the floor said to callers go first, at the same mean
// rate: those who heed it have paid already.
func (c *Controller) dice(r *request) bool {
	if c.burstAllowed > 0 || r.Others.Order < 0 {
		return false
	}
	p, floor := c.quotas.reject(r.Tenant, c.dropProb)*c.lean(r.class), 0.0
	if c.cfg.Signal == RankFloor && !c.draining {
		floor = min(max(c.signal, 0), p)
	}
	if r.Rank < floor {
		return true
	}
	return c.random()*(1-floor) < p-floor
}

// lean lowers the chance of classes that earn more for their work than the mean, to the inverse of their
// lead; PIE makes up for it on the rest. Classes under the mean stay alike, so that none is starved.
func (c *Controller) lean(k *class) float64 {
	if c.meanDensity <= 0 || k.meanRun <= 0 {
		return 1
	}
	return min(1, c.meanDensity/c.density(k))
}

// density is the worth of a class for the work it takes.
func (c *Controller) density(k *class) float64 {
	if c.cfg.WorthByWork {
		return k.Worth
	}
	return k.Worth / k.meanRun
}

// observe learns from each arrival what the mean one is like.
func (c *Controller) observe(r *request) {
	count(&c.sameCaller, r.Caller == c.lastCaller)
	count(&c.repeats, r.Retry)
	c.quotas.observe(r.Tenant)
	c.lastCaller = r.Caller
	if r.class.meanRun > 0 {
		average(&c.meanDensity, c.density(r.class))
	}
}

// ---- bookkeeping ----

func (c *Controller) begin(now time.Duration) {
	if now != c.now {
		clear(c.refused)
	}
	c.now = now
}

func (c *Controller) random() float64 { // SplitMix64
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (c *Controller) weight(r *request) float64 {
	if r.state == held {
		return r.KB
	}
	return r.KB * c.cfg.RunFactor
}

// enter moves a live request to a state and keeps count and memory exact.
func (c *Controller) enter(r *request, s state) {
	if c.live[r.ID] == r {
		c.count[r.state]--
		c.memory -= c.weight(r)
	}
	c.live[r.ID] = r
	r.state = s
	c.count[s]++
	c.memory += c.weight(r)
}

func (c *Controller) end(r *request) {
	c.count[r.state]--
	c.memory -= c.weight(r)
	r.ended = true
	delete(c.live, r.ID)
}

func (c *Controller) memoryLimit() float64 {
	return memoryShare*c.share*c.cfg.MemoryKB - float64(len(c.keys))*c.cfg.KeyKB
}
