package records

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

var smallLimits = Limits{BufferBytes: 1 << 14, SegmentBytes: 1 << 12, FolderBytes: 1 << 14, FlushInterval: time.Second}

// limitedDisk is a Disk with limited free space.
type limitedDisk struct {
	Disk
	free int // free bytes; negative for unlimited
}

func (d *limitedDisk) Create(path string) (Appender, error) {
	if d.free == 0 {
		return nil, syscall.ENOSPC
	}
	f, err := d.Disk.Create(path)
	return &limitedFile{f, d}, err
}

type limitedFile struct {
	Appender
	d *limitedDisk
}

func (f *limitedFile) Write(p []byte) (int, error) {
	n := len(p)
	if f.d.free >= 0 && n > f.d.free {
		n = f.d.free
	}
	n, err := f.Appender.Write(p[:n])
	if f.d.free >= 0 {
		f.d.free -= n
	}
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

func newRecorder(t fataler, files Files, dir, incarnation string, l Limits) (*Recorder, *testkit.Clock) {
	clock := testkit.NewClock()
	r, err := NewRecorder(files, dir, Head{Box: "n1", Incarnation: incarnation, Build: "b"}, l, clock.Now)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return r, clock
}

type fataler interface{ Fatalf(string, ...any) }

func read(t fataler, dir string) []Incarnation {
	list, err := ReadFolder(dir)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return list
}

func TestRecordsAreReadInOrder(t *testing.T) {
	dir := t.TempDir()
	for life := range 3 {
		r, clock := newRecorder(t, Disk{}, dir, fmt.Sprintf("i%d", life), Limits{BufferBytes: 1 << 14, SegmentBytes: 1 << 12, FolderBytes: 1 << 20})
		clock.Advance(time.Duration(life) * time.Hour)
		r.Add(Record{Kind: KindStart, Cold: true})
		for range 200 {
			clock.Advance(250 * time.Millisecond)
			r.Add(Record{Kind: KindGauge, Gauge: &Gauge{Refusal: 0.25, Pool: 9, Held: 3}})
			r.Add(Record{Kind: KindTally, Tally: []Tally{{Class: "a", Tenant: "x", Read: 5, InAim: 4, Early: 1}}})
			if err := r.Flush(); err != nil {
				t.Fatal(err)
			}
		}
		if life < 2 {
			r.Add(Record{Kind: KindEnd})
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	}
	list := read(t, dir)
	if len(list) != 3 {
		t.Fatalf("%d incarnations", len(list))
	}
	for i, in := range list {
		ended := i < 2
		if in.Name != fmt.Sprintf("i%d", i) || in.Box != "n1" || in.Records[0].Kind != KindStart || !in.Records[0].Cold || in.Damages != 0 {
			t.Errorf("incarnation %d: %s with %d records", i, in.Name, len(in.Records))
		}
		if got := len(in.Missing) == 0; got != ended {
			t.Errorf("incarnation %d: missing %+v", i, in.Missing)
		}
	}
}

// TestTruncationLosesOnlyTheTail truncates a segment after every byte, and flips a bit in every byte. All other complete
// records must be read, and the damage and the absent numbers must be reported.
func TestTruncationLosesOnlyTheTail(t *testing.T) {
	dir := t.TempDir()
	r, _ := newRecorder(t, Disk{}, dir, "i", DefaultLimits)
	for i := range 12 {
		r.Add(Record{Kind: KindGauge, Gauge: &Gauge{Held: uint16(i)}})
	}
	r.Add(Record{Kind: KindEnd})
	r.Close()
	path := filepath.Join(dir, "i-00000001.rec")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ends := []int{}
	for at := 0; at < len(whole); {
		_, size, err := readFrame(whole[at:])
		if err != nil {
			t.Fatal(err)
		}
		at += size
		ends = append(ends, at)
	}
	for n := range whole {
		frames := 0
		for _, e := range ends {
			if e <= n {
				frames++
			}
		}
		s := Read(whole[:n])
		atEdge := n == 0 || frames > 0 && ends[frames-1] == n
		if len(s.Records) != max(frames-1, 0) || (len(s.Damaged) == 0) != atEdge || len(s.Damaged) == 1 && !s.Damaged[0].AtEnd {
			t.Fatalf("truncated after %d bytes: %d records, %d frames, damages %+v", n, len(s.Records), frames, s.Damaged)
		}
		if frames > 0 {
			if in := MergeSegments([]Segment{s}); len(in) != 1 || len(in[0].Missing) != 1 || !in[0].Missing[0].TailUnknown || in[0].Missing[0].From != uint64(frames) {
				t.Fatalf("truncated after %d bytes: missing %+v", n, in)
			}
		}
		flipped := append([]byte(nil), whole...)
		flipped[n] ^= 0x10
		s = Read(flipped)
		if len(s.Records)+map[bool]int{true: 1}[s.HasHead] != len(ends)-1 || len(s.Damaged) != 1 {
			t.Fatalf("byte %d flipped: %d records of %d, head read %v, damages %+v", n, len(s.Records), len(ends)-1, s.HasHead, s.Damaged)
		}
	}
}

// TestFullDiskLosesAndReportsRecords fills the disk at every byte of the output, then frees space. Records are lost, but
// Lost records must report them.
func TestFullDiskLosesAndReportsRecords(t *testing.T) {
	for room := range 600 {
		dir := t.TempDir()
		d := &limitedDisk{free: room}
		r, _ := newRecorder(t, d, dir, "i", DefaultLimits)
		writeFailed := false
		for i := range 20 {
			r.Add(Record{Kind: KindGauge, Gauge: &Gauge{Held: uint16(i)}})
			if i%3 == 0 {
				err := r.Flush()
				writeFailed = writeFailed || err != nil
				if err != nil && !errors.Is(err, syscall.ENOSPC) {
					t.Fatal(err)
				}
			}
			if i == 10 {
				d.free = -1
			}
		}
		r.Add(Record{Kind: KindEnd})
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
		list := read(t, dir)
		if len(list) != 1 {
			t.Fatalf("room for %d bytes: %d incarnations", room, len(list))
		}
		seen, absent, reported := map[uint64]bool{}, uint64(0), uint64(0)
		for _, rec := range list[0].Records {
			seen[rec.N] = true
			reported += rec.Lost
		}
		last := list[0].Records[len(list[0].Records)-1]
		for n := uint64(1); n <= last.N; n++ {
			if !seen[n] {
				absent++
			}
		}
		if last.Kind != KindEnd || (absent > 0) != writeFailed && absent > 0 || reported < absent {
			t.Fatalf("room for %d bytes: %d records absent, %d reported as lost, write failed %v, last kind %v", room, absent, reported, writeFailed, last.Kind)
		}
	}
}

// TestMemoryAndDiskAreBounded plays random additions and flushes on a disk that is full at times.
func TestMemoryAndDiskAreBounded(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "box")
		if err != nil {
			rt.Fatalf("%v", err)
		}
		d := &limitedDisk{free: -1}
		r, clock := newRecorder(rt, d, dir, "i", smallLimits)
		return map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				for range rapid.IntRange(1, 300).Draw(rt, "records") {
					r.Add(Record{Kind: KindGauge, Gauge: &Gauge{Held: 1}, Text: "some text"})
				}
				clock.Advance(time.Second)
			},
			"flush": func(*rapid.T) { r.Flush() },
			"full":  func(*rapid.T) { d.free = 0 },
			"room":  func(*rapid.T) { d.free = -1 },
			"": func(rt *rapid.T) {
				if len(r.buffer) > smallLimits.BufferBytes {
					rt.Fatalf("%d bytes are buffered", len(r.buffer))
				}
				files, err := d.List(dir)
				sum := int64(0)
				for _, f := range files {
					sum += f.Size
				}
				if err != nil || sum > int64(smallLimits.FolderBytes+smallLimits.BufferBytes) {
					rt.Fatalf("%d bytes in the folder, %v", sum, err)
				}
				for _, in := range read(rt, dir) {
					for i, rec := range in.Records {
						if i > 0 && rec.N <= in.Records[i-1].N {
							rt.Fatalf("record %d after %d", rec.N, in.Records[i-1].N)
						}
					}
				}
			},
		}
	})
}

func TestInvalidNamesAndLimitsAreRejected(t *testing.T) {
	for _, h := range []Head{{}, {Box: "n1"}, {Box: "n1", Incarnation: "a/b"}, {Box: "n1", Incarnation: "a-b"}} {
		if _, err := NewRecorder(Disk{}, "", h, DefaultLimits, nil); err == nil {
			t.Errorf("%+v is accepted", h)
		}
	}
	if _, err := NewRecorder(Disk{}, "", Head{Box: "n1", Incarnation: "i"}, Limits{}, nil); err == nil {
		t.Error("zero limits are accepted")
	}
}

func FuzzRead(f *testing.F) {
	b, err := appendFrame(nil, &Record{Kind: KindHead, Head: &Head{Box: "n1", Incarnation: "i"}})
	if err != nil {
		f.Fatal(err)
	}
	b, _ = appendFrame(b, &Record{N: 1, Kind: KindGauge, Gauge: &Gauge{}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := Read(data)
		sum := 0
		for _, d := range s.Damaged {
			sum += d.Bytes
		}
		if sum > len(data) {
			t.Errorf("%d bytes of damage in %d", sum, len(data))
		}
		MergeSegments([]Segment{s, s})
	})
}

// BenchmarkAdd measures the cost of a record to the goroutine that adds it.
func BenchmarkAdd(b *testing.B) {
	r, err := NewRecorder(Disk{}, b.TempDir(), Head{Box: "n1", Incarnation: "i"}, DefaultLimits, func() time.Duration { return 0 })
	if err != nil {
		b.Fatal(err)
	}
	rec := Record{Kind: KindGauge, Gauge: &Gauge{Refusal: 0.5, Pool: 12, Held: 30, Running: 12}}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		r.Add(rec)
		if n++; n%1000 == 0 {
			r.Flush()
		}
	}
}
