package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairnlane/internal/fake/catalog"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
)

// record is the list of events that a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// printf adds one line with the time since the start of the case.
func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// box is one server: the addresses and the folder that its replica processes share, and the stand-ins beside it.
type box struct {
	name      string
	log       *record
	dir       string // configurations
	tmp       string // $TMPDIR of the replica
	settings  map[string]any
	limits    map[string]any
	stopMS    int
	listener  *net.TCPListener // held by the platform; nil: each process listens itself
	listen    string
	engine    *engine.Engine
	catalog   *catalog.Catalog
	index     string // address of the index, if the site has one
	ownEngine string // address of the case's own engine; empty: each process gets an address of engine

	started int
	mu      sync.Mutex
	running []*replica
}

// replica is one process of a box.
type replica struct {
	*rig.Process
	label   string
	control string
	address *engine.Address // nil if the case has an engine of its own
}

// newBox prepares a box. If shared is set, the platform holds the listening socket, as on days on which processes are replaced.
func newBox(name string, log *record, settings map[string]any, shared bool, e *engine.Engine) (*box, error) {
	dir, err := rig.TempDir()
	if err != nil {
		return nil, err
	}
	b := &box{name: name, log: log, dir: dir, tmp: filepath.Join(dir, "tmp"), settings: settings, engine: e, stopMS: 3200,
		limits: map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512}}
	if err := os.MkdirAll(b.tmp, 0o700); err != nil {
		return nil, err
	}
	if b.catalog, err = catalog.Start(); err != nil {
		return nil, err
	}
	if b.listen, err = rig.FreeAddr(); err != nil {
		return nil, err
	}
	if !shared {
		return b, nil
	}
	ln, err := net.Listen("tcp", b.listen)
	if err != nil {
		return nil, err
	}
	b.listener = ln.(*net.TCPListener)
	return b, nil
}

// runCommand returns the command of the deploy file that starts a replica.
func runCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run\s*=\s*"(.*)"`).FindSubmatch(raw)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no run command")
	}
	return string(m[1]), nil
}

// start starts a replica process of the box with an engine address of its own.
func (b *box) start(label string) (*replica, error) {
	p := &replica{label: label}
	var err error
	address := b.ownEngine
	if address == "" {
		if p.address, err = b.engine.Listen(); err != nil {
			return nil, err
		}
		address = p.address.String()
	}
	if p.control, err = rig.FreeAddr(); err != nil {
		return nil, err
	}
	b.started++
	path := filepath.Join(b.dir, fmt.Sprintf("config-%d.json", b.started))
	config := map[string]any{"name": b.name, "listen": b.listen, "engine": address, "directory": b.catalog.String(),
		"seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(b.started)), "stop_ms": b.stopMS, "limits": b.limits, "settings": b.settings}
	if b.index != "" {
		config["index"] = b.index
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Env = append(os.Environ(), "RELAY_NAME="+b.name, "RELAY_LISTEN="+b.listen, "RELAY_CONFIG="+path, "RELAY_CONTROL="+p.control, "TMPDIR="+b.tmp)
	if b.listener != nil {
		f, err := b.listener.File()
		if err != nil {
			return nil, err
		}
		defer f.Close()
		cmd.ExtraFiles = []*os.File{f}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.Process, err = rig.Start(cmd, nil); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.running = append(b.running, p)
	b.mu.Unlock()
	b.log.printf("%s: process %s started with the command of the deploy file", b.name, label)
	return p, nil
}

// awaitReady waits until a process says yes to check on its operators' address.
func (b *box) awaitReady(p *replica, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.Done():
			b.log.printf("%s: process %s ended: %v", b.name, p.label, p.Err())
			return false
		default:
		}
		if _, err := operator.Call(p.control, "check", time.Second); err == nil {
			b.log.printf("%s: process %s says yes to check", b.name, p.label)
			return true
		}
	}
	b.log.printf("%s: process %s has not said yes within %v", b.name, p.label, limit)
	return false
}

// awaitEnd waits for the end of a process.
func (b *box) awaitEnd(p *replica, limit time.Duration) bool {
	select {
	case <-p.Done():
		b.log.printf("%s: process %s ended: %v", b.name, p.label, p.Err())
		return true
	case <-time.After(limit):
		return false
	}
}

// close ends all processes and stand-ins of the box. The logs of the processes are added to the record.
func (b *box) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.running {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
		if p.address != nil {
			p.address.Close()
		}
		for _, line := range strings.Split(strings.TrimSpace(p.Output()), "\n") {
			b.log.printf("log of %s %s: %.3000s", b.name, p.label, line)
		}
	}
	b.catalog.Close()
	if b.listener != nil {
		b.listener.Close()
	}
	os.RemoveAll(b.dir)
}
