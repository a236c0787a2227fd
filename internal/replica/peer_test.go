package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/handover"
	"cairnlane/internal/testkit"
	"cairnlane/policy"
)

// pair is two processes of one replica with a simulated link: messages are in transit until they are delivered.
type pair struct {
	old, new *harness
	toOld    peerLink
	toNew    peerLink
	synced   bool // the new process received the Synced message on this link
}

// peerLink is one direction of the link.
type peerLink struct {
	messages []*handover.Message
	cut      bool
	from     *harness
}

func (w *peerLink) Send(m *handover.Message) {
	if w.cut || w.from.killed {
		return
	}
	c := *m
	c.Body = slices.Clone(m.Body)
	w.messages = append(w.messages, &c)
}

func newPair(t interface{ Fatal(...any) }) *pair {
	p := &pair{old: newPeerHarness(t, &harness{clock: testkit.NewClock(), attempts: map[string]*attempt{}}, true)}
	p.start(t)
	return p
}

// start starts a new process beside the old one.
func (p *pair) start(t interface{ Fatal(...any) }) {
	p.new = newPeerHarness(t, p.old, true)
	p.new.FollowPredecessor()
	p.link()
}

func (p *pair) link() {
	p.synced = false
	p.toOld, p.toNew = peerLink{from: p.new}, peerLink{from: p.old}
	p.new.PeerConnected(&p.toOld)
	p.old.PeerConnected(&p.toNew)
}

func (p *pair) cut() {
	p.toOld.cut, p.toNew.cut = true, true
}

// deliver delivers n messages, or all if n is negative.
func (p *pair) deliver(w *peerLink, n int) {
	to := p.old
	if w == &p.toNew {
		to = p.new
	}
	for ; n != 0 && len(w.messages) > 0; n-- {
		m := w.messages[0]
		w.messages = w.messages[1:]
		if m.Kind == handover.Synced {
			p.synced = true
		}
		if !to.killed {
			to.ReceiveFromPeer(m)
		}
	}
}

func (p *pair) settle() {
	for len(p.toOld.messages)+len(p.toNew.messages) > 0 {
		p.deliver(&p.toNew, -1)
		p.deliver(&p.toOld, -1)
	}
}

// killOld kills the old process; the new one reads the messages in transit and takes over.
func (p *pair) killOld() {
	p.old.killed, p.old.linkUp = true, false
	p.deliver(&p.toNew, -1)
	p.new.PeerDisconnected()
	p.new.PredecessorEnded(p.synced && !p.toNew.cut)
}

func (p *pair) killNew() {
	p.new.killed, p.new.linkUp = true, false
	p.deliver(&p.toOld, -1)
	p.old.PeerDisconnected()
}

func (p *pair) violations() []string {
	return append(slices.Clone(p.old.violations), p.new.violations...)
}

func (p *pair) check(t *testing.T, runs ...*attempt) {
	t.Helper()
	ran := len(p.old.runs) + len(p.new.runs)
	if ran != len(runs) || len(p.violations()) > 0 {
		t.Errorf("%d runs, want %d; violations %v", ran, len(runs), p.violations())
	}
}

func TestKeyedRequestRunsInOneProcessAndServesBoth(t *testing.T) {
	for _, order := range []string{"old first", "new first"} {
		p := newPair(t)
		p.settle()
		first, second := p.old, p.new
		if order == "new first" {
			first, second = p.new, p.old
		}
		a := first.arrive("k", 0, time.Second)
		p.settle()
		b := second.arrive("k", 0, time.Second)
		p.settle()
		first.end(a.txn, policy.Succeeded)
		p.settle()
		c := second.arrive("k", 0, time.Second)
		p.settle()
		for _, x := range []*attempt{a, b, c} {
			x.want(t, Served, "result of "+a.txn)
		}
		p.check(t, a)
	}
}

// TestSimultaneousAttemptsInBothProcessesRunOnce has both processes receive the same keyed request at the same
// time, for each order of the messages in transit.
func TestSimultaneousAttemptsInBothProcessesRunOnce(t *testing.T) {
	for order := range 4 {
		p := newPair(t)
		p.settle()
		var a, b *attempt
		if order&1 == 0 {
			a, b = p.old.arrive("k", 0, time.Second), p.new.arrive("k", 0, time.Second)
		} else {
			b, a = p.new.arrive("k", 0, time.Second), p.old.arrive("k", 0, time.Second)
		}
		if order&2 == 0 {
			p.deliver(&p.toOld, -1)
		}
		p.settle()
		p.old.end(a.txn, policy.Succeeded)
		p.settle()
		a.want(t, Served, "result of "+a.txn)
		b.want(t, Served, "result of "+a.txn)
		p.check(t, a)
	}
}

// TestSuccessorKnowsRunsFromBeforeItsStart checks that the results of runs from before the new process started
// are available in the new process.
func TestSuccessorKnowsRunsFromBeforeItsStart(t *testing.T) {
	p := newPair(t)
	p.cut()
	p.killNew()
	a := p.old.arrive("k", 0, time.Second)
	p.old.end(a.txn, policy.Succeeded)
	p.start(t)
	p.settle()
	p.killOld()
	b := p.new.arrive("k", 0, time.Second)
	b.want(t, Served, "result of "+a.txn)
	p.check(t, a)
}

func TestRunOfKilledProcessFailsItsRepeats(t *testing.T) {
	p := newPair(t)
	p.settle()
	a := p.old.arrive("k", 0, 2*time.Second) // its entry is in transit when the old process is killed
	b := p.new.arrive("k", 0, 2*time.Second)
	p.killOld()
	b.want(t, Failed, "")
	p.new.arrive("k", 0, time.Second).want(t, Failed, "") // neither run again nor rejected
	other := p.new.arrive("j", 0, time.Second)            // the new process received all messages and does not know the key: it did not run
	p.new.end(other.txn, policy.Succeeded)
	other.want(t, Served, "result of "+other.txn)
	p.check(t, a, other)
}

func TestUnsyncedSuccessorFailsKeysUntilWindowEnds(t *testing.T) {
	p := newPair(t) // nothing is delivered
	p.toNew.messages = nil
	a := p.new.arrive("k", 0, time.Second)
	p.killOld()
	a.want(t, Failed, "")
	p.new.clock.Advance(window + 5*time.Second)
	b := p.new.arrive("k", 0, time.Second)
	p.new.end(b.txn, policy.Succeeded)
	b.want(t, Served, "result of "+b.txn)
	p.check(t, b)
}

// TestEvictedResultIsNotRunAgain checks that a repeat fails if its result was evicted before the new process
// started, as the result cannot be sent to that process.
func TestEvictedResultIsNotRunAgain(t *testing.T) {
	p := newPair(t)
	p.cut()
	p.killNew()
	var ran []*attempt
	for i := range 10 { // 64 bytes hold three results
		ran = append(ran, p.old.arrive(fmt.Sprint("k", i), 0, time.Second))
		p.old.end(ran[i].txn, policy.Succeeded)
	}
	p.start(t)
	p.settle()
	p.new.arrive("k0", 0, time.Second).want(t, Failed, "")
	p.killOld()
	p.new.arrive("k0", 0, time.Second).want(t, Failed, "")
	p.new.arrive("k9", 0, time.Second).want(t, Served, "result of "+ran[9].txn)
	p.check(t, ran...)
}

// TestUnansweredClaimTimesOut checks a claim that the other process does not answer because it hangs: the
// attempt fails without running, well before it is due, and other requests are not delayed.
func TestUnansweredClaimTimesOut(t *testing.T) {
	p := newPair(t)
	p.settle()
	a := p.new.arrive("k", 0, 2*time.Second)
	read := p.new.arrive("", 0, 2*time.Second)
	p.new.end(read.txn, policy.Succeeded)
	read.want(t, Served, "result of "+read.txn)
	p.new.clock.Advance(claimTimeout + 20*ms)
	a.want(t, Failed, "")
	p.settle() // the late grant is given back
	b := p.old.arrive("k", 0, time.Second)
	p.old.end(b.txn, policy.Succeeded)
	b.want(t, Served, "result of "+b.txn)
	p.check(t, read, b)
}

// TestLateGrantDoesNotSatisfyNewClaim has the grant of an abandoned claim arrive while the same key is claimed
// again. Without claim numbers the new process would take the late grant for that of the second claim, after it
// has given the key back.
func TestLateGrantDoesNotSatisfyNewClaim(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.new.arrive("k", 0, 2*time.Second)
	p.deliver(&p.toOld, -1) // granted
	p.new.clock.Advance(claimTimeout + 20*ms)
	grant := p.toNew.messages
	p.toNew.messages = nil
	b := p.new.arrive("k", 0, 2*time.Second) // claims again
	p.toNew.messages = grant
	p.deliver(&p.toNew, -1) // the first grant is given back
	if len(p.new.runs) != 0 {
		t.Fatal("the late grant was taken for that of the new claim")
	}
	p.settle()
	p.new.end(b.txn, policy.Succeeded)
	b.want(t, Served, "result of "+b.txn)
	p.check(t, b)
}

func TestDifferentBodyInOtherProcessFails(t *testing.T) {
	p := newPair(t)
	p.settle()
	a := p.old.arrive("k", 0, time.Second)
	other := &attempt{harness: p.new, txn: "a", deadline: p.new.clock.Now() + time.Second}
	if err := p.new.Arrive(Request{Txn: "a", Class: "save", Body: []byte("other"), KB: 10, ArrivedAt: p.new.clock.Time(), WaitLimit: time.Second,
		IdempotencyKey: "k", Reply: other}); err != nil {
		t.Fatal(err)
	}
	p.settle()
	other.want(t, Failed, "")
	p.check(t, a)
}

// TestInvariantsHoldOverTwoProcesses plays random steps on two replicas with the real module and their link, kills
// either of them, starts successors, and checks the invariants over both processes.
func TestInvariantsHoldOverTwoProcesses(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		p, broken := newPair(rt), assert.Failures()
		linked := true
		either := func(rt *rapid.T) *harness { return rapid.SampledFrom([]*harness{p.old, p.new}).Draw(rt, "process") }
		arrive := func(rt *rapid.T) {
			if b := either(rt); !b.killed {
				idempotencyKey := rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(rt, "unique")
				b.arrive(idempotencyKey, time.Duration(rapid.IntRange(0, 400).Draw(rt, "ago"))*ms, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "limit"))*ms)
			}
		}
		return map[string]func(*rapid.T){
			"arrive": arrive, "arrive again": arrive,
			"end": func(rt *rapid.T) {
				b := either(rt)
				for _, txn := range b.runs {
					if !b.attempts[txn].ended && b.linkUp {
						b.end(txn, rapid.SampledFrom([]policy.Outcome{policy.Succeeded, policy.Succeeded, policy.Failed}).Draw(rt, "end"))
						return
					}
				}
			},
			"to old": func(rt *rapid.T) { p.deliver(&p.toOld, rapid.IntRange(1, 3).Draw(rt, "n")) },
			"to new": func(rt *rapid.T) { p.deliver(&p.toNew, rapid.IntRange(1, 3).Draw(rt, "n")) },
			"settle": func(*rapid.T) { p.settle() },
			"wait":   func(rt *rapid.T) { p.old.clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * ms) },
			"cut": func(rt *rapid.T) {
				if linked && rapid.IntRange(0, 5).Draw(rt, "cut") == 0 {
					linked = false
					p.cut()
					if rapid.Bool().Draw(rt, "old process notices first") {
						p.old.PeerDisconnected()
						p.deliver(&p.toNew, -1)
						p.new.PeerDisconnected()
					} else {
						p.new.PeerDisconnected()
						p.deliver(&p.toOld, -1)
						p.old.PeerDisconnected()
					}
				}
			},
			"link": func(*rapid.T) {
				if !linked {
					linked = true
					p.link()
				}
			},
			"kill": func(rt *rapid.T) {
				if !linked || rapid.IntRange(0, 8).Draw(rt, "kill") > 0 {
					return
				}
				if rapid.Bool().Draw(rt, "old process") {
					p.killOld()
					p.old = p.new
				} else {
					p.killNew()
				}
				p.start(rt)
			},
			"": func(rt *rapid.T) {
				for _, x := range p.old.attempts {
					if !x.harness.killed && len(x.answers) == 0 && x.harness.clock.Now() > x.deadline+60*ms {
						x.harness.violations = append(x.harness.violations, fmt.Sprint(x.txn, " was not answered in time"))
					}
				}
				for _, b := range []*harness{p.old, p.new} {
					b.checkFigures(rt)
				}
				if f := p.violations(); len(f) > 0 || assert.Failures() != broken {
					rt.Fatalf("violations %v, %d invariants broken", f, assert.Failures()-broken)
				}
			},
		}
	})
}

// TestTimersEndWithTheirRequests guards against memory that grows with the rate of requests: the timer of a claim, or of a run in
// doubt, kept its request until it fired.
func TestTimersEndWithTheirRequests(t *testing.T) {
	p := newPair(t)
	p.settle()
	before := p.new.clock.Timers()
	for i := range 500 { // each asks the old process and is then rejected by the engine
		a := p.new.arrive(fmt.Sprint("claimed ", i), 0, time.Second)
		p.settle()
		p.new.Rejected(a.txn)
	}
	for i := range 500 {
		a := p.new.arrive(fmt.Sprint("in doubt ", i), 0, time.Second)
		p.settle()
		p.new.attach() // the link to the engine was lost
		p.new.end(a.txn, policy.Succeeded)
	}
	if n := p.new.clock.Timers() - before; n > 0 {
		t.Errorf("%d timers are left of 1000 requests that have ended", n)
	}
	if len(p.new.live) != 0 || len(p.violations()) > 0 {
		t.Errorf("%d requests are live, violations %v", len(p.new.live), p.violations())
	}
}

// TestDoubtIsHandedOn guards against a save that runs twice (review/6): it ran in a process that was killed before its successor had
// heard of it. The successor failed further attempts, and its own successor ran them.
func TestDoubtIsHandedOn(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.cut()
	first := p.old.arrive("k", 0, time.Second)
	p.old.end(first.txn, policy.Succeeded)
	p.killOld()
	p.new.arrive("k", 0, time.Second).want(t, Failed, "")
	second := p.new
	p.old = second
	p.start(t)
	early := p.new.arrive("k", 0, time.Second) // before the state is received
	p.settle()
	early.want(t, Failed, "")
	p.new.arrive("k", 0, time.Second).want(t, Failed, "")
	p.killOld()
	p.new.arrive("k", 0, time.Second).want(t, Failed, "")
	if n := len(second.runs) + len(p.new.runs); n != 0 {
		t.Errorf("%d further runs of a save that has run", n)
	}
	p.new.clock.Advance(window + 10*time.Second) // no attempt of the save arrives any more
	late := p.new.arrive("k", 0, time.Second)
	p.new.end(late.txn, policy.Succeeded)
	late.want(t, Served, "result of "+late.txn)
	if len(p.violations()) > 0 {
		t.Error(p.violations())
	}
}

// TestFirstAttemptsAreNotInDoubt checks that a process in doubt, and its successor, run a save that is new, if callers mark further
// attempts: only those, and attempts from the time of the process that was killed, may have run in it.
func TestFirstAttemptsAreNotInDoubt(t *testing.T) {
	marked := func(c *policy.Config) { c.RetriesMarked = true }
	old := newHarnessWith(t, &harness{clock: testkit.NewClock(), attempts: map[string]*attempt{}}, Config{Replaceable: true}, marked)
	old.PredecessorEnded(false)
	arrive := func(b *harness, key string, further bool) *attempt {
		x := &attempt{harness: b, txn: fmt.Sprintf("%016x", len(b.attempts)+1), idempotencyKey: key, arrivedAt: b.clock.Now(), deadline: b.clock.Now() + time.Second}
		b.attempts[x.txn] = x
		if err := b.Arrive(Request{Txn: x.txn, Class: "save", Body: []byte("body of " + key), KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: time.Second,
			IdempotencyKey: key, Retry: further, Reply: x}); err != nil {
			t.Fatal(err)
		}
		return x
	}
	arrive(old, "crossing", false).want(t, Failed, "") // it may be sent again unmarked, as it crossed the end of its connection
	old.clock.Advance(keyMargin)
	arrive(old, "further", true).want(t, Failed, "")
	p := &pair{old: old}
	p.new = newHarnessWith(t, old, Config{Replaceable: true}, marked)
	p.new.FollowPredecessor()
	p.link()
	p.settle()
	arrive(p.new, "further", true).want(t, Failed, "")
	for _, b := range []*harness{p.old, p.new} {
		first := arrive(b, fmt.Sprint("first at ", b == p.new), false)
		p.settle()
		b.end(first.txn, policy.Succeeded)
		first.want(t, Served, "result of "+first.txn)
	}
	if len(p.violations()) > 0 {
		t.Error(p.violations())
	}
}
