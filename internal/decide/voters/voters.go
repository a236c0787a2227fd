// Package voters decides how the voters of a ledger are changed: one box at a time, each caught up before it votes. A box
// that has lost its disk comes with another identity and is treated as another box, so that it never votes as what it was.
package voters

import "slices"

// Voter is a box that has a part in the ledger's votes, under the identity that its disk holds.
type Voter struct {
	ID      uint64 `cbor:"1,keyasint"`
	Learner bool   `cbor:"2,keyasint"` // it gets all entries and does not vote yet
}

// Role is what a change makes of a box.
type Role uint8

// The roles.
const (
	Learner Role = iota + 1
	Full
	Removed
)

func (r Role) String() string { return [...]string{"", "learner", "voter", "removed"}[r] }

// Change is one step.
type Change struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
	Role Role   `cbor:"3,keyasint"`
}

// Situation is what the leader knows.
type Situation struct {
	Want   []string         // the boxes that are to vote, as the ledger has it
	Have   map[string]Voter // as the ledger has it, by "name" for the present identity of a name
	Old    []uint64         // identities that are still in the votes though their box has another one now
	Known  map[string]uint64
	Caught func(id uint64) bool // the box has nearly all entries
	Self   string
}

// Next returns the next step, if there is one. The order of steps: a box that is wanted learns; then whatever stands in its
// place no more goes; then it votes; the last to go are those that are not wanted, and the leader itself only when
// another one votes.
func (s Situation) Next() (Change, bool) {
	want := slices.Clone(s.Want)
	slices.Sort(want)
	for _, name := range want {
		id, have := s.Known[name], s.Have[name]
		if id != 0 && have.ID != id {
			return Change{name, id, Learner}, true
		}
	}
	for _, id := range s.Old {
		return Change{"", id, Removed}, true
	}
	for _, name := range want {
		if v, ok := s.Have[name]; ok && v.Learner && s.Caught(v.ID) {
			return Change{name, v.ID, Full}, true
		}
	}
	full := 0
	names := make([]string, 0, len(s.Have))
	for name, v := range s.Have {
		names = append(names, name)
		if !v.Learner {
			full++
		}
	}
	slices.Sort(names)
	for _, name := range names {
		v := s.Have[name]
		if slices.Contains(want, name) || name == s.Self || !v.Learner && full == 1 {
			continue
		}
		return Change{name, v.ID, Removed}, true
	}
	return Change{}, false
}
