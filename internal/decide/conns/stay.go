package conns

import "time"

// CallTime is how long a client may take to send its first valid call. Routers open a connection only when they
// need it.
const CallTime = 2 * time.Second

// WriteTime is how long a client may take to complete a frame that it has started, and to send its first valid call
// once a frame has started: some clients need 2 s for one request. A malicious client must be disconnected within 3
// s of connecting, and the sweep runs four times a second.
const WriteTime = 2500 * time.Millisecond

// Stay holds the times that decide how long a connection may stay open.
type Stay struct {
	Kind  Kind          // most significant use so far; never Writing
	Began time.Duration // when it was accepted
	Used  time.Duration // when data was last received or sent
	Frame time.Duration // when the incomplete frame started; 0 when there is none
	Busy  bool          // a call is open, or input is being processed
}

// Due returns the reason to close the connection at time now, or None. A closeIdle of 0 disables the idle time-out.
func (s Stay) Due(now, closeIdle time.Duration) Reason {
	writing := s.Frame > 0
	switch {
	case s.Busy:
	case s.Kind == Silent && !writing && now-s.Began >= CallTime,
		s.Kind == Silent && now-s.Began >= WriteTime,
		writing && now-s.Frame >= WriteTime:
		return Overdue
	case closeIdle > 0 && now-s.Used >= closeIdle:
		return Idle
	}
	return None
}
