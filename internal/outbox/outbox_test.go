package outbox

import (
	"errors"
	"runtime"
	"testing"

	"cairnlane/internal/decide/conns"
)

// blockingSink is a sink whose writes block until the test provides their result.
type blockingSink struct {
	entered chan []byte
	result  chan error
}

func (g *blockingSink) Write(p []byte) (int, error) {
	g.entered <- append([]byte(nil), p...)
	return len(p), <-g.result
}

func appendString(s string) func([]byte) []byte {
	return func(b []byte) []byte { return append(b, s...) }
}

func TestPutsDuringWriteAreCombined(t *testing.T) {
	g := &blockingSink{make(chan []byte), make(chan error)}
	b := New(g, 8, new(SharedLimit), func(error) {})
	defer b.Close()
	if err := b.Put(appendString("a")); err != nil {
		t.Fatal(err)
	}
	if first := <-g.entered; string(first) != "a" {
		t.Fatalf("first write %q", first)
	}
	for _, s := range []string{"b", "cdefghij"} { // neither waits for the peer
		if err := b.Put(appendString(s)); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Put(appendString("k")); !errors.Is(err, ErrFull) {
		t.Errorf("error %v over the bound, want ErrFull", err)
	}
	g.result <- nil
	if second := <-g.entered; string(second) != "bcdefghij" {
		t.Errorf("second write %q", second)
	}
	if b.Empty() {
		t.Error("the buffer is empty during a write")
	}
	g.result <- nil
}

func TestFailedWriteClosesBuffer(t *testing.T) {
	g := &blockingSink{make(chan []byte, 1), make(chan error, 1)}
	failed := make(chan error)
	b := New(g, 8, new(SharedLimit), func(err error) { failed <- err })
	broken := errors.New("broken")
	g.result <- broken
	if err := b.Put(appendString("a")); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err != broken {
		t.Errorf("error %v", err)
	}
	b.Close()
	if err := b.Put(appendString("b")); !errors.Is(err, ErrClosed) {
		t.Errorf("error %v after Close, want ErrClosed", err)
	}
}

// TestLargeBufferIsReleased checks that the buffer of one large batch is not kept for the connection's lifetime.
func TestLargeBufferIsReleased(t *testing.T) {
	g := &blockingSink{make(chan []byte), make(chan error)}
	b := New(g, 1<<20, new(SharedLimit), func(error) {})
	defer b.Close()
	for _, n := range []int{maxSpare * 4, 1, 1} { // the third write begins when the second has ended
		if err := b.Put(func(dst []byte) []byte { return append(dst, make([]byte, n)...) }); err != nil {
			t.Fatal(err)
		}
		<-g.entered
		if n == 1 {
			b.mu.Lock()
			if cap(b.buffered) > maxSpare {
				t.Errorf("%d bytes kept for the next batch", cap(b.buffered))
			}
			b.mu.Unlock()
		}
		g.result <- nil
	}
}

// TestNonReadingPeersShareBound checks that peers that do not read share the limit's bound, rather than hold up to 512 KiB
// each, and that output to a peer that reads is not rejected because of them.
func TestNonReadingPeersShareBound(t *testing.T) {
	const bound, answer = 64 << 10, 4 << 10
	var limit SharedLimit
	limit.SetBound(bound)
	var buffers []*Buffer
	for range 20 {
		g := &blockingSink{make(chan []byte, 1), make(chan error, 1)} // buffered, as the writer may end before it has written
		b := New(g, 512<<10, &limit, func(error) {})
		buffers = append(buffers, b)
		for b.Put(func(p []byte) []byte { return append(p, make([]byte, answer)...) }) == nil {
			if unsent := limit.Size(); unsent > bound+len(buffers)*(conns.AlwaysAllowed+2*answer) {
				t.Fatalf("%d unsent bytes for %d peers", unsent, len(buffers))
			}
		}
		defer func() { g.result <- errors.New("gone") }()
	}
	if limit.Size() < bound {
		t.Fatalf("only %d unsent bytes, the bound is not reached", limit.Size())
	}
	reader := &blockingSink{make(chan []byte, 1), make(chan error, 100)}
	b := New(reader, 512<<10, &limit, func(error) {})
	for range 50 {
		if err := b.Put(appendString("an answer")); err != nil {
			t.Fatal("output to a peer that reads is rejected: ", err)
		}
		<-reader.entered
		reader.result <- nil
	}
	b.Close()
	for _, d := range buffers {
		d.Close()
	}
}

func TestSharedLimitReturnsToZero(t *testing.T) {
	var limit SharedLimit
	for _, err := range []error{nil, errors.New("gone")} {
		g := &blockingSink{make(chan []byte), make(chan error)}
		failed := make(chan struct{})
		b := New(g, 1<<20, &limit, func(error) { close(failed) })
		b.Put(appendString("first"))
		<-g.entered
		b.Put(appendString("second"))
		if limit.Size() != 11 {
			t.Errorf("%d unsent bytes, want 11", limit.Size())
		}
		g.result <- err
		if err != nil {
			<-failed
		} else {
			<-g.entered
			g.result <- nil
		}
		b.Close()
		for limit.Size() != 0 { // until the writer has ended
			runtime.Gosched()
		}
	}
}

// TestBufferWithoutOutputHoldsNoMemory guards against memory that grows with the number of connections: each kept the buffer of
// its last batches for its lifetime.
func TestBufferWithoutOutputHoldsNoMemory(t *testing.T) {
	g := &blockingSink{make(chan []byte), make(chan error)}
	b := New(g, 1<<20, new(SharedLimit), func(error) {})
	defer b.Close()
	for range 3 { // the second and third writes begin when the one before has ended
		if err := b.Put(func(dst []byte) []byte { return append(dst, make([]byte, maxSpare/2)...) }); err != nil {
			t.Fatal(err)
		}
		<-g.entered
		b.mu.Lock()
		if held := cap(b.buffered); held > 0 {
			t.Errorf("%d bytes are held without output", held)
		}
		b.mu.Unlock()
		g.result <- nil
	}
}
