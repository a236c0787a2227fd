//go:build trial

package clock

import (
	"os"
	"strconv"
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
