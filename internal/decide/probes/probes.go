// Package probes decides how often a fleet asks what all of its boxes depend on, how it comes back to what was away, and when what one box
// found counts for all. Alone, each box asks by its own clock, so what is asked grows with the fleet just when something is down.
//
// What it rests on. Nothing is agreed on for a single question: a box knows about how many boxes there are, and has a place of its own
// (a hash of its name), the same after each restart. If half of the fleet thinks that it is half as large, it asks 1.4 times as often as it
// should. What the protocol pages fix stays: most says what a page allows at the most between two questions.
package probes

import (
	"math"
	"time"
)

// Every is how long a box of n waits between two questions that a lone box would ask each base: the fleet together asks with the square
// root of its size. It is never above most; 0 is no bound.
func Every(base time.Duration, n int, most time.Duration) time.Duration {
	d := time.Duration(float64(base) * math.Sqrt(float64(max(1, n))))
	if most > 0 {
		d = min(d, most)
	}
	return max(d, base)
}

// First is when a box asks for the first time after a start or an outage that all saw: at its place within a period, so that boxes which
// were started or cut off together do not ask together. place is from 0 to 1.
func First(now, every time.Duration, place float64) time.Duration {
	return now + time.Duration(inside(place)*float64(every))
}

func inside(u float64) float64 { return math.Max(0, math.Min(u, 1)) }

// Return is how boxes come back to something that was away.
type Return struct {
	Least time.Duration // before the first further try
	Most  time.Duration // between two tries
	Each  time.Duration // what the other side needs for one box that comes back; all of n need n times as long
}

// Next is how long a box waits before its try of a number, from 0: full jitter over a span that doubles (Brooker, Exponential Backoff and
// Jitter), and not less than it takes the others to come back. u is drawn evenly from 0 to 1.
func (r Return) Next(try, n int, u float64) time.Duration {
	span := r.Most
	if try < 30 {
		span = min(r.Most, r.Least<<try)
	}
	span = min(max(span, time.Duration(max(0, n))*r.Each), max(r.Most, time.Duration(max(0, n))*r.Each))
	return time.Duration(inside(u) * float64(span))
}

// Opinion is what one box found of something that all depend on.
type Opinion struct {
	Box string
	Up  bool
	At  time.Duration // when this box heard of it, by its own clock
}

// Verdict is what counts.
type Verdict uint8

// The verdicts.
const (
	Unknown Verdict = iota // nobody has asked lately
	Up
	Doubtful // one box found it down: a second opinion is due
	Down     // two boxes did
)

var verdicts = [...]string{"unknown", "up", "doubtful", "down"}

func (v Verdict) String() string { return verdicts[v] }

// Judge keeps the latest opinion of each box. Its clock is the box's own. The zero value with an Age is ready.
type Judge struct {
	Age      time.Duration // for which an opinion counts
	opinions map[string]Opinion
}

// opinionsMost bounds what is kept; there is one prober at a time, and a second one when it finds something down.
const opinionsMost = 64

// Heard takes an opinion.
func (j *Judge) Heard(o Opinion) {
	if j.opinions == nil {
		j.opinions = map[string]Opinion{}
	}
	j.drop(o.At)
	if _, known := j.opinions[o.Box]; known || len(j.opinions) < opinionsMost {
		j.opinions[o.Box] = o
	}
}

func (j *Judge) drop(now time.Duration) {
	for box, o := range j.opinions {
		if now-o.At > j.Age {
			delete(j.opinions, box)
		}
	}
}

// Verdict tells what counts now. One box that finds it up outweighs those who found it down before: their way may be what is broken. Two
// that found it down since are needed for what takes boxes out.
func (j *Judge) Verdict(now time.Duration) Verdict {
	j.drop(now)
	up := time.Duration(math.MinInt64)
	for _, o := range j.opinions {
		if o.Up {
			up = max(up, o.At)
		}
	}
	down := 0
	for _, o := range j.opinions {
		if !o.Up && o.At > up {
			down++
		}
	}
	switch {
	case down >= 2:
		return Down
	case down == 1:
		return Doubtful
	case len(j.opinions) > 0:
		return Up
	}
	return Unknown
}

// Asks tells whether a box is to ask now: whoever has the prober's lease does, each period; another one does when there is a doubt, for
// the second opinion, and every box does for itself when nobody has been heard for twice the age: a fleet whose prober is silent is not blind.
func (j *Judge) Asks(now time.Duration, self string, prober bool, last, every time.Duration) bool {
	if last != 0 && now-last < every {
		return false
	}
	switch v := j.Verdict(now); {
	case prober:
		return true
	case v == Doubtful:
		_, mine := j.opinions[self]
		return !mine
	case v == Unknown:
		return last == 0 || now-last >= 2*j.Age
	}
	return false
}
