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

// pair is two processes of one replica, whose link is played by the test: messages stay on their way until they are
// delivered.
type pair struct {
	old, new *bench
	toOld    wire
	toNew    wire
	heard    bool // the new one was told all that is owed, on this link
}

// wire is one direction of the link.
type wire struct {
	messages []*handover.Message
	cut      bool
	from     *bench
}

func (w *wire) Send(m *handover.Message) {
	if w.cut || w.from.dead {
		return
	}
	c := *m
	c.Body = slices.Clone(m.Body)
	w.messages = append(w.messages, &c)
}

func newPair(t interface{ Fatal(...any) }) *pair {
	p := &pair{old: newBenchBeside(t, &bench{clock: testkit.NewClock(), tries: map[string]*try{}}, true)}
	p.start(t)
	return p
}

// start starts a new process beside the old one.
func (p *pair) start(t interface{ Fatal(...any) }) {
	p.new = newBenchBeside(t, p.old, true)
	p.new.Follow()
	p.link()
}

func (p *pair) link() {
	p.heard = false
	p.toOld, p.toNew = wire{from: p.new}, wire{from: p.old}
	p.new.Joined(&p.toOld)
	p.old.Joined(&p.toNew)
}

func (p *pair) cut() {
	p.toOld.cut, p.toNew.cut = true, true
}

// deliver hands over one message, or all with n below 0.
func (p *pair) deliver(w *wire, n int) {
	to := p.old
	if w == &p.toNew {
		to = p.new
	}
	for ; n != 0 && len(w.messages) > 0; n-- {
		m := w.messages[0]
		w.messages = w.messages[1:]
		if m.Kind == handover.Synced {
			p.heard = true
		}
		if !to.dead {
			to.Told(m)
		}
	}
}

func (p *pair) settle() {
	for len(p.toOld.messages)+len(p.toNew.messages) > 0 {
		p.deliver(&p.toNew, -1)
		p.deliver(&p.toOld, -1)
	}
}

// killOld has the old process end in this moment; the new one reads what is on its way and takes over.
func (p *pair) killOld() {
	p.old.dead, p.old.up = true, false
	p.deliver(&p.toNew, -1)
	p.new.Parted()
	p.new.TookOver(p.heard && !p.toNew.cut)
}

func (p *pair) killNew() {
	p.new.dead, p.new.up = true, false
	p.deliver(&p.toOld, -1)
	p.old.Parted()
}

func (p *pair) faults() []string { return append(slices.Clone(p.old.faults), p.new.faults...) }

func (p *pair) check(t *testing.T, runs ...*try) {
	t.Helper()
	ran := len(p.old.runs) + len(p.new.runs)
	if ran != len(runs) || len(p.faults()) > 0 {
		t.Errorf("%d runs, want %d; faults %v", ran, len(runs), p.faults())
	}
}

func TestASaveRunsInOneProcessAndServesBoth(t *testing.T) {
	for _, way := range []string{"old first", "new first"} {
		p := newPair(t)
		p.settle()
		first, second := p.old, p.new
		if way == "new first" {
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
		for _, x := range []*try{a, b, c} {
			x.want(t, Served, "result of "+a.txn)
		}
		p.check(t, a)
	}
}

// Both get the same save in one instant, in every order of what is on its way.
func TestOneSaveAtBothInOneInstant(t *testing.T) {
	for order := range 4 {
		p := newPair(t)
		p.settle()
		var a, b *try
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

// What the old process ran before the new one came is owed by the new one.
func TestASuccessorKnowsWhatRanBeforeIt(t *testing.T) {
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

func TestARunWhoseProcessWasKilledFailsItsRepeats(t *testing.T) {
	p := newPair(t)
	p.settle()
	a := p.old.arrive("k", 0, 2*time.Second) // its entry is on its way when the old process is killed
	b := p.new.arrive("k", 0, 2*time.Second)
	p.killOld()
	b.want(t, Failed, "")
	p.new.arrive("k", 0, time.Second).want(t, Failed, "") // neither run again nor refused
	other := p.new.arrive("j", 0, time.Second)            // never heard of: it did not run
	p.new.end(other.txn, policy.Succeeded)
	other.want(t, Served, "result of "+other.txn)
	p.check(t, a, other)
}

func TestAProcessThatWasNotToldAllRunsNothingThatMayHaveRun(t *testing.T) {
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

// A result that was dropped for room before the new process came is not there to be told: the repeat fails.
func TestAResultThatWasDroppedForRoomIsNotRunAgain(t *testing.T) {
	p := newPair(t)
	p.cut()
	p.killNew()
	var ran []*try
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

// The other process hangs: a claim is not answered. The try ends unrun and well in time, and stalls nobody.
func TestAPeerThatGoesQuietStallsNothing(t *testing.T) {
	p := newPair(t)
	p.settle()
	a := p.new.arrive("k", 0, 2*time.Second)
	read := p.new.arrive("", 0, 2*time.Second)
	p.new.end(read.txn, policy.Succeeded)
	read.want(t, Served, "result of "+read.txn)
	p.new.clock.Advance(claimTime + 20*ms)
	a.want(t, Failed, "")
	p.settle() // the grant comes after all and is given back
	b := p.old.arrive("k", 0, time.Second)
	p.old.end(b.txn, policy.Succeeded)
	b.want(t, Served, "result of "+b.txn)
	p.check(t, read, b)
}

// A claim that was given up on is granted late, while the same key is claimed once more. Without numbers the new
// process would take the late grant for the second claim's, after it has given the key back.
func TestALateGrantIsNoLeaveForAnotherClaim(t *testing.T) {
	p := newPair(t)
	p.settle()
	p.new.arrive("k", 0, 2*time.Second)
	p.deliver(&p.toOld, -1) // granted
	p.new.clock.Advance(claimTime + 20*ms)
	grant := p.toNew.messages
	p.toNew.messages = nil
	b := p.new.arrive("k", 0, 2*time.Second) // claims anew
	p.toNew.messages = grant
	p.deliver(&p.toNew, -1) // the first grant: given back
	if len(p.new.runs) != 0 {
		t.Fatal("the late grant is taken for the new claim's")
	}
	p.settle()
	p.new.end(b.txn, policy.Succeeded)
	b.want(t, Served, "result of "+b.txn)
	p.check(t, b)
}

func TestAnotherBodyIsNoTryOfTheRequest(t *testing.T) {
	p := newPair(t)
	p.settle()
	a := p.old.arrive("k", 0, time.Second)
	stranger := &try{b: p.new, txn: "a", due: p.new.clock.Now() + time.Second}
	if err := p.new.Arrive(Request{Txn: "a", Class: "save", Body: []byte("other"), KB: 10, Door: p.new.clock.Unix(), Limit: time.Second,
		Unique: "k", Reply: stranger}); err != nil {
		t.Fatal(err)
	}
	p.settle()
	stranger.want(t, Failed, "")
	p.check(t, a)
}

// TestRulesHoldOverTwoProcesses plays random steps on two replicas of the real module, their link, kills of either
// and a third process after them, and checks the rules over both.
func TestRulesHoldOverTwoProcesses(t *testing.T) {
	testkit.Steps(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		p, broken := newPair(rt), assert.Failures()
		linked := true
		either := func(rt *rapid.T) *bench { return rapid.SampledFrom([]*bench{p.old, p.new}).Draw(rt, "process") }
		arrive := func(rt *rapid.T) {
			if b := either(rt); !b.dead {
				unique := rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(rt, "unique")
				b.arrive(unique, time.Duration(rapid.IntRange(0, 400).Draw(rt, "ago"))*ms, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "limit"))*ms)
			}
		}
		return map[string]func(*rapid.T){
			"arrive": arrive, "arrive again": arrive,
			"end": func(rt *rapid.T) {
				b := either(rt)
				for _, txn := range b.runs {
					if !b.tries[txn].over && b.up {
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
					if rapid.Bool().Draw(rt, "the old one is told first") {
						p.old.Parted()
						p.deliver(&p.toNew, -1)
						p.new.Parted()
					} else {
						p.new.Parted()
						p.deliver(&p.toOld, -1)
						p.old.Parted()
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
				if rapid.Bool().Draw(rt, "the old one") {
					p.killOld()
					p.old = p.new
				} else {
					p.killNew()
				}
				p.start(rt)
			},
			"": func(rt *rapid.T) {
				for _, x := range p.old.tries {
					if !x.b.dead && len(x.answers) == 0 && x.b.clock.Now() > x.due+60*ms {
						x.b.faults = append(x.b.faults, fmt.Sprint(x.txn, " has no answer"))
					}
				}
				for _, b := range []*bench{p.old, p.new} {
					b.addUp(rt)
				}
				if f := p.faults(); len(f) > 0 || assert.Failures() != broken {
					rt.Fatalf("faults %v, %d invariants broken", f, assert.Failures()-broken)
				}
			},
		}
	})
}
