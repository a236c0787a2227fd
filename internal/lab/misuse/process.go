package misuse

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cairnlane/internal/fake/catalog"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/index"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
)

// This file holds the processes that are played against, with their fakes, and what is measured of them.

// start starts the fakes and the processes.
func (tr *trial) start(processes int) (err error) {
	if tr.dir, err = rig.TempDir(); err != nil {
		return err
	}
	if tr.traffic, err = rig.ReadTraffic(tr.cfg.Site); err != nil {
		return err
	}
	tr.engine = engine.New(func(string) time.Duration { return runTime })
	if tr.catalog, err = catalog.Start(); err != nil {
		return err
	}
	if tr.traffic.Calls {
		tr.engine.SetIndexCalls(true)
		if tr.index, err = index.Start(rig.IndexCallTime); err != nil {
			return err
		}
	}
	if tr.listen, err = rig.FreeAddr(); err != nil {
		return err
	}
	if processes > 0 {
		ln, err := net.Listen("tcp", tr.listen)
		if err != nil {
			return err
		}
		tr.shared = ln.(*net.TCPListener)
	}
	for range max(processes, 1) {
		if err := tr.startProcess(); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts a process and waits until it accepts clients.
func (tr *trial) startProcess() error {
	operators, err := rig.FreeAddr()
	if err != nil {
		return err
	}
	path, err := tr.writeConfig()
	if err != nil {
		return err
	}
	cmd := exec.Command(tr.cfg.Command[0], tr.cfg.Command[1:]...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_CONTROL="+operators, "TMPDIR="+tr.dir)
	if tr.shared != nil {
		f, err := tr.shared.File()
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.ExtraFiles = []*os.File{f}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	process, err := rig.Start(cmd, nil)
	if err != nil {
		return err
	}
	tr.processes = append(tr.processes, process)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		if _, err = operator.Call(operators, "check", time.Second); err == nil {
			return nil
		}
	}
	return fmt.Errorf("the process does not accept clients: %w: %s", err, process.Output())
}

// anyEnded reports whether a process has ended by itself.
func (tr *trial) anyEnded() bool {
	for _, p := range tr.processes {
		select {
		case <-p.Done():
			return true
		default:
		}
	}
	return false
}

// writeConfig writes the process's configuration and returns its path.
func (tr *trial) writeConfig() (path string, err error) {
	raw, err := os.ReadFile(tr.cfg.Site)
	if err != nil {
		return "", err
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return "", err
	}
	address, err := tr.engine.Listen() // each process has one of its own
	if err != nil {
		return "", err
	}
	tr.addresses = append(tr.addresses, address)
	config["listen"], config["engine"], config["directory"] = tr.listen, address.String(), tr.catalog.String()
	if tr.index != nil {
		config["index"] = tr.index.String()
	}
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": tr.cfg.MemoryMB, "sockets": sockets}
	if raw, err = json.Marshal(config); err != nil {
		return "", err
	}
	path = filepath.Join(tr.dir, fmt.Sprintf("config-%d.json", len(tr.addresses)))
	return path, os.WriteFile(path, raw, 0o600)
}

// close ends the process and the fakes.
func (tr *trial) close() {
	for _, p := range tr.processes {
		p.Kill()
	}
	for _, a := range tr.addresses {
		a.Close()
	}
	if tr.shared != nil {
		tr.shared.Close()
	}
	if tr.catalog != nil {
		tr.catalog.Close()
	}
	if tr.index != nil {
		tr.index.Close()
	}
	os.RemoveAll(tr.dir)
}

// memoryKB returns the anonymous memory of all processes together.
func (tr *trial) memoryKB() (sum int) {
	for _, p := range tr.processes {
		sum += anonymousKB(p.Pid())
	}
	return sum
}

// anonymousKB returns the anonymous memory of a process, or 0 if it has ended.
func anonymousKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// readCounters sets what the processes say of their connections: the bytes that they have read, and why they ended connections.
func (tr *trial) readCounters() {
	for _, p := range tr.processes {
		for name, n := range counters(p) {
			reason, ended := strings.CutPrefix(name, "connections_ended_")
			switch {
			case name == "bytes_in":
				tr.result.Read += n
			case name == "connections_over_limit" && n > 0:
				tr.result.Closed += fmt.Sprintf(" over_limit=%d", n)
			case ended && n > 0:
				tr.result.Closed += fmt.Sprintf(" %s=%d", reason, n)
			}
		}
	}
}

// counters returns the counters that a process prints when it is asked to, or none if it does not answer.
func counters(p *rig.Process) map[string]int64 {
	values := map[string]int64{}
	if p.Signal(reportSignal) != nil {
		return values
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(sampleInterval) {
		_, printed, found := strings.Cut(p.Output(), "counters: ")
		if !found {
			continue
		}
		for _, word := range strings.Fields(printed) {
			name, value, _ := strings.Cut(word, "=")
			if n, err := strconv.ParseInt(strings.TrimRight(value, "\"}"), 10, 64); err == nil {
				values[name] = n
			}
		}
		break
	}
	return values
}
