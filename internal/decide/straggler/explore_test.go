package straggler

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/decide/rollout"
)

// simFleet is a fleet of three boxes, one of which is behind, with two detectors that run alternately and commands that arrive late,
// twice or never.
type simFleet struct {
	table       *rollout.Table
	now         time.Duration
	living      map[string]uint64
	disk        map[string]uint64
	detectors   [2]Detector
	inFlight    []rollout.Command
	index       uint64
	behindSince map[string]time.Duration // when a box was first behind in its session; known only to the test
	violation   error
}

const knownBoxes = 3

func (s *simFleet) clone() *simFleet {
	c := *s
	c.table, c.living, c.disk, c.inFlight, c.behindSince = s.table.Clone(), maps.Clone(s.living), maps.Clone(s.disk), slices.Clone(s.inFlight), maps.Clone(s.behindSince)
	for i := range c.detectors {
		c.detectors[i] = Detector{maps.Clone(s.detectors[i].behindSince), maps.Clone(s.detectors[i].lastProposed)}
	}
	return &c
}

// recordBehind records since when boxes are behind.
func (s *simFleet) recordBehind() {
	for box, session := range s.living {
		if !s.table.Behind(box, session) {
			delete(s.behindSince, box)
		} else if _, ok := s.behindSince[box]; !ok {
			s.behindSince[box] = s.now
		}
	}
	for box := range s.behindSince {
		if s.living[box] == 0 {
			delete(s.behindSince, box)
		}
	}
}

// apply executes a command and checks that no box is shut out, or let in again, wrongly.
func (s *simFleet) apply(c rollout.Command, box string) {
	s.index++
	before := maps.Clone(s.table.ShutOutBoxes)
	s.table.Apply(c, rollout.CommandContext{Index: s.index, Box: box, Session: s.living[box], Living: s.living, KnownBoxes: knownBoxes})
	for b, o := range s.table.ShutOutBoxes {
		if _, wasOut := before[b]; wasOut {
			continue
		}
		left := 0
		for l := range s.living {
			if _, out := s.table.ShutOutBoxes[l]; !out {
				left++
			}
		}
		switch {
		case float64(left) < 0.5*knownBoxes:
			s.violation = fmt.Errorf("%d of %d boxes left", left, knownBoxes)
		case !s.table.Behind(b, s.living[b]) || o.Session != s.living[b]:
			s.violation = fmt.Errorf("%s is shut out but not behind: %+v", b, o)
		case s.now-s.behindSince[b] < MinGrace(term):
			s.violation = fmt.Errorf("%s was shut out %v after it fell behind", b, s.now-s.behindSince[b])
		}
	}
	for b := range before {
		if _, out := s.table.ShutOutBoxes[b]; !out && s.table.Boxes[b].InForce < s.table.Lowest {
			s.violation = fmt.Errorf("%s was let in again with version %d", b, s.table.Boxes[b].InForce)
		}
	}
}

// step makes one step and returns false if the step is not possible or changes nothing.
func (s *simFleet) step(name string) bool {
	action, box, _ := strings.Cut(name, " ")
	session := s.living[box]
	switch action {
	case "wait":
		s.now += MinGrace(term) / 2
	case "propose":
		i, _ := strconv.Atoi(box)
		list, _ := s.detectors[i].Due(s.now, s.table, s.living, knownBoxes, term)
		s.inFlight = append(s.inFlight, list...)
		return len(list) > 0 || len(s.inFlight) == 0
	case "reset":
		s.detectors[0].Reset()
	case "deliver": // the command stays in flight, so it may arrive again
		if len(s.inFlight) == 0 {
			return false
		}
		s.apply(s.inFlight[0], "c")
	case "lose":
		if len(s.inFlight) == 0 {
			return false
		}
		s.inFlight = s.inFlight[1:]
	case "update":
		if session == 0 || s.disk[box] == 2 {
			return false
		}
		s.disk[box] = 2
	case "report":
		if last := s.table.Boxes[box]; session == 0 || last.Session == session && last.InForce == s.disk[box] {
			return false
		}
		s.apply(rollout.Command{Kind: rollout.ReportStatus, Status: &rollout.Status{InForce: s.disk[box]}}, box)
	case "toggle": // stops the box, or starts it as a new incarnation
		if delete(s.living, box); session == 0 {
			s.index++
			s.living[box] = s.index
			delete(s.behindSince, box)
		}
	case "revert": // the box comes back with an old data folder or an older build
		if session != 0 || s.disk[box] == 1 {
			return false
		}
		s.disk[box] = 1
	}
	return true
}

// fingerprint returns a string that identifies the state.
func (s *simFleet) fingerprint() string {
	k := fmt.Sprint(s.table.Boxes, s.table.ShutOutBoxes, s.living, s.disk, s.inFlight, s.behindSince)
	for _, j := range s.detectors {
		for _, b := range slices.Sorted(maps.Keys(j.behindSince)) {
			k += fmt.Sprint(b, j.behindSince[b].session, s.now-j.behindSince[b].firstSeen, s.now-j.lastProposed[b])
		}
	}
	return k
}

// TestEveryOrderOfAStraggler runs all orders of steps up to the depth in STRAGGLER_DEPTH.
func TestEveryOrderOfAStraggler(t *testing.T) {
	depth := 9
	if d, err := strconv.Atoi(os.Getenv("STRAGGLER_DEPTH")); err == nil {
		depth = d
	}
	table, living := newTable(0.5, map[string]uint64{"a": 1, "b": 2, "c": 2})
	for i := range table.Versions {
		table.Versions[i].Rules.Grace = time.Millisecond // MinGrace applies
	}
	first := &simFleet{table: table, living: living, disk: map[string]uint64{"a": 1, "b": 2, "c": 2}, behindSince: map[string]time.Duration{}, index: 10}
	first.recordBehind()
	steps := []string{"wait", "propose 0", "propose 1", "reset", "deliver", "lose"}
	for _, b := range []string{"a", "b"} {
		for _, m := range []string{"update", "report", "toggle", "revert"} {
			steps = append(steps, m+" "+b)
		}
	}
	seen, out := map[string]bool{}, 0
	for frontier := []*simFleet{first}; depth > 0; depth-- {
		var next []*simFleet
		for _, s := range frontier {
			for _, m := range steps {
				n := s.clone()
				if !n.step(m) {
					continue
				}
				n.recordBehind()
				if n.violation != nil {
					t.Fatalf("%v after %s: %+v", n.violation, m, n.table)
				}
				if k := n.fingerprint(); !seen[k] {
					seen[k] = true
					next = append(next, n)
					if len(n.table.ShutOutBoxes) > 0 {
						out++
					}
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states, %d with a box shut out", len(seen), out)
	if out == 0 {
		t.Error("no state with a box shut out: the test checks nothing")
	}
}
