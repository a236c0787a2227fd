// Package actor has a box of a trial act under leases, upon a stand-in. It is part of the program in trial builds alone.
package actor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/standin/resource"
)

// Slots is how many boxes may act on a thing at a time, by its name: "double-..." has two.
func Slots(thing string) int {
	if strings.HasPrefix(thing, "double") {
		return 2
	}
	return 1
}

// Compares tells whether a thing compares tokens, by its name.
func Compares(thing string) bool { return strings.HasPrefix(thing, "checked") }

// Config is how a box acts.
type Config struct {
	Box      string
	Resource string // address
	Things   []string
	Seed     uint64
}

const (
	callRoom = 250 * time.Millisecond // what a call to the stand-in may take beside the effect itself
	waitMost = 30 * time.Second
)

// Run acts until ctx ends.
func Run(ctx context.Context, f *fleet.Fleet, cfg Config) {
	var wait sync.WaitGroup
	for i, thing := range cfg.Things {
		a := &actor{f: f, cfg: cfg, thing: thing, rand: rand.New(rand.NewPCG(cfg.Seed, uint64(i)))}
		wait.Go(func() { a.run(ctx) })
	}
	wait.Wait()
}

type actor struct {
	f     *fleet.Fleet
	cfg   Config
	thing string
	rand  *rand.Rand
	c     *resource.Client
}

func (a *actor) pause(ctx context.Context, most time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(a.rand.Int64N(int64(most)))):
		return true
	}
}

func (a *actor) run(ctx context.Context) {
	defer func() {
		if a.c != nil {
			a.c.Close()
		}
	}()
	for a.pause(ctx, 200*time.Millisecond) {
		if a.c == nil {
			var err error
			if a.c, err = resource.Dial(a.cfg.Resource); err != nil {
				a.c = nil
				continue
			}
		}
		if a.turn(ctx) != nil {
			a.c.Close()
			a.c = nil
		}
	}
}

// turn gets the slot once, acts some times and gives it back.
func (a *actor) turn(ctx context.Context) error {
	if err := a.c.Note("asked", a.thing, 0, a.cfg.Box, os.Getpid()); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	t, err := a.f.Acquire(wait, lease.Request{Task: a.thing, Slots: Slots(a.thing), Priority: a.rand.IntN(2)})
	if err != nil {
		return nil
	}
	defer t.Release()
	first := true
	for range 1 + a.rand.IntN(12) {
		takes := time.Duration(5+a.rand.IntN(60)) * time.Millisecond
		var lost error
		err := t.Act(takes+callRoom, func(p fleet.Permit) error {
			if first {
				if lost = a.c.Note("granted", a.thing, p.Token, a.cfg.Box, os.Getpid()); lost != nil {
					return lost
				}
				first = false
			}
			_, lost = a.c.Act(a.thing, resource.Ticket{Token: p.Token, Version: p.Version, Lowest: p.Lowest}, a.cfg.Box, os.Getpid(), func() { time.Sleep(takes) })
			return lost
		})
		if lost != nil {
			return lost
		}
		if ask, _, _ := t.Status(); err != nil && ask.State.Final() || ask.StopRequested {
			return nil
		}
		if !a.pause(ctx, 40*time.Millisecond) {
			return nil
		}
	}
	return nil
}

// Command acts upon a thing again and again, as a command that runs under a lease: with the token in its environment, and
// without asking anybody whether it may.
func Command(addr, thing, box string, span time.Duration) error {
	var ticket resource.Ticket
	var err error
	if ticket.Token, err = strconv.ParseUint(os.Getenv("CAIRNLANE_TOKEN"), 10, 64); err != nil {
		return fmt.Errorf("CAIRNLANE_TOKEN: %w", err)
	}
	ticket.Version, _ = strconv.ParseUint(os.Getenv("CAIRNLANE_VERSION"), 10, 64) // none before the first configuration
	ticket.Lowest, _ = strconv.ParseUint(os.Getenv("CAIRNLANE_LOWEST"), 10, 64)
	c, err := resource.Dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	for end := time.Now().Add(span); time.Now().Before(end); {
		if _, err := c.Act(thing, ticket, box, os.Getpid(), func() { time.Sleep(20 * time.Millisecond) }); err != nil {
			return err
		}
	}
	return nil
}
