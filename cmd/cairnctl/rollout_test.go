package main

import (
	"strings"
	"testing"
)

func TestDiffLines(t *testing.T) {
	for _, c := range [][3]string{
		{"a b c", "a b c", "  a/  b/  c"},
		{"a b c", "a c", "  a/- b/  c"},
		{"a c", "a b c", "  a/+ b/  c"},
		{"a b", "c d", "- a/- b/+ c/+ d"},
		{"a", "b a b", "+ b/  a/+ b"},
	} {
		if got := strings.Join(diffLines(strings.Fields(c[0]), strings.Fields(c[1])), "/"); got != c[2] {
			t.Errorf("%q and %q: %q, not %q", c[0], c[1], got, c[2])
		}
	}
}

func TestPlanOptions(t *testing.T) {
	o := planOptions{Canaries: 1, Share: 0.25, Patience: 1, At: 2, Turned: 3, Supersede: true}
	if p := o.plan(); p.Validate() != nil || p.Slots != 2 || p.MaxRejected != 3 || !p.Supersede {
		t.Errorf("%+v", p)
	}
}
