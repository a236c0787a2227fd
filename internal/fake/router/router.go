// Package router is a fake of a router, written from the protocol specification. It opens a connection when it needs one, keeps up to
// 32 requests open on it, sends no new requests on it after goaway, and resends once a request that crossed the close of its
// connection. It classifies the replies and reports replies that match no open request.
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

// Request is an attempt to send.
type Request struct {
	Txn, Class, Tenant, IdempotencyKey, Item string
	Body                                     string
	TimeLimit                                time.Duration // time limit, counted from ArrivedAt
	Retry                                    bool
	Rank                                     float64   // the router's rank of the request, sent as standing; 0 stands for 0.5
	ArrivedAt                                time.Time // arrival time at the router; zero stands for the time of sending
}

// arrivedAt returns ArrivedAt or its default.
func (q *Request) arrivedAt() time.Time {
	if q.ArrivedAt.IsZero() {
		return time.Now()
	}
	return q.ArrivedAt
}

// rank returns Rank or its default. It is limited to 0.9999, the highest value below 1 in the four digits that are sent.
func (q *Request) rank() float64 {
	if q.Rank == 0 {
		return 0.5
	}
	return min(q.Rank, 0.9999)
}

// OutcomeKind is the kind of outcome of an attempt.
type OutcomeKind int

// The kinds of outcomes.
const (
	Served      OutcomeKind = iota
	Rejected                // rejected by the replica
	Failed                  // the reply was an exception, malformed, or without success
	Lost                    // the connection ended without a reply; the replica may have read the request
	NotAccepted             // no connection accepted the request, so that no replica can have read it
)

// Outcome is the outcome of an attempt.
type Outcome struct {
	Kind OutcomeKind
	Body string
	Took time.Duration
	// Fields of the reply's map.
	RetryAfter  time.Duration // retry-after delay
	DoNotRetry  bool          // do not retry
	Feedback    float64
	HasFeedback bool // the reply had a valid Feedback
}

// readFields sets the outcome's fields from the map of a reply.
func (o *Outcome) readFields(fields map[string]string) {
	if ms, err := strconv.ParseInt(fields["later"], 10, 64); err == nil {
		o.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	o.DoNotRetry = fields["giveup"] == "1"
	if v, err := strconv.ParseFloat(fields["feedback"], 64); err == nil {
		o.Feedback, o.HasFeedback = v, true
	}
}

// maxOpen is the limit on open requests on a connection.
const maxOpen = 32

// Router is a fake router that sends requests to one address.
type Router struct {
	Addr   string
	Number int // the router's number, sent with each request
	// OnUnexpectedReply is called with the sequence number of a reply that matches no open request: a second reply or an unsolicited one.
	OnUnexpectedReply func(seq int32)

	mu   sync.Mutex
	conn *conn // the connection for new requests; nil until the first one
}

// conn is a connection and its open requests.
type conn struct {
	net.Conn
	mu       sync.Mutex
	seq      int32
	open     map[int32]*call // by sequence number
	draining bool            // goaway was read, or the connection has ended: no new requests
	ended    bool
}

// closeCrossing is an interval before the close of a connection: an unanswered request that was written within it counts as crossing the
// close and is sent again.
const closeCrossing = 50 * time.Millisecond

// call is an open request.
type call struct {
	request          Request
	started, written time.Time
	done             func(Outcome)
	resent           bool // the request crossed a close before and is not sent again
}

// Send sends a request and calls done once with its outcome, from the goroutine that reads the connection, or before Send returns if
// no connection accepts the request.
func (r *Router) Send(q Request, done func(Outcome)) { r.send(q, time.Now(), done, false) }

func (r *Router) send(q Request, started time.Time, done func(Outcome), resent bool) {
	for attempt := 0; ; attempt++ {
		c, err := r.connection()
		if err != nil {
			done(Outcome{Kind: NotAccepted, Took: time.Since(started)})
			return
		}
		if c.send(r, &call{request: q, started: started, done: done, resent: resent}) {
			return
		}
		if attempt == 2 {
			done(Outcome{Kind: NotAccepted, Took: time.Since(started)})
			return
		}
	}
}

// connection returns the current connection, or a new one if the current one takes no more requests.
func (r *Router) connection() (*conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.conn; c != nil && c.hasRoom() {
		return c, nil
	}
	nc, err := net.DialTimeout("tcp", r.Addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, open: map[int32]*call{}}
	r.conn = c
	go c.readReplies(r)
	return c, nil
}

// Close closes the current connection.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.Close()
	}
}

// hasRoom reports whether the connection takes another request.
func (c *conn) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.draining && len(c.open) < maxOpen
}

// send writes a request. It returns false, and does nothing, if the connection takes no more requests.
func (c *conn) send(r *Router, pending *call) bool {
	q := &pending.request
	fields := [][2]string{{"verb", q.Class}, {"txn", q.Txn}, {"door", strconv.FormatInt(q.arrivedAt().UnixMilli(), 10)}, {"lb", strconv.Itoa(r.Number)},
		{"team", q.Tenant}, {"limit", strconv.FormatInt(q.TimeLimit.Milliseconds(), 10)}, {"ram", "9"}, {"standing", strconv.FormatFloat(q.rank(), 'f', 4, 64)}}
	for name, value := range map[string]string{"unique": q.IdempotencyKey, "item": q.Item} {
		if value != "" {
			fields = append(fields, [2]string{name, value})
		}
	}
	if q.Retry {
		fields = append(fields, [2]string{"second", "1"})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.seq++
	pending.written = time.Now()
	c.open[c.seq] = pending
	_, err := c.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: c.seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), q.Body))
	}))
	if err != nil { // readReplies reports the outcome once the connection has ended
		c.Close()
	}
	return true
}

// readReplies handles messages until the connection ends. Then it resends the open requests that crossed the close, and reports the
// others as Lost.
func (c *conn) readReplies(r *Router) {
	in := bufio.NewReader(c.Conn)
	for {
		payload, err := readFrame(in)
		if err != nil {
			break
		}
		if !c.handleMessage(r, payload) {
			break
		}
	}
	c.Close()
	c.mu.Lock()
	unanswered := c.open
	c.open, c.draining, c.ended = map[int32]*call{}, true, true
	c.mu.Unlock()
	for _, pending := range unanswered {
		if !pending.resent && time.Since(pending.written) < closeCrossing {
			r.send(pending.request, pending.started, pending.done, true)
			continue
		}
		pending.done(Outcome{Kind: Lost, Took: time.Since(pending.started)})
	}
}

// handleMessage handles one message. It returns false if the connection can be closed: the message is malformed, or the connection is
// draining and has no open requests.
func (c *conn) handleMessage(r *Router, payload []byte) bool {
	rd := thrift.NewReader(payload)
	h := rd.Header()
	if rd.Err() != nil {
		return false
	}
	if h.Type == thrift.Oneway && h.Name == "goaway" {
		c.mu.Lock()
		c.draining = true
		empty := len(c.open) == 0
		c.mu.Unlock()
		return !empty
	}
	out := readResult(rd, h)
	c.mu.Lock()
	pending := c.open[h.Seq]
	delete(c.open, h.Seq)
	drained := c.draining && len(c.open) == 0
	c.mu.Unlock()
	if pending == nil {
		r.OnUnexpectedReply(h.Seq)
		return !drained
	}
	out.Took = time.Since(pending.started)
	pending.done(out)
	return !drained
}

// readResult reads the result of a serve call.
func readResult(rd *thrift.Reader, h thrift.Header) Outcome {
	if h.Type != thrift.Reply {
		return Outcome{Kind: Failed}
	}
	var out Outcome
	switch _, id := rd.Field(); id {
	case 0:
		body, success := readAnswer(rd, &out)
		if rd.Err() != nil || !success {
			return Outcome{Kind: Failed}
		}
		out.Kind, out.Body = Served, body
		return out
	case 1:
		if t, id := rd.Field(); t == thrift.Map && id == 1 {
			out.readFields(rd.StringMap())
		}
		out.Kind = Rejected
		return out
	}
	return Outcome{Kind: Failed}
}

// readAnswer reads the Thrift struct Answer into out and returns its body and its success flag.
func readAnswer(rd *thrift.Reader, out *Outcome) (body string, success bool) {
	for {
		t, id := rd.Field()
		switch {
		case t == thrift.Stop:
			return body, success
		case id == 1 && t == thrift.String:
			body = string(rd.Binary())
		case id == 2 && t == thrift.Map:
			out.readFields(rd.StringMap())
		case id == 3 && t == thrift.Bool:
			success = rd.Byte() == 1
		default:
			rd.Skip(t)
		}
	}
}

// maxFrame is the limit on the length of a reply's frame, in bytes.
const maxFrame = 1 << 20

var errFrame = errors.New("invalid frame")

// readFrame reads one frame and returns its payload.
func readFrame(in io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errFrame, n, maxFrame)
	}
	payload := make([]byte, n)
	_, err := io.ReadFull(in, payload)
	return payload, err
}

// CheckHealth makes one health check of the replica on a new connection and returns its result. timeout limits the connecting, and again
// the check.
func CheckHealth(addr string, timeout time.Duration) (good bool, err error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	_, err = conn.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "isWell", Seq: 1})
		return thrift.AppendStop(thrift.AppendBool(thrift.AppendField(b, thrift.Bool, 1), true))
	}))
	if err != nil {
		return false, err
	}
	for {
		payload, err := readFrame(conn)
		if err != nil {
			return false, err
		}
		rd := thrift.NewReader(payload)
		h := rd.Header()
		if h.Type == thrift.Oneway {
			continue // goaway: the replica still answers requests that were sent before it
		}
		if t, id := rd.Field(); t != thrift.Struct || id != 0 {
			return false, fmt.Errorf("%w: reply to isWell begins with a field of type %d and id %d, want a struct with id 0", errFrame, t, id)
		}
		_, good = readAnswer(rd, new(Outcome))
		return good, rd.Err()
	}
}
