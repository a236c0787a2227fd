// Package audit writes and reads a box's tamper-evident audit log. Each entry is chained by hash to all entries before
// it, and the box reports the head of the chain to the fleet's ledger. A reader that has the heads from the ledger can
// detect entries that were truncated, rewritten or omitted since, and locate them.
//
// A box writes into one folder. A chain is a sequence of segment files
//
//	CHAIN-00000003.aud      the third segment of that chain; CHAIN is a random ID chosen when the chain begins
//
// and a segment is a sequence of frames: a magic number of two bytes (A1 D7), the length of the body (four bytes,
// big-endian), the chained SHA-256 (32 bytes) and the body, one Entry as CBOR. The sum of entry n is SHA-256(sum of
// entry n-1, body of entry n); the sum before the first entry is SHA-256(CHAIN, box). The first frame of a segment holds
// an Entry of kind Head, whose N is the number of the entry before it and which is chained like any other entry. The sum
// that a segment starts from is therefore stored in the segment and covered by the heads in the ledger, so the remaining
// segments can be verified after older ones were removed.
//
// Guarantees: an entry that Append accepted has been passed to the operating system when Append returns, so it
// survives the process; it is on the disk when Sync has returned, and only such entries are reported as a head. Entries that
// could not be written are dropped and counted in a Gap entry, so the loss is visible. Only Append and Sync wait for the
// disk. Disk use is bounded: the oldest segments are removed first.
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

// Kind is the kind of an entry.
type Kind uint8

// Kinds of entries.
const (
	Head        Kind = iota + 1 // first entry of a segment
	Start                       // a process opened the log; Text is the state in which it found the log
	Version                     // the version that the box runs from this entry on
	Effect                      // an effect is about to be executed under a lease
	EffectDone                  // the effect has ended; Ref is the N of its Effect entry
	Drain                       // the box was taken out of service or put back into service
	Operator                    // a command of an operator
	FleetStatus                 // status of the box in its fleet
	Gap                         // Count entries were lost
	End                         // the process shuts down cleanly
	Config                      // a fleet configuration was accepted, or rejected with the reason in Text; Ref is its number
	kinds
)

var kindNames = [kinds]string{"", "head", "start", "version", "effect", "done", "drain", "operator", "standing", "gap", "end", "config"}

func (k Kind) String() string {
	if k > 0 && k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// MarshalText encodes a kind by its name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Entry is one entry of the log. Box and Chain are not encoded; Read sets them from the head of the segment.
type Entry struct {
	N       uint64        `cbor:"1,keyasint" json:"n"`
	Kind    Kind          `cbor:"2,keyasint" json:"kind"`
	Index   uint64        `cbor:"3,keyasint" json:"index"`                       // last index of the ledger that the box knew
	At      time.Duration `cbor:"4,keyasint" json:"at_ns"`                       // since the Unix epoch, by the box's wall clock; for display only, never for ordering
	Session uint64        `cbor:"5,keyasint,omitempty" json:"session,omitempty"` // the box's incarnation
	Task    string        `cbor:"6,keyasint,omitempty" json:"task,omitempty"`
	Token   uint64        `cbor:"7,keyasint,omitempty" json:"token,omitempty"`
	Ref     uint64        `cbor:"8,keyasint,omitempty" json:"ref,omitempty"`
	OK      bool          `cbor:"9,keyasint,omitempty" json:"ok,omitempty"`
	Text    string        `cbor:"10,keyasint,omitempty" json:"text,omitempty"`
	Count   uint64        `cbor:"11,keyasint,omitempty" json:"count,omitempty"`
	Build   *Build        `cbor:"12,keyasint,omitempty" json:"build,omitempty"`
	Under   uint64        `cbor:"14,keyasint,omitempty" json:"under,omitempty"` // for Effect: number of the fleet configuration in force
	Begin   *Begin        `cbor:"13,keyasint,omitempty" json:"-"`               // for Head

	Box   string `cbor:"-" json:"box"`
	Chain string `cbor:"-" json:"chain"`
}

// Build is the version that a box runs. All of its parts change at one point in time.
type Build struct {
	Program  string `cbor:"1,keyasint" json:"program"`                   // from the build information of the binary
	Settings string `cbor:"2,keyasint" json:"settings"`                  // digest of the settings and limits
	Config   string `cbor:"3,keyasint" json:"config"`                    // digest of the box's configuration
	Messages uint64 `cbor:"4,keyasint" json:"messages"`                  // format version of messages and ledger entries
	Fleet    uint64 `cbor:"5,keyasint,omitempty" json:"fleet,omitempty"` // number of the fleet configuration
	Digest   string `cbor:"6,keyasint,omitempty" json:"fleet_digest,omitempty"`
	Number   uint64 `cbor:"7,keyasint,omitempty" json:"number,omitempty"` // number of the build
}

// Begin is the payload of a Head entry: it identifies the segment.
type Begin struct {
	Box     string `cbor:"1,keyasint"`
	Chain   string `cbor:"2,keyasint"`
	Segment uint32 `cbor:"3,keyasint"`
	Before  []byte `cbor:"4,keyasint"` // sum of the previous entry
}

// Sum is the chained hash of an entry and of all entries before it.
type Sum [sha256.Size]byte

// ChainHead is the head of a chain as reported to the ledger.
type ChainHead struct {
	Chain string `cbor:"1,keyasint" json:"chain"`
	N     uint64 `cbor:"2,keyasint" json:"n"`
	Sum   Sum    `cbor:"3,keyasint" json:"-"`
	Index uint64 `cbor:"4,keyasint,omitempty" json:"index,omitempty"` // index of the ledger at which it was reported; 0: not reported yet
	First uint64 `cbor:"5,keyasint,omitempty" json:"first,omitempty"` // this entry and all after it must be present; 0: unknown
}

const (
	magicA, magicB  = 0xA1, 0xD7
	frameHeaderSize = 2 + 4 + sha256.Size
	maxBodyBytes    = 16 << 10
	maxTextBytes    = 1 << 10
	suffix          = ".aud"
)

// Errors of readFrame.
var (
	errShort = errors.New("frame is truncated by the end of the file")
	errFrame = errors.New("no valid frame at this offset")
	errSum   = errors.New("hash of the entry does not match the entries before it")
	errBody  = errors.New("entry cannot be decoded")
)

func initialSum(chain, box string) Sum { return sha256.Sum256([]byte(chain + "\x00" + box)) }

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
	if err != nil {
		return dst, before, fmt.Errorf("audit: encode entry: %w", err)
	}
	if len(body) > maxBodyBytes {
		return dst, before, fmt.Errorf("audit: encoded entry has %d bytes, limit %d", len(body), maxBodyBytes)
	}
	after := before.next(body)
	dst = append(dst, magicA, magicB)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	dst = append(append(dst, after[:]...), body...)
	return dst, after, nil
}

// readFrame reads the frame at the start of p. before is the sum of the previous entry; if it is nil, the sum stored in
// a Head entry is used.
func readFrame(p []byte, before *Sum) (e *Entry, after Sum, n int, err error) {
	if len(p) < frameHeaderSize {
		return nil, after, 0, errShort
	}
	size := int(binary.BigEndian.Uint32(p[2:]))
	if p[0] != magicA || p[1] != magicB || size > maxBodyBytes {
		return nil, after, 0, errFrame
	}
	if len(p) < frameHeaderSize+size {
		return nil, after, 0, errShort
	}
	body := p[frameHeaderSize : frameHeaderSize+size]
	copy(after[:], p[6:frameHeaderSize])
	e = new(Entry)
	if cbor.Unmarshal(body, e) != nil {
		return nil, after, frameHeaderSize + size, errBody
	}
	if before == nil && e.Begin != nil && len(e.Begin.Before) == sha256.Size {
		s := Sum(e.Begin.Before)
		before = &s
	}
	if before == nil || before.next(body) != after {
		return e, after, frameHeaderSize + size, errSum
	}
	return e, after, frameHeaderSize + size, nil
}

// resync returns the next offset after 0 at which a frame may begin, or len(p) if there is none.
func resync(p []byte) int {
	if i := bytes.Index(p[1:], []byte{magicA, magicB}); i >= 0 {
		return i + 1
	}
	return len(p)
}
