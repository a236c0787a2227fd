package replace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

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

// TestReplacementsUnderLoad is the short form of `make replace`.
func TestReplacementsUnderLoad(t *testing.T) {
	site, err := filepath.Abs("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Run(Config{Seed: 1, Replacements: 12, Command: []string{os.Args[0]}, Site: site, Dir: t.TempDir(), Sockets: 256})
	if err != nil {
		t.Fatal(err)
	}
	if missed := f.Missed(); len(missed) > 0 || f.Kills == 0 {
		t.Errorf("missed %s\n%s\n%s", strings.Join(missed, ", "), f, strings.Join(f.Notes, "\n"))
	}
	t.Log(f)
}
