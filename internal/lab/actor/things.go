package actor

import (
	"fmt"
	"strings"

	"cairnlane/internal/fake/resource"
)

// Things lists the things on which boxes act: two that compare tokens, one that does not, and one with two slots.
var Things = []string{"checked-a", "checked-b", "plain", "double"}

// Env returns the environment variables that make a box act on a fake resource.
func Env(res *resource.Resource, seed uint64, box int) []string {
	return []string{EnvResource + "=" + res.String(), EnvThings + "=" + strings.Join(Things, ","), fmt.Sprintf("%s=%d", EnvSeed, seed*100+uint64(box))}
}

// EffectTrap stops boxes between a permit's check and its effect, through the fake resource, at things that compare tokens.
type EffectTrap struct{ Resource *resource.Resource }

// StopNext implements rig.Traps.
func (t EffectTrap) StopNext(stop func(box string) bool) {
	t.Resource.OnAnnounce(func(e resource.Effect) bool { return ComparesTokens(e.Thing) && stop(e.Box) })
}
