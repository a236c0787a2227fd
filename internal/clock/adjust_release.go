//go:build !trial

package clock

import "time"

// applyRate returns t unchanged: release builds have no simulated clock rate.
func applyRate(t time.Duration) time.Duration { return t }

// applyOffset returns t unchanged: release builds have no simulated wall-clock offset.
func applyOffset(t time.Time) time.Time { return t }
