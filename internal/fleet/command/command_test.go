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

// desk answers as a test says.
type desk struct {
	mu    sync.Mutex
	polls int
	pgid  int
	ended bool
	begin error
	say   func(n int, pgid int) (fleet.RunStatus, error)
}

func (d *desk) Begin(lease.Request) (uint64, error) { return 1, d.begin }

func (d *desk) Poll(uint64, time.Duration) (fleet.RunStatus, error) {
	d.mu.Lock()
	d.polls++
	n, pgid := d.polls, d.pgid
	d.mu.Unlock()
	if n > 1 {
		time.Sleep(2 * time.Millisecond)
	}
	s, err := d.say(n, pgid)
	s.Word = s.State.String()
	return s, err
}

func (d *desk) Command(_ uint64, pgid int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pgid = pgid
	return nil
}

func (d *desk) End(uint64) error { d.ended = true; return nil }

// held is a lease that is renewed without end.
func held(int, int) (fleet.RunStatus, error) {
	return fleet.RunStatus{State: lease.Held, Token: 42, Left: 20 * time.Second}, nil
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct {
		say     func(n, pgid int) (fleet.RunStatus, error)
		begin   error
		command string
		want    int
		says    string
	}{
		"its own":            {held, nil, `exit 3`, 3, ""},
		"well":               {held, nil, `test "$CAIRNLANE_TOKEN" = 42 && test "$CAIRNLANE_TASK" = x`, 0, ""},
		"by a signal":        {held, nil, `kill -TERM $$`, 128 + 15, ""},
		"no fleet":           {held, fleet.ErrManyRuns, `true`, NoFleet, "already holds slots for the most runs"},
		"the daemon is gone": {func(int, int) (fleet.RunStatus, error) { return fleet.RunStatus{}, fleet.ErrNoRun }, nil, `true`, NoFleet, "no such slot"},
		"refused": {func(int, int) (fleet.RunStatus, error) {
			return fleet.RunStatus{State: lease.Refused, Why: "another number of slots"}, nil
		}, nil, `true`, NotObtained, "another number of slots"},
		"waits too long": {func(int, int) (fleet.RunStatus, error) { return fleet.RunStatus{State: lease.Asked, Place: 2}, nil }, nil, `true`, NotObtained, "place 2 in the queue"},
		"asked to stop":  {func(n, pgid int) (fleet.RunStatus, error) { s, _ := held(n, pgid); s.Stop = n > 2; return s, nil }, nil, `sleep 60`, Lost, "asked to stop early"},
		"lost": {func(n, pgid int) (fleet.RunStatus, error) {
			s, _ := held(n, pgid)
			if n > 2 {
				s.State, s.Left = lease.Lost, 0
			}
			return s, nil
		}, nil, `trap "" TERM; sleep 60 & wait; sleep 60`, Lost, "the fleet has ended it"},
		"not renewed": {func(n, pgid int) (fleet.RunStatus, error) {
			s, _ := held(n, pgid)
			s.Left = 300 * time.Millisecond
			if n > 1 {
				time.Sleep(time.Second)
			}
			return s, nil
		}, nil, `sleep 60`, Lost, "runs out"},
		"the desk knows no more": {func(n, pgid int) (fleet.RunStatus, error) {
			if n > 2 {
				return fleet.RunStatus{}, fleet.ErrNoRun
			}
			return held(n, pgid)
		}, nil, `sleep 60`, Lost, "holds the slot no more"},
		"a failing daemon for a moment": {func(n, pgid int) (fleet.RunStatus, error) {
			if n == 3 {
				return fleet.RunStatus{}, os.ErrDeadlineExceeded
			}
			return held(n, pgid)
		}, nil, `sleep 0.1; exit 5`, 5, ""},
	} {
		d := &desk{say: c.say, begin: c.begin}
		var out bytes.Buffer
		code := Run(d, Config{Request: lease.Request{Task: "x", Slots: 1}, Wait: 30 * time.Millisecond, Grace: 50 * time.Millisecond, Command: []string{"bash", "-c", c.command}, Now: clock.Boot, Stderr: &out})
		if code != c.want || !strings.Contains(out.String(), c.says) || d.ended != (c.begin == nil) {
			t.Errorf("%s: code %d, want %d; given back %v; %q", name, code, c.want, d.ended, out.String())
		}
		if d.pgid != 0 && (fleet.Groups{}).Alive(d.pgid) {
			t.Errorf("%s: something of the command is left", name)
		}
	}
	if code := Run(&desk{say: held}, Config{Command: []string{filepath.Join(dir, "none")}, Now: clock.Boot, Stderr: new(bytes.Buffer)}); code != NotStarted {
		t.Errorf("no such command: %d", code)
	}
}

// TestChildrenThatACommandLeavesBehindAreEnded before the slot is given back.
func TestChildrenThatACommandLeavesBehindAreEnded(t *testing.T) {
	at := filepath.Join(t.TempDir(), "child")
	d := &desk{say: held}
	code := Run(d, Config{Command: []string{"bash", "-c", `sleep 60 & echo $! > ` + at}, Grace: time.Second, Now: clock.Boot, Stderr: os.Stderr})
	raw, err := os.ReadFile(at)
	if err != nil || code != 0 {
		t.Fatal(code, err)
	}
	pid, _ := strconv.Atoi(strings.TrimSpace(string(raw)))
	if stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat"); err == nil && !bytes.Contains(stat, []byte(") Z ")) {
		t.Errorf("the child lives on: %s", stat)
	}
	if !d.ended {
		t.Error("the slot is not given back")
	}
}

// TestACommandDoesNotBeginBeforeItsDeskKnowsOfIt: both guards are there before it acts.
func TestACommandDoesNotBeginBeforeItsDeskKnowsOfIt(t *testing.T) {
	at := filepath.Join(t.TempDir(), "began")
	d := &desk{say: held}
	early := &watchful{desk: d, at: at}
	if code := Run(early, Config{Command: []string{"bash", "-c", "echo > " + at}, Grace: time.Second, Now: clock.Boot, Stderr: os.Stderr}); code != 0 || early.early {
		t.Errorf("code %d, began before: %v", code, early.early)
	}
	if _, err := os.Stat(at); err != nil {
		t.Error(err)
	}
}

type watchful struct {
	*desk
	at    string
	early bool
}

func (w *watchful) Command(id uint64, pgid int) error {
	time.Sleep(50 * time.Millisecond) // a command that does not wait would have begun
	_, err := os.Stat(w.at)
	w.early = err == nil
	return w.desk.Command(id, pgid)
}
