// Package rig starts several real processes of the program on loopback and injects faults into them and into the connections between
// them. All code that runs further processes of the program starts them through this package. Results are evaluated by the rig's own
// clock and by the counts of the fakes, not by what the program reports about itself.
package rig

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// maxOutput is how many of the last bytes of a process's output are kept.
const maxOutput = 64 << 10

// Process is a child process.
type Process struct {
	cmd   *exec.Cmd
	out   output
	ended chan struct{}
	err   error
}

// output keeps the last bytes of a process's output.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buf.Len() > maxOutput {
		o.buf.Next(maxOutput / 2)
	}
	return o.buf.Write(p)
}

// Start starts a command. If onExit is not nil, it is called once, when the process has exited.
func Start(cmd *exec.Cmd, onExit func(*Process)) (*Process, error) {
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	cmd.Stderr = &p.out
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	go func() {
		p.err = cmd.Wait()
		if onExit != nil {
			onExit(p)
		}
		close(p.ended)
	}()
	return p, nil
}

// Output returns the last part of the process's output on standard error.
func (p *Process) Output() string {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return p.out.buf.String()
}

// Done returns a channel that is closed when the process has exited; Err returns the result then.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Err returns the result of waiting for the process. It is valid once Done is closed.
func (p *Process) Err() error { return p.err }

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal. It returns os.ErrProcessDone if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.ended:
		return os.ErrProcessDone
	default:
		return p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// TempDir creates a directory for a site. It uses /dev/shm if possible, so that a trial does not depend on how busy the machine's disk
// is. The path is short because the paths of Unix sockets are limited. The caller removes the directory.
func TempDir() (string, error) {
	if dir, err := os.MkdirTemp("/dev/shm", "fl"); err == nil {
		return dir, nil
	}
	return os.MkdirTemp("", "fl")
}

// Ports of listeners lie below the system's range of ephemeral ports. Otherwise an outgoing connection could take a port after it was
// found free and before a process listens on it.
const (
	minPort = 10240
	maxPort = 32000
)

// FreeAddr returns a loopback address on which no process listens.
func FreeAddr() (string, error) {
	list, err := FreeAddrs(1)
	if err != nil {
		return "", err
	}
	return list[0], nil
}

// assignedPorts holds the ports that were returned before, so that sites that are prepared concurrently do not get the same ones.
var (
	assignedMu    sync.Mutex
	assignedPorts = map[int]bool{}
)

// FreeAddrs returns count different loopback addresses. It does not repeat an earlier address until half of the range was returned.
func FreeAddrs(count int) (list []string, err error) {
	assignedMu.Lock()
	defer assignedMu.Unlock()
	if len(assignedPorts)+count > (maxPort-minPort)/2 {
		clear(assignedPorts)
	}
	for attempts := 0; len(list) < count; attempts++ {
		port := minPort + rand.IntN(maxPort-minPort)
		if assignedPorts[port] {
			continue
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			if attempts > 50*count {
				return nil, fmt.Errorf("rig: no free port found in %d attempts: %w", attempts, err)
			}
			continue
		}
		defer ln.Close()
		assignedPorts[port] = true
		list = append(list, ln.Addr().String())
	}
	return list, nil
}
