package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind string

// The faults. Box, Other and For say to whom and for how long, where that means something.
const (
	Kill     Kind = "kill"      // SIGKILL, and started again in the same folder after For
	Empty    Kind = "empty"     // SIGKILL, and started again in an empty folder
	OldCopy  Kind = "old-copy"  // SIGKILL, and started again in a copy of its folder that was taken at the schedule's begin
	Stop     Kind = "stop"      // SIGSTOP for For
	StopAct  Kind = "stop-act"  // SIGSTOP of whoever is next between a permit's check and its effect
	Leader   Kind = "leader"    // SIGKILL of whoever leads, and started again after For
	StopLead Kind = "stop-lead" // SIGSTOP of whoever leads
	Full     Kind = "full"      // its disk is full (a trial build)
	Twin     Kind = "twin"      // a copy of its folder is started beside it under the same name
	OneWay   Kind = "one-way"   // what Box says to Other is lost
	Deaf     Kind = "deaf"      // Box hears nobody, and is heard
	Mute     Kind = "mute"      // Box is not heard, and hears
	Isolate  Kind = "isolate"   // both
	Split    Kind = "split"     // the boxes of the mask Other are cut off from the rest
	Hold     Kind = "hold"      // what Box and Other say to each other waits
	Slow     Kind = "slow"      // what Box says to all comes later, by a tenth of For
	Choke    Kind = "choke"     // what Box says to all goes at 20 KB a second
	Break    Kind = "break"     // the link between the two is cut in the middle of a frame
	Refuse   Kind = "refuse"    // connections between the two are refused
	Flap     Kind = "flap"      // Box is isolated again and again, at about the time of a renewal
	Wall     Kind = "wall"      // its time of day jumps, by as many hours as Other is above Box, and back after For (a trial build)
	Key      Kind = "key"       // the fleet's key is changed under way, box after box, with links cut in between
	Cold     Kind = "cold"      // nearly all boxes are killed within a moment and started in empty folders, a majority of voters excepted
	All      Kind = "all"       // all are killed at once and come back in any order
)

// Kinds lists all of them.
var Kinds = []Kind{Kill, Empty, OldCopy, Stop, StopAct, Leader, StopLead, Full, Twin, OneWay, Deaf, Mute, Isolate, Split, Hold, Slow, Choke, Break, Refuse, Flap, Wall, Key, Cold, All}

// Fault is one fault of a schedule. It is a value: it can be printed, read, played again and dropped.
type Fault struct {
	At    time.Duration // since the schedule's begin
	Kind  Kind
	Box   int
	Other int
	For   time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d %d %v", f.At, f.Kind, f.Box, f.Other, f.For)
}

// Schedule is faults in the order of their times.
type Schedule []Fault

func (s Schedule) String() string {
	var b strings.Builder
	for _, f := range s {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// Parse reads a schedule as it is printed. Empty lines and those that begin with # are left out.
func Parse(text string) (s Schedule, err error) {
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		var f Fault
		w := strings.Fields(line)
		if len(w) != 5 {
			return nil, fmt.Errorf("line %d: %q is not TIME KIND BOX OTHER SPAN", i+1, line)
		}
		at, aerr := time.ParseDuration(w[0])
		span, serr := time.ParseDuration(w[4])
		f.At, f.Kind, f.For = at, Kind(w[1]), span
		_, nerr := fmt.Sscan(w[2]+" "+w[3], &f.Box, &f.Other)
		if aerr != nil || serr != nil || nerr != nil || !slices.Contains(Kinds, f.Kind) {
			return nil, fmt.Errorf("line %d: %q is no fault that can be read", i+1, line)
		}
		s = append(s, f)
	}
	return s, nil
}

// Draw makes a schedule of n faults over a span. Each kind that is allowed comes before one comes twice.
func Draw(r *rand.Rand, kinds []Kind, n, boxes int, span time.Duration) (s Schedule) {
	var bag []Kind
	for range n {
		if len(bag) == 0 {
			bag = slices.Clone(kinds)
			r.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
		}
		f := Fault{At: time.Duration(r.Int64N(int64(span))).Round(time.Millisecond), Kind: bag[0], Box: r.IntN(boxes), For: time.Duration(100+r.IntN(4000)) * time.Millisecond}
		bag = bag[1:]
		f.Other = (f.Box + 1 + r.IntN(boxes-1)) % boxes
		if f.Kind == Stop && r.IntN(3) == 0 {
			f.For = time.Duration(5+r.IntN(26)) * time.Second // far beyond a lease
		}
		if f.Kind == Split {
			f.Other = 1 + r.IntN(1<<boxes-2) // a mask: neither nobody nor all
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// Shrink drops faults from a schedule as long as it still fails, so that what is left is easier to read.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for size := len(s) / 2; size > 0; size /= 2 {
		for at := 0; at+size <= len(s); {
			if shorter := slices.Concat(s[:at], s[at+size:]); fails(shorter) {
				s = shorter
			} else {
				at += size
			}
		}
	}
	return s
}
