package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// knowingEngine is an engine that runs only requests that the case has announced to it, as the engine of the pages does: a RUN with
// any other id is answered with NO.
type knowingEngine struct {
	ln      net.Listener
	runTime time.Duration

	mu     sync.Mutex
	known  map[string]bool
	link   net.Conn
	last   int64
	runs   int // runs of known requests
	denied int // commands that were not carried out
}

func startKnowingEngine(runTime time.Duration) (*knowingEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &knowingEngine{ln: ln, runTime: runTime, known: map[string]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// announce makes an id known.
func (e *knowingEngine) announce(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known[id] = true
}

func (e *knowingEngine) counts() (runs, denied int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs, e.denied
}

func (e *knowingEngine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "ATTACH":
			e.mu.Lock()
			e.link = c
			io.WriteString(c, "HELLO running 60000\r\n")
			e.mu.Unlock()
		case len(words) == 2 && words[0] == "STAT":
			e.mu.Lock()
			io.WriteString(c, "STATS "+words[1]+" 0 0 0 0\r\n")
			e.mu.Unlock()
		case len(words) == 4 && words[0] == "RUN":
			n, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			e.run(c, words[1], string(body[:n]))
		default:
			return
		}
	}
}

func (e *knowingEngine) run(c net.Conn, id, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known[id] {
		e.denied++
		io.WriteString(c, "NO RUN "+id+"\r\n")
		return
	}
	delete(e.known, id)
	e.runs++
	time.AfterFunc(e.runTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.last++
		result := "did " + body
		io.WriteString(e.link, fmt.Sprintf("DONE %d %s fine %d %d\r\n%s\r\n", e.last, id, e.runTime.Milliseconds(), len(result), result))
	})
}
