package policy

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fourTenants has one tenant that sends most of the arrivals and three that send less than their fractions.
func fourTenants() []Tenant {
	return []Tenant{{"large", 0.4}, {"first", 0.2}, {"second", 0.2}, {"third", 0.2}}
}

// loaded returns quotas that have seen arrivals in these proportions.
func loaded(tenants []Tenant, arrivals ...float64) quotas {
	q := newQuotas(tenants)
	copy(q.arrivals, arrivals)
	return q
}

func TestWhatIsBeyondAQuotaIsRejectedFirst(t *testing.T) {
	q := loaded(fourTenants(), 0.7, 0.1, 0.1, 0.1)
	for _, c := range []struct{ all, large, small float64 }{
		{0, 0, 0},
		{0.28, 0.28 / 0.7, 0},             // the small ones send less than their fractions of what is admitted
		{0.6, 1 - 0.16/0.7, 1 - 0.08/0.1}, // each gets its fraction of the 0.4 that is admitted
		{1, 1, 1},
	} {
		large, small := q.share(1, c.all), q.share(2, c.all)
		if math.Abs(large-c.large) > 1e-9 || math.Abs(small-c.small) > 1e-9 {
			t.Errorf("%.2f of all: %.3f and %.3f rejected, want %.3f and %.3f", c.all, large, small, c.large, c.small)
		}
	}
}

// Whatever tenants send, the parts rejected add up to what was to be rejected, and of two tenants that are both
// rejected in part neither is admitted more for its fraction.
func TestQuotasRejectWhatWasToBeRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenants, arrivals, all := []Tenant{}, []float64{}, 0.0
		for range rapid.IntRange(1, 8).Draw(t, "tenants") {
			tenants = append(tenants, Tenant{Fraction: rapid.Float64Range(0.01, 1).Draw(t, "fraction")})
			arrivals = append(arrivals, rapid.Float64Range(0.001, 1).Draw(t, "arrivals"))
			all += arrivals[len(arrivals)-1]
		}
		q, probability := loaded(tenants, arrivals...), rapid.Float64Range(0, 1).Draw(t, "probability")
		rejected, level := 0.0, 0.0
		for i, tenant := range tenants {
			share := q.share(i+1, probability)
			if share < 0 || share > 1 {
				t.Fatalf("a probability of %g", share)
			}
			rejected += share * arrivals[i]
			if admitted := (1 - share) * arrivals[i] / tenant.Fraction; share > 1e-9 {
				if level > 0 && math.Abs(admitted-level) > 1e-6 {
					t.Fatalf("admitted %g and %g for a unit of the fraction", admitted, level)
				}
				level = admitted
			}
		}
		if math.Abs(rejected-probability*all) > 1e-6 {
			t.Fatalf("%g rejected, want %g", rejected, probability*all)
		}
	})
}

// The controller's probability swings to 1 for a moment in every overload; tenants within their quotas were
// rejected with the rest then.
func TestAMomentOfOverloadSparesTenantsWithinTheirQuotas(t *testing.T) {
	q := loaded(fourTenants(), 0.7, 0.1, 0.1, 0.1)
	q.meanReject = 0.2
	if p := q.reject(2, 1); p != 0 {
		t.Errorf("a tenant within its quota is rejected at %.2f", p)
	}
	if p, want := q.reject(1, 1), meanRejectMultiple*0.2/0.7; math.Abs(p-want) > 1e-9 {
		t.Errorf("a tenant beyond its quota is rejected at %.3f, want %.3f", p, want)
	}
	for range 200 { // an overload that lasts
		q.average(1, 1, 50*time.Millisecond, 300*time.Millisecond)
	}
	if p := q.reject(2, 1); p < 0.99 {
		t.Errorf("a tenant within its quota is rejected at %.2f in an overload that lasts", p)
	}
}

func TestWithoutQuotasAllAreRejectedAlike(t *testing.T) {
	none, some := newQuotas(nil), loaded(fourTenants(), 0.7, 0.1, 0.1, 0.1)
	for _, tenant := range []int{0, 5, 9} {
		if p := none.reject(tenant, 0.3); p != 0.3 {
			t.Errorf("tenant %d of none: %.2f", tenant, p)
		}
		if p := some.reject(tenant, 0.3); p != 0.3 {
			t.Errorf("tenant %d of four: %.2f", tenant, p)
		}
	}
	if p := none.level(0.3); p != 0.3 {
		t.Errorf("level of none: %.2f", p)
	}
}

// Callers hold back by rank alone: the level must not hold back a tenant that nothing is rejected of.
func TestTheLevelIsWhatTheTenantSparedMostIsRejected(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = fourTenants()
	c, _ := start(t, cfg)
	for i := range 2000 {
		c.observe(&request{class: &c.classes[0], Request: Request{Tenant: 1 + max(0, i%10-6)}}) // 7 in 10 of the first
	}
	for _, want := range []struct {
		probability, mean, least, most float64
		name                           string
	}{
		{0.2, 0.2, 0, 0, "three tenants within their quotas"},
		{0.8, 0.8, 0.1, 0.8*levelShare - 0.01, "an overload that lasts"},
		{1, 0.2, 0, 0, "a moment of overload"},
		{0.2, 0.8, 0, 0, "an overload that ends"},
	} {
		c.ahead.dropProb, c.quotas.meanAhead = want.probability, want.mean
		if level := c.Level(); level < want.least || level > want.most {
			t.Errorf("%s: a level of %.2f, want %.2f to %.2f", want.name, level, want.least, want.most)
		}
	}
}

// A controller in overload rejects the tenant beyond its quota and runs those within theirs.
func TestArrivalsAreRejectedByTheirTenants(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = fourTenants()
	c, h := start(t, cfg)
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
		h.take()
	}
	for tenant := 2; tenant <= 4; tenant++ {
		if rejected[tenant] > arrived[tenant]/100 {
			t.Errorf("tenant %d, within its quota: %d of %d rejected", tenant, rejected[tenant], arrived[tenant])
		}
	}
	if share := float64(rejected[1]) / float64(arrived[1]); share < 0.3 || share > 0.42 {
		t.Errorf("the tenant beyond its quota: %.2f rejected, want about 0.36", share)
	}
}

// A caller that stays away does so with the requests of all tenants: it used to be told so while one tenant alone
// was beyond its quota.
func TestNobodyIsToldToStayAwayWhileOneTenantAloneSendsTooMuch(t *testing.T) {
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
		c.quotas = loaded(cfg.Tenants, 0.7, 0.1, 0.1, 0.1)
		c.burstAllowed, c.dropProb, c.ahead.dropProb = 0, 1, 0.9
		c.quotas.meanReject, c.quotas.meanAhead = 0.9, want.mean
		c.Arrive(0, Request{ID: 1, Tenant: 1, KB: 10})
		if c.live[1] != nil || (h.last.HoldOff > 0) != want.holdOff {
			t.Errorf("a mean of %.1f: advice %+v, held %v", want.mean, h.last, c.live[1] != nil)
		}
	}
}
