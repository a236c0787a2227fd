// Package handover is the link between the two processes of a replacement: a unix socket in the folder that they
// share, and a lock file in it whose holder owns the claims on keys. Package decide/handover makes the decisions.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"cairnlane/internal/decide/handover"
)

const (
	headerBytes = 4
	// maxFrame bounds a message: a result of 64 KiB, which is the limit of the engine's codec, and room for the other
	// fields.
	maxFrame = 66 << 10
)

// ErrMalformed is wrapped by errors of the codec.
var ErrMalformed = errors.New("malformed hand-over message")

// The flags of a message.
const (
	flagEnded = 1 << iota
	flagOK
	flagStored
	flagDoNotRetry
	flagsEnd
)

// appendMessage appends a message as a frame: four bytes of length, the kind, the flags, and the fields in their
// order.
func appendMessage(dst []byte, m *handover.Message) []byte {
	start := len(dst)
	var flags byte
	for bit, on := range map[byte]bool{flagEnded: m.Ended, flagOK: m.OK, flagStored: m.Stored, flagDoNotRetry: m.DoNotRetry} {
		if on {
			flags |= bit
		}
	}
	dst = append(dst, 0, 0, 0, 0, byte(m.Kind), flags)
	dst = binary.AppendUvarint(dst, m.Seq)
	dst = binary.AppendVarint(dst, int64(m.Until))
	dst = binary.AppendVarint(dst, int64(m.RetryAfter))
	dst = binary.AppendVarint(dst, m.Number)
	dst = append(dst, m.Digest[:]...)
	dst = append(binary.AppendUvarint(dst, uint64(len(m.Key))), m.Key...)
	dst = append(binary.AppendUvarint(dst, uint64(len(m.Body))), m.Body...)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-headerBytes))
	return dst
}

// nextMessage decodes the first message of buf; complete is false while parts of it are missing. Body aliases buf.
func nextMessage(buf []byte) (m handover.Message, rest []byte, complete bool, err error) {
	if len(buf) < headerBytes {
		return m, buf, false, nil
	}
	n := binary.BigEndian.Uint32(buf)
	if n > maxFrame {
		return m, buf, false, fmt.Errorf("%w: length of %d bytes is above the limit of %d", ErrMalformed, n, maxFrame)
	}
	if len(buf) < headerBytes+int(n) {
		return m, buf, false, nil
	}
	r := fieldReader{buf: buf[headerBytes : headerBytes+int(n)]}
	head := r.take(2)
	m.Seq = r.uvarint()
	m.Until, m.RetryAfter = time.Duration(r.varint()), time.Duration(r.varint())
	m.Number = r.varint()
	copy(m.Digest[:], r.take(len(m.Digest)))
	m.Key = string(r.take(int(r.length())))
	m.Body = r.take(int(r.length()))
	if r.bad || len(r.buf) > 0 {
		return m, buf, false, fmt.Errorf("%w: fields do not match the length of %d bytes", ErrMalformed, n)
	}
	m.Kind = handover.Kind(head[0])
	if !m.Kind.Valid() || head[1] >= flagsEnd {
		return m, buf, false, fmt.Errorf("%w: unknown kind %d or flags %x", ErrMalformed, head[0], head[1])
	}
	m.Ended, m.OK = head[1]&flagEnded != 0, head[1]&flagOK != 0
	m.Stored, m.DoNotRetry = head[1]&flagStored != 0, head[1]&flagDoNotRetry != 0
	return m, buf[headerBytes+int(n):], true, nil
}

// fieldReader decodes fields and remembers whether one was malformed.
type fieldReader struct {
	buf []byte
	bad bool
}

func (r *fieldReader) take(n int) []byte {
	if n < 0 || n > len(r.buf) {
		r.bad = true
		return make([]byte, 2) // long enough for kind and flags
	}
	p := r.buf[:n:n]
	r.buf = r.buf[n:]
	return p
}

func (r *fieldReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	return v * uint64(r.skip(n))
}

func (r *fieldReader) varint() int64 {
	v, n := binary.Varint(r.buf)
	return v * int64(r.skip(n))
}

// skip drops a number of n bytes and returns 1, or 0 if the number is malformed.
func (r *fieldReader) skip(n int) int {
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.buf = r.buf[n:]
	return 1
}

func (r *fieldReader) length() uint64 { return min(r.uvarint(), maxFrame+1) }
