package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"cairnlane/internal/thrift"
)

// try is one try of a request, and what became of it.
type try struct {
	*job
	tenant  string
	second  bool
	limit   time.Duration // 0: the router does not say
	written time.Time
	answer  string // served, refused, failed, or "" without an answer
	at      time.Time
	body    string // of the answer
	gone    bool   // the router has sent forget, or has stopped waiting
	ended   bool   // the connection ended without an answer
}

// routerConn is one connection of a router.
type routerConn struct {
	net.Conn
	rec    *record
	engine *engine
	name   string

	mu      sync.Mutex
	seq     int32
	open    map[int32]*try // without an answer, also when given up
	goaway  bool
	closed  bool
	closeAt time.Time
	strays  int
	answers func(*try) // called for each answer
}

func dialRouter(addr, name string, rec *record, e *engine) (*routerConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	rc := &routerConn{Conn: c, rec: rec, engine: e, name: name, open: map[int32]*try{}}
	go rc.read()
	return rc, nil
}

func callFrame(seq int32, t *try, lb int) []byte {
	fields := [][2]string{{"verb", t.class}, {"txn", t.txn}, {"door", strconv.FormatInt(t.door.UnixMilli(), 10)}, {"lb", strconv.Itoa(lb)},
		{"team", t.tenant}, {"ram", "24.5"}, {"standing", "0.6250"}}
	if t.limit > 0 {
		fields = append(fields, [2]string{"limit", strconv.FormatInt(t.limit.Milliseconds(), 10)})
	}
	if t.second {
		fields = append(fields, [2]string{"second", "1"})
	}
	if t.unique != "" {
		fields = append(fields, [2]string{"unique", t.unique})
	}
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), t.job.body))
	})
}

func forgetFrame(seq int32) []byte {
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Oneway, Name: "forget", Seq: seq})
		return thrift.AppendStop(thrift.AppendI32(thrift.AppendField(b, thrift.I32, 1), seq))
	})
}

// waiting returns how many tries the router waits for.
func (c *routerConn) waiting() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.open {
		if !t.gone {
			n++
		}
	}
	return n
}

// write writes forgets for the tries of gone and then the new tries, in one write as one flush of a router's buffer.
func (c *routerConn) write(gone, tries []*try, lb int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []byte
	for seq, t := range c.open {
		for _, g := range gone {
			if g == t && !t.gone {
				t.gone = true
				c.engine.end(t.txn)
				out = append(out, forgetFrame(seq)...)
				c.rec.add("%s forget seq=%d %s", c.name, seq, t.txn)
			}
		}
	}
	now := time.Now()
	for _, t := range tries {
		c.seq++
		t.door, t.written = now, now
		c.engine.add(t.job)
		c.open[c.seq] = t
		out = append(out, callFrame(c.seq, t, lb)...)
		c.rec.add("%s serve seq=%d %s %s second=%v unique=%s", c.name, c.seq, t.class, t.txn, t.second, t.unique)
	}
	_, err := c.Conn.Write(out)
	return err
}

func (c *routerConn) read() {
	in := bufio.NewReader(c.Conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			break
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[:])&0xfffff)
		if _, err := io.ReadFull(in, payload); err != nil {
			break
		}
		c.message(payload)
	}
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.closeAt = true, time.Now()
	n := 0
	for _, t := range c.open {
		t.ended, t.at = true, c.closeAt
		if !t.gone {
			n++
		}
	}
	c.rec.add("%s connection ended with %d tries open that the router waits for", c.name, n)
}

func (c *routerConn) message(payload []byte) {
	r := thrift.NewReader(payload)
	h := r.Header()
	if h.Type == thrift.Oneway && h.Name == "goaway" {
		c.mu.Lock()
		c.goaway = true
		c.mu.Unlock()
		c.rec.add("%s goaway", c.name)
		return
	}
	answer, body := "failed", ""
	if h.Type == thrift.Reply {
		switch t, id := r.Field(); {
		case t == thrift.Struct && id == 0:
			good := false
			for {
				t, id := r.Field()
				if t == thrift.Stop {
					break
				}
				switch {
				case id == 1 && t == thrift.String:
					body = string(r.Binary())
				case id == 3 && t == thrift.Bool:
					good = r.Byte() == 1
				default:
					r.Skip(t)
				}
			}
			if good && r.Err() == nil {
				answer = "served"
			}
		case t == thrift.Struct && id == 1:
			answer = "refused"
		}
	}
	c.mu.Lock()
	t := c.open[h.Seq]
	delete(c.open, h.Seq)
	if t == nil {
		c.strays++
		c.mu.Unlock()
		c.rec.add("%s answer seq=%d to no open try", c.name, h.Seq)
		return
	}
	t.answer, t.at, t.body = answer, time.Now(), body
	c.mu.Unlock()
	c.engine.end(t.txn)
	c.rec.add("%s answer seq=%d %s %s after %d ms", c.name, h.Seq, t.txn, answer, t.at.Sub(t.written).Milliseconds())
	if c.answers != nil {
		c.answers(t)
	}
}

// isClosed reports whether the connection takes no more requests.
func (c *routerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.goaway
}
