// Package straggler handles boxes whose configuration version is below the lowest one that the fleet allows. It has two
// parts: the Detector, which runs on the leader and proposes to shut such boxes out, and StateOf, by which each box determines
// its own state.
//
// A box is behind if the version it last reported in its session is too low, or if it has reported none in its session; the
// order of the ledger decides which report is the latest. The grace period is measured by the detector's clock from when it first
// saw the box behind. A new detector starts the period again, so a change of leaders can only extend it. The command that shuts a
// box out names the box's session: a box that has rejoined meanwhile is another incarnation, and the command has no effect. A
// disconnected box stops acting by its own clock after lease.Terms.HolderDuration, which is shorter than the minimum grace period
// (MinGrace), so it has stopped before it is shut out.
package straggler

import (
	"maps"
	"slices"
	"time"

	"cairnlane/internal/decide/rollout"
)

// MinGrace returns the minimum grace period for a lease term. It ensures that a disconnected box has stopped acting before
// it is shut out.
func MinGrace(term time.Duration) time.Duration { return term * 2 }

// defaultGrace is the grace period if the configuration does not set one.
const defaultGrace = 30 * time.Second

// Detector proposes boxes to shut out. It is not safe for concurrent use.
type Detector struct {
	behindSince  map[string]observation   // when each box was first seen behind
	lastProposed map[string]time.Duration // time of the last proposal for each box
}

// observation records when a box was first seen behind in a session.
type observation struct {
	session, lowest uint64
	firstSeen       time.Duration
}

// proposalInterval is the interval at which a proposal is repeated while the box has not been shut out.
const proposalInterval = time.Second

// Reset discards all observations. It is called when the box stops leading or its ledger was reopened.
func (j *Detector) Reset() { j.behindSince, j.lastProposed = nil, nil }

// Due returns the commands that shut out boxes now, and the latest time of the next call. known is the number of all boxes
// of the fleet, including dead ones.
func (j *Detector) Due(now time.Duration, t *rollout.Table, living map[string]uint64, known int, term time.Duration) (commands []rollout.Command, next time.Duration) {
	next = now + time.Minute
	if j.behindSince == nil {
		j.behindSince, j.lastProposed = map[string]observation{}, map[string]time.Duration{}
	}
	grace := defaultGrace
	if v := t.Version(t.Target); v != nil && v.Rules.Grace > 0 {
		grace = v.Rules.Grace
	}
	grace = max(grace, MinGrace(term))
	spare := t.MayShutOutOne(living, known)
	for _, box := range slices.Sorted(maps.Keys(living)) {
		session := living[box]
		_, out := t.ShutOutBoxes[box]
		if out || !t.Behind(box, session) {
			delete(j.behindSince, box)
			continue
		}
		observed, ok := j.behindSince[box]
		if !ok || observed.session != session {
			observed = observation{session, t.Lowest, now}
			j.behindSince[box] = observed
		}
		if due := observed.firstSeen + grace; now < due {
			next = min(next, due)
			continue
		}
		if repeatAt := j.lastProposed[box] + proposalInterval; j.lastProposed[box] != 0 && now < repeatAt {
			next = min(next, repeatAt)
			continue
		}
		next = min(next, now+proposalInterval)
		if spare {
			j.lastProposed[box] = max(now, 1)
			commands = append(commands, rollout.Command{Kind: rollout.ShutOut, Box: box, Session: session})
			spare = false // one at a time: the next proposal depends on the result of this one
		}
	}
	for box := range j.behindSince {
		if _, lives := living[box]; !lives {
			delete(j.behindSince, box)
			delete(j.lastProposed, box)
		}
	}
	return commands, next
}

// State is the state of a box relative to the lowest allowed version, as known to the box itself.
type State uint8

// States of a box.
const (
	UpToDate    State = iota + 1 // up to date: the box may act
	Behind                       // below the lowest allowed version: the box is being updated and starts no fleet task until then
	BuildTooOld                  // the build of the box does not support the wanted version: a later build must be installed
	ShutOut                      // the box is shut out
)

var stateNames = [...]string{"", "level", "behind", "too old", "shut out"}

func (s State) String() string { return stateNames[s] }

// MarshalText implements encoding.TextMarshaler. The text is the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name gives the zero State.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// StateOf returns the state of a box, given its copy of the table, its version in force and its build number.
func StateOf(t *rollout.Table, box string, inForce, build uint64) State {
	if _, out := t.ShutOutBoxes[box]; out {
		return ShutOut
	}
	if t.Lowest == 0 || inForce >= t.Lowest {
		return UpToDate
	}
	if v := t.Version(t.WantedVersion(box)); v != nil && v.Needs > build {
		return BuildTooOld
	}
	return Behind
}

// MayAct reports whether a box may start an action for the fleet.
func (s State) MayAct() bool { return s == UpToDate }
