// Package testkit holds helpers that tests share: a manually advanced clock, property and state-machine tests with a fixed seed,
// and a network peer that a test drives step by step.
package testkit

import (
	"flag"
	"slices"
	"sort"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// StartTime is the initial time of a Clock, as a duration since the Unix epoch.
const StartTime = 1_764_576_000 * time.Second

// Clock is a fake clock that only Advance moves. Timers run inside Advance, in the order of their due times.
type Clock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []timer // in the order of their due times
	last   int     // number of the last timer
}

type timer struct {
	number   int
	due      time.Duration
	callback func()
}

// NewClock returns a clock whose time is StartTime.
func NewClock() *Clock { return &Clock{now: StartTime} }

// Now returns the clock's time as a duration since the Unix epoch.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Time returns the clock's time as a time.Time.
func (c *Clock) Time() time.Time { return time.Unix(0, int64(c.Now())) }

// AfterFunc schedules f for d from now. It is called by the Advance that reaches that time, unless stop is called before.
func (c *Clock) AfterFunc(d time.Duration, f func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	number := c.last
	c.timers = append(c.timers, timer{number, c.now + d, f})
	sort.SliceStable(c.timers, func(i, j int) bool { return c.timers[i].due < c.timers[j].due })
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return t.number == number })
	}
}

// Timers returns the number of functions that are scheduled.
func (c *Clock) Timers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// Advance moves the clock forward by d and calls each timer that falls due, with the clock at the timer's due time.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now + d
	for len(c.timers) > 0 && c.timers[0].due <= end {
		t := c.timers[0]
		c.timers = c.timers[1:]
		c.now = t.due
		c.mu.Unlock()
		t.callback()
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// RunStateMachine runs a state-machine test: about 30 random actions on each of 100 machines, with the same seed on every run. newMachine
// creates a machine and returns its actions by name, as rapid's Repeat takes them; the action named "" checks the invariants and
// runs at the start and after each other action.
func RunStateMachine(t *testing.T, newMachine func(t *rapid.T) map[string]func(*rapid.T)) {
	t.Helper()
	runMachines(t, newMachine, 100, 30)
}

// RunStateMachines is like RunStateMachine with the given number of machines and about the given number of actions on each.
func RunStateMachines(t *testing.T, machines, steps int, newMachine func(t *rapid.T) map[string]func(*rapid.T)) {
	t.Helper()
	runMachines(t, newMachine, machines, steps)
}

func runMachines(t *testing.T, newMachine func(t *rapid.T) map[string]func(*rapid.T), machines, steps int) {
	t.Helper()
	setRapidFlags(t, machines, steps)
	rapid.Check(t, func(rt *rapid.T) { rt.Repeat(newMachine(rt)) })
}

// CheckProperty checks a property with the given number of random inputs. They are drawn with a fixed seed, so that the result is the same
// on every run.
func CheckProperty(t *testing.T, checks int, property func(*rapid.T)) {
	t.Helper()
	setRapidFlags(t, checks, 30)
	rapid.Check(t, property)
}

// setRapidFlags sets rapid's flags to a fixed seed, no file of failures, and the given numbers of checks and of steps in each.
func setRapidFlags(t *testing.T, checks, steps int) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": strconv.Itoa(checks), "rapid.steps": strconv.Itoa(steps)} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
