package wire

import "testing"

// TestTeamIsNameOrZero checks that the team of a request is a name, or 0 or absent, as the simulator sends
// without tenants.
func TestTeamIsNameOrZero(t *testing.T) {
	b, err := Decode([]byte(`{"moment":5,"items":[{"m":"inbound","team":"x"},{"m":"inbound","team":0},{"m":"inbound"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if b.Events[0].Tenant != "x" || b.Events[1].Tenant != "" || b.Events[2].Tenant != "" {
		t.Errorf("teams %q, %q, %q", b.Events[0].Tenant, b.Events[1].Tenant, b.Events[2].Tenant)
	}
	if _, err := Decode([]byte(`{"moment":5,"items":[{"m":"inbound","team":[1]}]}`)); err == nil {
		t.Error("no error for a list as team")
	}
}
