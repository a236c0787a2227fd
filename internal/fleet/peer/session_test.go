package peer

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// pair is a dialer and a listener that are joined by bytes.
type pair struct {
	ends  [2]*session
	wires [2][]byte // what each has written
	got   [2][]string
	ready [2]bool
	errs  [2]error
}

func key(n byte) []byte { return bytes.Repeat([]byte{n}, 32) }

func newPair(t *testing.T, dialerKeys, listenerKeys [][]byte) *pair {
	t.Helper()
	p := new(pair)
	for i, keys := range [][][]byte{dialerKeys, listenerKeys} {
		s, err := newSession([]string{"a", "b"}[i], uint64(i+1), keys, rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		s.known = func(name string) bool { return name == "a" || name == "b" }
		s.write = func(b []byte) { p.wires[i] = append(p.wires[i], b...) }
		s.ready = func(*session) error { p.ready[i] = true; return nil }
		s.take = func(kind byte, payload []byte) { p.got[i] = append(p.got[i], fmt.Sprintf("%d:%s", kind, payload)) }
		p.ends[i] = s
	}
	p.ends[0].begin("b")
	return p
}

// carry moves what was written, in pieces, until nothing moves any more.
func (p *pair) carry(piece int) {
	for len(p.wires[0])+len(p.wires[1]) > 0 {
		for i := range p.wires {
			b := p.wires[i]
			p.wires[i] = nil
			for ; len(b) > 0 && p.errs[1-i] == nil; b = b[min(piece, len(b)):] {
				p.errs[1-i] = p.ends[1-i].feed(b[:min(piece, len(b))])
			}
		}
	}
}

func (p *pair) say(from int, kind byte, text string) {
	p.wires[from] = p.ends[from].seal(p.wires[from], kind, []byte(text))
}

func TestASessionOverAnyPieces(t *testing.T) {
	for _, keys := range [][2][][]byte{{{key(1)}, {key(1)}}, {{key(1), key(2)}, {key(2)}}, {{key(2)}, {key(1), key(2)}}, {{key(2), key(1)}, {key(1), key(2)}}} {
		for piece := 1; piece < 300; piece = piece*2 + 1 {
			p := newPair(t, keys[0], keys[1])
			p.carry(piece)
			if !p.ready[0] || !p.ready[1] {
				t.Fatalf("keys %d and %d, pieces of %d: %v", len(keys[0]), len(keys[1]), piece, p.errs)
			}
			for i := range 3 {
				p.say(0, byte(i), "to b")
				p.say(1, byte(i), "to a")
			}
			p.carry(piece)
			if want := []string{"0:to b", "1:to b", "2:to b"}; !slices.Equal(p.got[1], want) || len(p.got[0]) != 3 {
				t.Fatalf("pieces of %d: %v", piece, p.got)
			}
		}
	}
}

func TestWhoIsTurnedAway(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*pair)
		want   error
		at     int // who finds out
	}{
		"another key":              {func(p *pair) { p.ends[0].keys = [][]byte{key(9)}; p.wires[0] = nil; p.ends[0].begin("b") }, ErrKey, 1},
		"its own name":             {func(p *pair) { p.ends[0].self = "b"; p.wires[0] = nil; p.ends[0].begin("b") }, ErrSelf, 1},
		"a name that is not known": {func(p *pair) { p.ends[0].self = "x"; p.wires[0] = nil; p.ends[0].begin("b") }, ErrStranger, 1},
		"it wants another box":     {func(p *pair) { p.wires[0] = nil; p.ends[0].begin("c") }, ErrStranger, 1},
		"a later build": {func(p *pair) {
			p.wires[0][headBytes+len(magic)] = versionMost + 1
			p.wires[0][headBytes+len(magic)+1] = 99
		}, ErrVersion, 1},
		"garbage":              {func(p *pair) { p.wires[0] = bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 40) }, ErrGarbage, 1},
		"a long frame at once": {func(p *pair) { p.wires[0] = []byte{0, 1, 0, 0} }, ErrGarbage, 1},
		"a listener without the key": {func(p *pair) {
			p.ends[1].keys[0] = key(1)
			p.ends[1].feed(p.wires[0])
			p.wires[0] = nil
			p.wires[1][headBytes+1+8+nonceBytes] ^= 1 // its proof
		}, ErrKey, 0},
		"another box answers": {func(p *pair) { p.ends[0].peer = "c" }, ErrStranger, 0},
		"a dialer without the key": {func(p *pair) {
			p.ends[1].feed(p.wires[0])
			p.wires[0], p.wires[1] = nil, nil
			p.ends[1].feed(append([]byte{0, 0, 0, 32}, make([]byte, 32)...))
			p.errs[1] = ErrKey
			if p.ends[1].phase == open {
				p.errs[1] = nil
			}
		}, ErrKey, 1},
	} {
		p := newPair(t, [][]byte{key(1)}, [][]byte{key(1)})
		c.change(p)
		p.carry(1000)
		if !errors.Is(p.errs[c.at], c.want) || p.ready[1] {
			t.Errorf("%s: %v", name, p.errs)
		}
	}
}

// TestAnAlteredMessageEndsTheSession flips each byte of a message, and repeats and swaps whole ones.
func TestAnAlteredMessageEndsTheSession(t *testing.T) {
	begin := func() *pair {
		p := newPair(t, [][]byte{key(1)}, [][]byte{key(1)})
		p.carry(1000)
		return p
	}
	p := begin()
	p.say(0, 1, "hello")
	n := len(p.wires[0])
	for i := range n {
		p := begin()
		p.say(0, 1, "hello")
		p.wires[0][i] ^= 0x40
		p.say(0, 1, "second")
		p.carry(1000)
		if len(p.got[1]) > 0 {
			t.Fatalf("byte %d of %d altered, and %v is taken", i, n, p.got[1])
		}
		if i >= headBytes && p.errs[1] != ErrMAC {
			t.Errorf("byte %d: %v", i, p.errs[1])
		}
	}
	for name, change := range map[string]func(first, second []byte) []byte{
		"repeated": func(a, b []byte) []byte { return slices.Concat(a, a) },
		"swapped":  func(a, b []byte) []byte { return slices.Concat(b, a) },
		"left out": func(a, b []byte) []byte { return b },
	} {
		p := begin()
		p.say(0, 1, "first")
		a := slices.Clone(p.wires[0])
		p.wires[0] = nil
		p.say(0, 1, "other")
		p.wires[0] = change(a, p.wires[0])
		p.carry(1000)
		if p.errs[1] != ErrMAC {
			t.Errorf("%s: %v, taken %v", name, p.errs[1], p.got[1])
		}
	}
	p, q := begin(), begin()
	p.say(0, 1, "of another session")
	q.wires[0] = p.wires[0]
	if q.carry(1000); q.errs[1] != ErrMAC {
		t.Errorf("of another session: %v", q.errs[1])
	}
	p = begin()
	p.say(0, 1, "sent back")
	p.wires[1], p.wires[0] = p.wires[0], nil
	if p.carry(1000); p.errs[0] != ErrMAC {
		t.Errorf("sent back to whom it is from: %v", p.errs[0])
	}
}

func TestAQueueKeepsToItsBounds(t *testing.T) {
	q := newQueue([]Kind{{Messages: 3, Bytes: 100, Stale: 10}, {Messages: 100, Bytes: 10}})
	for i := range 5 {
		q.put(0, 0, []byte{byte(i)})
		q.put(0, 1, []byte("four"))
	}
	q.put(0, 1, make([]byte, 11)) // longer than all that may wait
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
		t.Errorf("%v bytes are left", q.bytes)
	}
}
