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

// bench is a replica with an engine and routers that are played by the test.
type bench struct {
	*Replica
	clock  *testkit.Clock
	up     bool     // the link to the engine
	runs   []string // RUNs written, by txn
	waits  []string // FEEDs and SKIPs written
	tries  map[string]*try
	faults []string
	asked  int
	dead   bool // killed: nothing that it does is seen
}

// try is what the test knows of a try; it is the Reply of its request.
type try struct {
	b       *bench
	txn     string
	unique  string
	door    time.Duration
	due     time.Duration
	started bool
	over    bool
	answers []Answer
}

func (t *try) Answer(a Answer) {
	if t.b.dead {
		return
	}
	a.Body = slices.Clone(a.Body)
	if t.answers = append(t.answers, a); len(t.answers) > 1 {
		t.b.faults = append(t.b.faults, t.txn+" is answered twice")
	}
	for _, other := range t.b.tries {
		if a.Kind == Refused && other.started && t.unique != "" && other.unique == t.unique && t.door < other.door+window {
			t.b.faults = append(t.b.faults, t.txn+" is refused though its request ran")
		}
	}
	if late := t.b.clock.Now() - t.due; late > 60*ms {
		t.b.faults = append(t.b.faults, fmt.Sprintf("%s is answered %v late", t.txn, late))
	}
}

func (b *bench) AskGauges() bool { b.asked++; return b.up }

func (b *bench) Feed(txn string, reply []byte) bool {
	if b.up {
		b.waits = append(b.waits, "FEED "+txn+" "+string(reply))
	}
	return b.up
}

func (b *bench) Skip(txn string, notice int64) bool {
	if b.up {
		b.waits = append(b.waits, fmt.Sprint("SKIP ", txn, " ", notice))
	}
	return b.up
}

func (b *bench) Run(txn, class string, body []byte) bool {
	if !b.up {
		return false
	}
	b.runs = append(b.runs, txn)
	me := b.tries[txn]
	for _, other := range b.tries {
		if other != me && me.unique != "" && other.unique == me.unique && other.started && me.door < other.door+window {
			b.faults = append(b.faults, fmt.Sprintf("%s runs after %s", txn, other.txn))
		}
	}
	if me.started && me.unique != "" {
		b.faults = append(b.faults, txn+" is sent twice")
	}
	me.started = true
	return true
}

const window = 5 * time.Second

func newBench(t interface{ Fatal(...any) }) *bench {
	return newBenchBeside(t, &bench{clock: testkit.NewClock(), tries: map[string]*try{}}, false)
}

// newBenchBeside shares clock and tries with another one.
func newBenchBeside(t interface{ Fatal(...any) }, other *bench, replaceable bool) *bench {
	return newBenchOf(t, other, Config{Replaceable: replaceable}, func(*policy.Config) {})
}

// newBenchOf completes a configuration, of whose module's part the test edits what it wants.
func newBenchOf(t interface{ Fatal(...any) }, other *bench, c Config, edit func(*policy.Config)) *bench {
	b := &bench{clock: other.clock, tries: other.tries}
	cfg := policy.Config{Seed: 1, Cores: 2, MemoryKB: 10000, RunFactor: 8, KeyKB: 10, FallFactor: 6, AnswerSlack: 60 * ms,
		DrainGrace: time.Second, Signal: policy.RankFloor, MaxHoldOff: time.Second, Classes: []policy.Class{
			{Name: "read", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
			{Name: "save", Aim: time.Second, Deadline: 3 * time.Second, Worth: 4, Semantics: policy.Keyed, Window: window}}}
	edit(&cfg)
	c.Policy, c.Tenants, c.OnCores, c.ResultBytes = cfg, []string{"", "uni"}, 1, 64
	r, err := New(c, b.clock, b, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	b.Replica = r
	b.attach()
	return b
}

// attach takes up the link; all that was written may be lost.
func (b *bench) attach() { b.Attached(0, func() { b.up = true }) }

// arrive has a try read now that came to the machine a while ago; unique makes it a keyed one.
func (b *bench) arrive(unique string, ago, limit time.Duration) *try {
	t := &try{b: b, txn: fmt.Sprintf("%016x", len(b.tries)+1), unique: unique, door: b.clock.Now() - ago}
	t.due = max(t.door+limit, b.clock.Now())
	b.tries[t.txn] = t
	class, body := "read", t.txn
	if unique != "" {
		class, body = "save", "body of "+unique
	}
	if err := b.Arrive(Request{Txn: t.txn, Class: class, Body: []byte(body), KB: 10, Door: time.Unix(0, int64(t.door)),
		Limit: limit, Unique: unique, Reply: t}); err != nil {
		b.faults = append(b.faults, err.Error())
	}
	return t
}

// end has the engine end a run.
func (b *bench) end(txn string, end policy.Outcome) {
	b.tries[txn].over = true
	b.Done(txn, end, 50*ms, []byte("result of "+txn))
}

func (t *try) want(tt *testing.T, kind Kind, body string) {
	tt.Helper()
	if len(t.answers) != 1 || t.answers[0].Kind != kind || string(t.answers[0].Body) != body {
		tt.Errorf("%s: answers %+v, want one of kind %d with %q", t.txn, t.answers, kind, body)
	}
}

func TestRepeatsShareTheOneRun(t *testing.T) {
	b := newBench(t)
	first, second := b.arrive("k", 0, time.Second), b.arrive("k", 0, time.Second)
	b.end(first.txn, policy.Succeeded)
	third := b.arrive("k", 0, time.Second) // over already: its end is told to the module after Arrive returned
	for _, x := range []*try{first, second, third} {
		x.want(t, Served, "result of "+first.txn)
	}
	if len(b.runs) != 1 || len(b.live) != 0 {
		t.Errorf("runs %v, %d live", b.runs, len(b.live))
	}
}

func TestARunThatFailsFailsItsRepeats(t *testing.T) {
	b := newBench(t)
	first, second := b.arrive("k", 0, time.Second), b.arrive("k", 0, time.Second)
	b.Rejected(first.txn)
	for _, x := range []*try{first, second} {
		x.want(t, Failed, "")
	}
}

// A bad client used to be served the stored result of the request whose key it had taken, and one whose
// call the engine did not know used to fail the tries of the request that came after it.
func TestAKeyIsNoUseWithAnotherBody(t *testing.T) {
	b := newBench(t)
	stranger := func(txn string) error {
		return b.Arrive(Request{Txn: txn, Class: "save", Body: []byte("other"), KB: 10, Door: b.clock.Unix(), Limit: time.Second,
			Unique: "k", Reply: &try{b: b, txn: txn}})
	}
	first := b.arrive("k", 0, time.Second)
	if stranger("a") == nil {
		t.Error("another body joins the run")
	}
	b.end(first.txn, policy.Succeeded)
	if stranger("b") == nil {
		t.Error("another body gets the stored result")
	}
	b.arrive("k", 0, time.Second).want(t, Served, "result of "+first.txn)
	unknown := b.arrive("j", 0, time.Second)
	b.Rejected(unknown.txn) // it never ran: the next try under its key is new
	if len(b.keys.byName) != 1 {
		t.Errorf("%d entries kept, want that of k", len(b.keys.byName))
	}
	next := b.arrive("j", 0, time.Second)
	b.end(next.txn, policy.Succeeded)
	next.want(t, Served, "result of "+next.txn)
}

func TestTheWindowCountsFromTheDoorOfTheTryThatRan(t *testing.T) {
	b := newBench(t)
	first := b.arrive("k", 500*ms, 2*time.Second)
	b.end(first.txn, policy.Succeeded)
	b.clock.Advance(window - 501*ms)
	inside := b.arrive("k", 0, time.Second)
	b.clock.Advance(3 * time.Second)
	late := b.arrive("k", 3*time.Second, 4*time.Second) // came inside it, read long after
	outside := b.arrive("k", 0, time.Second)
	inside.want(t, Served, "result of "+first.txn)
	late.want(t, Served, "result of "+first.txn)
	if len(outside.answers) != 0 || len(b.runs) != 2 {
		t.Errorf("after the window: answers %+v, runs %v", outside.answers, b.runs)
	}
}

// An entry whose run never ends used to hold back all that were made after it, so the table grew for good.
func TestAKeyThatNeverEndsHoldsBackNoOther(t *testing.T) {
	b := newBench(t)
	stuck := b.arrive("stuck", 0, time.Second)
	for i := range 20 {
		b.end(b.arrive(fmt.Sprint("k", i), 0, time.Second).txn, policy.Succeeded)
	}
	b.clock.Advance(window + 10*time.Second)
	if len(b.keys.byName) != 1 || len(b.keys.order) != 1 {
		t.Errorf("%d entries and %d in order, want the one that runs", len(b.keys.byName), len(b.keys.order))
	}
	b.end(stuck.txn, policy.Succeeded)
	b.clock.Advance(2 * time.Second)
	if len(b.keys.byName)+len(b.keys.byHolder)+len(b.keys.order) != 0 {
		t.Error("an entry stays for good")
	}
}

func TestStoredResultsStayInTheirBound(t *testing.T) {
	b := newBench(t)
	for i := range 10 {
		b.end(b.arrive(fmt.Sprint("k", i), 0, time.Second).txn, policy.Succeeded)
	}
	if b.keys.bytes > 64 {
		t.Errorf("%d bytes of results kept, bound 64", b.keys.bytes)
	}
	b.arrive("k0", 0, time.Second).want(t, Failed, "") // ran, its result is gone: neither refused nor run again
}

func TestAFailedRunIsOnlyEndedByItsNotice(t *testing.T) {
	b := newBench(t)
	x := b.arrive("", 0, 300*ms)
	b.clock.Advance(time.Second)
	x.want(t, Failed, "")
	b.end(x.txn, policy.Succeeded)
	x.want(t, Failed, "")
	if len(b.live) != 0 {
		t.Error("still live")
	}
}

// Every run that was on used to be sent again after a break, later those of the last 150 ms. One whose end is told as
// it is sent would run twice, and one that stood in our buffers for longer than that was never run, and its place in the
// pool lost. Now what was written before since has reached the engine; the rest runs again only if that does no harm.
func TestAfterABreakOnlyWhatMayRunTwiceIsSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		unique string
		end    func(b *bench, x *try) // after the break
		sent   int
		kind   Kind
	}{
		"safe, lost with its link":    {"", func(b *bench, x *try) { b.end(x.txn, policy.Succeeded) }, 2, Served},
		"safe, told as missed":        {"", nil, 1, Served},
		"keyed, told as missed":       {"k", nil, 1, Served},
		"keyed, told after the break": {"k", func(b *bench, x *try) { b.end(x.txn, policy.Succeeded) }, 1, Served},
		"keyed, lost with its link":   {"k", func(b *bench, _ *try) { b.clock.Advance(2 * time.Second) }, 1, Failed},
		"keyed, lost, two breaks": {"k", func(b *bench, _ *try) {
			b.up = false
			b.attach()
			b.clock.Advance(2 * time.Second)
		}, 1, Failed},
		"keyed, lost, answered before the link is back": {"k", func(b *bench, _ *try) {
			b.clock.Advance(2 * time.Second)
			b.attach()
		}, 1, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			reached := b.arrive(c.unique, 0, 2*time.Second)
			b.clock.Advance(200 * ms)
			x, since := b.arrive(c.unique+c.unique, 0, 2*time.Second), b.clock.Now()
			b.up = false
			waiting := b.arrive("w", 0, 2*time.Second) // decided to run while there was no link
			if c.end == nil {
				b.end(x.txn, policy.Succeeded)
			}
			if !strings.Contains(name, "before the link") {
				b.Attached(since, func() { b.up = true })
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
			if b.txns[x.txn] != nil { // its place in the pool is free
				t.Error("the run is never over")
			}
			if c.kind == Failed { // it may have run: neither refused nor run, and its end is dropped if it comes yet
				b.arrive(c.unique+c.unique, 0, 2*time.Second).want(t, Failed, "")
				b.end(x.txn, policy.Succeeded)
				if b.count.stray.Load() != 1 || b.count.doubted.Load() == 0 {
					t.Errorf("%d stray, %d in doubt", b.count.stray.Load(), b.count.doubted.Load())
				}
			}
		})
	}
}

// A RUN that could not be written as the link broke once more counted as written before the break.
func TestARunThatIsOwedToANewLinkIsNotForgotten(t *testing.T) {
	b := newBench(t)
	x := b.arrive("", 0, 2*time.Second)
	b.up = false
	b.Attached(b.clock.Now(), func() {}) // broken again before anything is written
	b.clock.Advance(50 * ms)
	b.Attached(b.clock.Now(), func() { b.up = true })
	if want := []string{x.txn, x.txn}; !slices.Equal(b.runs, want) {
		t.Errorf("runs %v, want %v", b.runs, want)
	}
}

// The module used to get the gauges of the tick before, which cost share on days with a lost node.
func TestATickGoesOnWithTheGaugesItAskedFor(t *testing.T) {
	b := newBench(t)
	b.clock.Advance(15 * ms)
	if b.asked != 1 || !b.asking {
		t.Fatalf("asked %d times, asking %v", b.asked, b.asking)
	}
	if b.Gauges([]float64{0, 3}); b.asking || b.gauges.OnCores != 3 {
		t.Errorf("still asking %v, gauges %+v", b.asking, b.gauges)
	}
	b.clock.Advance(15*ms + gaugeWait) // the second is not answered
	if b.gauges.Age < 15*ms {
		t.Errorf("gauges of the tick before have the age %v", b.gauges.Age)
	}
	if b.asked != 2 || b.asking {
		t.Errorf("asked %d times, asking %v: the tick waits for an answer that does not come", b.asked, b.asking)
	}
}

// The answer to a read used to be handed to others for as long as its caller could have waited and a second more, however
// short a time the settings give it.
func TestAReadIsSharedForAsLongAsTheSettingsSay(t *testing.T) {
	b := newBenchOf(t, &bench{clock: testkit.NewClock(), tries: map[string]*try{}}, Config{}, func(c *policy.Config) { c.ShareFor = 300 * ms })
	read := func() *try {
		x := &try{b: b, txn: fmt.Sprintf("%016x", len(b.tries)+1), door: b.clock.Now()}
		b.tries[x.txn] = x
		if err := b.Arrive(Request{Txn: x.txn, Class: "read", KB: 10, Door: b.clock.Unix(), Limit: 2 * time.Second, Item: "i", Reply: x}); err != nil {
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
	for _, x := range []*try{first, beside, fresh} {
		x.want(t, Served, "result of "+first.txn)
	}
	if len(stale.answers) != 0 || !slices.Equal(b.runs, []string{first.txn, stale.txn}) {
		t.Errorf("after its time: answers %+v, runs %v", stale.answers, b.runs)
	}
}

// Requests hold the settings' names, of which there is one each, and none where the settings have no tenants.
func TestRequestsHoldTheSettingsNames(t *testing.T) {
	b := newBench(t)
	for tenant, want := range map[string]string{"uni": b.cfg.Tenants[1], "": ""} {
		txn := fmt.Sprintf("%016x", len(b.tries)+1)
		b.tries[txn] = &try{b: b, txn: txn}
		if err := b.Arrive(Request{Txn: txn, Class: strings.Clone("read"), Tenant: strings.Clone(tenant), KB: 10, Door: b.clock.Unix(), Limit: time.Second, Reply: b.tries[txn]}); err != nil {
			t.Fatal(err)
		}
		q := b.txns[txn]
		if q.Tenant != want || unsafe.StringData(q.Class) != unsafe.StringData(b.cfg.Policy.Classes[0].Name) || want != "" && unsafe.StringData(q.Tenant) != unsafe.StringData(want) {
			t.Errorf("class %q, tenant %q are held as they came", q.Class, q.Tenant)
		}
	}
	b.cfg.Tenants = nil
	if err := b.Arrive(Request{Txn: "z", Class: "read", Tenant: "anybody", KB: 10, Door: b.clock.Unix(), Limit: time.Second, Reply: &try{b: b}}); err != nil || b.txns["z"].Tenant != "" {
		t.Errorf("error %v where there are no tenants", err)
	}
}

func TestBadRequestsAreTurnedDown(t *testing.T) {
	b := newBench(t)
	b.arrive("", 0, time.Second)
	now := b.clock.Unix()
	for name, q := range map[string]Request{
		"class":   {Txn: "a", Class: "other", Door: now},
		"key":     {Txn: "a", Class: "save", Door: now},
		"twice":   {Txn: fmt.Sprintf("%016x", 1), Class: "read", Door: now},
		"past":    {Txn: "a", Class: "read", Door: now.Add(-7 * time.Second)},
		"endless": {Txn: "a", Class: "read", Door: now, Limit: 7 * time.Second},
		"future":  {Txn: "a", Class: "read", Door: now.Add(time.Hour)},
		"tenant":  {Txn: "a", Class: "read", Tenant: "nobody", Door: now},
	} {
		if err := b.Arrive(q); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// TestRulesHoldOverRandomSteps plays routers and an engine whose link breaks, and checks the rules.
func TestRulesHoldOverRandomSteps(t *testing.T) {
	testkit.Steps(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		b, broken := newBench(rt), assert.Failures()
		drained := false
		return map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				unique := rapid.SampledFrom([]string{"", "", "a", "b", "c"}).Draw(rt, "unique")
				b.arrive(unique, time.Duration(rapid.IntRange(0, 400).Draw(rt, "ago"))*ms,
					time.Duration(rapid.IntRange(0, 3000).Draw(rt, "limit"))*ms)
			},
			"end": func(rt *rapid.T) {
				for _, txn := range b.runs {
					if !b.tries[txn].over && b.up {
						b.end(txn, rapid.SampledFrom([]policy.Outcome{policy.Succeeded, policy.Succeeded, policy.Failed, policy.Moot}).Draw(rt, "end"))
						return
					}
				}
			},
			"gauges": func(rt *rapid.T) { b.Gauges([]float64{0, rapid.Float64Range(0, 4).Draw(rt, "on_cores")}) },
			"break":  func(*rapid.T) { b.up = false },
			"attach": func(*rapid.T) { b.attach() },
			"wait":   func(rt *rapid.T) { b.clock.Advance(time.Duration(rapid.IntRange(1, 800).Draw(rt, "ms")) * ms) },
			"drain": func(rt *rapid.T) {
				if !drained && rapid.IntRange(0, 40).Draw(rt, "drain") == 0 {
					drained = true
					b.Drain(3 * time.Second)
				}
			},
			"": func(rt *rapid.T) {
				b.addUp(rt)
				for _, x := range b.tries {
					if len(x.answers) == 0 && b.clock.Now() > x.due+60*ms {
						b.faults = append(b.faults, x.txn+" has no answer")
					}
				}
				if len(b.faults) > 0 || assert.Failures() != broken {
					rt.Fatalf("faults %v, %d invariants broken", b.faults, assert.Failures()-broken)
				}
			},
		}
	})
}

// addUp checks that the figures add up to the requests taken, each counted once, and runs as often as RUN was first sent.
func (b *bench) addUp(t interface{ Fatalf(string, ...any) }) {
	f := b.Figures()
	sum, runs := f.Open, map[string]bool{}
	for _, c := range f.Classes {
		sum += c.Served + c.Refused + c.Failed
	}
	for _, txn := range b.runs {
		runs[txn] = true
	}
	if taken := b.count.read.Load(); sum != taken || f.Tries != int64(len(runs)) {
		t.Fatalf("figures %+v, %d requests taken, %d runs", f, taken, len(runs))
	}
}

func TestSettingsOfTheModuleAreChecked(t *testing.T) {
	if _, err := New(Config{}, testkit.NewClock(), nil, new(counters.Set)); err == nil {
		t.Error("no error without settings")
	}
}
