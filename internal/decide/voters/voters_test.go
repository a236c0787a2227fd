package voters

import "testing"

func TestNextStep(t *testing.T) {
	all := func(uint64) bool { return true }
	none := func(uint64) bool { return false }
	abc := map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {ID: 3}}
	known := map[string]uint64{"a": 1, "b": 2, "c": 3}
	for name, c := range map[string]struct {
		s    Situation
		want Change
	}{
		"all as wanted":                     {Situation{Want: []string{"a", "b", "c"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{}},
		"a box that was not heard of":       {Situation{Want: []string{"a", "b", "c", "d"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{}},
		"a new one learns first":            {Situation{Want: []string{"a", "b"}, Have: map[string]Voter{"a": {ID: 1}}, Known: known, Caught: all, Self: "a"}, Change{"b", 2, Learner}},
		"and does not vote before it can":   {Situation{Want: []string{"a", "b"}, Have: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Known: known, Caught: none, Self: "a"}, Change{}},
		"then votes":                        {Situation{Want: []string{"a", "b"}, Have: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Known: known, Caught: all, Self: "a"}, Change{"b", 2, Full}},
		"a lost disk is another identity":   {Situation{Want: []string{"a", "b", "c"}, Have: abc, Known: map[string]uint64{"a": 1, "b": 2, "c": 9}, Caught: all, Self: "a"}, Change{"c", 9, Learner}},
		"the old one goes":                  {Situation{Want: []string{"a", "b", "c"}, Have: map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {9, true}}, Old: []uint64{3}, Known: map[string]uint64{"a": 1, "b": 2, "c": 9}, Caught: all, Self: "a"}, Change{"", 3, Removed}},
		"before the new one votes":          {Situation{Want: []string{"a", "b", "c"}, Have: map[string]Voter{"a": {ID: 1}, "b": {ID: 2}, "c": {9, true}}, Known: map[string]uint64{"a": 1, "b": 2, "c": 9}, Caught: all, Self: "a"}, Change{"c", 9, Full}},
		"who is not wanted goes":            {Situation{Want: []string{"a", "b"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{"c", 3, Removed}},
		"the leader stays until it is none": {Situation{Want: []string{"b", "c"}, Have: abc, Known: known, Caught: all, Self: "a"}, Change{}},
		"and goes by another one":           {Situation{Want: []string{"b", "c"}, Have: abc, Known: known, Caught: all, Self: "b"}, Change{"a", 1, Removed}},
		"the last voter stays":              {Situation{Want: []string{"b"}, Have: map[string]Voter{"a": {ID: 1}, "b": {2, true}}, Known: known, Caught: none, Self: "b"}, Change{}},
		"a replacement comes before it":     {Situation{Want: []string{"b", "c", "d"}, Have: abc, Known: map[string]uint64{"d": 4}, Caught: all, Self: "b"}, Change{"d", 4, Learner}},
	} {
		if got, _ := c.s.Next(); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
