package audit

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func wall() time.Duration { return 1_764_576_000 * time.Second }

func open(t *testing.T, dir string, limits Limits) (*Log, string) {
	t.Helper()
	l, found, err := Open(dir, "n1", limits, wall)
	if err != nil {
		t.Fatal(err)
	}
	create := l.create
	l.create = func(path string) (File, error) {
		f, err := create(path)
		return noWaitFile{f}, err
	}
	return l, found
}

// noWaitFile is a file whose Sync does not wait for the disk: the tests check only its contents.
type noWaitFile struct{ File }

func (noWaitFile) Sync() error { return nil }

// write appends n effects and returns the chain head after every tenth one.
func write(t *testing.T, l *Log, n int) (heads []ChainHead) {
	t.Helper()
	for i := range n {
		if _, err := l.Append(Entry{Kind: Effect, Task: "export", Token: uint64(i), Index: uint64(i)}); err != nil {
			t.Fatal(err)
		}
		if i%10 == 9 {
			m, err := l.Sync()
			if err != nil {
				t.Fatal(err)
			}
			heads = append(heads, m)
		}
	}
	return heads
}

func read(t *testing.T, dir string) *FolderContents {
	t.Helper()
	b, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var smallLimits = Limits{SegmentBytes: 2000, FolderBytes: 1 << 20}

func TestWrittenEntriesAreReadAndProven(t *testing.T) {
	dir := t.TempDir()
	l, found := open(t, dir, smallLimits)
	heads := write(t, l, 100)
	l.Close()
	again, resumed := open(t, dir, smallLimits)
	heads = append(heads, write(t, again, 50)...)
	again.Close()
	if found != "a new chain" || resumed != "the chain goes on" || l.Chain() != again.Chain() {
		t.Errorf("state at first open %q, at second open %q", found, resumed)
	}
	b := read(t, dir)
	proven, old := b.VerifyMarks(heads)
	if len(b.Entries) != 150 || len(b.Faults) != 0 || proven != 15 || old != 0 {
		t.Errorf("%d entries, %v, %d proven, %d old", len(b.Entries), b.Faults, proven, old)
	}
	for i, e := range b.Entries {
		if e.N != uint64(i+1) || e.Box != "n1" {
			t.Fatalf("entry %d is %+v", i, e)
		}
	}
}

// TestTruncationAtAnyByteIsDetected truncates the last segment after every byte. The check against the chain heads in the
// ledger must report the loss, also after a new process has continued the log behind the cut, at a complete entry.
func TestTruncationAtAnyByteIsDetected(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, DefaultLimits)
	heads := write(t, l, 10)
	l.Close()
	names, _ := segments(dir)
	path := filepath.Join(dir, names[0])
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range whole {
		if err := replace(path, whole[:at]); err != nil {
			t.Fatal(err)
		}
		b := read(t, dir)
		if b.VerifyMarks(heads); len(b.Faults) == 0 {
			t.Fatalf("truncated at %d of %d bytes: no fault reported", at, len(whole))
		}
		if at%199 != 0 {
			continue
		}
		next, _ := open(t, dir, DefaultLimits)
		if _, err := next.Append(Entry{Kind: Start}); err != nil {
			t.Fatal(err)
		}
		next.Close()
		b = read(t, dir)
		after := len(b.Faults)
		b.VerifyMarks(heads)
		if len(b.Faults) == after {
			t.Fatalf("truncated at %d and continued: the chain head in the ledger is not reported as missing", at)
		}
		for _, name := range must(segments(dir)) {
			os.Remove(filepath.Join(dir, name))
		}
	}
}

// replace writes a file anew. Truncating and rewriting it in place would make the file system wait for the disk.
func replace(path string, data []byte) error {
	os.Remove(path)
	return os.WriteFile(path, data, 0o600)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func TestFlippedByteIsDetected(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, Limits{SegmentBytes: 700, FolderBytes: 1 << 20})
	write(t, l, 9)
	l.Close()
	for _, name := range must(segments(dir)) {
		path := filepath.Join(dir, name)
		whole := must(os.ReadFile(path))
		for at := range whole {
			whole[at] ^= 0x10
			if err := replace(path, whole); err != nil {
				t.Fatal(err)
			}
			if b := read(t, dir); len(b.Faults) == 0 {
				t.Fatalf("byte %d of %s flipped: no fault reported", at, name)
			}
			whole[at] ^= 0x10
		}
		replace(path, whole)
	}
	if b := read(t, dir); len(b.Faults) != 0 {
		t.Errorf("faults after the bytes were restored: %v", b.Faults)
	}
}

func TestTamperedFolderIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		tamper func(dir, old string)
		want   string
	}{
		"a segment removed from the middle": {func(dir, _ string) { os.Remove(filepath.Join(dir, must(segments(dir))[2])) }, "1 segments are missing"},
		"the last segment removed":          {func(dir, _ string) { s := must(segments(dir)); os.Remove(filepath.Join(dir, s[len(s)-1])) }, "the end is missing"},
		"all segments removed":              {func(dir, _ string) { os.RemoveAll(dir); os.Mkdir(dir, 0o700) }, "the chain is missing"},
		"restored from an older copy": {func(dir, old string) {
			os.RemoveAll(dir)
			os.Rename(old, dir)
		}, "the end is missing"},
		"restored and continued": {func(dir, old string) {
			os.RemoveAll(dir)
			os.Rename(old, dir)
			l, _ := open(t, dir, smallLimits)
			for range 200 {
				l.Append(Entry{Kind: Effect, Task: "other"})
			}
			l.Close()
		}, "rewritten"},
		"rewritten by Log itself": {func(dir, _ string) {
			b, _ := Read(dir)
			os.RemoveAll(dir)
			l, _ := open(t, dir, smallLimits)
			l.chain = b.Entries[0].Chain
			l.sum = initialSum(l.chain, "n1")
			for i, e := range b.Entries {
				if i == 50 {
					e.Token = 99
				}
				l.Append(e)
			}
			l.Close()
		}, "rewritten"},
	} {
		dir, old := filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "old")
		l, _ := open(t, dir, smallLimits)
		heads := write(t, l, 60)
		os.MkdirAll(old, 0o700)
		for _, s := range must(segments(dir)) {
			os.WriteFile(filepath.Join(old, s), must(os.ReadFile(filepath.Join(dir, s))), 0o600)
		}
		heads = append(heads, write(t, l, 60)...)
		l.Close()
		c.tamper(dir, old)
		b := read(t, dir)
		b.VerifyMarks(heads)
		if text := fmt.Sprint(b.Faults); !strings.Contains(text, c.want) {
			t.Errorf("%s: %s", name, text)
		}
	}
}

func TestFolderIsBoundedAndRemainingEntriesAreProven(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, Limits{SegmentBytes: 2000, FolderBytes: 9000})
	heads := write(t, l, 500)
	l.Close()
	size := int64(0)
	for _, s := range must(segments(dir)) {
		size += must(os.Stat(filepath.Join(dir, s))).Size()
	}
	b := read(t, dir)
	proven, old := b.VerifyMarks(heads)
	if size > 9000+200 || len(b.Faults) > 0 || proven == 0 || old == 0 || proven+old != len(heads) {
		t.Errorf("%d bytes, %v, %d proven and %d old of %d", size, b.Faults, proven, old, len(heads))
	}
}

// limitedFile is a file on a disk that has room for *room more bytes.
type limitedFile struct {
	File
	room *int
}

func (f limitedFile) Write(p []byte) (int, error) {
	if n := *f.room; n < len(p) {
		*f.room = 0
		k, _ := f.File.Write(p[:n])
		return k, syscall.ENOSPC
	}
	*f.room -= len(p)
	return f.File.Write(p)
}

func TestFullDiskIsRecordedAsGap(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, smallLimits)
	create, room := l.create, 1<<20
	l.create = func(path string) (File, error) {
		f, err := create(path)
		return limitedFile{f, &room}, err
	}
	write(t, l, 10)
	for _, left := range []int{0, 1, 30, 60, 100, 150} { // free bytes; the write stops at different offsets within a frame
		room = left
		lost := 0
		for range 5 {
			if _, err := l.Append(Entry{Kind: Effect}); errors.Is(err, syscall.ENOSPC) {
				lost++
			}
			room = min(room, left)
		}
		if lost == 0 {
			t.Fatalf("%d bytes free: no write failed", left)
		}
		room = 1 << 20
		if n, err := l.Append(Entry{Kind: Drain}); err != nil || n == 0 {
			t.Fatal(err)
		}
		b := read(t, dir)
		if len(b.Faults) > 0 || b.Lost == 0 {
			t.Fatalf("%d bytes free: faults %v, %d entries lost", left, b.Faults, b.Lost)
		}
	}
	m, err := l.Sync()
	if err != nil {
		t.Fatal(err)
	}
	b := read(t, dir)
	if proven, _ := b.VerifyMarks([]ChainHead{m}); proven != 1 || len(b.Faults) > 0 {
		t.Errorf("%d proven, %v", proven, b.Faults)
	}
}

// TestAnIndexNeverGoesBack checks that a box that replays its ledger logs no smaller index than before, also after a
// restart.
func TestAnIndexNeverGoesBack(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, DefaultLimits)
	for _, i := range []uint64{5, 9, 2} {
		l.Append(Entry{Kind: FleetStatus, Index: i})
	}
	l.Close()
	l, found := open(t, dir, DefaultLimits)
	l.Append(Entry{Kind: FleetStatus, Index: 1})
	l.Append(Entry{Kind: FleetStatus, Index: 12})
	l.Close()
	var got []uint64
	for _, e := range read(t, dir).Entries {
		got = append(got, e.Index)
	}
	if fmt.Sprint(got) != "[5 9 9 9 12]" || !strings.HasPrefix(found, "the chain goes on") {
		t.Errorf("%v, %s", got, found)
	}
}

// TestMissingFirstSegmentIsDetected checks that a first segment that was deleted is reported, and one that the folder
// limit removed is not.
func TestMissingFirstSegmentIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		cut    bool
		faults int
	}{"whole": {DefaultLimits, false, 0}, "cut": {Limits{SegmentBytes: 2 << 10, FolderBytes: 1 << 20}, true, 1}, "bounded": {Limits{SegmentBytes: 2 << 10, FolderBytes: 10 << 10}, false, 0}} {
		dir := t.TempDir()
		l, _ := open(t, dir, c.limits)
		heads := write(t, l, 400)
		l.Close()
		if c.cut {
			names, _ := segments(dir)
			os.Remove(filepath.Join(dir, names[0]))
		}
		b := read(t, dir)
		b.VerifyMarks(heads)
		if len(b.Faults) != c.faults {
			t.Errorf("%s: %v", name, b.Faults)
		}
	}
}

type failingSyncFile struct{ File }

func (failingSyncFile) Sync() error { return syscall.EIO }

// TestHeadIsReportedOnlyAfterSync checks that after a failed sync the chain head is the previous one.
func TestHeadIsReportedOnlyAfterSync(t *testing.T) {
	l, _ := open(t, t.TempDir(), DefaultLimits)
	l.Append(Entry{Kind: FleetStatus})
	first, err := l.Sync()
	if err != nil || first.N != 1 {
		t.Fatal(first, err)
	}
	l.Append(Entry{Kind: FleetStatus})
	l.file = failingSyncFile{l.file}
	if m, err := l.Sync(); err == nil || m.N != first.N {
		t.Errorf("%+v, %v", m, err)
	}
}
