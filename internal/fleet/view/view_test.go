package view

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

func testSummary(seq uint64, capacity, offered float64) Summary {
	return Summary{Session: 1, Seq: seq, Capacity: capacity, Running: min(capacity, offered), First: offered, Classes: []float64{offered / 2, offered / 2}, Tenants: map[string]float64{"t": offered}}
}

// TestViewRejectsInvalidSummaries checks that invalid, late and outdated summaries are rejected.
func TestViewRejectsInvalidSummaries(t *testing.T) {
	var v View
	many := map[string]float64{}
	for i := range MaxTenants + 1 {
		many[fmt.Sprint(i)] = 1
	}
	for name, c := range map[string]struct {
		s    Summary
		want bool
	}{
		"the next":           {Summary{Session: 5, Seq: 2}, true},
		"a new incarnation":  {Summary{Session: 6, Seq: 1}, true},
		"a repeat":           {Summary{Session: 5, Seq: 1}, false},
		"an earlier session": {Summary{Session: 4, Seq: 9}, false},
		"below 0":            {Summary{Session: 7, Seq: 9, First: -1}, false},
		"not a number":       {Summary{Session: 7, Seq: 9, Capacity: math.NaN()}, false},
		"infinite":           {Summary{Session: 7, Seq: 9, Running: math.Inf(1)}, false},
		"a class below 0":    {Summary{Session: 7, Seq: 9, Classes: []float64{-1}}, false},
		"many classes":       {Summary{Session: 7, Seq: 9, Classes: make([]float64, MaxClasses+1)}, false},
		"many tenants":       {Summary{Session: 7, Seq: 9, Tenants: many}, false},
		"a long name":        {Summary{Session: 7, Seq: 9, Tenants: map[string]float64{string(make([]byte, maxNameBytes+1)): 1}}, false},
	} {
		v = View{}
		if !v.Take(0, "a", Summary{Session: 5, Seq: 1}) {
			t.Fatal("the first summary was rejected")
		}
		if got := v.Take(time.Second, "a", c.s); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	v = View{}
	for i := range MaxBoxes + 10 {
		v.Take(0, fmt.Sprint(i), testSummary(1, 1, 1))
	}
	if len(v.boxes) != MaxBoxes {
		t.Errorf("%d boxes are kept, want the limit", len(v.boxes))
	}
}

// TestSummaryWeightDecreasesWithAge checks that a summary's weight decreases with its age down to none.
func TestSummaryWeightDecreasesWithAge(t *testing.T) {
	var v View
	for _, b := range []string{"a", "b", "c", "d"} {
		v.Take(0, b, testSummary(1, 100, 50))
	}
	for _, b := range []string{"a", "b", "c"} {
		for at := time.Duration(0); at < 4*time.Second; at += 250 * time.Millisecond {
			v.Take(at, b, testSummary(uint64(2+at/time.Millisecond), 100, 50))
		}
	}
	for at, want := range map[time.Duration]float64{3750 * time.Millisecond: 300, 4 * time.Second: 300} {
		if s := v.Sums(at, "a", 4); s.Capacity != want || s.Boxes != 3 || s.Free != 100 || s.First != want/2 || s.Classes[0] != want/4 || s.Tenants["t"] != want/2 {
			t.Errorf("at %v: %+v", at, s)
		}
	}
	v = View{}
	v.Take(0, "a", testSummary(1, 100, 50))
	v.Take(2*time.Second, "b", testSummary(1, 100, 50))
	if s := v.Sums(2*time.Second, "b", 2); s.Capacity != 150 || s.Boxes != 1 {
		t.Errorf("a box whose last summary is 2 s old: %+v", s)
	}
	if v.Forget("a"); v.Sums(2*time.Second, "b", 2).Capacity != 100 {
		t.Error("a forgotten box is still counted")
	}
	if s := new(View).Sums(0, "a", 4); s.Capacity != 0 || s.Boxes != 0 {
		t.Errorf("of nothing: %+v", s)
	}
}

// TestFalseSummaryMovesSumsWithinLimits checks that one box of n, whatever it reports, moves the sums by no more than the limits for one box.
func TestFalseSummaryMovesSumsWithinLimits(t *testing.T) {
	testkit.CheckProperty(t, 400, func(t *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(t, "boxes")
		var v View
		for i := range n - 1 {
			v.Take(0, fmt.Sprint(i), testSummary(1, 100, rapid.Float64Range(0, 300).Draw(t, "offered")))
		}
		before := v.Sums(0, "0", n)
		falseSummary := testSummary(1, rapid.Float64Range(0, 1e9).Draw(t, "capacity"), rapid.Float64Range(0, 1e9).Draw(t, "offered by the false summary"))
		v.Take(0, "false box", falseSummary)
		after := v.Sums(0, "0", n)
		if d := after.Capacity - before.Capacity; d < -1e-6 || d > maxOfMedian*100+1e-6 {
			t.Fatalf("one box moves the capacity by %v", d)
		}
		if d := after.First - before.First; d > maxOfMedian*maxOffered*100+1 || after.Tenants["t"] > after.First+1 {
			t.Fatalf("one box moves the offered load by %v, tenants %v of %v", d, after.Tenants["t"], after.First)
		}
		if d := after.Free - before.Free; d > maxOfMedian*100+1e-6 {
			t.Fatalf("one box moves the free capacity by %v", d)
		}
	})
}

// TestCapacityMeasurement checks that a full box's capacity is the rate it serves, and that a box that is not full has at least that.
func TestCapacityMeasurement(t *testing.T) {
	var m Meter
	var sum Totals
	now := time.Duration(0)
	busy := 0.0
	run := func(seconds int, first, further, served, rejected uint64) (s Summary) {
		for range seconds * 4 {
			now += ExchangeInterval
			sum.First, sum.Further, sum.Served, sum.RejectedLocally = sum.First+first/4, sum.Further+further/4, sum.Served+served/4, sum.RejectedLocally+rejected/4
			sum.Classes, sum.Tenants, sum.Busy = []uint64{sum.First / 2, sum.First / 2}, map[string]uint64{"t": sum.First}, busy
			s = m.Read(now, sum)
		}
		return s
	}
	checkNear := func(what string, got, want float64) {
		if math.Abs(got-want) > 0.06*want+1 {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	if s := m.Read(0, sum); s.Capacity != 0 {
		t.Errorf("of nothing: %+v", s)
	}
	s := run(10, 400, 40, 440, 0)
	checkNear("no rejections, use of the cores unknown", s.Capacity, 440)
	busy = 0.5
	s = run(10, 400, 40, 440, 0)
	checkNear("no rejections", s.Capacity, 880)
	checkNear("first attempts", s.First, 400)
	checkNear("further attempts", s.Further, 40)
	checkNear("a class", s.Classes[0], 200)
	checkNear("a tenant", s.Tenants["t"], 400)
	if s.Full {
		t.Error("the box rejects nothing but counts as full")
	}
	busy = 0.05
	checkNear("use of the cores below the minimum", run(30, 40, 0, 40, 0).Capacity, 880)
	busy = 1
	checkNear("rejections", run(10, 2000, 400, 800, 1600).Capacity, 800)
	s = run(10, 2000, 400, 400, 2000)
	checkNear("rejections at a lower rate served", s.Capacity, 400)
	if !s.Full {
		t.Error("the box rejects requests but does not count as full")
	}
	for range 8 * 4 { // rejections on the fleet's advice indicate nothing about the capacity
		now += ExchangeInterval
		sum.First, sum.Served, sum.RejectedByFleet, sum.Busy = sum.First+100, sum.Served+50, sum.RejectedByFleet+50, 0.5
		s = m.Read(now, sum)
	}
	checkNear("rejections on the fleet's advice", s.Capacity, 400)
	if s.Full {
		t.Error("the box rejects on the fleet's advice alone but counts as full")
	}
	was := s.First
	if s := m.Read(now+ExchangeInterval, Totals{}); s.First > was || s.Capacity < 0 {
		t.Errorf("after a restart of the counts: %+v", s)
	}
}
