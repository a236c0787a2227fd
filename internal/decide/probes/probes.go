// Package probes decides how often the boxes of a fleet probe a dependency that they share, how they reconnect to one that was down, and when
// the finding of one box counts for all. If each box probed on its own schedule, the number of probes would grow with the fleet just when the
// dependency is down.
//
// The decisions need no agreement for a single probe. A box knows the approximate number of boxes and has a fixed place (a hash of its
// name), the same after each restart. If half of the fleet assumes half of the real size, that half probes 1.4 times as often as it should.
// Limits set by the protocol's specification remain in force: the parameter most is the longest interval that the specification allows.
package probes

import (
	"math"
	"time"
)

// Interval returns the probe interval of each of n boxes, where base is the interval of a single box. The fleet's total rate of probes grows with
// the square root of its size. The result is at most most, 0 for no limit, and at least base.
func Interval(base time.Duration, n int, most time.Duration) time.Duration {
	d := time.Duration(float64(base) * math.Sqrt(float64(max(1, n))))
	if most > 0 {
		d = min(d, most)
	}
	return max(d, base)
}

// FirstProbe returns the time of a box's first probe after a start or an outage that all boxes saw. It lies at the box's place within an interval,
// so that boxes started or disconnected together do not probe together. place is from 0 to 1.
func FirstProbe(now, every time.Duration, place float64) time.Duration {
	return now + time.Duration(clampUnit(place)*float64(every))
}

func clampUnit(u float64) float64 { return math.Max(0, math.Min(u, 1)) }

// ReconnectBackoff holds the parameters by which boxes reconnect to a dependency that was down.
type ReconnectBackoff struct {
	MinSpan    time.Duration // upper bound of the delay before the first retry
	MaxSpan    time.Duration // upper bound of the delay between two attempts
	CostPerBox time.Duration // time that the dependency needs per reconnecting box; n boxes need n times as long
}

// Delay returns the delay before an attempt, counted from 0: full jitter over a span that doubles (Brooker, Exponential Backoff and
// Jitter) and is at least as long as n boxes need to reconnect. u is drawn uniformly from 0 to 1.
func (r ReconnectBackoff) Delay(attempt, n int, u float64) time.Duration {
	span := r.MaxSpan
	if attempt < 30 {
		span = min(r.MaxSpan, r.MinSpan<<attempt)
	}
	span = min(max(span, time.Duration(max(0, n))*r.CostPerBox), max(r.MaxSpan, time.Duration(max(0, n))*r.CostPerBox))
	return time.Duration(clampUnit(u) * float64(span))
}

// Finding is one box's finding about a shared dependency.
type Finding struct {
	Box string
	Up  bool
	At  time.Duration // when this box learned of it, by its own clock
}

// Verdict is the state of the dependency that follows from all findings.
type Verdict uint8

// The verdicts.
const (
	Unknown Verdict = iota // no recent finding
	Up
	Doubtful // one box found it down; a second finding is needed
	Down     // two boxes found it down
)

var verdictNames = [...]string{"unknown", "up", "doubtful", "down"}

func (v Verdict) String() string { return verdictNames[v] }

// Judge keeps the latest finding of each box. Its clock is the box's own. The zero value with Age set is ready to use.
type Judge struct {
	Age      time.Duration // age up to which a finding counts
	findings map[string]Finding
}

// maxFindings bounds the stored findings. Usually there is one prober at a time, and a second one after it found the dependency down.
const maxFindings = 64

// Record records a finding.
func (j *Judge) Record(o Finding) {
	if j.findings == nil {
		j.findings = map[string]Finding{}
	}
	j.dropExpired(o.At)
	if _, known := j.findings[o.Box]; known || len(j.findings) < maxFindings {
		j.findings[o.Box] = o
	}
}

func (j *Judge) dropExpired(now time.Duration) {
	for box, o := range j.findings {
		if now-o.At > j.Age {
			delete(j.findings, box)
		}
	}
}

// Verdict returns the state that follows from the current findings. One box that finds the dependency up outweighs all earlier findings that
// it is down, because those boxes may have a network fault of their own. Two boxes must have found it down since for Down, the verdict that
// takes boxes out of service.
func (j *Judge) Verdict(now time.Duration) Verdict {
	j.dropExpired(now)
	up := time.Duration(math.MinInt64)
	for _, o := range j.findings {
		if o.Up {
			up = max(up, o.At)
		}
	}
	down := 0
	for _, o := range j.findings {
		if !o.Up && o.At > up {
			down++
		}
	}
	switch {
	case down >= 2:
		return Down
	case down == 1:
		return Doubtful
	case len(j.findings) > 0:
		return Up
	}
	return Unknown
}

// ShouldProbe reports whether a box is to probe now. The holder of the prober's lease probes at each interval. When the verdict is Doubtful another
// box probes for the second finding. A box without any finding for twice Age probes for itself, so that a fleet whose prober has failed is
// not without findings.
func (j *Judge) ShouldProbe(now time.Duration, self string, prober bool, last, every time.Duration) bool {
	if last != 0 && now-last < every {
		return false
	}
	switch v := j.Verdict(now); {
	case prober:
		return true
	case v == Doubtful:
		_, mine := j.findings[self]
		return !mine
	case v == Unknown:
		return last == 0 || now-last >= 2*j.Age
	}
	return false
}
