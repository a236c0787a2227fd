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

// TestPartsKeepStatedShares checks that no tenant within its stated share is cut, that tenants with more load get what is left over, and that a
// smaller part reduces only that.
func TestPartsKeepStatedShares(t *testing.T) {
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
	calmly := run(over(0, 0), time.Second).Tenants["y"]
	pressed := run(over(0.5, 0), 4*time.Second)
	if pressed.Tenants["y"] < calmly+0.1 || pressed.Tenants["x"] != 0 || pressed.MeanHoldBack != 0.5 {
		t.Errorf("without pressure %v of the load beyond the share is shed; under pressure %+v", calmly, pressed)
	}
	if a := run(over(0, 0), time.Minute); math.Abs(a.Tenants["y"]-calmly) > 0.01 {
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
				s.IsLeader, s.LeaderLevel = rapid.IntRange(0, 9).Draw(t, "lead") == 0, rapid.IntRange(0, 9).Draw(t, "shed")
				if rapid.IntRange(0, 5).Draw(t, "old") == 0 {
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
	var over, low, beyond int
	for range n {
		x := a.ForRequest("x", 1, true, r.Float64)
		if x.Order == OverShare {
			over++
		}
		if x.OverBudget {
			beyond++
		}
		if a.ForRequest("y", 0, false, r.Float64).Order == LowClass {
			low++
		}
		if x.Version != 7 || !x.RetryValid || !x.FleetFull || x.RetryAfter < time.Second || x.RetryAfter > 3*time.Second {
			t.Fatalf("%+v", x)
		}
	}
	if math.Abs(float64(over)/n-0.3) > 0.02 || low != n || math.Abs(float64(beyond)/n-0.6) > 0.02 {
		t.Errorf("of %d requests: %d over share, %d low class, %d beyond budget", n, over, low, beyond)
	}
	if w := a.ForRequest("y", 1, false, r.Float64); w.Order != Ordinary || w.OverBudget {
		t.Errorf("%+v", w)
	}
	half := a
	half.Trust = 0.5
	if w := half.ForRequest("x", 1, false, r.Float64); w.RetryValid || w.FleetFull || w.RetryAfter != 0 {
		t.Errorf("advice with trust 0.5: %+v", w)
	}
	if w := (&Advice{Version: 7, Tenants: a.Tenants, LowClasses: a.LowClasses, Further: 1, GiveUp: true}).ForRequest("x", 0, true, r.Float64); w != (RequestAdvice{Version: 7}) {
		t.Errorf("advice without trust: %+v", w)
	}
}

// TestOrderByWorthPerTargetTime checks the order by worth per target time, and the order of the settings for equal ones.
func TestOrderByWorthPerTargetTime(t *testing.T) {
	worth, aim := []float64{1, 1, 2, 4, 1}, []time.Duration{1300, 2200, 2200, 1300, 2200}
	got := SheddingOrder(len(worth), func(i int) float64 { return worth[i] }, func(i int) time.Duration { return aim[i] * time.Millisecond })
	if want := []int{1, 4, 0, 2, 3}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestMannersDetectsNoncompliance checks that a caller that sends ranks below the floor is detected, that a complying one is not, and that detection ends.
func TestMannersDetectsNoncompliance(t *testing.T) {
	testkit.CheckProperty(t, 100, func(t *rapid.T) {
		var m CallerCompliance
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		floor, told := 0.4, 0.4 // the current floor, and the one that the complying caller received last
		var falsePositives, found, asked int
		now := time.Duration(0)
		for i := range 3000 {
			now += 20 * time.Millisecond
			if i%10 == 0 {
				told = floor
				floor = min(0.9, max(0, floor+rapid.Float64Range(-0.15, 0.15).Draw(t, "floor")))
			}
			m.SetFloor(now, floor)
			if rank := r.Float64(); rank >= told && m.Observe(1, rank) {
				falsePositives++
			}
			if rude := m.Observe(2, r.Float64()); i > 500 && floor > 0.3 {
				asked++
				if rude {
					found++
				}
			}
		}
		if falsePositives > 0 || asked > 100 && found < asked/2 {
			t.Fatalf("the complying caller was detected %d times, the noncompliant one %d of %d times", falsePositives, found, asked)
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
