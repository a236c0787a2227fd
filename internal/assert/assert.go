// Package assert checks invariants at run time. A failed check panics in builds with the debug tag. In release builds the
// failure is counted, the first failure of each invariant is written to standard error, and the caller continues on its safe path.
package assert

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync"
)

var (
	mu       sync.Mutex
	failures = map[string]int64{} // by invariant
)

// That checks one invariant and reports whether it holds, so that callers can take a safe path when it does not. invariant
// describes the condition and is the key under which failures are counted.
func That(ok bool, invariant string) bool {
	if ok {
		return true
	}
	if panics {
		panic("assert: " + invariant)
	}
	mu.Lock()
	defer mu.Unlock()
	failures[invariant]++
	if failures[invariant] == 1 {
		fmt.Fprintln(os.Stderr, "cairnlane: invariant does not hold:", invariant)
	}
	return false
}

// CountPanic handles the value recovered from a panic in the processing of a connection's input. The value and the stack are written to standard error. Builds with the debug tag then exit with status 2; in
// release builds the panic is counted like a failed check and the caller closes only that connection.
func CountPanic(where string, recovered any) {
	fmt.Fprintf(os.Stderr, "cairnlane: panic at %s: %v\n%s", where, recovered, debug.Stack())
	if panics {
		os.Exit(2)
	}
	mu.Lock()
	defer mu.Unlock()
	failures["no panic at "+where]++
}

// Failures returns the number of failed checks and counted panics since the process started.
func Failures() int64 {
	mu.Lock()
	defer mu.Unlock()
	sum := int64(0)
	for _, n := range failures {
		sum += n
	}
	return sum
}
