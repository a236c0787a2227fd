package front

import (
	"fmt"
	"sync"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/replica"
	"cairnlane/internal/thrift"
)

// maxOpen bounds the requests that are open on one connection. Routers open 32 at most.
const maxOpen = 64

// session is the state of one router connection, with no I/O of its own: bytes come in by feed, and
// encoded messages go out by send. A second protocol stands beside this one with a session of its own.
type session struct {
	core Core
	send func(encode func([]byte) []byte)
	now  func() time.Duration

	in []byte // read, not yet a whole frame; only the reader uses it

	mu     sync.Mutex // guards what follows; never held while the core is called
	open   int        // calls without their answer
	used   time.Duration
	parted bool // goaway was sent
	closed bool // nothing more is sent
}

// feed reads what has come in. An error means that the connection is beyond use.
func (s *session) feed(p []byte) error {
	s.mu.Lock()
	s.used = s.now() // part of a request is use as well: such a connection is not closed as idle
	s.mu.Unlock()
	s.in = append(s.in, p...)
	buf := s.in
	for {
		payload, rest, err := thrift.Frame(buf)
		if err != nil {
			return err
		}
		if payload == nil {
			break
		}
		if err := s.message(payload); err != nil {
			return err
		}
		buf = rest
	}
	s.in = append(s.in[:0], buf...)
	return nil
}

// message takes one message. What is wrong inside a call is answered on that call alone.
func (s *session) message(payload []byte) error {
	r := thrift.NewReader(payload)
	h := r.Header()
	if err := r.Err(); err != nil {
		return err
	}
	if h.Type == thrift.Oneway {
		return nil // nothing is owed
	}
	if h.Type != thrift.Call {
		return fmt.Errorf("%w: message of type %d", thrift.ErrMalformed, h.Type)
	}
	if !s.begin() {
		return fmt.Errorf("%w: over %d calls open", thrift.ErrMalformed, maxOpen)
	}
	c := &call{session: s, seq: h.Seq}
	switch h.Name {
	case "serve":
		q, err := decodeServe(r)
		if err == nil {
			q.Reply = c
			err = s.core.Arrive(q)
		}
		if err != nil {
			s.core.Turned()
			c.finish(func(dst []byte) []byte { return appendFault(dst, h, thrift.ProtocolError, err.Error()) })
		}
	case "isWell":
		good, signal := s.core.Healthy(), s.core.CurrentSignal()
		c.finish(func(dst []byte) []byte { return appendCheck(dst, h.Seq, good, signal) })
	default:
		c.finish(func(dst []byte) []byte {
			return appendFault(dst, h, thrift.UnknownMethod, fmt.Sprintf("unknown method %.40q", h.Name))
		})
	}
	return nil
}

func (s *session) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.used = s.now()
	return s.open <= maxOpen
}

// call is one call on a connection. It is the replica.Reply of its request.
type call struct {
	session *session
	seq     int32
	over    bool
}

// Answer implements replica.Reply.
func (c *call) Answer(a replica.Answer) {
	c.finish(func(dst []byte) []byte { return appendAnswer(dst, c.seq, a) })
}

func (c *call) finish(encode func([]byte) []byte) {
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if !assert.That(!c.over, "a call is answered once") {
		return
	}
	c.over = true
	s.open--
	s.used = s.now()
	if !s.closed {
		s.send(encode)
	}
}

// part asks the router to send nothing new on this connection and to close it when all is answered.
func (s *session) part() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.parted && !s.closed {
		s.parted = true
		s.send(appendGoaway)
	}
}

// idle tells whether nothing is open and nothing was for so long.
func (s *session) idle(after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open == 0 && s.now()-s.used >= after
}

// end says that the connection is closed: what is still answered goes nowhere.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
