package front

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// fence shows that the poller has put down all that it held at some moment: a byte that was written after that
// moment is only seen in a later round of the poller, as the events of a round are fixed when it begins.
type fence struct {
	near    int // written to pass
	nc      netpoll.Connection
	mu      sync.Mutex // one passes at a time
	written int64
	seen    atomic.Int64 // bytes that have come through; counted, as one may come late, after its pass gave up
	moved   chan struct{}
}

func newFence() (*fence, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("fence: %w", err)
	}
	f := &fence{near: pair[0], moved: make(chan struct{}, 1)}
	if f.nc, err = netpoll.NewFDConnection(pair[1]); err != nil {
		unix.Close(pair[0])
		unix.Close(pair[1])
		return nil, fmt.Errorf("fence: %w", err)
	}
	if err := f.nc.SetOnRequest(f.arrived); err != nil {
		return nil, fmt.Errorf("fence: %w", err)
	}
	return f, nil
}

func (f *fence) arrived(_ context.Context, nc netpoll.Connection) error {
	r := nc.Reader()
	n := r.Len()
	if err := r.Skip(n); err != nil {
		return err
	}
	f.seen.Add(int64(n))
	select {
	case f.moved <- struct{}{}:
	default:
	}
	return r.Release()
}

// pass waits until the poller has gone round once. False means that it did not in time.
func (f *fence) pass(most time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := unix.Write(f.near, []byte{0}); err != nil {
		return false
	}
	f.written++
	late := time.NewTimer(most)
	defer late.Stop()
	for f.seen.Load() < f.written {
		select {
		case <-f.moved:
		case <-late.C:
			return false
		}
	}
	return true
}
