package audits

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fake/resource"
	"cairnlane/internal/fleet"
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/state/audit"
)

type fleetRollouts = fleet.Rollouts

// Figures are the results of a trial.
type Figures struct {
	rig.Tally
	Processes, Rollouts, Done, RolledBack, Superseded  int
	Faults, Kinds, ConductorsHit, Acts                 int
	ActsBelowLowest, LowRejected, Mixed, StepsRepeated int
	Stragglers, BroughtUp, ShutOut, WronglyShutOut     int
	Answers, AnswersWrong, Gaps, GapsFound             int
	TamperedCopies, TamperedFound, Unsettled           int
	WorstError                                         time.Duration
	Duration                                           time.Duration
	Schedule                                           rig.Schedule
	Notes                                              []string
	stragglerBoxes                                     map[string]string
}

// evaluate compares the audits with the observations and fills in the figures. It runs after the load and the faults have ended.
func (t *trial) evaluate() error {
	figures := t.figures
	effects := t.res.Effects()
	for _, roll := range t.finished {
		figures.Rollouts++
		switch roll.Phase {
		case rollout.Done:
			figures.Done++
		case rollout.RolledBack:
			figures.RolledBack++
		case rollout.Superseded:
			figures.Superseded++
		}
	}
	if figures.Unsettled == 0 {
		figures.BroughtUp = figures.Stragglers // all boxes have the last version now
	}
	t.countActsBelowLowest(effects)
	// The audit of each box: the current one first, then those of state directories that it lost and of twins.
	contents := map[string][]*audit.FolderContents{}
	var all []*audit.FolderContents
	for _, b := range t.site.Boxes {
		for i, dir := range b.AuditDirs() {
			content, err := audit.Read(dir)
			if err != nil {
				if i == 0 {
					return err
				}
				continue // a twin that wrote no audit
			}
			contents[b.Name] = append(contents[b.Name], content)
			all = append(all, content)
		}
	}
	figures.Gaps = t.countActsOnFullDisk(effects, contents)
	heads, err := t.auditHeads()
	if err != nil {
		return err
	}
	index := audit.NewIndex(all, heads)
	t.compareVersions(effects, index, all)
	t.compareEffects(effects, index)
	t.compareSamples(contents, heads)
	t.countMixed(all)
	t.verifyChains(contents, heads)
	return t.tamper(heads)
}

// countActsOnFullDisk returns how many boxes acted while their disk was full, as the fake resource saw it, and counts those of them
// whose audit records a gap.
func (t *trial) countActsOnFullDisk(effects []resource.Effect, contents map[string][]*audit.FolderContents) (n int) {
	since := map[int]time.Time{}
	full := map[string]bool{}
	for _, h := range t.site.History() {
		switch at := t.site.TimeOf(h); {
		case strings.HasPrefix(h.Text, "full for"):
			since[h.Box] = at
		case h.Text == "full is over":
			from, to := since[h.Box].Sub(t.clockStart)+50*time.Millisecond, at.Sub(t.clockStart)-50*time.Millisecond
			for _, e := range effects {
				if e.Box == t.site.Boxes[h.Box].Name && e.Begin > from && e.AnnouncedAt > from && e.Begin < to && e.Begin != 0 {
					full[e.Box] = true
				}
			}
		}
	}
	for box := range full {
		found := 0
		for _, b := range contents[box] {
			found += countGaps(b)
		}
		if found > 0 {
			t.figures.GapsFound++
		}
	}
	return len(full)
}

func countGaps(b *audit.FolderContents) (n int) {
	for _, e := range b.Entries {
		if e.Kind == audit.Gap {
			n++
		}
	}
	return n
}

// auditHeads returns the audit heads in the ledger by box, as the first box reports them.
func (t *trial) auditHeads() (map[string][]audit.ChainHead, error) {
	heads := map[string][]audit.ChainHead{}
	reported, err := t.site.Boxes[0].Control().Fleet().AuditHeads()
	if err != nil {
		return nil, err
	}
	for box, list := range reported {
		for _, encoded := range list {
			head, err := fleet.DecodeAuditHead(encoded)
			if err != nil {
				return nil, err
			}
			heads[box] = append(heads[box], head)
		}
	}
	return heads, nil
}

// countActsBelowLowest counts effects under a version below the lowest allowed one that the box should have known. A box may not act for
// longer than a lease's term without contact to the ledger, so it must know a lowest version that the rig saw longer ago than that.
func (t *trial) countActsBelowLowest(effects []resource.Effect) {
	allowance := time.Duration(float64(t.cfg.Terms.Term)*(1+t.cfg.Terms.Drift)) + 100*time.Millisecond
	seen := map[string]uint64{} // the lowest version that each thing has received
	for _, e := range effects {
		if e.BelowLowest {
			t.figures.LowRejected++
		}
		if e.Begin == 0 {
			continue
		}
		t.figures.Acts++
		if e.Version < e.Lowest {
			t.figures.ActsBelowLowest++
			t.note("%s acted on %s under version %d although it knew that %d is the lowest allowed", e.Box, e.Thing, e.Version, e.Lowest)
		}
		if actor.ComparesTokens(e.Thing) {
			if e.Version < seen[e.Thing] {
				t.figures.ActsBelowLowest++
				t.note("%s acted on %s under version %d although the resource had received %d as the lowest allowed version", e.Box, e.Thing, e.Version, seen[e.Thing])
			}
			seen[e.Thing] = max(seen[e.Thing], e.Lowest)
		}
		if e.Intercepted || t.wasOut(e) {
			continue // it was stopped between check and effect, which only things that compare tokens guard against
		}
		for lowest, at := range t.lowestSeenAt {
			if e.Version < lowest && e.AnnouncedAt > at+allowance {
				t.figures.ActsBelowLowest++
				t.note("%s acted on %s under version %d, %v after %d was seen as the lowest allowed", e.Box, e.Thing, e.Version, e.AnnouncedAt-at, lowest)
			}
		}
	}
}

// wasOut reports whether the box of an effect was stopped or killed between one second before its announcement and its begin.
func (t *trial) wasOut(e resource.Effect) bool {
	for _, b := range t.site.Boxes {
		if b.Name == e.Box {
			return b.WasOut(t.clockStart.Add(e.AnnouncedAt-time.Second), t.clockStart.Add(e.Begin))
		}
	}
	return false
}

func (t *trial) countAnswer(correct bool, format string, a ...any) {
	t.figures.Answers++
	if !correct {
		t.figures.AnswersWrong++
		t.note("wrong answer: "+format, a...)
	}
}

// compareVersions checks which boxes acted under each version: the boxes that the fake resource saw must be in the audits.
func (t *trial) compareVersions(effects []resource.Effect, index *audit.Index, all []*audit.FolderContents) {
	observed, recorded := map[uint64]map[string]bool{}, map[uint64]map[string]bool{}
	add := func(m map[uint64]map[string]bool, n uint64, box string) {
		if m[n] == nil {
			m[n] = map[string]bool{}
		}
		m[n][box] = true
	}
	for _, e := range effects {
		if e.Begin != 0 {
			add(observed, e.Version, e.Box)
		}
	}
	newest := uint64(0)
	for n := range observed {
		newest = max(newest, n)
	}
	for n := range newest + 1 {
		for _, r := range index.RunsOfConfig(n, 0) {
			if r.Effects > 0 {
				add(recorded, n, r.Box)
			}
		}
		for box := range observed[n] {
			t.countAnswer(recorded[n][box] || t.mayLackEntries(box), "%s acted under version %d, and its audit has no effect under it", box, n)
		}
		// An audit may hold more effects than were seen, because some were not made or were rejected by the resource.
		scanned := 0
		for _, r := range audit.ScanRunsOfConfig(all, n) {
			scanned += r.Effects
		}
		indexed := 0
		for _, r := range index.RunsOfConfig(n, 0) {
			indexed += r.Effects
		}
		t.countAnswer(scanned == indexed, "the index has %d effects under version %d, and a scan finds %d", indexed, n, scanned)
	}
}

// mayLackEntries reports whether a box's audit may lack entries because its disk was full for a time.
func (t *trial) mayLackEntries(box string) bool {
	for _, h := range t.site.History() {
		if h.Text == "full is over" && t.site.Boxes[h.Box].Name == box {
			return true
		}
	}
	return false
}

// compareEffects checks that each effect that the fake resource accepted is in the audits, by token, box and version.
func (t *trial) compareEffects(effects []resource.Effect, index *audit.Index) {
	things := map[string]bool{}
	for _, e := range effects {
		things[e.Thing] = true
	}
	for thing := range things {
		recorded := map[string]int{}
		for _, a := range index.Effects(thing) {
			recorded[fmt.Sprint(a.Box, a.Token, a.Under)]++
		}
		observed := map[string]int{}
		for _, e := range effects {
			if e.Thing == thing && e.Begin != 0 {
				observed[fmt.Sprint(e.Box, e.Token, e.Version)]++
			}
		}
		missing := ""
		for _, e := range effects {
			key := fmt.Sprint(e.Box, e.Token, e.Version)
			if e.Thing == thing && e.Begin != 0 && recorded[key] < observed[key] && !t.mayLackEntries(e.Box) {
				missing = fmt.Sprintf("%s with token %d under version %d: the resource saw %d effects, and the audit has %d", e.Box, e.Token, e.Version, observed[key], recorded[key])
			}
		}
		t.countAnswer(missing == "", "effects on %s: %s", thing, missing)
	}
}

// compareSamples checks which version each box had in force at an index of the ledger, and when it changed to it.
func (t *trial) compareSamples(contents map[string][]*audit.FolderContents, heads map[string][]audit.ChainHead) {
	jumped := map[int]bool{}
	for _, h := range t.site.History() {
		if strings.HasPrefix(h.Text, "wall for") {
			jumped[h.Box] = true
		}
	}
	for _, b := range t.site.Boxes {
		if len(contents[b.Name]) != 1 { // the box lost its disk or had a twin, so its indexes are not monotonic
			continue
		}
		index := audit.NewIndex(contents[b.Name], heads)
		runs := index.RunsOf(b.Name)
		highestIndex := uint64(0)
		for i, s := range t.samples[b.Index] {
			replaying := s.index < highestIndex // the box replays its ledger
			highestIndex = max(highestIndex, s.index)
			if i%10 == 0 && !replaying && !slices.ContainsFunc(runs, func(r audit.VersionRun) bool { return r.From == s.index }) {
				answers := index.AtIndex(s.index)
				if len(answers) == 1 {
					t.countAnswer(answers[0].Version.Fleet == s.inForce, "%s had version %d in force at index %d, and its audit says %d", b.Name, s.inForce, s.index, answers[0].Version.Fleet)
				}
			}
			if i == 0 || jumped[b.Index] || t.samples[b.Index][i-1].inForce == s.inForce {
				continue
			}
			previous := t.samples[b.Index][i-1]
			smallestError := time.Hour
			for _, r := range runs {
				if r.Version.Fleet != s.inForce {
					continue
				}
				at := r.FromAt - time.Duration(t.clockStart.UnixNano()) // both come from this machine's clock, which was not set
				smallestError = min(smallestError, max(previous.requestedAt-at, at-s.answeredAt, 0))
			}
			t.figures.WorstError = max(t.figures.WorstError, smallestError)
			t.countAnswer(smallestError < 2*time.Second, "%s changed to version %d at %v, and its audit is off by %v", b.Name, s.inForce, s.answeredAt, smallestError)
		}
	}
}

// countMixed counts effects that an audit records under another version than the one that its box had in force by the same chain.
func (t *trial) countMixed(all []*audit.FolderContents) {
	for _, b := range all {
		inForce, chain, unknown := uint64(0), "", false
		for _, e := range b.Entries {
			if e.Chain != chain {
				chain, inForce, unknown = e.Chain, 0, true // unknown until the chain has an entry with the version
			}
			switch {
			case e.Kind == audit.Version && e.Build != nil:
				inForce, unknown = e.Build.Fleet, false
			case e.Kind == audit.Gap:
				unknown = true // a change of the version may be among the entries that are missing
			case e.Kind == audit.Effect && e.Under != inForce && !unknown:
				t.figures.Mixed++
				t.note("%s: effect %d under version %d while %d is in force", b.Box, e.N, e.Under, inForce)
			}
		}
	}
}

// verifyChains checks the audits against the heads in the ledger. The audits of all boxes whose disk was not replaced must be complete.
func (t *trial) verifyChains(contents map[string][]*audit.FolderContents, heads map[string][]audit.ChainHead) {
	for _, b := range t.site.Boxes {
		diskReplaced := false
		for _, h := range t.site.History() {
			// With the disk its chain was lost, which the heads in the ledger show.
			if h.Box == b.Index && (strings.HasPrefix(h.Text, "old-copy for") || strings.HasPrefix(h.Text, "empty for") || strings.HasPrefix(h.Text, "twin for")) {
				diskReplaced = true
			}
		}
		if diskReplaced {
			continue
		}
		content := contents[b.Name][0]
		content.VerifyMarks(heads[b.Name])
		t.countAnswer(len(content.Faults) == 0, "%s: its audit is complete, and the check reports %v", b.Name, content.Faults)
	}
}

// tamper alters copies of audits in several ways and counts how many alterations the heads in the ledger reveal.
func (t *trial) tamper(heads map[string][]audit.ChainHead) error {
	methods := []func(dir string, names []string) error{
		func(dir string, names []string) error { // flips a bit in the middle
			return editFile(dir, names[len(names)/2], func(raw []byte) []byte { raw[len(raw)/2] ^= 1; return raw })
		},
		func(dir string, names []string) error { // truncates the last segment, including entries that a head covers
			return editFile(dir, names[len(names)-1], func(raw []byte) []byte { return raw[:len(raw)/3] })
		},
		func(dir string, names []string) error { return os.Remove(filepath.Join(dir, names[0])) },
		func(dir string, names []string) error { // removes all segments
			for _, n := range names {
				if err := os.Remove(filepath.Join(dir, n)); err != nil {
					return err
				}
			}
			return nil
		},
		func(dir string, names []string) error { // leaves only half of the first segment, as an old backup would
			for _, n := range names[1:] {
				if err := os.Remove(filepath.Join(dir, n)); err != nil {
					return err
				}
			}
			return editFile(dir, names[0], func(raw []byte) []byte { return raw[:len(raw)/2] })
		},
	}
	for i, b := range t.site.Boxes {
		dir := filepath.Join(t.cfg.Dir, fmt.Sprintf("tampered-%d", i))
		if err := os.CopyFS(dir, os.DirFS(b.AuditDirs()[0])); err != nil {
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
		before.VerifyMarks(heads[b.Name])
		if err := methods[i%len(methods)](dir, names); err != nil {
			return err
		}
		after, err := audit.Read(dir)
		if err != nil {
			return err
		}
		after.VerifyMarks(heads[b.Name])
		t.figures.TamperedCopies++
		if len(after.Faults) > len(before.Faults) {
			t.figures.TamperedFound++
		} else {
			t.note("%s: alteration %d was not detected: %v", b.Name, i%len(methods), after.Faults)
		}
	}
	return nil
}

func editFile(dir, name string, change func([]byte) []byte) error {
	path := filepath.Join(dir, name)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, change(raw), 0o600)
}

// String returns the line of figures.
func (f *Figures) String() string {
	return fmt.Sprintf("figures: processes=%d rollouts=%d done=%d returned=%d superseded=%d faults=%d kinds=%d conductors_hit=%d acts=%d acts_below_floor=%d low_refused=%d mixed_requests=%d steps_twice=%d stragglers=%d brought_up=%d shut_out=%d wrongly_shut_out=%d answers=%d answers_wrong=%d gaps=%d gaps_found=%d tampered=%d tampered_found=%d worst_error_ms=%d unsettled=%d requests=%d served=%d killed=%d lost=%d ended_twice=%d double_runs=%d wrong=%d seconds=%.0f",
		f.Processes, f.Rollouts, f.Done, f.RolledBack, f.Superseded, f.Faults, f.Kinds, f.ConductorsHit, f.Acts, f.ActsBelowLowest, f.LowRejected, f.Mixed, f.StepsRepeated, f.Stragglers, f.BroughtUp, f.ShutOut, f.WronglyShutOut,
		f.Answers, f.AnswersWrong, f.Gaps, f.GapsFound, f.TamperedCopies, f.TamperedFound, f.WorstError.Milliseconds(), f.Unsettled, f.Requests, f.Served, f.Killed, f.Lost, f.EndedTwice, f.DoubleRuns, f.Wrong, f.Duration.Seconds())
}

// Missed lists the missed bounds.
func (f *Figures) Missed() (list []string) {
	for _, c := range []struct {
		name string
		n    int64
	}{{"acts below the lowest version", int64(f.ActsBelowLowest)}, {"mixed", int64(f.Mixed)}, {"steps repeated", int64(f.StepsRepeated)}, {"wrongly shut out", int64(f.WronglyShutOut)},
		{"answers wrong", int64(f.AnswersWrong)}, {"tampered copies not detected", int64(f.TamperedCopies - f.TamperedFound)}, {"not settled", int64(f.Unsettled)}, {"gaps not recorded", int64(f.Gaps - f.GapsFound)},
		{"lost", f.Lost}, {"ended twice", f.EndedTwice}, {"double runs", f.DoubleRuns}, {"wrong results", f.Wrong}} {
		if c.n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", c.name, c.n))
		}
	}
	if f.Acts < 20 || f.Answers < 10 || f.TamperedCopies == 0 || f.Done == 0 {
		list = append(list, fmt.Sprintf("too few events to evaluate: %d acts, %d answers, %d tampered copies, %d rollouts done", f.Acts, f.Answers, f.TamperedCopies, f.Done))
	}
	return list
}

// MissedInFull lists the missed bounds of a full trial.
func (f *Figures) MissedInFull() []string {
	list := f.Missed()
	if f.Processes < 9 || f.Rollouts < 8 || f.RolledBack == 0 || f.Superseded == 0 || f.ConductorsHit == 0 || f.Stragglers == 0 || f.ShutOut == 0 {
		list = append(list, "too few events to evaluate rollouts")
	}
	return list
}
