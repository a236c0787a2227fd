package conns

// MaxAwaited is the limit on the calls of one connection that its peer waits for. A router waits for 32 at most; twice as many
// are accepted because the message that gives a call up may arrive after the calls that take its place.
const MaxAwaited = 64

// MaxUnanswered is the limit on the unanswered calls of one connection, including those that the peer has given up: they
// occupy memory until they end.
const MaxUnanswered = 96

// Calls holds the unanswered calls of one connection. A call ends when it is answered. A call that the peer has given
// up stays until then, but the peer no longer waits for it. The zero value holds no calls. It is not safe for concurrent
// use.
type Calls struct {
	unanswered map[int32]openCall // by sequence number
	awaited    int
}

// openCall is one unanswered call.
type openCall struct {
	id      string // of the attempt; empty for a call without one
	givenUp bool
}

// Open adds the call with this sequence number, which is not open yet. id is the id of its attempt, or empty.
func (c *Calls) Open(seq int32, id string) {
	if c.unanswered == nil {
		c.unanswered = map[int32]openCall{}
	}
	c.unanswered[seq] = openCall{id: id}
	c.awaited++
}

// GiveUp records that the peer no longer waits for a call. It returns the id of the call's attempt, and false if the call
// is unknown, is answered or was given up before.
func (c *Calls) GiveUp(seq int32) (id string, awaited bool) {
	call, open := c.unanswered[seq]
	if !open || call.givenUp {
		return "", false
	}
	c.unanswered[seq] = openCall{id: call.id, givenUp: true}
	c.awaited--
	return call.id, true
}

// Answered removes a call that was answered.
func (c *Calls) Answered(seq int32) {
	call, open := c.unanswered[seq]
	if !open {
		return
	}
	delete(c.unanswered, seq)
	if !call.givenUp {
		c.awaited--
	}
}

// Unanswered returns the number of calls without an answer.
func (c *Calls) Unanswered() int { return len(c.unanswered) }

// Awaited returns the number of calls without an answer that the peer waits for.
func (c *Calls) Awaited() int { return c.awaited }

// Full reports whether no further call may be accepted before another one is answered.
func (c *Calls) Full() bool { return len(c.unanswered) >= MaxUnanswered }

// Input lists what one piece of input does to the calls of a connection.
type Input struct {
	Opened  []int32 // sequence numbers of the calls that it opens
	GivenUp []int32 // sequence numbers of the calls that it gives up, whether it opens them or they are open already
}

// InputRejection says which calls of an input are rejected before they are accepted. The zero value rejects none.
type InputRejection struct {
	all     bool
	givenUp map[int32]bool
}

// Rejects reports whether the call with this sequence number is rejected.
func (r InputRejection) Rejects(seq int32) bool { return r.all || r.givenUp[seq] }

// Check decides which calls of an input are accepted. Calls that the same input gives up are not: their peer would not
// wait for the answer. If the peer would wait for more than MaxAwaited calls once the input is processed, none of its
// calls is accepted, because they would fill the queue.
func (c *Calls) Check(in Input) InputRejection {
	rejection := InputRejection{givenUp: map[int32]bool{}}
	awaited := c.awaited
	for _, seq := range in.GivenUp {
		if rejection.givenUp[seq] {
			continue
		}
		rejection.givenUp[seq] = true
		if call, open := c.unanswered[seq]; open && !call.givenUp {
			awaited--
		}
	}
	for _, seq := range in.Opened {
		if !rejection.givenUp[seq] {
			awaited++
		}
	}
	rejection.all = awaited > MaxAwaited
	return rejection
}
