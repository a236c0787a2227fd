package model

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

const ms = time.Millisecond

// TestCoresConserveWork checks that no job gets more than one core and that all jobs complete, no earlier than the cores can do their work.
func TestCoresConserveWork(t *testing.T) {
	testkit.CheckProperty(t, 200, func(t *rapid.T) {
		m := Machine{Cores: rapid.IntRange(1, 8).Draw(t, "cores"), ThrashAt: 1e9, Thrash: 1}
		c := NewCores(0, m, false)
		n := rapid.IntRange(1, 30).Draw(t, "jobs")
		var now, all, last time.Duration
		left := n
		for range n {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * ms
			work := time.Duration(rapid.IntRange(1, 100).Draw(t, "work")) * ms
			all += work
			began := now
			c.Add(now, work, func() {
				left--
				last = c.advancedTo
				if took := c.advancedTo - began; took < work-ms {
					t.Fatalf("job with %v of work took only %v", work, took)
				}
			})
		}
		for left > 0 {
			at, ok := c.Next()
			if !ok {
				t.Fatalf("%d jobs are not done and the cores are empty", left)
			}
			now = max(now, at)
			c.Advance(now)
		}
		if least := all / time.Duration(m.Cores); last < least-ms {
			t.Fatalf("%v of work on %d cores was done after only %v", all, m.Cores, last)
		}
	})
}

// TestCoresSlowDown checks the speed of the cores with few and many jobs, under a slow fault and after a cold start.
func TestCoresSlowDown(t *testing.T) {
	m := Machine{Cores: 2, ThrashAt: 2, Thrash: 0.5, ColdFrom: 0.25, ColdFor: 10 * time.Second}
	for name, c := range map[string]struct {
		cold  bool
		speed float64
		jobs  int
		want  time.Duration // completion time of jobs of 1 s
	}{"one job": {false, 1, 1, time.Second}, "two jobs": {false, 1, 2, time.Second}, "four jobs": {false, 1, 4, 2 * time.Second}, "eight jobs, above ThrashAt": {false, 1, 8, 4 * time.Second * 4 / 3},
		"slow": {false, 0.125, 1, 8 * time.Second}, "cold": {true, 1, 1, 2720 * ms}} {
		cores := NewCores(0, m, c.cold)
		cores.SetSpeed(0, c.speed)
		var ended time.Duration
		for range c.jobs {
			cores.Add(0, time.Second, func() { ended = cores.advancedTo })
		}
		for cores.JobCount() > 0 {
			at, _ := cores.Next()
			cores.Advance(at)
		}
		if math.Abs(float64(ended-c.want)) > 0.05*float64(c.want) {
			t.Errorf("%s: took %v, want %v", name, ended, c.want)
		}
	}
}

// TestDrawIsReproducibleAndMatchesLoad checks that a seed repeats its requests, and that load, mean work, bursts and the hot tenant's part are
// as configured.
func TestDrawIsReproducibleAndMatchesLoad(t *testing.T) {
	s := exampleSite(1)
	l := Load{Seed: 3, LoadFactor: 1.1, Boxes: 8, Routers: 5, Span: 60 * time.Second, HotTenant: 2, HotFactor: 3}
	a, b := s.DrawRequests(l), s.DrawRequests(l)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("the same seed gives different requests")
	}
	want := 1.1 * s.Capacity(8) * 60
	if math.Abs(float64(len(a))-want) > 0.06*want {
		t.Errorf("%d requests, want about %.0f", len(a), want)
	}
	var work time.Duration
	hot, classes := 0, make([]int, len(s.Classes))
	for i, q := range a {
		work += q.Work
		classes[q.Class]++
		if q.Tenant == 2 {
			hot++
		}
		if q.N != i || q.Rank < 0 || q.Rank >= 1 || s.Classes[q.Class].Worth == 4 && q.Rank < 0.91 {
			t.Fatalf("request %d has a wrong number or rank: %+v", i, q)
		}
	}
	if mean := work / time.Duration(len(a)); math.Abs(float64(mean-s.MeanWork())) > 0.05*float64(s.MeanWork()) {
		t.Errorf("mean work %v, want about %v", mean, s.MeanWork())
	}
	if share := float64(hot) / float64(len(a)); math.Abs(share-0.6/1.4) > 0.03 {
		t.Errorf("the hot tenant has %.2f of the requests, want about %.2f", share, 0.6/1.4)
	}
	l.Bursts = []Burst{{20 * time.Second, 10 * time.Second, 2}}
	if n := len(s.DrawRequests(l)); math.Abs(float64(n)-want*70/60) > 0.08*want {
		t.Errorf("%d requests with a burst, want about %.0f", n, want*70/60)
	}
}

// TestEvaluateDiscountsTrafficOverShare checks that traffic over a tenant's share counts a tenth, per second over the whole fleet, that late
// answers count with the class's factor and those after the deadline nothing, and the recovery time.
func TestEvaluateDiscountsTrafficOverShare(t *testing.T) {
	s := exampleSite(1)
	s.Tenants = []Tenant{{"a", 0.5}, {"b", 0.5}}
	l := Load{Boxes: 8, Span: time.Second}
	allowed := int(s.Capacity(8) * s.Quota * 0.5)
	var fates []RequestOutcome
	add := func(n, tenant int, served bool, took time.Duration) {
		for range n {
			fates = append(fates, RequestOutcome{Request: Request{N: len(fates), Tenant: tenant, Class: 1}, Served: served, Latency: took, Attempts: 1})
		}
	}
	add(2*allowed, 0, true, ms)
	if w := s.Evaluate(l, fates); math.Abs(w.Offered-1.1*float64(allowed)) > 1 || math.Abs(w.Ratio()-1) > 1e-9 || w.ShareError != 0 {
		t.Errorf("with all requests served: %+v", w)
	}
	add(allowed, 1, false, ms)
	if w := s.Evaluate(l, fates); math.Abs(w.Ratio()-1.1/2.1) > 0.01 || w.ShareError < 0.49 {
		t.Errorf("with one tenant served and the other one not: ratio %v, share error %v", w.Ratio(), w.ShareError)
	}
	fates = nil
	add(10, 0, true, s.Classes[1].Aim+ms)
	add(10, 1, true, s.Classes[1].Deadline+ms)
	if w := s.Evaluate(l, fates); math.Abs(w.Earned-2) > 1e-9 {
		t.Errorf("late answers are worth %v of %v, want 2", w.Earned, w.Offered)
	}
	w := Score{RatioBySecond: []float64{1, 1, 1, 0.2, 0.2, 0.5, 0.95, 1, 1}}
	if got := w.RecoveryTime(3*time.Second, 4*time.Second, 0.9); got != 2*time.Second {
		t.Errorf("recovery time %v, want 2s", got)
	}
}

// TestRouterCompliesWithHints checks what a router picks and whether it retries after each kind of hint, for each way of picking a box.
func TestRouterCompliesWithHints(t *testing.T) {
	compliant := RouterBehavior{MaxAttempts: 3, FollowsRetryAfter: true, FollowsDoNotRetry: true, FollowsSignal: true}
	for name, c := range map[string]struct {
		behavior RouterBehavior
		hints    Hints
		rank     float64
		after    time.Duration
		picks    bool
		again    bool
	}{
		"no hints":                          {compliant, Hints{}, 0.1, 0, true, true},
		"within the retry-after delay":      {compliant, Hints{RetryAfter: 100 * ms}, 0.1, 50 * ms, false, true},
		"after the retry-after delay":       {compliant, Hints{RetryAfter: 100 * ms}, 0.1, 150 * ms, true, true},
		"do not retry":                      {compliant, Hints{DoNotRetry: true}, 0.1, 0, true, false},
		"rank below the published value":    {compliant, Hints{Signal: 0.5, HasSignal: true}, 0.1, 0, false, true},
		"rank above the published value":    {compliant, Hints{Signal: 0.5, HasSignal: true}, 0.6, 0, true, true},
		"published value has expired":       {compliant, Hints{Signal: 0.5, HasSignal: true}, 0.1, 2 * time.Second, true, true},
		"router that complies with no hint": {RouterBehavior{}, Hints{RetryAfter: time.Hour, DoNotRetry: true, Signal: 1, HasSignal: true}, 0, 0, true, true},
	} {
		for choice := range choiceCount {
			h := c.behavior
			h.Choice = choice
			r := NewRouter(h, time.Second, stream(1, 1))
			r.SetBoxes([]int{7, 8})
			r.Sent(7)
			r.HandleAnswer(time.Hour, 7, c.hints)
			box, ok := r.Pick(time.Hour+c.after, Request{Rank: c.rank}, []int{8})
			if ok != c.picks || ok && box != 7 || r.ShouldRetry(1, c.hints) != c.again {
				t.Errorf("%s, choice %d: picks box %d, %v; retries %v", name, choice, box, ok, r.ShouldRetry(1, c.hints))
			}
		}
	}
}

// TestSimulateIsDeterministicUnderAllFaults simulates a scenario with the faults of all fault cases twice and checks that the results are equal and no
// invariant is violated.
func TestSimulateIsDeterministicUnderAllFaults(t *testing.T) {
	for _, m := range []Mode{Alone, Fleet, Disconnected} {
		d := Case{"all", 1.2, func(d *Scenario) {
			for _, c := range FaultCases {
				c.AddFaults(d)
			}
			d.OneRouter = false
		}}.Scenario(exampleSite(1), 8, 30*time.Second, 5, m)
		a, b := Simulate(d), Simulate(d)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%s: two simulations of the same scenario differ: %v and %v", m, a.Ratio(), b.Ratio())
		}
		if a.Lost+a.AnsweredTwice+a.DoubleRuns+len(a.Violations) > 0 || a.MaxLevelChanges > 1 || a.Requests < 1000 {
			t.Errorf("%s: %d lost, %d answered twice, %d double runs, %d level changes, %d requests, violations %v", m, a.Lost, a.AnsweredTwice, a.DoubleRuns, a.MaxLevelChanges, a.Requests, a.Violations)
		}
	}
}

// TestFleetOutperformsBoxesAlone checks that boxes that shed as a fleet gain over boxes alone under overload, and that a fleet whose boxes cannot
// exchange messages is not worse than boxes alone.
func TestFleetOutperformsBoxesAlone(t *testing.T) {
	rows := Sweep{Site: exampleSite(1), Boxes: 8, Seeds: 5, FirstSeed: 1, Span: 35 * time.Second, Cases: append(slices.Clone(FaultFreeCases), FaultCases[len(FaultCases)-1])}.Run(nil)
	for _, r := range rows {
		gain, _ := r.Gain(Fleet, Alone)
		if r.LoadFactor > 1 && gain < 0.03 || gain < -0.02 {
			t.Errorf("%s: the gain of the fleet is %.3f", r.Name, gain)
		}
		if cut, _ := r.Gain(Disconnected, Alone); cut < -0.01 {
			t.Errorf("%s: the gain of a fleet without messages is %v", r.Name, cut)
		}
		if admitted := r.Mean(Fleet, admittedRetriesPerRequest); admitted > 0.12 {
			t.Errorf("%s: %.3f admitted retries per request", r.Name, admitted)
		}
	}
	var out bytes.Buffer
	WriteTable(&out, rows)
	if n := strings.Count(out.String(), "\n"); n != 1+len(rows) {
		t.Errorf("the table has %d lines, want %d:\n%s", n, 1+len(rows), out.String())
	}
}

// TestMissedListsEachBound checks that good figures miss no bound and that each bad one is listed.
func TestMissedListsEachBound(t *testing.T) {
	good := func() Figures {
		return Figures{GainLowerBounds: map[string]float64{"110%": 0.04, "150%": 0.1}, SteadyRatios: map[string][3]float64{}}
	}
	if list := good().Missed(); len(list) > 0 {
		t.Errorf("good figures miss %v", list)
	}
	for name, change := range map[string]func(*Figures){"lost": func(f *Figures) { f.Lost = 1 }, "twice": func(f *Figures) { f.AnsweredTwice = 1 }, "double": func(f *Figures) { f.DoubleRuns = 1 }, "level": func(f *Figures) { f.MaxLevelChanges = 2 },
		"cut": func(f *Figures) { f.MinGainDisconnected = -0.02 }, "hard": func(f *Figures) { f.MinGainWithFaults = -0.1 }, "110": func(f *Figures) { f.GainLowerBounds["110%"] = 0.02 }, "150": func(f *Figures) { f.GainLowerBounds["150%"] = 0 }} {
		f := good()
		if change(&f); !strings.Contains(strings.Join(f.Missed(), " "), name) {
			t.Errorf("%s is not listed among the missed bounds %v", name, f.Missed())
		}
	}
	if mean, half := Interval([]float64{1, 2, 3}); mean != 2 || math.Abs(half-2.48) > 0.01 {
		t.Errorf("interval %v ± %v, want 2 ± 2.48", mean, half)
	}
}
