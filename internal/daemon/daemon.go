// Package daemon runs one replica: it creates and connects its components, handles signals, and carries out drains and
// hand-overs.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/catalog"
	"cairnlane/internal/clock"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/handover"
	"cairnlane/internal/decide/lifecycle"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/engine"
	"cairnlane/internal/front"
	link "cairnlane/internal/handover"
	"cairnlane/internal/index"
	"cairnlane/internal/operator"
	"cairnlane/internal/replica"
	"cairnlane/internal/settings"
	"cairnlane/policy"
)

const (
	reservedSockets = 48  // descriptors reserved for links and the runtime
	memoryShare     = 0.7 // part of the memory limit that the Go runtime may use
	// Parts of the memory that buffers may use, as divisors: an eighth each for results kept for retries and for
	// output that the engine has not read yet, and a sixth for messages that the other process of a replacement has
	// not read yet, which are those results and little more.
	resultDivisor, engineDivisor, peerDivisor = 8, 8, 6
	exitMargin                                = 60 * time.Millisecond // time before the stop at which open connections are closed
	closeTimeout                              = 5 * time.Millisecond  // time limit for closing resources before the process exits anyway
	killMargin                                = 10 * time.Millisecond // connections that are not quiet by then are abandoned
	drainPollInterval                         = 5 * time.Millisecond
	listenTimeout                             = 10 * time.Second // see listenWithRetry
	listenRetryInterval                       = 20 * time.Millisecond
)

// Component is an optional component beside the replica and its plain listener: TLS, a control socket, a fleet.
//
// Components are started in the given order, after the replica's own ones (admin listener, link to the other process,
// link to the engine) and before clients are accepted. At exit StopIntake and Close are called in the reverse order. In
// a drain, StopIntake is called on all components when the grace period is over, while calls in progress are still
// answered; Close is called on all when no connection is open any more.
type Component interface {
	// Start starts the component; it is called once. An error ends the process before it has served.
	Start(ctx context.Context, server *front.Server, set *counters.Set) error
	// StopIntake stops the intake of new work when the grace period of a drain is over. A hand-over to another process has
	// no grace period and does not call it.
	StopIntake()
	// Close releases what is left when the process exits.
	Close()
}

// Replica is the running replica as the rest of the program sees it.
type Replica struct {
	Name     string
	Addr     string
	Counters *counters.Set
	process  *process
	service  *service
}

// Drain makes the replica drain and exit, as SIGTERM does.
func (r *Replica) Drain() { r.service.signals.RequestExit() }

// Operator returns the replica with the calls that operators may make.
func (r *Replica) Operator() operator.Replica { return operatorReplica{r.process} }

// SetAdvice applies the fleet's advice of this box to the decisions on requests that are read from now on; nil ends
// it. It does not block.
func (r *Replica) SetAdvice(a *shed.Advice) { r.process.Replica.Advise(a) }

// SetPacing lets the fleet pace the requests of this box to services that all boxes share: reports to the catalog and
// attempts to reconnect to the engine.
func (r *Replica) SetPacing(reports catalog.Scheduler, reconnects func(attempt int) time.Duration) {
	r.service.reporter.SetScheduler(reports)
	r.service.engine.SetBackoff(reconnects)
}

// ShedLevel returns the shed level that the module would use by itself.
func (r *Replica) ShedLevel() float64 { return r.process.Replica.Level() }

// Leaving reports whether the process drains or hands over.
func (r *Replica) Leaving() bool {
	s := r.process.state()
	return s == lifecycle.Draining || s == lifecycle.HandingOver
}

// Drained reports whether an operator has drained the replica.
func (r *Replica) Drained() bool {
	r.process.mu.Lock()
	defer r.process.mu.Unlock()
	return r.process.machine.Drained()
}

// limitRuntime sets the limits of the Go runtime from the limits of the program.
func limitRuntime(l settings.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
}

// service is one running process: the replica's own components in the order in which they are created, and the
// components that the program adds.
type service struct {
	path       string
	cfg        *settings.Replica
	components []Component
	started    func(*Replica)

	signals              *Signals
	set                  *counters.Set
	clk                  *clock.System
	engine               *engine.Link
	index                *index.Client // nil at sites whose runs make no index calls
	process              *process      // the replica and the link to the other process
	server               *front.Server
	operators            *operator.Listener // nil if no address is configured
	previous             link.Previous
	reporter             *catalog.Reporter
	listenerErrors       chan error // receives the error of the listener
	stopEngine, stopPeer func()     // stop the link to the engine, and the link to the other process with the claims on keys
	reloads              *counters.Counter
	rejectedConfigs      *counters.Counter // configurations that were rejected
}

// Run serves until SIGTERM has been handled; the process then exits with code 0. started is called once clients are
// accepted; it may be nil.
func Run(path string, cfg *settings.Replica, started func(*Replica), components ...Component) error {
	limitRuntime(cfg.Limits)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newService(path, cfg, started, components)
	if errors.Is(err, errTerminated) {
		log.Print(err)
		os.Exit(0)
	}
	if err != nil {
		return err
	}
	if err := s.start(ctx); err != nil {
		return err
	}
	return s.serve(ctx)
}

// newService creates all components and starts none.
func newService(path string, cfg *settings.Replica, started func(*Replica), components []Component) (*service, error) {
	s := &service{path: path, cfg: cfg, components: components, started: started, signals: CatchSignals(), set: new(counters.Set), clk: clock.NewSystem(),
		process: &process{effects: make(chan lifecycle.Effect, 8)}, previous: link.NonePrevious, listenerErrors: make(chan error, 1)}
	s.reloads, s.rejectedConfigs = s.set.Get("configurations_reloaded"), s.set.Get("configurations_turned_down")
	memory := int(cfg.Limits.MemoryMB << 20)
	s.engine = engine.NewLink(cfg.Engine, s.clk.Now, s.set)
	s.engine.LimitOutput(memory / engineDivisor)
	p := s.process
	rc := replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, CoresGauge: cfg.CoresGauge,
		MaxResultBytes: memory / resultDivisor, Replaceable: cfg.InheritedFD > 0,
		CloseIdle: func(after time.Duration) { s.server.CloseIdle(after) }}
	if cfg.Index != "" {
		s.index = index.New(cfg.Index, indexReplies{p}, s.set) // replies arrive only after calls of the replica
		rc.Index = s.index
	}
	var err error
	p.Replica, err = replica.New(rc, s.clk, s.engine, s.set)
	if err != nil {
		return nil, err
	}
	err = s.listenWithRetry(func() (err error) {
		s.server, err = listen(cfg, p, s.clk, s.set)
		return err
	})
	if err != nil {
		return nil, err
	}
	p.split = newSplit(cfg.Limits, s.server, p.Replica)
	p.split.useAll()
	s.server.SetMaxWait(longestDeadline(cfg))
	s.server.CloseIdle(cfg.Policy.IdleTimeout) // routers close idle connections by then; any other client would occupy a descriptor for nothing
	if cfg.AdminAddr != "" {
		err = s.listenWithRetry(func() (err error) {
			s.operators, err = operator.Listen(cfg.AdminAddr, operatorReplica{p}, s.clk.Now, s.set)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if cfg.InheritedFD > 0 {
		if p.peer, s.previous, err = link.Open(cfg.SharedFolder); err != nil {
			return nil, err
		}
		p.peer.SetQueueLimit(memory / peerDivisor)
	}
	s.reporter = catalog.NewReporter(cfg.CatalogAddr, cfg.Name, s.set)
	return s, nil
}

// start starts the components in their order.
func (s *service) start(ctx context.Context) error {
	p := s.process
	switch s.previous {
	case link.Running:
		p.machine.HasPredecessor = true
		p.FollowPredecessor()
		p.split.follow()
	case link.Crashed: // its keyed requests may be repeated, and it is unknown which of them ran
		log.Print("the previous process has crashed; keyed requests that it may have run are failed until they can no longer be repeated")
		p.Replica.PredecessorEnded(false)
	}
	if s.operators != nil { // calls wait in the backlog until the role of this process is known
		go s.operators.Serve()
		go s.operators.Sweep(ctx)
		log.Printf("operators' listener is at %s", s.operators.Addr())
	}
	s.stopEngine = startBackground(ctx, func(ctx context.Context) { s.engine.KeepOpen(ctx, p) })
	s.stopPeer = func() {}
	if p.peer != nil {
		s.stopPeer = startBackground(ctx, func(ctx context.Context) { p.peer.Run(ctx, s.previous, peerEvents{p}) })
	}
	if s.previous != link.Running {
		p.handleEvent(lifecycle.StateReceived)
	}
	go s.server.Sweep(ctx)
	for _, component := range s.components {
		if err := component.Start(ctx, s.server, s.set); err != nil {
			return err
		}
	}
	return nil
}

// serve handles signals and the effects of state changes, one at a time.
func (s *service) serve(ctx context.Context) error {
	reload, read := s.signals.reload, (chan configResult)(nil) // one reload at a time; a signal during a reload waits
	for {
		select {
		case err := <-s.listenerErrors:
			if state := s.process.state(); state != lifecycle.Draining && state != lifecycle.HandingOver {
				return fmt.Errorf("listener failed: %w", err)
			}
			s.listenerErrors = nil
		case effect := <-s.process.effects:
			s.carryOut(ctx, effect)
		case <-s.signals.leave:
			s.process.handleEvent(lifecycle.ExitRequested)
		case <-s.signals.report:
			s.logCounters()
		case <-reload: // also during a drain, as runs still end at the engine
			reload, read = nil, s.readConfig()
		case r := <-read:
			s.applyConfig(r.next, r.err)
			reload, read = s.signals.reload, nil
		}
	}
}

// carryOut carries out the effects of an event.
func (s *service) carryOut(ctx context.Context, effect lifecycle.Effect) {
	if effect&lifecycle.Announce != 0 {
		s.process.peer.Send(&handover.Message{Kind: handover.Ready})
	}
	if effect&lifecycle.Accept != 0 {
		go func(errs chan<- error) { errs <- s.server.Serve() }(s.listenerErrors)
		go s.reporter.Run(ctx)
		if s.started != nil {
			s.started(&Replica{Name: s.cfg.Name, Addr: s.server.Addr(), Counters: s.set, process: s.process, service: s})
		}
		log.Printf("%s serves at %s", s.cfg.Name, s.server.Addr())
	}
	if effect&lifecycle.ExitWhenIdle != 0 {
		go s.end(s.cfg, effect&lifecycle.DrainAll != 0)
	}
}

// end drains or hands over, and exits the process.
func (s *service) end(cfg *settings.Replica, drain bool) {
	if drain {
		s.reporter.Deregister()
		s.drain(cfg)
		if s.process.peer != nil {
			s.process.peer.MarkCleanExit()
		}
	} else {
		s.handOver(cfg)
	}
	s.logCounters()
	for _, component := range slices.Backward(s.components) {
		component.Close()
	}
	s.close(closeTimeout)
	os.Exit(0)
}

// startBackground runs f in a goroutine. The returned stop function cancels its context and waits for f.
func startBackground(ctx context.Context, f func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// close releases resources that other processes wait for, once nothing is outstanding. Without it, a successor would wait
// until the kernel has cleaned up this process, which can take 1.4 s. The claims on keys are released
// after the links to the engine and the index are closed, when no run can start here any more, because the process
// that takes over the claims runs each key that it does not know. Resources that are not closed within timeout are
// left to the exit of the process.
func (s *service) close(timeout time.Duration) {
	closed := make(chan struct{})
	go func() {
		s.stopEngine()
		if s.index != nil {
			s.index.Close()
		}
		s.stopPeer()
		if s.operators != nil {
			s.operators.Close()
		}
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(timeout):
	}
}

// indexReplies passes results of index calls to the replica.
type indexReplies struct{ p *process }

// Reply implements index.Replies.
func (x indexReplies) Reply(txn string, outcome policy.Outcome, took time.Duration, reply []byte) {
	x.p.Replica.CallEnded(txn, outcome, took, reply)
}

// configResult is a reloaded configuration, or the error that rejected it.
type configResult struct {
	next *settings.Replica
	err  error
}

// readConfig reads the configuration in the background, so that a slow read does not delay the handling of SIGTERM.
func (s *service) readConfig() chan configResult {
	cfg, done := s.cfg, make(chan configResult, 1)
	go func() {
		next, err := cfg.Reload(s.path)
		done <- configResult{next, err}
	}()
	return done
}

// applyConfig moves the links to the addresses of a reloaded configuration.
func (s *service) applyConfig(next *settings.Replica, err error) {
	if err != nil {
		s.rejectedConfigs.Inc()
		log.Print("the old settings stay in force: ", err)
		return
	}
	s.reloads.Inc()
	s.cfg = next
	s.engine.Move(next.Engine)
	s.reporter.SetAddr(next.CatalogAddr)
	if s.index != nil {
		s.index.Move(next.Index)
	}
	log.Printf("configuration read anew: engine %s, directory %s, index %s", next.Engine, next.CatalogAddr, next.Index)
}

// RunFromEnvironment runs the replica as the environment variables of the platform configure it. It returns only on an error.
func RunFromEnvironment() error {
	path := os.Getenv("RELAY_CONFIG")
	cfg, err := settings.Load(path)
	if err == nil {
		err = cfg.Environment(os.Getenv)
	}
	if err != nil {
		return err
	}
	return Run(path, cfg, nil)
}

// listen inherits the platform's listening socket, or opens one.
func listen(cfg *settings.Replica, core front.Core, clk *clock.System, set *counters.Set) (*front.Server, error) {
	plan := newPlan(cfg.Limits)
	if cfg.InheritedFD > 0 {
		return front.Inherit(cfg.InheritedFD, plan.Alone(), core, clk.Now, set)
	}
	return front.Listen(cfg.Listen, plan.Alone(), core, clk.Now, set)
}

// errTerminated is returned when SIGTERM arrives before any component was started.
var errTerminated = errors.New("exit requested before the listen addresses were free")

// listenWithRetry calls listen until the address is free. A previous process may hold the address for a moment
// after it seems to have exited, as the cleanup by the kernel can take 1.4 s. The time-out stays within
// the 30 s that a platform allows for a start.
func (s *service) listenWithRetry(listen func() error) error {
	logged := false
	for end := s.clk.Now() + listenTimeout; ; time.Sleep(listenRetryInterval) {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || s.clk.Now() >= end {
			return err
		}
		if !logged {
			logged = true
			log.Printf("%v: waiting for it, at most %v", err, listenTimeout)
		}
		select {
		case <-s.signals.leave:
			return errTerminated
		default:
		}
	}
}

// drain serves through the grace period, then asks routers to disconnect, and returns as soon as they have, at the
// latest shortly before the process would be stopped.
func (s *service) drain(cfg *settings.Replica) {
	stopAt := s.clk.Now() + cfg.StopTimeout
	s.process.Replica.Drain(cfg.StopTimeout)
	time.Sleep(min(cfg.Policy.DrainGrace, cfg.StopTimeout*3/4))
	for _, component := range slices.Backward(s.components) {
		component.StopIntake()
	}
	s.server.Drain()
	s.closeConnections(stopAt)
}

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(cfg *settings.Replica) (d time.Duration) {
	for _, c := range cfg.Policy.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// handOver hands the service over to the successor: it accepts nothing new, asks routers to disconnect, and returns
// as soon as they have, at the latest shortly before the process would be killed.
func (s *service) handOver(cfg *settings.Replica) {
	stopAt := s.clk.Now() + lifecycle.HandOverTime(longestDeadline(cfg))
	s.process.StopAt(stopAt)
	s.server.HandOver()
	s.closeConnections(stopAt)
}

// closeConnections waits until all connections are closed, and closes the rest by stopAt.
func (s *service) closeConnections(stopAt time.Duration) {
	for s.clk.Now() < stopAt-exitMargin {
		if s.server.Connections() == 0 && s.process.Unanswered() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
	for !s.server.CloseQuiet() && s.clk.Now() < stopAt-killMargin {
		time.Sleep(drainPollInterval)
	}
}

// logCounters logs the counters.
func (s *service) logCounters() {
	log.Printf("counters: %v invariants_broken=%d", s.set, assert.Failures())
}
