// Package straggler decides what becomes of boxes that are below the fleet's lowest allowed version. Two halves: the Judge, which
// the box that leads has, and the Box, which each box has for itself.
//
// What it rests on. A box is behind by what it said last in its session, or because it has said nothing in it; the ledger's order
// says which of the two came later. The grace is measured by the judge's own clock from when it first saw the box behind; another
// judge begins anew, so a change of judges only makes it longer. Shutting out names the box's session: one that came back
// meanwhile is another incarnation, and the command does nothing. A box that hears nothing acts no more by its own clock after
// lease.Terms.Acting, which is shorter than the least grace (LeastGrace), so it has stopped before others may count on it.
package straggler

import (
	"maps"
	"slices"
	"time"

	"cairnlane/internal/decide/rollout"
)

// LeastGrace is the shortest grace for a lease's term: a box that cannot hear has then stopped acting before it is shut out.
func LeastGrace(term time.Duration) time.Duration { return term * 2 }

// defaultGrace is for a fleet whose configuration says none.
const defaultGrace = 30 * time.Second

// Judge proposes who is shut out. It is not safe for use by several goroutines.
type Judge struct {
	since map[string]seen
	asked map[string]time.Duration
}

type seen struct {
	session, lowest uint64
	at              time.Duration
}

// askEach is how often a proposal is made anew while nothing comes of it.
const askEach = time.Second

// Forget has the judge begin anew, when the box leads no more or its ledger was taken up anew.
func (j *Judge) Forget() { j.since, j.asked = nil, nil }

// Due returns the boxes that are to be shut out now, and when to ask again at the latest. known counts all boxes, the dead
// included.
func (j *Judge) Due(now time.Duration, t *rollout.Table, living map[string]uint64, known int, term time.Duration) (list []rollout.Command, next time.Duration) {
	next = now + time.Minute
	if j.since == nil {
		j.since, j.asked = map[string]seen{}, map[string]time.Duration{}
	}
	grace := defaultGrace
	if v := t.Version(t.Target); v != nil && v.Rules.Grace > 0 {
		grace = v.Rules.Grace
	}
	grace = max(grace, LeastGrace(term))
	spare := t.Spare(living, known)
	for _, box := range slices.Sorted(maps.Keys(living)) {
		session := living[box]
		_, out := t.Out[box]
		if out || !t.Behind(box, session) {
			delete(j.since, box)
			continue
		}
		s, ok := j.since[box]
		if !ok || s.session != session {
			s = seen{session, t.Lowest, now}
			j.since[box] = s
		}
		if due := s.at + grace; now < due {
			next = min(next, due)
			continue
		}
		if again := j.asked[box] + askEach; j.asked[box] != 0 && now < again {
			next = min(next, again)
			continue
		}
		next = min(next, now+askEach)
		if spare {
			j.asked[box] = max(now, 1)
			list = append(list, rollout.Command{Kind: rollout.ShutOut, Box: box, Session: session})
			spare = false // one at a time: the next one is judged by what came of it
		}
	}
	for box := range j.since {
		if _, lives := living[box]; !lives {
			delete(j.since, box)
			delete(j.asked, box)
		}
	}
	return list, next
}

// State is how a box stands to the fleet's lowest allowed version, by what it knows itself.
type State uint8

// The states of a box.
const (
	Level  State = iota + 1 // it may act
	Behind                  // it is told so, and is brought up; until then it begins nothing for the fleet
	TooOld                  // its build does not understand what it is to take: install a later one
	Out                     // it is shut out
)

var states = [...]string{"", "level", "behind", "too old", "shut out"}

func (s State) String() string { return states[s] }

// MarshalText has states written by name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(states[:], string(text))))
	return nil
}

// Stands tells how a box stands, from the table as it has it, its version in force and the number of its build.
func Stands(t *rollout.Table, box string, inForce, build uint64) State {
	if _, out := t.Out[box]; out {
		return Out
	}
	if t.Lowest == 0 || inForce >= t.Lowest {
		return Level
	}
	if v := t.Version(t.Wants(box)); v != nil && v.Needs > build {
		return TooOld
	}
	return Behind
}

// MayBegin tells whether a box may begin an effect for the fleet.
func (s State) MayBegin() bool { return s == Level }
