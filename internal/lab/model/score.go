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

// Score measures the result of a day in worth: what was asked for and what was achieved.
type Score struct {
	Offered, Earned float64
	Requests        int
	Attempts        int // attempts read by boxes
	Retries         int // those after the first of a request
	AdmittedRetries int // retries that were not rejected at read
	RatioByClass    []float64
	WorstClass      float64
	ShareError      float64   // mean over tenants with requests: by how much they got less than they asked for, up to their share, as a fraction
	RatioBySecond   []float64 // ratio of worth got to worth asked for, by second
}

// Ratio returns the ratio of the worth got to the worth asked for.
func (w Score) Ratio() float64 { return w.Earned / max(w.Offered, 1e-9) }

// Evaluate computes the worth of a day. The traffic of a tenant over its share, counted over the whole fleet and per second, counts with the
// site's factor Over. In each second the first requests up to the share count in full, among those asked for and among those served.
func (s Site) Evaluate(l Load, outcomes []RequestOutcome) (w Score) {
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
	for _, f := range outcomes {
		sec := int(f.At / time.Second)
		c := &cells[f.Tenant][sec]
		k := s.Classes[f.Class]
		asked := k.Worth * weight(&c.asked, f.Tenant)
		got := 0.0
		if f.Served && f.Latency <= k.Deadline {
			got = k.Worth * weight(&c.served, f.Tenant)
			if f.Latency > k.Aim {
				got *= k.LateWorth
			}
		}
		w.Offered, w.Earned = w.Offered+asked, w.Earned+got
		classes[f.Class].asked, classes[f.Class].got = classes[f.Class].asked+asked, classes[f.Class].got+got
		bySecond[sec].asked, bySecond[sec].got = bySecond[sec].asked+asked, bySecond[sec].got+got
		w.Requests++
		w.Attempts += f.Attempts
		w.Retries += max(f.Attempts-1, 0)
		w.AdmittedRetries += f.AdmittedRetries
	}
	w.WorstClass = 1
	for _, c := range classes {
		w.RatioByClass = append(w.RatioByClass, c.got/max(c.asked, 1e-9))
		w.WorstClass = min(w.WorstClass, c.got/max(c.asked, 1e-9))
	}
	for _, c := range bySecond {
		w.RatioBySecond = append(w.RatioBySecond, min(1, c.got/max(c.asked, 1e-9)))
	}
	n := 0
	for t := range cells {
		asked, served := 0.0, 0.0
		for _, c := range cells[t] {
			asked, served = asked+c.asked, served+c.served
		}
		allowed := s.Tenants[t].Share * quota * l.Span.Seconds()
		if want := min(asked, allowed); asked > 0 { // up to its share a tenant should get all that it asks for
			w.ShareError += max(0, want-served) / want
			n++
		}
	}
	w.ShareError /= float64(max(n, 1))
	return w
}

// RecoveryTime returns the recovery time: how long after the time after the ratio of worth, as the mean of two seconds, is back at the given
// share of its mean before the time before. It is the whole rest of the day if the ratio does not recover.
func (w Score) RecoveryTime(before, after time.Duration, share float64) time.Duration {
	b, a := int(before/time.Second), int(after/time.Second)
	if b == 0 || a >= len(w.RatioBySecond) {
		return 0
	}
	mean := 0.0
	for _, x := range w.RatioBySecond[:b] {
		mean += x / float64(b)
	}
	for i := a; i+1 < len(w.RatioBySecond)-1; i++ {
		if (w.RatioBySecond[i]+w.RatioBySecond[i+1])/2 >= share*mean {
			return time.Duration(i)*time.Second - time.Duration(a)*time.Second
		}
	}
	return time.Duration(len(w.RatioBySecond)-1-a) * time.Second
}
