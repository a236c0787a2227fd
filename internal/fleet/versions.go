package fleet

import (
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/straggler"
	"cairnlane/internal/fleet/ledger"
)

// Configs gives a box access to the fleet's numbered configurations: bodies by digest, and the one in force. Its methods never wait
// for another box.
type Configs interface {
	Has(digest string) bool
	Fetch(digest string, size int)                    // starts a fetch from any peer that has the body
	Verify(v rollout.Version) (why string)            // checks the body against this build; "" when it is valid
	Store(v rollout.Version, at LedgerPosition) error // puts it in force on disk before it returns; number 0: none in force
	Served() (good, bad uint64)                       // requests of this process: within their deadline, and not
}

// LedgerPosition is a position in a fleet's ledger.
type LedgerPosition struct{ Fleet, Index uint64 }

// ErrBehind reports that the box's configuration is below the lowest one allowed. The box may make no effects until it has a newer one.
var ErrBehind = errors.New("this box is behind the fleet's configuration")

// rolloutState is a node's state in roll-outs.
type rolloutState struct {
	box            *rollout.Box
	conductor      rollout.Conductor
	detector       straggler.Detector
	conductorLease *lease.TrackedRequest // the conductor's lease
	changeSlot     *lease.TrackedRequest // the slot in which this box changes
	retryAt        time.Duration
	stepSession    uint64 // session in which step was submitted
	step           uint64 // number of the conductor's last command; none is submitted before its outcome is known

	// The decisions depend only on the ledger and the time, and look at every box. They are therefore repeated only for a new ledger
	// index or when due, not for each message.
	decidedIndex uint64
	dueAt        time.Duration
}

// retryInterval is the pause before an operation that the disk or the fleet rejected is repeated.
const retryInterval = 500 * time.Millisecond

// advanceRollout advances the roll-out on this box, including the parts of the conductor and the straggler detector if it has them.
func (n *Node) advanceRollout(now time.Duration) {
	t := n.ledger.State().Rollout
	if t == nil || n.cfg.Configs == nil {
		return
	}
	c := &n.rollouts
	if index := n.ledger.State().Index; index == c.decidedIndex && now < c.dueAt {
		n.next = min(n.next, c.dueAt)
		return
	} else {
		c.decidedIndex = index
	}
	next := n.next
	n.next = now + time.Minute
	n.decideRollout(now, t)
	c.dueAt = n.next
	n.next = min(n.next, next)
}

// RecheckRollout repeats the roll-out decisions at once, because the body of a configuration has arrived.
func (n *Node) RecheckRollout(now time.Duration) {
	n.rollouts.dueAt = 0
	n.process(now)
}

func (n *Node) decideRollout(now time.Duration, t *rollout.Table) {
	if at := n.cfg.Since; at.Fleet != n.ledger.State().Fleet || at.Index <= n.ledger.State().Index {
		n.followRollout(now, t)
	}
	n.conductRollout(now, t)
	if n.Standing() != straggler.UpToDate { // it may begin no effect until it is up to date, so it gives its slots to others
		for _, a := range n.holder.Requests() {
			a.StopRequested = true
		}
	}
	if !n.ledger.Leads(now) {
		n.rollouts.detector.Reset()
		return
	}
	out, next := n.rollouts.detector.Due(now, t, n.ledger.State().Table.CurrentSessions, n.ledger.State().Known(), n.ledger.State().Table.Terms.Term)
	n.next = min(n.next, next)
	for _, c := range out {
		n.holder.SendPayload(now, ledger.EncodePayload(c))
	}
}

// followRollout carries out this box's own change of configuration.
func (n *Node) followRollout(now time.Duration, t *rollout.Table) {
	c := &n.rollouts
	if v := t.Version(t.Last); v != nil && !n.cfg.Configs.Has(v.Digest) {
		n.cfg.Configs.Fetch(v.Digest, v.Size) // fetched before it is needed, so that it outlives the box that received it
	}
	c.box.Update(t, n.cfg.Name, n.cfg.Configs.Has)
	if c.box.State() != rollout.Waiting && c.box.State() != rollout.Changing {
		n.releaseRequest(now, &c.changeSlot)
	}
	good, bad := n.cfg.Configs.Served()
	session := uint64(0)
	if n.holder.Phase() == lease.Joined {
		session = n.holder.Session()
	}
	for range 8 {
		act, next := c.box.Due(now, session, t.Current != nil, good, bad)
		if act == rollout.Nothing || now < c.retryAt && act != rollout.SendStatus {
			n.next = min(n.next, max(next, min(c.retryAt, now+retryInterval)))
			return
		}
		if act == rollout.SendStatus {
			s := c.box.Status(session, good, bad)
			n.holder.SendPayload(now, ledger.EncodePayload(rollout.Command{Kind: rollout.ReportStatus, Status: &s}))
			c.box.Reported(now, s, t.Current != nil)
			continue
		}
		v := t.Version(c.box.Number())
		if v == nil && c.box.Number() == 0 && act == rollout.Store {
			v = new(rollout.Version)
		}
		if v == nil {
			return
		}
		switch act {
		case rollout.Fetch:
			n.cfg.Configs.Fetch(v.Digest, v.Size)
		case rollout.Verify:
			why := ""
			if v.Needs > n.cfg.BuildNumber {
				why = fmt.Sprintf("the configuration needs a build of number %d, but this box runs %d: install a later build", v.Needs, n.cfg.BuildNumber)
			} else {
				why = n.cfg.Configs.Verify(*v)
			}
			c.box.Verified(v.N, why)
		case rollout.RequestSlot:
			if !n.mayChange(now, t) {
				n.next = min(n.next, next)
				return
			}
			c.box.SlotGranted(v.N)
		case rollout.Store:
			at := LedgerPosition{n.ledger.State().Fleet, n.ledger.State().Index}
			if err := n.cfg.Configs.Store(*v, at); err != nil {
				n.cfg.Logf("configuration %d is not in force, as it cannot be stored: %v", v.N, err)
				c.retryAt = now + retryInterval
				n.next = min(n.next, c.retryAt)
				return
			}
			n.cfg.Since = at
			c.box.Stored(v.N)
			n.releaseRequest(now, &c.changeSlot)
		}
	}
}

// mayChange reports whether this box may change now. During a roll-out the plan limits how many boxes change at a time. A box that
// catches up without a roll-out, or is shut out, needs no slot.
func (n *Node) mayChange(now time.Duration, t *rollout.Table) bool {
	c := &n.rollouts
	if _, out := t.ShutOutBoxes[n.cfg.Name]; t.Current == nil || out {
		return true
	}
	if c.changeSlot != nil && c.changeSlot.State.Final() {
		n.releaseRequest(now, &c.changeSlot)
		c.retryAt = now + retryInterval
		return false
	}
	if c.changeSlot == nil {
		c.changeSlot, _ = n.holder.Acquire(now, lease.Request{Task: fmt.Sprintf("fleet/change-%d", t.Current.ID), Slots: t.Current.Plan.Slots})
		return false
	}
	return n.holder.CheckPermit(now, c.changeSlot, 0) == nil
}

// releaseRequest gives back a slot that the node holds for its own use.
func (n *Node) releaseRequest(now time.Duration, a **lease.TrackedRequest) {
	if *a != nil {
		n.holder.Release(now, *a)
		n.holder.Remove(*a)
		*a = nil
	}
}

// conductRollout submits the roll-out's next command if this box holds the conductor's lease. Only voters request that lease.
func (n *Node) conductRollout(now time.Duration, t *rollout.Table) {
	c := &n.rollouts
	if t.Current == nil {
		n.releaseRequest(now, &c.conductorLease)
		c.conductor = rollout.Conductor{}
		return
	}
	table := n.ledger.State().Table
	if c.conductorLease != nil && c.conductorLease.State.Final() {
		n.releaseRequest(now, &c.conductorLease)
	}
	if c.conductorLease == nil {
		if v, ok := n.ledger.State().Voters[n.cfg.Name]; ok && !v.Learner && n.holder.Phase() == lease.Joined && !table.Barred[n.cfg.Name] && now >= c.retryAt {
			c.conductorLease, _ = n.holder.Acquire(now, lease.Request{Task: ledger.Conductor, Slots: 1})
		}
		return
	}
	if n.holder.CheckPermit(now, c.conductorLease, 0) != nil {
		c.conductor = rollout.Conductor{} // another box may have taken steps, so the conductor's times are invalid
		return
	}
	if s := table.Sessions[c.stepSession]; s != nil && c.stepSession == n.holder.Session() && s.Seq < c.step {
		return
	}
	cmd, next := c.conductor.Due(now, t, table.CurrentSessions)
	n.next = min(n.next, next)
	if cmd != nil {
		c.stepSession, c.step = n.holder.Session(), n.holder.SendPayload(now, ledger.EncodePayload(*cmd))
	}
}

// Standing returns this box's state relative to the lowest configuration allowed.
func (n *Node) Standing() straggler.State {
	t := n.ledger.State().Rollout
	if t == nil || n.cfg.Configs == nil {
		return straggler.UpToDate
	}
	return straggler.StateOf(t, n.cfg.Name, n.rollouts.box.InForce(), n.cfg.BuildNumber)
}

// InForce returns the number of the configuration in force on this box; 0 for none.
func (n *Node) InForce() uint64 { return n.rollouts.box.InForce() }

// Lowest returns the lowest configuration allowed, as far as this box knows; 0 for none.
func (n *Node) Lowest() uint64 {
	if t := n.ledger.State().Rollout; t != nil {
		return t.Lowest
	}
	return 0
}

// SubmitRolloutCommand submits an operator's command in this box's session. Outcome returns its result.
func (n *Node) SubmitRolloutCommand(now time.Duration, c rollout.Command) (session, seq uint64) {
	session = n.holder.Session()
	seq = n.holder.SendPayload(now, ledger.EncodePayload(c))
	n.process(now)
	return session, seq
}

// Outcome reports whether a command was applied, and why it was rejected.
func (n *Node) Outcome(session, seq uint64) (known bool, why error) {
	s := n.ledger.State().Table.Sessions[session]
	if seq == 0 || s == nil || n.holder.Session() != session {
		return true, errors.New("this box has no session in the fleet now, so the outcome of the command is unknown; see 'cairnctl fleet config list' and 'cairnctl fleet status'")
	}
	return s.Seq >= seq, n.rejections[seq]
}

// Straggler is a box below the lowest configuration allowed.
type Straggler struct {
	Box     string `json:"box"`
	State   string `json:"state"`
	InForce uint64 `json:"in_force"`
	Lowest  uint64 `json:"lowest"`
	What    string `json:"what"`
}

// Stragglers lists the stragglers by name, with the expected next step.
func (n *Node) Stragglers(now time.Duration) (list []Straggler) {
	t := n.ledger.State().Rollout
	if t == nil || t.Lowest == 0 {
		return nil
	}
	for _, m := range n.Members(now) {
		s, reported := t.Boxes[m.Name]
		_, out := t.ShutOutBoxes[m.Name]
		x := Straggler{Box: m.Name, InForce: s.InForce, Lowest: t.Lowest}
		switch {
		case out && (m.State == Dead || m.State == Left):
			x.State, x.What = "shut out", "the box is gone; it is updated when it returns"
		case m.State == Dead || m.State == Left:
			if reported && s.InForce >= t.Lowest {
				continue
			}
			x.State, x.What = string(m.State), "the box is updated when it returns"
		case !out && !t.Behind(m.Name, m.Incarnation):
			continue
		case reported && s.Rejected == t.WantedVersion(m.Name):
			x.State, x.What = "turned it down", s.Reason
		case out:
			x.State, x.What = "shut out", "the box is updated and then rejoins by itself; if it does not, see its log"
		case !reported || s.Session != m.Incarnation:
			x.State, x.What = "silent", "the box has not reported its configuration since it joined"
		default:
			x.State, x.What = "behind", "the box is being updated; it is shut out after the grace"
		}
		list = append(list, x)
	}
	return list // Members returns them by name
}
