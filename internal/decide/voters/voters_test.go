package voters

import "testing"

func TestSituationNext(t *testing.T) {
	all := func(uint64) bool { return true }
	none := func(uint64) bool { return false }
	abc := map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {ID: 3}}
	known := map[string]uint64{"a": 1, "b": 2, "c": 3}
	for name, c := range map[string]struct {
		s    Situation
		want Change
	}{
		"no change needed":                    {Situation{Wanted: []string{"a", "b", "c"}, Members: abc, Reported: known, CaughtUp: all, Self: "a"}, Change{}},
		"wanted box is unknown":               {Situation{Wanted: []string{"a", "b", "c", "d"}, Members: abc, Reported: known, CaughtUp: all, Self: "a"}, Change{}},
		"new box becomes a learner":           {Situation{Wanted: []string{"a", "b"}, Members: map[string]Voter{"a": {ID: 1}}, Reported: known, CaughtUp: all, Self: "a"}, Change{"b", 2, Learner}},
		"learner that lags does not vote":     {Situation{Wanted: []string{"a", "b"}, Members: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Reported: known, CaughtUp: none, Self: "a"}, Change{}},
		"learner that caught up votes":        {Situation{Wanted: []string{"a", "b"}, Members: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Reported: known, CaughtUp: all, Self: "a"}, Change{"b", 2, FullVoter}},
		"new identity after disk loss":        {Situation{Wanted: []string{"a", "b", "c"}, Members: abc, Reported: map[string]uint64{"a": 1, "b": 2, "c": 9}, CaughtUp: all, Self: "a"}, Change{"c", 9, Learner}},
		"replaced identity is removed":        {Situation{Wanted: []string{"a", "b", "c"}, Members: map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {9, true}}, Replaced: []uint64{3}, Reported: map[string]uint64{"a": 1, "b": 2, "c": 9}, CaughtUp: all, Self: "a"}, Change{"", 3, Removed}},
		"new identity becomes a voter":        {Situation{Wanted: []string{"a", "b", "c"}, Members: map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {9, true}}, Reported: map[string]uint64{"a": 1, "b": 2, "c": 9}, CaughtUp: all, Self: "a"}, Change{"c", 9, FullVoter}},
		"unwanted voter is removed":           {Situation{Wanted: []string{"a", "b"}, Members: abc, Reported: known, CaughtUp: all, Self: "a"}, Change{"c", 3, Removed}},
		"leader does not remove itself":       {Situation{Wanted: []string{"b", "c"}, Members: abc, Reported: known, CaughtUp: all, Self: "a"}, Change{}},
		"former leader is removed":            {Situation{Wanted: []string{"b", "c"}, Members: abc, Reported: known, CaughtUp: all, Self: "b"}, Change{"a", 1, Removed}},
		"only voter is not removed":           {Situation{Wanted: []string{"b"}, Members: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Reported: known, CaughtUp: none, Self: "b"}, Change{}},
		"replacement is added before removal": {Situation{Wanted: []string{"b", "c", "d"}, Members: abc, Reported: map[string]uint64{"d": 4}, CaughtUp: all, Self: "b"}, Change{"d", 4, Learner}},
	} {
		if got, _ := c.s.Next(); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
