package probes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestProbeRateGrowsWithRootOfSize also checks that the interval never exceeds the protocol's limit.
func TestProbeRateGrowsWithRootOfSize(t *testing.T) {
	const base = time.Second
	for _, n := range []int{1, 4, 100, 1000} {
		every := Interval(base, n, 0)
		if rate := float64(n) / every.Seconds(); math.Abs(rate-math.Sqrt(float64(n))) > 1e-6 {
			t.Errorf("%d boxes probe %v times per second", n, rate)
		}
		if got := Interval(base, n, 3*time.Second); got > 3*time.Second || got < base {
			t.Errorf("%d boxes: interval %v", n, got)
		}
	}
	if Interval(base, 0, 0) != base || Interval(base, -5, 0) != base {
		t.Error("the interval of no boxes differs from that of one box")
	}
}

// TestFirstProbesAreSpread checks that boxes' places spread their first probes evenly over an interval.
func TestFirstProbesAreSpread(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var slots [10]int
	for range 10000 {
		at := FirstProbe(time.Hour, time.Minute, r.Float64()) - time.Hour
		if at < 0 || at > time.Minute {
			t.Fatal(at)
		}
		slots[min(9, int(at/(6*time.Second)))]++
	}
	for i, n := range slots {
		if n < 800 || n > 1200 {
			t.Errorf("%d of 10000 boxes probe in tenth %d of the interval", n, i)
		}
	}
}

// TestReconnectsStayWithinDependencyCapacity checks that reconnects in any second do not exceed what the dependency can handle by much.
func TestReconnectsStayWithinDependencyCapacity(t *testing.T) {
	r := ReconnectBackoff{MinSpan: 50 * time.Millisecond, MaxSpan: 5 * time.Second, CostPerBox: 10 * time.Millisecond}
	for _, n := range []int{1, 10, 100, 1000} {
		src := rand.New(rand.NewPCG(3, uint64(n)))
		seconds := map[int]int{}
		for range n {
			seconds[int(r.Delay(0, n, src.Float64())/time.Second)]++
		}
		for s, k := range seconds {
			if k > 150 {
				t.Errorf("%d boxes: %d reconnect in second %d; the dependency can handle 100", n, k, s)
			}
		}
	}
	for attempt, maxDelay := range map[int]time.Duration{0: 50 * time.Millisecond, 3: 400 * time.Millisecond, 20: 5 * time.Second, 90: 5 * time.Second} {
		if got := r.Delay(attempt, 1, 1); got != maxDelay {
			t.Errorf("attempt %d waits up to %v, want %v", attempt, got, maxDelay)
		}
	}
}

// TestVerdictNeedsTwoBoxesForDown checks the verdict after each of several findings, by box and second.
func TestVerdictNeedsTwoBoxesForDown(t *testing.T) {
	type at struct {
		sec  int
		box  string // "" for none
		up   bool
		want Verdict
	}
	for name, steps := range map[string][]at{
		"up":                           {{0, "", false, Unknown}, {1, "a", true, Up}, {20, "", false, Unknown}},
		"one finds it down":            {{1, "a", true, Up}, {2, "b", false, Doubtful}, {4, "b", false, Doubtful}, {13, "", false, Doubtful}, {15, "", false, Unknown}},
		"two find it down":             {{1, "a", false, Doubtful}, {2, "b", false, Down}},
		"one box twice":                {{1, "a", false, Doubtful}, {2, "a", false, Doubtful}, {3, "a", false, Doubtful}},
		"a fault of one box's network": {{1, "a", false, Doubtful}, {2, "b", true, Up}, {3, "a", false, Doubtful}, {4, "c", false, Down}, {5, "b", true, Up}},
		"an expired finding":           {{1, "a", false, Doubtful}, {12, "b", false, Doubtful}},
	} {
		j := Judge{Age: 10 * time.Second}
		for _, s := range steps {
			now := time.Duration(s.sec) * time.Second
			if s.box != "" {
				j.Record(Finding{s.box, s.up, now})
			}
			if got := j.Verdict(now); got != s.want {
				t.Errorf("%s: at %d s verdict %v, want %v", name, s.sec, got, s.want)
			}
		}
	}
}

// TestFleetKeepsFindingsWithFewProbes simulates a fleet whose prober fails at times: no box may lack findings for long, and the total number of
// probes stays low.
func TestFleetKeepsFindingsWithFewProbes(t *testing.T) {
	testkit.CheckProperty(t, 200, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "boxes")
		const every, age = time.Second, 5 * time.Second
		judges := make([]Judge, n)
		last := make([]time.Duration, n)
		withoutFinding := make([]time.Duration, n)
		probeCount, prober, up := 0, 0, true
		steps := 600
		for i := range judges {
			judges[i].Age = age
		}
		for step := 1; step <= steps; step++ {
			now := time.Duration(step) * 100 * time.Millisecond
			if step%50 == 0 {
				prober = rapid.IntRange(-1, n-1).Draw(t, "prober") // -1: no prober
				up = rapid.Bool().Draw(t, "up")
			}
			for i := range judges {
				if judges[i].ShouldProbe(now, fmt.Sprint(i), i == prober, last[i], every) {
					probeCount++
					last[i] = now
					for j := range judges {
						judges[j].Record(Finding{fmt.Sprint(i), up, now})
					}
				}
				if judges[i].Verdict(now) == Unknown {
					withoutFinding[i] += 100 * time.Millisecond
				} else {
					withoutFinding[i] = 0
				}
				if withoutFinding[i] > 2*age {
					t.Fatalf("box %d has had no finding for %v", i, withoutFinding[i])
				}
			}
		}
		// One probe per second by the prober, a second finding when it finds the dependency down, and one box's probes while there is no prober.
		if limit := 2*steps/10 + 2*n; probeCount > limit {
			t.Fatalf("%d boxes probed %d times in a minute", n, probeCount)
		}
	})
}
