package daemon

import (
	"log"
	"sync"
	"time"

	link "cairnlane/internal/handover"

	"cairnlane/internal/decide/handover"
	"cairnlane/internal/decide/lifecycle"
	"cairnlane/internal/replica"
)

// process is one process as everybody else sees it: routers and the engine see the replica with what the process is
// laid over it, operators call it through their door, and the other process of a replacement through the link.
type process struct {
	*replica.Replica
	peer    *link.Link // nil where no replacement is possible
	split   *split     // of the limits, with the other process
	effects chan lifecycle.Effect

	mu   sync.Mutex // guards life; nothing is called under it
	life lifecycle.Life
}

// take takes an event and hands on what is to be done about it. Each effect comes once, so the channel never fills.
func (p *process) take(e lifecycle.Event) error {
	p.mu.Lock()
	before := p.life.State()
	effect, err := p.life.Take(e)
	after := p.life.State()
	p.mu.Unlock()
	if before != after {
		log.Printf("this process was %v and is %v", before, after)
	}
	if effect != 0 {
		p.effects <- effect
	}
	return err
}

func (p *process) state() lifecycle.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life.State()
}

// Healthy implements front.Core.
func (p *process) Healthy() bool {
	module := p.Replica.Healthy()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life.Good(module)
}

// Started implements engine.Events.
func (p *process) Started(ago time.Duration) {
	p.Replica.Started(ago)
	p.take(lifecycle.Engine)
}

// door is the process as operators call it.
type door struct{ *process }

// Ready implements operator.Replica.
func (d door) Ready() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life.Ready()
}

// Drain implements operator.Replica. The other process of a replacement is told: the two are one replica.
func (d door) Drain(on bool) error {
	e := lifecycle.DrainOff
	if on {
		e = lifecycle.DrainOn
	}
	if err := d.take(e); err != nil {
		return err
	}
	d.tellDrain(on)
	return nil
}

func (p *process) tellDrain(on bool) {
	if p.peer != nil {
		p.peer.Send(&handover.Message{Kind: handover.Drain, OK: on})
	}
}

// neighbour is the process as the other one of a replacement sees it.
type neighbour struct{ *process }

// Joined implements handover.Events.
func (n neighbour) Joined(guest bool) {
	if !guest {
		n.mu.Lock()
		drained := n.life.Drained()
		n.mu.Unlock()
		n.tellDrain(drained)
	}
	n.Replica.PeerConnected(n.peer)
}

// Told implements handover.Events.
func (n neighbour) Told(m *handover.Message) {
	switch m.Kind {
	case handover.Synced:
		n.take(lifecycle.Inherited)
		n.mu.Lock()
		again := n.life.Announced()
		n.mu.Unlock()
		if again {
			n.peer.Send(&handover.Message{Kind: handover.Ready})
		}
	case handover.Ready:
		n.split.halve(n.peer.Send)
		n.take(lifecycle.Successor)
		n.peer.Send(&handover.Message{Kind: handover.Known})
	case handover.Share:
		n.split.told(int(m.N))
	case handover.Known:
		n.take(lifecycle.Known)
	case handover.Drain:
		e := lifecycle.DrainOff
		if m.OK {
			e = lifecycle.DrainOn
		}
		if err := n.take(e); err != nil {
			log.Print("the other process was told of a drain: ", err)
		}
	default:
		n.Replica.ReceiveFromPeer(m)
	}
}

// Parted implements handover.Events.
func (n neighbour) Parted() {
	n.Replica.PeerDisconnected()
	if n.Replica.OwnsClaims() { // else the other one may be there still
		n.split.alone()
	}
	n.take(lifecycle.SuccessorGone)
}

// TookOver implements handover.Events.
func (n neighbour) TookOver(all bool) {
	log.Printf("the process before this one has ended; it told all that it owed: %v", all)
	n.Replica.PredecessorEnded(all)
	n.split.alone()
	n.take(lifecycle.Inherited)
	n.take(lifecycle.Known)
}
