package audit

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Index answers questions about the logs of many boxes. It is built in one pass over them.
//
// The order of entries is derived from two things only: the number within a chain, and the ledger index in each entry,
// which is the last index that the box knew. An entry with index i was written after entry i of the ledger, by an
// unknown time. The ledger issues the tokens, so effects under two tokens of a task are ordered by token. Wall clocks
// are used only for questions about a time, within the clock error given by the caller; answers that remain uncertain
// are flagged as such.
type Index struct {
	boxes   []string
	entries [][]Entry           // by box, ordered by chain and number
	runs    [][]VersionRun      // runs by box
	effects [][]indexedEffect   // effects by box
	byN     map[uint64][]boxRef // runs by number of the fleet configuration
	byTask  map[string][]boxRef // effects by task
	heads   map[string][]ChainHead
}

type boxRef struct{ box, at int }

type indexedEffect struct {
	entry int // position of the Effect entry
	done  int // position of the EffectDone entry; -1: none
	run   int // position of the run in which it was executed; -1: unknown
}

// VersionRun is a period in which a box ran one version, in one process or several.
type VersionRun struct {
	Box     string `json:"box"`
	Version Build  `json:"version"`
	// From and To are ledger indexes: the version began after ledger entry From and ended after ledger entry To. Until
	// tells whether the version has ended; if not, it is the last version of the box and To is the index of its last
	// entry.
	From    uint64        `json:"from_index"`
	To      uint64        `json:"to_index"`
	Until   bool          `json:"ended"`
	FromAt  time.Duration `json:"from_at_ns"` // by the box's wall clock, for display only
	ToAt    time.Duration `json:"to_at_ns"`
	Effects int           `json:"effects"`
	Late    int           `json:"late"` // effects executed although the box knew that the number was no longer allowed
	first   int
	last    int
}

// EffectRecord is an effect as logged by its box.
type EffectRecord struct {
	Box     string        `json:"box"`
	Task    string        `json:"task"`
	Token   uint64        `json:"token"`
	Under   uint64        `json:"under"`
	Index   uint64        `json:"index"`
	At      time.Duration `json:"at_ns"`
	Outcome string        `json:"outcome"` // "made", "not made", "failed" or "not known"
	Text    string        `json:"text,omitempty"`
	// OrderUnknown reports that the order of this effect and the previous one in the list is unknown.
	OrderUnknown bool `json:"tied"`
}

// VersionAt is the version that a box ran at a given time or index.
type VersionAt struct {
	Box     string `json:"box"`
	Version Build  `json:"version"`
	Sure    bool   `json:"sure"` // false: the version changed so close to the time that the order is unknown
	Stopped bool   `json:"gone"` // its process had shut down cleanly
}

// NewIndex builds an index of the folders. heads are the chain heads in the ledger, by box: a head is an upper bound of
// the ledger index at which an entry was written. Without heads, few entries of different boxes can be ordered.
func NewIndex(folders []*FolderContents, heads map[string][]ChainHead) *Index {
	x := &Index{heads: heads, byN: map[uint64][]boxRef{}, byTask: map[string][]boxRef{}}
	at := map[string]int{}
	folders = slices.Clone(folders)
	slices.SortStableFunc(folders, func(a, b *FolderContents) int { return cmp.Compare(a.Box, b.Box) })
	for _, b := range folders {
		i, ok := at[b.Box]
		if !ok {
			i = len(x.boxes)
			at[b.Box] = i
			x.boxes, x.entries, x.runs, x.effects = append(x.boxes, b.Box), append(x.entries, nil), append(x.runs, nil), append(x.effects, nil)
		}
		if x.entries[i] == nil {
			x.entries[i] = b.Entries
		} else {
			x.entries[i] = append(slices.Clone(x.entries[i]), b.Entries...)
		}
	}
	for i := range x.boxes {
		x.indexBox(i)
	}
	return x
}

// indexBox indexes the entries of box i.
func (x *Index) indexBox(i int) {
	open := map[uint64]int{} // position in x.effects[i] by the number of the Effect entry, within a chain
	chain := ""
	for k := range x.entries[i] {
		e := &x.entries[i][k]
		if e.Chain != chain {
			chain = e.Chain
			clear(open)
		}
		runs := x.runs[i]
		switch e.Kind {
		case Version:
			if e.Build == nil {
				continue
			}
			if n := len(runs); n > 0 {
				last := &runs[n-1]
				last.To, last.ToAt, last.last, last.Until = e.Index, e.At, k, true
				if last.Version == *e.Build { // a new process of the same version continues the run
					last.Until = false
					continue
				}
			}
			x.runs[i] = append(runs, VersionRun{Box: x.boxes[i], Version: *e.Build, From: e.Index, FromAt: e.At, first: k, last: k})
			x.byN[e.Build.Fleet] = append(x.byN[e.Build.Fleet], boxRef{i, len(runs)})
		case Effect:
			a := indexedEffect{entry: k, done: -1, run: len(runs) - 1}
			open[e.N] = len(x.effects[i])
			x.byTask[e.Task] = append(x.byTask[e.Task], boxRef{i, len(x.effects[i])})
			x.effects[i] = append(x.effects[i], a)
			if len(runs) > 0 {
				runs[len(runs)-1].Effects++
			}
		case EffectDone:
			if a, ok := open[e.Ref]; ok {
				x.effects[i][a].done = k
				delete(open, e.Ref)
			}
		}
		if n := len(x.runs[i]); n > 0 {
			r := &x.runs[i][n-1]
			r.last = k
			if !r.Until {
				r.To, r.ToAt = e.Index, e.At
			}
		}
	}
}

// Boxes returns the names of the boxes, sorted.
func (x *Index) Boxes() []string { return x.boxes }

// Entries returns the number of entries of all boxes.
func (x *Index) Entries() (n int) {
	for _, e := range x.entries {
		n += len(e)
	}
	return n
}

// AtIndex returns the version that each box ran when the ledger reached index. An answer is sure if a chain
// head in the ledger shows that the box had already changed to the version by then.
func (x *Index) AtIndex(index uint64) (list []VersionAt) {
	for i, box := range x.boxes {
		runs := x.runs[i]
		k := sort.Search(len(runs), func(k int) bool { return runs[k].From > index }) - 1
		if k < 0 {
			continue
		}
		e := x.entries[i][runs[k].first]
		list = append(list, VersionAt{Box: box, Version: runs[k].Version, Sure: slices.ContainsFunc(x.heads[box], func(m ChainHead) bool {
			return m.Chain == e.Chain && m.N >= e.N && m.Index > 0 && m.Index <= index
		})})
	}
	return list
}

// AtTime returns the version that each box ran at time t, if its wall clock was off by at most clockError.
func (x *Index) AtTime(t, clockError time.Duration) (list []VersionAt) {
	for i, box := range x.boxes {
		runs := x.runs[i]
		// A clock may have been set back in between, so all runs are checked.
		k, sure := -1, true
		for j := range runs {
			if d := runs[j].FromAt - t; d <= 0 {
				k = j
			}
			if d := runs[j].FromAt - t; d <= clockError && d >= -clockError {
				sure = false
			}
		}
		if k < 0 && sure {
			continue
		}
		w := VersionAt{Box: box, Sure: sure}
		if k >= 0 {
			w.Version = runs[k].Version
		}
		if last := x.entries[i][runs[max(k, 0)].last]; last.Kind == End && last.At+clockError < t {
			w.Stopped = true
		}
		list = append(list, w)
	}
	return list
}

// RunsOfConfig returns the runs on number n of the fleet configuration. notFrom is the ledger index from which on the number
// is no longer allowed, 0 if it still is: effects by boxes that knew this index are counted as late.
func (x *Index) RunsOfConfig(n, notFrom uint64) (list []VersionRun) {
	for _, r := range x.byN[n] {
		run := x.runs[r.box][r.at]
		if notFrom > 0 {
			for _, a := range x.effects[r.box] {
				if a.run == r.at && x.entries[r.box][a.entry].Index >= notFrom {
					if x.outcome(r.box, a) != outcomeNotMade {
						run.Late++
					}
				}
			}
		}
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b VersionRun) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Box, b.Box)) })
	return list
}

// Outcomes of effects.
const (
	outcomeMade    = "made"
	outcomeNotMade = "not made"
	outcomeFailed  = "failed"
	outcomeUnknown = "not known" // the process ended during the effect, or the effect is still in progress
)

func (x *Index) outcome(box int, a indexedEffect) string {
	if a.done < 0 {
		return outcomeUnknown
	}
	d := x.entries[box][a.done]
	switch {
	case d.OK:
		return outcomeMade
	case len(d.Text) >= len(outcomeNotMade) && d.Text[:len(outcomeNotMade)] == outcomeNotMade:
		return outcomeNotMade
	}
	return outcomeFailed
}

// Effects returns the effects of a task, ordered by token and under one token by the box's own order. The order of
// effects of two boxes under one token is unknown.
func (x *Index) Effects(task string) (list []EffectRecord) {
	for _, r := range x.byTask[task] {
		a := x.effects[r.box][r.at]
		e := x.entries[r.box][a.entry]
		o := EffectRecord{Box: e.Box, Task: e.Task, Token: e.Token, Under: e.Under, Index: e.Index, At: e.At, Outcome: x.outcome(r.box, a), Text: e.Text}
		if a.done >= 0 && x.entries[r.box][a.done].Text != "" {
			o.Text = x.entries[r.box][a.done].Text
		}
		if o.Box == "" {
			o.Box = x.boxes[r.box]
		}
		list = append(list, o)
	}
	slices.SortStableFunc(list, func(a, b EffectRecord) int { return cmp.Compare(a.Token, b.Token) })
	for i := 1; i < len(list); i++ {
		list[i].OrderUnknown = list[i].Token == list[i-1].Token && list[i].Box != list[i-1].Box
	}
	return list
}

// EntriesOf returns the entries of a box.
func (x *Index) EntriesOf(name string) []Entry {
	if i, ok := slices.BinarySearch(x.boxes, name); ok {
		return x.entries[i]
	}
	return nil
}

// RunsOf returns the version runs of a box.
func (x *Index) RunsOf(name string) []VersionRun {
	if i, ok := slices.BinarySearch(x.boxes, name); ok {
		return x.runs[i]
	}
	return nil
}

// ScanRunsOfConfig computes the runs on configuration n by a scan over all entries. It serves as a baseline when the index is benchmarked.
func ScanRunsOfConfig(folders []*FolderContents, n uint64) (list []VersionRun) {
	for _, b := range folders {
		var now *VersionRun
		for i := range b.Entries {
			e := &b.Entries[i]
			switch {
			case e.Kind == Version && e.Build != nil:
				if now != nil && now.Version.Fleet == n {
					list = append(list, *now)
				}
				now = &VersionRun{Box: b.Box, Version: *e.Build, From: e.Index, FromAt: e.At}
			case e.Kind == Effect && now != nil:
				now.Effects++
			}
		}
		if now != nil && now.Version.Fleet == n {
			list = append(list, *now)
		}
	}
	return list
}
