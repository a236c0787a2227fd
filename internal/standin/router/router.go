// Package router stands in for a router, from the protocol page: it opens a connection when it needs one, has up to 32
// requests open on it, heeds goaway, and sends a request that crosses a close once more. It judges what it is answered.
package router

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"cairnlane/internal/thrift"
)

// Request is one try.
type Request struct {
	Txn, Class, Tenant, Unique, Item string
	Body                             string
	Limit                            time.Duration // from Door
	Retry                            bool
	Rank                             float64   // 0.5 if it is 0
	Door                             time.Time // when it came to the machine; now, if not told
}

func (q *Request) door() time.Time {
	if q.Door.IsZero() {
		return time.Now()
	}
	return q.Door
}

func (q *Request) rank() float64 {
	if q.Rank == 0 {
		return 0.5
	}
	return min(q.Rank, 0.9999)
}

// End is what became of a try.
type End int

// The ends.
const (
	Served End = iota
	Refused
	Failed
	Lost       // the connection ended, and the try may have been read
	TurnedBack // proven: nobody has read it, as the connection was refused
)

// Outcome is what became of a try.
type Outcome struct {
	End  End
	Body string
	Took time.Duration
	// What the answer told beside.
	Later    time.Duration
	GiveUp   bool
	Feedback float64
	Told     bool // Feedback was
}

// read takes the fields of an answer.
func (o *Outcome) read(fields map[string]string) {
	if ms, err := strconv.ParseInt(fields["later"], 10, 64); err == nil {
		o.Later = time.Duration(ms) * time.Millisecond
	}
	o.GiveUp = fields["giveup"] == "1"
	if v, err := strconv.ParseFloat(fields["feedback"], 64); err == nil {
		o.Feedback, o.Told = v, true
	}
}

const openMost = 32

// Router sends requests to one address.
type Router struct {
	Addr   string
	Number int
	// Twice is called when a request gets a second answer, or one that nobody asked for.
	Twice func(seq int32)

	mu   sync.Mutex
	conn *conn // what new requests go to; nil if one has to be opened
}

// conn is one connection.
type conn struct {
	net.Conn
	mu    sync.Mutex
	seq   int32
	open  map[int32]*call
	going bool // goaway was read, or the connection has ended
	ended bool
}

// crossTime is how long before a close a request may be written and still count as crossing it.
const crossTime = 50 * time.Millisecond

type call struct {
	request        Request
	began, written time.Time
	done           func(Outcome)
	again          bool // it has crossed a close already
}

// Send sends a try and has done called with its one outcome, on the reader's goroutine.
func (r *Router) Send(q Request, done func(Outcome)) { r.send(q, time.Now(), done, false) }

func (r *Router) send(q Request, began time.Time, done func(Outcome), again bool) {
	for try := 0; ; try++ {
		c, err := r.connection()
		if err != nil {
			done(Outcome{End: TurnedBack, Took: time.Since(began)})
			return
		}
		if c.send(r, &call{request: q, began: began, done: done, again: again}) {
			return
		}
		if try == 2 {
			done(Outcome{End: TurnedBack, Took: time.Since(began)})
			return
		}
	}
}

func (r *Router) connection() (*conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.conn; c != nil && c.free() {
		return c, nil
	}
	nc, err := net.DialTimeout("tcp", r.Addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, open: map[int32]*call{}}
	r.conn = c
	go c.read(r)
	return c, nil
}

// Close ends the connection that new requests would go to.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.Close()
	}
}

func (c *conn) free() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.going && len(c.open) < openMost
}

// send writes a request; false means that the connection takes none any more.
func (c *conn) send(r *Router, l *call) bool {
	q := &l.request
	fields := [][2]string{{"verb", q.Class}, {"txn", q.Txn}, {"door", strconv.FormatInt(q.door().UnixMilli(), 10)}, {"lb", strconv.Itoa(r.Number)},
		{"team", q.Tenant}, {"limit", strconv.FormatInt(q.Limit.Milliseconds(), 10)}, {"ram", "9"}, {"standing", strconv.FormatFloat(q.rank(), 'f', 4, 64)}}
	for name, v := range map[string]string{"unique": q.Unique, "item": q.Item} {
		if v != "" {
			fields = append(fields, [2]string{name, v})
		}
	}
	if q.Retry {
		fields = append(fields, [2]string{"second", "1"})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.going {
		return false
	}
	c.seq++
	l.written = time.Now()
	c.open[c.seq] = l
	_, err := c.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: c.seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), q.Body))
	}))
	if err != nil { // what became of it the reader tells
		c.Close()
	}
	return true
}

// read takes answers to the end of the connection.
func (c *conn) read(r *Router) {
	in := bufio.NewReader(c.Conn)
	for {
		p, err := frame(in)
		if err != nil {
			break
		}
		if !c.message(r, p) {
			break
		}
	}
	c.Close()
	c.mu.Lock()
	left := c.open
	c.open, c.going, c.ended = map[int32]*call{}, true, true
	c.mu.Unlock()
	for _, l := range left {
		if !l.again && time.Since(l.written) < crossTime {
			r.send(l.request, l.began, l.done, true)
			continue
		}
		l.done(Outcome{End: Lost, Took: time.Since(l.began)})
	}
}

// message takes one message; false means that the connection is done with.
func (c *conn) message(r *Router, p []byte) bool {
	rd := thrift.NewReader(p)
	h := rd.Header()
	if rd.Err() != nil {
		return false
	}
	if h.Type == thrift.Oneway && h.Name == "goaway" {
		c.mu.Lock()
		c.going = true
		empty := len(c.open) == 0
		c.mu.Unlock()
		return !empty
	}
	out := result(rd, h)
	c.mu.Lock()
	l := c.open[h.Seq]
	delete(c.open, h.Seq)
	last := c.going && len(c.open) == 0
	c.mu.Unlock()
	if l == nil {
		r.Twice(h.Seq)
		return !last
	}
	out.Took = time.Since(l.began)
	l.done(out)
	return !last
}

// result reads what a call returned.
func result(rd *thrift.Reader, h thrift.Header) Outcome {
	if h.Type != thrift.Reply {
		return Outcome{End: Failed}
	}
	var out Outcome
	switch _, id := rd.Field(); id {
	case 0:
		body, good := answer(rd, &out)
		if rd.Err() != nil || !good {
			return Outcome{End: Failed}
		}
		out.End, out.Body = Served, body
		return out
	case 1:
		if t, id := rd.Field(); t == thrift.Map && id == 1 {
			out.read(rd.StringMap())
		}
		out.End = Refused
		return out
	}
	return Outcome{End: Failed}
}

// answer reads the struct Answer.
func answer(rd *thrift.Reader, out *Outcome) (body string, good bool) {
	for {
		t, id := rd.Field()
		switch {
		case t == thrift.Stop:
			return body, good
		case id == 1 && t == thrift.String:
			body = string(rd.Binary())
		case id == 2 && t == thrift.Map:
			out.read(rd.StringMap())
		case id == 3 && t == thrift.Bool:
			good = rd.Byte() == 1
		default:
			rd.Skip(t)
		}
	}
}

// frameMost bounds what is read of an answer.
const frameMost = 1 << 20

var errFrame = errors.New("a frame that is too long")

func frame(in io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return nil, fmt.Errorf("%w: %d bytes", errFrame, n)
	}
	p := make([]byte, n)
	_, err := io.ReadFull(in, p)
	return p, err
}

// Check asks for the replica's health on a connection of its own.
func Check(addr string, most time.Duration) (good bool, err error) {
	c, err := net.DialTimeout("tcp", addr, most)
	if err != nil {
		return false, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(most))
	_, err = c.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "isWell", Seq: 1})
		return thrift.AppendStop(thrift.AppendBool(thrift.AppendField(b, thrift.Bool, 1), true))
	}))
	if err != nil {
		return false, err
	}
	for {
		p, err := frame(c)
		if err != nil {
			return false, err
		}
		rd := thrift.NewReader(p)
		h := rd.Header()
		if h.Type == thrift.Oneway {
			continue // goaway: the answer comes all the same
		}
		if t, id := rd.Field(); t != thrift.Struct || id != 0 {
			return false, errFrame
		}
		_, good = answer(rd, new(Outcome))
		return good, rd.Err()
	}
}
