// Package timeline works out what happened to a fleet from what its boxes recorded. It does no I/O: it takes the lives
// of the boxes and yields findings, each with its interval, boxes, evidence and confidence.
//
// Two rules hold for all of them. What is absent is a finding of its own, and no conclusion is drawn across it unsaid:
// a finding that leans on an absent stretch says so and is less sure. And the boxes' clocks are not trusted: an interval
// is widened by what they may be apart, never narrowed.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	Started EventKind = iota + 1
	Warmed
	Link    // to the engine: OK says whether it was attached or lost
	Reload  // OK says whether it was taken
	Catalog // OK says whether it answers
	Drain   // the notice to leave
	Ended   // all was answered
	Second  // the counts of a second
)

// Event is what a box recorded at a time.
type Event struct {
	At   time.Duration // since the Unix epoch, by the box's clock
	Kind EventKind
	OK   bool
	Cold bool // Started: its cores were cold

	// Of a Second:
	Read, Retries, Refused, Served, InAim, Failed int
	Running                                       int
}

// Gap is a stretch without records, between two that are there or behind the last.
type Gap struct {
	From, To time.Duration // To is 0 behind the last
	Absent   uint64        // how many records, if it is known
	Why      string        // dropped, cut, absent
}

// Life is one start of a box's process.
type Life struct {
	Name, Build string
	Events      []Event // in order of their numbers
	Gaps        []Gap
}

// Box is all that is there of one.
type Box struct {
	Name  string
	Lives []Life
}

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	Crash       Kind = "crash"           // ended without notice
	KilledDrain Kind = "killed in drain" // the notice was taken, the end did not come
	Drained     Kind = "drain"
	ColdStart   Kind = "cold start"
	Deploy      Kind = "deploy"
	CrashWave   Kind = "crashes together"
	SlowBox     Kind = "slow box"
	Burst       Kind = "burst"
	Overload    Kind = "overload"
	RetryStorm  Kind = "retry storm"
	Reloaded    Kind = "reload"
	NoEngine    Kind = "engine away"
	NoCatalog   Kind = "catalog away"
	Missing     Kind = "records missing"
	NoRecords   Kind = "no records"
)

// Finding is something that happened.
type Finding struct {
	Kind       Kind
	From, To   time.Duration
	Boxes      []string
	Evidence   []string
	Confidence float64 // 0 to 1
	Open       bool    // it went on when the records end
	First      bool    // of those that overlap with it, none began before
}

// Settings are what is taken for a trouble. The zero value of each is its default.
type Settings struct {
	Skew     time.Duration // how far clocks may be apart; findings of several boxes are widened by it
	Wave     time.Duration // drains or crashes no further apart than this belong together
	Burst    float64       // of the usual reads
	Refused  float64       // share of the reads
	Retries  float64       // share of the reads
	Slow     float64       // of the peers' answers for each running request
	Sustain  int           // seconds in a row that it takes
	Expected []string      // boxes that must have records
}

func (s Settings) defaults() Settings {
	def := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	def(&s.Burst, 1.25)
	def(&s.Refused, 0.10)
	def(&s.Retries, 0.30)
	def(&s.Slow, 0.45)
	if s.Wave == 0 {
		s.Wave = 12 * time.Second
	}
	if s.Sustain == 0 {
		s.Sustain = 2
	}
	return s
}

// course is what is worked on.
type course struct {
	set      Settings
	boxes    []Box
	from, to time.Duration // of all records
	findings []Finding
}

// Find works out what happened.
func Find(boxes []Box, set Settings) []Finding {
	c := &course{set: set.defaults(), boxes: boxes, from: 1<<63 - 1}
	for _, b := range boxes {
		for _, l := range b.Lives {
			for _, e := range l.Events { // a clock may step back within a life
				c.from, c.to = min(c.from, e.At), max(c.to, e.At)
			}
		}
	}
	c.absent()
	for _, b := range boxes {
		c.lives(b)
		c.states(b)
	}
	c.waves(Drained, Deploy)
	c.waves(Crash, CrashWave)
	c.load()
	c.slow()
	c.order()
	return c.findings
}

func (c *course) add(f Finding) {
	if len(f.Boxes) > 1 {
		f.From -= c.set.Skew
		f.To += c.set.Skew
	}
	c.findings = append(c.findings, f)
}

// order sorts the findings by their begin and marks those that came first.
func (c *course) order() {
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Kind, b.Kind), slices.Compare(a.Boxes, b.Boxes))
	})
	end := time.Duration(-1 << 62)
	for i := range c.findings {
		f := &c.findings[i]
		if f.Kind == Missing || f.Kind == NoRecords {
			continue
		}
		f.First = f.From > end
		end = max(end, f.To)
	}
}

// absent finds what is missing.
func (c *course) absent() {
	there := map[string]bool{}
	for _, b := range c.boxes {
		there[b.Name] = len(b.Lives) > 0
		for _, l := range b.Lives {
			for _, g := range l.Gaps {
				if g.To == 0 { // a tail is told with the life's end
					continue
				}
				text := fmt.Sprintf("%s: records are %s", l.Name, g.Why)
				if g.Absent > 0 {
					text = fmt.Sprintf("%s: %d records are %s", l.Name, g.Absent, g.Why)
				}
				c.add(Finding{Kind: Missing, From: g.From, To: g.To, Boxes: []string{b.Name}, Evidence: []string{text}, Confidence: 1})
			}
		}
	}
	for _, name := range c.set.Expected {
		if !there[name] {
			c.add(Finding{Kind: NoRecords, From: c.from, To: c.to, Boxes: []string{name}, Evidence: []string{"others name it, and it has left none"}, Confidence: 1})
		}
	}
}

// last gives the last event of a kind, or nil.
func (l *Life) last(k EventKind) *Event {
	for i := len(l.Events) - 1; i >= 0; i-- {
		if l.Events[i].Kind == k {
			return &l.Events[i]
		}
	}
	return nil
}

// unsure is how much is left of a confidence across the gaps of a life that lie in an interval.
func (l *Life) unsure(from, to time.Duration) (factor float64, said []string) {
	factor = 1
	for _, g := range l.Gaps {
		if g.To != 0 && g.From <= to && g.To >= from {
			factor = 0.6
			said = append(said, fmt.Sprintf("records are missing from %v to %v", g.From, g.To))
		}
	}
	return factor, said
}

// aliveFor is how long before the end of all records a box may have fallen silent and still count as alive.
const aliveFor = 3 * time.Second

// lives tells how each life of a box began and ended: drained, killed in a drain, crashed, or still there.
func (c *course) lives(b Box) {
	for i := range b.Lives {
		l := &b.Lives[i]
		if len(l.Events) == 0 {
			continue
		}
		first, final := l.Events[0], l.Events[len(l.Events)-1]
		if first.Kind == Started && first.Cold {
			f := Finding{Kind: ColdStart, From: first.At, To: final.At, Boxes: []string{b.Name}, Evidence: []string{l.Name + " started with cold cores"}, Confidence: 1, Open: true}
			if w := l.last(Warmed); w != nil {
				f.To, f.Open = w.At, false
			}
			c.add(f)
		}
		drain, end := l.last(Drain), l.last(Ended)
		f := Finding{Boxes: []string{b.Name}, To: final.At, Confidence: 0.95}
		switch {
		case drain != nil && end != nil:
			f.Kind, f.From, f.To = Drained, drain.At, end.At
			f.Evidence = []string{"the notice was taken", "all was answered"}
		case drain != nil:
			f.Kind, f.From = KilledDrain, drain.At
			f.Evidence = []string{"the notice was taken", "no end was recorded"}
			if c.to-final.At < aliveFor && i == len(b.Lives)-1 {
				continue // it drains still
			}
		case end != nil:
			continue
		case i == len(b.Lives)-1 && c.to-final.At < aliveFor:
			continue // alive
		default:
			f.Kind, f.From = Crash, final.At
			f.Evidence = []string{"its records stop without a notice or an end"}
			if i+1 < len(b.Lives) {
				f.Evidence = append(f.Evidence, "it came back as "+b.Lives[i+1].Name)
			} else {
				f.Confidence = 0.6
				f.Evidence = append(f.Evidence, "it did not come back, so its records may only be cut")
			}
		}
		for _, g := range l.Gaps {
			if g.To == 0 && g.Why == "cut" {
				f.Confidence *= 0.7
				f.Evidence = append(f.Evidence, "its last records are cut, so what came after is not known")
			}
		}
		c.add(f)
	}
}

// states finds the stretches in which a box had no engine or no catalog, and its reloads.
func (c *course) states(b Box) {
	for i := range b.Lives {
		l := &b.Lives[i]
		away := map[EventKind]time.Duration{}
		names := map[EventKind]Kind{Link: NoEngine, Catalog: NoCatalog}
		for _, e := range l.Events {
			switch e.Kind {
			case Reload:
				text := "a new configuration was taken"
				if !e.OK {
					text = "a new configuration was turned down"
				}
				c.add(Finding{Kind: Reloaded, From: e.At, To: e.At, Boxes: []string{b.Name}, Evidence: []string{text}, Confidence: 1})
			case Link, Catalog:
				from, is := away[e.Kind]
				switch {
				case !e.OK && !is:
					away[e.Kind] = e.At
				case e.OK && is:
					delete(away, e.Kind)
					factor, said := l.unsure(from, e.At)
					c.add(Finding{Kind: names[e.Kind], From: from, To: e.At, Boxes: []string{b.Name}, Evidence: append([]string{"lost, then there again"}, said...), Confidence: factor})
				}
			}
		}
		for k, from := range away {
			c.add(Finding{Kind: names[k], From: from, To: l.Events[len(l.Events)-1].At, Boxes: []string{b.Name}, Evidence: []string{"lost until the records end"}, Confidence: 0.9, Open: true})
		}
	}
}

// waves puts findings of one kind that follow each other closely together.
func (c *course) waves(of, as Kind) {
	var list []Finding
	for _, f := range c.findings {
		if f.Kind == of {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b Finding) int { return cmp.Compare(a.From, b.From) })
	for from := 0; from < len(list); {
		to := from + 1
		for to < len(list) && list[to].From-list[to-1].To <= c.set.Wave {
			to++
		}
		if wave := list[from:to]; len(wave) > 1 {
			f := Finding{Kind: as, From: wave[0].From, Confidence: 0.9}
			for _, w := range wave {
				f.To = max(f.To, w.To)
				if !slices.Contains(f.Boxes, w.Boxes[0]) {
					f.Boxes = append(f.Boxes, w.Boxes[0])
				}
			}
			f.Evidence = []string{fmt.Sprintf("%d of %d boxes, one after the other", len(f.Boxes), len(c.boxes))}
			if len(f.Boxes) > 1 {
				c.add(f)
			}
		}
		from = to
	}
}
