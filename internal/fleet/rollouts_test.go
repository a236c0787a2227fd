package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/state/audit"
)

// waitInForce waits until the box has nothing left to do and inForce is in force.
func (a *soloFleet) waitInForce(t *testing.T, inForce uint64) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for {
		r := a.Rollouts()
		if r.Table.Current == nil && r.InForce == inForce && r.Table.Boxes["a"].InForce == inForce {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d is not in force: %+v %+v", inForce, r, r.Table)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// rollOut submits a configuration, rolls it out and returns its number.
func (a *soloFleet) rollOut(t *testing.T, body string) uint64 {
	t.Helper()
	n, err := a.PutConfig([]byte(body), "x")
	if err == nil {
		err = a.StartRollout(n, rollout.Plan{Canaries: 1, Share: 1, Timeout: time.Minute, Slots: 1}, "x")
	}
	if err != nil {
		t.Fatal(err)
	}
	a.waitInForce(t, n)
	return n
}

// TestConfigRolloutReachesPermitsAndAudit follows a configuration from submission to the permit of an effect and the audit log.
func TestConfigRolloutReachesPermitsAndAudit(t *testing.T) {
	a := startSolo(t)
	fast := rollout.Plan{Canaries: 1, Share: 1, Timeout: time.Minute, Slots: 1}
	if _, err := a.PutConfig([]byte("wrong"), "x"); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("an invalid configuration: %v", err)
	}
	if _, err := a.PutConfig([]byte("hasty"), "x"); err == nil || !strings.Contains(err.Error(), "grace") {
		t.Errorf("too short a grace: %v", err)
	}
	if _, err := a.PutConfig([]byte("later"), "x"); err == nil || !strings.Contains(err.Error(), "build of number 9") {
		t.Errorf("a configuration for a later build: %v", err)
	}
	if _, err := a.PutConfig(make([]byte, rollout.MaxSize+1), "x"); err == nil {
		t.Error("a configuration above the size limit was accepted")
	}
	var n uint64
	for i, body := range []string{"one", "two"} {
		var err error
		if n, err = a.PutConfig([]byte(body), "x"); err != nil || n != uint64(i+1) {
			t.Fatalf("number %d, %v", n, err)
		}
	}
	if err := a.StartRollout(9, fast, "x"); !errors.Is(err, rollout.ErrUnknown) {
		t.Error(err)
	}
	if err := a.ChangeRollout(rollout.Abort, "", "x"); !errors.Is(err, ErrNoRollout) {
		t.Error(err)
	}
	k := a.acquire(t, "task")
	permit := func() (p Permit, err error) {
		err = k.Act(time.Millisecond, func(got Permit) error { p = got; return nil })
		return p, err
	}
	if p, err := permit(); err != nil || p.Version != 0 || p.Lowest != 0 {
		t.Errorf("before: %+v, %v", p, err)
	}
	if err := a.StartRollout(1, fast, "x"); err != nil {
		t.Fatal(err)
	}
	a.waitInForce(t, 1)
	if p, err := permit(); err != nil || p.Version != 1 || p.Lowest != 1 {
		t.Errorf("after: %+v, %v", p, err)
	}
	if b, err := a.Body(1); err != nil || string(b) != "one" {
		t.Errorf("%q, %v", b, err)
	}
	a.rejectConfigs.Store(true) // as with another build: the configuration is rejected here and rolled back
	if err := a.StartRollout(2, fast, "x"); err != nil {
		t.Fatal(err)
	}
	a.waitInForce(t, 1)
	if past := a.Rollouts().Table.Finished; past[len(past)-1].Phase != rollout.RolledBack || !strings.Contains(past[len(past)-1].Why, "turned down by a") {
		t.Errorf("%+v", past)
	}
	b, err := audit.Read(a.dir)
	if err != nil || len(b.Faults) > 0 {
		t.Fatal(err, b.Faults)
	}
	var events []string
	under := uint64(0)
	for _, e := range b.Entries {
		switch e.Kind {
		case audit.Version:
			events = append(events, "in force "+string(rune('0'+e.Build.Fleet)))
			under = e.Build.Fleet
		case audit.Config:
			events = append(events, map[bool]string{true: "accepted", false: "rejected"}[e.OK])
		case audit.Effect:
			events = append(events, "acts")
			if e.Under != under {
				t.Errorf("an effect was recorded under %d while %d was in force", e.Under, under)
			}
		}
	}
	if got := strings.Join(events, ", "); got != "in force 0, acts, accepted, in force 1, acts, rejected" {
		t.Error(got)
	}
}

// TestBoxBehindLowestVersionBeginsNoEffects checks that a box behind the lowest version may begin no effect, even with a lease.
func TestBoxBehindLowestVersionBeginsNoEffects(t *testing.T) {
	a := startSolo(t)
	if _, err := a.PutConfig([]byte("one"), "x"); err != nil {
		t.Fatal(err)
	}
	k := a.acquire(t, "task")
	a.rejectConfigs.Store(true)
	a.Fleet.mu.Lock()
	table := a.node.ledger.State().Rollout
	table.Target, table.Lowest = 1, 1 // the fleet has a later version in force, and this box rejects it
	a.node.rollouts.dueAt = 0
	a.node.advanceRollout(a.now())
	err := a.node.CheckEffect(a.now(), k.request, 0)
	stands := a.node.Standing()
	list := a.node.Stragglers(a.now())
	table.Target, table.Lowest = 0, 0
	a.Fleet.mu.Unlock()
	if !errors.Is(err, ErrBehind) || stands.MayAct() || !k.request.StopRequested || len(list) != 1 || list[0].Box != "a" {
		t.Errorf("%v, %v, %+v", err, stands, list)
	}
}

// TestBoxDoesNotRevertDuringLedgerReplay covers a restarted voter that replays its log: the older target in it must not be followed.
func TestBoxDoesNotRevertDuringLedgerReplay(t *testing.T) {
	a := startSolo(t)
	fast := rollout.Plan{Canaries: 1, Share: 1, Timeout: time.Minute, Slots: 1}
	for n, body := range []string{"one", "two"} {
		if _, err := a.PutConfig([]byte(body), "x"); err != nil {
			t.Fatal(err)
		}
		if err := a.StartRollout(uint64(n+1), fast, "x"); err != nil {
			t.Fatal(err)
		}
		a.waitInForce(t, uint64(n+1))
	}
	a.Fleet.mu.Lock()
	defer a.Fleet.mu.Unlock()
	state := a.node.ledger.State()
	table, index := state.Rollout, state.Index
	was := table.Clone()
	table.Target, table.Lowest, state.Index = 1, 1, index-5
	a.node.advanceRollout(a.now())
	if n := a.node.InForce(); n != 2 {
		t.Errorf("the box reverted to configuration %d", n)
	}
	*table, state.Index = *was, index
}
