package replace

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnlane/internal/daemon"
	"cairnlane/internal/settings"
)

// TestMain is the replica's process when the trial starts this binary again.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_INHERITED_FD") == "" {
		os.Exit(m.Run())
	}
	path := os.Getenv("RELAY_CONFIG")
	cfg, err := settings.Load(path)
	if err == nil {
		err = cfg.Environment(os.Getenv)
	}
	if err == nil {
		err = daemon.Run(path, cfg, nil, nil)
	}
	os.Stderr.WriteString(err.Error())
	os.Exit(1)
}

const site = "../../../examples/config.json"

// until waits for what has to come.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: ", what)
		}
	}
}

// TestDrainAndReloadInAnOverlap has the operator drain the replica at the new process, both processes read a new
// configuration that moves their engine, and the drain end at the old one, all while both take clients.
func TestDrainAndReloadInAnOverlap(t *testing.T) {
	w, err := begin(Config{Seed: 2, Command: []string{os.Args[0]}, Site: site, Dir: t.TempDir(), Sockets: 256})
	if err != nil {
		t.Fatal(err)
	}
	defer w.end()
	old := w.alive[0]
	next, err := w.start()
	if err != nil || !w.ready(next) {
		t.Fatal(err, next.log())
	}
	call := func(p *process, call string) {
		t.Helper()
		if _, err := w.ask(p, call); err != nil {
			t.Fatalf("%s: %v", call, err)
		}
	}
	says := func(p *process, words string) func() bool {
		return func() bool { return strings.Contains(p.log(), words) }
	}
	checks := func() { // by whichever process takes them
		n := atomic.LoadInt64(&w.fig.Checks)
		until(t, "health checks", func() bool { return atomic.LoadInt64(&w.fig.Checks) >= n+10 })
	}
	w.pause.Store(true)
	call(next, "drain-on")
	call(next, "drain-on")
	until(t, "the drain at the other process", says(old, "is drained by the operator"))
	w.drained.Store(true)
	w.pause.Store(false)
	checks()
	for _, p := range []*process{old, next} {
		before := p.engine
		if p.engine, err = w.engine.Move(before); err != nil {
			t.Fatal(err)
		}
		if err := w.configure(p); err != nil {
			t.Fatal(err)
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
		until(t, "the new configuration", says(p, "configuration read anew"))
	}
	w.pause.Store(true)
	call(old, "drain-off")
	until(t, "the end of the drain at the other process", says(next, "was drained by the operator and is serving"))
	w.drained.Store(false)
	w.pause.Store(false)
	checks()
	old.cmd.Process.Signal(syscall.SIGTERM)
	<-old.ended
	if !strings.Contains(old.log(), "is handing over") || old.err != nil {
		t.Errorf("the old process ended with %v: %s", old.err, old.log())
	}
	f := w.finish()
	if missed := f.Missed(); len(missed) > 0 {
		t.Errorf("missed %s\n%s\n%s", strings.Join(missed, ", "), f, strings.Join(f.Notes, "\n"))
	}
}

// TestReplacementsUnderLoad is the short form of `make replace`.
func TestReplacementsUnderLoad(t *testing.T) {
	f, err := Run(Config{Seed: 1, Replacements: 12, Command: []string{os.Args[0]}, Site: site, Dir: t.TempDir(), Sockets: 256})
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.Missed(); len(missed) > 0 || f.Kills == 0 {
		t.Errorf("missed %s\n%s\n%s", strings.Join(missed, ", "), f, strings.Join(f.Notes, "\n"))
	}
	t.Log(f)
}
