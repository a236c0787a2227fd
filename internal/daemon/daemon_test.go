package daemon

import (
	"context"
	"slices"
	"testing"
	"time"
)

// The process that takes over the claims on keys runs each key that it does not know, so no run may start here
// after the claims are released.
func TestClaimsAreReleasedAfterEngineLinkStops(t *testing.T) {
	var order []string
	component := func(name string) func() {
		return startBackground(t.Context(), func(ctx context.Context) {
			<-ctx.Done()
			order = append(order, name)
		})
	}
	s := &service{stopEngine: component("engine"), stopPeer: component("claims")}
	s.close(time.Minute)
	if !slices.Equal(order, []string{"engine", "claims"}) {
		t.Errorf("stopped in order %v, want engine before claims", order)
	}
}
