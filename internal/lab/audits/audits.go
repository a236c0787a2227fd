// Package audits plays roll-outs of configurations over a fleet of real processes under load, with faults in and between them and two
// builds side by side, and compares what the boxes' audits answer with what the rig and the stand-in have seen.
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
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/standin/resource"
	"cairnlane/internal/state/audit"
)

// Config is what a trial is played with.
type Config struct {
	Seed     uint64
	Boxes    int
	Faults   int
	Span     time.Duration // over which the faults come
	Kinds    []rig.Kind
	Schedule rig.Schedule // instead of a drawn one
	Scripts  []Script
	Refuses  bool                                   // the program turns down what names its box: a trial build
	Serve    func(box int, config string) *exec.Cmd // boxes may run different builds
	Old      int                                    // the last so many boxes are of an older build
	Example  string
	Dir      string
	Terms    lease.Terms
	Election time.Duration
	Progress io.Writer
}

// Kinds are the faults that are drawn: all that the rig knows but for nearly all boxes losing their disks, which leaves
// nothing to compare.
var Kinds = []rig.Kind{rig.Kill, rig.Empty, rig.OldCopy, rig.Stop, rig.StopAct, rig.Leader, rig.StopLead, rig.Full, rig.Twin, rig.OneWay, rig.Deaf, rig.Isolate, rig.Split, rig.Hold, rig.Slow,
	rig.Break, rig.Refuse, rig.Flap, rig.Wall, rig.Key, rig.All}

// Script is one roll-out as operators begin it, and what is done to it.
type Script struct {
	Name   string
	Refuse string // boxes that turn it down, by name, or all
	Needs  uint64
	Leave  bool // who is shut out leaves service
	Turned int
	Do     string        // "", "kill" or "stop" its conductor, "abort", "supersede", "two" operators at once
	Rest   time.Duration // afterwards, so that who is behind is shut out
	Want   string        // done, returned or superseded; "" when faults decide
}

// Scripts are those of a trial in full: good ones, bad ones, one that half of the boxes take, and some that something happens to.
var Scripts = []Script{
	{Name: "good", Want: "done"},
	{Name: "the conductor is killed", Do: "kill"},
	{Name: "turned down by all", Refuse: "all", Want: "returned"},
	{Name: "the conductor is stopped", Do: "stop"},
	{Name: "half accepted", Refuse: "n1,n3,n5,n7", Turned: 9, Rest: grace + 7*time.Second},
	{Name: "brings them up"},
	{Name: "two operators at once", Do: "two"},
	{Name: "superseded", Do: "supersede"},
	{Name: "aborted", Do: "abort"},
	{Name: "for a later build", Needs: 3},
	{Name: "good again"},
}

const (
	grace    = 5 * time.Second
	lookEach = 100 * time.Millisecond
	rollMost = 25 * time.Second // for one roll-out under faults, before the next is begun in its place
)

// trial is a trial that runs.
type trial struct {
	cfg  Config
	site *rig.Site
	res  *resource.Resource
	fig  *Figures
	rand *rand.Rand
	from time.Time // at which the stand-in's clock began

	mu      sync.Mutex
	samples map[int][]sample // by box
	rises   map[uint64]time.Duration
	waves   map[uint64]place // of roll-outs, by ID
	ends    map[uint64]rollout.Rollout
	outs    map[string]rollout.ShutOutBox
}

type place struct {
	index uint64
	wave  int
	over  bool
}

// sample is what a box said at a time of the rig.
type sample struct {
	asked, at time.Duration
	index     uint64
	inForce   uint64
}

// Run plays a trial.
func Run(cfg Config) (*Figures, error) {
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	began := time.Now()
	res, err := resource.Start(actor.Compares)
	if err != nil {
		return nil, err
	}
	defer res.Close()
	t := &trial{cfg: cfg, res: res, fig: &Figures{Processes: cfg.Boxes}, rand: rand.New(rand.NewPCG(cfg.Seed, 11)), from: time.Now().Add(-res.Now()),
		samples: map[int][]sample{}, rises: map[uint64]time.Duration{}, waves: map[uint64]place{}, ends: map[uint64]rollout.Rollout{}, outs: map[string]rollout.ShutOutBox{}}
	t.site, err = rig.NewSite(rig.SiteConfig{Seed: cfg.Seed, Dir: cfg.Dir, Boxes: cfg.Boxes, Voters: []int{0, 1, 2}, Terms: cfg.Terms, Election: cfg.Election, Example: cfg.Example,
		Serve: func(path string) *exec.Cmd { return cfg.Serve(boxOf(cfg.Dir, path), path) }, Load: true, Env: func(box int) []string {
			return actor.Env(res, cfg.Seed, box)
		}})
	if err != nil {
		return nil, err
	}
	defer t.site.Close()
	if err := t.site.Start(); err != nil {
		return nil, err
	}
	fmt.Fprintf(cfg.Progress, "%d boxes are in\n", cfg.Boxes)
	stop := make(chan struct{})
	var looks sync.WaitGroup
	for _, b := range t.site.Boxes {
		looks.Go(func() { t.look(b, stop) })
	}
	sched := cfg.Schedule
	if sched == nil {
		sched = rig.Draw(t.rand, cfg.Kinds, cfg.Faults, cfg.Boxes, cfg.Span)
	}
	t.fig.Schedule = sched
	var played rig.Played
	var perr error
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		played, perr = t.site.Play(sched, actor.Traps{Resource: res})
	}()
	for _, s := range cfg.Scripts {
		if err := t.roll(s); err != nil {
			t.note("%s: %v", s.Name, err)
		}
		time.Sleep(s.Rest)
	}
	<-faults
	if perr != nil {
		return nil, perr
	}
	t.fig.Faults, t.fig.Kinds = t.fig.Faults+played.Sum(), len(played)
	fmt.Fprintf(cfg.Progress, "%d faults of %d kinds, %d effects\n", t.fig.Faults, t.fig.Kinds, len(res.Effects()))
	if err := t.rest(); err != nil {
		t.note("%v", err)
		t.fig.Unsettled++
	}
	close(stop)
	looks.Wait()
	t.site.Load.End()
	t.fig.Tally = t.site.Load.Tally
	t.fig.Notes = append(t.fig.Notes, t.site.Load.Notes()...)
	if err := t.judge(); err != nil {
		return nil, err
	}
	t.fig.Took = time.Since(began)
	return t.fig, nil
}

// boxOf is the number of the box that a configuration is of: a twin's is that of its box.
func boxOf(dir, path string) (n int) {
	rel, _ := filepath.Rel(dir, path)
	fmt.Sscan(strings.Split(rel, string(filepath.Separator))[0], &n)
	return n
}

func (t *trial) note(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.fig.Notes) < 40 {
		t.fig.Notes = append(t.fig.Notes, fmt.Sprintf(format, a...))
	}
}

func (t *trial) now() time.Duration { return time.Since(t.from) }

// ask asks a box how roll-outs stand. One that does not answer soon gives an error, and its answer is not waited for.
func ask(b *rig.Box) (r fleetRollouts, err error) {
	type answer struct {
		r   fleetRollouts
		err error
	}
	c := make(chan answer, 1)
	go func() {
		r, err := b.Control().Fleet().Rollouts()
		c <- answer{r, err}
	}()
	select {
	case a := <-c:
		return a.r, a.err
	case <-time.After(500 * time.Millisecond):
		return r, errors.New("no answer")
	}
}

// look notes what a box says again and again.
func (t *trial) look(b *rig.Box, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookEach):
		}
		asked := t.now()
		r, err := ask(b)
		if err != nil {
			continue
		}
		t.mu.Lock()
		t.samples[b.Index] = append(t.samples[b.Index], sample{asked, t.now(), r.Index, r.InForce})
		t.seen(r)
		t.mu.Unlock()
	}
}

// seen takes what a box knows of the fleet; t.mu is held.
func (t *trial) seen(r fleetRollouts) {
	table := r.Table
	if _, ok := t.rises[table.Lowest]; !ok {
		t.rises[table.Lowest] = t.now()
	}
	list := table.Finished
	if table.Current != nil {
		list = append(list[:len(list):len(list)], *table.Current)
	}
	for _, x := range list {
		over := x.Phase > rollout.RollingBack
		p, known := t.waves[x.ID]
		// Of two tables the one at the later index is the later one: a wave that goes back there was made twice.
		if known && r.Index > p.index && (x.Wave < p.wave || p.over && !over) {
			t.fig.StepsTwice++
		}
		if !known || r.Index >= p.index {
			t.waves[x.ID] = place{r.Index, x.Wave, over}
		}
		if over {
			if was, ok := t.ends[x.ID]; ok && was.Phase != x.Phase {
				t.fig.StepsTwice++
			}
			t.ends[x.ID] = x
		}
	}
	for box, o := range table.ShutOutBoxes {
		key := fmt.Sprint(box, o.Index)
		if _, ok := t.outs[key]; ok {
			continue
		}
		t.outs[key] = o
		t.fig.ShutOut++
		if o.InForce >= o.Lowest {
			t.fig.WronglyShutOut++
		}
		living := 0
		for _, b := range t.site.Boxes {
			if _, out := table.ShutOutBoxes[b.Name]; !out {
				living++
			}
		}
		if float64(living) < floor*float64(t.cfg.Boxes) {
			t.fig.WronglyShutOut++
		}
	}
	for _, s := range r.Stragglers {
		key := fmt.Sprint(s.Box, s.Lowest)
		if t.fig.behind == nil {
			t.fig.behind = map[string]string{}
		}
		if t.fig.behind[key] == "" {
			t.fig.behind[key] = s.Box
			t.fig.Stragglers++
		}
	}
}

const floor = 0.4

// someone asks boxes in turn for something until one does it.
func (t *trial) someone(most time.Duration, of func(*rig.Box) bool, do func(*rig.Box) error) error {
	err := errors.New("nobody could be asked")
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(lookEach) {
		b := t.site.Boxes[t.rand.IntN(len(t.site.Boxes))]
		if !of(b) {
			continue
		}
		if _, e := ask(b); e != nil { // it would not answer
			err = e
			continue
		}
		if err = do(b); err == nil || errors.Is(err, errEnough) {
			return err
		}
	}
	return err
}

var errEnough = errors.New("it is over")

func (t *trial) late(b *rig.Box) bool { return b.Index < len(t.site.Boxes)-t.cfg.Old }
func anyone(*rig.Box) bool            { return true }

// put has a configuration be numbered.
func (t *trial) put(s Script, name string) (n uint64, err error) {
	var src strings.Builder
	// Each has the fleet shed as one, so that requests are judged by it too, from their read to their answer.
	fmt.Fprintf(&src, "needs = %d\noverload {\n tries = 0.2\n}\n", max(s.Needs, config.OverloadNeeds))
	fmt.Fprintf(&src, "values = {\n NAME = %q\n", name)
	if s.Refuse != "" {
		fmt.Fprintf(&src, " TRIAL_REFUSE = %q\n", s.Refuse)
	}
	fmt.Fprintf(&src, "}\nstragglers {\n grace = %q\n floor = %v\n leave_service = %v\n}\n", grace, floor, s.Leave)
	err = t.someone(20*time.Second, t.late, func(b *rig.Box) error {
		n, err = b.Control().Fleet().PutConfig([]byte(src.String()))
		return err
	})
	return n, err
}

var planOf = rollout.Plan{Canaries: 1, Share: 0.35, ObserveFor: 300 * time.Millisecond, Timeout: 12 * time.Second, MaxDead: 9, Slots: 3, Supersede: true}

// roll plays a script.
func (t *trial) roll(s Script) error {
	plan := planOf
	plan.MaxRejected = s.Turned
	n, err := t.put(s, s.Name)
	if err != nil {
		return err
	}
	var other uint64
	if s.Do == "two" || s.Do == "supersede" {
		if other, err = t.put(Script{}, s.Name+", the other one"); err != nil {
			return err
		}
	}
	if s.Do == "supersede" || s.Do == "abort" || s.Do == "kill" || s.Do == "stop" {
		plan.ObserveFor = time.Second // there is time to do it
	}
	start := func(n uint64, p rollout.Plan) error {
		return t.someone(20*time.Second, anyone, func(b *rig.Box) error {
			err := b.Control().Fleet().StartRoll(n, p)
			if r, e := ask(b); err != nil && e == nil && (r.Table.Current != nil && r.Table.Current.To >= n || r.Table.Target >= n) {
				return nil // it was taken, and only the answer was lost; or another one is further
			}
			return err
		})
	}
	var wait sync.WaitGroup
	if s.Do == "two" { // in the same moment; the fleet takes one, or the later number in the place of the other
		wait.Go(func() { t.site.Boxes[0].Control().Fleet().StartRoll(other, plan) })
	}
	if err := start(n, plan); err != nil {
		return err
	}
	wait.Wait()
	switch s.Do {
	case "kill", "stop":
		t.harm(s.Do)
	case "abort":
		t.someone(10*time.Second, anyone, func(b *rig.Box) error { return b.Control().Fleet().ChangeRoll("abort", "a trial") })
	case "supersede":
		time.Sleep(500 * time.Millisecond)
		p := planOf
		if err := start(other, p); err != nil {
			return err
		}
	}
	// Until it is over, as any box knows.
	err = t.someone(rollMost, anyone, func(b *rig.Box) error {
		r, err := ask(b)
		if err != nil {
			return err
		}
		if r.Table.Current != nil || r.Table.Last < n {
			return errors.New("it goes on")
		}
		return nil
	})
	t.ended(s, n, err)
	return nil // one that goes on is superseded by the next
}

// ended compares the end of a script's roll-out to n with the one that is wanted; late says that it did not end in time. Where there
// are faults, they decide on both.
func (t *trial) ended(s Script, n uint64, late error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if late != nil {
		fmt.Fprintf(t.cfg.Progress, "%-26s %d: %v\n", s.Name, n, late)
		if s.Want != "" && t.cfg.Faults == 0 {
			t.fig.Notes = append(t.fig.Notes, fmt.Sprintf("%s: %v, not %s", s.Name, late, s.Want))
			t.fig.Unsettled++
		}
	}
	for _, x := range t.ends {
		if x.To == n {
			fmt.Fprintf(t.cfg.Progress, "%-26s %d: %v %s\n", s.Name, n, x.Phase, x.Why)
			if s.Want != "" && x.Phase.String() != s.Want && t.cfg.Faults == 0 {
				t.fig.Notes = append(t.fig.Notes, fmt.Sprintf("%s: %v, not %s", s.Name, x.Phase, s.Want))
				t.fig.Unsettled++
			}
		}
	}
}

// harm kills or stops whoever conducts.
func (t *trial) harm(what string) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, b := range t.site.Boxes[:3] {
			if r, err := ask(b); err == nil && r.Conducts {
				if b.Harm(what == "kill", 3*time.Second) {
					t.fig.Faults++
					t.fig.Conductors++
					return
				}
			}
		}
	}
}

// rest rolls a last configuration out to all, with no fault about, and waits until everybody has it in force and nobody is out.
func (t *trial) rest() error {
	if err := t.site.Settle(time.Minute); err != nil {
		return err
	}
	if t.cfg.Refuses {
		if err := t.shut("n3"); err != nil {
			return err
		}
	}
	n, err := t.put(Script{}, "the last one")
	if err != nil {
		return err
	}
	plan := planOf
	plan.Share = 1
	if err := t.someone(20*time.Second, anyone, func(b *rig.Box) error { return b.Control().Fleet().StartRoll(n, plan) }); err != nil {
		return err
	}
	err = errors.New("nobody was asked")
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(lookEach) {
		err = nil
		for _, b := range t.site.Boxes {
			r, e := ask(b)
			if e != nil || r.InForce != n || r.Table.Current != nil || len(r.Table.ShutOutBoxes) > 0 || len(r.Stragglers) > 0 || r.Table.Lowest != n {
				err = fmt.Errorf("the fleet does not come to rest on %d: %s has %d, %v, out %v, stragglers %+v, %v", n, b.Name, r.InForce, r.State, r.Table, r.Stragglers, e)
			}
		}
		if err == nil {
			break
		}
	}
	if err == nil && t.cfg.Refuses {
		err = t.serves("n3", true)
	}
	if err == nil {
		err = t.heard()
	}
	for _, b := range t.site.Boxes {
		if st, e := b.Control().Status(); e == nil && st.Counters["invariants_broken"] > 0 {
			t.note("%s has broken invariants: %s", b.Name, b.Log())
			t.fig.Mixed++ // a request that is judged by two versions is one of them
		}
	}
	if err == nil {
		time.Sleep(6 * time.Second) // the audits' heads are told each 5 s
		err = t.site.Settle(30 * time.Second)
	}
	return err
}

// shut has one box turn a configuration down that all others take, and waits until it is shut out. Under faults the judges change too
// often for it, at some seeds.
func (t *trial) shut(box string) error {
	n, err := t.put(Script{Refuse: box, Leave: true}, "one box turns it down")
	if err != nil {
		return err
	}
	plan := planOf
	plan.Share, plan.MaxRejected = 1, 1
	if err := t.someone(20*time.Second, anyone, func(b *rig.Box) error { return b.Control().Fleet().StartRoll(n, plan) }); err != nil {
		return err
	}
	err = t.someone(grace+40*time.Second, anyone, func(b *rig.Box) error {
		r, err := ask(b)
		if err != nil {
			return err
		}
		if _, out := r.Table.ShutOutBoxes[box]; !out {
			return fmt.Errorf("%s has turned %d down and is not shut out: %+v", box, n, r.Stragglers)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return t.serves(box, false)
}

// serves waits until the audit of a box says last that it has left service for being shut out, or that it is back.
func (t *trial) serves(box string, on bool) error {
	i := slices.IndexFunc(t.site.Boxes, func(b *rig.Box) bool { return b.Name == box })
	left := false
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(lookEach) {
		b, err := audit.Read(t.site.Boxes[i].Audits()[0])
		if err != nil {
			return err
		}
		for _, e := range b.Entries {
			if e.Kind == audit.Drain {
				left = e.OK
			}
		}
		if left != on {
			return nil
		}
	}
	return fmt.Errorf("%s is out of service: %v, and should not be so", box, left)
}

// heard waits until every box knows the load of all.
func (t *trial) heard() (err error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(lookEach) {
		err = nil
		for _, b := range t.site.Boxes {
			l, e := b.Control().Fleet().Load()
			if e != nil || l.Fleet.Boxes != t.cfg.Boxes || l.Advice == nil || l.Advice.Trust < 1 || l.Fleet.Capacity <= 0 {
				err = fmt.Errorf("%s does not know the load of all: %+v, %v", b.Name, l.Fleet, e)
			}
		}
		if err == nil {
			return nil
		}
	}
	return err
}
