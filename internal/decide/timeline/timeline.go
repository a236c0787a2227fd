// Package timeline derives from the records of the boxes what happened to a fleet. It does no I/O: its input consists
// of the incarnations of the boxes, its output of findings, each with interval, boxes, evidence and confidence.
//
// Two rules hold for all findings. Missing records are a finding of their own, and a finding that relies on an interval
// with missing records says so and has a lower confidence. The clocks of the boxes are not trusted: an interval is
// widened by the possible skew and never narrowed.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	Started EventKind = iota + 1
	Warmed
	Link    // connection to the engine: OK if it was established, else lost
	Reload  // OK if the new configuration was accepted
	Catalog // OK if it became available
	Drain   // the drain notice was received
	Ended   // all requests were answered
	Second  // counts of one second
)

// Event is something that a box recorded.
type Event struct {
	At   time.Duration // since the Unix epoch, by the box's clock
	Kind EventKind
	OK   bool
	Cold bool // for Started: the cores were cold

	// For Second:
	Read, Retries, Rejected, Served, InAim, Failed int
	Running                                        int
}

// Gap is an interval without records, between two records or after the last one.
type Gap struct {
	From, To       time.Duration // To is 0 if the gap follows the last record
	MissingRecords uint64        // number of missing records, 0 if unknown
	Reason         string        // "dropped", "cut" or "absent"
}

// Incarnation is the records of one process start of a box.
type Incarnation struct {
	Name, Build string
	Events      []Event // ordered by record number
	Gaps        []Gap
}

// Box is the records of one box.
type Box struct {
	Name         string
	Incarnations []Incarnation
}

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	Crash       Kind = "crash"           // the process ended without a drain
	KilledDrain Kind = "killed in drain" // the process ended during the drain
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

// Finding is an event or problem derived from the records.
type Finding struct {
	Kind       Kind
	From, To   time.Duration
	Boxes      []string
	Evidence   []string
	Confidence float64 // 0 to 1
	Open       bool    // it was still in progress when the records ended
	First      bool    // none of the overlapping findings began earlier
}

// Settings are the thresholds for findings. A zero value selects the default.
type Settings struct {
	MaxSkew       time.Duration // maximum difference between the clocks; findings of several boxes are widened by it
	MaxWaveGap    time.Duration // maximum time between drains or crashes of one wave
	BurstRatio    float64       // multiple of the baseline of first attempts
	RejectedShare float64       // minimum share of the reads
	RetryShare    float64       // minimum share of the reads
	SlowRatio     float64       // share of the peers' answers per running request
	MinSeconds    int           // minimum consecutive seconds
	Expected      []string      // boxes that should have records
}

func (s Settings) defaults() Settings {
	def := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	def(&s.BurstRatio, 1.25)
	def(&s.RejectedShare, 0.10)
	def(&s.RetryShare, 0.30)
	def(&s.SlowRatio, 0.45)
	if s.MaxWaveGap == 0 {
		s.MaxWaveGap = 12 * time.Second
	}
	if s.MinSeconds == 0 {
		s.MinSeconds = 2
	}
	return s
}

// analysis is the state of one call of Find.
type analysis struct {
	settings Settings
	boxes    []Box
	from, to time.Duration // interval of all records
	findings []Finding
}

// Find derives the findings from the records of the boxes.
func Find(boxes []Box, set Settings) []Finding {
	c := &analysis{settings: set.defaults(), boxes: boxes, from: 1<<63 - 1}
	for _, b := range boxes {
		for _, l := range b.Incarnations {
			for _, e := range l.Events { // a clock may step back within an incarnation
				c.from, c.to = min(c.from, e.At), max(c.to, e.At)
			}
		}
	}
	c.missingRecords()
	for _, b := range boxes {
		c.addIncarnations(b)
		c.states(b)
	}
	c.waves(Drained, Deploy)
	c.waves(Crash, CrashWave)
	c.loadFindings()
	c.slowBoxes()
	c.order()
	return c.findings
}

func (c *analysis) add(f Finding) {
	if len(f.Boxes) > 1 {
		f.From -= c.settings.MaxSkew
		f.To += c.settings.MaxSkew
	}
	c.findings = append(c.findings, f)
}

// order sorts the findings by their start and marks those that began first.
func (c *analysis) order() {
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

// missingRecords reports missing records and expected boxes without records.
func (c *analysis) missingRecords() {
	hasRecords := map[string]bool{}
	for _, b := range c.boxes {
		hasRecords[b.Name] = len(b.Incarnations) > 0
		for _, l := range b.Incarnations {
			for _, g := range l.Gaps {
				if g.To == 0 { // a missing tail is reported with the end of the incarnation
					continue
				}
				text := fmt.Sprintf("%s: records are %s", l.Name, g.Reason)
				if g.MissingRecords > 0 {
					text = fmt.Sprintf("%s: %d records are %s", l.Name, g.MissingRecords, g.Reason)
				}
				c.add(Finding{Kind: Missing, From: g.From, To: g.To, Boxes: []string{b.Name}, Evidence: []string{text}, Confidence: 1})
			}
		}
	}
	for _, name := range c.settings.Expected {
		if !hasRecords[name] {
			c.add(Finding{Kind: NoRecords, From: c.from, To: c.to, Boxes: []string{name}, Evidence: []string{"it is expected, but has left no records"}, Confidence: 1})
		}
	}
}

// last returns the last event of a kind, or nil.
func (l *Incarnation) last(k EventKind) *Event {
	for i := len(l.Events) - 1; i >= 0; i-- {
		if l.Events[i].Kind == k {
			return &l.Events[i]
		}
	}
	return nil
}

// confidenceAcross returns the factor by which the gaps of an incarnation within an interval reduce a confidence, and the evidence for it.
func (l *Incarnation) confidenceAcross(from, to time.Duration) (factor float64, evidence []string) {
	factor = 1
	for _, g := range l.Gaps {
		if g.To != 0 && g.From <= to && g.To >= from {
			factor = 0.6
			evidence = append(evidence, fmt.Sprintf("records are missing from %v to %v", g.From, g.To))
		}
	}
	return factor, evidence
}

// aliveFor is the maximum time between the last record of a box and the end of all records for which the box counts as
// alive.
const aliveFor = 3 * time.Second

// addIncarnations reports how each incarnation of a box began and ended: drained, killed during a drain, crashed, or still alive.
func (c *analysis) addIncarnations(b Box) {
	for i := range b.Incarnations {
		l := &b.Incarnations[i]
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
			f.Evidence = []string{"the drain notice was received", "all requests were answered"}
		case drain != nil:
			f.Kind, f.From = KilledDrain, drain.At
			f.Evidence = []string{"the drain notice was received", "no end was recorded"}
			if c.to-final.At < aliveFor && i == len(b.Incarnations)-1 {
				continue // the drain may still be in progress
			}
		case end != nil:
			continue
		case i == len(b.Incarnations)-1 && c.to-final.At < aliveFor:
			continue // still alive
		default:
			f.Kind, f.From = Crash, final.At
			f.Evidence = []string{"its records stop without a drain notice or an end"}
			if i+1 < len(b.Incarnations) {
				f.Evidence = append(f.Evidence, "it restarted as "+b.Incarnations[i+1].Name)
			} else {
				f.Confidence = 0.6
				f.Evidence = append(f.Evidence, "it did not restart, so its records may merely be truncated")
			}
		}
		for _, g := range l.Gaps {
			if g.To == 0 && g.Reason == "cut" {
				f.Confidence *= 0.7
				f.Evidence = append(f.Evidence, "its last records are truncated, so what happened afterwards is not known")
			}
		}
		c.add(f)
	}
}

// states reports the intervals in which a box had no connection to its engine or no catalog, and its reloads.
func (c *analysis) states(b Box) {
	for i := range b.Incarnations {
		l := &b.Incarnations[i]
		away := map[EventKind]time.Duration{}
		names := map[EventKind]Kind{Link: NoEngine, Catalog: NoCatalog}
		for _, e := range l.Events {
			switch e.Kind {
			case Reload:
				text := "a new configuration was accepted"
				if !e.OK {
					text = "a new configuration was rejected"
				}
				c.add(Finding{Kind: Reloaded, From: e.At, To: e.At, Boxes: []string{b.Name}, Evidence: []string{text}, Confidence: 1})
			case Link, Catalog:
				from, known := away[e.Kind]
				switch {
				case !e.OK && !known:
					away[e.Kind] = e.At
				case e.OK && known:
					delete(away, e.Kind)
					factor, evidence := l.confidenceAcross(from, e.At)
					c.add(Finding{Kind: names[e.Kind], From: from, To: e.At, Boxes: []string{b.Name}, Evidence: append([]string{"lost, then available again"}, evidence...), Confidence: factor})
				}
			}
		}
		for k, from := range away {
			c.add(Finding{Kind: names[k], From: from, To: l.Events[len(l.Events)-1].At, Boxes: []string{b.Name}, Evidence: []string{"lost until the records end"}, Confidence: 0.9, Open: true})
		}
	}
}

// waves finds sequences of findings of kind of in which each starts soon after the previous one ended, and adds a
// finding of kind as for each sequence that involves several boxes.
func (c *analysis) waves(of, as Kind) {
	var list []Finding
	for _, f := range c.findings {
		if f.Kind == of {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b Finding) int { return cmp.Compare(a.From, b.From) })
	for from := 0; from < len(list); {
		to := from + 1
		for to < len(list) && list[to].From-list[to-1].To <= c.settings.MaxWaveGap {
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
