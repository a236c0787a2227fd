package straggler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/decide/rollout"
)

// newTable returns a table in which version 2 is in force and the lowest allowed one. reported holds the version that each box has
// reported, 0 for no report.
func newTable(floor float64, reported map[string]uint64) (*rollout.Table, map[string]uint64) {
	t, living := rollout.NewTable(), map[string]uint64{}
	for _, b := range slices.Sorted(maps.Keys(reported)) {
		living[b] = uint64(len(living) + 1)
	}
	of := func(box string) rollout.CommandContext {
		return rollout.CommandContext{Index: 1, Box: box, Session: living[box], Living: living, KnownBoxes: len(living)}
	}
	for range 2 {
		t.Apply(rollout.Command{Kind: rollout.Put, Digest: strings.Repeat("a", 64), Rules: &rollout.Rules{Grace: time.Minute, Floor: floor}}, of("a"))
	}
	t.Target, t.Lowest = 2, 2
	for b, n := range reported {
		if n > 0 {
			t.Apply(rollout.Command{Kind: rollout.ReportStatus, Status: &rollout.Status{InForce: n}}, of(b))
		}
	}
	return t, living
}

const term = 2 * time.Second

// TestDetectorDue checks which boxes are shut out at which time. Each step has the detector's clock in seconds, an event, and the
// box that is to be shut out.
func TestDetectorDue(t *testing.T) {
	type at struct {
		sec  int
		do   func(t *rollout.Table, living map[string]uint64, j *Detector)
		want string
	}
	for name, c := range map[string]struct {
		floor    float64
		reported map[string]uint64
		known    int
		steps    []at
	}{
		"after the grace period": {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {59, nil, ""}, {60, nil, "a"}}},
		"no box is behind":       {0.5, map[string]uint64{"a": 2, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {600, nil, ""}}},
		"box without a report":   {0.5, map[string]uint64{"a": 0, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {60, nil, "a"}}},
		"box that is updated in time": {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(t *rollout.Table, l map[string]uint64, _ *Detector) {
			t.Boxes["a"] = rollout.Status{Session: l["a"], InForce: 2}
		}, ""}, {600, nil, ""}}},
		"new incarnation restarts the grace period": {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(_ *rollout.Table, l map[string]uint64, _ *Detector) { l["a"] = 9 }, ""}, {60, nil, ""}, {110, nil, "a"}}},
		"new detector restarts the grace period":    {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(_ *rollout.Table, _ map[string]uint64, j *Detector) { j.Reset() }, ""}, {100, nil, ""}, {110, nil, "a"}}},
		"one at a time":                             {0.3, map[string]uint64{"a": 1, "b": 1, "c": 2, "d": 2}, 4, []at{{0, nil, ""}, {60, nil, "a"}}},
		"not below the floor":                       {0.9, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {600, nil, ""}}},
		"dead boxes count against the floor":        {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 5, []at{{0, nil, ""}, {600, nil, ""}}},
		"never the only box":                        {0, map[string]uint64{"a": 1}, 1, []at{{0, nil, ""}, {600, nil, ""}}},
		"dead boxes are not shut out":               {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(_ *rollout.Table, l map[string]uint64, _ *Detector) { delete(l, "a") }, ""}, {600, nil, ""}}},
	} {
		table, living := newTable(c.floor, c.reported)
		j := new(Detector)
		for _, s := range c.steps {
			if s.do != nil {
				s.do(table, living, j)
			}
			now := time.Duration(s.sec) * time.Second
			list, next := j.Due(now, table, living, c.known, term)
			var got []string
			for _, x := range list {
				if x.Session != living[x.Box] {
					t.Errorf("%s: wrong session of %s: %d", name, x.Box, x.Session)
				}
				got = append(got, x.Box)
			}
			if strings.Join(got, " ") != s.want || next <= now {
				t.Errorf("%s: at %d s: shut out %v, next %v; want %q", name, s.sec, got, next, s.want)
			}
			if len(list) > 0 { // the proposal is repeated only after proposalInterval
				if again, _ := j.Due(now+proposalInterval/2, table, living, c.known, term); slices.ContainsFunc(again, func(x rollout.Command) bool { return x.Box == list[0].Box }) {
					t.Errorf("%s: proposal repeated too early", name)
				}
			}
		}
	}
}

// TestMinGraceOverridesConfiguredGrace checks that a box is not shut out before MinGrace, in which a disconnected box may
// still act, even if the configuration sets a shorter grace period.
func TestMinGraceOverridesConfiguredGrace(t *testing.T) {
	table, living := newTable(0.5, map[string]uint64{"a": 1, "b": 2, "c": 2})
	for i := range table.Versions {
		table.Versions[i].Rules.Grace = time.Millisecond
	}
	j := new(Detector)
	j.Due(0, table, living, 3, term)
	if list, _ := j.Due(MinGrace(term)-1, table, living, 3, term); len(list) > 0 {
		t.Error("shut out before MinGrace")
	}
	if list, _ := j.Due(MinGrace(term), table, living, 3, term); len(list) != 1 {
		t.Error("not shut out after MinGrace")
	}
}

// TestStateOf checks the state of a box, and that only a box in state UpToDate may start actions.
func TestStateOf(t *testing.T) {
	for i, c := range []struct {
		out          bool
		inForce      uint64
		needs, build uint64
		want         State
	}{{false, 2, 0, 1, UpToDate}, {false, 3, 0, 1, UpToDate}, {false, 1, 0, 1, Behind}, {false, 1, 2, 1, BuildTooOld}, {false, 1, 2, 2, Behind}, {true, 2, 0, 1, ShutOut}, {true, 0, 9, 1, ShutOut}} {
		table, _ := newTable(0.5, map[string]uint64{"a": 1})
		for i := range table.Versions {
			table.Versions[i].Needs = c.needs
		}
		if c.out {
			table.ShutOutBoxes["a"] = rollout.ShutOutBox{}
		}
		got := StateOf(table, "a", c.inForce, c.build)
		if got != c.want || got.MayAct() != (got == UpToDate) || fmt.Sprint(got) == "" {
			t.Errorf("case %d: %v, want %v", i, got, c.want)
		}
		var again State
		text, _ := got.MarshalText()
		if again.UnmarshalText(text); again != got {
			t.Errorf("%v decodes as %v", got, again)
		}
	}
	if StateOf(rollout.NewTable(), "a", 0, 1) != UpToDate {
		t.Error("box is behind in a fleet without a lowest version")
	}
}
