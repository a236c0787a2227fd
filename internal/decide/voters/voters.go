// Package voters plans changes to the set of voters of a ledger: one box at a time, and only boxes that have caught up
// become voters. A box that has lost its disk has a new identity and is treated as a different box, so that it never votes
// under its previous identity.
package voters

import "slices"

// Voter is a voter or learner of the ledger, under the identity stored on its disk.
type Voter struct {
	ID      uint64 `cbor:"1,keyasint"`
	Learner bool   `cbor:"2,keyasint"` // receives all entries but does not vote yet
}

// Role is the role that a change assigns to a box.
type Role uint8

// Roles.
const (
	Learner Role = iota + 1
	FullVoter
	Removed
)

func (r Role) String() string { return [...]string{"", "learner", "voter", "removed"}[r] }

// Change is one change to the set of voters.
type Change struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
	Role Role   `cbor:"3,keyasint"`
}

// Situation is the information from which the leader plans the next change.
type Situation struct {
	Wanted   []string             // boxes that are to vote, according to the ledger
	Members  map[string]Voter     // current voters and learners by box name, according to the ledger
	Replaced []uint64             // identities that are still members although their box has a new one
	Reported map[string]uint64    // identities that the boxes have reported
	CaughtUp func(id uint64) bool // whether the box has nearly all entries
	Self     string               // name of the leader
}

// Next returns the next change, if there is one. The order of changes is: wanted boxes become learners; replaced identities
// are removed; learners that have caught up become voters; boxes that are not wanted are removed last. The only voter and
// the leader itself are never removed; the leader is removed once another box leads.
func (s Situation) Next() (Change, bool) {
	want := slices.Clone(s.Wanted)
	slices.Sort(want)
	for _, name := range want {
		id, have := s.Reported[name], s.Members[name]
		if id != 0 && have.ID != id {
			return Change{name, id, Learner}, true
		}
	}
	for _, id := range s.Replaced {
		return Change{"", id, Removed}, true
	}
	for _, name := range want {
		if v, ok := s.Members[name]; ok && v.Learner && s.CaughtUp(v.ID) {
			return Change{name, v.ID, FullVoter}, true
		}
	}
	full := 0
	names := make([]string, 0, len(s.Members))
	for name, v := range s.Members {
		names = append(names, name)
		if !v.Learner {
			full++
		}
	}
	slices.Sort(names)
	for _, name := range names {
		v := s.Members[name]
		if slices.Contains(want, name) || name == s.Self || !v.Learner && full == 1 {
			continue
		}
		return Change{name, v.ID, Removed}, true
	}
	return Change{}, false
}
