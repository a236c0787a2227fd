// Package front holds the routers' side: the listener, the router connections as objects with
// callbacks, and the translation of Thrift calls to neutral requests and answers.
package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/time/rate"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
	"cairnlane/internal/outbox"
	"cairnlane/internal/replica"
)

// Core takes requests and gives their answers. The replica is one.
type Core interface {
	Arrive(q replica.Request) error
	CallerGone(txn string) // the router has stopped waiting for this try
	CountMalformed()       // a call was malformed
	Healthy() bool
	CurrentSignal() replica.Signal
}

const (
	// outputBound is over what the answers to all calls of a connection can take.
	outputBound = 512 << 10
	// writeTimeout is how long a write may wait at the least, see Waits.
	writeTimeout = time.Minute
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
		accepted, turned, closed, bytesIn, bytesOut *counters.Counter
		ended                                       [conns.Reasons]*counters.Counter
	}
	fence       *fence
	kick        chan struct{} // an end is asked for that should not wait for the sweep
	backlogTime time.Duration // the longest wait for what the kernel has accepted

	output outbox.Account // what waits for all that do not read

	mu        sync.Mutex
	conns     map[*conn]struct{}
	table     *conns.Table
	closeIdle time.Duration // 0 leaves idle connections to the routers
	leaving   bool

	patience atomic.Int64 // how long a write may wait
}

// conn is one router connection.
type conn struct {
	*session
	line line
	out  *outbox.Box
	file conns.Conn // its place in the table
	shut bool       // the close is being carried out; guarded by the session's lock
}

// line is what a connection stands on: a socket that netpoll reads, or TLS.
type line interface {
	// input tells what stands unread: in the kernel, and read but not yet handed to the session.
	input() (kernel, reader int)
	// unacked tells what of the output the peer's kernel has not taken.
	unacked() int
	// polled tells whether the poller may have input in its hands that cannot be seen.
	polled() bool
	halfClose() error
	Close() error
}

// Listen opens the listener at addr. At most so many connections are accepted.
func Listen(addr string, most int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	return newServer(ln, ln.Fd(), most, core, now, set)
}

// Inherit takes the listening socket at a descriptor, which other processes may hold as well, in place of an address.
func Inherit(fd, most int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	ln, err := inherit(fd)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: %w", err)
	}
	return newServer(ln, ln.Listener.Fd(), most, core, now, set)
}

func newServer(ln netpoll.Listener, socket, most int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: receive buffer: %w", err)
	}
	s := &Server{core: core, now: now, most: most, ln: ln, conns: map[*conn]struct{}{},
		table: conns.NewTable(conns.DefaultLimits(most)), kick: make(chan struct{}, 1), backlogTime: backlogTime, noise: rate.Sometimes{First: 3, Interval: time.Second}}
	s.Waits(0)
	for r := range s.count.ended {
		s.count.ended[r] = set.Get("connections_ended_" + conns.Reason(r).String())
	}
	s.count.accepted, s.count.turned = set.Get("connections_accepted"), set.Get("connections_over_limit")
	s.count.closed = set.Get("connections_closed")
	s.count.bytesIn, s.count.bytesOut = set.Get("bytes_in"), set.Get("bytes_out")
	// One poller: that it stands in prepare, or that a fence has passed through it, says then that no input is
	// in its hands (see conns.View).
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1}); err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	if s.fence, err = newFence(); err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	s.loop, err = netpoll.NewEventLoop(s.read, netpoll.WithOnPrepare(s.prepare))
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	return s, nil
}

// Addr is the address that the listener got.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve() error { return s.loop.Serve(newAccepting(s.ln, s.count.turned)) }

type connKey struct{}

// prepare sets up a connection before anything is read from it. It is called by the poller.
func (s *Server) prepare(nc netpoll.Connection) context.Context {
	ctx := context.Background()
	if !s.makeRoom(true) {
		s.count.turned.Inc()
		nc.Close() // nothing of it was read, so nothing was run
		return ctx
	}
	nc.SetWriteTimeout(time.Duration(s.patience.Load()))
	c := s.add(polledLine{nc}, nc)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		s.remove(c) // before the descriptor is closed, as the callbacks are called last to first
		return nil
	})
	return context.WithValue(ctx, connKey{}, c)
}

// add enters a connection whose output goes to sink.
func (s *Server) add(l line, sink io.Writer) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.accepted.Inc()
	c := &conn{line: l}
	c.file.Owner = c
	c.out = outbox.New(sink, outputBound, &s.output, func(error) { s.want(c, conns.Broken) })
	c.session = &session{core: s.core, now: s.now, began: s.now(), used: s.now(), send: func(encode func([]byte) []byte) {
		err := c.out.Put(func(dst []byte) []byte {
			before := len(dst)
			dst = encode(dst)
			s.count.bytesOut.Add(len(dst) - before)
			return dst
		})
		if err != nil && c.ending.Want(s.now(), conns.Deaf, conns.View{}) == conns.Close {
			s.hasten() // the sender may hold locks that a close takes
		}
	}}
	s.conns[c] = struct{}{}
	s.table.Add(&c.file, c.used)
	if s.leaving {
		c.part()
	}
	return c
}

// remove takes out a connection whose descriptor is about to be closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.table.Remove(&c.file)
	s.mu.Unlock()
	s.count.closed.Inc()
	c.end()
	c.out.Close()
}

// read is netpoll's callback: something has come in on a connection.
func (s *Server) read(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nc.Close()
	}
	defer func() {
		if p := recover(); p != nil {
			assert.Panicked("a router connection", p)
			s.want(c, conns.Broken)
		}
	}()
	r := nc.Reader()
	if !c.enter() {
		return s.discard(c, r)
	}
	p, err := r.Next(min(r.Len(), chunk)) // called again while there is more
	if err == nil {
		err = s.feed(c, p, nc.RemoteAddr())
	} else {
		c.exit()
	}
	return errors.Join(err, r.Release())
}

// feed hands input to a session that was entered, and ends the connection if it cannot be read.
func (s *Server) feed(c *conn, p []byte, from net.Addr) error {
	s.count.bytesIn.Add(len(p))
	err := c.feed(p)
	c.exit()
	if err != nil { // garbage ends this connection only
		s.noise.Do(func() {
			log.Printf("router connection %v: %v (%d ended so by now)", from, err, s.count.ended[conns.Garbage].Load())
		})
		s.want(c, conns.Garbage)
	}
	return err
}

// discard throws away what came in on a connection that ends.
func (s *Server) discard(c *conn, r netpoll.Reader) error {
	n := r.Len()
	if err := r.Skip(n); err != nil {
		return err
	}
	s.thrown(c, n)
	return r.Release()
}

// thrown counts input that was thrown away, and ends the connection at once when it is too much.
func (s *Server) thrown(c *conn, n int) {
	c.mu.Lock()
	c.ending.Discard(n)
	c.mu.Unlock()
	s.act(c, c.look(conns.None))
}

// CloseIdle sets how long a connection may carry nothing before it is closed.
func (s *Server) CloseIdle(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle = after
}

// Waits tells the longest time that a router waits for an answer: one that reads slowly must not lose it before.
func (s *Server) Waits(longest time.Duration) { s.patience.Store(int64(max(writeTimeout, 2*longest))) }

// BoundOutput sets how many bytes may wait to be written to all connections together.
func (s *Server) BoundOutput(most int) { s.output.Bound(most) }

// Connections tells how many router connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
