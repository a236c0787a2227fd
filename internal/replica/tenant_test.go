package replica

import (
	"testing"
	"time"

	"cairnlane/policy"
)

// TestTenantIsPassedToModule checks that the tenant of a request is passed to the module. Otherwise the module
// takes all requests for those of one tenant and cannot share capacity fairly between tenants.
func TestTenantIsPassedToModule(t *testing.T) {
	b := newHarnessWith(t, &harness{clock: newHarness(t).clock, attempts: map[string]*attempt{}}, Config{}, func(c *policy.Config) {
		c.Tenants = []policy.Tenant{{Name: "", Fraction: 0.4}, {Name: "uni", Fraction: 0.6}}
	})
	for i, name := range []string{"", "uni"} {
		q := &attempt{harness: b, txn: string(rune('a' + i)), arrivedAt: b.clock.Now(), deadline: b.clock.Now() + time.Second}
		b.attempts[q.txn] = q
		if err := b.Arrive(Request{Txn: q.txn, Class: "read", Tenant: name, KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: time.Second, Reply: q}); err != nil {
			t.Fatal(err)
		}
		if in := b.describe(b.clock.Now(), b.txns[q.txn], nil); in.Tenant != i+1 {
			t.Errorf("tenant %q is passed as %d, want %d", name, in.Tenant, i+1)
		}
	}
}

// TestNoTenantIsPassedWithoutConfiguredTenants checks that no tenant is passed to the module at a site without
// tenants, whatever a request names.
func TestNoTenantIsPassedWithoutConfiguredTenants(t *testing.T) {
	b := newHarness(t)
	b.cfg.Tenants = nil
	q := &attempt{harness: b, txn: "a", arrivedAt: b.clock.Now(), deadline: b.clock.Now() + time.Second}
	b.attempts[q.txn] = q
	if err := b.Arrive(Request{Txn: "a", Class: "read", Tenant: "anybody", KB: 10, ArrivedAt: b.clock.Time(), WaitLimit: time.Second, Reply: q}); err != nil {
		t.Fatal(err)
	}
	if in := b.describe(b.clock.Now(), b.txns["a"], nil); in.Tenant != 0 {
		t.Errorf("tenant %d was passed to the module, want none", in.Tenant)
	}
}
