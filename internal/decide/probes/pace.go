package probes

import (
	"time"
)

// Said is an opinion as boxes tell it to each other: how long ago it was found, by the clock of who tells it, so that no two clocks are
// compared.
type Said struct {
	Box string        `cbor:"1,keyasint" json:"box"`
	Up  bool          `cbor:"2,keyasint" json:"up"`
	Ago time.Duration `cbor:"3,keyasint" json:"ago_ns"`
}

// Pace is when one box asks something that all boxes depend on and each has to ask now and then: the catalog, to which it reports. While it
// is up each asks at its own place within the period. While it is down, as two boxes have found, the prober alone goes on asking, and another
// one gives a second opinion where there is a doubt; the others hold still. When it is up again they come back one after the other. A box
// that hears nobody asks for itself, as a lone one does.
//
// Its clock is the box's own. The zero value with Self, Base and Most is ready; it is not safe for use by several goroutines.
type Pace struct {
	Self  string
	Base  time.Duration // between two questions of a lone box
	Most  time.Duration // between two questions, as the protocol allows; 0 for no bound
	Each  time.Duration // what the other side needs for one box that comes back
	Place float64       // this box's own, 0 to 1, the same after each restart

	judge Judge
	boxes int // of the fleet; 1: alone
	probe bool
	asked time.Duration // last
	next  time.Duration // when it asks next, while all is well
	down  bool          // it was found down, and not up since
	doubt time.Duration // since when there is a doubt; 0: there is none
}

// ages is for how many periods of a lone box an opinion counts.
const ages = 8

// Fleet says how many boxes there are, and whether this one is the prober.
func (p *Pace) Fleet(boxes int, prober bool) { p.boxes, p.probe = max(boxes, 1), prober }

// Every is how long the box waits between two questions while all is well.
func (p *Pace) Every() time.Duration {
	every := Every(p.Base, max(p.boxes, 1), p.Most)
	if p.boxes < 2 {
		every = p.Base
	}
	return every
}

// Told takes what came of a question of this box's own.
func (p *Pace) Told(now time.Duration, up bool) { p.heard(now, Opinion{p.Self, up, now}) }

// Heard takes what another box has found. Its own word is not taken from others.
func (p *Pace) Heard(now time.Duration, s Said) {
	if s.Box != p.Self && s.Ago >= 0 && s.Ago < ages*p.Base {
		p.heard(now, Opinion{s.Box, s.Up, now - s.Ago})
	}
}

func (p *Pace) heard(now time.Duration, o Opinion) {
	p.judge.Age = ages * p.Base
	if was, known := p.judge.opinions[o.Box]; known && was.At > o.At {
		return // it was told late
	}
	p.judge.Heard(o)
	switch p.judge.Verdict(now) {
	case Down:
		p.down, p.doubt = true, 0
	case Doubtful:
		if p.doubt == 0 {
			p.doubt = now
		}
	case Up:
		if p.down { // back, at its place within the time that all of them need
			p.next = now + time.Duration(p.Place*float64(p.span()))
		}
		p.down, p.doubt = false, 0
	}
}

// span is how long it takes all boxes to come back, and over which second opinions are spread.
func (p *Pace) span() time.Duration {
	span := time.Duration(p.boxes) * p.Each
	if p.Most > 0 {
		span = min(span, p.Most)
	}
	return span
}

// Due tells whether the box is to ask now. Whoever is told yes asks, and tells what came of it.
func (p *Pace) Due(now time.Duration) bool {
	if !p.due(now) {
		return false
	}
	p.asked = now
	p.next = now + p.Every()
	return true
}

func (p *Pace) due(now time.Duration) bool {
	if p.asked != 0 && now-p.asked < p.Base/2 { // whatever is heard
		return false
	}
	p.judge.Age = ages * p.Base
	verdict := p.judge.Verdict(now)
	if p.boxes < 2 || verdict == Up || verdict == Unknown && !p.down {
		return now >= p.next
	}
	if verdict == Doubtful && p.doubt == 0 { // an opinion has aged
		p.doubt = now
	}
	switch {
	case p.probe:
		return p.asked == 0 || now-p.asked >= p.Base
	case verdict == Doubtful: // one of those who have said nothing gives the second opinion; the first that does spares the others
		_, mine := p.judge.opinions[p.Self]
		return !mine && now-p.doubt >= time.Duration(p.Place*float64(p.secondSpan()))
	case verdict == Unknown: // nobody has said anything for long: for itself, at a place of its own
		return now-p.asked >= p.judge.Age+time.Duration(p.Place*float64(p.judge.Age))
	}
	return false
}

// secondSpan spreads second opinions so that about the root of all boxes ask before the first of them is heard of.
func (p *Pace) secondSpan() time.Duration {
	n := Every(p.Base, p.boxes, 0)
	return max(n, p.Base)
}

// Verdict is what counts now.
func (p *Pace) Verdict(now time.Duration) Verdict {
	p.judge.Age = ages * p.Base
	return p.judge.Verdict(now)
}

// Say is what this box has found itself, to be told to others; ok is false when that is too long ago.
func (p *Pace) Say(now time.Duration) (s Said, ok bool) {
	o, known := p.judge.opinions[p.Self]
	if !known || now-o.At > ages*p.Base {
		return s, false
	}
	return Said{p.Self, o.Up, now - o.At}, true
}

// SaidMost bounds what is told onwards at a time.
const SaidMost = 4

// Newest picks what is worth telling onwards: the newest words, of different boxes, those that found it down before those that found it up
// later are gone.
func Newest(list []Said) []Said {
	var out []Said
	for len(list) > 0 && len(out) < SaidMost {
		best := 0
		for i, s := range list {
			if s.Ago < list[best].Ago || s.Ago == list[best].Ago && s.Box < list[best].Box {
				best = i
			}
		}
		s := list[best]
		list = append(append([]Said(nil), list[:best]...), list[best+1:]...)
		seen := false
		for _, o := range out {
			seen = seen || o.Box == s.Box
		}
		if !seen {
			out = append(out, s)
		}
	}
	return out
}
