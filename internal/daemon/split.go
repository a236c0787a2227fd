package daemon

import (
	"runtime/debug"
	"sync"
	"time"

	"cairnlane/internal/decide/handover"
	"cairnlane/internal/front"
	"cairnlane/internal/replica"
	"cairnlane/internal/settings"
)

// outputShare is the share of the memory for output that routers have not read yet.
const outputShare = 0.25

// half is each process's share of the memory and of the run limit during a replacement.
const half = 0.5

// sharePeriod is the interval at which the older process sends the newer one its share of connections.
const sharePeriod = 100 * time.Millisecond

// split keeps the two processes of a replacement within the limits of one replica. From the moment when the new
// process is about to accept clients until one of the two has ended, each has half. The older process closes
// connections above its half as they become quiet, and grants the freed descriptors to the newer one.
//
// handover.ConnectionSplit makes the decisions; split applies them.
type split struct {
	limits  settings.Limits
	server  *front.Server
	replica *replica.Replica

	mu   sync.Mutex
	plan handover.ConnectionSplit
	stop chan struct{} // stops keepSending; nil while this process is alone
}

func newSplit(l settings.Limits, s *front.Server, r *replica.Replica) *split {
	return &split{limits: l, server: s, replica: r, plan: newPlan(l)}
}

// newPlan returns the plan of a process that is alone.
func newPlan(l settings.Limits) handover.ConnectionSplit {
	return handover.ConnectionSplit{Sockets: l.Sockets, Reserved: reservedSockets}
}

// useAll gives this process the whole limits.
func (s *split) useAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		close(s.stop)
		s.stop = nil
	}
	s.applyShare(1)
	s.server.SetMaxConnections(s.plan.Alone())
}

// applyShare sets the limits other than connections.
func (s *split) applyShare(share float64) {
	debug.SetMemoryLimit(int64(memoryShare * share * float64(s.limits.MemoryMB<<20)))
	s.server.LimitOutput(int(share * outputShare * float64(s.limits.MemoryMB<<20)))
	s.replica.Share(share)
}

// follow limits a process that is to replace another one, which then sends it the number of connections that it may hold.
func (s *split) follow() {
	s.applyShare(half)
	s.server.SetMaxConnections(s.plan.Waiting())
}

// setShare sets the number of connections that the older process gives to this one.
func (s *split) setShare(n int) { s.server.SetMaxConnections(n) }

// shareWithSuccessor limits this process to its half when a successor is about to accept clients, and keeps the
// successor informed of its share.
func (s *split) shareWithSuccessor(send func(*handover.Message)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyShare(half)
	s.plan.StartSharing()
	s.sendShare(send)
	if s.stop != nil { // the link was re-established
		close(s.stop)
	}
	s.stop = make(chan struct{})
	go s.keepSending(s.stop, send)
}

// sendShare sends the successor's number of connections if it has grown.
func (s *split) sendShare(send func(*handover.Message)) {
	if n, changed := s.plan.GrantShare(s.server.SetMaxConnections(s.plan.Half())); changed {
		send(&handover.Message{Kind: handover.Share, Number: int64(n)})
	}
}

func (s *split) keepSending(stop chan struct{}, send func(*handover.Message)) {
	tick := time.NewTicker(sharePeriod)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		if s.stop == stop {
			s.sendShare(send)
		}
		s.mu.Unlock()
	}
}
