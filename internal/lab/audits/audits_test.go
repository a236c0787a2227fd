package audits

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/lab/rigtest"
)

func TestMain(m *testing.M) { rigtest.Main(m) }

// TestAuditsMatchObservations is the short form of `make audit`: it checks invariants and counts, not times.
func TestAuditsMatchObservations(t *testing.T) {
	dir, err := rig.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	sched, err := rig.Parse(`
		500ms kill 3 0 300ms
		1500ms isolate 4 0 1s
		3s old-copy 3 0 100ms
		4s split 0 3 1s
		5s empty 4 0 100ms`)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Run(Config{Seed: 1, Boxes: 5, Schedule: sched, Faults: len(sched), SettingsFile: "../../../examples/config.json", Dir: dir,
		Scripts: []Script{{Name: "good"}, {Name: "the conductor is killed", Disturbance: "kill"}, {Name: "superseded", Disturbance: "supersede"}, {Name: "aborted", Disturbance: "abort"}},
		Command: func(_ int, path string) *exec.Cmd { return rigtest.Serve(path) },
		Terms:   lease.Terms{Term: 1500 * time.Millisecond, Drift: 0.02}, Election: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.Missed(); len(missed) > 0 {
		t.Errorf("missed bounds: %s\n%s", strings.Join(missed, ", "), strings.Join(f.Notes, "\n"))
	}
	t.Log(f)
}

// TestUnwantedEndIsCountedWithoutFaults checks that a rollout that does not end as its script wants is counted, unless faults are injected.
func TestUnwantedEndIsCountedWithoutFaults(t *testing.T) {
	late, done := errors.New("the rollout goes on"), map[uint64]rollout.Rollout{1: {To: 7, Phase: rollout.Done}}
	for name, x := range map[string]struct {
		want      string
		faults    int
		ends      map[uint64]rollout.Rollout
		late      error
		unsettled int
	}{
		"the wanted end":               {"done", 0, done, nil, 0},
		"another end":                  {"returned", 0, done, nil, 1},
		"another end under faults":     {"returned", 3, done, nil, 0},
		"no end in time":               {"done", 0, nil, late, 1},
		"no end in time, none wanted":  {"", 0, nil, late, 0},
		"no end in time, under faults": {"done", 3, nil, late, 0},
	} {
		tr := &trial{cfg: Config{Faults: x.faults, Progress: io.Discard}, figures: &Figures{}, finished: x.ends}
		tr.checkEnd(Script{Name: name, WantedEnd: x.want}, 7, x.late)
		if tr.figures.Unsettled != x.unsettled || len(tr.figures.Notes) != x.unsettled {
			t.Errorf("%s: got %d unsettled, want %d; notes %v", name, tr.figures.Unsettled, x.unsettled, tr.figures.Notes)
		}
	}
}

// TestMissedInFullReportsEachBound checks that each bound can be missed: bad figures must be reported as such.
func TestMissedInFullReportsEachBound(t *testing.T) {
	good := Figures{Acts: 100, Answers: 100, TamperedCopies: 5, TamperedFound: 5, Done: 3, Processes: 9, Rollouts: 8, RolledBack: 1, Superseded: 1, ConductorsHit: 1, Stragglers: 1, ShutOut: 1}
	if list := good.MissedInFull(); len(list) > 0 {
		t.Errorf("figures within all bounds are reported as missing %v", list)
	}
	for name, change := range map[string]func(*Figures){"acts below": func(f *Figures) { f.ActsBelowLowest = 1 }, "mixed": func(f *Figures) { f.Mixed = 1 }, "steps": func(f *Figures) { f.StepsRepeated = 1 },
		"wrongly": func(f *Figures) { f.WronglyShutOut = 1 }, "answers": func(f *Figures) { f.AnswersWrong = 1 }, "tampered": func(f *Figures) { f.TamperedFound = 4 }, "gaps": func(f *Figures) { f.Gaps = 1 },
		"not settled": func(f *Figures) { f.Unsettled = 1 }, "double": func(f *Figures) { f.DoubleRuns = 1 }, "too few events": func(f *Figures) { f.Rollouts = 3 }} {
		f := good
		if change(&f); !strings.Contains(strings.Join(f.MissedInFull(), " "), name) {
			t.Errorf("bound %q is not among the missed ones: %v", name, f.MissedInFull())
		}
	}
}
