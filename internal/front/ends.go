package front

import (
	"context"
	"log"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cairnlane/internal/decide/conns"
)

const (
	sweepPeriod = 250 * time.Millisecond
	// victimsMost bounds the connections that are looked at to make room for one.
	victimsMost = 16
	// fenceTime is the longest that a look may be old when a connection is closed on it: a request that crosses
	// a close within 50 ms is sent again.
	fenceTime = 20 * time.Millisecond
	// backlogTime bounds the wait for connections that the kernel has accepted and we have not.
	backlogTime = 50 * time.Millisecond
)

// All router connections are ended in this file, on the word of conns.Ending; a peer that ends its own side is
// netpoll's matter. Looking and deciding is one step under the session's lock, so that no call is taken between.

// look asks for an end, or carries one on, and tells what is to be done.
func (c *conn) look(why conns.Reason) conns.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed { // its descriptor may be another's by now
		return conns.Keep
	}
	var v conns.View
	if c.ending.State() != conns.Ended && why != conns.Broken {
		v = c.view(c.seen())
	}
	if why == conns.None {
		return c.ending.Step(c.now(), v)
	}
	return c.ending.Want(c.now(), why, v)
}

// seen fills in what stands outside of the session.
func (c *conn) seen() (v conns.View) {
	v.Kernel, v.Reader = c.line.input()
	v.Unsent = !c.out.Empty()
	v.Unacked = c.line.unacked()
	return v
}

// polledLine is a socket that netpoll reads.
type polledLine struct{ netpoll.Connection }

func (l polledLine) input() (kernel, reader int) {
	return queued(l.fd(), unix.SIOCINQ), l.Reader().Len()
}

func (l polledLine) unacked() int { return queued(l.fd(), unix.SIOCOUTQ) }

func (polledLine) polled() bool { return true }

func (l polledLine) halfClose() error { return syscall.Shutdown(l.fd(), syscall.SHUT_WR) }

func (l polledLine) fd() int {
	if f, ok := l.Connection.(interface{ Fd() int }); ok {
		return f.Fd()
	}
	return -1
}

// queued asks the kernel for a queue's length. An error counts as 1: what cannot be looked at is not closed as quiet.
func queued(fd int, what uint) int {
	n, err := unix.IoctlGetInt(fd, what)
	if err != nil {
		return 1
	}
	return n
}

// want asks for an end and carries out what is decided. No lock is held by the caller.
func (s *Server) want(c *conn, why conns.Reason) { s.act(c, c.look(why)) }

// act carries out a decision.
func (s *Server) act(c *conn, a conns.Action) {
	switch a {
	case conns.HalfClose:
		c.mu.Lock()
		if !c.closed {
			if err := c.line.halfClose(); err != nil {
				log.Print("end our side of a router connection: ", err)
			}
		}
		c.mu.Unlock()
	case conns.Close:
		c.mu.Lock()
		first := !c.shut
		c.shut = true
		c.mu.Unlock()
		if first {
			s.count.ended[c.ending.Reason()].Inc() // which stays as it is now
			c.line.Close()
		}
	}
}

// hasten has the sweep come at once.
func (s *Server) hasten() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// makeRoom tells whether one more connection may be held. When the table is full, one that is missed least is
// closed, which guards against clients that hold connections for nothing and would shut the routers out. Called by the
// poller, whose hands are empty then, it needs no fence.
func (s *Server) makeRoom(poller bool) bool {
	for range victimsMost {
		s.mu.Lock()
		victim, room := s.victim(poller)
		s.mu.Unlock()
		if victim == nil {
			return room
		}
		if room {
			s.act(victim, conns.Close)
			return true
		}
		if !s.fence.pass(fenceTime) {
			return false
		}
		if s.look(victim) {
			return true
		}
	}
	return false
}

// SetMost changes how many connections may be held, and ends as many as it takes of those that are missed least. It
// tells how many are left: those that are in use are not ended, and go as they become quiet.
func (s *Server) SetMost(most int) (left int) {
	s.mu.Lock()
	s.table.SetMost(most)
	s.mu.Unlock()
	s.shrink()
	return s.Connections()
}

// shrink ends connections while the table holds more than it may.
func (s *Server) shrink() {
	s.mu.Lock()
	over := s.table.Over()
	s.mu.Unlock()
	for range over {
		s.mu.Lock()
		victim, sure := s.victim(false)
		s.mu.Unlock()
		switch {
		case victim == nil:
			return
		case sure:
			s.act(victim, conns.Close)
		case !s.fence.pass(fenceTime):
			return
		default:
			s.look(victim)
		}
	}
}

// look closes a victim if it is still quiet.
func (s *Server) look(victim *conn) bool {
	if victim.look(conns.Evicted) != conns.Close {
		return false
	}
	s.mu.Lock()
	s.table.Remove(&victim.file)
	s.mu.Unlock()
	s.act(victim, conns.Close)
	return true
}

// victim finds the connection that makes room for a newcomer, if there has to be one. Without room it is one that has
// to be looked at once more, behind a fence. s.mu is held.
func (s *Server) victim(poller bool) (victim *conn, room bool) {
	if !s.table.Full() {
		return nil, true
	}
	tried := 0
	for f := range s.table.Victims(s.now(), func(f *conns.Conn) conns.Use { return f.Owner.(*conn).use() }) {
		c := f.Owner.(*conn)
		if c.line.polled() && !poller {
			if c.mayGo() {
				return c, false
			}
		} else if c.look(conns.Evicted) == conns.Close {
			s.table.Remove(f)
			return c, true
		}
		if tried++; tried == victimsMost {
			break
		}
	}
	return nil, false
}

// mayGo is the look before a fence: whether it is worth one.
func (c *conn) mayGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.ending.State() != conns.Serving {
		return true
	}
	kernel, _ := c.line.input()
	return kernel == 0
}

// Sweep ends connections that are idle, overdue or on their way out, until ctx ends.
func (s *Server) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.kick:
		case <-ctx.Done():
			return
		}
		s.shrink()
		s.sweep(false)
	}
}

// sweep ends what is due, or with leaving all that is quiet. The looks that count are taken before the fence:
// the ones after it tell whether anything has moved since.
func (s *Server) sweep(leaving bool) {
	s.mu.Lock()
	closeIdle := s.closeIdle
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	type end struct {
		c   *conn
		why conns.Reason
	}
	var due []end
	for _, c := range all {
		why := c.due(closeIdle)
		switch {
		case why == conns.None && leaving:
			why = conns.Exit
		case why == conns.None:
			continue
		}
		if c.mayGo() {
			due = append(due, end{c, why})
		}
	}
	if len(due) == 0 {
		return
	}
	if !s.fence.pass(fenceTime) {
		return // the poller is busy; the next sweep looks again
	}
	for _, e := range due {
		s.want(e.c, e.why)
	}
}

// Leave stops the listening, so that routers are refused at once, and asks those connected to send
// nothing new. The listening socket is shut down rather than closed: netpoll closes its descriptor
// twice, which could hit a connection that has got the same number in between. Connections that the kernel
// has accepted are taken first; they may carry whole requests, and a shutdown would reset them.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true // who comes from now on is asked to part when it has come
	s.mu.Unlock()
	for end := time.Now().Add(s.backlogTime); s.backlog() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if l, ok := s.ln.(*sharedListener); ok {
		l.stop() // the platform holds the socket; who comes now waits for the next process
	} else if err := syscall.Shutdown(s.ln.Fd(), syscall.SHUT_RD); err != nil {
		log.Print("stop listening: ", err)
	}
	s.partAll()
}

// HandOver takes no more connections at a shared listener, whose other holders take them from now on, and asks those
// connected to send nothing new. What was accepted before is served until its routers go.
func (s *Server) HandOver() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if l, ok := s.ln.(*sharedListener); ok {
		l.stop()
	}
	s.partAll()
}

// partAll asks all who are connected to part.
func (s *Server) partAll() {
	s.mu.Lock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.part()
	}
}

// backlog tells whether a connection waits to be accepted.
func (s *Server) backlog() bool {
	fds := []unix.PollFd{{Fd: int32(s.ln.Fd()), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
}

// Close ends all connections as they become quiet and tells whether none is left. It is called again until
// then, or until time is up.
func (s *Server) Close() bool {
	s.sweep(true)
	return s.Connections() == 0
}
