// Package overloads runs overload scenarios over fleets of real processes: the program's boxes with fake engines, and the routers and
// clients of the model (internal/lab/model). Three fleets run side by side under the same clients and faults: boxes that shed as a fleet,
// boxes alone, and a fleet whose boxes cannot exchange messages.
package overloads

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/router"
	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/rig"
	"cairnlane/policy"
)

// Config holds the parameters of one fleet's run of a scenario.
type Config struct {
	Scenario   model.Scenario
	Dir        string
	ConfigFile string
	Serve      func(config string) *exec.Cmd
	Outage     time.Duration // after the scenario, the catalog and the links to all engines are down for this long; 0 for no outage
	Logf       func(format string, a ...any)
}

// Result is the result of a scenario.
type Result struct {
	model.Score
	Lost, AnsweredTwice, DoubleRuns, Late, WrongResults     int64
	Rejected, AttemptsRead                                  int64         // rejections, and attempts that were read
	MaxLevelChanges                                         int           // maximum number of level changes of one process within 10 s
	InvariantsBroken                                        int64         // violated invariants, as counted by the boxes
	ProbeRate                                               float64       // reports and dials to catalog and engines per second while both were down
	ReportRecovery                                          time.Duration // time from the end of the outage until all boxes had reported to the catalog again
	RejectedOverShare, RejectedLowClass, RejectedOverBudget int64         // rejected by fleet advice: over share, of a low class, over the retry budget
}

// trialRun is the state of one fleet's run of a scenario.
type trialRun struct {
	cfg          Config
	rig          *rig.Site
	machines     []*machine
	startedAt    time.Time
	connections  [][]*router.Router // by router number and box
	incarnations []atomic.Int64     // by box; changes when the box is killed

	mu           sync.Mutex // guards the routers' state and the fields below
	routers      []*model.Router
	alive        []bool
	outcomes     []model.RequestOutcome
	keyedRuns    map[string][]keyedRun // runs of keyed requests, by body
	openRequests sync.WaitGroup
	result       Result
	workByBody   sync.Map // time.Duration of a request's work, by its body
	levelChanges [][]time.Duration
	levels       []int
	cold         []bool
}

// keyedRun is a process that ran a keyed request.
type keyedRun struct {
	box         int
	incarnation int64
}

// terms are short, so that the fleet of a trial is ready soon.
var terms = lease.Terms{Term: 2 * time.Second, Drift: 0.02}

// RunScenario runs a scenario.
func RunScenario(cfg Config) (*Result, error) {
	scenario := cfg.Scenario
	run := &trialRun{cfg: cfg, alive: make([]bool, scenario.Boxes), incarnations: make([]atomic.Int64, scenario.Boxes), keyedRuns: map[string][]keyedRun{}, levelChanges: make([][]time.Duration, scenario.Boxes), levels: make([]int, scenario.Boxes), cold: make([]bool, scenario.Boxes)}
	for i := range scenario.Boxes {
		run.machines = append(run.machines, newMachine(scenario.Machine))
		run.alive[i] = true
	}
	voters := []int{0, 1, 2}[:min(3, scenario.Boxes)]
	var err error
	run.rig, err = rig.NewSite(rig.SiteConfig{Seed: scenario.Seed, Dir: cfg.Dir, Boxes: scenario.Boxes, Voters: voters, Terms: terms, Election: 400 * time.Millisecond, SettingsFile: cfg.ConfigFile, Command: cfg.Serve, EditSettings: run.applySite, Engine: run.newEngine})
	if err != nil {
		return nil, err
	}
	defer run.rig.Close()
	if err := run.rig.Start(); err != nil {
		return nil, err
	}
	if scenario.Mode != model.Alone {
		if err := run.rolloutRules(); err != nil {
			return nil, err
		}
	}
	if scenario.Mode == model.Disconnected {
		run.setLinksCut(func(a, b int) bool { return true }, true)
		time.Sleep(adviceExpiry) // until the advice of every box has expired
	}
	run.createRouters()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { run.pollLevels(stop) })
	run.startedAt = time.Now()
	run.injectFaults(&background)
	for _, q := range scenario.DrawRequests(scenario.Load) {
		time.Sleep(time.Until(run.startedAt.Add(q.At)))
		run.openRequests.Add(1)
		run.workByBody.Store(run.body(q), q.Work)
		run.sendAttempt(&requestState{request: q})
	}
	run.openRequests.Wait()
	close(stop)
	background.Wait()
	if cfg.Outage > 0 {
		run.outage()
	}
	run.summarize()
	return &run.result, nil
}

// adviceExpiry is the time after which a box without messages decides alone, with a margin.
const adviceExpiry = 4 * time.Second

// applySite writes the site's figures into a box's configuration.
func (run *trialRun) applySite(box int, config map[string]any) {
	scenario := run.cfg.Scenario
	us := func(t time.Duration) int64 { return t.Microseconds() }
	set := config["settings"].(map[string]any)
	family := set["family-info"].(map[string]any)
	family["cores"], family["cold"], family["heeded"], family["upstreams"] = scenario.Cores, run.cold[box], us(scenario.SignalLifetime), scenario.Routers
	guarantees := set["guarantees"].(map[string]any)
	guarantees["cold"], guarantees["cold-from"] = us(scenario.ColdFor), scenario.ColdFrom
	set["policy-limits"].(map[string]any)["max-retry-after"] = us(scenario.MaxRetryAfter)
	for i, l := range set["lanes"].([]any) { // the scenario's classes stand in the order of the settings
		class, lane := scenario.Classes[i], l.(map[string]any)
		lane["aim"], lane["deadline"], lane["dedup-window"] = us(class.Aim), us(class.Deadline), us(class.DedupWindow)
	}
}

// newEngine returns the fake engine of a box, whose runs use the cores of the box's machine.
func (run *trialRun) newEngine(box int) *engine.Engine {
	machine := run.machines[box]
	return engine.NewWithExecutor(func(_, body string, done func(time.Duration)) {
		work, ok := run.workByBody.Load(body)
		if !ok {
			run.cfg.Logf("engine of n%d got the unknown body %q", box, body)
			atomic.AddInt64(&run.result.WrongResults, 1)
			return
		}
		if strings.HasPrefix(body, keyedBody) {
			run.mu.Lock()
			run.keyedRuns[body] = append(run.keyedRuns[body], keyedRun{box, run.incarnations[box].Load()})
			run.mu.Unlock()
		}
		began := time.Now()
		machine.add(work.(time.Duration), func() { done(time.Since(began)) })
	}, machine.demand)
}

// rolloutRules rolls out a configuration with overload rules and waits until all boxes follow them.
func (run *trialRun) rolloutRules() error {
	var src strings.Builder
	src.WriteString("needs = 2\noverload {\n shares = {\n")
	for name, s := range run.cfg.Scenario.Shares(run.cfg.Scenario.Quota) {
		fmt.Fprintf(&src, "  %q = %.3f\n", name, s)
	}
	src.WriteString(" }\n}\n")
	c := run.rig.Boxes[0].Control().Fleet()
	n, err := c.PutConfig([]byte(src.String()))
	if err == nil {
		err = c.StartRollout(n, rollout.Plan{Canaries: 1, Share: 1, Timeout: 12 * time.Second, Slots: run.cfg.Scenario.Boxes})
	}
	if err != nil {
		return fmt.Errorf("overloads: rolling out the overload rules failed: %w", err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(pollInterval) {
		err = nil
		for _, b := range run.rig.Boxes {
			if l, e := b.Control().Fleet().Load(); e != nil || l.Advice == nil || l.Advice.Trust < 1 && len(run.rig.Boxes) > 1 && run.cfg.Scenario.Mode == model.Fleet && l.Fleet.Boxes < len(run.rig.Boxes) {
				err = fmt.Errorf("overloads: %s does not follow the overload rules: load %+v, error %v", b.Name, l, e)
			}
		}
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// pollInterval is the time between two queries of the boxes.
const pollInterval = 250 * time.Millisecond

// setLinksCut cuts the links between the boxes that between selects, or restores them.
func (run *trialRun) setLinksCut(between func(a, b int) bool, on bool) {
	for a := range run.rig.Boxes {
		for b := range run.rig.Boxes {
			if a != b && between(a, b) {
				run.rig.Net.SetFlow(a, b, func(f *rig.Flow) { f.Drop = on })
			}
		}
	}
}

// createRouters creates the routers, each with a client for every box.
func (run *trialRun) createRouters() {
	scenario := run.cfg.Scenario
	all := make([]int, scenario.Boxes)
	for i := range all {
		all[i] = i
	}
	src := model.Stream(scenario.Seed)
	for i, h := range model.DrawRouterBehaviors(scenario.Seed, scenario.Routers) {
		r := model.NewRouter(h, scenario.SignalLifetime, src)
		r.SetBoxes(all)
		run.routers = append(run.routers, r)
		var connections []*router.Router
		for _, b := range run.rig.Boxes {
			connections = append(connections, &router.Router{Addr: b.RequestAddr(), Number: i, OnUnexpectedReply: func(int32) { atomic.AddInt64(&run.result.AnsweredTwice, 1) }})
		}
		run.connections = append(run.connections, connections)
	}
}

// requestState is a client's request with its attempts.
type requestState struct {
	request         model.Request
	triedBoxes      []int
	attempts        int
	admittedRetries int
	openAttempt     int // number of the open attempt, from 1; 0 for none
	ended           bool
}

// keyedBody is the prefix of the bodies of keyed requests.
const keyedBody = "key "

// now returns the time for the routers. It starts at 1 h, so that 0 is long past.
func (run *trialRun) now() time.Duration { return time.Since(run.startedAt) + time.Hour }

// body returns the body of a request. Its prefix tells the fake engine whether the request is keyed and may run only once.
func (run *trialRun) body(q model.Request) string {
	if run.cfg.Scenario.Classes[q.Class].Semantics == policy.Keyed {
		return keyedBody + fmt.Sprint(q.N)
	}
	return fmt.Sprintf("body %d", q.N)
}

// sendAttempt sends a request to the box that its router picks, or finishes it as not served if the deadline has passed or no box may be sent to.
func (run *trialRun) sendAttempt(state *requestState) {
	scenario := run.cfg.Scenario
	run.mu.Lock()
	defer run.mu.Unlock()
	due := run.startedAt.Add(scenario.RequestDeadline(state.request))
	if state.ended {
		return
	}
	box, ok := run.routers[state.request.Router].Pick(run.now(), state.request, state.triedBoxes)
	if !ok || time.Now().After(due) {
		run.finish(state, false)
		return
	}
	state.triedBoxes = append(state.triedBoxes, box)
	if !run.alive[box] { // the connection is refused, which is not an attempt: no box reads the request
		time.AfterFunc(time.Millisecond, func() { run.sendAttempt(state) })
		return
	}
	run.routers[state.request.Router].Sent(box)
	state.attempts++
	state.openAttempt = state.attempts
	attempt, arrivedAt, incarnation := state.attempts, time.Now(), run.incarnations[box].Load()
	txn := fmt.Sprintf("%08x%08x", state.request.N, attempt)
	run.result.AttemptsRead++
	time.AfterFunc(time.Until(due), func() { run.abandonAttempt(state, attempt, box) })
	run.machines[box].add(scenario.ReadWork, func() { run.forward(state, attempt, txn, box, incarnation, arrivedAt) })
}

// abandonAttempt ends a request at its deadline if the attempt is still open.
func (run *trialRun) abandonAttempt(state *requestState, attempt, box int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if state.openAttempt == attempt && !state.ended {
		run.routers[state.request.Router].HandleAnswer(run.now(), box, model.Hints{})
		run.finish(state, false)
	}
}

// forward sends an attempt to the box's process once its reading cost has been paid.
func (run *trialRun) forward(state *requestState, attempt int, txn string, box int, incarnation int64, arrivedAt time.Time) {
	scenario := run.cfg.Scenario
	limit := scenario.RequestDeadline(state.request) - arrivedAt.Sub(run.startedAt)
	run.mu.Lock()
	ended := state.ended || state.openAttempt != attempt
	run.mu.Unlock()
	if ended || limit <= 0 {
		return
	}
	class := scenario.Classes[state.request.Class]
	q := router.Request{Txn: txn, Class: class.Name, Tenant: scenario.Tenants[state.request.Tenant].Name, Body: run.body(state.request), TimeLimit: limit, Retry: attempt > 1, Rank: state.request.Rank, ArrivedAt: arrivedAt}
	if class.Semantics == policy.Keyed {
		q.IdempotencyKey = fmt.Sprintf("%032x", state.request.N)
	}
	run.connections[state.request.Router][box].Send(q, func(o router.Outcome) {
		died := run.incarnations[box].Load() != incarnation
		if o.Took = time.Since(arrivedAt); o.Took > limit+answerSlack && !died {
			atomic.AddInt64(&run.result.Late, 1)
			run.cfg.Logf("%s to n%d was answered after %v, its limit was %v", txn, box, o.Took, limit)
		}
		if o.Kind == router.Served && o.Body != "did "+q.Body {
			atomic.AddInt64(&run.result.WrongResults, 1)
		}
		if o.Kind == router.Lost && !died {
			atomic.AddInt64(&run.result.Lost, 1)
			run.cfg.Logf("%s to n%d got no answer", txn, box)
		}
		run.handleOutcome(state, attempt, box, txn, o)
	})
}

// answerSlack is how late an answer may arrive: the tolerance of the rules on sockets, and the delays of 24 processes and their surroundings on
// one machine.
const answerSlack = 300 * time.Millisecond

// handleOutcome processes the outcome of an attempt, and retries if the router wants to.
func (run *trialRun) handleOutcome(state *requestState, attempt, box int, txn string, o router.Outcome) {
	run.mu.Lock()
	retry := false
	if attempt > 1 && run.rig.Boxes[box].HasStartedRun(txn) {
		state.admittedRetries++
	}
	if o.Kind == router.Rejected {
		run.result.Rejected++
	}
	if state.openAttempt == attempt && !state.ended {
		r := run.routers[state.request.Router]
		hints := model.Hints{RetryAfter: o.RetryAfter, DoNotRetry: o.DoNotRetry, Signal: o.Feedback, HasSignal: o.HasFeedback}
		r.HandleAnswer(run.now(), box, hints)
		state.openAttempt = 0
		safe := run.cfg.Scenario.Classes[state.request.Class].Semantics == policy.Safe
		switch {
		case o.Kind == router.Served:
			run.finish(state, true)
		case o.Kind == router.Rejected || o.Kind == router.NotAccepted || o.Kind == router.Lost && safe:
			if retry = r.ShouldRetry(state.attempts, hints); !retry {
				run.finish(state, false)
			}
		default:
			run.finish(state, false)
		}
	}
	run.mu.Unlock()
	if retry {
		run.sendAttempt(state)
	}
}

// finish records the outcome of a request. The caller holds the mutex.
func (run *trialRun) finish(state *requestState, served bool) {
	state.ended = true
	run.outcomes = append(run.outcomes, model.RequestOutcome{Request: state.request, Served: served, Latency: time.Since(run.startedAt) - state.request.At, Attempts: state.attempts, AdmittedRetries: state.admittedRetries})
	run.openRequests.Done()
}

// injectFaults schedules the scenario's faults. Routers learn of killed and restarted boxes after the site's list delay.
func (run *trialRun) injectFaults(pending *sync.WaitGroup) {
	scenario := run.cfg.Scenario
	at := func(t time.Duration, do func()) {
		pending.Go(func() {
			time.Sleep(time.Until(run.startedAt.Add(t)))
			do()
		})
	}
	for _, t := range scenario.Faults {
		switch t.Kind {
		case model.SlowDown:
			for _, b := range t.Boxes {
				at(t.From, func() { run.machines[b].setSpeed(1 / t.Slowdown) })
				at(t.From+t.Duration, func() { run.machines[b].setSpeed(1) })
			}
		case model.Kill:
			for _, b := range t.Boxes {
				at(t.From, func() { run.kill(b) })
				at(t.From+scenario.ListDelay, run.updateRouterLists)
				at(t.From+t.Duration, func() { run.start(b) })
				at(t.From+t.Duration+scenario.ListDelay, run.updateRouterLists)
			}
		case model.Partition:
			if scenario.Mode == model.Disconnected {
				continue
			}
			half := func(a, b int) bool { return slices.Contains(t.Boxes, a) != slices.Contains(t.Boxes, b) }
			at(t.From, func() { run.setLinksCut(half, true) })
			at(t.From+t.Duration, func() { run.setLinksCut(half, false) })
		case model.CatalogDown:
			at(t.From, func() { run.rig.Catalog().SetDown(true) })
			at(t.From+t.Duration, func() { run.rig.Catalog().SetDown(false) })
		}
	}
}

// kill kills the process of box b. It restarts cold.
func (run *trialRun) kill(b int) {
	run.incarnations[b].Add(1)
	run.mu.Lock()
	run.alive[b], run.cold[b] = false, true
	run.mu.Unlock()
	run.machines[b].restart(true)
	run.rig.Boxes[b].Kill()
}

// start restarts the process of box b.
func (run *trialRun) start(b int) {
	run.machines[b].restart(true)
	run.rig.Boxes[b].SetEngineStart(time.Now())
	err := run.rig.Boxes[b].RewriteConfig()
	if err == nil {
		err = run.rig.Boxes[b].Start()
	}
	if err != nil {
		run.cfg.Logf("restarting n%d failed: %v", b, err)
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.alive[b], run.levels[b], run.levelChanges[b] = true, 0, nil
}

// updateRouterLists gives every router the list of boxes that are alive.
func (run *trialRun) updateRouterLists() {
	run.mu.Lock()
	defer run.mu.Unlock()
	var up []int
	for b, alive := range run.alive {
		if alive {
			up = append(up, b)
		}
	}
	for _, r := range run.routers {
		r.SetBoxes(up)
	}
}

// pollLevels queries the boxes for their shedding level until stop is closed, and counts the changes.
func (run *trialRun) pollLevels(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		for i, b := range run.rig.Boxes {
			run.mu.Lock()
			alive, incarnation := run.alive[i], run.incarnations[i].Load()
			run.mu.Unlock()
			if !alive {
				continue
			}
			load, err := b.Control().Fleet().Load()
			if err != nil || load.Advice == nil {
				continue
			}
			run.mu.Lock()
			if load.Advice.Level != run.levels[i] && incarnation == run.incarnations[i].Load() {
				run.levels[i] = load.Advice.Level
				run.levelChanges[i] = append(run.levelChanges[i], run.now())
				run.result.MaxLevelChanges = max(run.result.MaxLevelChanges, model.MaxWithin(run.levelChanges[i], levelSpan))
			}
			run.mu.Unlock()
		}
	}
}

// levelSpan is the time in which a level may change only once, less the error from polling.
const levelSpan = 10*time.Second - 2*pollInterval

// outage takes the catalog and all links to engines down, counts the reports and dials meanwhile, and measures how soon the boxes report again
// after it ends.
func (run *trialRun) outage() {
	dials := func() (n int) {
		for _, b := range run.rig.Boxes {
			n += b.EngineAddr().DialCount()
		}
		return n
	}
	run.rig.Catalog().SetDown(true)
	for _, b := range run.rig.Boxes {
		b.EngineAddr().RejectLinks(true)
	}
	time.Sleep(run.cfg.Outage / 3) // time to detect the outage
	before, from := run.rig.Catalog().ReportCount()+dials(), time.Now()
	time.Sleep(run.cfg.Outage * 2 / 3)
	run.result.ProbeRate = float64(run.rig.Catalog().ReportCount()+dials()-before) / time.Since(from).Seconds()
	run.rig.Catalog().SetDown(false)
	for _, b := range run.rig.Boxes {
		b.EngineAddr().RejectLinks(false)
	}
	back := time.Now()
	for _, b := range run.rig.Boxes {
		for time.Since(back) < 10*time.Second {
			if r, ok := run.rig.Catalog().LastReport(b.Name); ok && r.At.After(back) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	run.result.ReportRecovery = time.Since(back)
}

// summarize computes the worth of the scenario's outcomes, counts keyed requests that ran twice in one process, and reads the counters of the boxes.
func (run *trialRun) summarize() {
	scenario := run.cfg.Scenario
	run.mu.Lock()
	defer run.mu.Unlock()
	for key, runs := range run.keyedRuns {
		seen := map[keyedRun]bool{}
		for _, r := range runs {
			if seen[r] {
				run.result.DoubleRuns++
				run.cfg.Logf("keyed request %q ran twice at n%d", key, r.box)
			}
			seen[r] = true
		}
	}
	run.result.Score = scenario.Evaluate(scenario.Load, run.outcomes)
	for _, b := range run.rig.Boxes {
		st, err := b.Control().Status()
		if err != nil {
			run.cfg.Logf("%s did not answer the status query at the end: %v", b.Name, err)
			continue
		}
		run.result.InvariantsBroken += st.Counters["invariants_broken"]
		run.result.RejectedOverShare += st.Counters["refused_over_share"]
		run.result.RejectedLowClass += st.Counters["refused_low_class"]
		run.result.RejectedOverBudget += st.Counters["refused_beyond_tries"]
	}
	for _, list := range run.connections {
		for _, w := range list {
			w.Close()
		}
	}
}

// fleetDir returns the folder of one of several fleets.
func fleetDir(dir string, parts ...any) string {
	return filepath.Join(dir, fmt.Sprint(parts...))
}
