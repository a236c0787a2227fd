// Package model simulates the surroundings of a fleet: clients, routers, boxes with cores, reading cost and cold
// starts, and faults. Simulate runs the real policy module, replica and fleet decisions on it in virtual time. The trial over real processes
// (`make overload`, internal/lab/overloads) uses the same clients, routers and cores. The figures of a site come from its description
// (Open); none of them is in the code.
package model

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cairnlane/internal/decide/shed"
)

// SheddingOrder returns the classes in the order in which the fleet sheds them.
func (s Site) SheddingOrder() []int {
	return shed.SheddingOrder(len(s.Classes), func(i int) float64 { return s.Classes[i].Worth }, func(i int) time.Duration { return s.Classes[i].Aim })
}

// Shares returns each tenant's share of the capacity, by name.
func (s Site) Shares(quota float64) map[string]float64 {
	m := map[string]float64{}
	for _, t := range s.Tenants {
		m[t.Name] = t.Share * quota
	}
	return m
}

// Request is one request of a client.
type Request struct {
	N      int
	At     time.Duration
	Class  int
	Tenant int
	Router int
	Key    uint64 // what the request is about, for routers that pick by key
	Work   time.Duration
	Rank   float64 // 0 to 1, higher for classes of higher worth
}

// RequestDeadline returns the request's deadline, at which the client abandons it.
func (s Site) RequestDeadline(q Request) time.Duration { return q.At + s.Classes[q.Class].Deadline }

// Load describes the client load of a scenario.
type Load struct {
	Seed       uint64
	LoadFactor float64 // mean load outside bursts, as a factor of the capacity of all boxes
	Boxes      int
	Routers    int
	Span       time.Duration
	HotTenant  int     // index of the tenant whose load is above its share
	HotFactor  float64 // factor on the hot tenant's share of the requests; 1 for none
	Bursts     []Burst
	// OneRouter sends all requests of the hot tenant through one router.
	OneRouter bool
}

// Burst is a time span in which the load is multiplied by Factor.
type Burst struct {
	From, Duration time.Duration
	Factor         float64
}

// burstFactor returns the factor on the load at a time.
func (l Load) burstFactor(at time.Duration) float64 {
	for _, b := range l.Bursts {
		if at >= b.From && at < b.From+b.Duration {
			return b.Factor
		}
	}
	return 1
}

// The streams of random numbers. They are separate, so that a change in one part does not change the draws of another: the clients of a seed
// are the same under every policy.
const (
	streamClients = iota + 1
	streamRouters
	streamFaults
	streamMessages
)

// Stream returns the stream of random numbers for a scenario's routers.
func Stream(seed uint64) *rand.Rand { return stream(seed, streamRouters) }

func stream(seed, which uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, which)) }

// DrawRequests returns all requests of a scenario, ordered by time. The same seed gives the same requests, whatever serves them.
func (s Site) DrawRequests(l Load) (list []Request) {
	rng := stream(l.Seed, streamClients)
	maxFactor := 1.0
	for _, b := range l.Bursts {
		maxFactor = max(maxFactor, b.Factor)
	}
	tenantWeights := make([]float64, len(s.Tenants))
	for i, t := range s.Tenants {
		tenantWeights[i] = t.Share
		if i == l.HotTenant && l.HotFactor > 0 {
			tenantWeights[i] *= l.HotFactor
		}
	}
	classWeights := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		classWeights[i] = c.Share
	}
	routerWeights := make([]float64, l.Routers)
	for i := range routerWeights {
		routerWeights[i] = 0.5 + rng.Float64()
	}
	ranges := s.rankRanges()
	rate := l.LoadFactor * s.Capacity(l.Boxes) * maxFactor
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		q := Request{N: len(list), At: time.Duration(at * 1e9), Class: pickWeighted(rng, classWeights), Tenant: pickWeighted(rng, tenantWeights), Router: pickWeighted(rng, routerWeights), Key: uint64(45000 * math.Pow(rng.Float64(), 3))}
		keep, work, rank := rng.Float64(), rng.NormFloat64(), rng.Float64()
		if q.At >= l.Span {
			return list
		}
		if l.OneRouter && q.Tenant == l.HotTenant {
			q.Router = 0
		}
		c := s.Classes[q.Class]
		sigma := math.Sqrt(math.Log(1 + c.CV*c.CV))
		q.Work = time.Duration(float64(c.Work) * math.Exp(sigma*work-sigma*sigma/2))
		q.Rank = ranges[q.Class][0] + rank*(ranges[q.Class][1]-ranges[q.Class][0])
		if keep*maxFactor < l.burstFactor(q.At) {
			q.N = len(list)
			list = append(list, q)
		}
	}
}

// rankRanges returns the range of ranks within [0, 1) of each class: the lowest worth has the lowest ranks, the width is the class's share.
func (s Site) rankRanges() [][2]float64 {
	order := make([]int, len(s.Classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.Classes[a].Worth, s.Classes[b].Worth) })
	out := make([][2]float64, len(s.Classes))
	for at, i := 0.0, 0; i < len(order); i++ { // classes of the same worth have the same range
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

// pickWeighted draws an index with a probability proportional to its weight.
func pickWeighted(r *rand.Rand, weights []float64) int {
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
