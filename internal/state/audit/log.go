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

// Limits bound a log.
type Limits struct {
	Segment int64 // bytes of a segment
	Folder  int64 // bytes of all of them
}

// DefaultLimits hold some 200,000 entries.
var DefaultLimits = Limits{Segment: 1 << 20, Folder: 32 << 20}

// File is what a segment is written to.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log writes one chain. Its calls may come from any goroutine; one waits for another's.
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
	n       uint64 // of the last entry
	sum     Sum
	lost    uint64 // entries that the disk refused since
	index   uint64 // the greatest of the ledger that an entry carries: a box that goes through its ledger anew knows no less than before
	clean   Mark   // what is on the disk
	first   struct {
		path string
		n    uint64
	}
}

// Open takes up the chain in a folder, or begins one. What stands behind its last whole entry was never told to anybody and
// is cut off: the process had ended within a write. how tells how the log was found.
func Open(dir, box string, limits Limits, wall func() time.Duration) (l *Log, how string, err error) {
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
	how = "a new chain"
	if len(names) > 0 {
		last := names[len(names)-1]
		if how, err = l.resume(last); err != nil {
			return nil, "", err
		}
	}
	if l.chain == "" {
		var id [8]byte
		if _, err := rand.Read(id[:]); err != nil {
			return nil, "", fmt.Errorf("audit: %w", err)
		}
		// Chains sort by the time at which they began, as long as the wall clock does not go back.
		l.chain = fmt.Sprintf("%012x%s", int64(wall()/time.Millisecond), hex.EncodeToString(id[:4]))
		l.sum = first(l.chain, box)
	}
	return l, how, nil
}

// segments lists a folder's, oldest first.
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

// resume goes on behind the last whole entry of a segment. A segment without one, or of another box, is left as it is and a
// new chain is begun: its end shows in the ledger's marks.
func (l *Log) resume(name string) (how string, err error) {
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
	how = "the chain goes on"
	if at < len(raw) {
		how = fmt.Sprintf("the chain goes on; %d bytes of an entry that was not whole are cut off", len(raw)-at)
		if err := os.Truncate(path, int64(at)); err != nil {
			return "", fmt.Errorf("audit: %w", err)
		}
	}
	// The next entry begins a new segment, so that a segment is written by one process.
	l.size = l.limits.Segment
	return how, nil
}

// Chain names the chain.
func (l *Log) Chain() string { return l.chain }

// Write appends an entry and returns its number, 0 if the disk refused it.
func (l *Log) Write(e Entry) (n uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = l.wall()
	l.index = max(l.index, e.Index)
	e.Index = l.index
	e.Text = e.Text[:min(len(e.Text), textMost)]
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

// append writes one entry, in a new segment if the present one is full; l.mu is held. After an error the segment is left:
// what of the entry has come into it is not known, and a reader finds it not whole.
func (l *Log) append(e *Entry) error {
	if l.file == nil || l.size >= l.limits.Segment {
		if err := l.turn(); err != nil {
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
		os.Truncate(l.path(), l.size) // a part of it may be there; if it stays, a reader says so
		return fmt.Errorf("audit: %w", err)
	}
	l.n, l.sum, l.size = e.N, after, l.size+int64(len(raw))
	return nil
}

// turn begins a new segment and removes the oldest ones beyond the bound.
func (l *Log) turn() error {
	if l.file != nil {
		if err := l.file.Sync(); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		l.clean = Mark{Chain: l.chain, N: l.n, Sum: l.sum}
		l.file.Close()
		l.file = nil
	}
	l.bound()
	segment := l.segment + 1
	f, err := l.create(filepath.Join(l.dir, name(l.chain, segment)))
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
		os.Remove(filepath.Join(l.dir, name(l.chain, segment)))
		return fmt.Errorf("audit: %w", err)
	}
	l.file, l.sum, l.size = f, after, int64(len(raw))
	return nil
}

func name(chain string, segment uint32) string {
	return fmt.Sprintf("%s-%08d%s", chain, segment, suffix)
}

func (l *Log) path() string { return filepath.Join(l.dir, name(l.chain, l.segment)) }

// bound removes whole segments, the oldest first, so that one more has room.
func (l *Log) bound() {
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
		if sum+l.limits.Segment <= l.limits.Folder {
			return
		}
		if os.Remove(filepath.Join(l.dir, name)) == nil {
			sum -= sizes[i]
		}
	}
}

// keeps is the number of an entry from which on all will still be there when two more segments have been made; l.mu is held. It is what
// the ledger is told: before the bound takes a segment away, the ledger knows that it may be gone.
func (l *Log) keeps() uint64 {
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
		if info, err := os.Stat(path); err == nil && sum+2*l.limits.Segment > l.limits.Folder && sum > info.Size() {
			sum -= info.Size()
			continue
		}
		if !strings.HasPrefix(name, l.chain) {
			continue // of an earlier chain, which has marks of its own
		}
		if path == l.first.path {
			return l.first.n
		}
		f, err := os.Open(path)
		if err != nil {
			return 0
		}
		raw := make([]byte, frameHead+512) // a head is smaller
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

// Sync has all that was written on the disk, and returns the mark that may be told.
func (l *Log) Sync() (Mark, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return l.clean, nil
	}
	if err := l.file.Sync(); err != nil {
		l.file.Close()
		l.file = nil
		return l.clean, fmt.Errorf("audit: %w", err)
	}
	l.clean = Mark{Chain: l.chain, N: l.n, Sum: l.sum, First: l.keeps()}
	return l.clean, nil
}

// Close ends the log; what was written is on the disk.
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
