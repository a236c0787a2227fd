package policy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the four rules with its own bookkeeping, independent of the controller's.
type ruleChecker struct {
	Host
	cfg         Config
	now         time.Duration
	violations  []string
	requests    map[RequestID]*trackedRequest
	keys        map[RequestID]time.Duration
	callsInHand int
	stopAt      time.Duration // 0 while not draining
	drainAt     time.Duration
}

type trackedRequest struct {
	Request
	arrived, dueAt        time.Duration
	ran, running          bool // has run at some time; runs now
	awaitingCall, calling bool // waits for a call; the call is open
	joined                bool
	answers               int
	gone, ended           bool
	mayHaveEffect         bool // one of its calls may have had its effect
}

func (k *ruleChecker) violation(format string, a ...any) {
	k.violations = append(k.violations, fmt.Sprintf("%v: ", k.now)+fmt.Sprintf(format, a...))
}

func (k *ruleChecker) isSafe(r *trackedRequest) bool { return k.cfg.Classes[r.Class].Semantics == Safe }

func (k *ruleChecker) Run(id RequestID) {
	r := k.requests[id]
	if r.ended || r.joined || r.ran && !k.isSafe(r) {
		k.violation("duplicate: %d runs again", id)
	}
	if first := k.requests[r.RepeatOf]; first != nil && first.ran && !k.isSafe(r) {
		k.violation("duplicate: %d runs after the earlier attempt %d", id, first.ID)
	}
	if k.stopAt > 0 && r.arrived > k.drainAt+k.cfg.DrainGrace {
		k.violation("drain: %d runs although it arrived after the grace", id)
	}
	r.ran, r.running = true, true
}

func (k *ruleChecker) checkAnswer(id RequestID, rejected bool) {
	r := k.requests[id]
	r.answers++
	if r.answers > 1 {
		k.violation("lost: %d answered twice", id)
	}
	if rejected && !k.isSafe(r) && (r.ran || r.joined) {
		k.violation("duplicate: %d rejected although it may have run", id)
	}
	if !r.running && !r.awaitingCall {
		r.ended = true
	}
}

func (k *ruleChecker) Reject(id RequestID, _ Advice)            { k.checkAnswer(id, true) }
func (k *ruleChecker) Fail(id RequestID)                        { k.checkAnswer(id, false) }
func (k *ruleChecker) Reuse(id RequestID)                       { k.requests[id].joined = true }
func (k *ruleChecker) StoreKey(id RequestID, ttl time.Duration) { k.keys[id] = k.now + ttl }
func (k *ruleChecker) DeleteKey(id RequestID)                   { delete(k.keys, id) }
func (k *ruleChecker) Skip(id RequestID) {
	k.requests[id].awaitingCall, k.requests[id].running = false, true
}
func (k *ruleChecker) Signal(float64)          {}
func (k *ruleChecker) CloseIdle(time.Duration) {}
func (k *ruleChecker) Health(bool)             {}
func (k *ruleChecker) Wake(time.Duration)      {}
func (k *ruleChecker) Call(id RequestID, _ time.Duration) {
	r := k.requests[id]
	if r.mayHaveEffect && !k.isSafe(r) {
		k.violation("duplicate: the call of %d is repeated", id)
	}
	r.calling = true
	k.callsInHand++
}

func (k *ruleChecker) Halt(id RequestID) {
	if k.cfg.Halt == NoHalt {
		k.violation("preemption: %d halted with NoHalt", id)
	}
}

// checkState checks the rules that must hold after each batch of events.
func (k *ruleChecker) checkState() {
	memory, runs := 0.0, 0
	for _, r := range k.requests {
		switch {
		case r.ended:
			continue
		case r.running || r.awaitingCall:
			memory += r.KB * k.cfg.RunMemoryFactor
		default:
			memory += r.KB
		}
		if r.running {
			runs++
		}
		if r.answers == 0 && !r.gone && k.now > r.dueAt+k.cfg.AnswerSlack {
			k.violation("lost: %d unanswered after its due time", r.ID)
		}
		if r.answers == 0 && !r.gone && k.stopAt > 0 && k.now >= k.stopAt {
			k.violation("drain: %d unanswered at the stop", r.ID)
		}
	}
	for id, until := range k.keys {
		if until < k.now {
			delete(k.keys, id)
		}
	}
	if memory += float64(len(k.keys)) * k.cfg.KeyKB; memory > k.cfg.MemoryKB {
		k.violation("limit: %g KB in use of %g", memory, k.cfg.MemoryKB)
	}
	warmth := 1.0
	if k.cfg.Cold {
		warmth = min(1, k.cfg.ColdFrom+(1-k.cfg.ColdFrom)*float64(k.now)/float64(k.cfg.ColdFor))
	}
	if float64(runs) > float64(k.cfg.Cores)*(1+(k.cfg.MaxRunsPerCore-1)*warmth) {
		k.violation("limit: %d running requests", runs)
	}
	if k.cfg.Dependency == SharedDependency && float64(k.callsInHand) > max(1, k.cfg.MeanCallLimit) {
		k.violation("limit: %d open calls", k.callsInHand)
	}
}

func randomConfig(r *rand.Rand) Config {
	cfg := testConfig()
	cfg.Seed, cfg.Cold, cfg.Cores = r.Int63(), r.Intn(2) == 0, 1+r.Intn(8)
	cfg.MemoryKB = 2000 + 20000*r.Float64()
	cfg.Halt, cfg.Signal = Preemption(r.Intn(3)), SignalKind(r.Intn(4))
	cfg.Dependency, cfg.MeanCallLimit = DependencyKind(r.Intn(3)), 0.3+8*r.Float64()
	cfg.Classes = append(cfg.Classes, Class{Name: "unsafe", Aim: time.Second, Deadline: 3 * time.Second,
		Worth: 2, LateWorth: 0.2, Semantics: Unsafe})
	cfg.Classes[0].SkipWorth = float64(r.Intn(2)) / 2
	cfg.RetriesMarked, cfg.ListedByHealth, cfg.WorthByWork = r.Intn(2) == 0, r.Intn(2) == 0, r.Intn(2) == 0
	cfg.IdleTimeout = time.Duration(r.Intn(3)) * 5 * time.Second
	cfg.MaxHoldOff, cfg.SignalLifetime, cfg.Callers = time.Duration(r.Intn(2))*time.Second, time.Second, 1+r.Intn(9)
	return cfg
}

// playRandomEvents sends a random but valid stream of events to a controller and returns the violations of the rules.
func playRandomEvents(t *testing.T, seed int64) []string {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	k := &ruleChecker{cfg: randomConfig(rnd), requests: map[RequestID]*trackedRequest{}, keys: map[RequestID]time.Duration{}}
	c, err := New(0, k.cfg, k)
	if err != nil {
		t.Fatal(err)
	}
	var ids []RequestID
	drainFrom := time.Duration(4+rnd.Intn(8)) * time.Second
	for k.now = 25 * ms; k.now < 15*time.Second && (k.stopAt == 0 || k.now <= k.stopAt); k.now += 25 * ms {
		if k.now >= drainFrom && k.stopAt == 0 {
			k.drainAt, k.stopAt = k.now, k.now+3*time.Second
			c.Drain(k.now, k.stopAt)
		}
		for n := rnd.Intn(4); n > 0; n-- {
			arriveRandom(c, k, rnd, &ids)
		}
		for _, id := range ids {
			if r := k.requests[id]; !r.ended {
				stepRandom(c, k, rnd, r)
			}
		}
		c.Tick(k.now, Gauges{CoreDemand: float64(rnd.Intn(2 * k.cfg.Cores))})
		k.checkState()
	}
	return k.violations
}

// arriveRandom sends a random request, which may repeat an earlier one.
func arriveRandom(c *Controller, k *ruleChecker, rnd *rand.Rand, ids *[]RequestID) {
	r := &trackedRequest{Request: Request{ID: RequestID(len(*ids) + 1), Class: rnd.Intn(3), Caller: rnd.Intn(40),
		Retry: rnd.Intn(4) == 0, Expected: time.Duration(rnd.Intn(3)*200) * ms,
		KB: 5 + 60*rnd.Float64(), Rank: rnd.Float64(), ReadWait: time.Duration(rnd.Intn(300)) * ms}}
	r.arrived = k.now - r.ReadWait
	class := k.cfg.Classes[r.Class]
	r.dueAt = r.arrived + class.Deadline
	if rnd.Intn(2) == 0 {
		r.dueAt = k.now + time.Duration(rnd.Intn(3000))*ms
		r.Due = r.dueAt
	}
	if class.Semantics == Keyed && rnd.Intn(3) == 0 {
		for _, id := range *ids {
			if p := k.requests[id]; p.Class == r.Class && k.keys[id] > r.arrived {
				r.RepeatOf = id
			}
		}
	}
	*ids = append(*ids, r.ID)
	k.requests[r.ID] = r
	c.Arrive(k.now, r.Request)
}

// stepRandom ends r or its call, makes it ask for a call, or reports its caller as gone, or does nothing.
func stepRandom(c *Controller, k *ruleChecker, rnd *rand.Rand, r *trackedRequest) {
	outcomes := []Outcome{Succeeded, Succeeded, Failed}
	switch x := rnd.Intn(40); {
	case r.calling && x < 8:
		r.calling = false
		k.callsInHand--
		o := []Outcome{Succeeded, Failed, Rejected, TimedOut, Unreachable, Interrupted}[rnd.Intn(6)]
		if o == Succeeded {
			r.awaitingCall, r.running = false, true
		} else if o != Rejected && o != Unreachable {
			r.mayHaveEffect = true
		}
		c.CallDone(k.now, r.ID, o, 50*ms)
	case r.running && x == 0 && k.cfg.Dependency != NoDependency:
		r.awaitingCall, r.running = true, false
		c.NeedsCall(k.now, r.ID)
	case r.running && x < 5, r.joined && x < 3:
		r.ended, r.running = true, false
		o := outcomes[rnd.Intn(3)]
		if r.answers == 0 {
			r.answers++
		}
		c.Done(k.now, r.ID, o, time.Duration(rnd.Intn(500))*ms)
	case r.awaitingCall && r.answers > 0 && !r.calling:
		r.ended, r.awaitingCall = true, false
		c.Done(k.now, r.ID, Cancelled, 100*ms)
	case x == 39 && r.answers == 0 && !r.gone:
		r.gone = true
		r.ended = !r.running && !r.awaitingCall
		c.CallerGone(k.now, r.ID)
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		if violations := playRandomEvents(t, seed); len(violations) > 0 {
			t.Errorf("seed %d: %d violations, the first is %s", seed, len(violations), violations[0])
		}
	}
}

func TestRuleCheckerDetectsEachViolation(t *testing.T) {
	for name, violate := range map[string]func(k *ruleChecker){
		"unanswered":         func(k *ruleChecker) { k.requests[1].dueAt = -time.Second; k.checkState() },
		"answered twice":     func(k *ruleChecker) { k.Fail(1); k.Fail(1) },
		"run twice":          func(k *ruleChecker) { k.Run(1); k.Run(1) },
		"rejected after run": func(k *ruleChecker) { k.Run(1); k.Reject(1, Advice{}) },
		"call repeated":      func(k *ruleChecker) { k.requests[1].mayHaveEffect = true; k.Call(1, 0) },
		"run after grace":    func(k *ruleChecker) { k.stopAt = 1; k.drainAt = -2 * time.Second; k.Run(1) },
		"unanswered at stop": func(k *ruleChecker) { k.stopAt = 1; k.now = 1; k.checkState() },
		"memory":             func(k *ruleChecker) { k.requests[1].KB = 1e6; k.checkState() },
		"running requests": func(k *ruleChecker) {
			for id := RequestID(2); id < 20; id++ {
				k.requests[id] = &trackedRequest{Request: Request{ID: id}, running: true, dueAt: time.Hour}
			}
			k.checkState()
		},
		"open calls": func(k *ruleChecker) { k.callsInHand = 100; k.checkState() },
	} {
		k := &ruleChecker{cfg: testConfig(), keys: map[RequestID]time.Duration{}}
		k.requests = map[RequestID]*trackedRequest{1: {Request: Request{ID: 1, Class: 1}, dueAt: time.Hour}}
		if violate(k); len(k.violations) == 0 {
			t.Errorf("%s: violation not detected", name)
		}
	}
}

// TestMemoryStaysBoundedOverLongUptime simulates hours of a busy server and bounds the size of each table.
func TestMemoryStaysBoundedOverLongUptime(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeout, cfg.AnswerReuseTime = 10*time.Second, time.Second
	c, h := startController(t, cfg)
	var started []RequestID
	for i := 1; i <= 400000; i++ {
		now, id := time.Duration(i)*25*ms, RequestID(i)
		c.Arrive(now, Request{ID: id, Class: i % 2, Caller: i, KB: 5, Key: "k", Due: now + 4*time.Second})
		for len(started) > 1 {
			c.Done(now, started[0], Succeeded, 100*ms)
			started = started[1:]
		}
		c.Tick(now, Gauges{CoreDemand: 2})
		for _, action := range h.actions {
			var ran RequestID
			if n, _ := fmt.Sscanf(action, "run %d", &ran); n == 1 {
				started = append(started, ran)
			}
		}
		h.takeActions()
	}
	for name, n := range map[string]int{"live": len(c.live), "waitQueue": len(c.waitQueue),
		"dueQueue": len(c.dueQueue),
		"keys":     len(c.keys), "keyExpiries": len(c.keyExpiries), "rejectedInBatch": len(c.rejectedInBatch),
		"callQueue": len(c.callQueue),
		"callers":   len(c.callers) + len(c.oldCallers)} {
		if n > 2000 {
			t.Errorf("%s has %d entries after %v, want at most 2000", name, n, c.now)
		}
	}
}
