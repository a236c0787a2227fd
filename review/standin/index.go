package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// startIndex starts a stand-in of the index, which answers each call after the given time.
func startIndex(rec *record, took time.Duration) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveIndex(rec, c, took)
		}
	}()
	return ln.Addr().String(), nil
}

func serveIndex(rec *record, c net.Conn, took time.Duration) {
	defer c.Close()
	in := bufio.NewReader(c)
	calls := map[string]*time.Timer{} // replies that are due, by id
	replies := make(chan string, 4096)
	go func() {
		for s := range replies {
			io.WriteString(c, s)
		}
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "STOP":
			if o := calls[words[1]]; o != nil {
				o.Stop()
				delete(calls, words[1])
			}
		case len(words) == 4 && words[0] == "GET":
			body, err := readBody(in, words[3])
			if err != nil {
				return
			}
			rec.add("index GET %s %s ms, %q", words[1], words[2], body)
			id, reply := words[1], callReply(body)
			if o := calls[id]; o != nil {
				o.Stop()
			}
			calls[id] = time.AfterFunc(took, func() {
				replies <- fmt.Sprintf("%s HIT %d\r\n%s\r\n", id, len(reply), reply)
			})
		default:
			return
		}
	}
}
