package shed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

var testRules = Rules{Version: 7, Order: []int{0, 1, 2}}

// healthySums returns the sums of a healthy fleet of ten boxes with a capacity of 1,000 requests per second, adjusted by change.
func healthySums(change func(*Sums)) Sums {
	s := Sums{Boxes: 10, Known: 10, IsLeader: true, Capacity: 1000, Free: 200, First: 750, Further: 50, Classes: []float64{200, 200, 400}, Tenants: map[string]float64{"x": 400, "y": 400}}
	if change != nil {
		change(&s)
	}
	return s
}

// TestTrust checks that fresh sums of most boxes have weight, old ones or those of few boxes have none, and that it is continuous in between.
func TestTrust(t *testing.T) {
	for i, c := range []struct {
		change func(*Sums)
		want   float64
	}{
		{nil, 1}, {func(s *Sums) { s.Age = freshAge }, 1}, {func(s *Sums) { s.Age = 2 * time.Second }, 0.5}, {func(s *Sums) { s.Age = maxAge }, 0},
		{func(s *Sums) { s.Boxes = 5 }, 0}, {func(s *Sums) { s.Boxes = 1 }, 0}, {func(s *Sums) { s.Known = 1 }, 0}, {func(s *Sums) { s.Known, s.Boxes = MaxFleetSize, MaxFleetSize }, 1}, {func(s *Sums) { s.Known, s.Boxes = MaxFleetSize+1, MaxFleetSize+1 }, 0}, {func(s *Sums) { s.Capacity = 0 }, 0},
	} {
		if got := Trust(healthySums(c.change)); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("case %d: got %v, want %v", i, got, c.want)
		}
	}
	if a := new(Shedder).Advise(0, healthySums(func(s *Sums) { s.Age = time.Minute; s.Further = 900; s.Tenants["x"] = 9000 }), testRules, time.Second); a.Trust != 0 || a.Tenants != nil || a.Further != 0 || a.GiveUp || a.RetryWindow[1] != 0 {
		t.Errorf("outdated sums have an effect: %+v", a)
	}
}

// TestShedLoadEqualsExcess checks it to 5%, however a tenant's requests are spread over boxes, and that no tenant within its share is shed.
func TestShedLoadEqualsExcess(t *testing.T) {
	testkit.CheckProperty(t, 200, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "tenants")
		capacity := rapid.Float64Range(100, 10000).Draw(t, "capacity")
		s := Sums{Boxes: 10, Known: 10, IsLeader: true, Capacity: capacity, Tenants: map[string]float64{}}
		at := map[string][]float64{} // offered load by box
		total := 0.0
		for i := range n {
			name := fmt.Sprint(i)
			for range 10 {
				o := rapid.Float64Range(0, capacity/4).Draw(t, "offered")
				if rapid.IntRange(0, 3).Draw(t, "offers none") > 0 {
					o = 0 // the tenant's requests reach only a few boxes
				}
				at[name] = append(at[name], o)
				s.Tenants[name] += o
				total += o
			}
		}
		r := testRules
		if rapid.Bool().Draw(t, "stated shares") {
			r.Shares = map[string]float64{"0": 0.5, "1": 0.1}
		}
		a := new(Shedder).Advise(0, s, r, time.Second)
		excess, dropped := max(0, total-fullLoad*capacity), 0.0
		weight := r.weights(s.Tenants)
		for name, list := range at {
			for _, o := range list {
				dropped += o * a.Tenants[name]
			}
		}
		if math.Abs(dropped-excess) > 0.05*excess+1e-6 {
			t.Fatalf("all boxes shed %v, but the excess is %v", dropped, excess)
		}
		shares := r.Allocate(s.Tenants, capacity, fullLoad)
		even := map[string]float64{}
		for name := range s.Tenants {
			even[name] = capacity * weight(name)
		}
		for name, got := range shares {
			if got > s.Tenants[name]+1e-6 || got < 0 {
				t.Fatalf("%s gets %v of %v", name, got, s.Tenants[name])
			}
			if a.Tenants[name] > 0 && got < even[name]*0.98-1e-6 {
				t.Fatalf("%s is within its share with %v but is shed", name, got)
			}
		}
	})
}

// TestFurtherAttemptsStayWithinBudget also checks that a caller is advised to give up only when no other box has free capacity.
func TestFurtherAttemptsStayWithinBudget(t *testing.T) {
	for i, c := range []struct {
		change  func(*Sums)
		further float64
		giveUp  bool
	}{
		{nil, 0, false}, {func(s *Sums) { s.Further = 75 }, 0, false}, {func(s *Sums) { s.Further = 150 }, 0.5, false}, {func(s *Sums) { s.Further = 750 }, 0.9, false},
		{func(s *Sums) { s.Free = 0 }, 0, true}, {func(s *Sums) { s.Free = 21 }, 0, false}, {func(s *Sums) { s.Free, s.Age = 0, 1500*time.Millisecond }, 0, false},
		{func(s *Sums) { s.Further, s.Age = 150, 2*time.Second }, 0.25, false},
	} {
		a := new(Shedder).Advise(0, healthySums(c.change), testRules, time.Second)
		if math.Abs(a.Further-c.further) > 1e-9 || a.GiveUp != c.giveUp {
			t.Errorf("%d: %+v", i, a)
		}
		sums := healthySums(c.change)
		if got := sums.Further * (1 - a.Further); a.Trust == 1 && got > defaultRetryRatio*sums.First+1e-9 && a.Further > 0 {
			t.Errorf("case %d: %v further attempts are admitted", i, got)
		}
	}
}

// TestRetryWindowMatchesFreeCapacity checks that retry delays match the free capacity and differ between callers.
func TestRetryWindowMatchesFreeCapacity(t *testing.T) {
	const maxDelay = 20 * time.Second
	for i, c := range []struct {
		change func(*Sums)
		until  time.Duration
	}{
		{nil, time.Second}, {func(s *Sums) { s.First, s.Free = 1500, 100 }, 5500 * time.Millisecond}, {func(s *Sums) { s.First, s.Free = 1500, 0 }, maxDelay}, {func(s *Sums) { s.First, s.Free = 9000, 1 }, maxDelay},
	} {
		a := new(Shedder).Advise(0, healthySums(c.change), testRules, maxDelay)
		if a.RetryWindow[1] != c.until || a.RetryDelay(0) == a.RetryDelay(1) || a.RetryDelay(-3) != a.RetryWindow[0] || a.RetryDelay(7) != a.RetryWindow[1] || a.RetryDelay(0.5) <= a.RetryDelay(0.2) {
			t.Errorf("%d: %v", i, a.RetryWindow)
		}
	}
}

// TestLevelChangesSeldom checks single steps, at least 10 s apart, up only after 2 s, and none for load waves of 15 to 30 s.
func TestLevelChangesSeldom(t *testing.T) {
	testkit.CheckProperty(t, 200, func(t *rapid.T) {
		s := new(Shedder)
		now, last, changes := time.Duration(0), time.Duration(-time.Hour), 0
		wave := time.Duration(rapid.IntRange(15, 30).Draw(t, "wave")) * time.Second
		low, high := rapid.Float64Range(300, 1300).Draw(t, "low"), rapid.Float64Range(900, 2000).Draw(t, "high")
		for now < 10*time.Minute {
			now += time.Duration(rapid.IntRange(100, 400).Draw(t, "step")) * time.Millisecond
			offered := low
			if now/wave%2 == 1 {
				offered = high
			}
			v := healthySums(func(s *Sums) { s.Classes = []float64{offered * 0.3, offered * 0.3, offered * 0.4} })
			before := s.Level()
			level := s.Advise(now, v, testRules, time.Second).Level
			if level == before {
				continue
			}
			if now-last < minLevelInterval || level-before > 1 || before-level > 1 || level < 0 || level > 2 {
				t.Fatalf("level changed from %d to %d, %v after the previous change", before, level, now-last)
			}
			last = now
			if changes++; changes > 4 { // the level may settle first, and must then not change
				t.Fatalf("the level follows waves of %v between %v and %v: at %v from %d to %d", wave, low, high, now, before, level)
			}
		}
	})
}

// TestLevelDecreases covers both low load and the absence of valid sums.
func TestLevelDecreases(t *testing.T) {
	for name, calm := range map[string]Sums{"low load": healthySums(func(s *Sums) { s.Classes = []float64{100, 100, 100} }), "no sums": {}} {
		s := new(Shedder)
		now := time.Duration(0)
		run := func(v Sums, d time.Duration) {
			for end := now + d; now < end; now += 250 * time.Millisecond {
				s.Advise(now, v, testRules, time.Second)
			}
		}
		run(healthySums(func(s *Sums) { s.Classes = []float64{600, 600, 700} }), time.Minute)
		if s.Level() != 2 {
			t.Errorf("%s: level %d at 190%%", name, s.Level())
		}
		run(calm, 2*time.Minute)
		if s.Level() != 0 {
			t.Errorf("%s: level %d after 2 min", name, s.Level())
		}
	}
}
