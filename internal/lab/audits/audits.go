// Package audits rolls configurations out over a fleet of real processes under load, with injected faults and two builds side by side,
// and compares the answers of the boxes' audits with what the rig and the fake resource observed.
package audits

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cairnlane/internal/config"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fake/resource"
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/state/audit"
)

// Config configures a trial.
type Config struct {
	Seed          uint64
	Boxes         int
	Faults        int
	Span          time.Duration // the time over which the faults are spread
	Kinds         []rig.Kind
	Schedule      rig.Schedule // faults to inject in place of random ones
	Scripts       []Script
	CanReject     bool                                   // boxes reject configurations that name them; needs a trial build
	Command       func(box int, config string) *exec.Cmd // boxes may run different builds
	OldBuildBoxes int                                    // how many boxes, counted from the last, run an older build
	SettingsFile  string
	Dir           string
	Terms         lease.Terms
	Election      time.Duration
	Progress      io.Writer
}

// Kinds are the kinds of faults that are drawn: all but rig.DropOutgoing, rig.LimitRate and rig.ColdRestart. ColdRestart empties the disks of nearly all boxes,
// which leaves no audits to compare.
var Kinds = []rig.Kind{rig.Kill, rig.EmptyDisk, rig.OldCopy, rig.Stop, rig.StopInAct, rig.KillLeader, rig.StopLeader, rig.FullDisk, rig.Twin, rig.OneWay, rig.DropIncoming, rig.Isolate, rig.Split, rig.Hold, rig.Slow,
	rig.Break, rig.Refuse, rig.Flap, rig.WallClockJump, rig.RotateKey, rig.KillAll}

// Script describes one rollout: the configuration, what is done during the rollout, and the wanted end.
type Script struct {
	Name             string
	RejectedBy       string // names of the boxes that reject it, or all
	Needs            uint64
	DrainWhenShutOut bool // boxes that are shut out leave service
	MaxRejected      int
	Disturbance      string        // "", "kill" or "stop" the conductor, "abort", "supersede", or "two" for two operators at the same time
	PauseAfter       time.Duration // a pause afterwards, so that boxes that are behind are shut out
	WantedEnd        string        // the wanted end: done, returned or superseded; "" if the faults decide it
}

// Scripts are the rollouts of a full trial: accepted ones, rejected ones, one that half of the boxes accept, and some that are disturbed.
var Scripts = []Script{
	{Name: "good", WantedEnd: "done"},
	{Name: "the conductor is killed", Disturbance: "kill"},
	{Name: "rejected by all", RejectedBy: "all", WantedEnd: "returned"},
	{Name: "the conductor is stopped", Disturbance: "stop"},
	{Name: "accepted by half", RejectedBy: "n1,n3,n5,n7", MaxRejected: 9, PauseAfter: gracePeriod + 7*time.Second},
	{Name: "brings stragglers up"},
	{Name: "two operators at once", Disturbance: "two"},
	{Name: "superseded", Disturbance: "supersede"},
	{Name: "aborted", Disturbance: "abort"},
	{Name: "needs a later build", Needs: 3},
	{Name: "good again"},
}

const (
	gracePeriod    = 5 * time.Second
	pollInterval   = 100 * time.Millisecond
	rolloutTimeout = 25 * time.Second // for one rollout under faults, before the next one supersedes it
)

// trial is a running trial.
type trial struct {
	cfg        Config
	site       *rig.Site
	res        *resource.Resource
	figures    *Figures
	rand       *rand.Rand
	clockStart time.Time // the zero of the fake resource's clock

	mu           sync.Mutex
	samples      map[int][]sample // by index of the box
	lowestSeenAt map[uint64]time.Duration
	progress     map[uint64]rolloutProgress // by ID of the rollout
	finished     map[uint64]rollout.Rollout
	shutOut      map[string]rollout.ShutOutBox
}

type rolloutProgress struct {
	index    uint64
	wave     int
	finished bool
}

// sample is one answer of a box about rollouts, with the times of the request and the answer.
type sample struct {
	requestedAt, answeredAt time.Duration
	index                   uint64
	inForce                 uint64
}

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
	t := &trial{cfg: cfg, res: res, figures: &Figures{Processes: cfg.Boxes}, rand: rand.New(rand.NewPCG(cfg.Seed, 11)), clockStart: time.Now().Add(-res.Now()),
		samples: map[int][]sample{}, lowestSeenAt: map[uint64]time.Duration{}, progress: map[uint64]rolloutProgress{}, finished: map[uint64]rollout.Rollout{}, shutOut: map[string]rollout.ShutOutBox{}}
	t.site, err = rig.NewSite(rig.SiteConfig{Seed: cfg.Seed, Dir: cfg.Dir, Boxes: cfg.Boxes, Voters: []int{0, 1, 2}, Terms: cfg.Terms, Election: cfg.Election, SettingsFile: cfg.SettingsFile,
		Command: func(path string) *exec.Cmd { return cfg.Command(boxOf(cfg.Dir, path), path) }, Load: true, Env: func(box int) []string {
			return actor.Env(res, cfg.Seed, box)
		}})
	if err != nil {
		return nil, err
	}
	defer t.site.Close()
	if err := t.site.Start(); err != nil {
		return nil, err
	}
	fmt.Fprintf(cfg.Progress, "%d boxes have joined the fleet\n", cfg.Boxes)
	stop := make(chan struct{})
	var samplers sync.WaitGroup
	for _, b := range t.site.Boxes {
		samplers.Go(func() { t.sampleBox(b, stop) })
	}
	schedule := cfg.Schedule
	if schedule == nil {
		schedule = rig.Draw(t.rand, cfg.Kinds, cfg.Faults, cfg.Boxes, cfg.Span)
	}
	t.figures.Schedule = schedule
	var injected rig.InjectedFaults
	var faultErr error
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		injected, faultErr = t.site.Inject(schedule, actor.EffectTrap{Resource: res})
	}()
	for _, s := range cfg.Scripts {
		if err := t.runScript(s); err != nil {
			t.note("%s: %v", s.Name, err)
		}
		time.Sleep(s.PauseAfter)
	}
	<-faults
	if faultErr != nil {
		return nil, faultErr
	}
	t.figures.Faults, t.figures.Kinds = t.figures.Faults+injected.Total(), len(injected)
	fmt.Fprintf(cfg.Progress, "%d faults of %d kinds, %d effects\n", t.figures.Faults, t.figures.Kinds, len(res.Effects()))
	if err := t.rollOutToAll(); err != nil {
		t.note("%v", err)
		t.figures.Unsettled++
	}
	close(stop)
	samplers.Wait()
	t.site.Load.Stop()
	t.figures.Tally = t.site.Load.Tally
	t.figures.Notes = append(t.figures.Notes, t.site.Load.Notes()...)
	if err := t.evaluate(); err != nil {
		return nil, err
	}
	t.figures.Duration = time.Since(began)
	return t.figures, nil
}

// boxOf returns the number of the box to which the configuration at path belongs. A process of kind rig.Twin has the number of its box.
func boxOf(dir, path string) (n int) {
	rel, _ := filepath.Rel(dir, path)
	fmt.Sscan(strings.Split(rel, string(filepath.Separator))[0], &n)
	return n
}

func (t *trial) note(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.figures.Notes) < 40 {
		t.figures.Notes = append(t.figures.Notes, fmt.Sprintf(format, a...))
	}
}

func (t *trial) now() time.Duration { return time.Since(t.clockStart) }

// queryRollouts asks a box for the state of rollouts. It returns an error if the box does not answer within 500 ms, as it may be stopped.
func queryRollouts(b *rig.Box) (rollouts fleetRollouts, err error) {
	type answer struct {
		r   fleetRollouts
		err error
	}
	c := make(chan answer, 1)
	go func() {
		rollouts, err := b.Control().Fleet().Rollouts()
		c <- answer{rollouts, err}
	}()
	select {
	case a := <-c:
		return a.r, a.err
	case <-time.After(500 * time.Millisecond):
		return rollouts, fmt.Errorf("no answer from %s within 500 ms", b.Name)
	}
}

// sampleBox records a box's answers at each pollInterval until stop is closed.
func (t *trial) sampleBox(b *rig.Box, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		asked := t.now()
		r, err := queryRollouts(b)
		if err != nil {
			continue
		}
		t.mu.Lock()
		t.samples[b.Index] = append(t.samples[b.Index], sample{asked, t.now(), r.Index, r.InForce})
		t.observe(r)
		t.mu.Unlock()
	}
}

// observe records a box's answer about rollouts, shut-out boxes and stragglers. The caller holds t.mu.
func (t *trial) observe(r fleetRollouts) {
	table := r.Table
	if _, ok := t.lowestSeenAt[table.Lowest]; !ok {
		t.lowestSeenAt[table.Lowest] = t.now()
	}
	list := table.Finished
	if table.Current != nil {
		list = append(list[:len(list):len(list)], *table.Current)
	}
	for _, roll := range list {
		finished := roll.Phase > rollout.RollingBack
		previous, known := t.progress[roll.ID]
		// The table at the higher index is the later one. If its wave is lower, or the rollout is active again, a step was repeated.
		if known && r.Index > previous.index && (roll.Wave < previous.wave || previous.finished && !finished) {
			t.figures.StepsRepeated++
		}
		if !known || r.Index >= previous.index {
			t.progress[roll.ID] = rolloutProgress{r.Index, roll.Wave, finished}
		}
		if finished {
			if was, ok := t.finished[roll.ID]; ok && was.Phase != roll.Phase {
				t.figures.StepsRepeated++
			}
			t.finished[roll.ID] = roll
		}
	}
	for box, entry := range table.ShutOutBoxes {
		key := fmt.Sprint(box, entry.Index)
		if _, ok := t.shutOut[key]; ok {
			continue
		}
		t.shutOut[key] = entry
		t.figures.ShutOut++
		if entry.InForce >= entry.Lowest {
			t.figures.WronglyShutOut++
		}
		remaining := 0
		for _, b := range t.site.Boxes {
			if _, out := table.ShutOutBoxes[b.Name]; !out {
				remaining++
			}
		}
		if float64(remaining) < shutOutFloor*float64(t.cfg.Boxes) {
			t.figures.WronglyShutOut++
		}
	}
	for _, s := range r.Stragglers {
		key := fmt.Sprint(s.Box, s.Lowest)
		if t.figures.stragglerBoxes == nil {
			t.figures.stragglerBoxes = map[string]string{}
		}
		if t.figures.stragglerBoxes[key] == "" {
			t.figures.stragglerBoxes[key] = s.Box
			t.figures.Stragglers++
		}
	}
}

const shutOutFloor = 0.4

// askUntil calls do with random eligible boxes that answer until it succeeds or the timeout has passed.
func (t *trial) askUntil(timeout time.Duration, eligible func(*rig.Box) bool, do func(*rig.Box) error) error {
	err := errors.New("no eligible box was asked")
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		b := t.site.Boxes[t.rand.IntN(len(t.site.Boxes))]
		if !eligible(b) {
			continue
		}
		if _, e := queryRollouts(b); e != nil { // the box would not answer do either
			err = e
			continue
		}
		if err = do(b); err == nil || errors.Is(err, errStop) {
			return err
		}
	}
	return err
}

var errStop = errors.New("no further attempts")

func (t *trial) runsNewBuild(b *rig.Box) bool { return b.Index < len(t.site.Boxes)-t.cfg.OldBuildBoxes }
func anyBox(*rig.Box) bool                    { return true }

// putConfig stores a configuration in the fleet and returns its version.
func (t *trial) putConfig(s Script, name string) (n uint64, err error) {
	var source strings.Builder
	// Each configuration turns on fleet-wide shedding, so that requests depend on the version in force from their arrival to their answer.
	fmt.Fprintf(&source, "needs = %d\noverload {\n tries = 0.2\n}\n", max(s.Needs, config.OverloadMinBuild))
	fmt.Fprintf(&source, "values = {\n NAME = %q\n", name)
	if s.RejectedBy != "" {
		fmt.Fprintf(&source, " TRIAL_REFUSE = %q\n", s.RejectedBy)
	}
	fmt.Fprintf(&source, "}\nstragglers {\n grace = %q\n floor = %v\n leave_service = %v\n}\n", gracePeriod, shutOutFloor, s.DrainWhenShutOut)
	err = t.askUntil(20*time.Second, t.runsNewBuild, func(b *rig.Box) error {
		n, err = b.Control().Fleet().PutConfig([]byte(source.String()))
		return err
	})
	return n, err
}

var defaultPlan = rollout.Plan{Canaries: 1, Share: 0.35, ObserveFor: 300 * time.Millisecond, Timeout: 12 * time.Second, MaxDead: 9, Slots: 3, Supersede: true}

// runScript starts the rollout of a script, disturbs it as the script says and waits for its end.
func (t *trial) runScript(s Script) error {
	plan := defaultPlan
	plan.MaxRejected = s.MaxRejected
	n, err := t.putConfig(s, s.Name)
	if err != nil {
		return err
	}
	var other uint64
	if s.Disturbance == "two" || s.Disturbance == "supersede" {
		if other, err = t.putConfig(Script{}, s.Name+", the other configuration"); err != nil {
			return err
		}
	}
	if s.Disturbance == "supersede" || s.Disturbance == "abort" || s.Disturbance == "kill" || s.Disturbance == "stop" {
		plan.ObserveFor = time.Second // leaves time to disturb the rollout
	}
	start := func(n uint64, p rollout.Plan) error {
		return t.askUntil(20*time.Second, anyBox, func(b *rig.Box) error {
			err := b.Control().Fleet().StartRollout(n, p)
			if r, e := queryRollouts(b); err != nil && e == nil && (r.Table.Current != nil && r.Table.Current.To >= n || r.Table.Target >= n) {
				return nil // it was accepted and only the answer was lost, or a later rollout has replaced it
			}
			return err
		})
	}
	var wait sync.WaitGroup
	if s.Disturbance == "two" { // at the same time; the fleet accepts one, or the higher version supersedes the other
		wait.Go(func() { t.site.Boxes[0].Control().Fleet().StartRollout(other, plan) })
	}
	if err := start(n, plan); err != nil {
		return err
	}
	wait.Wait()
	switch s.Disturbance {
	case "kill", "stop":
		t.disruptConductor(s.Disturbance)
	case "abort":
		t.askUntil(10*time.Second, anyBox, func(b *rig.Box) error { return b.Control().Fleet().ChangeRollout("abort", "a trial") })
	case "supersede":
		time.Sleep(500 * time.Millisecond)
		p := defaultPlan
		if err := start(other, p); err != nil {
			return err
		}
	}
	// Wait until some box reports that the rollout is over.
	err = t.askUntil(rolloutTimeout, anyBox, func(b *rig.Box) error {
		r, err := queryRollouts(b)
		if err != nil {
			return err
		}
		if r.Table.Current != nil || r.Table.Last < n {
			return fmt.Errorf("the rollout to version %d goes on", n)
		}
		return nil
	})
	t.checkEnd(s, n, err)
	return nil // if the rollout goes on, the next one supersedes it
}

// checkEnd compares the end of a script's rollout to version n with the wanted one. If late is not nil, the rollout did not end in time.
// Differences count only in trials without faults, because faults can change the end.
func (t *trial) checkEnd(s Script, n uint64, late error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if late != nil {
		fmt.Fprintf(t.cfg.Progress, "%-26s %d: %v\n", s.Name, n, late)
		if s.WantedEnd != "" && t.cfg.Faults == 0 {
			t.figures.Notes = append(t.figures.Notes, fmt.Sprintf("%s: %v, not %s", s.Name, late, s.WantedEnd))
			t.figures.Unsettled++
		}
	}
	for _, roll := range t.finished {
		if roll.To == n {
			fmt.Fprintf(t.cfg.Progress, "%-26s %d: %v %s\n", s.Name, n, roll.Phase, roll.Why)
			if s.WantedEnd != "" && roll.Phase.String() != s.WantedEnd && t.cfg.Faults == 0 {
				t.figures.Notes = append(t.figures.Notes, fmt.Sprintf("%s: %v, not %s", s.Name, roll.Phase, s.WantedEnd))
				t.figures.Unsettled++
			}
		}
	}
}

// disruptConductor kills or stops the box that holds the conductor's lease.
func (t *trial) disruptConductor(what string) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, b := range t.site.Boxes[:3] {
			if r, err := queryRollouts(b); err == nil && r.Conducts {
				if b.InjectOutage(what == "kill", 3*time.Second) {
					t.figures.Faults++
					t.figures.ConductorsHit++
					return
				}
			}
		}
	}
}

// rollOutToAll rolls a last configuration out without faults, and waits until all boxes have it in force and none is shut out or behind.
func (t *trial) rollOutToAll() error {
	if err := t.site.Settle(time.Minute); err != nil {
		return err
	}
	if t.cfg.CanReject {
		if err := t.shutOutBox("n3"); err != nil {
			return err
		}
	}
	n, err := t.putConfig(Script{}, "the last configuration")
	if err != nil {
		return err
	}
	plan := defaultPlan
	plan.Share = 1
	if err := t.askUntil(20*time.Second, anyBox, func(b *rig.Box) error { return b.Control().Fleet().StartRollout(n, plan) }); err != nil {
		return err
	}
	err = errors.New("no box was asked")
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		err = nil
		for _, b := range t.site.Boxes {
			r, e := queryRollouts(b)
			if e != nil || r.InForce != n || r.Table.Current != nil || len(r.Table.ShutOutBoxes) > 0 || len(r.Stragglers) > 0 || r.Table.Lowest != n {
				err = fmt.Errorf("the fleet did not settle on version %d: %s has %d, %v, table %v, stragglers %+v, %v", n, b.Name, r.InForce, r.State, r.Table, r.Stragglers, e)
			}
		}
		if err == nil {
			break
		}
	}
	if err == nil && t.cfg.CanReject {
		err = t.awaitService("n3", true)
	}
	if err == nil {
		err = t.awaitFleetLoad()
	}
	for _, b := range t.site.Boxes {
		if st, e := b.Control().Status(); e == nil && st.Counters["invariants_broken"] > 0 {
			t.note("%s reports broken invariants: %s", b.Name, b.Output())
			t.figures.Mixed++ // a request that is handled under two versions breaks an invariant
		}
	}
	if err == nil {
		time.Sleep(6 * time.Second) // boxes report their audits' heads every 5 s
		err = t.site.Settle(30 * time.Second)
	}
	return err
}

// shutOutBox rolls out a configuration that one box rejects and all others accept, and waits until that box is shut out. It runs after
// the faults have ended: with some seeds they change the straggler detector so often that no box is shut out in time.
func (t *trial) shutOutBox(box string) error {
	n, err := t.putConfig(Script{RejectedBy: box, DrainWhenShutOut: true}, "rejected by one box")
	if err != nil {
		return err
	}
	plan := defaultPlan
	plan.Share, plan.MaxRejected = 1, 1
	if err := t.askUntil(20*time.Second, anyBox, func(b *rig.Box) error { return b.Control().Fleet().StartRollout(n, plan) }); err != nil {
		return err
	}
	err = t.askUntil(gracePeriod+40*time.Second, anyBox, func(b *rig.Box) error {
		r, err := queryRollouts(b)
		if err != nil {
			return err
		}
		if _, out := r.Table.ShutOutBoxes[box]; !out {
			return fmt.Errorf("%s has rejected version %d and is not shut out: %+v", box, n, r.Stragglers)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return t.awaitService(box, false)
}

// awaitService waits until the last drain entry in a box's audit says that the box is in service (inService) or has left it.
func (t *trial) awaitService(box string, inService bool) error {
	i := slices.IndexFunc(t.site.Boxes, func(b *rig.Box) bool { return b.Name == box })
	drained := false
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		b, err := audit.Read(t.site.Boxes[i].AuditDirs()[0])
		if err != nil {
			return err
		}
		for _, e := range b.Entries {
			if e.Kind == audit.Drain {
				drained = e.OK
			}
		}
		if drained != inService {
			return nil
		}
	}
	return fmt.Errorf("%s: drained is %v after 20 s, want %v", box, drained, !inService)
}

// awaitFleetLoad waits until every box knows the load of all boxes.
func (t *trial) awaitFleetLoad() (err error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		err = nil
		for _, b := range t.site.Boxes {
			l, e := b.Control().Fleet().Load()
			if e != nil || l.Fleet.Boxes != t.cfg.Boxes || l.Advice == nil || l.Advice.Trust < 1 || l.Fleet.Capacity <= 0 {
				err = fmt.Errorf("%s does not know the load of all boxes: %+v, %v", b.Name, l.Fleet, e)
			}
		}
		if err == nil {
			return nil
		}
	}
	return err
}
