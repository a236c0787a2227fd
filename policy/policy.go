package policy

// This file holds the Controller, its state and the admission of arriving requests; each of the other files
// covers one concern, and api.go declares the interface (settings, events, actions). The method is that of
// kanaloa: a PIE controller rejects arrivals at random, and an adaptive limit ("autothrottle"), which
// explores nearby values, bounds how many requests run at once.

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// Parameters of the controller. Times are relative to the aims, the answer slack and the windows in Config.
const (
	ticksPerSlack    = 4    // ticks per answer slack; a due answer is at most a quarter of the slack late
	readWaitWeight   = 0.1  // weight of the newest arrival in the mean wait to be read
	memoryShare      = 0.96 // share of the memory that is used
	meanWeight       = 0.05 // weight of the newest value in a moving average
	timeoutTolerance = 0.01 // time-outs whose shares of the deadline differ by no more count as equal
	maxTimeoutVotes  = 50   // bound on the votes for a caller's usual time-out, as callers change theirs
	repeatThreshold  = 0.15 // share of retries among arrivals above which other servers also reject
	idleCostShare    = 0.25 // share of IdleTimeout; idling for that long costs as much as a new connection
	maxCallers       = 8192 // callers whose statistics are kept in each of the two periods
)

// state is the stage of a live request.
type state int

const (
	queued state = iota // waits in the queue until it may run
	joined              // waits for the outcome of the request it repeats
	running
	awaitingCall // waits until the controller starts or skips its call
	calling      // its call is open
	stateCount
)

// request is a Request with the controller's bookkeeping.
type request struct {
	Request
	class         *class
	state         state
	arrived       time.Duration
	aimAt         time.Duration
	dueAt         time.Duration
	answered      bool // the final answer was sent; the run may still go on
	ended         bool
	keyStored     bool
	probe         bool          // runs to correct the mean run time of its class
	attempts      int           // attempts at its latest call
	callCount     int           // calls that it asked for
	callWantedAt  time.Duration // when it asked for the latest call
	callWait      time.Duration // total wait until its calls could be made
	callStartedAt time.Duration // when the latest attempt at a call was made
}

// class is a Class with moving averages over its requests.
type class struct {
	Class
	meanRun      float64       // mean duration in seconds of successful runs, without their waits for calls
	meanCalls    float64       // mean number of calls per successful run
	meanExpected float64       // mean expected work in seconds
	lastStart    time.Duration // when one was last started or chosen as a probe
}

// caller holds the most frequent time-out of a caller's attempts, found by majority vote.
type caller struct {
	timeoutShare float64 // that time-out as a share of the deadline
	votes        int
	lastSeen     time.Duration
}

// limitStat is what was measured at one value of the run limit.
type limitStat struct {
	throughput, latency float64
	at                  time.Duration
}

// Controller makes the decisions for one server. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	host    Host
	classes []class
	now     time.Duration
	rng     uint64

	startedAt, lastTick, tickInterval time.Duration

	live       map[RequestID]*request
	count      [stateCount]int // live requests by state
	memoryUsed float64
	waitQueue  queue // queued requests in the order of their starts
	dueQueue   queue // all requests by the time at which they must be answered

	pie                        // drop probability for arrivals
	advisory               pie // probability that determines the signal to callers
	burstAllowed, maxBurst time.Duration
	newStarts              float64 // starts since the last tick
	startSum, startTime    float64 // decayed sums of starts, and of the seconds in which they happened
	lastStart, lastArrival time.Duration
	meanReadWait           time.Duration // mean wait of arrivals until they are read

	runLimit, peakRunning   int
	limitReached            bool
	resizedAt, grownAt      time.Duration
	limitStats              []limitStat // by run limit
	completions, latencySum float64
	meanRun, coreDemand     float64
	meanDensity             float64 // mean worth per work of arrivals
	sameCallerProb          float64 // probability that successive arrivals share a caller; 1 / active callers
	repeatShare             float64 // share of arrivals that are retries
	noRetryShare            float64 // share of rejections that advise against a retry
	quotas                  quotas
	lastCaller              int

	callQueue, callRetries, abandonedCalls queue
	meanCallsInHand                        float64
	callLimit                              callLimit
	openCalls                              []entry // oldest first; overdue ones that have ended are removed

	callers, oldCallers map[int]*caller // seen since callersRotatedAt, and in the period before
	callersRotatedAt    time.Duration
	reuseProb           float64 // probability that a caller returns while its connection is still open
	meanIdle            float64 // mean idle time of connections in seconds
	closingIdle         bool    // idle connections are closed after one tick

	keys            map[RequestID]bool
	keyExpiries     queue
	rejectedInBatch map[RequestID]bool // keyed requests rejected in the current batch of events

	relistAt          time.Duration // when this server returns to the callers' list; 0 while it is listed
	draining          bool
	drainAt, stopAt   time.Duration // stopAt is 0 while no stop is known
	serverShare       float64       // share of the server that this process may use
	signal, meanLevel float64       // the value last sent to callers; the mean Level of all servers
}

// New returns the controller of a server that starts now, or an error that names an invalid setting.
func New(now time.Duration, cfg Config, host Host) (*Controller, error) {
	switch {
	case cfg.Cores <= 0:
		return nil, fmt.Errorf("config: Cores must be positive, got %d", cfg.Cores)
	case cfg.MemoryKB <= 0:
		return nil, fmt.Errorf("config: MemoryKB must be positive, got %g", cfg.MemoryKB)
	case len(cfg.Classes) == 0:
		return nil, fmt.Errorf("config: Classes must not be empty")
	}
	cfg.RunMemoryFactor, cfg.MaxRunsPerCore = max(cfg.RunMemoryFactor, 1), max(cfg.MaxRunsPerCore, 1)
	c := &Controller{cfg: cfg, host: host, now: now, startedAt: now, lastTick: now, resizedAt: now,
		lastStart: now, rng: uint64(cfg.Seed), live: map[RequestID]*request{}, keys: map[RequestID]bool{},
		callers: map[int]*caller{}, reuseProb: 1, serverShare: 1, signal: -1,
		rejectedInBatch: map[RequestID]bool{}, quotas: newQuotas(cfg.Tenants)}
	tightest := time.Duration(math.MaxInt64)
	for i, k := range cfg.Classes {
		if k.Aim <= 0 || k.Deadline <= 0 {
			return nil, fmt.Errorf("config: Classes[%d]: aim %v and deadline %v must be positive",
				i, k.Aim, k.Deadline)
		}
		c.classes = append(c.classes, class{Class: k})
		tightest = min(tightest, k.Aim)
	}
	c.referenceDelay = time.Duration(float64(tightest) * referenceShare)
	c.advisory.referenceDelay = c.referenceDelay
	c.maxBurst = time.Duration(float64(c.referenceDelay) * burstDelays)
	c.tickInterval = cfg.AnswerSlack / ticksPerSlack
	if c.tickInterval <= 0 {
		c.tickInterval = c.referenceDelay / ticksPerSlack
	}
	if !cfg.Cold {
		c.burstAllowed = c.maxBurst
	}
	c.callLimit = newCallLimit(cfg.MeanCallLimit * callShare)
	c.runLimit = min(cfg.Cores, c.maxInFlight())
	c.limitStats = make([]limitStat, int(float64(cfg.Cores)*cfg.MaxRunsPerCore)+1)
	c.sameCallerProb = 1 / float64(max(cfg.Callers, 1))
	host.Health(true)
	host.Wake(c.tickInterval)
	return c, nil
}

// CoresStarted reports how long ago the cores of this server started. A cold server warms up from that time
// on, not from the start of its process, which may have waited for the cores.
func (c *Controller) CoresStarted(now, ago time.Duration) {
	c.beginEvent(now)
	if c.cfg.Cold {
		c.startedAt = now - ago
		c.runLimit = min(c.runLimit, c.maxInFlight())
	}
}

// Arrive handles a request that was read. A repeat is joined to the request that it repeats; others are
// rejected by fixed rules (mustReject), rejected at random (rejectByChance) or queued.
func (c *Controller) Arrive(now time.Duration, q Request) {
	c.beginEvent(now)
	r := &request{Request: q, class: &c.classes[q.Class], arrived: now - q.ReadWait}
	r.dueAt = max(q.Due, now)
	if q.Due <= 0 {
		r.dueAt = max(r.arrived+r.class.Deadline, now)
	}
	r.aimAt = c.firstSent(r) + r.class.Aim
	c.observeArrival(r)
	c.meanReadWait += time.Duration(readWaitWeight * float64(q.ReadWait-c.meanReadWait))
	c.lastArrival = now
	r.probe = c.needsProbe(r)
	c.setState(r, queued)
	heap.Push(&c.dueQueue, entry{r.dueAt, r})
	if c.worthlessAfterAim(r) && r.aimAt < r.dueAt {
		heap.Push(&c.dueQueue, entry{r.aimAt, r})
	}
	switch {
	case q.RepeatOf != 0 && !c.rejectedInBatch[q.RepeatOf]:
		c.join(r)
	case c.mustReject(r) || c.rejectByChance(r):
		c.reject(r)
	default:
		c.storeKey(r)
		heap.Push(&c.waitQueue, entry{c.startBy(r), r})
	}
	c.startQueued()
}

// firstSent estimates when the first attempt of r's request was sent, as the aim counts from then. Callers
// usually give each attempt the same share of the deadline, so that an attempt with less time left was resent
// within that share, and one with more time has all that is left of the deadline. This avoids spending cores
// on retries that are already late. If callers' time-outs vary, some first attempts are taken for retries.
func (c *Controller) firstSent(r *request) time.Duration {
	known := c.callerStats(r)
	share := float64(r.dueAt-r.arrived) / float64(r.class.Deadline)
	switch {
	case math.Abs(share-known.timeoutShare) <= timeoutTolerance:
		known.votes = min(known.votes+1, maxTimeoutVotes)
	case known.votes == 0:
		known.timeoutShare = share
	default:
		known.votes--
		if share > known.timeoutShare {
			return min(r.dueAt-r.class.Deadline, r.arrived)
		}
		return r.dueAt - time.Duration(known.timeoutShare*float64(r.class.Deadline))
	}
	return r.arrived
}

// callerStats returns the statistics of r's caller and removes those of callers not seen for a while. With
// more than maxCallers callers, the while is shorter: those that were seen least recently are removed.
func (c *Controller) callerStats(r *request) *caller {
	age := c.cfg.IdleTimeout + r.class.Deadline
	if c.now-c.callersRotatedAt > age || len(c.callers) >= maxCallers {
		c.callers, c.oldCallers, c.callersRotatedAt = map[int]*caller{}, c.callers, c.now
	}
	known := c.callers[r.Caller]
	if known == nil {
		if known = c.oldCallers[r.Caller]; known == nil {
			known = &caller{lastSeen: c.startedAt - 1}
		}
		c.callers[r.Caller] = known
	}
	c.updateIdleClosing(c.now-known.lastSeen, known.lastSeen >= c.startedAt)
	known.lastSeen = c.now
	return known
}

// updateIdleClosing decides whether idle connections are closed at once, which it does if keeping them costs
// more than opening them again. With far more callers than connection slots, idle connections would fill the
// connection table, use cores and keep other callers from connecting. The cost is extra handshakes for
// callers whose requests come in clusters.
func (c *Controller) updateIdleClosing(gap time.Duration, known bool) {
	updateShare(&c.reuseProb, known && gap < c.cfg.IdleTimeout)
	updateMean(&c.meanIdle, min(gap, c.cfg.IdleTimeout).Seconds())
	closing, after := c.meanIdle > c.reuseProb*idleCostShare*c.cfg.IdleTimeout.Seconds(), c.cfg.IdleTimeout
	if closing {
		after = c.tickInterval
	}
	if closing != c.closingIdle {
		c.closingIdle = closing
		c.host.CloseIdle(after)
	}
}

// mustReject reports whether a rule or a lack of time or memory forbids queuing r, whatever the drop
// probability is.
func (c *Controller) mustReject(r *request) bool {
	switch o := r.Peers; {
	case c.draining && r.arrived > c.drainAt+c.cfg.DrainGrace: // rule 3: drain
		return true
	case c.tooLate(r) || c.predictedLate(r):
		return true
	case o.BeyondRetryLimit || o.RejectOrder > 1 && c.advisory.dropProb > 0 ||
		o.RejectOrder > 0 && c.dropProb > noRetryThreshold:
		return true // before others, so that callers need to hold back less of the rest
	case c.memoryUsed+c.keyCost(r) > c.memoryLimit(): // rule 4: memory; rule 2: no room for its key
		return true
	case c.keyCost(r) > 0 && float64(len(c.keys)+1)*c.cfg.KeyKB > keyShare*c.cfg.MemoryKB:
		return true
	}
	return false
}

// rejectByChance rejects r at random with PIE's drop probability. Requests ranked below the floor signalled
// to callers are rejected first, at the same mean rate, as callers that respect the floor already send less.
func (c *Controller) rejectByChance(r *request) bool {
	if c.burstAllowed > 0 || r.Peers.RejectOrder < 0 {
		return false
	}
	p, floor := c.quotas.reject(r.Tenant, c.dropProb)*c.classFactor(r.class), 0.0
	if c.cfg.Signal == RankFloor && !c.draining {
		floor = min(max(c.signal, 0), p)
	}
	if r.Rank < floor {
		return true
	}
	return c.random()*(1-floor) < p-floor
}

// classFactor is the factor on the drop probability of a class: the mean worth density over that of the class
// if the class is above the mean, and 1 for all others, so that none is starved. PIE compensates by rejecting
// more of the others.
func (c *Controller) classFactor(cl *class) float64 {
	if c.meanDensity <= 0 || cl.meanRun <= 0 {
		return 1
	}
	return min(1, c.meanDensity/c.worthDensity(cl))
}

// worthDensity returns the worth of a class per unit of work.
func (c *Controller) worthDensity(cl *class) float64 {
	if c.cfg.WorthByWork {
		return cl.Worth
	}
	return cl.Worth / cl.meanRun
}

// observeArrival updates the moving averages over arrivals.
func (c *Controller) observeArrival(r *request) {
	updateShare(&c.sameCallerProb, r.Caller == c.lastCaller)
	updateShare(&c.repeatShare, r.Retry)
	c.quotas.observe(r.Tenant)
	c.lastCaller = r.Caller
	if r.class.meanRun > 0 {
		updateMean(&c.meanDensity, c.worthDensity(r.class))
	}
}

// beginEvent sets the clock and bounds the queues. Events with the same time belong to one batch.
func (c *Controller) beginEvent(now time.Duration) {
	if now != c.now {
		clear(c.rejectedInBatch)
	}
	c.now = now
	c.pruneQueues()
}

// random returns a number in [0, 1) by SplitMix64.
func (c *Controller) random() float64 {
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// memoryOf returns the memory in KB that r takes in its present state.
func (c *Controller) memoryOf(r *request) float64 {
	if r.state == queued {
		return r.KB
	}
	return r.KB * c.cfg.RunMemoryFactor
}

// setState moves a request to a state and updates the counts and the memory in use.
func (c *Controller) setState(r *request, s state) {
	if c.live[r.ID] == r {
		c.count[r.state]--
		c.memoryUsed -= c.memoryOf(r)
	}
	c.live[r.ID] = r
	r.state = s
	c.count[s]++
	c.memoryUsed += c.memoryOf(r)
}

func (c *Controller) remove(r *request) {
	c.count[r.state]--
	c.memoryUsed -= c.memoryOf(r)
	r.ended = true
	delete(c.live, r.ID)
}

func (c *Controller) memoryLimit() float64 {
	return memoryShare*c.serverShare*c.cfg.MemoryKB - float64(len(c.keys))*c.cfg.KeyKB
}
