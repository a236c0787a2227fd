package overloads

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/lab/rigtest"
	"cairnlane/internal/settings"
	"cairnlane/policy"
)

const indexConfig = "../../../examples/images/config.json" // two keyed classes, at other positions than in the other example

// TestBodyPrefixMarksKeyedClasses checks that exactly the bodies of keyed classes have the prefix by which double runs are counted, at any position
// of these classes in the settings.
func TestBodyPrefixMarksKeyedClasses(t *testing.T) {
	s, err := Site(indexConfig)
	if err != nil {
		t.Fatal(err)
	}
	p := &trialRun{cfg: Config{Scenario: model.Scenario{Site: s}}}
	for i, c := range s.Classes {
		if b := p.body(model.Request{N: 7, Class: i}); strings.HasPrefix(b, keyedBody) != (c.Semantics == policy.Keyed) {
			t.Errorf("class %s (%v) has the body %q", c.Name, c.Semantics, b)
		}
	}
}

// TestApplySiteWritesSettings checks that a box's settings are those of the configuration, except for the times, which are the scenario's, and the
// number of cores.
func TestApplySiteWritesSettings(t *testing.T) {
	s, err := Site(indexConfig)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(indexConfig)
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	p := &trialRun{cfg: Config{Scenario: model.Scenario{Site: s, Load: model.Load{Boxes: 1, Routers: 5}}}, cold: make([]bool, 1)}
	p.applySite(0, c)
	if raw, err = json.Marshal(c["settings"]); err != nil {
		t.Fatal(err)
	}
	decoded, err := settings.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	got := decoded.Policy(1)
	if got.MaxRunsPerCore != 5 || got.Cores != boxCores || got.Dependency != policy.SharedDependency || len(got.Classes) != 4 {
		t.Errorf("policy configuration of the box: %+v", got)
	}
	for i, k := range got.Classes {
		want := s.Classes[i]
		if near := func(a, b time.Duration) bool { return (a - b).Abs() <= time.Microsecond }; k.Name != want.Name || k.Worth != want.Worth || k.SkipWorth != want.SkipWorth ||
			k.Semantics != want.Semantics || !near(k.DedupWindow, want.DedupWindow) || !near(k.Deadline, want.Deadline) || !near(k.Aim, want.Aim) {
			t.Errorf("class %d is %+v, want %+v", i, k, want.Class)
		}
	}
}

// TestOverloadTrialWithIndexCallsKeepsInvariants runs a trial over real processes at a site with two keyed classes, five tenants and runs that call
// an index. It checks invariants and counts.
func TestOverloadTrialWithIndexCallsKeepsInvariants(t *testing.T) {
	dir, err := rig.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	f, err := Trial{Seed: 1, Seeds: 1, Boxes: 3, Loads: []float64{1.3}, Modes: []model.Mode{model.Fleet}, Span: 5 * time.Second, ConfigFile: indexConfig, Dir: dir, Serve: rigtest.Serve,
		AddFaults: func(d *model.Scenario) {
			d.Faults = append(d.Faults, model.Fault{Kind: model.Kill, From: 2 * time.Second, Duration: 500 * time.Millisecond, Boxes: []int{2}})
		}}.Run()
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.MissedInvariants(); len(missed) > 0 {
		t.Errorf("missed %s\n%s", strings.Join(missed, ", "), strings.Join(f.Log, "\n"))
	}
	r := f.Results[1.3][model.Fleet][0]
	if r.Requests < 200 {
		t.Errorf("too little load: %d requests", r.Requests)
	}
	t.Logf("%+v", *r)
}
