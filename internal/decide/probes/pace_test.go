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

// shared is something that boxes depend on, asked at their pace, and what they tell each other of it.
type shared struct {
	now    time.Duration
	boxes  []*Pace
	up     bool
	prober int                     // -1: none
	deaf   func(from, to int) bool // nil: all hear all
	asked  int
	by     []int
	last   []time.Duration // asked while it was up
	told   []struct {
		at       time.Duration
		from, to int
		Said
	}
}

func newShared(n int) *shared {
	s := &shared{now: time.Hour, up: true, by: make([]int, n), last: make([]time.Duration, n)}
	r := rand.New(rand.NewPCG(9, uint64(n)))
	for i := range n {
		s.boxes = append(s.boxes, &Pace{Self: fmt.Sprint("b", i), Base: 700 * time.Millisecond, Most: 1300 * time.Millisecond, Each: 5 * time.Millisecond, Place: (float64(i) + r.Float64()) / float64(n)})
		s.last[i] = s.now
	}
	return s
}

const talks = 250 * time.Millisecond

func (s *shared) run(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += 50 * time.Millisecond
		for len(s.told) > 0 && s.told[0].at <= s.now {
			m := s.told[0]
			s.told = s.told[1:]
			s.boxes[m.to].Heard(s.now, m.Said)
		}
		for i, b := range s.boxes {
			b.Fleet(len(s.boxes), i == s.prober)
			if b.Due(s.now) {
				s.asked++
				s.by[i]++
				if s.up {
					s.last[i] = s.now
				}
				b.Told(s.now, s.up)
			}
		}
		if s.now%talks != 0 {
			continue
		}
		var all []Said
		from := map[string]int{}
		for i, b := range s.boxes {
			if w, ok := b.Say(s.now); ok {
				all = append(all, w)
				from[w.Box] = i
			}
		}
		newest := Newest(all)
		for to := range s.boxes {
			heard := newest
			if s.deaf != nil {
				heard = nil
				for _, w := range all {
					if !s.deaf(from[w.Box], to) {
						heard = append(heard, w)
					}
				}
				heard = Newest(heard)
			}
			for _, w := range heard {
				w.Ago += talks
				s.told = append(s.told, struct {
					at       time.Duration
					from, to int
					Said
				}{s.now + talks, from[w.Box], to, w})
			}
		}
	}
}

// TestAnOutageIsAskedAboutByFew, and all are back in time when it is over: none stays away for longer than the protocol allows.
func TestAnOutageIsAskedAboutByFew(t *testing.T) {
	for _, n := range []int{1, 2, 8, 100, 1000} {
		s := newShared(n)
		s.run(10 * time.Second)
		for i, last := range s.last {
			if s.now-last > 1400*time.Millisecond {
				t.Fatalf("%d boxes: box %d has not asked for %v although all is well", n, i, s.now-last)
			}
		}
		s.up = false
		s.run(6 * time.Second) // they find out, and their opinions settle
		s.asked = 0
		s.run(30 * time.Second)
		if rate, most := float64(s.asked)/30, 1.5*math.Sqrt(float64(n))+1; rate > most && n > 1 {
			t.Errorf("%d boxes ask %v times a second while it is down, %v is the most", n, rate, most)
		}
		s.up = true
		back := s.now
		s.run(4 * time.Second)
		for i, last := range s.last {
			if last < back {
				t.Fatalf("%d boxes: box %d has not come back within 4 s", n, i)
			}
		}
	}
}

// TestWhoHearsNobodyAsksForItself, and one box that cannot reach what the others can does not stop them.
func TestWhoHearsNobodyAsksForItself(t *testing.T) {
	s := newShared(8)
	s.run(10 * time.Second)
	s.deaf = func(int, int) bool { return true }
	s.up = false
	s.run(40 * time.Second)
	clear(s.by)
	s.run(60 * time.Second)
	for i, n := range s.by {
		if n < 3 {
			t.Errorf("box %d, which hears nobody, has asked %d times in a minute", i, n)
		}
	}
	s.up = true
	s.run(15 * time.Second)
	for i, last := range s.last {
		if s.now-last > 1400*time.Millisecond {
			t.Errorf("box %d is not back", i)
		}
	}
	one := newShared(8)
	one.run(5 * time.Second)
	for range 40 { // box 3 finds it down again and again, the others find it up
		one.boxes[3].Told(one.now, false)
		one.run(250 * time.Millisecond)
	}
	for i, last := range one.last {
		if i != 3 && one.now-last > 2*time.Second {
			t.Errorf("box %d has stopped asking, by the word of one box", i)
		}
	}
}

// TestAPaceOverRandomSteps: whatever is heard, late, twice or invented, a box never asks more often than each half period, and not for
// longer than an opinion counts, doubled, does it ask nothing.
func TestAPaceOverRandomSteps(t *testing.T) {
	testkit.Check(t, 200, func(t *rapid.T) {
		p := Pace{Self: "me", Base: 700 * time.Millisecond, Most: 1300 * time.Millisecond, Each: 5 * time.Millisecond, Place: rapid.Float64Range(0, 1).Draw(t, "place")}
		now, last := time.Hour, time.Hour
		quiet := rapid.Bool().Draw(t, "nobody is heard")
		for range 400 {
			now += time.Duration(rapid.IntRange(10, 300).Draw(t, "step")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "fleet") == 0 {
				p.Fleet(rapid.IntRange(0, 1000).Draw(t, "boxes"), rapid.Bool().Draw(t, "prober"))
			}
			if !quiet && rapid.IntRange(0, 3).Draw(t, "heard") == 0 {
				p.Heard(now, Said{fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "box")), rapid.Bool().Draw(t, "up"), time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "ago")) * time.Millisecond})
			}
			if p.Due(now) {
				if last != time.Hour && now-last < p.Base/2 {
					t.Fatalf("asks %v after the question before", now-last)
				}
				last = now
				p.Told(now, rapid.Bool().Draw(t, "up"))
			}
			if quiet && now-last > 2*ages*p.Base+time.Second {
				t.Fatalf("hears nobody and has not asked for %v", now-last)
			}
		}
	})
}

// TestEveryOrderOfTwoBoxes and what they find and hear, to a depth: nothing counts as down by one box's word.
func TestEveryOrderOfTwoBoxes(t *testing.T) {
	states := 0
	var walk func(depth int, steps []int)
	walk = func(depth int, steps []int) {
		states++
		a, b := Pace{Self: "a", Base: time.Second}, Pace{Self: "b", Base: time.Second}
		now := time.Hour
		found := map[string]bool{} // down, by its own question
		for _, s := range steps {
			now += 500 * time.Millisecond
			a.Fleet(2, true)
			b.Fleet(2, false)
			switch s {
			case 0, 1:
				a.Told(now, s == 0)
				found["a"] = s == 1 || found["a"]
			case 2, 3:
				b.Told(now, s == 2)
				found["b"] = s == 3 || found["b"]
			case 4:
				if w, ok := a.Say(now); ok {
					b.Heard(now, w)
				}
			case 5:
				if w, ok := b.Say(now); ok {
					a.Heard(now, w)
				}
			case 6:
				now += 9 * time.Second
			}
			for _, p := range []*Pace{&a, &b} {
				if p.Verdict(now) == Down && !(found["a"] && found["b"]) {
					t.Fatalf("%v: %s takes it for down by one box's word", steps, p.Self)
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
