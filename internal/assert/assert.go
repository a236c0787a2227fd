// Package assert holds the checks of what must always hold. A failed check panics in builds with
// the debug tag; in release builds it is counted and named once, and the caller carries on safely.
package assert

import (
	"fmt"
	"os"
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
