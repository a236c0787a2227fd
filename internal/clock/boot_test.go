package clock

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestBootMatchesUptime checks that SinceBoot agrees with /proc/uptime, so that it does not depend on the wall clock, and that it
// never goes back.
func TestBootMatchesUptime(t *testing.T) {
	raw, err := os.ReadFile("/proc/uptime")
	if err != nil {
		t.Skip(err)
	}
	var uptime float64
	fmt.Sscan(string(raw), &uptime)
	if diff := SinceBoot() - time.Duration(uptime*float64(time.Second)); diff < -time.Minute || diff > time.Minute {
		t.Errorf("SinceBoot differs from /proc/uptime by %v, want at most 1m", diff)
	}
	if a, b := SinceBoot(), SinceBoot(); b < a {
		t.Errorf("SinceBoot went back from %v to %v", a, b)
	}
}
