package conns

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestCallsFollowModel checks the counts of calls and the decision on an input against a model that knows the state of each
// call.
func TestCallsFollowModel(t *testing.T) {
	testkit.RunStateMachine(t, func(*rapid.T) map[string]func(*rapid.T) {
		var calls Calls
		open := map[int32]openCall{}
		last, now := int32(0), time.Hour
		drawUntil := func(rt *rapid.T) time.Duration {
			return rapid.SampledFrom([]time.Duration{0, now - 1, now, now + 1, now + time.Minute}).Draw(rt, "until")
		}
		pick := func(rt *rapid.T) int32 { return rapid.Int32Range(1, last+1).Draw(rt, "call") }
		return map[string]func(*rapid.T){
			"open": func(rt *rapid.T) {
				last++
				call := Call{Seq: last, ID: "id", Until: drawUntil(rt)}
				calls.Open(call)
				open[last] = openCall{Call: call}
			},
			"give up": func(rt *rapid.T) {
				seq := pick(rt)
				call, known := open[seq]
				id, got := calls.GiveUp(seq)
				if got != (known && !call.givenUp) || got && id != "id" {
					rt.Fatalf("giving up call %d returns %q, %v", seq, id, got)
				}
				if known {
					call.givenUp = true
					open[seq] = call
				}
			},
			"answer": func(rt *rapid.T) {
				seq := pick(rt)
				calls.Answered(seq)
				delete(open, seq)
			},
			"wait": func(*rapid.T) { now += time.Second },
			"check": func(rt *rapid.T) {
				in := Input{GivenUp: rapid.SliceOfN(rapid.Int32Range(1, last+10), 0, 40).Draw(rt, "given up")}
				after := maps.Clone(open)
				for range rapid.Int32Range(0, MaxAwaited+10).Draw(rt, "opened") {
					call := Call{Seq: last + 1 + int32(len(in.Opened)), Until: drawUntil(rt)}
					in.Opened = append(in.Opened, call)
					after[call.Seq] = openCall{Call: call}
				}
				for _, seq := range in.GivenUp {
					delete(after, seq)
				}
				maps.DeleteFunc(after, func(_ int32, c openCall) bool { return c.givenUp || c.Until > 0 && c.Until <= now })
				rejection := calls.Check(now, in)
				for _, call := range in.Opened {
					if want := len(after) > MaxAwaited || slices.Contains(in.GivenUp, call.Seq); rejection.Rejects(call.Seq) != want {
						rt.Fatalf("call %d is rejected: %v, want %v; the peer would wait for %d calls", call.Seq, !want, want, len(after))
					}
				}
			},
			"": func(rt *rapid.T) {
				givenUp := 0
				for _, call := range open {
					if call.givenUp {
						givenUp++
					}
				}
				if calls.Unanswered() != len(open) || calls.NotGivenUp() != len(open)-givenUp || calls.Full() != (len(open) >= MaxUnanswered) {
					rt.Fatalf("%d calls unanswered and %d not given up, want %d and %d", calls.Unanswered(), calls.NotGivenUp(), len(open), len(open)-givenUp)
				}
			},
		}
	})
}
