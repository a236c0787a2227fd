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

// site is three boxes, one of which is behind, with two judges in turn and commands that come late, twice or never.
type site struct {
	t      *rollout.Table
	now    time.Duration
	living map[string]uint64
	disk   map[string]uint64
	judges [2]Judge
	wire   []rollout.Command
	index  uint64
	since  map[string]time.Duration // when a box was first behind in its session, as nobody but the test knows
	broken error
}

const known = 3

func (s *site) clone() *site {
	c := *s
	c.t, c.living, c.disk, c.wire, c.since = s.t.Clone(), maps.Clone(s.living), maps.Clone(s.disk), slices.Clone(s.wire), maps.Clone(s.since)
	for i := range c.judges {
		c.judges[i] = Judge{maps.Clone(s.judges[i].since), maps.Clone(s.judges[i].asked)}
	}
	return &c
}

// watch notes since when boxes are behind.
func (s *site) watch() {
	for box, session := range s.living {
		if !s.t.Behind(box, session) {
			delete(s.since, box)
		} else if _, ok := s.since[box]; !ok {
			s.since[box] = s.now
		}
	}
	for box := range s.since {
		if s.living[box] == 0 {
			delete(s.since, box)
		}
	}
}

func (s *site) apply(c rollout.Command, box string) {
	s.index++
	was := maps.Clone(s.t.Out)
	s.t.Apply(c, rollout.Of{Index: s.index, Box: box, Session: s.living[box], Living: s.living, Known: known})
	for b, o := range s.t.Out {
		if _, before := was[b]; before {
			continue
		}
		left := 0
		for l := range s.living {
			if _, out := s.t.Out[l]; !out {
				left++
			}
		}
		switch {
		case float64(left) < 0.5*known:
			s.broken = fmt.Errorf("%d of %d boxes are left", left, known)
		case !s.t.Behind(b, s.living[b]) || o.Session != s.living[b]:
			s.broken = fmt.Errorf("%s is shut out and is not behind: %+v", b, o)
		case s.now-s.since[b] < LeastGrace(term):
			s.broken = fmt.Errorf("%s is shut out %v after it fell behind", b, s.now-s.since[b])
		}
	}
	for b := range was {
		if _, out := s.t.Out[b]; !out && s.t.Boxes[b].InForce < s.t.Lowest {
			s.broken = fmt.Errorf("%s is back in with %d", b, s.t.Boxes[b].InForce)
		}
	}
}

func (s *site) move(m string) bool {
	what, b, _ := strings.Cut(m, " ")
	session := s.living[b]
	switch what {
	case "wait":
		s.now += LeastGrace(term) / 2
	case "judge":
		i, _ := strconv.Atoi(b)
		list, _ := s.judges[i].Due(s.now, s.t, s.living, known, term)
		s.wire = append(s.wire, list...)
		return len(list) > 0 || len(s.wire) == 0
	case "forget":
		s.judges[0].Forget()
	case "deliver": // and it may come again
		if len(s.wire) == 0 {
			return false
		}
		s.apply(s.wire[0], "c")
	case "lose":
		if len(s.wire) == 0 {
			return false
		}
		s.wire = s.wire[1:]
	case "take":
		if session == 0 || s.disk[b] == 2 {
			return false
		}
		s.disk[b] = 2
	case "tell":
		if told := s.t.Boxes[b]; session == 0 || told.Session == session && told.InForce == s.disk[b] {
			return false
		}
		s.apply(rollout.Command{Kind: rollout.Tell, Standing: &rollout.Standing{InForce: s.disk[b]}}, b)
	case "die":
		if delete(s.living, b); session == 0 {
			s.index++
			s.living[b] = s.index
			delete(s.since, b)
		}
	case "old": // a folder of last week, or an older build
		if session != 0 || s.disk[b] == 1 {
			return false
		}
		s.disk[b] = 1
	}
	return true
}

func (s *site) key() string {
	k := fmt.Sprint(s.t.Boxes, s.t.Out, s.living, s.disk, s.wire, s.since)
	for _, j := range s.judges {
		for _, b := range slices.Sorted(maps.Keys(j.since)) {
			k += fmt.Sprint(b, j.since[b].session, s.now-j.since[b].at, s.now-j.asked[b])
		}
	}
	return k
}

// TestEveryOrderOfAStraggler goes through all orders to the depth of STRAGGLER_DEPTH.
func TestEveryOrderOfAStraggler(t *testing.T) {
	depth := 9
	if d, err := strconv.Atoi(os.Getenv("STRAGGLER_DEPTH")); err == nil {
		depth = d
	}
	table, living := fleet(0.5, map[string]uint64{"a": 1, "b": 2, "c": 2})
	for i := range table.Versions {
		table.Versions[i].Rules.Grace = time.Millisecond // the least one counts
	}
	first := &site{t: table, living: living, disk: map[string]uint64{"a": 1, "b": 2, "c": 2}, since: map[string]time.Duration{}, index: 10}
	first.watch()
	moves := []string{"wait", "judge 0", "judge 1", "forget", "deliver", "lose"}
	for _, b := range []string{"a", "b"} {
		for _, m := range []string{"take", "tell", "die", "old"} {
			moves = append(moves, m+" "+b)
		}
	}
	seen, out := map[string]bool{}, 0
	for level := []*site{first}; depth > 0; depth-- {
		var next []*site
		for _, s := range level {
			for _, m := range moves {
				n := s.clone()
				if !n.move(m) {
					continue
				}
				n.watch()
				if n.broken != nil {
					t.Fatalf("%v, by %s: %+v", n.broken, m, n.t)
				}
				if k := n.key(); !seen[k] {
					seen[k] = true
					next = append(next, n)
					if len(n.t.Out) > 0 {
						out++
					}
				}
			}
		}
		level = next
	}
	t.Logf("%d states, %d with a box that is shut out", len(seen), out)
	if out == 0 {
		t.Error("nobody is shut out: nothing is shown")
	}
}
