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
	d := &Listener{replica: r, now: now, ln: ln}
	d.count.calls, d.count.rejected = set.Get("operator_calls"), set.Get("operator_calls_refused")
	d.count.evicted, d.count.timedOut = set.Get("operator_callers_evicted"), set.Get("operator_callers_late")
	if d.loop, err = netpoll.NewEventLoop(d.read, netpoll.WithOnPrepare(d.prepare)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return d, nil
}

// Addr returns the address of the listener.
func (d *Listener) Addr() string { return d.ln.Addr().String() }

// Serve accepts connections until Close.
func (d *Listener) Serve() error { return d.loop.Serve(d.ln) }

// prepare registers a connection; the poller calls it.
func (d *Listener) prepare(nc netpoll.Connection) context.Context {
	c := &caller{Connection: nc, acceptedAt: d.now()}
	d.mu.Lock()
	var oldest *caller
	if len(d.callers) >= MaxConnections {
		oldest = d.callers[0]
		d.remove(oldest)
	}
	d.callers = append(d.callers, c)
	d.mu.Unlock()
	if oldest != nil {
		d.count.evicted.Inc()
		oldest.Close()
	}
	nc.AddCloseCallback(func(netpoll.Connection) error {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.remove(c)
		return nil
	})
	return context.WithValue(context.Background(), callerKey{}, c)
}

// remove removes a connection from the list; d.mu is held.
func (d *Listener) remove(c *caller) {
	for i, o := range d.callers {
		if o == c {
			d.callers = append(d.callers[:i], d.callers[i+1:]...)
			return
		}
	}
}

// read is netpoll's callback for new input on a connection.
func (d *Listener) read(ctx context.Context, nc netpoll.Connection) error {
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
	if a := c.session.feed(p, d.replica); a != nil {
		d.count.calls.Inc()
		if a[0] == 'N' {
			d.count.rejected.Inc()
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
func (d *Listener) Sweep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Listener) sweep() {
	d.mu.Lock()
	var expired []*caller
	for len(d.callers) > 0 && d.now()-d.callers[0].acceptedAt >= connectionTimeout {
		expired = append(expired, d.callers[0])
		d.callers = d.callers[1:]
	}
	d.mu.Unlock()
	for _, c := range expired {
		d.count.timedOut.Inc()
		c.Close()
	}
}

// Close closes the listener and all connections.
func (d *Listener) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.loop.Shutdown(ctx)
}
