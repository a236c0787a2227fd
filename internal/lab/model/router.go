package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Habit describes how a router picks boxes and which hints in answers it complies with.
type Habit struct {
	Choice  Choice
	Tries   int  // maximum number of attempts; 0 means one per box of its list
	Later   bool // complies with the retry-after delay
	GiveUp  bool // does not retry when asked not to
	Signal  bool // sends no request whose rank is below the published value
	Patient bool // waits for a box to be free again instead of rejecting by itself
}

// Choice is a router's way of picking a box.
type Choice int

// The ways of picking a box.
const (
	Round Choice = iota // round robin
	Least               // fewest requests in flight from this router
	Two                 // of two random boxes, the one with fewer requests in flight from this router
	ByKey               // by rendezvous hashing of the request's key
	choiceCount
)

// Habits draws the habits of n routers. One router in five complies with none of the hints, as the
// requirements of the platform assume.
func Habits(seed uint64, n int) []Habit {
	r := stream(seed, streamRouters)
	list := make([]Habit, n)
	nonCompliant := r.IntN(5)
	for i := range list {
		h := Habit{Choice: Choice(r.IntN(int(choiceCount))), Tries: []int{3, 3, 0}[r.IntN(3)], Later: true, GiveUp: true, Signal: true}
		if i%5 == nonCompliant {
			h = Habit{Choice: h.Choice, Tries: 0}
		}
		list[i] = h
	}
	return list
}

// Told holds the hints that a router reads from an answer.
type Told struct {
	Later  time.Duration
	GiveUp bool
	Signal float64
	Set    bool // Signal is valid
}

// Router is the state of one router. It does no I/O and has no clock. It is not safe for concurrent use.
type Router struct {
	Habit
	signalLifetime time.Duration
	rand           *rand.Rand
	boxes          []int // known boxes
	roundRobin     int
	state          map[int]*boxState
}

// boxState is what a router knows of one box.
type boxState struct {
	inFlight   int           // requests without an answer yet
	avoidUntil time.Duration // end of the retry-after delay
	minRank    float64
	minRankAt  time.Duration // when minRank was received
}

// NewRouter returns a router without boxes. It complies with a published value for the time signalLifetime.
func NewRouter(h Habit, heeded time.Duration, r *rand.Rand) *Router {
	return &Router{Habit: h, signalLifetime: heeded, rand: r, state: map[int]*boxState{}, roundRobin: r.IntN(1 << 16)}
}

// List sets the boxes that the router knows of.
func (r *Router) List(boxes []int) { r.boxes = slices.Clone(boxes) }

func (r *Router) stateOf(box int) *boxState {
	t := r.state[box]
	if t == nil {
		t = new(boxState)
		r.state[box] = t
	}
	return t
}

// Pick chooses a box for an attempt, other than those in excluded. ok is false if there is no box to which the router may send.
func (r *Router) Pick(now time.Duration, q Request, excluded []int) (box int, ok bool) {
	var candidates []int
	for _, b := range r.boxes {
		state := r.stateOf(b)
		if slices.Contains(excluded, b) || r.Later && now < state.avoidUntil || r.Signal && now-state.minRankAt < r.signalLifetime && q.Rank < state.minRank {
			continue
		}
		candidates = append(candidates, b)
	}
	if len(candidates) == 0 {
		return 0, false
	}
	switch r.Choice {
	case Least:
		return slices.MinFunc(candidates, func(a, b int) int { return r.stateOf(a).inFlight - r.stateOf(b).inFlight }), true
	case Two:
		a, b := candidates[r.rand.IntN(len(candidates))], candidates[r.rand.IntN(len(candidates))]
		if r.stateOf(b).inFlight < r.stateOf(a).inFlight {
			a = b
		}
		return a, true
	case ByKey:
		return slices.MaxFunc(candidates, func(a, b int) int {
			if hashKey(q.Key, a) < hashKey(q.Key, b) {
				return -1
			}
			return 1
		}), true
	}
	r.roundRobin++
	return candidates[r.roundRobin%len(candidates)], true
}

func hashKey(key uint64, box int) uint64 {
	z := key*0x9e3779b97f4a7c15 + uint64(box+1)*0xbf58476d1ce4e5b9
	z = (z ^ z>>30) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Sent counts an attempt that was sent to a box.
func (r *Router) Sent(box int) { r.stateOf(box).inFlight++ }

// Heard processes the hints of an answer, or, with empty hints, the end of an attempt that gets no answer.
func (r *Router) Heard(now time.Duration, box int, t Told) {
	state := r.stateOf(box)
	state.inFlight--
	if t.Later > 0 {
		state.avoidUntil = now + t.Later
	}
	if t.Set {
		state.minRank, state.minRankAt = t.Signal, now
	}
}

// Again reports whether a rejected request is retried at another box. attempts is the number of attempts that it had.
func (r *Router) Again(attempts int, t Told) bool {
	return (!r.GiveUp || !t.GiveUp) && (r.Tries == 0 && attempts < len(r.boxes) || attempts < r.Tries)
}
