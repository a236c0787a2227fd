package rollout

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

var digest = strings.Repeat("a", 64)

func putCommand(needs uint64) Command {
	return Command{Kind: Put, Digest: digest, Needs: needs, Rules: &Rules{Grace: time.Minute, Floor: 0.5}}
}

func testPlan(change func(*Plan)) *Plan {
	p := Plan{Canaries: 1, Share: 0.5, ObserveFor: 10 * time.Second, Timeout: time.Minute, Slots: 1}
	if change != nil {
		change(&p)
	}
	return &p
}

func reportCommand(inForce, rejected uint64) Command {
	return Command{Kind: ReportStatus, Status: &Status{InForce: inForce, Rejected: rejected, Reason: "line 3"}}
}

// TestTableApply checks the results of sequences of commands. Each step names the sending box, whose session is 1. A "!" in
// front of the name means that the box holds the conductor's lease.
func TestTableApply(t *testing.T) {
	all := map[string]uint64{"a": 1, "b": 1, "c": 1}
	type step struct {
		box string
		c   Command
		err error
	}
	started := []step{{"a", putCommand(0), nil}, {"a", Command{Kind: Start, N: 1, Plan: testPlan(nil)}, nil}}
	done := slices.Concat(started, []step{{"!a", Command{Kind: Step, RolloutID: 2}, nil}, {"!a", Command{Kind: Step, RolloutID: 2, Wave: 1}, nil}})
	for name, c := range map[string]struct {
		before []step
		steps  []step
		want   func(*Table) bool
	}{
		"numbers increase":            {nil, []step{{"a", putCommand(0), nil}, {"b", putCommand(0), nil}}, func(t *Table) bool { return t.Last == 2 && t.Versions[1].By == "b" && t.Target == 0 }},
		"start of an unknown version": {started, []step{{"a", Command{Kind: Start, N: 9, Plan: testPlan(nil)}, ErrUnknown}}, nil},
		"second start is rejected":    {started, []step{{"b", putCommand(0), nil}, {"b", Command{Kind: Start, N: 2, Plan: testPlan(nil)}, ErrBusy}}, func(t *Table) bool { return t.Current.To == 1 }},
		"roll-out superseded":         {started, []step{{"b", putCommand(0), nil}, {"b", Command{Kind: Start, N: 2, Plan: testPlan(func(p *Plan) { p.Supersede = true })}, nil}}, func(t *Table) bool { return t.Current.To == 2 && t.Finished[0].Phase == Superseded }},
		"canaries first": {started, nil, func(t *Table) bool {
			return t.WantedVersion("a") == 1 && t.WantedVersion("b") == 0 && len(t.Current.Waves) == 2
		}},
		"step without the conductor's lease": {started, []step{{"a", Command{Kind: Step, RolloutID: 2}, ErrLease}}, nil},
		"repeated step":                      {started, []step{{"!a", Command{Kind: Step, RolloutID: 2}, nil}, {"!b", Command{Kind: Step, RolloutID: 2}, ErrAlreadyDone}}, func(t *Table) bool { return t.Current.Wave == 1 && t.WantedVersion("c") == 1 }},
		"step of another roll-out":           {started, []step{{"!a", Command{Kind: Step, RolloutID: 1}, ErrNotRunning}}, nil},
		"held and resumed":                   {started, []step{{"c", Command{Kind: Hold, RolloutID: 2}, nil}, {"!a", Command{Kind: Step, RolloutID: 2}, ErrBusy}, {"c", Command{Kind: Hold, RolloutID: 2}, ErrAlreadyDone}, {"c", Command{Kind: Resume, RolloutID: 2}, nil}, {"!a", Command{Kind: Step, RolloutID: 2}, nil}}, nil},
		"aborted": {started, []step{{"c", Command{Kind: Abort, RolloutID: 2}, nil}, {"!a", Command{Kind: Halt, RolloutID: 2}, ErrAlreadyDone}, {"!a", Command{Kind: Step, RolloutID: 2}, nil}}, func(t *Table) bool {
			return t.Current == nil && t.Finished[0].Phase == RolledBack && t.Target == 0 && t.Lowest == 0
		}},
		"resume without hold":                    {started, []step{{"c", Command{Kind: Resume, RolloutID: 2}, ErrAlreadyDone}}, nil},
		"done":                                   {done, nil, func(t *Table) bool { return t.Target == 1 && t.Lowest == 1 && t.Current == nil && t.Behind("a", 1) }},
		"start of the version in force":          {done, []step{{"a", Command{Kind: Start, N: 1, Plan: testPlan(nil)}, ErrNotNewer}}, nil},
		"invalid lowest versions":                {done, []step{{"a", Command{Kind: Lowest, N: 2}, ErrInvalidLowest}, {"a", Command{Kind: Lowest, N: 1}, ErrInvalidLowest}}, nil},
		"box that is up to date is not shut out": {done, []step{{"a", reportCommand(1, 0), nil}, {"b", Command{Kind: ShutOut, Box: "a", Session: 1}, ErrNotBehind}}, func(t *Table) bool { return !t.Behind("a", 1) && t.Behind("a", 2) }},
		"shut out and let in again":              {done, []step{{"b", Command{Kind: ShutOut, Box: "a", Session: 1}, nil}, {"b", Command{Kind: ShutOut, Box: "a", Session: 1}, ErrAlreadyDone}, {"a", reportCommand(0, 1), nil}, {"a", reportCommand(1, 0), nil}}, func(t *Table) bool { return len(t.ShutOutBoxes) == 0 }},
		"shut out with a wrong session":          {done, []step{{"b", Command{Kind: ShutOut, Box: "a", Session: 2}, ErrNotBehind}}, nil},
		"shut out below the floor":               {done, []step{{"b", Command{Kind: ShutOut, Box: "a", Session: 1}, nil}, {"b", Command{Kind: ShutOut, Box: "c", Session: 1}, ErrFloor}}, nil},
		"report of an unknown version":           {started, []step{{"a", reportCommand(7, 0), ErrInvalidCommand}}, nil},
		"report from a wrong session":            {started, []step{{"z", reportCommand(1, 0), ErrInvalidCommand}}, nil},
		"invalid commands":                       {nil, []step{{"a", Command{Kind: 99}, ErrInvalidCommand}, {"a", Command{Kind: Put}, ErrInvalidCommand}, {"a", Command{Kind: Start, Plan: testPlan(nil)}, ErrUnknown}, {"a", Command{Kind: Step}, ErrNotRunning}}, nil},
	} {
		table := NewTable()
		for i, s := range slices.Concat(c.before, c.steps) {
			box, conducts := strings.CutPrefix(s.box, "!")
			known := 3
			if err := table.Apply(s.c, CommandContext{Index: uint64(i + 1), Box: box, Session: 1, IsConductor: conducts, Living: all, KnownBoxes: known}); err != s.err {
				t.Errorf("%s: step %d, %v: %v, want %v", name, i, s.c.Kind, err, s.err)
			}
			if err := table.Check(); err != nil {
				t.Errorf("%s: step %d: %v", name, i, err)
			}
		}
		if c.want != nil && !c.want(table) {
			t.Errorf("%s: %+v %+v", name, table, table.Current)
		}
	}
}

// TestPlanValidateAndMayShutOutOne checks the validation of plans, and that dead boxes count as known boxes for the floor.
func TestPlanValidateAndMayShutOutOne(t *testing.T) {
	for name, change := range map[string]func(*Plan){"canaries": func(p *Plan) { p.Canaries = 0 }, "share": func(p *Plan) { p.Share = 0 }, "share above": func(p *Plan) { p.Share = 1.5 },
		"pace": func(p *Plan) { p.ObserveFor = -1 }, "patience": func(p *Plan) { p.Timeout = 0 }, "turned": func(p *Plan) { p.MaxRejected = -1 }, "slots": func(p *Plan) { p.Slots = 0 }} {
		if testPlan(change).Validate() == nil {
			t.Errorf("invalid %s accepted", name)
		}
	}
	if testPlan(nil).Validate() != nil || DefaultPlan.Validate() != nil {
		t.Error("valid plan rejected")
	}
	table := NewTable()
	living := map[string]uint64{"a": 1, "b": 1, "c": 1}
	if !table.MayShutOutOne(living, 3) || table.MayShutOutOne(living, 5) {
		t.Error("MayShutOutOne must allow to shut out one of three living boxes if three are known, but not if five are known")
	}
}

// simFleet simulates a small fleet with the versions on the disks of its boxes, their reports, and two conductors that hold the
// lease alternately.
type simFleet struct {
	table        *Table
	now          time.Duration
	living       map[string]uint64
	disk         map[string]uint64
	rejects      map[string]uint64 // version that the box rejects
	conductors   [2]Conductor
	leaseHolder  int
	index        uint64
	lastCommand  *Command // last command of a conductor, to be repeated
	appliedSteps map[string]int
	violation    error
}

func newSimFleet(boxes ...string) *simFleet {
	p := &simFleet{table: NewTable(), living: map[string]uint64{}, disk: map[string]uint64{}, rejects: map[string]uint64{}, appliedSteps: map[string]int{}}
	for _, b := range boxes {
		p.index++
		p.living[b] = p.index
	}
	return p
}

func (p *simFleet) clone() *simFleet {
	c := *p
	c.table, c.living, c.disk, c.rejects, c.appliedSteps = p.table.Clone(), maps.Clone(p.living), maps.Clone(p.disk), maps.Clone(p.rejects), maps.Clone(p.appliedSteps)
	for i := range c.conductors {
		c.conductors[i].lastStandings = maps.Clone(p.conductors[i].lastStandings)
		c.conductors[i].worseReadings = slices.Clone(p.conductors[i].worseReadings)
	}
	return &c
}

// apply executes a command and checks the invariants.
func (p *simFleet) apply(c Command, of CommandContext) error {
	p.index++
	of.Index, of.Living, of.KnownBoxes = p.index, maps.Clone(p.living), len(p.disk)
	before, roll := *p.table, p.table.Current
	var to, at uint64
	wave := 0
	if roll != nil {
		to, at, wave = roll.To, roll.ID, roll.Wave
	}
	out := len(p.table.ShutOutBoxes)
	err := p.table.Apply(c, of)
	fail := func(format string, a ...any) {
		if p.violation == nil {
			p.violation = fmt.Errorf(format, a...)
		}
	}
	if cerr := p.table.Check(); cerr != nil {
		fail("after %v: %w", c.Kind, cerr)
	}
	if p.table.Last < before.Last || p.table.Target < before.Target || p.table.Lowest < before.Lowest {
		fail("after %v a version number decreased", c.Kind)
	}
	if c.Kind == Step && err == nil {
		key := fmt.Sprint(at, "/", wave, "/", roll.Phase == RolledBack)
		if p.appliedSteps[key]++; p.appliedSteps[key] > 1 {
			fail("step %s was applied twice", key)
		}
	}
	if p.table.Target != before.Target { // a roll-out is done: all living boxes of its waves must have the version, except those that may reject it
		turned := 0
		for _, w := range roll.Waves {
			for _, b := range w {
				s := p.table.Boxes[b]
				if _, shut := p.table.ShutOutBoxes[b]; p.living[b] == 0 || shut {
					continue
				}
				switch {
				case s.Session != p.living[b]:
					fail("version %d is in force, but the version of %s is unknown", to, b)
				case s.InForce == to:
				case s.Rejected == to:
					turned++
				default:
					fail("version %d is in force, but %s has %d", to, b, s.InForce)
				}
			}
		}
		if turned > roll.Plan.MaxRejected {
			fail("version %d is in force, but %d boxes have rejected it", to, turned)
		}
	}
	left := 0
	for b := range p.living {
		if _, shut := p.table.ShutOutBoxes[b]; !shut {
			left++
		}
	}
	if len(p.table.ShutOutBoxes) > out && float64(left) < 0.5*float64(len(p.disk)) {
		fail("%d of %d boxes left", left, len(p.disk))
	}
	return err
}

// stepNames returns the names of all possible next steps.
func (p *simFleet) stepNames(boxes []string) []string {
	list := []string{"conduct", "switch", "repeat", "wait"}
	for _, b := range boxes {
		list = append(list, "update "+b, "report "+b, "reject "+b, "toggle "+b, "shutout "+b)
	}
	return list
}

// step makes one step and returns false if the step is not possible or changes nothing.
func (p *simFleet) step(name string) bool {
	action, box, _ := strings.Cut(name, " ")
	session := p.living[box]
	switch action {
	case "wait":
		p.now += 11 * time.Second
	case "switch": // the lease goes to the other conductor
		p.leaseHolder = 1 - p.leaseHolder
	case "conduct":
		cmd, _ := p.conductors[p.leaseHolder].Due(p.now, p.table, p.living)
		if cmd == nil {
			return false
		}
		p.lastCommand = cmd
		p.apply(*cmd, CommandContext{Box: "a", Session: p.living["a"], IsConductor: true})
	case "repeat": // a conductor that resumes after a pause repeats a command after steps of the other one
		if p.lastCommand == nil || p.lastCommand.Kind != Step {
			return false
		}
		if p.apply(*p.lastCommand, CommandContext{Box: "b", Session: p.living["b"], IsConductor: true}) == nil {
			p.violation = errors.New("repeated step was applied again")
		}
	case "update":
		w := p.table.WantedVersion(box)
		if session == 0 || p.disk[box] == w || p.rejects[box] == w {
			return false
		}
		p.disk[box] = w
	case "reject":
		w := p.table.WantedVersion(box)
		if session == 0 || w == 0 || p.disk[box] == w || p.rejects[box] == w {
			return false
		}
		p.rejects[box] = w
		p.apply(reportCommand(p.disk[box], w), CommandContext{Box: box, Session: session})
	case "report":
		s := p.table.Boxes[box]
		if session == 0 || s.Session == session && s.InForce == p.disk[box] && s.Rejected == p.rejects[box] {
			return false
		}
		p.apply(reportCommand(p.disk[box], p.rejects[box]), CommandContext{Box: box, Session: session})
	case "toggle": // stops the box, or starts it as a new incarnation
		if session != 0 {
			delete(p.living, box)
		} else {
			p.index++
			p.living[box] = p.index
		}
	case "shutout":
		if session == 0 {
			return false
		}
		p.apply(Command{Kind: ShutOut, Box: box, Session: session}, CommandContext{Box: "a", Session: p.living["a"]})
	}
	return true
}

// fingerprint returns a string that identifies the state.
func (p *simFleet) fingerprint() string {
	t := p.table
	s := fmt.Sprint(t.Target, t.Lowest, t.Boxes, p.disk, p.rejects, p.leaseHolder, len(t.ShutOutBoxes), slices.Sorted(maps.Keys(t.ShutOutBoxes)), slices.Sorted(maps.Keys(p.living)), len(t.Finished))
	if t.Current != nil {
		s += fmt.Sprint(t.Current.ID, t.Current.Wave, t.Current.Phase)
	}
	for _, c := range p.conductors {
		s += fmt.Sprint(c.roll, c.wave, c.phase, p.now-c.phaseSeen, c.allChangedSince != 0, p.now-c.allChangedSince, c.lastReading == 0)
	}
	return s
}

// TestEveryOrderOfSmallRollouts runs all orders of steps of three boxes and the second of two versions, up to the depth in
// ROLLOUT_DEPTH.
func TestEveryOrderOfSmallRollouts(t *testing.T) {
	depth := 9
	if d, err := strconv.Atoi(os.Getenv("ROLLOUT_DEPTH")); err == nil {
		depth = d
	}
	boxes := []string{"a", "b", "c"}
	first := newSimFleet(boxes...)
	for _, b := range boxes {
		p := first
		p.disk[b] = 1
	}
	first.apply(putCommand(0), CommandContext{Box: "a", Session: 1})
	first.apply(putCommand(0), CommandContext{Box: "a", Session: 1})
	first.table.Target, first.table.Lowest = 1, 1
	for _, b := range boxes {
		first.apply(reportCommand(1, 0), CommandContext{Box: b, Session: first.living[b]})
	}
	first.apply(Command{Kind: Start, N: 2, Plan: testPlan(func(p *Plan) { p.ObserveFor, p.MaxRejected, p.MaxDead = 0, 1, 1 })}, CommandContext{Box: "a", Session: 1})
	seen := map[string]bool{}
	frontier := []*simFleet{first}
	done := 0
	for range depth {
		var next []*simFleet
		for _, p := range frontier {
			for _, m := range p.stepNames(boxes) {
				n := p.clone()
				if !n.step(m) {
					continue
				}
				if n.violation != nil {
					t.Fatalf("%v after %s\n%+v", n.violation, m, n.table)
				}
				if k := n.fingerprint(); !seen[k] {
					seen[k] = true
					next = append(next, n)
					if n.table.Target == 2 {
						done++
					}
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states up to depth %d, %d with the second version in force", len(seen), depth, done)
}

// TestRandomRollouts runs long random sequences of steps with several versions.
func TestRandomRollouts(t *testing.T) {
	testkit.CheckProperty(t, 400, func(t *rapid.T) {
		boxes := []string{"a", "b", "c", "d", "e"}
		p := newSimFleet(boxes...)
		for _, b := range boxes {
			p.disk[b] = 0
		}
		moves := append(p.stepNames(boxes), "put", "start", "hold", "resume", "abort")
		for range 300 {
			m := rapid.SampledFrom(moves).Draw(t, "move")
			of := CommandContext{Box: "c", Session: p.living["c"]}
			c := Command{N: p.table.Last, Plan: testPlan(func(q *Plan) { q.Supersede, q.MaxRejected, q.MaxDead = p.index%3 == 0, 1, 2 })}
			if p.table.Current != nil {
				c.RolloutID = p.table.Current.ID
			}
			switch m {
			case "put":
				c = putCommand(0)
			case "start":
				c.Kind = Start
			case "hold":
				c.Kind = Hold
			case "resume":
				c.Kind = Resume
			case "abort":
				c.Kind = Abort
			default:
				p.step(m)
			}
			if c.Kind != 0 {
				p.apply(c, of)
			}
			if p.violation != nil {
				t.Fatal(p.violation)
			}
		}
	})
}

// TestConductorDue checks when a step is due and when a roll-out is halted.
func TestConductorDue(t *testing.T) {
	type at struct {
		sec  int
		do   func(*simFleet)
		want Kind // 0: no command is due
		why  string
	}
	has := func(n uint64, boxes ...string) func(*simFleet) {
		return func(p *simFleet) {
			for _, b := range boxes {
				p.apply(reportCommand(n, 0), CommandContext{Box: b, Session: p.living[b]})
			}
		}
	}
	served := func(inForce uint64, good, bad uint64, boxes ...string) func(*simFleet) {
		return func(p *simFleet) {
			for _, b := range boxes {
				s := p.table.Boxes[b]
				p.apply(Command{Kind: ReportStatus, Status: &Status{InForce: inForce, GoodRequests: s.GoodRequests + good, BadRequests: s.BadRequests + bad}}, CommandContext{Box: b, Session: p.living[b]})
			}
		}
	}
	both := func(list ...func(*simFleet)) func(*simFleet) {
		return func(p *simFleet) {
			for _, do := range list {
				do(p)
			}
		}
	}
	worse := both(served(1, 70, 30, "a"), served(0, 95, 5, "b", "c"))
	same := both(served(1, 92, 8, "a"), served(0, 95, 5, "b", "c"))
	for name, c := range map[string]struct {
		plan  func(*Plan)
		steps []at
	}{
		"pace":                           {nil, []at{{0, nil, 0, ""}, {5, has(1, "a"), 0, ""}, {14, nil, 0, ""}, {15, nil, Step, ""}}},
		"patience":                       {nil, []at{{0, nil, 0, ""}, {59, nil, 0, ""}, {60, nil, Halt, "not all of wave 1"}}},
		"rejected":                       {nil, []at{{0, nil, 0, ""}, {1, func(p *simFleet) { p.apply(reportCommand(0, 1), CommandContext{Box: "a", Session: p.living["a"]}) }, Halt, "turned down by a: line 3"}}},
		"rejected by as many as allowed": {func(p *Plan) { p.MaxRejected = 1 }, []at{{0, nil, 0, ""}, {1, func(p *simFleet) { p.apply(reportCommand(0, 1), CommandContext{Box: "a", Session: p.living["a"]}) }, 0, ""}, {11, nil, Step, ""}}},
		"dead box":                       {nil, []at{{0, nil, 0, ""}, {1, func(p *simFleet) { delete(p.living, "a") }, Halt, "gone: a"}}},
		"as many dead boxes as allowed":  {func(p *Plan) { p.MaxDead = 1 }, []at{{0, nil, 0, ""}, {1, func(p *simFleet) { delete(p.living, "a") }, 0, ""}, {11, nil, Step, ""}}},
		"waits for a new incarnation":    {nil, []at{{0, has(1, "a"), 0, ""}, {9, func(p *simFleet) { p.living["a"] = 99 }, 0, ""}, {12, nil, 0, ""}}},
		"held":                           {nil, []at{{0, has(1, "a"), 0, ""}, {5, func(p *simFleet) { p.table.Current.Phase = Held }, 0, ""}, {100, nil, 0, ""}, {101, func(p *simFleet) { p.table.Current.Phase = Running }, 0, ""}, {111, nil, Step, ""}}},
		"rolled back":                    {nil, []at{{0, has(1, "a"), 0, ""}, {1, func(p *simFleet) { p.table.Current.Phase = RollingBack }, 0, ""}, {30, nil, 0, ""}, {31, has(0, "a"), Step, ""}}},
		"box that cannot go back": {nil, []at{{0, nil, 0, ""}, {1, func(p *simFleet) {
			p.table.Current.Phase, p.table.Current.From, p.table.Target = RollingBack, 1, 1
			p.table.Current.To, p.table.Last = 2, 2
			p.apply(reportCommand(2, 1), CommandContext{Box: "a", Session: p.living["a"]})
		}, Step, ""}}},
		"worse in three readings":   {func(p *Plan) { p.ObserveFor = time.Hour }, []at{{0, has(1, "a"), 0, ""}, {3, has(0, "b", "c"), 0, ""}, {6, worse, 0, ""}, {9, worse, 0, ""}, {12, worse, Halt, "serve worse"}}},
		"worse in too few readings": {func(p *Plan) { p.ObserveFor = time.Hour }, []at{{0, has(1, "a"), 0, ""}, {3, has(0, "b", "c"), 0, ""}, {6, worse, 0, ""}, {9, same, 0, ""}, {12, same, 0, ""}, {15, worse, 0, ""}, {18, same, 0, ""}, {21, same, 0, ""}, {24, worse, 0, ""}}},
	} {
		p := newSimFleet("a", "b", "c")
		for _, b := range []string{"a", "b", "c"} {
			p.disk[b] = 0
		}
		p.apply(putCommand(0), CommandContext{Box: "a", Session: 1})
		p.apply(Command{Kind: Start, N: 1, Plan: testPlan(c.plan)}, CommandContext{Box: "a", Session: 1})
		for _, s := range c.steps {
			if s.do != nil {
				s.do(p)
			}
			cmd, next := p.conductors[0].Due(time.Duration(s.sec+1)*time.Second, p.table, p.living)
			got := Kind(0)
			why := ""
			if cmd != nil {
				got, why = cmd.Kind, cmd.Why
			}
			if got != s.want || !strings.Contains(why, s.why) || next <= time.Duration(s.sec+1)*time.Second {
				t.Errorf("%s: at %d s: %v %q, next %v; want %v %q", name, s.sec, got, why, next, s.want, s.why)
			}
		}
		if p.violation != nil {
			t.Errorf("%s: %v", name, p.violation)
		}
	}
}

// TestBoxSwitchesOnlyWhenStored checks that a version is in force from the call of Stored on, and not earlier.
func TestBoxSwitchesOnlyWhenStored(t *testing.T) {
	testkit.CheckProperty(t, 400, func(t *rapid.T) {
		table := NewTable()
		living := map[string]uint64{"a": 1}
		for range 4 {
			table.Apply(putCommand(0), CommandContext{Box: "a", Session: 1, Living: living, KnownBoxes: 1})
		}
		b, has, now, stored := NewBox(0, 1), false, time.Duration(0), uint64(0)
		for range 100 {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				table.Target = uint64(rapid.IntRange(0, 4).Draw(t, "target"))
			case 1:
				has = !has
			}
			b.Update(table, "a", func(string) bool { return has })
			act, next := b.Due(now, 1, false, 0, 0)
			if act == Nothing && next <= now {
				t.Fatalf("no action is due, but the next call is due immediately")
			}
			switch act {
			case SendStatus:
				s := b.Status(1, 0, 0)
				if s.InForce != stored {
					t.Fatalf("box reports version %d, but %d is stored", s.InForce, stored)
				}
				b.Reported(now, s, false)
			case Verify:
				why := ""
				if rapid.Bool().Draw(t, "wrong") {
					why = "wrong"
				}
				b.Verified(b.Number(), why)
			case RequestSlot:
				if rapid.Bool().Draw(t, "slot") {
					b.SlotGranted(b.Number())
				}
			case Store:
				if b.InForce() != stored {
					t.Fatal("version in force before it is stored")
				}
				if rapid.Bool().Draw(t, "disk") {
					stored = b.Number()
					b.Stored(stored)
				}
			}
			if b.InForce() != stored {
				t.Fatalf("version %d is in force, but %d is stored", b.InForce(), stored)
			}
			if b.rejected != 0 && stored == b.rejected && b.State() == Rejected {
				t.Fatal("version is rejected and in force")
			}
		}
	})
}
