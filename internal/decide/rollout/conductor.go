package rollout

import (
	"fmt"
	"strings"
	"time"
)

// Criterion for halting a roll-out because the new version serves requests worse. In each reading, the boxes on the new version
// are compared with those on the old one: they are worse if their share of bad requests is above twice that of the old ones
// plus badShareMargin, with at least minRequests requests on each side. The roll-out is halted if worseThreshold of the last
// readingWindow readings are worse.
const (
	readingInterval = 2 * time.Second
	minRequests     = 50
	badShareMargin  = 0.05
	worseThreshold  = 3
	readingWindow   = 5
)

// Conductor determines the next command of a running roll-out. It uses its box's clock and keeps its state in memory only: the
// Table holds everything that must survive it. It is not safe for concurrent use.
type Conductor struct {
	roll            uint64
	wave            int
	phase           Phase
	phaseSeen       time.Duration     // when this wave or phase was first seen
	allChangedSince time.Duration     // since when all boxes of the wave have changed; 0: they have not
	lastReading     time.Duration     // time of the last reading
	lastStandings   map[string]Status // of the last reading
	worseReadings   []bool            // results of the latest readings
}

// Due returns the command to send now, or nil, and the latest time of the next call. living holds the current session of each
// box that has one.
func (c *Conductor) Due(now time.Duration, t *Table, living map[string]uint64) (cmd *Command, next time.Duration) {
	r := t.Current
	if r == nil {
		*c = Conductor{}
		return nil, now + time.Minute
	}
	if c.roll != r.ID {
		*c = Conductor{roll: r.ID, wave: -1, lastStandings: map[string]Status{}}
	}
	if c.wave != r.Wave || c.phase != r.Phase {
		c.wave, c.phase, c.phaseSeen, c.allChangedSince = r.Wave, r.Phase, now, 0
	}
	step := &Command{Kind: Step, RolloutID: r.ID, Wave: r.Wave}
	switch r.Phase {
	case Held:
		c.phaseSeen = now // the time-out does not run while an operator holds the roll-out
		return nil, now + time.Minute
	case RollingBack:
		for box := range living {
			// A box that has rejected the old version cannot go back and is not waited for.
			if s := t.Boxes[box]; s.InForce == r.To && s.Session == living[box] && (s.Rejected != r.From || r.From == 0) {
				return nil, now + readingInterval
			}
		}
		return step, now + readingInterval
	}
	if why := c.haltReason(now, t, living); why != "" {
		return &Command{Kind: Halt, RolloutID: r.ID, Why: why}, now + readingInterval
	}
	pending := c.pendingBoxes(t, living)
	switch {
	case len(pending) > 0 && now-c.phaseSeen >= r.Plan.Timeout:
		return &Command{Kind: Halt, RolloutID: r.ID, Why: fmt.Sprintf("after %v not all of wave %d have it in force: %s", r.Plan.Timeout, r.Wave+1, strings.Join(pending, " "))}, now + readingInterval
	case len(pending) > 0:
		c.allChangedSince = 0
		return nil, min(now+readingInterval, c.phaseSeen+r.Plan.Timeout)
	case c.allChangedSince == 0:
		c.allChangedSince = max(now, 1)
	}
	if now-c.allChangedSince < r.Plan.ObserveFor {
		return nil, min(now+readingInterval, c.allChangedSince+r.Plan.ObserveFor)
	}
	return step, now + readingInterval
}

// pendingBoxes returns the living boxes of the waves so far that do not have the new version in force. Boxes that have rejected it
// are not included; too many of them halt the roll-out.
func (c *Conductor) pendingBoxes(t *Table, living map[string]uint64) (list []string) {
	for _, w := range t.Current.Waves[:t.Current.Wave+1] {
		for _, box := range w {
			session, lives := living[box]
			if _, out := t.ShutOutBoxes[box]; !lives || out {
				continue
			}
			if s := t.Boxes[box]; s.Session != session || s.InForce != t.Current.To && s.Rejected != t.Current.To {
				list = append(list, box)
			}
		}
	}
	return list
}

// haltReason returns the reason for which the roll-out must be rolled back, or "".
func (c *Conductor) haltReason(now time.Duration, t *Table, living map[string]uint64) string {
	r := t.Current
	var rejected, died []string
	why := ""
	for _, w := range r.Waves[:r.Wave+1] {
		for _, box := range w {
			s := t.Boxes[box]
			if _, lives := living[box]; !lives {
				died = append(died, box)
			} else if s.Rejected == r.To {
				rejected, why = append(rejected, box), s.Reason
			}
		}
	}
	switch {
	case len(rejected) > r.Plan.MaxRejected:
		return fmt.Sprintf("turned down by %s: %s", strings.Join(rejected, " "), why)
	case len(died) > r.Plan.MaxDead:
		return fmt.Sprintf("gone: %s", strings.Join(died, " "))
	}
	if now-c.lastReading >= readingInterval {
		c.lastReading = now
		c.compareVersions(t)
	}
	n := 0
	for _, w := range c.worseReadings {
		if w {
			n++
		}
	}
	if n >= worseThreshold {
		return fmt.Sprintf("boxes with %d serve worse than those with %d, in %d of %d readings", r.To, r.From, n, len(c.worseReadings))
	}
	return ""
}

// compareVersions compares the requests served by both versions since the last reading.
func (c *Conductor) compareVersions(t *Table) {
	var good, bad [2]uint64 // index 0: old version, 1: new version
	for box, s := range t.Boxes {
		was, ok := c.lastStandings[box]
		c.lastStandings[box] = s
		if !ok || was.Session != s.Session || was.InForce != s.InForce || s.GoodRequests < was.GoodRequests || s.BadRequests < was.BadRequests {
			continue
		}
		i := 0
		if s.InForce == t.Current.To {
			i = 1
		}
		good[i] += s.GoodRequests - was.GoodRequests
		bad[i] += s.BadRequests - was.BadRequests
	}
	if good[0]+bad[0] < minRequests || good[1]+bad[1] < minRequests {
		return
	}
	share := func(i int) float64 { return float64(bad[i]) / float64(good[i]+bad[i]) }
	c.worseReadings = append(c.worseReadings, share(1) > 2*share(0)+badShareMargin)
	c.worseReadings = c.worseReadings[max(0, len(c.worseReadings)-readingWindow):]
}
