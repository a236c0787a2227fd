package overloads

import (
	"sync"
	"time"

	"cairnlane/internal/lab/model"
)

// machine models the cores of one box in real time. The runs of the engine and the reading of requests share them. Completion callbacks
// run on a goroutine of their own.
type machine struct {
	spec model.Machine

	mu          sync.Mutex
	cores       *model.Cores
	startedAt   time.Time
	incarnation int // changes at a restart; work of an earlier incarnation is dropped
	timer       *time.Timer
	finished    []func() // callbacks of completed work that have not been called yet
}

func newMachine(m model.Machine) *machine {
	c := &machine{spec: m, startedAt: time.Now()}
	c.cores = model.NewCores(0, m, false)
	c.timer = time.AfterFunc(time.Hour, c.advance)
	return c
}

// withCores calls f with the mutex held, sets the timer for the next completion and calls the callbacks of completed work.
func (c *machine) withCores(f func(now time.Duration)) {
	c.mu.Lock()
	f(time.Since(c.startedAt))
	if at, ok := c.cores.Next(); ok {
		c.timer.Reset(max(at-time.Since(c.startedAt), 0))
	}
	callbacks := c.finished
	c.finished = nil
	c.mu.Unlock()
	if len(callbacks) > 0 { // in a goroutine, since the caller may hold a lock that a callback needs
		go func() {
			for _, f := range callbacks {
				f()
			}
		}()
	}
}

// advance completes the work that is due.
func (c *machine) advance() { c.withCores(func(now time.Duration) { c.cores.Advance(now) }) }

// add puts work on the cores. done is called once it is complete, unless the box is restarted before.
func (c *machine) add(work time.Duration, done func()) {
	c.withCores(func(now time.Duration) {
		life := c.incarnation
		c.cores.Add(now, work, func() {
			if life == c.incarnation {
				c.finished = append(c.finished, done)
			}
		})
	})
}

func (c *machine) setSpeed(speed float64) {
	c.withCores(func(now time.Duration) { c.cores.SetSpeed(now, speed) })
}

// restart drops all work and starts with fresh cores, cold or warm.
func (c *machine) restart(cold bool) {
	c.withCores(func(now time.Duration) {
		c.incarnation++
		c.cores = model.NewCores(now, c.spec, cold)
	})
}

// demand returns the number of jobs on the cores.
func (c *machine) demand() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cores.JobCount()
}
