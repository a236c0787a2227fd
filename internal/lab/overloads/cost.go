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
	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/standin/engine"
	"cairnlane/internal/standin/router"
)

// CostConfig is what the cost of a request is measured with.
type CostConfig struct {
	Rounds, Requests int // of each round and variant
	Example, Dir     string
	Serve            func(config string) *exec.Cmd
	Progress         io.Writer
}

// variant is a fleet of two boxes, one of which gets the requests.
type variant struct {
	name   string
	extra  string
	rules  bool
	site   *rig.Site
	wire   []*router.Router
	cpu    []float64 // of a request, in microseconds, by round
	class  string
	tenant string
}

// Cost measures the processor time of a request over sockets, from router to engine and back, with what a fleet advises and without, and with the
// flight recorder and without: the same boxes in one run, in turn, in an order that is drawn anew each round.
func Cost(cfg CostConfig) (CostFigures, error) {
	traffic, err := rig.TrafficOf(cfg.Example)
	if err != nil {
		return CostFigures{}, err
	}
	list := []*variant{{name: "off"}, {name: "advised", rules: true}, {name: "recorder", extra: "recorder = true"}}
	for _, v := range list {
		v.class, v.tenant = traffic.Safe, traffic.Tenant
		if err := v.start(cfg); err != nil {
			return CostFigures{}, fmt.Errorf("%s: %w", v.name, err)
		}
		defer v.site.Close()
	}
	src := rand.New(rand.NewPCG(1, 3))
	for round := range cfg.Rounds + 1 {
		for _, i := range src.Perm(len(list)) {
			us, err := list[i].round(cfg.Requests)
			if err != nil {
				return CostFigures{}, fmt.Errorf("%s: %w", list[i].name, err)
			}
			if round > 0 { // the first one warms up
				list[i].cpu = append(list[i].cpu, us)
			}
		}
		if cfg.Progress != nil && round > 0 {
			fmt.Fprintf(cfg.Progress, "round %d: off %.1f us, advised %.1f, recorder %.1f\n", round, list[0].cpu[round-1], list[1].cpu[round-1], list[2].cpu[round-1])
		}
	}
	f := CostFigures{Rounds: cfg.Rounds, Requests: cfg.Rounds * cfg.Requests}
	f.Off, _ = model.Interval(list[0].cpu)
	f.Advised, f.AdvisedHalf = ratio(list[1].cpu, list[0].cpu)
	f.Recorder, f.RecorderHalf = ratio(list[2].cpu, list[0].cpu)
	return f, nil
}

// ratio is by how much one is above another, as a part of it, over pairs.
func ratio(a, b []float64) (mean, half float64) {
	var list []float64
	for i := range a {
		list = append(list, a[i]/b[i]-1)
	}
	return model.Interval(list)
}

func (v *variant) start(cfg CostConfig) (err error) {
	v.site, err = rig.NewSite(rig.SiteConfig{Seed: 1, Dir: dirOf(cfg.Dir, v.name), Boxes: 2, Voters: []int{0}, Terms: terms, Election: 400 * time.Millisecond, Example: cfg.Example, Serve: cfg.Serve, Extra: v.extra,
		Engine: func(int) *engine.Engine {
			return engine.On(func(_, _ string, done func(time.Duration)) { go done(time.Millisecond) }, nil)
		}})
	if err != nil {
		return err
	}
	if err := v.site.Start(); err != nil {
		return err
	}
	for range 4 {
		v.wire = append(v.wire, &router.Router{Addr: v.site.Boxes[0].Addr(), Twice: func(int32) {}})
	}
	if !v.rules {
		return nil
	}
	c := v.site.Boxes[0].Control().Fleet()
	n, err := c.PutConfig(fmt.Appendf(nil, "needs = 2\noverload {\n shares = { %q = 0.5 }\n}\n", v.tenant))
	if err == nil {
		err = c.StartRoll(n, rollout.Plan{Canaries: 1, Share: 1, Timeout: 12 * time.Second, Slots: 2})
	}
	if err == nil {
		_, err = v.round(2000) // so that there is a capacity to trust
	}
	for end := time.Now().Add(20 * time.Second); err == nil && time.Now().Before(end); time.Sleep(lookEach) {
		if l, e := c.Load(); e == nil && l.Advice != nil && l.Advice.Trust == 1 {
			return nil
		}
	}
	if err == nil {
		err = fmt.Errorf("the rules are not acted upon")
	}
	return err
}

// round sends requests, a few at a time, and tells the box's processor time for each.
func (v *variant) round(n int) (us float64, err error) {
	before, err := cpuOf(v.site.Boxes[0].Pid())
	if err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	bad := 0
	slots := make(chan struct{}, 24)
	for i := range n {
		slots <- struct{}{}
		wait.Add(1)
		v.wire[i%len(v.wire)].Send(router.Request{Txn: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, i), Class: v.class, Tenant: v.tenant, Body: "x", Limit: 700 * time.Millisecond, Rank: 0.99}, func(o router.Outcome) {
			if o.End != router.Served {
				mu.Lock()
				bad++
				mu.Unlock()
			}
			<-slots
			wait.Done()
		})
	}
	wait.Wait()
	after, err := cpuOf(v.site.Boxes[0].Pid())
	if err == nil && bad > n/100 {
		err = fmt.Errorf("%d of %d requests were not served", bad, n)
	}
	return float64((after - before).Microseconds()) / float64(n), err
}

// cpuOf is the processor time that a process has had, from the scheduler's own count.
func cpuOf(pid int) (time.Duration, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, fmt.Errorf("process %d has no scheduler's count: %v", pid, err)
	}
	var sum time.Duration
	for _, t := range tasks {
		raw, err := os.ReadFile(t)
		if err != nil {
			continue // a thread that has ended
		}
		n, err := strconv.ParseInt(strings.Fields(string(raw))[0], 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// CostFigures are what a request costs.
type CostFigures struct {
	Rounds, Requests       int
	Off                    float64 // processor time of a request in microseconds
	Advised, AdvisedHalf   float64 // by how much more with what a fleet advises, and half of the 95% interval
	Recorder, RecorderHalf float64 // and with the recorder
}

// Missed are the bounds that are missed.
func (f CostFigures) Missed() (list []string) {
	if f.Advised > 0.02 {
		list = append(list, fmt.Sprintf("advice: %.1f%% of the ordinary path", 100*f.Advised))
	}
	if f.Recorder > 0.03 {
		list = append(list, fmt.Sprintf("recorder: %.1f%% of the ordinary path", 100*f.Recorder))
	}
	return list
}

// String is the line of figures.
func (f CostFigures) String() string {
	return fmt.Sprintf("figures: rounds=%d requests=%d request_us=%.1f advised_more=%.4f advised_half=%.4f recorder_more=%.4f recorder_half=%.4f", f.Rounds, f.Requests, f.Off, f.Advised, f.AdvisedHalf, f.Recorder, f.RecorderHalf)
}
