// Package handover is the link between the two processes of a replacement: a unix socket in the folder that they
// share, and the lock there that says who owns the claims on keys. What is decided stands in decide/handover.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/decide/handover"
)

const (
	headBytes = 4
	// frameMost bounds a message: a result of 64 KiB, which the engine's codec takes at most, and room for the rest.
	frameMost = 66 << 10
)

// ErrMalformed is wrapped by the errors of the codec.
var ErrMalformed = errors.New("malformed hand-over message")

// The flags of a message.
const (
	flagOver = 1 << iota
	flagOK
	flagStored
	flagGiveUp
	flagsEnd
)

// appendMessage appends a message as a frame: four bytes of length, kind, flags, and the fields in their order.
func appendMessage(dst []byte, m *handover.Message) []byte {
	at := len(dst)
	var flags byte
	for bit, on := range map[byte]bool{flagOver: m.Over, flagOK: m.OK, flagStored: m.Stored, flagGiveUp: m.GiveUp} {
		if on {
			flags |= bit
		}
	}
	dst = append(dst, 0, 0, 0, 0, byte(m.Kind), flags)
	dst = binary.AppendUvarint(dst, m.Seq)
	dst = binary.AppendVarint(dst, int64(m.Until))
	dst = binary.AppendVarint(dst, int64(m.Later))
	dst = binary.AppendVarint(dst, m.N)
	dst = append(dst, m.Digest[:]...)
	dst = append(binary.AppendUvarint(dst, uint64(len(m.Key))), m.Key...)
	dst = append(binary.AppendUvarint(dst, uint64(len(m.Body))), m.Body...)
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-headBytes))
	return dst
}

// nextMessage cuts the first message off buf; done is false while it is not all there. Body is borrowed from buf.
func nextMessage(buf []byte) (m handover.Message, rest []byte, done bool, err error) {
	if len(buf) < headBytes {
		return m, buf, false, nil
	}
	n := binary.BigEndian.Uint32(buf)
	if n > frameMost {
		return m, buf, false, fmt.Errorf("%w: %d bytes", ErrMalformed, n)
	}
	if len(buf) < headBytes+int(n) {
		return m, buf, false, nil
	}
	r := reader{buf: buf[headBytes : headBytes+int(n)]}
	head := r.take(2)
	m.Seq = r.uvarint()
	m.Until, m.Later = time.Duration(r.varint()), time.Duration(r.varint())
	m.N = r.varint()
	copy(m.Digest[:], r.take(len(m.Digest)))
	m.Key = string(r.take(int(r.length())))
	m.Body = r.take(int(r.length()))
	if r.bad || len(r.buf) > 0 {
		return m, buf, false, fmt.Errorf("%w: its fields do not fill %d bytes", ErrMalformed, n)
	}
	m.Kind = handover.Kind(head[0])
	if !m.Kind.Valid() || head[1] >= flagsEnd {
		return m, buf, false, fmt.Errorf("%w: kind %d, flags %x", ErrMalformed, head[0], head[1])
	}
	m.Over, m.OK = head[1]&flagOver != 0, head[1]&flagOK != 0
	m.Stored, m.GiveUp = head[1]&flagStored != 0, head[1]&flagGiveUp != 0
	return m, buf[headBytes+int(n):], true, nil
}

// reader reads fields and keeps that one was bad.
type reader struct {
	buf []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.buf) {
		r.bad = true
		return make([]byte, 2) // enough for the head
	}
	p := r.buf[:n:n]
	r.buf = r.buf[n:]
	return p
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	return v * uint64(r.skip(n))
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.buf)
	return v * int64(r.skip(n))
}

// skip passes over a number of n bytes and returns 1, or 0 if there is none.
func (r *reader) skip(n int) int {
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.buf = r.buf[n:]
	return 1
}

func (r *reader) length() uint64 { return min(r.uvarint(), frameMost+1) }
