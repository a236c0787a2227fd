package conns

import "time"

// FirstCallTimeout is how long a client may take to send its first valid call. Routers open a connection only when they
// need it.
const FirstCallTimeout = 2 * time.Second

// FrameTimeout is how long a client may take to complete a frame that it has started, and to send its first valid call
// once a frame has started: some clients need 2 s for one request. A malicious client must be disconnected within
// 3 s of connecting, and the sweep runs four times a second.
const FrameTimeout = 2500 * time.Millisecond

// Lifetime holds the times that decide how long a connection may stay open.
type Lifetime struct {
	Kind       Kind          // most significant use so far; never Writing
	AcceptedAt time.Duration // when it was accepted
	LastUsed   time.Duration // when data was last received or sent
	FrameStart time.Duration // when the incomplete frame started; 0 if there is none
	Busy       bool          // a call is open, or input is being processed
}

// CloseReason returns the reason to close the connection at time now, or None. A closeIdle of 0 disables the idle time-out.
func (s Lifetime) CloseReason(now, closeIdle time.Duration) Reason {
	writing := s.FrameStart > 0
	switch {
	case s.Busy:
	case s.Kind == Silent && !writing && now-s.AcceptedAt >= FirstCallTimeout,
		s.Kind == Silent && now-s.AcceptedAt >= FrameTimeout,
		writing && now-s.FrameStart >= FrameTimeout:
		return Overdue
	case closeIdle > 0 && now-s.LastUsed >= closeIdle:
		return Idle
	}
	return None
}
