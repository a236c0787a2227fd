package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"cairnlane/internal/thrift"
)

// catalogStandIn accepts the reports of replicas.
func catalogStandIn() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	return ln.Addr().String(), nil
}

// freeAddr returns a loopback address that is free now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// writeConfig writes the configuration of a replica.
func writeConfig(path string, config map[string]any) error {
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// replicaProcess is a replica that was started with the command of the deploy file.
type replicaProcess struct {
	cmd    *exec.Cmd
	exited chan error
}

// start starts the command of the deploy file, which run.sh passes in RUN, from the root of the repository.
func start(dir, config, name, listen string, extra ...string) (*replicaProcess, error) {
	logFile, err := os.OpenFile(filepath.Join(dir, "replica.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	cmd.Dir = os.Getenv("ROOT")
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config, "RELAY_NAME="+name, "RELAY_LISTEN="+listen, "TMPDIR="+tmp)
	cmd.Env = append(cmd.Env, extra...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &replicaProcess{cmd: cmd, exited: make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop // the case is ended from outside: the replica must not stay
		p.kill()
		os.Exit(2)
	}()
	return p, nil
}

// kill ends the process.
func (p *replicaProcess) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// check makes a health check and returns whether it was answered as good.
func check(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	c.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "isWell", Seq: 1})
		return thrift.AppendStop(thrift.AppendBool(thrift.AppendField(b, thrift.Bool, 1), false))
	}))
	var head [4]byte
	_, err = io.ReadFull(c, head[:])
	return err == nil
}

// waitReady waits until the replica answers a health check, 10 s at most.
func waitReady(addr string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check(addr) {
			return nil
		}
	}
	return fmt.Errorf("the replica at %s answered no health check in 10 s", addr)
}

// site is one replica between its engine, index and catalog.
type site struct {
	engine  *engine
	listen  string
	replica *replicaProcess
}

// newSite starts a replica with these settings, whose index answers after took, and waits until it is ready.
func newSite(dir string, rec *record, settings map[string]any, took, pieces time.Duration) (*site, error) {
	e, err := newEngine(rec, 6, pieces)
	if err != nil {
		return nil, err
	}
	index, err := startIndex(rec, took)
	if err != nil {
		return nil, err
	}
	catalog, err := catalogStandIn()
	if err != nil {
		return nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	err = writeConfig(config, map[string]any{"name": "n1", "listen": listen, "engine": e.ln.Addr().String(), "directory": catalog, "index": index,
		"seed": "8c1f30d27a5be964", "stop_ms": 10000, "limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"settings": settings})
	if err != nil {
		return nil, err
	}
	p, err := start(dir, config, "n1", listen)
	if err != nil {
		return nil, err
	}
	if err := waitReady(listen); err != nil {
		p.kill()
		return nil, err
	}
	return &site{e, listen, p}, nil
}
