package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted. This clock also advances while the machine is suspended, and it cannot
// be set. Lease durations are measured with it, so that a machine that was suspended does not still act as a holder after resuming.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error()) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return applyRate(time.Duration(ts.Nano()))
}
