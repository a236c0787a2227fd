package clock

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestBootCountsFromTheStartOfTheMachine, which no setting of the wall clock changes.
func TestBootCountsFromTheStartOfTheMachine(t *testing.T) {
	raw, err := os.ReadFile("/proc/uptime")
	if err != nil {
		t.Skip(err)
	}
	var up float64
	fmt.Sscan(string(raw), &up)
	if off := Boot() - time.Duration(up*float64(time.Second)); off < -time.Minute || off > time.Minute {
		t.Errorf("Boot is %v off what /proc/uptime tells", off)
	}
	if a, b := Boot(), Boot(); b < a {
		t.Error("it goes back")
	}
}
