// Package rigtest lets a test binary also run as the boxes of a site, so that the short forms of trials need no other program.
package rigtest

import (
	"os"
	"os/exec"
	"testing"

	"cairnlane/internal/appliance"
	"cairnlane/internal/daemon"
	"cairnlane/internal/lab/actor"
)

const serveVariable = "CAIRNLANE_TEST_SERVE"

// Main runs the tests, or runs a box if this process was started with the command of Serve.
func Main(m *testing.M) {
	path := os.Getenv(serveVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	err := appliance.Serve(path, os.Stderr, func(b *appliance.Box) daemon.Component {
		return &actor.Part{Box: b.Name(), Fleet: b.Fleet().Running}
	})
	os.Stderr.WriteString(err.Error())
	os.Exit(1)
}

// Serve returns the command that runs this binary as a box with the configuration at path.
func Serve(path string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveVariable+"="+path)
	return cmd
}
