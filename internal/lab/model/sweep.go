package model

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"
)

// Sweep simulates each case in each mode over the same seeds.
type Sweep struct {
	Site      Site
	Boxes     int
	Seeds     int
	FirstSeed uint64 // the first seed
	Span      time.Duration
	Cases     []Case
}

// Row holds the results of a case.
type Row struct {
	Case
	Boxes        int
	Seeds        int
	Results      map[Mode][]Result      // by seed
	RecoveryTime map[Mode]time.Duration // mean recovery time after the fault
}

// Mean returns the mean of a figure over the seeds.
func (r Row) Mean(m Mode, of func(Result) float64) (mean float64) {
	for _, x := range r.Results[m] {
		mean += of(x) / float64(len(r.Results[m]))
	}
	return mean
}

// Gain returns by how much the worth ratio in mode m is above that in another mode: the mean over paired seeds and the half-width of its 95%
// confidence interval.
func (r Row) Gain(m, over Mode) (mean, half float64) {
	var diffs []float64
	for i, x := range r.Results[m] {
		diffs = append(diffs, x.Ratio()-r.Results[over][i].Ratio())
	}
	return Interval(diffs)
}

// studentT975 holds the 97.5% quantile of Student's t-distribution with n-1 degrees of freedom, for small n.
var studentT975 = []float64{0, 0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13}

// Interval returns the mean of list and the half-width of its 95% confidence interval.
func Interval(list []float64) (mean, half float64) {
	n := float64(len(list))
	for _, d := range list {
		mean += d / n
	}
	if len(list) < 2 {
		return mean, math.Inf(1)
	}
	var sum float64
	for _, d := range list {
		sum += (d - mean) * (d - mean)
	}
	t := 1.96
	if len(list) < len(studentT975) {
		t = studentT975[len(list)]
	}
	return mean, t * math.Sqrt(sum/(n-1)/n)
}

// Run simulates the sweep on all cores. The result does not depend on their number.
func (s Sweep) Run(progress io.Writer) []Row {
	rows := make([]Row, len(s.Cases))
	var workers sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	finished := 0
	for i, c := range s.Cases {
		rows[i] = Row{Case: c, Boxes: s.Boxes, Seeds: s.Seeds, Results: map[Mode][]Result{}, RecoveryTime: map[Mode]time.Duration{}}
		for _, m := range []Mode{Alone, Fleet, Disconnected} {
			results := make([]Result, s.Seeds) // workers write to the slice; only this goroutine uses the map
			rows[i].Results[m] = results
			for k := range s.Seeds {
				workers.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					d := c.Scenario(s.Site, s.Boxes, s.Span, s.FirstSeed+uint64(k), m)
					r := Simulate(d)
					mu.Lock()
					defer mu.Unlock()
					results[k] = r
					if from, to, ok := d.FaultSpan(); ok {
						rows[i].RecoveryTime[m] += r.RecoveryTime(from, to, 0.9) / time.Duration(s.Seeds)
					}
					finished++
					if progress != nil && finished%50 == 0 {
						fmt.Fprintf(progress, "%d of %d days\n", finished, 3*s.Seeds*len(s.Cases))
					}
				})
			}
		}
	}
	workers.Wait()
	return rows
}

// WriteTable prints rows as a table.
func WriteTable(w io.Writer, rows []Row) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BOXES\tCASE\tLOAD\tALONE\tFLEET\tCUT\tGAIN\t±\tWORST CLASS\tTRIES\tLET IN\tSETTLED\tLEVELS\tPROBES/S\tMESSAGES\tBYTES")
	for _, r := range rows {
		worth := func(x Result) float64 { return x.Ratio() }
		attempts := func(x Result) float64 { return float64(x.Attempts) / float64(max(x.Requests, 1)) }
		gain, half := r.Gain(Fleet, Alone)
		fmt.Fprintf(table, "%d\t%s\t%.0f%%\t%.3f\t%.3f\t%.3f\t%+.3f\t%.3f\t%.2f/%.2f\t%.2f/%.2f\t%.3f/%.3f\t%.1f/%.1fs\t%d\t%.1f/%.1f\t%.1f\t%.0f\n", r.Boxes, r.Name, 100*r.LoadFactor, r.Mean(Alone, worth), r.Mean(Fleet, worth), r.Mean(Disconnected, worth), gain, half,
			r.Mean(Alone, func(x Result) float64 { return x.WorstClass }), r.Mean(Fleet, func(x Result) float64 { return x.WorstClass }), r.Mean(Alone, attempts), r.Mean(Fleet, attempts),
			r.Mean(Alone, admittedRetriesPerRequest), r.Mean(Fleet, admittedRetriesPerRequest), r.RecoveryTime[Alone].Seconds(), r.RecoveryTime[Fleet].Seconds(), r.MaxLevelChanges(),
			r.Mean(Alone, func(x Result) float64 { return x.ReportRateDown }), r.Mean(Fleet, func(x Result) float64 { return x.ReportRateDown }), r.Mean(Fleet, func(x Result) float64 { return x.Messages }), r.Mean(Fleet, func(x Result) float64 { return x.Bytes }))
	}
	table.Flush()
}

// admittedRetriesPerRequest returns how many retries were not rejected at read, per request.
func admittedRetriesPerRequest(x Result) float64 {
	return float64(x.AdmittedRetries) / float64(max(x.Requests, 1))
}

// MaxLevelChanges returns the maximum number of level changes of one box within 10 s in fleet mode.
func (r Row) MaxLevelChanges() (n int) {
	for _, x := range r.Results[Fleet] {
		n = max(n, x.MaxLevelChanges)
	}
	return n
}

// Figures sums up a sweep.
type Figures struct {
	Days, Lost, AnsweredTwice, DoubleRuns, Violations, MaxLevelChanges int
	SteadyRatios                                                       map[string][3]float64 // of the cases without a fault: alone, fleet, cut
	GainLowerBounds                                                    map[string]float64    // gain over alone, less the half-width of its interval
	MinGainDisconnected                                                float64               // lowest gain over alone of any case in mode Disconnected, at most 0
	MinGainWithFaults                                                  float64               // lowest gain of any fault case
	WorstFaultCase                                                     string
}

// Summarize computes the figures of rows.
func Summarize(rows []Row) Figures {
	f := Figures{SteadyRatios: map[string][3]float64{}, GainLowerBounds: map[string]float64{}, MinGainWithFaults: math.Inf(1)}
	for _, r := range rows {
		for _, list := range r.Results {
			for _, x := range list {
				f.Days++
				f.Lost, f.AnsweredTwice, f.DoubleRuns, f.Violations = f.Lost+x.Lost, f.AnsweredTwice+x.AnsweredTwice, f.DoubleRuns+x.DoubleRuns, f.Violations+len(x.Violations)
			}
		}
		f.MaxLevelChanges = max(f.MaxLevelChanges, r.MaxLevelChanges())
		worth := func(x Result) float64 { return x.Ratio() }
		gain, half := r.Gain(Fleet, Alone)
		cut, _ := r.Gain(Disconnected, Alone)
		f.MinGainDisconnected = min(f.MinGainDisconnected, cut)
		if r.AddFaults == nil {
			f.SteadyRatios[r.Name] = [3]float64{r.Mean(Alone, worth), r.Mean(Fleet, worth), r.Mean(Disconnected, worth)}
			f.GainLowerBounds[r.Name] = gain - half
		} else if gain < f.MinGainWithFaults {
			f.MinGainWithFaults, f.WorstFaultCase = gain, r.Name
		}
	}
	return f
}

// Missed lists the bounds that the figures miss: the gains of a fleet, at 110 and 150% with the interval, and the invariants.
func (f Figures) Missed() (list []string) {
	for _, b := range []struct {
		name string
		bad  bool
	}{{"lost", f.Lost > 0}, {"answered twice", f.AnsweredTwice > 0}, {"double runs", f.DoubleRuns > 0}, {"broken", f.Violations > 0}, {"more than one level change in 10 s", f.MaxLevelChanges > 1},
		{"more than 0.01 worse than alone with the messages between boxes cut", f.MinGainDisconnected < -0.01}, {"more than 0.02 worse than alone in a hard case: " + f.WorstFaultCase, f.MinGainWithFaults < -0.02},
		{"gain at 110%", hasKey(f.GainLowerBounds, "110%") && f.GainLowerBounds["110%"] < 0.03}, {"gain at 150%", hasKey(f.GainLowerBounds, "150%") && f.GainLowerBounds["150%"] < 0.03}} {
		if b.bad {
			list = append(list, b.name)
		}
	}
	return list
}

func hasKey(m map[string]float64, k string) bool { _, ok := m[k]; return ok }

// String returns the figures as one line.
func (f Figures) String() string {
	w := func(load string) string {
		x := f.SteadyRatios[load]
		n := load[:len(load)-1]
		return fmt.Sprintf("worth_%s=%.3f worth_alone_%s=%.3f worth_cut_%s=%.3f", n, x[1], n, x[0], n, x[2])
	}
	return fmt.Sprintf("figures: days=%d %s %s %s gain_110_least=%.3f gain_150_least=%.3f hard_least=%.3f cut_least=%.3f level_changes_per_10s_max=%d lost=%d ended_twice=%d double_runs=%d", f.Days, w("90%"), w("110%"), w("150%"),
		f.GainLowerBounds["110%"], f.GainLowerBounds["150%"], f.MinGainWithFaults, f.MinGainDisconnected, f.MaxLevelChanges, f.Lost, f.AnsweredTwice, f.DoubleRuns)
}
