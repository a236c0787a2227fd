package replica

import (
	"slices"
	"strings"
	"testing"
	"time"

	"cairnlane/policy"
)

// index is the shared index as the test plays it: it keeps what it was asked.
type index struct {
	gets, stops []string
}

func (x *index) Get(txn string, wait time.Duration, body []byte) {
	x.gets = append(x.gets, txn+" "+string(body))
}

func (x *index) Stop(txn string) { x.stops = append(x.stops, txn) }

// newCallingBench is a replica at a site whose runs call a shared index.
func newCallingBench(t *testing.T) (*bench, *index) {
	x := new(index)
	b := newBenchOf(t, &bench{clock: newBench(t).clock, tries: map[string]*try{}}, Config{Index: x}, func(c *policy.Config) {
		c.Dependency, c.FairCalls, c.CallsOver, c.CallLinger = policy.SharedDependency, 8, time.Second, 100*ms
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

// The replica used to refuse to start at a site whose runs call a shared index; a call must reach the index with the body
// the engine gave, and its reply the run unchanged.
func TestACallGoesToTheIndexAndItsReplyToTheRun(t *testing.T) {
	b, x := newCallingBench(t)
	read := b.arrive("", 0, 3*time.Second)
	wantList(t, "runs", b.runs, read.txn)
	b.Need(read.txn, 1, []byte("call\r\nbody"))
	wantList(t, "calls", x.gets, read.txn+" call\r\nbody")
	b.Called(read.txn, policy.Succeeded, 5*ms, []byte("reply\x00"))
	wantList(t, "written to the engine", b.waits, "FEED "+read.txn+" reply\x00")
	b.end(read.txn, policy.Succeeded)
	read.want(t, Served, "result of "+read.txn)
	b.Called(read.txn, policy.Succeeded, 5*ms, nil) // a stray end harms nothing
	wantList(t, "written to the engine", b.waits, "FEED "+read.txn+" reply\x00")
	if len(b.faults) > 0 {
		t.Error(strings.Join(b.faults, "; "))
	}
}

// A reply that comes while there is no link reaches the run once a link is up again.
func TestAReplyWaitsForTheLink(t *testing.T) {
	b, _ := newCallingBench(t)
	read := b.arrive("", 0, 3*time.Second)
	b.Need(read.txn, 4, []byte("q"))
	b.up = false
	b.Called(read.txn, policy.Succeeded, 5*ms, []byte("r"))
	wantList(t, "written without a link", b.waits)
	b.Attached(b.clock.Now(), func() { b.up = true })
	wantList(t, "written after the link", b.waits, "FEED "+read.txn+" r")
}

// A call that cannot be made again is skipped where the class allows it, by the number of the engine's notice.
func TestAFailedCallIsSkippedOrMadeAgain(t *testing.T) {
	b, x := newCallingBench(t)
	read := b.arrive("", 0, 3*time.Second)
	b.Need(read.txn, 7, []byte("q"))
	b.Called(read.txn, policy.Failed, 5*ms, nil) // a safe class may call again
	for i := 0; i < 10 && len(x.gets) < 2; i++ {
		b.clock.Advance(60 * ms)
	}
	if len(x.gets) < 2 {
		t.Fatalf("calls %q: a failed call of a safe class is made again", x.gets)
	}
	for len(b.waits) == 0 && len(x.gets) < 10 {
		b.Called(read.txn, policy.Failed, 5*ms, nil)
		b.clock.Advance(200 * ms)
	}
	wantList(t, "written to the engine", b.waits, "SKIP "+read.txn+" 7")
}

// A run that ends while its call is out gives the call up.
func TestARunThatEndsGivesItsCallUp(t *testing.T) {
	b, x := newCallingBench(t)
	read := b.arrive("", 0, 3*time.Second)
	b.Need(read.txn, 1, []byte("q"))
	b.end(read.txn, policy.Cancelled)
	wantList(t, "stopped", x.stops, read.txn)
}

// A caller that is gone used to be waited for: a held try ran later all the same. Now it is answered at once and never
// run, and a try that runs already is left to end.
func TestATryWhoseCallerIsGoneDoesNotRun(t *testing.T) {
	b := newBenchOf(t, &bench{clock: newBench(t).clock, tries: map[string]*try{}}, Config{}, func(c *policy.Config) {
		c.Cores = 1
	})
	var tries []*try
	for range 6 {
		tries = append(tries, b.arrive("", 0, 3*time.Second))
	}
	running := len(b.runs)
	if running == 0 || running == len(tries) {
		t.Fatalf("%d of %d run: the test needs some held", running, len(tries))
	}
	last := tries[len(tries)-1]
	b.Gone(last.txn)
	last.want(t, Refused, "")
	b.Gone(tries[0].txn) // it runs: its end answers it
	if len(tries[0].answers) != 0 {
		t.Errorf("a running try is answered when its caller is gone: %+v", tries[0].answers)
	}
	for _, q := range tries[:running] {
		b.end(q.txn, policy.Succeeded)
	}
	for i := 0; i < 100 && len(b.runs) < len(tries)-1; i++ {
		b.clock.Advance(10 * ms)
		for _, txn := range b.runs {
			if q := b.tries[txn]; !q.over {
				b.end(txn, policy.Succeeded)
			}
		}
	}
	if slices.Contains(b.runs, last.txn) {
		t.Errorf("the try whose caller is gone ran: runs %q", b.runs)
	}
	if len(b.faults) > 0 {
		t.Error(strings.Join(b.faults, "; "))
	}
}

// A repeat that waited for a held try whose caller went used to wait on until it was due: nobody was left to run for it. It
// never ran, and its caller is told so at once.
func TestARepeatOfATryWhoseCallerIsGoneIsRefused(t *testing.T) {
	b := newBenchOf(t, &bench{clock: newBench(t).clock, tries: map[string]*try{}}, Config{}, func(c *policy.Config) {
		c.Cores = 1
	})
	for range 4 {
		b.arrive("", 0, 3*time.Second)
	}
	first, repeat := b.arrive("k", 0, 3*time.Second), b.arrive("k", 0, 3*time.Second)
	if slices.Contains(b.runs, first.txn) || len(first.answers)+len(repeat.answers) != 0 {
		t.Fatalf("runs %q: the test needs a held try and its repeat", b.runs)
	}
	b.Gone(first.txn)
	first.want(t, Refused, "")
	repeat.want(t, Refused, "")
	again := b.arrive("k", 0, 3*time.Second) // a new request: the key is free
	if again.answers != nil || b.txns[again.txn].waitsOn != nil {
		t.Errorf("a later try is answered %+v or waits for one that is gone", again.answers)
	}
	if len(b.faults) > 0 {
		t.Error(strings.Join(b.faults, "; "))
	}
}
