package overloads

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/router"
	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/rig"
)

// CostConfig holds the parameters for measuring the cost of a request.
type CostConfig struct {
	Rounds, Requests int // requests per round and variant
	ConfigFile, Dir  string
	Serve            func(config string) *exec.Cmd
	Progress         io.Writer
}

// variant is a fleet of two boxes with one of the features to compare. One of the boxes gets the requests.
type variant struct {
	name        string
	extra       string // addition to the configuration
	rules       bool   // with overload rules, so that the fleet advises its boxes
	site        *rig.Site
	connections []*router.Router
	cpuMicros   []float64 // processor time of a request in microseconds, by round
	class       string
	tenant      string
}

// MeasureCost measures the processor time of a request over sockets, from router to engine and back: without fleet advice, with it, and with the flight
// recorder. The variants run in turn, in an order that is drawn anew each round.
func MeasureCost(cfg CostConfig) (CostFigures, error) {
	traffic, err := rig.ReadTraffic(cfg.ConfigFile)
	if err != nil {
		return CostFigures{}, err
	}
	variants := []*variant{{name: "off"}, {name: "advised", rules: true}, {name: "recorder", extra: "recorder = true"}}
	for _, v := range variants {
		v.class, v.tenant = traffic.Safe, traffic.Tenant
		if err := v.start(cfg); err != nil {
			return CostFigures{}, fmt.Errorf("%s: %w", v.name, err)
		}
		defer v.site.Close()
	}
	rng := rand.New(rand.NewPCG(1, 3))
	for round := range cfg.Rounds + 1 {
		for _, i := range rng.Perm(len(variants)) {
			micros, err := variants[i].round(cfg.Requests)
			if err != nil {
				return CostFigures{}, fmt.Errorf("%s: %w", variants[i].name, err)
			}
			if round > 0 { // the first round is a warm-up
				variants[i].cpuMicros = append(variants[i].cpuMicros, micros)
			}
		}
		if cfg.Progress != nil && round > 0 {
			fmt.Fprintf(cfg.Progress, "round %d: off %.1f us, advised %.1f, recorder %.1f\n", round, variants[0].cpuMicros[round-1], variants[1].cpuMicros[round-1], variants[2].cpuMicros[round-1])
		}
	}
	f := CostFigures{Rounds: cfg.Rounds, Requests: cfg.Rounds * cfg.Requests}
	f.BaselineMicros, _ = model.Interval(variants[0].cpuMicros)
	f.Advised, f.AdvisedHalf = relativeIncrease(variants[1].cpuMicros, variants[0].cpuMicros)
	f.Recorder, f.RecorderHalf = relativeIncrease(variants[2].cpuMicros, variants[0].cpuMicros)
	return f, nil
}

// relativeIncrease returns by which fraction a is above b: the mean over pairs and the half-width of its 95% interval.
func relativeIncrease(a, b []float64) (mean, half float64) {
	var list []float64
	for i := range a {
		list = append(list, a[i]/b[i]-1)
	}
	return model.Interval(list)
}

// start starts the fleet and, for a variant with rules, waits until the fleet advice is in effect.
func (v *variant) start(cfg CostConfig) (err error) {
	v.site, err = rig.NewSite(rig.SiteConfig{Seed: 1, Dir: fleetDir(cfg.Dir, v.name), Boxes: 2, Voters: []int{0}, Terms: terms, Election: 400 * time.Millisecond, SettingsFile: cfg.ConfigFile, Command: cfg.Serve, ExtraConfig: v.extra,
		Engine: func(int) *engine.Engine {
			return engine.NewWithExecutor(func(_, _ string, done func(time.Duration)) { go done(time.Millisecond) }, nil)
		}})
	if err != nil {
		return err
	}
	if err := v.site.Start(); err != nil {
		return err
	}
	for range 4 {
		v.connections = append(v.connections, &router.Router{Addr: v.site.Boxes[0].RequestAddr(), OnUnexpectedReply: func(int32) {}})
	}
	if !v.rules {
		return nil
	}
	c := v.site.Boxes[0].Control().Fleet()
	n, err := c.PutConfig(fmt.Appendf(nil, "needs = 2\noverload {\n shares = { %q = 0.5 }\n}\n", v.tenant))
	if err == nil {
		err = c.StartRollout(n, rollout.Plan{Canaries: 1, Share: 1, Timeout: 12 * time.Second, Slots: 2})
	}
	if err == nil {
		_, err = v.round(2000) // gives the fleet a measured capacity
	}
	for end := time.Now().Add(20 * time.Second); err == nil && time.Now().Before(end); time.Sleep(pollInterval) {
		if l, e := c.Load(); e == nil && l.Advice != nil && l.Advice.Trust == 1 {
			return nil
		}
	}
	if err == nil {
		err = fmt.Errorf("fleet advice was not in effect after 20 s")
	}
	return err
}

// round sends n requests, at most 24 at a time, and returns the box's processor time per request in microseconds.
func (v *variant) round(n int) (micros float64, err error) {
	before, err := cpuTime(v.site.Boxes[0].Pid())
	if err != nil {
		return 0, err
	}
	var pending sync.WaitGroup
	var mu sync.Mutex
	notServed := 0
	slots := make(chan struct{}, 24)
	for i := range n {
		slots <- struct{}{}
		pending.Add(1)
		v.connections[i%len(v.connections)].Send(router.Request{Txn: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, i), Class: v.class, Tenant: v.tenant, Body: "x", TimeLimit: 700 * time.Millisecond, Rank: 0.99}, func(o router.Outcome) {
			if o.Kind != router.Served {
				mu.Lock()
				notServed++
				mu.Unlock()
			}
			<-slots
			pending.Done()
		})
	}
	pending.Wait()
	after, err := cpuTime(v.site.Boxes[0].Pid())
	if err == nil && notServed > n/100 {
		err = fmt.Errorf("%d of %d requests were not served", notServed, n)
	}
	return float64((after - before).Microseconds()) / float64(n), err
}

// cpuTime returns the processor time that a process has used, from the scheduler's statistics.
func cpuTime(pid int) (time.Duration, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, fmt.Errorf("no scheduler statistics of process %d: %v", pid, err)
	}
	var sum time.Duration
	for _, t := range tasks {
		raw, err := os.ReadFile(t)
		if err != nil {
			continue // the thread has ended meanwhile
		}
		n, err := strconv.ParseInt(strings.Fields(string(raw))[0], 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// CostFigures holds the measured cost of a request.
type CostFigures struct {
	Rounds, Requests       int
	BaselineMicros         float64 // processor time of a request in microseconds
	Advised, AdvisedHalf   float64 // relative increase with fleet advice, and the half-width of its 95% interval
	Recorder, RecorderHalf float64 // the same with the flight recorder
}

// Missed lists the bounds that the figures miss.
func (f CostFigures) Missed() (list []string) {
	if f.Advised > 0.02 {
		list = append(list, fmt.Sprintf("fleet advice adds %.1f%% to the cost of a request, want at most 2%%", 100*f.Advised))
	}
	if f.Recorder > 0.03 {
		list = append(list, fmt.Sprintf("recorder adds %.1f%% to the cost of a request, want at most 3%%", 100*f.Recorder))
	}
	return list
}

// String returns the figures as one line.
func (f CostFigures) String() string {
	return fmt.Sprintf("figures: rounds=%d requests=%d request_us=%.1f advised_more=%.4f advised_half=%.4f recorder_more=%.4f recorder_half=%.4f", f.Rounds, f.Requests, f.BaselineMicros, f.Advised, f.AdvisedHalf, f.Recorder, f.RecorderHalf)
}
