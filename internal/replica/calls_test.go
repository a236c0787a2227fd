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
