// Package actor lets a box act on a fake resource under leases during a trial. The program contains it only in trial builds.
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
	"cairnlane/internal/fake/resource"
	"cairnlane/internal/fleet"
)

// Slots returns how many boxes may act on a thing at the same time: two if its name begins with "double", otherwise one.
func Slots(thing string) int {
	if strings.HasPrefix(thing, "double") {
		return 2
	}
	return 1
}

// ComparesTokens reports whether a thing compares tokens, which it does if its name begins with "checked".
func ComparesTokens(thing string) bool { return strings.HasPrefix(thing, "checked") }

// Config configures how a box acts.
type Config struct {
	Box      string
	Resource string // address of the fake resource
	Things   []string
	Seed     uint64
}

const (
	callAllowance  = 250 * time.Millisecond // how long a call to the fake resource may take in addition to the effect itself
	acquireTimeout = 30 * time.Second
)

// Run acts on all things concurrently until ctx ends.
func Run(ctx context.Context, f *fleet.Fleet, cfg Config) {
	var wait sync.WaitGroup
	for i, thing := range cfg.Things {
		a := &actor{f: f, cfg: cfg, thing: thing, rand: rand.New(rand.NewPCG(cfg.Seed, uint64(i)))}
		wait.Go(func() { a.run(ctx) })
	}
	wait.Wait()
}

type actor struct {
	f      *fleet.Fleet
	cfg    Config
	thing  string
	rand   *rand.Rand
	client *resource.Client
}

func (a *actor) pause(ctx context.Context, maxPause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(a.rand.Int64N(int64(maxPause)))):
		return true
	}
}

func (a *actor) run(ctx context.Context) {
	defer func() {
		if a.client != nil {
			a.client.Close()
		}
	}()
	for a.pause(ctx, 200*time.Millisecond) {
		if a.client == nil {
			var err error
			if a.client, err = resource.Dial(a.cfg.Resource); err != nil {
				a.client = nil
				continue
			}
		}
		if a.holdOnce(ctx) != nil {
			a.client.Close()
			a.client = nil
		}
	}
}

// holdOnce acquires the slot, acts a random number of times and releases it. It returns an error only if the fake resource fails.
func (a *actor) holdOnce(ctx context.Context) error {
	if err := a.client.ReportNote("asked", a.thing, 0, a.cfg.Box, os.Getpid()); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	t, err := a.f.Acquire(wait, lease.Request{Task: a.thing, Slots: Slots(a.thing), Priority: a.rand.IntN(2)})
	if err != nil {
		return nil
	}
	defer t.Release()
	first := true
	for range 1 + a.rand.IntN(12) {
		duration := time.Duration(5+a.rand.IntN(60)) * time.Millisecond
		var resourceErr error
		err := t.Act(duration+callAllowance, func(p fleet.Permit) error {
			if first {
				if resourceErr = a.client.ReportNote("granted", a.thing, p.Token, a.cfg.Box, os.Getpid()); resourceErr != nil {
					return resourceErr
				}
				first = false
			}
			_, resourceErr = a.client.Act(a.thing, resource.Ticket{Token: p.Token, Version: p.Version, Lowest: p.Lowest}, a.cfg.Box, os.Getpid(), func() { time.Sleep(duration) })
			return resourceErr
		})
		if resourceErr != nil {
			return resourceErr
		}
		if status, _, _ := t.Status(); err != nil && status.State.Final() || status.StopRequested {
			return nil
		}
		if !a.pause(ctx, 40*time.Millisecond) {
			return nil
		}
	}
	return nil
}

// RunCommand acts on a thing repeatedly for a span, as a command that runs under a lease does: with the token from its environment and
// without checking a permit.
func RunCommand(addr, thing, box string, span time.Duration) error {
	var ticket resource.Ticket
	var err error
	if ticket.Token, err = strconv.ParseUint(os.Getenv("CAIRNLANE_TOKEN"), 10, 64); err != nil {
		return fmt.Errorf("invalid CAIRNLANE_TOKEN: %w", err)
	}
	ticket.Version, _ = strconv.ParseUint(os.Getenv("CAIRNLANE_VERSION"), 10, 64) // not set before the first configuration
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
