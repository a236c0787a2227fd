package renewal

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

var start = time.Unix(0, int64(testkit.StartTime))

const day = 24 * time.Hour

// orderObserver records the orders of a plan independently of it and checks the budget and the blocked times.
type orderObserver struct {
	plan         *Plan
	budget       Budget
	now          time.Time
	orders       [][]time.Time
	blockedUntil []time.Time
	orderPending bool
}

func newOrderObserver(t fatalReporter, s Settings) *orderObserver {
	p, err := New(start, s)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &orderObserver{plan: p, budget: s.Budget, now: start, orders: make([][]time.Time, s.Authorities), blockedUntil: make([]time.Time, s.Authorities)}
}

type fatalReporter interface{ Fatalf(string, ...any) }

// begin checks an order of the plan against the recorded ones and starts it.
func (w *orderObserver) begin(t fatalReporter, a Action) {
	hour, inWeek := 0, 0
	for _, b := range w.orders[a.Authority] {
		if w.now.Before(b.Add(time.Hour)) {
			hour++
		}
		if w.now.Before(b.Add(week)) {
			inWeek++
		}
	}
	if hour >= w.budget.Hour || inWeek >= w.budget.Week {
		t.Fatalf("order at authority %d after %d orders in the last hour and %d in the last week exceeds the budget %+v", a.Authority, hour, inWeek, w.budget)
	}
	if w.now.Before(w.blockedUntil[a.Authority]) {
		t.Fatalf("order at authority %d is %v too early", a.Authority, w.blockedUntil[a.Authority].Sub(w.now))
	}
	w.orders[a.Authority] = append(w.orders[a.Authority], w.now)
	w.plan.OrderStarted(w.now, a.Authority, false)
	w.orderPending = true
}

func (w *orderObserver) fail(authority int, a Outcome) {
	w.plan.OrderFailed(w.now, a)
	w.orderPending = false
	until := w.now.Add(a.RetryAfter)
	switch {
	case a.Class == RateLimited && a.RetryAfter == 0:
		until = w.now.Add(defaultRateLimitDelay)
	case a.Class == RejectedByAuthority:
		until = w.now.Add(max(exclusionTime, a.RetryAfter))
	}
	if until.After(w.blockedUntil[authority]) {
		w.blockedUntil[authority] = until
	}
}

func (w *orderObserver) issue(life time.Duration, authority int) {
	w.plan.CertificateIssued(w.now, Certificate{NotBefore: w.now, NotAfter: w.now.Add(life), FromFallback: authority > 0})
	w.orderPending = false
}

// TestRandomSequencesKeepBudgetAndReachAnOrder runs random sequences of failures, windows,
// lifetimes and waits and checks the order budget, the due time and that the plan never waits forever.
func TestRandomSequencesKeepBudgetAndReachAnOrder(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		n := rapid.IntRange(1, 3).Draw(rt, "authorities")
		w := newOrderObserver(rt, Settings{Authorities: n, Budget: Budget{Hour: 2, Week: 12}, WindowOffset: rapid.Float64Range(0, 0.999).Draw(rt, "place")})
		at, waits := 0, 0
		return map[string]func(*rapid.T){
			"wait": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(rt, "s")) * time.Second)
			},
			"follow": func(rt *rapid.T) { // carries out the plan's next action, as its caller does
				switch a := w.plan.Next(w.now); {
				case a.Kind == Wait:
					if waits++; a.At.Before(w.now) {
						rt.Fatalf("the plan waits until a time %v in the past", w.now.Sub(a.At))
					}
					w.now = a.At
				case a.Kind == AskWindow:
					w.plan.WindowFailed(w.now)
				case w.orderPending && a.Authority != at:
					rt.Fatalf("the order at authority %d continues at authority %d", at, a.Authority)
				case !w.orderPending:
					at, waits = a.Authority, 0
					w.begin(rt, a)
				}
				if waits > 200 {
					rt.Fatalf("more than 200 waits without an order, phase %v", w.plan.Phase())
				}
			},
			"fail": func(rt *rapid.T) {
				if w.orderPending {
					w.fail(at, Outcome{Class: FailureClass(rapid.IntRange(0, 3).Draw(rt, "class")),
						RetryAfter: time.Duration(rapid.IntRange(0, 40).Draw(rt, "min")) * time.Minute})
				}
			},
			"issue": func(rt *rapid.T) {
				if w.orderPending {
					w.issue(rapid.SampledFrom([]time.Duration{6 * day, 45 * day, 90 * day}).Draw(rt, "life"), at)
				}
			},
			"window": func(rt *rapid.T) {
				from := w.now.Add(time.Duration(rapid.IntRange(-50, 100).Draw(rt, "h")) * time.Hour)
				w.plan.SetWindow(w.now, Window{from, from.Add(time.Duration(rapid.IntRange(-1, 72).Draw(rt, "long")) * time.Hour)}, 0)
			},
			"": func(rt *rapid.T) {
				due := w.plan.DueAt()
				if h, ok := w.plan.Current(); ok && due.After(h.NotAfter.Add(-h.Lifetime()/6)) {
					rt.Fatalf("renewal due %v before the end of a lifetime of %v, want at least a sixth of it", h.NotAfter.Sub(due), h.Lifetime())
				}
				if w.orderPending != (w.plan.Phase() == Ordering) {
					rt.Fatalf("order in progress: %v, but phase %v", w.orderPending, w.plan.Phase())
				}
			},
		}
	})
}

// TestAllSequencesOfFourFailuresAtTwoAuthorities goes through all outcomes of up to four attempts, with
// certificates near and far from their expiry, and checks the authority and the time of each next attempt.
func TestAllSequencesOfFourFailuresAtTwoAuthorities(t *testing.T) {
	answers := []Outcome{{Class: Transient}, {Class: Transient, RetryAfter: 2 * time.Hour}, {Class: RateLimited}, {Class: RateLimited, RetryAfter: 3 * time.Hour},
		{Class: RejectedByAuthority}, {Class: NeedsOperator}}
	played := 0
	var play func(t *testing.T, left time.Duration, sequence []Outcome)
	play = func(t *testing.T, left time.Duration, sequence []Outcome) {
		played++
		w := newOrderObserver(t, Settings{Authorities: 2, Budget: DefaultBudget})
		w.plan.CertificateIssued(w.now, Certificate{NotBefore: w.now.Add(left - 90*day), NotAfter: w.now.Add(left)})
		w.plan.WindowFailed(w.now)
		describe := func() (s []string) {
			for _, a := range sequence {
				s = append(s, fmt.Sprintf("%v/%v", a.Class, a.RetryAfter))
			}
			return s
		}
		out := [2]time.Time{}
		for i := 0; ; i++ {
			began := w.now
			a := w.plan.Next(w.now)
			for hops := 0; a.Kind != Order; hops++ {
				if a.Kind == AskWindow {
					w.plan.WindowFailed(w.now)
				} else {
					w.now = a.At
				}
				if a = w.plan.Next(w.now); hops > 20 {
					t.Fatalf("%v: no order after %v", describe(), w.now.Sub(began))
				}
			}
			if i > 0 {
				last := sequence[i-1]
				maxGap := max(maxBackoff, defaultRateLimitDelay)
				for _, a := range sequence[:i] { // a Retry-After of one authority still applies when the other fails
					maxGap = max(maxGap, a.RetryAfter)
				}
				switch {
				case last.Class == NeedsOperator:
					maxGap = max(operatorRetryInterval, maxGap)
				case out[0].After(began) && out[1].After(began):
					maxGap = exclusionTime
				}
				if gap := w.now.Sub(began); gap > maxGap {
					t.Fatalf("%v: the next attempt comes after %v, want at most %v", describe(), gap, maxGap)
				}
			}
			if w.now.Before(out[a.Authority]) && !w.now.Before(out[1-a.Authority]) {
				t.Fatalf("%v: attempt %d goes to authority %d, which is excluded", describe(), i, a.Authority)
			}
			if a.Authority == 1 && !w.now.Before(out[0]) && !w.plan.urgent(w.now) {
				t.Fatalf("%v: order at the second authority although the first is not excluded and the renewal is not urgent", describe())
			}
			if i == len(sequence) {
				break
			}
			w.begin(t, a)
			w.fail(a.Authority, sequence[i])
			if sequence[i].Class == RejectedByAuthority {
				out[a.Authority] = w.now.Add(exclusionTime)
			}
			if i > 0 && w.plan.Alarm(w.now) == NoAlarm {
				t.Fatalf("%v: the alarm is calm after repeated failures", describe())
			}
		}
		if len(sequence) < 4 {
			for _, a := range answers {
				play(t, left, append(append([]Outcome(nil), sequence...), a))
			}
		}
	}
	for _, left := range []time.Duration{25 * day, 5 * day, time.Hour, -day} {
		play(t, left, nil)
	}
	if want := 4 * (1 + 6 + 36 + 216 + 1296); played != want {
		t.Errorf("played %d sequences, want %d", played, want)
	}
}

func TestRenewalDueTime(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, k := range []struct {
		name   string
		life   time.Duration
		place  float64
		window Window
		want   time.Duration // after the certificate's NotBefore
	}{
		{"90 days, end of the spread", 90 * day, 0.999999, Window{}, 60 * day},
		{"90 days, start of the spread", 90 * day, 0, Window{}, 60*day - 90*day/12},
		{"45 days", 45 * day, 0.999999, Window{}, 30 * day},
		{"6 days", 6 * day, 0.999999, Window{}, 3 * day},
		{"a window", 90 * day, 0.5, Window{at(70 * day), at(72 * day)}, 71 * day},
		{"a window in the past", 90 * day, 0.5, Window{at(-2 * day), at(-day)}, -36 * time.Hour},
		{"a window after the expiry", 90 * day, 0.5, Window{at(95 * day), at(96 * day)}, 75 * day},
		{"a window that ends before it starts", 90 * day, 0.999999, Window{at(72 * day), at(70 * day)}, 60 * day},
	} {
		p, err := New(start, Settings{Authorities: 1, Budget: DefaultBudget, WindowOffset: k.place})
		if err != nil {
			t.Fatal(err)
		}
		p.CertificateIssued(start, Certificate{NotBefore: start, NotAfter: at(k.life)})
		p.SetWindow(start, k.window, 0)
		if got := p.DueAt().Sub(start); got < k.want-time.Minute || got > k.want+time.Minute {
			t.Errorf("%s: due after %v, want %v", k.name, got, k.want)
		}
	}
}

// TestFleetRenewalsAreSpreadOverHours counts the due renewals an hour of a thousand boxes whose certificates were
// issued at the same time.
func TestFleetRenewalsAreSpreadOverHours(t *testing.T) {
	hours := map[int]int{}
	for i := range 1000 {
		p, _ := New(start, Settings{Authorities: 1, Budget: DefaultBudget, WindowOffset: float64(i*617%1000) / 1000})
		p.CertificateIssued(start, Certificate{NotBefore: start, NotAfter: start.Add(90 * day)})
		p.WindowFailed(start)
		hours[int(p.DueAt().Sub(start)/time.Hour)]++
	}
	for h, n := range hours {
		if n > 8 {
			t.Errorf("%d of 1000 boxes renew in hour %d, want at most 8", n, h)
		}
	}
}

func TestClockStepsBackAndForth(t *testing.T) {
	w := newOrderObserver(t, Settings{Authorities: 1, Budget: Budget{Hour: 1, Week: 5}})
	w.issue(90*day, 0)
	w.now = start.Add(70 * day)
	w.begin(t, w.plan.Next(w.now))
	w.fail(0, Outcome{Class: RateLimited, RetryAfter: 2 * time.Hour})
	if a := w.plan.Next(w.now); a.Kind != Wait || a.At.Sub(w.now) > 2*time.Hour {
		t.Errorf("after a rate limit of 2 h: %+v", a)
	}
	back := w.now.Add(-30 * day)
	if a := w.plan.Next(back); a.Kind == Wait && a.At.Sub(back) > 20*day {
		t.Errorf("clock 30 days back: the next step is %v away", a.At.Sub(back))
	}
	ahead := start.Add(100 * day)
	if got := w.plan.Alarm(ahead); got != Expired {
		t.Errorf("clock 30 days ahead: the alarm is %v", got)
	}
	if a := w.plan.Next(ahead); a.Kind != Order {
		t.Errorf("clock 30 days ahead: %+v, want an order", a)
	}
	if a := w.plan.Next(w.now); a.Kind == Wait && a.At.Sub(w.now) > 2*time.Hour {
		t.Errorf("clock back at the right time: the next step is %v away", a.At.Sub(w.now))
	}
}

func TestAlarmsRiseTowardExpiry(t *testing.T) {
	p, _ := New(start, Settings{Authorities: 1, Budget: DefaultBudget})
	if p.Alarm(start) != Notice {
		t.Errorf("without a certificate: alarm %v, want notice", p.Alarm(start))
	}
	p.CertificateIssued(start, Certificate{NotBefore: start, NotAfter: start.Add(90 * day)})
	var got []string
	last := alarmCount
	for d := time.Duration(0); d <= 90*day; d += time.Hour {
		if d == 61*day {
			p.OrderStarted(start.Add(d), 0, false)
			p.OrderFailed(start.Add(d), Outcome{Class: Transient})
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

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, s := range []Settings{{}, {Authorities: 1}, {Authorities: 1, Budget: Budget{Hour: 3, Week: 2}}, {Authorities: 1, Budget: DefaultBudget, WindowOffset: 1}} {
		if _, err := New(start, s); err == nil {
			t.Errorf("invalid settings %+v are accepted", s)
		}
	}
}

// TestBudgetSurvivesRestart restores orders from before the restart and checks that they count.
func TestBudgetSurvivesRestart(t *testing.T) {
	p, _ := New(start, Settings{Authorities: 1, Budget: Budget{Hour: 2, Week: 9}})
	p.RestoreOrder(0, start.Add(-10*time.Minute))
	p.RestoreOrder(0, start.Add(-5*time.Minute))
	p.RestoreOrder(0, start.Add(time.Hour)) // lies in the future and is ignored
	p.RestoreOrder(7, start)
	if a := p.Next(start); a.Kind != Wait || !a.At.Equal(start.Add(50*time.Minute)) {
		t.Errorf("next: %+v", a)
	}
}
