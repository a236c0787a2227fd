package actor

import (
	"fmt"
	"strings"

	"cairnlane/internal/standin/resource"
)

// Things are what is acted upon: two that compare tokens, one that does not, and one that two may act on at a time.
var Things = []string{"checked-a", "checked-b", "plain", "double"}

// Env is the environment of a box that acts on a stand-in in a trial.
func Env(res *resource.Resource, seed uint64, box int) []string {
	return []string{EnvResource + "=" + res.String(), EnvThings + "=" + strings.Join(Things, ","), fmt.Sprintf("%s=%d", EnvSeed, seed*100+uint64(box))}
}

// Traps find the moment between check and effect by the stand-in, at things that compare tokens.
type Traps struct{ Resource *resource.Resource }

// Stop implements rig.Traps.
func (t Traps) Stop(stop func(box string) bool) {
	t.Resource.Trap(func(e resource.Effect) bool { return Compares(e.Thing) && stop(e.Box) })
}
