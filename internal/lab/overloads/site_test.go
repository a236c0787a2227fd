package overloads

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/lab/model"
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
	if got.FallFactor != 5 || got.Cores != boxCores || got.Dependency != policy.SharedDependency || len(got.Classes) != 4 {
		t.Errorf("%+v", got)
	}
	for i, k := range got.Classes {
		want := s.Classes[i]
		if near := func(a, b time.Duration) bool { return (a - b).Abs() <= time.Microsecond }; k.Name != want.Name || k.Worth != want.Worth || k.SkipWorth != want.SkipWorth ||
			k.Semantics != want.Semantics || !near(k.Window, want.Window) || !near(k.Deadline, want.Deadline) || !near(k.Aim, want.Aim) {
			t.Errorf("class %d: %+v, not %+v", i, k, want.Class)
		}
	}
}
