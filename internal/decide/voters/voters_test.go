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
		"no change needed":                    {Situation{Want: []string{"a", "b", "c"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{}},
		"wanted box is unknown":               {Situation{Want: []string{"a", "b", "c", "d"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{}},
		"new box becomes a learner":           {Situation{Want: []string{"a", "b"}, Have: map[string]Voter{"a": {ID: 1}}, Known: known, Caught: all, Self: "a"}, Change{"b", 2, Learner}},
		"learner that lags does not vote":     {Situation{Want: []string{"a", "b"}, Have: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Known: known, Caught: none, Self: "a"}, Change{}},
		"learner that caught up votes":        {Situation{Want: []string{"a", "b"}, Have: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Known: known, Caught: all, Self: "a"}, Change{"b", 2, Full}},
		"new identity after disk loss":        {Situation{Want: []string{"a", "b", "c"}, Have: abc, Known: map[string]uint64{"a": 1, "b": 2, "c": 9}, Caught: all, Self: "a"}, Change{"c", 9, Learner}},
		"replaced identity is removed":        {Situation{Want: []string{"a", "b", "c"}, Have: map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {9, true}}, Old: []uint64{3}, Known: map[string]uint64{"a": 1, "b": 2, "c": 9}, Caught: all, Self: "a"}, Change{"", 3, Removed}},
		"new identity becomes a voter":        {Situation{Want: []string{"a", "b", "c"}, Have: map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {9, true}}, Known: map[string]uint64{"a": 1, "b": 2, "c": 9}, Caught: all, Self: "a"}, Change{"c", 9, Full}},
		"unwanted voter is removed":           {Situation{Want: []string{"a", "b"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{"c", 3, Removed}},
		"leader does not remove itself":       {Situation{Want: []string{"b", "c"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{}},
		"former leader is removed":            {Situation{Want: []string{"b", "c"}, Have: abc, Known: known, Caught: all, Self: "b"}, Change{"a", 1, Removed}},
		"only voter is not removed":           {Situation{Want: []string{"b"}, Have: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Known: known, Caught: none, Self: "b"}, Change{}},
		"replacement is added before removal": {Situation{Want: []string{"b", "c", "d"}, Have: abc, Known: map[string]uint64{"d": 4}, Caught: all, Self: "b"}, Change{"d", 4, Learner}},
	} {
		if got, _ := c.s.Next(); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
