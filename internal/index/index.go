// Package index is the client of the shared index, the store that every replica calls while a request runs. Calls
// go out over a few TCP connections in the line protocol of the index (PROTOCOL.md, "The index"), and their
// replies come back in any order. A connection that breaks fails all calls on it, so calls share a connection only
// when maxLinks connections are open. Each Get ends in exactly one Reply, made from a goroutine of the client, unless Stop or
// a later Get for the same id abandoned the call first.
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
	dialTimeout     = time.Second            // limit on the time the index takes to accept a connection
	writeTimeout    = 5 * time.Second        // limit on the time to write one batch of lines; the connection is closed after it
	idleTimeout     = 9 * time.Second        // a connection without open calls is closed after this time, before the index closes it at 10 s
	maxLinks        = 4                      // limit on connections; further calls share them
	silenceLimit    = 200 * time.Millisecond // a connection is not taken for silent before this time without an answer
	maxPassed       = 16                     // number of later calls answered on other connections after which a connection is silent
	maxOpenCalls    = 1024                   // limit on open calls, from Get to their Reply; a Get above it is rejected
	maxPendingBytes = 4 << 20                // limit on the bytes that wait to be written; a Get that would exceed it is rejected
	idDigits        = 16                     // an id is 16 hex digits
)

// Replies receives the outcomes of calls.
type Replies interface {
	// Reply reports the end of one call. outcome is policy.Succeeded for HIT, with the index's result; Rejected
	// for SHED, NOBODY and calls that the client did not send; Failed for BROKEN; TimedOut for SLOW and for calls
	// without a reply within their wait; Unreachable if no connection could be made or the call was never written;
	// Interrupted if the connection ended while the call was outstanding. took is the time from Get to the
	// outcome. result is valid only during the call and nil unless the outcome is Succeeded. Reply is called
	// sequentially, never while the client holds mu, and at most once per Get.
	Reply(id string, outcome policy.Outcome, took time.Duration, result []byte)
}

// Client makes calls to the index. Its methods do not block and may be called while the caller holds its own lock.
type Client struct {
	replies                                            Replies
	callsMade, callsRejected, callsTimedOut, stopsSent *counters.Counter
	repliesUnknown, dials, dialsFailed                 *counters.Counter
	linksLost, linksGarbage, callsInterrupted          *counters.Counter
	onLinkEnded                                        func() // for tests only: called after a connection ended by itself
	linksSilent                                        *counters.Counter
	maxLinks                                           int
	silenceLimit                                       time.Duration

	replyMu sync.Mutex // held while Reply is called, so that replies are sequential

	mu       sync.Mutex // guards the fields below; never held during I/O or while Reply is called
	addr     string
	links    []*link          // connections that are open or being dialed, oldest first
	open     map[string]*call // calls without a delivered Reply, by id
	finished []*call          // calls whose outcome drain has to deliver
	draining bool             // a drain goroutine is running
	closed   bool
}

// call is one Get.
type call struct {
	id        string
	start     time.Time
	link      *link // nil if the call was rejected
	timer     *time.Timer
	sent      bool // the GET was passed to the socket, so the call may have run
	done      bool // outcome and took are set
	discarded bool // no further Reply is due: it was delivered, or the call was stopped or replaced
	outcome   policy.Outcome
	took      time.Duration
}

// New returns a client of the index at addr (host:port) that reports outcomes to replies. It dials only when a
// call is made. Its counters, whose names begin with index_, are taken from set.
func New(addr string, replies Replies, set *counters.Set) *Client {
	return &Client{replies: replies, addr: addr, open: map[string]*call{},
		maxLinks: maxLinks, silenceLimit: silenceLimit, linksSilent: set.Get("index_links_silent"),
		callsMade: set.Get("index_calls"), callsRejected: set.Get("index_calls_turned_away"),
		callsTimedOut: set.Get("index_calls_timed_out"), stopsSent: set.Get("index_stops"),
		repliesUnknown: set.Get("index_replies_unknown"), dials: set.Get("index_dials"),
		dialsFailed: set.Get("index_dials_failed"), linksLost: set.Get("index_links_lost"),
		linksGarbage: set.Get("index_links_garbage"), callsInterrupted: set.Get("index_calls_interrupted")}
}

// Get calls the index for the request id (16 hex digits) with body, and waits at most wait for the reply; the
// index is sent wait in whole milliseconds, rounded up. body is copied. A call with the id of an open one replaces
// it: the replaced call gets no Reply. A call is rejected (Reply with policy.Rejected, from a goroutine) if
// the client is closed, id is not 16 hex digits, wait is not positive, maxOpenCalls calls are open, or its bytes
// would exceed maxPendingBytes.
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
			c.stop(old) // otherwise the index would not learn that the call was replaced
		}
		c.callsRejected.Inc()
		c.finish(k, policy.Rejected)
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

// Stop abandons the call for id: STOP is written if the call is outstanding, and no Reply follows. A Reply that
// was in progress when Stop was called may still arrive; callers that hold their own lock in both see it after
// Stop returns. Stop does nothing if id has no open call.
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

// Move sends later calls to the index at addr (host:port). Outstanding calls end on the connections they are on.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = addr
}

// Close closes all connections; each outstanding call gets Reply with policy.Interrupted, once. Later calls are
// rejected. Close does not wait for the client's goroutines.
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

// discard removes k from the open calls: no Reply is to be delivered for it. c.mu is held.
func (c *Client) discard(k *call) {
	k.discarded = true
	if c.open[k.id] == k {
		delete(c.open, k.id)
	}
	if k.timer != nil {
		k.timer.Stop()
	}
}

// stop writes STOP for k on its connection if that is still open. STOP lines are not limited by maxPendingBytes,
// as there are maxOpenCalls of them at most. c.mu is held.
func (c *Client) stop(k *call) {
	if k.link == nil || k.link.ended {
		return
	}
	k.link.out = append(k.link.out, "STOP "+k.id+"\r\n"...)
	k.link.rememberStopped(k.id)
	c.stopsSent.Inc()
	k.link.wakeWriter()
}

// expire ends k when its wait has passed without a reply, and writes STOP.
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

// finish sets the outcome of k and has a drain goroutine deliver it. c.mu is held.
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

// drain delivers the calls in c.finished in order, and returns when there are none.
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

// deliverReply reports the outcome of k unless the call was abandoned. result is valid only during the call.
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

// pending returns the number of bytes that wait to be written. c.mu is held.
func (c *Client) pending() (bytes int) {
	for _, l := range c.links {
		bytes += len(l.out) + l.writing
	}
	return bytes
}

// validID reports whether id is 16 hex digits.
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
