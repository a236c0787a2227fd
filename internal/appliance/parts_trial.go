//go:build trial

package appliance

import (
	"fmt"
	"slices"
	"strings"

	"cairnlane/internal/daemon"
	"cairnlane/internal/lab/actor"
)

// trialParts has a box of a trial act under leases, if its environment says so.
func (b *Box) trialParts() []daemon.Part {
	return []daemon.Part{&actor.Part{Box: b.cfg.Site.Name, Fleet: b.fleet.Running}}
}

// trialRefuses has boxes of a trial turn a configuration down that names them, or all.
func trialRefuses(box string, values map[string]string) error {
	if list := strings.Split(values["TRIAL_REFUSE"], ","); slices.Contains(list, box) || slices.Contains(list, "all") {
		return fmt.Errorf("values: %s is to turn it down", box)
	}
	return nil
}
