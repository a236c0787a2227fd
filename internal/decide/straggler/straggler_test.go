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

// fleet is a table with number 2 in force and as the lowest one, and boxes that have told what stands beside their names.
func fleet(floor float64, told map[string]uint64) (*rollout.Table, map[string]uint64) {
	t, living := rollout.NewTable(), map[string]uint64{}
	for _, b := range slices.Sorted(maps.Keys(told)) {
		living[b] = uint64(len(living) + 1)
	}
	of := func(box string) rollout.Of {
		return rollout.Of{Index: 1, Box: box, Session: living[box], Living: living, Known: len(living)}
	}
	for range 2 {
		t.Apply(rollout.Command{Kind: rollout.Put, Digest: strings.Repeat("a", 64), Rules: &rollout.Rules{Grace: time.Minute, Floor: floor}}, of("a"))
	}
	t.Target, t.Lowest = 2, 2
	for b, n := range told {
		if n > 0 {
			t.Apply(rollout.Command{Kind: rollout.Tell, Standing: &rollout.Standing{InForce: n}}, of(b))
		}
	}
	return t, living
}

const term = 2 * time.Second

// TestWhoIsShutOutAndWhen: seconds of the judge's clock, what happens then, and who is shut out.
func TestWhoIsShutOutAndWhen(t *testing.T) {
	type at struct {
		sec  int
		do   func(t *rollout.Table, living map[string]uint64, j *Judge)
		want string
	}
	for name, c := range map[string]struct {
		floor float64
		told  map[string]uint64
		known int
		steps []at
	}{
		"after the grace":     {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {59, nil, ""}, {60, nil, "a"}}},
		"nobody is behind":    {0.5, map[string]uint64{"a": 2, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {600, nil, ""}}},
		"who says nothing is": {0.5, map[string]uint64{"a": 0, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {60, nil, "a"}}},
		"one that comes along": {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(t *rollout.Table, l map[string]uint64, _ *Judge) {
			t.Boxes["a"] = rollout.Standing{Session: l["a"], InForce: 2}
		}, ""}, {600, nil, ""}}},
		"another incarnation":     {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(_ *rollout.Table, l map[string]uint64, _ *Judge) { l["a"] = 9 }, ""}, {60, nil, ""}, {110, nil, "a"}}},
		"another judge":           {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(_ *rollout.Table, _ map[string]uint64, j *Judge) { j.Forget() }, ""}, {100, nil, ""}, {110, nil, "a"}}},
		"one at a time":           {0.3, map[string]uint64{"a": 1, "b": 1, "c": 2, "d": 2}, 4, []at{{0, nil, ""}, {60, nil, "a"}}},
		"not below the floor":     {0.9, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {600, nil, ""}}},
		"the dead do not serve":   {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 5, []at{{0, nil, ""}, {600, nil, ""}}},
		"never all":               {0, map[string]uint64{"a": 1}, 1, []at{{0, nil, ""}, {600, nil, ""}}},
		"the dead are not judged": {0.5, map[string]uint64{"a": 1, "b": 2, "c": 2}, 3, []at{{0, nil, ""}, {50, func(_ *rollout.Table, l map[string]uint64, _ *Judge) { delete(l, "a") }, ""}, {600, nil, ""}}},
	} {
		table, living := fleet(c.floor, c.told)
		j := new(Judge)
		for _, s := range c.steps {
			if s.do != nil {
				s.do(table, living, j)
			}
			now := time.Duration(s.sec) * time.Second
			list, next := j.Due(now, table, living, c.known, term)
			var got []string
			for _, x := range list {
				if x.Session != living[x.Box] {
					t.Errorf("%s: the session of %s is %d", name, x.Box, x.Session)
				}
				got = append(got, x.Box)
			}
			if strings.Join(got, " ") != s.want || next <= now {
				t.Errorf("%s: at %d s %v, next %v; %q is wanted", name, s.sec, got, next, s.want)
			}
			if len(list) > 0 { // asked again only after a while
				if again, _ := j.Due(now+askEach/2, table, living, c.known, term); slices.ContainsFunc(again, func(x rollout.Command) bool { return x.Box == list[0].Box }) {
					t.Errorf("%s: asked again at once", name)
				}
			}
		}
	}
}

// TestTheLeastGraceIsLongerThanABoxActs that cannot hear, whatever the configuration says.
func TestTheLeastGraceIsLongerThanABoxActs(t *testing.T) {
	table, living := fleet(0.5, map[string]uint64{"a": 1, "b": 2, "c": 2})
	for i := range table.Versions {
		table.Versions[i].Rules.Grace = time.Millisecond
	}
	j := new(Judge)
	j.Due(0, table, living, 3, term)
	if list, _ := j.Due(LeastGrace(term)-1, table, living, 3, term); len(list) > 0 {
		t.Error("shut out while it may still act")
	}
	if list, _ := j.Due(LeastGrace(term), table, living, 3, term); len(list) != 1 {
		t.Error("not shut out")
	}
}

// TestHowABoxStands, and that it begins nothing unless it is level.
func TestHowABoxStands(t *testing.T) {
	for i, c := range []struct {
		out          bool
		inForce      uint64
		needs, build uint64
		want         State
	}{{false, 2, 0, 1, Level}, {false, 3, 0, 1, Level}, {false, 1, 0, 1, Behind}, {false, 1, 2, 1, TooOld}, {false, 1, 2, 2, Behind}, {true, 2, 0, 1, Out}, {true, 0, 9, 1, Out}} {
		table, _ := fleet(0.5, map[string]uint64{"a": 1})
		for i := range table.Versions {
			table.Versions[i].Needs = c.needs
		}
		if c.out {
			table.Out["a"] = rollout.Out{}
		}
		got := Stands(table, "a", c.inForce, c.build)
		if got != c.want || got.MayBegin() != (got == Level) || fmt.Sprint(got) == "" {
			t.Errorf("%d: %v, not %v", i, got, c.want)
		}
		var again State
		text, _ := got.MarshalText()
		if again.UnmarshalText(text); again != got {
			t.Errorf("%v is read as %v", got, again)
		}
	}
	if Stands(rollout.NewTable(), "a", 0, 1) != Level {
		t.Error("behind in a fleet that allows everything")
	}
}
