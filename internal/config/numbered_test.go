package config

import (
	"strings"
	"testing"
	"time"
)

// TestParseNumbered checks valid and invalid numbered configurations; each error must name its line.
func TestParseNumbered(t *testing.T) {
	for src, want := range map[string]string{
		"":          "",
		"needs = 2": "",
		"values = { A = \"1\", B_2 = \"x\" }\nstragglers {\n grace = \"1m\"\n floor = 0.7\n leave_service = true\n}": "",
		"needs = ":                           "c:1",
		"need = 1":                           "c:1",
		"\nvalues = { a = \"1\" }":           "c:2",
		"stragglers {\n grace = \"soon\"\n}": "c:2: grace",
		"stragglers {\n floor = 2\n}":        "c:2: floor",
		"stragglers {}\nstragglers {}":       "c:2",
		"needs = 2\noverload {}":             "",
		"needs = 2\noverload {\n tries = 0.2\n shares = { a = 0.4, b = 0.6 }\n}": "",
		"overload {}":                                              "c:1: overload: builds below number 2",
		"needs = 2\noverload {\n tries = 2\n}":                     "c:3: tries",
		"needs = 2\noverload {\n shares = { a = 0 }\n}":            "c:3: shares",
		"needs = 2\noverload {\n shares = { a = 0.7, b = 0.7 }\n}": "c:3: shares: they add up to 1.40",
		"needs = 2\noverload {\n share = { a = 0.7 }\n}":           "c:3",
	} {
		n, err := ParseNumbered("c", []byte(src))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", src, err, want)
		}
		if err == nil && n.Rules().Grace <= 0 {
			t.Errorf("%q: %+v", src, n.Rules())
		}
	}
	n, err := ParseNumbered("c", []byte("stragglers {\n grace = \"1m\"\n floor = 0.7\n leave_service = true\n}"))
	if err := n.CheckTenants(nil); err != nil {
		t.Error(err)
	}
	overload, err2 := ParseNumbered("c", []byte("needs = 2\noverload {\n shares = { a = 0.4, x = 0.1 }\n}"))
	if err2 != nil || overload.CheckTenants([]string{"a", "x"}) != nil {
		t.Error(err2)
	}
	if err := overload.CheckTenants([]string{"a", "b"}); err == nil || !strings.Contains(err.Error(), `c:3: shares: this box's settings know no tenant "x"; they know a, b`) {
		t.Error(err)
	}
	if err != nil || n.Rules().Grace != time.Minute || n.Rules().Floor != 0.7 || !n.Rules().LeaveService {
		t.Errorf("%+v, %v", n, err)
	}
}
