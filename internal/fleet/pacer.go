package fleet

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/probes"
)

// Pacer decides when this box reports to the shared catalog and when it reconnects. It implements catalog.Pace. Its methods never wait
// for other boxes: the fleet's findings are passed to it a few times a second, and without them it paces itself like a box without a fleet.
type Pacer struct {
	now         func() time.Duration
	soloBackoff func(attempt int) time.Duration // reconnect delays of a box without a fleet

	mu      sync.Mutex
	pace    probes.Schedule
	boxes   int
	reports uint64
}

// The interval of reports to the catalog: an entry lapses 3 s after the last report, so two reports fall within that time.
const (
	reportInterval    = 700 * time.Millisecond
	maxReportInterval = 1300 * time.Millisecond
	reportCost        = 5 * time.Millisecond // time that the catalog needs for one report
	// maxReconnectDelay bounds the delay before a reconnect, because runs wait for the connection.
	minReconnectDelay, maxReconnectDelay = 10 * time.Millisecond, 300 * time.Millisecond
)

// NewPacer returns the Pacer of box name; soloBackoff returns the reconnect delay of a box without a fleet for an attempt.
func NewPacer(name string, now func() time.Duration, soloBackoff func(attempt int) time.Duration) *Pacer {
	h := fnv.New64a()
	h.Write([]byte(name))
	z := h.Sum64() * 0x9e3779b97f4a7c15 // spreads hashes of names that differ by one letter
	return &Pacer{now: now, soloBackoff: soloBackoff, boxes: 1, pace: probes.Schedule{Self: name, BaseInterval: reportInterval, MaxInterval: maxReportInterval, CostPerBox: reportCost, Place: float64(z>>11) / (1 << 53)}}
}

// Due implements catalog.Pace.
func (p *Pacer) Due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.pace.Due(p.now())
	if due {
		p.reports++
	}
	return due
}

// RecordResult implements catalog.Pace.
func (p *Pacer) RecordResult(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.RecordResult(p.now(), ok)
}

// Reconnect returns the delay before a reconnect attempt. It uses full jitter over a span that grows with the square root of the fleet's
// size, so that boxes that lost their connections together do not reconnect at the same time.
func (p *Pacer) Reconnect(attempt int) time.Duration {
	p.mu.Lock()
	n := p.boxes
	p.mu.Unlock()
	if n < 2 {
		return p.soloBackoff(attempt)
	}
	longest := min(time.Duration(float64(p.soloBackoff(math.MaxInt16))*math.Sqrt(float64(n))), maxReconnectDelay)
	return probes.ReconnectBackoff{MinSpan: minReconnectDelay, MaxSpan: longest}.Delay(attempt, 0, rand.Float64())
}

// exchange takes the fleet's findings and returns this box's own finding, nil for none. boxes is 1 if the fleet has no overload rules.
func (p *Pacer) exchange(boxes int, prober bool, findings []probes.FindingReport) *probes.FindingReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.boxes = max(boxes, 1)
	p.pace.SetFleet(p.boxes, prober)
	for _, s := range findings {
		p.pace.RecordReport(now, s)
	}
	if s, ok := p.pace.Report(now); ok {
		return &s
	}
	return nil
}

// Pacing describes how often the box reports to the catalog and why.
type Pacing struct {
	Verdict string `json:"verdict"` // on the catalog's state
	Every   string `json:"every"`   // interval while the catalog is up
	Prober  bool   `json:"prober"`
	Asked   uint64 `json:"asked"` // reports since the start
}

func (p *Pacer) status(prober bool) Pacing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Pacing{Verdict: p.pace.Verdict(p.now()).String(), Every: p.pace.Interval().Round(time.Millisecond).String(), Prober: prober, Asked: p.reports}
}

// ProberTask is the lease whose holder continues to probe a dependency that is down.
const ProberTask = "fleet/prober"

// proberLease holds the ProberTask lease, which voters request while the fleet has overload rules. It is used by one goroutine.
type proberLease struct {
	task    *Task
	retryAt time.Duration
}

// proberRetryInterval is the pause between two requests for the lease.
const proberRetryInterval = 5 * time.Second

func (b *proberLease) update(f *Fleet, now time.Duration, want bool) bool {
	if b.task != nil {
		request, left, _ := b.task.Status()
		if want && !request.State.Final() && !request.StopRequested {
			return left > 0
		}
		b.task.Release()
		b.task = nil
		b.retryAt = now + proberRetryInterval
	}
	if want && now >= b.retryAt {
		b.retryAt = now + proberRetryInterval
		if t, err := f.Request(lease.Request{Task: ProberTask, Slots: 1}); err == nil {
			b.task = t
		}
	}
	return false
}
