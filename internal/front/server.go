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
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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
	// readBuffer is the size of the kernel's receive buffer of a connection, and maxFeed bounds the input that is read and
	// processed at once. A client that sends more waits until it is processed, and other connections take turns with it.
	readBuffer = 64 << 10
	maxFeed    = 16 << 10
	// readersPerProcessor is the number of connections for each processor whose input may be processed at the same time.
	readersPerProcessor = 4
)

// Server accepts router connections.
type Server struct {
	core           Core
	now            func() time.Duration
	maxConns       int
	ln             *net.TCPListener
	acceptor       *spareListener // accepts from ln
	readBuffers    chan []byte    // one for each connection whose input may be processed at the same time; waiting connections take turns
	garbageLog     rate.Sometimes // limits the log lines about unreadable input, which a client can cause at full speed
	count          serverCounts
	sweepNow       chan struct{} // requests a sweep before the next tick
	removed        chan struct{} // signals that a connection was removed
	backlogTimeout time.Duration // the longest wait for connections that the kernel has accepted

	output outbox.SharedLimit // the unsent output of all connections

	accepting sync.Mutex // held while room is made for a connection and it is added, so that there is one acceptance at a time

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

// Listen opens a listener at addr. The server holds at most maxConns connections.
func Listen(addr string, maxConns int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	cfg := net.ListenConfig{KeepAlive: -1} // routers close idle connections, and the server closes those that they forget
	cfg.SetMultipathTCP(false)
	ln, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	return newServer(ln.(*net.TCPListener), maxConns, core, now, set)
}

// Inherit is like Listen, but uses the listening socket at descriptor fd, which other processes may hold as well.
func Inherit(fd, maxConns int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	ln, err := inherit(fd)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: %w", err)
	}
	return newServer(ln, maxConns, core, now, set)
}

func newServer(ln *net.TCPListener, maxConns int, core Core, now func() time.Duration, set *counters.Set) (*Server, error) {
	if err := setReceiveBuffer(ln); err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen for routers: receive buffer: %w", err)
	}
	s := &Server{core: core, now: now, maxConns: maxConns, ln: ln, count: newServerCounts(set), conns: map[*conn]struct{}{},
		table: conns.NewTable(conns.DefaultLimits(maxConns)), sweepNow: make(chan struct{}, 1), removed: make(chan struct{}, 1), backlogTimeout: backlogTimeout, garbageLog: rate.Sometimes{First: 3, Interval: time.Second}}
	readers := readersPerProcessor * runtime.GOMAXPROCS(0)
	s.readBuffers = make(chan []byte, readers)
	for range readers {
		s.readBuffers <- make([]byte, maxFeed)
	}
	s.acceptor = newSpareListener(ln, s.count.rejected)
	s.SetMaxWait(0)
	return s, nil
}

// setReceiveBuffer sets the kernel's receive buffer of the connections that a listener accepts.
func setReceiveBuffer(ln *net.TCPListener) error {
	sys, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	failed := sys.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
	})
	return errors.Join(failed, err)
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve accepts connections until the listener is closed. It returns the error that ends it, or nil if that was Drain or
// HandOver.
func (s *Server) Serve() error {
	defer s.acceptor.closeSpare()
	for {
		raw, err := s.acceptor.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept a router: %w", err)
		}
		s.accept(raw.(*net.TCPConn))
	}
}

// accept starts to serve a connection, or closes it if the table has no room for it.
func (s *Server) accept(raw *net.TCPConn) {
	w, err := newSocket(raw)
	if err != nil {
		raw.Close()
		return
	}
	c := s.admit(func() *conn { return s.add(w, deadlineWriter{w, &s.writeTimeout}) })
	if c == nil {
		raw.Close() // nothing was read from it, so no request has run and the router repeats it
		return
	}
	go s.serve(c, w)
}

// admit makes room for a connection and adds it. It returns nil if there is no room.
func (s *Server) admit(add func() *conn) *conn {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if !s.makeRoom() {
		s.count.rejected.Inc()
		return nil
	}
	return add()
}

// serve reads from a connection until it ends.
func (s *Server) serve(c *conn, w *socket) {
	defer w.Close()
	defer s.remove(c)
	for {
		if closed, err := w.await(); closed || err != nil {
			return
		}
		buf := <-s.readBuffers
		err := s.read(c, w, buf)
		s.endTurn(buf)
		if err != nil {
			return
		}
	}
}

// read reads and processes the input of a connection that is in the kernel, as much as the buffer holds. Once the peer has
// closed its side, what it wrote before is dropped: nobody reads the answers.
func (s *Server) read(c *conn, w *socket, buf []byte) error {
	if w.peerClosed() { // while the connection waited for its turn
		return io.EOF
	}
	entered := c.enter() // before anything is taken out of the kernel
	n, err := w.readAvailable(buf)
	switch {
	case err != nil || n == 0:
		c.exit()
		return err
	case !entered:
		s.countDiscarded(c, n)
	default:
		s.feed(c, buf[:n])
	}
	return nil
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

// remove unregisters a connection that has ended, and gives up the calls that are open on it. Its goroutine calls it.
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
	defer c.out.Close()
	defer s.recoverPanic(c)
	c.endCalls()
}

// recoverPanic makes a panic end one connection only. It is deferred around the calls of the core.
func (s *Server) recoverPanic(c *conn) {
	if p := recover(); p != nil {
		assert.CountPanic("a router connection", p)
		s.requestClose(c, conns.Broken)
	}
}

// endTurn ends a turn once all other goroutines that can run have had theirs. Without that, readers would hand their turns to each
// other within one time slice of the scheduler, and the engine's notices and the answers would wait for seconds.
func (s *Server) endTurn(buf []byte) {
	runtime.Gosched()
	s.readBuffers <- buf
}

// process takes a turn and processes input that was read from a connection.
func (s *Server) process(c *conn, p []byte) {
	turn := <-s.readBuffers
	defer s.endTurn(turn)
	if c.enter() {
		s.feed(c, p)
	} else {
		s.countDiscarded(c, len(p))
	}
}

// feed passes input to the session, which must have been entered. It closes the connection if the input is malformed, or if its
// handling panics.
func (s *Server) feed(c *conn, p []byte) {
	defer s.recoverPanic(c)
	s.count.bytesIn.Add(len(p))
	err := c.feed(p)
	c.exit()
	if err != nil { // malformed input closes this connection only
		s.garbageLog.Do(func() {
			log.Printf("router connection %v: %v; closing it (%d connections closed for malformed input so far)", c.transport.RemoteAddr(), err, s.count.ended[conns.Malformed].Load())
		})
		s.requestClose(c, conns.Malformed)
	}
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
