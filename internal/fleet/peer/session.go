// Package peer implements the links between the boxes of a fleet: one TCP link for each pair that exchanges messages. Both ends prove
// that they know the fleet's key, and every message is authenticated. Faults of the network, of a peer or of an unknown client cost a
// bounded amount of resources and are logged; they can only delay or lose messages.
//
// The protocol is not TLS: messages are not encrypted, only their sender and order are authenticated. All boxes of the fleet share the
// keys, so a box can impersonate another one.
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

// The range of protocol versions that this build supports.
const (
	minVersion = 1
	maxVersion = 1
)

const (
	magic         = "cairnlane fleet"
	nonceBytes    = 32
	macBytes      = 16
	headerBytes   = 4
	maxHelloBytes = 512      // bytes of a frame before authentication
	maxFrameBytes = 16 << 20 // a ledger snapshot at its limits takes 8 MB
	maxNameBytes  = 128
	hintBytes     = 8
	maxKeys       = 2
)

// The reasons for which a session ends.
var (
	ErrProtocol     = errors.New("data is not of the fleet protocol")
	ErrKey          = errors.New("the other end does not know the fleet's key")
	ErrUnknownBox   = errors.New("box name is not in the configuration")
	ErrVersion      = errors.New("the other end supports no common protocol version")
	ErrOwnName      = errors.New("the other end uses this box's name")
	ErrMAC          = errors.New("message authentication failed: altered or out of order")
	ErrFrameTooLong = errors.New("message exceeds the frame limit")
)

// session is one end of a link as a state machine over bytes, without I/O.
//
// A frame is a length (4 bytes, big endian) and a body. The frames, in order:
//
//	dialer    hello  magic, least and most version, run, nonce, hints of its keys, own name, name of the wanted box
//	listener  prove  version, run, nonce, proof under the chosen key, own name
//	dialer    prove  proof
//	both      kind and payload, and a MAC over a counter, kind and payload under a key of this direction and session
//
// Proofs and keys are HMAC-SHA256 over a label, both nonces and both names, so none is valid in another session, direction or pair.
type session struct {
	self          string
	peer          string
	run           uint64
	isDialer      bool
	keys          [][]byte
	isKnown       func(name string) bool
	nonce         []byte
	write         func(p []byte)
	onEstablished func(s *session) error
	onMessage     func(kind byte, payload []byte)
	phase         phase
	input         []byte
	peerRun       uint64 // the other process's run
	sentCount     uint64
	receivedCount uint64
	sendMAC       hash.Hash
	receiveMAC    hash.Hash
	key           []byte
	transcript    []byte // handshake transcript, until the keys of the session are derived
}

type phase uint8

const (
	waitHello         phase = iota + 1
	waitListenerProof       // the dialer waits for the listener's
	waitDialerProof         // the listener waits for the dialer's
	established
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

// begin sends the dialer's hello.
func (s *session) begin(to string) {
	s.isDialer, s.peer, s.phase = true, to, waitListenerProof
	b := append([]byte(magic), minVersion, maxVersion)
	b = binary.BigEndian.AppendUint64(b, s.run)
	b = append(b, s.nonce...)
	b = append(b, byte(len(s.keys)))
	for _, k := range s.keys {
		b = append(b, mac(k, []byte("hint"), s.nonce)[:hintBytes]...)
	}
	b = appendName(appendName(b, s.self), to)
	s.sendFrame(b)
}

func appendName(b []byte, name string) []byte { return append(append(b, byte(len(name))), name...) }

func (s *session) sendFrame(body []byte) {
	s.write(append(binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(body)), uint32(len(body))), body...))
}

// reader parses a frame.
type reader struct {
	b         []byte
	truncated bool
}

func (r *reader) take(n int) []byte {
	if r.truncated || n > len(r.b) {
		r.truncated = true
		return make([]byte, min(n, maxNameBytes))
	}
	p := r.b[:n]
	r.b = r.b[n:]
	return p
}

func (r *reader) name() string { return string(r.take(int(r.take(1)[0]))) }

// feed processes received bytes. An error ends the session.
func (s *session) feed(p []byte) error {
	if len(s.input) > 0 {
		s.input = append(s.input, p...)
		p = s.input
	}
	for len(p) >= headerBytes {
		n := int(binary.BigEndian.Uint32(p))
		if s.phase != established && n > maxHelloBytes {
			return ErrProtocol
		}
		if n > maxFrameBytes {
			return ErrFrameTooLong
		}
		if len(p) < headerBytes+n {
			break
		}
		if err := s.handleFrame(p[headerBytes : headerBytes+n]); err != nil {
			return err
		}
		p = p[headerBytes+n:]
	}
	s.input = append(s.input[:0], p...)
	if len(s.input) == 0 && cap(s.input) > 64<<10 {
		s.input = nil
	}
	return nil
}

func (s *session) handleFrame(b []byte) error {
	switch s.phase {
	case waitHello:
		return s.handleHello(b)
	case waitListenerProof:
		return s.handleListenerProof(b)
	case waitDialerProof:
		if !hmac.Equal(b, mac(s.key, []byte("dialer"), s.transcript)) {
			return ErrKey
		}
		return s.establish()
	}
	if len(b) < 1+macBytes {
		return ErrProtocol
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !hmac.Equal(sum, messageMAC(s.receiveMAC, s.receivedCount, body)) {
		return ErrMAC
	}
	s.receivedCount++
	s.onMessage(body[0], body[1:])
	return nil
}

// handshakeTranscript returns the handshake transcript, the dialer's part first.
func handshakeTranscript(dialerNonce, listenerNonce []byte, dialer, listener string, version byte) []byte {
	b := append(append([]byte{version}, dialerNonce...), listenerNonce...)
	return appendName(appendName(b, dialer), listener)
}

// handleHello handles a dialer's hello and sends the listener's proof.
func (s *session) handleHello(b []byte) error {
	r := &reader{b: b}
	if string(r.take(len(magic))) != magic || r.truncated {
		return ErrProtocol
	}
	versions := r.take(2)
	if versions[0] > maxVersion || versions[1] < minVersion {
		return fmt.Errorf("%w: it supports %d to %d, this build %d to %d", ErrVersion, versions[0], versions[1], minVersion, maxVersion)
	}
	version := min(versions[1], maxVersion)
	s.peerRun = binary.BigEndian.Uint64(r.take(8))
	nonce := append([]byte(nil), r.take(nonceBytes)...)
	n := int(r.take(1)[0])
	if n > maxKeys {
		return ErrProtocol
	}
	hints := r.take(n * hintBytes)
	name, wanted := r.name(), r.name()
	if r.truncated || len(r.b) > 0 {
		return ErrProtocol
	}
	switch s.peer = name; {
	case name == s.self:
		return ErrOwnName
	case wanted != s.self:
		return fmt.Errorf("%w: the dialer wants %q, but this box is %q", ErrUnknownBox, wanted, s.self)
	case !s.isKnown(name):
		return fmt.Errorf("%w: %q", ErrUnknownBox, name)
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
	s.transcript, s.phase = handshakeTranscript(nonce, s.nonce, name, s.self, version), waitDialerProof
	answer := binary.BigEndian.AppendUint64([]byte{version}, s.run)
	answer = append(append(answer, s.nonce...), mac(s.key, []byte("listener"), s.transcript)...)
	s.sendFrame(appendName(answer, s.self))
	return nil
}

// handleListenerProof checks the listener's proof and sends the dialer's.
func (s *session) handleListenerProof(b []byte) error {
	r := &reader{b: b}
	version := r.take(1)[0]
	s.peerRun = binary.BigEndian.Uint64(r.take(8))
	nonce, sum, name := r.take(nonceBytes), r.take(sha256.Size), r.name()
	switch {
	case r.truncated || len(r.b) > 0 || version < minVersion || version > maxVersion:
		return ErrProtocol
	case name != s.peer:
		return fmt.Errorf("%w: %q answers for %q", ErrUnknownBox, name, s.peer)
	}
	s.transcript = handshakeTranscript(s.nonce, nonce, s.self, name, version)
	for _, k := range s.keys {
		if hmac.Equal(sum, mac(k, []byte("listener"), s.transcript)) {
			s.key = k
		}
	}
	if s.key == nil {
		return ErrKey
	}
	s.sendFrame(mac(s.key, []byte("dialer"), s.transcript))
	return s.establish()
}

func (s *session) establish() error {
	s.phase = established
	dialer, listener := mac(s.key, []byte("from dialer"), s.transcript), mac(s.key, []byte("from listener"), s.transcript)
	if !s.isDialer {
		dialer, listener = listener, dialer
	}
	s.sendMAC, s.receiveMAC = hmac.New(sha256.New, dialer), hmac.New(sha256.New, listener)
	s.key, s.transcript, s.keys = nil, nil, nil
	return s.onEstablished(s)
}

// messageMAC returns the MAC of message n of a direction.
func messageMAC(h hash.Hash, n uint64, body []byte) []byte {
	h.Reset()
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], n)
	h.Write(count[:])
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// seal appends a message's frame to dst. Frames must be written in the order in which they are sealed.
func (s *session) seal(dst []byte, kind byte, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(1+len(payload)+macBytes))
	at := len(dst)
	dst = append(append(dst, kind), payload...)
	dst = append(dst, messageMAC(s.sendMAC, s.sentCount, dst[at:])...)
	s.sentCount++
	return dst
}
