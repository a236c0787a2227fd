//go:build trial

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// rate is the factor by which a trial makes the process's boot-time clock run fast or slow. Release builds have no such setting.
var rate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("CAIRNLANE_TRIAL_CLOCK_RATE"), 64); err == nil && r > 0 {
		return r
	}
	return 1
}()

// applyRate scales a reading of the boot-time clock by rate.
func applyRate(t time.Duration) time.Duration { return time.Duration(float64(t) * rate) }

// wallFile is the path of a file that holds the offset of the process's wall clock as a duration. Without a readable file the
// offset is 0. A trial simulates a jump of the wall clock by replacing the file.
var wallFile = os.Getenv("CAIRNLANE_TRIAL_WALL")

// applyOffset adds the offset in wallFile to a reading of the wall clock.
func applyOffset(t time.Time) time.Time {
	if wallFile == "" {
		return t
	}
	raw, err := os.ReadFile(wallFile)
	if err != nil {
		return t
	}
	offset, err := time.ParseDuration(strings.TrimSpace(string(raw)))
	if err != nil {
		return t
	}
	return t.Round(0).Add(offset) // Round strips the monotonic reading, so that differences of two readings show the jump
}
