package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnlane/internal/clock"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
)

// fakeSlotHolder is a fake SlotHolder whose answers a test sets.
type fakeSlotHolder struct {
	mu       sync.Mutex
	polls    int
	pgid     int
	ended    bool
	beginErr error
	answer   func(n int, pgid int) (fleet.RunStatus, error)
}

func (d *fakeSlotHolder) Begin(lease.Request) (uint64, error) { return 1, d.beginErr }

func (d *fakeSlotHolder) Poll(uint64, time.Duration) (fleet.RunStatus, error) {
	d.mu.Lock()
	d.polls++
	n, pgid := d.polls, d.pgid
	d.mu.Unlock()
	if n > 1 {
		time.Sleep(2 * time.Millisecond)
	}
	s, err := d.answer(n, pgid)
	s.StateName = s.State.String()
	return s, err
}

func (d *fakeSlotHolder) Command(_ uint64, pgid int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pgid = pgid
	return nil
}

func (d *fakeSlotHolder) End(uint64) error { d.ended = true; return nil }

// heldForever answers with a lease that never expires.
func heldForever(int, int) (fleet.RunStatus, error) {
	return fleet.RunStatus{State: lease.Held, Token: 42, Left: 20 * time.Second}, nil
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct {
		poll    func(n, pgid int) (fleet.RunStatus, error)
		begin   error
		command string
		want    int
		output  string
	}{
		"own exit code":      {heldForever, nil, `exit 3`, 3, ""},
		"success":            {heldForever, nil, `test "$CAIRNLANE_TOKEN" = 42 && test "$CAIRNLANE_TASK" = x`, 0, ""},
		"by a signal":        {heldForever, nil, `kill -TERM $$`, 128 + 15, ""},
		"no fleet":           {heldForever, fleet.ErrTooManyRuns, `true`, NoFleet, "already holds slots for the most runs"},
		"the daemon is gone": {func(int, int) (fleet.RunStatus, error) { return fleet.RunStatus{}, fleet.ErrNoRun }, nil, `true`, NoFleet, "no such slot"},
		"rejected": {func(int, int) (fleet.RunStatus, error) {
			return fleet.RunStatus{State: lease.Rejected, Why: "another number of slots"}, nil
		}, nil, `true`, NotObtained, "another number of slots"},
		"waits too long": {func(int, int) (fleet.RunStatus, error) { return fleet.RunStatus{State: lease.Requested, Place: 2}, nil }, nil, `true`, NotObtained, "place 2 in the queue"},
		"asked to stop": {func(n, pgid int) (fleet.RunStatus, error) {
			s, _ := heldForever(n, pgid)
			s.Stop = n > 2
			return s, nil
		}, nil, `sleep 60`, Lost, "asked to stop early"},
		"lost": {func(n, pgid int) (fleet.RunStatus, error) {
			s, _ := heldForever(n, pgid)
			if n > 2 {
				s.State, s.Left = lease.Lost, 0
			}
			return s, nil
		}, nil, `trap "" TERM; sleep 60 & wait; sleep 60`, Lost, "the fleet ended the lease"},
		"not renewed": {func(n, pgid int) (fleet.RunStatus, error) {
			s, _ := heldForever(n, pgid)
			s.Left = 300 * time.Millisecond
			if n > 1 {
				time.Sleep(time.Second)
			}
			return s, nil
		}, nil, `sleep 60`, Lost, "about to expire"},
		"the slot is no longer known": {func(n, pgid int) (fleet.RunStatus, error) {
			if n > 2 {
				return fleet.RunStatus{}, fleet.ErrNoRun
			}
			return heldForever(n, pgid)
		}, nil, `sleep 60`, Lost, "no longer holds the slot"},
		"a short failure of the daemon": {func(n, pgid int) (fleet.RunStatus, error) {
			if n == 3 {
				return fleet.RunStatus{}, os.ErrDeadlineExceeded
			}
			return heldForever(n, pgid)
		}, nil, `sleep 0.1; exit 5`, 5, ""},
	} {
		d := &fakeSlotHolder{answer: c.poll, beginErr: c.begin}
		var out bytes.Buffer
		code := Run(d, Config{Request: lease.Request{Task: "x", Slots: 1}, Wait: 30 * time.Millisecond, Grace: 50 * time.Millisecond, Command: []string{"bash", "-c", c.command}, Now: clock.SinceBoot, Stderr: &out})
		if code != c.want || !strings.Contains(out.String(), c.output) || d.ended != (c.begin == nil) {
			t.Errorf("%s: code %d, want %d; slot given back: %v; output %q", name, code, c.want, d.ended, out.String())
		}
		if d.pgid != 0 && (fleet.SystemProcessGroups{}).Alive(d.pgid) {
			t.Errorf("%s: processes of the command are left", name)
		}
	}
	if code := Run(&fakeSlotHolder{answer: heldForever}, Config{Command: []string{filepath.Join(dir, "none")}, Now: clock.SinceBoot, Stderr: new(bytes.Buffer)}); code != NotStarted {
		t.Errorf("missing command: exit code %d", code)
	}
}

// TestRemainingChildrenAreKilled checks that remaining children are killed before the slot is given back.
func TestRemainingChildrenAreKilled(t *testing.T) {
	at := filepath.Join(t.TempDir(), "child")
	d := &fakeSlotHolder{answer: heldForever}
	code := Run(d, Config{Command: []string{"bash", "-c", `sleep 60 & echo $! > ` + at}, Grace: time.Second, Now: clock.SinceBoot, Stderr: os.Stderr})
	raw, err := os.ReadFile(at)
	if err != nil || code != 0 {
		t.Fatal(code, err)
	}
	pid, _ := strconv.Atoi(strings.TrimSpace(string(raw)))
	if stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat"); err == nil && !bytes.Contains(stat, []byte(") Z ")) {
		t.Errorf("the child is still running: %s", stat)
	}
	if !d.ended {
		t.Error("the slot was not given back")
	}
}

// TestCommandStartsAfterGroupIsRegistered checks that the command acts only after the SlotHolder has its process group.
func TestCommandStartsAfterGroupIsRegistered(t *testing.T) {
	at := filepath.Join(t.TempDir(), "began")
	d := &fakeSlotHolder{answer: heldForever}
	early := &startProbe{fakeSlotHolder: d, at: at}
	if code := Run(early, Config{Command: []string{"bash", "-c", "echo > " + at}, Grace: time.Second, Now: clock.SinceBoot, Stderr: os.Stderr}); code != 0 || early.startedEarly {
		t.Errorf("exit code %d, started before its group was registered: %v", code, early.startedEarly)
	}
	if _, err := os.Stat(at); err != nil {
		t.Error(err)
	}
}

type startProbe struct {
	*fakeSlotHolder
	at           string
	startedEarly bool
}

func (p *startProbe) Command(id uint64, pgid int) error {
	time.Sleep(50 * time.Millisecond) // a command that does not wait would have started by now
	_, err := os.Stat(p.at)
	p.startedEarly = err == nil
	return p.fakeSlotHolder.Command(id, pgid)
}
