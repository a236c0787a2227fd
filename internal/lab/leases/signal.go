package leases

import (
	"math/rand/v2"
	"os/exec"
	"syscall"
	"time"
)

func cont(cmd *exec.Cmd) { cmd.Process.Signal(syscall.SIGCONT) }

// stopParents stops one cairnctl after the other for longer than a lease, and not the command that it runs: the box's desk alone
// is left to end that one.
func (c *commands) stopParents(cfg Config) {
	src := rand.New(rand.NewPCG(cfg.Seed, 9))
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(2*time.Second + time.Duration(src.IntN(3000))*time.Millisecond):
		}
		c.mu.Lock()
		var one *exec.Cmd
		n := src.IntN(len(c.live) + 1)
		for cmd := range c.live {
			if n--; n <= 0 {
				one = cmd
				break
			}
		}
		c.mu.Unlock()
		if one == nil {
			continue
		}
		one.Process.Signal(syscall.SIGSTOP)
		select {
		case <-c.stop:
		case <-time.After(cfg.Terms.Term + time.Second):
		}
		cont(one)
	}
}
