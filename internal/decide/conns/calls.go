package conns

import (
	"maps"
	"slices"
	"time"
)

// MaxAwaited is the limit on the calls of one connection that its peer waits for. A router waits for 32 at most; twice as many
// are accepted because the message that gives a call up may arrive after the calls that take its place.
const MaxAwaited = 64

// MaxUnanswered is the limit on the unanswered calls of one connection, including those that the peer has given up: they
// occupy memory until they end.
const MaxUnanswered = 96

// Call is one call, as its peer sent it.
type Call struct {
	Seq   int32         // its sequence number
	ID    string        // of its attempt; empty if it is no request
	Until time.Duration // how long the peer waits for the answer, as a time of day; 0 if it does not say
}

// endedAt reports whether the peer has stopped waiting by itself.
func (c Call) endedAt(now time.Duration) bool { return c.Until != 0 && now >= c.Until }

// Calls holds the unanswered calls of one connection. A call ends when it is answered. A call that the peer has given
// up, or that it waits for no longer, stays until then. The zero value holds no calls. It is not safe for concurrent use.
type Calls struct {
	unanswered map[int32]openCall // by sequence number
	givenUp    int
}

// openCall is one unanswered call.
type openCall struct {
	Call
	givenUp bool
}

// Open adds a call whose sequence number is not open yet.
func (c *Calls) Open(call Call) {
	if c.unanswered == nil {
		c.unanswered = map[int32]openCall{}
	}
	c.unanswered[call.Seq] = openCall{Call: call}
}

// GiveUp records that the peer no longer waits for a call. It returns the id of the call's attempt, and false if the call
// is unknown, is answered or was given up before.
func (c *Calls) GiveUp(seq int32) (id string, awaited bool) {
	call, open := c.unanswered[seq]
	if !open || call.givenUp {
		return "", false
	}
	c.unanswered[seq] = openCall{Call: call.Call, givenUp: true}
	c.givenUp++
	return call.ID, true
}

// GiveUpAll records that the peer waits for no call any more. It returns the ids of the attempts that it waited for, in the order of
// their calls.
func (c *Calls) GiveUpAll() (ids []string) {
	for _, seq := range slices.Sorted(maps.Keys(c.unanswered)) {
		if id, awaited := c.GiveUp(seq); awaited && id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// Answered removes a call that was answered.
func (c *Calls) Answered(seq int32) {
	call, open := c.unanswered[seq]
	if !open {
		return
	}
	delete(c.unanswered, seq)
	if call.givenUp {
		c.givenUp--
	}
}

// Unanswered returns the number of calls without an answer.
func (c *Calls) Unanswered() int { return len(c.unanswered) }

// NotGivenUp returns the number of calls without an answer that the peer has not given up.
func (c *Calls) NotGivenUp() int { return len(c.unanswered) - c.givenUp }

// Full reports whether no further call may be accepted before another one is answered.
func (c *Calls) Full() bool { return len(c.unanswered) >= MaxUnanswered }

// Input lists what one piece of input does to the calls of a connection.
type Input struct {
	Opened  []Call  // calls that it opens
	GivenUp []int32 // sequence numbers of the calls that it gives up, whether it opens them or they are open already
}

// InputRejection says which calls of an input are rejected before they are accepted. The zero value rejects none.
type InputRejection struct {
	all     bool
	givenUp map[int32]bool
}

// Rejects reports whether the call with this sequence number is rejected.
func (r InputRejection) Rejects(seq int32) bool { return r.all || r.givenUp[seq] }

// Check decides at time now which calls of an input are accepted. Calls that the same input gives up are not: their peer
// would not wait for the answer. If the peer would wait for more than MaxAwaited calls once the input is processed, none of
// its calls is accepted, because they would fill the queue.
func (c *Calls) Check(now time.Duration, in Input) InputRejection {
	rejection := InputRejection{givenUp: make(map[int32]bool, len(in.GivenUp))}
	for _, seq := range in.GivenUp {
		rejection.givenUp[seq] = true
	}
	awaited := 0
	for seq, call := range c.unanswered {
		if !call.givenUp && !rejection.givenUp[seq] && !call.endedAt(now) {
			awaited++
		}
	}
	for _, call := range in.Opened {
		if !rejection.givenUp[call.Seq] && !call.endedAt(now) {
			awaited++
		}
	}
	rejection.all = awaited > MaxAwaited
	return rejection
}
