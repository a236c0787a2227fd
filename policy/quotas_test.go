package policy

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fourTenants returns a large tenant and three smaller ones.
func fourTenants() []Tenant {
	return []Tenant{{"large", 0.4}, {"first", 0.2}, {"second", 0.2}, {"third", 0.2}}
}

// quotasWithArrivals returns quotas whose recent arrivals have these proportions.
func quotasWithArrivals(tenants []Tenant, arrivals ...float64) quotas {
	q := newQuotas(tenants)
	copy(q.arrivals, arrivals)
	return q
}

func TestRequestsBeyondQuotaAreRejectedFirst(t *testing.T) {
	q := quotasWithArrivals(fourTenants(), 0.7, 0.1, 0.1, 0.1)
	for _, c := range []struct{ all, large, small float64 }{
		{0, 0, 0},
		{0.28, 0.28 / 0.7, 0},             // the small tenants send less than their fractions of the admitted arrivals
		{0.6, 1 - 0.16/0.7, 1 - 0.08/0.1}, // each tenant gets its fraction of the 0.4 that is admitted
		{1, 1, 1},
	} {
		large, small := q.rejectedShare(1, c.all), q.rejectedShare(2, c.all)
		if math.Abs(large-c.large) > 1e-9 || math.Abs(small-c.small) > 1e-9 {
			t.Errorf("%.2f of all: %.3f and %.3f rejected, want %.3f and %.3f", c.all, large, small, c.large, c.small)
		}
	}
}

// TestQuotasRejectTotalProbability checks that, for any arrivals, the rejected shares add up to the total
// probability, and that all tenants that are partly rejected are admitted the same per unit of their fraction.
func TestQuotasRejectTotalProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenants, arrivals, all := []Tenant{}, []float64{}, 0.0
		for range rapid.IntRange(1, 8).Draw(t, "tenants") {
			tenants = append(tenants, Tenant{Fraction: rapid.Float64Range(0.01, 1).Draw(t, "fraction")})
			arrivals = append(arrivals, rapid.Float64Range(0.001, 1).Draw(t, "arrivals"))
			all += arrivals[len(arrivals)-1]
		}
		q, probability := quotasWithArrivals(tenants, arrivals...), rapid.Float64Range(0, 1).Draw(t, "probability")
		rejected, level := 0.0, 0.0
		for i, tenant := range tenants {
			share := q.rejectedShare(i+1, probability)
			if share < 0 || share > 1 {
				t.Fatalf("rejected share %g, want 0 to 1", share)
			}
			rejected += share * arrivals[i]
			if admitted := (1 - share) * arrivals[i] / tenant.Fraction; share > 1e-9 {
				if level > 0 && math.Abs(admitted-level) > 1e-6 {
					t.Fatalf("admitted %g and %g per unit of the fraction", admitted, level)
				}
				level = admitted
			}
		}
		if math.Abs(rejected-probability*all) > 1e-6 {
			t.Fatalf("%g rejected, want %g", rejected, probability*all)
		}
	})
}

// TestShortOverloadDoesNotRejectTenantsWithinQuota guards against rejecting tenants within their quotas when the drop
// probability overshoots to 1 for a moment, as it does in every overload.
func TestShortOverloadDoesNotRejectTenantsWithinQuota(t *testing.T) {
	q := quotasWithArrivals(fourTenants(), 0.7, 0.1, 0.1, 0.1)
	q.meanReject = 0.2
	if p := q.reject(2, 1); p != 0 {
		t.Errorf("tenant within its quota: rejection probability %.2f, want 0", p)
	}
	if p, want := q.reject(1, 1), meanRejectMultiple*0.2/0.7; math.Abs(p-want) > 1e-9 {
		t.Errorf("tenant over its quota: rejection probability %.3f, want %.3f", p, want)
	}
	for range 200 { // a lasting overload
		q.updateMeans(1, 1, 50*time.Millisecond, 300*time.Millisecond)
	}
	if p := q.reject(2, 1); p < 0.99 {
		t.Errorf("tenant within its quota: rejection probability %.2f in a lasting overload, want at least 0.99", p)
	}
}

func TestTenantsWithoutQuotaAreRejectedAlike(t *testing.T) {
	none, some := newQuotas(nil), quotasWithArrivals(fourTenants(), 0.7, 0.1, 0.1, 0.1)
	for _, tenant := range []int{0, 5, 9} {
		if p := none.reject(tenant, 0.3); p != 0.3 {
			t.Errorf("tenant %d without quotas: rejection probability %.2f, want 0.3", tenant, p)
		}
		if p := some.reject(tenant, 0.3); p != 0.3 {
			t.Errorf("tenant %d, not among the four with quotas: rejection probability %.2f, want 0.3", tenant, p)
		}
	}
	if p := none.level(0.3); p != 0.3 {
		t.Errorf("level without quotas %.2f, want 0.3", p)
	}
}

// TestLevelIsRejectedShareOfLeastRejectedTenant checks that the level does not affect a tenant of which nothing
// is rejected, as callers hold back requests by rank alone.
func TestLevelIsRejectedShareOfLeastRejectedTenant(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = fourTenants()
	c, _ := startController(t, cfg)
	for i := range 2000 {
		c.observeArrival(&request{class: &c.classes[0], Request: Request{Tenant: 1 + max(0, i%10-6)}}) // 7 of 10 are from the first tenant
	}
	for _, want := range []struct {
		probability, mean, least, most float64
		name                           string
	}{
		{0.2, 0.2, 0, 0, "three tenants within their quotas"},
		{0.8, 0.8, 0.1, 0.8*levelShare - 0.01, "lasting overload"},
		{1, 0.2, 0, 0, "short overload"},
		{0.2, 0.8, 0, 0, "overload that has ended"},
	} {
		c.advisory.dropProb, c.quotas.meanAdvisory = want.probability, want.mean
		if level := c.Level(); level < want.least || level > want.most {
			t.Errorf("%s: level %.2f, want %.2f to %.2f", want.name, level, want.least, want.most)
		}
	}
}

// TestArrivalsAreRejectedByTenant checks that an overloaded controller rejects requests of the tenant over its
// quota and runs those of the others.
func TestArrivalsAreRejectedByTenant(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = fourTenants()
	c, h := startController(t, cfg)
	c.burstAllowed = 0
	rejected, arrived := map[int]int{}, map[int]int{}
	for i := range 4000 {
		c.dropProb, c.quotas.meanReject = 0.25, 0.25
		tenant, id := 1+max(0, i%10-6), RequestID(i+1)
		arrived[tenant]++
		now := time.Duration(i) * ms
		c.Arrive(now, Request{ID: id, Tenant: tenant, KB: 1, Rank: 0.5})
		if c.live[id] == nil {
			rejected[tenant]++
		} else {
			c.Done(now, id, Succeeded, ms)
		}
		h.takeActions()
	}
	for tenant := 2; tenant <= 4; tenant++ {
		if rejected[tenant] > arrived[tenant]/100 {
			t.Errorf("tenant %d, within its quota: %d of %d rejected", tenant, rejected[tenant], arrived[tenant])
		}
	}
	if share := float64(rejected[1]) / float64(arrived[1]); share < 0.3 || share > 0.42 {
		t.Errorf("tenant over its quota: %.2f rejected, want 0.3 to 0.42", share)
	}
}

// TestNoHoldOffWhileOnlyOneTenantExceedsQuota guards against a hold-off while only one tenant exceeds its quota:
// a caller that holds off sends no request of any tenant.
func TestNoHoldOffWhileOnlyOneTenantExceedsQuota(t *testing.T) {
	for _, want := range []struct {
		mean    float64
		holdOff bool
	}{{0.2, false}, {0.9, true}} {
		cfg, h := testConfig(), new(adviceHost)
		cfg.Signal, cfg.MaxHoldOff, cfg.Tenants = CallerTokens, time.Second, fourTenants()
		c, err := New(0, cfg, h)
		if err != nil {
			t.Fatal(err)
		}
		c.quotas = quotasWithArrivals(cfg.Tenants, 0.7, 0.1, 0.1, 0.1)
		c.burstAllowed, c.dropProb, c.advisory.dropProb = 0, 1, 0.9
		c.quotas.meanReject, c.quotas.meanAdvisory = 0.9, want.mean
		c.Arrive(0, Request{ID: 1, Tenant: 1, KB: 10})
		if c.live[1] != nil || (h.last.HoldOff > 0) != want.holdOff {
			t.Errorf("mean %.1f: advice %+v, admitted %v", want.mean, h.last, c.live[1] != nil)
		}
	}
}
