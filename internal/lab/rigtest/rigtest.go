// Package rigtest lets a test's own binary be the boxes of a site, so that short forms of trials need no other program.
package rigtest

import (
	"os"
	"os/exec"
	"testing"

	"cairnlane/internal/appliance"
	"cairnlane/internal/daemon"
	"cairnlane/internal/lab/actor"
)

const serveEnv = "CAIRNLANE_TEST_SERVE"

// Main runs the tests, or is a box's process when a trial has started this binary again.
func Main(m *testing.M) {
	path := os.Getenv(serveEnv)
	if path == "" {
		os.Exit(m.Run())
	}
	err := appliance.Serve(path, os.Stderr, func(b *appliance.Box) daemon.Part {
		return &actor.Part{Box: b.Name(), Fleet: b.Fleet().Running}
	})
	os.Stderr.WriteString(err.Error())
	os.Exit(1)
}

// Serve starts this binary as a box with a configuration.
func Serve(path string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveEnv+"="+path)
	return cmd
}
