package peer

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// sessionPair is a dialer and a listener whose bytes are exchanged in memory.
type sessionPair struct {
	ends     [2]*session
	written  [2][]byte // bytes that each end has written
	received [2][]string
	ready    [2]bool
	errs     [2]error
}

func testKey(n byte) []byte { return bytes.Repeat([]byte{n}, 32) }

func newPair(t *testing.T, dialerKeys, listenerKeys [][]byte) *sessionPair {
	t.Helper()
	p := new(sessionPair)
	for i, keys := range [][][]byte{dialerKeys, listenerKeys} {
		s, err := newSession([]string{"a", "b"}[i], uint64(i+1), keys, rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		s.isKnown = func(name string) bool { return name == "a" || name == "b" }
		s.write = func(b []byte) { p.written[i] = append(p.written[i], b...) }
		s.onEstablished = func(*session) error { p.ready[i] = true; return nil }
		s.onMessage = func(kind byte, payload []byte) {
			p.received[i] = append(p.received[i], fmt.Sprintf("%d:%s", kind, payload))
		}
		p.ends[i] = s
	}
	p.ends[0].begin("b")
	return p
}

// deliver delivers written bytes in pieces until no end has anything left to send.
func (p *sessionPair) deliver(piece int) {
	for len(p.written[0])+len(p.written[1]) > 0 {
		for i := range p.written {
			b := p.written[i]
			p.written[i] = nil
			for ; len(b) > 0 && p.errs[1-i] == nil; b = b[min(piece, len(b)):] {
				p.errs[1-i] = p.ends[1-i].feed(b[:min(piece, len(b))])
			}
		}
	}
}

func (p *sessionPair) send(from int, kind byte, text string) {
	p.written[from] = p.ends[from].seal(p.written[from], kind, []byte(text))
}

func TestSessionOverArbitraryFragments(t *testing.T) {
	for _, keys := range [][2][][]byte{{{testKey(1)}, {testKey(1)}}, {{testKey(1), testKey(2)}, {testKey(2)}}, {{testKey(2)}, {testKey(1), testKey(2)}}, {{testKey(2), testKey(1)}, {testKey(1), testKey(2)}}} {
		for piece := 1; piece < 300; piece = piece*2 + 1 {
			p := newPair(t, keys[0], keys[1])
			p.deliver(piece)
			if !p.ready[0] || !p.ready[1] {
				t.Fatalf("keys %d and %d, pieces of %d: %v", len(keys[0]), len(keys[1]), piece, p.errs)
			}
			for i := range 3 {
				p.send(0, byte(i), "to b")
				p.send(1, byte(i), "to a")
			}
			p.deliver(piece)
			if want := []string{"0:to b", "1:to b", "2:to b"}; !slices.Equal(p.received[1], want) || len(p.received[0]) != 3 {
				t.Fatalf("pieces of %d: %v", piece, p.received)
			}
		}
	}
}

func TestHandshakeRejections(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*sessionPair)
		want   error
		at     int // the end that detects it
	}{
		"another key":             {func(p *sessionPair) { p.ends[0].keys = [][]byte{testKey(9)}; p.written[0] = nil; p.ends[0].begin("b") }, ErrKey, 1},
		"the listener's own name": {func(p *sessionPair) { p.ends[0].self = "b"; p.written[0] = nil; p.ends[0].begin("b") }, ErrOwnName, 1},
		"an unknown name":         {func(p *sessionPair) { p.ends[0].self = "x"; p.written[0] = nil; p.ends[0].begin("b") }, ErrUnknownBox, 1},
		"another box is wanted":   {func(p *sessionPair) { p.written[0] = nil; p.ends[0].begin("c") }, ErrUnknownBox, 1},
		"a later build": {func(p *sessionPair) {
			p.written[0][headerBytes+len(magic)] = maxVersion + 1
			p.written[0][headerBytes+len(magic)+1] = 99
		}, ErrVersion, 1},
		"garbage":                {func(p *sessionPair) { p.written[0] = bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 40) }, ErrProtocol, 1},
		"a first frame too long": {func(p *sessionPair) { p.written[0] = []byte{0, 1, 0, 0} }, ErrProtocol, 1},
		"a listener without the key": {func(p *sessionPair) {
			p.ends[1].keys[0] = testKey(1)
			p.ends[1].feed(p.written[0])
			p.written[0] = nil
			p.written[1][headerBytes+1+8+nonceBytes] ^= 1 // the listener's proof
		}, ErrKey, 0},
		"another box answers": {func(p *sessionPair) { p.ends[0].peer = "c" }, ErrUnknownBox, 0},
		"a dialer without the key": {func(p *sessionPair) {
			p.ends[1].feed(p.written[0])
			p.written[0], p.written[1] = nil, nil
			p.ends[1].feed(append([]byte{0, 0, 0, 32}, make([]byte, 32)...))
			p.errs[1] = ErrKey
			if p.ends[1].phase == established {
				p.errs[1] = nil
			}
		}, ErrKey, 1},
	} {
		p := newPair(t, [][]byte{testKey(1)}, [][]byte{testKey(1)})
		c.change(p)
		p.deliver(1000)
		if !errors.Is(p.errs[c.at], c.want) || p.ready[1] {
			t.Errorf("%s: %v", name, p.errs)
		}
	}
}

// TestAlteredMessageEndsSession flips each byte of a message, and repeats, swaps and omits whole ones.
func TestAlteredMessageEndsSession(t *testing.T) {
	begin := func() *sessionPair {
		p := newPair(t, [][]byte{testKey(1)}, [][]byte{testKey(1)})
		p.deliver(1000)
		return p
	}
	p := begin()
	p.send(0, 1, "hello")
	n := len(p.written[0])
	for i := range n {
		p := begin()
		p.send(0, 1, "hello")
		p.written[0][i] ^= 0x40
		p.send(0, 1, "second")
		p.deliver(1000)
		if len(p.received[1]) > 0 {
			t.Fatalf("byte %d of %d altered, but %v was delivered", i, n, p.received[1])
		}
		if i >= headerBytes && p.errs[1] != ErrMAC {
			t.Errorf("byte %d: %v", i, p.errs[1])
		}
	}
	for name, change := range map[string]func(first, second []byte) []byte{
		"repeated": func(a, b []byte) []byte { return slices.Concat(a, a) },
		"swapped":  func(a, b []byte) []byte { return slices.Concat(b, a) },
		"omitted":  func(a, b []byte) []byte { return b },
	} {
		p := begin()
		p.send(0, 1, "first")
		a := slices.Clone(p.written[0])
		p.written[0] = nil
		p.send(0, 1, "other")
		p.written[0] = change(a, p.written[0])
		p.deliver(1000)
		if p.errs[1] != ErrMAC {
			t.Errorf("%s: error %v, delivered %v", name, p.errs[1], p.received[1])
		}
	}
	p, q := begin(), begin()
	p.send(0, 1, "of another session")
	q.written[0] = p.written[0]
	if q.deliver(1000); q.errs[1] != ErrMAC {
		t.Errorf("of another session: %v", q.errs[1])
	}
	p = begin()
	p.send(0, 1, "sent back")
	p.written[1], p.written[0] = p.written[0], nil
	if p.deliver(1000); p.errs[0] != ErrMAC {
		t.Errorf("reflected to its sender: %v", p.errs[0])
	}
}

func TestQueueBounds(t *testing.T) {
	q := newQueue([]KindLimits{{Messages: 3, Bytes: 100, MaxAge: 10}, {Messages: 100, Bytes: 10}})
	for i := range 5 {
		q.put(0, 0, []byte{byte(i)})
		q.put(0, 1, []byte("four"))
	}
	q.put(0, 1, make([]byte, 11)) // longer than the byte limit of the kind
	q.put(9, 0, []byte{9})
	var got []string
	for {
		kind, p, ok := q.next(11)
		if !ok {
			break
		}
		got = append(got, fmt.Sprintf("%d:%v", kind, p))
	}
	if want := []string{"0:[9]", "1:[102 111 117 114]", "1:[102 111 117 114]"}; !slices.Equal(got, want) || q.dropped != 9 {
		t.Errorf("%v, %d dropped", got, q.dropped)
	}
	if q.bytes[0] != 0 || q.bytes[1] != 0 {
		t.Errorf("%v bytes are still counted", q.bytes)
	}
}
