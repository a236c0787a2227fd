// Package peer holds the links between boxes of a fleet: one TCP link for each pair that has something to say, on which both
// ends have proven that they know the fleet's key and every message is authenticated. Faults of the network, of a peer or of a
// stranger cost a bounded amount and are told; they only ever delay or lose messages.
//
// It is no TLS: what is said is not hidden, only its sender and order are certain. Keys are shared by all boxes of the fleet,
// so a box can pass itself off as another one.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
)

// The versions of the messages that this build can speak.
const (
	versionLeast = 1
	versionMost  = 1
)

const (
	magic      = "cairnlane fleet"
	nonceBytes = 32
	macBytes   = 16
	headBytes  = 4
	helloMost  = 512      // bytes of a frame from one who has proven nothing
	frameMost  = 16 << 20 // a state of the ledger at its bounds takes 8 MB
	nameMost   = 128
	hintBytes  = 8
	keysMost   = 2
)

// Why a session ends.
var (
	ErrGarbage  = errors.New("what came is not of a fleet")
	ErrKey      = errors.New("the other end does not have the fleet's key")
	ErrStranger = errors.New("no box of that name is in the configuration")
	ErrVersion  = errors.New("the other build speaks other versions of the messages")
	ErrSelf     = errors.New("the other end has this box's own name")
	ErrMAC      = errors.New("a message was altered, or is out of order")
	ErrTooLong  = errors.New("a message is longer than any that is sent")
)

// session is one end of a link over bytes, without I/O.
//
// Frames are a length (4 bytes, big endian) and a body. In the order in which they come:
//
//	dialer    hello  magic, least and most version, run, nonce, hints of its keys, own name, name of the box that it wants
//	listener  prove  version, run, nonce, proof under the key that it has chosen, own name
//	dialer    prove  proof
//	both      kind and payload, and a MAC over a counter, kind and payload under a key of this direction and session
//
// The proofs and keys are HMAC-SHA256 over a word, both nonces and both names, so none fits another session, direction or pair.
type session struct {
	self   string
	peer   string
	run    uint64
	dials  bool
	keys   [][]byte
	known  func(name string) bool
	nonce  []byte
	write  func(p []byte)
	ready  func(s *session) error
	take   func(kind byte, payload []byte)
	phase  phase
	in     []byte
	other  uint64 // the other process's run
	sent   uint64
	got    uint64
	sendBy hash.Hash
	readBy hash.Hash
	key    []byte
	salt   []byte // of the handshake, while the listener waits for the dialer's proof
}

type phase uint8

const (
	waitHello phase = iota + 1
	waitProof       // the dialer waits for the listener's
	waitLast        // the listener waits for the dialer's
	open
)

func mac(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, p := range parts {
		binary.Write(h, binary.BigEndian, uint32(len(p)))
		h.Write(p)
	}
	return h.Sum(nil)
}

func newSession(self string, run uint64, keys [][]byte, random io.Reader) (*session, error) {
	s := &session{self: self, run: run, keys: keys, nonce: make([]byte, nonceBytes), phase: waitHello}
	_, err := io.ReadFull(random, s.nonce)
	return s, err
}

// begin has the dialer say hello.
func (s *session) begin(to string) {
	s.dials, s.peer, s.phase = true, to, waitProof
	b := append([]byte(magic), versionLeast, versionMost)
	b = binary.BigEndian.AppendUint64(b, s.run)
	b = append(b, s.nonce...)
	b = append(b, byte(len(s.keys)))
	for _, k := range s.keys {
		b = append(b, mac(k, []byte("hint"), s.nonce)[:hintBytes]...)
	}
	b = appendName(appendName(b, s.self), to)
	s.frame(b)
}

func appendName(b []byte, name string) []byte { return append(append(b, byte(len(name))), name...) }

func (s *session) frame(body []byte) {
	s.write(append(binary.BigEndian.AppendUint32(make([]byte, 0, headBytes+len(body)), uint32(len(body))), body...))
}

// reader takes a frame apart.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.b) {
		r.bad = true
		return make([]byte, min(n, nameMost))
	}
	p := r.b[:n]
	r.b = r.b[n:]
	return p
}

func (r *reader) name() string { return string(r.take(int(r.take(1)[0]))) }

// feed takes what has come in. An error ends the session.
func (s *session) feed(p []byte) error {
	if len(s.in) > 0 {
		s.in = append(s.in, p...)
		p = s.in
	}
	for len(p) >= headBytes {
		n := int(binary.BigEndian.Uint32(p))
		if s.phase != open && n > helloMost {
			return ErrGarbage
		}
		if n > frameMost {
			return ErrTooLong
		}
		if len(p) < headBytes+n {
			break
		}
		if err := s.body(p[headBytes : headBytes+n]); err != nil {
			return err
		}
		p = p[headBytes+n:]
	}
	s.in = append(s.in[:0], p...)
	if len(s.in) == 0 && cap(s.in) > 64<<10 {
		s.in = nil
	}
	return nil
}

func (s *session) body(b []byte) error {
	switch s.phase {
	case waitHello:
		return s.hello(b)
	case waitProof:
		return s.proof(b)
	case waitLast:
		if !hmac.Equal(b, mac(s.key, []byte("dialer"), s.salt)) {
			return ErrKey
		}
		return s.begun()
	}
	if len(b) < 1+macBytes {
		return ErrGarbage
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !hmac.Equal(sum, tag(s.readBy, s.got, body)) {
		return ErrMAC
	}
	s.got++
	s.take(body[0], body[1:])
	return nil
}

// salted is what both ends have said, the dialer first.
func salted(dialerNonce, listenerNonce []byte, dialer, listener string, version byte) []byte {
	b := append(append([]byte{version}, dialerNonce...), listenerNonce...)
	return appendName(appendName(b, dialer), listener)
}

// hello answers a dialer.
func (s *session) hello(b []byte) error {
	r := &reader{b: b}
	if string(r.take(len(magic))) != magic || r.bad {
		return ErrGarbage
	}
	versions := r.take(2)
	if versions[0] > versionMost || versions[1] < versionLeast {
		return fmt.Errorf("%w: %d to %d, and this one %d to %d", ErrVersion, versions[0], versions[1], versionLeast, versionMost)
	}
	version := min(versions[1], versionMost)
	s.other = binary.BigEndian.Uint64(r.take(8))
	nonce := append([]byte(nil), r.take(nonceBytes)...)
	n := int(r.take(1)[0])
	if n > keysMost {
		return ErrGarbage
	}
	hints := r.take(n * hintBytes)
	name, wanted := r.name(), r.name()
	if r.bad || len(r.b) > 0 {
		return ErrGarbage
	}
	switch s.peer = name; {
	case name == s.self:
		return ErrSelf
	case wanted != s.self:
		return fmt.Errorf("%w: it wants %q, and this is %q", ErrStranger, wanted, s.self)
	case !s.known(name):
		return fmt.Errorf("%w: %q", ErrStranger, name)
	}
	for _, k := range s.keys {
		hint := mac(k, []byte("hint"), nonce)[:hintBytes]
		for i := range n {
			if hmac.Equal(hint, hints[i*hintBytes:(i+1)*hintBytes]) {
				s.key = k
			}
		}
	}
	if s.key == nil {
		return ErrKey
	}
	s.salt, s.phase = salted(nonce, s.nonce, name, s.self, version), waitLast
	answer := binary.BigEndian.AppendUint64([]byte{version}, s.run)
	answer = append(append(answer, s.nonce...), mac(s.key, []byte("listener"), s.salt)...)
	s.frame(appendName(answer, s.self))
	return nil
}

// proof checks the listener's and gives the dialer's.
func (s *session) proof(b []byte) error {
	r := &reader{b: b}
	version := r.take(1)[0]
	s.other = binary.BigEndian.Uint64(r.take(8))
	nonce, sum, name := r.take(nonceBytes), r.take(sha256.Size), r.name()
	switch {
	case r.bad || len(r.b) > 0 || version < versionLeast || version > versionMost:
		return ErrGarbage
	case name != s.peer:
		return fmt.Errorf("%w: %q answers for %q", ErrStranger, name, s.peer)
	}
	s.salt = salted(s.nonce, nonce, s.self, name, version)
	for _, k := range s.keys {
		if hmac.Equal(sum, mac(k, []byte("listener"), s.salt)) {
			s.key = k
		}
	}
	if s.key == nil {
		return ErrKey
	}
	s.frame(mac(s.key, []byte("dialer"), s.salt))
	return s.begun()
}

func (s *session) begun() error {
	s.phase = open
	dialer, listener := mac(s.key, []byte("from dialer"), s.salt), mac(s.key, []byte("from listener"), s.salt)
	if !s.dials {
		dialer, listener = listener, dialer
	}
	s.sendBy, s.readBy = hmac.New(sha256.New, dialer), hmac.New(sha256.New, listener)
	s.key, s.salt, s.keys = nil, nil, nil
	return s.ready(s)
}

// tag is the MAC of the nth message of a direction.
func tag(h hash.Hash, n uint64, body []byte) []byte {
	h.Reset()
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], n)
	h.Write(count[:])
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// seal appends a message as it goes over the link. Messages are sealed in the order in which they are written.
func (s *session) seal(dst []byte, kind byte, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(1+len(payload)+macBytes))
	at := len(dst)
	dst = append(append(dst, kind), payload...)
	dst = append(dst, tag(s.sendBy, s.sent, dst[at:])...)
	s.sent++
	return dst
}
