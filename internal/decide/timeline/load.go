package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// second is what the whole fleet did in one.
type second struct {
	boxes                                      int // that told of it
	read, retries, refused, served, in, failed int
}

// firsts is how many first tries came.
func (s second) firsts() float64 { return float64(s.read - s.retries) }

// each is how many came to a box in the mean.
func (s second) each() float64 { return s.firsts() / float64(max(s.boxes, 1)) }

// usual is how many seconds the usual reads are taken from.
const usual = 20

// perSecond sums what the boxes counted, by the second of their own clocks.
func (c *course) perSecond() (list []second, first time.Duration) {
	first = c.from.Truncate(time.Second)
	if c.to < c.from {
		return nil, first
	}
	list = make([]second, int((c.to-first)/time.Second)+1)
	for _, b := range c.boxes {
		for _, l := range b.Lives {
			for _, e := range l.Events {
				if e.Kind != Second || e.At < first {
					continue
				}
				s := &list[int((e.At-first)/time.Second)]
				s.boxes++
				s.read += e.Read
				s.retries += e.Retries
				s.refused += e.Refused
				s.served += e.Served
				s.in += e.InAim
				s.failed += e.Failed
			}
		}
	}
	return list, first
}

// stretches yields the runs of seconds in which something holds, of at least so many, with holes of one second closed.
func stretches(n, least int, holds func(int) bool) (list [][2]int) {
	for i := 0; i < n; i++ {
		if !holds(i) {
			continue
		}
		to := i + 1
		for to < n && (holds(to) || to+1 < n && holds(to+1)) {
			to++
		}
		if to-i >= least {
			list = append(list, [2]int{i, to})
		}
		i = to
	}
	return list
}

// load finds bursts, overload and retry storms of the fleet.
func (c *course) load() {
	list, first := c.perSecond()
	if len(list) == 0 {
		return
	}
	all := make([]string, 0, len(c.boxes))
	for _, b := range c.boxes {
		all = append(all, b.Name)
	}
	at := func(i int) time.Duration { return first + time.Duration(i)*time.Second }
	say := func(kind Kind, holds func(int) bool, evidence func(from, to int) string) {
		for _, s := range stretches(len(list), c.set.Sustain, holds) {
			from, to := at(s[0]), at(s[1])
			f := Finding{Kind: kind, From: from, To: to, Boxes: all, Evidence: []string{evidence(s[0], s[1])}, Confidence: 0.9, Open: s[1] == len(list)}
			if n := c.missingIn(from, to); n > 0 {
				f.Confidence = 0.6
				f.Evidence = append(f.Evidence, fmt.Sprintf("%d boxes have records missing in it", n))
			}
			c.add(f)
		}
	}
	// A burst shows in all that came and in what came to each box that told of it: when boxes are away, the others get
	// their share, and when their records are, the sum falls.
	base, each := c.base(list, second.firsts), c.base(list, second.each)
	say(Burst, func(i int) bool {
		return base[i] > 0 && list[i].firsts() >= c.set.Burst*base[i] && list[i].each() >= c.set.Burst*each[i]
	}, func(from, to int) string {
		peak := 0.0
		for i := from; i < to; i++ {
			if base[i] > 0 {
				peak = max(peak, list[i].firsts()/base[i])
			}
		}
		return fmt.Sprintf("first tries come at %.2f times the usual", peak)
	})
	share := func(part func(second) int) func(int) bool {
		return func(i int) bool {
			return list[i].read > 0 && float64(part(list[i])) >= c.limit(part)*float64(list[i].read)
		}
	}
	refused, retries := func(s second) int { return s.refused + s.failed }, func(s second) int { return s.retries }
	most := func(part func(second) int) func(from, to int) string {
		return func(from, to int) string {
			worst := 0.0
			for i := from; i < to; i++ {
				if list[i].read > 0 {
					worst = max(worst, float64(part(list[i]))/float64(list[i].read))
				}
			}
			return fmt.Sprintf("%.0f%% of what was read, at the worst", 100*worst)
		}
	}
	say(Overload, share(refused), most(refused))
	say(RetryStorm, share(retries), most(retries))
}

// limit is the share from which a part of the reads is a trouble.
func (c *course) limit(part func(second) int) float64 {
	if part(second{retries: 1}) > 0 {
		return c.set.Retries
	}
	return c.set.Refused
}

// base is the usual value before each second: the median of those before it that were no burst themselves, so that a
// long burst does not become the usual.
func (c *course) base(list []second, value func(second) float64) []float64 {
	base := make([]float64, len(list))
	var window []float64
	for i, s := range list {
		if len(window) >= 5 {
			sorted := slices.Clone(window)
			slices.Sort(sorted)
			base[i] = sorted[len(sorted)/2]
		}
		v := value(s)
		if s.boxes > 0 && (base[i] == 0 || v < c.set.Burst*base[i]) {
			if window = append(window, v); len(window) > usual {
				window = window[1:]
			}
		}
	}
	return base
}

// missingIn counts the boxes with absent records in an interval.
func (c *course) missingIn(from, to time.Duration) (n int) {
	for _, b := range c.boxes {
		hit := false
		for _, l := range b.Lives {
			for _, g := range l.Gaps {
				hit = hit || g.To != 0 && g.From <= to && g.To >= from
			}
		}
		if hit {
			n++
		}
	}
	return n
}

// speed is the answers of a box for each running request, over some seconds.
const speedOver = 3

// slow finds boxes that get much less done with what they run than their peers do at the same time. A box that is cold
// is slow by nature, and told of as that.
func (c *course) slow() {
	if len(c.boxes) < 3 {
		return // no peers to speak of
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
		for _, s := range stretches(n, c.set.Sustain+1, func(i int) bool {
			return median[i] > 0 && speeds[b][i] > 0 && !cold[b][i] && speeds[b][i] < c.set.Slow*median[i]
		}) {
			worst := 1.0
			for i := s[0]; i < s[1]; i++ {
				if median[i] > 0 && speeds[b][i] > 0 {
					worst = min(worst, speeds[b][i]/median[i])
				}
			}
			f := Finding{Kind: SlowBox, From: first + time.Duration(s[0])*time.Second, To: first + time.Duration(s[1])*time.Second, Boxes: []string{box.Name},
				Evidence: []string{fmt.Sprintf("it answers %.2f of what its peers do for each running request", worst)}, Confidence: 0.85, Open: s[1] == n}
			for i := range box.Lives {
				factor, said := box.Lives[i].unsure(f.From, f.To)
				f.Confidence *= factor
				f.Evidence = append(f.Evidence, said...)
			}
			c.add(f)
		}
	}
}

// speeds gives a box's answers for each running request second by second, 0 where that is not known, and whether it
// was cold then.
func (c *course) speeds(b int, first time.Duration, n int) ([]float64, []bool) {
	served, running, cold := make([]float64, n), make([]float64, n), make([]bool, n)
	for _, l := range c.boxes[b].Lives {
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
		for j := max(0, i-speedOver+1); j <= i; j++ {
			s, r = s+served[j], r+running[j]
		}
		if r >= speedOver {
			speed[i] = cmp.Or(s, 0.01) / r
		}
	}
	return speed, cold
}
