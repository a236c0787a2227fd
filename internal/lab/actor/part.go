package actor

import (
	"context"
	"os"
	"strconv"
	"strings"

	"cairnlane/internal/counters"
	"cairnlane/internal/fleet"
	"cairnlane/internal/front"
)

// Environment variables that make a box act in a trial.
const (
	EnvResource = "CAIRNLANE_TRIAL_RESOURCE"
	EnvThings   = "CAIRNLANE_TRIAL_THINGS"
	EnvSeed     = "CAIRNLANE_TRIAL_SEED"
)

// Part runs the actor of a box as its environment variables say. It implements daemon.Part and is started after the fleet.
type Part struct {
	Box   string
	Fleet func() *fleet.Fleet
	stop  context.CancelFunc
	ended chan struct{}
}

// Start implements daemon.Part.
func (p *Part) Start(ctx context.Context, _ *front.Server, _ *counters.Set) error {
	p.ended = make(chan struct{})
	ctx, p.stop = context.WithCancel(ctx)
	at := os.Getenv(EnvResource)
	if at == "" {
		close(p.ended)
		return nil
	}
	seed, _ := strconv.ParseUint(os.Getenv(EnvSeed), 10, 64)
	go func() {
		defer close(p.ended)
		Run(ctx, p.Fleet(), Config{Box: p.Box, Resource: at, Things: strings.Split(os.Getenv(EnvThings), ","), Seed: seed})
	}()
	return nil
}

// StopIntake implements daemon.Part.
func (p *Part) StopIntake() {}

// Close implements daemon.Part.
func (p *Part) Close() {
	p.stop()
	<-p.ended
}
