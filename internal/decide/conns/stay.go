package conns

import "time"

// CallTime is how long a client may take to its first good call. Routers open a connection when they need it.
const CallTime = 2 * time.Second

// WriteTime is how long a client may take to finish a frame that it has begun, and to its first good call with one begun:
// some need 2 s for one request. A client that means harm is owed an end within 3 s of connecting, and the sweep
// comes four times a second.
const WriteTime = 2500 * time.Millisecond

// Stay is what counts for how long a connection may stay.
type Stay struct {
	Kind  Kind          // what it has carried; not Writing
	Began time.Duration // when it was accepted
	Used  time.Duration // when something last came in or went out
	Frame time.Duration // since when a frame is begun and not whole; 0 when none is
	Busy  bool          // a call is open, or input is being read
}

// Due tells why a connection is to be ended by now, or None. closeIdle of 0 leaves idle ones alone.
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
