// Package misuse plays clients that misbehave against a real process with little memory: clients that write at full speed, slowly or by
// halves, that leave, or that come again under the same id. Beside them usual routers send requests. It measures the memory of the process
// from outside, how the usual requests end, and what the engine ran for clients that had left.
package misuse

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairnlane/internal/fake/catalog"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/index"
	"cairnlane/internal/fake/router"
	"cairnlane/internal/lab/rig"
)

// Config holds the settings of a trial.
type Config struct {
	Seed      uint64
	Command   []string // starts a replica
	Site      string   // path of the settings, as in examples/config.json
	MemoryMB  int      // memory_mb of the process
	Crowd     int      // clients of a crowd
	Span      time.Duration
	Scenarios []string // names of the scenarios to play; empty: all
}

// scenario is a kind of misuse.
type scenario struct {
	name    string
	clients int
	crowd   bool // as many clients as Config.Crowd
	keyed   bool // the clients send keyed requests
	play    func(*client)
	// processes is the number of processes that share one listening socket, as in a replacement; 0 stands for one process with a
	// socket of its own.
	processes int
}

var scenarios = []scenario{
	{name: "unsound", clients: 1, play: (*client).unsound},
	{name: "new names", clients: 1, play: (*client).newNames},
	{name: "new keys", clients: 1, keyed: true, play: (*client).newNames},
	{name: "withdrawn", clients: 1, play: (*client).withdrawn},
	{name: "withdrawn keys", clients: 1, keyed: true, play: (*client).withdrawn},
	{name: "many fields", clients: 1, play: (*client).manyFields},
	{name: "slow", crowd: true, play: (*client).writeSlowly},
	{name: "half a request", crowd: true, play: (*client).stopHalfWay},
	{name: "many fields crowd", crowd: true, play: (*client).manyFields},
	{name: "unsound crowd", crowd: true, play: (*client).unsound},
	{name: "new names crowd", crowd: true, play: (*client).newNames},
	{name: "new keys crowd", crowd: true, keyed: true, play: (*client).newNames},
	{name: "leaving", clients: 2, play: (*client).leave},
	{name: "leaving keyed", clients: 2, keyed: true, play: (*client).leave},
	{name: "leaving keyed shared", clients: 2, keyed: true, play: (*client).leave, processes: 1},
	{name: "coming again", clients: 4, play: (*client).comeAgain},
	{name: "coming again keyed", clients: 4, keyed: true, play: (*client).comeAgain},
	{name: "coming again upgrade", clients: 4, keyed: true, play: (*client).comeAgain, processes: 2},
	{name: "new keys upgrade", clients: 1, keyed: true, play: (*client).newNames, processes: 2},
}

// reportSignal makes a process print its counters.
const reportSignal = syscall.SIGUSR1

// Times of a trial.
const (
	readyTimeout   = 10 * time.Second
	sampleInterval = 10 * time.Millisecond
	usualTimeout   = 2500 * time.Millisecond
	usualInterval  = 40 * time.Millisecond // mean time between two requests of a usual router
	runTime        = 20 * time.Millisecond
	leaveSlack     = 250 * time.Millisecond // a run that starts later was written to the engine after its client had left
)

// Bounds. Of the requests of the usual routers, at most 3 in 1,000 may go without an answer in their time.
const (
	sockets       = 1024
	usualRouters  = 4
	lostPerMille  = 3
	bytesPerMB    = 1 << 20
	bytesPerKB    = 1 << 10
	settledPeriod = 500 * time.Millisecond
)

// ErrUnknownScenario is returned for a scenario that does not exist.
var ErrUnknownScenario = errors.New("misuse: unknown scenario")

// Run plays the scenarios one after the other, each against a new process, and prints each result to progress.
func Run(cfg Config, progress io.Writer) (results []*Result, err error) {
	chosen := map[string]bool{}
	for _, name := range cfg.Scenarios {
		chosen[name] = true
	}
	for _, p := range scenarios {
		if len(cfg.Scenarios) > 0 && !chosen[p.name] {
			continue
		}
		delete(chosen, p.name)
		r, err := play(cfg, p)
		if err != nil {
			return results, fmt.Errorf("%s: %w", p.name, err)
		}
		fmt.Fprintln(progress, r)
		results = append(results, r)
	}
	for name := range chosen {
		return results, fmt.Errorf("%w: %s", ErrUnknownScenario, name)
	}
	return results, nil
}

// trial is one scenario that is being played.
type trial struct {
	cfg       Config
	dir       string
	traffic   rig.Traffic
	engine    *engine.Engine
	addresses []*engine.Address
	catalog   *catalog.Catalog
	index     *index.Index // nil if runs make no index calls
	listen    string
	shared    *net.TCPListener // nil if the process has a socket of its own
	processes []*rig.Process
	result    *Result
}

func play(cfg Config, p scenario) (*Result, error) {
	tr := &trial{cfg: cfg, result: &Result{Scenario: p.name, LimitKB: cfg.MemoryMB * bytesPerKB}}
	defer tr.close()
	if err := tr.start(p.processes); err != nil {
		return nil, err
	}
	time.Sleep(settledPeriod)
	tr.result.IdleKB = tr.memoryKB()
	load := tr.startUsualLoad()
	sent := &sentBodies{left: map[string]time.Time{}}
	var stop atomic.Bool
	var written atomic.Int64
	var clients sync.WaitGroup
	count := p.clients
	if p.crowd {
		count = cfg.Crowd
	}
	for i := range count {
		c := &client{addr: tr.listen, request: tr.completeRequest(p.keyed, cfg.Seed, uint64(i)), random: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), stop: &stop, written: &written, sent: sent}
		clients.Go(func() { p.play(c) })
	}
	for end := time.Now().Add(cfg.Span); time.Now().Before(end); time.Sleep(sampleInterval) {
		tr.result.MostKB = max(tr.result.MostKB, tr.memoryKB())
		if tr.result.Ended = tr.anyEnded(); tr.result.Ended {
			break
		}
		if tr.result.MostKB > 8*tr.result.LimitKB { // the platform would have killed it long before
			break
		}
	}
	stop.Store(true)
	load.Stop()
	clients.Wait()
	tr.result.Written, tr.result.Usual = written.Load(), load.Tally
	if notes := load.Notes(); len(notes) > 0 {
		tr.result.Notes = " first note: " + notes[0]
	}
	time.Sleep(settledPeriod)
	tr.countRuns(sent, p.keyed)
	tr.readCounters()
	return tr.result, nil
}

// completeRequest returns a function that sets the class, the tenant and the names of a request.
func (tr *trial) completeRequest(keyed bool, seed, stream uint64) func(*message) {
	random := rand.New(rand.NewPCG(seed, 1000+stream))
	return func(m *message) {
		m.fields["team"], m.fields["verb"] = tr.traffic.Tenant, tr.traffic.Safe
		if keyed || tr.traffic.Safe == "" {
			m.fields["verb"] = tr.traffic.Keyed[0].Name
			m.fields["unique"] = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
		}
	}
}

// startUsualLoad starts the usual routers.
func (tr *trial) startUsualLoad() *rig.Load {
	load := &rig.Load{Seed: tr.cfg.Seed, Traffic: tr.traffic, Timeout: usualTimeout, MeanInterval: usualInterval,
		Excused: func(int, time.Time) bool { return false }, Engines: func() []*engine.Engine { return []*engine.Engine{tr.engine} }}
	for range usualRouters {
		load.Routers = append(load.Routers, &router.Router{Addr: tr.listen})
	}
	load.Start()
	return load
}

// countRuns counts the runs of clients that had left.
func (tr *trial) countRuns(sent *sentBodies, keyed bool) {
	sent.mu.Lock()
	defer sent.mu.Unlock()
	for body, left := range sent.left {
		runs := tr.engine.Runs(body)
		if keyed && len(runs) > 1 {
			tr.result.DoubleRuns++
		}
		for _, run := range runs {
			if !left.IsZero() && run.At.After(left.Add(leaveSlack)) {
				tr.result.RunsAfterLeave++
			}
		}
	}
}
