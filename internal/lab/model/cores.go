package model

import (
	"container/heap"
	"math"
	"time"
)

// Machine describes the cores of a box, including properties that the box's software cannot see.
type Machine struct {
	Cores    int
	ReadWork time.Duration // processor time for reading one request, also if it is then rejected
	ThrashAt float64       // jobs per core above which the total throughput falls
	Thrash   float64       // fraction of the speed that is left far above ThrashAt
	ColdFrom float64       // fraction of its speed at which a cold box starts
	ColdFor  time.Duration // time until a cold box has its full speed
}

// Cores models the cores of one box by processor sharing: all jobs run at the same rate. It does no I/O and has no clock: each call gets
// the current time, which must not decrease. It is not safe for concurrent use.
type Cores struct {
	machine    Machine
	startedAt  time.Duration // start of the box
	cold       bool
	speed      float64       // 1, or less while a fault slows the box
	advancedTo time.Duration // time up to which work is done
	service    float64       // seconds of work that a job present since the start would have got
	jobs       jobs
	lastSeq    uint64
}

type job struct {
	finishService float64 // value of Cores.service at which the job is done
	seq           uint64
	done          func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return j[a].finishService < j[b].finishService || j[a].finishService == j[b].finishService && j[a].seq < j[b].seq
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// NewCores returns the cores of a box that starts at now.
func NewCores(now time.Duration, m Machine, cold bool) *Cores {
	return &Cores{machine: m, startedAt: now, cold: cold, speed: 1, advancedTo: now}
}

// ratePerJob returns the rate at which one job progresses, in seconds of work per second.
func (c *Cores) ratePerJob(now time.Duration) float64 {
	n := float64(len(c.jobs))
	total := math.Min(n, float64(c.machine.Cores)) * c.speed
	if k := c.machine.ThrashAt * float64(c.machine.Cores); n > k {
		total *= c.machine.Thrash + (1-c.machine.Thrash)*k/n
	}
	if age := now - c.startedAt; c.cold && age < c.machine.ColdFor {
		total *= c.machine.ColdFrom + (1-c.machine.ColdFrom)*float64(age)/float64(c.machine.ColdFor)
	}
	return total / n
}

// Add adds a job. done is called by the Advance that completes it.
func (c *Cores) Add(now time.Duration, work time.Duration, done func()) {
	c.Advance(now)
	c.lastSeq++
	heap.Push(&c.jobs, job{c.service + work.Seconds(), c.lastSeq, done})
}

// Advance does the work up to now and calls done of each job that completes.
func (c *Cores) Advance(now time.Duration) {
	for len(c.jobs) > 0 && c.advancedTo < now {
		rate := c.ratePerJob(c.advancedTo)
		left := c.jobs[0].finishService - c.service
		span := min(now, c.advancedTo+maxRateStep) - c.advancedTo // in steps, since the rate of a cold box grows
		if need := time.Duration(math.Ceil(left / rate * 1e9)); need <= span {
			c.advancedTo += max(need, 0)
			c.service = c.jobs[0].finishService
			j := heap.Pop(&c.jobs).(job)
			j.done()
			continue
		}
		c.advancedTo += span
		c.service += rate * span.Seconds()
	}
	c.advancedTo = max(c.advancedTo, now)
}

// maxRateStep is the longest time for which the rate is taken as constant.
const maxRateStep = 50 * time.Millisecond

// Next returns when Advance is to be called next: when the first job completes if nothing changes, or maxRateStep later if that is earlier. ok is false without jobs.
func (c *Cores) Next() (at time.Duration, ok bool) {
	if len(c.jobs) == 0 {
		return 0, false
	}
	need := time.Duration(math.Ceil((c.jobs[0].finishService - c.service) / c.ratePerJob(c.advancedTo) * 1e9))
	return c.advancedTo + min(max(need, 1), maxRateStep), true
}

// JobCount returns the number of jobs on the cores.
func (c *Cores) JobCount() int { return len(c.jobs) }

// SetSpeed sets the speed factor; 1 is full speed.
func (c *Cores) SetSpeed(now time.Duration, speed float64) {
	c.Advance(now)
	c.speed = speed
}
