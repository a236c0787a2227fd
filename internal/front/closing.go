package front

import (
	"context"
	"log"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cairnlane/internal/decide/conns"
)

const (
	sweepPeriod = 250 * time.Millisecond
	// maxVictims bounds the connections that are examined to make room for one.
	maxVictims = 16
	// fenceTimeout bounds the age of an observation when a connection is closed because of it. Routers repeat a request that
	// crosses a close within 50 ms.
	fenceTimeout = 20 * time.Millisecond
	// removalTimeout bounds the wait for a connection that another goroutine is closing. The poller reads nothing meanwhile.
	removalTimeout = 10 * time.Millisecond
	// backlogTimeout bounds the wait for connections that the kernel has accepted but the server has not.
	backlogTimeout = 50 * time.Millisecond
)

// This file closes router connections as conns.Closing decides; netpoll handles connections that the peer closes.
// Observing a connection and deciding is one step under the session's lock, so that no call is accepted in between.

// decide requests a close for a reason, or with conns.None continues one that has begun, and returns the action to apply.
func (c *conn) decide(reason conns.Reason) conns.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed { // the descriptor may have been reused by now
		return conns.Keep
	}
	var v conns.View
	if c.ending.State() != conns.Ended && reason != conns.Broken {
		v = c.view(c.observe())
	}
	if reason == conns.None {
		return c.ending.Step(c.now(), v)
	}
	return c.ending.Request(c.now(), reason, v)
}

// observe fills in the fields of a view that are outside of the session.
func (c *conn) observe() (v conns.View) {
	v.Kernel, v.Reader = c.transport.input()
	v.Unsent = !c.out.Empty()
	v.Unacked = c.transport.unacked()
	return v
}

// polledTransport is a socket that netpoll reads.
type polledTransport struct{ netpoll.Connection }

func (l polledTransport) input() (kernel, reader int) {
	return queueLength(l.fd(), unix.SIOCINQ), l.Reader().Len()
}

func (l polledTransport) unacked() int { return queueLength(l.fd(), unix.SIOCOUTQ) }

func (polledTransport) polled() bool { return true }

func (l polledTransport) halfClose() error { return syscall.Shutdown(l.fd(), syscall.SHUT_WR) }

func (l polledTransport) fd() int {
	if f, ok := l.Connection.(interface{ Fd() int }); ok {
		return f.Fd()
	}
	return -1
}

// queueLength returns the length of a socket queue of the kernel. It returns 1 on an error, so that a connection whose queue is
// unknown is not closed as quiet.
func queueLength(fd int, request uint) int {
	n, err := unix.IoctlGetInt(fd, request)
	if err != nil {
		return 1
	}
	return n
}

// requestClose requests a close and applies the decision. The caller holds no lock.
func (s *Server) requestClose(c *conn, reason conns.Reason) { s.apply(c, c.decide(reason)) }

// apply carries out an action.
func (s *Server) apply(c *conn, a conns.Action) {
	switch a {
	case conns.HalfClose:
		c.mu.Lock()
		if !c.closed {
			if err := c.transport.halfClose(); err != nil {
				log.Print("half-close a router connection: ", err)
			}
		}
		c.mu.Unlock()
	case conns.Close:
		c.mu.Lock()
		first := !c.closing
		c.closing = true
		c.mu.Unlock()
		if first {
			s.startClosing(c)
			s.count.ended[c.ending.Reason()].Inc() // the reason no longer changes
			c.transport.Close()
		}
	}
}

// wakeSweep makes the next sweep run at once.
func (s *Server) wakeSweep() {
	select {
	case s.sweepNow <- struct{}{}:
	default:
	}
}

// startClosing records in the table that a connection is being closed.
func (s *Server) startClosing(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.StartClosing(&c.entry)
}

// makeRoom reports whether one more connection may be held. When the table is full, it closes the least used
// connection, so that clients with unused connections cannot keep routers from connecting. When the poller calls it, no
// fence is needed, as the poller holds no input then.
func (s *Server) makeRoom(poller bool) bool {
	for range maxVictims {
		s.mu.Lock()
		full, needsVictim := s.table.Full(), s.table.NeedsVictim()
		victim, quiet := s.victim(poller)
		s.mu.Unlock()
		switch {
		case !full:
			return true
		case !needsVictim:
			return s.awaitRoom()
		case victim == nil:
			return false
		case quiet:
			s.apply(victim, conns.Close)
		case !s.fence.wait(fenceTimeout):
			return false
		default:
			s.evictIfQuiet(victim)
		}
	}
	return s.hasRoom()
}

// hasRoom reports whether the table has room for one more connection.
func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.table.Full()
}

// awaitRoom waits until a connection that is being closed has been removed, and reports whether there is room. Until then it
// holds its descriptor: a connection that a goroutine is still working on is closed by that goroutine.
func (s *Server) awaitRoom() bool {
	timer := time.NewTimer(removalTimeout)
	defer timer.Stop()
	for !s.hasRoom() {
		select {
		case <-s.removed:
		case <-timer.C:
			return s.hasRoom()
		}
	}
	return true
}

// SetMaxConnections changes the maximum number of connections, closes the least used ones above it and returns how many
// connections are left. Connections in use stay open above the maximum until they are quiet.
func (s *Server) SetMaxConnections(maxConns int) (left int) {
	s.mu.Lock()
	s.table.SetMax(maxConns)
	s.mu.Unlock()
	s.shrink()
	return s.Connections()
}

// shrink closes connections while the table holds more than its maximum.
func (s *Server) shrink() {
	s.mu.Lock()
	over := s.table.Excess()
	s.mu.Unlock()
	for range over {
		s.mu.Lock()
		victim, quiet := s.victim(false)
		s.mu.Unlock()
		switch {
		case victim == nil:
			return
		case quiet:
			s.apply(victim, conns.Close)
		case !s.fence.wait(fenceTimeout):
			return
		default:
			s.evictIfQuiet(victim)
		}
	}
}

// evictIfQuiet closes a victim if it is still quiet.
func (s *Server) evictIfQuiet(victim *conn) {
	if victim.decide(conns.Evicted) == conns.Close {
		s.apply(victim, conns.Close)
	}
}

// victim returns the connection to evict for a new one, or nil if there is no need or none is quiet. If quiet is
// false, the victim must be examined once more after a fence. s.mu is held.
func (s *Server) victim(poller bool) (victim *conn, quiet bool) {
	if !s.table.NeedsVictim() {
		return nil, false
	}
	checked := 0
	for f := range s.table.Victims(s.now(), func(f *conns.Conn) conns.Use { return f.Owner.(*conn).use() }) {
		c := f.Owner.(*conn)
		if c.transport.polled() && !poller {
			if c.worthFence() {
				return c, false
			}
		} else if c.decide(conns.Evicted) == conns.Close {
			s.table.StartClosing(f)
			return c, true
		}
		if checked++; checked == maxVictims {
			break
		}
	}
	return nil, false
}

// worthFence reports whether the connection may turn out to be quiet, so that waiting for a fence is useful.
func (c *conn) worthFence() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.ending.State() != conns.Serving {
		return true
	}
	kernel, _ := c.transport.input()
	return kernel == 0
}

// Sweep closes connections that are idle, overdue or ending, periodically until ctx is done.
func (s *Server) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.sweepNow:
		case <-ctx.Done():
			return
		}
		s.shrink()
		s.sweep(false)
	}
}

// sweep closes the connections that are due, or all quiet ones if exiting. It examines them before the fence and again
// after it: only then is it certain that the poller holds no input of theirs.
func (s *Server) sweep(exiting bool) {
	s.mu.Lock()
	closeIdle := s.idleTimeout
	s.mu.Unlock()
	type closeRequest struct {
		c      *conn
		reason conns.Reason
	}
	var due []closeRequest
	for _, c := range s.openConnections() {
		reason := c.due(closeIdle)
		switch {
		case reason == conns.None && exiting:
			reason = conns.Exit
		case reason == conns.None:
			continue
		}
		if c.worthFence() {
			due = append(due, closeRequest{c, reason})
		}
	}
	if len(due) == 0 {
		return
	}
	if !s.fence.wait(fenceTimeout) {
		return // the poller is busy; the next sweep retries
	}
	for _, r := range due {
		s.requestClose(r.c, r.reason)
	}
}

// Drain stops listening, so that new connections are rejected at once, and sends goaway on the open ones. The
// listening socket is shut down rather than closed: netpoll closes its descriptor twice, and the second close could
// hit a connection that has got the same descriptor in between. Connections that the kernel has accepted are accepted
// first: they may carry complete requests, and a shutdown would reset them.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true // add sends goaway on connections from now on
	s.mu.Unlock()
	for end := time.Now().Add(s.backlogTimeout); s.backlog() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if l, ok := s.ln.(*sharedListener); ok {
		l.stop() // the platform holds the socket; new connections wait for the next process
	} else if err := syscall.Shutdown(s.ln.Fd(), syscall.SHUT_RD); err != nil {
		log.Print("stop listening: ", err)
	}
	s.sendGoaways()
}

// HandOver stops accepting at a shared listener, whose other holders accept from now on, and sends goaway on the open
// connections. They are served until their routers close them.
func (s *Server) HandOver() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	if l, ok := s.ln.(*sharedListener); ok {
		l.stop()
	}
	s.sendGoaways()
}

// sendGoaways sends goaway on all connections.
func (s *Server) sendGoaways() {
	for _, c := range s.openConnections() {
		c.sendGoaway()
	}
}

// openConnections returns the connections that are open now.
func (s *Server) openConnections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// backlog reports whether a connection waits to be accepted.
func (s *Server) backlog() bool {
	fds := []unix.PollFd{{Fd: int32(s.ln.Fd()), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
}

// CloseQuiet closes all quiet connections and reports whether none is left. The caller repeats it until then or until
// its deadline.
func (s *Server) CloseQuiet() bool {
	s.sweep(true)
	return s.Connections() == 0
}
