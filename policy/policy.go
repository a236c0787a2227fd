// Cairnlane's decisions, all of them: kanaloa's mechanism, in which a PIE controller refuses arrivals
// at read by chance and an exploring autothrottle pool bounds how many requests run at once.
// The interface (settings, events, actions) is in api.go.
package policy

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// Every tuned value. Times are relative to the aims, the answer slack and the windows in Config.
const (
	ticksPerSlack  = 4    // ticks in the answer slack: a due answer is never later than a quarter of it
	referenceShare = 0.25 // referenceDelay over the tightest aim (the design's start value)
	alphaStep      = 0.5  // α΄ for each referenceDelay of time at twice the wanted delay
	betaStep       = 0.25 // β΄ for each referenceDelay by which the delay has grown
	burstDelays    = 4.0  // maxBurst in referenceDelays: a short jump passes without dice
	unreadWeight   = 0.1  // weight of the newest arrival in the mean wait to be read
	rateDelays     = 4.0  // window of the dequeue rate in referenceDelays

	poolRatio    = 1.2  // an underused pool shrinks to its last peak use times this
	exploreShare = 0.4  // chance that a full pool explores rather than optimizes
	exploreReach = 0.15 // how far a step goes, as a share of the size, one at the least
	resizeRuns   = 12.0 // mean runs between resizes: few cores complete few, whose mean tells nothing
	statResizes  = 20   // resizes after which a measured size is forgotten: speeds change
	moveGain     = 1.03 // a nearby size must be better by this factor to be moved to
	idleRoots    = 0.57 // roots of the core count that idle cores leave free (square-root staffing)
	gaugeTicks   = 8.0  // ticks over which the demand for cores is averaged
	crowdShare   = 0.8  // share of the survivable crowd that may be in hand
	memoryShare  = 0.96 // share of the memory that is used
	keyShare     = 0.4  // share of the memory that kept keys may take

	callShare     = 0.5  // share of the calls that this server may have in hand: it slows down earlier
	callTries     = 3    // tries of one call
	meanWeight    = 0.05 // weight of the newest run in a class's mean
	marginRuns    = 1.4  // mean runs that must fit before the aim: crowded ones take longer than the mean
	aheadShare    = 0.6  // share of those held with a tighter aim taken to start first: some are refused
	workShare     = 0.5  // share of a run that grows with its expected work; the rest is waits
	trialAbove    = 0.5  // share of the aim above which the mean run of a class may be stale: one is tried
	sameShare     = 0.01 // shares of the deadline that differ by less are the same patience
	seenMost      = 50   // most that a caller's usual patience counts for: habits change
	levelShare    = 0.9  // share of p that callers are asked to hold back; the dice take the rest
	signalStep    = 0.01 // smallest change of the signal that is worth saying
	levelApart    = 0.15 // by how much more than the mean of all servers one in trouble asks for
	commonFrom    = 0.1  // mean above which they come to ask for the same, fully a commonOver further
	commonOver    = 0.2
	lastAbove     = 0.1  // p above which a refused caller is asked not to try elsewhere
	repeatsAbove  = 0.15 // share of repeats among arrivals above which the neighbours refuse as well
	heedShare     = 0.8  // share of callers taken to do as asked
	idleShare     = 0.25 // share of IdleMax whose idling costs as much as a new connection
	retireAbove   = 2    // wait unread, in referenceDelays, above which a server alone in trouble leaves
	retireRepeats = 0.08 // share refused elsewhere under which it is taken to be alone
	retireDelays  = 10   // referenceDelays for which it leaves
	leadShare     = 0.1  // share of Heeded before the end of the grace at which a drain sends callers away
	stopSlacks    = 2    // answer slacks before the stop by which a drain has answered all
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
	trial    bool // runs to correct the mean of its class
	tries    int  // calls made
}

type class struct {
	Class
	meanRun      float64 // seconds, of successful runs
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
	lastCaller                 int
	calls, callRetry, lingerer queue
	callMean                   float64

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
		callers: map[int]*caller{}, reuse: 1, share: 1, signal: -1, refused: map[RequestID]bool{}}
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
	p, floor := c.dropProb*c.lean(r.class), 0.0
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
	c.lastCaller = r.Caller
	if r.class.meanRun > 0 {
		average(&c.meanDensity, c.density(r.class))
	}
}

// ---- PIE ----

// pie is the paper's regulator: a probability moved by a delay.
type pie struct {
	referenceDelay, currentDelay, oldDelay time.Duration
	dropProb                               float64
}

func (e *pie) update(currentDelay, dt time.Duration) {
	e.oldDelay, e.currentDelay = e.currentDelay, currentDelay
	ref := float64(e.referenceDelay)
	alpha, beta := alphaStep*float64(dt)/ref, betaStep
	switch p := e.dropProb; {
	case p < 0.01:
		alpha, beta = alpha/8, beta/8
	case p < 0.1:
		alpha, beta = alpha/2, beta/2
	}
	e.dropProb += alpha * float64(e.currentDelay-e.referenceDelay) / ref
	e.dropProb += beta * float64(e.currentDelay-e.oldDelay) / ref
	e.dropProb = min(max(e.dropProb, 0), 1)
}

// regulate moves the chance of the dice by the delay in the hold, and what callers are told by that delay
// and the wait unread together: the dice cannot shorten the latter, callers can. It guards against slow
// reads while the hold stays empty (a slowed server, a storm of repeats).
func (c *Controller) regulate(dt time.Duration) {
	c.measureRate(dt)
	if c.now-c.lastArrival > c.referenceDelay {
		c.unread = 0
	}
	c.update(c.estimateDelay(), dt)
	c.ahead.update(c.currentDelay+c.unread, dt)
	if c.dropProb == 0 && c.currentDelay < c.referenceDelay/2 && c.oldDelay < c.referenceDelay/2 {
		c.burstAllowed = c.maxBurst
	} else {
		c.burstAllowed -= min(dt, c.burstAllowed)
	}
}

// measureRate averages the starts per second over the time in which work stood in the hold: at
// other times starts tell what comes in, not what the server can do.
func (c *Controller) measureRate(dt time.Duration) {
	if c.count[held] > 0 || c.full {
		fade := math.Exp(-float64(dt) / (rateDelays * float64(c.referenceDelay)))
		c.startSum = max(c.startSum*fade+c.starts, 0)
		c.startTime = c.startTime*fade + dt.Seconds()
	}
	c.starts = 0
}

func (c *Controller) estimateDelay() time.Duration {
	waiting := c.count[held]
	if waiting == 0 {
		return 0
	}
	window := time.Duration(rateDelays * float64(c.referenceDelay))
	if c.startSum < 0.5 || c.now-c.lastStart > window {
		return c.now - c.hold[0].r.arrived // startHeld leaves a held one there
	}
	return time.Duration(float64(waiting) * c.startTime / c.startSum * float64(time.Second))
}

// ---- pool ----

// crowd is how many requests may be in hand, at calls included: they come back unannounced.
func (c *Controller) crowd() int {
	warmth := 1.0
	if c.cfg.Cold && c.now-c.began < c.cfg.ColdFor {
		warmth = c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*float64(c.now-c.began)/float64(c.cfg.ColdFor)
	}
	limit := float64(c.cfg.Cores) * (1 + (c.cfg.FallFactor-1)*warmth)
	return max(1, int(limit*crowdShare*c.share))
}

// Share gives this instance a part of its server, while another process of it runs work (rule 4).
func (c *Controller) Share(now time.Duration, share float64) {
	c.begin(now)
	c.share = share
	c.pool = min(c.pool, c.crowd())
}

// resize takes one of the paper's three steps, or climbs while cores idle though work is held.
func (c *Controller) resize() {
	c.climb()
	since := c.now - c.resized
	if since < c.interval() {
		return
	}
	if c.full {
		if c.completions > 0 && c.pool < len(c.stats) {
			c.stats[c.pool] = sizeStat{c.completions / since.Seconds(), c.latencySum / c.completions, c.now}
		}
		if c.random() < exploreShare {
			c.explore()
		} else {
			c.optimize()
		}
	} else {
		c.pool = min(c.pool, int(math.Ceil(float64(c.peak)*poolRatio)))
	}
	c.pool = min(max(c.pool, c.cfg.Cores), c.crowd())
	c.resized, c.peak, c.full = c.now, c.count[running], false
	c.completions, c.latencySum = 0, 0
}

func (c *Controller) interval() time.Duration {
	return max(c.referenceDelay, time.Duration(resizeRuns*c.meanRun*float64(time.Second)))
}

func (c *Controller) climb() {
	c.pool = min(c.pool, c.crowd())
	cores := float64(c.cfg.Cores)
	idle := c.onCores < cores-idleRoots*math.Sqrt(cores)
	if idle && c.full && c.count[held] > 0 && c.now-c.climbed >= c.referenceDelay/2 {
		c.pool = min(c.pool+max(1, c.cfg.Cores/4), c.crowd())
		c.climbed = c.now
	}
}

func (c *Controller) reach() int { return max(1, int(exploreReach*float64(c.pool))) }

func (c *Controller) explore() {
	c.pool += int(c.random()*float64(2*c.reach()+1)) - c.reach()
}

// optimize moves to the best size within reach, by throughput over latency.
func (c *Controller) optimize() {
	best, bestMerit := c.pool, 0.0
	for s := max(1, c.pool-c.reach()); s <= min(c.pool+c.reach(), len(c.stats)-1); s++ {
		st := c.stats[s]
		if st.latency <= 0 || c.now-st.at > statResizes*c.interval() {
			continue
		}
		merit := st.throughput / st.latency
		if s != c.pool {
			merit /= moveGain
		}
		if merit > bestMerit {
			best, bestMerit = s, merit
		}
	}
	c.pool = best
}

// ---- hold order and starts ----

// order is the place in the hold: the tightest aim first.
func (c *Controller) order(r *request) time.Duration { return min(r.aimAt, r.dueAt) }

// need is the time that a run of r takes, as seen so far.
func (c *Controller) need(r *request) time.Duration {
	mean := r.class.meanRun
	if r.trial {
		return 0
	}
	if r.Expected > 0 && r.class.meanExpected > 0 {
		share := 1.0 // under pressure a doubtful large request is not worth the cores
		if c.ahead.dropProb < lastAbove {
			share = workShare
		}
		mean *= 1 + share*(r.Expected.Seconds()/r.class.meanExpected-1)
	}
	return time.Duration(marginRuns * mean * float64(time.Second))
}

// stale tells whether r is to be tried though runs of its class seem to take too long, as none was of late.
// It guards against a mean learned in a jam that shuts its class out for good, as no run corrects it. Harm:
// one run for each referenceDelay that may be late.
func (c *Controller) stale(r *request) bool {
	k := r.class
	if float64(c.need(r)) < trialAbove*float64(k.Aim) || c.now-k.tried <= c.referenceDelay {
		return false
	}
	k.tried = c.now
	return true
}

func (c *Controller) tooLate(r *request) bool {
	return c.now+c.need(r) > c.limit(min(r.aimAt, r.dueAt))
}

// startHeld fills the pool from the hold; what can no longer make its aim is refused.
func (c *Controller) startHeld() {
	for len(c.hold) > 0 {
		switch r := c.hold[0].r; {
		case r.ended || r.state != held:
		case c.tooLate(r):
			c.refuse(r)
		case !c.room(r):
			c.full = true
			return
		default:
			c.run(r)
		}
		heap.Pop(&c.hold)
	}
}

// sweepHold gives up at once on what can no longer make its aim, also behind a head that still can: runs of
// its class take longer. Its caller hears so a tick later instead of when it gets to the head.
func (c *Controller) sweepHold() {
	for _, e := range c.hold {
		if r := e.r; !r.ended && r.state == held && c.tooLate(r) {
			c.refuse(r)
		}
	}
}

// doomed tells whether those held with a tighter aim, at the present rate of starts, keep r past its own.
// It guards against reads that are held only to be given up on. Harm: some that others would have let pass.
func (c *Controller) doomed(r *request) bool {
	if c.count[held] == 0 || c.startSum < 0.5 {
		return false
	}
	ahead, at := 0, c.order(r)
	for _, e := range c.hold {
		if e.at <= at && !e.r.ended && e.r.state == held {
			ahead++
		}
	}
	wait := aheadShare * float64(ahead) * c.startTime / c.startSum
	return c.now+time.Duration(wait*float64(time.Second))+c.need(r) > c.limit(at)
}

func (c *Controller) room(r *request) bool {
	inHand := c.count[running] + c.count[atCall] + c.count[calling]
	return c.count[running] < c.pool && inHand < c.crowd() &&
		c.memory+r.KB*(c.cfg.RunFactor-1) <= c.memoryLimit()
}

func (c *Controller) run(r *request) {
	c.enter(r, running)
	c.peak = max(c.peak, c.count[running])
	c.starts++
	c.lastStart, r.class.tried = c.now, c.now
	c.host.Run(r.ID)
}

// Done takes the end of a run or of a join.
func (c *Controller) Done(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	c.begin(now)
	r := c.live[id]
	if r == nil {
		return
	}
	if r.state == calling {
		heap.Push(&c.lingerer, entry{c.now + c.cfg.CallLinger, nil}) // still in the dependency's hands
	}
	switch t := took.Seconds(); {
	case r.state == joined:
	case o == Succeeded:
		c.learn(r, t)
	case o == TurnedAway: // it never ran: no dequeue, and its key is free
		c.starts--
		c.forget(r)
	case o == Failed:
		c.starts-- // a quick failure is no dequeue
	case o == Cancelled && t > r.class.meanRun: // it would have taken longer still
		average(&r.class.meanRun, t)
	}
	c.end(r)
	c.startHeld()
	c.startCalls()
}

func (c *Controller) learn(r *request, took float64) {
	average(&r.class.meanRun, took)
	average(&c.meanRun, took)
	if r.Expected > 0 {
		average(&r.class.meanExpected, r.Expected.Seconds())
	}
	c.completions++
	c.latencySum += took
}

// count moves the share of the cases in which yes held of late.
func count(share *float64, yes bool) {
	*share *= 1 - meanWeight
	if yes {
		*share += meanWeight
	}
}

func average(mean *float64, x float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += meanWeight * (x - *mean)
}

// ---- calls ----

// NeedsCall takes a running request that waits for us to make its call.
func (c *Controller) NeedsCall(now time.Duration, id RequestID) {
	c.begin(now)
	if r := c.live[id]; r != nil {
		c.enter(r, atCall)
		r.tries = 0
		if r.answered {
			return
		}
		heap.Push(&c.calls, entry{c.order(r), r})
		c.startCalls()
		c.startHeld()
	}
}

func (c *Controller) startCalls() {
	for len(c.calls) > 0 {
		r := c.calls[0].r
		if r.ended || r.answered || r.state != atCall {
			heap.Pop(&c.calls)
			continue
		}
		if !c.mayCall() {
			return
		}
		heap.Pop(&c.calls)
		r.tries++
		c.enter(r, calling)
		c.host.Call(r.ID, max(c.limit(r.dueAt)-c.now, c.tick))
	}
}

// mayCall keeps calls in hand, abandoned ones too, in this server's share (rule 4), in the mean if under 1.
func (c *Controller) mayCall() bool {
	if c.cfg.Dependency != SharedDependency {
		return true
	}
	n, share := float64(c.count[calling]+len(c.lingerer)), c.cfg.FairCalls*callShare
	return n+1 <= share || n == 0 && c.callMean < share
}

// Called takes the outcome of a call.
func (c *Controller) Called(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	c.begin(now)
	r := c.live[id]
	if r == nil {
		return
	}
	if o == TimedOut {
		heap.Push(&c.lingerer, entry{c.now + c.cfg.CallLinger, nil}) // still in the dependency's hands
	}
	if o == Succeeded {
		c.enter(r, running)
	} else {
		c.enter(r, atCall)
		c.afterFailedCall(r, o)
	}
	c.startCalls()
}

// afterFailedCall calls again only where that repeats no effect (rule 2), else skips or fails.
func (c *Controller) afterFailedCall(r *request, o Outcome) {
	neverRan := o == TurnedAway || o == Unreachable
	wait := c.tick << r.tries
	switch {
	case r.answered:
	case (neverRan || r.class.Semantics == Safe) && r.tries < callTries && c.now+wait < c.limit(r.dueAt):
		heap.Push(&c.callRetry, entry{c.now + wait, r})
	case r.class.SkipWorth > 0:
		c.enter(r, running)
		c.host.Skip(r.ID)
	default:
		c.fail(r)
	}
}

func (c *Controller) tickCalls(dt time.Duration) {
	for len(c.lingerer) > 0 && c.lingerer[0].at <= c.now {
		heap.Pop(&c.lingerer)
	}
	for len(c.callRetry) > 0 && c.callRetry[0].at <= c.now {
		r := heap.Pop(&c.callRetry).(entry).r
		heap.Push(&c.calls, entry{c.order(r), r})
	}
	gap := float64(c.count[calling]+len(c.lingerer)) - c.callMean
	c.callMean += gap * min(1, float64(dt)/float64(max(c.cfg.CallsOver, c.tick)))
	c.startCalls()
}

// ---- answers by due time ----

// answerDue gives every request its answer a tick before it is owed (rule 1), all of them before a
// stop (rule 3).
func (c *Controller) answerDue() {
	for len(c.dues) > 0 && c.limit(c.dues[0].at) <= c.now+c.tick {
		r := heap.Pop(&c.dues).(entry).r
		switch {
		case r.ended || r.answered:
		case c.now+c.tick < c.limit(r.dueAt) && c.dropProb == 0 && c.count[held] == 0: // past its aim only
		case r.state == held:
			c.refuse(r)
		case r.state == joined:
			c.fail(r)
			c.end(r)
		case c.worthlessLate(r):
			r.answered = true
			c.host.Refuse(r.ID, Advice{Last: true})
			c.halt(r)
		default:
			c.fail(r)
			c.halt(r)
		}
	}
}

// worthlessLate tells whether r can be stopped and earns nothing past its aim. While others wait, such
// a run is ended at its aim, whatever made it late. Harm: a caller that repeats at once what was ended.
func (c *Controller) worthlessLate(r *request) bool {
	return r.class.LateWorth == 0 && r.class.Semantics == Safe && c.cfg.Halt != NoHalt
}

// Gone takes the word that the caller has left: nothing is owed any more.
func (c *Controller) Gone(now time.Duration, id RequestID) {
	c.begin(now)
	r := c.live[id]
	if r == nil {
		return
	}
	r.answered = true
	if r.state == held || r.state == joined {
		c.drop(r)
	} else {
		c.halt(r)
	}
	c.startHeld()
}

// halt stops work for which nobody waits, where it can be stopped and leaves no effect.
func (c *Controller) halt(r *request) {
	if r.state == running && r.class.Semantics == Safe && c.cfg.Halt != NoHalt {
		c.host.Halt(r.ID)
	}
}

func (c *Controller) fail(r *request) {
	r.answered = true
	c.host.Fail(r.ID)
}

// refuse turns away a held request, which never ran, with advice on what its caller should do. It asks not
// to try elsewhere where repeats, if marked, tell that the neighbours refuse too: what one slow or cold
// server of many refuses is not lost. Harm: reads elsewhere, until the repeats are seen.
func (c *Controller) refuse(r *request) {
	o, crowded := r.Others, c.ahead.dropProb > lastAbove && c.refusedElsewhere() > repeatsAbove
	if o.Known {
		crowded = o.Full
	}
	advice := Advice{Last: !c.draining && (crowded || c.now > r.aimAt), Version: r.Others.Version}
	count(&c.lastShare, advice.Last)
	mute := c.cfg.Signal == NoSignal || c.cfg.Signal == CallerTokens
	if mute && !c.closing { // the signal cannot say zero, and callers do come back
		advice.HoldOff = time.Duration(c.ahead.dropProb * float64(c.cfg.MaxHoldOff))
	} else if !mute && !c.draining && c.now > r.arrived+r.Waited { // given up on: back after a start
		free := time.Duration(c.startTime / max(c.startSum, 1) * float64(time.Second))
		advice.HoldOff = min(free, c.cfg.MaxHoldOff)
	}
	elsewhere := !mute && !c.draining && !o.Full && c.ahead.dropProb > lastAbove // others have room
	if o.Known && (elsewhere || advice.HoldOff > 0) {
		advice.HoldOff = min(o.Return, c.cfg.MaxHoldOff)
	}
	c.host.Refuse(r.ID, advice)
	c.drop(r)
}

// refusedElsewhere estimates the share refused by the neighbours from repeats, fewer where callers heed Last.
func (c *Controller) refusedElsewhere() float64 {
	if !c.cfg.MarksRetry {
		return 1
	}
	return c.repeats / (1 - heedShare*c.lastShare)
}

// drop ends a request that never ran and forgets its key, so that a repeat counts as new.
func (c *Controller) drop(r *request) {
	c.forget(r)
	if r.class.Semantics == Keyed && r.state == held {
		c.refused[r.ID] = true
	}
	c.end(r)
}

// ---- keys ----

func (c *Controller) forget(r *request) {
	if r.kept {
		c.host.Forget(r.ID)
		delete(c.keys, r.ID)
	}
}

func (c *Controller) keyCost(r *request) float64 {
	if r.class.Semantics == Keyed || c.cfg.ShareFor > 0 && r.Key != "" && r.class.Semantics == Safe {
		return c.cfg.KeyKB
	}
	return 0
}

// keep remembers a request as soon as it is held: a repeat may reach the machine at any time, and
// two unlinked tries could both run. The window counts from its arrival at the machine.
func (c *Controller) keep(r *request) {
	if c.keyCost(r) == 0 {
		return
	}
	ttl := r.arrived + r.class.Window + c.tick - c.now
	if r.class.Semantics == Safe {
		ttl = c.limit(r.dueAt) + c.cfg.ShareFor - c.now
	}
	r.kept = true
	c.keys[r.ID] = true
	heap.Push(&c.keyEnds, entry{c.now + ttl, r})
	c.host.Keep(r.ID, ttl)
}

// join answers a repeat with the outcome of the try it repeats; it never runs and is never refused.
func (c *Controller) join(r *request) {
	c.enter(r, joined)
	if c.memory > c.memoryLimit() {
		c.fail(r)
		c.end(r)
		return
	}
	c.host.Reuse(r.ID)
}

func (c *Controller) expireKeys() {
	for len(c.keyEnds) > 0 && c.keyEnds[0].at+c.tick < c.now {
		delete(c.keys, heap.Pop(&c.keyEnds).(entry).r.ID)
	}
}

// ---- drain ----

// Drain takes the notice to leave: callers are steered away before its grace ends.
func (c *Controller) Drain(now, stopAt time.Duration) {
	c.begin(now)
	c.draining, c.drainAt, c.stopAt = true, now, stopAt
	c.host.Health(false)
	c.say()
}

// StopAt says when this process ends though its server goes on: all is answered before then.
func (c *Controller) StopAt(now, stopAt time.Duration) {
	c.begin(now)
	c.stopAt = stopAt
}

// limit is the given time, or the last moment before a stop.
func (c *Controller) limit(at time.Duration) time.Duration {
	if c.stopAt > 0 {
		return min(at, c.stopAt-stopSlacks*max(c.cfg.AnswerSlack, c.tick))
	}
	return at
}

// ---- health and signals ----

// Tick takes the timer with the server's gauges; all that goes by time happens here.
func (c *Controller) Tick(now time.Duration, g Gauges) {
	c.begin(now)
	dt := now - c.ticked
	c.ticked = now
	if g.Age > c.referenceDelay { // nobody knows: taken for busy, so that the pool does not climb
		g.OnCores = float64(c.cfg.Cores)
	}
	c.onCores += (min(g.OnCores, float64(c.cfg.Cores)) - c.onCores) / gaugeTicks
	c.answerDue()
	c.expireKeys()
	c.regulate(dt)
	c.resize()
	c.tickCalls(dt)
	c.sweepHold()
	c.startHeld()
	c.say()
	c.retire()
	c.host.Wake(c.tick)
}

// retire leaves the list that all callers share for a while, where arrivals wait long to be read and the
// neighbours are well: at size the one word that reaches all. Harm: a herd that leaves together.
func (c *Controller) retire() {
	alone := c.cfg.MarksRetry && c.refusedElsewhere() < retireRepeats
	switch {
	case !c.cfg.Readiness || c.draining || c.now < c.back:
	case c.back > 0:
		c.back = 0
		c.host.Health(true)
	case alone && float64(c.unread) > retireAbove*float64(c.referenceDelay):
		c.back = c.now + time.Duration(retireDelays*float64(c.referenceDelay))
		c.host.Health(false)
	}
}

// say tells callers how much to send, in the terms that the site knows, from the same law. A server that
// leaves sends them away only as the grace runs out: until then its cores still serve.
func (c *Controller) say() {
	value := 0.0
	lead := time.Duration(leadShare * float64(c.cfg.Heeded))
	leaving := c.draining && c.now >= c.drainAt+c.cfg.DrainGrace-lead
	switch c.cfg.Signal {
	case NoSignal:
		return
	case RankFloor:
		value = c.common(c.Level())
		if leaving {
			value = 1
		}
	case CallerTokens:
		whole := float64(c.pool) + c.referenceDelay.Seconds()*c.startSum/max(c.startTime, 1e-3)
		value = max(1, whole/(1+c.ahead.dropProb*(1/max(c.sameCaller, meanWeight)-1)))
	case ArrivalChance:
		value = 1 - c.ahead.dropProb
	}
	if leaving && c.cfg.Signal != RankFloor {
		value = 0
	}
	if math.Abs(value-c.signal) > signalStep*max(1, value) || value == 0 && c.signal != 0 {
		c.signal = value
		c.host.Signal(value)
	}
}

// Level is the part of all requests, by rank, that this server would by itself have callers hold back.
func (c *Controller) Level() float64 { return c.ahead.dropProb * levelShare }

// Others tells what all servers would have callers hold back, in the mean; 0 where nothing is known.
func (c *Controller) Others(mean float64) { c.mean = mean }

// common draws what callers are told to the mean of the servers. It guards against a herd: callers leave one
// that asks for more, so each is by turns empty and flooded. One that is far worse off still says so.
func (c *Controller) common(own float64) float64 {
	return own + min(max((c.mean-commonFrom)/commonOver, 0), 1)*(max(c.mean, own-levelApart)-own)
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
