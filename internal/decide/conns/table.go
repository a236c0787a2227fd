package conns

import (
	"iter"
	"time"
)

// Kind is what a connection has carried so far. The kinds are in the order in which they are missed.
type Kind uint8

// The kinds.
const (
	Silent  Kind = iota // no good call yet
	Checker             // health checks alone
	Caller              // requests
	Writing             // any, and a frame is begun and not whole: it is none of the others until that has ended
	kinds
)

// Use is what its session knows of a connection.
type Use struct {
	Kind Kind
	Last time.Duration // when something last came in or went out
	Busy bool          // a call is open, or input is being read
}

// Limits bound a Table.
type Limits struct {
	Most   int           // connections that are held
	Fresh  time.Duration // how long one that has just come, or was just used, is spared
	Silent int           // how many may be silent before the oldest of them go, fresh or not
}

// DefaultLimits are those for a table of the given size. A router writes its request as soon as it is
// connected, so it needs to be spared only for as long as a busy process leaves it unread; and routers need no
// more than half of the descriptors, so a quarter can be left to those that have not called yet.
func DefaultLimits(most int) Limits {
	return Limits{Most: most, Fresh: 250 * time.Millisecond, Silent: most / silentPart}
}

// silentPart is which part of a table may be silent before the oldest go.
const silentPart = 4

// Conn is a handle to a connection of the table. Its owner embeds it.
type Conn struct {
	prev, next *Conn
	kind       Kind
	at         time.Duration // the use it is filed under, which may be older than its last
	filed      bool
	Owner      any
}

// Table holds the connections in the order in which they are missed: one list for each kind, least recently
// used first. A use is not told to the table, which would cost something on every request; it is asked for
// when a connection is considered, and one that was used since is filed anew then. Not safe for concurrent use.
type Table struct {
	limits Limits
	lists  [kinds]Conn // rings; the zero place is the head
	n      [kinds]int
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	t := &Table{limits: l}
	for i := range t.lists {
		t.lists[i].prev, t.lists[i].next = &t.lists[i], &t.lists[i]
	}
	return t
}

// Len tells how many connections are held.
func (t *Table) Len() int { return t.n[Silent] + t.n[Checker] + t.n[Caller] + t.n[Writing] }

// SetMost changes how many may be held. It closes nothing: what is over it has to be looked at.
func (t *Table) SetMost(most int) { t.limits.Most, t.limits.Silent = most, most/silentPart }

// Over tells by how many more than may be held there are.
func (t *Table) Over() int { return max(0, t.Len()-t.limits.Most) }

// Full tells whether one has to go before another comes.
func (t *Table) Full() bool { return t.Len() >= t.limits.Most }

// Count tells how many are filed under a kind.
func (t *Table) Count(k Kind) int { return t.n[k] }

// Add files a connection that has just come.
func (t *Table) Add(c *Conn, now time.Duration) { t.file(c, Use{Last: now}) }

// Remove takes one out. It may be called again.
func (t *Table) Remove(c *Conn) {
	if !c.filed {
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next, c.filed = nil, nil, false
	t.n[c.kind]--
}

// file puts one at the place of its use. Uses come nearly in order, so the walk from the end is short.
func (t *Table) file(c *Conn, u Use) {
	t.Remove(c)
	head := &t.lists[u.Kind]
	after := head.prev
	for after != head && after.at > u.Last {
		after = after.prev
	}
	c.kind, c.at, c.filed = u.Kind, u.Last, true
	c.prev, c.next = after, after.next
	after.next.prev, after.next = c, c
	t.n[u.Kind]++
}

// Victims yields the connections that may make room, the least missed first; the caller ends one of them or
// none. Those that are in use, or were a moment ago, are passed over: the newcomer is then turned away, of whom
// nothing was run. The order is: silent ones that had their time; fresh silent ones over their share; then
// health checkers and callers that are idle; the silent ones that came only now; last those that are writing a frame,
// by their last byte. Before this order a newcomer that had not been read yet was the first to go as soon as all
// others had carried one call, and who took long to write a request went with the silent.
func (t *Table) Victims(now time.Duration, use func(*Conn) Use) iter.Seq[*Conn] {
	return func(yield func(*Conn) bool) {
		old := now - t.limits.Fresh
		over := func(last time.Duration) bool { return last <= old || t.n[Silent] > t.limits.Silent }
		idle := func(last time.Duration) bool { return last <= old }
		any := func(time.Duration) bool { return true }
		t.refile(Writing, use)
		_ = t.walk(Silent, use, over, yield) && t.walk(Checker, use, idle, yield) &&
			t.walk(Caller, use, idle, yield) && t.walk(Silent, use, any, yield) && t.walk(Writing, use, any, yield)
	}
}

// refile files those of one list anew that are of another kind by now.
func (t *Table) refile(k Kind, use func(*Conn) Use) {
	for n, c := t.n[k], t.lists[k].next; n > 0 && c != &t.lists[k]; n-- {
		next := c.next
		if u := use(c); u.Kind != c.kind {
			t.file(c, u)
		}
		c = next
	}
}

// walk offers those of one list, oldest first, for as long as their use is one that may be offered.
func (t *Table) walk(k Kind, use func(*Conn) Use, may func(time.Duration) bool, yield func(*Conn) bool) bool {
	for n, c := t.n[k], t.lists[k].next; n > 0 && c != &t.lists[k]; n-- {
		next := c.next
		u := use(c)
		switch {
		case u.Kind != c.kind || u.Last > c.at:
			t.file(c, u)
		case u.Busy:
		case !may(c.at):
			return true // the rest were used later still
		case !yield(c):
			return false
		}
		c = next
	}
	return true
}
