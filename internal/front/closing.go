package front

import (
	"context"
	"errors"
	"log"
	"maps"
	"net"
	"slices"
	"time"

	"cairnlane/internal/decide/conns"
)

const (
	sweepPeriod = 250 * time.Millisecond
	// maxVictims bounds the connections that are examined to make room for one.
	maxVictims = 16
	// removalTimeout bounds the wait for a connection that another goroutine is closing. Nothing is accepted meanwhile.
	removalTimeout = 500 * time.Millisecond
	// backlogTimeout bounds the wait for connections that the kernel has accepted but the server has not.
	backlogTimeout = 50 * time.Millisecond
)

// This file closes router connections as conns.Closing decides; the goroutine that reads a connection ends it when the peer has
// closed it. Observing a connection and deciding is one step under the session's lock, so that no call is accepted in between.

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
// connection, so that clients with unused connections cannot keep routers from connecting.
func (s *Server) makeRoom() bool {
	for range maxVictims {
		s.mu.Lock()
		needsVictim := s.table.NeedsVictim()
		victim := s.victim()
		s.mu.Unlock()
		if !needsVictim {
			break
		}
		if victim == nil {
			return false
		}
		s.apply(victim, conns.Close)
	}
	return s.awaitRoom()
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
	if s.hasRoom() {
		return true
	}
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
		victim := s.victim()
		s.mu.Unlock()
		if victim == nil {
			return
		}
		s.apply(victim, conns.Close)
	}
}

// victim returns the connection to close for a new one, or nil if there is no need or none is quiet. s.mu is held.
func (s *Server) victim() *conn {
	if !s.table.NeedsVictim() {
		return nil
	}
	checked := 0
	for f := range s.table.Victims(s.now(), func(f *conns.Conn) conns.Use { return f.Owner.(*conn).use() }) {
		c := f.Owner.(*conn)
		if c.decide(conns.Evicted) == conns.Close {
			s.table.StartClosing(f)
			return c
		}
		if checked++; checked == maxVictims {
			break
		}
	}
	return nil
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

// sweep closes the connections that are due, or all quiet ones if exiting.
func (s *Server) sweep(exiting bool) {
	s.mu.Lock()
	closeIdle := s.idleTimeout
	s.mu.Unlock()
	for _, c := range s.openConnections() {
		reason := c.due(closeIdle)
		if reason == conns.None && exiting {
			reason = conns.Exit
		}
		if reason != conns.None {
			s.requestClose(c, reason)
		}
	}
}

// Drain stops listening, so that new connections are rejected at once, and sends goaway on the open ones. Connections that the
// kernel has accepted are accepted first: they may carry complete requests, and closing the listener would reset them. A socket
// that the platform holds stays open, and its new connections wait for the next process.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true // add sends goaway on connections from now on
	s.mu.Unlock()
	for end := time.Now().Add(s.backlogTimeout); s.acceptor.waiting() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.stopListening()
	s.sendGoaways()
}

// HandOver stops accepting at a shared listener, whose other holders accept from now on, and sends goaway on the open
// connections. They are served until their routers close them.
func (s *Server) HandOver() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.stopListening()
	s.sendGoaways()
}

// stopListening closes the listener.
func (s *Server) stopListening() {
	if err := s.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Print("stop listening: ", err)
	}
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

// CloseQuiet closes all quiet connections and reports whether none is left. The caller repeats it until then or until
// its deadline.
func (s *Server) CloseQuiet() bool {
	s.sweep(true)
	return s.Connections() == 0
}
