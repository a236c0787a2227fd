// Command cairnlane is one playback replica: it takes requests from routers, decides with the policy
// module what to run, refuse or hold, and has the engine on the same machine do the work.
//
// Without arguments it is the platform's replica. With arguments it is the appliance, which is a program of its own,
// cairnsite, beside this one: its libraries would cost the replica memory that the platform does not give.
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
	daemon.Catch()
	if len(os.Args) > 1 {
		fail(appliance(os.Args))
	}
	logging.Start(os.Stderr, logging.Config{})
	fail(daemon.Platform())
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "cairnlane:", err)
	os.Exit(1)
}

// appliance becomes the program beside this one.
func appliance(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	beside := filepath.Join(filepath.Dir(self), "cairnsite")
	err = syscall.Exec(beside, append([]string{"cairnlane"}, args[1:]...), os.Environ())
	return fmt.Errorf("%s is needed for %q and cannot be started: %w; `make build` makes both", beside, args[1], err)
}
