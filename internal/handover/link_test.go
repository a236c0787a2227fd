package handover

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/decide/handover"
)

// process is one end of a link; the events that it receives are sent to a channel.
type process struct {
	*Link
	events   chan string
	cancel   context.CancelFunc
	ended    chan struct{}
	previous Previous
}

func (p *process) LinkUp(guest bool) {
	p.events <- fmt.Sprint("joined ", guest)
	if !guest {
		p.Send(&handover.Message{Kind: handover.Entry, Key: "u k", Body: []byte("result")})
		p.Send(&handover.Message{Kind: handover.Synced})
	}
}
func (p *process) MessageReceived(m *handover.Message) {
	p.events <- fmt.Sprintf("told %d %s%s", m.Kind, m.Key, m.Body)
}
func (p *process) LinkDown()           { p.events <- "parted" }
func (p *process) OwnerEnded(all bool) { p.events <- fmt.Sprint("took over ", all) }

func startProcess(t *testing.T, dir string) *process {
	t.Helper()
	l, past, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Link: l, events: make(chan string, 1000), cancel: cancel, ended: make(chan struct{}), previous: past}
	go func() {
		p.Run(ctx, past, p) // releases the lock when it returns
		close(p.ended)
	}()
	t.Cleanup(p.end)
	return p
}

func (p *process) end() {
	p.cancel()
	<-p.ended
}

func (p *process) expect(t *testing.T, events ...string) {
	t.Helper()
	for _, w := range events {
		select {
		case got := <-p.events:
			if got != w {
				t.Fatalf("event %q, want %q", got, w)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no event within 20 s, want %q", w)
		}
	}
}

const (
	entryEvent  = "told 2 u kresult"
	syncedEvent = "told 6 "
)

func TestGuestTakesOverFromOwner(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	if old.previous != NonePrevious {
		t.Fatal("the first process finds a previous one")
	}
	next := startProcess(t, dir)
	if next.previous != Running {
		t.Fatal("the second process does not find the first one")
	}
	next.expect(t, "joined true", entryEvent, syncedEvent)
	old.expect(t, "joined false")
	next.Send(&handover.Message{Kind: handover.Claim, Key: "u j"})
	old.expect(t, "told 4 u j")
	old.end()
	next.expect(t, "parted", "took over true")
	third := startProcess(t, dir) // without a pause
	third.expect(t, "joined true", entryEvent, syncedEvent)
	next.expect(t, "joined false")
	next.end()
	third.expect(t, "parted", "took over true")
}

// The socket of an owner may outlive its link. A guest that connects to it once more and receives nothing must keep
// its synced state; otherwise it would fail every keyed request that it does not know. If it receives part of the
// state on the new link, it is no longer synced.
func TestSilentLinkKeepsSyncedState(t *testing.T) {
	for name, output := range map[string][]byte{"no message": nil, "part of the state": appendMessage(nil, &handover.Message{Kind: handover.Entry, Key: "u k"})} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			lock, err := os.Create(filepath.Join(dir, lockName))
			if err != nil {
				t.Fatal(err)
			}
			defer lock.Close()
			if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
				t.Fatal(err)
			}
			if _, err := lock.WriteAt([]byte{markComplete}, 0); err != nil {
				t.Fatal(err)
			}
			ln, err := net.Listen("unix", filepath.Join(dir, socketName))
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			next := startProcess(t, dir)
			for i, out := range [][]byte{appendMessage(nil, &handover.Message{Kind: handover.Synced}), output} {
				c, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(c, make([]byte, 1)); err != nil { // the guest's hello
					t.Fatal(err)
				}
				if _, err := c.Write(out); err != nil {
					t.Fatal(err)
				}
				next.expect(t, "joined true")
				if i == 0 {
					next.expect(t, syncedEvent)
				} else if out != nil {
					next.expect(t, "told 2 u k")
				}
				if i == 1 {
					ln.Close()
				}
				c.Close()
				next.expect(t, "parted")
			}
			lock.Close()
			next.expect(t, fmt.Sprint("took over ", output == nil))
		})
	}
}

// Of two processes that wait for the lock, the one that has received all state gets it, whichever asks first.
func TestSyncedGuestGetsLockBeforeSecondGuest(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	next := startProcess(t, dir)
	next.expect(t, "joined true", entryEvent, syncedEvent)
	third := startProcess(t, dir) // the owner does not accept its link while there is another guest
	third.expect(t, "joined true")
	old.end()
	next.expect(t, "parted", "took over true", "joined false")
	third.expect(t, "parted", "joined true", entryEvent, syncedEvent)
}

func TestOwnerStaysWhenGuestEnds(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	next := startProcess(t, dir)
	next.expect(t, "joined true", entryEvent, syncedEvent)
	next.end()
	old.expect(t, "joined false", "parted")
	again := startProcess(t, dir)
	again.expect(t, "joined true", entryEvent, syncedEvent)
}

// A process that never received the owner's state takes over all the same and reports that state is missing.
func TestTakeoverWithoutStateIsReported(t *testing.T) {
	dir := t.TempDir()
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	silent := &Link{dir: dir, lock: lock}
	if got, err := silent.tryLock(true); !got || err != nil {
		t.Fatal(got, err)
	}
	ln, err := net.Listen("unix", filepath.Join(dir, socketName))
	if err != nil {
		t.Fatal(err)
	}
	next := startProcess(t, dir)
	next.expect(t, "joined true")
	lock.Close()
	ln.Close()
	next.expect(t, "parted", "took over false")
}

// A socket and a lock file that a crashed process left behind do not count as a running process.
func TestLeftoverSocketAndLockAreTakenOver(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	next := startProcess(t, dir)
	next.expect(t, "joined true", entryEvent, syncedEvent)
	next.end()
	old.end()
	if err := os.WriteFile(filepath.Join(dir, lockName), []byte{markComplete}, 0o600); err != nil {
		t.Fatal(err)
	}
	again := startProcess(t, dir)
	if again.previous != Crashed {
		t.Errorf("previous process is %v, want Crashed", again.previous)
	}
	startProcess(t, dir).expect(t, "joined true", entryEvent, syncedEvent)
}

func TestCleanExitLeavesNoDoubt(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	for old.readMark() != markPartial { // wait until it owns the claims
		time.Sleep(time.Millisecond)
	}
	old.MarkCleanExit()
	old.end()
	if next := startProcess(t, dir); next.previous != NonePrevious {
		t.Errorf("previous process is %v, want NonePrevious", next.previous)
	}
}

// A successor that does not read must not block the owner: messages are queued, and the mark says that it has not
// received all state.
func TestUnreadMessagesClearTheCompleteMark(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	var c net.Conn
	for c == nil { // wait until the socket exists
		c, _ = net.Dial("unix", filepath.Join(dir, socketName))
	}
	defer c.Close()
	c.Write(appendMessage(nil, &handover.Message{Kind: handover.Hello, Number: handover.Version}))
	old.expect(t, "joined false")
	for old.readMark() != markComplete {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		old.Send(&handover.Message{Kind: handover.Entry, Key: "u k", Body: make([]byte, 8<<10)})
	}
	if old.readMark() != markPartial {
		t.Error("mark says complete although 800 kB were sent to a process that does not read")
	}
	go func() {
		for buf := make([]byte, 64<<10); ; {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}()
	for end := time.Now().Add(20 * time.Second); old.readMark() != markComplete; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("mark not complete 20 s after the successor reads again")
		}
	}
}

func TestOpenWithLongAndMissingFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	if _, _, err := Open(dir); err == nil {
		t.Error("Open succeeded in a missing folder")
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old := startProcess(t, dir)
	startProcess(t, dir).expect(t, "joined true", entryEvent, syncedEvent)
	old.expect(t, "joined false")
}

// Malformed input and a hello of another version end the link, not the process.
func TestMalformedInputEndsOnlyTheLink(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	for _, p := range [][]byte{[]byte("GET / HTTP/1.1\r\n"), appendMessage(nil, &handover.Message{Kind: handover.Hello, Number: 99}),
		appendMessage(nil, &handover.Message{Kind: handover.Claim})} {
		var c net.Conn
		for c == nil {
			c, _ = net.Dial("unix", filepath.Join(dir, socketName))
		}
		c.Write(p)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the link was not closed: %v", p, err)
		}
		c.Close()
		old.expect(t, "parted")
	}
	startProcess(t, dir).expect(t, "joined true", entryEvent, syncedEvent)
}

var sampleMessages = []handover.Message{
	{Kind: handover.Hello, Number: handover.Version},
	{Kind: handover.Entry, Key: "u 5c0f", Seq: 7, Digest: handover.Digest{1, 2, 3}, Until: 1 << 60, Ended: true, OK: true, Stored: true, Body: []byte("result")},
	{Kind: handover.Drop, Key: "u 5c0f", Seq: 1 << 40, RetryAfter: time.Second, DoNotRetry: true},
	{Kind: handover.Share, Number: -1},
}

func TestMessagesSplitAtAnyByte(t *testing.T) {
	var all []byte
	for _, m := range sampleMessages {
		all = appendMessage(all, &m)
	}
	for cut := range all {
		var got []handover.Message
		in := append([]byte(nil), all[:cut]...)
		for _, tail := range [][]byte{nil, all[cut:]} {
			in = append(in, tail...)
			for {
				m, rest, done, err := nextMessage(in)
				if err != nil {
					t.Fatal(err)
				}
				if !done {
					break
				}
				if len(m.Body) == 0 {
					m.Body = nil
				}
				got, in = append(got, m), rest
			}
		}
		if !reflect.DeepEqual(got, sampleMessages) {
			t.Fatalf("split at %d: got %+v", cut, got)
		}
	}
}

func FuzzMessage(f *testing.F) {
	for _, m := range sampleMessages {
		f.Add(appendMessage(nil, &m))
	}
	f.Add([]byte{0, 0, 0, 2, 1, 0})
	f.Fuzz(func(t *testing.T, p []byte) {
		m, rest, done, err := nextMessage(p)
		if err != nil || !done {
			return
		}
		again, tail, done, err := nextMessage(appendMessage(nil, &m))
		if err != nil || !done || len(tail) > 0 || !bytes.Equal(again.Body, m.Body) || again.Key != m.Key || again.Seq != m.Seq || len(rest) >= len(p) {
			t.Errorf("%x: decoded as %+v, encoded and decoded again as %+v: %v", p, m, again, err)
		}
	})
}
