// Package outbox buffers the output of a connection. Senders only append to the buffer, and one writer goroutine per
// connection combines all buffered output into one write. So a peer that reads slowly blocks only its own writer.
package outbox

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"cairnlane/internal/decide/conns"
)

// ErrFull is returned by Put when the unsent output has reached its bound, as the peer does not read.
var ErrFull = errors.New("outbox: the peer does not read")

// ErrClosed is returned by Put after Close or a failed write.
var ErrClosed = errors.New("outbox: closed")

// SharedLimit counts the unsent bytes of several buffers together. The zero value has no bound.
type SharedLimit struct{ size, bound atomic.Int64 }

// SetBound sets the bound on the bytes.
func (l *SharedLimit) SetBound(bytes int) { l.bound.Store(int64(bytes)) }

// Size returns the number of unsent bytes.
func (l *SharedLimit) Size() int { return int(l.size.Load()) }

// maxSpare is the capacity of the largest buffer that is kept for another batch.
const maxSpare = 16 << 10

// spares holds buffers for the next batches of any connection, so that a connection without output holds none.
var spares = sync.Pool{New: func() any { return new([]byte) }}

// Buffer is a bounded output buffer in front of a blocking writer.
type Buffer struct {
	sink   io.Writer
	bound  int
	limit  *SharedLimit
	failed func(error)

	mu       sync.Mutex
	wake     sync.Cond
	buffered []byte
	spare    *[]byte // the element of spares that buffered was taken from; nil while buffered is
	writing  int     // bytes in the current write
	closed   bool
}

// New returns a buffer that holds about bound bytes at most and is counted in limit, and starts its writer. If a write
// fails, failed is called once, on the writer's goroutine.
func New(sink io.Writer, bound int, limit *SharedLimit, failed func(error)) *Buffer {
	b := &Buffer{sink: sink, bound: bound, limit: limit, failed: failed}
	b.wake.L = &b.mu
	go b.write()
	return b
}

// Put appends to the buffer with encode. It never waits for the peer.
func (b *Buffer) Put(encode func(dst []byte) []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := conns.OutputLimits{PerConnection: b.bound, Total: int(b.limit.bound.Load())}
	switch size := len(b.buffered) + b.writing; {
	case b.closed:
		return ErrClosed
	case !limits.Allows(size, b.limit.Size()):
		return ErrFull
	}
	if b.spare == nil {
		b.spare = spares.Get().(*[]byte)
		b.buffered = (*b.spare)[:0]
	}
	before := len(b.buffered)
	b.buffered = encode(b.buffered)
	b.limit.size.Add(int64(len(b.buffered) - before))
	b.wake.Signal()
	return nil
}

// drop discards the buffered output and closes the buffer; b.mu is held.
func (b *Buffer) drop() {
	b.limit.size.Add(-int64(len(b.buffered)))
	b.closed, b.buffered, b.spare = true, nil, nil
}

// Empty reports whether all output has been written.
func (b *Buffer) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buffered) == 0 && b.writing == 0
}

// Close stops the writer; output that is still buffered is dropped.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop()
	b.wake.Signal()
}

func (b *Buffer) write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		for len(b.buffered) == 0 && !b.closed {
			b.wake.Wait()
		}
		if b.closed {
			return
		}
		batch, spare := b.buffered, b.spare
		b.buffered, b.spare, b.writing = nil, nil, len(batch)
		b.mu.Unlock()
		_, err := b.sink.Write(batch)
		if err != nil {
			b.failed(err)
		}
		b.mu.Lock()
		if cap(batch) <= maxSpare {
			*spare = batch
			spares.Put(spare)
		}
		b.limit.size.Add(-int64(b.writing))
		b.writing = 0
		if err != nil {
			b.drop()
		}
	}
}
