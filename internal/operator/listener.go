package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
)

const (
	// MaxConnections bounds the connections of the admin listener. A new connection above it evicts the oldest, so that unused
	// connections cannot keep a caller from connecting.
	MaxConnections = 16
	// connectionTimeout bounds the lifetime of a connection, answered or not. Callers need milliseconds.
	connectionTimeout = 10 * time.Second
	// writeTimeout bounds the write of an answer, for which the send buffer of a new connection has room.
	writeTimeout = time.Second
	// acceptRetryDelay is the wait after a failed accept, for example without a free descriptor.
	acceptRetryDelay = 5 * time.Millisecond
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 256
	// maxDiscard bounds the input that is read and dropped after a call, so that the caller can read the whole answer.
	maxDiscard = 64 << 10
)

// Listener is the admin listener: it serves operators' calls at an address of its own. Each connection has a goroutine that reads
// no faster than it processes, so callers that send at full speed wait.
type Listener struct {
	replica Replica
	now     func() time.Duration
	ln      net.Listener
	count   struct{ calls, rejected, evicted, timedOut *counters.Counter }

	mu      sync.Mutex
	callers []*caller // oldest first
	closed  bool
}

// caller is one connection.
type caller struct {
	net.Conn
	acceptedAt time.Duration
}

// Listen opens the admin listener at addr.
func Listen(addr string, r Replica, now func() time.Duration, set *counters.Set) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for operators at %q (control): %w", addr, err)
	}
	l := &Listener{replica: r, now: now, ln: ln}
	l.count.calls, l.count.rejected = set.Get("operator_calls"), set.Get("operator_calls_refused")
	l.count.evicted, l.count.timedOut = set.Get("operator_callers_evicted"), set.Get("operator_callers_late")
	return l, nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve accepts connections until Close.
func (l *Listener) Serve() error {
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.add(conn); c != nil {
			go l.serve(c)
		}
	}
}

// add registers a connection, and closes the oldest one if there are too many. It returns nil once the listener is closed.
func (l *Listener) add(conn net.Conn) *caller {
	c := &caller{Conn: conn, acceptedAt: l.now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return nil
	}
	if len(l.callers) >= MaxConnections {
		oldest := l.callers[0]
		l.callers = l.callers[1:]
		l.count.evicted.Inc()
		oldest.Close()
	}
	l.callers = append(l.callers, c)
	return c
}

// remove removes a connection from the list.
func (l *Listener) remove(c *caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers = slices.DeleteFunc(l.callers, func(o *caller) bool { return o == c })
}

// serve answers the call on a connection, and reads the connection to its end, so that the close does not discard the answer.
func (l *Listener) serve(c *caller) {
	defer c.Close()
	defer l.remove(c)
	defer func() {
		if p := recover(); p != nil {
			assert.CountPanic("the admin listener", p)
		}
	}()
	answer, err := l.readCall(c)
	if err != nil {
		return
	}
	l.count.calls.Inc()
	if answer[0] == 'N' {
		l.count.rejected.Inc()
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(answer); err != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // a caller that reads to the end has the whole answer; it may be gone
	}
	_, _ = io.CopyN(io.Discard, c, maxDiscard)
}

// readCall reads until the call is complete and returns its answer.
func (l *Listener) readCall(c *caller) (answer []byte, err error) {
	var s session
	buf := make([]byte, readBuffer)
	for answer == nil {
		n, err := c.Read(buf)
		if answer = s.feed(buf[:n], l.replica); answer == nil && err != nil {
			return nil, err
		}
	}
	return answer, nil
}

// Sweep closes the connections that exceed their lifetime, until ctx is done.
func (l *Listener) Sweep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Listener) sweep() {
	l.mu.Lock()
	var expired []*caller
	for len(l.callers) > 0 && l.now()-l.callers[0].acceptedAt >= connectionTimeout {
		expired = append(expired, l.callers[0])
		l.callers = l.callers[1:]
	}
	l.mu.Unlock()
	for _, c := range expired {
		l.count.timedOut.Inc()
		c.Close()
	}
}

// Close closes the listener and all connections.
func (l *Listener) Close() {
	l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.callers {
		c.Close()
	}
}
