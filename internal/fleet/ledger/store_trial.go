//go:build trial

package ledger

import (
	"os"
	"path/filepath"
	"syscall"
)

var errTrialFull error = syscall.ENOSPC

// trialFull returns a function that reports a full disk while the folder contains a file named "full". Trials use it because
// they lack the privileges to fill a real disk.
func trialFull(dir string) func() bool {
	return func() bool {
		_, err := os.Stat(filepath.Join(dir, "full"))
		return err == nil
	}
}
