package audit

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits are the size limits of a log.
type Limits struct {
	SegmentBytes int64 // maximum bytes of a segment
	FolderBytes  int64 // maximum bytes of all segments
}

// DefaultLimits hold about 200,000 entries.
var DefaultLimits = Limits{SegmentBytes: 1 << 20, FolderBytes: 32 << 20}

// File is an open segment file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log writes one chain. Its methods may be called from any goroutine; calls are serialized.
type Log struct {
	dir    string
	box    string
	limits Limits
	wall   func() time.Duration
	create func(path string) (File, error)

	mu      sync.Mutex
	file    File
	size    int64
	chain   string
	segment uint32
	n       uint64 // number of the last entry
	sum     Sum
	lost    uint64    // entries lost to write errors since the last successful write
	index   uint64    // greatest ledger index of any entry: a box that replays its ledger must not log a smaller index than before
	synced  ChainHead // head of the entries that are on the disk
	first   struct {
		path string
		n    uint64
	}
}

// Open resumes the chain in a folder, or begins a new one. Bytes after the last complete entry are left over from a
// write that the end of the process interrupted; they were never reported to anyone and are truncated. found describes the
// state in which the log was found.
func Open(dir, box string, limits Limits, wall func() time.Duration) (l *Log, found string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("audit: %w", err)
	}
	l = &Log{dir: dir, box: box, limits: limits, wall: wall, create: func(path string) (File, error) {
		f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
		if err != nil {
			return nil, err
		}
		return trialFile(dir, f), nil
	}}
	names, err := segments(dir)
	if err != nil {
		return nil, "", err
	}
	found = "a new chain"
	if len(names) > 0 {
		last := names[len(names)-1]
		if found, err = l.resume(last); err != nil {
			return nil, "", err
		}
	}
	if l.chain == "" {
		var id [8]byte
		if _, err := rand.Read(id[:]); err != nil {
			return nil, "", fmt.Errorf("audit: %w", err)
		}
		// Chain IDs sort by the time at which the chains began, unless the wall clock is set back.
		l.chain = fmt.Sprintf("%012x%s", int64(wall()/time.Millisecond), hex.EncodeToString(id[:4]))
		l.sum = initialSum(l.chain, box)
	}
	return l, found, nil
}

// segments returns the names of the segment files in a folder, oldest first.
func segments(dir string) (names []string, err error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	for _, e := range list {
		if strings.HasSuffix(e.Name(), suffix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// resume continues the chain after the last complete entry of a segment. If the segment has no readable head or belongs
// to another box, it is left unchanged and a new chain is begun; the chain heads in the ledger then show that the old chain
// ended.
func (l *Log) resume(name string) (found string, err error) {
	path := filepath.Join(l.dir, name)
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("audit: %w", err)
	}
	e, sum, at, err := readFrame(raw, nil)
	if err != nil || e.Begin == nil || e.Begin.Box != l.box {
		return "a new chain: the last segment cannot be gone on with", nil
	}
	l.chain, l.segment, l.n, l.index = e.Begin.Chain, e.Begin.Segment, e.N, e.Index
	for {
		e, after, n, err := readFrame(raw[at:], &sum)
		if err != nil {
			break
		}
		l.n, sum, at = e.N, after, at+n
		l.index = max(l.index, e.Index)
	}
	l.sum = sum
	found = "the chain goes on"
	if at < len(raw) {
		found = fmt.Sprintf("the chain goes on; %d bytes of an entry that was not whole are cut off", len(raw)-at)
		if err := os.Truncate(path, int64(at)); err != nil {
			return "", fmt.Errorf("audit: %w", err)
		}
	}
	// The next entry begins a new segment, so that each segment is written by one process only.
	l.size = l.limits.SegmentBytes
	return found, nil
}

// Chain returns the ID of the chain.
func (l *Log) Chain() string { return l.chain }

// Append appends an entry and returns its number, or 0 if it could not be written.
func (l *Log) Append(e Entry) (n uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = l.wall()
	l.index = max(l.index, e.Index)
	e.Index = l.index
	e.Text = e.Text[:min(len(e.Text), maxTextBytes)]
	if l.lost > 0 {
		gap := Entry{Kind: Gap, Count: l.lost, At: e.At, Index: e.Index}
		if err := l.append(&gap); err != nil {
			l.lost++
			return 0, err
		}
		l.lost = 0
	}
	if err := l.append(&e); err != nil {
		l.lost++
		return 0, err
	}
	return e.N, nil
}

// append writes one entry, to a new segment if the current one is full; l.mu is held. After a write error the segment is
// closed, because it is unknown how much of the entry was written; a reader reports an incomplete entry.
func (l *Log) append(e *Entry) error {
	if l.file == nil || l.size >= l.limits.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	e.N = l.n + 1
	raw, after, err := appendFrame(nil, l.sum, e)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(raw); err != nil {
		l.file.Close()
		l.file = nil
		os.Truncate(l.path(), l.size) // removes a partial entry; if this fails, a reader reports it
		return fmt.Errorf("audit: write entry %d: %w", e.N, err)
	}
	l.n, l.sum, l.size = e.N, after, l.size+int64(len(raw))
	return nil
}

// rotate begins a new segment and removes the oldest ones beyond the folder limit.
func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.file.Sync(); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		l.synced = ChainHead{Chain: l.chain, N: l.n, Sum: l.sum}
		l.file.Close()
		l.file = nil
	}
	l.prune()
	segment := l.segment + 1
	f, err := l.create(filepath.Join(l.dir, segmentName(l.chain, segment)))
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	l.segment = segment
	head := &Entry{Kind: Head, N: l.n, At: l.wall(), Begin: &Begin{Box: l.box, Chain: l.chain, Segment: segment, Before: slices.Clone(l.sum[:])}, Index: l.index}
	raw, after, err := appendFrame(nil, l.sum, head)
	if err == nil {
		_, err = f.Write(raw)
	}
	if err != nil {
		f.Close()
		l.segment--
		os.Remove(filepath.Join(l.dir, segmentName(l.chain, segment)))
		return fmt.Errorf("audit: %w", err)
	}
	l.file, l.sum, l.size = f, after, int64(len(raw))
	return nil
}

func segmentName(chain string, segment uint32) string {
	return fmt.Sprintf("%s-%08d%s", chain, segment, suffix)
}

func (l *Log) path() string { return filepath.Join(l.dir, segmentName(l.chain, l.segment)) }

// prune removes the oldest segments until there is room for one more.
func (l *Log) prune() {
	names, err := segments(l.dir)
	if err != nil {
		return
	}
	sizes, sum := make([]int64, len(names)), int64(0)
	for i, name := range names {
		if info, err := os.Stat(filepath.Join(l.dir, name)); err == nil {
			sizes[i] = info.Size()
			sum += info.Size()
		}
	}
	for i, name := range names {
		if sum+l.limits.SegmentBytes <= l.limits.FolderBytes {
			return
		}
		if os.Remove(filepath.Join(l.dir, name)) == nil {
			sum -= sizes[i]
		}
	}
}

// firstRetained returns the number of the first entry that will still be present after two more segments have been
// written, 0 if unknown; l.mu is held. It is reported to the ledger, so that the ledger knows that a segment may be
// missing before the folder limit removes it.
func (l *Log) firstRetained() uint64 {
	names, err := segments(l.dir)
	if err != nil {
		return 0
	}
	sum := int64(0)
	for _, name := range names {
		if info, err := os.Stat(filepath.Join(l.dir, name)); err == nil {
			sum += info.Size()
		}
	}
	for _, name := range names {
		path := filepath.Join(l.dir, name)
		if info, err := os.Stat(path); err == nil && sum+2*l.limits.SegmentBytes > l.limits.FolderBytes && sum > info.Size() {
			sum -= info.Size()
			continue
		}
		if !strings.HasPrefix(name, l.chain) {
			continue // part of an earlier chain, which has its own heads in the ledger
		}
		if path == l.first.path {
			return l.first.n
		}
		f, err := os.Open(path)
		if err != nil {
			return 0
		}
		raw := make([]byte, frameHeaderSize+512) // large enough for any head
		n, _ := io.ReadFull(f, raw)
		f.Close()
		if e, _, _, err := readFrame(raw[:n], nil); err == nil {
			l.first.path, l.first.n = path, e.N+1
			return l.first.n
		}
		return 0
	}
	return 0
}

// Sync flushes all written entries to the disk and returns the chain head that may be reported.
func (l *Log) Sync() (ChainHead, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return l.synced, nil
	}
	if err := l.file.Sync(); err != nil {
		l.file.Close()
		l.file = nil
		return l.synced, fmt.Errorf("audit: %w", err)
	}
	l.synced = ChainHead{Chain: l.chain, N: l.n, Sum: l.sum, First: l.firstRetained()}
	return l.synced, nil
}

// Close flushes and closes the log.
func (l *Log) Close() error {
	_, err := l.Sync()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
		l.file = nil
	}
	return err
}
