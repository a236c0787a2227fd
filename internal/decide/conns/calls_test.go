package conns

import (
	"testing"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestCallsFollowModel checks the counts of unanswered and awaited calls, and the decision on an input, against a model that
// knows the state of each call.
func TestCallsFollowModel(t *testing.T) {
	testkit.RunStateMachine(t, func(*rapid.T) map[string]func(*rapid.T) {
		var calls Calls
		open := map[int32]bool{} // whether each unanswered call was given up
		last := int32(0)
		awaited := func() (n int) {
			for _, givenUp := range open {
				if !givenUp {
					n++
				}
			}
			return n
		}
		pick := func(rt *rapid.T) int32 { return rapid.Int32Range(1, last+1).Draw(rt, "call") }
		return map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				last++
				calls.Open(last, "id")
				open[last] = false
			},
			"give up": func(rt *rapid.T) {
				seq := pick(rt)
				givenUp, known := open[seq]
				id, got := calls.GiveUp(seq)
				if got != (known && !givenUp) || got && id != "id" {
					rt.Fatalf("giving up call %d returns %q, %v", seq, id, got)
				}
				if known {
					open[seq] = true
				}
			},
			"answer": func(rt *rapid.T) {
				seq := pick(rt)
				calls.Answered(seq)
				delete(open, seq)
			},
			"check": func(rt *rapid.T) {
				in := Input{GivenUp: rapid.SliceOfN(rapid.Int32Range(1, last+10), 0, 40).Draw(rt, "given up")}
				for n := range rapid.Int32Range(0, MaxAwaited+10).Draw(rt, "opened") {
					in.Opened = append(in.Opened, last+1+n)
				}
				after := awaited() + len(in.Opened)
				seen := map[int32]bool{}
				for _, seq := range in.GivenUp {
					givenUp, known := open[seq]
					if !seen[seq] && (known && !givenUp || seq > last && seq <= last+int32(len(in.Opened))) {
						after--
					}
					seen[seq] = true
				}
				rejection := calls.Check(in)
				for _, seq := range in.Opened {
					if want := after > MaxAwaited || seen[seq]; rejection.Rejects(seq) != want {
						rt.Fatalf("call %d is rejected: %v, want %v; the peer would wait for %d calls", seq, !want, want, after)
					}
				}
			},
			"": func(rt *rapid.T) {
				if calls.Unanswered() != len(open) || calls.Awaited() != awaited() || calls.Full() != (len(open) >= MaxUnanswered) {
					rt.Fatalf("%d calls unanswered and %d awaited, want %d and %d", calls.Unanswered(), calls.Awaited(), len(open), awaited())
				}
			},
		}
	})
}
