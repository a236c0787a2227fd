// Package handover decides which of the two processes of a replacement may start the run of a keyed request. It does
// no I/O: the replica asks, internal/handover carries the messages.
//
// One process owns the claims at any time: the older one until it has ended, and its guest from then on. The owner
// tells its guest how each key stands, before it writes RUN for it. So a guest whose owner has ended knows all that
// has run, and a key that it has never heard of did not run. The guest asks the owner for each key that it does not
// know, before it lets the module see the try.
package handover

import "time"

// Role is what a process may do about keys.
type Role uint8

// The roles.
const (
	Owner Role = iota // grants claims; also where there is no other process
	Guest             // asks for them
	Cut               // was or will be a guest, and has no link to an owner that may be alive; claims wait for one
)

// Verdict is what becomes of a keyed try whose key is not known here.
type Verdict uint8

// The verdicts.
const (
	Take  Verdict = iota // nobody has it: the module may have it run here
	Ask                  // claim it under the number given; the try waits
	Wait                 // it is claimed already and not granted yet; the try waits as well
	Doubt                // it may have run in the other process: it must neither run nor be refused here
)

// Book is one process's share of the decision. The zero value owns all claims. Not safe for concurrent use.
type Book struct {
	role  Role
	doubt time.Duration     // Owner: keys that are not known may have run elsewhere until then
	last  uint64            // number of the last claim made
	asked map[string]uint64 // Guest: claims that have no answer
	lent  map[string]uint64 // Owner: keys that the guest may run, by the claim that was granted
}

// Role tells what this process may do.
func (b *Book) Role() Role { return b.role }

// Try decides on a keyed try whose key is not known here.
func (b *Book) Try(now time.Duration, key string) (Verdict, uint64) {
	switch {
	case b.role == Owner && now < b.doubt:
		return Doubt, 0
	case b.role == Owner:
		return Take, 0
	case b.asked[key] != 0:
		return Wait, 0
	}
	b.last++
	b.asked[key] = b.last
	return Ask, b.last
}

// Granted takes the owner's leave. False means that the claim is not waited for any more and the key is given back.
func (b *Book) Granted(key string, seq uint64) bool {
	if b.asked[key] != seq || seq == 0 {
		return false
	}
	delete(b.asked, key)
	return true
}

// GaveUp says that no try waits for a claim on the key any more.
func (b *Book) GaveUp(key string) { delete(b.asked, key) }

// Told says that the owner has told how a key stands; a claim on it needs no other answer.
func (b *Book) Told(key string) { delete(b.asked, key) }

// Claimed takes the guest's claim and tells whether it is granted; free says that the key is not known here. A guest
// that claims what it was lent has not used the earlier grant, or it would know the key.
func (b *Book) Claimed(key string, seq uint64, free bool) bool {
	if b.role != Owner || !free && b.lent[key] == 0 {
		return false
	}
	b.lent[key] = seq
	return true
}

// Returned takes a key that the guest gives back unrun. False means that the claim was granted anew since.
func (b *Book) Returned(key string, seq uint64) bool {
	if b.lent[key] != seq || seq == 0 {
		return false
	}
	delete(b.lent, key)
	return true
}

// Ended says that the guest's run of a key has ended.
func (b *Book) Ended(key string) { delete(b.lent, key) }

// Joined says that there is a link: to a guest for an owner, to an owner for any other.
func (b *Book) Joined() {
	b.lent, b.asked = map[string]uint64{}, map[string]uint64{}
	if b.role == Cut {
		b.role = Guest
	}
}

// Lost says that the link has ended, and TookOver that the owner has: all is false if this process was not told of all
// that ran there. Keys that are not known are in doubt then, until repeats of them can no longer come.
func (b *Book) Lost() {
	b.lent, b.asked = nil, map[string]uint64{}
	if b.role == Guest {
		b.role = Cut
	}
}

// Follow says that there is a process before this one.
func (b *Book) Follow() { b.role, b.asked = Cut, map[string]uint64{} }

// TookOver is described at Lost.
func (b *Book) TookOver(all bool, doubt time.Duration) {
	b.lent, b.asked, b.role = nil, nil, Owner
	if !all {
		b.doubt = doubt
	}
}
