package daemon

import (
	"context"
	"slices"
	"testing"
	"time"
)

// The process that takes over the claims on keys runs what it does not know, so that nothing may be run here by then.
func TestTheClaimsAreGivenUpWhenNothingCanBeRun(t *testing.T) {
	var order []string
	part := func(name string) func() {
		return keep(t.Context(), func(ctx context.Context) {
			<-ctx.Done()
			order = append(order, name)
		})
	}
	s := &service{endEngine: part("engine"), endClaims: part("claims")}
	s.close(time.Minute)
	if !slices.Equal(order, []string{"engine", "claims"}) {
		t.Errorf("ended %v", order)
	}
}
