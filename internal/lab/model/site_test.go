package model

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"cairnlane/policy"
)

const (
	plainConfig = "../../../examples/config.json"        // four classes, the last one keyed; three tenants; no dependency
	indexConfig = "../../../examples/images/config.json" // four classes, the second and the last keyed; five tenants; calls to an index
)

func mustOpen(config string) Site {
	s, err := Open(config)
	if err != nil {
		panic(err)
	}
	return s
}

// exampleSite returns the site of examples/ with its times divided by faster.
func exampleSite(faster float64) Site { return mustOpen(plainConfig).SpedUp(faster) }

// TestOpenCombinesSettingsAndDescription checks that classes and tenants stand in the order of the settings and that the description's settings
// override those of the configuration.
func TestOpenCombinesSettingsAndDescription(t *testing.T) {
	s := mustOpen(indexConfig)
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	if !slices.Equal(names, []string{"view-scan", "save-label", "cut-tiles", "move-scan"}) || len(s.Tenants) != 5 || s.Tenants[s.HotTenant].Name != "river-rooms" {
		t.Errorf("classes %v, tenants %v, hot %d", names, s.Tenants, s.HotTenant)
	}
	if k := s.Classes[1]; k.Semantics != policy.Keyed || k.DedupWindow != 27600*ms || k.Work != 170*ms || k.MeanIndexCalls != 1.5 || s.ReadWork != time.Duration(0.045*float64(s.MeanWork())) {
		t.Errorf("class 1 is %+v, reading takes %v", k, s.ReadWork)
	}
	if c := s.Policy(1, 9); c.Dependency != policy.SharedDependency || c.MeanCallLimit != 1.4 || c.Callers != 9 || c.Cores != 4 || c.MaxHoldOff != 1500*ms || len(c.Tenants) != 5 {
		t.Errorf("the policy configuration is %+v", c)
	}
	l := mustOpen(plainConfig)
	if c := l.Policy(1, 5); c.ColdFor != 12*time.Second || c.ColdFrom != 0.35 || c.RunMemoryFactor != 16 || c.Dependency != policy.NoDependency {
		t.Errorf("the description does not override the settings: %+v", c)
	}
	f := l.SpedUp(2)
	if f.Classes[3].DedupWindow != l.Classes[3].DedupWindow/2 || f.Classes[0].Work != l.Classes[0].Work/2 || f.ColdFor != 6*time.Second || f.ListDelay != l.ListDelay || f.Capacity(3) < 1.99*l.Capacity(3) {
		t.Errorf("site at twice the speed: %+v", f)
	}
}

// TestOpenRejectsMismatchedDescription checks that each mismatch gives an ErrDescription that names it.
func TestOpenRejectsMismatchedDescription(t *testing.T) {
	config, err := os.ReadFile(indexConfig)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(filepath.Dir(indexConfig), DescriptionFile))
	if err != nil {
		t.Fatal(err)
	}
	for what, change := range map[string]func(w map[string]any){
		`"save-label"`: func(w map[string]any) { delete(w["classes"].(map[string]any), "save-label") },
		`"weavers"`:    func(w map[string]any) { delete(w["tenants"].(map[string]any), "weavers") },
		"do not know":  func(w map[string]any) { w["tenants"].(map[string]any)["nobody"] = 0.1 },
		`"nobody"`:     func(w map[string]any) { w["hot"] = "nobody" },
		"no slots":     func(w map[string]any) { delete(w, "index") },
		"unknown":      func(w map[string]any) { w["colour"] = "red" },
		"settings":     func(w map[string]any) { w["settings"] = 7 },
		`"cut-tiles"`:  func(w map[string]any) { w["classes"].(map[string]any)["cut-tiles"].(map[string]any)["work_ms"] = 0 },
	} {
		var w map[string]any
		if err := json.Unmarshal(raw, &w); err != nil {
			t.Fatal(err)
		}
		change(w)
		changed, err := json.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		path := filepath.Join(dir, "config.json")
		if err := errors.Join(os.WriteFile(path, config, 0o600), os.WriteFile(filepath.Join(dir, DescriptionFile), changed, 0o600)); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); !errors.Is(err, ErrDescription) || !strings.Contains(err.Error(), what) {
			t.Errorf("the error of Open is %v, want ErrDescription that mentions %s", err, what)
		}
	}
}

// TestSimulateSiteWithIndexCalls simulates a site with five tenants, keyed classes at other positions and runs that call an index, with the faults of
// all fault cases. It checks the invariants and that calls are made. The gain of a fleet is not checked here: `cairnctl trial days --site` measures it.
func TestSimulateSiteWithIndexCalls(t *testing.T) {
	s := mustOpen(indexConfig)
	for _, m := range []Mode{Alone, Fleet, Disconnected} {
		d := Case{"all", 1.2, func(d *Scenario) {
			for _, c := range FaultCases {
				c.AddFaults(d)
			}
			d.OneRouter = false
		}}.Scenario(s, 8, 30*time.Second, 5, m)
		a := Simulate(d)
		if b := Simulate(d); !reflect.DeepEqual(a, b) {
			t.Fatalf("%s: two simulations of the same scenario differ: %v and %v", m, a.Ratio(), b.Ratio())
		}
		if a.Lost+a.AnsweredTwice+a.DoubleRuns+len(a.Violations) > 0 || a.MaxLevelChanges > 1 || a.Requests < 1000 {
			t.Errorf("%s: %d lost, %d answered twice, %d double runs, %d level changes, %d requests, violations %v", m, a.Lost, a.AnsweredTwice, a.DoubleRuns, a.MaxLevelChanges, a.Requests, a.Violations)
		}
		if a.IndexCalls < 300 {
			t.Errorf("%s: only %d index calls, %d skipped", m, a.IndexCalls, a.SkippedCalls)
		}
		t.Logf("%s: worth ratio %.3f, %d requests, %d index calls, %d skipped, ratios by class %.2f", m, a.Ratio(), a.Requests, a.IndexCalls, a.SkippedCalls, a.RatioByClass)
	}
}
