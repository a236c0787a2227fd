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

// TestPartsKeepStatedShares: nobody within its stated share is cut, what is left over goes to who asks for more, and what is squeezed out
// comes off that alone.
func TestPartsKeepStatedShares(t *testing.T) {
	r := Rules{Shares: map[string]float64{"a": 0.4, "b": 0.3, "c": 0.15}}
	for i, c := range []struct {
		a, b, c, part float64
		want          [3]float64
	}{
		{300, 200, 100, 1, [3]float64{300, 200, 100}},
		{300, 200, 900, 1, [3]float64{300, 200, 500}},       // the hot one has what the others leave
		{300, 200, 900, 0.7, [3]float64{300, 200, 200}},     // less of it
		{300, 200, 900, 0.2, [3]float64{300, 200, 150}},     // never less than its share
		{900, 900, 900, 1, [3]float64{470.6, 352.9, 176.5}}, // 150 that nobody has a share of, by the ratio of the shares
		{900, 900, 900, 0.5, [3]float64{400, 300, 150}},
	} {
		got := r.Parts(map[string]float64{"a": c.a, "b": c.b, "c": c.c}, 1000, c.part)
		for j, n := range []string{"a", "b", "c"} {
			if math.Abs(got[n]-c.want[j]) > 0.1 {
				t.Errorf("%d: %s gets %.1f, not %.1f", i, n, got[n], c.want[j])
			}
		}
	}
}

// TestCallersAreNotKeptBackForWhatIsOverAShare: while they are asked to hold back much, what tenants get beyond their shares shrinks, and
// it comes back with the calm or when nothing is known any more.
func TestCallersAreNotKeptBackForWhatIsOverAShare(t *testing.T) {
	over := func(level float64, age time.Duration) Sums {
		return sums(func(s *Sums) { s.Tenants, s.Level, s.Age = map[string]float64{"x": 300, "y": 800}, level, age })
	}
	s, now := new(Shedder), time.Duration(0)
	run := func(v Sums, d time.Duration) (a Advice) {
		for end := now + d; now < end; now += 250 * time.Millisecond {
			a = s.Advise(now, v, rules, time.Second)
		}
		return a
	}
	calmly := run(over(0, 0), time.Second).Tenants["y"]
	pressed := run(over(0.5, 0), 4*time.Second)
	if pressed.Tenants["y"] < calmly+0.1 || pressed.Tenants["x"] != 0 || pressed.Mean != 0.5 {
		t.Errorf("in calm %v of what is over the share is shed; under pressure %+v", calmly, pressed)
	}
	if a := run(over(0, 0), time.Minute); math.Abs(a.Tenants["y"]-calmly) > 0.01 {
		t.Errorf("afterwards %v is shed", a.Tenants["y"])
	}
	run(over(0.9, 0), 10*time.Second)
	run(over(0.9, 10*time.Second), time.Minute)
	if s.squeeze > 0 {
		t.Errorf("nothing is known for a minute, and %v is still squeezed out", s.squeeze)
	}
}

// TestOneLevelForTheFleet: a box goes by the level of who leads, at once when it has just come, and else with as long between two changes
// as there would be if it decided by itself.
func TestOneLevelForTheFleet(t *testing.T) {
	testkit.Check(t, 200, func(t *rapid.T) {
		var s Shedder
		last, now := time.Duration(-time.Hour), time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(100, 2000).Draw(t, "step")) * time.Millisecond
			v := sums(func(s *Sums) {
				s.Lead, s.Shed = rapid.IntRange(0, 9).Draw(t, "lead") == 0, rapid.IntRange(0, 9).Draw(t, "shed")
				if rapid.IntRange(0, 5).Draw(t, "old") == 0 {
					s.Age = time.Minute
				}
			})
			was := s.Level()
			a := s.Advise(now, v, rules, time.Second)
			if a.Level == was {
				continue
			}
			if a.Level < 0 || a.Level >= len(rules.Order) || now-last < changeEach {
				t.Fatalf("from %d to %d, %v after the change before", was, a.Level, now-last)
			}
			last = now
		}
	})
	var fresh Shedder
	if a := fresh.Advise(time.Hour, sums(func(s *Sums) { s.Lead, s.Shed = false, 2 }), rules, time.Second); a.Level != 2 || !a.Low[0] || !a.Low[1] || a.Low[2] {
		t.Errorf("a box that has just come goes by %+v", a)
	}
}

// TestWordsOfAnAdvice: chances are kept, and an advice that is not trusted says nothing.
func TestWordsOfAnAdvice(t *testing.T) {
	a := Advice{Version: 7, Trust: 1, Tenants: map[string]float64{"x": 0.3}, Low: []bool{true, false}, Further: 0.6, GiveUp: true, Later: [2]time.Duration{time.Second, 3 * time.Second}}
	r := rand.New(rand.NewPCG(1, 1))
	const n = 20000
	var over, low, beyond int
	for range n {
		x := a.For("x", 1, true, r.Float64)
		if x.Order == OverShare {
			over++
		}
		if x.Beyond {
			beyond++
		}
		if a.For("y", 0, false, r.Float64).Order == LowClass {
			low++
		}
		if x.Version != 7 || !x.Known || !x.Full || x.Return < time.Second || x.Return > 3*time.Second {
			t.Fatalf("%+v", x)
		}
	}
	if math.Abs(float64(over)/n-0.3) > 0.02 || low != n || math.Abs(float64(beyond)/n-0.6) > 0.02 {
		t.Errorf("of %d: %d over, %d low, %d beyond", n, over, low, beyond)
	}
	if w := a.For("y", 1, false, r.Float64); w.Order != Ordinary || w.Beyond {
		t.Errorf("%+v", w)
	}
	half := a
	half.Trust = 0.5
	if w := half.For("x", 1, false, r.Float64); w.Known || w.Full || w.Return != 0 {
		t.Errorf("half trusted: %+v", w)
	}
	if w := (&Advice{Version: 7, Tenants: a.Tenants, Low: a.Low, Further: 1, GiveUp: true}).For("x", 0, true, r.Float64); w != (Word{Version: 7}) {
		t.Errorf("not trusted: %+v", w)
	}
}

// TestTheOrderOfClasses: the least worth for its aim first, the first of the settings where two are alike.
func TestTheOrderOfClasses(t *testing.T) {
	worth, aim := []float64{1, 1, 2, 4, 1}, []time.Duration{1300, 2200, 2200, 1300, 2200}
	got := Order(len(worth), func(i int) float64 { return worth[i] }, func(i int) time.Duration { return aim[i] * time.Millisecond })
	if want := []int{1, 4, 0, 2, 3}; !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}

// TestManners: who sends what it was asked to hold back is found, who does not is not, whatever the floors; and who comes round is forgiven.
func TestManners(t *testing.T) {
	testkit.Check(t, 100, func(t *rapid.T) {
		var m Manners
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		floor, told := 0.4, 0.4 // what is told, and what the polite one heard last
		var wrongly, found, asked int
		now := time.Duration(0)
		for i := range 3000 {
			now += 20 * time.Millisecond
			if i%10 == 0 {
				told = floor
				floor = min(0.9, max(0, floor+rapid.Float64Range(-0.15, 0.15).Draw(t, "floor")))
			}
			m.Told(now, floor)
			if rank := r.Float64(); rank >= told && m.Saw(1, rank) {
				wrongly++
			}
			if rude := m.Saw(2, r.Float64()); i > 500 && floor > 0.3 {
				asked++
				if rude {
					found++
				}
			}
		}
		if wrongly > 0 || asked > 100 && found < asked/2 {
			t.Fatalf("a polite caller was taken for a rude one %d times, a rude one was found %d of %d times", wrongly, found, asked)
		}
		for range 200 {
			now += 20 * time.Millisecond
			m.Told(now, 0.5)
			m.Saw(2, 0.5+r.Float64()/2)
		}
		if m.Saw(2, 0.99) {
			t.Fatal("one that does as it is told again is not forgiven")
		}
	})
	var m Manners
	m.Told(time.Second, 0.8)
	m.Told(2*time.Second, 0.8)
	for i := range 3 * callersMost {
		m.Saw(i, 0)
	}
	if len(m.callers) > callersMost {
		t.Errorf("%d callers are kept", len(m.callers))
	}
}
