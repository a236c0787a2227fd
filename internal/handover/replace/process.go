package replace

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
	"cairnlane/internal/standin/engine"
	"slices"
)

// process is one process of the replica.
type process struct {
	*rig.Process
	path   string // of its configuration
	door   string
	engine *engine.Address
}

// start starts a process beside those that are there: same folder, same listening socket, its own door and engine.
func (w *world) start() (*process, error) {
	p := new(process)
	var err error
	if p.engine, err = w.engine.Listen(); err != nil {
		return nil, err
	}
	if p.door, err = rig.FreeAddr(); err != nil {
		return nil, err
	}
	w.n++
	p.path = filepath.Join(w.cfg.Dir, fmt.Sprintf("config-%d.json", w.n))
	if err := w.configure(p); err != nil {
		return nil, err
	}
	tmp := filepath.Join(w.cfg.Dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	f, err := w.ln.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd := exec.Command(w.cfg.Command[0], w.cfg.Command[1:]...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.path, "RELAY_CONTROL="+p.door, "RELAY_INHERITED_FD=3", "TMPDIR="+tmp)
	cmd.ExtraFiles = []*os.File{f}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.Process, err = rig.Start(cmd, func(*rig.Process) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.alive = slices.DeleteFunc(w.alive, func(o *process) bool { return o == p })
		p.engine.Close()
	})
	if err != nil {
		return nil, err
	}
	w.alive = append(w.alive, p)
	return p, nil
}

// configure writes a process's configuration: the site's, with deadlines that let a trial be short.
func (w *world) configure(p *process) error {
	raw, err := os.ReadFile(w.cfg.Site)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	c["listen"], c["engine"], c["directory"] = w.ln.Addr().String(), p.engine.String(), w.catalog.String()
	if w.index != nil {
		c["index"] = w.index.String()
	}
	c["stop_ms"] = 1500
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": w.cfg.Sockets}
	s := c["settings"].(map[string]any)
	for _, l := range s["lanes"].([]any) {
		lane := l.(map[string]any)
		lane["deadline"], lane["aim"] = deadline.Microseconds(), deadline.Microseconds()/2
	}
	s["guarantees"].(map[string]any)["drain-grace"] = 100_000
	raw, err = json.Marshal(c)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path, raw, 0o600)
}

// ask calls a process's door.
func (w *world) ask(p *process, call string) (string, error) {
	began := time.Now()
	a, err := operator.Ask(p.door, call, doorTime)
	if err == nil {
		w.fig.mu.Lock()
		w.fig.DoorMost = max(w.fig.DoorMost, time.Since(began))
		w.fig.mu.Unlock()
	}
	return a, err
}

// ready waits until a process says that it takes clients; false means that it ended or took too long.
func (w *world) ready(p *process) bool {
	began := time.Now()
	for time.Since(began) < readyTime {
		if _, err := w.ask(p, "check"); err == nil {
			w.fig.ReadyMost = max(w.fig.ReadyMost, time.Since(began))
			return true
		}
		select {
		case <-p.Ended():
			return false
		case <-time.After(2 * time.Millisecond):
		}
	}
	return false
}

// strike kills a process outright and remembers when, as what was open there is lost with it.
func (w *world) strike(p *process) {
	w.fig.Kills++
	w.kills.Add(1)
	w.dying.Store(true)
	p.Kill()
	w.killed.Store(time.Now().UnixNano())
	w.dying.Store(false)
}

// The moments of a replacement at which a process may be killed.
const (
	newBeforeYes = iota
	newAfterYes
	oldBeforeYes
	oldAfterYes
	oldAfterTerm
	moments
)

// replace plays one replacement; one in three has a kill.
func (w *world) replace() error {
	time.Sleep(time.Duration(w.rand.IntN(60)) * time.Millisecond)
	w.mu.Lock()
	old := w.alive[len(w.alive)-1]
	w.mu.Unlock()
	next, err := w.start()
	if err != nil {
		return err
	}
	w.fig.Replacements++
	kill, moment := -1, time.Duration(0)
	if w.rand.IntN(3) == 0 {
		kill, moment = w.rand.IntN(moments), time.Duration(w.rand.IntN(30_000))*time.Microsecond
	}
	if kill == newBeforeYes || kill == oldBeforeYes {
		time.Sleep(moment)
		if kill == newBeforeYes {
			w.strike(next)
			w.fig.GivenUp++
			return nil // the old one goes on alone
		}
		w.strike(old)
	}
	if !w.ready(next) {
		return fmt.Errorf("replacement %d: the new process does not take clients: %v %s", w.fig.Replacements, next.Err(), next.Log())
	}
	switch kill {
	case oldBeforeYes:
		return nil
	case newAfterYes:
		time.Sleep(moment)
		w.strike(next)
		w.fig.GivenUp++
		return nil
	case oldAfterYes:
		time.Sleep(moment)
		w.strike(old)
		return nil
	}
	began := time.Now()
	if err := old.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	if kill == oldAfterTerm {
		time.Sleep(moment)
		w.strike(old)
		return nil
	}
	select {
	case <-old.Ended():
		w.fig.HandOverMost = max(w.fig.HandOverMost, time.Since(began))
	case <-time.After(deadline + killRest):
		atomic.AddInt64(&w.fig.Exits, 1)
		w.fig.note("the old process had to be killed: %s", old.Log())
		w.strike(old)
		return nil
	}
	if old.Err() != nil || !bytes.Contains([]byte(old.Log()), []byte("invariants_broken=0")) {
		atomic.AddInt64(&w.fig.Exits, 1)
		w.fig.note("the old process ended with %v: %s", old.Err(), old.Log())
	}
	return nil
}
