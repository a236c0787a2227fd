package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
	"cairnlane/internal/testkit"
	"cairnlane/policy"
)

const ms = time.Millisecond

// harness is a replica whose engine and routers are simulated by the test.
type harness struct {
	*Replica
	clock         *testkit.Clock
	linkUp        bool     // the link to the engine is up
	runs          []string // txns of the RUNs written
	callCommands  []string // FEEDs and SKIPs written
	attempts      map[string]*attempt
	violations    []string
	gaugeRequests int
	killed        bool // the process was killed: its actions have no effect
}

// attempt is what the test knows of an attempt; it is the Reply of its request.
type attempt struct {
	harness        *harness
	txn            string
	idempotencyKey string
	arrivedAt      time.Duration
	deadline       time.Duration
	started        bool
	ended          bool
	answers        []Answer
}

func (t *attempt) Answer(a Answer) {
	if t.harness.killed {
		return
	}
	a.Body = slices.Clone(a.Body)
	if t.answers = append(t.answers, a); len(t.answers) > 1 {
		t.harness.violations = append(t.harness.violations, t.txn+" was answered twice")
	}
	for _, other := range t.harness.attempts {
		if a.Kind == Rejected && other.started && t.idempotencyKey != "" && other.idempotencyKey == t.idempotencyKey && t.arrivedAt < other.arrivedAt+window {
			t.harness.violations = append(t.harness.violations, t.txn+" was rejected although its request ran")
		}
	}
	if late := t.harness.clock.Now() - t.deadline; late > 60*ms {
		t.harness.violations = append(t.harness.violations, fmt.Sprintf("%s was answered %v late", t.txn, late))
	}
}

func (b *harness) RequestGauges() bool { b.gaugeRequests++; return b.linkUp }

func (b *harness) Feed(txn string, reply []byte) bool {
	if b.linkUp {
		b.callCommands = append(b.callCommands, "FEED "+txn+" "+string(reply))
	}
	return b.linkUp
}

func (b *harness) Skip(txn string, notice int64) bool {
	if b.linkUp {
		b.callCommands = append(b.callCommands, fmt.Sprint("SKIP ", txn, " ", notice))
	}
	return b.linkUp
}

func (b *harness) Run(txn, class string, body []byte) bool {
	if !b.linkUp {
		return false
	}
	b.runs = append(b.runs, txn)
	current := b.attempts[txn]
	for _, other := range b.attempts {
		if other != current && current.idempotencyKey != "" && other.idempotencyKey == current.idempotencyKey && other.started && current.arrivedAt < other.arrivedAt+window {
			b.violations = append(b.violations, fmt.Sprintf("%s was run after %s with the same key", txn, other.txn))
		}
	}
	if current.started && current.idempotencyKey != "" {
		b.violations = append(b.violations, txn+" was sent twice")
	}
	current.started = true
	return true
}

const window = 5 * time.Second

func newHarness(t interface{ Fatal(...any) }) *harness {
	return newPeerHarness(t, &harness{clock: testkit.NewClock(), attempts: map[string]*attempt{}}, false)
}

// newPeerHarness returns a harness that shares the clock and the attempts of another one.
func newPeerHarness(t interface{ Fatal(...any) }, other *harness, replaceable bool) *harness {
	return newHarnessWith(t, other, Config{Replaceable: replaceable}, func(*policy.Config) {})
}

// newHarnessWith completes configuration c; edit may change the module's part of it.
func newHarnessWith(t interface{ Fatal(...any) }, other *harness, c Config, edit func(*policy.Config)) *harness {
	b := &harness{clock: other.clock, attempts: other.attempts}
	cfg := policy.Config{Seed: 1, Cores: 2, MemoryKB: 10000, RunMemoryFactor: 8, KeyKB: 10, MaxRunsPerCore: 6, AnswerSlack: 60 * ms,
		DrainGrace: time.Second, Signal: policy.RankFloor, MaxHoldOff: time.Second, Classes: []policy.Class{
			{Name: "read", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
			{Name: "save", Aim: time.Second, Deadline: 3 * time.Second, Worth: 4, Semantics: policy.Keyed, DedupWindow: window}}}
	edit(&cfg)
	c.Policy, c.Tenants, c.CoresGauge, c.MaxResultBytes = cfg, []string{"", "uni"}, 1, 64
	r, err := New(c, b.clock, b, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	b.Replica = r
	b.attach()
	return b
}

// attach brings a new link up; everything written so far may be lost.
func (b *harness) attach() { b.Attached(0, func() { b.linkUp = true }) }

// arrive has an attempt read now that arrived at the machine ago earlier; it is a keyed one if idempotencyKey
// is not empty.
func (b *harness) arrive(idempotencyKey string, ago, limit time.Duration) *attempt {
	t := &attempt{harness: b, txn: fmt.Sprintf("%016x", len(b.attempts)+1), idempotencyKey: idempotencyKey, arrivedAt: b.clock.Now() - ago}
	t.deadline = max(t.arrivedAt+limit, b.clock.Now())
	b.attempts[t.txn] = t
	class, body := "read", t.txn
	if idempotencyKey != "" {
		class, body = "save", "body of "+idempotencyKey
	}
	if err := b.Arrive(Request{Txn: t.txn, Class: class, Body: []byte(body), KB: 10, ArrivedAt: time.Unix(0, int64(t.arrivedAt)),
		WaitLimit: limit, IdempotencyKey: idempotencyKey, Reply: t}); err != nil {
		b.violations = append(b.violations, err.Error())
	}
	return t
}

// end has the engine end a run.
func (b *harness) end(txn string, end policy.Outcome) {
	b.attempts[txn].ended = true
	b.Done(txn, end, 50*ms, []byte("result of "+txn))
}

func (t *attempt) want(tt *testing.T, kind Kind, body string) {
	tt.Helper()
	if len(t.answers) != 1 || t.answers[0].Kind != kind || string(t.answers[0].Body) != body {
		tt.Errorf("%s: answers %+v, want one of kind %d with body %q", t.txn, t.answers, kind, body)
	}
}

func TestRepeatedAttemptsShareOneRun(t *testing.T) {
	b := newHarness(t)
	first, second := b.arrive("k", 0, time.Second), b.arrive("k", 0, time.Second)
	b.end(first.txn, policy.Succeeded)
	third := b.arrive("k", 0, time.Second) // the run has already ended: the module is informed of the end of the repeat after Arrive returned
	for _, x := range []*attempt{first, second, third} {
		x.want(t, Served, "result of "+first.txn)
	}
	if len(b.runs) != 1 || len(b.live) != 0 {
		t.Errorf("runs %v, %d live", b.runs, len(b.live))
	}
}

func TestFailedRunFailsItsRepeats(t *testing.T) {
	b := newHarness(t)
	first, second := b.arrive("k", 0, time.Second), b.arrive("k", 0, time.Second)
	b.Rejected(first.txn)
	for _, x := range []*attempt{first, second} {
		x.want(t, Failed, "")
	}
}

// TestKeyWithDifferentBodyIsRejected checks that a client cannot get the stored result of another client's
// request by using its key, and that an attempt whose call the engine does not know does not fail later attempts
// under the same key.
func TestKeyWithDifferentBodyIsRejected(t *testing.T) {
	b := newHarness(t)
	arriveWithOtherBody := func(txn string) error {
		return b.Arrive(Request{Txn: txn, Class: "save", Body: []byte("other"), KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: time.Second,
			IdempotencyKey: "k", Reply: &attempt{harness: b, txn: txn}})
	}
	first := b.arrive("k", 0, time.Second)
	if arriveWithOtherBody("a") == nil {
		t.Error("a different body joined the run")
	}
	b.end(first.txn, policy.Succeeded)
	if arriveWithOtherBody("b") == nil {
		t.Error("a different body got the stored result")
	}
	b.arrive("k", 0, time.Second).want(t, Served, "result of "+first.txn)
	unknown := b.arrive("j", 0, time.Second)
	b.Rejected(unknown.txn) // it never ran: the next attempt under its key is a new request
	if len(b.keys.byName) != 1 {
		t.Errorf("%d entries kept, want only that of k", len(b.keys.byName))
	}
	next := b.arrive("j", 0, time.Second)
	b.end(next.txn, policy.Succeeded)
	next.want(t, Served, "result of "+next.txn)
}

func TestKeyWindowStartsAtArrivalOfRunningAttempt(t *testing.T) {
	b := newHarness(t)
	first := b.arrive("k", 500*ms, 2*time.Second)
	b.end(first.txn, policy.Succeeded)
	b.clock.Advance(window - 501*ms)
	inside := b.arrive("k", 0, time.Second)
	b.clock.Advance(3 * time.Second)
	late := b.arrive("k", 3*time.Second, 4*time.Second) // arrived inside the window, read long after it
	outside := b.arrive("k", 0, time.Second)
	inside.want(t, Served, "result of "+first.txn)
	late.want(t, Served, "result of "+first.txn)
	if len(outside.answers) != 0 || len(b.runs) != 2 {
		t.Errorf("after the window: answers %+v, runs %v", outside.answers, b.runs)
	}
}

// TestUnfinishedKeyDoesNotBlockExpiryOfOthers checks that an entry whose run never ends does not block the
// expiry of the entries made after it. Otherwise the table would grow without bound.
func TestUnfinishedKeyDoesNotBlockExpiryOfOthers(t *testing.T) {
	b := newHarness(t)
	stuck := b.arrive("stuck", 0, time.Second)
	for i := range 20 {
		b.end(b.arrive(fmt.Sprint("k", i), 0, time.Second).txn, policy.Succeeded)
	}
	b.clock.Advance(window + 10*time.Second)
	if len(b.keys.byName) != 1 || len(b.keys.expiries) != 1 {
		t.Errorf("%d entries and %d in expiries, want only the one that runs", len(b.keys.byName), len(b.keys.expiries))
	}
	b.end(stuck.txn, policy.Succeeded)
	b.clock.Advance(2 * time.Second)
	if len(b.keys.byName)+len(b.keys.byHolder)+len(b.keys.expiries) != 0 {
		t.Error("an entry was never dropped")
	}
}

func TestStoredResultsStayWithinByteLimit(t *testing.T) {
	b := newHarness(t)
	for i := range 10 {
		b.end(b.arrive(fmt.Sprint("k", i), 0, time.Second).txn, policy.Succeeded)
	}
	if b.keys.resultBytes > 64 {
		t.Errorf("%d bytes of results kept, limit 64", b.keys.resultBytes)
	}
	b.arrive("k0", 0, time.Second).want(t, Failed, "") // it ran, but its result was evicted: it is neither rejected nor run again
}

func TestTimedOutRunStaysLiveUntilEngineNotice(t *testing.T) {
	b := newHarness(t)
	x := b.arrive("", 0, 300*ms)
	b.clock.Advance(time.Second)
	x.want(t, Failed, "")
	b.end(x.txn, policy.Succeeded)
	x.want(t, Failed, "")
	if len(b.live) != 0 {
		t.Error("request is still live after the end of its run")
	}
}

// TestOnlySafeRunsAreResentAfterLinkLoss checks which runs are sent again after a link loss. A run whose end is
// being reported at that moment would execute twice if it were sent again, and one that was still in the output
// buffer never executes if it is not. What was written before since has reached the engine; of the rest only
// runs of safe classes are sent again.
func TestOnlySafeRunsAreResentAfterLinkLoss(t *testing.T) {
	for name, c := range map[string]struct {
		idempotencyKey string
		end            func(b *harness, x *attempt) // called after the link loss
		sent           int
		kind           Kind
	}{
		"safe, lost with its link":        {"", func(b *harness, x *attempt) { b.end(x.txn, policy.Succeeded) }, 2, Served},
		"safe, reported as missed":        {"", nil, 1, Served},
		"keyed, reported as missed":       {"k", nil, 1, Served},
		"keyed, reported after the break": {"k", func(b *harness, x *attempt) { b.end(x.txn, policy.Succeeded) }, 1, Served},
		"keyed, lost with its link":       {"k", func(b *harness, _ *attempt) { b.clock.Advance(2 * time.Second) }, 1, Failed},
		"keyed, lost, two breaks": {"k", func(b *harness, _ *attempt) {
			b.linkUp = false
			b.attach()
			b.clock.Advance(2 * time.Second)
		}, 1, Failed},
		"keyed, lost, answered before the link is back": {"k", func(b *harness, _ *attempt) {
			b.clock.Advance(2 * time.Second)
			b.attach()
		}, 1, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			reached := b.arrive(c.idempotencyKey, 0, 2*time.Second)
			b.clock.Advance(200 * ms)
			x, since := b.arrive(c.idempotencyKey+c.idempotencyKey, 0, 2*time.Second), b.clock.Now()
			b.linkUp = false
			waiting := b.arrive("w", 0, 2*time.Second) // decided to run while there was no link
			if c.end == nil {
				b.end(x.txn, policy.Succeeded)
			}
			if !strings.Contains(name, "before the link") {
				b.Attached(since, func() { b.linkUp = true })
			}
			if c.end != nil {
				c.end(b, x)
			}
			n := map[string]int{}
			for _, txn := range b.runs {
				n[txn]++
			}
			if n[reached.txn] != 1 || n[waiting.txn] != 1 || n[x.txn] != c.sent {
				t.Errorf("runs %v", b.runs)
			}
			if len(x.answers) != 1 || x.answers[0].Kind != c.kind {
				t.Errorf("answers %+v, want kind %d", x.answers, c.kind)
			}
			if b.txns[x.txn] != nil { // a live run occupies a slot
				t.Error("the run was not ended")
			}
			if c.kind == Failed { // it may have run: a repeat is neither rejected nor run, and a late end is dropped
				b.arrive(c.idempotencyKey+c.idempotencyKey, 0, 2*time.Second).want(t, Failed, "")
				b.end(x.txn, policy.Succeeded)
				if b.count.noticesUnmatched.Load() != 1 || b.count.inDoubt.Load() == 0 {
					t.Errorf("%d unmatched notices, %d runs in doubt", b.count.noticesUnmatched.Load(), b.count.inDoubt.Load())
				}
			}
		})
	}
}

// TestUnwrittenRunIsSentOnNextLink checks that a RUN that could not be written because the new link broke again
// does not count as written before the break.
func TestUnwrittenRunIsSentOnNextLink(t *testing.T) {
	b := newHarness(t)
	x := b.arrive("", 0, 2*time.Second)
	b.linkUp = false
	b.Attached(b.clock.Now(), func() {}) // broken again before anything is written
	b.clock.Advance(50 * ms)
	b.Attached(b.clock.Now(), func() { b.linkUp = true })
	if want := []string{x.txn, x.txn}; !slices.Equal(b.runs, want) {
		t.Errorf("runs %v, want %v", b.runs, want)
	}
}

// TestTickUsesTheGaugesItRequested checks that a tick uses the gauges that it requested. With those of the
// previous tick the module serves a smaller share of requests on days with a lost node.
func TestTickUsesTheGaugesItRequested(t *testing.T) {
	b := newHarness(t)
	b.clock.Advance(15 * ms)
	if b.gaugeRequests != 1 || !b.awaitingGauges {
		t.Fatalf("gauges requested %d times, awaiting %v", b.gaugeRequests, b.awaitingGauges)
	}
	if b.Gauges([]float64{0, 3}); b.awaitingGauges || b.gauges.CoreDemand != 3 {
		t.Errorf("still awaiting gauges %v, gauges %+v", b.awaitingGauges, b.gauges)
	}
	b.clock.Advance(15*ms + gaugeWait) // the second request is not answered
	if b.gauges.Age < 15*ms {
		t.Errorf("gauges of the previous tick have age %v, want at least 15 ms", b.gauges.Age)
	}
	if b.gaugeRequests != 2 || b.awaitingGauges {
		t.Errorf("gauges requested %d times, awaiting %v: the tick still waits for a missing answer", b.gaugeRequests, b.awaitingGauges)
	}
}

// TestReadResultIsSharedForConfiguredTime checks that the result of a read is not shared for longer than
// AnswerReuseTime, even if its caller could have waited longer.
func TestReadResultIsSharedForConfiguredTime(t *testing.T) {
	b := newHarnessWith(t, &harness{clock: testkit.NewClock(), attempts: map[string]*attempt{}}, Config{}, func(c *policy.Config) { c.AnswerReuseTime = 300 * ms })
	read := func() *attempt {
		x := &attempt{harness: b, txn: fmt.Sprintf("%016x", len(b.attempts)+1), arrivedAt: b.clock.Now()}
		b.attempts[x.txn] = x
		if err := b.Arrive(Request{Txn: x.txn, Class: "read", KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: 2 * time.Second, Item: "i", Reply: x}); err != nil {
			t.Fatal(err)
		}
		return x
	}
	first := read()
	b.clock.Advance(100 * ms)
	beside := read()
	b.end(first.txn, policy.Succeeded)
	b.clock.Advance(300 * ms)
	fresh := read()
	b.clock.Advance(ms)
	stale := read()
	for _, x := range []*attempt{first, beside, fresh} {
		x.want(t, Served, "result of "+first.txn)
	}
	if len(stale.answers) != 0 || !slices.Equal(b.runs, []string{first.txn, stale.txn}) {
		t.Errorf("after ShareFor: answers %+v, runs %v", stale.answers, b.runs)
	}
}

// TestRequestsUseInternedSettingsNames checks that requests hold the strings of the settings instead of copies,
// and no tenant if the settings have none.
func TestRequestsUseInternedSettingsNames(t *testing.T) {
	b := newHarness(t)
	for tenant, want := range map[string]string{"uni": b.cfg.Tenants[1], "": ""} {
		txn := fmt.Sprintf("%016x", len(b.attempts)+1)
		b.attempts[txn] = &attempt{harness: b, txn: txn}
		if err := b.Arrive(Request{Txn: txn, Class: strings.Clone("read"), Tenant: strings.Clone(tenant), KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: time.Second, Reply: b.attempts[txn]}); err != nil {
			t.Fatal(err)
		}
		q := b.txns[txn]
		if q.Tenant != want || unsafe.StringData(q.Class) != unsafe.StringData(b.cfg.Policy.Classes[0].Name) || want != "" && unsafe.StringData(q.Tenant) != unsafe.StringData(want) {
			t.Errorf("class %q, tenant %q are not the strings of the settings", q.Class, q.Tenant)
		}
	}
	b.cfg.Tenants = nil
	if err := b.Arrive(Request{Txn: "z", Class: "read", Tenant: "anybody", KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: time.Second, Reply: &attempt{harness: b}}); err != nil || b.txns["z"].Tenant != "" {
		t.Errorf("without tenants: error %v, or the tenant was kept", err)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	b := newHarness(t)
	b.arrive("", 0, time.Second)
	now := b.clock.Time()
	for name, q := range map[string]Request{
		"class":   {Txn: "a", Class: "other", ArrivedAt: now},
		"key":     {Txn: "a", Class: "save", ArrivedAt: now},
		"twice":   {Txn: fmt.Sprintf("%016x", 1), Class: "read", ArrivedAt: now},
		"past":    {Txn: "a", Class: "read", ArrivedAt: now.Add(-7 * time.Second)},
		"endless": {Txn: "a", Class: "read", ArrivedAt: now, WaitLimit: 7 * time.Second},
		"future":  {Txn: "a", Class: "read", ArrivedAt: now.Add(time.Hour)},
		"tenant":  {Txn: "a", Class: "read", Tenant: "nobody", ArrivedAt: now},
	} {
		if err := b.Arrive(q); err == nil {
			t.Errorf("%s: request was accepted", name)
		}
	}
}

// TestInvariantsHoldOverRandomSteps simulates routers and an engine whose link breaks, and checks the invariants
// after each step.
func TestInvariantsHoldOverRandomSteps(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		b, broken := newHarness(rt), assert.Failures()
		drained := false
		return map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				idempotencyKey := rapid.SampledFrom([]string{"", "", "a", "b", "c"}).Draw(rt, "unique")
				b.arrive(idempotencyKey, time.Duration(rapid.IntRange(0, 400).Draw(rt, "ago"))*ms,
					time.Duration(rapid.IntRange(0, 3000).Draw(rt, "limit"))*ms)
			},
			"end": func(rt *rapid.T) {
				for _, txn := range b.runs {
					if !b.attempts[txn].ended && b.linkUp {
						b.end(txn, rapid.SampledFrom([]policy.Outcome{policy.Succeeded, policy.Succeeded, policy.Failed, policy.NotStarted}).Draw(rt, "end"))
						return
					}
				}
			},
			"gauges": func(rt *rapid.T) { b.Gauges([]float64{0, rapid.Float64Range(0, 4).Draw(rt, "on_cores")}) },
			"break":  func(*rapid.T) { b.linkUp = false },
			"attach": func(*rapid.T) { b.attach() },
			"wait":   func(rt *rapid.T) { b.clock.Advance(time.Duration(rapid.IntRange(1, 800).Draw(rt, "ms")) * ms) },
			"drain": func(rt *rapid.T) {
				if !drained && rapid.IntRange(0, 40).Draw(rt, "drain") == 0 {
					drained = true
					b.Drain(3 * time.Second)
				}
			},
			"": func(rt *rapid.T) {
				b.checkFigures(rt)
				for _, x := range b.attempts {
					if len(x.answers) == 0 && b.clock.Now() > x.deadline+60*ms {
						b.violations = append(b.violations, x.txn+" was not answered in time")
					}
				}
				if len(b.violations) > 0 || assert.Failures() != broken {
					rt.Fatalf("violations %v, %d invariants broken", b.violations, assert.Failures()-broken)
				}
			},
		}
	})
}

// checkFigures checks that the figures add up to the accepted requests, each counted once, and that runs are
// counted as often as RUN was sent for the first time.
func (b *harness) checkFigures(t interface{ Fatalf(string, ...any) }) {
	f := b.Figures()
	sum, runs := f.Open, map[string]bool{}
	for _, c := range f.Classes {
		sum += c.Served + c.Rejected + c.Failed
	}
	for _, txn := range b.runs {
		runs[txn] = true
	}
	if accepted := b.count.read.Load(); sum != accepted || f.Runs != int64(len(runs)) {
		t.Fatalf("figures %+v, %d requests accepted, %d runs", f, accepted, len(runs))
	}
}

func TestNewRejectsEmptyConfig(t *testing.T) {
	if _, err := New(Config{}, testkit.NewClock(), nil, new(counters.Set)); err == nil {
		t.Error("New returned no error for an empty configuration")
	}
}
