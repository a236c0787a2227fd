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

// Limits bound a Recorder.
type Limits struct {
	Buffer  int           // bytes that wait for the disk
	Segment int           // bytes of a segment
	Folder  int           // bytes of all segments in the folder
	Flush   time.Duration // between writes
}

// DefaultLimits hold some hours of a busy box.
var DefaultLimits = Limits{Buffer: 256 << 10, Segment: 1 << 20, Folder: 64 << 20, Flush: 250 * time.Millisecond}

// Appender is a file that is only appended to.
type Appender interface {
	Write(p []byte) (int, error)
	Close() error
}

// Files is what a Recorder needs of a folder.
type Files interface {
	Create(path string) (Appender, error)
	Remove(path string) error
	List(dir string) ([]File, error)
}

// File is an entry of a folder.
type File struct {
	Name string
	Size int64
	Time time.Time
}

// Disk is the system's own file system.
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

// Recorder takes records of one incarnation. Add may be called from anywhere, under any lock: it does no I/O.
type Recorder struct {
	files  Files
	dir    string
	head   Head
	limits Limits
	now    func() time.Duration

	mu      sync.Mutex
	next    uint64 // number of the next record
	buffer  []byte
	dropped uint64 // since the last record that was taken

	disk    sync.Mutex // one write at a time; never held together with mu
	spare   []byte
	out     Appender
	size    int    // of the open segment
	segment uint32 // its number
	refused error  // the last thing that the disk said
}

// NewRecorder begins an incarnation in a folder that is there.
func NewRecorder(files Files, dir string, head Head, limits Limits, now func() time.Duration) (*Recorder, error) {
	if head.Box == "" || head.Incarnation == "" || strings.ContainsAny(head.Incarnation, "/\\-\x00") {
		return nil, fmt.Errorf("records: box %q and incarnation %q; both need a name without dashes and slashes", head.Box, head.Incarnation)
	}
	if limits.Buffer < 1<<12 || limits.Segment < 1<<12 || limits.Folder < 2*limits.Segment {
		return nil, fmt.Errorf("records: limits %+v; 4 KiB at least each, and a folder of two segments", limits)
	}
	return &Recorder{files: files, dir: dir, head: head, limits: limits, now: now, next: 1}, nil
}

// Add takes a record and gives it its number and time. When the buffer is full it is dropped, and that is told by the
// next one that is taken.
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

// put appends to the buffer, if there is room.
func (r *Recorder) put(rec *Record) bool {
	before := len(r.buffer)
	if before >= r.limits.Buffer {
		return false
	}
	buffer, err := appendFrame(r.buffer, rec)
	if err != nil || len(buffer) > r.limits.Buffer {
		r.buffer = r.buffer[:before]
		return false
	}
	r.buffer = buffer
	return true
}

// Flush writes what has gathered. What the disk refuses is dropped and told of with the next write that succeeds. It
// returns what the disk said, for the log.
func (r *Recorder) Flush() error {
	r.disk.Lock()
	defer r.disk.Unlock()
	r.mu.Lock()
	batch := r.buffer
	r.buffer = r.spare[:0]
	first := r.next
	r.mu.Unlock()
	defer func() { r.spare = batch[:0] }()
	if len(batch) == 0 {
		return nil
	}
	if r.out == nil || r.size+len(batch) > r.limits.Segment {
		if err := r.turn(batch, first); err != nil {
			return r.refuse(batch, err)
		}
	}
	n, err := r.out.Write(batch)
	r.size += n
	if err != nil { // half a frame may stand there: the segment is over
		r.out.Close()
		r.out = nil
		return r.refuse(batch[n:], err)
	}
	r.refused = nil
	return nil
}

// refuse counts the whole frames of what was not written, to be told of later.
func (r *Recorder) refuse(batch []byte, err error) error {
	lost := uint64(0)
	for len(batch) >= frameHead {
		rec, size, ferr := frame(batch)
		if ferr != nil { // the rest of the one that was cut
			size = 1
		} else {
			lost += 1 + rec.Lost // what a lost Lost told of is told again
		}
		batch = batch[size:]
	}
	r.mu.Lock()
	r.dropped += lost + 1
	r.mu.Unlock()
	r.refused = fmt.Errorf("records: %d records are lost: %w", lost, err)
	return r.refused
}

// turn begins a segment, after room was made for it.
func (r *Recorder) turn(batch []byte, next uint64) error {
	if r.out != nil {
		r.out.Close()
		r.out = nil
	}
	if err := r.room(); err != nil {
		return err
	}
	head := r.head
	r.segment++
	head.Segment, head.Next = r.segment, next
	if first, _, err := frame(batch); err == nil {
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

// room takes the oldest segments away until one more fits, those of earlier incarnations too.
func (r *Recorder) room() error {
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
	sum := int64(r.limits.Segment)
	for _, f := range list {
		sum += f.Size
	}
	for _, f := range list {
		if sum <= int64(r.limits.Folder) {
			break
		}
		if err := r.files.Remove(filepath.Join(r.dir, f.Name)); err != nil {
			return err
		}
		sum -= f.Size
	}
	return nil
}

// Close writes what is left.
func (r *Recorder) Close() error {
	err := r.Flush()
	r.disk.Lock()
	defer r.disk.Unlock()
	if r.out != nil {
		r.out.Close()
		r.out = nil
	}
	return err
}
