//go:build trial

package appliance

import (
	"cairnlane/internal/daemon"
	"cairnlane/internal/lab/actor"
)

// trialParts has a box of a trial act under leases, if its environment says so.
func (b *Box) trialParts() []daemon.Part {
	return []daemon.Part{&actor.Part{Box: b.cfg.Site.Name, Fleet: b.fleet.Running}}
}
