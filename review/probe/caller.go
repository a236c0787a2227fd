package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"cairnlane/internal/thrift"
)

// try is one attempt of a request as a router sends it.
type try struct {
	id, class, tenant, key, body string
	limit                        time.Duration // 0: the site's routers do not send it
	further                      bool
}

// newID returns a new id of 16 hex digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newKey returns a new key of 32 hex digits.
func newKey() string { return newID() + newID() }

// answer is what a router gets for a try.
type answer struct {
	kind string // served, refused, failed, closed (the connection ended first)
	body string
}

// caller is one connection of a router.
type caller struct {
	conn  net.Conn
	mu    sync.Mutex
	seq   int32
	open  map[int32]chan answer
	ended bool
}

// dialCaller opens a connection.
func dialCaller(addr string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, open: map[int32]chan answer{}}
	go c.read()
	return c, nil
}

// encode returns the message of a try.
func (t try) encode(seq int32) []byte {
	fields := [][2]string{{"verb", t.class}, {"txn", t.id}, {"door", strconv.FormatInt(time.Now().UnixMilli(), 10)}, {"lb", "4"}, {"team", t.tenant},
		{"ram", "24.5"}, {"standing", "0.6250"}}
	if t.limit > 0 {
		fields = append(fields, [2]string{"limit", strconv.FormatInt(t.limit.Milliseconds(), 10)})
	}
	if t.key != "" {
		fields = append(fields, [2]string{"unique", t.key})
	}
	if t.further {
		fields = append(fields, [2]string{"second", "1"})
	}
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), t.body))
	})
}

// send writes a try and returns the channel on which its answer arrives.
func (c *caller) send(t try) (<-chan answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil, errors.New("the connection has ended")
	}
	c.seq++
	got := make(chan answer, 1)
	c.open[c.seq] = got
	_, err := c.conn.Write(t.encode(c.seq))
	return got, err
}

// openCalls returns the number of tries without an answer, whether the router still waits for them or not.
func (c *caller) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *caller) read() {
	in := bufio.NewReader(c.conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			break
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, payload); err != nil {
			break
		}
		r := thrift.NewReader(payload)
		h := r.Header()
		if h.Type == thrift.Oneway {
			continue
		}
		a := decodeAnswer(r, h)
		c.mu.Lock()
		if got := c.open[h.Seq]; got != nil {
			delete(c.open, h.Seq)
			got <- a
		}
		c.mu.Unlock()
	}
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, got := range c.open {
		got <- answer{kind: "closed"}
	}
	c.open = nil
}

// decodeAnswer reads the result of a call of serve.
func decodeAnswer(r *thrift.Reader, h thrift.Header) answer {
	if h.Type != thrift.Reply {
		return answer{kind: "failed"}
	}
	switch _, id := r.Field(); id {
	case 0:
		a := answer{kind: "served"}
		for {
			t, id := r.Field()
			if t == thrift.Stop {
				return a
			}
			if id == 1 && t == thrift.String {
				a.body = string(r.Binary())
			} else {
				r.Skip(t)
			}
		}
	case 1:
		return answer{kind: "refused"}
	}
	return answer{kind: "failed"}
}

// close ends the connection.
func (c *caller) close() { c.conn.Close() }

// ask sends one try on a connection of its own and waits for its answer.
func ask(addr string, t try, wait time.Duration) answer {
	c, err := dialCaller(addr)
	if err != nil {
		return answer{kind: "not accepted"}
	}
	defer c.close()
	got, err := c.send(t)
	if err != nil {
		return answer{kind: "closed"}
	}
	select {
	case a := <-got:
		return a
	case <-time.After(wait):
		return answer{kind: "none in time"}
	}
}
