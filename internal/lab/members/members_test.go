package members

import (
	"testing"
	"time"
)

// TestSessionsNoticeDeath is the short form of `cairnctl trial members`, in virtual time.
func TestSessionsNoticeDeath(t *testing.T) {
	f := Sessions(8, 2*time.Second)
	if f.MessagesBox == 0 || f.FirstNoticed < time.Second || f.AllNoticed > 4*time.Second || f.FalseAlarms > 0 {
		t.Errorf("a bound is missed: %v", f)
	}
	t.Log(f)
}
