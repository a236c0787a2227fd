// Package handover decides which of the two processes of a replacement may start the run of a keyed request. It
// does no I/O: the replica calls it, and internal/handover transports the messages.
//
// Exactly one process owns the claims on keys at any time: the older one until it has ended, and its guest (the
// newer process) from then on. The owner sends its guest the state of each key before it writes RUN for it. So a
// guest whose owner has ended knows all requests that have run, and a key whose state it has not received did not run.
// The guest asks the owner about each key that it does not know before it passes the attempt to the module.
package handover

import "time"

// Role is what a process may do with keys.
type Role uint8

// The roles.
const (
	Owner        Role = iota // grants claims; also the role of a process without a peer
	Guest                    // asks the owner for claims
	Disconnected             // follows another process and has no link to it, although it may be alive; attempts wait for a link
)

// Verdict is the decision on a keyed attempt whose key is not known in this process.
type Verdict uint8

// The verdicts.
const (
	RunHere   Verdict = iota // nobody else has the key: the module may start the run here
	SendClaim                // send a claim with the returned number; the attempt waits
	Wait                     // a claim is already sent and not granted yet; the attempt waits too
	InDoubt                  // the key may have run in another process: the attempt must neither run nor be rejected here
)

// Attempt is what a decision needs to know of a keyed attempt.
type Attempt struct {
	Key       string
	ArrivedAt time.Duration // at the machine, in Unix time
	First     bool          // it is known to be the first attempt of its request
}

// Doubt says which attempts may repeat a run of a process that has ended, and that this process has not heard of. The zero value says
// none.
type Doubt struct {
	Until time.Duration // when further attempts of such runs no longer arrive, in Unix time
	// FirstFrom is the time from which a first attempt that arrives cannot have been in the process that has ended, in Unix time.
	FirstFrom time.Duration
}

// covers reports whether an attempt whose key is unknown may repeat such a run.
func (d Doubt) covers(now time.Duration, a Attempt) bool {
	return now < d.Until && !(a.First && a.ArrivedAt >= d.FirstFrom)
}

// join returns a doubt that covers what either of two covers.
func (d Doubt) join(other Doubt) Doubt {
	return Doubt{Until: max(d.Until, other.Until), FirstFrom: max(d.FirstFrom, other.FirstFrom)}
}

// Claims is one process's state of the claims on keys. The zero value owns all claims. It is not safe for concurrent
// use.
type Claims struct {
	role      Role
	doubt     Doubt             // of the replica: it is handed on from owner to guest
	lastClaim uint64            // number of the last claim
	pending   map[string]uint64 // Guest: claims without an answer
	granted   map[string]uint64 // Owner: keys that the guest may run, with the number of the granted claim
}

// Role returns the current role.
func (b *Claims) Role() Role { return b.role }

// Attempt decides on a keyed attempt whose key is not known in this process. The number is that of the claim to send,
// for SendClaim. The owner need not be asked about an attempt in doubt, because no process of the replica runs it.
func (b *Claims) Attempt(now time.Duration, a Attempt) (Verdict, uint64) {
	switch {
	case b.doubt.covers(now, a):
		return InDoubt, 0
	case b.role == Owner:
		return RunHere, 0
	case b.pending[a.Key] != 0:
		return Wait, 0
	}
	b.lastClaim++
	b.pending[a.Key] = b.lastClaim
	return SendClaim, b.lastClaim
}

// Doubt returns what may have run in a process that has ended. The owner sends it to its guest.
func (b *Claims) Doubt() Doubt { return b.doubt }

// ReceiveDoubt records the doubt that the owner has sent.
func (b *Claims) ReceiveDoubt(d Doubt) { b.doubt = b.doubt.join(d) }

// Granted handles the owner's grant. It returns false if the claim is no longer pending; the caller must then
// return the key.
func (b *Claims) Granted(key string, seq uint64) bool {
	if b.pending[key] != seq || seq == 0 {
		return false
	}
	delete(b.pending, key)
	return true
}

// CancelClaim records that no attempt waits for a claim on the key any more.
func (b *Claims) CancelClaim(key string) { delete(b.pending, key) }

// KeyReceived records that the owner has sent the state of a key; a claim on it needs no other answer.
func (b *Claims) KeyReceived(key string) { delete(b.pending, key) }

// Claimed handles the guest's claim for an attempt and reports whether it is granted; free means that the key is not known here. A
// guest that claims a key again has not used the earlier grant, or it would know the key. A free key is not granted to an attempt in
// doubt; the guest's attempts fail when they have waited for the grant.
func (b *Claims) Claimed(now time.Duration, a Attempt, seq uint64, free bool) bool {
	if b.role != Owner || !free && b.granted[a.Key] == 0 || free && b.doubt.covers(now, a) {
		return false
	}
	b.granted[a.Key] = seq
	return true
}

// Returned handles a key that the guest returns without a run. It returns false if the key was granted again
// under another claim since.
func (b *Claims) Returned(key string, seq uint64) bool {
	if b.granted[key] != seq || seq == 0 {
		return false
	}
	delete(b.granted, key)
	return true
}

// Ended records that the guest's run of a key has ended.
func (b *Claims) Ended(key string) { delete(b.granted, key) }

// LinkUp records that a link is up: to a guest if this process is the owner, otherwise to an owner.
func (b *Claims) LinkUp() {
	b.granted, b.pending = map[string]uint64{}, map[string]uint64{}
	if b.role == Disconnected {
		b.role = Guest
	}
}

// LinkDown records that the link is down.
func (b *Claims) LinkDown() {
	b.granted, b.pending = nil, map[string]uint64{}
	if b.role == Guest {
		b.role = Disconnected
	}
}

// FollowOwner records that another process owns the claims when this one starts.
func (b *Claims) FollowOwner() { b.role, b.pending = Disconnected, map[string]uint64{} }

// TookOver records that the owner has ended and makes this process the owner. all is false if this process has
// not received all runs of the old owner; doubt then says which attempts may repeat them. A doubt that the old owner has sent
// remains.
func (b *Claims) TookOver(all bool, doubt Doubt) {
	b.granted, b.pending, b.role = nil, nil, Owner
	if !all {
		b.ReceiveDoubt(doubt)
	}
}
