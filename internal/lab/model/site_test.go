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
	lectures = "../../../examples/config.json"        // four classes, the last one keyed, three tenants, no dependency
	images   = "../../../examples/images/config.json" // four classes, the second and the last keyed, five tenants, calls to an index
)

func open(config string) Site {
	s, err := Open(config)
	if err != nil {
		panic(err)
	}
	return s
}

// Perth is the site of examples/ at so many times its speed.
func Perth(faster float64) Site { return open(lectures).Faster(faster) }

// TestASiteIsWhatItsFilesSay: classes and tenants are those of the settings, in their order, and what the module is told is laid over.
func TestASiteIsWhatItsFilesSay(t *testing.T) {
	s := open(images)
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	if !slices.Equal(names, []string{"view-scan", "save-label", "cut-tiles", "move-scan"}) || len(s.Tenants) != 5 || s.Tenants[s.Hot].Name != "river-rooms" {
		t.Errorf("classes %v, tenants %v, hot %d", names, s.Tenants, s.Hot)
	}
	if k := s.Classes[1]; k.Semantics != policy.Keyed || k.DedupWindow != 27600*ms || k.Work != 170*ms || k.Calls != 1.5 || s.Read != time.Duration(0.045*float64(s.MeanWork())) {
		t.Errorf("%+v, read %v", k, s.Read)
	}
	if c := s.Policy(1, 9); c.Dependency != policy.SharedDependency || c.MeanCallLimit != 1.4 || c.Callers != 9 || c.Cores != 4 || c.MaxHoldOff != 1500*ms || len(c.Tenants) != 5 {
		t.Errorf("the module is told %+v", c)
	}
	l := open(lectures)
	if c := l.Policy(1, 5); c.ColdFor != 12*time.Second || c.ColdFrom != 0.35 || c.RunMemoryFactor != 16 || c.Dependency != policy.NoDependency {
		t.Errorf("what is laid over the settings is not told: %+v", c)
	}
	f := l.Faster(2)
	if f.Classes[3].DedupWindow != l.Classes[3].DedupWindow/2 || f.Classes[0].Work != l.Classes[0].Work/2 || f.ColdFor != 6*time.Second || f.ListLag != l.ListLag || f.Capacity(3) < 1.99*l.Capacity(3) {
		t.Errorf("twice as fast: %+v", f)
	}
}

// TestADescriptionThatDoesNotFitIsTurnedDown, with the name of what does not fit.
func TestADescriptionThatDoesNotFitIsTurnedDown(t *testing.T) {
	config, err := os.ReadFile(images)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(filepath.Dir(images), WorldFile))
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
		if err := errors.Join(os.WriteFile(path, config, 0o600), os.WriteFile(filepath.Join(dir, WorldFile), changed, 0o600)); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); !errors.Is(err, ErrWorld) || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// TestAnotherSiteIsPlayedByTheSameCode: five tenants, keyed classes in other places, and a dependency that runs call. The rules are kept with
// all that goes wrong on a day, and calls are made. What a fleet gains there is not judged: `cairnctl trial days --site` tells it.
func TestAnotherSiteIsPlayedByTheSameCode(t *testing.T) {
	s := open(images)
	for _, m := range []Mode{Alone, Fleet, Cut} {
		d := Case{"all", 1.2, func(d *Day) {
			for _, c := range Hard {
				c.Make(d)
			}
			d.OneRouter = false
		}}.Day(s, 8, 30*time.Second, 5, m)
		a := Play(d)
		if b := Play(d); !reflect.DeepEqual(a, b) {
			t.Fatalf("%s: two plays differ: %v and %v", m, a.Of(), b.Of())
		}
		if a.Lost+a.Twice+a.DoubleRuns+len(a.Broken) > 0 || a.LevelChanges > 1 || a.Requests < 1000 {
			t.Errorf("%s: lost %d, twice %d, double %d, levels %d, %v", m, a.Lost, a.Twice, a.DoubleRuns, a.LevelChanges, a.Broken)
		}
		if a.Calls < 300 {
			t.Errorf("%s: %d calls, %d skipped", m, a.Calls, a.Skipped)
		}
		t.Logf("%s: %.3f, %d requests, %d calls, %d skipped, classes %.2f", m, a.Of(), a.Requests, a.Calls, a.Skipped, a.ByClass)
	}
}
