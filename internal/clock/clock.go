// Package clock gives the time on one monotonic base that is anchored to the system's Unix clock once.
package clock

import "time"

// System is the machine's clock. A reading is the time since the Unix epoch; later steps of the
// wall clock do not show in it, so spans between readings are always true.
type System struct {
	base time.Time
	unix time.Duration // the time of day at base, since the Unix epoch
}

// NewSystem anchors a clock to the present Unix time.
func NewSystem() *System { return &System{base: time.Now(), unix: time.Duration(Wall().UnixNano())} }

// Now returns the time since the Unix epoch.
func (s *System) Now() time.Duration {
	return s.unix + time.Since(s.base)
}

// AfterFunc calls f on a goroutine of its own after d.
func (s *System) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }
