package lease

import (
	"cmp"
	"slices"
	"time"
)

// Judge determines which sessions have expired, by one box's own clock. Any box may judge; see the package comment.
type Judge struct {
	observed map[uint64]observation
	closed   observation // of a closed table; its seq is 0 if the table is not closed
}

// observation is the last observed state of a session.
type observation struct {
	seq    uint64
	seenAt time.Duration // when this box saw the last command applied
	sendAt time.Duration // when to send the command that ends the session, for the first time or again
}

// Saw updates the judge after commands were applied to the table. A late call is safe: it only delays the end of sessions.
func (j *Judge) Saw(now time.Duration, t *Table) {
	if j.observed == nil {
		j.observed = map[uint64]observation{}
	}
	for id, s := range t.Sessions {
		if old, ok := j.observed[id]; !ok || old.seq != s.Seq {
			j.observed[id] = observation{seq: s.Seq, seenAt: now, sendAt: now + t.Terms.Term}
		}
	}
	if t.Closed != j.closed.seq {
		j.closed = observation{seq: t.Closed, seenAt: now, sendAt: now + t.Terms.Term}
	}
	for id := range j.observed {
		if t.Sessions[id] == nil {
			delete(j.observed, id)
		}
	}
}

// Silent returns the time since this box last saw a command of the session.
func (j *Judge) Silent(now time.Duration, session uint64) time.Duration {
	if s, ok := j.observed[session]; ok {
		return now - s.seenAt
	}
	return 0
}

// Forget discards all observations, as at the start of a process.
func (j *Judge) Forget() { *j = Judge{} }

// Due returns the commands that end expired sessions or open a closed table, and the time of the next call. Each command
// is repeated after a quarter of a term, since commands may be lost.
func (j *Judge) Due(now time.Duration, t *Table) (commands []Command, next time.Duration) {
	next = now + t.Terms.Term/4
	for id, s := range j.observed {
		if now >= s.sendAt {
			commands = append(commands, Command{Kind: Expire, Session: id, Seq: s.seq})
			s.sendAt = now + t.Terms.Term/4
			j.observed[id] = s
		}
		next = min(next, s.sendAt)
	}
	if j.closed.seq != 0 {
		if now >= j.closed.sendAt {
			commands = append(commands, Command{Kind: Open, Seq: j.closed.seq})
			j.closed.sendAt = now + t.Terms.Term/4
		}
		next = min(next, j.closed.sendAt)
	}
	slices.SortFunc(commands, func(a, b Command) int { return cmp.Compare(a.Session, b.Session) })
	return commands, next
}
