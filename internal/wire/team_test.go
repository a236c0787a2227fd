package wire

import "testing"

// The team of a request is a name. Without tenants the simulator sends 0 or nothing.
func TestTeamIsNameOrZero(t *testing.T) {
	b, err := Decode([]byte(`{"moment":5,"items":[{"m":"inbound","team":"x"},{"m":"inbound","team":0},{"m":"inbound"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if b.Items[0].Team != "x" || b.Items[1].Team != "" || b.Items[2].Team != "" {
		t.Errorf("teams %q, %q, %q", b.Items[0].Team, b.Items[1].Team, b.Items[2].Team)
	}
	if _, err := Decode([]byte(`{"moment":5,"items":[{"m":"inbound","team":[1]}]}`)); err == nil {
		t.Error("no error for a list as team")
	}
}
