package overloads

import (
	"sync"
	"time"

	"cairnlane/internal/lab/model"
)

// machine is the cores of one box in real time: what the engine runs and what reading costs share them. What it calls back it calls
// on a goroutine of its own.
type machine struct {
	m model.Machine

	mu    sync.Mutex
	cores *model.Cores
	from  time.Time
	life  int // of the box: what was on the cores of an earlier one is gone
	timer *time.Timer
	over  []func()
}

func newMachine(m model.Machine) *machine {
	c := &machine{m: m, from: time.Now()}
	c.cores = model.NewCores(0, m, false)
	c.timer = time.AfterFunc(time.Hour, c.wake)
	return c
}

// do does something with the cores, and then calls back what has ended.
func (c *machine) do(f func(now time.Duration)) {
	c.mu.Lock()
	f(time.Since(c.from))
	if at, ok := c.cores.Next(); ok {
		c.timer.Reset(max(at-time.Since(c.from), 0))
	}
	over := c.over
	c.over = nil
	c.mu.Unlock()
	if len(over) > 0 { // apart from the caller, who may hold what is called back for
		go func() {
			for _, f := range over {
				f()
			}
		}()
	}
}

func (c *machine) wake() { c.do(func(now time.Duration) { c.cores.Advance(now) }) }

// add puts work on the cores; done is called once it is over, unless the box dies before.
func (c *machine) add(work time.Duration, done func()) {
	c.do(func(now time.Duration) {
		life := c.life
		c.cores.Add(now, work, func() {
			if life == c.life {
				c.over = append(c.over, done)
			}
		})
	})
}

func (c *machine) slow(speed float64) { c.do(func(now time.Duration) { c.cores.Slow(now, speed) }) }

// restart is the box's death, and another one that begins cold.
func (c *machine) restart(cold bool) {
	c.do(func(now time.Duration) {
		c.life++
		c.cores = model.NewCores(now, c.m, cold)
	})
}

func (c *machine) demand() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cores.Demand()
}
