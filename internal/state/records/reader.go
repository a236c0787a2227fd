package records

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Damage is a stretch of a segment that cannot be read.
type Damage struct {
	Offset int
	Bytes  int
	AtEnd  bool // the segment was cut, or its box died in the middle of a frame
}

// Segment is what was read of one.
type Segment struct {
	Head    Head
	Whole   bool // its head could be read
	Records []Record
	Damages []Damage
}

// Read reads the bytes of a segment. It never fails: what cannot be read is a Damage, and the rest is there.
func Read(data []byte) (s Segment) {
	for at := 0; at < len(data); {
		r, size, err := frame(data[at:])
		if err == nil {
			at += size
			if r.Kind == KindHead {
				if !s.Whole {
					s.Head, s.Whole = *r.Head, true
				}
				continue
			}
			s.Records = append(s.Records, r)
			continue
		}
		to := resume(data, at+1)
		s.Damages = append(s.Damages, Damage{Offset: at, Bytes: to - at, AtEnd: to == len(data)})
		at = to
	}
	return s
}

// resume finds the next place at which a whole frame stands.
func resume(data []byte, from int) int {
	for at := from; at < len(data); at++ {
		i := bytes.Index(data[at:], []byte{markA, markB})
		if i < 0 {
			return len(data)
		}
		at += i
		if _, _, err := frame(data[at:]); err == nil {
			return at
		}
	}
	return len(data)
}

// Missing is a run of numbers that are absent.
type Missing struct {
	From, To uint64 // both absent
	Dropped  bool   // the box itself says that it dropped them
	Tail     bool   // nothing is known of what came after; From is the first that is not there
}

// Incarnation is all that is there of one start of a box's process.
type Incarnation struct {
	Box, Name, Build string
	Records          []Record // by number
	Missing          []Missing
	Damages          int
}

// Gather puts the segments of one box together: each incarnation's records in order, each once, and what is absent.
func Gather(segments []Segment) []Incarnation {
	byName := map[string]*Incarnation{}
	var order []string
	for _, s := range segments {
		if !s.Whole {
			continue
		}
		in := byName[s.Head.Incarnation]
		if in == nil {
			in = &Incarnation{Box: s.Head.Box, Name: s.Head.Incarnation, Build: s.Head.Build}
			byName[s.Head.Incarnation] = in
			order = append(order, s.Head.Incarnation)
		}
		in.Records = append(in.Records, s.Records...)
		in.Damages += len(s.Damages)
	}
	list := make([]Incarnation, 0, len(order))
	for _, name := range order {
		in := byName[name]
		slices.SortStableFunc(in.Records, func(a, b Record) int {
			switch {
			case a.N < b.N:
				return -1
			case a.N > b.N:
				return 1
			}
			return 0
		})
		in.Records = slices.CompactFunc(in.Records, func(a, b Record) bool { return a.N == b.N })
		in.Missing = missing(in.Records)
		list = append(list, *in)
	}
	slices.SortStableFunc(list, func(a, b Incarnation) int {
		if len(a.Records) == 0 || len(b.Records) == 0 {
			return len(b.Records) - len(a.Records)
		}
		return int(max(min(a.Records[0].At-b.Records[0].At, 1), -1))
	})
	return list
}

// missing lists the absent numbers of records in order.
func missing(records []Record) (list []Missing) {
	next := uint64(1)
	for _, r := range records {
		if r.N > next {
			list = append(list, Missing{From: next, To: r.N - 1, Dropped: r.Kind == KindLost && r.Lost >= r.N-next})
		}
		next = r.N + 1
	}
	if n := len(records); n == 0 || records[n-1].Kind != KindEnd {
		list = append(list, Missing{From: next, Tail: true})
	}
	return list
}

// ReadFolder reads all that a box has left in its folder.
func ReadFolder(dir string) ([]Incarnation, error) {
	files, err := Disk{}.List(dir)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	var segments []Segment
	var bad error
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, f.Name))
		if err != nil {
			bad = errors.Join(bad, fmt.Errorf("records: %w", err))
			continue
		}
		segments = append(segments, Read(data))
	}
	return Gather(segments), bad
}
