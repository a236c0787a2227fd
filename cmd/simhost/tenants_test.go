package main

import (
	"encoding/json"
	"testing"

	"cairnlane/internal/wire"
)

// TestTenantOfRequestIsResolvedByName checks that a request's tenant is 1 + the index of its team in the
// settings, and 0 for an unknown one.
func TestTenantOfRequestIsResolvedByName(t *testing.T) {
	var e wire.Event
	if err := json.Unmarshal([]byte(`{"m":"inbound","who":"server/0","ticket":7,"class":"a","team":"small"}`), &e); err != nil {
		t.Fatal(err)
	}
	f := &fleet{instances: map[string]*instance{}}
	withTenants := bootInfo[:len(bootInfo)-1] + `,"tenants":[{"name":"big","fraction":0.4},{"name":"small","fraction":0.6}]}`
	if err := f.handle(1, &wire.Event{Name: "hello", Instance: "server/0", Settings: json.RawMessage(withTenants)}); err != nil {
		t.Fatal(err)
	}
	in := f.instances["server/0"]
	if in == nil || in.controller == nil || in.tenants[string(e.Tenant)] != 2 || in.tenants["unknown"] != 0 {
		t.Errorf("team %q, tenants %v", e.Tenant, in.tenants)
	}
}
