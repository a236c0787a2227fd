package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A dependency that slows down when it is crowded used to be held crowded, at the bound that only kept it alive.
func TestTheCallLimitFollowsTheLatency(t *testing.T) {
	l := newCallLimit(10)
	for range 100 {
		l.observe(20 * ms)
	}
	if l.limit != 10 || l.crowded() {
		t.Errorf("a limit of %.1f of 10 while calls are quick", l.limit)
	}
	for range 100 {
		l.observe(400 * ms)
	}
	if l.limit > 3 || !l.crowded() {
		t.Errorf("a limit of %.1f of 10 while calls take twenty times as long", l.limit)
	}
	for range 100 {
		l.observe(20 * ms)
	}
	if l.limit < 9.9 || l.crowded() {
		t.Errorf("a limit of %.1f of 10 once calls are quick again", l.limit)
	}
}

func TestTheCallLimitStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.Float64Range(0, 50).Draw(t, "most")
		l := newCallLimit(most)
		for _, took := range rapid.SliceOf(rapid.Int64Range(0, int64(time.Minute))).Draw(t, "calls") {
			l.observe(time.Duration(took))
			if least := min(leastCallLimit, most); l.limit < least || l.limit > most {
				t.Fatalf("a limit of %g, want %g to %g", l.limit, least, most)
			}
		}
	})
}

// callServer starts a controller that may have one call in hand, with a class that can go on without its call and
// one that cannot, and begins a run of each class given; the first of them has the call.
func callServer(t *testing.T, classes ...int) (*Controller, *fakeHost) {
	t.Helper()
	cfg := testConfig()
	cfg.FairCalls, cfg.Cores = 1/callShare, 8
	cfg.Classes[0].SkipWorth = 0.5
	c, h := start(t, cfg)
	for i, class := range classes {
		c.Arrive(0, Request{ID: RequestID(i + 1), Class: class, KB: 1})
		c.NeedsCall(0, RequestID(i+1))
	}
	return c, h
}

func TestARequestGoesOnWithoutACallThatItHasWaitedFor(t *testing.T) {
	c, h := callServer(t, 1, 0, 1)
	want(t, h, "keep 1, run 1, call 1, run 2, keep 3, run 3")
	patience := time.Duration(skipPatience * float64(c.classes[0].Aim))
	c.Tick(patience, Gauges{})
	want(t, h, "")
	c.Tick(patience+ms, Gauges{})
	want(t, h, "skip 2") // and never 3, which earns nothing without its call
	if len(c.calls) != 1 || c.count[running] != 1 || c.count[atCall] != 1 {
		t.Errorf("%d wait, %d run, %d at a call", len(c.calls), c.count[running], c.count[atCall])
	}
}

func TestCallsOfACrowdedDependencyGoToThoseThatCannotDoWithout(t *testing.T) {
	c, h := callServer(t, 1)
	h.take()
	c.callLimit.most, c.callLimit.limit = 8, 2 // a second call might be made
	c.Arrive(ms, Request{ID: 2, Class: 0, KB: 1})
	c.NeedsCall(ms, 2)
	want(t, h, "run 2, skip 2")
}

func TestARunIsJudgedWithoutItsWaitForACall(t *testing.T) {
	c, h := callServer(t, 1, 1)
	h.take()
	c.Called(time.Second, 1, Succeeded, time.Second)
	c.Done(time.Second, 1, Succeeded, time.Second)
	c.Called(1100*ms, 2, Succeeded, 100*ms)
	c.Done(1100*ms, 2, Succeeded, 1100*ms) // one second of it was spent waiting for the call of 1
	if mean := c.classes[1].meanRun; mean > 1 || mean < 0.9 {
		t.Errorf("a mean run of %.2f s, want that of 1 and a little of the 100 ms of 2", mean)
	}
	if c.classes[1].meanCalls != 1 {
		t.Errorf("%.1f calls a run", c.classes[1].meanCalls)
	}
}

// What had to wait for its call past its aim used to be started all the same.
func TestALineAtTheCallsTurnsAwayWhatNeedsOne(t *testing.T) {
	c, h := callServer(t, 1, 1, 1, 1, 1, 1)
	h.take()
	c.classes[1].meanRun, c.classes[1].meanCalls = 0.1, 1
	c.callLimit.recent = 0.1
	c.Arrive(ms, Request{ID: 10, Class: 1, KB: 1})
	want(t, h, "keep 10, run 10") // five wait, for half a second
	c.callLimit.recent = 0.4
	c.Arrive(2*ms, Request{ID: 11, Class: 1, KB: 1})
	want(t, h, "refuse 11")
	c.Arrive(3*ms, Request{ID: 12, Class: 0, KB: 1}) // can go on without
	want(t, h, "run 12")
}

// A dependency that turns calls away used to make a run fail after three tries within some milliseconds, though
// all its work was done.
func TestACallThatIsTurnedAwayIsMadeAgainWithBackoff(t *testing.T) {
	c, h := callServer(t, 1)
	h.take()
	tries, last, gap := 0, time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 4*time.Second; now += c.tick {
		if c.live[1].state == calling {
			if tries++; tries > 1 {
				if now-last < gap {
					t.Fatalf("try %d came %v after the one before it, which had waited %v", tries, now-last, gap)
				}
				gap = now - last
			}
			last = now
			c.Called(now, 1, TurnedAway, 0)
		}
		c.Tick(now, Gauges{})
	}
	if tries <= callTries || tries > 15 {
		t.Errorf("%d tries in four seconds", tries)
	}
	if c.live[1].answered {
		t.Errorf("answered a second before it is due: %s", h.take())
	}
	h.take()
	c.Tick(5*time.Second, Gauges{})
	want(t, h, "fail 1")
}

func TestACallThatIsTurnedAwayLowersTheLimit(t *testing.T) {
	l := newCallLimit(10)
	for range 4 {
		l.shed()
	}
	if l.limit > 5 {
		t.Errorf("a limit of %.1f of 10 after four calls were turned away", l.limit)
	}
	for range 100 {
		l.shed()
	}
	if l.limit != leastCallLimit {
		t.Errorf("a limit of %g after a hundred", l.limit)
	}
}

// One call that was never answered used to count for its whole patience in the mean time of calls, so that the limit
// fell and what needs a call was rejected for the wait it did not have.
func TestACallThatIsNeverAnsweredSaysNothingOfTheOthers(t *testing.T) {
	l := newCallLimit(10)
	for range 100 {
		l.observe(3 * ms)
	}
	l.observe(9 * time.Second)
	if l.recent > 0.006 || l.crowded() {
		t.Errorf("a mean of %.3f s and a limit of %.1f of 10 after one call was given up", l.recent, l.limit)
	}
}

// Calls that are never answered used to take the places of the limit until they were given up, seconds later.
func TestCallsThatAreOverdueHoldUpNoOther(t *testing.T) {
	c, _ := callServer(t, 1, 1, 1, 1)
	c.callLimit.most, c.callLimit.limit, c.callLimit.recent = 3, 1, 0.01
	overdue := c.callLimit.overdue()
	for _, step := range []struct {
		at      time.Duration
		calling int
	}{
		{overdue, 1},
		{overdue + ms, 2},
		{2*overdue + 3*ms, 3},
		{4 * overdue, 3}, // all three are overdue, and no more are allowed
	} {
		if c.Tick(step.at, Gauges{}); c.count[calling] != step.calling {
			t.Errorf("%d calls in hand after %v, want %d", c.count[calling], step.at, step.calling)
		}
	}
	c.Called(4*overdue+ms, 1, Succeeded, 4*overdue)
	if c.count[calling] != 3 || c.live[1].state != running {
		t.Errorf("%d calls in hand once one is answered, want 3", c.count[calling])
	}
	if len(c.callsOut) != 3 {
		t.Errorf("%d calls are remembered, three are out", len(c.callsOut))
	}
}
