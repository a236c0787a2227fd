package model

import (
	"container/heap"
	"math"
	"time"
)

// Machine is what is known of a box's cores, and what nobody on the box knows.
type Machine struct {
	Cores    int
	Read     time.Duration // work of reading one request, whatever is then decided
	ThrashAt float64       // requests a core from which on more of them get less done in total
	Thrash   float64       // share of the speed that is left far beyond that
	ColdFrom float64       // share of its speed that a fresh box has
	ColdFor  time.Duration // after which it is warm
}

// Cores are those of one box: all that is on them shares them evenly. They do no I/O and have no clock: each call says what time it is, and
// times never go back. Not safe for use by several goroutines.
type Cores struct {
	m       Machine
	began   time.Duration // the box's start
	cold    bool
	speed   float64       // 1, less while something slows the box
	at      time.Duration // up to which work is done
	service float64       // seconds of work that each job has had since the start
	jobs    jobs
	n       uint64
}

type job struct {
	until float64 // service at which it is done
	n     uint64
	done  func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return j[a].until < j[b].until || j[a].until == j[b].until && j[a].n < j[b].n
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// NewCores are those of a box that starts now.
func NewCores(now time.Duration, m Machine, cold bool) *Cores {
	return &Cores{m: m, began: now, cold: cold, speed: 1, at: now}
}

// each is how fast one job gets on, in seconds of work a second.
func (c *Cores) each(now time.Duration) float64 {
	n := float64(len(c.jobs))
	total := math.Min(n, float64(c.m.Cores)) * c.speed
	if k := c.m.ThrashAt * float64(c.m.Cores); n > k {
		total *= c.m.Thrash + (1-c.m.Thrash)*k/n
	}
	if age := now - c.began; c.cold && age < c.m.ColdFor {
		total *= c.m.ColdFrom + (1-c.m.ColdFrom)*float64(age)/float64(c.m.ColdFor)
	}
	return total / n
}

// Add puts a job on the cores; done is called by the Advance that ends it.
func (c *Cores) Add(now time.Duration, work time.Duration, done func()) {
	c.Advance(now)
	c.n++
	heap.Push(&c.jobs, job{c.service + work.Seconds(), c.n, done})
}

// Advance does the work up to now and ends what is done by then.
func (c *Cores) Advance(now time.Duration) {
	for len(c.jobs) > 0 && c.at < now {
		rate := c.each(c.at)
		left := c.jobs[0].until - c.service
		span := min(now, c.at+warmStep) - c.at // a cold box gets faster meanwhile
		if need := time.Duration(math.Ceil(left / rate * 1e9)); need <= span {
			c.at += max(need, 0)
			c.service = c.jobs[0].until
			j := heap.Pop(&c.jobs).(job)
			j.done()
			continue
		}
		c.at += span
		c.service += rate * span.Seconds()
	}
	c.at = max(c.at, now)
}

const warmStep = 50 * time.Millisecond

// Next tells when the next job ends if nothing changes; not earlier than it does.
func (c *Cores) Next() (at time.Duration, ok bool) {
	if len(c.jobs) == 0 {
		return 0, false
	}
	need := time.Duration(math.Ceil((c.jobs[0].until - c.service) / c.each(c.at) * 1e9))
	return c.at + min(max(need, 1), warmStep), true
}

// Demand is how many jobs are on the cores.
func (c *Cores) Demand() int { return len(c.jobs) }

// Slow sets the speed, 1 for the box's own.
func (c *Cores) Slow(now time.Duration, speed float64) {
	c.Advance(now)
	c.speed = speed
}
