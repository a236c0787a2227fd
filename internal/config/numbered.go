package config

import (
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"cairnlane/internal/decide/rollout"
)

// Numbered is a configuration that a whole fleet has in force by number: what its commands and tasks go by, and what becomes of
// boxes that are behind it. docs/rollout.md is the operators' page.
type Numbered struct {
	Needs      uint64            `hcl:"needs,optional"`  // the least number of a build that understands it
	Values     map[string]string `hcl:"values,optional"` // for commands that run under a lease, as CAIRNLANE_VALUE_NAME
	Stragglers *Stragglers       `hcl:"stragglers,block"`
	Overload   *Overload         `hcl:"overload,block"` // nil: each box sheds by itself alone
	places     map[string]hcl.Range
}

// Overload says what the fleet sheds as one, and how often it asks. docs/overload.md is the operators' page.
type Overload struct {
	Tries  float64            `hcl:"tries,optional"`  // further tries over first ones that the fleet takes; 0.1 if not given
	Shares map[string]float64 `hcl:"shares,optional"` // of the capacity, by tenant; others have even parts of the rest
}

// OverloadNeeds is the number of the first build that knows an overload block.
const OverloadNeeds = 2

// Stragglers says what becomes of boxes that are behind.
type Stragglers struct {
	Grace string  `hcl:"grace,optional"`         // between being behind and being shut out; 30s if not given
	Floor float64 `hcl:"floor,optional"`         // the share of all known boxes that must be left; 0.5 if not given
	Leave bool    `hcl:"leave_service,optional"` // a box that is shut out takes itself out of service
}

// MostValues bounds the values of a configuration.
const MostValues = 256

var valueName = regexp.MustCompile(`^[A-Z][A-Z0-9_]{0,62}$`)

// ParseNumbered reads one. The error lists everything that is wrong, with line and column.
func ParseNumbered(path string, src []byte) (*Numbered, error) {
	file, diags := hclparse.NewParser().ParseHCL(src, path)
	if diags.HasErrors() {
		return nil, list(diags)
	}
	n := &Numbered{Stragglers: &Stragglers{}}
	if diags = gohcl.DecodeBody(file.Body, nil, n); diags.HasErrors() {
		return nil, list(diags)
	}
	if n.Stragglers == nil {
		n.Stragglers = &Stragglers{}
	}
	places := map[string]hcl.Range{}
	locate(file.Body, reflect.TypeFor[Numbered](), "Numbered", places)
	wrong := func(at, text string) {
		place := places[at]
		diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: text, Subject: &place})
	}
	if s := n.Stragglers; true {
		if s.Grace != "" {
			if d, err := time.ParseDuration(s.Grace); err != nil || d <= 0 || d > 24*time.Hour {
				wrong("Numbered.Stragglers.Grace", fmt.Sprintf("grace: %q must be a span above 0 and up to 24h, such as \"30s\"", s.Grace))
			}
		}
		if !(s.Floor >= 0 && s.Floor <= 1) {
			wrong("Numbered.Stragglers.Floor", "floor: it is a share of all boxes, from 0 to 1")
		}
	}
	if len(n.Values) > MostValues {
		wrong("Numbered.Values", fmt.Sprintf("values: %d are too many; %d at most", len(n.Values), MostValues))
	}
	for name := range n.Values {
		if !valueName.MatchString(name) {
			wrong("Numbered.Values", fmt.Sprintf("values: %q must be a name of capital letters, digits and underscores", name))
		}
	}
	if o := n.Overload; o != nil {
		if n.Needs < OverloadNeeds {
			wrong("Numbered.Overload", fmt.Sprintf("overload: builds below number %d do not know it; say needs = %d", OverloadNeeds, OverloadNeeds))
		}
		if !(o.Tries >= 0 && o.Tries <= 1) {
			wrong("Numbered.Overload.Tries", "tries: it is a share of the first tries, from 0 to 1")
		}
		sum := 0.0
		for name, s := range o.Shares {
			if !(s > 0 && s <= 1) {
				wrong("Numbered.Overload.Shares", fmt.Sprintf("shares: that of %q must be above 0 and up to 1", name))
			}
			sum += s
		}
		if sum > sharesMost {
			wrong("Numbered.Overload.Shares", fmt.Sprintf("shares: they add up to %.2f; they are parts of one capacity", sum))
		}
	}
	if diags.HasErrors() {
		return nil, list(diags)
	}
	n.places = places
	return n, nil
}

// sharesMost leaves room for shares that were rounded.
const sharesMost = 1.02

// CheckTenants turns down a share of a tenant that a box's settings do not know.
func (n *Numbered) CheckTenants(known []string) error {
	if n.Overload == nil {
		return nil
	}
	var diags hcl.Diagnostics
	for _, name := range slices.Sorted(maps.Keys(n.Overload.Shares)) {
		if !slices.Contains(known, name) {
			place := n.places["Numbered.Overload.Shares"]
			diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf("shares: this box's settings know no tenant %q; they know %s", name, strings.Join(known, ", ")), Subject: &place})
		}
	}
	return list(diags)
}

// Rules are what the configuration says of stragglers, with what holds where it says nothing.
func (n *Numbered) Rules() rollout.Rules {
	r := rollout.Rules{Grace: 30 * time.Second, Floor: 0.5, LeaveService: n.Stragglers.Leave}
	if d, err := time.ParseDuration(n.Stragglers.Grace); err == nil {
		r.Grace = d
	}
	if n.Stragglers.Floor > 0 {
		r.Floor = n.Stragglers.Floor
	}
	return r
}
