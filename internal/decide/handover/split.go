package handover

// Split decides how many connections each of the two processes of a replacement may hold. The platform counts the
// descriptors of both together, so what one gives away it must have freed before. The zero value is that of a process
// that is alone and has given nothing.
type Split struct {
	Sockets int // the limit on descriptors of all processes together
	Spare   int // descriptors that each process needs for what is no connection

	given int // what the other process was told it may hold
}

// Alone is what a process may hold that has no other one beside it.
func (s *Split) Alone() int { return max(s.Sockets-s.Spare, 1) }

// Waiting is what a process may hold that replaces another one and was given nothing yet.
func (s *Split) Waiting() int { return 1 }

// together is what both may hold.
func (s *Split) together() int { return max(s.Sockets-2*s.Spare, 2) }

// Half is what the older process is to shrink to, and the most that the newer one is given before it is alone.
func (s *Split) Half() int { return s.together() / 2 }

// Begin says that a successor is about to take clients. What an earlier one was given is free again.
func (s *Split) Begin() { s.given = s.Waiting() }

// Give tells what the successor may hold while so many connections are left here: all that both may hold less these, or
// less the half that this process may grow back to. It only grows, as what was given is in use. False means that
// nothing has changed.
func (s *Split) Give(left int) (n int, changed bool) {
	n = max(s.together()-max(left, s.Half()), s.Waiting())
	if n <= s.given {
		return s.given, false
	}
	s.given = n
	return n, true
}
