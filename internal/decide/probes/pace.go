package probes

import (
	"time"
)

// FindingReport is a finding as boxes send it to each other. It holds the age of the finding by the sender's clock, so that clocks of two boxes are
// never compared.
type FindingReport struct {
	Box string        `cbor:"1,keyasint" json:"box"`
	Up  bool          `cbor:"2,keyasint" json:"up"`
	Ago time.Duration `cbor:"3,keyasint" json:"ago_ns"`
}

// Schedule schedules one box's requests to a dependency that every box must contact regularly: the catalog, to which boxes report. While it is up,
// each box sends at its own place within the interval. While it is down, which takes two boxes' findings, only the prober continues, and the
// others wait. While it is in doubt, another box provides a second finding. When it is up again, the boxes return one after the other. A box
// without findings of others sends on its own, like a box without a fleet.
//
// Its clock is the box's own. The zero value with Self, BaseInterval and MaxInterval set is ready to use; it is not safe for concurrent use.
type Schedule struct {
	Self         string
	BaseInterval time.Duration // request interval of a single box
	MaxInterval  time.Duration // longest interval that the protocol allows; 0: no limit
	CostPerBox   time.Duration // time that the dependency needs per returning box
	Place        float64       // this box's place, 0 to 1, the same after each restart

	judge       Judge
	boxes       int // size of the fleet; 1: no fleet
	isProber    bool
	lastRequest time.Duration // time of the last request
	nextRequest time.Duration // time of the next request, unless the dependency is down
	down        bool          // found down, and not found up since
	doubtSince  time.Duration // time since which the verdict is Doubtful; 0: it is not
}

// findingIntervals is the number of BaseIntervals for which a finding counts.
const findingIntervals = 8

// SetFleet sets the number of boxes and whether this one is the prober.
func (p *Schedule) SetFleet(boxes int, prober bool) { p.boxes, p.isProber = max(boxes, 1), prober }

// Interval returns the box's request interval while the dependency is up.
func (p *Schedule) Interval() time.Duration {
	every := Interval(p.BaseInterval, max(p.boxes, 1), p.MaxInterval)
	if p.boxes < 2 {
		every = p.BaseInterval
	}
	return every
}

// RecordResult records the result of this box's own request.
func (p *Schedule) RecordResult(now time.Duration, up bool) { p.record(now, Finding{p.Self, up, now}) }

// RecordReport records another box's finding. A report of this box's own finding is ignored.
func (p *Schedule) RecordReport(now time.Duration, s FindingReport) {
	if s.Box != p.Self && s.Ago >= 0 && s.Ago < findingIntervals*p.BaseInterval {
		p.record(now, Finding{s.Box, s.Up, now - s.Ago})
	}
}

func (p *Schedule) record(now time.Duration, o Finding) {
	p.judge.Age = findingIntervals * p.BaseInterval
	if was, known := p.judge.findings[o.Box]; known && was.At > o.At {
		return // the report is older than a known one
	}
	p.judge.Record(o)
	switch p.judge.Verdict(now) {
	case Down:
		p.down, p.doubtSince = true, 0
	case Doubtful:
		if p.doubtSince == 0 {
			p.doubtSince = now
		}
	case Up:
		if p.down { // the box returns at its place within the time that all boxes need
			p.nextRequest = now + time.Duration(p.Place*float64(p.span()))
		}
		p.down, p.doubtSince = false, 0
	}
}

// span returns the time over which all boxes return.
func (p *Schedule) span() time.Duration {
	span := time.Duration(p.boxes) * p.CostPerBox
	if p.MaxInterval > 0 {
		span = min(span, p.MaxInterval)
	}
	return span
}

// Due reports whether the box is to send a request now. If so, the caller must send it and record the result with RecordResult.
func (p *Schedule) Due(now time.Duration) bool {
	if !p.due(now) {
		return false
	}
	p.lastRequest = now
	p.nextRequest = now + p.Interval()
	return true
}

func (p *Schedule) due(now time.Duration) bool {
	if p.lastRequest != 0 && now-p.lastRequest < p.BaseInterval/2 { // a minimum distance, whatever others report
		return false
	}
	p.judge.Age = findingIntervals * p.BaseInterval
	verdict := p.judge.Verdict(now)
	if p.boxes < 2 || verdict == Up || verdict == Unknown && !p.down {
		return now >= p.nextRequest
	}
	if verdict == Doubtful && p.doubtSince == 0 { // a finding has expired
		p.doubtSince = now
	}
	switch {
	case p.isProber:
		return p.lastRequest == 0 || now-p.lastRequest >= p.BaseInterval
	case verdict == Doubtful: // a box without a finding of its own provides the second one; the first to do so spares the others
		_, mine := p.judge.findings[p.Self]
		return !mine && now-p.doubtSince >= time.Duration(p.Place*float64(p.secondSpan()))
	case verdict == Unknown: // no findings for a long time: the box sends for itself, at its own place
		return now-p.lastRequest >= p.judge.Age+time.Duration(p.Place*float64(p.judge.Age))
	}
	return false
}

// secondSpan is the span of second findings: about the square root of all boxes send before the first result is known to the others.
func (p *Schedule) secondSpan() time.Duration {
	n := Interval(p.BaseInterval, p.boxes, 0)
	return max(n, p.BaseInterval)
}

// Verdict returns the state that follows from the current findings.
func (p *Schedule) Verdict(now time.Duration) Verdict {
	p.judge.Age = findingIntervals * p.BaseInterval
	return p.judge.Verdict(now)
}

// Report returns this box's own finding, to be sent to others; ok is false if there is none that is recent enough.
func (p *Schedule) Report(now time.Duration) (s FindingReport, ok bool) {
	o, known := p.judge.findings[p.Self]
	if !known || now-o.At > findingIntervals*p.BaseInterval {
		return s, false
	}
	return FindingReport{p.Self, o.Up, now - o.At}, true
}

// MaxReports bounds the findings in one message.
const MaxReports = 4

// NewestReports returns the newest findings of different boxes, at most MaxReports, for forwarding.
func NewestReports(list []FindingReport) []FindingReport {
	var out []FindingReport
	for len(list) > 0 && len(out) < MaxReports {
		best := 0
		for i, s := range list {
			if s.Ago < list[best].Ago || s.Ago == list[best].Ago && s.Box < list[best].Box {
				best = i
			}
		}
		s := list[best]
		list = append(append([]FindingReport(nil), list[:best]...), list[best+1:]...)
		seen := false
		for _, o := range out {
			seen = seen || o.Box == s.Box
		}
		if !seen {
			out = append(out, s)
		}
	}
	return out
}
