package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// RouterBehavior describes how a router picks boxes and which hints in answers it complies with.
type RouterBehavior struct {
	Choice            Choice
	MaxAttempts       int  // maximum number of attempts; 0 means one per box of its list
	FollowsRetryAfter bool // complies with the retry-after delay
	FollowsDoNotRetry bool // does not retry when asked not to
	FollowsSignal     bool // sends no request whose rank is below the published value
	Patient           bool // waits for a box to be free again instead of rejecting by itself
}

// Choice is a router's way of picking a box.
type Choice int

// The ways of picking a box.
const (
	RoundRobin    Choice = iota // round robin
	LeastInFlight               // fewest requests in flight from this router
	BestOfTwo                   // of two random boxes, the one with fewer requests in flight from this router
	ByKey                       // by rendezvous hashing of the request's key
	choiceCount
)

// DrawRouterBehaviors draws the behavior of n routers. One router in five complies with none of the hints, as the
// requirements of the platform assume.
func DrawRouterBehaviors(seed uint64, n int) []RouterBehavior {
	r := stream(seed, streamRouters)
	list := make([]RouterBehavior, n)
	nonCompliant := r.IntN(5)
	for i := range list {
		behavior := RouterBehavior{Choice: Choice(r.IntN(int(choiceCount))), MaxAttempts: []int{3, 3, 0}[r.IntN(3)], FollowsRetryAfter: true, FollowsDoNotRetry: true, FollowsSignal: true}
		if i%5 == nonCompliant {
			behavior = RouterBehavior{Choice: behavior.Choice, MaxAttempts: 0}
		}
		list[i] = behavior
	}
	return list
}

// Hints holds the hints that a router reads from an answer.
type Hints struct {
	RetryAfter time.Duration
	DoNotRetry bool
	Signal     float64
	HasSignal  bool // Signal is valid
}

// Router is the state of one router. It does no I/O and has no clock. It is not safe for concurrent use.
type Router struct {
	RouterBehavior
	signalLifetime time.Duration
	rand           *rand.Rand
	boxes          []int // known boxes
	roundRobin     int
	state          map[int]*boxState
}

// boxState is a router's state of one box.
type boxState struct {
	inFlight   int           // requests without an answer yet
	avoidUntil time.Duration // end of the retry-after delay
	minRank    float64
	minRankAt  time.Duration // when minRank was received
}

// NewRouter returns a router without boxes. It complies with a published value for the time signalLifetime.
func NewRouter(behavior RouterBehavior, signalLifetime time.Duration, r *rand.Rand) *Router {
	return &Router{RouterBehavior: behavior, signalLifetime: signalLifetime, rand: r, state: map[int]*boxState{}, roundRobin: r.IntN(1 << 16)}
}

// SetBoxes sets the boxes that the router knows of.
func (r *Router) SetBoxes(boxes []int) { r.boxes = slices.Clone(boxes) }

func (r *Router) stateOf(box int) *boxState {
	state := r.state[box]
	if state == nil {
		state = new(boxState)
		r.state[box] = state
	}
	return state
}

// Pick chooses a box for an attempt, other than those in excluded. ok is false if there is no box to which the router may send.
func (r *Router) Pick(now time.Duration, q Request, excluded []int) (box int, ok bool) {
	var candidates []int
	for _, b := range r.boxes {
		state := r.stateOf(b)
		if slices.Contains(excluded, b) || r.FollowsRetryAfter && now < state.avoidUntil || r.FollowsSignal && now-state.minRankAt < r.signalLifetime && q.Rank < state.minRank {
			continue
		}
		candidates = append(candidates, b)
	}
	if len(candidates) == 0 {
		return 0, false
	}
	switch r.Choice {
	case LeastInFlight:
		return slices.MinFunc(candidates, func(a, b int) int { return r.stateOf(a).inFlight - r.stateOf(b).inFlight }), true
	case BestOfTwo:
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

// HandleAnswer processes the hints of an answer, or, with empty hints, the end of an attempt that gets no answer.
func (r *Router) HandleAnswer(now time.Duration, box int, hints Hints) {
	state := r.stateOf(box)
	state.inFlight--
	if hints.RetryAfter > 0 {
		state.avoidUntil = now + hints.RetryAfter
	}
	if hints.HasSignal {
		state.minRank, state.minRankAt = hints.Signal, now
	}
}

// ShouldRetry reports whether a rejected request is retried at another box. attempts is the number of attempts that it had.
func (r *Router) ShouldRetry(attempts int, hints Hints) bool {
	return (!r.FollowsDoNotRetry || !hints.DoNotRetry) && (r.MaxAttempts == 0 && attempts < len(r.boxes) || attempts < r.MaxAttempts)
}
