package view

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
)

// ExchangeInterval is the interval at which a box sends its summary to one relay, which answers with the sums of the whole fleet.
//
// Boxes do not all send to each other. The voters act as relays, so no separate list of relays is needed. Each box sends its summary to one
// relay; each relay adds up its boxes, sends this part to the other relays, and sends its boxes the sum of all parts. A box sends and receives
// four messages a second whatever the size of the fleet; one of r relays for n boxes sends 8n/r and 8r.
const ExchangeInterval = 250 * time.Millisecond

// Message is a load message between boxes. One of Summary, Part and All is set.
type Message struct {
	Summary *Summary   `cbor:"1,keyasint,omitempty"` // of the sender, for its relay
	Part    *shed.Sums `cbor:"2,keyasint,omitempty"` // of the boxes that the sender relays for, for other relays
	All     *shed.Sums `cbor:"3,keyasint,omitempty"` // of the fleet, for boxes that the sender relays for
	Seq     uint64     `cbor:"4,keyasint,omitempty"` // of Part and All, increases within the sender's incarnation
	Session uint64     `cbor:"5,keyasint,omitempty"`
}

// OutgoingMessage is a message and its recipient.
type OutgoingMessage struct {
	To string
	Message
}

// Membership is a box's view of its fleet's membership at one time.
type Membership struct {
	Self    string
	Session uint64   // this box's incarnation; 0: it has none and sends nothing
	Relays  []string // the voters
	Known   int      // number of boxes in the fleet
	Member  func(box string) bool
}

type relayPart struct {
	sums         shed.Sums
	session, seq uint64
	at           time.Duration
}

// Exchange is one box's part in the exchange. It does no I/O, and its clock is the box's own. The zero value is ready to use; it is not safe
// for concurrent use.
type Exchange struct {
	view          View                 // of the boxes for which this one is the relay
	parts         map[string]relayPart // of all relays, this box's own part included
	all           relayPart            // received from the box's relay, or added up by this box as a relay
	relayHeard    time.Duration        // last message of the relay, or the time from which one is expected
	relaysSkipped int                  // number of silent relays that were skipped
	seq           uint64
	own           Summary
	level         int // level of this box, which it publishes in its part
}

// relay returns the relay of this box, chosen by a hash of its name. The box moves to the next relay when the current one has sent nothing
// for as long as sums have full weight.
func (x *Exchange) relay(p Membership) string {
	if len(p.Relays) == 0 {
		return ""
	}
	if slices.Contains(p.Relays, p.Self) {
		return p.Self
	}
	h := fnv.New32a()
	h.Write([]byte(p.Self))
	relays := slices.Sorted(slices.Values(p.Relays))
	return relays[(int(h.Sum32()&0xffff)+x.relaysSkipped)%len(relays)]
}

// Tick must be called once per ExchangeInterval with this box's summary. It returns the messages to be sent.
func (x *Exchange) Tick(now time.Duration, p Membership, own Summary) (list []OutgoingMessage) {
	if p.Session == 0 {
		return nil
	}
	x.seq++
	own.Session, own.Seq = p.Session, x.seq
	x.own = own
	to := x.relay(p)
	if to != p.Self {
		if x.relayHeard == 0 {
			x.relayHeard = now
		}
		if now-x.relayHeard > freshAge {
			x.relaysSkipped++
			x.relayHeard = now
			to = x.relay(p)
		}
		if to != "" {
			list = append(list, OutgoingMessage{to, Message{Summary: &own}})
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
		x.parts = map[string]relayPart{}
	}
	mine.LeaderLevel = x.level
	x.parts[p.Self] = relayPart{mine, p.Session, x.seq, now}
	all := x.addParts(now, p)
	x.all = relayPart{all, p.Session, x.seq, now}
	for _, r := range p.Relays {
		if r != p.Self {
			list = append(list, OutgoingMessage{r, Message{Part: &mine, Session: p.Session, Seq: x.seq}})
		}
	}
	for _, box := range slices.Sorted(maps.Keys(x.view.boxes)) {
		if h := x.view.boxes[box]; box != p.Self && now-h.at <= freshAge && !slices.Contains(p.Relays, box) {
			list = append(list, OutgoingMessage{box, Message{All: &all, Session: p.Session, Seq: x.seq}})
		}
	}
	return list
}

// addParts adds up the parts of the relays that have weight now.
func (x *Exchange) addParts(now time.Duration, p Membership) shed.Sums {
	out := shed.Sums{Known: p.Known, Tenants: map[string]float64{}}
	hasLeader := false
	for _, r := range slices.Sorted(maps.Keys(x.parts)) {
		q := x.parts[r]
		if now-q.at > maxAge || !slices.Contains(p.Relays, r) {
			delete(x.parts, r)
			continue
		}
		weight := min(1, max(0, 1-float64(now-q.at-freshAge)/float64(maxAge-freshAge)))
		if !hasLeader && now-q.at <= freshAge { // the first by name with a current part
			out.LeaderLevel, hasLeader = q.sums.LeaderLevel, true
		}
		if now-q.at <= freshAge {
			out.Boxes += q.sums.Boxes
		}
		for _, s := range q.sums.Reports {
			out.Reports = append(out.Reports, withAge(s, now-q.at))
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
			if _, known := out.Tenants[name]; known || len(out.Tenants) < 4*MaxTenants {
				out.Tenants[name] += weight * o
			}
		}
	}
	out.Level /= max(out.Capacity, 1e-9)
	out.Boxes, out.Reports = min(out.Boxes, max(p.Known, 0)), probes.NewestReports(out.Reports)
	return out
}

// Take handles another box's message. It returns false for a rejected one.
func (x *Exchange) Take(now time.Duration, from string, m Message, p Membership) bool {
	relay := slices.Contains(p.Relays, from)
	switch {
	case p.Member != nil && !p.Member(from):
		return false // the sender is shut out or not a member
	case m.Summary != nil:
		return slices.Contains(p.Relays, p.Self) && x.view.Take(now, from, *m.Summary)
	case m.Part != nil && relay && validSums(m.Part):
		was := x.parts[from]
		if m.Session < was.session || m.Session == was.session && m.Seq <= was.seq {
			return false
		}
		if x.parts == nil {
			x.parts = map[string]relayPart{}
		}
		x.parts[from] = relayPart{*m.Part, m.Session, m.Seq, now}
		return true
	case m.All != nil && from == x.relay(p) && validSums(m.All):
		if m.Session == x.all.session && m.Seq <= x.all.seq {
			return false
		}
		x.all, x.relayHeard = relayPart{*m.All, m.Session, m.Seq, now}, now
		return true
	}
	return false
}

// validSums reports whether a relay's sums are within the limits.
func validSums(s *shed.Sums) bool {
	for _, w := range s.Reports {
		if w.Ago < 0 || len(w.Box) > maxNameBytes {
			return false
		}
	}
	return len(s.Classes) <= MaxClasses && len(s.Reports) <= probes.MaxReports && s.LeaderLevel >= 0 && s.LeaderLevel <= MaxClasses && len(s.Tenants) <= 4*MaxTenants && s.Boxes >= 0 && s.Boxes <= MaxBoxes &&
		validSummary(Summary{Capacity: s.Capacity, Running: s.Free, Level: s.Level, First: s.First, Further: s.Further, Classes: s.Classes})
}

// isLeader reports whether this box's level is the fleet's: it is the first by name of the relays with a current part.
func (x *Exchange) isLeader(now time.Duration, p Membership) bool {
	if !slices.Contains(p.Relays, p.Self) {
		return false
	}
	for r, q := range x.parts {
		if r < p.Self && now-q.at <= freshAge {
			return false
		}
	}
	return true
}

// Sums returns the sums of the whole fleet, as this box knows them.
func (x *Exchange) Sums(now time.Duration, p Membership) shed.Sums {
	s := x.all.sums
	s.Known = p.Known
	if x.all.at == 0 && x.all.seq == 0 {
		return shed.Sums{Known: p.Known}
	}
	s.IsLeader = x.isLeader(now, p)
	s.Age = now - x.all.at
	s.Reports = slices.Clone(s.Reports)
	for i := range s.Reports {
		s.Reports[i].Ago += s.Age
	}
	if !x.own.Full {
		s.Free = max(0, s.Free-max(0, x.own.Capacity-x.own.Running)) // this box's own free capacity is not elsewhere
	}
	return s
}
