//go:build !trial

package ledger

import "errors"

var errTrialFull = errors.New("no space left")

// trialFull returns nil: a release build cannot simulate a full disk.
func trialFull(string) func() bool { return nil }
