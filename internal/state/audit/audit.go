// Package audit is a box's log of what it did that matters to others, in a form that can be believed: each entry is chained by
// hash to all before it, and the head of the chain is told to the fleet's ledger. Whoever has the ledger's heads finds what was
// cut off, rewritten or left out since, and where.
//
// A box writes into one folder. A chain is a run of segments
//
//	CHAIN-00000003.aud      the third segment of that chain; CHAIN is drawn when the chain begins
//
// and a segment is a run of frames: a mark of two bytes (A1 D7), the length of the body (four bytes, big-endian), the
// body's SHA-256 chained to what came before (32 bytes) and the body, one Entry as CBOR. The sum of entry n is
// SHA-256(sum of entry n-1, body of entry n); that before the first is SHA-256(CHAIN, box). The first frame of a segment holds
// an Entry of kind Head with N the number of the entry before, chained like any other, so that segments that are left need
// none of those that were removed: the sum that they begin with is in the file, and the ledger's heads vouch for it.
//
// What is promised: an entry that Write took is with the system when Write returns, so it outlives the process; it is on the
// disk when Sync returned, and only such entries are told as a head. What the disk refuses is dropped and stands as a Gap with its
// number, so it can be seen; no caller waits for a disk but in Write and Sync. Disk is bounded: the oldest segments go first.
package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind is what an entry tells.
type Kind uint8

// The kinds.
const (
	Head     Kind = iota + 1 // begins a segment
	Start                    // a process took the log up; Text is how it found it
	Version                  // what the box acts as from now on
	Effect                   // an effect is about to be made under a lease
	Done                     // it was made; N of the Effect is in Ref
	Drain                    // out of service, or back
	Operator                 // a command of an operator
	Standing                 // how the box stands to its fleet
	Gap                      // entries were lost; Count of them
	End                      // the process ends in order
	Config                   // a configuration of the fleet was found right, or turned down with Text; its number is in Ref
	kinds
)

var kindNames = [kinds]string{"", "head", "start", "version", "effect", "done", "drain", "operator", "standing", "gap", "end", "config"}

func (k Kind) String() string {
	if k > 0 && k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// MarshalText has kinds written by name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Entry is one entry. Box, Chain and Segment are those of the file that it was read from.
type Entry struct {
	N       uint64        `cbor:"1,keyasint" json:"n"`
	Kind    Kind          `cbor:"2,keyasint" json:"kind"`
	Index   uint64        `cbor:"3,keyasint" json:"index"`                       // of the ledger, as far as the box knew it
	At      time.Duration `cbor:"4,keyasint" json:"at_ns"`                       // since the Unix epoch, by the box's wall clock: to be shown, never to order by
	Session uint64        `cbor:"5,keyasint,omitempty" json:"session,omitempty"` // the box's incarnation
	Task    string        `cbor:"6,keyasint,omitempty" json:"task,omitempty"`
	Token   uint64        `cbor:"7,keyasint,omitempty" json:"token,omitempty"`
	Ref     uint64        `cbor:"8,keyasint,omitempty" json:"ref,omitempty"`
	OK      bool          `cbor:"9,keyasint,omitempty" json:"ok,omitempty"`
	Text    string        `cbor:"10,keyasint,omitempty" json:"text,omitempty"`
	Count   uint64        `cbor:"11,keyasint,omitempty" json:"count,omitempty"`
	Build   *Build        `cbor:"12,keyasint,omitempty" json:"build,omitempty"`
	Under   uint64        `cbor:"14,keyasint,omitempty" json:"under,omitempty"` // of Effect: the number of the fleet's configuration in force
	Begin   *Begin        `cbor:"13,keyasint,omitempty" json:"-"`               // of Head

	Box   string `cbor:"-" json:"box"`
	Chain string `cbor:"-" json:"chain"`
}

// Build is the version that a box acts as. It changes at one point in time.
type Build struct {
	Program  string `cbor:"1,keyasint" json:"program"`                   // from the binary's own build information
	Settings string `cbor:"2,keyasint" json:"settings"`                  // digest of settings and limits
	Config   string `cbor:"3,keyasint" json:"config"`                    // digest of the box's configuration
	Messages uint64 `cbor:"4,keyasint" json:"messages"`                  // version of messages and ledger entries
	Fleet    uint64 `cbor:"5,keyasint,omitempty" json:"fleet,omitempty"` // number of the fleet's configuration
	Digest   string `cbor:"6,keyasint,omitempty" json:"fleet_digest,omitempty"`
	Number   uint64 `cbor:"7,keyasint,omitempty" json:"number,omitempty"` // of the build
}

// Begin begins a segment.
type Begin struct {
	Box     string `cbor:"1,keyasint"`
	Chain   string `cbor:"2,keyasint"`
	Segment uint32 `cbor:"3,keyasint"`
	Before  []byte `cbor:"4,keyasint"` // sum of the entry before
}

// Sum is a chain's after an entry.
type Sum [sha256.Size]byte

// Mark is the head of a chain at a time, as it is told to the ledger.
type Mark struct {
	Chain string `cbor:"1,keyasint" json:"chain"`
	N     uint64 `cbor:"2,keyasint" json:"n"`
	Sum   Sum    `cbor:"3,keyasint" json:"-"`
	Index uint64 `cbor:"4,keyasint,omitempty" json:"index,omitempty"` // of the ledger, at which it was told; 0: not told yet
	First uint64 `cbor:"5,keyasint,omitempty" json:"first,omitempty"` // from this entry on all must be there; 0: not known
}

const (
	markA, markB = 0xA1, 0xD7
	frameHead    = 2 + 4 + sha256.Size
	bodyMost     = 16 << 10
	textMost     = 1 << 10
	suffix       = ".aud"
)

// What a reader finds wrong with a frame.
var (
	errShort = errors.New("the file ends within a frame")
	errFrame = errors.New("no frame stands here")
	errSum   = errors.New("the entry does not fit what came before")
	errBody  = errors.New("the entry cannot be read")
)

func first(chain, box string) Sum { return sha256.Sum256([]byte(chain + "\x00" + box)) }

func (s Sum) next(body []byte) Sum {
	h := sha256.New()
	h.Write(s[:])
	h.Write(body)
	return Sum(h.Sum(nil))
}

var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// appendFrame appends an entry and returns the chain's sum after it.
func appendFrame(dst []byte, before Sum, e *Entry) ([]byte, Sum, error) {
	body, err := encoding.Marshal(e)
	if err != nil || len(body) > bodyMost {
		return dst, before, fmt.Errorf("audit: an entry that cannot be written: %d bytes, %w", len(body), err)
	}
	after := before.next(body)
	dst = append(dst, markA, markB)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	dst = append(append(dst, after[:]...), body...)
	return dst, after, nil
}

// readFrame reads the frame at the begin of p. before is nil where it is not known.
func readFrame(p []byte, before *Sum) (e *Entry, after Sum, n int, err error) {
	if len(p) < frameHead {
		return nil, after, 0, errShort
	}
	size := int(binary.BigEndian.Uint32(p[2:]))
	if p[0] != markA || p[1] != markB || size > bodyMost {
		return nil, after, 0, errFrame
	}
	if len(p) < frameHead+size {
		return nil, after, 0, errShort
	}
	body := p[frameHead : frameHead+size]
	copy(after[:], p[6:frameHead])
	e = new(Entry)
	if cbor.Unmarshal(body, e) != nil {
		return nil, after, frameHead + size, errBody
	}
	if before == nil && e.Begin != nil && len(e.Begin.Before) == sha256.Size {
		s := Sum(e.Begin.Before)
		before = &s
	}
	if before == nil || before.next(body) != after {
		return e, after, frameHead + size, errSum
	}
	return e, after, frameHead + size, nil
}

// resync finds the next place at which a frame may begin.
func resync(p []byte) int {
	if i := bytes.Index(p[1:], []byte{markA, markB}); i >= 0 {
		return i + 1
	}
	return len(p)
}
