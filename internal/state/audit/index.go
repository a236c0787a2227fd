package audit

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Index answers questions about the logs of many boxes after one pass over them.
//
// What comes before what is taken from two things alone: the number within a chain, and the ledger's index that an entry carries,
// as far as its box knew it. An entry that carries i was made after entry i of the ledger, by however long. Tokens are given out by
// the ledger, so effects under two tokens of a task come in their order. Clocks are used only where a question names a time, within
// the error that the question allows; what is in doubt is said to be.
type Index struct {
	boxes   []string
	entries [][]Entry        // by box, in the order of its chains and numbers
	runs    [][]Run          // by box
	acts    [][]act          // by box: effects
	byN     map[uint64][]ref // runs by number of the fleet's configuration
	byTask  map[string][]ref // effects by task
	marks   map[string][]Mark
}

type ref struct{ box, at int }

type act struct {
	entry int // of the Effect
	done  int // of the Done; -1: none
	run   int // of the version that it was made under; -1: none is known
}

// Run is a stretch in which a box acted as one version, in one process or several.
type Run struct {
	Box     string `json:"box"`
	Version Build  `json:"version"`
	// From and To are indexes of the ledger: the version began after entry From of it, and another one after To. Until says that To
	// is known: else the version is the box's last one.
	From    uint64        `json:"from_index"`
	To      uint64        `json:"to_index"`
	Until   bool          `json:"ended"`
	FromAt  time.Duration `json:"from_at_ns"` // by the box's wall clock, to be shown
	ToAt    time.Duration `json:"to_at_ns"`
	Effects int           `json:"effects"`
	Late    int           `json:"late"` // effects by a box that knew already that the number was allowed no more
	first   int
	last    int
}

// Act is an effect as its box tells it.
type Act struct {
	Box     string        `json:"box"`
	Task    string        `json:"task"`
	Token   uint64        `json:"token"`
	Under   uint64        `json:"under"`
	Index   uint64        `json:"index"`
	At      time.Duration `json:"at_ns"`
	Outcome string        `json:"outcome"` // made, not made, failed, or not known
	Text    string        `json:"text,omitempty"`
	// Tied says that nothing orders this act and the one before it in the list.
	Tied bool `json:"tied"`
}

// Who is what a box acted as at a time.
type Who struct {
	Box     string `json:"box"`
	Version Build  `json:"version"`
	Sure    bool   `json:"sure"` // false: it changed so near the time that the order is not known
	Gone    bool   `json:"gone"` // its process had ended in order
}

// NewIndex goes over the books once. marks are the ledger's, by box: they say before which index of the ledger an entry was made. They
// may be nil; then little can be ordered between boxes.
func NewIndex(books []*Book, marks map[string][]Mark) *Index {
	x := &Index{marks: marks, byN: map[uint64][]ref{}, byTask: map[string][]ref{}}
	at := map[string]int{}
	books = slices.Clone(books)
	slices.SortStableFunc(books, func(a, b *Book) int { return cmp.Compare(a.Box, b.Box) })
	for _, b := range books {
		i, ok := at[b.Box]
		if !ok {
			i = len(x.boxes)
			at[b.Box] = i
			x.boxes, x.entries, x.runs, x.acts = append(x.boxes, b.Box), append(x.entries, nil), append(x.runs, nil), append(x.acts, nil)
		}
		if x.entries[i] == nil {
			x.entries[i] = b.Entries
		} else {
			x.entries[i] = append(slices.Clone(x.entries[i]), b.Entries...)
		}
	}
	for i := range x.boxes {
		x.pass(i)
	}
	return x
}

// pass goes over the entries of a box.
func (x *Index) pass(i int) {
	open := map[uint64]int{} // act by number of its Effect, within a chain
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
				if last.Version == *e.Build { // a new process of the same version goes on with it
					last.Until = false
					continue
				}
			}
			x.runs[i] = append(runs, Run{Box: x.boxes[i], Version: *e.Build, From: e.Index, FromAt: e.At, first: k, last: k})
			x.byN[e.Build.Fleet] = append(x.byN[e.Build.Fleet], ref{i, len(runs)})
		case Effect:
			a := act{entry: k, done: -1, run: len(runs) - 1}
			open[e.N] = len(x.acts[i])
			x.byTask[e.Task] = append(x.byTask[e.Task], ref{i, len(x.acts[i])})
			x.acts[i] = append(x.acts[i], a)
			if len(runs) > 0 {
				runs[len(runs)-1].Effects++
			}
		case Done:
			if a, ok := open[e.Ref]; ok {
				x.acts[i][a].done = k
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

// Boxes lists the boxes by name.
func (x *Index) Boxes() []string { return x.boxes }

// Entries counts all.
func (x *Index) Entries() (n int) {
	for _, e := range x.entries {
		n += len(e)
	}
	return n
}

// AtIndex tells what each box acted as when the ledger came to an index. It is sure where a mark says that the change to it was made
// before: what a box did next it did after a later index that it knew.
func (x *Index) AtIndex(index uint64) (list []Who) {
	for i, box := range x.boxes {
		runs := x.runs[i]
		k := sort.Search(len(runs), func(k int) bool { return runs[k].From > index }) - 1
		if k < 0 {
			continue
		}
		e := x.entries[i][runs[k].first]
		list = append(list, Who{Box: box, Version: runs[k].Version, Sure: slices.ContainsFunc(x.marks[box], func(m Mark) bool {
			return m.Chain == e.Chain && m.N >= e.N && m.Index > 0 && m.Index <= index
		})})
	}
	return list
}

// AtTime tells what each box acted as at a time, where its wall clock was off by at most clockError.
func (x *Index) AtTime(t, clockError time.Duration) (list []Who) {
	for i, box := range x.boxes {
		runs := x.runs[i]
		// Clocks may have been set back in between, so all are looked at.
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
		w := Who{Box: box, Sure: sure}
		if k >= 0 {
			w.Version = runs[k].Version
		}
		if last := x.entries[i][runs[max(k, 0)].last]; last.Kind == End && last.At+clockError < t {
			w.Gone = true
		}
		list = append(list, w)
	}
	return list
}

// Version lists who acted on a number of the fleet's configuration, and from when to when. allowed tells from which index of the
// ledger on the number was allowed no more, 0 for never: effects by boxes that knew so are counted as late.
func (x *Index) Version(n, notFrom uint64) (list []Run) {
	for _, r := range x.byN[n] {
		run := x.runs[r.box][r.at]
		if notFrom > 0 {
			for _, a := range x.acts[r.box] {
				if a.run == r.at && x.entries[r.box][a.entry].Index >= notFrom {
					if x.outcome(r.box, a) != notMade {
						run.Late++
					}
				}
			}
		}
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b Run) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Box, b.Box)) })
	return list
}

// Outcomes of an effect.
const (
	made     = "made"
	notMade  = "not made"
	failed   = "failed"
	notKnown = "not known" // the process ended within it, or it goes on
)

func (x *Index) outcome(box int, a act) string {
	if a.done < 0 {
		return notKnown
	}
	d := x.entries[box][a.done]
	switch {
	case d.OK:
		return made
	case len(d.Text) >= len(notMade) && d.Text[:len(notMade)] == notMade:
		return notMade
	}
	return failed
}

// Effects lists those of a task, by token, and under one token by the box's own order. Two boxes under one token are tied: nothing
// orders them.
func (x *Index) Effects(task string) (list []Act) {
	for _, r := range x.byTask[task] {
		a := x.acts[r.box][r.at]
		e := x.entries[r.box][a.entry]
		o := Act{Box: e.Box, Task: e.Task, Token: e.Token, Under: e.Under, Index: e.Index, At: e.At, Outcome: x.outcome(r.box, a), Text: e.Text}
		if a.done >= 0 && x.entries[r.box][a.done].Text != "" {
			o.Text = x.entries[r.box][a.done].Text
		}
		if o.Box == "" {
			o.Box = x.boxes[r.box]
		}
		list = append(list, o)
	}
	slices.SortStableFunc(list, func(a, b Act) int { return cmp.Compare(a.Token, b.Token) })
	for i := 1; i < len(list); i++ {
		list[i].Tied = list[i].Token == list[i-1].Token && list[i].Box != list[i-1].Box
	}
	return list
}

// Box lists what a box did.
func (x *Index) Box(name string) []Entry {
	if i, ok := slices.BinarySearch(x.boxes, name); ok {
		return x.entries[i]
	}
	return nil
}

// Runs lists the versions of a box.
func (x *Index) Runs(name string) []Run {
	if i, ok := slices.BinarySearch(x.boxes, name); ok {
		return x.runs[i]
	}
	return nil
}

// ScanVersion is Version by going over all entries, to weigh the index against.
func ScanVersion(books []*Book, n uint64) (list []Run) {
	for _, b := range books {
		var now *Run
		for i := range b.Entries {
			e := &b.Entries[i]
			switch {
			case e.Kind == Version && e.Build != nil:
				if now != nil && now.Version.Fleet == n {
					list = append(list, *now)
				}
				now = &Run{Box: b.Box, Version: *e.Build, From: e.Index, FromAt: e.At}
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
