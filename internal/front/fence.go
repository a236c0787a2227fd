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

// fence waits until the poller has handled all events that it held at some moment. It writes a byte to a socket that the
// poller watches. The poller sees the byte in a later round only, as the events of a round are fixed when it begins.
type fence struct {
	writeEnd int
	nc       netpoll.Connection
	mu       sync.Mutex // serializes wait
	written  int64
	received atomic.Int64 // bytes read by the poller; a count, as a byte may arrive after its wait has timed out
	progress chan struct{}
}

func newFence() (*fence, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("fence: %w", err)
	}
	f := &fence{writeEnd: pair[0], progress: make(chan struct{}, 1)}
	if f.nc, err = netpoll.NewFDConnection(pair[1]); err != nil {
		unix.Close(pair[0])
		unix.Close(pair[1])
		return nil, fmt.Errorf("fence: %w", err)
	}
	if err := f.nc.SetOnRequest(f.receive); err != nil {
		return nil, fmt.Errorf("fence: %w", err)
	}
	return f, nil
}

func (f *fence) receive(_ context.Context, nc netpoll.Connection) error {
	r := nc.Reader()
	n := r.Len()
	if err := r.Skip(n); err != nil {
		return err
	}
	f.received.Add(int64(n))
	select {
	case f.progress <- struct{}{}:
	default:
	}
	return r.Release()
}

// wait returns once the poller has completed a round. It returns false after the timeout.
func (f *fence) wait(timeout time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := unix.Write(f.writeEnd, []byte{0}); err != nil {
		return false
	}
	f.written++
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for f.received.Load() < f.written {
		select {
		case <-f.progress:
		case <-timer.C:
			return false
		}
	}
	return true
}
