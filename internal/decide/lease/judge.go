package lease

import (
	"cmp"
	"slices"
	"time"
)

// Judge says which sessions have run out, by one box's own clock. Any box may judge; see the package's comment.
type Judge struct {
	seen   map[uint64]sight
	closed sight // of a table that is closed; its seq is 0 if it is not
}

type sight struct {
	seq uint64
	at  time.Duration // when this box saw the command applied
	ask time.Duration // when the end is to be asked for, the first time or again
}

// Saw takes the table as it is after commands were applied. It must be called before time passes in which another box
// could think that the commands are not yet applied here; later is safe, and ends sessions later.
func (j *Judge) Saw(now time.Duration, t *Table) {
	if j.seen == nil {
		j.seen = map[uint64]sight{}
	}
	for id, s := range t.Sessions {
		if old, ok := j.seen[id]; !ok || old.seq != s.Seq {
			j.seen[id] = sight{seq: s.Seq, at: now, ask: now + t.Terms.Term}
		}
	}
	if t.Closed != j.closed.seq {
		j.closed = sight{seq: t.Closed, at: now, ask: now + t.Terms.Term}
	}
	for id := range j.seen {
		if t.Sessions[id] == nil {
			delete(j.seen, id)
		}
	}
}

// Silent is for how long this box has seen nothing of a session.
func (j *Judge) Silent(now time.Duration, session uint64) time.Duration {
	if s, ok := j.seen[session]; ok {
		return now - s.at
	}
	return 0
}

// Forget has it judge from nothing, as at the start of a process.
func (j *Judge) Forget() { *j = Judge{} }

// Due returns the commands that end what has run out, and when to ask next. Each is asked for again after a quarter of a
// term, since a command may be lost.
func (j *Judge) Due(now time.Duration, t *Table) (list []Command, next time.Duration) {
	next = now + t.Terms.Term/4
	for id, s := range j.seen {
		if now >= s.ask {
			list = append(list, Command{Kind: Expire, Session: id, Seq: s.seq})
			s.ask = now + t.Terms.Term/4
			j.seen[id] = s
		}
		next = min(next, s.ask)
	}
	if j.closed.seq != 0 {
		if now >= j.closed.ask {
			list = append(list, Command{Kind: Open, Seq: j.closed.seq})
			j.closed.ask = now + t.Terms.Term/4
		}
		next = min(next, j.closed.ask)
	}
	slices.SortFunc(list, func(a, b Command) int { return cmp.Compare(a.Session, b.Session) })
	return list, next
}
