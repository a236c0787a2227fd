// Package index is the client of the shared index, the store that every replica calls while a request runs. Calls go
// out over a few TCP connections in the line protocol of the index (PROTOCOL.md, "The index") and their replies come
// back in any order. A connection that breaks takes all calls on it with it, so calls share one only when linksMost
// are open. Each Get ends in exactly one Reply, told from a goroutine of the client, unless Stop or a later Get for the
// same id gave it up first.
package index

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/policy"
)

const (
	dialTimeout     = time.Second            // longest wait for the index to accept a connection
	writeTimeout    = 5 * time.Second        // longest wait for one batch of lines to be written; past it the connection ends
	idleTimeout     = 9 * time.Second        // a connection with no call out is closed after so long, before the index does at 10 s
	maxLinks        = 4                      // connections at once; calls beyond one for each of them share
	silenceLimit    = 200 * time.Millisecond // shortest time without an answer after which a connection is taken for silent
	maxPassed       = 16                     // later calls answered on other connections before it is
	maxOpenCalls    = 1024                   // calls open at once, from Get until their Reply; past it a Get is turned away
	maxPendingBytes = 4 << 20                // bytes that wait to be written; a Get that would pass it is turned away
	idDigits        = 16                     // an id is 16 hex digits
)

// Replies is told how calls end.
type Replies interface {
	// Reply ends one call. outcome is policy.Succeeded for HIT, with the index's result; TurnedAway for SHED, NOBODY
	// and calls that the client did not send; Failed for BROKEN; TimedOut for SLOW and for calls that had no reply
	// within their wait; Unreachable where no connection could be made or the call was never written; Interrupted
	// where the connection ended while the call was out. took is the time from Get to the outcome. result is only
	// lent for the call and is nil unless the outcome is Succeeded. Calls come one at a time, never while the client
	// holds a lock, and at most once per Get.
	Reply(id string, outcome policy.Outcome, took time.Duration, result []byte)
}

// Client makes calls to the index. Its methods do not block and may be called while the caller holds its own lock.
type Client struct {
	replies                                              Replies
	callsMade, callsTurnedAway, callsTimedOut, stopsSent *counters.Counter
	repliesUnknown, dials, dialsFailed                   *counters.Counter
	linksLost, linksGarbage, callsInterrupted            *counters.Counter
	onLinkEnded                                          func() // tests only: told after a connection ended by itself
	linksSilent                                          *counters.Counter
	maxLinks                                             int
	silenceLimit                                         time.Duration

	replyMu sync.Mutex // held while Replies is told, so that replies come one at a time

	mu       sync.Mutex // guards the fields below; never held during I/O or while Replies is told
	addr     string
	links    []*link          // the connections that are up or being made, oldest first
	open     map[string]*call // calls not handed yet, by id
	finished []*call          // calls with an outcome that drain hands on
	draining bool             // a drain goroutine runs
	closed   bool
}

// call is one Get.
type call struct {
	id        string
	start     time.Time
	link      *link // nil where the call was never to be written
	timer     *time.Timer
	sent      bool // the GET was handed to the socket, so the call may have run
	done      bool // outcome and took are set
	discarded bool // no Reply is to come any more: it was handed, stopped or replaced
	outcome   policy.Outcome
	took      time.Duration
}

// New returns a client of the index at addr (host:port) that tells replies to replies. It dials only when a call is
// made. Its counters, named index_..., are taken from set.
func New(addr string, replies Replies, set *counters.Set) *Client {
	return &Client{replies: replies, addr: addr, open: map[string]*call{},
		maxLinks: maxLinks, silenceLimit: silenceLimit, linksSilent: set.Get("index_links_silent"),
		callsMade: set.Get("index_calls"), callsTurnedAway: set.Get("index_calls_turned_away"),
		callsTimedOut: set.Get("index_calls_timed_out"), stopsSent: set.Get("index_stops"),
		repliesUnknown: set.Get("index_replies_unknown"), dials: set.Get("index_dials"),
		dialsFailed: set.Get("index_dials_failed"), linksLost: set.Get("index_links_lost"),
		linksGarbage: set.Get("index_links_garbage"), callsInterrupted: set.Get("index_calls_interrupted")}
}

// Get calls the index for the request id (16 hex digits) with body, waiting at most wait for the reply; the index is
// told wait in whole milliseconds, rounded up. body is copied. A call with the id of one still open replaces it: the
// replaced one gets no Reply. A call is turned away (Reply with policy.TurnedAway, from a goroutine) if the client is
// closed, id is not 16 hex digits, wait is not positive, callsMost calls are open, or its bytes would pass outputMost.
func (c *Client) Get(id string, wait time.Duration, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.open[id]
	if old != nil {
		c.discard(old)
		if old.link != nil && !old.done {
			old.link.rememberStopped(id)
		}
	}
	k := &call{id: id, start: time.Now()}
	c.open[id] = k
	head := fmt.Appendf(nil, "GET %s %d %d\r\n", id, (wait+time.Millisecond-1)/time.Millisecond, len(body))
	if c.closed || !validID(id) || wait <= 0 || len(c.open) > maxOpenCalls ||
		c.pending()+len(head)+len(body)+2 > maxPendingBytes {
		if old != nil && !old.done {
			c.stop(old) // the index would not learn that it was replaced
		}
		c.callsTurnedAway.Inc()
		c.finish(k, policy.TurnedAway)
		return
	}
	l := c.linkFor(id)
	l.out = append(append(append(l.out, head...), body...), "\r\n"...)
	l.queued = append(l.queued, k)
	k.link = l
	k.timer = time.AfterFunc(wait, func() { c.expire(k) })
	c.callsMade.Inc()
	l.wakeWriter()
}

// Stop gives up the call for id: STOP is written if the call is out, and no Reply follows for it. A Reply that was
// being told as Stop was called may still come; callers that hold their own lock in both see it after Stop returns.
// Stop of an id with no open call does nothing.
func (c *Client) Stop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.open[id]
	if k == nil {
		return
	}
	c.discard(k)
	if !k.done {
		c.stop(k)
	}
}

// Move has later calls go to the index at addr (host:port). The calls that are out end on the connections they are on.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = addr
}

// Close ends all connections; each call still out gets Reply with policy.Interrupted, once. Later calls are turned
// away. Close does not wait for the client's goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var sockets []net.Conn
	for _, l := range slices.Clone(c.links) {
		if socket, _ := c.endLink(l, policy.Interrupted, policy.Interrupted); socket != nil {
			sockets = append(sockets, socket)
		}
	}
	c.mu.Unlock()
	for _, socket := range sockets {
		socket.Close()
	}
}

// discard drops k: no Reply is to come for it. c.mu is held.
func (c *Client) discard(k *call) {
	k.discarded = true
	if c.open[k.id] == k {
		delete(c.open, k.id)
	}
	if k.timer != nil {
		k.timer.Stop()
	}
}

// stop writes STOP for k on its connection, if that is still up. STOP lines are not bound by outputMost: there are
// callsMost of them at most. c.mu is held.
func (c *Client) stop(k *call) {
	if k.link == nil || k.link.ended {
		return
	}
	k.link.out = append(k.link.out, "STOP "+k.id+"\r\n"...)
	k.link.rememberStopped(k.id)
	c.stopsSent.Inc()
	k.link.wakeWriter()
}

// expire ends k when its wait is over without a reply, and writes STOP.
func (c *Client) expire(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.done || k.discarded {
		return
	}
	c.stop(k)
	c.callsTimedOut.Inc()
	c.finish(k, policy.TimedOut)
}

// finish sets k's outcome and has a drain goroutine hand it on. c.mu is held.
func (c *Client) finish(k *call, outcome policy.Outcome) {
	k.done, k.outcome, k.took = true, outcome, time.Since(k.start)
	if k.timer != nil {
		k.timer.Stop()
	}
	c.finished = append(c.finished, k)
	if !c.draining {
		c.draining = true
		go c.drain()
	}
}

// drain hands on the calls in c.ready, in order, and ends when there are none.
func (c *Client) drain() {
	for {
		c.mu.Lock()
		if len(c.finished) == 0 {
			c.finished, c.draining = nil, false
			c.mu.Unlock()
			return
		}
		k := c.finished[0]
		c.finished = c.finished[1:]
		c.mu.Unlock()
		c.deliverReply(k, nil)
	}
}

// deliverReply tells Replies how k ended, unless it was given up. result is lent for the call.
func (c *Client) deliverReply(k *call, result []byte) {
	c.replyMu.Lock()
	defer c.replyMu.Unlock()
	c.mu.Lock()
	live := !k.discarded
	if live {
		c.discard(k)
	}
	c.mu.Unlock()
	if live {
		c.replies.Reply(k.id, k.outcome, k.took, result)
	}
}

// pending tells how many bytes wait to be written. c.mu is held.
func (c *Client) pending() (bytes int) {
	for _, l := range c.links {
		bytes += len(l.out) + l.writing
	}
	return bytes
}

// validID tells whether id is 16 hex digits.
func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, r := range id {
		if !('0' <= r && r <= '9' || 'a' <= r && r <= 'f' || 'A' <= r && r <= 'F') {
			return false
		}
	}
	return true
}
