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
	// Most bounds the connections of the door. Those who hold one for nothing cannot keep the next caller out: the
	// oldest makes room for it.
	Most = 16
	// holdTime is how long a connection may last, answered or not. Callers need milliseconds.
	holdTime = 10 * time.Second
)

// Door serves operators at an address of its own.
type Door struct {
	replica Replica
	now     func() time.Duration
	ln      netpoll.Listener
	loop    netpoll.EventLoop
	count   struct{ calls, refused, evicted, late *counters.Counter }

	mu    sync.Mutex
	order []*caller // oldest first
}

// caller is one connection.
type caller struct {
	netpoll.Connection
	session session
	since   time.Duration
}

type callerKey struct{}

// Listen opens the door at addr.
func Listen(addr string, r Replica, now func() time.Duration, set *counters.Set) (*Door, error) {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for operators at %q (control): %w", addr, err)
	}
	d := &Door{replica: r, now: now, ln: ln}
	d.count.calls, d.count.refused = set.Get("operator_calls"), set.Get("operator_calls_refused")
	d.count.evicted, d.count.late = set.Get("operator_callers_evicted"), set.Get("operator_callers_late")
	if d.loop, err = netpoll.NewEventLoop(d.read, netpoll.WithOnPrepare(d.prepare)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return d, nil
}

// Addr is the address that the listener got.
func (d *Door) Addr() string { return d.ln.Addr().String() }

// Serve takes callers until the process ends.
func (d *Door) Serve() error { return d.loop.Serve(d.ln) }

// prepare takes a caller in; the poller calls it.
func (d *Door) prepare(nc netpoll.Connection) context.Context {
	c := &caller{Connection: nc, since: d.now()}
	d.mu.Lock()
	var oldest *caller
	if len(d.order) >= Most {
		oldest = d.order[0]
		d.drop(oldest)
	}
	d.order = append(d.order, c)
	d.mu.Unlock()
	if oldest != nil {
		d.count.evicted.Inc()
		oldest.Close()
	}
	nc.AddCloseCallback(func(netpoll.Connection) error {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.drop(c)
		return nil
	})
	return context.WithValue(context.Background(), callerKey{}, c)
}

// drop takes a caller off the list; d.mu is held.
func (d *Door) drop(c *caller) {
	for i, o := range d.order {
		if o == c {
			d.order = append(d.order[:i], d.order[i+1:]...)
			return
		}
	}
}

// read is netpoll's callback: a caller has sent something.
func (d *Door) read(ctx context.Context, nc netpoll.Connection) error {
	c := ctx.Value(callerKey{}).(*caller)
	defer func() {
		if p := recover(); p != nil {
			assert.Panicked("the operators' door", p)
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
			d.count.refused.Inc()
		}
		reply(nc, a)
	}
	return r.Release()
}

// reply writes an answer, which any new connection has room for, and ends our side, so that a caller that reads to
// the end has it. It goes to the descriptor, which netpoll keeps open while the callback runs: netpoll's own writer
// fails for a caller that has ended its side behind the call.
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

// Sweep ends the connections that have lasted too long, until ctx ends.
func (d *Door) Sweep(ctx context.Context) {
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

func (d *Door) sweep() {
	d.mu.Lock()
	var late []*caller
	for len(d.order) > 0 && d.now()-d.order[0].since >= holdTime {
		late = append(late, d.order[0])
		d.order = d.order[1:]
	}
	d.mu.Unlock()
	for _, c := range late {
		d.count.late.Inc()
		c.Close()
	}
}

// Close ends the listening and all connections.
func (d *Door) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.loop.Shutdown(ctx)
}
