// Package outbox holds the output of one connection: whoever answers only appends to it, and one
// writer goroutine, alive as long as the connection, folds all that has gathered into one write.
// So a peer that reads slowly stalls its own writer and nobody else.
package outbox

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"cairnlane/internal/decide/conns"
)

// ErrFull says that the peer has not read for so long that the bound was reached.
var ErrFull = errors.New("outbox: the peer does not read")

// ErrClosed says that the box takes no more.
var ErrClosed = errors.New("outbox: closed")

// Account is what several boxes hold together. The zero value knows no bound.
type Account struct{ held, most atomic.Int64 }

// Bound sets what they may hold.
func (a *Account) Bound(most int) { a.most.Store(int64(most)) }

// Held tells what they hold.
func (a *Account) Held() int { return int(a.held.Load()) }

// spareMost is the largest buffer that is kept for the next batch.
const spareMost = 16 << 10

// Box is a bounded output buffer in front of a blocking writer.
type Box struct {
	sink    io.Writer
	bound   int
	account *Account
	failed  func(error)

	mu       sync.Mutex
	work     sync.Cond
	buffered []byte
	spare    []byte
	writing  int // bytes handed to the sink and not yet taken by it
	closed   bool
}

// New starts the writer of a connection that holds at most about bound, and has a part in an account. failed is called
// once, on the writer's goroutine, if a write fails.
func New(sink io.Writer, bound int, account *Account, failed func(error)) *Box {
	b := &Box{sink: sink, bound: bound, account: account, failed: failed}
	b.work.L = &b.mu
	go b.write()
	return b
}

// Put appends what encode adds to the buffer. It never blocks on the peer.
func (b *Box) Put(encode func(dst []byte) []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := conns.Output{Each: b.bound, All: int(b.account.most.Load())}
	switch own := len(b.buffered) + b.writing; {
	case b.closed:
		return ErrClosed
	case !limits.Takes(own, b.account.Held()):
		return ErrFull
	}
	before := len(b.buffered)
	b.buffered = encode(b.buffered)
	b.account.held.Add(int64(len(b.buffered) - before))
	b.work.Signal()
	return nil
}

// drop throws away what is buffered; b.mu is held.
func (b *Box) drop() {
	b.account.held.Add(-int64(len(b.buffered)))
	b.closed, b.buffered = true, nil
}

// Empty tells whether all that was put has been taken by the connection.
func (b *Box) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buffered) == 0 && b.writing == 0
}

// Close ends the writer; what is still buffered is dropped.
func (b *Box) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop()
	b.work.Signal()
}

func (b *Box) write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		for len(b.buffered) == 0 && !b.closed {
			b.work.Wait()
		}
		if b.closed {
			return
		}
		batch := b.buffered
		b.buffered, b.writing = b.spare[:0], len(batch)
		b.mu.Unlock()
		_, err := b.sink.Write(batch)
		if err != nil {
			b.failed(err)
		}
		b.mu.Lock()
		if cap(batch) > spareMost { // a burst must not be paid for as long as the connection lives
			batch = nil
		}
		b.account.held.Add(-int64(b.writing))
		b.spare, b.writing = batch, 0
		if err != nil {
			b.drop()
		}
	}
}
