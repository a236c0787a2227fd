package records

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits are the size and time limits of a Recorder.
type Limits struct {
	BufferBytes   int           // maximum bytes that wait to be written
	SegmentBytes  int           // maximum bytes of a segment
	FolderBytes   int           // maximum bytes of all segments in the folder
	FlushInterval time.Duration // interval between writes
}

// DefaultLimits hold several hours of records of a busy box.
var DefaultLimits = Limits{BufferBytes: 256 << 10, SegmentBytes: 1 << 20, FolderBytes: 64 << 20, FlushInterval: 250 * time.Millisecond}

// Appender is an append-only file.
type Appender interface {
	Write(p []byte) (int, error)
	Close() error
}

// Files are the file operations that a Recorder needs.
type Files interface {
	Create(path string) (Appender, error)
	Remove(path string) error
	List(dir string) ([]File, error)
}

// File is a file in a folder.
type File struct {
	Name string
	Size int64
	Time time.Time
}

// Disk implements Files on the file system of the operating system.
type Disk struct{}

// Create implements Files.
func (Disk) Create(path string) (Appender, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Remove implements Files.
func (Disk) Remove(path string) error { return os.Remove(path) }

// List implements Files.
func (Disk) List(dir string) (list []File, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if i, err := e.Info(); err == nil && strings.HasSuffix(e.Name(), suffix) {
			list = append(list, File{e.Name(), i.Size(), i.ModTime()})
		}
	}
	return list, nil
}

const suffix = ".rec"

// Recorder writes the records of one incarnation. Add may be called from any goroutine and under any lock: it does no
// I/O.
type Recorder struct {
	files  Files
	dir    string
	head   Head
	limits Limits
	now    func() time.Duration

	mu      sync.Mutex
	next    uint64 // number of the next record
	buffer  []byte
	dropped uint64 // records dropped since the last one that was accepted

	writeMu  sync.Mutex // serializes writes; Add never takes it
	spare    []byte
	out      Appender
	size     int    // bytes of the open segment
	segment  uint32 // number of the open segment
	writeErr error  // last write error, nil after a successful write
}

// NewRecorder begins an incarnation in an existing folder.
func NewRecorder(files Files, dir string, head Head, limits Limits, now func() time.Duration) (*Recorder, error) {
	if head.Box == "" || head.Incarnation == "" || strings.ContainsAny(head.Incarnation, "/\\-\x00") {
		return nil, fmt.Errorf("records: invalid box %q or incarnation %q: both must not be empty, and the incarnation must not contain slashes, backslashes, dashes or NUL", head.Box, head.Incarnation)
	}
	if limits.BufferBytes < 1<<12 || limits.SegmentBytes < 1<<12 || limits.FolderBytes < 2*limits.SegmentBytes {
		return nil, fmt.Errorf("records: invalid limits %+v: buffer and segment must be at least 4 KiB, the folder at least two segments", limits)
	}
	return &Recorder{files: files, dir: dir, head: head, limits: limits, now: now, next: 1}, nil
}

// Add assigns a number and a time to a record and buffers it. If the buffer is full the record is dropped; a Lost record
// before the next accepted one reports the count.
func (r *Recorder) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped > 0 {
		lost := Record{N: r.next, At: r.now(), Kind: KindLost, Lost: r.dropped}
		if !r.put(&lost) {
			r.dropped++
			r.next++
			return
		}
		r.next++
		r.dropped = 0
	}
	rec.N, rec.At = r.next, r.now()
	r.next++
	if !r.put(&rec) {
		r.dropped++
	}
}

// put appends a record to the buffer and reports whether there was room.
func (r *Recorder) put(rec *Record) bool {
	before := len(r.buffer)
	if before >= r.limits.BufferBytes {
		return false
	}
	buffer, err := appendFrame(r.buffer, rec)
	if err != nil || len(buffer) > r.limits.BufferBytes {
		r.buffer = r.buffer[:before]
		return false
	}
	r.buffer = buffer
	return true
}

// Flush writes the buffered records. Records that cannot be written are dropped and reported by a Lost record in the
// next successful write. The returned error is the write error, for the log.
func (r *Recorder) Flush() error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	batch := r.buffer
	r.buffer = r.spare[:0]
	first := r.next
	r.mu.Unlock()
	defer func() { r.spare = batch[:0] }()
	if len(batch) == 0 {
		return nil
	}
	if r.out == nil || r.size+len(batch) > r.limits.SegmentBytes {
		if err := r.rotate(batch, first); err != nil {
			return r.countLost(batch, err)
		}
	}
	n, err := r.out.Write(batch)
	r.size += n
	if err != nil { // the segment may end within a frame, so it is closed
		r.out.Close()
		r.out = nil
		return r.countLost(batch[n:], err)
	}
	r.writeErr = nil
	return nil
}

// countLost counts the complete frames in a batch that was not written, so that a Lost record reports them later.
func (r *Recorder) countLost(batch []byte, err error) error {
	lost := uint64(0)
	for len(batch) >= frameHeaderSize {
		rec, size, frameErr := readFrame(batch)
		if frameErr != nil { // rest of the partially written frame
			size = 1
		} else {
			lost += 1 + rec.Lost // a lost Lost record stands for records that must be reported again
		}
		batch = batch[size:]
	}
	r.mu.Lock()
	r.dropped += lost + 1
	r.mu.Unlock()
	r.writeErr = fmt.Errorf("records: write failed, %d records lost: %w", lost, err)
	return r.writeErr
}

// rotate makes room for a new segment and begins it.
func (r *Recorder) rotate(batch []byte, next uint64) error {
	if r.out != nil {
		r.out.Close()
		r.out = nil
	}
	if err := r.prune(); err != nil {
		return err
	}
	head := r.head
	r.segment++
	head.Segment, head.Next = r.segment, next
	if first, _, err := readFrame(batch); err == nil {
		head.Next = first.N
	}
	data, err := appendFrame(nil, &Record{At: r.now(), Kind: KindHead, Head: &head})
	if err != nil {
		return err
	}
	out, err := r.files.Create(filepath.Join(r.dir, fmt.Sprintf("%s-%08d%s", head.Incarnation, r.segment, suffix)))
	if err != nil {
		return err
	}
	if _, err := out.Write(data); err != nil {
		out.Close()
		return err
	}
	r.out, r.size = out, len(data)
	return nil
}

// prune removes the oldest segments, including those of earlier incarnations, until there is room for one more.
func (r *Recorder) prune() error {
	list, err := r.files.List(r.dir)
	if err != nil {
		return err
	}
	slices.SortFunc(list, func(a, b File) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	sum := int64(r.limits.SegmentBytes)
	for _, f := range list {
		sum += f.Size
	}
	for _, f := range list {
		if sum <= int64(r.limits.FolderBytes) {
			break
		}
		if err := r.files.Remove(filepath.Join(r.dir, f.Name)); err != nil {
			return err
		}
		sum -= f.Size
	}
	return nil
}

// Close flushes the buffer and closes the open segment.
func (r *Recorder) Close() error {
	err := r.Flush()
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	if r.out != nil {
		r.out.Close()
		r.out = nil
	}
	return err
}
