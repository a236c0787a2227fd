// Package engine is a fake of the engine that executes a replica's runs, written from the protocol specification. One engine can
// listen on several addresses, as it does while a replica process is replaced. Each address numbers its notices separately and sends
// notices only for the runs that were begun through it. The engine records the runs of each body, so that a test can detect a
// request that was run twice.
package engine

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxNotices is how many of its latest notices an address keeps, to send them again to a link that reconnects.
const maxNotices = 4000

// Engine is a fake engine that executes runs and records them.
type Engine struct {
	execute func(id, body string, done func(took time.Duration))
	demand  func() int // current demand for cores; nil: the number of runs at work

	mu         sync.Mutex
	runs       map[string][]Run // by body
	begun      map[string]int   // number of runs by id
	running    int              // runs at work
	maxRunning int
	startedAt  time.Time // zero: one minute ago
	callsIndex bool      // each run makes one index call before its work

	fed, skipped, wrong int // index calls by outcome
}

// New returns an engine whose runs take as long as duration returns.
func New(duration func(id string) time.Duration) *Engine {
	return NewWithExecutor(func(id, _ string, done func(time.Duration)) {
		took := duration(id)
		time.AfterFunc(took, func() { done(took) })
	}, nil)
}

// NewWithExecutor returns an engine whose runs are carried out by execute, which calls done when a run has ended. demand returns the demand for
// cores that STAT reports; if it is nil, STAT reports the number of runs at work.
func NewWithExecutor(execute func(id, body string, done func(took time.Duration)), demand func() int) *Engine {
	return &Engine{execute: execute, demand: demand, runs: map[string][]Run{}, begun: map[string]int{}}
}

// SetStartTime sets the engine's start time, from which HELLO reports the engine's age. Without it the age is one minute.
func (e *Engine) SetStartTime(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt = at
}

// ageMS returns the time since the engine's start, in milliseconds.
func (e *Engine) ageMS() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.startedAt.IsZero() {
		return 60000
	}
	return time.Since(e.startedAt).Milliseconds()
}

// HasRun reports whether a run with the given id was begun.
func (e *Engine) HasRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[id] > 0
}

// RunCount returns the number of runs that were begun with the given body.
func (e *Engine) RunCount(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs[body])
}

// Run is the start of a run.
type Run struct {
	At time.Time
	ID string
}

// Runs returns the starts of all runs with the given body.
func (e *Engine) Runs(body string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[body]
}

// MaxRunning returns the highest number of runs that were at work at the same time.
func (e *Engine) MaxRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxRunning
}

// Address is an address that an engine listens on.
type Address struct {
	engine *Engine
	ln     net.Listener
	*addressState
}

// addressState is the state of an address's runs and notices. Move hands it on to the new address.
type addressState struct {
	mu          sync.Mutex
	lastNotice  int64    // number of the latest notice
	notices     []string // the latest notices, up to number lastNotice
	link        net.Conn // the attached link; nil before ATTACH
	begun       map[string]bool
	openCalls   map[string]*call // by the id of the waiting run
	closed      bool
	rejectLinks bool // new links are closed at once
	dials       int  // accepted connections, rejected ones included
}

// Listen opens another address of the engine on loopback.
func (e *Engine) Listen() (*Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake engine: %w", err)
	}
	a := &Address{engine: e, ln: ln, addressState: &addressState{begun: map[string]bool{}, openCalls: map[string]*call{}}}
	go a.accept()
	return a, nil
}

// Move opens an address that replaces old, as a new configuration does. The runs and the numbering of notices continue at the new
// address. The old address accepts no new links, and its link is closed when the new address accepts one.
func (e *Engine) Move(old *Address) (*Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake engine: %w", err)
	}
	old.ln.Close()
	a := &Address{engine: e, ln: ln, addressState: old.addressState}
	go a.accept()
	return a, nil
}

// String returns the address as host:port.
func (a *Address) String() string { return a.ln.Addr().String() }

// Close stops listening and closes the link. Runs in progress continue, but their notices are not sent.
func (a *Address) Close() {
	a.ln.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.link != nil {
		a.link.Close()
	}
}

// RejectLinks sets whether the address rejects links. Turning it on closes the current link and each new one as soon as it is accepted.
func (a *Address) RejectLinks(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rejectLinks = on; on && a.link != nil {
		a.link.Close()
	}
}

// DialCount returns the number of accepted connections, rejected ones included.
func (a *Address) DialCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dials
}

func (a *Address) accept() {
	for {
		c, err := a.ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.dials++
		if a.rejectLinks {
			a.mu.Unlock()
			c.Close()
			continue
		}
		if a.link != nil { // a new link replaces the one before it
			a.link.Close()
		}
		a.link = nil // no notice is sent before ATTACH
		a.mu.Unlock()
		go a.serve(c)
	}
}

var errCommand = errors.New("invalid command")

// serve handles the commands of one link. An invalid command closes the link.
func (a *Address) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for attached := false; ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if attached, err = a.handleCommand(conn, r, strings.Fields(line), attached); err != nil {
			return
		}
	}
}

// handleCommand handles one command, given as the words of its line; r is at the bytes that follow the line. It returns whether the
// link is attached after it. ATTACH must be the first command.
func (a *Address) handleCommand(conn net.Conn, r *bufio.Reader, words []string, attached bool) (bool, error) {
	if len(words) == 0 || !attached && words[0] != "ATTACH" {
		return attached, errCommand
	}
	switch {
	case words[0] == "ATTACH" && len(words) == 2:
		n, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			return attached, err
		}
		a.attach(conn, n)
		return true, nil
	case words[0] == "STAT" && len(words) == 2:
		a.engine.mu.Lock()
		demand := a.engine.running
		a.engine.mu.Unlock()
		if a.engine.demand != nil {
			demand = a.engine.demand()
		}
		a.write(conn, fmt.Sprintf("STATS %s 0 %d 0 0\r\n", words[1], demand))
		return attached, nil
	case words[0] == "RUN" && len(words) == 4:
		length, err := strconv.Atoi(words[3])
		if err != nil || length < 0 || length > 64<<10 {
			return attached, errCommand
		}
		body := make([]byte, length+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return attached, err
		}
		a.beginRun(words[1], string(body[:length]))
		return attached, nil
	case (words[0] == "FEED" || words[0] == "SKIP") && len(words) == 3:
		return attached, a.endCall(conn, r, words)
	}
	return attached, errCommand
}

func (a *Address) write(conn net.Conn, s string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	io.WriteString(conn, s)
}

// attach makes conn the link that notices are sent to and sends the kept notices with numbers above n.
func (a *Address) attach(conn net.Conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.link = conn
	missed := min(max(a.lastNotice-n, 0), int64(len(a.notices)))
	io.WriteString(conn, fmt.Sprintf("HELLO running %d\r\n", a.engine.ageMS())+strings.Join(a.notices[int64(len(a.notices))-missed:], ""))
}

// beginRun begins a run, unless one with the same id was begun through this address before.
func (a *Address) beginRun(id, body string) {
	a.mu.Lock()
	duplicate := a.begun[id]
	a.begun[id] = true
	a.mu.Unlock()
	if duplicate {
		return
	}
	e := a.engine
	e.mu.Lock()
	e.runs[body] = append(e.runs[body], Run{time.Now(), id})
	e.begun[id]++
	callsIndex := e.callsIndex
	e.mu.Unlock()
	start := func() {
		e.mu.Lock()
		e.running++
		e.maxRunning = max(e.maxRunning, e.running)
		e.mu.Unlock()
		e.execute(id, body, func(took time.Duration) {
			e.mu.Lock()
			e.running--
			e.mu.Unlock()
			a.sendDone(id, "did "+body, took)
		})
	}
	if callsIndex {
		a.requestCall(id, body, start)
		return
	}
	start()
}

func (a *Address) sendDone(id, result string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendNotice("DONE %d %s fine %d %d\r\n%s\r\n", id, took.Milliseconds(), len(result), result)
}

// sendNotice keeps a notice and sends it to the link. The notice's number, the next one, is the first value of its format. a.mu must
// be held.
func (a *Address) sendNotice(format string, values ...any) {
	a.lastNotice++
	notice := fmt.Sprintf(format, append([]any{a.lastNotice}, values...)...)
	if a.notices = append(a.notices, notice); len(a.notices) > maxNotices {
		a.notices = a.notices[1:]
	}
	if a.link != nil && !a.closed {
		io.WriteString(a.link, notice)
	}
}
