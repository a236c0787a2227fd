// Package index stands in for the index that all replicas call, from the protocol page: it answers each call with a reply that is made of
// the call's body, after a time, and counts what came.
package index

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

// bodyMost bounds the body of a call.
const bodyMost = 64 << 10

// Reply is the reply to a call with a body.
func Reply(body string) string { return "found " + body }

// Index is one, on loopback.
type Index struct {
	ln    net.Listener
	takes time.Duration

	mu      sync.Mutex
	sockets map[net.Conn]bool
	calls   int
	stopped int
	shed    func(call int) bool
}

// Start starts one whose calls take a time.
func Start(takes time.Duration) (*Index, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in index: %w", err)
	}
	x := &Index{ln: ln, takes: takes, sockets: map[net.Conn]bool{}}
	go x.accept()
	return x, nil
}

// String is its address.
func (x *Index) String() string { return x.ln.Addr().String() }

// Calls tells how many calls came, and how many of them were given up.
func (x *Index) Calls() (calls, stopped int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.calls, x.stopped
}

// Shed has calls be turned away for which which is true; they are numbered from 1.
func (x *Index) Shed(which func(call int) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.shed = which
}

// Close ends it and its connections.
func (x *Index) Close() {
	x.ln.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.sockets {
		c.Close()
	}
}

func (x *Index) accept() {
	for {
		c, err := x.ln.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		x.sockets[c] = true
		x.mu.Unlock()
		go x.serve(c)
	}
}

var errCommand = errors.New("no command")

// serve reads one connection. What is no command ends it.
func (x *Index) serve(c net.Conn) {
	l := &link{x: x, conn: c, open: map[string]*time.Timer{}}
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err == nil {
			err = l.command(in, strings.Fields(line))
		}
		if err != nil {
			break
		}
	}
	c.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sockets, c)
}

// link is one connection.
type link struct {
	x    *Index
	conn net.Conn

	mu   sync.Mutex
	open map[string]*time.Timer // calls that run, by id
}

func (l *link) command(in io.Reader, w []string) error {
	switch {
	case len(w) == 2 && w[0] == "STOP":
		l.stop(w[1])
	case len(w) == 4 && w[0] == "GET":
		n, err := strconv.Atoi(w[3])
		if err != nil || n < 0 || n > bodyMost {
			return errCommand
		}
		body := make([]byte, n+len("\r\n"))
		if _, err := io.ReadFull(in, body); err != nil {
			return err
		}
		l.get(w[1], string(body[:n]))
	default:
		return errCommand
	}
	return nil
}

func (l *link) stop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.open[id]; t != nil && t.Stop() {
		delete(l.open, id)
		l.x.mu.Lock()
		defer l.x.mu.Unlock()
		l.x.stopped++
	}
}

// get runs a call; an earlier one of the same request is given up.
func (l *link) get(id, body string) {
	l.stop(id)
	l.x.mu.Lock()
	l.x.calls++
	shed := l.x.shed != nil && l.x.shed(l.x.calls)
	l.x.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if shed {
		fmt.Fprintf(l.conn, "%s SHED\r\n", id)
		return
	}
	l.open[id] = time.AfterFunc(l.x.takes, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, id)
		reply := Reply(body)
		fmt.Fprintf(l.conn, "%s HIT %d\r\n%s\r\n", id, len(reply), reply)
	})
}
