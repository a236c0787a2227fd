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

// TestTheAuditsAnswerWhatWasSeen is the short form of `make audit`: it judges rules and counts, not times.
func TestTheAuditsAnswerWhatWasSeen(t *testing.T) {
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
	f, err := Run(Config{Seed: 1, Boxes: 5, Schedule: sched, Faults: len(sched), Example: "../../../examples/config.json", Dir: dir,
		Scripts: []Script{{Name: "good"}, {Name: "the conductor is killed", Do: "kill"}, {Name: "superseded", Do: "supersede"}, {Name: "aborted", Do: "abort"}},
		Serve:   func(_ int, path string) *exec.Cmd { return rigtest.Serve(path) },
		Terms:   lease.Terms{Term: 1500 * time.Millisecond, Drift: 0.02}, Election: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.Missed(); len(missed) > 0 {
		t.Errorf("missed %s\n%s", strings.Join(missed, ", "), strings.Join(f.Notes, "\n"))
	}
	t.Log(f)
}

// TestAWantedEndThatDoesNotComeIsCounted, when no faults decide on it.
func TestAWantedEndThatDoesNotComeIsCounted(t *testing.T) {
	late, done := errors.New("it goes on"), map[uint64]rollout.Rollout{1: {To: 7, Phase: rollout.Done}}
	for name, x := range map[string]struct {
		want      string
		faults    int
		ends      map[uint64]rollout.Rollout
		late      error
		unsettled int
	}{
		"as wanted":                  {"done", 0, done, nil, 0},
		"another end":                {"returned", 0, done, nil, 1},
		"another end under faults":   {"returned", 3, done, nil, 0},
		"none in time":               {"done", 0, nil, late, 1},
		"none in time, none wanted":  {"", 0, nil, late, 0},
		"none in time, under faults": {"done", 3, nil, late, 0},
	} {
		tr := &trial{cfg: Config{Faults: x.faults, Progress: io.Discard}, fig: &Figures{}, ends: x.ends}
		tr.ended(Script{Name: name, Want: x.want}, 7, x.late)
		if tr.fig.Unsettled != x.unsettled || len(tr.fig.Notes) != x.unsettled {
			t.Errorf("%s: %d unsettled, not %d; %v", name, tr.fig.Unsettled, x.unsettled, tr.fig.Notes)
		}
	}
}

// TestABoundThatIsMissedIsSaid: the figures are of use only if they can be bad.
func TestABoundThatIsMissedIsSaid(t *testing.T) {
	good := Figures{Acts: 100, Answers: 100, Tampered: 5, TamperedFound: 5, Done: 3, Processes: 9, Rollouts: 8, Returned: 1, Superseded: 1, Conductors: 1, Stragglers: 1, ShutOut: 1}
	if list := good.MissedInFull(); len(list) > 0 {
		t.Errorf("good figures miss %v", list)
	}
	for name, change := range map[string]func(*Figures){"acts below": func(f *Figures) { f.ActsBelowFloor = 1 }, "mixed": func(f *Figures) { f.Mixed = 1 }, "steps": func(f *Figures) { f.StepsTwice = 1 },
		"wrongly": func(f *Figures) { f.WronglyShutOut = 1 }, "answers": func(f *Figures) { f.AnswersWrong = 1 }, "tampered": func(f *Figures) { f.TamperedFound = 4 }, "gaps": func(f *Figures) { f.Gaps = 1 },
		"not settled": func(f *Figures) { f.Unsettled = 1 }, "double": func(f *Figures) { f.DoubleRuns = 1 }, "too little": func(f *Figures) { f.Rollouts = 3 }} {
		f := good
		if change(&f); !strings.Contains(strings.Join(f.MissedInFull(), " "), name) {
			t.Errorf("%s: missed %v", name, f.MissedInFull())
		}
	}
}
