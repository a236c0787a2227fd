package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot tells the time since the machine was started, which also runs while the machine sleeps and is not set by anybody.
// Leases are counted by it: a machine that slept must not take itself for a holder when it wakes.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error()) // Linux has it since 2.6.39
	}
	return skew(time.Duration(ts.Nano()))
}
