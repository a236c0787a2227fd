package misuse

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/thrift"
)

// Sizes of what a client sends.
const (
	batchSize     = 200 // messages per write of a client that writes at full speed
	longBody      = 4000
	shortFields   = 250
	slowWriteSize = 16       // bytes per write of a slow client
	writeBuffer   = 64 << 10 // of the client's kernel, so that what it has written was also taken by the process
)

// Intervals of a client's actions.
const (
	dialTimeout       = time.Second
	slowWriteInterval = 50 * time.Millisecond
	reconnectInterval = 50 * time.Millisecond
	leaveInterval     = 20 * time.Millisecond // between the last write of a client that leaves and its next connection
)

// client is one misbehaving client. It plays its behaviour again and again until the trial stops.
type client struct {
	addr    string
	request func(*message) // sets the site's class and tenant
	random  *rand.Rand
	stop    *atomic.Bool
	written *atomic.Int64 // bytes
	sent    *sentBodies
}

// message is one request before it is encoded.
type message struct {
	fields map[string]string
	body   string
}

// newMessage returns a valid request under new names.
func (c *client) newMessage() *message {
	m := &message{body: "misuse", fields: map[string]string{"txn": fmt.Sprintf("%016x", c.random.Uint64()),
		"door": strconv.FormatInt(time.Now().UnixMilli(), 10), "lb": strconv.Itoa(int(c.random.Int32())), "ram": "24.5", "standing": "0.5", "limit": "2500"}}
	c.request(m)
	return m
}

// encode appends the message as a call with a sequence number.
func (m *message) encode(dst []byte, seq int32) []byte {
	fields := make([][2]string, 0, len(m.fields))
	for name, value := range m.fields {
		fields = append(fields, [2]string{name, value})
	}
	return thrift.AppendFrame(dst, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), []byte(m.body)))
	})
}

// connect opens a connection, or returns nil after a pause.
func (c *client) connect() net.Conn {
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		time.Sleep(reconnectInterval)
		return nil
	}
	conn.(*net.TCPConn).SetWriteBuffer(writeBuffer)
	return conn
}

// repeat plays behaviour on one connection after the other.
func (c *client) repeat(behaviour func(net.Conn)) {
	for !c.stop.Load() {
		conn := c.connect()
		if conn == nil {
			continue
		}
		behaviour(conn)
		conn.Close()
		time.Sleep(reconnectInterval)
	}
}

// flood writes messages at full speed and reads all answers.
func (c *client) flood(next func(dst []byte, seq int32) []byte) {
	c.repeat(func(conn net.Conn) {
		go io.Copy(io.Discard, bufio.NewReaderSize(conn, 64<<10))
		var out []byte
		for seq := int32(0); !c.stop.Load(); {
			out = out[:0]
			for range batchSize {
				seq++
				out = next(out, seq)
			}
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := conn.Write(out)
			c.written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
}

// unsound floods with small requests that lack their id.
func (c *client) unsound() {
	c.flood(func(dst []byte, seq int32) []byte {
		m := c.newMessage()
		delete(m.fields, "txn")
		return m.encode(dst, seq)
	})
}

// newNames floods with requests under new ids, keys and router numbers.
func (c *client) newNames() {
	c.flood(func(dst []byte, seq int32) []byte { return c.newMessage().encode(dst, seq) })
}

// withdrawn floods with requests that are given up at once.
func (c *client) withdrawn() {
	c.flood(func(dst []byte, seq int32) []byte {
		dst = c.newMessage().encode(dst, seq)
		return thrift.AppendFrame(dst, func(b []byte) []byte {
			b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Oneway, Name: "forget", Seq: seq})
			return thrift.AppendStop(thrift.AppendI32(thrift.AppendField(b, thrift.I32, 1), seq))
		})
	})
}

// manyFields floods with heads of many short fields.
func (c *client) manyFields() {
	c.flood(func(dst []byte, seq int32) []byte {
		m := c.newMessage()
		for i := range shortFields - len(m.fields) {
			m.fields["f"+strconv.Itoa(i)] = "v"
		}
		return m.encode(dst, seq)
	})
}

// writeSlowly writes a long request a few bytes at a time.
func (c *client) writeSlowly() {
	c.repeat(func(conn net.Conn) {
		for rest := c.longRequest(); len(rest) > 0 && !c.stop.Load(); rest = rest[min(slowWriteSize, len(rest)):] {
			n, err := conn.Write(rest[:min(slowWriteSize, len(rest))])
			c.written.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(slowWriteInterval)
		}
	})
}

// stopHalfWay writes half of a long request and waits for the close.
func (c *client) stopHalfWay() {
	c.repeat(func(conn net.Conn) {
		request := c.longRequest()
		n, _ := conn.Write(request[:len(request)/2])
		c.written.Add(int64(n))
		conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		io.Copy(io.Discard, conn)
	})
}

func (c *client) longRequest() []byte {
	m := c.newMessage()
	m.body = string(make([]byte, longBody))
	return m.encode(nil, 1)
}

// sentBodies records the bodies of the requests of clients that leave, with the time at which their client had left.
type sentBodies struct {
	mu   sync.Mutex
	left map[string]time.Time
	last int
}

func (s *sentBodies) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	body := fmt.Sprint("left behind ", s.last)
	s.left[body] = time.Time{}
	return body
}

func (s *sentBodies) markLeft(bodies []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, body := range bodies {
		s.left[body] = time.Now()
	}
}

// leave writes many requests and closes the connection while most of them are unread.
func (c *client) leave() {
	c.repeat(func(conn net.Conn) {
		var out []byte
		var bodies []string
		for seq := range int32(10 * batchSize) {
			m := c.newMessage()
			m.body = c.sent.next()
			bodies = append(bodies, m.body)
			out = m.encode(out, seq+1)
		}
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		n, _ := conn.Write(out)
		c.written.Add(int64(n))
		conn.Close()
		c.sent.markLeft(bodies)
		time.Sleep(leaveInterval)
	})
}

// comeAgain sends a request, leaves at once, and sends it under the same id and key on a new connection, several times.
func (c *client) comeAgain() {
	for !c.stop.Load() {
		m := c.newMessage()
		m.body = c.sent.next()
		for range 3 {
			conn := c.connect()
			if conn == nil {
				continue
			}
			n, _ := conn.Write(m.encode(nil, 1))
			c.written.Add(int64(n))
			time.Sleep(time.Duration(c.random.IntN(int(leaveInterval))))
			conn.Close()
			time.Sleep(time.Duration(c.random.IntN(int(leaveInterval))))
		}
	}
}
