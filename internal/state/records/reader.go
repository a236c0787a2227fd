package records

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// DamagedRange is a range of bytes of a segment that cannot be read.
type DamagedRange struct {
	Offset int
	Bytes  int
	AtEnd  bool // the damage reaches the end: the segment was truncated, or the process ended within a frame
}

// Segment is the readable content of one segment.
type Segment struct {
	Head    Head
	HasHead bool // the head was read
	Records []Record
	Damaged []DamagedRange
}

// Read decodes the bytes of a segment. It never fails: unreadable parts are listed in Damaged, and all other records are
// returned.
func Read(data []byte) (s Segment) {
	for at := 0; at < len(data); {
		r, size, err := readFrame(data[at:])
		if err == nil {
			at += size
			if r.Kind == KindHead {
				if !s.HasHead {
					s.Head, s.HasHead = *r.Head, true
				}
				continue
			}
			s.Records = append(s.Records, r)
			continue
		}
		to := nextFrame(data, at+1)
		s.Damaged = append(s.Damaged, DamagedRange{Offset: at, Bytes: to - at, AtEnd: to == len(data)})
		at = to
	}
	return s
}

// nextFrame returns the next offset at which a complete frame begins, or len(data) if there is none.
func nextFrame(data []byte, from int) int {
	for at := from; at < len(data); at++ {
		i := bytes.Index(data[at:], []byte{magicA, magicB})
		if i < 0 {
			return len(data)
		}
		at += i
		if _, _, err := readFrame(data[at:]); err == nil {
			return at
		}
	}
	return len(data)
}

// MissingRange is a range of absent record numbers.
type MissingRange struct {
	From, To    uint64 // inclusive
	Dropped     bool   // a Lost record of the box states that they were dropped
	TailUnknown bool   // the records end here without an End record; From is the first absent number, To is 0
}

// Incarnation holds the available records of one process start of a box.
type Incarnation struct {
	Box, Name, Build string
	Records          []Record // sorted by number
	Missing          []MissingRange
	Damages          int
}

// MergeSegments merges the segments of one box. For each incarnation it returns the records sorted by number, without
// duplicates, and the absent numbers.
func MergeSegments(segments []Segment) []Incarnation {
	byName := map[string]*Incarnation{}
	var order []string
	for _, s := range segments {
		if !s.HasHead {
			continue
		}
		in := byName[s.Head.Incarnation]
		if in == nil {
			in = &Incarnation{Box: s.Head.Box, Name: s.Head.Incarnation, Build: s.Head.Build}
			byName[s.Head.Incarnation] = in
			order = append(order, s.Head.Incarnation)
		}
		in.Records = append(in.Records, s.Records...)
		in.Damages += len(s.Damaged)
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

// missing returns the absent numbers of sorted records.
func missing(records []Record) (list []MissingRange) {
	next := uint64(1)
	for _, r := range records {
		if r.N > next {
			list = append(list, MissingRange{From: next, To: r.N - 1, Dropped: r.Kind == KindLost && r.Lost >= r.N-next})
		}
		next = r.N + 1
	}
	if n := len(records); n == 0 || records[n-1].Kind != KindEnd {
		list = append(list, MissingRange{From: next, TailUnknown: true})
	}
	return list
}

// ReadFolder reads all segments in the folder of a box.
func ReadFolder(dir string) ([]Incarnation, error) {
	files, err := Disk{}.List(dir)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	var segments []Segment
	var readErrs error
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, f.Name))
		if err != nil {
			readErrs = errors.Join(readErrs, fmt.Errorf("records: %w", err))
			continue
		}
		segments = append(segments, Read(data))
	}
	return MergeSegments(segments), readErrs
}
