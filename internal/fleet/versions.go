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

// Configs is where a box has the fleet's numbered configurations: bodies by digest, and the one that is in force. Its methods
// never wait for another box.
type Configs interface {
	Has(digest string) bool
	Fetch(digest string, size int)           // from any peer that has it
	Verify(v rollout.Version) (why string)   // the body against this build; "" when it is right
	Store(v rollout.Version, at Place) error // has it on the disk as the one in force when it returns; number 0: nothing is
	Served() (good, bad uint64)              // requests of this process: in time, and not
}

// Place is a place in a fleet's ledger.
type Place struct{ Fleet, Index uint64 }

// ErrBehind says that a box acts on a version that the fleet allows no more. It may do nothing for the fleet until it has another.
var ErrBehind = errors.New("this box is behind the fleet's configuration")

// changes is a node's part in roll-outs.
type changes struct {
	box       *rollout.Box
	conductor rollout.Conductor
	judge     straggler.Judge
	lead      *lease.Ask // the conductor's lease
	slot      *lease.Ask // to change in
	retry     time.Duration
	session   uint64 // in which step was said
	step      uint64 // the conductor's last command: nothing is said before it is known what came of it

	// What is decided here follows from the ledger and the time, and looks at every box: it is looked at again when either says so, not
	// at each message.
	index uint64
	due   time.Duration
}

// retryEach is between two tries of what the disk or the fleet refused.
const retryEach = 500 * time.Millisecond

// change does what a roll-out asks of this box, and of whoever conducts or judges.
func (n *Node) change(now time.Duration) {
	t := n.ledger.State().Rollout
	if t == nil || n.cfg.Configs == nil {
		return
	}
	c := &n.changes
	if index := n.ledger.State().Index; index == c.index && now < c.due {
		n.next = min(n.next, c.due)
		return
	} else {
		c.index = index
	}
	next := n.next
	n.next = now + time.Minute
	n.decide(now, t)
	c.due = n.next
	n.next = min(n.next, next)
}

// Poke has the node look at roll-outs again: the body of a configuration has come.
func (n *Node) Poke(now time.Duration) {
	n.changes.due = 0
	n.turn(now)
}

func (n *Node) decide(now time.Duration, t *rollout.Table) {
	if at := n.cfg.Since; at.Fleet != n.ledger.State().Fleet || at.Index <= n.ledger.State().Index {
		n.follow(now, t)
	}
	n.conduct(now, t)
	if n.Stands() != straggler.Level { // it begins nothing until it is up to date: what it holds is better given to others
		for _, a := range n.holder.Asks() {
			a.Stop = true
		}
	}
	if !n.ledger.Leads(now) {
		n.changes.judge.Forget()
		return
	}
	out, next := n.changes.judge.Due(now, t, n.ledger.State().Table.Names, n.ledger.State().Known(), n.ledger.State().Table.Terms.Term)
	n.next = min(n.next, next)
	for _, c := range out {
		n.holder.Carry(now, ledger.Carry(c))
	}
}

// follow is this box's own change.
func (n *Node) follow(now time.Duration, t *rollout.Table) {
	c := &n.changes
	if v := t.Version(t.Last); v != nil && !n.cfg.Configs.Has(v.Digest) {
		n.cfg.Configs.Fetch(v.Digest, v.Size) // before it is asked for, so that it outlives the box that took it
	}
	c.box.Saw(t, n.cfg.Name, n.cfg.Configs.Has)
	if c.box.State() != rollout.Waiting && c.box.State() != rollout.Changing {
		n.drop(now, &c.slot)
	}
	good, bad := n.cfg.Configs.Served()
	session := uint64(0)
	if n.holder.Phase() == lease.In {
		session = n.holder.Session()
	}
	for range 8 {
		act, next := c.box.Due(now, session, t.Roll != nil, good, bad)
		if act == rollout.Nothing || now < c.retry && act != rollout.Say {
			n.next = min(n.next, max(next, min(c.retry, now+retryEach)))
			return
		}
		if act == rollout.Say {
			s := c.box.Standing(session, good, bad)
			n.holder.Carry(now, ledger.Carry(rollout.Command{Kind: rollout.Tell, Standing: &s}))
			c.box.Told(now, s, t.Roll != nil)
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
			if v.Needs > n.cfg.Number {
				why = fmt.Sprintf("it needs a build of number %d, and this one is %d: install a later one", v.Needs, n.cfg.Number)
			} else {
				why = n.cfg.Configs.Verify(*v)
			}
			c.box.Verified(v.N, why)
		case rollout.GetSlot:
			if !n.slotted(now, t) {
				n.next = min(n.next, next)
				return
			}
			c.box.Slotted(v.N)
		case rollout.Store:
			at := Place{n.ledger.State().Fleet, n.ledger.State().Index}
			if err := n.cfg.Configs.Store(*v, at); err != nil {
				n.cfg.Told("configuration %d is not in force, as it cannot be stored: %v", v.N, err)
				c.retry = now + retryEach
				n.next = min(n.next, c.retry)
				return
			}
			n.cfg.Since = at
			c.box.Stored(v.N)
			n.drop(now, &c.slot)
		}
	}
}

// slotted tells whether this box may change now. While a roll-out runs, as many boxes as its plan says change at a time; a box
// that is brought up, or shut out, holds nobody up and waits for nobody.
func (n *Node) slotted(now time.Duration, t *rollout.Table) bool {
	c := &n.changes
	if _, out := t.Out[n.cfg.Name]; t.Roll == nil || out {
		return true
	}
	if c.slot != nil && c.slot.State.Over() {
		n.drop(now, &c.slot)
		c.retry = now + retryEach
		return false
	}
	if c.slot == nil {
		c.slot, _ = n.holder.Acquire(now, lease.Request{Task: fmt.Sprintf("fleet/change-%d", t.Roll.ID), Slots: t.Roll.Plan.Slots})
		return false
	}
	return n.holder.May(now, c.slot, 0) == nil
}

// drop gives a slot back that this node has for itself.
func (n *Node) drop(now time.Duration, a **lease.Ask) {
	if *a != nil {
		n.holder.GiveUp(now, *a)
		n.holder.Drop(*a)
		*a = nil
	}
}

// conduct says what the roll-out needs next, if this box holds the conductor's lease. Voters alone ask for it.
func (n *Node) conduct(now time.Duration, t *rollout.Table) {
	c := &n.changes
	if t.Roll == nil {
		n.drop(now, &c.lead)
		c.conductor = rollout.Conductor{}
		return
	}
	table := n.ledger.State().Table
	if c.lead != nil && c.lead.State.Over() {
		n.drop(now, &c.lead)
	}
	if c.lead == nil {
		if v, ok := n.ledger.State().Voters[n.cfg.Name]; ok && !v.Learner && n.holder.Phase() == lease.In && !table.Barred[n.cfg.Name] && now >= c.retry {
			c.lead, _ = n.holder.Acquire(now, lease.Request{Task: ledger.Conductor, Slots: 1})
		}
		return
	}
	if n.holder.May(now, c.lead, 0) != nil {
		c.conductor = rollout.Conductor{} // another one may have made steps: its times say nothing any more
		return
	}
	if s := table.Sessions[c.session]; s != nil && c.session == n.holder.Session() && s.Seq < c.step {
		return
	}
	cmd, next := c.conductor.Due(now, t, table.Names)
	n.next = min(n.next, next)
	if cmd != nil {
		c.session, c.step = n.holder.Session(), n.holder.Carry(now, ledger.Carry(*cmd))
	}
}

// Stands tells how this box stands to the fleet's lowest allowed version.
func (n *Node) Stands() straggler.State {
	t := n.ledger.State().Rollout
	if t == nil || n.cfg.Configs == nil {
		return straggler.Level
	}
	return straggler.Stands(t, n.cfg.Name, n.changes.box.InForce(), n.cfg.Number)
}

// InForce is the number of the configuration that this box acts on, and Lowest that which the fleet allows, as far as this box
// knows; 0 for none.
func (n *Node) InForce() uint64 { return n.changes.box.InForce() }

// Lowest is the lowest number that is allowed, as far as this box knows.
func (n *Node) Lowest() uint64 {
	if t := n.ledger.State().Rollout; t != nil {
		return t.Lowest
	}
	return 0
}

// Carry says a command of an operator in this box's session. Outcome tells what came of it.
func (n *Node) Carry(now time.Duration, c rollout.Command) (session, seq uint64) {
	session = n.holder.Session()
	seq = n.holder.Carry(now, ledger.Carry(c))
	n.turn(now)
	return session, seq
}

// Outcome tells whether a command was applied, and why it was turned down.
func (n *Node) Outcome(session, seq uint64) (known bool, why error) {
	s := n.ledger.State().Table.Sessions[session]
	if seq == 0 || s == nil || n.holder.Session() != session {
		return true, errors.New("this box has no session in the fleet now, so it is not known whether the fleet has heard it; see 'cairnctl fleet config list' and 'cairnctl fleet status'")
	}
	return s.Seq >= seq, n.why[seq]
}

// Straggler is a box that is not at the lowest allowed version.
type Straggler struct {
	Box     string `json:"box"`
	State   string `json:"state"`
	InForce uint64 `json:"in_force"`
	Lowest  uint64 `json:"lowest"`
	What    string `json:"what"`
}

// Stragglers lists them, by name, with what is to be done.
func (n *Node) Stragglers(now time.Duration) (list []Straggler) {
	t := n.ledger.State().Rollout
	if t == nil || t.Lowest == 0 {
		return nil
	}
	for _, m := range n.Members(now) {
		s, told := t.Boxes[m.Name]
		_, out := t.Out[m.Name]
		x := Straggler{Box: m.Name, InForce: s.InForce, Lowest: t.Lowest}
		switch {
		case out && (m.State == Dead || m.State == Left):
			x.State, x.What = "shut out", "it is gone; it is brought up when it comes back"
		case m.State == Dead || m.State == Left:
			if told && s.InForce >= t.Lowest {
				continue
			}
			x.State, x.What = string(m.State), "it is brought up when it comes back"
		case !out && !t.Behind(m.Name, m.Incarnation):
			continue
		case told && s.Turned == t.Wants(m.Name):
			x.State, x.What = "turned it down", s.Why
		case out:
			x.State, x.What = "shut out", "it is brought up and then comes back by itself; if it does not, see its log"
		case !told || s.Session != m.Incarnation:
			x.State, x.What = "silent", "it has not said since it came what it acts on"
		default:
			x.State, x.What = "behind", "it is brought up; after the grace it is shut out"
		}
		list = append(list, x)
	}
	return list // members come by name
}
