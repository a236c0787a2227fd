package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bodyMost bounds what the toy reads behind a line.
const bodyMost = 1 << 16

// playEngine serves one link after the other until ln is closed. With calls, each run makes one call to the index.
func playEngine(ln net.Listener, work time.Duration, calls bool) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		l := &link{conn: conn, in: bufio.NewReader(conn), work: work, calls: calls, bodies: map[string][]byte{}}
		log.Print("engine: the link ended: ", l.play())
		conn.Close()
	}
}

// link is one link of the engine.
type link struct {
	conn  net.Conn
	in    *bufio.Reader
	work  time.Duration
	calls bool

	mu     sync.Mutex
	last   int               // notice
	bodies map[string][]byte // of runs that are on
}

func (l *link) play() error {
	for {
		line, err := l.in.ReadString('\n')
		if err != nil {
			return err
		}
		if err := l.command(strings.Fields(line)); err != nil {
			return err
		}
	}
}

func (l *link) command(w []string) error {
	switch {
	case len(w) == 2 && w[0] == "ATTACH":
		l.write("HELLO running 0\r\n")
	case len(w) == 2 && w[0] == "STAT":
		l.write("STATS " + w[1] + " 0.2 1 0.1 1\r\n")
	case len(w) == 4 && w[0] == "RUN":
		body, err := readBody(l.in, w[3])
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.bodies[w[1]] = body
		l.mu.Unlock()
		if l.calls {
			l.notice("NEED %d "+w[1]+" %d\r\n%s\r\n", len(body), body)
			return nil
		}
		l.run(w[1])
	case len(w) == 3 && w[0] == "FEED":
		if _, err := readBody(l.in, w[2]); err != nil {
			return err
		}
		l.run(w[1])
	case len(w) == 3 && w[0] == "SKIP":
		l.run(w[1])
	default:
		return fmt.Errorf("no command: %q", w)
	}
	return nil
}

// run does the work of a request, and then tells its end.
func (l *link) run(id string) {
	time.AfterFunc(l.work, func() {
		l.mu.Lock()
		body, ok := l.bodies[id]
		delete(l.bodies, id)
		l.mu.Unlock()
		if ok {
			l.notice("DONE %d "+id+" fine %d %d\r\n%s\r\n", l.work.Milliseconds(), len(body), body)
		}
	})
}

// notice writes one with the next number, which is the first value of its format.
func (l *link) notice(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	fmt.Fprintf(l.conn, format, append([]any{l.last}, a...)...)
}

func (l *link) write(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	io.WriteString(l.conn, s)
}

// readBody reads what follows a line that ends in its length.
func readBody(in io.Reader, length string) ([]byte, error) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > bodyMost {
		return nil, fmt.Errorf("bad length %q", length)
	}
	body := make([]byte, n+len("\r\n"))
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	return body[:n], nil
}

// playIndex answers every call with what it asked, until ln is closed.
func playIndex(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if err := serveIndex(conn); err != io.EOF {
				log.Print("index: the connection ended: ", err)
			}
		}()
	}
}

func serveIndex(conn io.ReadWriter) error {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		switch w := strings.Fields(line); {
		case len(w) == 4 && w[0] == "GET":
			body, err := readBody(in, w[3])
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(conn, "%s HIT %d\r\n%s\r\n", w[1], len(body), body); err != nil {
				return err
			}
		case len(w) == 2 && w[0] == "STOP":
		default:
			return fmt.Errorf("no command: %q", line)
		}
	}
}
