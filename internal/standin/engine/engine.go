// Package engine stands in for the engine that runs a replica's work, from the protocol page. One engine may be reached
// at several addresses, as in a replacement: each numbers its notices separately and tells only of the runs that were
// begun through it. It counts the runs of each body, which tells whether a request ran twice.
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

// noticesKept is how many notices an address remembers for a link that is taken up again.
const noticesKept = 4000

// Engine runs what it is given, each run after the time that its Work tells.
type Engine struct {
	begin  func(id, body string, done func(took time.Duration))
	demand func() int // nil: how many runs are on

	mu     sync.Mutex
	ran    map[string][]Run // by body
	ids    map[string]int   // by id
	onCore int
	most   int
	born   time.Time
	calls  bool // each run makes one to the index

	fed, skipped, wrong int // ends of calls
}

// New returns an engine whose runs take as long as work says.
func New(work func(id string) time.Duration) *Engine {
	return On(func(id, _ string, done func(time.Duration)) {
		took := work(id)
		time.AfterFunc(took, func() { done(took) })
	}, nil)
}

// On returns an engine whose runs are carried out by begin, which calls done when one has ended; demand tells what is on the cores, nil for
// the runs alone.
func On(begin func(id, body string, done func(took time.Duration)), demand func() int) *Engine {
	return &Engine{begin: begin, demand: demand, ran: map[string][]Run{}, ids: map[string]int{}}
}

// Born says when the engine came up, as ATTACH is answered; a minute ago if it was never said.
func (e *Engine) Born(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = at
}

// age is how long ago it came up, in milliseconds.
func (e *Engine) age() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.born.IsZero() {
		return 60000
	}
	return time.Since(e.born).Milliseconds()
}

// Began tells whether a run was begun under an id.
func (e *Engine) Began(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids[id] > 0
}

// Ran tells how often the work of a body was begun.
func (e *Engine) Ran(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ran[body])
}

// Run is the begin of a body's work.
type Run struct {
	At time.Time
	ID string
}

// Runs tells when the work of a body was begun, and under which ids.
func (e *Engine) Runs(body string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[body]
}

// Most tells how many runs were on at once.
func (e *Engine) Most() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.most
}

// Address is one address of an engine.
type Address struct {
	engine *Engine
	ln     net.Listener
	*book
}

// book is what an address knows of its runs and has told.
type book struct {
	mu      sync.Mutex
	last    int64
	notices []string // the last ones, up to number last
	link    net.Conn
	begun   map[string]bool
	open    map[string]*call // of runs that wait for theirs, by id
	closed  bool
	cut     bool // links are closed as they come
	dials   int  // links that came
}

// Listen opens one more address, on loopback.
func (e *Engine) Listen() (*Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in engine: %w", err)
	}
	a := &Address{engine: e, ln: ln, book: &book{begun: map[string]bool{}, open: map[string]*call{}}}
	go a.accept()
	return a, nil
}

// Move opens an address in place of another one, as in a new configuration: runs and the numbers of notices go on there.
// The old one accepts nothing new, and its link is closed when the new one is attached to.
func (e *Engine) Move(old *Address) (*Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in engine: %w", err)
	}
	old.ln.Close()
	a := &Address{engine: e, ln: ln, book: old.book}
	go a.accept()
	return a, nil
}

// String is the address.
func (a *Address) String() string { return a.ln.Addr().String() }

// Close ends it; runs that are on go on unheard.
func (a *Address) Close() {
	a.ln.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.link != nil {
		a.link.Close()
	}
}

// Cut has links be closed as they come, and ends the present one; or takes links again.
func (a *Address) Cut(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut = on; on && a.link != nil {
		a.link.Close()
	}
}

// Dials tells how many links came.
func (a *Address) Dials() int {
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
		if a.cut {
			a.mu.Unlock()
			c.Close()
			continue
		}
		if a.link != nil { // a new link replaces the one before it
			a.link.Close()
		}
		a.link = nil // nothing is told before ATTACH
		a.mu.Unlock()
		go a.serve(c)
	}
}

var errCommand = errors.New("no command")

// serve reads one link. What is no command ends it.
func (a *Address) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for attached := false; ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if attached, err = a.command(c, r, strings.Fields(line), attached); err != nil {
			return
		}
	}
}

func (a *Address) command(c net.Conn, r *bufio.Reader, words []string, attached bool) (bool, error) {
	if len(words) == 0 || !attached && words[0] != "ATTACH" {
		return attached, errCommand
	}
	switch {
	case words[0] == "ATTACH" && len(words) == 2:
		n, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			return attached, err
		}
		a.attach(c, n)
		return true, nil
	case words[0] == "STAT" && len(words) == 2:
		a.engine.mu.Lock()
		on := a.engine.onCore
		a.engine.mu.Unlock()
		if a.engine.demand != nil {
			on = a.engine.demand()
		}
		a.write(c, fmt.Sprintf("STATS %s 0 %d 0 0\r\n", words[1], on))
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
		a.run(words[1], string(body[:length]))
		return attached, nil
	case (words[0] == "FEED" || words[0] == "SKIP") && len(words) == 3:
		return attached, a.answer(c, r, words)
	}
	return attached, errCommand
}

func (a *Address) write(c net.Conn, s string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	io.WriteString(c, s)
}

// attach tells all notices after n and makes the link the one that is told.
func (a *Address) attach(c net.Conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.link = c
	missed := min(max(a.last-n, 0), int64(len(a.notices)))
	io.WriteString(c, fmt.Sprintf("HELLO running %d\r\n", a.engine.age())+strings.Join(a.notices[int64(len(a.notices))-missed:], ""))
}

// run begins a run, unless it is on or was.
func (a *Address) run(id, body string) {
	a.mu.Lock()
	again := a.begun[id]
	a.begun[id] = true
	a.mu.Unlock()
	if again {
		return
	}
	e := a.engine
	e.mu.Lock()
	e.ran[body] = append(e.ran[body], Run{time.Now(), id})
	e.ids[id]++
	calls := e.calls
	e.mu.Unlock()
	begin := func() {
		e.mu.Lock()
		e.onCore++
		e.most = max(e.most, e.onCore)
		e.mu.Unlock()
		e.begin(id, body, func(took time.Duration) {
			e.mu.Lock()
			e.onCore--
			e.mu.Unlock()
			a.done(id, "did "+body, took)
		})
	}
	if calls {
		a.need(id, body, begin)
		return
	}
	begin()
}

func (a *Address) done(id, result string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell("DONE %d %s fine %d %d\r\n%s\r\n", id, took.Milliseconds(), len(result), result)
}

// tell writes a notice with the next number, which is the first value of its format, and keeps it; a.mu is held.
func (a *Address) tell(format string, values ...any) {
	a.last++
	notice := fmt.Sprintf(format, append([]any{a.last}, values...)...)
	if a.notices = append(a.notices, notice); len(a.notices) > noticesKept {
		a.notices = a.notices[1:]
	}
	if a.link != nil && !a.closed {
		io.WriteString(a.link, notice)
	}
}
