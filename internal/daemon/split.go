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

// sharePeriod is how often the older process tells the newer one what it has freed since.
const sharePeriod = 100 * time.Millisecond

// split keeps the two processes of a replacement within the limits of one: from the moment at which the new one is about
// to take clients until one of them has ended, each has half. The older one frees what is over its half as it becomes
// quiet, and leaves the rest to the newer one.
type split struct {
	limits  settings.Limits
	server  *front.Server
	replica *replica.Replica

	mu    sync.Mutex
	stop  chan struct{} // ends the telling; nil while this process is alone
	given int           // connections that the newer process was told it may hold
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
	s.server.SetMost(mostConnections(s.limits.Sockets, 1))
}

// bound sets what is no connection.
func (s *split) bound(share float64) {
	debug.SetMemoryLimit(int64(memoryShare * share * float64(s.limits.MemoryMB<<20)))
	s.replica.Share(share)
}

// mostConnections is what so many processes together may hold, beside the descriptors that each needs for itself.
func mostConnections(sockets, processes int) int {
	return max(sockets-processes*spareSockets, processes)
}

// follow bounds a process that is to replace another one. It is told how many connections are its.
func (s *split) follow() {
	s.bound(0.5)
	s.server.SetMost(1)
}

// told takes the older process's word on how many connections are this one's.
func (s *split) told(n int) { s.server.SetMost(n) }

// halve bounds a process whose successor is about to take clients, and goes on to tell the successor what is its.
func (s *split) halve(send func(*handover.Message)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound(0.5)
	s.given = 0
	s.tell(send)
	if s.stop != nil { // its link was taken up anew
		close(s.stop)
	}
	s.stop = make(chan struct{})
	go s.keepTelling(s.stop, send)
}

// tell tells how many connections are the successor's, if they are more than before.
func (s *split) tell(send func(*handover.Message)) {
	all := mostConnections(s.limits.Sockets, 2)
	left := s.server.SetMost(all / 2)
	if n := all - max(left, all/2); n > s.given || s.given == 0 {
		s.given = max(n, 1)
		send(&handover.Message{Kind: handover.Share, N: int64(s.given)})
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
