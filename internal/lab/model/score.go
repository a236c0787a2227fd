package model

import (
	"slices"
	"time"
)

// RequestOutcome is the outcome of a request.
type RequestOutcome struct {
	Request
	Served          bool
	Latency         time.Duration // from the client's first attempt to the answer
	Attempts        int           // attempts that a box read
	AdmittedRetries int           // retries that were not rejected at once
}

// Score measures the result of a scenario in worth: the worth of all requests (Offered) and of the requests served (Earned).
type Score struct {
	Offered, Earned float64
	Requests        int
	Attempts        int // attempts read by boxes
	Retries         int // those after the first of a request
	AdmittedRetries int // retries that were not rejected at read
	RatioByClass    []float64
	WorstClass      float64
	ShareError      float64   // mean over tenants with requests: fraction of their requests, up to their share, that was not served
	RatioBySecond   []float64 // ratio of earned to offered worth, by second
}

// Ratio returns the ratio of the earned to the offered worth.
func (score Score) Ratio() float64 { return score.Earned / max(score.Offered, 1e-9) }

// Evaluate computes the worth of a scenario's outcomes. The traffic of a tenant over its share, counted over the whole fleet and per second, counts with the
// site's factor OverShareWorth. In each second the first requests up to the share count in full, among those asked for and among those served.
func (s Site) Evaluate(l Load, outcomes []RequestOutcome) (score Score) {
	slices.SortFunc(outcomes, func(a, b RequestOutcome) int { return a.N - b.N })
	seconds := int(l.Span/time.Second) + 1
	type cell struct{ asked, served float64 }
	cells := make([][]cell, len(s.Tenants))
	for i := range cells {
		cells[i] = make([]cell, seconds)
	}
	quota := s.Capacity(l.Boxes) * s.Quota
	weight := func(n *float64, tenant int) float64 {
		allowed := s.Tenants[tenant].Share * quota
		full := min(1, max(0, allowed-*n))
		*n++
		return full + (1-full)*s.OverShareWorth
	}
	type sum struct{ asked, got float64 }
	classes, bySecond := make([]sum, len(s.Classes)), make([]sum, seconds)
	for _, outcome := range outcomes {
		sec := int(outcome.At / time.Second)
		c := &cells[outcome.Tenant][sec]
		class := s.Classes[outcome.Class]
		asked := class.Worth * weight(&c.asked, outcome.Tenant)
		got := 0.0
		if outcome.Served && outcome.Latency <= class.Deadline {
			got = class.Worth * weight(&c.served, outcome.Tenant)
			if outcome.Latency > class.Aim {
				got *= class.LateWorth
			}
		}
		score.Offered, score.Earned = score.Offered+asked, score.Earned+got
		classes[outcome.Class].asked, classes[outcome.Class].got = classes[outcome.Class].asked+asked, classes[outcome.Class].got+got
		bySecond[sec].asked, bySecond[sec].got = bySecond[sec].asked+asked, bySecond[sec].got+got
		score.Requests++
		score.Attempts += outcome.Attempts
		score.Retries += max(outcome.Attempts-1, 0)
		score.AdmittedRetries += outcome.AdmittedRetries
	}
	score.WorstClass = 1
	for _, c := range classes {
		score.RatioByClass = append(score.RatioByClass, c.got/max(c.asked, 1e-9))
		score.WorstClass = min(score.WorstClass, c.got/max(c.asked, 1e-9))
	}
	for _, c := range bySecond {
		score.RatioBySecond = append(score.RatioBySecond, min(1, c.got/max(c.asked, 1e-9)))
	}
	n := 0
	for t := range cells {
		asked, served := 0.0, 0.0
		for _, c := range cells[t] {
			asked, served = asked+c.asked, served+c.served
		}
		allowed := s.Tenants[t].Share * quota * l.Span.Seconds()
		if want := min(asked, allowed); asked > 0 { // up to its share a tenant should get all that it asks for
			score.ShareError += max(0, want-served) / want
			n++
		}
	}
	score.ShareError /= float64(max(n, 1))
	return score
}

// RecoveryTime returns the time from after until the worth ratio, as the mean of two seconds, is back at the given share of its mean in the
// time up to before. If the ratio does not recover, that is the time from after to the end of the scenario.
func (score Score) RecoveryTime(before, after time.Duration, share float64) time.Duration {
	b, a := int(before/time.Second), int(after/time.Second)
	if b == 0 || a >= len(score.RatioBySecond) {
		return 0
	}
	mean := 0.0
	for _, x := range score.RatioBySecond[:b] {
		mean += x / float64(b)
	}
	for i := a; i+1 < len(score.RatioBySecond)-1; i++ {
		if (score.RatioBySecond[i]+score.RatioBySecond[i+1])/2 >= share*mean {
			return time.Duration(i)*time.Second - time.Duration(a)*time.Second
		}
	}
	return time.Duration(len(score.RatioBySecond)-1-a) * time.Second
}
