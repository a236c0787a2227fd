package renewal

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

var start = time.Unix(0, int64(testkit.Start))

const day = 24 * time.Hour

// watch is what a plain observer writes down of a plan's orders, and what must hold of them.
type watch struct {
	plan     *Plan
	budget   Budget
	now      time.Time
	begun    [][]time.Time
	notUntil []time.Time
	ordering bool
}

func newWatch(t fataler, s Settings) *watch {
	p, err := New(start, s)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &watch{plan: p, budget: s.Budget, now: start, begun: make([][]time.Time, s.Authorities), notUntil: make([]time.Time, s.Authorities)}
}

type fataler interface{ Fatalf(string, ...any) }

// begin checks an order that the plan wants against what was written down.
func (w *watch) begin(t fataler, a Action) {
	hour, inWeek := 0, 0
	for _, b := range w.begun[a.Authority] {
		if w.now.Before(b.Add(time.Hour)) {
			hour++
		}
		if w.now.Before(b.Add(week)) {
			inWeek++
		}
	}
	if hour >= w.budget.Hour || inWeek >= w.budget.Week {
		t.Fatalf("an order at %d with %d in the hour and %d in the week before, of %+v", a.Authority, hour, inWeek, w.budget)
	}
	if w.now.Before(w.notUntil[a.Authority]) {
		t.Fatalf("an order at %d, %v before it may be asked again", a.Authority, w.notUntil[a.Authority].Sub(w.now))
	}
	w.begun[a.Authority] = append(w.begun[a.Authority], w.now)
	w.plan.Begun(w.now, a.Authority, false)
	w.ordering = true
}

func (w *watch) fail(authority int, a Answer) {
	w.plan.Failed(w.now, a)
	w.ordering = false
	until := w.now.Add(a.RetryAfter)
	switch {
	case a.Class == Limited && a.RetryAfter == 0:
		until = w.now.Add(limitPause)
	case a.Class == Hopeless:
		until = w.now.Add(max(outTime, a.RetryAfter))
	}
	if until.After(w.notUntil[authority]) {
		w.notUntil[authority] = until
	}
}

func (w *watch) issue(life time.Duration, authority int) {
	w.plan.Issued(w.now, Held{NotBefore: w.now, NotAfter: w.now.Add(life), FromSecond: authority > 0})
	w.ordering = false
}

// TestAnyCourseKeepsTheBudgetAndComesToAnOrder plays random answers, windows, lifetimes and waits.
func TestAnyCourseKeepsTheBudgetAndComesToAnOrder(t *testing.T) {
	testkit.Steps(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		n := rapid.IntRange(1, 3).Draw(rt, "authorities")
		w := newWatch(rt, Settings{Authorities: n, Budget: Budget{Hour: 2, Week: 12}, Place: rapid.Float64Range(0, 0.999).Draw(rt, "place")})
		at, waits := 0, 0
		return map[string]func(*rapid.T){
			"wait": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(rt, "s")) * time.Second)
			},
			"follow": func(rt *rapid.T) { // what the plan says, as its carrier does
				switch a := w.plan.Next(w.now); {
				case a.Kind == Wait:
					if waits++; a.At.Before(w.now) {
						rt.Fatalf("told to wait until %v ago", w.now.Sub(a.At))
					}
					w.now = a.At
				case a.Kind == Ask:
					w.plan.NotSuggested(w.now)
				case w.ordering && a.Authority != at:
					rt.Fatalf("an order at %d goes on at %d", at, a.Authority)
				case !w.ordering:
					at, waits = a.Authority, 0
					w.begin(rt, a)
				}
				if waits > 200 {
					rt.Fatalf("waits 200 times on end in phase %v", w.plan.Phase())
				}
			},
			"fail": func(rt *rapid.T) {
				if w.ordering {
					w.fail(at, Answer{Class: Class(rapid.IntRange(0, 3).Draw(rt, "class")),
						RetryAfter: time.Duration(rapid.IntRange(0, 40).Draw(rt, "min")) * time.Minute})
				}
			},
			"issue": func(rt *rapid.T) {
				if w.ordering {
					w.issue(rapid.SampledFrom([]time.Duration{6 * day, 45 * day, 90 * day}).Draw(rt, "life"), at)
				}
			},
			"window": func(rt *rapid.T) {
				from := w.now.Add(time.Duration(rapid.IntRange(-50, 100).Draw(rt, "h")) * time.Hour)
				w.plan.Suggested(w.now, Window{from, from.Add(time.Duration(rapid.IntRange(-1, 72).Draw(rt, "long")) * time.Hour)}, 0)
			},
			"": func(rt *rapid.T) {
				due := w.plan.DueAt()
				if h, ok := w.plan.Held(); ok && due.After(h.NotAfter.Add(-h.Lifetime()/6)) {
					rt.Fatalf("due %v before the end of a lifetime of %v", h.NotAfter.Sub(due), h.Lifetime())
				}
				if w.ordering != (w.plan.Phase() == Ordering) {
					rt.Fatalf("an order is on its way: %v; phase %v", w.ordering, w.plan.Phase())
				}
			},
		}
	})
}

// TestEveryCourseOfFourAttemptsAtTwoAuthorities goes through all answers to up to four attempts, with a certificate
// that is near its end and one that is not, and checks where each next attempt is made and how soon.
func TestEveryCourseOfFourAttemptsAtTwoAuthorities(t *testing.T) {
	answers := []Answer{{Class: Transient}, {Class: Transient, RetryAfter: 2 * time.Hour}, {Class: Limited}, {Class: Limited, RetryAfter: 3 * time.Hour},
		{Class: Hopeless}, {Class: Person}}
	courses := 0
	var play func(t *testing.T, left time.Duration, course []Answer)
	play = func(t *testing.T, left time.Duration, course []Answer) {
		courses++
		w := newWatch(t, Settings{Authorities: 2, Budget: DefaultBudget})
		w.plan.Issued(w.now, Held{NotBefore: w.now.Add(left - 90*day), NotAfter: w.now.Add(left)})
		w.plan.NotSuggested(w.now)
		said := func() (s []string) {
			for _, a := range course {
				s = append(s, fmt.Sprintf("%v/%v", a.Class, a.RetryAfter))
			}
			return s
		}
		out := [2]time.Time{}
		for i := 0; ; i++ {
			began := w.now
			a := w.plan.Next(w.now)
			for hops := 0; a.Kind != Order; hops++ {
				if a.Kind == Ask {
					w.plan.NotSuggested(w.now)
				} else {
					w.now = a.At
				}
				if a = w.plan.Next(w.now); hops > 20 {
					t.Fatalf("%v: no order after %v", said(), w.now.Sub(began))
				}
			}
			if i > 0 {
				last := course[i-1]
				most := max(mostPause, limitPause)
				for _, a := range course[:i] { // what one authority asked for still holds when the other fails
					most = max(most, a.RetryAfter)
				}
				switch {
				case last.Class == Person:
					most = max(handTime, most)
				case out[0].After(began) && out[1].After(began):
					most = outTime
				}
				if gap := w.now.Sub(began); gap > most {
					t.Fatalf("%v: the next attempt comes after %v, want %v at most", said(), gap, most)
				}
			}
			if w.now.Before(out[a.Authority]) && !w.now.Before(out[1-a.Authority]) {
				t.Fatalf("%v: attempt %d goes to %d, which is left out", said(), i, a.Authority)
			}
			if a.Authority == 1 && !w.now.Before(out[0]) && !w.plan.presses(w.now) {
				t.Fatalf("%v: the second authority is asked though the first is not left out and there is time", said())
			}
			if i == len(course) {
				break
			}
			w.begin(t, a)
			w.fail(a.Authority, course[i])
			if course[i].Class == Hopeless {
				out[a.Authority] = w.now.Add(outTime)
			}
			if i > 0 && w.plan.Alarm(w.now) == Calm {
				t.Fatalf("%v: no alarm", said())
			}
		}
		if len(course) < 4 {
			for _, a := range answers {
				play(t, left, append(append([]Answer(nil), course...), a))
			}
		}
	}
	for _, left := range []time.Duration{25 * day, 5 * day, time.Hour, -day} {
		play(t, left, nil)
	}
	if want := 4 * (1 + 6 + 36 + 216 + 1296); courses != want {
		t.Errorf("%d courses, want %d", courses, want)
	}
}

func TestWhenARenewalIsDue(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, k := range []struct {
		name   string
		life   time.Duration
		place  float64
		window Window
		want   time.Duration // after the certificate's begin
	}{
		{"90 days, last place", 90 * day, 0.999999, Window{}, 60 * day},
		{"90 days, first place", 90 * day, 0, Window{}, 60*day - 90*day/12},
		{"45 days", 45 * day, 0.999999, Window{}, 30 * day},
		{"6 days", 6 * day, 0.999999, Window{}, 3 * day},
		{"a window", 90 * day, 0.5, Window{at(70 * day), at(72 * day)}, 71 * day},
		{"a window at once", 90 * day, 0.5, Window{at(-2 * day), at(-day)}, -36 * time.Hour},
		{"a window after the end", 90 * day, 0.5, Window{at(95 * day), at(96 * day)}, 75 * day},
		{"a window that ends before it starts", 90 * day, 0.999999, Window{at(72 * day), at(70 * day)}, 60 * day},
	} {
		p, err := New(start, Settings{Authorities: 1, Budget: DefaultBudget, Place: k.place})
		if err != nil {
			t.Fatal(err)
		}
		p.Issued(start, Held{NotBefore: start, NotAfter: at(k.life)})
		p.Suggested(start, k.window, 0)
		if got := p.DueAt().Sub(start); got < k.want-time.Minute || got > k.want+time.Minute {
			t.Errorf("%s: due after %v, want %v", k.name, got, k.want)
		}
	}
}

// TestAFleetDoesNotComeAtOnce counts the orders of a thousand boxes whose certificates were issued in one minute.
func TestAFleetDoesNotComeAtOnce(t *testing.T) {
	hours := map[int]int{}
	for i := range 1000 {
		p, _ := New(start, Settings{Authorities: 1, Budget: DefaultBudget, Place: float64(i*617%1000) / 1000})
		p.Issued(start, Held{NotBefore: start, NotAfter: start.Add(90 * day)})
		p.NotSuggested(start)
		hours[int(p.DueAt().Sub(start)/time.Hour)]++
	}
	for h, n := range hours {
		if n > 8 {
			t.Errorf("%d of 1000 boxes come in hour %d", n, h)
		}
	}
}

func TestAClockThatSteps(t *testing.T) {
	w := newWatch(t, Settings{Authorities: 1, Budget: Budget{Hour: 1, Week: 5}})
	w.issue(90*day, 0)
	w.now = start.Add(70 * day)
	w.begin(t, w.plan.Next(w.now))
	w.fail(0, Answer{Class: Limited, RetryAfter: 2 * time.Hour})
	if a := w.plan.Next(w.now); a.Kind != Wait || a.At.Sub(w.now) > 2*time.Hour {
		t.Errorf("after the limit: %+v", a)
	}
	back := w.now.Add(-30 * day)
	if a := w.plan.Next(back); a.Kind == Wait && a.At.Sub(back) > 20*day {
		t.Errorf("a month back, the next step is %v off", a.At.Sub(back))
	}
	ahead := start.Add(100 * day)
	if got := w.plan.Alarm(ahead); got != Expired {
		t.Errorf("a month ahead, the alarm is %v", got)
	}
	if a := w.plan.Next(ahead); a.Kind != Order {
		t.Errorf("a month ahead: %+v", a)
	}
	if a := w.plan.Next(w.now); a.Kind == Wait && a.At.Sub(w.now) > 2*time.Hour {
		t.Errorf("back again, the next step is %v off", a.At.Sub(w.now))
	}
}

func TestAlarmsRiseAsTheEndComes(t *testing.T) {
	p, _ := New(start, Settings{Authorities: 1, Budget: DefaultBudget})
	if p.Alarm(start) != Notice {
		t.Errorf("before the first: %v", p.Alarm(start))
	}
	p.Issued(start, Held{NotBefore: start, NotAfter: start.Add(90 * day)})
	var got []string
	last := alarms
	for d := time.Duration(0); d <= 90*day; d += time.Hour {
		if d == 61*day {
			p.Begun(start.Add(d), 0, false)
			p.Failed(start.Add(d), Answer{Class: Transient})
		}
		if a := p.Alarm(start.Add(d)); a != last {
			last = a
			got = append(got, fmt.Sprintf("%v on day %d", a, d/day))
		}
	}
	want := "calm on day 0, notice on day 61, warning on day 70, critical on day 81, expired on day 90"
	if s := strings.Join(got, ", "); s != want {
		t.Errorf("alarms: %s\nwant:   %s", s, want)
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for _, s := range []Settings{{}, {Authorities: 1}, {Authorities: 1, Budget: Budget{Hour: 3, Week: 2}}, {Authorities: 1, Budget: DefaultBudget, Place: 1}} {
		if _, err := New(start, s); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}

// TestTheBudgetOutlivesARestart: what was begun before is put back.
func TestTheBudgetOutlivesARestart(t *testing.T) {
	p, _ := New(start, Settings{Authorities: 1, Budget: Budget{Hour: 2, Week: 9}})
	p.Remembers(0, start.Add(-10*time.Minute))
	p.Remembers(0, start.Add(-5*time.Minute))
	p.Remembers(0, start.Add(time.Hour)) // not yet
	p.Remembers(7, start)
	if a := p.Next(start); a.Kind != Wait || !a.At.Equal(start.Add(50*time.Minute)) {
		t.Errorf("next: %+v", a)
	}
}
