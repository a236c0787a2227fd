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

	"cairnlane/internal/operator"
	"cairnlane/internal/standin/catalog"
	"cairnlane/internal/standin/engine"
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
	Replacements, Kills, GivenUp         int
	Requests, Killed                     int64
	Served, Refused, Failed              int64
	Lost, EndedTwice, DoubleRuns, Wrong  int64
	TurnedBack, Late                     int64
	DescriptorsMax, Limit                int
	Checks, HealthGaps                   int64
	FiguresWrong, Exits                  int64
	ReadyMost, DoorMost, HandOverMost    time.Duration
	Repeats, RepeatsServed, DrainsMissed int64
	Took                                 time.Duration
	Notes                                []string
	mu                                   sync.Mutex
}

// The bounds of the platform.
const (
	readyTime  = 6 * time.Second
	deadline   = 800 * time.Millisecond // the longest of the trial's classes
	killRest   = 700 * time.Millisecond
	answerRest = 110 * time.Millisecond // the slack of the rules on sockets
	doorTime   = time.Second
)

// world is a replica's surroundings.
type world struct {
	cfg     Config
	fig     *Figures
	rand    *rand.Rand
	ln      *net.TCPListener
	engine  *engine.Engine
	catalog *catalog.Catalog
	routers []*router.Router
	stop    atomic.Bool
	kills   atomic.Int64 // processes killed so far; a request open across one may be lost with it
	dying   atomic.Bool  // one is being killed
	killed  atomic.Int64 // when the last one had ended
	wait    sync.WaitGroup
	txns    atomic.Uint64
	bodies  sync.Map // of keyed requests
	slots   chan struct{}
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
			fmt.Fprintf(cfg.Progress, "%d replacements, %d kills, %d requests\n", w.fig.Replacements, w.fig.Kills, atomic.LoadInt64(&w.fig.Requests))
		}
	}
	return w.finish(), nil
}

// begin starts the surroundings, the first process and the load. Whoever has begun a world ends it.
func begin(cfg Config) (*world, error) {
	w := &world{cfg: cfg, fig: &Figures{Limit: cfg.Sockets}, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), slots: make(chan struct{}, 48), began: time.Now()}
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
	for i := range 4 {
		w.routers = append(w.routers, &router.Router{Addr: ln.Addr().String(), Number: i, Twice: func(seq int32) {
			atomic.AddInt64(&w.fig.EndedTwice, 1)
			w.fig.note("an answer to call %d that nobody waits for", seq)
		}})
	}
	first, err := w.start()
	if err == nil && !w.ready(first) {
		err = fmt.Errorf("the first process does not take clients: %s", first.log())
	}
	if err != nil {
		w.end()
		return nil, err
	}
	w.wait.Add(len(w.routers) + 2)
	for i := range w.routers {
		go w.load(i)
	}
	go w.health()
	go w.watch()
	return w, nil
}

// finish ends the load and returns what the trial came to.
func (w *world) finish() *Figures {
	w.stop.Store(true)
	w.wait.Wait()
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
		p.kill()
	}
	for _, r := range w.routers {
		r.Close()
	}
	w.catalog.Close()
	w.ln.Close()
}

// settle compares the last process's figures with each other and counts the runs of every keyed request.
func (w *world) settle() {
	w.bodies.Range(func(body, _ any) bool {
		if n := w.engine.Ran(body.(string)); n > 1 {
			w.fig.DoubleRuns++
			w.fig.note("%s ran %d times", body, n)
		}
		return true
	})
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

// load has one router send requests, a third of them keyed, and some of those several times over.
func (w *world) load(i int) {
	defer w.wait.Done()
	src := rand.New(rand.NewPCG(w.cfg.Seed, uint64(10+i)))
	var open sync.WaitGroup
	for !w.stop.Load() {
		q := router.Request{Class: "segment-fetch", Tenant: "riverside-uni", Limit: deadline * 3 / 4}
		tries := 1
		if src.IntN(3) == 0 {
			q.Class, q.Unique = "note-save", fmt.Sprintf("%032x", w.txns.Add(1))
			if src.IntN(2) == 0 {
				tries += 1 + src.IntN(2)
			}
		}
		q.Body = fmt.Sprintf("body %d of router %d", w.txns.Add(1), i)
		if q.Unique != "" {
			w.bodies.Store(q.Body, true)
		}
		for n := range tries {
			q.Retry = n > 0
			w.send(w.routers[(i+n*(1+src.IntN(3)))%len(w.routers)], q, &open)
			if n+1 < tries && src.IntN(2) == 0 {
				time.Sleep(time.Duration(src.IntN(40)) * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(src.ExpFloat64() * float64(8*time.Millisecond)))
	}
	open.Wait()
}

func (w *world) send(r *router.Router, q router.Request, open *sync.WaitGroup) {
	q.Txn = fmt.Sprintf("%016x", w.txns.Add(1))
	w.slots <- struct{}{}
	open.Add(1)
	atomic.AddInt64(&w.fig.Requests, 1)
	if q.Retry {
		atomic.AddInt64(&w.fig.Repeats, 1)
	}
	began, kills := time.Now(), w.kills.Load()
	var ends atomic.Int64
	r.Send(q, func(o router.Outcome) {
		if ends.Add(1) > 1 {
			atomic.AddInt64(&w.fig.EndedTwice, 1)
			return
		}
		w.judge(q, o, began, kills)
		<-w.slots
		open.Done()
	})
}

// judge counts the outcome of a try. What was open when a process was killed is counted apart.
func (w *world) judge(q router.Request, o router.Outcome, began time.Time, kills int64) {
	f := w.fig
	if o.Took > q.Limit+answerRest {
		atomic.AddInt64(&f.Late, 1)
		f.note("%s %s answered after %v", q.Class, q.Txn, o.Took)
	}
	switch o.End {
	case router.Served:
		atomic.AddInt64(&f.Served, 1)
		if q.Retry {
			atomic.AddInt64(&f.RepeatsServed, 1)
		}
		if o.Body != "did "+q.Body {
			atomic.AddInt64(&f.Wrong, 1)
			f.note("%s got %q", q.Body, o.Body)
		}
	case router.Refused:
		atomic.AddInt64(&f.Refused, 1)
	case router.Failed:
		atomic.AddInt64(&f.Failed, 1)
	default:
		if kills != w.kills.Load() || w.dying.Load() || began.UnixNano() <= w.killed.Load() {
			atomic.AddInt64(&f.Killed, 1)
		} else if o.End == router.TurnedBack {
			atomic.AddInt64(&f.TurnedBack, 1)
			f.note("%s was turned back", q.Txn)
		} else {
			atomic.AddInt64(&f.Lost, 1)
			f.note("%s %s was lost after %v", q.Class, q.Txn, o.Took)
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
			if list, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(p.cmd.Process.Pid), "fd")); err == nil {
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
		list = append(list, "served: less than half")
	}
	return list
}
