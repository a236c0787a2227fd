package view

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

func summary(seq uint64, capacity, offered float64) Summary {
	return Summary{Session: 1, Seq: seq, Capacity: capacity, Running: min(capacity, offered), First: offered, Classes: []float64{offered / 2, offered / 2}, Tenants: map[string]float64{"t": offered}}
}

// TestWhatIsLeftOut: what cannot be true, what comes late, and what an earlier incarnation said.
func TestWhatIsLeftOut(t *testing.T) {
	var v View
	many := map[string]float64{}
	for i := range TenantsMost + 1 {
		many[fmt.Sprint(i)] = 1
	}
	for name, c := range map[string]struct {
		s    Summary
		want bool
	}{
		"the next":          {Summary{Session: 5, Seq: 2}, true},
		"a new incarnation": {Summary{Session: 6, Seq: 1}, true},
		"again":             {Summary{Session: 5, Seq: 1}, false},
		"an earlier one":    {Summary{Session: 4, Seq: 9}, false},
		"below 0":           {Summary{Session: 7, Seq: 9, First: -1}, false},
		"no number":         {Summary{Session: 7, Seq: 9, Capacity: math.NaN()}, false},
		"no end":            {Summary{Session: 7, Seq: 9, Running: math.Inf(1)}, false},
		"a class below 0":   {Summary{Session: 7, Seq: 9, Classes: []float64{-1}}, false},
		"many classes":      {Summary{Session: 7, Seq: 9, Classes: make([]float64, ClassesMost+1)}, false},
		"many tenants":      {Summary{Session: 7, Seq: 9, Tenants: many}, false},
		"a long name":       {Summary{Session: 7, Seq: 9, Tenants: map[string]float64{string(make([]byte, nameMost+1)): 1}}, false},
	} {
		v = View{}
		if !v.Take(0, "a", Summary{Session: 5, Seq: 1}) {
			t.Fatal("the first one is left out")
		}
		if got := v.Take(time.Second, "a", c.s); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	v = View{}
	for i := range BoxesMost + 10 {
		v.Take(0, fmt.Sprint(i), summary(1, 1, 1))
	}
	if len(v.boxes) != BoxesMost {
		t.Errorf("%d boxes are kept", len(v.boxes))
	}
}

// TestSumsAgeAndForget: what a box has said counts in full, less and less, and not at all.
func TestSumsAgeAndForget(t *testing.T) {
	var v View
	for _, b := range []string{"a", "b", "c", "d"} {
		v.Take(0, b, summary(1, 100, 50))
	}
	for _, b := range []string{"a", "b", "c"} {
		for at := time.Duration(0); at < 4*time.Second; at += 250 * time.Millisecond {
			v.Take(at, b, summary(uint64(2+at/time.Millisecond), 100, 50))
		}
	}
	for at, want := range map[time.Duration]float64{3750 * time.Millisecond: 300, 4 * time.Second: 300} {
		if s := v.Sums(at, "a", 4); s.Capacity != want || s.Boxes != 3 || s.Free != 100 || s.First != want/2 || s.Classes[0] != want/4 || s.Tenants["t"] != want/2 {
			t.Errorf("at %v: %+v", at, s)
		}
	}
	v = View{}
	v.Take(0, "a", summary(1, 100, 50))
	v.Take(2*time.Second, "b", summary(1, 100, 50))
	if s := v.Sums(2*time.Second, "b", 2); s.Capacity != 150 || s.Boxes != 1 {
		t.Errorf("a box that was last heard 2 s ago: %+v", s)
	}
	if v.Forget("a"); v.Sums(2*time.Second, "b", 2).Capacity != 100 {
		t.Error("a box that is gone counts")
	}
	if s := new(View).Sums(0, "a", 4); s.Capacity != 0 || s.Boxes != 0 {
		t.Errorf("of nothing: %+v", s)
	}
}

// TestOneLiarMovesNothingByMuch: whatever one box of n says, the sums of capacity stay within what one box may count for.
func TestOneLiarMovesNothingByMuch(t *testing.T) {
	testkit.Check(t, 400, func(t *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(t, "boxes")
		var v View
		for i := range n - 1 {
			v.Take(0, fmt.Sprint(i), summary(1, 100, rapid.Float64Range(0, 300).Draw(t, "offered")))
		}
		before := v.Sums(0, "0", n)
		lie := summary(1, rapid.Float64Range(0, 1e9).Draw(t, "capacity"), rapid.Float64Range(0, 1e9).Draw(t, "lie"))
		v.Take(0, "liar", lie)
		after := v.Sums(0, "0", n)
		if d := after.Capacity - before.Capacity; d < -1e-6 || d > mostOfMedian*100+1e-6 {
			t.Fatalf("one box moves the capacity by %v", d)
		}
		if d := after.First - before.First; d > mostOfMedian*mostOffered*100+1 || after.Tenants["t"] > after.First+1 {
			t.Fatalf("one box moves what is offered by %v, tenants %v of %v", d, after.Tenants["t"], after.First)
		}
		if d := after.Free - before.Free; d > mostOfMedian*100+1e-6 {
			t.Fatalf("one box moves what is free by %v", d)
		}
	})
}

// TestCapacityIsMeasuredWhereItShows: a box that refuses is at its capacity, and one that does not has at least what it serves.
func TestCapacityIsMeasuredWhereItShows(t *testing.T) {
	var m Meter
	var sum Totals
	now := time.Duration(0)
	busy := 0.0
	run := func(seconds int, first, further, served, refused uint64) (s Summary) {
		for range seconds * 4 {
			now += Each
			sum.First, sum.Further, sum.Served, sum.Refused = sum.First+first/4, sum.Further+further/4, sum.Served+served/4, sum.Refused+refused/4
			sum.Classes, sum.Tenants, sum.Busy = []uint64{sum.First / 2, sum.First / 2}, map[string]uint64{"t": sum.First}, busy
			s = m.Read(now, sum)
		}
		return s
	}
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > 0.06*want+1 {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	if s := m.Read(0, sum); s.Capacity != 0 {
		t.Errorf("of nothing: %+v", s)
	}
	s := run(10, 400, 40, 440, 0)
	near("calm, and nothing is known of the cores", s.Capacity, 440)
	busy = 0.5
	s = run(10, 400, 40, 440, 0)
	near("calm", s.Capacity, 880)
	near("first tries", s.First, 400)
	near("further tries", s.Further, 40)
	near("a class", s.Classes[0], 200)
	near("a tenant", s.Tenants["t"], 400)
	if s.Full {
		t.Error("it refuses nothing and is full")
	}
	busy = 0.05
	near("hardly anything is done", run(30, 40, 0, 40, 0).Capacity, 880)
	busy = 1
	near("refuses", run(10, 2000, 400, 800, 1600).Capacity, 800)
	s = run(10, 2000, 400, 400, 2000)
	near("slower now", s.Capacity, 400)
	if !s.Full {
		t.Error("it refuses and is not full")
	}
	for range 8 * 4 { // what is refused by the fleet's word shows nothing
		now += Each
		sum.First, sum.Served, sum.Advised, sum.Busy = sum.First+100, sum.Served+50, sum.Advised+50, 0.5
		s = m.Read(now, sum)
	}
	near("advised to refuse", s.Capacity, 400)
	if s.Full {
		t.Error("it refuses by the fleet's word alone and is full")
	}
	was := s.First
	if s := m.Read(now+Each, Totals{}); s.First > was || s.Capacity < 0 {
		t.Errorf("after a start: %+v", s)
	}
}
