package replica

import (
	"testing"
	"time"

	"cairnlane/policy"
)

// The replica used to check the tenant of a request and then not tell it to the module, which took all requests for
// those of one tenant: fair to tenants in the simulator, it was not on real sockets.
func TestTheModuleIsToldTheTenantOfARequest(t *testing.T) {
	b := newBenchOf(t, &bench{clock: newBench(t).clock, tries: map[string]*try{}}, Config{}, func(c *policy.Config) {
		c.Tenants = []policy.Tenant{{Name: "", Fraction: 0.4}, {Name: "uni", Fraction: 0.6}}
	})
	for i, name := range []string{"", "uni"} {
		q := &try{b: b, txn: string(rune('a' + i)), door: b.clock.Now(), due: b.clock.Now() + time.Second}
		b.tries[q.txn] = q
		if err := b.Arrive(Request{Txn: q.txn, Class: "read", Tenant: name, KB: 10, Door: b.clock.Unix(), Limit: time.Second, Reply: q}); err != nil {
			t.Fatal(err)
		}
		if in := b.described(b.clock.Now(), b.txns[q.txn], nil); in.Tenant != i+1 {
			t.Errorf("tenant %q is told as %d, want %d", name, in.Tenant, i+1)
		}
	}
}

// At a site without tenants, the module is told none, whatever a request names.
func TestTheModuleIsToldNoTenantWhereThereAreNone(t *testing.T) {
	b := newBench(t)
	b.cfg.Tenants = nil
	q := &try{b: b, txn: "a", door: b.clock.Now(), due: b.clock.Now() + time.Second}
	b.tries[q.txn] = q
	if err := b.Arrive(Request{Txn: "a", Class: "read", Tenant: "anybody", KB: 10, Door: b.clock.Unix(), Limit: time.Second, Reply: q}); err != nil {
		t.Fatal(err)
	}
	if in := b.described(b.clock.Now(), b.txns["a"], nil); in.Tenant != 0 {
		t.Errorf("the module is told tenant %d, want none", in.Tenant)
	}
}
