package front

import (
	"fmt"
	"sync"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/replica"
	"cairnlane/internal/thrift"
)

const (
	// maxOpen bounds the requests that are open on one connection. Routers open 32 at most.
	maxOpen = 64
	// callTime is how long a client may take to its first good call, and to finish a frame that it has
	// begun. Routers open a connection when they need it.
	callTime = 2 * time.Second
)

// session is the state of one router connection, with no I/O of its own: bytes come in by feed, and
// encoded messages go out by send. A second protocol stands beside this one with a session of its own.
type session struct {
	core Core
	send func(encode func([]byte) []byte)
	now  func() time.Duration

	began time.Duration // when the connection was accepted

	in  []byte // read, not yet a whole frame; only the reader uses it
	seq int32  // of the last call

	mu      sync.Mutex // guards what follows; never held while the core is called
	open    int        // calls without their answer
	used    time.Duration
	partial time.Duration // since when a frame is begun and not whole; 0 when none is
	good    bool          // a call was taken
	parted  bool          // goaway was sent
	closed  bool          // nothing more is sent
}

// feed reads what has come in. An error means that the connection is beyond use.
func (s *session) feed(p []byte) error {
	buf := p
	if len(s.in) > 0 {
		s.in = append(s.in, p...)
		buf = s.in
	}
	if err := s.room(buf); err != nil {
		return err
	}
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
	if len(buf) == 0 {
		s.in = nil // most connections are idle at any time and need no buffer then
	} else {
		s.in = append(s.in[:0], buf...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.now() // part of a request is use as well: such a connection is not closed as idle
	switch {
	case len(buf) == 0:
		s.partial = 0
	case s.partial == 0 || len(buf) < len(p): // this frame was begun just now
		s.partial = s.used
	}
	return nil
}

// room turns down calls by the hundred before the first of them is taken: they would fill the hold, and
// no router sends so many.
func (s *session) room(buf []byte) error {
	s.mu.Lock()
	n := s.open
	s.mu.Unlock()
	for {
		payload, rest, err := thrift.Frame(buf)
		if err != nil {
			return err
		}
		if payload == nil {
			return nil
		}
		if n++; n > maxOpen {
			return fmt.Errorf("%w: over %d calls open", thrift.ErrMalformed, maxOpen)
		}
		buf = rest
	}
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
	if h.Seq <= s.seq { // of two calls under one number the router could not tell the answers apart
		return fmt.Errorf("%w: call %d after call %d", thrift.ErrMalformed, h.Seq, s.seq)
	}
	s.seq = h.Seq
	s.begin()
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
			return nil
		}
		s.taken()
	case "isWell":
		s.taken()
		good, signal := s.core.Healthy(), s.core.CurrentSignal()
		c.finish(func(dst []byte) []byte { return appendCheck(dst, h.Seq, good, signal) })
	default:
		c.finish(func(dst []byte) []byte {
			return appendFault(dst, h, thrift.UnknownMethod, fmt.Sprintf("unknown method %.40q", h.Name))
		})
	}
	return nil
}

func (s *session) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
}

// taken says that a call was a good one.
func (s *session) taken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.good = true
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

// usage is what decides whether a connection is worth its descriptor.
type usage struct {
	busy    bool          // a call is open
	idle    time.Duration // for how long nothing has come in or gone out
	good    bool          // it has carried a good call
	overdue bool          // its first good call, or the rest of a frame, is later than callTime
}

func (s *session) usage() usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	u := usage{busy: s.open > 0, idle: now - s.used, good: s.good}
	u.overdue = !u.busy && (!s.good && now-s.began >= callTime || s.partial > 0 && now-s.partial >= callTime)
	return u
}

// end says that the connection is closed: what is still answered goes nowhere.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
