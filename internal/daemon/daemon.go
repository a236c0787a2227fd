// Package daemon runs one replica: it wires the parts, takes the signals, and drains.
package daemon

import (
	"context"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/catalog"
	"cairnlane/internal/clock"
	"cairnlane/internal/counters"
	"cairnlane/internal/engine"
	"cairnlane/internal/front"
	"cairnlane/internal/replica"
	"cairnlane/internal/settings"
)

const (
	spareSockets = 48 // descriptors kept for the links, the poller and the runtime
	memoryShare  = 0.7
	resultShare  = 8 // an eighth of the memory may hold results for repeats
	exitBefore   = 60 * time.Millisecond
	killBefore   = 10 * time.Millisecond // what is not quiet by then is not waited for
	drainPoll    = 5 * time.Millisecond
)

// Front is what a replica may have beside its plain listener.
type Front interface {
	// Start begins to serve on the same server; it is called once, before requests come.
	Start(ctx context.Context, server *front.Server, set *counters.Set) error
	// Leave stops the listening, when the grace of a drain is over.
	Leave()
	// Close ends what is left, at the end of the process.
	Close()
}

// Replica is what the rest of the program sees of a running one.
type Replica struct {
	Name     string
	Addr     string
	Counters *counters.Set
	signals  chan os.Signal
	leaving  atomic.Bool
}

// Drain has the replica leave, as SIGTERM does.
func (r *Replica) Drain() {
	select {
	case r.signals <- syscall.SIGTERM:
	default: // signals wait already
	}
}

// Leaving tells whether it drains.
func (r *Replica) Leaving() bool { return r.leaving.Load() }

// limit fits the runtime into the limits of the program.
func limit(l settings.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
}

// Run serves until the notice to leave was carried out; the process ends then with exit code 0. started is told once
// clients are taken. extra and started may be nil.
func Run(path string, cfg *settings.Replica, extra Front, started func(*Replica)) error {
	limit(cfg.Limits)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to die
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)

	set := new(counters.Set)
	clk := clock.NewSystem()
	link := engine.NewLink(cfg.Engine, clk.Now, set)
	var server *front.Server
	rep, err := replica.New(replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, OnCores: cfg.OnCores,
		ResultBytes: int(cfg.Limits.MemoryMB << 20 / resultShare),
		CloseIdle:   func(after time.Duration) { server.CloseIdle(after) }}, clk, link, set)
	if err != nil {
		return err
	}
	server, err = front.Listen(cfg.Listen, max(cfg.Limits.Sockets-spareSockets, 1), rep, clk.Now, set)
	if err != nil {
		return err
	}
	server.CloseIdle(cfg.Policy.IdleMax) // routers close theirs by then; who does not holds a descriptor for nothing
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	go server.Sweep(ctx)
	go link.Keep(ctx, rep)
	reporter := catalog.NewReporter(cfg.Directory, cfg.Name, set)
	go reporter.Keep(ctx)
	if extra != nil {
		if err := extra.Start(ctx, server, set); err != nil {
			return err
		}
	}
	self := &Replica{Name: cfg.Name, Addr: server.Addr(), Counters: set, signals: signals}
	if started != nil {
		started(self)
	}
	log.Printf("%s serves at %s", cfg.Name, server.Addr())

	reloads, badReloads := set.Get("configurations_reloaded"), set.Get("configurations_turned_down")
	leaving := false
	for {
		select {
		case err := <-failed:
			if !leaving {
				return fmt.Errorf("the listener ended: %w", err)
			}
			failed = nil
		case sig := <-signals:
			if sig == syscall.SIGUSR1 {
				report(set)
				continue
			}
			if sig == syscall.SIGHUP { // in a drain as well: its runs still end at the engine
				next, err := cfg.Reload(path)
				if err != nil {
					badReloads.Inc()
					log.Print("the old settings stay in force: ", err)
					continue
				}
				reloads.Inc()
				cfg = next
				link.Move(cfg.Engine)
				reporter.Move(cfg.Directory)
				log.Printf("configuration read anew: engine %s, directory %s", cfg.Engine, cfg.Directory)
				continue
			}
			if leaving {
				continue
			}
			leaving = true
			self.leaving.Store(true)
			stopped := cfg
			go func() {
				reporter.Leave()
				leave(clk, rep, server, extra, stopped)
				report(set)
				if extra != nil {
					extra.Close()
				}
				os.Exit(0)
			}()
		}
	}
}

// leave drains: work goes on through the grace, then routers are asked to go, and the process ends as
// soon as they have, at the latest just before it would be stopped.
func leave(clk *clock.System, rep *replica.Replica, server *front.Server, extra Front, cfg *settings.Replica) {
	stopAt := clk.Now() + cfg.Stop
	rep.Drain(cfg.Stop)
	time.Sleep(min(cfg.Policy.DrainGrace, cfg.Stop*3/4))
	if extra != nil {
		extra.Leave()
	}
	server.Leave()
	for clk.Now() < stopAt-exitBefore {
		if server.Connections() == 0 && rep.Owed() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
	for !server.Close() && clk.Now() < stopAt-killBefore {
		time.Sleep(drainPoll)
	}
}

// report prints the counters.
func report(set *counters.Set) {
	log.Printf("counters: %v invariants_broken=%d", set, assert.Failures())
}
