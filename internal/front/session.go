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

// maxOpen bounds the open calls on one connection. Routers open 32 at most.
const maxOpen = 64

// session is the state of one router connection. It does no I/O: input is passed to feed, and encoded messages are
// passed to send. Another protocol would have a session type of its own.
type session struct {
	core Core
	send func(encode func([]byte) []byte)
	now  func() time.Duration

	acceptedAt time.Duration // when the connection was accepted

	buffered []byte // an incomplete frame; only the reader uses it
	lastSeq  int32  // of the last call

	mu           sync.Mutex       // guards what follows; never held while the core is called
	open         int              // number of unanswered calls
	txns         map[int32]string // txn of each unanswered request, by the sequence number of its call
	lastUsed     time.Duration
	partialSince time.Duration // when the incomplete frame began; 0 if there is none
	kind         conns.Kind    // the best kind of call received
	feeding      bool          // input is being read or parsed
	ending       conns.Closing
	goawaySent   bool
	closed       bool // the connection is closed; nothing more is sent
}

// enter begins the processing of input, before any of it is taken out of the reader. It returns false if the
// connection is ending and the input must be dropped: a call accepted now would not be answered.
func (s *session) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeding = !s.closed && s.ending.AcceptsCalls()
	return s.feeding
}

// exit ends the processing of input.
func (s *session) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeding = false
}

// feed parses input. After an error the connection is unusable.
func (s *session) feed(p []byte) error {
	buf := p
	if len(s.buffered) > 0 {
		s.buffered = append(s.buffered, p...)
		buf = s.buffered
	}
	if err := s.checkOpenCalls(buf); err != nil {
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
		if err := s.handleMessage(payload); err != nil {
			return err
		}
		buf = rest
	}
	if len(buf) == 0 {
		s.buffered = nil // most connections are idle at any time and need no buffer
	} else {
		s.buffered = append(s.buffered[:0], buf...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = s.now() // a partial request counts as use, so that the connection is not closed as idle
	switch {
	case len(buf) == 0:
		s.partialSince = 0
	case s.partialSince == 0 || len(buf) < len(p): // this frame began with this input
		s.partialSince = s.lastUsed
	}
	return nil
}

// checkOpenCalls rejects input that would open more than maxOpen calls, before the first of them is accepted: they would
// fill the queue, and no router sends that many.
func (s *session) checkOpenCalls(buf []byte) error {
	s.mu.Lock()
	open := s.open
	s.mu.Unlock()
	before, oneway := open, 0
	for {
		payload, rest, err := thrift.Frame(buf)
		if err != nil {
			return err
		}
		if payload == nil {
			break
		}
		if thrift.NewReader(payload).Header().Type == thrift.Oneway {
			oneway++
		}
		open++
		buf = rest
	}
	if open > maxOpen {
		return fmt.Errorf("%w: more than %d open calls: %d were open, and the input has %d messages, %d of them oneway", thrift.ErrMalformed, maxOpen, before, open-before, oneway)
	}
	return nil
}

// handleMessage handles one message. An error inside a call is answered on that call only.
func (s *session) handleMessage(payload []byte) error {
	r := thrift.NewReader(payload)
	h := r.Header()
	if err := r.Err(); err != nil {
		return err
	}
	if h.Type == thrift.Oneway {
		if h.Name == "forget" {
			s.handleForget(r)
		}
		return nil // oneway messages have no answer
	}
	if h.Type != thrift.Call {
		return fmt.Errorf("%w: message of type %d", thrift.ErrMalformed, h.Type)
	}
	if h.Seq <= s.lastSeq { // the router could not tell apart the answers to two calls with one number
		return fmt.Errorf("%w: sequence number %d of a call is not above the last one, %d", thrift.ErrMalformed, h.Seq, s.lastSeq)
	}
	s.lastSeq = h.Seq
	s.openCall()
	c := &call{session: s, seq: h.Seq}
	switch h.Name {
	case "serve":
		q, err := decodeServe(r)
		if err == nil {
			q.Reply = c
			s.trackAttempt(h.Seq, q.Txn) // before Arrive, which may answer at once
			err = s.core.Arrive(q)
		}
		if err != nil {
			s.core.CountMalformed()
			c.reply(func(dst []byte) []byte { return appendApplicationException(dst, h, thrift.ProtocolError, err.Error()) })
			return nil
		}
		s.raiseKind(conns.Caller)
	case "isWell":
		s.raiseKind(conns.Checker)
		healthy, signal := s.core.Healthy(), s.core.CurrentSignal()
		c.reply(func(dst []byte) []byte { return appendCheck(dst, h.Seq, healthy, signal) })
	default:
		c.reply(func(dst []byte) []byte {
			return appendApplicationException(dst, h, thrift.UnknownMethod, fmt.Sprintf("unknown method %.40q", h.Name))
		})
	}
	return nil
}

// trackAttempt records the txn of a call's attempt, so that a forget message for the call can abandon it.
func (s *session) trackAttempt(seq int32, txn string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txns == nil {
		s.txns = map[int32]string{}
	}
	s.txns[seq] = txn
}

// handleForget handles a router's message that it no longer waits for one of its calls. A message for a call that is
// answered or unknown is ignored.
func (s *session) handleForget(r *thrift.Reader) {
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
	txn, open := s.txns[seq]
	s.mu.Unlock()
	if found && open && r.Err() == nil {
		s.core.CallerGone(txn)
	}
}

func (s *session) openCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
}

// raiseKind records the kind of a well-formed call.
func (s *session) raiseKind(kind conns.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind = max(s.kind, kind)
}

// call is one call on a connection. It is the replica.Reply of its request.
type call struct {
	session  *session
	seq      int32
	answered bool
}

// Answer implements replica.Reply.
func (c *call) Answer(a replica.Answer) {
	c.reply(func(dst []byte) []byte { return appendAnswer(dst, c.seq, a) })
}

func (c *call) reply(encode func([]byte) []byte) {
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if !assert.That(!c.answered, "a call is answered once") {
		return
	}
	c.answered = true
	s.open--
	delete(s.txns, c.seq)
	s.lastUsed = s.now()
	if !s.closed {
		s.send(encode)
	}
}

// sendGoaway asks the router to send no new requests on this connection and to close it when all are answered.
func (s *session) sendGoaway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.goawaySent && !s.closed {
		s.goawaySent = true
		s.send(appendGoaway)
	}
}

// use returns the connection's use, by which the table orders it.
func (s *session) use() conns.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.kind
	if s.partialSince > 0 {
		kind = conns.Writing
	}
	return conns.Use{Kind: kind, Last: s.lastUsed, Busy: s.open > 0 || s.feeding}
}

// due returns the reason for which the connection is due to be closed, or conns.None.
func (s *session) due(closeIdle time.Duration) conns.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending.State() != conns.Serving {
		return s.ending.Reason()
	}
	return conns.Lifetime{Kind: s.kind, AcceptedAt: s.acceptedAt, LastUsed: s.lastUsed, FrameStart: s.partialSince, Busy: s.open > 0 || s.feeding}.CloseReason(s.now(), closeIdle)
}

// view completes a view of the connection with the state of the session. s.mu has been held since the view was begun.
func (s *session) view(v conns.View) conns.View {
	v.Feeding, v.Partial, v.Open = s.feeding, s.partialSince > 0, s.open
	return v
}

// markClosed records that the connection is closed; later answers are dropped.
func (s *session) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
