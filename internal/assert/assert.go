// Package assert holds the checks of what must always hold. A failed check panics in builds with
// the debug tag; in release builds it is counted and named once, and the caller carries on safely.
package assert

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync"
)

var (
	mu     sync.Mutex
	failed = map[string]int64{}
)

// That checks one invariant and returns whether it holds, so that callers can take the safe way.
func That(ok bool, invariant string) bool {
	if ok {
		return true
	}
	if panics {
		panic("assert: " + invariant)
	}
	mu.Lock()
	defer mu.Unlock()
	failed[invariant]++
	if failed[invariant] == 1 {
		fmt.Fprintln(os.Stderr, "cairnlane: invariant does not hold:", invariant)
	}
	return false
}

// Panicked takes what a callback on one connection has panicked with, which would otherwise end in netpoll's pool as a
// line in the log. In release builds it is counted like a check that failed, the stack is printed, and the caller ends
// that connection alone; builds with the debug tag end.
func Panicked(where string, p any) {
	fmt.Fprintf(os.Stderr, "cairnlane: panic at %s: %v\n%s", where, p, debug.Stack())
	if panics {
		os.Exit(2)
	}
	mu.Lock()
	defer mu.Unlock()
	failed["no panic at "+where]++
}

// Failures tells how many checks have failed since the start.
func Failures() int64 {
	mu.Lock()
	defer mu.Unlock()
	sum := int64(0)
	for _, n := range failed {
		sum += n
	}
	return sum
}
