package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Habit is how a router chooses, and what it heeds.
type Habit struct {
	Choice  Choice
	Tries   int  // at the most, 0 for as many as there are boxes in its list
	Later   bool // it stays away when it is asked to
	GiveUp  bool // it tries nowhere else when it is asked not to
	Signal  bool // it sends nothing of lower rank than the free value
	Patient bool // it waits for a box to be free again instead of refusing by itself
}

// Choice is how a router picks a box.
type Choice int

// The choices.
const (
	Round Choice = iota
	Least        // in flight, from this router
	Two          // the better of two
	ByKey        // the same box for the same subject, as long as it may
	choices
)

// Habits draws those of a day's routers: one in five ignores what it is told, as the brief has it.
func Habits(seed uint64, n int) []Habit {
	r := stream(seed, streamRouters)
	list := make([]Habit, n)
	rude := r.IntN(5)
	for i := range list {
		h := Habit{Choice: Choice(r.IntN(int(choices))), Tries: []int{3, 3, 0}[r.IntN(3)], Later: true, GiveUp: true, Signal: true}
		if i%5 == rude {
			h = Habit{Choice: h.Choice, Tries: 0}
		}
		list[i] = h
	}
	return list
}

// Told is what a router reads of an answer.
type Told struct {
	Later  time.Duration
	GiveUp bool
	Signal float64
	Set    bool // Signal was told
}

// Router is one router's state: it does no I/O and has no clock. Not safe for use by several goroutines.
type Router struct {
	Habit
	heeded time.Duration
	rand   *rand.Rand
	list   []int // boxes that it knows of
	next   int
	state  map[int]*told
}

type told struct {
	out   int           // requests that it waits for
	away  time.Duration // until when it stays away
	floor float64
	at    time.Duration // when the floor was told
}

// NewRouter returns one that knows nothing yet.
func NewRouter(h Habit, heeded time.Duration, r *rand.Rand) *Router {
	return &Router{Habit: h, heeded: heeded, rand: r, state: map[int]*told{}, next: r.IntN(1 << 16)}
}

// List sets the boxes that it knows of.
func (r *Router) List(boxes []int) { r.list = slices.Clone(boxes) }

func (r *Router) of(box int) *told {
	t := r.state[box]
	if t == nil {
		t = new(told)
		r.state[box] = t
	}
	return t
}

// Pick chooses a box for a try; those that were tried already are left out. ok is false when none may be sent to.
func (r *Router) Pick(now time.Duration, q Request, tried []int) (box int, ok bool) {
	var may []int
	for _, b := range r.list {
		t := r.of(b)
		if slices.Contains(tried, b) || r.Later && now < t.away || r.Signal && now-t.at < r.heeded && q.Rank < t.floor {
			continue
		}
		may = append(may, b)
	}
	if len(may) == 0 {
		return 0, false
	}
	switch r.Choice {
	case Least:
		return slices.MinFunc(may, func(a, b int) int { return r.of(a).out - r.of(b).out }), true
	case Two:
		a, b := may[r.rand.IntN(len(may))], may[r.rand.IntN(len(may))]
		if r.of(b).out < r.of(a).out {
			a = b
		}
		return a, true
	case ByKey: // rendezvous
		return slices.MaxFunc(may, func(a, b int) int {
			if mix(q.Key, a) < mix(q.Key, b) {
				return -1
			}
			return 1
		}), true
	}
	r.next++
	return may[r.next%len(may)], true
}

func mix(key uint64, box int) uint64 {
	z := key*0x9e3779b97f4a7c15 + uint64(box+1)*0xbf58476d1ce4e5b9
	z = (z ^ z>>30) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Sent and Heard count what it waits for; Heard takes what an answer told as well.
func (r *Router) Sent(box int) { r.of(box).out++ }

// Heard takes an answer, or the word that none will come.
func (r *Router) Heard(now time.Duration, box int, t Told) {
	s := r.of(box)
	s.out--
	if t.Later > 0 {
		s.away = now + t.Later
	}
	if t.Set {
		s.floor, s.at = t.Signal, now
	}
}

// Again tells whether a refused request is tried elsewhere; tries are those that it had.
func (r *Router) Again(tries int, t Told) bool {
	return (!r.GiveUp || !t.GiveUp) && (r.Tries == 0 && tries < len(r.list) || tries < r.Tries)
}
