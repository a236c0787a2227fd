package shed

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestAllocateKeepsStatedShares checks that no tenant within its stated share is cut, that tenants with more load get what is left over, and that a
// smaller part reduces only that.
func TestAllocateKeepsStatedShares(t *testing.T) {
	r := Rules{Shares: map[string]float64{"a": 0.4, "b": 0.3, "c": 0.15}}
	for i, c := range []struct {
		a, b, c, part float64
		want          [3]float64
	}{
		{300, 200, 100, 1, [3]float64{300, 200, 100}},
		{300, 200, 900, 1, [3]float64{300, 200, 500}},       // the tenant with excess load gets what the others leave
		{300, 200, 900, 0.7, [3]float64{300, 200, 200}},     // a smaller part leaves less of it
		{300, 200, 900, 0.2, [3]float64{300, 200, 150}},     // never less than its share
		{900, 900, 900, 1, [3]float64{470.6, 352.9, 176.5}}, // the unassigned 150 are divided in the ratio of the shares
		{900, 900, 900, 0.5, [3]float64{400, 300, 150}},
	} {
		got := r.Allocate(map[string]float64{"a": c.a, "b": c.b, "c": c.c}, 1000, c.part)
		for j, n := range []string{"a", "b", "c"} {
			if math.Abs(got[n]-c.want[j]) > 0.1 {
				t.Errorf("case %d: %s gets %.1f, want %.1f", i, n, got[n], c.want[j])
			}
		}
	}
}

// TestSqueezeFollowsPressure checks that tenants get less beyond their shares while callers are asked to hold back much, and
// more again when that ends or when there are no valid sums.
func TestSqueezeFollowsPressure(t *testing.T) {
	over := func(level float64, age time.Duration) Sums {
		return healthySums(func(s *Sums) { s.Tenants, s.Level, s.Age = map[string]float64{"x": 300, "y": 800}, level, age })
	}
	s, now := new(Shedder), time.Duration(0)
	run := func(v Sums, d time.Duration) (a Advice) {
		for end := now + d; now < end; now += 250 * time.Millisecond {
			a = s.Advise(now, v, testRules, time.Second)
		}
		return a
	}
	withoutPressure := run(over(0, 0), time.Second).Tenants["y"]
	underPressure := run(over(0.5, 0), 4*time.Second)
	if underPressure.Tenants["y"] < withoutPressure+0.1 || underPressure.Tenants["x"] != 0 || underPressure.MeanHoldBack != 0.5 {
		t.Errorf("without pressure %v of the load beyond the share is shed; under pressure %+v", withoutPressure, underPressure)
	}
	if a := run(over(0, 0), time.Minute); math.Abs(a.Tenants["y"]-withoutPressure) > 0.01 {
		t.Errorf("after the pressure %v is shed", a.Tenants["y"])
	}
	run(over(0.9, 0), 10*time.Second)
	run(over(0.9, 10*time.Second), time.Minute)
	if s.squeeze > 0 {
		t.Errorf("no valid sums for a minute, but squeeze is still %v", s.squeeze)
	}
}

// TestLevelFollowsLeader checks that a box follows the leader's level: at once after its start, and otherwise with the minimum time
// between changes that applies to its own decisions.
func TestLevelFollowsLeader(t *testing.T) {
	testkit.CheckProperty(t, 200, func(t *rapid.T) {
		var s Shedder
		last, now := time.Duration(-time.Hour), time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(100, 2000).Draw(t, "step")) * time.Millisecond
			v := healthySums(func(s *Sums) {
				s.IsLeader, s.LeaderLevel = rapid.IntRange(0, 9).Draw(t, "leader") == 0, rapid.IntRange(0, 9).Draw(t, "leader level")
				if rapid.IntRange(0, 5).Draw(t, "outdated sums") == 0 {
					s.Age = time.Minute
				}
			})
			was := s.Level()
			a := s.Advise(now, v, testRules, time.Second)
			if a.Level == was {
				continue
			}
			if a.Level < 0 || a.Level >= len(testRules.Order) || now-last < minLevelInterval {
				t.Fatalf("level changed from %d to %d, %v after the previous change", was, a.Level, now-last)
			}
			last = now
		}
	})
	var fresh Shedder
	if a := fresh.Advise(time.Hour, healthySums(func(s *Sums) { s.IsLeader, s.LeaderLevel = false, 2 }), testRules, time.Second); a.Level != 2 || !a.LowClasses[0] || !a.LowClasses[1] || a.LowClasses[2] {
		t.Errorf("a box after its start has advice %+v", a)
	}
}

// TestAdviceForRequests checks the probabilities, and that an advice without trust has no effect.
func TestAdviceForRequests(t *testing.T) {
	a := Advice{Version: 7, Trust: 1, Tenants: map[string]float64{"x": 0.3}, LowClasses: []bool{true, false}, Further: 0.6, GiveUp: true, RetryWindow: [2]time.Duration{time.Second, 3 * time.Second}}
	r := rand.New(rand.NewPCG(1, 1))
	const n = 20000
	var over, low, overBudget int
	for range n {
		x := a.ForRequest("x", 1, true, r.Float64)
		if x.Order == OverShare {
			over++
		}
		if x.OverBudget {
			overBudget++
		}
		if a.ForRequest("y", 0, false, r.Float64).Order == LowClass {
			low++
		}
		if x.Version != 7 || !x.RetryValid || !x.FleetFull || x.RetryAfter < time.Second || x.RetryAfter > 3*time.Second {
			t.Fatalf("%+v", x)
		}
	}
	if math.Abs(float64(over)/n-0.3) > 0.02 || low != n || math.Abs(float64(overBudget)/n-0.6) > 0.02 {
		t.Errorf("of %d requests: %d over share, %d low class, %d over budget", n, over, low, overBudget)
	}
	if advice := a.ForRequest("y", 1, false, r.Float64); advice.Order != Ordinary || advice.OverBudget {
		t.Errorf("%+v", advice)
	}
	half := a
	half.Trust = 0.5
	if advice := half.ForRequest("x", 1, false, r.Float64); advice.RetryValid || advice.FleetFull || advice.RetryAfter != 0 {
		t.Errorf("advice with trust 0.5: %+v", advice)
	}
	if advice := (&Advice{Version: 7, Tenants: a.Tenants, LowClasses: a.LowClasses, Further: 1, GiveUp: true}).ForRequest("x", 0, true, r.Float64); advice != (RequestAdvice{Version: 7}) {
		t.Errorf("advice without trust: %+v", advice)
	}
}

// TestOrderByWorthPerTargetTime checks the order by worth per target time, and the order of the settings for equal ones.
func TestOrderByWorthPerTargetTime(t *testing.T) {
	worth, target := []float64{1, 1, 2, 4, 1}, []time.Duration{1300, 2200, 2200, 1300, 2200}
	got := SheddingOrder(len(worth), func(i int) float64 { return worth[i] }, func(i int) time.Duration { return target[i] * time.Millisecond })
	if want := []int{1, 4, 0, 2, 3}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestCallerComplianceDetectsNoncompliance checks that a caller that sends ranks below the floor is detected, that a complying one is not, and that detection ends.
func TestCallerComplianceDetectsNoncompliance(t *testing.T) {
	testkit.CheckProperty(t, 100, func(t *rapid.T) {
		var m CallerCompliance
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		floor, knownFloor := 0.4, 0.4 // the current floor, and the one that the complying caller received last
		var falsePositives, found, checked int
		now := time.Duration(0)
		for i := range 3000 {
			now += 20 * time.Millisecond
			if i%10 == 0 {
				knownFloor = floor
				floor = min(0.9, max(0, floor+rapid.Float64Range(-0.15, 0.15).Draw(t, "floor")))
			}
			m.SetFloor(now, floor)
			if rank := r.Float64(); rank >= knownFloor && m.Observe(1, rank) {
				falsePositives++
			}
			if noncompliant := m.Observe(2, r.Float64()); i > 500 && floor > 0.3 {
				checked++
				if noncompliant {
					found++
				}
			}
		}
		if falsePositives > 0 || checked > 100 && found < checked/2 {
			t.Fatalf("the complying caller was detected %d times, the noncompliant one %d of %d times", falsePositives, found, checked)
		}
		for range 200 {
			now += 20 * time.Millisecond
			m.SetFloor(now, 0.5)
			m.Observe(2, 0.5+r.Float64()/2)
		}
		if m.Observe(2, 0.99) {
			t.Fatal("a caller that complies again still counts as noncompliant")
		}
	})
	var m CallerCompliance
	m.SetFloor(time.Second, 0.8)
	m.SetFloor(2*time.Second, 0.8)
	for i := range 3 * maxCallers {
		m.Observe(i, 0)
	}
	if len(m.callers) > maxCallers {
		t.Errorf("%d callers are stored, above the limit", len(m.callers))
	}
}
