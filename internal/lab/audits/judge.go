package audits

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fleet"
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/standin/resource"
	"cairnlane/internal/state/audit"
)

type fleetRollouts = fleet.Rollouts

// Figures are what a trial came to.
type Figures struct {
	rig.Tally
	Processes, Rollouts, Done, Returned, Superseded int
	Faults, Kinds, Conductors, Acts                 int
	ActsBelowFloor, LowRefused, Mixed, StepsTwice   int
	Stragglers, BroughtUp, ShutOut, WronglyShutOut  int
	Answers, AnswersWrong, Gaps, GapsFound          int
	Tampered, TamperedFound, Unsettled              int
	WorstError                                      time.Duration
	Took                                            time.Duration
	Schedule                                        rig.Schedule
	Notes                                           []string
	behind                                          map[string]string
}

// judge compares everything once all is over.
func (t *trial) judge() error {
	f := t.fig
	effects := t.res.Effects()
	for _, x := range t.ends {
		f.Rollouts++
		switch x.Phase {
		case rollout.Done:
			f.Done++
		case rollout.RolledBack:
			f.Returned++
		case rollout.Superseded:
			f.Superseded++
		}
	}
	if f.Unsettled == 0 {
		f.BroughtUp = f.Stragglers // all are level now
	}
	t.belowFloor(effects)
	// The boxes' books: the present one of each, and those that it lost.
	books := map[string][]*audit.Book{}
	var all []*audit.Book
	for _, b := range t.site.Boxes {
		for i, dir := range b.Audits() {
			book, err := audit.Read(dir)
			if err != nil {
				if i == 0 {
					return err
				}
				continue // a twin that never wrote
			}
			books[b.Name] = append(books[b.Name], book)
			all = append(all, book)
		}
	}
	f.Gaps = t.fullActs(effects, books)
	marks, err := t.marks()
	if err != nil {
		return err
	}
	x := audit.NewIndex(all, marks)
	t.compareVersions(effects, x, all)
	t.compareEffects(effects, x)
	t.compareSamples(books, marks)
	t.mixed(all)
	t.verify(books, marks)
	return t.tamper(marks)
}

// fullActs counts the boxes that acted while their disk took nothing, by the stand-in, and finds those of them whose audit says so.
func (t *trial) fullActs(effects []resource.Effect, books map[string][]*audit.Book) (n int) {
	since := map[int]time.Time{}
	full := map[string]bool{}
	for _, h := range t.site.History() {
		switch at := t.site.At(h); {
		case strings.HasPrefix(h.What, "full for"):
			since[h.Box] = at
		case h.What == "full is over":
			from, to := since[h.Box].Sub(t.from)+50*time.Millisecond, at.Sub(t.from)-50*time.Millisecond
			for _, e := range effects {
				if e.Box == t.site.Boxes[h.Box].Name && e.Begin > from && e.Called > from && e.Begin < to && e.Begin != 0 {
					full[e.Box] = true
				}
			}
		}
	}
	for box := range full {
		found := 0
		for _, b := range books[box] {
			found += gaps(b)
		}
		if found > 0 {
			t.fig.GapsFound++
		}
	}
	return len(full)
}

func gaps(b *audit.Book) (n int) {
	for _, e := range b.Entries {
		if e.Kind == audit.Gap {
			n++
		}
	}
	return n
}

// marks are the ledger's, as whoever answers has them.
func (t *trial) marks() (map[string][]audit.Mark, error) {
	out := map[string][]audit.Mark{}
	told, err := t.site.Boxes[0].Control().Fleet().Marks()
	if err != nil {
		return nil, err
	}
	for box, list := range told {
		for _, m := range list {
			mark, err := fleet.DecodeAuditHead(m)
			if err != nil {
				return nil, err
			}
			out[box] = append(out[box], mark)
		}
	}
	return out, nil
}

// belowFloor finds effects on a version that was allowed no more: of a box that could know it, as no box may act for longer than a
// lease without hearing of the ledger. The rig's own clock says when it was first seen to be allowed no more.
func (t *trial) belowFloor(effects []resource.Effect) {
	rest := time.Duration(float64(t.cfg.Terms.Term)*(1+t.cfg.Terms.Drift)) + 100*time.Millisecond
	seen := map[string]uint64{} // lowest by thing
	for _, e := range effects {
		if e.Low {
			t.fig.LowRefused++
		}
		if e.Begin == 0 {
			continue
		}
		t.fig.Acts++
		if e.Version < e.Lowest {
			t.fig.ActsBelowFloor++
			t.note("%s acted on %s as %d and knew that %d is the lowest", e.Box, e.Thing, e.Version, e.Lowest)
		}
		if actor.Compares(e.Thing) {
			if e.Version < seen[e.Thing] {
				t.fig.ActsBelowFloor++
				t.note("%s acted on %s as %d after the thing had heard that %d is the lowest", e.Box, e.Thing, e.Version, seen[e.Thing])
			}
			seen[e.Thing] = max(seen[e.Thing], e.Lowest)
		}
		if e.Trap || t.out(e) {
			continue // it was stopped between the check and the effect: what is left where nothing is compared
		}
		for lowest, at := range t.rises {
			if e.Version < lowest && e.Called > at+rest {
				t.fig.ActsBelowFloor++
				t.note("%s acted on %s as %d, %v after %d was seen to be the lowest", e.Box, e.Thing, e.Version, e.Called-at, lowest)
			}
		}
	}
}

// out tells whether an effect's process was stopped or killed about its begin.
func (t *trial) out(e resource.Effect) bool {
	for _, b := range t.site.Boxes {
		if b.Name == e.Box {
			return b.Out(t.from.Add(e.Called-time.Second), t.from.Add(e.Begin))
		}
	}
	return false
}

func (t *trial) answer(right bool, format string, a ...any) {
	t.fig.Answers++
	if !right {
		t.fig.AnswersWrong++
		t.note("a wrong answer: "+format, a...)
	}
}

// compareVersions: who acted on each number, by the stand-in and by the audits.
func (t *trial) compareVersions(effects []resource.Effect, x *audit.Index, all []*audit.Book) {
	saw, told := map[uint64]map[string]bool{}, map[uint64]map[string]bool{}
	set := func(m map[uint64]map[string]bool, n uint64, box string) {
		if m[n] == nil {
			m[n] = map[string]bool{}
		}
		m[n][box] = true
	}
	for _, e := range effects {
		if e.Begin != 0 {
			set(saw, e.Version, e.Box)
		}
	}
	top := uint64(0)
	for n := range saw {
		top = max(top, n)
	}
	for n := range top + 1 {
		for _, r := range x.Version(n, 0) {
			if r.Effects > 0 {
				set(told, n, r.Box)
			}
		}
		for box := range saw[n] {
			t.answer(told[n][box] || t.lostEntries(box), "%s acted on %d, and its audit has no effect on it", box, n)
		}
		// The audit says more than was seen only of effects that were not made, or that the thing refused.
		scan := 0
		for _, r := range audit.ScanVersion(all, n) {
			scan += r.Effects
		}
		sum := 0
		for _, r := range x.Version(n, 0) {
			sum += r.Effects
		}
		t.answer(scan == sum, "the index has %d effects on %d, and a scan %d", sum, n, scan)
	}
}

// lostEntries tells whether a box's disk refused entries, or lost them with a twin that was killed at once.
func (t *trial) lostEntries(box string) bool {
	for _, h := range t.site.History() {
		if h.What == "full is over" && t.site.Boxes[h.Box].Name == box {
			return true
		}
	}
	return false
}

// compareEffects: each effect that the stand-in took, by its token, box and version.
func (t *trial) compareEffects(effects []resource.Effect, x *audit.Index) {
	things := map[string]bool{}
	for _, e := range effects {
		things[e.Thing] = true
	}
	for thing := range things {
		told := map[string]int{}
		for _, a := range x.Effects(thing) {
			told[fmt.Sprint(a.Box, a.Token, a.Under)]++
		}
		seen := map[string]int{}
		for _, e := range effects {
			if e.Thing == thing && e.Begin != 0 {
				seen[fmt.Sprint(e.Box, e.Token, e.Version)]++
			}
		}
		bad := ""
		for _, e := range effects {
			key := fmt.Sprint(e.Box, e.Token, e.Version)
			if e.Thing == thing && e.Begin != 0 && told[key] < seen[key] && !t.lostEntries(e.Box) {
				bad = fmt.Sprintf("%s under token %d as %d: %d effects were seen, and %d stand in the audit", e.Box, e.Token, e.Version, seen[key], told[key])
			}
		}
		t.answer(bad == "", "effects on %s: %s", thing, bad)
	}
}

// compareSamples: what a box had in force when its ledger stood at an index, and when it changed.
func (t *trial) compareSamples(books map[string][]*audit.Book, marks map[string][]audit.Mark) {
	jumped := map[int]bool{}
	for _, h := range t.site.History() {
		if strings.HasPrefix(h.What, "wall for") {
			jumped[h.Box] = true
		}
	}
	for _, b := range t.site.Boxes {
		if len(books[b.Name]) != 1 { // it lost its disk or was there twice: its indexes go back
			continue
		}
		x := audit.NewIndex(books[b.Name], marks)
		runs := x.Runs(b.Name)
		known := uint64(0)
		for i, s := range t.samples[b.Index] {
			again := s.index < known // it goes through its ledger anew
			known = max(known, s.index)
			if i%10 == 0 && !again && !slices.ContainsFunc(runs, func(r audit.Run) bool { return r.From == s.index }) {
				who := x.AtIndex(s.index)
				if len(who) == 1 {
					t.answer(who[0].Version.Fleet == s.inForce, "%s had %d in force at index %d, and its audit says %d", b.Name, s.inForce, s.index, who[0].Version.Fleet)
				}
			}
			if i == 0 || jumped[b.Index] || t.samples[b.Index][i-1].inForce == s.inForce {
				continue
			}
			was := t.samples[b.Index][i-1]
			best := time.Hour
			for _, r := range runs {
				if r.Version.Fleet != s.inForce {
					continue
				}
				at := r.FromAt - time.Duration(t.from.UnixNano()) // the same machine's clock, which nobody has set
				best = min(best, max(was.asked-at, at-s.at, 0))
			}
			t.fig.WorstError = max(t.fig.WorstError, best)
			t.answer(best < 2*time.Second, "%s changed to %d at %v, and its audit is %v off", b.Name, s.inForce, s.at, best)
		}
	}
}

// mixed counts effects that an audit has under another number than the one that its box had in force by the same chain.
func (t *trial) mixed(all []*audit.Book) {
	for _, b := range all {
		now, chain, lost := uint64(0), "", false
		for _, e := range b.Entries {
			if e.Chain != chain {
				chain, now, lost = e.Chain, 0, true // until the chain says
			}
			switch {
			case e.Kind == audit.Version && e.Build != nil:
				now, lost = e.Build.Fleet, false
			case e.Kind == audit.Gap:
				lost = true // what it changed to may be among what was lost
			case e.Kind == audit.Effect && e.Under != now && !lost:
				t.fig.Mixed++
				t.note("%s: effect %d under %d while %d is in force", b.Box, e.N, e.Under, now)
			}
		}
	}
}

// verify checks the books against the ledger. One that was put back from an old copy is not whole, and all others are.
func (t *trial) verify(books map[string][]*audit.Book, marks map[string][]audit.Mark) {
	for _, b := range t.site.Boxes {
		old := false
		for _, h := range t.site.History() {
			// A disk that was lost takes its chain with it, which the ledger knows.
			if h.Box == b.Index && (strings.HasPrefix(h.What, "old-copy for") || strings.HasPrefix(h.What, "empty for") || strings.HasPrefix(h.What, "twin for")) {
				old = true
			}
		}
		if old {
			continue
		}
		book := books[b.Name][0]
		book.Against(marks[b.Name])
		t.answer(len(book.Faults) == 0, "%s: its audit is whole, and %v is said", b.Name, book.Faults)
	}
}

// tamper alters copies of audits in ways that leave their owner's traces out, and counts what the marks find.
func (t *trial) tamper(marks map[string][]audit.Mark) error {
	ways := []func(dir string, names []string) error{
		func(dir string, names []string) error { // a byte in the middle
			return edit(dir, names[len(names)/2], func(raw []byte) []byte { raw[len(raw)/2] ^= 1; return raw })
		},
		func(dir string, names []string) error { // the end, as far as the ledger knows of
			return edit(dir, names[len(names)-1], func(raw []byte) []byte { return raw[:len(raw)/3] })
		},
		func(dir string, names []string) error { return os.Remove(filepath.Join(dir, names[0])) },
		func(dir string, names []string) error { // the whole of it
			for _, n := range names {
				if err := os.Remove(filepath.Join(dir, n)); err != nil {
					return err
				}
			}
			return nil
		},
		func(dir string, names []string) error { // a folder of last week: all but the first segment is gone
			for _, n := range names[1:] {
				if err := os.Remove(filepath.Join(dir, n)); err != nil {
					return err
				}
			}
			return edit(dir, names[0], func(raw []byte) []byte { return raw[:len(raw)/2] })
		},
	}
	for i, b := range t.site.Boxes {
		dir := filepath.Join(t.cfg.Dir, fmt.Sprintf("tampered-%d", i))
		if err := os.CopyFS(dir, os.DirFS(b.Audits()[0])); err != nil {
			return err
		}
		names, err := filepath.Glob(filepath.Join(dir, "*.aud"))
		if err != nil || len(names) == 0 {
			continue
		}
		for k := range names {
			names[k] = filepath.Base(names[k])
		}
		before, err := audit.Read(dir)
		if err != nil {
			return err
		}
		before.Against(marks[b.Name])
		if err := ways[i%len(ways)](dir, names); err != nil {
			return err
		}
		after, err := audit.Read(dir)
		if err != nil {
			return err
		}
		after.Against(marks[b.Name])
		t.fig.Tampered++
		if len(after.Faults) > len(before.Faults) {
			t.fig.TamperedFound++
		} else {
			t.note("%s: way %d of tampering is not found: %v", b.Name, i%len(ways), after.Faults)
		}
	}
	return nil
}

func edit(dir, name string, change func([]byte) []byte) error {
	path := filepath.Join(dir, name)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, change(raw), 0o600)
}

// String is the line of figures.
func (f *Figures) String() string {
	return fmt.Sprintf("figures: processes=%d rollouts=%d done=%d returned=%d superseded=%d faults=%d kinds=%d conductors_hit=%d acts=%d acts_below_floor=%d low_refused=%d mixed_requests=%d steps_twice=%d stragglers=%d brought_up=%d shut_out=%d wrongly_shut_out=%d answers=%d answers_wrong=%d gaps=%d gaps_found=%d tampered=%d tampered_found=%d worst_error_ms=%d unsettled=%d requests=%d served=%d killed=%d lost=%d ended_twice=%d double_runs=%d wrong=%d seconds=%.0f",
		f.Processes, f.Rollouts, f.Done, f.Returned, f.Superseded, f.Faults, f.Kinds, f.Conductors, f.Acts, f.ActsBelowFloor, f.LowRefused, f.Mixed, f.StepsTwice, f.Stragglers, f.BroughtUp, f.ShutOut, f.WronglyShutOut,
		f.Answers, f.AnswersWrong, f.Gaps, f.GapsFound, f.Tampered, f.TamperedFound, f.WorstError.Milliseconds(), f.Unsettled, f.Requests, f.Served, f.Killed, f.Lost, f.EndedTwice, f.DoubleRuns, f.Wrong, f.Took.Seconds())
}

// Missed lists the bounds that were missed.
func (f *Figures) Missed() (list []string) {
	for _, c := range []struct {
		name string
		n    int64
	}{{"acts below the floor", int64(f.ActsBelowFloor)}, {"mixed", int64(f.Mixed)}, {"steps twice", int64(f.StepsTwice)}, {"wrongly shut out", int64(f.WronglyShutOut)},
		{"answers wrong", int64(f.AnswersWrong)}, {"tampered and not found", int64(f.Tampered - f.TamperedFound)}, {"not settled", int64(f.Unsettled)}, {"gaps not found", int64(f.Gaps - f.GapsFound)},
		{"lost", f.Lost}, {"ended twice", f.EndedTwice}, {"double runs", f.DoubleRuns}, {"wrong results", f.Wrong}} {
		if c.n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", c.name, c.n))
		}
	}
	if f.Acts < 20 || f.Answers < 10 || f.Tampered == 0 || f.Done == 0 {
		list = append(list, "too little was shown")
	}
	return list
}

// MissedInFull are those of a trial in full.
func (f *Figures) MissedInFull() []string {
	list := f.Missed()
	if f.Processes < 9 || f.Rollouts < 8 || f.Returned == 0 || f.Superseded == 0 || f.Conductors == 0 || f.Stragglers == 0 || f.ShutOut == 0 {
		list = append(list, "too little of roll-outs was shown")
	}
	return list
}
