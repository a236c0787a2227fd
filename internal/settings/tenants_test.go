package settings

import (
	"encoding/json"
	"testing"

	"cairnlane/policy"
)

// TestTenantFractionsReachPolicy checks that the policy receives each tenant's fraction of the service, in the order of the
// settings, from which it computes what exceeds a share.
func TestTenantFractionsReachPolicy(t *testing.T) {
	s, err := Decode(json.RawMessage(`{"tenants":[{"name":"big","fraction":0.43,"quota-per-s":50},` +
		`{"name":"small","fraction":0.57,"quota-per-s":66}]}`))
	if err != nil {
		t.Fatal(err)
	}
	got := s.Policy(1).Tenants
	if len(got) != 2 || got[0] != (policy.Tenant{Name: "big", Fraction: 0.43}) ||
		got[1] != (policy.Tenant{Name: "small", Fraction: 0.57}) {
		t.Errorf("tenants %+v", got)
	}
}
