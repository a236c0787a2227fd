package rollout

import "time"

// State is how a box stands to the number that is asked of it.
type State uint8

// The states of a box.
const (
	Settled  State = iota + 1 // it has in force what it is to have, or nothing is asked of it
	Fetching                  // it does not have the body
	Checking                  // it has the body and checks it against its own build
	Waiting                   // it was found right; a slot to change in is waited for
	Changing                  // it is stored; then it is in force
	Refusing                  // it was turned down
)

var states = [...]string{"", "settled", "fetching", "checking", "waiting", "changing", "refusing"}

func (s State) String() string { return states[s] }

// Action is what a box is to do next.
type Action uint8

// The actions.
const (
	Nothing Action = iota
	Fetch          // the body of Number, from any peer that has it
	Verify         // the body against this build: Verified says what came of it
	GetSlot        // ask for a slot to change in, and say Slotted when it is there
	Store          // put it on the disk as what is in force: Stored
	Say            // tell the fleet how the box stands: Told
)

// Box is one box's side of a change. A version is in force from when it was Stored, at one point in time: before, the old one is.
type Box struct {
	state   State
	number  uint64 // that is dealt with
	inForce uint64
	turned  uint64
	why     string
	build   uint64 // of the build
	said    Standing
	sayAt   time.Duration // again, so that what it serves is known
	tryAt   time.Duration // Fetch again
}

const (
	sayEach   = 2 * time.Second // while a roll-out runs
	idleEach  = time.Minute
	fetchEach = time.Second
)

// NewBox begins with what the disk holds as in force, 0 for nothing, and the number of the build.
func NewBox(inForce, build uint64) *Box {
	return &Box{state: Settled, inForce: inForce, build: build}
}

// State and InForce tell how the box stands. Number is what it deals with.
func (b *Box) State() State    { return b.state }
func (b *Box) InForce() uint64 { return b.inForce }
func (b *Box) Number() uint64  { return b.number }

// Saw takes the fleet's table as the box has it now. It is not to be older than the one that the number in force came from: a box
// that goes through the ledger anew would go back otherwise.
func (b *Box) Saw(t *Table, self string, has func(digest string) bool) {
	want := t.Wants(self)
	v := t.Version(want)
	switch {
	case want == b.inForce:
		b.state, b.number = Settled, 0
	case want == 0: // the first roll-out of the fleet goes back: to nothing
		b.state, b.number = Changing, 0
	case v == nil:
		b.state, b.number = Settled, 0
	case want == b.turned:
		b.state = Refusing
	case want != b.number: // also when the one before was under way: what was stored of it is no harm
		b.number, b.state, b.tryAt = want, Fetching, 0
		if has(v.Digest) {
			b.state = Checking
		}
	case b.state == Fetching && has(v.Digest):
		b.state = Checking
	}
}

// Due says what is to be done now, and when to ask again at the latest. running tells whether a roll-out runs, session is the
// box's in the fleet, 0 for none; good and bad are what it has served.
func (b *Box) Due(now time.Duration, session uint64, running bool, good, bad uint64) (Action, time.Duration) {
	next := now + idleEach
	if running {
		next = now + sayEach
	}
	s := b.Standing(session, good, bad)
	if session != 0 {
		changed := s.Session != b.said.Session || s.InForce != b.said.InForce || s.Turned != b.said.Turned
		if changed || now >= b.sayAt {
			return Say, now
		}
		next = min(next, b.sayAt)
	}
	switch b.state {
	case Fetching:
		if now >= b.tryAt {
			b.tryAt = now + fetchEach
			return Fetch, b.tryAt
		}
		return Nothing, min(next, b.tryAt)
	case Checking:
		return Verify, now
	case Waiting:
		return GetSlot, next
	case Changing:
		return Store, now
	}
	return Nothing, next
}

// Standing is what the box says of itself.
func (b *Box) Standing(session, good, bad uint64) Standing {
	return Standing{Session: session, InForce: b.inForce, Turned: b.turned, Why: b.why, Number: b.build, Good: good, Bad: bad}
}

// Verified says what came of the check of the number that is dealt with; why is empty when it was found right.
func (b *Box) Verified(n uint64, why string) {
	if n != b.number || b.state != Checking {
		return
	}
	if why != "" {
		b.state, b.turned, b.why = Refusing, n, why[:min(len(why), textMost)]
		return
	}
	b.state = Waiting
}

// Slotted says that the box may change now.
func (b *Box) Slotted(n uint64) {
	if n == b.number && b.state == Waiting {
		b.state = Changing
	}
}

// Stored says that the number is on the disk as what is in force. From here on the box acts as it, and not before.
func (b *Box) Stored(n uint64) {
	if n == b.number && b.state == Changing {
		b.inForce, b.state, b.number = n, Settled, 0
	}
}

// Told says that the fleet was told a standing.
func (b *Box) Told(now time.Duration, s Standing, running bool) {
	b.said, b.sayAt = s, now+idleEach
	if running {
		b.sayAt = now + sayEach
	}
}
