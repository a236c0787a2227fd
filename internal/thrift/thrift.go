// Package thrift encodes and decodes Thrift's framed transport and strict binary protocol.
// It does no I/O and knows no service. The sizes of decoded input are bounded, and no input makes it panic.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Bounds on decoded input.
const (
	MaxFrame   = 8 << 10
	MaxString  = 4 << 10
	MaxEntries = 256
	MaxNesting = 16
)

// ErrMalformed is wrapped by every error of this package.
var ErrMalformed = errors.New("malformed thrift")

// Type is the type of a field.
type Type byte

// The types of the binary protocol.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
)

// MessageType is the type of a message.
type MessageType int32

// The message types of the binary protocol.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// ExceptionCode is the code of an application exception.
type ExceptionCode int32

// The exception codes that this program uses.
const (
	UnknownMethod      ExceptionCode = 1
	InvalidMessageType ExceptionCode = 2
	BadSequenceID      ExceptionCode = 4
	InternalError      ExceptionCode = 6
	ProtocolError      ExceptionCode = 7
)

// minEntry is the size of the shortest entry of a map of strings to strings: the lengths of two empty strings.
const minEntry = 8

const (
	version     = uint32(0x80010000)
	versionMask = uint32(0xffff0000)
)

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
}

// Frame splits the first frame off buf. It returns a nil payload if the frame is incomplete.
func Frame(buf []byte) (payload, rest []byte, err error) {
	if len(buf) < 4 {
		return nil, buf, nil
	}
	n := binary.BigEndian.Uint32(buf)
	if n == 0 || n > MaxFrame {
		return nil, buf, malformed("frame of %d bytes, must have 1 to %d", n, MaxFrame)
	}
	if uint32(len(buf)-4) < n {
		return nil, buf, nil
	}
	return buf[4 : 4+n], buf[4+n:], nil
}

// Header is the start of a message.
type Header struct {
	Type MessageType
	Name string
	Seq  int32
}

// Reader decodes one payload. After the first error all further reads return zero values.
type Reader struct {
	buf []byte
	err error
}

// NewReader returns a Reader of payload, which it does not copy.
func NewReader(payload []byte) *Reader { return &Reader{buf: payload} }

// Err returns the first error.
func (r *Reader) Err() error { return r.err }

// Len returns the number of unread bytes.
func (r *Reader) Len() int { return len(r.buf) }

func (r *Reader) fail(format string, a ...any) {
	if r.err == nil {
		r.err = malformed(format, a...)
	}
}

func (r *Reader) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.buf) {
		r.fail("%d bytes expected, %d left", n, len(r.buf))
		return nil
	}
	p := r.buf[:n]
	r.buf = r.buf[n:]
	return p
}

// Byte reads a byte or a bool.
func (r *Reader) Byte() byte {
	if p := r.take(1); p != nil {
		return p[0]
	}
	return 0
}

// I16 reads a 16-bit integer.
func (r *Reader) I16() int16 {
	if p := r.take(2); p != nil {
		return int16(binary.BigEndian.Uint16(p))
	}
	return 0
}

// I32 reads a 32-bit integer.
func (r *Reader) I32() int32 {
	if p := r.take(4); p != nil {
		return int32(binary.BigEndian.Uint32(p))
	}
	return 0
}

// Binary reads a string without copying it.
func (r *Reader) Binary() []byte {
	n := r.I32()
	if n < 0 || n > MaxString {
		r.fail("string of %d bytes, must have 0 to %d", n, MaxString)
		return nil
	}
	return r.take(int(n))
}

// Header reads the start of a message.
func (r *Reader) Header() Header {
	v := uint32(r.I32())
	if r.err == nil && v&versionMask != version {
		r.fail("version %#x", v)
	}
	return Header{Type: MessageType(v & 0xff), Name: string(r.Binary()), Seq: r.I32()}
}

// Field reads the start of a field; its type is Stop at the end of the struct.
func (r *Reader) Field() (Type, int16) {
	t := Type(r.Byte())
	if r.err != nil || t == Stop {
		return Stop, 0
	}
	return t, r.I16()
}

// StringMap reads a map of strings to strings.
func (r *Reader) StringMap() map[string]string {
	key, value, n := Type(r.Byte()), Type(r.Byte()), r.I32()
	if r.err != nil {
		return nil
	}
	if n < 0 || n > MaxEntries || n > 0 && (key != String || value != String) {
		r.fail("map of %d entries from type %d to type %d", n, key, value)
		return nil
	}
	if int(n) > len(r.buf)/minEntry {
		r.fail("map of %d entries in %d bytes", n, len(r.buf))
		return nil
	}
	m := make(map[string]string, n)
	for ; n > 0 && r.err == nil; n-- {
		k := string(r.Binary())
		m[k] = string(r.Binary())
	}
	return m
}

// Skip skips a value of a type.
func (r *Reader) Skip(t Type) { r.skip(t, 0) }

func (r *Reader) skip(t Type, depth int) {
	if depth > MaxNesting {
		r.fail("nested deeper than %d", MaxNesting)
	}
	if r.err != nil {
		return
	}
	switch t {
	case Bool, Byte:
		r.take(1)
	case I16:
		r.take(2)
	case I32:
		r.take(4)
	case I64, Double:
		r.take(8)
	case String:
		r.Binary()
	case Struct:
		for {
			f, _ := r.Field()
			if f == Stop {
				return
			}
			r.skip(f, depth+1)
		}
	case Map:
		k, v := Type(r.Byte()), Type(r.Byte())
		r.skipEntries(depth, k, v)
	case Set, List:
		r.skipEntries(depth, Type(r.Byte()))
	default:
		r.fail("type %d", t)
	}
}

func (r *Reader) skipEntries(depth int, types ...Type) {
	n := r.I32()
	if n < 0 || int(n) > r.Len() {
		r.fail("container of %d entries", n)
	}
	for ; n > 0 && r.err == nil; n-- {
		for _, t := range types {
			r.skip(t, depth+1)
		}
	}
}

// The functions below append to dst and return it.

// AppendFrame appends a frame whose payload encode appends.
func AppendFrame(dst []byte, encode func(dst []byte) []byte) []byte {
	start := len(dst)
	dst = encode(append(dst, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst
}

// AppendHeader appends the start of a message.
func AppendHeader(dst []byte, h Header) []byte {
	dst = binary.BigEndian.AppendUint32(dst, version|uint32(h.Type)&0xff)
	dst = AppendString(dst, h.Name)
	return binary.BigEndian.AppendUint32(dst, uint32(h.Seq))
}

// AppendField appends the start of a field.
func AppendField(dst []byte, t Type, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(dst, byte(t)), uint16(id))
}

// AppendStop ends a struct.
func AppendStop(dst []byte) []byte { return append(dst, byte(Stop)) }

// AppendBool appends a bool.
func AppendBool(dst []byte, v bool) []byte {
	if v {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// AppendI32 appends a 32-bit integer.
func AppendI32(dst []byte, v int32) []byte { return binary.BigEndian.AppendUint32(dst, uint32(v)) }

// AppendString appends a string or binary value.
func AppendString[T string | []byte](dst []byte, s T) []byte {
	if len(s) > math.MaxInt32 {
		s = s[:0]
	}
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(s))), s...)
}

// AppendStringMap appends a map of key-value pairs, in the given order.
func AppendStringMap(dst []byte, pairs [][2]string) []byte {
	dst = append(dst, byte(String), byte(String))
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(pairs)))
	for _, p := range pairs {
		dst = AppendString(AppendString(dst, p[0]), p[1])
	}
	return dst
}

// AppendException appends an application exception that answers h.
func AppendException(dst []byte, h Header, code ExceptionCode, text string) []byte {
	dst = AppendHeader(dst, Header{Type: Exception, Name: h.Name, Seq: h.Seq})
	dst = AppendString(AppendField(dst, String, 1), text)
	dst = AppendI32(AppendField(dst, I32, 2), int32(code))
	return AppendStop(dst)
}
