// Package resource stands in for what a fleet acts upon: things that take effects, one at a time, and note the begin, end and
// token of each by the stand-in's own clock. A thing either compares tokens, and then refuses one that is older than it has
// seen and ends what an older one is about, or it takes whatever comes.
package resource

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Effect is one effect as the stand-in saw it.
type Effect struct {
	Thing string
	Ticket
	Box    string
	Pid    int
	Called time.Duration // when it was announced: the permit has been checked by then
	Begin  time.Duration // 0 when it was refused
	End    time.Duration // 0 while it goes on; when it was refused, if it was
	Fenced bool          // a newer token has ended it
	Stale  bool          // refused: its token is older than one that was seen
	Low    bool          // refused: its version is below the lowest that was told with an effect
	Trap   bool          // its process was stopped between announcement and begin, by Trap
}

// Ticket is what an effect is made under: the lease's token, the version that its box acts on, and the lowest version that its box
// knows to be allowed. Versions are 0 where there are none.
type Ticket struct{ Token, Version, Lowest uint64 }

// Note is something that a box says of itself, with the time at which it was heard.
type Note struct {
	At    time.Duration
	What  string // asked, granted, released
	Task  string
	Token uint64
	Box   string
	Pid   int
}

// Resource listens on loopback. Each connection announces, begins and ends one effect after the other, a line each:
//
//	about THING TOKEN VERSION LOWEST BOX PID -> go
//	begin                     -> ok, stale, or low
//	end                       -> ok, or fenced
//	note WHAT TASK TOKEN BOX PID -> ok
type Resource struct {
	ln    net.Listener
	began time.Time

	mu      sync.Mutex
	effects []*Effect
	notes   []Note
	newest  map[string]uint64 // token by thing
	lowest  map[string]uint64 // version by thing
	checks  func(thing string) bool
	trap    func(e Effect) bool // called between announcement and answer, until it says that it has sprung
}

// Start opens a resource. checks tells which things compare tokens. Times count from now.
func Start(checks func(thing string) bool) (*Resource, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in resource: %w", err)
	}
	r := &Resource{ln: ln, began: time.Now(), newest: map[string]uint64{}, lowest: map[string]uint64{}, checks: checks}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// String is the address.
func (r *Resource) String() string { return r.ln.Addr().String() }

// Close takes no new connections.
func (r *Resource) Close() { r.ln.Close() }

// Now is the stand-in's clock.
func (r *Resource) Now() time.Duration { return time.Since(r.began) }

// Trap has f called for each effect that is announced, before it is answered, until f tells that the trap has sprung.
func (r *Resource) Trap(f func(Effect) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trap = f
}

// Effects are all so far, in the order of their announcement.
func (r *Resource) Effects() (list []Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.effects {
		list = append(list, *e)
	}
	return list
}

// Notes are all so far.
func (r *Resource) Notes() []Note {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notes)
}

func (r *Resource) serve(c net.Conn) {
	defer c.Close()
	var open *Effect
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if open != nil && open.Begin != 0 && open.End == 0 { // whoever made it is gone
			open.End = r.Now()
		}
	}()
	for in := bufio.NewReader(c); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		answer := "what"
		switch word {
		case "about":
			e := &Effect{Called: r.Now()}
			if _, err := fmt.Sscan(rest, &e.Thing, &e.Token, &e.Version, &e.Lowest, &e.Box, &e.Pid); err != nil {
				break
			}
			r.mu.Lock()
			r.effects = append(r.effects, e)
			open = e
			if r.trap != nil && r.trap(*e) {
				r.trap, e.Trap = nil, true
			}
			r.mu.Unlock()
			answer = "go"
		case "note":
			n := Note{At: r.Now()}
			if _, err := fmt.Sscan(rest, &n.What, &n.Task, &n.Token, &n.Box, &n.Pid); err == nil {
				r.mu.Lock()
				r.notes = append(r.notes, n)
				r.mu.Unlock()
				answer = "ok"
			}
		case "begin":
			if open != nil {
				answer = r.begin(open)
			}
		case "end":
			if open != nil {
				answer = r.end(open)
				open = nil
			}
		}
		if _, err := io.WriteString(c, answer+"\n"); err != nil {
			return
		}
	}
}

func (r *Resource) begin(e *Effect) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.checks(e.Thing) {
		if e.Token < r.newest[e.Thing] {
			e.Stale, e.End = true, now
			return "stale"
		}
		if e.Version < r.lowest[e.Thing] {
			e.Low, e.End = true, now
			return "low"
		}
		if e.Token > r.newest[e.Thing] {
			for _, o := range r.effects {
				if o.Thing == e.Thing && o.Begin != 0 && o.End == 0 && o.Token < e.Token {
					o.End, o.Fenced = now, true
				}
			}
		}
	}
	r.newest[e.Thing], r.lowest[e.Thing] = max(r.newest[e.Thing], e.Token), max(r.lowest[e.Thing], e.Lowest)
	e.Begin = now
	return "ok"
}

func (r *Resource) end(e *Effect) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case e.Fenced:
		return "fenced"
	case e.Begin != 0 && e.End == 0:
		e.End = r.Now()
	}
	return "ok"
}

// Client acts upon a resource over one connection.
type Client struct {
	c  net.Conn
	in *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Close ends it; an effect that goes on ends with it.
func (c *Client) Close() { c.c.Close() }

func (c *Client) say(line string) (string, error) {
	if _, err := io.WriteString(c.c, line+"\n"); err != nil {
		return "", err
	}
	answer, err := c.in.ReadString('\n')
	return strings.TrimSpace(answer), err
}

// Act announces an effect, begins it and ends it after it has taken its time. It tells whether the effect was taken.
func (c *Client) Act(thing string, t Ticket, box string, pid int, takes func()) (taken bool, err error) {
	if _, err := c.say(fmt.Sprintf("about %s %d %d %d %s %d", thing, t.Token, t.Version, t.Lowest, box, pid)); err != nil {
		return false, err
	}
	answer, err := c.say("begin")
	if err != nil {
		return false, err
	}
	if answer == "ok" {
		takes()
	}
	_, err = c.say("end")
	return answer == "ok", err
}

// Note tells the resource something.
func (c *Client) Note(what, task string, token uint64, box string, pid int) error {
	_, err := c.say(fmt.Sprintf("note %s %s %d %s %d", what, task, token, box, pid))
	return err
}
