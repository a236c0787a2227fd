package leases

import (
	"math/rand/v2"
	"os/exec"
	"syscall"
	"time"
)

func resume(cmd *exec.Cmd) { cmd.Process.Signal(syscall.SIGCONT) }

// stopParentCommands stops one cairnctl after the other with SIGSTOP for longer than a lease's term. The command that the cairnctl runs
// is not stopped, so only the box's process supervisor can end it.
func (c *commands) stopParentCommands(cfg Config) {
	random := rand.New(rand.NewPCG(cfg.Seed, 9))
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(2*time.Second + time.Duration(random.IntN(3000))*time.Millisecond):
		}
		c.mu.Lock()
		var parent *exec.Cmd
		n := random.IntN(len(c.running) + 1)
		for cmd := range c.running {
			if n--; n <= 0 {
				parent = cmd
				break
			}
		}
		c.mu.Unlock()
		if parent == nil {
			continue
		}
		parent.Process.Signal(syscall.SIGSTOP)
		select {
		case <-c.stop:
		case <-time.After(cfg.Terms.Term + time.Second):
		}
		resume(parent)
	}
}
