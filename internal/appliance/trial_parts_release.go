//go:build !trial

package appliance

import "cairnlane/internal/daemon"

// trialParts returns no parts in a release build.
func (b *Box) trialParts() []daemon.Component { return nil }

// trialRejects never rejects a configuration in a release build.
func trialRejects(string, map[string]string) error { return nil }
