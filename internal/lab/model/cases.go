package model

import "time"

// Case is a named scenario: a load and, in most cases, faults.
type Case struct {
	Name string
	Of   float64 // load, as a factor of the capacity
	// Make adds the faults and bursts to a day; nil for none.
	Make func(d *Day)
}

// boxRange returns the numbers of n boxes, starting at from.
func boxRange(from, n int) (list []int) {
	for i := range n {
		list = append(list, from+i)
	}
	return list
}

const second = time.Second

// Steady lists the cases without a fault.
var Steady = []Case{{"90%", 0.9, nil}, {"110%", 1.1, nil}, {"150%", 1.5, nil}}

// Hard lists the cases with faults or an unusual load. Nearly all faults begin at 10 s or later, so that the time before them serves as the
// baseline, and all end before the day does.
var Hard = []Case{
	{"a burst", 0.9, func(d *Day) { d.Bursts = append(d.Bursts, Burst{10 * second, 6 * second, 1.6}) }},
	{"a fifth killed, back cold", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Kill, From: 10 * second, For: 8 * second, Boxes: boxRange(d.Boxes/2, max(1, d.Boxes/5))})
	}},
	{"one box 8 times slower", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Slow, From: 10 * second, For: 12 * second, Boxes: []int{d.Boxes / 2}, Times: 8})
	}},
	{"98% replaced cold in 30 s", 0.9, func(d *Day) {
		for i := range d.Boxes * 98 / 100 {
			d.Troubles = append(d.Troubles, Trouble{Kind: Kill, From: 10*second + time.Duration(i)*28*second/time.Duration(d.Boxes), For: second, Boxes: []int{i}})
		}
	}},
	{"half cut off for 6 s", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Partition, From: 12 * second, For: 6 * second, Boxes: boxRange(0, d.Boxes/2)})
	}},
	{"the view flaps", 1.1, func(d *Day) {
		for at := 10 * second; at < 30*second; at += 3 * second {
			d.Troubles = append(d.Troubles, Trouble{Kind: Partition, From: at, For: 1500 * time.Millisecond, Boxes: boxRange(0, d.Boxes/2)})
		}
	}},
	{"summaries 2 s late", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Late, From: 10 * second, For: 20 * second})
	}},
	{"half of them lost", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Lose, From: 10 * second, For: 20 * second})
	}},
	{"reordered and twice", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Reorder, From: 10 * second, For: 20 * second})
	}},
	{"a box says 100 times its capacity", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Lie, From: 10 * second, For: 20 * second, Boxes: []int{d.Boxes - 1}})
	}},
	{"a box says that it can do nothing", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Nothing, From: 10 * second, For: 20 * second, Boxes: []int{d.Boxes - 1}})
	}},
	{"a tenant comes through one router", 1.1, func(d *Day) { d.OneRouter = true }},
	{"the catalog is down", 1.1, func(d *Day) {
		d.Troubles = append(d.Troubles, Trouble{Kind: Catalog, From: 12 * second, For: 10 * second})
	}},
	{"burst, slow box and deaths", 1.1, Faults},
}

// Faults adds several faults at once, the same that the trial with real processes uses.
func Faults(d *Day) {
	d.Bursts = append(d.Bursts, Burst{6 * second, 3 * second, 1.5})
	d.Troubles = append(d.Troubles, Trouble{Kind: Slow, From: 11 * second, For: 6 * second, Boxes: []int{d.Boxes / 2}, Times: 8},
		Trouble{Kind: Kill, From: 14 * second, For: 3 * second, Boxes: boxRange(d.Boxes/2+1, max(1, d.Boxes/5))},
		Trouble{Kind: Partition, From: 20 * second, For: 3 * second, Boxes: boxRange(0, d.Boxes/2)},
		Trouble{Kind: Catalog, From: 8 * second, For: 5 * second})
}

// Day returns the day to simulate for the case, a seed and a mode.
func (c Case) Day(site Site, boxes int, span time.Duration, seed uint64, mode Mode) Day {
	d := Day{Site: site, Mode: mode, Load: Load{Seed: seed, Of: c.Of, Boxes: boxes, Routers: max(5, boxes/4), Span: span, Hot: site.Hot, HotTimes: 3}}
	if c.Make != nil {
		c.Make(&d)
	}
	return d
}

// Fault returns the time span that covers all faults and bursts of a day. ok is false if it has none.
func (d Day) Fault() (from, to time.Duration, ok bool) {
	from = d.Span
	for _, t := range d.Troubles {
		from, to, ok = min(from, t.From), max(to, t.From+t.For), true
	}
	for _, b := range d.Bursts {
		from, to, ok = min(from, b.From), max(to, b.From+b.For), true
	}
	return from, to, ok
}
