package front

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/thrift"
)

// session is the state of one router connection. It does no I/O: input is passed to feed, and encoded messages are
// passed to send. Another protocol would have a session type of its own.
type session struct {
	core Core
	send func(encode func([]byte) []byte)
	now  func() time.Duration

	acceptedAt time.Duration     // when the connection was accepted
	overLimit  *counters.Counter // calls rejected by the limits on a connection's calls

	buffered []byte // an incomplete frame; only the reader uses it
	lastSeq  int32  // of the last call

	mu           sync.Mutex // guards what follows; never held while the core is called
	calls        conns.Calls
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
	rejection := s.checkCalls(buf)
	for {
		payload, rest, err := thrift.Frame(buf)
		if err != nil {
			return err
		}
		if payload == nil {
			break
		}
		if err := s.handleMessage(payload, rejection); err != nil {
			return err
		}
		buf = rest
	}
	if len(buf) != len(s.buffered) {
		s.buffered = bytes.Clone(buf) // no more than the rest, as a connection may hold it for long; nil if there is none
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

// checkCalls decides which calls of the input are rejected by the limit on the calls that the router waits for, before the
// first of them is accepted. Input with few messages cannot exceed the limit and is not examined.
func (s *session) checkCalls(buf []byte) conns.InputRejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls.NotGivenUp()+countMessages(buf) <= conns.MaxAwaited {
		return conns.InputRejection{}
	}
	return s.calls.Check(s.now(), listCalls(buf))
}

// handleMessage handles one message. An error inside a call is answered on that call only.
func (s *session) handleMessage(payload []byte, rejection conns.InputRejection) error {
	r := thrift.NewReader(payload)
	h := r.Header()
	if err := r.Err(); err != nil {
		return err
	}
	if h.Type == thrift.Oneway {
		if h.Name == forgetMethod {
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
	switch h.Name {
	case serveMethod:
		s.handleServe(r, h, rejection)
	case checkMethod:
		s.raiseKind(conns.Checker)
		healthy, signal := s.core.Healthy(), s.core.CurrentSignal()
		s.openCall(conns.Call{Seq: h.Seq}).reply(func(dst []byte) []byte { return appendCheck(dst, h.Seq, healthy, signal) })
	default:
		s.openCall(conns.Call{Seq: h.Seq}).reply(func(dst []byte) []byte {
			return appendApplicationException(dst, h, thrift.UnknownMethod, fmt.Sprintf("unknown method %.40q", h.Name))
		})
	}
	return nil
}

// handleServe handles a request. One that the limits on the connection's calls do not allow is rejected on its own call and
// not passed to the core; the connection stays open, because the router may wait for other answers on it.
func (s *session) handleServe(r *thrift.Reader, h thrift.Header, rejection conns.InputRejection) {
	q, err := decodeServe(r)
	full := s.callsFull()
	c := s.openCall(requestCall(h.Seq, &q)) // before Arrive, which may answer at once
	switch {
	case err != nil:
	case full || rejection.Rejects(h.Seq):
		s.raiseKind(conns.Caller)
		s.overLimit.Inc()
		c.Answer(overLimitAnswer(&q, s.core.CurrentSignal()))
		return
	default:
		q.Reply = c
		err = s.core.Arrive(q)
	}
	if err != nil {
		s.core.CountMalformed()
		c.reply(func(dst []byte) []byte { return appendApplicationException(dst, h, thrift.ProtocolError, err.Error()) })
		return
	}
	s.raiseKind(conns.Caller)
}

// overLimitAnswer is the answer to a request that the limits on its connection's calls do not allow. A keyed request is not
// rejected, because an earlier attempt of it may have run.
func overLimitAnswer(q *replica.Request, signal replica.Signal) replica.Answer {
	kind := replica.Rejected
	if q.IdempotencyKey != "" {
		kind = replica.Failed
	}
	return replica.Answer{Kind: kind, Signal: signal}
}

// handleForget handles a router's message that it no longer waits for one of its calls. A message for a call that is
// answered or unknown is ignored.
func (s *session) handleForget(r *thrift.Reader) {
	seq, ok := decodeForget(r)
	if !ok {
		return
	}
	s.mu.Lock()
	txn, awaited := s.calls.GiveUp(seq)
	s.mu.Unlock()
	if awaited {
		s.core.CallerGone(txn)
	}
}

// openCall adds an unanswered call.
func (s *session) openCall(c conns.Call) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Open(c)
	return &call{session: s, seq: c.Seq}
}

// callsFull reports whether the connection has as many unanswered calls as it may have.
func (s *session) callsFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.Full()
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
	s.calls.Answered(c.seq)
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
	return conns.Use{Kind: kind, Last: s.lastUsed, Busy: s.calls.Unanswered() > 0 || s.feeding}
}

// due returns the reason for which the connection is due to be closed, or conns.None.
func (s *session) due(closeIdle time.Duration) conns.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending.State() != conns.Serving {
		return s.ending.Reason()
	}
	return conns.Lifetime{Kind: s.kind, AcceptedAt: s.acceptedAt, LastUsed: s.lastUsed, FrameStart: s.partialSince, Busy: s.calls.Unanswered() > 0 || s.feeding}.CloseReason(s.now(), closeIdle)
}

// view completes a view of the connection with the state of the session. s.mu has been held since the view was begun.
func (s *session) view(v conns.View) conns.View {
	v.Feeding, v.Partial, v.Open = s.feeding, s.partialSince > 0, s.calls.Unanswered()
	return v
}

// endCalls records that the connection is closed, and tells the core that nobody waits for its calls any more. Later answers are
// dropped.
func (s *session) endCalls() {
	s.mu.Lock()
	s.closed = true
	gone := s.calls.GiveUpAll()
	s.mu.Unlock()
	for _, txn := range gone {
		s.core.CallerGone(txn)
	}
}
