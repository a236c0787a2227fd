package replica

import (
	"testing"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/testkit"
)

// advice of a version that asks to come back after that long.
func adviceOf(version uint64, after time.Duration) *shed.Advice {
	return &shed.Advice{Version: version, Trust: 1, Later: [2]time.Duration{after, after}}
}

// TestARequestIsJudgedByTheVersionThatItWasReadUnder: another one comes into force, or none, while it is held.
func TestARequestIsJudgedByTheVersionThatItWasReadUnder(t *testing.T) {
	for name, next := range map[string]*shed.Advice{"another": adviceOf(8, 900*ms), "the fleet sheds nothing any more": nil, "one that is not trusted": {Version: 9, Later: [2]time.Duration{ms, ms}}} {
		broken := assert.Failures()
		b := newBench(t)
		b.Gauges([]float64{0, 2}) // the cores are busy, so the pool does not climb
		b.Advise(adviceOf(7, 70*ms))
		for range 6 { // they take the pool, and more than it grows by
			b.arrive("", 0, 3*time.Second)
		}
		held := b.arrive("", 0, 3*time.Second)
		b.Advise(next)
		after := b.arrive("", 0, 3*time.Second)
		for range 100 {
			b.Gauges([]float64{0, 2})
			b.clock.Advance(20 * ms)
		}
		if len(held.answers) != 1 || held.answers[0].Kind != Refused || held.answers[0].Later != 70*ms {
			t.Errorf("%s: what was read under 7 is answered %+v", name, held.answers)
		}
		if len(after.answers) != 1 || after.answers[0].Kind != Refused || after.answers[0].Later == 70*ms {
			t.Errorf("%s: what was read after 7 is answered %+v", name, after.answers)
		}
		if n := assert.Failures() - broken; n != 0 || len(b.faults) > 0 {
			t.Errorf("%s: %d invariants broken, %v", name, n, b.faults)
		}
	}
}

// TestWhatTheFleetHasRefusedIsCounted by its reason, and a repeat of what may have run is never refused by it.
func TestWhatTheFleetHasRefusedIsCounted(t *testing.T) {
	b := newBench(t)
	b.Advise(&shed.Advice{Version: 7, Trust: 1, Further: 1})
	first := b.arrive("k", 0, 3*time.Second)
	again := &try{b: b, txn: "00000000000000aa", unique: "k", door: b.clock.Now(), due: b.clock.Now() + time.Second}
	further := &try{b: b, txn: "00000000000000ab", door: b.clock.Now(), due: b.clock.Now() + time.Second}
	b.tries[again.txn], b.tries[further.txn] = again, further
	for q, class := range map[*try]string{again: "save", further: "read"} {
		body := "body of k"
		if err := b.Arrive(Request{Txn: q.txn, Class: class, Body: []byte(body), KB: 10, Door: time.Unix(0, int64(q.door)), Limit: time.Second, Unique: q.unique, Retry: true, Reply: q}); err != nil {
			t.Fatal(err)
		}
	}
	b.end(first.txn, 0)
	if len(again.answers) != 1 || again.answers[0].Kind != Served {
		t.Errorf("the repeat of a save that ran is answered %+v", again.answers)
	}
	if len(further.answers) != 1 || further.answers[0].Kind != Refused || b.count.beyond.Load() != 1 {
		t.Errorf("a try beyond the budget is answered %+v; %d are counted", further.answers, b.count.beyond.Load())
	}
	f := b.Figures()
	if f.Classes[1].First != 1 || f.Classes[0].First != 0 || f.Tenants[""] != 1 || f.Tenants["uni"] != 0 {
		t.Errorf("first tries: %+v, %v", f.Classes, f.Tenants)
	}
	if len(b.faults) > 0 {
		t.Error(b.faults)
	}
}

// TestLateAnswersAreCounted: those served after the aim of their class.
func TestLateAnswersAreCounted(t *testing.T) {
	b := newBench(t)
	soon, late := b.arrive("", 0, 3*time.Second), b.arrive("", 0, 3*time.Second)
	b.clock.Advance(900 * ms)
	b.end(soon.txn, 0)
	b.clock.Advance(200 * ms)
	b.end(late.txn, 0)
	if f := b.Figures().Classes[0]; f.Served != 2 || f.Late != 1 {
		t.Errorf("%+v", f)
	}
}

// BenchmarkRead is the whole way of a request from its read to its answer, alone and with what a fleet advises.
func BenchmarkRead(b *testing.B) {
	full := &shed.Advice{Version: 7, Trust: 1, Tenants: map[string]float64{"uni": 0}, Low: []bool{false, false}, Later: [2]time.Duration{ms, time.Second}}
	for name, a := range map[string]*shed.Advice{"alone": nil, "advised": full} {
		b.Run(name, func(b *testing.B) {
			r := newBench(b)
			r.Advise(a)
			b.ReportAllocs()
			for b.Loop() {
				ReadOnce(r.Replica, r.clock, r)
			}
		})
	}
}

// ReadOnce has one request read, run and served.
func ReadOnce(r *Replica, clock *testkit.Clock, b *bench) {
	const txn = "00000000000000ff"
	q := &try{b: b, txn: txn, door: clock.Now(), due: clock.Now() + time.Second}
	b.tries[txn] = q
	r.Arrive(Request{Txn: txn, Class: "read", Tenant: "uni", KB: 10, Door: time.Unix(0, int64(q.door)), Limit: time.Second, Reply: q})
	b.runs = b.runs[:0]
	r.Done(txn, 0, ms, nil)
}
