package view

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
)

// Each is how often a box speaks: it tells its summary to one relay, and hears the sums of all from it.
//
// Not everyone speaks to everyone. The boxes that vote are the relays, so that no list of their own is needed: each box tells its summary
// to one of them, each relay sums up its boxes, tells that part to the other relays, and tells its boxes the sum of all parts. A box says and
// hears four messages a second whatever the size of the fleet; a relay of r for n boxes 8n/r and 8r.
const Each = 250 * time.Millisecond

// Message is what boxes say to each other of their load. One of the parts is there.
type Message struct {
	Summary *Summary   `cbor:"1,keyasint,omitempty"` // of the sender, for its relay
	Part    *shed.Sums `cbor:"2,keyasint,omitempty"` // of the sender's boxes, for other relays
	All     *shed.Sums `cbor:"3,keyasint,omitempty"` // for the boxes of the sender
	Seq     uint64     `cbor:"4,keyasint,omitempty"` // of Part and All, within the sender's incarnation
	Session uint64     `cbor:"5,keyasint,omitempty"`
}

// Out is a message for a box.
type Out struct {
	To string
	Message
}

// Place is what a box knows of its fleet at a time.
type Place struct {
	Self    string
	Session uint64   // this box's incarnation; 0: it has none, and says nothing
	Relays  []string // the boxes that vote
	Known   int      // boxes that there are
	Member  func(box string) bool
}

type part struct {
	sums         shed.Sums
	session, seq uint64
	at           time.Duration
}

// Exchange is one box's side. It does no I/O, and its clock is the box's own. The zero value is ready; it is not safe for use by several
// goroutines.
type Exchange struct {
	view  View            // of the boxes that this one relays for
	parts map[string]part // of other relays, and this one's own
	all   part            // as the box's relay has told it, or as this relay has summed it up
	told  time.Duration   // by a relay, last; since when it is waited for, before
	hop   int             // how many relays were given up on
	seq   uint64
	own   Summary
	level int // this box's, as it tells it where it leads
}

// relay is who this box speaks to. Each box has one of its own; it goes on to the next one when nothing is heard for as long as sums count
// in full.
func (x *Exchange) relay(p Place) string {
	if len(p.Relays) == 0 {
		return ""
	}
	if slices.Contains(p.Relays, p.Self) {
		return p.Self
	}
	h := fnv.New32a()
	h.Write([]byte(p.Self))
	relays := slices.Sorted(slices.Values(p.Relays))
	return relays[(int(h.Sum32()&0xffff)+x.hop)%len(relays)]
}

// Tick is called each Each with what this box says of itself. It returns what is to be sent.
func (x *Exchange) Tick(now time.Duration, p Place, own Summary) (list []Out) {
	if p.Session == 0 {
		return nil
	}
	x.seq++
	own.Session, own.Seq = p.Session, x.seq
	x.own = own
	to := x.relay(p)
	if to != p.Self {
		if x.told == 0 {
			x.told = now
		}
		if now-x.told > fresh {
			x.hop++
			x.told = now
			to = x.relay(p)
		}
		if to != "" {
			list = append(list, Out{to, Message{Summary: &own}})
		}
		return list
	}
	x.view.Take(now, p.Self, own)
	for box := range x.view.boxes {
		if p.Member != nil && !p.Member(box) {
			x.view.Forget(box)
		}
	}
	mine := x.view.Sums(now, "", p.Known)
	if x.parts == nil {
		x.parts = map[string]part{}
	}
	mine.Shed = x.level
	x.parts[p.Self] = part{mine, p.Session, x.seq, now}
	all := x.add(now, p)
	x.all = part{all, p.Session, x.seq, now}
	for _, r := range p.Relays {
		if r != p.Self {
			list = append(list, Out{r, Message{Part: &mine, Session: p.Session, Seq: x.seq}})
		}
	}
	for _, box := range slices.Sorted(maps.Keys(x.view.boxes)) {
		if h := x.view.boxes[box]; box != p.Self && now-h.at <= fresh && !slices.Contains(p.Relays, box) {
			list = append(list, Out{box, Message{All: &all, Session: p.Session, Seq: x.seq}})
		}
	}
	return list
}

// add sums the parts of relays that are heard.
func (x *Exchange) add(now time.Duration, p Place) shed.Sums {
	out := shed.Sums{Known: p.Known, Tenants: map[string]float64{}}
	led := false
	for _, r := range slices.Sorted(maps.Keys(x.parts)) {
		q := x.parts[r]
		if now-q.at > forgotten || !slices.Contains(p.Relays, r) {
			delete(x.parts, r)
			continue
		}
		weight := min(1, max(0, 1-float64(now-q.at-fresh)/float64(forgotten-fresh)))
		if !led && now-q.at <= fresh { // the first by name that is heard
			out.Shed, led = q.sums.Shed, true
		}
		if now-q.at <= fresh {
			out.Boxes += q.sums.Boxes
		}
		for _, s := range q.sums.Said {
			out.Said = append(out.Said, older(s, now-q.at))
		}
		out.Capacity += weight * q.sums.Capacity
		out.Level += weight * q.sums.Capacity * min(q.sums.Level, 1)
		out.Free += weight * q.sums.Free
		out.First += weight * q.sums.First
		out.Further += weight * q.sums.Further
		for i, c := range q.sums.Classes {
			for len(out.Classes) <= i {
				out.Classes = append(out.Classes, 0)
			}
			out.Classes[i] += weight * c
		}
		for name, o := range q.sums.Tenants {
			if _, known := out.Tenants[name]; known || len(out.Tenants) < 4*TenantsMost {
				out.Tenants[name] += weight * o
			}
		}
	}
	out.Level /= max(out.Capacity, 1e-9)
	out.Boxes, out.Said = min(out.Boxes, max(p.Known, 0)), probes.Newest(out.Said)
	return out
}

// Take takes what another box says. It tells false for what is left out.
func (x *Exchange) Take(now time.Duration, from string, m Message, p Place) bool {
	relay := slices.Contains(p.Relays, from)
	switch {
	case p.Member != nil && !p.Member(from):
		return false // it is shut out, or nobody knows it
	case m.Summary != nil:
		return slices.Contains(p.Relays, p.Self) && x.view.Take(now, from, *m.Summary)
	case m.Part != nil && relay && sane(m.Part):
		was := x.parts[from]
		if m.Session < was.session || m.Session == was.session && m.Seq <= was.seq {
			return false
		}
		if x.parts == nil {
			x.parts = map[string]part{}
		}
		x.parts[from] = part{*m.Part, m.Session, m.Seq, now}
		return true
	case m.All != nil && from == x.relay(p) && sane(m.All):
		if m.Session == x.all.session && m.Seq <= x.all.seq {
			return false
		}
		x.all, x.told = part{*m.All, m.Session, m.Seq, now}, now
		return true
	}
	return false
}

// sane bounds what a relay may say.
func sane(s *shed.Sums) bool {
	for _, w := range s.Said {
		if w.Ago < 0 || len(w.Box) > nameMost {
			return false
		}
	}
	return len(s.Classes) <= ClassesMost && len(s.Said) <= probes.SaidMost && s.Shed >= 0 && s.Shed <= ClassesMost && len(s.Tenants) <= 4*TenantsMost && s.Boxes >= 0 && s.Boxes <= BoxesMost &&
		possible(Summary{Capacity: s.Capacity, Running: s.Free, Level: s.Level, First: s.First, Further: s.Further, Classes: s.Classes})
}

// leads tells whether this box's level is the fleet's: of the boxes that sum up and are heard it is the first by name.
func (x *Exchange) leads(now time.Duration, p Place) bool {
	if !slices.Contains(p.Relays, p.Self) {
		return false
	}
	for r, q := range x.parts {
		if r < p.Self && now-q.at <= fresh {
			return false
		}
	}
	return true
}

// Sums are those of the whole fleet as this box has them now.
func (x *Exchange) Sums(now time.Duration, p Place) shed.Sums {
	s := x.all.sums
	s.Known = p.Known
	if x.all.at == 0 && x.all.seq == 0 {
		return shed.Sums{Known: p.Known}
	}
	s.Lead = x.leads(now, p)
	s.Age = now - x.all.at
	s.Said = slices.Clone(s.Said)
	for i := range s.Said {
		s.Said[i].Ago += s.Age
	}
	if !x.own.Full {
		s.Free = max(0, s.Free-max(0, x.own.Capacity-x.own.Running)) // what this box has free is not elsewhere
	}
	return s
}
