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
	// maxQueue bounds the bytes that the other process has not read.
	maxQueue      = 16 << 20
	flushInterval = 2 * time.Millisecond  // between attempts to write to a process that does not read
	dialInterval  = 20 * time.Millisecond // between attempts to connect to the owner, and to get the lock
	// syncedHeadStart is how long a process that did not receive all state leaves the lock to one that did.
	syncedHeadStart = 250 * time.Millisecond
	maxSocketPath   = 100 // bytes of a socket path that the kernel accepts
)

// Events receives the events of a link. The calls come one at a time, from one goroutine.
type Events interface {
	LinkUp(guest bool)                   // the link is up; guest is true if this process is the guest, so that the other one owns the claims
	MessageReceived(m *handover.Message) // a message was received; m is only valid during the call
	LinkDown()                           // the link is down
	OwnerEnded(all bool)                 // the owner has ended and this process owns the claims; all is true if it received all state
}

// Link is one process's end of the link. There is one owner, which holds a lock on a file in the folder, and at
// most one guest.
//
// Send writes a message to the socket within the call, not through a poller: a key must have reached the kernel
// before RUN is written for it, so that the other process receives it even if this one is killed between the two.
// When the other process does not read, messages are queued here, and until they are written a mark in the lock
// file says that it has not received all state. The process that takes over reads the mark.
type Link struct {
	dir    string
	lock   *os.File
	events Events

	mu             sync.Mutex // guards the fields below
	conn           *net.UnixConn
	raw            syscall.RawConn
	queue          []byte
	queueLimit     int  // limit of the queue
	flushScheduled bool // a flush is scheduled
	mark           byte // the mark in the lock file
	owner          bool
}

// The marks in the lock file: the guest is missing state, the guest was sent all state, the owner exited in order.
const (
	markPartial   byte = '0'
	markComplete  byte = '1'
	markCleanExit byte = 'e'
)

// Previous describes the previous process, as found in the folder.
type Previous int

// The values of Previous.
const (
	NonePrevious Previous = iota // there was no process, or the last one has exited in order
	Running                      // the previous process is still running
	Crashed                      // the last process crashed, and which requests it ran is unknown
)

// Open prepares a link in a folder that both processes share, and returns what it finds there.
func Open(dir string) (l *Link, previous Previous, err error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, NonePrevious, fmt.Errorf("hand-over: %w", err)
	}
	l = &Link{dir: dir, lock: f, queueLimit: maxQueue}
	got, err := l.tryLock(false)
	for end := time.Now().Add(syncedHeadStart); err == nil && !got && time.Now().Before(end) && !l.hasOwner(); {
		time.Sleep(dialInterval)
		got, err = l.tryLock(false)
	}
	if err == nil && !got && !l.hasOwner() {
		got, err = l.tryLock(true)
	}
	if err != nil {
		f.Close()
		return nil, NonePrevious, fmt.Errorf("hand-over: %w", err)
	}
	switch {
	case !got:
		return l, Running, nil
	case l.readMark() != markCleanExit:
		return l, Crashed, nil
	}
	return l, NonePrevious, nil
}

// SetQueueLimit sets how many bytes may be queued for the other process, at most maxQueue. The limit must allow for all results
// that are kept.
func (l *Link) SetQueueLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueLimit = min(limit, maxQueue)
}

// MarkCleanExit records that this process exits in order, so that no key is in doubt for the next one. If there is a guest,
// the mark is left unchanged: the guest takes over and reads from it whether it received all state.
func (l *Link) MarkCleanExit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		l.setMark(markCleanExit)
	}
}

// tryLock tries to take the lock, whose holder owns the claims. Unless force is set, it releases the lock if the
// mark says that another process has received all state.
func (l *Link) tryLock(force bool) (bool, error) {
	err := unix.Flock(int(l.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("lock %s: %w", l.lock.Name(), err)
	}
	if !force && l.readMark() == markComplete {
		return false, unix.Flock(int(l.lock.Fd()), unix.LOCK_UN)
	}
	return true, nil
}

// hasOwner reports whether a process owns the claims.
func (l *Link) hasOwner() bool {
	err := unix.Flock(int(l.lock.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if err == nil {
		unix.Flock(int(l.lock.Fd()), unix.LOCK_UN)
	}
	return err != nil
}

func (l *Link) readMark() byte {
	var b [1]byte
	if _, err := l.lock.ReadAt(b[:], 0); err != nil {
		return markCleanExit // the file is empty
	}
	return b[0]
}

// setMark writes the mark if it has changed; l.mu is held. The lock file is in memory, so the write does not block.
func (l *Link) setMark(m byte) {
	if l.mark == m || !l.owner {
		return
	}
	if _, err := l.lock.WriteAt([]byte{m}, 0); err != nil {
		log.Print("hand-over: write mark: ", err)
	}
	l.mark = m
}

// Run maintains the link until ctx ends, and releases the lock before it returns, so that the other process need
// not wait for the exit of this one, which may take long. previous is the result of Open.
func (l *Link) Run(ctx context.Context, previous Previous, events Events) {
	l.events = events
	defer l.release()
	if previous == Running {
		if !l.follow(ctx) {
			return
		}
	}
	l.mu.Lock()
	l.owner = true
	l.setMark(markPartial)
	l.mu.Unlock()
	for ctx.Err() == nil {
		if err := l.serve(ctx); err != nil && ctx.Err() == nil {
			log.Print("hand-over: cannot serve a successor, retrying in 1 s: ", err)
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}
}

// release releases the lock.
func (l *Link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner = false
	l.lock.Close()
}

// path returns the socket's path, through the descriptor of the folder if the plain path is too long, and a
// function that closes the descriptor.
func (l *Link) path() (string, func(), error) {
	p := filepath.Join(l.dir, socketName)
	if len(p) <= maxSocketPath {
		return p, func() {}, nil
	}
	d, err := os.Open(l.dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { d.Close() }, nil
}

// serve accepts guests as the owner, one at a time.
func (l *Link) serve(ctx context.Context) error {
	p, done, err := l.path()
	if err != nil {
		return err
	}
	if err := os.Remove(p); err != nil && !errors.Is(err, os.ErrNotExist) { // left behind by a previous owner
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

// follow connects to the owner as a guest until this process owns the claims. It returns false if ctx has ended.
func (l *Link) follow(ctx context.Context) bool {
	synced := false
	var unreachableSince time.Time // since when the owner does not answer
	for ctx.Err() == nil {
		if c, err := l.dial(); err == nil {
			// The socket of an exiting owner may outlive its link by a moment, so a link on which nothing was received
			// leaves the state unchanged. Whether the owner has run anything since the earlier link is in the mark.
			if all, received := l.run(ctx, c, true); received {
				synced = all
			}
			unreachableSince = time.Time{}
			if !synced {
				time.Sleep(dialInterval) // the owner serves another guest or has ended; see syncedHeadStart
			}
		}
		if unreachableSince.IsZero() {
			unreachableSince = time.Now()
		}
		// The kernel closes an owner's link before or after its lock, so the lock may become free a moment late.
		all := synced && l.readMark() == markComplete
		got, err := l.tryLock(synced || time.Since(unreachableSince) > syncedHeadStart)
		if err != nil {
			log.Print("hand-over: ", err)
		}
		if got {
			l.events.OwnerEnded(all)
			return true
		}
		select {
		case <-time.After(dialInterval):
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

// run serves one link until it ends. It returns whether this process, as a guest, received all state of the owner,
// and whether it received anything.
func (l *Link) run(ctx context.Context, c *net.UnixConn, guest bool) (synced, received bool) {
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
		if ctx.Err() == nil { // otherwise this process is exiting, and the other one still reads the messages in flight
			l.setMark(markPartial)
		}
		l.mu.Unlock()
		c.Close()
		l.events.LinkDown()
	}()
	if guest {
		l.Send(&handover.Message{Kind: handover.Hello, Number: handover.Version})
		l.events.LinkUp(true)
	}
	helloReceived := guest
	err = readMessages(c, func(m *handover.Message) error {
		received = true
		switch {
		case m.Kind == handover.Hello && !helloReceived && m.Number == handover.Version:
			helloReceived = true
			l.events.LinkUp(false)
		case m.Kind == handover.Hello, !helloReceived:
			return fmt.Errorf("%w: kind %d with number %d where a hello of version %d is expected", ErrMalformed, m.Kind, m.Number, handover.Version)
		default:
			synced = synced || m.Kind == handover.Synced
			l.events.MessageReceived(m)
		}
		return nil
	})
	if err != nil && ctx.Err() == nil {
		log.Print("hand-over: link to the other process failed: ", err)
		synced, received = false, true // later messages are missing
	}
	return synced && guest, received
}

// readMessages passes messages to take until the link ends.
func readMessages(c io.Reader, take func(*handover.Message) error) error {
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
			return nil // the other process has ended; an incomplete message is ignored
		}
		if err != nil {
			return err
		}
	}
}

// Send implements replica.PeerLink. It does not block; without a link it does nothing.
func (l *Link) Send(m *handover.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	if len(l.queue) > l.queueLimit {
		l.conn.Close() // the guest reconnects and receives all state again
		return
	}
	l.queue = appendMessage(l.queue, m)
	if !l.flushScheduled {
		l.flush()
	}
}

// flush writes as much of the queue as the socket accepts; l.mu is held.
func (l *Link) flush() {
	for len(l.queue) > 0 {
		n, err := 0, error(nil)
		if e := l.raw.Write(func(fd uintptr) bool {
			n, err = unix.Write(int(fd), l.queue)
			return true // do not wait until the socket is writable
		}); e != nil {
			err = e
		}
		if n > 0 {
			l.queue = l.queue[n:]
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			l.setMark(markPartial)
			if errors.Is(err, unix.EAGAIN) && !l.flushScheduled {
				l.flushScheduled = true
				time.AfterFunc(flushInterval, l.flushDelayed)
			}
			return // after any other error readMessages ends the link
		}
	}
	l.queue = nil
	l.setMark(markComplete)
}

func (l *Link) flushDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flushScheduled = false
	if l.conn != nil {
		l.flush()
	}
}
