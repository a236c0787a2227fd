// Package daemon runs one replica: it wires the parts, takes the signals, and drains.
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
	spareSockets = 48 // descriptors kept for the links, the poller and the runtime
	memoryShare  = 0.7
	// An eighth of the memory each may hold results for repeats, what waits for the engine, and what waits for the other
	// process of a replacement, which are those results and little more.
	resultShare, engineShare, peerShare = 8, 8, 6
	exitBefore                          = 60 * time.Millisecond
	closeTime                           = 5 * time.Millisecond  // what the process holds is closed within it, or by its end
	killBefore                          = 10 * time.Millisecond // what is not quiet by then is not waited for
	drainPoll                           = 5 * time.Millisecond
	claimTime                           = 10 * time.Second // see claim
	claimPoll                           = 20 * time.Millisecond
)

// Part is what a process may have beside the replica and its plain listener: TLS, a control socket, a fleet.
//
// Parts are started in the order in which they are given, after the replica's own (door, link to the other process, link to
// the engine) and before clients are taken. At the end they leave and close in the reverse order: in a drain all leave
// when its grace is over, while what was begun is still answered; all close when nothing is open any more.
type Part interface {
	// Start begins; it is called once. An error ends the process before it has served.
	Start(ctx context.Context, server *front.Server, set *counters.Set) error
	// Leave ends what would bring new work, when the grace of a drain is over. A hand-over to another process has no grace
	// and does not call it.
	Leave()
	// Close ends what is left, at the end of the process.
	Close()
}

// Replica is what the rest of the program sees of a running one.
type Replica struct {
	Name     string
	Addr     string
	Counters *counters.Set
	process  *process
	service  *service
}

// Drain has the replica leave, as SIGTERM does.
func (r *Replica) Drain() { r.service.signals.Leave() }

// Operator is the replica as operators call it.
func (r *Replica) Operator() operator.Replica { return door{r.process} }

// Advise has requests that are read from now on decided with what the box's fleet advises; nil ends it. It waits for nobody.
func (r *Replica) Advise(a *shed.Advice) { r.process.Replica.Advise(a) }

// Pace has the box ask what all boxes depend on when its fleet says so: reports to the catalog, and tries to reconnect to its engine.
func (r *Replica) Pace(reports catalog.Pace, reconnects func(try int) time.Duration) {
	r.service.reporter.Pace(reports)
	r.service.engine.SetBackoff(reconnects)
}

// Level is what the module by itself would have callers hold back.
func (r *Replica) Level() float64 { return r.process.Replica.Level() }

// Leaving tells whether it drains.
func (r *Replica) Leaving() bool {
	s := r.process.state()
	return s == lifecycle.Leaving || s == lifecycle.HandingOver
}

// Drained tells whether an operator has drained it.
func (r *Replica) Drained() bool {
	r.process.mu.Lock()
	defer r.process.mu.Unlock()
	return r.process.life.Drained()
}

// limit fits the runtime into the limits of the program.
func limit(l settings.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
}

// service is one running process: the replica's own parts in fields, in the order in which they are made, and the parts
// that the program adds.
type service struct {
	path    string
	cfg     *settings.Replica
	parts   []Part
	started func(*Replica)

	signals              *Signals
	set                  *counters.Set
	clk                  *clock.System
	engine               *engine.Link
	index                *index.Client // nil at sites whose runs make no calls
	process              *process      // with the replica and the link to the other process
	server               *front.Server
	door                 *operator.Door // nil without an address for it
	past                 link.Past
	reporter             *catalog.Reporter
	failed               chan error // of the listener
	endEngine, endClaims func()     // end the link to the engine, and the one to the other process with the claims on keys
	reloads              *counters.Counter
	turned               *counters.Counter // configurations that were turned down
}

// Run serves until the notice to leave was carried out; the process ends then with exit code 0. started is told once
// clients are taken; it may be nil.
func Run(path string, cfg *settings.Replica, started func(*Replica), parts ...Part) error {
	limit(cfg.Limits)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := assemble(path, cfg, started, parts)
	if errors.Is(err, errLeft) {
		log.Print(err)
		os.Exit(0)
	}
	if err != nil {
		return err
	}
	if err := s.begin(ctx); err != nil {
		return err
	}
	return s.serve(ctx)
}

// assemble makes the parts; nobody is served, and nothing is started.
func assemble(path string, cfg *settings.Replica, started func(*Replica), parts []Part) (*service, error) {
	s := &service{path: path, cfg: cfg, parts: parts, started: started, signals: Catch(), set: new(counters.Set), clk: clock.NewSystem(),
		process: &process{effects: make(chan lifecycle.Effect, 8)}, past: link.Fresh, failed: make(chan error, 1)}
	s.reloads, s.turned = s.set.Get("configurations_reloaded"), s.set.Get("configurations_turned_down")
	memory := int(cfg.Limits.MemoryMB << 20)
	s.engine = engine.NewLink(cfg.Engine, s.clk.Now, s.set)
	s.engine.LimitOutput(memory / engineShare)
	p := s.process
	rc := replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, CoresGauge: cfg.OnCores,
		MaxResultBytes: memory / resultShare, Replaceable: cfg.Inherited > 0,
		CloseIdle: func(after time.Duration) { s.server.CloseIdle(after) }}
	if cfg.Index != "" {
		s.index = index.New(cfg.Index, indexReplies{p}, s.set) // replies come only after the replica's calls
		rc.Index = s.index
	}
	var err error
	p.Replica, err = replica.New(rc, s.clk, s.engine, s.set)
	if err != nil {
		return nil, err
	}
	err = s.claim(func() (err error) {
		s.server, err = listen(cfg, p, s.clk, s.set)
		return err
	})
	if err != nil {
		return nil, err
	}
	p.split = newSplit(cfg.Limits, s.server, p.Replica)
	p.split.alone()
	s.server.Waits(longest(cfg))
	s.server.CloseIdle(cfg.Policy.IdleTimeout) // routers close theirs by then; who does not holds a descriptor for nothing
	if cfg.Control != "" {
		err = s.claim(func() (err error) {
			s.door, err = operator.Listen(cfg.Control, door{p}, s.clk.Now, s.set)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if cfg.Inherited > 0 {
		if p.peer, s.past, err = link.Open(cfg.Folder); err != nil {
			return nil, err
		}
		p.peer.Bound(memory / peerShare)
	}
	s.reporter = catalog.NewReporter(cfg.Directory, cfg.Name, s.set)
	return s, nil
}

// begin starts the parts in their order.
func (s *service) begin(ctx context.Context) error {
	p := s.process
	switch s.past {
	case link.Follows:
		p.life.Waits = true
		p.FollowPredecessor()
		p.split.follow()
	case link.Died: // its saves may come again, and what it ran is not known
		log.Print("the last process here has died; saves that it may have run fail until they can no longer come again")
		p.Replica.PredecessorEnded(false)
	}
	if s.door != nil { // callers have waited in the backlog until it is known what this process is
		go s.door.Serve()
		go s.door.Sweep(ctx)
		log.Printf("operators may call at %s", s.door.Addr())
	}
	s.endEngine = keep(ctx, func(ctx context.Context) { s.engine.KeepOpen(ctx, p) })
	s.endClaims = func() {}
	if p.peer != nil {
		s.endClaims = keep(ctx, func(ctx context.Context) { p.peer.Keep(ctx, s.past, neighbour{p}) })
	}
	if s.past != link.Follows {
		p.take(lifecycle.Inherited)
	}
	go s.server.Sweep(ctx)
	for _, part := range s.parts {
		if err := part.Start(ctx, s.server, s.set); err != nil {
			return err
		}
	}
	return nil
}

// serve takes signals and what follows from the process's life, one at a time.
func (s *service) serve(ctx context.Context) error {
	reload, read := s.signals.reload, (chan reading)(nil) // one at a time; what comes meanwhile waits
	for {
		select {
		case err := <-s.failed:
			if state := s.process.state(); state != lifecycle.Leaving && state != lifecycle.HandingOver {
				return fmt.Errorf("the listener ended: %w", err)
			}
			s.failed = nil
		case effect := <-s.process.effects:
			s.carryOut(ctx, effect)
		case <-s.signals.leave:
			s.process.take(lifecycle.Term)
		case <-s.signals.report:
			s.report()
		case <-reload: // in a drain as well: its runs still end at the engine
			reload, read = nil, s.read()
		case r := <-read:
			s.reload(r.next, r.err)
			reload, read = s.signals.reload, nil
		}
	}
}

// carryOut does what an event of the process's life has asked for.
func (s *service) carryOut(ctx context.Context, effect lifecycle.Effect) {
	if effect&lifecycle.Announce != 0 {
		s.process.peer.Send(&handover.Message{Kind: handover.Ready})
	}
	if effect&lifecycle.Accept != 0 {
		go func(failed chan<- error) { failed <- s.server.Serve() }(s.failed)
		go s.reporter.Keep(ctx)
		if s.started != nil {
			s.started(&Replica{Name: s.cfg.Name, Addr: s.server.Addr(), Counters: s.set, process: s.process, service: s})
		}
		log.Printf("%s serves at %s", s.cfg.Name, s.server.Addr())
	}
	if effect&lifecycle.EndEmpty != 0 {
		go s.end(s.cfg, effect&lifecycle.DrainAll != 0)
	}
}

// end ends the process, in a drain or by a hand-over.
func (s *service) end(cfg *settings.Replica, drain bool) {
	if drain {
		s.reporter.Leave()
		s.leave(cfg)
		if s.process.peer != nil {
			s.process.peer.End()
		}
	} else {
		s.handOver(cfg)
	}
	s.report()
	for _, part := range slices.Backward(s.parts) {
		part.Close()
	}
	s.close(closeTime)
	os.Exit(0)
}

// keep has f go on until the end that it returns is called, which waits for f.
func keep(ctx context.Context, f func(context.Context)) (end func()) {
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

// close ends what others wait for, as nothing is owed any more. The end of a process that has exited was seen to take the
// kernel 1.4 s, and its successor waited for it. The claims on keys are given up when nothing can be run here any more:
// whoever takes them over runs what it does not know. What has not ended within most is left to the end of the process.
func (s *service) close(most time.Duration) {
	closed := make(chan struct{})
	go func() {
		s.endEngine()
		if s.index != nil {
			s.index.Close()
		}
		s.endClaims()
		if s.door != nil {
			s.door.Close()
		}
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(most):
	}
}

// indexReplies hands the ends of calls to the index to the replica.
type indexReplies struct{ p *process }

// Reply implements index.Replies.
func (x indexReplies) Reply(txn string, outcome policy.Outcome, took time.Duration, reply []byte) {
	x.p.Replica.CallEnded(txn, outcome, took, reply)
}

// reading is a configuration that was read anew, or why it was turned down.
type reading struct {
	next *settings.Replica
	err  error
}

// read reads the configuration anew, beside all else: however long that takes, the notice to leave is not late.
func (s *service) read() chan reading {
	cfg, done := s.cfg, make(chan reading, 1)
	go func() {
		next, err := cfg.Reload(s.path)
		done <- reading{next, err}
	}()
	return done
}

// reload moves the links to the addresses in a configuration that was read anew.
func (s *service) reload(next *settings.Replica, err error) {
	if err != nil {
		s.turned.Inc()
		log.Print("the old settings stay in force: ", err)
		return
	}
	s.reloads.Inc()
	s.cfg = next
	s.engine.Move(next.Engine)
	s.reporter.Move(next.Directory)
	if s.index != nil {
		s.index.Move(next.Index)
	}
	log.Printf("configuration read anew: engine %s, directory %s, index %s", next.Engine, next.Directory, next.Index)
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
	return Run(path, cfg, nil)
}

// listen takes the platform's listening socket, or opens one.
func listen(cfg *settings.Replica, core front.Core, clk *clock.System, set *counters.Set) (*front.Server, error) {
	plan := connections(cfg.Limits)
	if cfg.Inherited > 0 {
		return front.Inherit(cfg.Inherited, plan.Alone(), core, clk.Now, set)
	}
	return front.Listen(cfg.Listen, plan.Alone(), core, clk.Now, set)
}

// errLeft says that the notice to leave came before anything was begun.
var errLeft = errors.New("told to leave before the addresses were free")

// claim takes an address. A process that was here before may hold it for a moment longer than it seems to live: its end was
// seen to take the kernel 1.4 s. So one that is taken is waited for; a platform gives a start 30 s.
func (s *service) claim(listen func() error) error {
	said := false
	for end := s.clk.Now() + claimTime; ; time.Sleep(claimPoll) {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || s.clk.Now() >= end {
			return err
		}
		if !said {
			said = true
			log.Printf("%v: waiting for it, %v at the most", err, claimTime)
		}
		select {
		case <-s.signals.leave:
			return errLeft
		default:
		}
	}
}

// leave drains: work goes on through the grace, then routers are asked to go, and the process ends as
// soon as they have, at the latest just before it would be stopped.
func (s *service) leave(cfg *settings.Replica) {
	stopAt := s.clk.Now() + cfg.Stop
	s.process.Replica.Drain(cfg.Stop)
	time.Sleep(min(cfg.Policy.DrainGrace, cfg.Stop*3/4))
	for _, part := range slices.Backward(s.parts) {
		part.Leave()
	}
	s.server.Leave()
	s.empty(stopAt)
}

// longest is the longest deadline.
func longest(cfg *settings.Replica) (d time.Duration) {
	for _, c := range cfg.Policy.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// handOver leaves the service to the successor: nothing new is taken, routers are asked to go, and the process ends as
// soon as they have, at the latest just before it would be killed.
func (s *service) handOver(cfg *settings.Replica) {
	stopAt := s.clk.Now() + lifecycle.HandOverTime(longest(cfg))
	s.process.StopAt(stopAt)
	s.server.HandOver()
	s.empty(stopAt)
}

// empty ends the process's connections by stopAt.
func (s *service) empty(stopAt time.Duration) {
	for s.clk.Now() < stopAt-exitBefore {
		if s.server.Connections() == 0 && s.process.Unanswered() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
	for !s.server.Close() && s.clk.Now() < stopAt-killBefore {
		time.Sleep(drainPoll)
	}
}

// report prints the counters.
func (s *service) report() {
	log.Printf("counters: %v invariants_broken=%d", s.set, assert.Failures())
}
