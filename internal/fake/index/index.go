// Package index is a fake of the index that all replicas call, written from the protocol specification. It replies to each call after
// a fixed time with a reply derived from the call's body, and counts the calls.
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

// maxBody is the limit on the length of a call's body, in bytes.
const maxBody = 64 << 10

// Reply returns the reply to a call with the given body.
func Reply(body string) string { return "found " + body }

// Index is a fake index that listens on loopback.
type Index struct {
	ln       net.Listener
	callTime time.Duration

	mu        sync.Mutex
	conns     map[net.Conn]bool
	calls     int
	abandoned int
	shed      func(call int) bool // nil: no call is rejected
}

// Start starts an index that replies to each call after callTime.
func Start(callTime time.Duration) (*Index, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake index: %w", err)
	}
	x := &Index{ln: ln, callTime: callTime, conns: map[net.Conn]bool{}}
	go x.accept()
	return x, nil
}

// String returns the address as host:port.
func (x *Index) String() string { return x.ln.Addr().String() }

// CallCounts returns the number of calls received, and how many of them were abandoned by their callers.
func (x *Index) CallCounts() (calls, abandoned int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.calls, x.abandoned
}

// RejectIf makes the index reject, with SHED, each call for which reject returns true. Calls are numbered from 1.
func (x *Index) RejectIf(reject func(call int) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.shed = reject
}

// Close stops listening and closes all connections.
func (x *Index) Close() {
	x.ln.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.conns {
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
		x.conns[c] = true
		x.mu.Unlock()
		go x.serve(c)
	}
}

var errCommand = errors.New("invalid command")

// serve handles the commands of one connection. An invalid command closes the connection.
func (x *Index) serve(conn net.Conn) {
	l := &link{index: x, conn: conn, open: map[string]*time.Timer{}}
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err == nil {
			err = l.handleCommand(in, strings.Fields(line))
		}
		if err != nil {
			break
		}
	}
	conn.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.conns, conn)
}

// link is a connection and its open calls.
type link struct {
	index *Index
	conn  net.Conn

	mu   sync.Mutex
	open map[string]*time.Timer // timers of the replies to open calls, by id
}

// handleCommand handles one command, given as the words of its line; in is at the bytes that follow the line.
func (l *link) handleCommand(in io.Reader, words []string) error {
	switch {
	case len(words) == 2 && words[0] == "STOP":
		l.abandon(words[1])
	case len(words) == 4 && words[0] == "GET":
		n, err := strconv.Atoi(words[3])
		if err != nil || n < 0 || n > maxBody {
			return errCommand
		}
		body := make([]byte, n+len("\r\n"))
		if _, err := io.ReadFull(in, body); err != nil {
			return err
		}
		l.startCall(words[1], string(body[:n]))
	default:
		return errCommand
	}
	return nil
}

// abandon cancels the open call with the given id, if there is one.
func (l *link) abandon(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.open[id]; t != nil && t.Stop() {
		delete(l.open, id)
		l.index.mu.Lock()
		defer l.index.mu.Unlock()
		l.index.abandoned++
	}
}

// startCall starts a call. It cancels an open call with the same id, which belongs to the same request.
func (l *link) startCall(id, body string) {
	l.abandon(id)
	l.index.mu.Lock()
	l.index.calls++
	shed := l.index.shed != nil && l.index.shed(l.index.calls)
	l.index.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if shed {
		fmt.Fprintf(l.conn, "%s SHED\r\n", id)
		return
	}
	l.open[id] = time.AfterFunc(l.index.callTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, id)
		reply := Reply(body)
		fmt.Fprintf(l.conn, "%s HIT %d\r\n%s\r\n", id, len(reply), reply)
	})
}
