package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// second holds the counts of the whole fleet in one second.
type second struct {
	boxes                                          int // boxes that recorded the second
	read, retries, rejected, served, inAim, failed int
}

// firstAttempts returns the number of first attempts.
func (s second) firstAttempts() float64 { return float64(s.read - s.retries) }

// firstAttemptsPerBox returns the mean number of first attempts per box.
func (s second) firstAttemptsPerBox() float64 { return s.firstAttempts() / float64(max(s.boxes, 1)) }

// baseWindow is the number of seconds from which the baseline is computed.
const baseWindow = 20

// perSecond sums the counts of all boxes, by the second of their own clocks.
func (c *analysis) perSecond() (list []second, first time.Duration) {
	first = c.from.Truncate(time.Second)
	if c.to < c.from {
		return nil, first
	}
	list = make([]second, int((c.to-first)/time.Second)+1)
	for _, b := range c.boxes {
		for _, l := range b.Incarnations {
			for _, e := range l.Events {
				if e.Kind != Second || e.At < first {
					continue
				}
				s := &list[int((e.At-first)/time.Second)]
				s.boxes++
				s.read += e.Read
				s.retries += e.Retries
				s.rejected += e.Rejected
				s.served += e.Served
				s.inAim += e.InAim
				s.failed += e.Failed
			}
		}
	}
	return list, first
}

// ranges returns the ranges [from, to) of at least minLength seconds in which holds is true. Interruptions of one second
// are ignored.
func ranges(n, minLength int, holds func(int) bool) (list [][2]int) {
	for i := 0; i < n; i++ {
		if !holds(i) {
			continue
		}
		to := i + 1
		for to < n && (holds(to) || to+1 < n && holds(to+1)) {
			to++
		}
		if to-i >= minLength {
			list = append(list, [2]int{i, to})
		}
		i = to
	}
	return list
}

// loadFindings finds bursts, overload and retry storms of the fleet.
func (c *analysis) loadFindings() {
	list, first := c.perSecond()
	if len(list) == 0 {
		return
	}
	all := make([]string, 0, len(c.boxes))
	for _, b := range c.boxes {
		all = append(all, b.Name)
	}
	secondStart := func(i int) time.Duration { return first + time.Duration(i)*time.Second }
	report := func(kind Kind, holds func(int) bool, evidence func(from, to int) string) {
		for _, s := range ranges(len(list), c.settings.MinSeconds, holds) {
			from, to := secondStart(s[0]), secondStart(s[1])
			f := Finding{Kind: kind, From: from, To: to, Boxes: all, Evidence: []string{evidence(s[0], s[1])}, Confidence: 0.9, Open: s[1] == len(list)}
			if n := c.missingIn(from, to); n > 0 {
				f.Confidence = 0.6
				f.Evidence = append(f.Evidence, fmt.Sprintf("%d boxes have missing records in this interval", n))
			}
			c.add(f)
		}
	}
	// A burst must show both in the total and in the mean per recording box: when some boxes are down, the others
	// receive their share of the load, and when the records of some boxes are missing, the total falls.
	base, basePerBox := c.baseline(list, second.firstAttempts), c.baseline(list, second.firstAttemptsPerBox)
	report(Burst, func(i int) bool {
		return base[i] > 0 && list[i].firstAttempts() >= c.settings.BurstRatio*base[i] && list[i].firstAttemptsPerBox() >= c.settings.BurstRatio*basePerBox[i]
	}, func(from, to int) string {
		peak := 0.0
		for i := from; i < to; i++ {
			if base[i] > 0 {
				peak = max(peak, list[i].firstAttempts()/base[i])
			}
		}
		return fmt.Sprintf("first attempts at %.2f times the baseline", peak)
	})
	share := func(part func(second) int) func(int) bool {
		return func(i int) bool {
			return list[i].read > 0 && float64(part(list[i])) >= c.limit(part)*float64(list[i].read)
		}
	}
	rejected, retries := func(s second) int { return s.rejected + s.failed }, func(s second) int { return s.retries }
	peakShare := func(part func(second) int) func(from, to int) string {
		return func(from, to int) string {
			worst := 0.0
			for i := from; i < to; i++ {
				if list[i].read > 0 {
					worst = max(worst, float64(part(list[i]))/float64(list[i].read))
				}
			}
			return fmt.Sprintf("up to %.0f%% of the requests read", 100*worst)
		}
	}
	report(Overload, share(rejected), peakShare(rejected))
	report(RetryStorm, share(retries), peakShare(retries))
}

// limit returns the share of the reads from which on part is reported.
func (c *analysis) limit(part func(second) int) float64 {
	if part(second{retries: 1}) > 0 {
		return c.settings.RetryShare
	}
	return c.settings.RejectedShare
}

// baseline returns the baseline for each second: the median of the preceding seconds that were not part of a burst, so that
// a long burst does not raise the baseline.
func (c *analysis) baseline(list []second, value func(second) float64) []float64 {
	base := make([]float64, len(list))
	var window []float64
	for i, s := range list {
		if len(window) >= 5 {
			sorted := slices.Clone(window)
			slices.Sort(sorted)
			base[i] = sorted[len(sorted)/2]
		}
		v := value(s)
		if s.boxes > 0 && (base[i] == 0 || v < c.settings.BurstRatio*base[i]) {
			if window = append(window, v); len(window) > baseWindow {
				window = window[1:]
			}
		}
	}
	return base
}

// missingIn returns the number of boxes with missing records in an interval.
func (c *analysis) missingIn(from, to time.Duration) (n int) {
	for _, b := range c.boxes {
		hasGap := false
		for _, l := range b.Incarnations {
			for _, g := range l.Gaps {
				hasGap = hasGap || g.To != 0 && g.From <= to && g.To >= from
			}
		}
		if hasGap {
			n++
		}
	}
	return n
}

// speedWindow is the number of seconds over which the speed of a box (answers per running request) is averaged.
const speedWindow = 3

// slowBoxes finds boxes that answer far fewer requests per running request than their peers at the same time. Cold boxes are
// expected to be slow and are reported as cold starts instead.
func (c *analysis) slowBoxes() {
	if len(c.boxes) < 3 {
		return // too few peers for a comparison
	}
	first := c.from.Truncate(time.Second)
	n := int((c.to-first)/time.Second) + 1
	if n < 1 {
		return
	}
	speeds, cold := make([][]float64, len(c.boxes)), make([][]bool, len(c.boxes))
	for b := range c.boxes {
		speeds[b], cold[b] = c.speeds(b, first, n)
	}
	median := make([]float64, n)
	for i := range n {
		var list []float64
		for b := range c.boxes {
			if speeds[b][i] > 0 && !cold[b][i] {
				list = append(list, speeds[b][i])
			}
		}
		if slices.Sort(list); len(list) >= 3 {
			median[i] = list[len(list)/2]
		}
	}
	for b, box := range c.boxes {
		for _, s := range ranges(n, c.settings.MinSeconds+1, func(i int) bool {
			return median[i] > 0 && speeds[b][i] > 0 && !cold[b][i] && speeds[b][i] < c.settings.SlowRatio*median[i]
		}) {
			worst := 1.0
			for i := s[0]; i < s[1]; i++ {
				if median[i] > 0 && speeds[b][i] > 0 {
					worst = min(worst, speeds[b][i]/median[i])
				}
			}
			f := Finding{Kind: SlowBox, From: first + time.Duration(s[0])*time.Second, To: first + time.Duration(s[1])*time.Second, Boxes: []string{box.Name},
				Evidence: []string{fmt.Sprintf("it answers %.2f times as many requests per running request as its peers", worst)}, Confidence: 0.85, Open: s[1] == n}
			for i := range box.Incarnations {
				factor, evidence := box.Incarnations[i].confidenceAcross(f.From, f.To)
				f.Confidence *= factor
				f.Evidence = append(f.Evidence, evidence...)
			}
			c.add(f)
		}
	}
}

// speeds returns the answers per running request of a box for each second, 0 if unknown, and whether the box was cold in
// that second.
func (c *analysis) speeds(b int, first time.Duration, n int) ([]float64, []bool) {
	served, running, cold := make([]float64, n), make([]float64, n), make([]bool, n)
	for _, l := range c.boxes[b].Incarnations {
		isCold := false
		for _, e := range l.Events {
			i := int((e.At - first) / time.Second)
			switch {
			case e.Kind == Started:
				isCold = e.Cold
			case e.Kind == Warmed:
				isCold = false
			case e.Kind == Second && i >= 0 && i < n:
				served[i] += float64(e.Served)
				running[i] += float64(e.Running)
				cold[i] = cold[i] || isCold
			}
		}
	}
	speed := make([]float64, n)
	for i := range n {
		s, r := 0.0, 0.0
		for j := max(0, i-speedWindow+1); j <= i; j++ {
			s, r = s+served[j], r+running[j]
		}
		if r >= speedWindow {
			speed[i] = cmp.Or(s, 0.01) / r
		}
	}
	return speed, cold
}
