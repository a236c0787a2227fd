// Package fleet is one replica's part in its fleet: who is there, what is agreed on, and who may act. Serving never waits
// for it, and nothing of the platform's binary links it.
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

// NodeConfig is what a Node is made with.
type NodeConfig struct {
	Name   string
	Build  string
	Seeds  []string // boxes to ask for a fleet as long as none is known
	Timing ledger.Timing
	Rand   *rand.Rand
	Disk   ledger.Disk
	Told   func(format string, args ...any)

	Configs Configs // nil: this box takes no part in roll-outs
	InForce uint64  // the configuration that the disk has in force; 0: none
	Since   Place   // where it was put in force: an older ledger is not followed back to what was before
	Number  uint64  // of the build
}

// Node is one box's part without any I/O: messages and the time go in, messages come out. The same code runs in a process
// (Fleet) and in virtual time (lab/fleetsim). It is not safe for use by several goroutines. Time is the box's own.
type Node struct {
	cfg    NodeConfig
	ledger *ledger.Ledger
	holder *lease.Holder
	judge  lease.Judge
	why    map[uint64]error // of this session's commands that were turned down, by their number
	out    []ledger.Envelope
	next   time.Duration
	reopen time.Duration
	count  Counts

	changes changes
}

// Counts are what a node has done, for whoever measures.
type Counts struct {
	Commands int64 // of all boxes that were applied here
	Entries  int64
	Said     int64 // messages
}

// NewNode takes up what the disk holds.
func NewNode(now time.Duration, cfg NodeConfig) (*Node, error) {
	l, err := ledger.Open(now, ledger.Config{Name: cfg.Name, Seeds: cfg.Seeds, Timing: cfg.Timing, Rand: cfg.Rand, Disk: cfg.Disk, Told: cfg.Told})
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, ledger: l, why: map[uint64]error{}, changes: changes{box: rollout.NewBox(cfg.InForce, cfg.Number)}}
	n.holder = lease.NewHolder(cfg.Name, cfg.Build, cfg.Rand.Uint64()|1, l.State().Table.Terms)
	n.turn(now)
	return n, nil
}

// Ledger is what the fleet agrees on, to be read.
func (n *Node) Ledger() *ledger.Ledger { return n.ledger }

// Holder is this box's side of its leases, to be read.
func (n *Node) Holder() *lease.Holder { return n.holder }

// Counts tells what the node has done.
func (n *Node) Counts() Counts { return n.count }

// Receive takes a message of another box.
func (n *Node) Receive(now time.Duration, from string, m ledger.Message) {
	n.ledger.Receive(now, from, m)
	n.turn(now)
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) { n.turn(now) }

// Next is when Tick is to be called at the latest.
func (n *Node) Next() time.Duration { return n.next }

// Take returns the messages to be sent.
func (n *Node) Take() []ledger.Envelope {
	out := n.out
	n.out = nil
	n.count.Said += int64(len(out))
	return out
}

// turn passes on what has come of anything, until nothing more does.
func (n *Node) turn(now time.Duration) {
	if n.ledger.Failed() != nil {
		n.again(now)
	}
	n.next = n.ledger.Tick(now)
	for range 8 { // a lone voter's own commands are applied as soon as they are made
		out, applied, moved := n.ledger.Take()
		n.out = append(n.out, out...)
		if moved {
			n.see(now, applied)
		}
		asked := n.say(now)
		if !moved && !asked {
			return
		}
		n.next = min(n.next, n.ledger.Tick(now))
	}
}

// reopenPause is between two tries to go on after the disk has failed.
const reopenPause = 500 * time.Millisecond

// again goes on after the disk has failed, as if the process had been started anew: from what the disk holds.
func (n *Node) again(now time.Duration) {
	if now < n.reopen {
		return
	}
	n.reopen = now + reopenPause
	if n.ledger.Reopen(now) == nil {
		n.judge.Forget()
	}
}

// see shows what was agreed on to those who decide.
func (n *Node) see(now time.Duration, applied []ledger.Applied) {
	for _, a := range applied {
		n.count.Entries++
		n.count.Commands += int64(len(a.Commands))
		for i, c := range a.Commands {
			if c.Session == n.holder.Session() && c.Session != 0 && a.Why[i] != nil && !errors.Is(a.Why[i], lease.ErrOrder) {
				n.why[c.Seq] = a.Why[i]
			}
		}
	}
	state := n.ledger.State()
	if state.Fleet == 0 {
		return
	}
	session := n.holder.Session()
	n.holder.Saw(now, state.Table, func(seq uint64) error { return n.why[seq] })
	if n.holder.Session() != session || len(n.why) > lease.AsksMost {
		clear(n.why)
	}
	n.judge.Saw(now, state.Table)
}

// say sends what this box has to say to the ledger.
func (n *Node) say(now time.Duration) bool {
	state := n.ledger.State()
	if state.Fleet == 0 || n.ledger.Failed() != nil {
		return false
	}
	n.change(now)
	list, next := n.holder.Due(now)
	n.next = min(n.next, next)
	if until := n.holder.Until(); until > now {
		n.next = min(n.next, until) // whoever acts is to know in time
	}
	if n.ledger.Leads(now) {
		ends, next := n.judge.Due(now, state.Table)
		n.next = min(n.next, next)
		list = append(list, ends...)
	}
	n.ledger.Ask(now, list)
	return len(list) > 0
}

// Members lists the boxes that the ledger knows of, by name.
func (n *Node) Members(now time.Duration) (list []Member) {
	t := n.ledger.State().Table
	voters := n.ledger.State().Voters
	for name, id := range t.Names {
		s := t.Sessions[id]
		m := Member{Name: name, Incarnation: id, Build: s.Build, State: There}
		if n.judge.Silent(now, id) > t.Terms.Term/2 {
			m.State = Suspected
		}
		list = append(list, m)
	}
	for name, e := range t.Left {
		m := Member{Name: name, Incarnation: e.Session, State: Dead}
		if e.Parted {
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

// Presence is how a box stands, as the fleet knows.
type Presence string

// How a box may stand.
const (
	There     Presence = "there"
	Suspected Presence = "suspected" // nothing was seen of it for half a term, here
	Dead      Presence = "dead"      // its session was ended, as nothing was heard for a term
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

// Acquire asks for a slot.
func (n *Node) Acquire(now time.Duration, r lease.Request) (*lease.Ask, error) {
	if n.ledger.State().Fleet == 0 {
		return nil, ledger.ErrNoFleet
	}
	a, err := n.holder.Acquire(now, r)
	n.turn(now)
	return a, err
}

// GiveUp gives a slot back. The caller acts under it no more.
func (n *Node) GiveUp(now time.Duration, a *lease.Ask) {
	n.holder.GiveUp(now, a)
	n.turn(now)
}

// Drop forgets an ask that is over.
func (n *Node) Drop(a *lease.Ask) { n.holder.Drop(a) }

// May tells whether an effect that takes at most need may be begun now.
func (n *Node) May(now time.Duration, a *lease.Ask, need time.Duration) error {
	if err := n.ledger.Alarm(); err != nil {
		return err
	}
	if s := n.Stands(); !s.MayBegin() {
		return fmt.Errorf("%w: it is %v, with %d in force and %d the lowest that is allowed", ErrBehind, s, n.InForce(), n.Lowest())
	}
	return n.holder.May(now, a, need)
}

// Operator sends a command of an operator: Free, or Stop by the token of a lease.
func (n *Node) Operator(now time.Duration, c lease.Command) {
	if c.Kind == lease.Stop {
		n.holder.Stop(now, c.Token)
	} else {
		n.ledger.Ask(now, []lease.Command{c})
	}
	n.turn(now)
}

// Report tells the head of the box's audit chain to the fleet, if there is a session to tell it in.
func (n *Node) Report(now time.Duration, m lease.Mark) bool {
	told := n.holder.Report(now, m)
	n.turn(now)
	return told
}

// Part has the box leave its fleet in order. It acts no more.
func (n *Node) Part(now time.Duration) {
	n.holder.Part(now)
	n.turn(now)
}

// Left tells whether the fleet knows that this box has left, or need not.
func (n *Node) Left() bool { return n.ledger.State().Fleet == 0 || n.holder.Left() }

// Init, Recover and Want are an operator's; see the ledger's.
func (n *Node) Init(now time.Duration, terms lease.Terms, voters []string) error {
	err := n.ledger.Init(now, terms, voters)
	n.turn(now)
	return err
}

// Recover begins the ledger anew.
func (n *Node) Recover(now time.Duration) error {
	err := n.ledger.Recover(now)
	n.judge.Forget()
	n.turn(now)
	return err
}

// Want asks for other voters.
func (n *Node) Want(now time.Duration, voters []string) error {
	err := n.ledger.Want(now, voters)
	n.turn(now)
	return err
}
