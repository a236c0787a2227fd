// Package rig starts several real processes of the program on loopback and injects faults into them and between them. Whatever
// starts a second process of the program does it through this package. It judges by its own clock and by what the stand-ins
// count, never by what the program says of itself.
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

// outputKept is how much of the end of what a process prints is kept, in bytes.
const outputKept = 64 << 10

// Process is one process, from its start to its end.
type Process struct {
	cmd   *exec.Cmd
	out   output
	ended chan struct{}
	err   error
}

// output keeps the end of what a process prints.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buf.Len() > outputKept {
		o.buf.Next(outputKept / 2)
	}
	return o.buf.Write(p)
}

// Start starts a command. left is called once, when the process has ended; it may be nil. The process ends with the rig's.
func Start(cmd *exec.Cmd, left func(*Process)) (*Process, error) {
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
		if left != nil {
			left(p)
		}
		close(p.ended)
	}()
	return p, nil
}

// Log is the end of what it has printed.
func (p *Process) Log() string {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return p.out.buf.String()
}

// Ended closes when the process has ended; Err then tells how.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err is how the process has ended, once it has.
func (p *Process) Err() error { return p.err }

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal. One that has ended gets none.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.ended:
		return os.ErrProcessDone
	default:
		return p.cmd.Process.Signal(s)
	}
}

// Kill ends it at once and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// TempDir makes a folder for a site: in memory where the system has such a place, so that a trial does not depend on how
// busy the machine's disk is, and short, as the paths of sockets in it have a bound. The caller removes it.
func TempDir() (string, error) {
	if dir, err := os.MkdirTemp("/dev/shm", "fl"); err == nil {
		return dir, nil
	}
	return os.MkdirTemp("", "fl")
}

// Ports that are taken for listeners lie below those that the system gives to connections that go out: one of these would
// else take a port between the time at which it was found free and the time at which a process listens.
const (
	portLeast = 10240
	portMost  = 32000
)

// FreeAddr finds an address on loopback that nobody listens at.
func FreeAddr() (string, error) {
	list, err := FreeAddrs(1)
	if err != nil {
		return "", err
	}
	return list[0], nil
}

// given are the ports that were found for others: sites that are prepared side by side must not get each other's before they listen.
var (
	givenMu sync.Mutex
	given   = map[int]bool{}
)

// FreeAddrs finds so many at once, all different, and different from all that it has found before as long as there are such.
func FreeAddrs(n int) (list []string, err error) {
	givenMu.Lock()
	defer givenMu.Unlock()
	if len(given)+n > (portMost-portLeast)/2 {
		clear(given)
	}
	for tries := 0; len(list) < n; tries++ {
		port := portLeast + rand.IntN(portMost-portLeast)
		if given[port] {
			continue
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			if tries > 50*n {
				return nil, fmt.Errorf("rig: no free port is found: %w", err)
			}
			continue
		}
		defer ln.Close()
		given[port] = true
		list = append(list, ln.Addr().String())
	}
	return list, nil
}
