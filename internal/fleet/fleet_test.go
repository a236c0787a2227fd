package fleet

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"cairnlane/internal/clock"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/faultfs"
	"cairnlane/internal/fleet/ledger"
	"cairnlane/internal/state/audit"
	"cairnlane/internal/state/configs"
)

// soloFleet is a fleet of one box whose clock can be advanced.
type soloFleet struct {
	*Fleet
	clockOffset atomic.Int64
	counters    counters.Set
	dir         string

	rejectConfigs atomic.Bool // check rejects every configuration
}

// check is a fake of a build's check of a configuration.
func (a *soloFleet) check(_ uint64, body []byte) (needs uint64, r rollout.Rules, err error) {
	r = rollout.Rules{Grace: time.Minute, Floor: 0.5}
	switch {
	case a.rejectConfigs.Load() || string(body) == "wrong":
		err = errors.New("line 1: wrong")
	case string(body) == "hasty":
		r.Grace = time.Second
	case string(body) == "later":
		needs = 9
	}
	return needs, r, err
}

func (a *soloFleet) now() time.Duration {
	return clock.SinceBoot() + time.Duration(a.clockOffset.Load())
}

var testTerms = lease.Terms{Term: 2 * time.Second, Drift: 0.01}

func startSolo(t *testing.T) *soloFleet {
	t.Helper()
	return startSoloWith(t, func(*Config) {})
}

// startSoloWith starts a fleet after change has adjusted its configuration.
func startSoloWith(t *testing.T, change func(*Config)) *soloFleet {
	t.Helper()
	dir := t.TempDir()
	key := filepath.Join(dir, "fleet.key")
	if err := os.WriteFile(key, []byte("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	a := &soloFleet{dir: filepath.Join(dir, "audit")}
	wall := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	log, _, err := audit.Open(a.dir, "a", audit.DefaultLimits, wall)
	if err != nil {
		t.Fatal(err)
	}
	store, _, err := configs.Open(faultfs.Disk{}, filepath.Join(dir, "configs"))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Configs: store, BuildNumber: 1, CheckConfig: a.check, Audit: log, AuditBuild: audit.Build{Program: "test"}, Name: "a", Listen: "127.0.0.1:0", Peers: map[string]string{"a": ""}, KeyFile: key, Dir: filepath.Join(dir, "fleet"), Build: "test",
		Timing: ledger.Timing{Heartbeat: 20 * time.Millisecond, Election: 100 * time.Millisecond, Poll: 100 * time.Millisecond, BatchDelay: time.Millisecond}, Now: a.now, Logf: t.Logf}
	change(&cfg)
	if a.Fleet, err = Open(cfg, &a.counters); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	if err := a.Init(testTerms, []string{"a"}); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *soloFleet) acquire(t *testing.T, task string) *Task {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	k, err := a.Acquire(ctx, lease.Request{Task: task, Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestEffectRequiresValidPermit(t *testing.T) {
	a := startSolo(t)
	k := a.acquire(t, "x")
	var token uint64
	if err := k.Act(time.Millisecond, func(p Permit) error { token = p.Token; return nil }); err != nil || token == 0 {
		t.Fatalf("token %d, %v", token, err)
	}
	if err := k.Act(testTerms.Term, func(Permit) error { t.Error("an effect that cannot end within the lease was made"); return nil }); !errors.Is(err, lease.ErrTooShort) {
		t.Error(err)
	}
	effectErr := errors.New("error of the effect")
	if err := k.Act(time.Millisecond, func(Permit) error { return effectErr }); err != effectErr {
		t.Error(err)
	}
	a.Fleet.mu.Lock() // simulates a stopped process, which renews nothing
	a.clockOffset.Add(int64(testTerms.Term))
	err := a.node.CheckEffect(a.now(), k.request, 0)
	a.Fleet.mu.Unlock()
	if !errors.Is(err, lease.ErrMayBeExpired) {
		t.Errorf("after a stop of one lease term: %v", err)
	}
	k.Release()
	if err := k.Act(0, func(Permit) error { t.Error("an effect was made after the slot was released"); return nil }); err == nil {
		t.Error("Act returned no error after the slot was released")
	}
	next := a.acquire(t, "x")
	next.Act(time.Millisecond, func(p Permit) error {
		if p.Token <= token {
			t.Errorf("token %d after %d", p.Token, token)
		}
		return nil
	})
	slow := next.Act(time.Millisecond, func(Permit) error { a.clockOffset.Add(int64(10 * time.Millisecond)); return nil })
	if n := a.counters.Get("fleet_effects_over_time").Load(); slow != nil || n == 0 {
		t.Errorf("an effect that exceeded its time: error %v, counter %d", slow, n)
	}
}

func TestAcquireTimeoutAndOperatorCommands(t *testing.T) {
	a := startSolo(t)
	a.acquire(t, "x")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := a.Acquire(ctx, lease.Request{Task: "x", Slots: 1}); !errors.Is(err, ErrWaiting) {
		t.Error(err)
	}
	if _, err := a.Acquire(context.Background(), lease.Request{Task: "x", Slots: 2}); !errors.Is(err, lease.ErrSlotMismatch) {
		t.Error(err)
	}
	if err := a.Free(99); err != errUnknownToken {
		t.Error(err)
	}
	list := a.Leases()
	if len(list) != 1 || !list[0].Held || list[0].Box != "a" {
		t.Fatalf("%+v", list)
	}
	if err := a.StopEarly(list[0].Token); err != nil || !a.Leases()[0].Stop {
		t.Errorf("%v %+v", err, a.Leases())
	}
	if err := a.Free(list[0].Token); err != nil || len(a.Leases()) != 0 {
		t.Errorf("%v %+v", err, a.Leases())
	}
	if m := a.Members(); len(m) != 1 || m[0].State != Present || !m[0].Votes {
		t.Errorf("%+v", m)
	}
	if s := a.Status(); !s.Agrees || s.Reason != "" || s.Role != "leader" {
		t.Errorf("%+v", s)
	}
}

// TestAuditMatchesEffectsAndLedgerMarks compares the audit log with the effects made and with the marks in the ledger, and checks that a truncated log
// is detected.
func TestAuditMatchesEffectsAndLedgerMarks(t *testing.T) {
	a := startSolo(t)
	k := a.acquire(t, "x")
	for range 5 {
		if err := k.Act(time.Millisecond, func(Permit) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	k.Act(time.Millisecond, func(Permit) error { return errors.New("went wrong") })
	k.Act(testTerms.Term, func(Permit) error { return nil })
	a.RecordAudit(audit.Drain, true, "by an operator")
	if a.reportAuditHead(0) == 0 {
		t.Fatal("no audit head was reported")
	}
	waitFor(t, "the audit head in the ledger", func() bool { return len(a.AuditHeads()["a"]) == 1 })
	book, err := audit.Read(a.dir)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[audit.Kind]int{}
	token := k.request.Token
	for _, e := range book.Entries {
		kinds[e.Kind]++
		if e.Kind == audit.Effect && (e.Token != token || e.Task != "x" || e.Index == 0 || e.Session == 0) {
			t.Errorf("%+v", e)
		}
		if e.Kind == audit.EffectDone {
			kinds[0] += map[bool]int{true: 1}[e.OK]
		}
	}
	if kinds[audit.Effect] != 7 || kinds[audit.EffectDone] != 7 || kinds[0] != 5 || kinds[audit.Version] != 1 || kinds[audit.Drain] != 1 || kinds[audit.FleetStatus] == 0 {
		t.Errorf("%v", kinds)
	}
	var marks []audit.ChainHead
	for _, m := range a.AuditHeads()["a"] {
		mark, err := DecodeAuditHead(m)
		if err != nil {
			t.Fatal(err)
		}
		marks = append(marks, mark)
	}
	if proven, _ := book.VerifyMarks(marks); proven != 1 || len(book.Faults) > 0 {
		t.Errorf("%d proven, %v", proven, book.Faults)
	}
	list, _ := filepath.Glob(filepath.Join(a.dir, "*.aud"))
	raw, err := os.ReadFile(list[0])
	if err == nil {
		os.Remove(list[0])
		err = os.WriteFile(list[0], raw[:len(raw)/2], 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	cut, _ := audit.Read(a.dir)
	if cut.VerifyMarks(marks); len(cut.Faults) == 0 {
		t.Error("half of the audit file was removed, but no fault was found")
	}
}

// fakeGroups is a fake of ProcessGroups with one process group.
type fakeGroups struct{ killed, alive atomic.Int64 }

func (g *fakeGroups) Kill(pgid int)       { g.killed.Store(int64(pgid)); g.alive.Store(0) }
func (g *fakeGroups) Alive(pgid int) bool { return g.alive.Load() == int64(pgid) }

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 20 s: ", what)
		}
	}
}

// TestProcessSupervisorEndsRunsOfAbsentCallers lets a caller stop polling, as a stopped cairnctl does, and checks that its group is killed.
func TestProcessSupervisorEndsRunsOfAbsentCallers(t *testing.T) {
	a := startSolo(t)
	g := new(fakeGroups)
	d := NewProcessSupervisor(a.Fleet, g)
	defer d.Close()
	id, err := d.Begin(lease.Request{Task: "x", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the slot", func() bool {
		s, err := d.Poll(id, 10*time.Millisecond)
		return err == nil && s.Left > 0
	})
	g.alive.Store(77)
	if err := d.Command(id, 77); err != nil {
		t.Fatal(err)
	}
	a.clockOffset.Add(int64(testTerms.HolderDuration()/2 + time.Millisecond))
	waitFor(t, "the group to be killed", func() bool { return g.killed.Load() == 77 })
	waitFor(t, "the slot to be released", func() bool { return len(a.Leases()) == 0 })
	if _, err := d.Poll(id, 0); !errors.Is(err, ErrNoRun) {
		t.Error(err)
	}
	kept, err := d.Begin(lease.Request{Task: "y", Slots: 1, Sticky: true})
	if err == nil {
		err = d.Keep(kept)
	}
	if err != nil {
		t.Fatal(err)
	}
	a.clockOffset.Add(int64(testTerms.HolderDuration()/2 + time.Millisecond))
	time.Sleep(3 * sweepInterval)
	if _, err := d.Poll(kept, 0); err != nil {
		t.Errorf("the kept slot is gone: %v", err)
	}
}

func TestOpenFailsOnFolderOrAddressInUse(t *testing.T) {
	a := startSolo(t)
	if _, err := Open(a.cfg, new(counters.Set)); err == nil {
		t.Error("a second process opened the same folder")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg := a.cfg
	cfg.Dir, cfg.Listen = t.TempDir(), ln.Addr().String()
	if _, err := Open(cfg, new(counters.Set)); err == nil {
		t.Error("Open succeeded on an address in use")
	}
	again, err := ledger.OpenStore(cfg.Dir) // a failed Open must have released its folder
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
