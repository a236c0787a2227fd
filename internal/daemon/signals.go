package daemon

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Signals are the process's. Each kind waits by itself, so that none of one kind takes the place of another, and one that
// waits stands for all of its kind that came since.
type Signals struct {
	leave, reload, report chan os.Signal
}

// Catch takes the process's signals from the first call on, which should be the program's first step: SIGHUP ends a process
// that does not expect it, and the notice to leave would be a crash.
var Catch = sync.OnceValue(func() *Signals {
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to die
	s := &Signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
})

// Leave has the process leave, as the notice does.
func (s *Signals) Leave() {
	select {
	case s.leave <- syscall.SIGTERM:
	default: // one waits already
	}
}
