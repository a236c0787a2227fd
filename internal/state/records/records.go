// Package records is the flight recorder: what a box did, written by the box itself, to be read after a bad morning.
//
// A box writes into one folder. Each start of its process is an incarnation with a name of its own, and numbers its
// records from 1 without holes, so whoever reads can tell what is missing. Records stand in segments:
//
//	INCARNATION-00000003.rec      the third segment of that incarnation
//
// A segment is a run of frames. A frame is a mark of two bytes (F5 C7), the length of its body (two bytes, big-endian),
// the xxHash64 of the body (eight bytes) and the body, which is one Record as CBOR. The first frame of a segment
// holds a Head. A reader that meets a frame that is not whole looks for the next mark from which a whole frame stands.
//
// What is promised: a record that was taken is written within a quarter of a second if the disk takes it. If it does
// not, records are dropped, never requests held up: what was dropped is counted and stands in the record as a Lost, and
// its numbers are absent. Memory is bounded by the buffer, disk by the folder's cap, oldest segments first out.
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

// The kinds.
const (
	KindHead    Kind = iota + 1 // begins a segment
	KindStart                   // the process serves
	KindWarm                    // its cores are warm
	KindLink                    // the engine's link: attached or lost
	KindReload                  // a new configuration: taken or turned down
	KindDrain                   // the notice to leave was taken
	KindEnd                     // all was answered, the process ends
	KindGauge                   // four times a second
	KindTally                   // each second
	KindSwap                    // a certificate was swapped
	KindLost                    // records were dropped
	KindCatalog                 // the catalog: answers or away
	kinds
)

var kindNames = [kinds]string{"", "head", "start", "warm", "link", "reload", "drain", "end", "gauge", "tally", "swap", "lost", "catalog"}

// String names the kind.
func (k Kind) String() string {
	if k < kinds && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Record is one record. Of the parts behind Kind, the one that it names is there.
type Record struct {
	N    uint64        `cbor:"1,keyasint"` // within the incarnation, from 1; 0 for a Head
	At   time.Duration `cbor:"2,keyasint"` // since the Unix epoch, by the box's clock
	Kind Kind          `cbor:"3,keyasint"`

	Head  *Head   `cbor:"4,keyasint,omitempty"`
	OK    bool    `cbor:"5,keyasint,omitempty"` // Link, Reload, Catalog: attached, taken, answers
	Text  string  `cbor:"6,keyasint,omitempty"` // what a person may want to know; never shown unescaped
	Gauge *Gauge  `cbor:"7,keyasint,omitempty"`
	Tally []Tally `cbor:"8,keyasint,omitempty"`
	Lost  uint64  `cbor:"9,keyasint,omitempty"` // Lost: how many records were dropped right before this one
	Cold  bool    `cbor:"10,keyasint,omitempty"`
}

// Head begins a segment and says whose it is.
type Head struct {
	Box         string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Build       string        `cbor:"3,keyasint"`
	Segment     uint32        `cbor:"4,keyasint"`
	Next        uint64        `cbor:"5,keyasint"` // number of the first record that may follow
	Started     time.Duration `cbor:"6,keyasint"`
}

// Gauge is how a box stands at a moment.
type Gauge struct {
	Refusal     float32 `cbor:"1,keyasint"` // chance, 0 to 1
	Pool        uint16  `cbor:"2,keyasint"` // runs that may be under way
	Held        uint16  `cbor:"3,keyasint"`
	Running     uint16  `cbor:"4,keyasint"`
	Keys        uint32  `cbor:"5,keyasint"`
	Connections uint16  `cbor:"6,keyasint"`
	OnCores     float32 `cbor:"7,keyasint"`
}

// Tally counts a second of one class and tenant. Read is the sum of the answers and what is still open less what was
// open before.
type Tally struct {
	Class  string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	Read   uint32 `cbor:"3,keyasint,omitempty"`
	Early  uint32 `cbor:"4,keyasint,omitempty"` // refused at read
	Late   uint32 `cbor:"5,keyasint,omitempty"` // refused after it was held
	InAim  uint32 `cbor:"6,keyasint,omitempty"` // served within the aim
	Over   uint32 `cbor:"7,keyasint,omitempty"` // served after it
	Failed uint32 `cbor:"8,keyasint,omitempty"`
	Retry  uint32 `cbor:"9,keyasint,omitempty"` // of Read, further tries
	// Of Early and Late, by the fleet's word.
	Share  uint32 `cbor:"10,keyasint,omitempty"` // beyond a tenant's share
	Low    uint32 `cbor:"11,keyasint,omitempty"` // of a class below the fleet's level
	Beyond uint32 `cbor:"12,keyasint,omitempty"` // beyond the budget of further tries
}

// Answers is how many answers a tally counts.
func (t Tally) Answers() uint32 { return t.Early + t.Late + t.InAim + t.Over + t.Failed }

const (
	markA, markB = 0xF5, 0xC7
	frameHead    = 12
	bodyMost     = 1<<16 - 1
)

// Errors of frames.
var (
	ErrTooLarge = errors.New("records: a record of over 64 KiB")
	errPart     = errors.New("records: the frame goes on past the end")
	errNoFrame  = errors.New("records: no whole frame here")
)

// appendFrame appends a record as a frame.
func appendFrame(dst []byte, r *Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return dst, fmt.Errorf("records: %w", err)
	}
	if len(body) > bodyMost {
		return dst, ErrTooLarge
	}
	dst = append(dst, markA, markB)
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(body)))
	dst = binary.BigEndian.AppendUint64(dst, xxhash.Sum64(body))
	return append(dst, body...), nil
}

// frame reads the frame at the beginning of data.
func frame(data []byte) (r Record, size int, err error) {
	if len(data) < frameHead {
		return r, 0, errPart
	}
	if data[0] != markA || data[1] != markB {
		return r, 0, errNoFrame
	}
	size = frameHead + int(binary.BigEndian.Uint16(data[2:]))
	if len(data) < size {
		return r, 0, errPart
	}
	body := data[frameHead:size]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[4:]) {
		return r, 0, errNoFrame
	}
	if err := cbor.Unmarshal(body, &r); err != nil || r.Kind == 0 || (r.Kind == KindHead) != (r.Head != nil) {
		return r, 0, errNoFrame
	}
	return r, size, nil
}
