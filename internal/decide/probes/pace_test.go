package probes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// dependencySim simulates a dependency, the boxes that send requests to it at their pace, and the findings that they exchange.
type dependencySim struct {
	now           time.Duration
	boxes         []*Schedule
	up            bool
	prober        int                     // -1: none
	blocked       func(from, to int) bool // nil: all messages arrive
	requests      int
	requestsByBox []int
	lastSuccess   []time.Duration // last request of each box while the dependency was up
	inFlight      []struct {
		at       time.Duration
		from, to int
		FindingReport
	}
}

func newDependencySim(n int) *dependencySim {
	s := &dependencySim{now: time.Hour, up: true, requestsByBox: make([]int, n), lastSuccess: make([]time.Duration, n)}
	r := rand.New(rand.NewPCG(9, uint64(n)))
	for i := range n {
		s.boxes = append(s.boxes, &Schedule{Self: fmt.Sprint("b", i), BaseInterval: 700 * time.Millisecond, MaxInterval: 1300 * time.Millisecond, CostPerBox: 5 * time.Millisecond, Place: (float64(i) + r.Float64()) / float64(n)})
		s.lastSuccess[i] = s.now
	}
	return s
}

const exchangeInterval = 250 * time.Millisecond

func (s *dependencySim) advance(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += 50 * time.Millisecond
		for len(s.inFlight) > 0 && s.inFlight[0].at <= s.now {
			m := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			s.boxes[m.to].RecordReport(s.now, m.FindingReport)
		}
		for i, b := range s.boxes {
			b.SetFleet(len(s.boxes), i == s.prober)
			if b.Due(s.now) {
				s.requests++
				s.requestsByBox[i]++
				if s.up {
					s.lastSuccess[i] = s.now
				}
				b.RecordResult(s.now, s.up)
			}
		}
		if s.now%exchangeInterval != 0 {
			continue
		}
		var all []FindingReport
		from := map[string]int{}
		for i, b := range s.boxes {
			if report, ok := b.Report(s.now); ok {
				all = append(all, report)
				from[report.Box] = i
			}
		}
		newest := NewestReports(all)
		for to := range s.boxes {
			received := newest
			if s.blocked != nil {
				received = nil
				for _, report := range all {
					if !s.blocked(from[report.Box], to) {
						received = append(received, report)
					}
				}
				received = NewestReports(received)
			}
			for _, report := range received {
				report.Ago += exchangeInterval
				s.inFlight = append(s.inFlight, struct {
					at       time.Duration
					from, to int
					FindingReport
				}{s.now + exchangeInterval, from[report.Box], to, report})
			}
		}
	}
}

// TestOutageRequestRateAndReturn checks the request rate during an outage, and that afterwards no box stays away for longer than the protocol allows.
func TestOutageRequestRateAndReturn(t *testing.T) {
	for _, n := range []int{1, 2, 8, 100, 1000} {
		s := newDependencySim(n)
		s.advance(10 * time.Second)
		for i, last := range s.lastSuccess {
			if s.now-last > 1400*time.Millisecond {
				t.Fatalf("%d boxes: box %d has sent no request for %v although the dependency is up", n, i, s.now-last)
			}
		}
		s.up = false
		s.advance(6 * time.Second) // the boxes detect the outage and their findings settle
		s.requests = 0
		s.advance(30 * time.Second)
		if rate, maxRate := float64(s.requests)/30, 1.5*math.Sqrt(float64(n))+1; rate > maxRate && n > 1 {
			t.Errorf("%d boxes send %v requests per second while the dependency is down, want at most %v", n, rate, maxRate)
		}
		s.up = true
		back := s.now
		s.advance(4 * time.Second)
		for i, last := range s.lastSuccess {
			if last < back {
				t.Fatalf("%d boxes: box %d has not returned within 4 s", n, i)
			}
		}
	}
}

// TestIsolatedBoxesSendOnTheirOwn also checks that one box that cannot reach the dependency does not stop the others.
func TestIsolatedBoxesSendOnTheirOwn(t *testing.T) {
	s := newDependencySim(8)
	s.advance(10 * time.Second)
	s.blocked = func(int, int) bool { return true }
	s.up = false
	s.advance(40 * time.Second)
	clear(s.requestsByBox)
	s.advance(60 * time.Second)
	for i, n := range s.requestsByBox {
		if n < 3 {
			t.Errorf("box %d, which receives no reports, sent %d requests in a minute", i, n)
		}
	}
	s.up = true
	s.advance(15 * time.Second)
	for i, last := range s.lastSuccess {
		if s.now-last > 1400*time.Millisecond {
			t.Errorf("box %d has not returned", i)
		}
	}
	one := newDependencySim(8)
	one.advance(5 * time.Second)
	for range 40 { // box 3 repeatedly finds it down, the others find it up
		one.boxes[3].RecordResult(one.now, false)
		one.advance(250 * time.Millisecond)
	}
	for i, last := range one.lastSuccess {
		if i != 3 && one.now-last > 2*time.Second {
			t.Errorf("box %d has stopped sending requests because of one box's finding", i)
		}
	}
}

// TestScheduleRequestIntervals checks that, whatever reports arrive (late, repeated or invented), a box never sends more than one request in half
// an interval, and that without reports it sends one within twice the time for which a finding counts.
func TestScheduleRequestIntervals(t *testing.T) {
	testkit.CheckProperty(t, 200, func(t *rapid.T) {
		p := Schedule{Self: "me", BaseInterval: 700 * time.Millisecond, MaxInterval: 1300 * time.Millisecond, CostPerBox: 5 * time.Millisecond, Place: rapid.Float64Range(0, 1).Draw(t, "place")}
		now, last := time.Hour, time.Hour
		noReports := rapid.Bool().Draw(t, "no reports")
		for range 400 {
			now += time.Duration(rapid.IntRange(10, 300).Draw(t, "step")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "fleet") == 0 {
				p.SetFleet(rapid.IntRange(0, 1000).Draw(t, "boxes"), rapid.Bool().Draw(t, "prober"))
			}
			if !noReports && rapid.IntRange(0, 3).Draw(t, "report") == 0 {
				p.RecordReport(now, FindingReport{fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "box")), rapid.Bool().Draw(t, "up"), time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "ago")) * time.Millisecond})
			}
			if p.Due(now) {
				if last != time.Hour && now-last < p.BaseInterval/2 {
					t.Fatalf("request only %v after the previous one", now-last)
				}
				last = now
				p.RecordResult(now, rapid.Bool().Draw(t, "up"))
			}
			if noReports && now-last > 2*findingIntervals*p.BaseInterval+time.Second {
				t.Fatalf("no reports received, and no request for %v", now-last)
			}
		}
	})
}

// TestDownNeedsFindingsOfTwoBoxes walks all orders of results and reports of two boxes to a fixed depth: one box's finding must never give Down.
func TestDownNeedsFindingsOfTwoBoxes(t *testing.T) {
	states := 0
	var walk func(depth int, steps []int)
	walk = func(depth int, steps []int) {
		states++
		a, b := Schedule{Self: "a", BaseInterval: time.Second}, Schedule{Self: "b", BaseInterval: time.Second}
		now := time.Hour
		found := map[string]bool{} // found down by the box's own request
		for _, s := range steps {
			now += 500 * time.Millisecond
			a.SetFleet(2, true)
			b.SetFleet(2, false)
			switch s {
			case 0, 1:
				a.RecordResult(now, s == 0)
				found["a"] = s == 1 || found["a"]
			case 2, 3:
				b.RecordResult(now, s == 2)
				found["b"] = s == 3 || found["b"]
			case 4:
				if report, ok := a.Report(now); ok {
					b.RecordReport(now, report)
				}
			case 5:
				if report, ok := b.Report(now); ok {
					a.RecordReport(now, report)
				}
			case 6:
				now += 9 * time.Second
			}
			for _, p := range []*Schedule{&a, &b} {
				if p.Verdict(now) == Down && !(found["a"] && found["b"]) {
					t.Fatalf("steps %v: %s has verdict Down from one box's finding", steps, p.Self)
				}
			}
		}
		if depth > 0 {
			for s := range 7 {
				walk(depth-1, append(steps[:len(steps):len(steps)], s))
			}
		}
	}
	walk(6, nil)
	t.Logf("%d states", states)
}
