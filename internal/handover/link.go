package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/decide/handover"
)

const (
	lockName   = "cairnlane.owner"
	socketName = "cairnlane.handover"
	// queueMost bounds what the other process has not read.
	queueMost  = 16 << 20
	flushPause = 2 * time.Millisecond  // between tries to write to a process that does not read
	dialPause  = 20 * time.Millisecond // between tries to reach the owner, and to become it
	// waitForTold is how long a process that was not told all leaves the lock to one that was.
	waitForTold = 250 * time.Millisecond
	pathMost    = 100 // bytes of a socket's path that the kernel takes
)

// Events takes what the link tells. The calls come one at a time, from one goroutine.
type Events interface {
	Joined(guest bool)        // there is a link; guest says that the other process owns the claims
	Told(m *handover.Message) // a message; it is lent for the call
	Parted()                  // the link has ended
	TookOver(all bool)        // the process before this one has ended; all says that all it owed was told
}

// Link is one process's end. There is one owner, who holds a lock on a file in the folder, and at most one guest.
//
// Messages are written to the socket in the call that sends them. It is not netpoll's: a key must be with the kernel
// before RUN is written for it, so that it reaches the other process also if this one is killed between the two. When
// the other process does not read, messages queue here, and a mark in the lock's file says, until they are written,
// that it was not told all; whoever takes over reads the mark.
type Link struct {
	dir    string
	lock   *os.File
	events Events

	mu    sync.Mutex // guards what follows
	conn  *net.UnixConn
	raw   syscall.RawConn
	queue []byte
	bound int  // of the queue
	timer bool // a flush is due
	mark  byte // what the file says
	owner bool
}

// The marks.
const (
	someTold byte = '0'
	allTold  byte = '1'
	inOrder  byte = 'e'
)

// Past is what a process finds in the folder.
type Past int

// What a process may find.
const (
	Fresh   Past = iota // no process was here, or the last one has ended in order
	Follows             // there is a process before this one
	Died                // the last one has died and told nobody what it ran
)

// Open prepares a link in a folder that both processes share, and tells what it finds there.
func Open(dir string) (l *Link, past Past, err error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, Fresh, fmt.Errorf("hand-over: %w", err)
	}
	l = &Link{dir: dir, lock: f, bound: queueMost}
	got, err := l.tryLock(false)
	for end := time.Now().Add(waitForTold); err == nil && !got && time.Now().Before(end) && !l.held(); {
		time.Sleep(dialPause)
		got, err = l.tryLock(false)
	}
	if err == nil && !got && !l.held() {
		got, err = l.tryLock(true)
	}
	if err != nil {
		f.Close()
		return nil, Fresh, fmt.Errorf("hand-over: %w", err)
	}
	switch {
	case !got:
		return l, Follows, nil
	case l.readMark() != inOrder:
		return l, Died, nil
	}
	return l, Fresh, nil
}

// Bound sets how many bytes may wait for the other process, queueMost at most. It must hold all results that are kept.
func (l *Link) Bound(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound = min(most, queueMost)
}

// End says that this process ends in order: whoever starts next has nothing to doubt. A guest that is there takes over,
// and reads from the mark whether it was told all.
func (l *Link) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		l.setMark(inOrder)
	}
}

// tryLock tries to own the claims. One who was not told all leaves them to one who was, unless sure.
func (l *Link) tryLock(sure bool) (bool, error) {
	err := unix.Flock(int(l.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("lock %s: %w", l.lock.Name(), err)
	}
	if !sure && l.readMark() == allTold {
		return false, unix.Flock(int(l.lock.Fd()), unix.LOCK_UN)
	}
	return true, nil
}

// held tells whether some process owns the claims.
func (l *Link) held() bool {
	err := unix.Flock(int(l.lock.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if err == nil {
		unix.Flock(int(l.lock.Fd()), unix.LOCK_UN)
	}
	return err != nil
}

func (l *Link) readMark() byte {
	var b [1]byte
	if _, err := l.lock.ReadAt(b[:], 0); err != nil {
		return inOrder // the file is new
	}
	return b[0]
}

// setMark writes the mark if it has changed; l.mu is held. The file lies in memory, so it does not wait.
func (l *Link) setMark(m byte) {
	if l.mark == m || !l.owner {
		return
	}
	if _, err := l.lock.WriteAt([]byte{m}, 0); err != nil {
		log.Print("hand-over: mark: ", err)
	}
	l.mark = m
}

// Keep keeps up the link until ctx ends, and has given up the lock then: the other process must not wait for this one's
// end, which may take its time. past is Open's.
func (l *Link) Keep(ctx context.Context, past Past, events Events) {
	l.events = events
	defer l.release()
	if past == Follows {
		if !l.follow(ctx) {
			return
		}
	}
	l.mu.Lock()
	l.owner = true
	l.setMark(someTold)
	l.mu.Unlock()
	for ctx.Err() == nil {
		if err := l.serve(ctx); err != nil && ctx.Err() == nil {
			log.Print("hand-over: no process can replace this one: ", err)
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}
}

// release gives up the lock.
func (l *Link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner = false
	l.lock.Close()
}

// path is the socket's, through the folder's descriptor where it would be too long.
func (l *Link) path() (string, func(), error) {
	p := filepath.Join(l.dir, socketName)
	if len(p) <= pathMost {
		return p, func() {}, nil
	}
	d, err := os.Open(l.dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { d.Close() }, nil
}

// serve takes guests, one at a time, as the owner.
func (l *Link) serve(ctx context.Context) error {
	p, done, err := l.path()
	if err != nil {
		return err
	}
	if err := os.Remove(p); err != nil && !errors.Is(err, os.ErrNotExist) { // left by an owner that has ended
		done()
		return err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: p, Net: "unix"})
	if err == nil {
		err = os.Chmod(p, 0o600)
	}
	done()
	if ln != nil {
		defer ln.Close()
	}
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false)
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for ctx.Err() == nil {
		c, err := ln.AcceptUnix()
		if err != nil {
			return err
		}
		l.run(ctx, c, false)
	}
	return nil
}

// follow is a guest's life, until it owns the claims. False means that ctx has ended.
func (l *Link) follow(ctx context.Context) bool {
	told := false
	var gone time.Time // since when no owner answers
	for ctx.Err() == nil {
		if c, err := l.dial(); err == nil {
			// An owner that ends may leave its socket for a moment longer than the link: a link on which nothing is said
			// takes nothing back. Whether the owner has run anything since the one before, its mark says.
			if all, heard := l.run(ctx, c, true); heard {
				told = all
			}
			gone = time.Time{}
			if !told {
				time.Sleep(dialPause) // it does not want us, or has ended; see waitForTold
			}
		}
		if gone.IsZero() {
			gone = time.Now()
		}
		// The kernel ends an owner's link before or after its lock, so the lock may be a moment late.
		all := told && l.readMark() == allTold
		got, err := l.tryLock(told || time.Since(gone) > waitForTold)
		if err != nil {
			log.Print("hand-over: ", err)
		}
		if got {
			l.events.TookOver(all)
			return true
		}
		select {
		case <-time.After(dialPause):
		case <-ctx.Done():
		}
	}
	return false
}

func (l *Link) dial() (*net.UnixConn, error) {
	p, done, err := l.path()
	if err != nil {
		return nil, err
	}
	defer done()
	return net.DialUnix("unix", nil, &net.UnixAddr{Name: p, Net: "unix"})
}

// run carries one link to its end and tells whether this process, as a guest, was told all that the owner owed, and
// whether it was told anything.
func (l *Link) run(ctx context.Context, c *net.UnixConn, guest bool) (told, heard bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		log.Print("hand-over: ", err)
		c.Close()
		return false, false
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	l.mu.Lock()
	l.conn, l.raw, l.queue = c, raw, nil
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.conn, l.raw, l.queue = nil, nil, nil
		if ctx.Err() == nil { // else this process ends, and the other one reads what is on its way
			l.setMark(someTold)
		}
		l.mu.Unlock()
		c.Close()
		l.events.Parted()
	}()
	if guest {
		l.Send(&handover.Message{Kind: handover.Hello, N: handover.Version})
		l.events.Joined(true)
	}
	greeted := guest
	err = read(c, func(m *handover.Message) error {
		heard = true
		switch {
		case m.Kind == handover.Hello && !greeted && m.N == handover.Version:
			greeted = true
			l.events.Joined(false)
		case m.Kind == handover.Hello, !greeted:
			return fmt.Errorf("%w: kind %d, number %d where a hello of version %d is due", ErrMalformed, m.Kind, m.N, handover.Version)
		default:
			told = told || m.Kind == handover.Synced
			l.events.Told(m)
		}
		return nil
	})
	if err != nil && ctx.Err() == nil {
		log.Print("hand-over: the link to the other process: ", err)
		told, heard = false, true // what came after it is not known
	}
	return told && guest, heard
}

// read reads messages to the end of the link.
func read(c io.Reader, take func(*handover.Message) error) error {
	var in []byte
	for buf := make([]byte, 16<<10); ; {
		n, err := c.Read(buf)
		in = append(in, buf[:n]...)
		rest := in
		for {
			m, next, done, err := nextMessage(rest)
			if err != nil {
				return err
			}
			if !done {
				break
			}
			if err := take(&m); err != nil {
				return err
			}
			rest = next
		}
		in = append(in[:0], rest...)
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			return nil // the other process has ended; half a message that it left is none
		}
		if err != nil {
			return err
		}
	}
}

// Send implements replica.Peer.
func (l *Link) Send(m *handover.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	if len(l.queue) > l.bound {
		l.conn.Close() // it comes back, and is told all anew
		return
	}
	l.queue = appendMessage(l.queue, m)
	if !l.timer {
		l.flush()
	}
}

// flush writes what the other process's socket has room for; l.mu is held.
func (l *Link) flush() {
	for len(l.queue) > 0 {
		n, err := 0, error(nil)
		if e := l.raw.Write(func(fd uintptr) bool {
			n, err = unix.Write(int(fd), l.queue)
			return true // whatever came of it: nobody waits here
		}); e != nil {
			err = e
		}
		if n > 0 {
			l.queue = l.queue[n:]
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			l.setMark(someTold)
			if errors.Is(err, unix.EAGAIN) && !l.timer {
				l.timer = true
				time.AfterFunc(flushPause, l.flushLate)
			}
			return // at any other error the reader ends the link
		}
	}
	l.queue = nil
	l.setMark(allTold)
}

func (l *Link) flushLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = false
	if l.conn != nil {
		l.flush()
	}
}
