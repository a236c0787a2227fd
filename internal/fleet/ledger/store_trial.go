//go:build trial

package ledger

import (
	"os"
	"path/filepath"
	"syscall"
)

var errTrialFull error = syscall.ENOSPC

// trialFull has the disk be full while a file of the name "full" stands in the folder. For trials alone: filling a disk
// takes rights that a trial does not have.
func trialFull(dir string) func() bool {
	return func() bool {
		_, err := os.Stat(filepath.Join(dir, "full"))
		return err == nil
	}
}
