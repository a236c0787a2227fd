package leases

import (
	"os"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fake/resource"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/lab/rigtest"
)

func TestMain(m *testing.M) { rigtest.Main(m) }

// TestHoldersNeverExceedSlots is the short form of `make leases`: it checks invariants and counts, not times.
func TestHoldersNeverExceedSlots(t *testing.T) {
	dir, err := rig.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	sched, err := rig.Parse(`
		200ms stop-act 0 1 500ms
		400ms stop 1 2 900ms
		1s kill 2 0 300ms
		2s split 0 3 1500ms
		4s stop-lead 0 1 2s
		4500ms key 0 1 2s
		5s twin 3 1 1500ms
		7s empty 1 2 200ms
		7500ms flap 3 1 1s`)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Run(Config{Seed: 1, Boxes: 4, Schedule: sched, Command: rigtest.Serve, SettingsFile: "../../../examples/config.json", Dir: dir,
		Terms: lease.Terms{Term: 1500 * time.Millisecond, Drift: 0.02}, Election: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.Missed(); len(missed) > 0 {
		t.Errorf("missed bounds: %s\n%s", strings.Join(missed, ", "), strings.Join(f.Notes, "\n"))
	}
	t.Log(f, f.Injected)
}

// TestCheckFindsEachViolation runs the check on histories that each contain one violation, and on one that contains none.
func TestCheckFindsEachViolation(t *testing.T) {
	ms := time.Millisecond
	eff := func(thing string, token uint64, box string, called, begin, end time.Duration) resource.Effect {
		return resource.Effect{Thing: thing, Ticket: resource.Ticket{Token: token}, Box: box, AnnouncedAt: called * ms, Begin: begin * ms, End: end * ms}
	}
	stale := func(e resource.Effect) resource.Effect { e.Begin, e.Stale = 0, true; return e }
	note := func(what string, token uint64, pid int, at time.Duration) resource.Note {
		return resource.Note{What: what, Task: "x", Token: token, Pid: pid, At: at * ms}
	}
	for name, c := range map[string]struct {
		effects []resource.Effect
		notes   []resource.Note
		bad     func(*Figures) bool
	}{
		"no violation": {[]resource.Effect{eff("plain", 1, "a", 1, 2, 5), eff("plain", 2, "b", 6, 7, 9), eff("double", 1, "a", 1, 2, 9), eff("double", 2, "b", 2, 3, 9), eff("checked", 2, "b", 1, 2, 3), stale(eff("checked", 1, "a", 4, 0, 5))},
			[]resource.Note{note("asked", 0, 1, 1), note("granted", 5, 1, 2), note("asked", 0, 2, 1), note("granted", 4, 2, 3)}, func(f *Figures) bool { return len(f.Missed()) != 1 }}, // only the number of effects is too low
		"two tokens on one slot":             {[]resource.Effect{eff("plain", 1, "a", 1, 2, 5), eff("plain", 2, "b", 3, 4, 9)}, nil, func(f *Figures) bool { return f.Overlaps == 0 }},
		"an effect without end":              {[]resource.Effect{eff("plain", 1, "a", 1, 2, 0), eff("plain", 2, "b", 30, 40, 90)}, nil, func(f *Figures) bool { return f.Overlaps == 0 }},
		"three tokens on two slots":          {[]resource.Effect{eff("double", 1, "a", 1, 2, 9), eff("double", 2, "b", 3, 4, 9), eff("double", 3, "c", 4, 5, 9)}, nil, func(f *Figures) bool { return f.Overlaps == 0 }},
		"an older token accepted":            {[]resource.Effect{eff("checked", 2, "a", 1, 2, 3), eff("checked", 1, "b", 4, 5, 6)}, nil, func(f *Figures) bool { return f.StaleAccepted == 0 || f.Linearizable }},
		"a newer token rejected":             {[]resource.Effect{eff("checked", 1, "a", 1, 2, 3), stale(eff("checked", 2, "b", 4, 0, 5)), eff("checked", 3, "c", 7, 8, 9)}, nil, func(f *Figures) bool { return f.Linearizable }},
		"a token granted twice":              {nil, []resource.Note{note("asked", 0, 1, 1), note("granted", 5, 1, 2), note("asked", 0, 2, 3), note("granted", 5, 2, 4)}, func(f *Figures) bool { return f.TokenRegressions == 0 || f.Linearizable }},
		"a token granted after a higher one": {nil, []resource.Note{note("asked", 0, 1, 1), note("granted", 5, 1, 2), note("asked", 0, 2, 3), note("granted", 4, 2, 4)}, func(f *Figures) bool { return f.TokenRegressions == 0 || f.Linearizable }},
	} {
		f := new(Figures)
		f.check(c.effects, c.notes, 100*ms, func(resource.Effect) bool { return false })
		if c.bad(f) {
			t.Errorf("%s: unexpected result of the check: %s, notes %v", name, f, f.Notes)
		}
	}
}
