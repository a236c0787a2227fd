package replica

import (
	"testing"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/testkit"
)

// adviceWithDelay returns advice of a version that asks rejected callers to retry after that delay.
func adviceWithDelay(version uint64, after time.Duration) *shed.Advice {
	return &shed.Advice{Version: version, Trust: 1, RetryWindow: [2]time.Duration{after, after}}
}

// TestRequestKeepsAdviceVersionItWasReadUnder checks that a queued request is rejected under the advice it was read
// under, although other advice, or none, comes into force meanwhile.
func TestRequestKeepsAdviceVersionItWasReadUnder(t *testing.T) {
	for name, next := range map[string]*shed.Advice{"another version": adviceWithDelay(8, 900*ms), "no advice": nil, "untrusted advice": {Version: 9, RetryWindow: [2]time.Duration{ms, ms}}} {
		broken := assert.Failures()
		b := newHarness(t)
		b.Gauges([]float64{0, 2}) // the cores are busy, so the module does not raise its concurrency
		b.Advise(adviceWithDelay(7, 70*ms))
		for range 6 { // enough to fill the slots, and more than they grow by
			b.arrive("", 0, 3*time.Second)
		}
		queued := b.arrive("", 0, 3*time.Second)
		b.Advise(next)
		after := b.arrive("", 0, 3*time.Second)
		for range 100 {
			b.Gauges([]float64{0, 2})
			b.clock.Advance(20 * ms)
		}
		if len(queued.answers) != 1 || queued.answers[0].Kind != Rejected || queued.answers[0].RetryAfter != 70*ms {
			t.Errorf("%s: the request read under version 7 was answered %+v", name, queued.answers)
		}
		if len(after.answers) != 1 || after.answers[0].Kind != Rejected || after.answers[0].RetryAfter == 70*ms {
			t.Errorf("%s: the request read after version 7 was answered %+v", name, after.answers)
		}
		if n := assert.Failures() - broken; n != 0 || len(b.violations) > 0 {
			t.Errorf("%s: %d invariants broken, violations %v", name, n, b.violations)
		}
	}
}

// TestFleetRejectionsAreCounted checks that rejections by the fleet's advice are counted by reason, and that a
// repeat of a request that may have run is never rejected.
func TestFleetRejectionsAreCounted(t *testing.T) {
	b := newHarness(t)
	b.Advise(&shed.Advice{Version: 7, Trust: 1, Further: 1})
	first := b.arrive("k", 0, 3*time.Second)
	again := &attempt{harness: b, txn: "00000000000000aa", idempotencyKey: "k", arrivedAt: b.clock.Now(), deadline: b.clock.Now() + time.Second}
	further := &attempt{harness: b, txn: "00000000000000ab", arrivedAt: b.clock.Now(), deadline: b.clock.Now() + time.Second}
	b.attempts[again.txn], b.attempts[further.txn] = again, further
	for q, class := range map[*attempt]string{again: "save", further: "read"} {
		body := "body of k"
		if err := b.Arrive(Request{Txn: q.txn, Class: class, Body: []byte(body), KB: 10, ArrivedAt: time.Unix(0, int64(q.arrivedAt)), WaitLimit: time.Second, IdempotencyKey: q.idempotencyKey, Retry: true, Reply: q}); err != nil {
			t.Fatal(err)
		}
	}
	b.end(first.txn, 0)
	if len(again.answers) != 1 || again.answers[0].Kind != Served {
		t.Errorf("the repeat of a keyed request that ran was answered %+v", again.answers)
	}
	if len(further.answers) != 1 || further.answers[0].Kind != Rejected || b.count.overBudget.Load() != 1 {
		t.Errorf("an attempt over the retry budget was answered %+v; %d counted", further.answers, b.count.overBudget.Load())
	}
	f := b.Figures()
	if f.Classes[1].FirstAttempts != 1 || f.Classes[0].FirstAttempts != 0 || f.FirstByTenant[""] != 1 || f.FirstByTenant["uni"] != 0 {
		t.Errorf("first attempts: by class %+v, by tenant %v", f.Classes, f.FirstByTenant)
	}
	if len(b.violations) > 0 {
		t.Error(b.violations)
	}
}

// TestLateAnswersAreCounted checks that answers served after the aim of their class count as late.
func TestLateAnswersAreCounted(t *testing.T) {
	b := newHarness(t)
	soon, late := b.arrive("", 0, 3*time.Second), b.arrive("", 0, 3*time.Second)
	b.clock.Advance(900 * ms)
	b.end(soon.txn, 0)
	b.clock.Advance(200 * ms)
	b.end(late.txn, 0)
	if f := b.Figures().Classes[0]; f.Served != 2 || f.Late != 1 {
		t.Errorf("figures %+v, want 2 served and 1 of them late", f)
	}
}

// BenchmarkRead measures a request from its read to its answer, without and with a fleet's advice.
func BenchmarkRead(b *testing.B) {
	full := &shed.Advice{Version: 7, Trust: 1, Tenants: map[string]float64{"uni": 0}, LowClasses: []bool{false, false}, RetryWindow: [2]time.Duration{ms, time.Second}}
	for name, a := range map[string]*shed.Advice{"alone": nil, "advised": full} {
		b.Run(name, func(b *testing.B) {
			r := newHarness(b)
			r.Advise(a)
			b.ReportAllocs()
			for b.Loop() {
				serveOneRequest(r.Replica, r.clock, r)
			}
		})
	}
}

// serveOneRequest has one request read, run and served.
func serveOneRequest(r *Replica, clock *testkit.Clock, b *harness) {
	const txn = "00000000000000ff"
	q := &attempt{harness: b, txn: txn, arrivedAt: clock.Now(), deadline: clock.Now() + time.Second}
	b.attempts[txn] = q
	r.Arrive(Request{Txn: txn, Class: "read", Tenant: "uni", KB: 10, ArrivedAt: time.Unix(0, int64(q.arrivedAt)), WaitLimit: time.Second, Reply: q})
	b.runs = b.runs[:0]
	r.Done(txn, 0, ms, nil)
}
