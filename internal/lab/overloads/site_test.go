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

const images = "../../../examples/images/config.json" // two keyed classes, neither of them where the other example's is

// TestKeyedBodiesAreThoseOfKeyedClasses, wherever these stand in the settings: runs that came twice are counted by the body.
func TestKeyedBodiesAreThoseOfKeyedClasses(t *testing.T) {
	s, err := Site(images)
	if err != nil {
		t.Fatal(err)
	}
	p := &play{cfg: Config{Day: model.Day{Site: s}}}
	for i, c := range s.Classes {
		if b := p.body(model.Request{N: 7, Class: i}); strings.HasPrefix(b, keyedBody) != (c.Semantics == policy.Keyed) {
			t.Errorf("%s (%v) has the body %q", c.Name, c.Semantics, b)
		}
	}
}

// TestABoxIsToldItsSite: its settings stay the configuration's but for the times, which are the day's, and the number of cores.
func TestABoxIsToldItsSite(t *testing.T) {
	s, err := Site(images)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(images)
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	p := &play{cfg: Config{Day: model.Day{Site: s, Load: model.Load{Boxes: 1, Routers: 5}}}, cold: make([]bool, 1)}
	p.shape(0, c)
	if raw, err = json.Marshal(c["settings"]); err != nil {
		t.Fatal(err)
	}
	told, err := settings.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	got := told.Policy(1)
	if got.MaxRunsPerCore != 5 || got.Cores != boxCores || got.Dependency != policy.SharedDependency || len(got.Classes) != 4 {
		t.Errorf("%+v", got)
	}
	for i, k := range got.Classes {
		want := s.Classes[i]
		if near := func(a, b time.Duration) bool { return (a - b).Abs() <= time.Microsecond }; k.Name != want.Name || k.Worth != want.Worth || k.SkipWorth != want.SkipWorth ||
			k.Semantics != want.Semantics || !near(k.DedupWindow, want.DedupWindow) || !near(k.Deadline, want.Deadline) || !near(k.Aim, want.Aim) {
			t.Errorf("class %d: %+v, not %+v", i, k, want.Class)
		}
	}
}

// TestADayAtAnotherSiteKeepsTheRules, over real processes: two keyed classes, five tenants, and runs that call an index. It judges rules and counts.
func TestADayAtAnotherSiteKeepsTheRules(t *testing.T) {
	dir, err := rig.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	f, err := Trial{Seed: 1, Seeds: 1, Boxes: 3, Loads: []float64{1.3}, Modes: []model.Mode{model.Fleet}, Span: 5 * time.Second, Example: images, Dir: dir, Serve: rigtest.Serve,
		Faults: func(d *model.Day) {
			d.Troubles = append(d.Troubles, model.Trouble{Kind: model.Kill, From: 2 * time.Second, For: 500 * time.Millisecond, Boxes: []int{2}})
		}}.Run()
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.Rules(); len(missed) > 0 {
		t.Errorf("missed %s\n%s", strings.Join(missed, ", "), strings.Join(f.Notes, "\n"))
	}
	r := f.Got[1.3][model.Fleet][0]
	if r.Requests < 200 {
		t.Errorf("too little was seen: %d requests", r.Requests)
	}
	t.Logf("%+v", *r)
}
