package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. Where they apply, Box and Other name the boxes concerned and For the duration.
const (
	Kill          Kind = "kill"      // SIGKILL, then a restart in the same directory after For
	EmptyDisk     Kind = "empty"     // SIGKILL, then a restart with an empty state directory
	OldCopy       Kind = "old-copy"  // SIGKILL, then a restart from a copy of its state directory that was taken For earlier
	Stop          Kind = "stop"      // SIGSTOP for For
	StopInAct     Kind = "stop-act"  // SIGSTOP of the next box that is between a permit's check and its effect
	KillLeader    Kind = "leader"    // SIGKILL of the leader, then a restart after For
	StopLeader    Kind = "stop-lead" // SIGSTOP of the leader for For
	FullDisk      Kind = "full"      // the box's disk is full for For (needs a trial build)
	Twin          Kind = "twin"      // a second process runs from a copy of the box's state under the same name
	OneWay        Kind = "one-way"   // bytes from Box to Other are dropped
	DropIncoming  Kind = "deaf"      // bytes to Box are dropped
	DropOutgoing  Kind = "mute"      // bytes from Box are dropped
	Isolate       Kind = "isolate"   // bytes to and from Box are dropped
	Split         Kind = "split"     // the boxes in the bit mask Other are partitioned from the rest
	Hold          Kind = "hold"      // bytes between Box and Other are held back for For
	Slow          Kind = "slow"      // bytes from Box are delayed by a tenth of For
	LimitRate     Kind = "choke"     // bytes from Box are limited to 20 KB/s
	Break         Kind = "break"     // the connection between Box and Other is closed in the middle of a frame
	Refuse        Kind = "refuse"    // connections between Box and Other are rejected
	Flap          Kind = "flap"      // Box is isolated repeatedly, alternating at the renewal interval
	WallClockJump Kind = "wall"      // the box's wall clock is off by Other minus Box hours for For (needs a trial build)
	RotateKey     Kind = "key"       // the fleet's key is rotated one box at a time, breaking the box's connections after each step
	ColdRestart   Kind = "cold"      // nearly all boxes are killed at once and restarted with empty state; a majority of voters keeps running
	KillAll       Kind = "all"       // all boxes are killed at once and restarted in an order that depends on Other
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{Kill, EmptyDisk, OldCopy, Stop, StopInAct, KillLeader, StopLeader, FullDisk, Twin, OneWay, DropIncoming, DropOutgoing, Isolate, Split, Hold, Slow, LimitRate, Break, Refuse, Flap, WallClockJump, RotateKey, ColdRestart, KillAll}

// Fault is one fault of a schedule. It is a plain value that can be printed, parsed and injected again.
type Fault struct {
	At    time.Duration // since the start of the schedule
	Kind  Kind
	Box   int
	Other int
	For   time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d %d %v", f.At, f.Kind, f.Box, f.Other, f.For)
}

// Schedule is a list of faults in the order of their times.
type Schedule []Fault

func (s Schedule) String() string {
	var b strings.Builder
	for _, f := range s {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// Parse reads a schedule in the format of Schedule.String. It skips empty lines and lines that begin with #.
func Parse(text string) (s Schedule, err error) {
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		var f Fault
		fields := strings.Fields(line)
		if len(fields) != 5 {
			return nil, fmt.Errorf("line %d: %q does not have the form TIME KIND BOX OTHER SPAN", i+1, line)
		}
		at, atErr := time.ParseDuration(fields[0])
		span, spanErr := time.ParseDuration(fields[4])
		f.At, f.Kind, f.For = at, Kind(fields[1]), span
		_, boxErr := fmt.Sscan(fields[2]+" "+fields[3], &f.Box, &f.Other)
		if atErr != nil || spanErr != nil || boxErr != nil || !slices.Contains(Kinds, f.Kind) {
			return nil, fmt.Errorf("line %d: %q is not a valid fault", i+1, line)
		}
		s = append(s, f)
	}
	return s, nil
}

// Draw makes a random schedule of count faults over a span. It uses each of the given kinds once before it repeats any.
func Draw(random *rand.Rand, kinds []Kind, count, boxes int, span time.Duration) (schedule Schedule) {
	var remaining []Kind
	for range count {
		if len(remaining) == 0 {
			remaining = slices.Clone(kinds)
			random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		f := Fault{At: time.Duration(random.Int64N(int64(span))).Round(time.Millisecond), Kind: remaining[0], Box: random.IntN(boxes), For: time.Duration(100+random.IntN(4000)) * time.Millisecond}
		remaining = remaining[1:]
		f.Other = (f.Box + 1 + random.IntN(boxes-1)) % boxes
		if f.Kind == Stop && random.IntN(3) == 0 {
			f.For = time.Duration(5+random.IntN(26)) * time.Second // far longer than a lease's term
		}
		if f.Kind == Split {
			f.Other = 1 + random.IntN(1<<boxes-2) // a bit mask with at least one box and not all of them
		}
		schedule = append(schedule, f)
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return int(a.At - b.At) })
	return schedule
}

// Shrink removes faults from a schedule as long as it still fails, which leaves a shorter schedule that reproduces the failure.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for size := len(s) / 2; size > 0; size /= 2 {
		for start := 0; start+size <= len(s); {
			if shorter := slices.Concat(s[:start], s[start+size:]); fails(shorter) {
				s = shorter
			} else {
				start += size
			}
		}
	}
	return s
}
