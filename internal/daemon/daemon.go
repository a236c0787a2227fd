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
	"syscall"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/catalog"
	"cairnlane/internal/clock"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/handover"
	"cairnlane/internal/decide/lifecycle"
	"cairnlane/internal/engine"
	"cairnlane/internal/front"
	link "cairnlane/internal/handover"
	"cairnlane/internal/operator"
	"cairnlane/internal/replica"
	"cairnlane/internal/settings"
)

const (
	spareSockets = 48 // descriptors kept for the links, the poller and the runtime
	memoryShare  = 0.7
	// An eighth of the memory each may hold results for repeats, what waits for the engine, and what waits for the other
	// process of a replacement, which are those results and little more.
	resultShare, engineShare, peerShare = 8, 8, 6
	exitBefore                          = 60 * time.Millisecond
	killBefore                          = 10 * time.Millisecond // what is not quiet by then is not waited for
	drainPoll                           = 5 * time.Millisecond
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
	process  *process
}

// Drain has the replica leave, as SIGTERM does.
func (r *Replica) Drain() {
	select {
	case r.signals <- syscall.SIGTERM:
	default: // signals wait already
	}
}

// Operator is the replica as operators call it.
func (r *Replica) Operator() operator.Replica { return door{r.process} }

// Leaving tells whether it drains.
func (r *Replica) Leaving() bool {
	s := r.process.state()
	return s == lifecycle.Leaving || s == lifecycle.HandingOver
}

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
	memory := int(cfg.Limits.MemoryMB << 20)
	engineLink := engine.NewLink(cfg.Engine, clk.Now, set)
	engineLink.BoundOutput(memory / engineShare)
	p := &process{effects: make(chan lifecycle.Effect, 8)}
	var server *front.Server
	var err error
	p.Replica, err = replica.New(replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, OnCores: cfg.OnCores,
		ResultBytes: memory / resultShare, Replaceable: cfg.Inherited > 0,
		CloseIdle: func(after time.Duration) { server.CloseIdle(after) }}, clk, engineLink, set)
	if err != nil {
		return err
	}
	if server, err = listen(cfg, p, clk, set); err != nil {
		return err
	}
	p.split = newSplit(cfg.Limits, server, p.Replica)
	p.split.alone()
	server.CloseIdle(cfg.Policy.IdleMax) // routers close theirs by then; who does not holds a descriptor for nothing
	var calls *operator.Door
	if cfg.Control != "" {
		if calls, err = operator.Listen(cfg.Control, door{p}, clk.Now, set); err != nil {
			return err
		}
	}
	past := link.Fresh
	if cfg.Inherited > 0 {
		if p.peer, past, err = link.Open(cfg.Folder); err != nil {
			return err
		}
		p.peer.Bound(memory / peerShare)
	}
	switch past {
	case link.Follows:
		p.life.Waits = true
		p.Follow()
		p.split.follow()
	case link.Died: // its saves may come again, and what it ran is not known
		log.Print("the last process here has died; saves that it may have run fail until they can no longer come again")
		p.Replica.TookOver(false)
	}
	if calls != nil { // callers have waited in the backlog until it is known what this process is
		go calls.Serve()
		go calls.Sweep(ctx)
		log.Printf("operators may call at %s", calls.Addr())
	}
	go engineLink.Keep(ctx, p)
	if p.peer != nil {
		go p.peer.Keep(ctx, past, neighbour{p})
	}
	if past != link.Follows {
		p.take(lifecycle.Inherited)
	}
	go server.Sweep(ctx)
	reporter := catalog.NewReporter(cfg.Directory, cfg.Name, set)
	if extra != nil {
		if err := extra.Start(ctx, server, set); err != nil {
			return err
		}
	}
	self := &Replica{Name: cfg.Name, Addr: server.Addr(), Counters: set, signals: signals, process: p}

	reloads, badReloads := set.Get("configurations_reloaded"), set.Get("configurations_turned_down")
	failed := make(chan error, 1)
	for {
		select {
		case err := <-failed:
			if s := p.state(); s != lifecycle.Leaving && s != lifecycle.HandingOver {
				return fmt.Errorf("the listener ended: %w", err)
			}
			failed = nil
		case effect := <-p.effects:
			if effect&lifecycle.Announce != 0 {
				p.peer.Send(&handover.Message{Kind: handover.Ready})
			}
			if effect&lifecycle.Accept != 0 {
				go func() { failed <- server.Serve() }()
				go reporter.Keep(ctx)
				if started != nil {
					started(self)
				}
				log.Printf("%s serves at %s", cfg.Name, server.Addr())
			}
			if effect&lifecycle.EndEmpty != 0 {
				stopped := cfg
				go func() {
					if effect&lifecycle.DrainAll != 0 {
						reporter.Leave()
						leave(clk, p.Replica, server, extra, stopped)
						if p.peer != nil {
							p.peer.End()
						}
					} else {
						handOver(clk, p.Replica, server, stopped)
					}
					report(set)
					if extra != nil {
						extra.Close()
					}
					os.Exit(0)
				}()
			}
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
				engineLink.Move(cfg.Engine)
				reporter.Move(cfg.Directory)
				log.Printf("configuration read anew: engine %s, directory %s", cfg.Engine, cfg.Directory)
				continue
			}
			p.take(lifecycle.Term)
		}
	}
}

// Platform runs the platform's replica as its environment tells, to the end. It only returns an error.
func Platform() error {
	path := os.Getenv("RELAY_CONFIG")
	cfg, err := settings.Load(path)
	if err == nil {
		err = cfg.Environment(os.Getenv)
	}
	if err != nil {
		return err
	}
	return Run(path, cfg, nil, nil)
}

// listen takes the platform's listening socket, or opens one.
func listen(cfg *settings.Replica, core front.Core, clk *clock.System, set *counters.Set) (*front.Server, error) {
	plan := connections(cfg.Limits)
	if cfg.Inherited > 0 {
		return front.Inherit(cfg.Inherited, plan.Alone(), core, clk.Now, set)
	}
	return front.Listen(cfg.Listen, plan.Alone(), core, clk.Now, set)
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
	end(clk, rep, server, stopAt)
}

// handOver leaves the service to the successor: nothing new is taken, routers are asked to go, and the process ends as
// soon as they have, at the latest just before it would be killed.
func handOver(clk *clock.System, rep *replica.Replica, server *front.Server, cfg *settings.Replica) {
	var longest time.Duration
	for _, c := range cfg.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	stopAt := clk.Now() + lifecycle.HandOverTime(longest)
	rep.StopAt(stopAt)
	server.HandOver()
	end(clk, rep, server, stopAt)
}

// end ends the process's connections by stopAt.
func end(clk *clock.System, rep *replica.Replica, server *front.Server, stopAt time.Duration) {
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
