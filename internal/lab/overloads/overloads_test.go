package overloads

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/lab/rigtest"
)

func TestMain(m *testing.M) { rigtest.Main(m) }

// TestOverloadTrialKeepsInvariants is a short form of `make overload`. It checks invariants and counts, but neither times nor the worth of the outcomes,
// which depend on the machine.
func TestOverloadTrialKeepsInvariants(t *testing.T) {
	dir, err := rig.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	f, err := Trial{Seed: 1, Seeds: 1, Boxes: 4, Loads: []float64{1.3}, Modes: []model.Mode{model.Fleet}, Span: 7 * time.Second, Outage: 1500 * time.Millisecond, ConfigFile: "../../../examples/config.json", Dir: dir, Serve: rigtest.Serve,
		AddFaults: func(d *model.Scenario) {
			d.Faults = append(d.Faults, model.Fault{Kind: model.SlowDown, From: time.Second, Duration: time.Second, Boxes: []int{2}, Slowdown: 8}, model.Fault{Kind: model.Kill, From: 2 * time.Second, Duration: 500 * time.Millisecond, Boxes: []int{3}},
				model.Fault{Kind: model.Partition, From: 4 * time.Second, Duration: time.Second, Boxes: []int{0, 1}}, model.Fault{Kind: model.CatalogDown, From: 2 * time.Second, Duration: time.Second})
		}}.Run()
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.MissedInvariants(); len(missed) > 0 {
		t.Errorf("missed %s\n%s", strings.Join(missed, ", "), strings.Join(f.Log, "\n"))
	}
	r := f.Results[1.3][model.Fleet][0]
	if r.Requests < 500 || r.RejectedOverShare == 0 {
		t.Errorf("too little load: %d requests, %d rejected over share", r.Requests, r.RejectedOverShare)
	}
	t.Log(f)
}

// TestMachineCompletesWorkInRealTime checks that shorter work completes first, in real time, and that work from before a restart never completes.
func TestMachineCompletesWorkInRealTime(t *testing.T) {
	m := newMachine(model.Machine{Cores: 1, ThrashAt: 9, Thrash: 1})
	ended := make(chan int, 8)
	m.add(20*time.Millisecond, func() { ended <- 1 })
	m.add(time.Millisecond, func() { ended <- 2 })
	if a, b := <-ended, <-ended; a != 2 || b != 1 {
		t.Errorf("work completed in the order %d, %d, want 2, 1", a, b)
	}
	m.add(time.Millisecond, func() { ended <- 3 })
	m.restart(true)
	m.add(time.Millisecond, func() { ended <- 4 })
	if n := <-ended; n != 4 || m.demand() != 0 || len(ended) > 0 {
		t.Errorf("work %d completed after a restart, want 4; %d jobs are left on the cores", n, m.demand())
	}
}

// TestMissedListsEachBound checks that good figures miss no bound and that each bad one is listed.
func TestMissedListsEachBound(t *testing.T) {
	newResult := func(of float64) *Result {
		return &Result{Score: model.Score{Offered: 1, Earned: of, Requests: 100, Attempts: 105, AdmittedRetries: 5}}
	}
	good := func() *Figures {
		f := &Figures{Trial: Trial{Seeds: 1, Boxes: 8, Loads: []float64{0.9, 1.1, 1.5}, Modes: []model.Mode{model.Fleet, model.Alone, model.Disconnected}, Outage: time.Second}, Results: map[float64]map[model.Mode][]*Result{}}
		for _, l := range f.Loads {
			f.Results[l] = map[model.Mode][]*Result{model.Fleet: {newResult(0.8)}, model.Alone: {newResult(0.7)}, model.Disconnected: {newResult(0.7)}}
			f.Results[l][model.Alone][0].ProbeRate = 9
		}
		return f
	}
	if list := good().Missed(); len(list) > 0 {
		t.Errorf("good figures miss %v", list)
	}
	if s := good().String(); !strings.HasPrefix(s, "figures: processes=24 seeds=1 worth_90=0.800 worth_alone_90=0.700") || strings.Contains(s, "NaN") {
		t.Error(s)
	}
	for name, change := range map[string]func(f *Figures, r *Result){
		"lost": func(_ *Figures, r *Result) { r.Lost = 1 }, "ended twice": func(_ *Figures, r *Result) { r.AnsweredTwice = 1 }, "double runs": func(_ *Figures, r *Result) { r.DoubleRuns = 1 }, "wrong": func(_ *Figures, r *Result) { r.WrongResults = 1 },
		"invariants": func(_ *Figures, r *Result) { r.InvariantsBroken = 1 }, "level": func(_ *Figures, r *Result) { r.MaxLevelChanges = 2 }, "late": func(_ *Figures, r *Result) { r.Late = 1 },
		"admitted retries": func(_ *Figures, r *Result) { r.AdmittedRetries = 40 }, "gain at 110": func(_ *Figures, r *Result) { r.Earned = 0.72 }, "probes": func(f *Figures, _ *Result) { f.Results[0.9][model.Fleet][0].ProbeRate = 10 },
		"gain at 90": func(f *Figures, _ *Result) { f.Results[0.9][model.Fleet][0].Earned = 0.69 }, "messages cut": func(f *Figures, _ *Result) { f.Results[1.5][model.Disconnected][0].Earned = 0.6 }} {
		f := good()
		change(f, f.Results[1.1][model.Fleet][0])
		if !strings.Contains(strings.Join(f.Missed(), "; "), name) {
			t.Errorf("%s is not listed among the missed bounds %v", name, f.Missed())
		}
	}
	if math.Abs(ratio(3, 0)-3) > 1e-9 {
		t.Errorf("ratio(3, 0) is %v, want 3", ratio(3, 0))
	}
}
