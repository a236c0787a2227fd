package fleet

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/state/audit"
)

// ProcessSupervisor holds slots on behalf of other processes on this machine: a command that an operator runs, or an operator's drain. Callers
// must poll their slots; a caller that does not poll for the allowed time is treated as dead.
//
// A command runs in a process group of its own. Its starter and the supervisor each guarantee alone that the whole group is killed
// before another box can hold the lease. If both are stopped at once and the command is not, it goes on running. This case
// remains, so whatever the command acts upon should compare tokens.
type ProcessSupervisor struct {
	f     *Fleet
	group ProcessGroups
	stop  chan struct{}
	ended chan struct{}

	mu   sync.Mutex // not held during calls to the fleet or to the group
	runs map[uint64]*run
	last uint64
}

// ProcessGroups checks and kills process groups. SystemProcessGroups implements it with the operating system.
type ProcessGroups interface {
	Alive(pgid int) bool
	Kill(pgid int)
}

type run struct {
	id        uint64
	task      *Task
	lastPoll  time.Duration // time of the caller's last poll
	pgid      int           // 0: none
	detached  bool          // kept without polls
	killed    bool
	ending    bool
	pollLimit time.Duration // longest allowed time between polls
}

// RunStatus describes a slot held by the supervisor.
type RunStatus struct {
	ID        uint64        `json:"id"`
	Task      string        `json:"task"`
	State     lease.State   `json:"-"`
	StateName string        `json:"state"`
	Token     uint64        `json:"token,omitempty"`
	Left      time.Duration `json:"left_ns"` // how long effects under the slot are still allowed
	Place     int           `json:"place,omitempty"`
	Stop      bool          `json:"stop,omitempty"` // the holder is asked to stop early
	Why       string        `json:"why,omitempty"`
}

// Errors of a ProcessSupervisor.
var (
	ErrNoRun       = errors.New("there is no such slot at this box any more")
	ErrTooManyRuns = errors.New("this box already holds slots for the most runs allowed")
)

const (
	maxRuns       = 256
	maxPollLimit  = 5 * time.Second // upper bound of the time between a caller's polls
	sweepInterval = 20 * time.Millisecond
)

// NewProcessSupervisor returns a ProcessSupervisor and starts its periodic check.
func NewProcessSupervisor(f *Fleet, g ProcessGroups) *ProcessSupervisor {
	d := &ProcessSupervisor{f: f, group: g, stop: make(chan struct{}), ended: make(chan struct{}), runs: map[uint64]*run{}}
	go d.sweep()
	return d
}

// Begin requests a slot and returns the number by which the caller polls it.
func (d *ProcessSupervisor) Begin(r lease.Request) (uint64, error) {
	d.mu.Lock()
	full := len(d.runs) >= maxRuns
	d.mu.Unlock()
	if full {
		return 0, ErrTooManyRuns
	}
	t, err := d.f.Request(r)
	if err != nil {
		return 0, err
	}
	limit := d.pollLimit()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.runs[d.last] = &run{id: d.last, task: t, lastPoll: d.f.cfg.Now(), pollLimit: limit}
	return d.last, nil
}

// pollLimit returns the longest allowed time between a caller's polls.
func (d *ProcessSupervisor) pollLimit() time.Duration {
	return min(maxPollLimit, d.f.Terms().HolderDuration()/2)
}

func (d *ProcessSupervisor) find(id uint64) (*run, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runs[id]
	if r == nil || r.ending {
		return nil, ErrNoRun
	}
	return r, nil
}

// Poll returns a slot's status as soon as a change is relevant to its caller, or after wait.
func (d *ProcessSupervisor) Poll(id uint64, wait time.Duration) (RunStatus, error) {
	r, err := d.find(id)
	if err != nil {
		return RunStatus{}, err
	}
	timeout := time.NewTimer(min(wait, r.pollLimit/2))
	defer timeout.Stop()
	request, left, changed := r.task.Status()
	for first, waiting := request, wait > 0; waiting && sameForCaller(first, request); {
		select {
		case <-changed:
			request, left, changed = r.task.Status()
		case <-timeout.C:
			request, left, _ = r.task.Status()
			waiting = false
		}
	}
	d.mu.Lock()
	r.lastPoll = d.f.cfg.Now()
	d.mu.Unlock()
	s := RunStatus{ID: id, Task: request.Task, State: request.State, StateName: request.State.String(), Token: request.Token, Left: left, Place: request.QueuePosition, Stop: request.StopRequested}
	if request.Reason != nil {
		s.Why = request.Reason.Error()
	} else if held := request.State == lease.Held || request.State == lease.Renewing; held && left == 0 {
		s.Why = r.task.blockedReason()
	}
	return s, nil
}

// sameForCaller reports whether two statuses mean the same to a caller. A renewal in progress counts as held.
func sameForCaller(a, b lease.TrackedRequest) bool {
	held := func(s lease.State) lease.State {
		if s == lease.Renewing {
			return lease.Held
		}
		return s
	}
	return held(a.State) == held(b.State) && a.QueuePosition == b.QueuePosition && a.StopRequested == b.StopRequested
}

// Keep keeps a slot without further polls by its caller.
func (d *ProcessSupervisor) Keep(id uint64) error {
	r, err := d.find(id)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.detached = true
	return nil
}

// Command registers the process group that acts under a slot.
func (d *ProcessSupervisor) Command(id uint64, pgid int) error {
	r, err := d.find(id)
	if err != nil {
		return err
	}
	request, _ := r.task.current()
	d.f.recordAudit(audit.Entry{Kind: audit.Effect, Task: request.Task, Token: request.Token, Text: fmt.Sprintf("a command runs as process group %d", pgid)})
	d.mu.Lock()
	defer d.mu.Unlock()
	r.pgid, r.lastPoll = pgid, d.f.cfg.Now()
	return nil
}

// End kills what is left of the slot's process group and gives the slot back.
func (d *ProcessSupervisor) End(id uint64) error {
	r, err := d.find(id)
	if err != nil {
		return err
	}
	d.mu.Lock()
	r.ending = true
	d.mu.Unlock()
	d.finish(r)
	return nil
}

// finish kills a run's group, and gives its slot back once no process of the group is left. If some are left it must be called again.
func (d *ProcessSupervisor) finish(r *run) {
	if r.pgid != 0 {
		d.group.Kill(r.pgid)
		if d.group.Alive(r.pgid) {
			return
		}
	}
	r.task.Release()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, r.id)
}

// sweep checks all runs at each interval.
func (d *ProcessSupervisor) sweep() {
	defer close(d.ended)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-tick.C:
		}
		d.mu.Lock()
		list := make([]*run, 0, len(d.runs))
		for _, r := range d.runs {
			list = append(list, r)
		}
		d.mu.Unlock()
		for _, r := range list {
			d.check(r)
		}
	}
}

// killMargin returns how long before the end of a lease its process group is killed.
func killMargin(t lease.Terms) time.Duration { return min(t.HolderDuration()/8, 2*time.Second) }

func (d *ProcessSupervisor) check(r *run) {
	request, left, _ := r.task.Status()
	d.mu.Lock()
	absent := !r.detached && d.f.cfg.Now()-r.lastPoll > r.pollLimit
	pgid, ending, granted := r.pgid, r.ending, request.State != lease.Requested
	if absent {
		r.ending = true
	}
	kill := pgid != 0 && granted && left < killMargin(d.f.Terms()) && !r.killed
	r.killed = r.killed || kill
	d.mu.Unlock()
	if kill {
		d.group.Kill(pgid)
	}
	if absent || ending {
		d.finish(r)
	}
}

// Close stops the checks and kills all process groups that run under slots of this box.
func (d *ProcessSupervisor) Close() {
	close(d.stop)
	<-d.ended
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if r.pgid != 0 {
			d.group.Kill(r.pgid)
		}
	}
}
