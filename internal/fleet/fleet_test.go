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

// alone is a fleet of one box whose clock can be moved on.
type alone struct {
	*Fleet
	skip atomic.Int64
	set  counters.Set
	dir  string

	wrong atomic.Bool // configurations are turned down
}

// check is what a build says of a configuration.
func (a *alone) check(_ uint64, body []byte) (needs uint64, r rollout.Rules, err error) {
	r = rollout.Rules{Grace: time.Minute, Floor: 0.5}
	switch {
	case a.wrong.Load() || string(body) == "wrong":
		err = errors.New("line 1: wrong")
	case string(body) == "hasty":
		r.Grace = time.Second
	case string(body) == "later":
		needs = 9
	}
	return needs, r, err
}

func (a *alone) now() time.Duration { return clock.Boot() + time.Duration(a.skip.Load()) }

var terms = lease.Terms{Term: 2 * time.Second, Drift: 0.01}

func begin(t *testing.T) *alone {
	t.Helper()
	return beginWith(t, func(*Config) {})
}

// beginWith begins one whose configuration is changed before.
func beginWith(t *testing.T, change func(*Config)) *alone {
	t.Helper()
	dir := t.TempDir()
	key := filepath.Join(dir, "fleet.key")
	if err := os.WriteFile(key, []byte("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	a := &alone{dir: filepath.Join(dir, "audit")}
	wall := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	log, _, err := audit.Open(a.dir, "a", audit.DefaultLimits, wall)
	if err != nil {
		t.Fatal(err)
	}
	store, _, err := configs.Open(faultfs.Disk{}, filepath.Join(dir, "configs"))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Configs: store, Number: 1, Check: a.check, Audit: log, Acts: audit.Build{Program: "test"}, Name: "a", Listen: "127.0.0.1:0", Peers: map[string]string{"a": ""}, KeyFile: key, Dir: filepath.Join(dir, "fleet"), Build: "test",
		Timing: ledger.Timing{Beat: 20 * time.Millisecond, Election: 100 * time.Millisecond, Poll: 100 * time.Millisecond, Gather: time.Millisecond}, Now: a.now, Told: t.Logf}
	change(&cfg)
	if a.Fleet, err = Open(cfg, &a.set); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	if err := a.Init(terms, []string{"a"}); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *alone) acquire(t *testing.T, task string) *Task {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	k, err := a.Acquire(ctx, lease.Request{Task: task, Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestAnEffectIsMadeUnderAPermitAlone(t *testing.T) {
	a := begin(t)
	k := a.acquire(t, "x")
	var token uint64
	if err := k.Act(time.Millisecond, func(p Permit) error { token = p.Token; return nil }); err != nil || token == 0 {
		t.Fatalf("token %d, %v", token, err)
	}
	if err := k.Act(terms.Term, func(Permit) error { t.Error("an effect that does not end within the lease is made"); return nil }); !errors.Is(err, lease.ErrShort) {
		t.Error(err)
	}
	wrong := errors.New("the effect's own")
	if err := k.Act(time.Millisecond, func(Permit) error { return wrong }); err != wrong {
		t.Error(err)
	}
	a.Fleet.mu.Lock() // as if the process had been stopped: nothing is renewed meanwhile
	a.skip.Add(int64(terms.Term))
	err := a.node.May(a.now(), k.ask, 0)
	a.Fleet.mu.Unlock()
	if !errors.Is(err, lease.ErrLate) {
		t.Errorf("after a stop of a term: %v", err)
	}
	k.Release()
	if err := k.Act(0, func(Permit) error { t.Error("acts after it was given back"); return nil }); err == nil {
		t.Error("allowed after it was given back")
	}
	next := a.acquire(t, "x")
	next.Act(time.Millisecond, func(p Permit) error {
		if p.Token <= token {
			t.Errorf("token %d after %d", p.Token, token)
		}
		return nil
	})
	slow := next.Act(time.Millisecond, func(Permit) error { a.skip.Add(int64(10 * time.Millisecond)); return nil })
	if n := a.set.Get("fleet_effects_over_time").Load(); slow != nil || n == 0 {
		t.Errorf("an effect over its time: %v, %d counted", slow, n)
	}
}

func TestWhoWaitsCanGiveUpAndWhatIsWrongIsSaid(t *testing.T) {
	a := begin(t)
	a.acquire(t, "x")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := a.Acquire(ctx, lease.Request{Task: "x", Slots: 1}); !errors.Is(err, ErrWaiting) {
		t.Error(err)
	}
	if _, err := a.Acquire(context.Background(), lease.Request{Task: "x", Slots: 2}); !errors.Is(err, lease.ErrSlots) {
		t.Error(err)
	}
	if err := a.Free(99); err != errNoToken {
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
	if m := a.Members(); len(m) != 1 || m[0].State != There || !m[0].Votes {
		t.Errorf("%+v", m)
	}
	if s := a.Status(); !s.Agrees || s.Reason != "" || s.Role != "leader" {
		t.Errorf("%+v", s)
	}
}

// TestTheAuditHasWhatWasDone compares it with what was done, and with what the ledger knows of it.
func TestTheAuditHasWhatWasDone(t *testing.T) {
	a := begin(t)
	k := a.acquire(t, "x")
	for range 5 {
		if err := k.Act(time.Millisecond, func(Permit) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	k.Act(time.Millisecond, func(Permit) error { return errors.New("went wrong") })
	k.Act(terms.Term, func(Permit) error { return nil })
	a.Note(audit.Drain, true, "by an operator")
	if a.tellMark(0) == 0 {
		t.Fatal("no mark is told")
	}
	until(t, "the mark in the ledger", func() bool { return len(a.Marks()["a"]) == 1 })
	book, err := audit.Read(a.dir)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[audit.Kind]int{}
	token := k.ask.Token
	for _, e := range book.Entries {
		kinds[e.Kind]++
		if e.Kind == audit.Effect && (e.Token != token || e.Task != "x" || e.Index == 0 || e.Session == 0) {
			t.Errorf("%+v", e)
		}
		if e.Kind == audit.Done {
			kinds[0] += map[bool]int{true: 1}[e.OK]
		}
	}
	if kinds[audit.Effect] != 7 || kinds[audit.Done] != 7 || kinds[0] != 5 || kinds[audit.Version] != 1 || kinds[audit.Drain] != 1 || kinds[audit.Standing] == 0 {
		t.Errorf("%v", kinds)
	}
	var marks []audit.Mark
	for _, m := range a.Marks()["a"] {
		mark, err := Mark(m)
		if err != nil {
			t.Fatal(err)
		}
		marks = append(marks, mark)
	}
	if proven, _ := book.Against(marks); proven != 1 || len(book.Faults) > 0 {
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
	if cut.Against(marks); len(cut.Faults) == 0 {
		t.Error("half of it is gone, and nothing is found")
	}
}

// groups stand in for the system's.
type groups struct{ killed, alive atomic.Int64 }

func (g *groups) Kill(pgid int)       { g.killed.Store(int64(pgid)); g.alive.Store(0) }
func (g *groups) Alive(pgid int) bool { return g.alive.Load() == int64(pgid) }

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: ", what)
		}
	}
}

// TestTheDeskEndsWhatNobodyLooksAfter has a caller stay away, as a cairnctl that was stopped.
func TestTheDeskEndsWhatNobodyLooksAfter(t *testing.T) {
	a := begin(t)
	g := new(groups)
	d := NewDesk(a.Fleet, g)
	defer d.Close()
	id, err := d.Begin(lease.Request{Task: "x", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the slot", func() bool {
		s, err := d.Poll(id, 10*time.Millisecond)
		return err == nil && s.Left > 0
	})
	g.alive.Store(77)
	if err := d.Command(id, 77); err != nil {
		t.Fatal(err)
	}
	a.skip.Add(int64(terms.Acting()/2 + time.Millisecond))
	until(t, "the end of the group", func() bool { return g.killed.Load() == 77 })
	until(t, "the slot given back", func() bool { return len(a.Leases()) == 0 })
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
	a.skip.Add(int64(terms.Acting()/2 + time.Millisecond))
	time.Sleep(3 * sweepEach)
	if _, err := d.Poll(kept, 0); err != nil {
		t.Errorf("what is kept is gone: %v", err)
	}
}

func TestASecondProcessDoesNotGetTheFolder(t *testing.T) {
	a := begin(t)
	if _, err := Open(a.cfg, new(counters.Set)); err == nil {
		t.Error("two processes have one folder")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg := a.cfg
	cfg.Dir, cfg.Listen = t.TempDir(), ln.Addr().String()
	if _, err := Open(cfg, new(counters.Set)); err == nil {
		t.Error("the address is another's")
	}
	again, err := ledger.OpenStore(cfg.Dir) // what failed has let go of its folder
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
