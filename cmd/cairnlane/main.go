// Command cairnlane is one replica: it receives requests from routers, decides with the policy module which to run,
// reject or queue, and passes runs to the engine on the same machine.
//
// Without arguments it is the platform's replica. With arguments it executes the appliance, a separate program named
// cairnsite in the same folder: the appliance's libraries need more memory than the platform gives a replica.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"cairnlane/internal/daemon"
	"cairnlane/internal/logging"
)

func main() {
	daemon.CatchSignals()
	if len(os.Args) > 1 {
		fail(execAppliance(os.Args))
	}
	logging.Setup(os.Stderr, logging.Config{})
	fail(daemon.RunFromEnvironment())
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "cairnlane:", err)
	os.Exit(1)
}

// execAppliance replaces the process with cairnsite, which must be in the same folder as this program.
func execAppliance(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	appliancePath := filepath.Join(filepath.Dir(self), "cairnsite")
	err = syscall.Exec(appliancePath, append([]string{"cairnlane"}, args[1:]...), os.Environ())
	return fmt.Errorf("cannot start %s, which is needed for %q: %w; `make build` builds both programs", appliancePath, args[1], err)
}
