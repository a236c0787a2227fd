// Package model is the project's own model of what it serves: clients, routers with their habits, boxes with cores, reading cost and cold
// starts, and what goes wrong. It runs the real module, replica and fleet decisions in virtual time (Play), and the same clients, habits
// and cores stand behind real processes in `make overload` (internal/lab/overloads). The figures come from a site's description
// (Open), none is in the code.
package model

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cairnlane/internal/decide/shed"
)

// Order are the classes in the order in which the fleet sheds them.
func (s Site) Order() []int {
	return shed.SheddingOrder(len(s.Classes), func(i int) float64 { return s.Classes[i].Worth }, func(i int) time.Duration { return s.Classes[i].Aim })
}

// Shares are the tenants' parts of the capacity, by name.
func (s Site) Shares(quota float64) map[string]float64 {
	m := map[string]float64{}
	for _, t := range s.Tenants {
		m[t.Name] = t.Share * quota
	}
	return m
}

// Request is what a client asks for, once.
type Request struct {
	N      int
	At     time.Duration
	Class  int
	Tenant int
	Router int
	Key    uint64 // its subject
	Work   time.Duration
	Rank   float64 // 0 to 1, by worth
}

// Due is when its client leaves.
func (s Site) Due(q Request) time.Duration { return q.At + s.Classes[q.Class].Deadline }

// Load is what clients ask for over a day.
type Load struct {
	Seed     uint64
	Of       float64 // of the capacity of all boxes, in the mean outside bursts
	Boxes    int
	Routers  int
	Span     time.Duration
	Hot      int     // the tenant that asks for more than its share
	HotTimes float64 // how many times its share, 1 for none
	Bursts   []Burst
	// OneRouter has all of the hot tenant's requests come through one router.
	OneRouter bool
}

// Burst is a time in which clients ask for more.
type Burst struct {
	From, For time.Duration
	Times     float64
}

func (l Load) times(at time.Duration) float64 {
	for _, b := range l.Bursts {
		if at >= b.From && at < b.From+b.For {
			return b.Times
		}
	}
	return 1
}

// the streams of random numbers, so that what changes with one policy does not change the day
const (
	streamClients = iota + 1
	streamRouters
	streamTroubles
	streamTalk
)

// Stream is that of a day's routers.
func Stream(seed uint64) *rand.Rand { return stream(seed, streamRouters) }

func stream(seed, which uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, which)) }

// Draw is all that clients ask for, in the order in which they do. The same seed gives the same requests whatever serves them.
func (s Site) Draw(l Load) (list []Request) {
	r := stream(l.Seed, streamClients)
	most := 1.0
	for _, b := range l.Bursts {
		most = max(most, b.Times)
	}
	weights := make([]float64, len(s.Tenants))
	for i, t := range s.Tenants {
		weights[i] = t.Share
		if i == l.Hot && l.HotTimes > 0 {
			weights[i] *= l.HotTimes
		}
	}
	classes := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.Share
	}
	routers := make([]float64, l.Routers)
	for i := range routers {
		routers[i] = 0.5 + r.Float64()
	}
	ranks := s.ranks()
	rate := l.Of * s.Capacity(l.Boxes) * most
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		q := Request{N: len(list), At: time.Duration(at * 1e9), Class: pick(r, classes), Tenant: pick(r, weights), Router: pick(r, routers), Key: uint64(45000 * math.Pow(r.Float64(), 3))}
		keep, work, rank := r.Float64(), r.NormFloat64(), r.Float64()
		if q.At >= l.Span {
			return list
		}
		if l.OneRouter && q.Tenant == l.Hot {
			q.Router = 0
		}
		c := s.Classes[q.Class]
		sigma := math.Sqrt(math.Log(1 + c.CV*c.CV))
		q.Work = time.Duration(float64(c.Work) * math.Exp(sigma*work-sigma*sigma/2))
		q.Rank = ranks[q.Class][0] + rank*(ranks[q.Class][1]-ranks[q.Class][0])
		if keep*most < l.times(q.At) {
			q.N = len(list)
			list = append(list, q)
		}
	}
}

// ranks are the parts of 0 to 1 that the classes have, the least worth first.
func (s Site) ranks() [][2]float64 {
	order := make([]int, len(s.Classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.Classes[a].Worth, s.Classes[b].Worth) })
	out := make([][2]float64, len(s.Classes))
	for at, i := 0.0, 0; i < len(order); i++ { // classes of the same worth have the same part
		j, sum := i, 0.0
		for ; j < len(order) && s.Classes[order[j]].Worth == s.Classes[order[i]].Worth; j++ {
			sum += s.Classes[order[j]].Share
		}
		for _, k := range order[i:j] {
			out[k] = [2]float64{at, at + sum}
		}
		at, i = at+sum, j-1
	}
	return out
}

func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	u := r.Float64() * sum
	for i, w := range weights {
		if u -= w; u < 0 {
			return i
		}
	}
	return len(weights) - 1
}
