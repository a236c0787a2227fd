// Package clock provides three clocks: System, a monotonic clock that is set once from the wall clock; SinceBoot, the time since the machine
// was booted; and Wall, the wall clock. In trial builds the last two can be skewed.
package clock

import "time"

// System is a monotonic clock whose readings are durations since the Unix epoch. Steps of the wall clock after NewSystem
// do not affect it, so the difference of two readings is always the time that elapsed between them.
type System struct {
	base time.Time
	unix time.Duration // wall-clock time at base, since the Unix epoch
}

// NewSystem returns a clock that starts at the current wall-clock time.
func NewSystem() *System { return &System{base: time.Now(), unix: time.Duration(Wall().UnixNano())} }

// Now returns the time since the Unix epoch.
func (s *System) Now() time.Duration {
	return s.unix + time.Since(s.base)
}

// AfterFunc calls f in its own goroutine after d, unless stop is called before.
func (s *System) AfterFunc(d time.Duration, f func()) (stop func()) {
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}
