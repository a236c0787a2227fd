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

// process is this process: the replica with its life cycle and its link to the other process. Routers and the engine see the replica through it,
// operators call it through operatorReplica, and the other process of a replacement through peerEvents.
type process struct {
	*replica.Replica
	peer    *link.Link // nil if no replacement is possible
	split   *split     // shares the limits with the other process
	effects chan lifecycle.Effect

	mu      sync.Mutex // guards life; no calls are made while it is held
	machine lifecycle.Machine
}

// handleEvent handles an event and queues the effects. Each effect occurs once, so the channel never fills.
func (p *process) handleEvent(e lifecycle.Event) error {
	p.mu.Lock()
	before := p.machine.State()
	effect, err := p.machine.Apply(e)
	after := p.machine.State()
	p.mu.Unlock()
	if before != after {
		log.Printf("process state changed from %v to %v", before, after)
	}
	if effect != 0 {
		p.effects <- effect
	}
	return err
}

func (p *process) state() lifecycle.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.State()
}

// Healthy implements front.Core.
func (p *process) Healthy() bool {
	module := p.Replica.Healthy()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Healthy(module)
}

// Started implements engine.Events.
func (p *process) Started(ago time.Duration) {
	p.Replica.Started(ago)
	p.handleEvent(lifecycle.EngineConnected)
}

// operatorReplica implements operator.Replica.
type operatorReplica struct{ *process }

// Ready implements operator.Replica.
func (d operatorReplica) Ready() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Ready()
}

// Drain implements operator.Replica. It also notifies the other process of a replacement, as the two are one replica.
func (d operatorReplica) Drain(on bool) error {
	e := lifecycle.DrainOff
	if on {
		e = lifecycle.DrainOn
	}
	if err := d.handleEvent(e); err != nil {
		return err
	}
	d.sendDrain(on)
	return nil
}

func (p *process) sendDrain(on bool) {
	if p.peer != nil {
		p.peer.Send(&handover.Message{Kind: handover.Drain, OK: on})
	}
}

// peerEvents handles the events of the link to the other process of a replacement.
type peerEvents struct{ *process }

// LinkUp implements handover.Events.
func (n peerEvents) LinkUp(guest bool) {
	if !guest {
		n.mu.Lock()
		drained := n.machine.Drained()
		n.mu.Unlock()
		n.sendDrain(drained)
	}
	n.Replica.PeerConnected(n.peer)
}

// MessageReceived implements handover.Events.
func (n peerEvents) MessageReceived(m *handover.Message) {
	switch m.Kind {
	case handover.Synced:
		n.Replica.ReceiveFromPeer(m)
		n.handleEvent(lifecycle.StateReceived)
		n.mu.Lock()
		announced := n.machine.Announced()
		n.mu.Unlock()
		if announced {
			n.peer.Send(&handover.Message{Kind: handover.Ready})
		}
	case handover.Ready:
		n.split.shareWithSuccessor(n.peer.Send)
		n.handleEvent(lifecycle.Successor)
		n.peer.Send(&handover.Message{Kind: handover.ReadyAck})
	case handover.Share:
		n.split.setShare(int(m.Number))
	case handover.ReadyAck:
		n.handleEvent(lifecycle.Acknowledged)
	case handover.Drain:
		e := lifecycle.DrainOff
		if m.OK {
			e = lifecycle.DrainOn
		}
		if err := n.handleEvent(e); err != nil {
			log.Print("drain call at the other process not applied here: ", err)
		}
	default:
		n.Replica.ReceiveFromPeer(m)
	}
}

// LinkDown implements handover.Events.
func (n peerEvents) LinkDown() {
	n.Replica.PeerDisconnected()
	if n.Replica.OwnsClaims() { // otherwise the other process may still be running
		n.split.useAll()
	}
	n.handleEvent(lifecycle.SuccessorGone)
}

// OwnerEnded implements handover.Events.
func (n peerEvents) OwnerEnded(all bool) {
	log.Printf("the previous process has ended; all of its state was received: %v", all)
	n.Replica.PredecessorEnded(all)
	n.split.useAll()
	n.handleEvent(lifecycle.StateReceived)
	n.handleEvent(lifecycle.Acknowledged)
}
