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
