// Package command runs an operator's command as the only holder of a task. The command gets its own process group, which is killed as a
// whole before another box can hold the lease: by this package, by its own clock, and independently by the daemon's ProcessSupervisor.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
)

// The exit codes in addition to the command's own.
const (
	NotObtained = 120 // the slot was not granted
	Lost        = 121 // the lease was lost or had to be released, and the command was ended
	NoFleet     = 122 // the daemon or the fleet is unavailable
	NotStarted  = 127 // the command cannot be started
)

// SlotHolder holds slots for this package; the daemon implements it.
type SlotHolder interface {
	Begin(r lease.Request) (uint64, error)
	Poll(id uint64, wait time.Duration) (fleet.RunStatus, error)
	Command(id uint64, pgid int) error
	End(id uint64) error
}

// Config describes a command and the slot it needs.
type Config struct {
	Env     []string // in addition to the process's environment and the variables that Run sets
	Request lease.Request
	Wait    time.Duration // longest wait for the slot; 0: no limit
	Grace   time.Duration // time between SIGTERM and SIGKILL, as far as the lease allows
	Command []string
	Now     func() time.Duration // clock.Boot
	Stderr  io.Writer
}

const (
	pollInterval  = 500 * time.Millisecond
	watchInterval = 10 * time.Millisecond
)

// Run waits for the slot, runs the command and returns the exit code.
func Run(d SlotHolder, cfg Config) (code int) {
	// The parent-death signal is tied to the thread that forks, so that thread must live as long as the command.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	logf := func(format string, args ...any) { fmt.Fprintf(cfg.Stderr, "cairnctl: "+format+"\n", args...) }

	id, err := d.Begin(cfg.Request)
	if err != nil {
		logf("%v", err)
		return NoFleet
	}
	defer func() {
		if err := d.End(id); err != nil && !errors.Is(err, fleet.ErrNoRun) && code != Lost {
			logf("cannot give the slot back; it expires by itself: %v", err)
		}
	}()
	startedAt, reportedPlace := cfg.Now(), 0
	var s fleet.RunStatus
	var until time.Duration
	for {
		requestedAt := cfg.Now()
		if s, err = d.Poll(id, pollInterval); err != nil {
			logf("%v", err)
			return NoFleet
		}
		if s.Left > 0 {
			until = requestedAt + s.Left // counted from before the request, to be safe
			break
		}
		switch s.StateName {
		case lease.Requested.String(), lease.Uncertain.String():
		default:
			logf("%s was not obtained: %s %s", cfg.Request.Task, s.StateName, s.Why)
			return NotObtained
		}
		if s.Place > 0 && s.Place != reportedPlace {
			reportedPlace = s.Place
			logf("%s is held; place %d in the queue", cfg.Request.Task, s.Place)
		}
		if cfg.Wait > 0 && cfg.Now()-startedAt > cfg.Wait {
			logf("%s was not obtained within %v", cfg.Request.Task, cfg.Wait)
			return NotObtained
		}
		select {
		case sig := <-signals:
			logf("%v: no longer waiting for %s", sig, cfg.Request.Task)
			return NotObtained
		default:
		}
	}

	cmd := exec.Command(cfg.Command[0], cfg.Command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(append(os.Environ(), cfg.Env...), "CAIRNLANE_TASK="+cfg.Request.Task, "CAIRNLANE_TOKEN="+strconv.FormatUint(s.Token, 10))
	// The command waits in its own process group until the supervisor knows its group: it must not act before both can kill it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	hold, release, err := os.Pipe()
	if err != nil {
		logf("%v", err)
		return NotStarted
	}
	cmd.Path, cmd.Args, cmd.ExtraFiles, err = gate(cmd, hold)
	if err == nil {
		err = cmd.Start()
	}
	hold.Close()
	if err != nil {
		release.Close()
		logf("%v", err)
		return NotStarted
	}
	pgid := cmd.Process.Pid
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	if err := d.Command(id, pgid); err != nil || cfg.Now() >= until {
		release.Close()
		fleet.SystemProcessGroups{}.Kill(pgid)
		<-ended
		logf("%s was lost before the command began: %v", cfg.Request.Task, err)
		return Lost
	}
	release.Write([]byte{1})
	release.Close()
	return watch(d, cfg, id, until, pgid, ended, signals, logf)
}

// gate wraps a command so that it starts when a byte arrives on a pipe, and never if the pipe is closed first.
func gate(cmd *exec.Cmd, hold *os.File) (path string, args []string, files []*os.File, err error) {
	if cmd.Err != nil {
		return "", nil, nil, cmd.Err
	}
	const script = `read -r -n1 go <&3 || exit 125; exec 3<&-; exec "$0" "$@"`
	shell, err := exec.LookPath("bash")
	if err != nil {
		return "", nil, nil, err
	}
	return shell, append([]string{"bash", "-c", script, cmd.Path}, cmd.Args[1:]...), []*os.File{hold}, nil
}

// watch polls the lease while the command runs, and ends the process group before the lease ends.
func watch(d SlotHolder, cfg Config, id uint64, until time.Duration, pgid int, ended chan error, signals chan os.Signal, logf func(string, ...any)) int {
	type answer struct {
		s           fleet.RunStatus
		requestedAt time.Duration
		err         error
	}
	answers := make(chan answer, 1)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			requestedAt := cfg.Now()
			s, err := d.Poll(id, pollInterval)
			select {
			case answers <- answer{s, requestedAt, err}:
			case <-stop:
				return
			}
			if err != nil {
				time.Sleep(pollInterval / 5)
			}
		}
	}()
	var lostReason string
	var span time.Duration
	killAt := time.Duration(-1) // when the group is killed, once it has been sent SIGTERM
	terminate := func(why string) {
		if killAt < 0 {
			lostReason = why
			syscall.Kill(-pgid, syscall.SIGTERM)
			killAt = cfg.Now() + cfg.Grace
		}
	}
	for {
		now := cfg.Now()
		span = max(span, until-now)
		// A lease is renewed after each third of its span, so one with less than a third left is not being renewed.
		if now >= until-min(cfg.Grace, span/3) {
			terminate("the lease is about to expire and has not been renewed")
		}
		if now >= until || killAt >= 0 && now >= min(killAt, until) {
			fleet.SystemProcessGroups{}.Kill(pgid)
		}
		select {
		case err := <-ended:
			for (fleet.SystemProcessGroups{}).Alive(pgid) { // children that the command has left running
				fleet.SystemProcessGroups{}.Kill(pgid)
				time.Sleep(time.Millisecond)
			}
			if lostReason != "" {
				logf("%s was lost: %s; the command was ended", cfg.Request.Task, lostReason)
				return Lost
			}
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				if ws, ok := exit.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
					if ws.Signal() == syscall.SIGKILL && cfg.Now() >= until-cfg.Grace {
						logf("%s was lost; the command was ended", cfg.Request.Task)
						return Lost
					}
					return 128 + int(ws.Signal())
				}
				return exit.ExitCode()
			}
			if err != nil {
				logf("%v", err)
				return NotStarted
			}
			return 0
		case a := <-answers:
			switch {
			case errors.Is(a.err, fleet.ErrNoRun) || a.err != nil && a.err.Error() == fleet.ErrNoRun.Error():
				until = min(until, now)
				terminate("the daemon no longer holds the slot")
			case a.err != nil: // the daemon may return before the lease ends
			case a.s.Stop:
				terminate("the holder was asked to stop early")
			case a.s.StateName == lease.Lost.String():
				until = min(until, now)
				terminate("the fleet ended the lease")
			case a.s.Left > 0:
				until = max(until, a.requestedAt+a.s.Left)
			}
		case sig := <-signals:
			syscall.Kill(-pgid, sig.(syscall.Signal))
		case <-time.After(watchInterval):
		}
	}
}
