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

// Pacer carries out when this box asks what all depend on. It implements catalog.Pace. Its methods wait for nobody: what the fleet finds is
// handed to it a few times a second, and without a word of the fleet it is as a lone box.
type Pacer struct {
	now  func() time.Duration
	lone func(try int) time.Duration // pauses of a lone box before it reconnects

	mu    sync.Mutex
	pace  probes.Pace
	boxes int
	asked uint64
}

// The pace of reports to the catalog: an entry lapses 3 s after the last one, so two fall within that time.
const (
	reportEach  = 700 * time.Millisecond
	reportMost  = 1300 * time.Millisecond
	reportTakes = 5 * time.Millisecond // what the catalog needs for one
	// reconnectMost bounds a pause before a box reconnects: what is to run waits for it.
	reconnectLeast, reconnectMost = 10 * time.Millisecond, 300 * time.Millisecond
)

// NewPacer returns that of a box; lone says how long a lone box waits before a try to reconnect.
func NewPacer(name string, now func() time.Duration, lone func(try int) time.Duration) *Pacer {
	h := fnv.New64a()
	h.Write([]byte(name))
	z := h.Sum64() * 0x9e3779b97f4a7c15 // names of boxes differ by a letter
	return &Pacer{now: now, lone: lone, boxes: 1, pace: probes.Pace{Self: name, Base: reportEach, Most: reportMost, Each: reportTakes, Place: float64(z>>11) / (1 << 53)}}
}

// Due implements catalog.Pace.
func (p *Pacer) Due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.pace.Due(p.now())
	if due {
		p.asked++
	}
	return due
}

// Told implements catalog.Pace.
func (p *Pacer) Told(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Told(p.now(), ok)
}

// Reconnect is how long to wait before a try to reconnect: full jitter, over a span that grows with the root of the fleet, so that boxes
// which were cut off together do not come back in step.
func (p *Pacer) Reconnect(try int) time.Duration {
	p.mu.Lock()
	n := p.boxes
	p.mu.Unlock()
	if n < 2 {
		return p.lone(try)
	}
	most := min(time.Duration(float64(p.lone(math.MaxInt16))*math.Sqrt(float64(n))), reconnectMost)
	return probes.Return{Least: reconnectLeast, Most: most}.Next(try, 0, rand.Float64())
}

// turn hands over what the fleet knows, and returns what this box has found; nil for nothing. boxes is 1 where the fleet has no rules.
func (p *Pacer) turn(boxes int, prober bool, heard []probes.Said) *probes.Said {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.boxes = max(boxes, 1)
	p.pace.Fleet(p.boxes, prober)
	for _, s := range heard {
		p.pace.Heard(now, s)
	}
	if s, ok := p.pace.Say(now); ok {
		return &s
	}
	return nil
}

// Pacing is how the box asks.
type Pacing struct {
	Verdict string `json:"verdict"` // on the catalog
	Every   string `json:"every"`   // while it is up
	Prober  bool   `json:"prober"`
	Asked   uint64 `json:"asked"` // since the start
}

func (p *Pacer) status(prober bool) Pacing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Pacing{Verdict: p.pace.Verdict(p.now()).String(), Every: p.pace.Every().Round(time.Millisecond).String(), Prober: prober, Asked: p.asked}
}

// Prober is the task whose holder goes on asking what is down.
const Prober = "fleet/prober"

// prober keeps the lease of who goes on asking what is down, at boxes that vote and while the fleet has rules, and tells whether it is
// this box. It is called by one goroutine.
type prober struct {
	task  *Task
	retry time.Duration
}

// proberRetry is between two tries to get it.
const proberRetry = 5 * time.Second

func (b *prober) turn(f *Fleet, now time.Duration, want bool) bool {
	if b.task != nil {
		ask, left, _ := b.task.Look()
		if want && !ask.State.Over() && !ask.Stop {
			return left > 0
		}
		b.task.Release()
		b.task = nil
		b.retry = now + proberRetry
	}
	if want && now >= b.retry {
		b.retry = now + proberRetry
		if t, err := f.Ask(lease.Request{Task: Prober, Slots: 1}); err == nil {
			b.task = t
		}
	}
	return false
}
