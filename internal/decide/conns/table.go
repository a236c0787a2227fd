package conns

import (
	"iter"
	"time"
)

// Kind is the most significant use of a connection so far. Kinds are ordered by eviction: lower kinds are evicted
// first.
type Kind uint8

// The kinds.
const (
	Silent  Kind = iota // no valid call yet
	Checker             // health checks only
	Caller              // requests
	Writing             // a frame is incomplete; takes precedence over the other kinds until the frame ends
	kinds
)

// Use is the usage of a connection as its session knows it.
type Use struct {
	Kind Kind
	Last time.Duration // when data was last received or sent
	Busy bool          // a call is open, or input is being processed
}

// Limits bound a Table.
type Limits struct {
	Max       int           // connections in the table
	Protected time.Duration // how long a new or just used connection is protected from eviction
	MaxSilent int           // number of silent connections above which the oldest are evicted even while they are protected
}

// DefaultLimits returns the limits for a table of the given size. A router writes its request as soon as it is
// connected, so a new connection needs protection only for as long as a busy process may leave the request unread.
// Routers need at most half of the descriptors, so a quarter of the table can be given to connections without a
// call.
func DefaultLimits(size int) Limits {
	return Limits{Max: size, Protected: 250 * time.Millisecond, MaxSilent: size / silentDivisor}
}

// silentDivisor is the divisor that gives the part of a table that silent connections may fill.
const silentDivisor = 4

// Conn is a connection's entry in the table. The owner embeds it.
type Conn struct {
	prev, next *Conn
	kind       Kind
	at         time.Duration // the time it is sorted by; may be older than its last use
	listed     bool
	closing    bool
	Owner      any
}

// Table holds connections in eviction order: one list for each kind, least recently used first. The table is not
// notified of each use, which would cost time on every request; it queries the usage when a connection is
// considered for eviction, and moves a connection that was used since. A connection that is being closed is in no list but counts
// until it is removed, because it still holds its descriptor. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	lists   [kinds]Conn // rings; the zero Conn is the head
	n       [kinds]int
	closing int // connections that are being closed
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	t := &Table{limits: l}
	for i := range t.lists {
		t.lists[i].prev, t.lists[i].next = &t.lists[i], &t.lists[i]
	}
	return t
}

// Len returns the number of connections in the table.
func (t *Table) Len() int { return t.listed() + t.closing }

// listed returns the number of connections that are not being closed.
func (t *Table) listed() int { return t.n[Silent] + t.n[Checker] + t.n[Caller] + t.n[Writing] }

// SetMax changes the maximum number of connections. It closes none; the caller must evict the excess that
// Excess reports.
func (t *Table) SetMax(size int) { t.limits.Max, t.limits.MaxSilent = size, size/silentDivisor }

// Excess returns by how many connections the table will exceed its maximum once those that are being closed are removed.
func (t *Table) Excess() int { return max(0, t.listed()-t.limits.Max) }

// Full reports whether a connection must be removed before another is added.
func (t *Table) Full() bool { return t.Len() >= t.limits.Max }

// NeedsVictim reports whether the table will be full even when the connections that are being closed are removed.
func (t *Table) NeedsVictim() bool { return t.listed() >= t.limits.Max }

// Count returns the number of connections in the list of kind k.
func (t *Table) Count(k Kind) int { return t.n[k] }

// Add inserts a new connection.
func (t *Table) Add(c *Conn, now time.Duration) { t.insert(c, Use{Last: now}) }

// StartClosing records that c is being closed. It has no effect if c is not in the table.
func (t *Table) StartClosing(c *Conn) {
	if !c.listed {
		return
	}
	t.Remove(c)
	c.closing = true
	t.closing++
}

// Remove deletes c from the table. Removing a connection that is not in the table has no effect.
func (t *Table) Remove(c *Conn) {
	if c.closing {
		c.closing = false
		t.closing--
	}
	if !c.listed {
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next, c.listed = nil, nil, false
	t.n[c.kind]--
}

// insert moves c to the position of its usage. Uses arrive nearly in order, so the search from the end of the list
// is short.
func (t *Table) insert(c *Conn, u Use) {
	t.Remove(c)
	head := &t.lists[u.Kind]
	after := head.prev
	for after != head && after.at > u.Last {
		after = after.prev
	}
	c.kind, c.at, c.listed = u.Kind, u.Last, true
	c.prev, c.next = after, after.next
	after.next.prev, after.next = c, c
	t.n[u.Kind]++
}

// Victims yields the connections that may be closed to make room, in eviction order; the caller closes one of them
// or none. Connections that are in use, or were within Limits.Protected, are skipped: the new connection is then
// rejected, of which nothing was run. The order is: silent connections past their protection; protected silent
// connections above Limits.MaxSilent; idle health checkers; idle callers; the remaining silent connections; last those
// with an incomplete frame, by their last byte. Silent connections that are still protected come late because
// otherwise, once all others had carried a call, a new connection would be evicted before its request is read.
// Writing is a kind of its own because a client that takes long to write a request would otherwise be evicted with
// the silent ones.
func (t *Table) Victims(now time.Duration, use func(*Conn) Use) iter.Seq[*Conn] {
	return func(yield func(*Conn) bool) {
		protectedAfter := now - t.limits.Protected
		expiredOrExcess := func(last time.Duration) bool { return last <= protectedAfter || t.n[Silent] > t.limits.MaxSilent }
		expired := func(last time.Duration) bool { return last <= protectedAfter }
		always := func(time.Duration) bool { return true }
		t.updateKinds(Writing, use)
		_ = t.walk(Silent, use, expiredOrExcess, yield) && t.walk(Checker, use, expired, yield) &&
			t.walk(Caller, use, expired, yield) && t.walk(Silent, use, always, yield) && t.walk(Writing, use, always, yield)
	}
}

// updateKinds moves the connections of list k whose kind has changed.
func (t *Table) updateKinds(k Kind, use func(*Conn) Use) {
	for n, c := t.n[k], t.lists[k].next; n > 0 && c != &t.lists[k]; n-- {
		next := c.next
		if u := use(c); u.Kind != c.kind {
			t.insert(c, u)
		}
		c = next
	}
}

// walk yields the evictable connections of list k, oldest first, for as long as evictable reports true. It returns
// false when the caller stops the iteration.
func (t *Table) walk(k Kind, use func(*Conn) Use, evictable func(time.Duration) bool, yield func(*Conn) bool) bool {
	for n, c := t.n[k], t.lists[k].next; n > 0 && c != &t.lists[k]; n-- {
		next := c.next
		u := use(c)
		switch {
		case u.Kind != c.kind || u.Last > c.at:
			t.insert(c, u)
		case u.Busy:
		case !evictable(c.at):
			return true // the rest of the list was used later
		case !yield(c):
			return false
		}
		c = next
	}
	return true
}
