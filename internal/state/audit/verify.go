package audit

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Fault is a defect of a log and its location.
type Fault struct {
	Box     string `json:"box"`
	Chain   string `json:"chain"`
	Segment string `json:"segment,omitempty"`
	N       uint64 `json:"n"` // number of the last entry before the defect
	What    string `json:"what"`
}

func (f Fault) String() string {
	at := f.Segment
	if at == "" {
		at = f.Chain
	}
	return fmt.Sprintf("%s: after entry %d of %s: %s", f.Box, f.N, at, f.What)
}

// FolderContents is the content of a log folder.
type FolderContents struct {
	Box     string
	Entries []Entry // without segment heads, ordered by chain and number
	Faults  []Fault
	Lost    uint64 // entries that the box itself reported as lost
	points  map[string][]chainPoint
}

type chainPoint struct {
	n   uint64
	sum Sum
}

// Read reads a folder and verifies each chain by itself. An unreadable part is reported as a fault, and reading
// continues after it.
func Read(dir string) (*FolderContents, error) {
	names, err := segments(dir)
	if err != nil {
		return nil, err
	}
	b := &FolderContents{points: map[string][]chainPoint{}}
	type end struct {
		sum     Sum
		n       uint64
		segment uint32
	}
	ends := map[string]end{}
	for _, name := range names {
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, fmt.Errorf("audit: %w", err)
		}
		head, sum, at, err := readFrame(raw, nil)
		if err != nil || head.Begin == nil {
			b.fault(Fault{Chain: name[:max(0, len(name)-len(suffix)-9)], Segment: name, What: "the segment has no valid head: " + headError(err)})
			continue
		}
		g := head.Begin
		if b.Box == "" {
			b.Box = g.Box
		}
		last, known := ends[g.Chain]
		switch {
		case g.Box != b.Box:
			b.fault(Fault{Chain: g.Chain, Segment: name, What: "the segment is of box " + g.Box})
		case known && g.Segment != last.segment+1:
			b.fault(Fault{Chain: g.Chain, Segment: name, N: last.n, What: fmt.Sprintf("%d segments are missing", int64(g.Segment)-int64(last.segment)-1)})
		case known && Sum(g.Before) != last.sum:
			b.fault(Fault{Chain: g.Chain, Segment: name, N: last.n, What: "the segment does not continue from the hash at the end of the segment before it"})
		case !known && g.Segment == 1 && Sum(g.Before) != initialSum(g.Chain, g.Box):
			b.fault(Fault{Chain: g.Chain, Segment: name, What: "the chain does not start from the initial hash of its ID and box"})
		}
		n := head.N
		if !known {
			b.points[g.Chain] = append(b.points[g.Chain], chainPoint{n, Sum(g.Before)})
		}
		for at < len(raw) {
			e, after, size, err := readFrame(raw[at:], &sum)
			if err != nil {
				f := Fault{Chain: g.Chain, Segment: name, N: n, What: err.Error()}
				if err == errShort && at+len(raw[at:]) == len(raw) {
					f.What = "the segment ends within an entry"
				}
				b.fault(f)
				if size == 0 { // continue at the next possible frame
					size = resync(raw[at:])
				}
				at += size
				sum = after
				if e != nil {
					n = e.N
				}
				continue
			}
			if e.N != n+1 {
				b.fault(Fault{Chain: g.Chain, Segment: name, N: n, What: fmt.Sprintf("entry %d comes next", e.N)})
			}
			n, sum, at = e.N, after, at+size
			e.Box, e.Chain = g.Box, g.Chain
			if e.Kind == Gap {
				b.Lost += e.Count
			}
			b.Entries = append(b.Entries, *e)
			b.points[g.Chain] = append(b.points[g.Chain], chainPoint{n, sum})
		}
		ends[g.Chain] = end{sum, n, g.Segment}
	}
	return b, nil
}

func headError(err error) string {
	if err == nil {
		return "its first entry is of another kind"
	}
	return err.Error()
}

func (b *FolderContents) fault(f Fault) {
	f.Box = b.Box
	if len(b.Faults) < 1000 {
		b.Faults = append(b.Faults, f)
	}
}

// VerifyMarks verifies the contents of a folder against the chain heads in the ledger. It finds what the chains alone
// cannot show: a truncated end, a chain rewritten from some entry on, a folder restored from an older copy. Heads of
// entries that were removed because of the folder limit prove nothing and are counted as old.
func (b *FolderContents) VerifyMarks(heads []ChainHead) (proven, old int) {
	last := map[string]ChainHead{}
	for _, m := range heads {
		last[m.Chain] = m
	}
	for _, m := range heads {
		points := b.points[m.Chain]
		if m == last[m.Chain] && m.First > 0 && len(points) > 0 && points[0].n >= m.First { // the first point is the entry before the segment
			b.fault(Fault{Chain: m.Chain, N: points[0].n, What: fmt.Sprintf("the beginning is missing: entry %d and all after it must be present", m.First)})
		}
		if len(points) == 0 {
			b.fault(Fault{Chain: m.Chain, N: m.N, What: fmt.Sprintf("the chain is missing; the ledger has a head of it at entry %d", m.N)})
			continue
		}
		i, found := slices.BinarySearchFunc(points, m.N, func(p chainPoint, n uint64) int {
			switch {
			case p.n < n:
				return -1
			case p.n > n:
				return 1
			}
			return 0
		})
		switch {
		case found && points[i].sum == m.Sum:
			proven++
		case found:
			b.fault(Fault{Chain: m.Chain, N: m.N, What: "the hash differs from the one in the ledger: rewritten at this entry or before"})
		case i == 0:
			old++
		case i == len(points):
			b.fault(Fault{Chain: m.Chain, N: points[i-1].n, What: fmt.Sprintf("the end is missing: the ledger has a head at entry %d", m.N)})
		default:
			b.fault(Fault{Chain: m.Chain, N: points[i-1].n, What: fmt.Sprintf("entry %d, which the ledger knows, is missing", m.N)})
		}
	}
	return proven, old
}
