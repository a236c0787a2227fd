// Package replace runs replacements of real processes under load, with fakes of all services that they use,
// and counts violations: lost requests, requests answered twice, double runs, and rejected callers.
package replace

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/fake/catalog"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/index"
	"cairnlane/internal/fake/router"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
)

// Config holds the settings of a trial.
type Config struct {
	Seed         uint64
	Replacements int
	Command      []string // command that starts a replica
	Site         string   // path of the settings, as in examples/config.json
	Dir          string   // folder for configurations and $TMPDIR
	Sockets      int      // limit on descriptors of both processes together
	Progress     io.Writer
}

// Results are the results of a trial.
type Results struct {
	rig.Tally
	Replacements, Kills, Abandoned                 int
	DescriptorsMax, Limit                          int
	Checks, HealthGaps                             int64
	FiguresWrong, Exits                            int64
	MaxReadyTime, MaxOperatorTime, MaxHandOverTime time.Duration
	Duration                                       time.Duration
	Notes                                          []string
	mu                                             sync.Mutex
}

// The limits of the platform.
const (
	readyTimeout    = 6 * time.Second
	deadline        = 800 * time.Millisecond // the longest deadline of the trial's classes
	killMargin      = 700 * time.Millisecond
	operatorTimeout = time.Second
)

// servedTooFew is reported when fewer than half of the requests were served.
const servedTooFew = "served: less than half"

// trial holds one trial with the services that a replica uses.
type trial struct {
	cfg         Config
	results     *Results
	rand        *rand.Rand
	ln          *net.TCPListener
	engine      *engine.Engine
	catalog     *catalog.Catalog
	index       *index.Index // nil if runs make no index calls
	load        *rig.Load
	stop        atomic.Bool
	kills       atomic.Int64 // processes killed so far; a request that is open during a kill may be lost
	killing     atomic.Bool  // a process is being killed
	lastKill    atomic.Int64 // when the last killed process had ended
	background  sync.WaitGroup
	startedAt   time.Time
	drained     atomic.Bool // drained by the operator: health checks must be negative
	pauseHealth atomic.Bool // a drain begins or ends: either health is allowed

	mu      sync.Mutex
	alive   []*process
	started int // processes started so far; numbers the configuration files
}

func (f *Results) note(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Notes) < 20 {
		f.Notes = append(f.Notes, fmt.Sprintf(format, a...))
	}
}

// Run runs a trial.
func Run(cfg Config) (*Results, error) {
	tr, err := newTrial(cfg)
	if err != nil {
		return nil, err
	}
	defer tr.close()
	for range cfg.Replacements {
		if err := tr.replace(); err != nil {
			return nil, err
		}
		if cfg.Progress != nil && tr.results.Replacements%20 == 0 {
			fmt.Fprintf(cfg.Progress, "%d replacements, %d kills, %d requests\n", tr.results.Replacements, tr.results.Kills, atomic.LoadInt64(&tr.load.Requests))
		}
	}
	return tr.finish(), nil
}

// newTrial starts the fakes, the first process and the load. The caller must close the trial.
func newTrial(cfg Config) (*trial, error) {
	tr := &trial{cfg: cfg, results: &Results{Limit: cfg.Sockets}, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), startedAt: time.Now()}
	work := rand.New(rand.NewPCG(cfg.Seed, 2))
	var workMu sync.Mutex
	tr.engine = engine.New(func(string) time.Duration {
		workMu.Lock()
		defer workMu.Unlock()
		return time.Duration(3+work.ExpFloat64()*15) * time.Millisecond
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tr.ln = ln.(*net.TCPListener)
	if tr.catalog, err = catalog.Start(); err != nil {
		ln.Close()
		return nil, err
	}
	traffic, err := rig.ReadTraffic(cfg.Site)
	if err == nil && traffic.Calls {
		tr.engine.SetIndexCalls(true)
		tr.index, err = index.Start(rig.IndexCallTime)
	}
	if err != nil {
		tr.close()
		return nil, err
	}
	tr.load = &rig.Load{Seed: cfg.Seed, Traffic: traffic, Timeout: deadline * 3 / 4, MeanInterval: 8 * time.Millisecond, RetryOnOtherRouters: true, Engines: func() []*engine.Engine { return []*engine.Engine{tr.engine} },
		Excused: func(_ int, began time.Time) bool { return tr.killing.Load() || began.UnixNano() <= tr.lastKill.Load() }}
	for range 4 {
		tr.load.Routers = append(tr.load.Routers, &router.Router{Addr: ln.Addr().String()})
	}
	first, err := tr.startProcess()
	if err == nil && !tr.waitReady(first) {
		err = fmt.Errorf("the first process does not accept clients: %s", first.Output())
	}
	if err != nil {
		tr.close()
		return nil, err
	}
	tr.load.Start()
	tr.background.Add(2)
	go tr.pollHealth()
	go tr.watchDescriptors()
	return tr, nil
}

// finish stops the load and returns the results of the trial.
func (tr *trial) finish() *Results {
	tr.stop.Store(true)
	tr.background.Wait()
	tr.load.Stop()
	tr.results.Tally = tr.load.Tally
	_, _, wrong := tr.engine.CallCounts()
	tr.results.Wrong += int64(wrong)
	tr.results.Notes = append(tr.results.Notes, tr.load.Notes()...)
	tr.checkGauges()
	tr.results.Duration = time.Since(tr.startedAt)
	return tr.results
}

// close kills the remaining processes and closes the fakes.
func (tr *trial) close() {
	tr.stop.Store(true)
	tr.mu.Lock()
	remaining := tr.alive
	tr.mu.Unlock()
	for _, p := range remaining {
		p.Kill()
	}
	tr.catalog.Close()
	if tr.index != nil {
		tr.index.Close()
	}
	tr.ln.Close()
}

// checkGauges checks that each remaining process reports no request in progress.
func (tr *trial) checkGauges() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, p := range tr.alive {
		v, err := operator.Call(p.controlAddr, "vars", operatorTimeout)
		if err != nil || !strings.Contains(v, "edge_relay_in_progress 0\n") {
			tr.results.FiguresWrong++
			tr.results.note("figures at rest: %v %q", err, v)
		}
	}
}

// pollHealth checks the health as the platform does. No replacement may make the replica appear unhealthy.
func (tr *trial) pollHealth() {
	defer tr.background.Done()
	for !tr.stop.Load() {
		if tr.pauseHealth.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		kills, drained := tr.kills.Load(), tr.drained.Load()
		healthy, err := router.CheckHealth(tr.ln.Addr().String(), time.Second)
		if kills == tr.kills.Load() && drained == tr.drained.Load() && !tr.pauseHealth.Load() {
			atomic.AddInt64(&tr.results.Checks, 1)
			if err != nil || healthy == drained {
				atomic.AddInt64(&tr.results.HealthGaps, 1)
				tr.results.note("health check: healthy %v, drained %v, error %v", healthy, drained, err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watchDescriptors counts the descriptors of all processes together.
func (tr *trial) watchDescriptors() {
	defer tr.background.Done()
	for !tr.stop.Load() {
		tr.mu.Lock()
		n := 0
		for _, p := range tr.alive {
			if list, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(p.Pid()), "fd")); err == nil {
				n += len(list)
			}
		}
		tr.results.DescriptorsMax = max(tr.results.DescriptorsMax, n)
		tr.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// String returns the results as one line.
func (f *Results) String() string {
	return fmt.Sprintf("figures: replacements=%d kills=%d given_up=%d requests=%d served=%d refused=%d failed=%d killed=%d lost=%d ended_twice=%d double_runs=%d wrong=%d late=%d turned_back=%d repeats=%d repeats_served=%d descriptors_max=%d limit=%d health_checks=%d health_gaps=%d figures_wrong=%d bad_exits=%d ready_ms=%d door_ms=%d handover_ms=%d seconds=%.1f",
		f.Replacements, f.Kills, f.Abandoned, f.Requests, f.Served, f.Rejected, f.Failed, f.Killed, f.Lost, f.EndedTwice, f.DoubleRuns, f.Wrong, f.Late, f.ConnectionRefused,
		f.Retries, f.RetriesServed, f.DescriptorsMax, f.Limit, f.Checks, f.HealthGaps, f.FiguresWrong, f.Exits,
		f.MaxReadyTime.Milliseconds(), f.MaxOperatorTime.Milliseconds(), f.MaxHandOverTime.Milliseconds(), f.Duration.Seconds())
}

// FailedBounds returns the bounds that were not met.
func (f *Results) FailedBounds() (list []string) {
	for name, n := range map[string]int64{"lost": f.Lost, "ended twice": f.EndedTwice, "double runs": f.DoubleRuns, "wrong results": f.Wrong,
		"late": f.Late, "turned back": max(0, f.ConnectionRefused-int64(2*f.Replacements)), "health gaps": f.HealthGaps, "figures wrong": f.FiguresWrong, "bad exits": f.Exits} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", name, n))
		}
	}
	if f.DescriptorsMax > f.Limit {
		list = append(list, fmt.Sprintf("descriptors: %d of %d", f.DescriptorsMax, f.Limit))
	}
	if f.MaxOperatorTime > operatorTimeout || f.MaxReadyTime > readyTimeout {
		list = append(list, "an operator call or a start took too long")
	}
	if f.Served < f.Requests/2 {
		list = append(list, servedTooFew)
	}
	return list
}
