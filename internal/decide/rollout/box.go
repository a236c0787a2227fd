package rollout

import "time"

// State is the state of a box relative to the version that it must have in force.
type State uint8

// States of a box.
const (
	Settled  State = iota + 1 // the wanted version is in force, or none is wanted
	Fetching                  // the body is not available locally
	Checking                  // the body is being checked against the box's build
	Waiting                   // the check has passed; the box waits for a slot to change
	Changing                  // the version is being stored, which puts it in force
	Rejected                  // the version was rejected
)

var stateNames = [...]string{"", "settled", "fetching", "checking", "waiting", "changing", "refusing"}

func (s State) String() string { return stateNames[s] }

// Action is the next action of a box.
type Action uint8

// Actions.
const (
	Nothing     Action = iota
	Fetch              // fetch the body of Number from any peer that has it
	Verify             // check the body against this build, then call Verified
	RequestSlot        // request a slot to change, and call SlotGranted when it is granted
	Store              // store the version on disk as the one in force, then call Stored
	SendStatus         // report the box's Status to the fleet, then call Reported
)

// Box is the local state machine by which a box changes its version. The new version is in force from the call of Stored on;
// until then the old one is.
type Box struct {
	state        State
	number       uint64 // version being changed to
	inForce      uint64
	rejected     uint64 // last rejected version
	rejectReason string // reason of the rejection
	buildNumber  uint64
	lastReported Status
	reportAt     time.Duration // time of the next report, which is repeated so that the request counts are current
	fetchAt      time.Duration // time of the next Fetch
}

const (
	reportInterval     = 2 * time.Second // interval of reports during a roll-out
	idleReportInterval = time.Minute     // interval of reports otherwise
	fetchInterval      = time.Second     // interval of attempts to fetch a body
)

// NewBox returns the state of a box with the version that its disk holds as in force, 0 for none, and its build number.
func NewBox(inForce, buildNumber uint64) *Box {
	return &Box{state: Settled, inForce: inForce, buildNumber: buildNumber}
}

// State returns the state of the box.
func (b *Box) State() State { return b.state }

// InForce returns the version in force, 0 for none.
func (b *Box) InForce() uint64 { return b.inForce }

// Number returns the version that the box is changing to.
func (b *Box) Number() uint64 { return b.number }

// Update updates the state from the box's copy of the table. The copy must not be older than the one that the version in force
// came from: otherwise a box that replays the ledger would go back to an old version.
func (b *Box) Update(t *Table, self string, has func(digest string) bool) {
	want := t.WantedVersion(self)
	v := t.Version(want)
	switch {
	case want == b.inForce:
		b.state, b.number = Settled, 0
	case want == 0: // the first roll-out of the fleet is rolled back: no version is in force then
		b.state, b.number = Changing, 0
	case v == nil:
		b.state, b.number = Settled, 0
	case want == b.rejected:
		b.state = Rejected
	case want != b.number: // also while changing to another version: parts of it that were stored are harmless
		b.number, b.state, b.fetchAt = want, Fetching, 0
		if has(v.Digest) {
			b.state = Checking
		}
	case b.state == Fetching && has(v.Digest):
		b.state = Checking
	}
}

// Due returns the action to take now and the latest time of the next call. session is the box's session, 0 for none. running
// reports whether a roll-out is running. good and bad count the requests that the box has served in time and not in time.
func (b *Box) Due(now time.Duration, session uint64, running bool, good, bad uint64) (Action, time.Duration) {
	next := now + idleReportInterval
	if running {
		next = now + reportInterval
	}
	s := b.Status(session, good, bad)
	if session != 0 {
		changed := s.Session != b.lastReported.Session || s.InForce != b.lastReported.InForce || s.Rejected != b.lastReported.Rejected
		if changed || now >= b.reportAt {
			return SendStatus, now
		}
		next = min(next, b.reportAt)
	}
	switch b.state {
	case Fetching:
		if now >= b.fetchAt {
			b.fetchAt = now + fetchInterval
			return Fetch, b.fetchAt
		}
		return Nothing, min(next, b.fetchAt)
	case Checking:
		return Verify, now
	case Waiting:
		return RequestSlot, next
	case Changing:
		return Store, now
	}
	return Nothing, next
}

// Status returns the state that the box reports.
func (b *Box) Status(session, good, bad uint64) Status {
	return Status{Session: session, InForce: b.inForce, Rejected: b.rejected, Reason: b.rejectReason, BuildNumber: b.buildNumber, GoodRequests: good, BadRequests: bad}
}

// Verified records the result of the check of version n. why is empty if the check has passed.
func (b *Box) Verified(n uint64, why string) {
	if n != b.number || b.state != Checking {
		return
	}
	if why != "" {
		b.state, b.rejected, b.rejectReason = Rejected, n, why[:min(len(why), maxTextLen)]
		return
	}
	b.state = Waiting
}

// SlotGranted records that the box has a slot to change to version n.
func (b *Box) SlotGranted(n uint64) {
	if n == b.number && b.state == Waiting {
		b.state = Changing
	}
}

// Stored records that version n is on disk as the version in force. The box acts on it from this call on, and not earlier.
func (b *Box) Stored(n uint64) {
	if n == b.number && b.state == Changing {
		b.inForce, b.state, b.number = n, Settled, 0
	}
}

// Reported records that s was reported to the fleet.
func (b *Box) Reported(now time.Duration, s Status, running bool) {
	b.lastReported, b.reportAt = s, now+idleReportInterval
	if running {
		b.reportAt = now + reportInterval
	}
}
