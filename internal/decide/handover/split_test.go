package handover

import (
	"testing"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestBothProcessesStayWithinTheLimit plays replacements one after the other on tables that shrink as they can: at no
// time do both processes hold more than the limit, and in the end the newer one has all.
func TestBothProcessesStayWithinTheLimit(t *testing.T) {
	testkit.Steps(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		s := Split{Sockets: rapid.IntRange(1, 600).Draw(rt, "sockets"), Spare: 48}
		old, oldMost, newMost, overlap := 0, s.Alone(), 0, false
		give := func() {
			if n, changed := s.Give(old); changed {
				if n <= newMost {
					rt.Fatalf("given %d after %d", n, newMost)
				}
				newMost = n
			}
		}
		return map[string]func(*rapid.T){
			"connect":    func(*rapid.T) { old = max(old, min(old+7, oldMost)) },
			"disconnect": func(*rapid.T) { old = max(0, old-5) },
			"announce": func(*rapid.T) {
				if !overlap {
					overlap, newMost = true, s.Waiting()
					s.Begin()
					oldMost = s.Half()
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
					overlap, newMost, oldMost = false, 0, s.Alone()
				}
			},
			"the old one ends": func(*rapid.T) {
				if overlap {
					overlap, old, oldMost, newMost = false, newMost, s.Alone(), 0
				}
			},
			"": func(rt *rapid.T) {
				if overlap && newMost > s.Waiting() && max(old, oldMost)+newMost > s.together() {
					rt.Fatalf("%d and %d may be held, of %d", max(old, oldMost), newMost, s.together())
				}
				if overlap && old <= s.Half() {
					if give(); newMost != s.together()-s.Half() {
						rt.Fatalf("%d are left, and %d given of %d", old, newMost, s.together())
					}
				}
			},
		}
	})
}
