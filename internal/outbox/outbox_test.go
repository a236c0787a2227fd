package outbox

import (
	"errors"
	"runtime"
	"testing"

	"cairnlane/internal/decide/conns"
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
	b := New(g, 8, new(Account), func(error) {})
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
	b := New(g, 8, new(Account), func(err error) { failed <- err })
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
	b := New(g, 1<<20, new(Account), func(error) {})
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

// Peers that do not read used to have 512 KiB held for each of them, whatever the memory. Now they share what there is,
// and one that reads is never turned down for them.
func TestDeafPeersShareABound(t *testing.T) {
	const most, answer = 64 << 10, 4 << 10
	var all Account
	all.Bound(most)
	var deaf []*Box
	for range 20 {
		g := &gate{make(chan []byte, 1), make(chan error, 1)} // its writer may end before it has written
		b := New(g, 512<<10, &all, func(error) {})
		deaf = append(deaf, b)
		for b.Put(func(p []byte) []byte { return append(p, make([]byte, answer)...) }) == nil {
			if held := all.Held(); held > most+len(deaf)*(conns.Reading+2*answer) {
				t.Fatalf("%d bytes are held for %d peers", held, len(deaf))
			}
		}
		defer func() { g.leave <- errors.New("gone") }()
	}
	if all.Held() < most {
		t.Fatalf("only %d bytes are held", all.Held())
	}
	reader := &gate{make(chan []byte, 1), make(chan error, 100)}
	b := New(reader, 512<<10, &all, func(error) {})
	for range 50 {
		if err := b.Put(put("an answer")); err != nil {
			t.Fatal("a peer that reads is turned down: ", err)
		}
		<-reader.entered
		reader.leave <- nil
	}
	b.Close()
	for _, d := range deaf {
		d.Close()
	}
}

func TestTheAccountIsEvenInTheEnd(t *testing.T) {
	var all Account
	for _, err := range []error{nil, errors.New("gone")} {
		g := &gate{make(chan []byte), make(chan error)}
		ended := make(chan struct{})
		b := New(g, 1<<20, &all, func(error) { close(ended) })
		b.Put(put("first"))
		<-g.entered
		b.Put(put("second"))
		if all.Held() != 11 {
			t.Errorf("%d bytes are held, want 11", all.Held())
		}
		g.leave <- err
		if err != nil {
			<-ended
		} else {
			<-g.entered
			g.leave <- nil
		}
		b.Close()
		for all.Held() != 0 { // the writer's last step
			runtime.Gosched()
		}
	}
}
