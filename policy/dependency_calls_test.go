package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCallLimitFollowsLatency guards against a limit that stays at its maximum and so keeps a dependency
// congested that slows down under load.
func TestCallLimitFollowsLatency(t *testing.T) {
	l := newCallLimit(10)
	for range 100 {
		l.observe(20 * ms)
	}
	if l.limit != 10 || l.congested() {
		t.Errorf("limit %.1f of 10 while calls are fast", l.limit)
	}
	for range 100 {
		l.observe(400 * ms)
	}
	if l.limit > 3 || !l.congested() {
		t.Errorf("limit %.1f of 10 while calls take twenty times as long", l.limit)
	}
	for range 100 {
		l.observe(20 * ms)
	}
	if l.limit < 9.9 || l.congested() {
		t.Errorf("limit %.1f of 10 once calls are fast again", l.limit)
	}
}

func TestCallLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.Float64Range(0, 50).Draw(t, "most")
		l := newCallLimit(most)
		for _, took := range rapid.SliceOf(rapid.Int64Range(0, int64(time.Minute))).Draw(t, "calls") {
			l.observe(time.Duration(took))
			if least := min(minCallLimit, most); l.limit < least || l.limit > most {
				t.Fatalf("limit %g, want %g to %g", l.limit, least, most)
			}
		}
	})
}

// startWithCalls starts a controller that may have one open call, with class 0, which can skip its call, and class 1,
// which cannot. It starts a request of each given class, and the first of them makes its call.
func startWithCalls(t *testing.T, classes ...int) (*Controller, *recordingHost) {
	t.Helper()
	cfg := testConfig()
	cfg.MeanCallLimit, cfg.Cores = 1/callShare, 8
	cfg.Classes[0].SkipWorth = 0.5
	c, h := startController(t, cfg)
	for i, class := range classes {
		c.Arrive(0, Request{ID: RequestID(i + 1), Class: class, KB: 1})
		c.NeedsCall(0, RequestID(i+1))
	}
	return c, h
}

func TestOptionalCallIsSkippedAfterWait(t *testing.T) {
	c, h := startWithCalls(t, 1, 0, 1)
	wantActions(t, h, "keep 1, run 1, call 1, run 2, keep 3, run 3")
	patience := time.Duration(skipWaitShare * float64(c.classes[0].Aim))
	c.Tick(patience, Gauges{})
	wantActions(t, h, "")
	c.Tick(patience+ms, Gauges{})
	wantActions(t, h, "skip 2") // not 3, whose class cannot skip its call
	if len(c.callQueue) != 1 || c.count[running] != 1 || c.count[awaitingCall] != 1 {
		t.Errorf("%d queued calls, %d running, %d awaiting a call", len(c.callQueue), c.count[running], c.count[awaitingCall])
	}
}

func TestOptionalCallIsSkippedAtCongestedDependency(t *testing.T) {
	c, h := startWithCalls(t, 1)
	h.takeActions()
	c.callLimit.maximum, c.callLimit.limit = 8, 2 // leaves room for a second call
	c.Arrive(ms, Request{ID: 2, Class: 0, KB: 1})
	c.NeedsCall(ms, 2)
	wantActions(t, h, "run 2, skip 2")
}

func TestMeanRunExcludesWaitForCall(t *testing.T) {
	c, h := startWithCalls(t, 1, 1)
	h.takeActions()
	c.CallDone(time.Second, 1, Succeeded, time.Second)
	c.Done(time.Second, 1, Succeeded, time.Second)
	c.CallDone(1100*ms, 2, Succeeded, 100*ms)
	c.Done(1100*ms, 2, Succeeded, 1100*ms) // it waited one second of this for the call of 1 to end
	if mean := c.classes[1].meanRun; mean > 1 || mean < 0.9 {
		t.Errorf("mean run %.2f s, want 0.9 to 1: the 1 s of request 1 and a little of the 100 ms of request 2", mean)
	}
	if c.classes[1].meanCalls != 1 {
		t.Errorf("mean of %.1f calls per run, want 1", c.classes[1].meanCalls)
	}
}

// TestLongCallQueueRejectsRequestsThatNeedCall guards against starting requests that then wait for their call
// until after their aim.
func TestLongCallQueueRejectsRequestsThatNeedCall(t *testing.T) {
	c, h := startWithCalls(t, 1, 1, 1, 1, 1, 1)
	h.takeActions()
	c.classes[1].meanRun, c.classes[1].meanCalls = 0.1, 1
	c.callLimit.meanTime = 0.1
	c.Arrive(ms, Request{ID: 10, Class: 1, KB: 1})
	wantActions(t, h, "keep 10, run 10") // five calls wait, for half a second
	c.callLimit.meanTime = 0.4
	c.Arrive(2*ms, Request{ID: 11, Class: 1, KB: 1})
	wantActions(t, h, "reject 11")
	c.Arrive(3*ms, Request{ID: 12, Class: 0, KB: 1}) // can skip its call
	wantActions(t, h, "run 12")
}

// TestRejectedCallIsRetriedWithBackoff guards against failing a run, with all its work done, because its
// dependency rejected three attempts at a call within some milliseconds.
func TestRejectedCallIsRetriedWithBackoff(t *testing.T) {
	c, h := startWithCalls(t, 1)
	h.takeActions()
	attempts, last, gap := 0, time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 4*time.Second; now += c.tickInterval {
		if c.live[1].state == calling {
			if attempts++; attempts > 1 {
				if now-last < gap {
					t.Fatalf("attempt %d came %v after the last one, which had waited %v", attempts, now-last, gap)
				}
				gap = now - last
			}
			last = now
			c.CallDone(now, 1, Rejected, 0)
		}
		c.Tick(now, Gauges{})
	}
	if attempts <= maxCallAttempts || attempts > 15 {
		t.Errorf("%d attempts in four seconds", attempts)
	}
	if c.live[1].answered {
		t.Errorf("request answered a second before it is due: %s", h.takeActions())
	}
	h.takeActions()
	c.Tick(5*time.Second, Gauges{})
	wantActions(t, h, "fail 1")
}

func TestRejectedCallLowersLimit(t *testing.T) {
	l := newCallLimit(10)
	for range 4 {
		l.observeRejection()
	}
	if l.limit > 5 {
		t.Errorf("limit %.1f of 10 after four rejected calls", l.limit)
	}
	for range 100 {
		l.observeRejection()
	}
	if l.limit != minCallLimit {
		t.Errorf("limit %g after a hundred more rejected calls", l.limit)
	}
}

// TestUnansweredCallDoesNotLowerLimit guards against one unanswered call that adds its whole time-out to the
// mean duration of calls: the limit would fall, and requests that need a call would be rejected for a wait that
// does not exist.
func TestUnansweredCallDoesNotLowerLimit(t *testing.T) {
	l := newCallLimit(10)
	for range 100 {
		l.observe(3 * ms)
	}
	l.observe(9 * time.Second)
	if l.meanTime > 0.006 || l.congested() {
		t.Errorf("mean duration %.3f s and limit %.1f of 10 after one call timed out", l.meanTime, l.limit)
	}
}

// TestOverdueCallsDoNotBlockOthers guards against unanswered calls that use up the limit until they time out
// seconds later.
func TestOverdueCallsDoNotBlockOthers(t *testing.T) {
	c, _ := startWithCalls(t, 1, 1, 1, 1)
	c.callLimit.maximum, c.callLimit.limit, c.callLimit.meanTime = 3, 1, 0.01
	overdue := c.callLimit.overdueAge()
	for _, step := range []struct {
		at      time.Duration
		calling int
	}{
		{overdue, 1},
		{overdue + ms, 2},
		{2*overdue + 3*ms, 3},
		{4 * overdue, 3}, // all three are overdue, and the maximum is reached
	} {
		if c.Tick(step.at, Gauges{}); c.count[calling] != step.calling {
			t.Errorf("%d open calls after %v, want %d", c.count[calling], step.at, step.calling)
		}
	}
	c.CallDone(4*overdue+ms, 1, Succeeded, 4*overdue)
	if c.count[calling] != 3 || c.live[1].state != running {
		t.Errorf("%d open calls once one is answered, want 3", c.count[calling])
	}
	if len(c.openCalls) != 3 {
		t.Errorf("%d calls recorded as open, want 3", len(c.openCalls))
	}
}
