package replica

import (
	"fmt"
	"testing"
	"time"

	"cairnlane/policy"
)

// TestDroppedKeysLeaveNothingBehind guards against memory that grows with the rate of keys: an entry whose key was free again, or
// whose result was evicted, stayed in a list of the table until older entries had expired.
func TestDroppedKeysLeaveNothingBehind(t *testing.T) {
	b := newHarness(t)
	first := b.arrive("kept", 0, time.Second)
	b.end(first.txn, policy.Succeeded)
	for i := range 2000 { // all inside the window of the first key
		rejected := b.arrive(fmt.Sprint("rejected ", i), 0, time.Second)
		b.Rejected(rejected.txn)
	}
	for i := range 20 { // the results evict each other
		b.end(b.arrive(fmt.Sprint("stored ", i), 0, time.Second).txn, policy.Succeeded)
	}
	held := len(b.keys.byName)
	if held != 21 || len(b.keys.byHolder) != held || len(b.keys.expiries) != held {
		t.Errorf("%d names, %d holders and %d expiries, want 21 of each", held, len(b.keys.byHolder), len(b.keys.expiries))
	}
	stored := 0
	for _, k := range b.keys.byName {
		stored += len(k.result)
	}
	if n := b.keys.results.Len(); n > 21 || stored != b.keys.resultBytes || stored > 64 {
		t.Errorf("%d results of %d bytes, counted as %d, limit 64", n, stored, b.keys.resultBytes)
	}
	b.clock.Advance(500 * ms)
	b.arrive("kept", 0, time.Second) // the key itself is inside its window
	if len(b.runs) != 2021 {
		t.Errorf("%d runs, want 2021: a key inside its window was dropped", len(b.runs))
	}
}

// TestExpiredKeysAreDroppedAtOnce guards against a backlog of expired keys: a tick dropped 64 at most, so that keys made faster
// than that stayed for longer and longer.
func TestExpiredKeysAreDroppedAtOnce(t *testing.T) {
	table := newKeyTable(64)
	const entries = 5000
	for i := range entries {
		table.enter(&key{name: fmt.Sprint("u ", i), holder: policy.RequestID(i + 1), ended: true, ran: true, windowEnd: time.Second, dropAt: time.Second})
	}
	table.enter(&key{name: "u open", holder: entries + 1, ran: true, windowEnd: time.Second, dropAt: time.Second})
	table.enter(&key{name: "u late", holder: entries + 2, ran: true, ended: true, windowEnd: 3 * time.Second, dropAt: 3 * time.Second})
	table.expire(2 * time.Second)
	if len(table.byName) != 2 || table.byName["u open"] == nil || table.byName["u late"] == nil {
		t.Errorf("%d entries after their windows, want the one that runs and the one inside its window", len(table.byName))
	}
}
