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

// maxBody is the limit on the length of a body that follows a command line, in bytes.
const maxBody = 1 << 16

// serveEngine is a fake engine that serves one link at a time until ln is closed. Each run takes runTime; if callIndex is set, it makes
// one index call before.
func serveEngine(ln net.Listener, runTime time.Duration, callIndex bool) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		l := &link{conn: conn, in: bufio.NewReader(conn), runTime: runTime, callIndex: callIndex, bodies: map[string][]byte{}}
		log.Print("engine: link closed: ", l.serve())
		conn.Close()
	}
}

// link is a replica's connection to the fake engine.
type link struct {
	conn      net.Conn
	in        *bufio.Reader
	runTime   time.Duration
	callIndex bool

	mu         sync.Mutex
	lastNotice int               // number of the latest notice
	bodies     map[string][]byte // of the runs in progress, by id
}

// serve handles commands until one is invalid or the connection ends.
func (l *link) serve() error {
	for {
		line, err := l.in.ReadString('\n')
		if err != nil {
			return err
		}
		if err := l.handleCommand(strings.Fields(line)); err != nil {
			return err
		}
	}
}

// handleCommand handles one command, given as the words of its line.
func (l *link) handleCommand(words []string) error {
	switch {
	case len(words) == 2 && words[0] == "ATTACH":
		l.write("HELLO running 0\r\n")
	case len(words) == 2 && words[0] == "STAT":
		l.write("STATS " + words[1] + " 0.2 1 0.1 1\r\n")
	case len(words) == 4 && words[0] == "RUN":
		body, err := readBody(l.in, words[3])
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.bodies[words[1]] = body
		l.mu.Unlock()
		if l.callIndex {
			l.sendNotice("NEED %d "+words[1]+" %d\r\n%s\r\n", len(body), body)
			return nil
		}
		l.startRun(words[1])
	case len(words) == 3 && words[0] == "FEED":
		if _, err := readBody(l.in, words[2]); err != nil {
			return err
		}
		l.startRun(words[1])
	case len(words) == 3 && words[0] == "SKIP":
		l.startRun(words[1])
	default:
		return fmt.Errorf("invalid command %q", words)
	}
	return nil
}

// startRun starts a run that sends its DONE notice after runTime, with the run's body as its result.
func (l *link) startRun(id string) {
	time.AfterFunc(l.runTime, func() {
		l.mu.Lock()
		body, ok := l.bodies[id]
		delete(l.bodies, id)
		l.mu.Unlock()
		if ok {
			l.sendNotice("DONE %d "+id+" fine %d %d\r\n%s\r\n", l.runTime.Milliseconds(), len(body), body)
		}
	})
}

// sendNotice writes a notice. Its number, the next one, is the first value of its format.
func (l *link) sendNotice(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNotice++
	fmt.Fprintf(l.conn, format, append([]any{l.lastNotice}, values...)...)
}

func (l *link) write(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	io.WriteString(l.conn, s)
}

// readBody reads the body that follows a command line, and its CR LF. length is the last word of the line.
func readBody(in io.Reader, length string) ([]byte, error) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > maxBody {
		return nil, fmt.Errorf("invalid body length %q, want 0 to %d", length, maxBody)
	}
	body := make([]byte, n+len("\r\n"))
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	return body[:n], nil
}

// serveIndex is a fake index that replies to each call with the call's body, until ln is closed.
func serveIndex(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if err := serveIndexConn(conn); err != io.EOF {
				log.Print("index: connection closed: ", err)
			}
		}()
	}
}

// serveIndexConn handles the commands of one connection to the fake index until one is invalid or the connection ends.
func serveIndexConn(conn io.ReadWriter) error {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		switch words := strings.Fields(line); {
		case len(words) == 4 && words[0] == "GET":
			body, err := readBody(in, words[3])
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(conn, "%s HIT %d\r\n%s\r\n", words[1], len(body), body); err != nil {
				return err
			}
		case len(words) == 2 && words[0] == "STOP":
		default:
			return fmt.Errorf("invalid command %q", line)
		}
	}
}
