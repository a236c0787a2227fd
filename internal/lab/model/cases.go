package model

import "time"

// Case is a named scenario: a load and, in most cases, faults.
type Case struct {
	Name       string
	LoadFactor float64 // load, as a factor of the capacity
	// AddFaults adds the faults and bursts to a scenario; nil for none.
	AddFaults func(d *Scenario)
}

// boxRange returns the numbers of n boxes, starting at from.
func boxRange(from, n int) (list []int) {
	for i := range n {
		list = append(list, from+i)
	}
	return list
}

const second = time.Second

// FaultFreeCases lists the cases without a fault.
var FaultFreeCases = []Case{{"90%", 0.9, nil}, {"110%", 1.1, nil}, {"150%", 1.5, nil}}

// FaultCases lists the cases with faults or an unusual load. Nearly all faults begin at 10 s or later, so that the time before them serves as the
// baseline, and all end before the scenario does.
var FaultCases = []Case{
	{"a burst", 0.9, func(d *Scenario) { d.Bursts = append(d.Bursts, Burst{10 * second, 6 * second, 1.6}) }},
	{"a fifth killed, back cold", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: Kill, From: 10 * second, Duration: 8 * second, Boxes: boxRange(d.Boxes/2, max(1, d.Boxes/5))})
	}},
	{"one box 8 times slower", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: SlowDown, From: 10 * second, Duration: 12 * second, Boxes: []int{d.Boxes / 2}, Slowdown: 8})
	}},
	{"98% replaced cold in 30 s", 0.9, func(d *Scenario) {
		for i := range d.Boxes * 98 / 100 {
			d.Faults = append(d.Faults, Fault{Kind: Kill, From: 10*second + time.Duration(i)*28*second/time.Duration(d.Boxes), Duration: second, Boxes: []int{i}})
		}
	}},
	{"half cut off for 6 s", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: Partition, From: 12 * second, Duration: 6 * second, Boxes: boxRange(0, d.Boxes/2)})
	}},
	{"the view flaps", 1.1, func(d *Scenario) {
		for at := 10 * second; at < 30*second; at += 3 * second {
			d.Faults = append(d.Faults, Fault{Kind: Partition, From: at, Duration: 1500 * time.Millisecond, Boxes: boxRange(0, d.Boxes/2)})
		}
	}},
	{"summaries 2 s late", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: DelayMessages, From: 10 * second, Duration: 20 * second})
	}},
	{"half of them lost", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: LoseMessages, From: 10 * second, Duration: 20 * second})
	}},
	{"reordered and twice", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: ReorderMessages, From: 10 * second, Duration: 20 * second})
	}},
	{"a box says 100 times its capacity", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: ReportTooMuch, From: 10 * second, Duration: 20 * second, Boxes: []int{d.Boxes - 1}})
	}},
	{"a box says that it can do nothing", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: ReportNothing, From: 10 * second, Duration: 20 * second, Boxes: []int{d.Boxes - 1}})
	}},
	{"a tenant comes through one router", 1.1, func(d *Scenario) { d.OneRouter = true }},
	{"the catalog is down", 1.1, func(d *Scenario) {
		d.Faults = append(d.Faults, Fault{Kind: CatalogDown, From: 12 * second, Duration: 10 * second})
	}},
	{"burst, slow box and deaths", 1.1, AddCombinedFaults},
}

// AddCombinedFaults adds several faults at once, the same that the trial with real processes uses.
func AddCombinedFaults(d *Scenario) {
	d.Bursts = append(d.Bursts, Burst{6 * second, 3 * second, 1.5})
	d.Faults = append(d.Faults, Fault{Kind: SlowDown, From: 11 * second, Duration: 6 * second, Boxes: []int{d.Boxes / 2}, Slowdown: 8},
		Fault{Kind: Kill, From: 14 * second, Duration: 3 * second, Boxes: boxRange(d.Boxes/2+1, max(1, d.Boxes/5))},
		Fault{Kind: Partition, From: 20 * second, Duration: 3 * second, Boxes: boxRange(0, d.Boxes/2)},
		Fault{Kind: CatalogDown, From: 8 * second, Duration: 5 * second})
}

// Scenario returns the scenario to simulate for the case, a seed and a mode.
func (c Case) Scenario(site Site, boxes int, span time.Duration, seed uint64, mode Mode) Scenario {
	d := Scenario{Site: site, Mode: mode, Load: Load{Seed: seed, LoadFactor: c.LoadFactor, Boxes: boxes, Routers: max(5, boxes/4), Span: span, HotTenant: site.HotTenant, HotFactor: 3}}
	if c.AddFaults != nil {
		c.AddFaults(&d)
	}
	return d
}

// FaultSpan returns the time span that covers all faults and bursts of a scenario. ok is false if it has none.
func (d Scenario) FaultSpan() (from, to time.Duration, ok bool) {
	from = d.Span
	for _, t := range d.Faults {
		from, to, ok = min(from, t.From), max(to, t.From+t.Duration), true
	}
	for _, b := range d.Bursts {
		from, to, ok = min(from, b.From), max(to, b.From+b.Duration), true
	}
	return from, to, ok
}
