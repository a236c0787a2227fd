// Package resource is a fake of the outside systems that a fleet acts upon. It holds named things on which boxes carry out effects,
// and records the token, the begin and the end of each effect by its own clock. A thing either checks tokens or accepts every
// effect. A thing that checks tokens rejects an effect whose token is older than one it has seen. When an effect with a newer token
// begins on it, it fences (ends) the effects of older tokens.
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

// Effect is an effect as the resource recorded it.
type Effect struct {
	Thing string
	Ticket
	Box         string
	Pid         int
	AnnouncedAt time.Duration // time of the announcement; the box has checked that it may act before it
	Begin       time.Duration // 0 if the effect was rejected or has not begun
	End         time.Duration // 0 while the effect is in progress; the time of the rejection if it was rejected
	Fenced      bool          // ended by an effect with a newer token
	Stale       bool          // rejected: its token is older than one that was seen
	BelowLowest bool          // rejected: its version is below the lowest allowed version reported with an effect
	Intercepted bool          // the function set by OnAnnounce acted between announcement and begin, such as by stopping the box's process
}

// Ticket is the authority for an effect: the lease's token, the version of the configuration that the box acts on, and the lowest
// version that the box knows to be allowed. Versions are 0 if there are none.
type Ticket struct{ Token, Version, Lowest uint64 }

// Note is an event that a box reported about one of its leases.
type Note struct {
	At    time.Duration // when the report was received
	What  string        // asked, granted, released
	Task  string
	Token uint64
	Box   string
	Pid   int
}

// Resource is a fake resource that listens on loopback. Each connection announces, begins and ends one effect after the other. The
// requests and their replies, one line each, are:
//
//	about THING TOKEN VERSION LOWEST BOX PID -> go
//	begin                     -> ok, stale, or low
//	end                       -> ok, or fenced
//	note WHAT TASK TOKEN BOX PID -> ok
type Resource struct {
	ln      net.Listener
	started time.Time

	mu            sync.Mutex
	effects       []*Effect
	notes         []Note
	newestToken   map[string]uint64 // by thing
	lowestVersion map[string]uint64 // lowest allowed version, by thing
	checksTokens  func(thing string) bool
	trap          func(e Effect) bool // called between an announcement and its reply, until it returns true; nil for none
}

// Start starts a resource. checksTokens reports whether a thing checks tokens. Times are measured from the start.
func Start(checksTokens func(thing string) bool) (*Resource, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake resource: %w", err)
	}
	r := &Resource{ln: ln, started: time.Now(), newestToken: map[string]uint64{}, lowestVersion: map[string]uint64{}, checksTokens: checksTokens}
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

// String returns the address as host:port.
func (r *Resource) String() string { return r.ln.Addr().String() }

// Close stops listening. Open connections stay open.
func (r *Resource) Close() { r.ln.Close() }

// Now returns the time since the start of the resource.
func (r *Resource) Now() time.Duration { return time.Since(r.started) }

// OnAnnounce makes the resource call f with each announced effect, before it replies to the announcement, until f returns true.
func (r *Resource) OnAnnounce(f func(Effect) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trap = f
}

// Effects returns all effects so far, in the order of their announcement.
func (r *Resource) Effects() (list []Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.effects {
		list = append(list, *e)
	}
	return list
}

// Notes returns all notes so far, in the order received.
func (r *Resource) Notes() []Note {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notes)
}

// serve handles the requests of one connection. When the connection ends, an effect in progress on it ends.
func (r *Resource) serve(conn net.Conn) {
	defer conn.Close()
	var open *Effect
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if open != nil && open.Begin != 0 && open.End == 0 { // the client that made it has disconnected
			open.End = r.Now()
		}
	}()
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		request, args, _ := strings.Cut(strings.TrimSpace(line), " ")
		reply := "what"
		switch request {
		case "about":
			e := &Effect{AnnouncedAt: r.Now()}
			if _, err := fmt.Sscan(args, &e.Thing, &e.Token, &e.Version, &e.Lowest, &e.Box, &e.Pid); err != nil {
				break
			}
			r.mu.Lock()
			r.effects = append(r.effects, e)
			open = e
			if r.trap != nil && r.trap(*e) {
				r.trap, e.Intercepted = nil, true
			}
			r.mu.Unlock()
			reply = "go"
		case "note":
			n := Note{At: r.Now()}
			if _, err := fmt.Sscan(args, &n.What, &n.Task, &n.Token, &n.Box, &n.Pid); err == nil {
				r.mu.Lock()
				r.notes = append(r.notes, n)
				r.mu.Unlock()
				reply = "ok"
			}
		case "begin":
			if open != nil {
				reply = r.begin(open)
			}
		case "end":
			if open != nil {
				reply = r.end(open)
				open = nil
			}
		}
		if _, err := io.WriteString(conn, reply+"\n"); err != nil {
			return
		}
	}
}

// begin handles the begin of an announced effect and returns the reply.
func (r *Resource) begin(e *Effect) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.checksTokens(e.Thing) {
		if e.Token < r.newestToken[e.Thing] {
			e.Stale, e.End = true, now
			return "stale"
		}
		if e.Version < r.lowestVersion[e.Thing] {
			e.BelowLowest, e.End = true, now
			return "low"
		}
		if e.Token > r.newestToken[e.Thing] {
			for _, older := range r.effects {
				if older.Thing == e.Thing && older.Begin != 0 && older.End == 0 && older.Token < e.Token {
					older.End, older.Fenced = now, true
				}
			}
		}
	}
	r.newestToken[e.Thing], r.lowestVersion[e.Thing] = max(r.newestToken[e.Thing], e.Token), max(r.lowestVersion[e.Thing], e.Lowest)
	e.Begin = now
	return "ok"
}

// end handles the end of an announced effect and returns the reply.
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

// Client carries out effects on a resource over one connection.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Dial connects a client to the resource at addr.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Close closes the connection, which ends an effect in progress.
func (c *Client) Close() { c.conn.Close() }

// request sends one line and returns the reply.
func (c *Client) request(line string) (string, error) {
	if _, err := io.WriteString(c.conn, line+"\n"); err != nil {
		return "", err
	}
	reply, err := c.in.ReadString('\n')
	return strings.TrimSpace(reply), err
}

// Act announces and begins an effect, calls work if the resource accepts the effect, and ends it. It reports whether the effect was
// accepted.
func (c *Client) Act(thing string, t Ticket, box string, pid int, work func()) (accepted bool, err error) {
	if _, err := c.request(fmt.Sprintf("about %s %d %d %d %s %d", thing, t.Token, t.Version, t.Lowest, box, pid)); err != nil {
		return false, err
	}
	reply, err := c.request("begin")
	if err != nil {
		return false, err
	}
	if reply == "ok" {
		work()
	}
	_, err = c.request("end")
	return reply == "ok", err
}

// ReportNote reports an event of one of the box's leases to the resource.
func (c *Client) ReportNote(what, task string, token uint64, box string, pid int) error {
	_, err := c.request(fmt.Sprintf("note %s %s %d %s %d", what, task, token, box, pid))
	return err
}
