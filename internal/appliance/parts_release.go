//go:build !trial

package appliance

import "cairnlane/internal/daemon"

// trialParts are none in a release build.
func (b *Box) trialParts() []daemon.Part { return nil }

func trialRefuses(string, map[string]string) error { return nil }
