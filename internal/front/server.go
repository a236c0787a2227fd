// Package front holds the routers' side: the listener, the router connections as objects with
// callbacks, and the translation of Thrift calls to neutral requests and answers.
package front

import (
	"context"
	"fmt"
	"log"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/time/rate"

	"cairnlane/internal/counters"
	"cairnlane/internal/outbox"
	"cairnlane/internal/replica"
)

// Core takes requests and gives their answers. The replica is one.
type Core interface {
	Arrive(q replica.Request) error
	Turned() // a call was malformed
	Healthy() bool
	CurrentSignal() replica.Signal
}

const (
	// outputBound is over what the answers to all calls of a connection can take.
	outputBound = 512 << 10
	// writeTimeout is longer than any deadline: a router that reads slowly must not lose answers.
	writeTimeout = time.Minute
	sweepPeriod  = 250 * time.Millisecond
	// readBuffer is what the kernel holds of a connection that was not read yet, and chunk what is looked at
	// in one piece: a client that sends 60 MB must not have them gathered before its first bytes are judged.
	readBuffer = 64 << 10
	chunk      = 32 << 10
)

// Server accepts router connections.
type Server struct {
	core  Core
	now   func() time.Duration
	most  int
	ln    netpoll.Listener
	loop  netpoll.EventLoop
	noise rate.Sometimes // lines about garbage: clients that send it do so at full speed
	count struct {
		accepted, turned, closed, garbage, bytesIn, bytesOut, idle, overdue, evicted *counters.Counter
	}

	mu        sync.Mutex
	conns     map[netpoll.Connection]*conn
	closeIdle time.Duration // 0 leaves idle connections to the routers
	leaving   bool
}

// conn is one router connection.
type conn struct {
	*session
	out *outbox.Box
}

// Listen opens the listener at addr. At most so many connections are accepted.
func Listen(addr string, most int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	if err := syscall.SetsockoptInt(ln.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer); err != nil {
		return nil, fmt.Errorf("listen for routers: receive buffer: %w", err)
	}
	s := &Server{core: core, now: now, most: most, ln: ln, conns: map[netpoll.Connection]*conn{},
		noise: rate.Sometimes{First: 3, Interval: time.Second}}
	s.count.idle, s.count.overdue = set.Get("connections_closed_idle"), set.Get("connections_closed_overdue")
	s.count.evicted = set.Get("connections_closed_for_room")
	s.count.accepted, s.count.turned = set.Get("connections_accepted"), set.Get("connections_over_limit")
	s.count.closed, s.count.garbage = set.Get("connections_closed"), set.Get("connections_ended_for_garbage")
	s.count.bytesIn, s.count.bytesOut = set.Get("bytes_in"), set.Get("bytes_out")
	s.loop, err = netpoll.NewEventLoop(s.read, netpoll.WithOnPrepare(s.prepare))
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	return s, nil
}

// Addr is the address that the listener got.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve() error { return s.loop.Serve(s.ln) }

type connKey struct{}

// prepare sets up a connection before anything is read from it.
func (s *Server) prepare(nc netpoll.Connection) context.Context {
	ctx := context.Background()
	if !s.makeRoom() {
		s.count.turned.Inc()
		nc.Close()
		return ctx
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.accepted.Inc()
	nc.SetWriteTimeout(writeTimeout)
	c := &conn{}
	c.out = outbox.New(nc, outputBound, func(error) { nc.Close() })
	c.session = &session{core: s.core, now: s.now, began: s.now(), used: s.now(), send: func(encode func([]byte) []byte) {
		err := c.out.Put(func(dst []byte) []byte {
			before := len(dst)
			dst = encode(dst)
			s.count.bytesOut.Add(len(dst) - before)
			return dst
		})
		if err != nil {
			go nc.Close() // its callbacks take locks that the sender may hold
		}
	}}
	s.conns[nc] = c
	nc.AddCloseCallback(func(nc netpoll.Connection) error {
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
		s.count.closed.Inc()
		c.end()
		c.out.Close()
		return nil
	})
	if s.leaving {
		c.part()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// read is netpoll's callback: something has come in on a connection.
func (s *Server) read(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nc.Close()
	}
	r := nc.Reader()
	p, err := r.Next(min(r.Len(), chunk)) // called again while there is more
	if err == nil {
		s.count.bytesIn.Add(len(p))
		err = c.feed(p)
	}
	if err != nil { // garbage ends this connection only
		s.count.garbage.Inc()
		s.noise.Do(func() {
			log.Printf("router connection %v: %v (%d ended so by now)", nc.RemoteAddr(), err, s.count.garbage.Load())
		})
		nc.Close()
		return err
	}
	return r.Release()
}

// makeRoom tells whether one more connection may be held. When the table is full, the one that is least
// missed is closed: first those that have never carried a good call, then those that are idle longest. It
// guards against clients that hold connections for nothing and would shut the routers out.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	if len(s.conns) < s.most {
		s.mu.Unlock()
		return true
	}
	var least netpoll.Connection
	var of usage
	for nc, c := range s.conns {
		if u := c.usage(); !u.busy && (least == nil || of.good && !u.good || of.good == u.good && u.idle > of.idle) {
			least, of = nc, u
		}
	}
	delete(s.conns, least)
	s.mu.Unlock()
	if least == nil {
		return false
	}
	s.count.evicted.Inc()
	least.Close()
	return true
}

// CloseIdle sets how long a connection may carry nothing before it is closed.
func (s *Server) CloseIdle(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle = after
}

// Sweep closes connections that are idle or overdue until ctx ends.
func (s *Server) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, nc := range s.useless() {
			nc.Close()
		}
	}
}

// useless lists the connections that are to be closed now, and counts them.
func (s *Server) useless() []netpoll.Connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []netpoll.Connection
	for nc, c := range s.conns {
		switch u := c.usage(); {
		case u.overdue:
			s.count.overdue.Inc()
		case s.closeIdle > 0 && !u.busy && u.idle >= s.closeIdle && nc.Reader().Len() == 0:
			s.count.idle.Inc()
		default:
			continue
		}
		list = append(list, nc)
	}
	return list
}

// Leave stops the listening, so that routers are refused at once, and asks those connected to send
// nothing new. The listening socket is shut down rather than closed: netpoll closes its descriptor
// twice, which could hit a connection that has got the same number in between.
func (s *Server) Leave() {
	if err := syscall.Shutdown(s.ln.Fd(), syscall.SHUT_RD); err != nil {
		log.Print("stop listening: ", err)
	}
	s.mu.Lock()
	s.leaving = true
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.part()
	}
}

// Connections tells how many router connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Flushed tells whether all answers have been taken by their connections.
func (s *Server) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.out.Empty() {
			return false
		}
	}
	return true
}
