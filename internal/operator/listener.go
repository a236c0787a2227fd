package operator

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
)

const (
	// MaxConnections bounds the connections of the admin listener. A new connection above it evicts the oldest, so that unused
	// connections cannot keep a caller from connecting.
	MaxConnections = 16
	// connectionTimeout bounds the lifetime of a connection, answered or not. Callers need milliseconds.
	connectionTimeout = 10 * time.Second
)

// Listener is the admin listener: it serves operators' calls at an address of its own.
type Listener struct {
	replica Replica
	now     func() time.Duration
	ln      netpoll.Listener
	loop    netpoll.EventLoop
	count   struct{ calls, rejected, evicted, timedOut *counters.Counter }

	mu      sync.Mutex
	callers []*caller // oldest first
}

// caller is one connection.
type caller struct {
	netpoll.Connection
	session    session
	acceptedAt time.Duration
}

type callerKey struct{}

// Listen opens the admin listener at addr.
func Listen(addr string, r Replica, now func() time.Duration, set *counters.Set) (*Listener, error) {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for operators at %q (control): %w", addr, err)
	}
	l := &Listener{replica: r, now: now, ln: ln}
	l.count.calls, l.count.rejected = set.Get("operator_calls"), set.Get("operator_calls_refused")
	l.count.evicted, l.count.timedOut = set.Get("operator_callers_evicted"), set.Get("operator_callers_late")
	if l.loop, err = netpoll.NewEventLoop(l.read, netpoll.WithOnPrepare(l.prepare)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return l, nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve accepts connections until Close.
func (l *Listener) Serve() error { return l.loop.Serve(l.ln) }

// prepare registers a connection; the poller calls it.
func (l *Listener) prepare(nc netpoll.Connection) context.Context {
	c := &caller{Connection: nc, acceptedAt: l.now()}
	l.mu.Lock()
	var oldest *caller
	if len(l.callers) >= MaxConnections {
		oldest = l.callers[0]
		l.remove(oldest)
	}
	l.callers = append(l.callers, c)
	l.mu.Unlock()
	if oldest != nil {
		l.count.evicted.Inc()
		oldest.Close()
	}
	nc.AddCloseCallback(func(netpoll.Connection) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.remove(c)
		return nil
	})
	return context.WithValue(context.Background(), callerKey{}, c)
}

// remove removes a connection from the list; l.mu is held.
func (l *Listener) remove(c *caller) {
	for i, o := range l.callers {
		if o == c {
			l.callers = append(l.callers[:i], l.callers[i+1:]...)
			return
		}
	}
}

// read is netpoll's callback for new input on a connection.
func (l *Listener) read(ctx context.Context, nc netpoll.Connection) error {
	c := ctx.Value(callerKey{}).(*caller)
	defer func() {
		if p := recover(); p != nil {
			assert.CountPanic("the admin listener", p)
			nc.Close()
		}
	}()
	r := nc.Reader()
	p, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if a := c.session.feed(p, l.replica); a != nil {
		l.count.calls.Inc()
		if a[0] == 'N' {
			l.count.rejected.Inc()
		}
		reply(nc, a)
	}
	return r.Release()
}

// reply writes an answer, for which the send buffer of a new connection has room, and shuts down the write side, so
// that a caller that reads to the end has the whole answer. It writes to the descriptor, which netpoll keeps open
// during the callback: netpoll's own writer fails if the caller has shut down its write side after the call.
func reply(nc netpoll.Connection, a []byte) {
	f, ok := nc.(interface{ Fd() int })
	if !ok {
		return
	}
	if n, err := unix.Write(f.Fd(), a); err != nil || n < len(a) {
		nc.Close()
		return
	}
	_ = syscall.Shutdown(f.Fd(), syscall.SHUT_WR) // the caller may be gone
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
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.loop.Shutdown(ctx)
}
