package daemon

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Signals are the signals of this process. Each kind has its own channel, so that one kind cannot displace another.
// A waiting signal also stands for later ones of its kind.
type Signals struct {
	leave, reload, report chan os.Signal
}

// CatchSignals handles the signals of this process from its first call on. The program should call it first: until then
// SIGHUP ends the process, and SIGTERM looks like a crash.
var CatchSignals = sync.OnceValue(func() *Signals {
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the process
	s := &Signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
})

// RequestExit makes the process exit in order, as SIGTERM does.
func (s *Signals) RequestExit() {
	select {
	case s.leave <- syscall.SIGTERM:
	default: // a request is already waiting
	}
}
