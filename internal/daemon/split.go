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

// outputShare is which part of the memory may hold what waits for routers that do not read.
const outputShare = 0.25

// half is each process's share of memory and pool.
const half = 0.5

// sharePeriod is how often the older process tells the newer one what it has freed since.
const sharePeriod = 100 * time.Millisecond

// split keeps the two processes of a replacement within the limits of one: from the moment at which the new one is about
// to take clients until one of them has ended, each has half. The older one frees what is over its half as it becomes
// quiet, and leaves the rest to the newer one.
//
// What each may hold is decided by handover.Split; this carries it out.
type split struct {
	limits  settings.Limits
	server  *front.Server
	replica *replica.Replica

	mu   sync.Mutex
	plan handover.Split
	stop chan struct{} // ends the telling; nil while this process is alone
}

func newSplit(l settings.Limits, s *front.Server, r *replica.Replica) *split {
	return &split{limits: l, server: s, replica: r, plan: connections(l)}
}

// connections is the plan of a process that is alone.
func connections(l settings.Limits) handover.Split {
	return handover.Split{Sockets: l.Sockets, Spare: spareSockets}
}

// alone gives this process all.
func (s *split) alone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		close(s.stop)
		s.stop = nil
	}
	s.bound(1)
	s.server.SetMost(s.plan.Alone())
}

// bound sets what is no connection.
func (s *split) bound(share float64) {
	debug.SetMemoryLimit(int64(memoryShare * share * float64(s.limits.MemoryMB<<20)))
	s.server.BoundOutput(int(share * outputShare * float64(s.limits.MemoryMB<<20)))
	s.replica.Share(share)
}

// follow bounds a process that is to replace another one. It is told how many connections are its.
func (s *split) follow() {
	s.bound(half)
	s.server.SetMost(s.plan.Waiting())
}

// told takes the older process's word on how many connections are this one's.
func (s *split) told(n int) { s.server.SetMost(n) }

// halve bounds a process whose successor is about to take clients, and goes on to tell the successor what is its.
func (s *split) halve(send func(*handover.Message)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound(half)
	s.plan.Begin()
	s.tell(send)
	if s.stop != nil { // its link was taken up anew
		close(s.stop)
	}
	s.stop = make(chan struct{})
	go s.keepTelling(s.stop, send)
}

// tell tells how many connections are the successor's, if they are more than before.
func (s *split) tell(send func(*handover.Message)) {
	if n, changed := s.plan.Give(s.server.SetMost(s.plan.Half())); changed {
		send(&handover.Message{Kind: handover.Share, N: int64(n)})
	}
}

func (s *split) keepTelling(stop chan struct{}, send func(*handover.Message)) {
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
			s.tell(send)
		}
		s.mu.Unlock()
	}
}
