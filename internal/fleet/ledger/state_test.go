package ledger

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/voters"
)

// sampleState returns a state with sessions, a holder and waiters.
func sampleState(t *testing.T) *State {
	t.Helper()
	s := NewState(5, lease.Terms{Term: time.Second, Drift: 0.01}, []string{"a"}, "a", 9)
	for i, c := range []lease.Command{{Kind: lease.Join, Box: "a", Nonce: 1, JoinAttempt: 1}, {Kind: lease.Join, Box: "b", Nonce: 2, JoinAttempt: 1}} {
		if err := s.Table.Apply(s.Index<<8|uint64(i), c); err != nil {
			t.Fatal(err)
		}
	}
	a, b := s.Table.CurrentSessions["a"], s.Table.CurrentSessions["b"]
	for _, c := range []lease.Command{{Kind: lease.Acquire, Session: a, Seq: 1, Task: "x", Slots: 1}, {Kind: lease.Acquire, Session: b, Seq: 1, Task: "x", Slots: 1}, {Kind: lease.Acquire, Session: b, Seq: 2, Task: "y", Slots: 2, Sticky: true}} {
		if err := s.Table.Apply(0, c); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestStateEncodingIsDeterministic(t *testing.T) {
	s := sampleState(t)
	raw := s.Encode()
	back, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 { // the iteration order of maps differs each time
		if !bytes.Equal(back.Encode(), raw) || !bytes.Equal(back.Clone().Encode(), raw) {
			t.Fatal("encodings differ")
		}
	}
	for cut := range raw {
		if _, err := Decode(raw[:cut]); err == nil {
			t.Fatalf("state truncated to %d of %d bytes accepted", cut, len(raw))
		}
	}
}

func TestLaterVersionIsNotApplied(t *testing.T) {
	s := sampleState(t)
	raw, _ := encoding.Marshal(Entry{Version: Version + 1})
	before := s.Digest()
	if _, _, err := s.apply(Record{Index: s.Index + 1, Data: raw}); !errors.Is(err, ErrVersion) || s.Digest() != before {
		t.Errorf("%v", err)
	}
	s.Version = Version + 1
	if _, err := Decode(s.Encode()); !errors.Is(err, ErrVersion) {
		t.Errorf("snapshot of a later build: %v", err)
	}
}

func TestNewEraStartsAboveAllIssuedNumbers(t *testing.T) {
	s := sampleState(t)
	n := s.NextEra("b", 11)
	if n.Index <= s.Index+1<<39 || n.Table.Token <= s.Table.Token+1<<39 || n.Table.SuspendedAt == 0 {
		t.Errorf("index %d after %d, token %d after %d, suspended at %d", n.Index, s.Index, n.Table.Token, s.Table.Token, n.Table.SuspendedAt)
	}
	if len(n.Voters) != 1 || n.Voters["b"] != (voters.Voter{ID: 11}) || s.Voters["a"].ID != 9 {
		t.Errorf("voters %v, and before %v", n.Voters, s.Voters)
	}
}

// TestEntryHasMinimumVersion checks that entries and states carry the minimum version that they require, so that older builds
// can apply them as long as they support all commands.
func TestEntryHasMinimumVersion(t *testing.T) {
	if v := versionOf([]lease.Command{{Kind: lease.Renew}, {Kind: lease.Report}}); v != 1 {
		t.Errorf("commands of version 1 require version %d", v)
	}
	if v := versionOf([]lease.Command{{Kind: lease.Renew}, {Kind: lease.CarryPayload}}); v != 2 {
		t.Errorf("roll-out command requires version %d, want 2", v)
	}
	s := sampleState(t)
	if again, err := Decode(s.Encode()); err != nil || again.Version != 1 || again.Rollout != nil {
		t.Errorf("state without roll-outs has version %d: %v", again.Version, err)
	}
}
