package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cairnlane/policy"
)

// fakeIndex is a fake of the shared index that records the calls made to it.
type fakeIndex struct {
	gets, stops []string
}

func (x *fakeIndex) Get(txn string, wait time.Duration, body []byte) {
	x.gets = append(x.gets, txn+" "+string(body))
}

func (x *fakeIndex) Stop(txn string) { x.stops = append(x.stops, txn) }

// newIndexHarness returns a replica whose runs call a shared index.
func newIndexHarness(t *testing.T) (*harness, *fakeIndex) {
	x := new(fakeIndex)
	b := newHarnessWith(t, &harness{clock: newHarness(t).clock, attempts: map[string]*attempt{}}, Config{Index: x}, func(c *policy.Config) {
		c.Dependency, c.MeanCallLimit, c.MeanCallWindow, c.CallLinger = policy.SharedDependency, 8, time.Second, 100*ms
		c.Classes[0].SkipWorth = 0.5
	})
	return b, x
}

func wantList(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// TestCallReachesIndexAndReplyReachesRun checks that a call reaches the index with the body that the engine
// sent, and that its reply reaches the run unchanged.
func TestCallReachesIndexAndReplyReachesRun(t *testing.T) {
	b, x := newIndexHarness(t)
	read := b.arrive("", 0, 3*time.Second)
	wantList(t, "runs", b.runs, read.txn)
	b.CallRequested(read.txn, 1, []byte("call\r\nbody"))
	wantList(t, "calls", x.gets, read.txn+" call\r\nbody")
	b.CallEnded(read.txn, policy.Succeeded, 5*ms, []byte("reply\x00"))
	wantList(t, "written to the engine", b.callCommands, "FEED "+read.txn+" reply\x00")
	b.end(read.txn, policy.Succeeded)
	read.want(t, Served, "result of "+read.txn)
	b.CallEnded(read.txn, policy.Succeeded, 5*ms, nil) // the end of an unknown call is ignored
	wantList(t, "written to the engine", b.callCommands, "FEED "+read.txn+" reply\x00")
	if len(b.violations) > 0 {
		t.Error(strings.Join(b.violations, "; "))
	}
}

// TestIndexReplyIsSentOnNextLink checks that a reply that arrives while there is no link is sent to the run once
// a link is up again.
func TestIndexReplyIsSentOnNextLink(t *testing.T) {
	b, _ := newIndexHarness(t)
	read := b.arrive("", 0, 3*time.Second)
	b.CallRequested(read.txn, 4, []byte("q"))
	b.linkUp = false
	b.CallEnded(read.txn, policy.Succeeded, 5*ms, []byte("r"))
	wantList(t, "written without a link", b.callCommands)
	b.Attached(b.clock.Now(), func() { b.linkUp = true })
	wantList(t, "written after the link", b.callCommands, "FEED "+read.txn+" r")
}

// TestFailedCallIsRetriedThenSkipped checks that a failed call of a safe class is retried, and that it is
// skipped with the number of the engine's notice when it cannot be retried any more.
func TestFailedCallIsRetriedThenSkipped(t *testing.T) {
	b, x := newIndexHarness(t)
	read := b.arrive("", 0, 3*time.Second)
	b.CallRequested(read.txn, 7, []byte("q"))
	b.CallEnded(read.txn, policy.Failed, 5*ms, nil) // the call of a safe class may be retried
	for i := 0; i < 10 && len(x.gets) < 2; i++ {
		b.clock.Advance(60 * ms)
	}
	if len(x.gets) < 2 {
		t.Fatalf("calls %q: a failed call of a safe class was not retried", x.gets)
	}
	for len(b.callCommands) == 0 && len(x.gets) < 10 {
		b.CallEnded(read.txn, policy.Failed, 5*ms, nil)
		b.clock.Advance(200 * ms)
	}
	wantList(t, "written to the engine", b.callCommands, "SKIP "+read.txn+" 7")
}

// TestEndOfRunStopsItsCall checks that a run that ends while its call is outstanding stops the call.
func TestEndOfRunStopsItsCall(t *testing.T) {
	b, x := newIndexHarness(t)
	read := b.arrive("", 0, 3*time.Second)
	b.CallRequested(read.txn, 1, []byte("q"))
	b.end(read.txn, policy.Cancelled)
	wantList(t, "stopped", x.stops, read.txn)
}

// TestQueuedAttemptOfGoneCallerDoesNotRun checks that a queued attempt whose caller has gone is answered at once
// and never runs, and that an attempt that already runs continues to its end.
func TestQueuedAttemptOfGoneCallerDoesNotRun(t *testing.T) {
	b := newHarnessWith(t, &harness{clock: newHarness(t).clock, attempts: map[string]*attempt{}}, Config{}, func(c *policy.Config) {
		c.Cores = 1
	})
	var attempts []*attempt
	for range 6 {
		attempts = append(attempts, b.arrive("", 0, 3*time.Second))
	}
	running := len(b.runs)
	if running == 0 || running == len(attempts) {
		t.Fatalf("%d of %d attempts run: the test needs some of them queued", running, len(attempts))
	}
	last := attempts[len(attempts)-1]
	b.CallerGone(last.txn)
	last.want(t, Rejected, "")
	b.CallerGone(attempts[0].txn) // it runs and is answered at its end
	if len(attempts[0].answers) != 0 {
		t.Errorf("a running attempt was answered when its caller was gone: %+v", attempts[0].answers)
	}
	for _, q := range attempts[:running] {
		b.end(q.txn, policy.Succeeded)
	}
	for i := 0; i < 100 && len(b.runs) < len(attempts)-1; i++ {
		b.clock.Advance(10 * ms)
		for _, txn := range b.runs {
			if q := b.attempts[txn]; !q.ended {
				b.end(txn, policy.Succeeded)
			}
		}
	}
	if slices.Contains(b.runs, last.txn) {
		t.Errorf("the attempt of the caller that is gone ran: runs %q", b.runs)
	}
	if len(b.violations) > 0 {
		t.Error(strings.Join(b.violations, "; "))
	}
}

// TestRepeatOfAttemptOfGoneCallerIsRejected checks that a repeat that waits for a queued attempt is rejected
// when the caller of that attempt goes: the attempt never ran, and without the answer the repeat would wait
// until it is due.
func TestRepeatOfAttemptOfGoneCallerIsRejected(t *testing.T) {
	b := newHarnessWith(t, &harness{clock: newHarness(t).clock, attempts: map[string]*attempt{}}, Config{}, func(c *policy.Config) {
		c.Cores = 1
	})
	for range 4 {
		b.arrive("", 0, 3*time.Second)
	}
	first, repeat := b.arrive("k", 0, 3*time.Second), b.arrive("k", 0, 3*time.Second)
	if slices.Contains(b.runs, first.txn) || len(first.answers)+len(repeat.answers) != 0 {
		t.Fatalf("runs %q: the test needs a queued attempt and its repeat", b.runs)
	}
	b.CallerGone(first.txn)
	first.want(t, Rejected, "")
	repeat.want(t, Rejected, "")
	later := b.arrive("k", 0, 3*time.Second) // a new request: the key is free
	if later.answers != nil || b.txns[later.txn].waitsOn != nil {
		t.Errorf("a later attempt was answered %+v, or waits for the removed one", later.answers)
	}
	if len(b.violations) > 0 {
		t.Error(strings.Join(b.violations, "; "))
	}
}

// TestReplyThatMayBeReadIsNotSentAgain guards against a reply that reaches the wrong call: FEED names no call, so one that is written
// again on a new link answers the run's next call if the engine has read the first one (review/2).
func TestReplyThatMayBeReadIsNotSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		idempotencyKey string        // the class of keyed attempts cannot skip calls
		confirmed      time.Duration // how long after the FEED the engine is known to have read everything
		want           []string      // written on the new link
	}{
		"the call can be skipped":    {"", -ms, []string{"SKIP %s 4"}},
		"the call cannot be skipped": {"k", -ms, nil},
		"the engine has read it":     {"", ms, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := newIndexHarness(t)
			x := b.arrive(c.idempotencyKey, 0, 3*time.Second)
			b.CallRequested(x.txn, 4, []byte("q"))
			b.CallEnded(x.txn, policy.Succeeded, 5*ms, []byte("r"))
			wantList(t, "written on the first link", b.callCommands, "FEED "+x.txn+" r")
			fedAt := b.clock.Now()
			b.linkUp, b.callCommands = false, nil
			b.clock.Advance(2 * ms)
			b.Attached(fedAt+c.confirmed, func() { b.linkUp = true })
			var want []string
			for _, command := range c.want {
				want = append(want, fmt.Sprintf(command, x.txn))
			}
			wantList(t, "written on the new link", b.callCommands, want...)
		})
	}
}

// TestWaitingCallIsNotAnsweredByNewLink guards against an invented reply: a run that waits for a call that is not made yet has
// nothing to be sent again.
func TestWaitingCallIsNotAnsweredByNewLink(t *testing.T) {
	b, _ := newIndexHarness(t)
	x := b.arrive("", 0, 3*time.Second)
	b.CallRequested(x.txn, 4, []byte("q"))
	b.CallEnded(x.txn, policy.Failed, 5*ms, nil) // the module calls again later
	b.linkUp = false
	b.attach()
	wantList(t, "written on the new link", b.callCommands)
}
