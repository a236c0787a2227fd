package outbox

import (
	"errors"
	"testing"
)

// gate is a sink whose writes wait for the test.
type gate struct {
	entered chan []byte
	leave   chan error
}

func (g *gate) Write(p []byte) (int, error) {
	g.entered <- append([]byte(nil), p...)
	return len(p), <-g.leave
}

func put(s string) func([]byte) []byte { return func(b []byte) []byte { return append(b, s...) } }

func TestAnswersFoldIntoOneWriteWhileThePeerIsSlow(t *testing.T) {
	g := &gate{make(chan []byte), make(chan error)}
	b := New(g, 8, func(error) {})
	defer b.Close()
	if err := b.Put(put("a")); err != nil {
		t.Fatal(err)
	}
	if first := <-g.entered; string(first) != "a" {
		t.Fatalf("first write %q", first)
	}
	for _, s := range []string{"b", "cdefghij"} { // none of these waits for the peer
		if err := b.Put(put(s)); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Put(put("k")); !errors.Is(err, ErrFull) {
		t.Errorf("error %v over the bound", err)
	}
	g.leave <- nil
	if second := <-g.entered; string(second) != "bcdefghij" {
		t.Errorf("second write %q", second)
	}
	if b.Empty() {
		t.Error("empty while a write is out")
	}
	g.leave <- nil
}

func TestAFailedWriteEndsTheBox(t *testing.T) {
	g := &gate{make(chan []byte, 1), make(chan error, 1)}
	failed := make(chan error)
	b := New(g, 8, func(err error) { failed <- err })
	broken := errors.New("broken")
	g.leave <- broken
	if err := b.Put(put("a")); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err != broken {
		t.Errorf("error %v", err)
	}
	b.Close()
	if err := b.Put(put("b")); !errors.Is(err, ErrClosed) {
		t.Errorf("error %v after the end", err)
	}
}

// The buffer of one large batch used to be kept for as long as the connection lived.
func TestALargeBufferIsNotKept(t *testing.T) {
	g := &gate{make(chan []byte), make(chan error)}
	b := New(g, 1<<20, func(error) {})
	defer b.Close()
	for _, n := range []int{spareMost * 4, 1, 1} { // the third write begins once the second is over
		if err := b.Put(func(dst []byte) []byte { return append(dst, make([]byte, n)...) }); err != nil {
			t.Fatal(err)
		}
		<-g.entered
		if n == 1 {
			b.mu.Lock()
			if cap(b.buffered) > spareMost {
				t.Errorf("%d bytes kept for the next batch", cap(b.buffered))
			}
			b.mu.Unlock()
		}
		g.leave <- nil
	}
}
