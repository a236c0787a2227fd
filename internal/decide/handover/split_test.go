package handover

import (
	"testing"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestBothProcessesStayWithinTheLimit runs one replacement after the other with connections that come and go: the
// two processes never hold more than the limit together, and at the end the newer one may use all of it.
func TestBothProcessesStayWithinTheLimit(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		s := ConnectionSplit{Sockets: rapid.IntRange(1, 600).Draw(rt, "sockets"), Reserved: 48}
		old, oldLimit, newLimit, overlap := 0, s.Alone(), 0, false
		give := func() {
			if n, changed := s.GrantShare(old); changed {
				if n <= newLimit {
					rt.Fatalf("share of %d after a share of %d", n, newLimit)
				}
				newLimit = n
			}
		}
		return map[string]func(*rapid.T){
			"connect":    func(*rapid.T) { old = max(old, min(old+7, oldLimit)) },
			"disconnect": func(*rapid.T) { old = max(0, old-5) },
			"announce": func(*rapid.T) {
				if !overlap {
					overlap, newLimit = true, s.Waiting()
					s.StartSharing()
					oldLimit = s.Half()
					give()
				}
			},
			"tell": func(*rapid.T) {
				if overlap {
					give()
				}
			},
			"the new one ends": func(*rapid.T) {
				if overlap {
					overlap, newLimit, oldLimit = false, 0, s.Alone()
				}
			},
			"the old one ends": func(*rapid.T) {
				if overlap {
					overlap, old, oldLimit, newLimit = false, newLimit, s.Alone(), 0
				}
			},
			"": func(rt *rapid.T) {
				if overlap && newLimit > s.Waiting() && max(old, oldLimit)+newLimit > s.together() {
					rt.Fatalf("the processes may hold %d and %d connections, limit %d", max(old, oldLimit), newLimit, s.together())
				}
				if overlap && old <= s.Half() {
					if give(); newLimit != s.together()-s.Half() {
						rt.Fatalf("old process holds %d, new process was given %d of %d", old, newLimit, s.together())
					}
				}
			},
		}
	})
}
