package lease

import (
	"cmp"
	"slices"
	"time"
)

// ExpiryDetector determines which sessions have expired, by one box's own clock. Any box may run one; see the package comment.
type ExpiryDetector struct {
	observed map[uint64]observation
	closed   observation // of a table whose grants are suspended; its seq is 0 if they are not
}

// observation is the last observed state of a session.
type observation struct {
	seq    uint64
	seenAt time.Duration // when this box saw the last command applied
	sendAt time.Duration // when to send the command that ends the session, for the first time or again
}

// Update updates the detector after commands were applied to the table. A late call is safe: it only delays the end of sessions.
func (j *ExpiryDetector) Update(now time.Duration, t *Table) {
	if j.observed == nil {
		j.observed = map[uint64]observation{}
	}
	for id, s := range t.Sessions {
		if old, ok := j.observed[id]; !ok || old.seq != s.Seq {
			j.observed[id] = observation{seq: s.Seq, seenAt: now, sendAt: now + t.Terms.Term}
		}
	}
	if t.SuspendedAt != j.closed.seq {
		j.closed = observation{seq: t.SuspendedAt, seenAt: now, sendAt: now + t.Terms.Term}
	}
	for id := range j.observed {
		if t.Sessions[id] == nil {
			delete(j.observed, id)
		}
	}
}

// TimeSinceSeen returns the time since this box last saw a command of the session.
func (j *ExpiryDetector) TimeSinceSeen(now time.Duration, session uint64) time.Duration {
	if s, ok := j.observed[session]; ok {
		return now - s.seenAt
	}
	return 0
}

// Reset discards all observations, as at the start of a process.
func (j *ExpiryDetector) Reset() { *j = ExpiryDetector{} }

// Due returns the commands that end expired sessions or resume suspended grants, and the time of the next call. Each command
// is repeated after a quarter of a term, since commands may be lost.
func (j *ExpiryDetector) Due(now time.Duration, t *Table) (commands []Command, next time.Duration) {
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
			commands = append(commands, Command{Kind: ResumeGrants, Seq: j.closed.seq})
			j.closed.sendAt = now + t.Terms.Term/4
		}
		next = min(next, j.closed.sendAt)
	}
	slices.SortFunc(commands, func(a, b Command) int { return cmp.Compare(a.Session, b.Session) })
	return commands, next
}
