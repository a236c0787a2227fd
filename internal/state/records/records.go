// Package records is a flight recorder: a box writes down what it did, so that an incident can be analysed afterwards.
//
// A box writes into one folder. Each start of its process is an incarnation with its own name, and numbers its records
// from 1 without holes, so that a reader can tell which records are missing. Records are stored in segment files:
//
//	INCARNATION-00000003.rec      the third segment of that incarnation
//
// A segment is a sequence of frames. A frame is a magic number of two bytes (F5 C7), the length of its body (two bytes,
// big-endian), the xxHash64 of the body (eight bytes) and the body, which is one Record as CBOR. The first frame of a
// segment holds a Head. A reader that finds an incomplete or damaged frame continues at the next magic number at which a
// valid frame begins.
//
// Guarantees: an accepted record is written within a quarter of a second, unless the write fails. In that case records
// are dropped and no request is delayed: a Lost record states how many were dropped, and their numbers are absent.
// Memory is bounded by the buffer limit, disk use by the folder limit; the oldest segments are removed first.
package records

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records.
const (
	KindHead        Kind = iota + 1 // first record of a segment
	KindStart                       // the process accepts requests
	KindWarm                        // the cores have warmed up
	KindLink                        // the connection to the engine was established or lost
	KindReload                      // a new configuration was accepted or rejected
	KindDrain                       // the drain notice was received
	KindEnd                         // all requests were answered, the process ends
	KindGauge                       // current state, four times a second
	KindTally                       // counts of a second
	KindCertificate                 // a certificate was replaced
	KindLost                        // records were dropped
	KindCatalog                     // the catalog became available or unavailable
	kinds
)

var kindNames = [kinds]string{"", "head", "start", "warm", "link", "reload", "drain", "end", "gauge", "tally", "swap", "lost", "catalog"}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < kinds && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Record is one record. Of the optional fields only those that belong to Kind are set.
type Record struct {
	N    uint64        `cbor:"1,keyasint"` // number within the incarnation, from 1; 0 for a segment head
	At   time.Duration `cbor:"2,keyasint"` // since the Unix epoch, by the box's clock
	Kind Kind          `cbor:"3,keyasint"`

	Head  *Head   `cbor:"4,keyasint,omitempty"`
	OK    bool    `cbor:"5,keyasint,omitempty"` // for KindLink: established; KindReload: accepted; KindCatalog: available
	Text  string  `cbor:"6,keyasint,omitempty"` // details for operators; must be escaped when shown
	Gauge *Gauge  `cbor:"7,keyasint,omitempty"`
	Tally []Tally `cbor:"8,keyasint,omitempty"`
	Lost  uint64  `cbor:"9,keyasint,omitempty"` // for KindLost: number of records dropped before this one
	Cold  bool    `cbor:"10,keyasint,omitempty"`
}

// Head is the content of the first record of a segment: it identifies the segment.
type Head struct {
	Box         string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Build       string        `cbor:"3,keyasint"`
	Segment     uint32        `cbor:"4,keyasint"`
	Next        uint64        `cbor:"5,keyasint"` // number of the first record that may follow in this segment
	Started     time.Duration `cbor:"6,keyasint"`
}

// Gauge is the state of a box at one moment.
type Gauge struct {
	Refusal     float32 `cbor:"1,keyasint"` // probability of rejecting a request, 0 to 1
	Pool        uint16  `cbor:"2,keyasint"` // maximum concurrent runs
	Held        uint16  `cbor:"3,keyasint"`
	Running     uint16  `cbor:"4,keyasint"`
	Keys        uint32  `cbor:"5,keyasint"`
	Connections uint16  `cbor:"6,keyasint"`
	OnCores     float32 `cbor:"7,keyasint"`
}

// Tally holds the counts of one second for one class and tenant. Read equals the answers plus the requests that are
// still open, less those that were open before.
type Tally struct {
	Class  string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	Read   uint32 `cbor:"3,keyasint,omitempty"`
	Early  uint32 `cbor:"4,keyasint,omitempty"` // rejected when read
	Late   uint32 `cbor:"5,keyasint,omitempty"` // rejected after waiting in the queue
	InAim  uint32 `cbor:"6,keyasint,omitempty"` // served within the latency target
	Over   uint32 `cbor:"7,keyasint,omitempty"` // served after the latency target
	Failed uint32 `cbor:"8,keyasint,omitempty"`
	Retry  uint32 `cbor:"9,keyasint,omitempty"` // retries among Read
	// Rejections among Early and Late that follow from the fleet's overload advice.
	Share  uint32 `cbor:"10,keyasint,omitempty"` // over the tenant's share
	Low    uint32 `cbor:"11,keyasint,omitempty"` // class below the fleet's current priority level
	Beyond uint32 `cbor:"12,keyasint,omitempty"` // over the retry budget
}

// Answers returns the number of answers in a tally.
func (t Tally) Answers() uint32 { return t.Early + t.Late + t.InAim + t.Over + t.Failed }

const (
	magicA, magicB  = 0xF5, 0xC7
	frameHeaderSize = 12
	maxBodyBytes    = 1<<16 - 1
)

// Errors of encoding and decoding frames.
var (
	ErrTooLarge = errors.New("records: encoded record exceeds 65535 bytes")
	errPart     = errors.New("records: frame is truncated")
	errNoFrame  = errors.New("records: no valid frame at this offset")
)

// appendFrame appends a record as a frame.
func appendFrame(dst []byte, r *Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return dst, fmt.Errorf("records: %w", err)
	}
	if len(body) > maxBodyBytes {
		return dst, ErrTooLarge
	}
	dst = append(dst, magicA, magicB)
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(body)))
	dst = binary.BigEndian.AppendUint64(dst, xxhash.Sum64(body))
	return append(dst, body...), nil
}

// readFrame decodes the frame at the start of data.
func readFrame(data []byte) (r Record, size int, err error) {
	if len(data) < frameHeaderSize {
		return r, 0, errPart
	}
	if data[0] != magicA || data[1] != magicB {
		return r, 0, errNoFrame
	}
	size = frameHeaderSize + int(binary.BigEndian.Uint16(data[2:]))
	if len(data) < size {
		return r, 0, errPart
	}
	body := data[frameHeaderSize:size]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[4:]) {
		return r, 0, errNoFrame
	}
	if err := cbor.Unmarshal(body, &r); err != nil || r.Kind == 0 || (r.Kind == KindHead) != (r.Head != nil) {
		return r, 0, errNoFrame
	}
	return r, size, nil
}
