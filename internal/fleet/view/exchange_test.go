package view

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"cairnlane/internal/decide/shed"
)

// fleetSim is a small fleet in virtual time. A message arrives at the next step, unless its sender or recipient is cut off.
type fleetSim struct {
	now      time.Duration
	names    []string
	relays   []string
	boxes    map[string]*Exchange
	cut      map[string]bool
	inFlight []struct {
		from string
		OutgoingMessage
	}
	sent    map[string]int
	shutOut map[string]bool
}

func newFleetSim(n, relays int) *fleetSim {
	sim := &fleetSim{boxes: map[string]*Exchange{}, cut: map[string]bool{}, sent: map[string]int{}, shutOut: map[string]bool{}}
	for i := range n {
		name := fmt.Sprintf("box%03d", i)
		sim.names = append(sim.names, name)
		sim.boxes[name] = new(Exchange)
		if i < relays {
			sim.relays = append(sim.relays, name)
		}
	}
	return sim
}

func (sim *fleetSim) place(box string) Membership {
	return Membership{Self: box, Session: 1, Relays: sim.relays, Known: len(sim.names) - len(sim.shutOut), Member: func(b string) bool { return !sim.shutOut[b] }}
}

func (sim *fleetSim) advance(span time.Duration) {
	for end := sim.now + span; sim.now < end; {
		sim.now += ExchangeInterval
		wire := sim.inFlight
		sim.inFlight = nil
		for _, m := range wire {
			if !sim.cut[m.from] && !sim.cut[m.To] {
				sim.boxes[m.To].Take(sim.now, m.from, m.Message, sim.place(m.To))
			}
		}
		for _, b := range sim.names {
			for _, o := range sim.boxes[b].Tick(sim.now, sim.place(b), Summary{Capacity: 100, Running: 80, First: 70, Further: 10, Classes: []float64{40, 40}, Tenants: map[string]float64{"t": 80}}) {
				sim.sent[b]++
				sim.inFlight = append(sim.inFlight, struct {
					from string
					OutgoingMessage
				}{b, o})
			}
		}
	}
}

func (sim *fleetSim) sums(box string) shed.Sums { return sim.boxes[box].Sums(sim.now, sim.place(box)) }

// TestBoxesAgreeOnSums checks that sums agree and that the message rate per box does not depend on the fleet's size.
func TestBoxesAgreeOnSums(t *testing.T) {
	for _, n := range []int{3, 10, 300} {
		sim := newFleetSim(n, 3)
		sim.advance(5 * time.Second)
		clear(sim.sent)
		sim.advance(10 * time.Second)
		for i, b := range sim.names {
			s := sim.sums(b)
			if math.Abs(s.Capacity-float64(100*n)) > 1 || s.Boxes != n || math.Abs(s.First-float64(70*n)) > 1 || math.Abs(s.Free-float64(20*(n-1))) > 1 || math.Abs(s.Tenants["t"]-float64(80*n)) > 1 || (shed.Trust(s) == 1) != (n <= shed.MaxFleetSize) {
				t.Fatalf("%d boxes: %s has %+v", n, b, s)
			}
			maxRate := 4.0
			if i < 3 {
				maxRate = 4 * (2 + float64(n)*0.6)
			}
			if rate := float64(sim.sent[b]) / 10; rate > maxRate {
				t.Errorf("%d boxes: %s sends %v messages a second", n, b, rate)
			}
		}
	}
}

// TestLostRelayIsReplaced also checks that a box that is cut off trusts no sums and that one that is shut out is not counted.
func TestLostRelayIsReplaced(t *testing.T) {
	sim := newFleetSim(20, 3)
	sim.advance(5 * time.Second)
	sim.cut["box000"], sim.cut["box019"] = true, true
	sim.advance(8 * time.Second)
	for _, b := range sim.names {
		s := sim.sums(b)
		if sim.cut[b] {
			if b == "box019" && shed.Trust(s) != 0 {
				t.Errorf("%s is cut off but trusts %+v", b, s)
			}
			continue
		}
		if s.Boxes != 18 || math.Abs(s.Capacity-1800) > 1 || shed.Trust(s) == 0 {
			t.Errorf("%s has %+v", b, s)
		}
	}
	clear(sim.cut)
	sim.shutOut["box010"] = true
	sim.advance(8 * time.Second)
	for _, b := range sim.names {
		if s := sim.sums(b); b != "box010" && (s.Boxes != 19 || math.Abs(s.Capacity-1900) > 1 || shed.Trust(s) != 1) {
			t.Errorf("%s has %+v after all links returned and one box was shut out", b, s)
		}
	}
}

// TestExchangeRejectsInvalidMessages checks which messages are rejected, by sender and content.
func TestExchangeRejectsInvalidMessages(t *testing.T) {
	x := new(Exchange)
	p := Membership{Self: "z", Session: 1, Relays: []string{"a"}, Known: 3, Member: func(b string) bool { return b != "out" }}
	good := &shed.Sums{Boxes: 3, Capacity: 300}
	for name, c := range map[string]struct {
		from string
		m    Message
		want bool
	}{
		"its relay":        {"a", Message{All: good, Session: 2, Seq: 1}, true},
		"not a relay":      {"b", Message{All: good, Session: 2, Seq: 9}, false},
		"shut out":         {"out", Message{All: good, Session: 2, Seq: 9}, false},
		"below 0":          {"a", Message{All: &shed.Sums{Capacity: -1}, Session: 2, Seq: 9}, false},
		"too many boxes":   {"a", Message{All: &shed.Sums{Boxes: MaxBoxes + 1}, Session: 2, Seq: 9}, false},
		"a summary":        {"b", Message{Summary: &Summary{Session: 1, Seq: 1}}, false}, // this box is not a relay
		"a part":           {"b", Message{Part: good, Session: 2, Seq: 9}, false},
		"an empty message": {"a", Message{}, false},
	} {
		y := *x
		if got := y.Take(time.Second, c.from, c.m, p); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	here := p
	here.Self = "a" // a relay itself
	for box, want := range map[string]bool{"b": true, "out": false} {
		if got := new(Exchange).Take(time.Second, box, Message{Summary: &Summary{Session: 1, Seq: 1}}, here); got != want {
			t.Errorf("relay's result for a summary of %s: %v", box, got)
		}
	}
	x.Take(time.Second, "a", Message{All: good, Session: 2, Seq: 5}, p)
	if x.Take(time.Second, "a", Message{All: good, Session: 2, Seq: 5}, p) {
		t.Error("a repeated message was accepted")
	}
}

// copy returns a deep copy of the totals.
func (t Totals) copy() Totals {
	t.Classes, t.Tenants = slices.Clone(t.Classes), maps.Clone(t.Tenants)
	return t
}

// TestBoxesAgreeOnAdvice sends a tenant with excessive load and all further attempts to one box only; the advice must still be equal.
func TestBoxesAgreeOnAdvice(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	loads, totals := map[string]*Load{}, map[string]*Totals{}
	for _, n := range names {
		loads[n], totals[n] = new(Load), new(Totals)
	}
	rules := &shed.Rules{Version: 7, Order: []int{0}, Shares: map[string]float64{"hot": 0.3, "x": 0.6}}
	place := func(n string) Membership {
		return Membership{Self: n, Session: 1, Relays: names[:2], Known: len(names)}
	}
	type message struct {
		from string
		OutgoingMessage
	}
	var wire []message
	for now := ExchangeInterval; now < 20*time.Second; now += ExchangeInterval {
		for _, m := range wire {
			loads[m.To].Take(now, m.from, m.Message, place(m.To))
		}
		wire = nil
		for _, n := range names {
			c := totals[n]
			c.First, c.Served, c.Busy = c.First+25, c.Served+25, 0.9 // 100 a second
			if c.Tenants == nil {
				c.Tenants, c.Classes = map[string]uint64{}, []uint64{0}
			}
			if c.Tenants["x"] += 10; n == "d" {
				c.Tenants["hot"] += 100
				c.First, c.Further, c.Classes[0] = c.First+75, c.Further+25, c.Classes[0]+100
			}
			for _, o := range loads[n].Tick(now, TickInputs{Membership: place(n), Totals: c.copy(), Rules: rules, MaxRetryDelay: time.Second}) {
				wire = append(wire, message{n, o})
			}
		}
	}
	for _, n := range names {
		a := loads[n].Advice
		if a == nil || a.Version != 7 || a.Trust != 1 || math.Abs(a.Tenants["hot"]-0.29) > 0.05 || a.Tenants["x"] != 0 || math.Abs(a.Further-0.30) > 0.05 {
			t.Errorf("%s: %+v of %+v", n, a, loads[n].Sums)
		}
	}
	if out := loads["a"].Tick(time.Hour, TickInputs{Membership: place("a"), Rules: rules, ShutOut: true}); out != nil || loads["a"].Advice != nil {
		t.Error("a box that is shut out sends messages or has advice")
	}
	if loads["b"].Tick(time.Hour, TickInputs{Membership: place("b")}); loads["b"].Advice != nil {
		t.Error("there is advice without rules")
	}
}
