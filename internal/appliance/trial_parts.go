//go:build trial

package appliance

import (
	"fmt"
	"slices"
	"strings"

	"cairnlane/internal/daemon"
	"cairnlane/internal/lab/actor"
)

// trialParts returns the component that acts under leases in a trial, if the environment enables it.
func (b *Box) trialParts() []daemon.Component {
	return []daemon.Component{&actor.Part{Box: b.cfg.Site.Name, Fleet: b.fleet.Running}}
}

// trialRejects makes a box of a trial reject a configuration whose TRIAL_REFUSE value names the box, or all boxes.
func trialRejects(box string, values map[string]string) error {
	if list := strings.Split(values["TRIAL_REFUSE"], ","); slices.Contains(list, box) || slices.Contains(list, "all") {
		return fmt.Errorf("values: TRIAL_REFUSE makes %s reject it", box)
	}
	return nil
}
