package front

import (
	"fmt"
	"sync"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/conns"
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

	began time.Duration // when the connection was accepted

	in  []byte // read, not yet a whole frame; only the reader uses it
	seq int32  // of the last call

	mu      sync.Mutex       // guards what follows; never held while the core is called
	open    int              // calls without their answer
	tries   map[int32]string // txn of each request without its answer, by the number of its call
	used    time.Duration
	partial time.Duration // since when a frame is begun and not whole; 0 when none is
	kind    conns.Kind    // what it has carried
	feeding bool          // input is taken out of the reader, or being fed
	ending  conns.Ending
	parted  bool // goaway was sent
	closed  bool // nothing more is sent
}

// enter begins the work on input, before any of it is taken out of the reader. False means that the
// connection ends and the input is to be thrown away: a call that was taken now would have no answer.
func (s *session) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeding = !s.closed && s.ending.Takes()
	return s.feeding
}

// exit ends the work on input.
func (s *session) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeding = false
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
		if h.Name == "forget" {
			s.forget(r)
		}
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
			s.track(h.Seq, q.Txn) // before Arrive, which may answer at once
			err = s.core.Arrive(q)
		}
		if err != nil {
			s.core.CountMalformed()
			c.finish(func(dst []byte) []byte { return appendFault(dst, h, thrift.ProtocolError, err.Error()) })
			return nil
		}
		s.taken(conns.Caller)
	case "isWell":
		s.taken(conns.Checker)
		good, signal := s.core.Healthy(), s.core.CurrentSignal()
		c.finish(func(dst []byte) []byte { return appendCheck(dst, h.Seq, good, signal) })
	default:
		c.finish(func(dst []byte) []byte {
			return appendFault(dst, h, thrift.UnknownMethod, fmt.Sprintf("unknown method %.40q", h.Name))
		})
	}
	return nil
}

// track notes the try that a call carries, so that a forget of the call reaches it.
func (s *session) track(seq int32, txn string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tries == nil {
		s.tries = map[int32]string{}
	}
	s.tries[seq] = txn
}

// forget takes the word of a router that it no longer waits for one of its calls; a call that has its answer, or that
// was never made, is passed over.
func (s *session) forget(r *thrift.Reader) {
	seq, found := int32(0), false
	for {
		t, id := r.Field()
		if t == thrift.Stop || r.Err() != nil {
			break
		}
		if id == 1 && t == thrift.I32 {
			seq, found = r.I32(), true
		} else {
			r.Skip(t)
		}
	}
	s.mu.Lock()
	txn, open := s.tries[seq]
	s.mu.Unlock()
	if found && open && r.Err() == nil {
		s.core.CallerGone(txn)
	}
}

func (s *session) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
}

// taken says that a call was a good one.
func (s *session) taken(kind conns.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind = max(s.kind, kind)
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
	delete(s.tries, c.seq)
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

// use is what the table files the connection under.
func (s *session) use() conns.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.kind
	if s.partial > 0 {
		kind = conns.Writing
	}
	return conns.Use{Kind: kind, Last: s.used, Busy: s.open > 0 || s.feeding}
}

// due tells whether the connection has lasted longer than it may for what it carries, and why.
func (s *session) due(closeIdle time.Duration) conns.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending.State() != conns.Serving {
		return s.ending.Reason()
	}
	return conns.Stay{Kind: s.kind, Began: s.began, Used: s.used, Frame: s.partial, Busy: s.open > 0 || s.feeding}.Due(s.now(), closeIdle)
}

// view completes what was seen of the connection outside of the session; s.mu is held since before that.
func (s *session) view(v conns.View) conns.View {
	v.Feeding, v.Partial, v.Open = s.feeding, s.partial > 0, s.open
	return v
}

// end says that the connection is closed: what is still answered goes nowhere.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
