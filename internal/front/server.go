// Package front implements the routers' side of a replica: the listeners, the router connections, and the
// translation between Thrift calls and the requests and answers of package replica.
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

// Core handles requests and health checks. The replica implements it.
type Core interface {
	Arrive(q replica.Request) error
	CallerGone(txn string) // the router has stopped waiting for this attempt
	CountMalformed()       // a malformed call was received
	Healthy() bool
	CurrentSignal() replica.Signal
}

const (
	// maxOutput bounds the unsent output of a connection. It is larger than the answers to conns.MaxUnanswered calls.
	maxOutput = 512 << 10
	// minWriteTimeout is the lower bound of the write timeout, see SetMaxWait.
	minWriteTimeout = time.Minute
	// readBuffer is the size of the kernel's receive buffer of a connection, and maxFeed bounds the input that is
	// parsed at once. Without them, 60 MB sent by a client would be buffered before its first bytes are checked.
	readBuffer = 64 << 10
	maxFeed    = 32 << 10
)

// Server accepts router connections.
type Server struct {
	core           Core
	now            func() time.Duration
	maxConns       int
	ln             netpoll.Listener
	loop           netpoll.EventLoop
	garbageLog     rate.Sometimes // limits the log lines about unreadable input, which a client can cause at full speed
	count          serverCounts
	fence          *fence
	sweepNow       chan struct{} // requests a sweep before the next tick
	removed        chan struct{} // signals that a connection was removed
	backlogTimeout time.Duration // the longest wait for connections that the kernel has accepted

	output outbox.SharedLimit // the unsent output of all connections

	mu          sync.Mutex
	conns       map[*conn]struct{}
	table       *conns.Table
	idleTimeout time.Duration // 0 disables closing of idle connections
	draining    bool

	writeTimeout atomic.Int64 // in nanoseconds
}

// conn is one router connection.
type conn struct {
	*session
	transport transport
	out       *outbox.Buffer
	entry     conns.Conn // its entry in the table
	closing   bool       // the transport is being closed; guarded by the session's lock
}

// transport is the byte stream below a connection: a socket that netpoll reads, or TLS.
type transport interface {
	// input returns the bytes of input that are in the kernel, and those that are read but not yet handed to the session.
	input() (kernel, reader int)
	// unacked returns the bytes of output that the peer's kernel has not acknowledged.
	unacked() int
	// polled reports whether the poller may hold input that neither the kernel nor the reader shows.
	polled() bool
	halfClose() error
	Close() error
}

// Listen opens a listener at addr. The server holds at most maxConns connections.
func Listen(addr string, maxConns int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	return newServer(ln, ln.Fd(), maxConns, core, now, set)
}

// Inherit is like Listen, but uses the listening socket at descriptor fd, which other processes may hold as well.
func Inherit(fd, maxConns int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	ln, err := inherit(fd)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: %w", err)
	}
	return newServer(ln, ln.Listener.Fd(), maxConns, core, now, set)
}

func newServer(ln netpoll.Listener, socket, maxConns int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: receive buffer: %w", err)
	}
	s := &Server{core: core, now: now, maxConns: maxConns, ln: ln, count: newServerCounts(set), conns: map[*conn]struct{}{},
		table: conns.NewTable(conns.DefaultLimits(maxConns)), sweepNow: make(chan struct{}, 1), removed: make(chan struct{}, 1), backlogTimeout: backlogTimeout, garbageLog: rate.Sometimes{First: 3, Interval: time.Second}}
	s.SetMaxWait(0)
	// With a single poller, code that runs in prepare, or after a fence has passed through the poller, knows that
	// the poller holds no input (see conns.View).
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

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve() error { return s.loop.Serve(newPollListener(s.ln, s.count.rejected)) }

type connKey struct{}

// prepare sets up a connection before anything is read from it. The poller calls it.
func (s *Server) prepare(nc netpoll.Connection) context.Context {
	ctx := context.Background()
	if !s.makeRoom(true) {
		s.count.rejected.Inc()
		nc.Close() // nothing was read from it, so no request has run and the router repeats it
		return ctx
	}
	nc.SetWriteTimeout(time.Duration(s.writeTimeout.Load()))
	c := s.add(polledTransport{nc}, nc)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		s.remove(c) // runs before the descriptor is closed, as netpoll calls the callbacks in reverse order
		return nil
	})
	return context.WithValue(ctx, connKey{}, c)
}

// add registers a connection whose output is written to sink.
func (s *Server) add(l transport, sink io.Writer) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.accepted.Inc()
	c := &conn{transport: l}
	c.entry.Owner = c
	c.out = outbox.New(sink, maxOutput, &s.output, func(error) { s.requestClose(c, conns.Broken) })
	c.session = &session{core: s.core, now: s.now, acceptedAt: s.now(), lastUsed: s.now(), overLimit: s.count.callsOverLimit, send: func(encode func([]byte) []byte) {
		err := c.out.Put(func(dst []byte) []byte {
			before := len(dst)
			dst = encode(dst)
			s.count.bytesOut.Add(len(dst) - before)
			return dst
		})
		if err != nil && c.ending.Request(s.now(), conns.SlowReader, conns.View{}) == conns.Close {
			s.wakeSweep() // closing here could deadlock, as the sender may hold locks that a close takes
		}
	}}
	s.conns[c] = struct{}{}
	s.table.Add(&c.entry, c.lastUsed)
	if s.draining {
		c.sendGoaway()
	}
	return c
}

// remove unregisters a connection whose descriptor is about to be closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.table.Remove(&c.entry)
	s.mu.Unlock()
	select {
	case s.removed <- struct{}{}:
	default:
	}
	s.count.closed.Inc()
	c.markClosed()
	c.out.Close()
}

// read is netpoll's callback for new input on a connection.
func (s *Server) read(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nc.Close()
	}
	defer func() {
		if p := recover(); p != nil {
			assert.CountPanic("a router connection", p)
			s.requestClose(c, conns.Broken)
		}
	}()
	r := nc.Reader()
	if !c.enter() {
		return s.discard(c, r)
	}
	p, err := r.Next(min(r.Len(), maxFeed)) // netpoll calls read again while more input is buffered
	if err == nil {
		err = s.feed(c, p, nc.RemoteAddr())
	} else {
		c.exit()
	}
	return errors.Join(err, r.Release())
}

// feed passes input to the session, which must have been entered, and closes the connection if the input is malformed.
func (s *Server) feed(c *conn, p []byte, from net.Addr) error {
	s.count.bytesIn.Add(len(p))
	err := c.feed(p)
	c.exit()
	if err != nil { // malformed input closes this connection only
		s.garbageLog.Do(func() {
			log.Printf("router connection %v: %v; closing it (%d connections closed for malformed input so far)", from, err, s.count.ended[conns.Malformed].Load())
		})
		s.requestClose(c, conns.Malformed)
	}
	return err
}

// discard drops the input of a connection that is ending.
func (s *Server) discard(c *conn, r netpoll.Reader) error {
	n := r.Len()
	if err := r.Skip(n); err != nil {
		return err
	}
	s.countDiscarded(c, n)
	return r.Release()
}

// countDiscarded counts input that was dropped, and closes the connection at once when it exceeds the bound.
func (s *Server) countDiscarded(c *conn, n int) {
	c.mu.Lock()
	c.ending.Discard(n)
	c.mu.Unlock()
	s.apply(c, c.decide(conns.None))
}

// CloseIdle sets how long a connection may be idle before it is closed.
func (s *Server) CloseIdle(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleTimeout = after
}

// SetMaxWait sets the write timeout from the longest time that a router waits for an answer, so that a router that
// reads slowly is not disconnected while it still waits.
func (s *Server) SetMaxWait(longest time.Duration) {
	s.writeTimeout.Store(int64(max(minWriteTimeout, 2*longest)))
}

// LimitOutput sets how many bytes of unsent output all connections may hold together.
func (s *Server) LimitOutput(maxBytes int) { s.output.SetBound(maxBytes) }

// Connections returns the number of open router connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
