package overloads

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"sync"
	"time"

	"cairnlane/internal/lab/model"
)

// Trial holds the parameters of a trial: each seed is run at each load, with the modes side by side.
type Trial struct {
	Seed       uint64
	Seeds      int
	Boxes      int
	Loads      []float64
	Modes      []model.Mode
	Span       time.Duration
	AddFaults  func(*model.Scenario)
	Outage     time.Duration // once per seed, after the first load; 0 for no outage
	ConfigFile string
	Dir        string
	Serve      func(config string) *exec.Cmd
	Progress   io.Writer
}

// SpeedFactor is the factor by which the trial's site is faster than described. Shorter requests make scenarios shorter and the figures less noisy.
const SpeedFactor = 3

// boxCores is the number of cores of a box. It is lower than on a site's machines, so that one machine can run all boxes.
const boxCores = 4

// Site returns the trial's site: that of a configuration, but faster and with fewer cores per box.
func Site(config string) (model.Site, error) {
	s, err := model.Open(config)
	if err != nil {
		return model.Site{}, err
	}
	s = s.SpedUp(SpeedFactor)
	s.Cores = boxCores
	return s, nil
}

// Run runs the trial.
func (t Trial) Run() (*Figures, error) {
	if t.Progress == nil {
		t.Progress = io.Discard
	}
	site, err := Site(t.ConfigFile)
	if err != nil {
		return nil, err
	}
	f := &Figures{Trial: t, Results: map[float64]map[model.Mode][]*Result{}}
	var mu sync.Mutex
	note := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		if len(f.Log) < 40 {
			f.Log = append(f.Log, fmt.Sprintf(format, a...))
		}
	}
	for seed := range t.Seeds {
		for i, of := range t.Loads {
			if f.Results[of] == nil {
				f.Results[of] = map[model.Mode][]*Result{}
			}
			results := make([]*Result, len(t.Modes))
			errs := make([]error, len(t.Modes))
			var running sync.WaitGroup
			for k, mode := range t.Modes {
				running.Go(func() {
					d := model.Scenario{Site: site, Mode: mode, Load: model.Load{Seed: t.Seed*1000 + uint64(seed), LoadFactor: of, Boxes: t.Boxes, Routers: 5, Span: t.Span, HotTenant: site.HotTenant, HotFactor: 3}}
					if t.AddFaults != nil {
						t.AddFaults(&d)
					}
					cfg := Config{Scenario: d, Dir: fleetDir(t.Dir, seed, i, k), ConfigFile: t.ConfigFile, Serve: t.Serve, Logf: note}
					if i == 0 {
						cfg.Outage = t.Outage
					}
					results[k], errs[k] = RunScenario(cfg)
					os.RemoveAll(cfg.Dir)
				})
			}
			running.Wait()
			for k, mode := range t.Modes {
				if errs[k] != nil {
					return nil, fmt.Errorf("%s at %.0f%%: %w", mode, 100*of, errs[k])
				}
				f.Results[of][mode] = append(f.Results[of][mode], results[k])
			}
			fmt.Fprintf(t.Progress, "seed %d, %.0f%%:", t.Seed*1000+uint64(seed), 100*of)
			for k, mode := range t.Modes {
				r := results[k]
				fmt.Fprintf(t.Progress, "  %s %.3f (worst class %.2f, %.2f attempts and %.3f admitted retries per request, rejected over share %d, of low class %d, over retry budget %d)", mode, r.Ratio(), r.WorstClass, ratio(r.Attempts, r.Requests), ratio(r.AdmittedRetries, r.Requests), r.RejectedOverShare, r.RejectedLowClass, r.RejectedOverBudget)
			}
			fmt.Fprintln(t.Progress)
		}
	}
	return f, nil
}

// ratio returns a divided by b, where b counts as at least 1.
func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

// Figures sums up a trial.
type Figures struct {
	Trial
	Results map[float64]map[model.Mode][]*Result // by load and mode, one result per seed
	Log     []string
}

// mean returns the mean of a figure over all seeds at the given loads.
func (f *Figures) mean(m model.Mode, of func(*Result) float64, loads ...float64) float64 {
	sum, n := 0.0, 0
	for _, l := range loads {
		for _, r := range f.Results[l][m] {
			sum += of(r)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func worthRatio(r *Result) float64                { return r.Ratio() }
func attemptsPerRequest(r *Result) float64        { return ratio(r.Attempts, r.Requests) }
func admittedRetriesPerRequest(r *Result) float64 { return ratio(r.AdmittedRetries, r.Requests) }

// Gain returns by how much the worth ratio in mode m is above that of boxes alone at a load: the mean over paired seeds and the half-width of its
// 95% confidence interval.
func (f *Figures) Gain(load float64, m model.Mode) (mean, half float64) {
	var diffs []float64
	for i, r := range f.Results[load][m] {
		diffs = append(diffs, r.Ratio()-f.Results[load][model.Alone][i].Ratio())
	}
	return model.Interval(diffs)
}

// recoveryMillis returns the mean time after the first burst until the worth ratio is back at 0.9 of its mean before, in milliseconds.
func (f *Figures) recoveryMillis(m model.Mode, loads ...float64) float64 {
	d := model.Scenario{Load: model.Load{Boxes: f.Boxes}}
	if f.AddFaults != nil {
		f.AddFaults(&d)
	}
	if len(d.Bursts) == 0 {
		return 0
	}
	b := d.Bursts[0]
	return f.mean(m, func(r *Result) float64 { return float64(r.RecoveryTime(b.From, b.From+b.Duration, 0.9).Milliseconds()) }, loads...)
}

// total returns the sum of a count over all results.
func (f *Figures) total(of func(*Result) int64) (n int64) {
	for _, modes := range f.Results {
		for _, list := range modes {
			for _, r := range list {
				n += of(r)
			}
		}
	}
	return n
}

// maxLevelChanges returns the maximum number of level changes of one box within 10 s.
func (f *Figures) maxLevelChanges() (n int) {
	for _, modes := range f.Results {
		for _, list := range modes {
			for _, r := range list {
				n = max(n, r.MaxLevelChanges)
			}
		}
	}
	return n
}

// overloadLoads are the loads above the capacity.
var overloadLoads = []float64{1.1, 1.5}

// MissedInvariants lists the missed bounds that have to hold on any machine, whatever its speed.
func (f *Figures) MissedInvariants() (list []string) {
	for name, n := range map[string]int64{"lost": f.total(func(r *Result) int64 { return r.Lost }), "ended twice": f.total(func(r *Result) int64 { return r.AnsweredTwice }), "double runs": f.total(func(r *Result) int64 { return r.DoubleRuns }),
		"wrong results": f.total(func(r *Result) int64 { return r.WrongResults }), "invariants broken": f.total(func(r *Result) int64 { return r.InvariantsBroken })} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", name, n))
		}
	}
	if n := f.maxLevelChanges(); n > 1 {
		list = append(list, fmt.Sprintf("%d level changes within 10 s", n))
	}
	return list
}

// recoverySlack, in milliseconds, is the error of a recovery time: the worth is counted by the second.
const recoverySlack = 1000

// Missed lists all bounds that the figures miss.
func (f *Figures) Missed() []string {
	list := f.MissedInvariants()
	miss := func(bad bool, format string, a ...any) {
		if bad {
			list = append(list, fmt.Sprintf(format, a...))
		}
	}
	for _, l := range f.Loads {
		gain, _ := f.Gain(l, model.Fleet)
		miss(l > 1 && gain < 0.03, "gain at %.0f%%: %.3f", 100*l, gain)
		miss(l < 1 && gain < 0, "gain at %.0f%%: %.3f", 100*l, gain)
	}
	// The mean over all loads, since the results of two fleets that behave the same differ by one or two hundredths in a single scenario.
	cut := f.mean(model.Disconnected, worthRatio, f.Loads...) - f.mean(model.Alone, worthRatio, f.Loads...)
	miss(cut < -0.01, "gain over alone with messages cut: %.3f", cut)
	lateAnswers := f.total(func(r *Result) int64 { return r.Late })
	miss(lateAnswers > 0, "late answers: %d", lateAnswers)
	admitted := f.mean(model.Fleet, admittedRetriesPerRequest, overloadLoads...)
	miss(admitted > retryBudget+0.02, "admitted retries per request: %.3f", admitted)
	recovery, recoveryAlone := f.recoveryMillis(model.Fleet, overloadLoads...), f.recoveryMillis(model.Alone, overloadLoads...)
	miss(recovery > recoveryAlone+recoverySlack, "recovery after the burst: %.0f ms, alone %.0f ms", recovery, recoveryAlone)
	probes, probesAlone := f.mean(model.Fleet, probesPerSecond, f.Loads[0]), f.mean(model.Alone, probesPerSecond, f.Loads[0])
	miss(f.Outage > 0 && probes >= probesAlone, "probes: %.1f per second, alone %.1f", probes, probesAlone)
	return list
}

// retryBudget is the default retry budget, in retries per first attempt.
const retryBudget = 0.1

func probesPerSecond(r *Result) float64 { return r.ProbeRate }

// String returns the figures as one line.
func (f *Figures) String() string {
	s := fmt.Sprintf("figures: processes=%d seeds=%d", len(f.Modes)*f.Boxes, f.Seeds)
	for _, l := range f.Loads {
		n := int(math.Round(100 * l))
		s += fmt.Sprintf(" worth_%d=%.3f worth_alone_%d=%.3f worth_cut_%d=%.3f", n, f.mean(model.Fleet, worthRatio, l), n, f.mean(model.Alone, worthRatio, l), n, f.mean(model.Disconnected, worthRatio, l))
	}
	for _, l := range f.Loads {
		gain, half := f.Gain(l, model.Fleet)
		s += fmt.Sprintf(" gain_%d=%.3f", int(math.Round(100*l)), gain)
		if f.Seeds > 1 {
			s += fmt.Sprintf(" gain_%d_half=%.3f", int(math.Round(100*l)), half)
		}
	}
	class := func(r *Result) float64 { return r.WorstClass }
	read := func(r *Result) float64 { return float64(r.Rejected) / math.Max(float64(r.AttemptsRead), 1) }
	share := func(r *Result) float64 { return r.ShareError }
	return s + fmt.Sprintf(" worst_class_110=%.3f worst_class_alone_110=%.3f tries_per_request=%.3f tries_alone=%.3f further_let_in=%.3f further_alone=%.3f read_refused_share=%.3f read_refused_alone=%.3f jam_after_burst_ms=%.0f jam_alone_ms=%.0f probes_per_s=%.1f probes_alone=%.1f back_ms=%.0f tenant_share_error=%.3f tenant_share_error_alone=%.3f level_changes_per_10s_max=%d refused_over_share=%d refused_low_class=%d refused_beyond_tries=%d late=%d lost=%d ended_twice=%d double_runs=%d",
		f.mean(model.Fleet, class, 1.1), f.mean(model.Alone, class, 1.1), f.mean(model.Fleet, attemptsPerRequest, overloadLoads...), f.mean(model.Alone, attemptsPerRequest, overloadLoads...), f.mean(model.Fleet, admittedRetriesPerRequest, overloadLoads...), f.mean(model.Alone, admittedRetriesPerRequest, overloadLoads...),
		f.mean(model.Fleet, read, overloadLoads...), f.mean(model.Alone, read, overloadLoads...), f.recoveryMillis(model.Fleet, overloadLoads...), f.recoveryMillis(model.Alone, overloadLoads...), f.mean(model.Fleet, probesPerSecond, f.Loads[0]), f.mean(model.Alone, probesPerSecond, f.Loads[0]),
		f.mean(model.Fleet, func(r *Result) float64 { return float64(r.ReportRecovery.Milliseconds()) }, f.Loads[0]), f.mean(model.Fleet, share, overloadLoads...), f.mean(model.Alone, share, overloadLoads...), f.maxLevelChanges(),
		f.total(func(r *Result) int64 { return r.RejectedOverShare }), f.total(func(r *Result) int64 { return r.RejectedLowClass }), f.total(func(r *Result) int64 { return r.RejectedOverBudget }),
		f.total(func(r *Result) int64 { return r.Late }), f.total(func(r *Result) int64 { return r.Lost }), f.total(func(r *Result) int64 { return r.AnsweredTwice }), f.total(func(r *Result) int64 { return r.DoubleRuns }))
}
