// Package replace plays replacements of real processes under load, with stand-ins for all that they talk to, and counts
// what the rules forbid: requests lost or answered twice, runs that came twice, callers turned back.
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

	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
	"cairnlane/internal/standin/catalog"
	"cairnlane/internal/standin/engine"
	"cairnlane/internal/standin/index"
	"cairnlane/internal/standin/router"
)

// Config is what a trial is played with.
type Config struct {
	Seed         uint64
	Replacements int
	Command      []string // starts a replica
	Site         string   // the settings, as in examples/config.json
	Dir          string   // for configurations and $TMPDIR
	Sockets      int      // limit on descriptors of both processes
	Progress     io.Writer
}

// Figures are what a trial came to.
type Figures struct {
	rig.Tally
	Replacements, Kills, GivenUp      int
	DescriptorsMax, Limit             int
	Checks, HealthGaps                int64
	FiguresWrong, Exits               int64
	ReadyMost, DoorMost, HandOverMost time.Duration
	Took                              time.Duration
	Notes                             []string
	mu                                sync.Mutex
}

// The bounds of the platform.
const (
	readyTime = 6 * time.Second
	deadline  = 800 * time.Millisecond // the longest of the trial's classes
	killRest  = 700 * time.Millisecond
	doorTime  = time.Second
)

// servedTooFew is the missed bound on how many requests were served.
const servedTooFew = "served: less than half"

// world is a replica's surroundings.
type world struct {
	cfg     Config
	fig     *Figures
	rand    *rand.Rand
	ln      *net.TCPListener
	engine  *engine.Engine
	catalog *catalog.Catalog
	index   *index.Index // nil where runs call none
	load    *rig.Load
	stop    atomic.Bool
	kills   atomic.Int64 // processes killed so far; a request open across one may be lost with it
	dying   atomic.Bool  // one is being killed
	killed  atomic.Int64 // when the last one had ended
	wait    sync.WaitGroup
	began   time.Time
	drained atomic.Bool // by the operator: health is to be bad
	pause   atomic.Bool // a drain begins or ends: health may be either

	mu    sync.Mutex
	alive []*process
	n     int
}

func (f *Figures) note(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Notes) < 20 {
		f.Notes = append(f.Notes, fmt.Sprintf(format, a...))
	}
}

// Run plays a trial.
func Run(cfg Config) (*Figures, error) {
	w, err := begin(cfg)
	if err != nil {
		return nil, err
	}
	defer w.end()
	for range cfg.Replacements {
		if err := w.replace(); err != nil {
			return nil, err
		}
		if cfg.Progress != nil && w.fig.Replacements%20 == 0 {
			fmt.Fprintf(cfg.Progress, "%d replacements, %d kills, %d requests\n", w.fig.Replacements, w.fig.Kills, atomic.LoadInt64(&w.load.Requests))
		}
	}
	return w.finish(), nil
}

// begin starts the surroundings, the first process and the load. Whoever has begun a world ends it.
func begin(cfg Config) (*world, error) {
	w := &world{cfg: cfg, fig: &Figures{Limit: cfg.Sockets}, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), began: time.Now()}
	work := rand.New(rand.NewPCG(cfg.Seed, 2))
	var workMu sync.Mutex
	w.engine = engine.New(func(string) time.Duration {
		workMu.Lock()
		defer workMu.Unlock()
		return time.Duration(3+work.ExpFloat64()*15) * time.Millisecond
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.ln = ln.(*net.TCPListener)
	if w.catalog, err = catalog.Start(); err != nil {
		ln.Close()
		return nil, err
	}
	traffic, err := rig.TrafficOf(cfg.Site)
	if err == nil && traffic.Calls {
		w.engine.Calls(true)
		w.index, err = index.Start(rig.CallTakes)
	}
	if err != nil {
		w.end()
		return nil, err
	}
	w.load = &rig.Load{Seed: cfg.Seed, Traffic: traffic, Limit: deadline * 3 / 4, Pause: 8 * time.Millisecond, Spread: true, Engines: func() []*engine.Engine { return []*engine.Engine{w.engine} },
		Excused: func(_ int, began time.Time) bool { return w.dying.Load() || began.UnixNano() <= w.killed.Load() }}
	for range 4 {
		w.load.Routers = append(w.load.Routers, &router.Router{Addr: ln.Addr().String()})
	}
	first, err := w.start()
	if err == nil && !w.ready(first) {
		err = fmt.Errorf("the first process does not take clients: %s", first.Log())
	}
	if err != nil {
		w.end()
		return nil, err
	}
	w.load.Begin()
	w.wait.Add(2)
	go w.health()
	go w.watch()
	return w, nil
}

// finish ends the load and returns what the trial came to.
func (w *world) finish() *Figures {
	w.stop.Store(true)
	w.wait.Wait()
	w.load.End()
	w.fig.Tally = w.load.Tally
	_, _, wrong := w.engine.Fed()
	w.fig.Wrong += int64(wrong)
	w.fig.Notes = append(w.fig.Notes, w.load.Notes()...)
	w.settle()
	w.fig.Took = time.Since(w.began)
	return w.fig
}

// end kills what is left and closes the routers.
func (w *world) end() {
	w.stop.Store(true)
	w.mu.Lock()
	left := w.alive
	w.mu.Unlock()
	for _, p := range left {
		p.Kill()
	}
	w.catalog.Close()
	if w.index != nil {
		w.index.Close()
	}
	w.ln.Close()
}

// settle compares the last process's figures with each other.
func (w *world) settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.alive {
		v, err := operator.Ask(p.door, "vars", doorTime)
		if err != nil || !strings.Contains(v, "edge_relay_in_progress 0\n") {
			w.fig.FiguresWrong++
			w.fig.note("figures at rest: %v %q", err, v)
		}
	}
}

// health asks as the platform does. Nothing in a replacement may make the replica leave the list.
func (w *world) health() {
	defer w.wait.Done()
	for !w.stop.Load() {
		if w.pause.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		kills, drained := w.kills.Load(), w.drained.Load()
		good, err := router.Check(w.ln.Addr().String(), time.Second)
		if kills == w.kills.Load() && drained == w.drained.Load() && !w.pause.Load() {
			atomic.AddInt64(&w.fig.Checks, 1)
			if err != nil || good == drained {
				atomic.AddInt64(&w.fig.HealthGaps, 1)
				w.fig.note("health: good %v in a drain %v, %v", good, drained, err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watch counts the descriptors of all processes together.
func (w *world) watch() {
	defer w.wait.Done()
	for !w.stop.Load() {
		w.mu.Lock()
		n := 0
		for _, p := range w.alive {
			if list, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(p.Pid()), "fd")); err == nil {
				n += len(list)
			}
		}
		w.fig.DescriptorsMax = max(w.fig.DescriptorsMax, n)
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// String is the line of figures.
func (f *Figures) String() string {
	return fmt.Sprintf("figures: replacements=%d kills=%d given_up=%d requests=%d served=%d refused=%d failed=%d killed=%d lost=%d ended_twice=%d double_runs=%d wrong=%d late=%d turned_back=%d repeats=%d repeats_served=%d descriptors_max=%d limit=%d health_checks=%d health_gaps=%d figures_wrong=%d bad_exits=%d ready_ms=%d door_ms=%d handover_ms=%d seconds=%.1f",
		f.Replacements, f.Kills, f.GivenUp, f.Requests, f.Served, f.Refused, f.Failed, f.Killed, f.Lost, f.EndedTwice, f.DoubleRuns, f.Wrong, f.Late, f.TurnedBack,
		f.Repeats, f.RepeatsServed, f.DescriptorsMax, f.Limit, f.Checks, f.HealthGaps, f.FiguresWrong, f.Exits,
		f.ReadyMost.Milliseconds(), f.DoorMost.Milliseconds(), f.HandOverMost.Milliseconds(), f.Took.Seconds())
}

// Missed lists the bounds that were missed.
func (f *Figures) Missed() (list []string) {
	for name, n := range map[string]int64{"lost": f.Lost, "ended twice": f.EndedTwice, "double runs": f.DoubleRuns, "wrong results": f.Wrong,
		"late": f.Late, "turned back": max(0, f.TurnedBack-int64(2*f.Replacements)), "health gaps": f.HealthGaps, "figures wrong": f.FiguresWrong, "bad exits": f.Exits} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", name, n))
		}
	}
	if f.DescriptorsMax > f.Limit {
		list = append(list, fmt.Sprintf("descriptors: %d of %d", f.DescriptorsMax, f.Limit))
	}
	if f.DoorMost > doorTime || f.ReadyMost > readyTime {
		list = append(list, "the door answers late")
	}
	if f.Served < f.Requests/2 {
		list = append(list, servedTooFew)
	}
	return list
}
