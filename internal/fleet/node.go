// Package fleet implements one replica's part in its fleet: membership, agreement and leases. Code that serves requests never
// waits for it, and the platform's binary does not link it.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fleet/ledger"
)

// NodeConfig configures a Node.
type NodeConfig struct {
	Name   string
	Build  string
	Seeds  []string // boxes to contact as long as no fleet is known
	Timing ledger.Timing
	Rand   *rand.Rand
	Disk   ledger.Disk
	Logf   func(format string, args ...any)

	Configs     Configs        // nil: the box takes no part in roll-outs
	InForce     uint64         // number of the configuration in force on disk; 0: none
	Since       LedgerPosition // ledger position at which it came into force; an older ledger state is not followed back
	BuildNumber uint64         // number of this build
}

// Node is one box's part in the fleet without I/O: it takes messages and the time, and returns messages. A process (Fleet) and the
// simulation in virtual time (lab/fleetsim) run the same code. It is not safe for concurrent use. Times are the box's own.
type Node struct {
	cfg        NodeConfig
	ledger     *ledger.Ledger
	holder     *lease.Holder
	detector   lease.ExpiryDetector
	rejections map[uint64]error // why commands of this session were rejected, by their number
	outbox     []ledger.Envelope
	next       time.Duration
	reopenAt   time.Duration
	counts     Counts

	rollouts rolloutState
}

// Counts counts what a node has done, for measurements.
type Counts struct {
	Commands int64 // commands of all boxes applied here
	Entries  int64
	Said     int64 // messages sent
}

// NewNode returns a node with the state that is on disk.
func NewNode(now time.Duration, cfg NodeConfig) (*Node, error) {
	l, err := ledger.Open(now, ledger.Config{Name: cfg.Name, Seeds: cfg.Seeds, Timing: cfg.Timing, Rand: cfg.Rand, Disk: cfg.Disk, Logf: cfg.Logf})
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, ledger: l, rejections: map[uint64]error{}, rollouts: rolloutState{box: rollout.NewBox(cfg.InForce, cfg.BuildNumber)}}
	n.holder = lease.NewHolder(cfg.Name, cfg.Build, cfg.Rand.Uint64()|1, l.State().Table.Terms)
	n.process(now)
	return n, nil
}

// Ledger returns the state that the fleet agrees on. It must only be read.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Holder returns this box's side of its leases. It must only be read.
func (n *Node) Holder() *lease.Holder { return n.holder }

// Counts returns the node's counts.
func (n *Node) Counts() Counts { return n.counts }

// Receive handles a message of another box.
func (n *Node) Receive(now time.Duration, from string, m ledger.Message) {
	n.ledger.Receive(now, from, m)
	n.process(now)
}

// Tick does the work that is due.
func (n *Node) Tick(now time.Duration) { n.process(now) }

// NextTick returns the latest time for the next call of Tick.
func (n *Node) NextTick() time.Duration { return n.next }

// TakeMessages returns the messages to be sent and removes them from the node.
func (n *Node) TakeMessages() []ledger.Envelope {
	out := n.outbox
	n.outbox = nil
	n.counts.Said += int64(len(out))
	return out
}

// process ticks the ledger and passes results between it and the deciding parts until nothing changes, at most 8 rounds.
func (n *Node) process(now time.Duration) {
	if n.ledger.Failed() != nil {
		n.reopenLedger(now)
	}
	n.next = n.ledger.Tick(now)
	for range 8 { // a sole voter's own commands are applied at once
		out, applied, changed := n.ledger.TakeOutput()
		n.outbox = append(n.outbox, out...)
		if changed {
			n.applyLedger(now, applied)
		}
		submitted := n.submit(now)
		if !changed && !submitted {
			return
		}
		n.next = min(n.next, n.ledger.Tick(now))
	}
}

// reopenInterval is the pause between two attempts to reopen the ledger after a disk failure.
const reopenInterval = 500 * time.Millisecond

// reopenLedger reopens the ledger from the disk after a disk failure, as a restart would.
func (n *Node) reopenLedger(now time.Duration) {
	if now < n.reopenAt {
		return
	}
	n.reopenAt = now + reopenInterval
	if n.ledger.Reopen(now) == nil {
		n.detector.Reset()
	}
}

// applyLedger passes newly applied entries to the holder and the expiry detector.
func (n *Node) applyLedger(now time.Duration, applied []ledger.Applied) {
	for _, a := range applied {
		n.counts.Entries++
		n.counts.Commands += int64(len(a.Commands))
		for i, c := range a.Commands {
			if c.Session == n.holder.Session() && c.Session != 0 && a.Results[i] != nil && !errors.Is(a.Results[i], lease.ErrOrder) {
				n.rejections[c.Seq] = a.Results[i]
			}
		}
	}
	state := n.ledger.State()
	if state.Fleet == 0 {
		return
	}
	session := n.holder.Session()
	n.holder.Update(now, state.Table, func(seq uint64) error { return n.rejections[seq] })
	if n.holder.Session() != session || len(n.rejections) > lease.MaxRequests {
		clear(n.rejections)
	}
	n.detector.Update(now, state.Table)
}

// submit submits this box's due commands to the ledger and reports whether there were any.
func (n *Node) submit(now time.Duration) bool {
	state := n.ledger.State()
	if state.Fleet == 0 || n.ledger.Failed() != nil {
		return false
	}
	n.advanceRollout(now)
	list, next := n.holder.Due(now)
	n.next = min(n.next, next)
	if until := n.holder.ActDeadline(); until > now {
		n.next = min(n.next, until) // the holder must learn of the end in time
	}
	if n.ledger.Leads(now) {
		ends, next := n.detector.Due(now, state.Table)
		n.next = min(n.next, next)
		list = append(list, ends...)
	}
	n.ledger.Submit(now, list)
	return len(list) > 0
}

// Members lists the boxes recorded in the ledger, by name.
func (n *Node) Members(now time.Duration) (list []Member) {
	t := n.ledger.State().Table
	voters := n.ledger.State().Voters
	for name, id := range t.CurrentSessions {
		s := t.Sessions[id]
		m := Member{Name: name, Incarnation: id, Build: s.Build, State: Present}
		if n.detector.TimeSinceSeen(now, id) > t.Terms.Term/2 {
			m.State = Suspected
		}
		list = append(list, m)
	}
	for name, e := range t.EndedSessions {
		m := Member{Name: name, Incarnation: e.Session, State: Dead}
		if e.LeftInOrder {
			m.State = Left
		}
		list = append(list, m)
	}
	for i := range list {
		if v, ok := voters[list[i].Name]; ok {
			list[i].Votes = !v.Learner
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Presence is the state of a box's membership.
type Presence string

// The states of a box's membership.
const (
	Present   Presence = "there"
	Suspected Presence = "suspected" // this box has seen no sign of it for half a lease term
	Dead      Presence = "dead"      // its session was ended after a lease term without a sign of it
	Left      Presence = "left"      // it ended its session itself
)

// Member is a box of the fleet.
type Member struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Build       string   `json:"build,omitempty"`
	State       Presence `json:"state"`
	Votes       bool     `json:"votes"`
}

// Acquire requests a slot.
func (n *Node) Acquire(now time.Duration, r lease.Request) (*lease.TrackedRequest, error) {
	if n.ledger.State().Fleet == 0 {
		return nil, ledger.ErrNoFleet
	}
	a, err := n.holder.Acquire(now, r)
	n.process(now)
	return a, err
}

// ReleaseSlot gives a slot back. The caller must not act under it any more.
func (n *Node) ReleaseSlot(now time.Duration, a *lease.TrackedRequest) {
	n.holder.Release(now, a)
	n.process(now)
}

// ForgetRequest forgets a finished request.
func (n *Node) ForgetRequest(a *lease.TrackedRequest) { n.holder.Remove(a) }

// CheckEffect returns nil if an effect that takes at most need may begin now.
func (n *Node) CheckEffect(now time.Duration, a *lease.TrackedRequest, need time.Duration) error {
	if err := n.ledger.Alarm(); err != nil {
		return err
	}
	if s := n.Standing(); !s.MayAct() {
		return fmt.Errorf("%w: state %v, configuration %d in force, lowest allowed %d", ErrBehind, s, n.InForce(), n.Lowest())
	}
	return n.holder.CheckPermit(now, a, need)
}

// SubmitOperatorCommand submits an operator's command: Free, or Stop with the token of a lease.
func (n *Node) SubmitOperatorCommand(now time.Duration, c lease.Command) {
	if c.Kind == lease.Stop {
		n.holder.Stop(now, c.Token)
	} else {
		n.ledger.Submit(now, []lease.Command{c})
	}
	n.process(now)
}

// ReportAuditHead records the head of the box's audit chain in the ledger. It reports whether the box has a session to do so.
func (n *Node) ReportAuditHead(now time.Duration, m lease.Mark) bool {
	reported := n.holder.Report(now, m)
	n.process(now)
	return reported
}

// LeaveFleet has the box leave its fleet. It must not act any more.
func (n *Node) LeaveFleet(now time.Duration) {
	n.holder.Leave(now)
	n.process(now)
}

// Left reports whether the ledger shows that this box has left, or there is no fleet to leave.
func (n *Node) Left() bool { return n.ledger.State().Fleet == 0 || n.holder.Left() }

// Init creates a fleet; see ledger.Init.
func (n *Node) Init(now time.Duration, terms lease.Terms, voters []string) error {
	err := n.ledger.Init(now, terms, voters)
	n.process(now)
	return err
}

// Recover starts a new era of the ledger; see ledger.Recover.
func (n *Node) Recover(now time.Duration) error {
	err := n.ledger.Recover(now)
	n.detector.Reset()
	n.process(now)
	return err
}

// SetWantedVoters sets the wanted voters; see ledger.Ledger.SetVoters.
func (n *Node) SetWantedVoters(now time.Duration, voters []string) error {
	err := n.ledger.SetVoters(now, voters)
	n.process(now)
	return err
}
