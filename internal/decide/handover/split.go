package handover

// ConnectionSplit decides how many connections each of the two processes of a replacement may hold. The platform counts the
// descriptors of both processes together, so a process must close descriptors before the other may open more. The
// zero value is the state of a process without a successor.
type ConnectionSplit struct {
	Sockets  int // the limit on descriptors of all processes together
	Reserved int // descriptors that each process needs for other purposes than connections

	given int // connections that the successor was granted
}

// Alone returns how many connections a process may hold when there is no other process.
func (s *ConnectionSplit) Alone() int { return max(s.Sockets-s.Reserved, 1) }

// Waiting returns how many connections a successor may hold before it is granted a share.
func (s *ConnectionSplit) Waiting() int { return 1 }

// together returns how many connections both processes may hold in total.
func (s *ConnectionSplit) together() int { return max(s.Sockets-2*s.Reserved, 2) }

// Half returns the number that the older process must shrink to, which is also the maximum that the newer one may hold
// before it is alone.
func (s *ConnectionSplit) Half() int { return s.together() / 2 }

// StartSharing records that a successor is about to accept clients. The share of an earlier successor is free again.
func (s *ConnectionSplit) StartSharing() { s.given = s.Waiting() }

// GrantShare returns how many connections the successor may hold while this process holds left: the total less left, or
// less the half that this process may grow back to. The number only grows, as the successor may already use its
// share. changed is false if it is the same as before.
func (s *ConnectionSplit) GrantShare(left int) (n int, changed bool) {
	n = max(s.together()-max(left, s.Half()), s.Waiting())
	if n <= s.given {
		return s.given, false
	}
	s.given = n
	return n, true
}
