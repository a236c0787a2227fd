// Package leases runs a fleet of real processes that act on a fake resource under leases, injects faults into the processes and their
// connections, and checks in the history of the fake that no more boxes act at the same time than a task has slots.
package leases

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fake/resource"
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
)

// Config configures a trial.
type Config struct {
	Seed           uint64
	Boxes          int
	Faults         int
	Span           time.Duration // the time over which the faults are spread
	Kinds          []rig.Kind
	Schedule       rig.Schedule // faults to inject in place of random ones
	CleanTakeovers int          // how many holders are killed with no other fault active, to measure how soon another box acts
	SkewClocks     bool         // run the boxes' clocks fast and slow; needs a trial build
	Command        func(config string) *exec.Cmd
	Cairnctl       string // path of cairnctl, which runs commands under a lease; "" for no commands
	SettingsFile   string
	Dir            string
	Terms          lease.Terms
	Election       time.Duration
	Progress       io.Writer
}

// commandThing is the task of the commands that run through cairnctl, and the thing on which they act.
const commandThing = "command"

// Figures are the results of a trial.
type Figures struct {
	rig.Tally
	Seed                            uint64
	Processes, Faults, Kinds        int
	Acts, Takeovers, Commands       int
	Overlaps, Unguarded, Fenced     int
	StaleTried, StaleAccepted       int
	TokenRegressions, DigestsDiffer int
	Linearizable                    bool
	VacancyMax, VacancyBound        time.Duration
	Vacancies                       int
	Duration                        time.Duration
	Injected                        rig.InjectedFaults
	Schedule                        rig.Schedule
	Notes                           []string
}

// takeoverAllowance is how long a takeover may take in addition to the term.
const takeoverAllowance = 2 * time.Second

// Run runs a trial.
func Run(cfg Config) (*Figures, error) {
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	began := time.Now()
	res, err := resource.Start(actor.ComparesTokens)
	if err != nil {
		return nil, err
	}
	defer res.Close()
	voters := []int{0, 1, 2}
	site, err := rig.NewSite(rig.SiteConfig{Seed: cfg.Seed, Dir: cfg.Dir, Boxes: cfg.Boxes, Voters: voters, Terms: cfg.Terms, Election: cfg.Election, SettingsFile: cfg.SettingsFile, Command: cfg.Command,
		SkewClocks: cfg.SkewClocks, Load: true, Env: func(box int) []string {
			return actor.Env(res, cfg.Seed, box)
		}})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	if err := site.Start(); err != nil {
		return nil, err
	}
	fmt.Fprintf(cfg.Progress, "%d boxes have joined the fleet\n", cfg.Boxes)
	commands := newCommands(cfg, site, res)
	defer commands.close()
	random := rand.New(rand.NewPCG(cfg.Seed, 3))
	schedule := cfg.Schedule
	if schedule == nil {
		schedule = rig.Draw(random, cfg.Kinds, cfg.Faults, cfg.Boxes, cfg.Span)
	}
	f := &Figures{Seed: cfg.Seed, Processes: cfg.Boxes, Schedule: schedule, VacancyBound: cfg.Terms.Term + takeoverAllowance}
	if f.Injected, err = site.Inject(schedule, actor.EffectTrap{Resource: res}); err != nil {
		return nil, err
	}
	f.Faults, f.Kinds = f.Injected.Total(), len(f.Injected)
	fmt.Fprintf(cfg.Progress, "%d faults of %d kinds, %d effects\n", f.Faults, f.Kinds, len(res.Effects()))
	if err := site.Settle(time.Minute); err != nil {
		f.note("%v", err)
		f.DigestsDiffer++ // the fleet must agree again once the faults are over
	}
	for range cfg.CleanTakeovers {
		if err := f.measureTakeover(cfg, site, res); err != nil {
			return nil, err
		}
	}
	if err := site.Settle(time.Minute); err != nil {
		f.note("%v", err)
		f.DigestsDiffer++
	}
	f.compareDigests(site)
	commands.close()
	f.Commands = commands.succeeded
	site.Load.Stop()
	f.Tally = site.Load.Tally
	f.Notes = append(f.Notes, site.Load.Notes()...)
	if f.DoubleRuns > 0 { // adds the times of the faults, to compare them with those of the runs
		for _, h := range site.History() {
			f.Notes = append(f.Notes, fmt.Sprintf("%s n%d %s", site.TimeOf(h).Format("05.000"), h.Box, h.Text))
		}
	}
	f.evaluate(site, res)
	f.Duration = time.Since(began)
	return f, nil
}

func (f *Figures) note(format string, a ...any) {
	if len(f.Notes) < 30 {
		f.Notes = append(f.Notes, fmt.Sprintf(format, a...))
	}
}

// measureTakeover kills the box that acts on a thing, measures how soon another box acts on it, and restarts the first box.
func (f *Figures) measureTakeover(cfg Config, site *rig.Site, res *resource.Resource) error {
	thing := []string{"checked-a", "checked-b", "plain"}[f.Vacancies%3]
	var holder *rig.Box
	for end := time.Now().Add(20 * time.Second); holder == nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		list := res.Effects()
		for i := len(list) - 1; i >= 0; i-- {
			if e := list[i]; e.Thing == thing && e.Begin != 0 {
				if res.Now()-e.Begin < 100*time.Millisecond {
					for _, b := range site.Boxes {
						if b.Name == e.Box && b.Pid() == e.Pid {
							holder = b
						}
					}
				}
				break
			}
		}
	}
	if holder == nil {
		return fmt.Errorf("no box acts on %s", thing)
	}
	at := res.Now()
	holder.Kill()
	for end := time.Now().Add(f.VacancyBound + 20*time.Second); ; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("no box acts on %s after %s was killed", thing, holder.Name)
		}
		list := res.Effects()
		if i := slices.IndexFunc(list, func(e resource.Effect) bool { return e.Thing == thing && e.Begin > at && e.Box != holder.Name }); i >= 0 {
			f.Vacancies++
			f.VacancyMax = max(f.VacancyMax, list[i].Begin-at)
			break
		}
	}
	if err := holder.Start(); err != nil {
		return err
	}
	return site.Settle(20 * time.Second)
}

// compareDigests compares the digests of the replicated state of boxes that have applied the same index.
func (f *Figures) compareDigests(site *rig.Site) {
	seen := map[uint64]string{}
	for range 20 {
		for _, b := range site.Boxes {
			st, err := b.Status()
			if err != nil {
				continue
			}
			if strings.Contains(st.Reason, "differs") {
				f.DigestsDiffer++
				f.note("%s: %s", b.Name, st.Reason)
			}
			if d, ok := seen[st.Index]; ok && d != st.Digest {
				f.DigestsDiffer++
				f.note("%s has a different state at index %d", b.Name, st.Index)
			}
			seen[st.Index] = st.Digest
		}
	}
}

// commands runs commands under a lease, through cairnctl, repeatedly at each box.
type commands struct {
	stop      chan struct{}
	once      sync.Once
	wait      sync.WaitGroup
	mu        sync.Mutex
	succeeded int
	running   map[*exec.Cmd]bool
}

func newCommands(cfg Config, site *rig.Site, res *resource.Resource) *commands {
	c := &commands{stop: make(chan struct{}), running: map[*exec.Cmd]bool{}}
	if cfg.Cairnctl == "" {
		return c
	}
	for _, b := range site.Boxes {
		c.wait.Go(func() { c.loop(cfg, b, res) })
	}
	c.wait.Go(func() { c.stopParentCommands(cfg) })
	return c
}

func (c *commands) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

func (c *commands) loop(cfg Config, b *rig.Box, res *resource.Resource) {
	for !c.stopped() {
		cmd := exec.Command(cfg.Cairnctl, "--socket", b.Socket(), "fleet", "run", commandThing, "--grace", "200ms", "--wait", "20s", "--",
			cfg.Cairnctl, "trial", "act", "--resource", res.String(), "--thing", commandThing, "--box", b.Name, "--for", "1500ms")
		cmd.Env = os.Environ()
		c.mu.Lock()
		if c.stopped() {
			c.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err == nil {
			c.running[cmd] = true
		}
		c.mu.Unlock()
		if err == nil {
			err = cmd.Wait()
		}
		c.mu.Lock()
		delete(c.running, cmd)
		if err == nil {
			c.succeeded++
		}
		c.mu.Unlock()
		select {
		case <-c.stop:
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// close interrupts the running commands and waits. A command's process group is ended by its cairnctl or by its box's process supervisor.
func (c *commands) close() {
	c.once.Do(func() {
		close(c.stop)
		c.mu.Lock()
		for cmd := range c.running {
			resume(cmd)
			cmd.Process.Signal(os.Interrupt)
		}
		c.mu.Unlock()
	})
	c.wait.Wait()
}

// String returns the line of figures.
func (f *Figures) String() string {
	lin := 0
	if f.Linearizable {
		lin = 1
	}
	return fmt.Sprintf("figures: processes=%d faults=%d kinds=%d acts=%d takeovers=%d overlaps=%d unguarded=%d fenced=%d stale_tried=%d stale_accepted=%d tokens_back=%d linearizable=%d digests_differ=%d commands=%d vacancy_max_ms=%d vacancy_bound_ms=%d vacancies=%d requests=%d served=%d refused=%d failed=%d killed=%d lost=%d ended_twice=%d double_runs=%d wrong=%d seconds=%.0f",
		f.Processes, f.Faults, f.Kinds, f.Acts, f.Takeovers, f.Overlaps, f.Unguarded, f.Fenced, f.StaleTried, f.StaleAccepted, f.TokenRegressions, lin, f.DigestsDiffer, f.Commands,
		f.VacancyMax.Milliseconds(), f.VacancyBound.Milliseconds(), f.Vacancies, f.Requests, f.Served, f.Rejected, f.Failed, f.Killed, f.Lost, f.EndedTwice, f.DoubleRuns, f.Wrong, f.Duration.Seconds())
}

// Missed lists the missed bounds other than those on times.
func (f *Figures) Missed() (list []string) {
	for _, c := range []struct {
		name string
		n    int64
	}{{"overlaps", int64(f.Overlaps)}, {"stale tokens accepted", int64(f.StaleAccepted)}, {"tokens not increasing", int64(f.TokenRegressions)}, {"digests differ", int64(f.DigestsDiffer)},
		{"lost", f.Lost}, {"ended twice", f.EndedTwice}, {"double runs", f.DoubleRuns}, {"wrong results", f.Wrong}} {
		if c.n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", c.name, c.n))
		}
	}
	if !f.Linearizable {
		list = append(list, "the histories are not linearizable")
	}
	if f.Acts < 20 || f.Takeovers < 3 {
		list = append(list, fmt.Sprintf("only %d effects and %d takeovers, too few to check the leases", f.Acts, f.Takeovers))
	}
	return list
}

// MissedInFull lists the missed bounds of a full trial.
func (f *Figures) MissedInFull() []string {
	list := f.Missed()
	if f.Processes < 7 || f.Faults < 60 {
		list = append(list, fmt.Sprintf("%d processes and %d faults, want at least 7 and 60", f.Processes, f.Faults))
	}
	if f.StaleTried == 0 {
		list = append(list, "no stale holder tried to act, so the faults had no effect")
	}
	if f.VacancyMax > f.VacancyBound {
		list = append(list, fmt.Sprintf("a task was vacant for %v", f.VacancyMax))
	}
	return list
}
