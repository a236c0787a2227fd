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

// Numbered is a configuration that is versioned by number and in force on a whole fleet. It holds the values for commands
// that run under a lease and the handling of boxes that are behind. docs/rollout.md is the operators' page.
type Numbered struct {
	Needs      uint64            `hcl:"needs,optional"`  // lowest number of a build that supports it
	Values     map[string]string `hcl:"values,optional"` // for commands that run under a lease, as CAIRNLANE_VALUE_NAME
	Stragglers *Stragglers       `hcl:"stragglers,block"`
	Overload   *Overload         `hcl:"overload,block"` // nil: each box sheds on its own
	ranges     map[string]hcl.Range
}

// Overload configures the fleet's retry budget and the tenants' shares under overload. docs/overload.md is the operators' page.
type Overload struct {
	Tries  float64            `hcl:"tries,optional"`  // retry budget: accepted retries per first attempt; 0.1 by default
	Shares map[string]float64 `hcl:"shares,optional"` // parts of the capacity by tenant; the other tenants share the rest evenly
}

// OverloadMinBuild is the number of the first build that supports an overload block.
const OverloadMinBuild = 2

// Stragglers configures the handling of boxes that are behind.
type Stragglers struct {
	Grace string  `hcl:"grace,optional"`         // time from falling behind to being shut out; 30s by default
	Floor float64 `hcl:"floor,optional"`         // share of all known boxes that must not be shut out or dead; 0.5 by default
	Leave bool    `hcl:"leave_service,optional"` // a box that is shut out takes itself out of service
}

// MaxValues is the maximum number of values in a configuration.
const MaxValues = 256

var valueName = regexp.MustCompile(`^[A-Z][A-Z0-9_]{0,62}$`)

// ParseNumbered parses a numbered configuration. The error lists everything that is wrong, with its line.
func ParseNumbered(path string, src []byte) (*Numbered, error) {
	file, diags := hclparse.NewParser().ParseHCL(src, path)
	if diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	n := &Numbered{Stragglers: &Stragglers{}}
	if diags = gohcl.DecodeBody(file.Body, nil, n); diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	if n.Stragglers == nil {
		n.Stragglers = &Stragglers{}
	}
	ranges := map[string]hcl.Range{}
	recordRanges(file.Body, reflect.TypeFor[Numbered](), "Numbered", ranges)
	report := func(at, text string) {
		place := ranges[at]
		diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: text, Subject: &place})
	}
	if s := n.Stragglers; true {
		if s.Grace != "" {
			if d, err := time.ParseDuration(s.Grace); err != nil || d <= 0 || d > 24*time.Hour {
				report("Numbered.Stragglers.Grace", fmt.Sprintf("grace: %q must be a duration above 0 and up to 24h, such as \"30s\"", s.Grace))
			}
		}
		if !(s.Floor >= 0 && s.Floor <= 1) {
			report("Numbered.Stragglers.Floor", "floor: must be a share of all boxes, from 0 to 1")
		}
	}
	if len(n.Values) > MaxValues {
		report("Numbered.Values", fmt.Sprintf("values: there are %d, at most %d are allowed", len(n.Values), MaxValues))
	}
	for name := range n.Values {
		if !valueName.MatchString(name) {
			report("Numbered.Values", fmt.Sprintf("values: the name %q must consist of capital letters, digits and underscores, with a letter first", name))
		}
	}
	if o := n.Overload; o != nil {
		if n.Needs < OverloadMinBuild {
			report("Numbered.Overload", fmt.Sprintf("overload: builds below number %d do not support it; set needs = %d", OverloadMinBuild, OverloadMinBuild))
		}
		if !(o.Tries >= 0 && o.Tries <= 1) {
			report("Numbered.Overload.Tries", "tries: must be a share of the first attempts, from 0 to 1")
		}
		sum := 0.0
		for name, s := range o.Shares {
			if !(s > 0 && s <= 1) {
				report("Numbered.Overload.Shares", fmt.Sprintf("shares: the share of %q must be above 0 and up to 1", name))
			}
			sum += s
		}
		if sum > maxShareSum {
			report("Numbered.Overload.Shares", fmt.Sprintf("shares: they add up to %.2f, which is more than the whole capacity", sum))
		}
	}
	if diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	n.ranges = ranges
	return n, nil
}

// maxShareSum is above 1 to allow for rounded shares.
const maxShareSum = 1.02

// CheckTenants returns an error if a share is given to a tenant that is not among the known ones of a box's settings.
func (n *Numbered) CheckTenants(known []string) error {
	if n.Overload == nil {
		return nil
	}
	var diags hcl.Diagnostics
	for _, name := range slices.Sorted(maps.Keys(n.Overload.Shares)) {
		if !slices.Contains(known, name) {
			place := n.ranges["Numbered.Overload.Shares"]
			diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf("shares: this box's settings know no tenant %q; they know %s", name, strings.Join(known, ", ")), Subject: &place})
		}
	}
	return joinDiagnostics(diags)
}

// Rules returns the rules for stragglers, with defaults for what the configuration does not set.
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
