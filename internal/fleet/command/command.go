// Package command runs an operator's command as the one holder of a task. The command gets a process group of its own, which
// is ended as a whole before the lease can be another's: by this package, by its own clock, and by the daemon's desk.
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

// The exit codes beside the command's own.
const (
	NotObtained = 120 // the slot was not granted
	Lost        = 121 // the lease was lost or had to be given up; the command was ended
	NoFleet     = 122 // the daemon or the fleet cannot be asked
	NotStarted  = 127 // the command cannot be started
)

// Desk is where slots are held: the daemon.
type Desk interface {
	Begin(r lease.Request) (uint64, error)
	Poll(id uint64, wait time.Duration) (fleet.RunStatus, error)
	Command(id uint64, pgid int) error
	End(id uint64) error
}

// Config is how a command is run.
type Config struct {
	Env     []string // beside the system's and what stands below
	Request lease.Request
	Wait    time.Duration // for the slot; 0 waits as long as it takes
	Grace   time.Duration // from the request to end to the end by force, as far as the lease allows
	Command []string
	Now     func() time.Duration // clock.Boot
	Stderr  io.Writer
}

const (
	pollEach  = 500 * time.Millisecond
	watchEach = 10 * time.Millisecond
)

// Run waits for the slot, runs the command and returns the exit code for it.
func Run(d Desk, cfg Config) (code int) {
	// A signal of the parent's death follows the thread that has forked.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	say := func(format string, args ...any) { fmt.Fprintf(cfg.Stderr, "cairnctl: "+format+"\n", args...) }

	id, err := d.Begin(cfg.Request)
	if err != nil {
		say("%v", err)
		return NoFleet
	}
	defer func() {
		if err := d.End(id); err != nil && !errors.Is(err, fleet.ErrNoRun) && code != Lost {
			say("the slot could not be given back, it runs out by itself: %v", err)
		}
	}()
	began, told := cfg.Now(), 0
	var s fleet.RunStatus
	var until time.Duration
	for {
		asked := cfg.Now()
		if s, err = d.Poll(id, pollEach); err != nil {
			say("%v", err)
			return NoFleet
		}
		if s.Left > 0 {
			until = asked + s.Left // counted from before it was asked
			break
		}
		switch s.Word {
		case lease.Asked.String(), lease.Doubtful.String():
		default:
			say("%s was not obtained: %s %s", cfg.Request.Task, s.Word, s.Why)
			return NotObtained
		}
		if s.Place > 0 && s.Place != told {
			told = s.Place
			say("%s is held; place %d in the queue", cfg.Request.Task, s.Place)
		}
		if cfg.Wait > 0 && cfg.Now()-began > cfg.Wait {
			say("%s was not obtained within %v", cfg.Request.Task, cfg.Wait)
			return NotObtained
		}
		select {
		case sig := <-signals:
			say("%v: no longer waiting for %s", sig, cfg.Request.Task)
			return NotObtained
		default:
		}
	}

	cmd := exec.Command(cfg.Command[0], cfg.Command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(append(os.Environ(), cfg.Env...), "CAIRNLANE_TASK="+cfg.Request.Task, "CAIRNLANE_TOKEN="+strconv.FormatUint(s.Token, 10))
	// The command waits in a group of its own until the desk knows of it: it must not act before both guards do.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	hold, release, err := os.Pipe()
	if err != nil {
		say("%v", err)
		return NotStarted
	}
	cmd.Path, cmd.Args, cmd.ExtraFiles, err = gate(cmd, hold)
	if err == nil {
		err = cmd.Start()
	}
	hold.Close()
	if err != nil {
		release.Close()
		say("%v", err)
		return NotStarted
	}
	pgid := cmd.Process.Pid
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	if err := d.Command(id, pgid); err != nil || cfg.Now() >= until {
		release.Close()
		fleet.Groups{}.Kill(pgid)
		<-ended
		say("%s was lost before the command began: %v", cfg.Request.Task, err)
		return Lost
	}
	release.Write([]byte{1})
	release.Close()
	return watch(d, cfg, id, until, pgid, ended, signals, say)
}

// gate wraps a command so that it begins once a byte comes over a pipe, and not at all when the pipe closes before.
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

// watch goes on to ask for the lease while the command runs, and ends the group when the lease does.
func watch(d Desk, cfg Config, id uint64, until time.Duration, pgid int, ended chan error, signals chan os.Signal, say func(string, ...any)) int {
	type answer struct {
		s     fleet.RunStatus
		asked time.Duration
		err   error
	}
	answers := make(chan answer, 1)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			asked := cfg.Now()
			s, err := d.Poll(id, pollEach)
			select {
			case answers <- answer{s, asked, err}:
			case <-stop:
				return
			}
			if err != nil {
				time.Sleep(pollEach / 5)
			}
		}
	}()
	var lost string
	var span time.Duration
	killAt := time.Duration(-1) // when the group is ended by force, once it was asked to end
	ask := func(why string) {
		if killAt < 0 {
			lost = why
			syscall.Kill(-pgid, syscall.SIGTERM)
			killAt = cfg.Now() + cfg.Grace
		}
	}
	for {
		now := cfg.Now()
		span = max(span, until-now)
		// It is renewed each third of its span, so one of which less than a third is left is not going to be.
		if now >= until-min(cfg.Grace, span/3) {
			ask("the lease runs out and is not renewed")
		}
		if now >= until || killAt >= 0 && now >= min(killAt, until) {
			fleet.Groups{}.Kill(pgid)
		}
		select {
		case err := <-ended:
			for (fleet.Groups{}).Alive(pgid) { // children that it has left behind
				fleet.Groups{}.Kill(pgid)
				time.Sleep(time.Millisecond)
			}
			if lost != "" {
				say("%s was lost: %s; the command was ended", cfg.Request.Task, lost)
				return Lost
			}
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				if ws, ok := exit.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
					if ws.Signal() == syscall.SIGKILL && cfg.Now() >= until-cfg.Grace {
						say("%s was lost; the command was ended", cfg.Request.Task)
						return Lost
					}
					return 128 + int(ws.Signal())
				}
				return exit.ExitCode()
			}
			if err != nil {
				say("%v", err)
				return NotStarted
			}
			return 0
		case a := <-answers:
			switch {
			case errors.Is(a.err, fleet.ErrNoRun) || a.err != nil && a.err.Error() == fleet.ErrNoRun.Error():
				until = min(until, now)
				ask("the daemon holds the slot no more")
			case a.err != nil: // it may be back before the lease runs out
			case a.s.Stop:
				ask("it is asked to stop early")
			case a.s.Word == lease.Lost.String():
				until = min(until, now)
				ask("the fleet has ended it")
			case a.s.Left > 0:
				until = max(until, a.asked+a.s.Left)
			}
		case sig := <-signals:
			syscall.Kill(-pgid, sig.(syscall.Signal))
		case <-time.After(watchEach):
		}
	}
}
