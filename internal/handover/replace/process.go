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

	"cairnlane/internal/fake/engine"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
	"slices"
)

// process is one process of the replica.
type process struct {
	*rig.Process
	path        string // configuration file
	controlAddr string
	engine      *engine.Address // the address at which the fake engine serves it
}

// startProcess starts a process beside the running ones: with the same folder and listening socket, and an
// admin listener address and an engine address of its own.
func (tr *trial) startProcess() (*process, error) {
	p := new(process)
	var err error
	if p.engine, err = tr.engine.Listen(); err != nil {
		return nil, err
	}
	if p.controlAddr, err = rig.FreeAddr(); err != nil {
		return nil, err
	}
	tr.started++
	p.path = filepath.Join(tr.cfg.Dir, fmt.Sprintf("config-%d.json", tr.started))
	if err := tr.writeConfig(p); err != nil {
		return nil, err
	}
	tmp := filepath.Join(tr.cfg.Dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	f, err := tr.ln.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd := exec.Command(tr.cfg.Command[0], tr.cfg.Command[1:]...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.path, "RELAY_CONTROL="+p.controlAddr, "RELAY_INHERITED_FD=3", "TMPDIR="+tmp)
	cmd.ExtraFiles = []*os.File{f}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p.Process, err = rig.Start(cmd, func(*rig.Process) {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.alive = slices.DeleteFunc(tr.alive, func(o *process) bool { return o == p })
		p.engine.Close()
	})
	if err != nil {
		return nil, err
	}
	tr.alive = append(tr.alive, p)
	return p, nil
}

// writeConfig writes a process's configuration: the site's, with deadlines that keep a trial short.
func (tr *trial) writeConfig(p *process) error {
	raw, err := os.ReadFile(tr.cfg.Site)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	c["listen"], c["engine"], c["directory"] = tr.ln.Addr().String(), p.engine.String(), tr.catalog.String()
	if tr.index != nil {
		c["index"] = tr.index.String()
	}
	c["stop_ms"] = 1500
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": tr.cfg.Sockets}
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

// callOperator sends a call to a process's admin listener.
func (tr *trial) callOperator(p *process, call string) (string, error) {
	began := time.Now()
	a, err := operator.Call(p.controlAddr, call, operatorTimeout)
	if err == nil {
		tr.results.mu.Lock()
		tr.results.MaxOperatorTime = max(tr.results.MaxOperatorTime, time.Since(began))
		tr.results.mu.Unlock()
	}
	return a, err
}

// waitReady waits until a process reports that it accepts clients; it returns false if the process ended or took
// too long.
func (tr *trial) waitReady(p *process) bool {
	began := time.Now()
	for time.Since(began) < readyTimeout {
		if _, err := tr.callOperator(p, "check"); err == nil {
			tr.results.MaxReadyTime = max(tr.results.MaxReadyTime, time.Since(began))
			return true
		}
		select {
		case <-p.Done():
			return false
		case <-time.After(2 * time.Millisecond):
		}
	}
	return false
}

// kill kills a process with SIGKILL and records the time, as requests that were open at the time may be lost.
func (tr *trial) kill(p *process) {
	tr.results.Kills++
	tr.kills.Add(1)
	tr.killing.Store(true)
	p.Kill()
	tr.lastKill.Store(time.Now().UnixNano())
	tr.killing.Store(false)
}

// The points of a replacement at which a process may be killed.
const (
	newBeforeReady = iota
	newAfterReady
	oldBeforeReady
	oldAfterReady
	oldAfterTerm
	killPoints
)

// replace runs one replacement; one in three includes a kill.
func (tr *trial) replace() error {
	time.Sleep(time.Duration(tr.rand.IntN(60)) * time.Millisecond)
	tr.mu.Lock()
	old := tr.alive[len(tr.alive)-1]
	tr.mu.Unlock()
	next, err := tr.startProcess()
	if err != nil {
		return err
	}
	tr.results.Replacements++
	killPoint, delay := -1, time.Duration(0)
	if tr.rand.IntN(3) == 0 {
		killPoint, delay = tr.rand.IntN(killPoints), time.Duration(tr.rand.IntN(30_000))*time.Microsecond
	}
	if killPoint == newBeforeReady || killPoint == oldBeforeReady {
		time.Sleep(delay)
		if killPoint == newBeforeReady {
			tr.kill(next)
			tr.results.Abandoned++
			return nil // the old process continues alone
		}
		tr.kill(old)
	}
	if !tr.waitReady(next) {
		return fmt.Errorf("replacement %d: the new process does not accept clients: %v %s", tr.results.Replacements, next.Err(), next.Output())
	}
	switch killPoint {
	case oldBeforeReady:
		return nil
	case newAfterReady:
		time.Sleep(delay)
		tr.kill(next)
		tr.results.Abandoned++
		return nil
	case oldAfterReady:
		time.Sleep(delay)
		tr.kill(old)
		return nil
	}
	began := time.Now()
	if err := old.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	if killPoint == oldAfterTerm {
		time.Sleep(delay)
		tr.kill(old)
		return nil
	}
	select {
	case <-old.Done():
		tr.results.MaxHandOverTime = max(tr.results.MaxHandOverTime, time.Since(began))
	case <-time.After(deadline + killMargin):
		atomic.AddInt64(&tr.results.Exits, 1)
		tr.results.note("the old process did not exit in time and was killed: %s", old.Output())
		tr.kill(old)
		return nil
	}
	if old.Err() != nil || !bytes.Contains([]byte(old.Output()), []byte("invariants_broken=0")) {
		atomic.AddInt64(&tr.results.Exits, 1)
		tr.results.note("the old process ended with %v: %s", old.Err(), old.Output())
	}
	return nil
}
