package fleet

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/state/audit"
)

// Desk holds slots for others on this machine: for a command that an operator runs, for the operator's drain. Whoever has a
// slot here comes back for it again and again; who does not for a while is taken for dead.
//
// A command runs as a process group of its own. Two look after it, each alone enough: whoever started it, and the desk. Both
// end the whole group before the lease can be another's. If both are stopped at once and the command is not, it runs on:
// that is what is left, and why what it acts upon should compare tokens.
type Desk struct {
	f     *Fleet
	group Group
	stop  chan struct{}
	ended chan struct{}

	mu   sync.Mutex // never held while the fleet or a group is asked
	runs map[uint64]*run
	last uint64
}

// Group is how process groups are ended. The system's is Groups.
type Group interface {
	Alive(pgid int) bool
	Kill(pgid int)
}

type run struct {
	id      uint64
	task    *Task
	seen    time.Duration // when its caller came last
	pgid    int           // 0: none
	detach  bool          // it is kept without anybody coming back
	killed  bool
	ending  bool
	limited time.Duration // how long its caller may stay away
}

// RunStatus is how a slot at the desk stands.
type RunStatus struct {
	ID    uint64        `json:"id"`
	Task  string        `json:"task"`
	State lease.State   `json:"-"`
	Word  string        `json:"state"`
	Token uint64        `json:"token,omitempty"`
	Left  time.Duration `json:"left_ns"` // for how long it may still be acted under
	Place int           `json:"place,omitempty"`
	Stop  bool          `json:"stop,omitempty"` // asked to stop early
	Why   string        `json:"why,omitempty"`
}

// Errors of a desk.
var (
	ErrNoRun    = errors.New("there is no such slot at this box any more")
	ErrManyRuns = errors.New("this box holds slots for too many already")
)

const (
	runsMost  = 256
	awayMost  = 5 * time.Second // how long a caller may stay away, at the most
	sweepEach = 20 * time.Millisecond
)

// NewDesk returns a desk and begins to look after what it will hold.
func NewDesk(f *Fleet, g Group) *Desk {
	d := &Desk{f: f, group: g, stop: make(chan struct{}), ended: make(chan struct{}), runs: map[uint64]*run{}}
	go d.sweep()
	return d
}

// Begin asks for a slot.
func (d *Desk) Begin(r lease.Request) (uint64, error) {
	d.mu.Lock()
	full := len(d.runs) >= runsMost
	d.mu.Unlock()
	if full {
		return 0, ErrManyRuns
	}
	t, err := d.f.Ask(r)
	if err != nil {
		return 0, err
	}
	away := d.away()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.runs[d.last] = &run{id: d.last, task: t, seen: d.f.cfg.Now(), limited: away}
	return d.last, nil
}

// away is how long a caller may stay away.
func (d *Desk) away() time.Duration { return min(awayMost, d.f.Terms().Acting()/2) }

func (d *Desk) find(id uint64) (*run, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runs[id]
	if r == nil || r.ending {
		return nil, ErrNoRun
	}
	return r, nil
}

// Poll tells how a slot stands: when something has changed that a caller would act upon, or when the time is over.
func (d *Desk) Poll(id uint64, wait time.Duration) (RunStatus, error) {
	r, err := d.find(id)
	if err != nil {
		return RunStatus{}, err
	}
	over := time.NewTimer(min(wait, r.limited/2))
	defer over.Stop()
	ask, left, changed := r.task.Look()
	for first, waiting := ask, wait > 0; waiting && same(first, ask); {
		select {
		case <-changed:
			ask, left, changed = r.task.Look()
		case <-over.C:
			ask, left, _ = r.task.Look()
			waiting = false
		}
	}
	d.mu.Lock()
	r.seen = d.f.cfg.Now()
	d.mu.Unlock()
	s := RunStatus{ID: id, Task: ask.Task, State: ask.State, Word: ask.State.String(), Token: ask.Token, Left: left, Place: ask.Place, Stop: ask.Stop}
	if ask.Why != nil {
		s.Why = ask.Why.Error()
	} else if held := ask.State == lease.Held || ask.State == lease.Renewing; held && left == 0 {
		s.Why = r.task.why()
	}
	return s, nil
}

// same tells whether a caller would do the same about both. A renewal under way is nothing to act upon.
func same(a, b lease.Ask) bool {
	held := func(s lease.State) lease.State {
		if s == lease.Renewing {
			return lease.Held
		}
		return s
	}
	return held(a.State) == held(b.State) && a.Place == b.Place && a.Stop == b.Stop
}

// Keep has a slot kept although nobody comes back for it.
func (d *Desk) Keep(id uint64) error {
	r, err := d.find(id)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.detach = true
	return nil
}

// Command says which process group acts under a slot.
func (d *Desk) Command(id uint64, pgid int) error {
	r, err := d.find(id)
	if err != nil {
		return err
	}
	ask, _ := r.task.look()
	d.f.note(audit.Entry{Kind: audit.Effect, Task: ask.Task, Token: ask.Token, Text: fmt.Sprintf("a command runs as process group %d", pgid)})
	d.mu.Lock()
	defer d.mu.Unlock()
	r.pgid, r.seen = pgid, d.f.cfg.Now()
	return nil
}

// End gives a slot back. What its group still has is ended first.
func (d *Desk) End(id uint64) error {
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

// finish ends a run's group and gives its slot back once nothing of the group is left. It may have to be called again.
func (d *Desk) finish(r *run) {
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

// sweep ends what has to end.
func (d *Desk) sweep() {
	defer close(d.ended)
	tick := time.NewTicker(sweepEach)
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
			d.look(r)
		}
	}
}

// margin is how long before the end of a lease its group is killed.
func margin(t lease.Terms) time.Duration { return min(t.Acting()/8, 2*time.Second) }

func (d *Desk) look(r *run) {
	ask, left, _ := r.task.Look()
	d.mu.Lock()
	away := !r.detach && d.f.cfg.Now()-r.seen > r.limited
	pgid, ending, granted := r.pgid, r.ending, ask.State != lease.Asked
	if away {
		r.ending = true
	}
	kill := pgid != 0 && granted && left < margin(d.f.Terms()) && !r.killed
	r.killed = r.killed || kill
	d.mu.Unlock()
	if kill {
		d.group.Kill(pgid)
	}
	if away || ending {
		d.finish(r)
	}
}

// Close ends all that runs under a slot of this box.
func (d *Desk) Close() {
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
