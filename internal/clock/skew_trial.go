//go:build trial

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// rate lets a trial have a process's clock run fast or slow. A release build has no such switch.
var rate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("CAIRNLANE_TRIAL_CLOCK_RATE"), 64); err == nil && r > 0 {
		return r
	}
	return 1
}()

func skew(t time.Duration) time.Duration { return time.Duration(float64(t) * rate) }

// wallFile holds by how much a trial has set the process's time of day off, as a span; no file, no offset. A jump is made
// by putting another file in its place.
var wallFile = os.Getenv("CAIRNLANE_TRIAL_WALL")

func jump(t time.Time) time.Time {
	if wallFile == "" {
		return t
	}
	raw, err := os.ReadFile(wallFile)
	if err != nil {
		return t
	}
	off, err := time.ParseDuration(strings.TrimSpace(string(raw)))
	if err != nil {
		return t
	}
	return t.Round(0).Add(off) // without the monotonic reading, as after a jump
}
