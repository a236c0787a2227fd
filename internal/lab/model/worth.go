package model

import (
	"slices"
	"time"
)

// Fate is what became of a request.
type Fate struct {
	Request
	Served bool
	Took   time.Duration // from its client's first try to its answer
	Tries  int           // that a box read
	Let    int           // of the further ones, those that were not refused at once
}

// Worth is what a day was worth.
type Worth struct {
	Asked, Got float64
	Requests   int
	Tries      int // read by boxes
	Further    int // of them beyond the first
	LetIn      int // further ones that were not refused at read
	ByClass    []float64
	WorstClass float64
	ShareError float64   // mean over tenants that asked for more than their share: how far what they got is from it, as a part of it
	Seconds    []float64 // worth got over worth asked, by second
}

// Of is the share that was got.
func (w Worth) Of() float64 { return w.Got / max(w.Asked, 1e-9) }

// Judge works out what a day was worth. Traffic of a tenant beyond its share, counted over the whole fleet and each second, is worth
// a tenth: of what was asked for in a second the first so many count in full, and of what was served as well.
func (s Site) Judge(l Load, fates []Fate) (w Worth) {
	slices.SortFunc(fates, func(a, b Fate) int { return a.N - b.N })
	seconds := int(l.Span/time.Second) + 1
	type cell struct{ asked, served float64 }
	cells := make([][]cell, len(s.Tenants))
	for i := range cells {
		cells[i] = make([]cell, seconds)
	}
	quota := s.Capacity(l.Boxes) * s.Quota
	weigh := func(n *float64, tenant int) float64 {
		allowed := s.Tenants[tenant].Share * quota
		full := min(1, max(0, allowed-*n))
		*n++
		return full + (1-full)*s.Over
	}
	type sum struct{ asked, got float64 }
	classes, bySecond := make([]sum, len(s.Classes)), make([]sum, seconds)
	for _, f := range fates {
		sec := int(f.At / time.Second)
		c := &cells[f.Tenant][sec]
		k := s.Classes[f.Class]
		asked := k.Worth * weigh(&c.asked, f.Tenant)
		got := 0.0
		if f.Served && f.Took <= k.Deadline {
			got = k.Worth * weigh(&c.served, f.Tenant)
			if f.Took > k.Aim {
				got *= k.LateWorth
			}
		}
		w.Asked, w.Got = w.Asked+asked, w.Got+got
		classes[f.Class].asked, classes[f.Class].got = classes[f.Class].asked+asked, classes[f.Class].got+got
		bySecond[sec].asked, bySecond[sec].got = bySecond[sec].asked+asked, bySecond[sec].got+got
		w.Requests++
		w.Tries += f.Tries
		w.Further += max(f.Tries-1, 0)
		w.LetIn += f.Let
	}
	w.WorstClass = 1
	for _, c := range classes {
		w.ByClass = append(w.ByClass, c.got/max(c.asked, 1e-9))
		w.WorstClass = min(w.WorstClass, c.got/max(c.asked, 1e-9))
	}
	for _, c := range bySecond {
		w.Seconds = append(w.Seconds, min(1, c.got/max(c.asked, 1e-9)))
	}
	n := 0
	for t := range cells {
		asked, served := 0.0, 0.0
		for _, c := range cells[t] {
			asked, served = asked+c.asked, served+c.served
		}
		allowed := s.Tenants[t].Share * quota * l.Span.Seconds()
		if want := min(asked, allowed); asked > 0 { // within its share it should get all that it asks for
			w.ShareError += max(0, want-served) / want
			n++
		}
	}
	w.ShareError /= float64(max(n, 1))
	return w
}

// Settles tells how long after a time what is got, as the mean of each two seconds, is back to a share of what it was in the mean before
// another time; the whole rest of the day if it never is.
func (w Worth) Settles(before, after time.Duration, share float64) time.Duration {
	b, a := int(before/time.Second), int(after/time.Second)
	if b == 0 || a >= len(w.Seconds) {
		return 0
	}
	mean := 0.0
	for _, x := range w.Seconds[:b] {
		mean += x / float64(b)
	}
	for i := a; i+1 < len(w.Seconds)-1; i++ {
		if (w.Seconds[i]+w.Seconds[i+1])/2 >= share*mean {
			return time.Duration(i)*time.Second - time.Duration(a)*time.Second
		}
	}
	return time.Duration(len(w.Seconds)-1-a) * time.Second
}
