package rollout

import (
	"fmt"
	"strings"
	"time"
)

// The stated test of "measurably worse": the boxes on the new version, together, against those on the old one, together. In a
// reading the new ones are worse when their share of bad requests is above twice the old ones' plus worseMargin, with
// worseLeast requests on each side. Of the last worseOf readings, worseMost say so.
const (
	readingEach = 2 * time.Second
	worseLeast  = 50
	worseMargin = 0.05
	worseMost   = 3
	worseOf     = 5
)

// Conductor says what the fleet's roll-out needs next. Its clock is its box's own, and it forgets with its box: the Table has all
// that must outlive it. It is not safe for use by several goroutines.
type Conductor struct {
	roll    uint64
	wave    int
	phase   Phase
	began   time.Duration // when this wave was first seen
	through time.Duration // since when all of it was seen to be through; 0: it is not
	read    time.Duration // of the last reading
	last    map[string]Standing
	worse   []bool
}

// Due returns the command that is due, if one is, and when to ask again at the latest. living are the boxes that have a session.
func (c *Conductor) Due(now time.Duration, t *Table, living map[string]uint64) (cmd *Command, next time.Duration) {
	r := t.Roll
	if r == nil {
		*c = Conductor{}
		return nil, now + time.Minute
	}
	if c.roll != r.ID {
		*c = Conductor{roll: r.ID, wave: -1, last: map[string]Standing{}}
	}
	if c.wave != r.Wave || c.phase != r.Phase {
		c.wave, c.phase, c.began, c.through = r.Wave, r.Phase, now, 0
	}
	step := &Command{Kind: Step, Roll: r.ID, Wave: r.Wave}
	switch r.Phase {
	case Held:
		c.began = now // patience does not run out while an operator looks
		return nil, now + time.Minute
	case Back:
		for box := range living {
			// One that had turned the old one down has nowhere to go back to.
			if s := t.Boxes[box]; s.InForce == r.To && s.Session == living[box] && (s.Turned != r.From || r.From == 0) {
				return nil, now + readingEach
			}
		}
		return step, now + readingEach
	}
	if why := c.halt(now, t, living); why != "" {
		return &Command{Kind: Halt, Roll: r.ID, Why: why}, now + readingEach
	}
	pending := c.pending(t, living)
	switch {
	case len(pending) > 0 && now-c.began >= r.Plan.Patience:
		return &Command{Kind: Halt, Roll: r.ID, Why: fmt.Sprintf("after %v not all of wave %d have it in force: %s", r.Plan.Patience, r.Wave+1, strings.Join(pending, " "))}, now + readingEach
	case len(pending) > 0:
		c.through = 0
		return nil, min(now+readingEach, c.began+r.Plan.Patience)
	case c.through == 0:
		c.through = max(now, 1)
	}
	if now-c.through < r.Plan.Pace {
		return nil, min(now+readingEach, c.through+r.Plan.Pace)
	}
	return step, now + readingEach
}

// pending lists the boxes of the reached waves that live and do not have the new version in force. A box that turned it down
// is not waited for; too many of them halt the roll-out.
func (c *Conductor) pending(t *Table, living map[string]uint64) (list []string) {
	for _, w := range t.Roll.Waves[:t.Roll.Wave+1] {
		for _, box := range w {
			session, lives := living[box]
			if _, out := t.Out[box]; !lives || out {
				continue
			}
			if s := t.Boxes[box]; s.Session != session || s.InForce != t.Roll.To && s.Turned != t.Roll.To {
				list = append(list, box)
			}
		}
	}
	return list
}

// halt says why a roll-out must go back, if it must.
func (c *Conductor) halt(now time.Duration, t *Table, living map[string]uint64) string {
	r := t.Roll
	var turned, died []string
	why := ""
	for _, w := range r.Waves[:r.Wave+1] {
		for _, box := range w {
			s := t.Boxes[box]
			if _, lives := living[box]; !lives {
				died = append(died, box)
			} else if s.Turned == r.To {
				turned, why = append(turned, box), s.Why
			}
		}
	}
	switch {
	case len(turned) > r.Plan.Turned:
		return fmt.Sprintf("turned down by %s: %s", strings.Join(turned, " "), why)
	case len(died) > r.Plan.Died:
		return fmt.Sprintf("gone: %s", strings.Join(died, " "))
	}
	if now-c.read >= readingEach {
		c.read = now
		c.reading(t)
	}
	n := 0
	for _, w := range c.worse {
		if w {
			n++
		}
	}
	if n >= worseMost {
		return fmt.Sprintf("boxes with %d serve worse than those with %d, in %d of %d readings", r.To, r.From, n, len(c.worse))
	}
	return ""
}

// reading compares what was served since the last one.
func (c *Conductor) reading(t *Table) {
	var good, bad [2]uint64 // on the old version, on the new
	for box, s := range t.Boxes {
		was, ok := c.last[box]
		c.last[box] = s
		if !ok || was.Session != s.Session || was.InForce != s.InForce || s.Good < was.Good || s.Bad < was.Bad {
			continue
		}
		i := 0
		if s.InForce == t.Roll.To {
			i = 1
		}
		good[i] += s.Good - was.Good
		bad[i] += s.Bad - was.Bad
	}
	if good[0]+bad[0] < worseLeast || good[1]+bad[1] < worseLeast {
		return
	}
	share := func(i int) float64 { return float64(bad[i]) / float64(good[i]+bad[i]) }
	c.worse = append(c.worse, share(1) > 2*share(0)+worseMargin)
	c.worse = c.worse[max(0, len(c.worse)-worseOf):]
}
