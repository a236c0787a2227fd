package replica

import (
	"strings"
	"testing"
	"time"

	"cairnlane/policy"
)

// TestRepeatOfRunningAttemptEndsWhenItsCallerIsGone guards against calls that stay open without anybody who waits: a repeat
// whose caller had gone was answered only at the end of the attempt that it waited for.
func TestRepeatOfRunningAttemptEndsWhenItsCallerIsGone(t *testing.T) {
	b := newHarness(t)
	first := b.arrive("k", 0, 3*time.Second)
	wantList(t, "runs", b.runs, first.txn)
	gone, waiting := b.arrive("k", 0, 3*time.Second), b.arrive("k", 0, 3*time.Second)
	b.CallerGone(gone.txn)
	gone.want(t, Failed, "") // not rejected, because its request runs
	if len(waiting.answers) != 0 || len(first.answers) != 0 {
		t.Errorf("other attempts are answered: %+v and %+v", waiting.answers, first.answers)
	}
	b.end(first.txn, policy.Succeeded)
	waiting.want(t, Served, "result of "+first.txn)
	if len(b.live) != 0 || len(b.violations) > 0 {
		t.Errorf("%d attempts stay; %s", len(b.live), strings.Join(b.violations, "; "))
	}
}

// TestRunInDoubtEndsWhenItsCallerIsGone guards against slots that are lost for good: a keyed run that was lost with the engine link
// and then given up by its caller was never ended, as nothing but its unanswered request would have ended it (review/3).
func TestRunInDoubtEndsWhenItsCallerIsGone(t *testing.T) {
	const wait = 2 * time.Second
	loseLink := func(b *harness, _ *attempt) { b.linkUp = false }
	attach := func(b *harness, _ *attempt) { b.attach() }
	callerGone := func(b *harness, x *attempt) { b.CallerGone(x.txn) }
	for name, steps := range map[string][]func(*harness, *attempt){
		"gone after the link is back":  {loseLink, attach, callerGone},
		"gone before the link is back": {loseLink, callerGone, attach},
		"gone before the link is lost": {callerGone, loseLink, attach},
		"link back after the due time": {loseLink, callerGone, func(b *harness, _ *attempt) { b.clock.Advance(wait) }, attach},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			x := b.arrive("k", 0, wait)
			for _, step := range steps {
				step(b, x)
			}
			repeat := b.arrive("k", 0, 2*wait)
			b.clock.Advance(wait)
			if b.txns[x.txn] != nil || len(x.answers) > 1 {
				t.Errorf("the run still occupies a slot after its due time; %d answers", len(x.answers))
			}
			repeat.want(t, Failed, "") // it may have run
			if len(b.violations) > 0 {
				t.Error(strings.Join(b.violations, "; "))
			}
		})
	}
}

// TestRunInDoubtServesRepeatsWhenItEnds checks that a run in doubt whose caller has gone is not given up before its due time: if
// it has reached the engine after all, its repeats get the result.
func TestRunInDoubtServesRepeatsWhenItEnds(t *testing.T) {
	b := newHarness(t)
	x := b.arrive("k", 0, 2*time.Second)
	b.linkUp = false
	b.attach()
	b.CallerGone(x.txn)
	repeat := b.arrive("k", 0, 2*time.Second)
	b.clock.Advance(time.Second)
	b.end(x.txn, policy.Succeeded)
	repeat.want(t, Served, "result of "+x.txn)
	if len(b.live) != 0 || len(b.violations) > 0 {
		t.Errorf("%d attempts stay; %s", len(b.live), strings.Join(b.violations, "; "))
	}
}

// TestQueuedKeyedAttemptEndsWhenItsCallerIsGone guards against saves that run for callers that have left: a process that may be
// replaced left them in its queue although no other process was there.
func TestQueuedKeyedAttemptEndsWhenItsCallerIsGone(t *testing.T) {
	alone := newPeerHarness(t, newHarness(t), true)
	linked := newPair(t)
	linked.settle()
	for name, play := range map[string]struct {
		harness *harness
		ends    bool
	}{"alone": {alone, true}, "linked to another process": {linked.old, false}} {
		t.Run(name, func(t *testing.T) {
			b := play.harness
			var running []*attempt
			for n := 0; len(b.runs) == len(running); n++ { // fill the process, until one attempt waits
				running = append(running, b.arrive("running "+string(rune('a'+n)), 0, 3*time.Second))
			}
			waiting := running[len(running)-1]
			b.CallerGone(waiting.txn)
			if ended := b.txns[waiting.txn] == nil; ended != play.ends {
				t.Errorf("the attempt has ended: %v, want %v", ended, play.ends)
			}
			b.end(running[0].txn, policy.Succeeded)
			if ran := len(b.runs) == len(running); ran == play.ends {
				t.Errorf("the attempt was run: %v", ran)
			}
			if len(b.violations) > 0 {
				t.Error(strings.Join(b.violations, "; "))
			}
		})
	}
}
