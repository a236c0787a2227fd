package ledger

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/voters"
)

// Kind is what a message is.
type Kind uint8

// The messages.
const (
	Raft    Kind = iota + 1 // of the agreement, between voters
	Follow                  // a box tells how far it is and asks for what comes next
	Records                 // what comes next
	Propose                 // commands for the leader, over any voter
)

// Message is what ledgers say to each other.
type Message struct {
	Kind  Kind   `cbor:"1,keyasint"`
	Fleet uint64 `cbor:"2,keyasint,omitempty"`
	Era   uint64 `cbor:"3,keyasint,omitempty"`
	Raft  []byte `cbor:"4,keyasint,omitempty"`
	// Of Follow.
	ID       uint64 `cbor:"5,keyasint,omitempty"` // the sender's identity, should it become a voter
	Index    uint64 `cbor:"6,keyasint,omitempty"` // of the last entry that the sender has applied
	DigestAt uint64 `cbor:"7,keyasint,omitempty"`
	Digest   uint64 `cbor:"8,keyasint,omitempty"`
	// Of Records.
	Records  []Record `cbor:"9,keyasint,omitempty"`
	Snapshot []byte   `cbor:"10,keyasint,omitempty"` // a State, where the entries are not kept any more
	Leader   string   `cbor:"11,keyasint,omitempty"`
	Agrees   bool     `cbor:"12,keyasint,omitempty"` // the sender hears a leader that hears a majority
	Differs  bool     `cbor:"13,keyasint,omitempty"` // the digest is another one than the sender's
	// Of Propose.
	Commands []lease.Command `cbor:"14,keyasint,omitempty"`
	Want     []string        `cbor:"15,keyasint,omitempty"`
	Hops     int             `cbor:"16,keyasint,omitempty"`
}

// Envelope is a message for a box.
type Envelope struct {
	To string
	Message
}

// Applied is an entry's commands and what came of them.
type Applied struct {
	Index    uint64
	Commands []lease.Command
	Why      []error
}

const (
	digestEach  = 64   // entries between two digests
	keepEach    = 4096 // entries between two times at which a box that only follows keeps the state
	digestsKept = 32
	recordsMost = 128 << 10 // bytes of entries in one message
	gatherMost  = 4096      // commands that wait for the leader's next entry
	hopsMost    = 2
	followFor   = 3 // polls for which a box that has asked is told of new entries
)

// Config is what a ledger is made with.
type Config struct {
	Name   string
	Seeds  []string // boxes to ask for a fleet, as long as none is known
	Timing Timing
	Rand   *rand.Rand
	Disk   Disk
	Told   func(format string, args ...any) // takes what an operator should read; may be nil
}

// Ledger is one box's part. It is not safe for use by several goroutines; time is the box's own.
type Ledger struct {
	cfg   Config
	id    uint64
	state *State
	core  *core // nil in a box that only follows
	seat  bool  // this identity had a part in the votes
	fail  error // the disk failed: nothing is said or applied until Reopen

	names    map[uint64]string   // of identities, from whom their messages came
	known    map[string]identity // that each box says it has
	gather   []lease.Command
	waiting  map[lease.Command]bool // what is in gather
	gathered time.Duration
	digests  map[uint64]uint64
	newest   uint64 // of digests
	alarm    error

	asks     map[string]follower // who asks this one
	source   string              // whom this one asks
	ahead    string              // a box that knows of a later era
	answered time.Duration
	agrees   bool // as the source says
	leader   string
	poll     time.Duration
	review   time.Duration // when to look at the voters next
	out      []Envelope
	applied  []Applied
	moved    bool // the state has changed since Take
}

// identity is what a box says that it is in the votes. It is believed once the box has said the same for a while, and lately:
// a word of what it was before may come late.
type identity struct {
	id          uint64
	since, last time.Duration
}

// steady is for how many polls.
const steady = 2

type follower struct {
	index uint64
	until time.Duration
}

// Errors of a ledger.
var (
	ErrNoFleet = errors.New("this box knows of no fleet yet; begin one with 'cairnctl fleet init' on one box, or let it reach one that has")
	ErrThere   = errors.New("this box has a fleet already")
	ErrFailed  = errors.New("the ledger's disk failed")
	errDiffers = errors.New("this box's state differs from the leader's; it acts for the fleet no more until it is started with an empty folder")
)

// Open takes up what the disk holds.
func Open(now time.Duration, cfg Config) (*Ledger, error) {
	if cfg.Told == nil {
		cfg.Told = func(string, ...any) {}
	}
	l := &Ledger{cfg: cfg, names: map[uint64]string{}, known: map[string]identity{}, asks: map[string]follower{}}
	return l, l.load(now)
}

func (l *Ledger) load(now time.Duration) error {
	saved, err := l.cfg.Disk.Load()
	if err != nil {
		return err
	}
	l.core, l.fail, l.digests, l.newest, l.gather = nil, nil, map[uint64]uint64{}, 0, nil
	l.state = &State{Version: 1, Table: lease.NewTable(lease.Terms{Term: lease.MaxTerm}), Voters: map[string]voters.Voter{}}
	if data := saved.Snapshot.GetData(); len(data) > 0 {
		if l.state, err = Decode(data); err != nil {
			return err
		}
	}
	if l.id = saved.ID; l.id == 0 { // a new disk, or a copy of another one
		l.id = l.draw()
		if err := l.keep(); err != nil {
			return err
		}
		saved = Saved{ID: l.id}
	}
	l.moved = true
	if l.seat = saved.Hard != nil || len(saved.Entries) > 0; l.seat {
		return l.join(now, saved)
	}
	return nil
}

// draw returns a new identity, which is never 0.
func (l *Ledger) draw() uint64 { return l.cfg.Rand.Uint64()>>1 | 1 }

// join has this box take part in the agreement.
func (l *Ledger) join(now time.Duration, s Saved) (err error) {
	l.core, err = newCore(now, s, l.cfg.Disk, l.cfg.Timing, l.cfg.Rand)
	return err
}

// Reopen starts anew from the disk after a failure.
func (l *Ledger) Reopen(now time.Duration) error { return l.load(now) }

// Failed is not nil when the disk has failed. The ledger then says and does nothing until Reopen.
func (l *Ledger) Failed() error { return l.fail }

// State is what is agreed on, as far as this box knows. It is the ledger's and changes with it.
func (l *Ledger) State() *State { return l.state }

// ID is this box's identity in the votes.
func (l *Ledger) ID() uint64 { return l.id }

// Alarm is not nil when this box must not act for the fleet.
func (l *Ledger) Alarm() error { return l.alarm }

// Leads tells whether this box is the leader and hears a majority.
func (l *Ledger) Leads(now time.Duration) bool {
	return l.core != nil && l.core.leads() && l.core.quorum(now)
}

// Leader names the leader as far as it is known, and tells whether the fleet can agree on something now.
func (l *Ledger) Leader(now time.Duration) (name string, agrees bool) {
	if l.core != nil && l.state.Voters[l.cfg.Name].ID == l.id {
		return l.nameOf(l.core.lead()), l.core.content(now)
	}
	return l.leader, l.agrees && now-l.answered < 3*l.cfg.Timing.Poll
}

// Role is this box's in the agreement.
func (l *Ledger) Role() string {
	v, ok := l.state.Voters[l.cfg.Name]
	switch {
	case l.core == nil || !ok || v.ID != l.id:
		return "follower"
	case v.Learner:
		return "learner"
	case l.core.leads():
		return "leader"
	}
	return "voter"
}

func (l *Ledger) nameOf(id uint64) string {
	for name, v := range l.state.Voters {
		if v.ID == id {
			return name
		}
	}
	return l.names[id]
}

// begin replaces all that this box has by a ledger of its own that begins with a state.
func (l *Ledger) begin(now time.Duration, id uint64, s *State) error {
	snap := &raftpb.Snapshot{Data: s.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(s.Index), Term: new(uint64(1)), ConfState: &raftpb.ConfState{Voters: []uint64{id}}}}
	hard := &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(s.Index)}
	if err := l.cfg.Disk.Save(Write{ID: id, Hard: hard, Snapshot: snap}); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if err := l.load(now); err != nil {
		return err
	}
	l.core.campaign = now
	return nil
}

// Init begins a fleet of which this box is the first. Those that are wanted as voters are taken in as they come.
func (l *Ledger) Init(now time.Duration, terms lease.Terms, want []string) error {
	if l.state.Fleet != 0 {
		return ErrThere
	}
	if err := terms.Check(); err != nil {
		return err
	}
	if err := checkWant(want); err != nil {
		return err
	}
	id := l.draw()
	return l.begin(now, id, Begin(l.draw(), terms, want, l.cfg.Name, id))
}

// checkWant tells what is wrong with a list of voters.
func checkWant(want []string) error {
	if n := len(want); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("%d voters are named; 1, 3 or 5 can agree best: an even number bears no more failures than one less", n)
	}
	for i, name := range want {
		if name == "" || slices.Contains(want[:i], name) {
			return fmt.Errorf("voter %q is named twice or is no name", name)
		}
	}
	return nil
}

// Recover begins the ledger anew from what this box knows, in a new era, with this box as its only voter. It is for an
// operator who knows that a majority is lost for good: if it is not, there are two fleets until they meet, and then the new
// one is what counts.
func (l *Ledger) Recover(now time.Duration) error {
	if l.state.Fleet == 0 {
		return ErrNoFleet
	}
	id := l.draw()
	return l.begin(now, id, l.state.Anew(l.cfg.Name, id))
}

// Want asks for other voters.
func (l *Ledger) Want(now time.Duration, want []string) error {
	if err := checkWant(want); err != nil {
		return err
	}
	l.propose(now, Message{Kind: Propose, Want: want})
	return nil
}

// Ask sends commands to the leader. They may be lost; whoever made them sends them again.
func (l *Ledger) Ask(now time.Duration, list []lease.Command) {
	for len(list) > 0 {
		n := min(len(list), CommandsMost)
		l.propose(now, Message{Kind: Propose, Commands: list[:n:n]})
		list = list[n:]
	}
}

func (l *Ledger) propose(now time.Duration, m Message) {
	if l.core != nil && l.core.leads() {
		l.take(now, m)
		return
	}
	to := l.source
	if l.core != nil && l.core.lead() != 0 {
		to = l.nameOf(l.core.lead())
	}
	if m.Hops < hopsMost && to != "" && to != l.cfg.Name {
		m.Hops++
		l.say(to, m)
	}
}

// take has the leader gather commands for its next entry. Those that were applied already are left out.
func (l *Ledger) take(now time.Duration, m Message) {
	if len(m.Want) > 0 && checkWant(m.Want) == nil {
		l.enter(Entry{Version: 1, Want: m.Want})
	}
	for _, c := range m.Commands {
		if s := l.state.Table.Sessions[c.Session]; c.Session != 0 && c.Kind != lease.Expire && (s == nil || c.Seq <= s.Seq) {
			continue
		}
		if len(l.gather) < gatherMost && !l.waiting[c] {
			if len(l.gather) == 0 {
				l.gathered, l.waiting = now, map[lease.Command]bool{}
			}
			l.gather, l.waiting[c] = append(l.gather, c), true
		}
	}
}

func (l *Ledger) enter(e Entry) bool {
	raw, err := encoding.Marshal(e)
	return err == nil && l.core.propose(raw) == nil
}

// flush makes entries of what was gathered: at once when none is under way, else when enough has come or time has passed.
func (l *Ledger) flush(now time.Duration) {
	if l.core == nil || !l.core.leads() {
		l.gather = nil
		return
	}
	last, _ := l.core.log.LastIndex()
	for len(l.gather) > 0 && (last == l.core.applied || len(l.gather) >= CommandsMost || now >= l.gathered+l.cfg.Timing.Gather) {
		n := min(len(l.gather), CommandsMost)
		if !l.enter(Entry{Version: versionOf(l.gather[:n]), Commands: l.gather[:n]}) {
			l.gather = nil // whoever made them sends them again
			return
		}
		l.gather, l.gathered = slices.Clone(l.gather[n:]), now
		last = 0
	}
}

func (l *Ledger) say(to string, m Message) {
	m.Fleet, m.Era = l.state.Fleet, l.state.Era
	l.out = append(l.out, Envelope{to, m})
}

// Receive takes a message from a box.
func (l *Ledger) Receive(now time.Duration, from string, m Message) {
	if l.fail != nil {
		return
	}
	if m.Fleet != 0 && l.state.Fleet != 0 && m.Fleet != l.state.Fleet {
		l.cfg.Told("%s is of another fleet (%x, this one is %x); what it says is left out", from, m.Fleet, l.state.Fleet)
		return
	}
	switch m.Kind {
	case Raft:
		if m.Fleet == l.state.Fleet && m.Era == l.state.Era || l.state.Fleet == 0 {
			l.raft(now, from, m.Raft)
		}
	case Follow:
		if m.Era > l.state.Era {
			l.ahead, l.poll = from, now
		}
		l.follow(now, from, m)
	case Records:
		l.records(now, from, m)
	case Propose:
		if m.Fleet == l.state.Fleet && m.Era == l.state.Era && l.state.Fleet != 0 {
			l.propose(now, m)
		}
	}
	l.turn(now)
}

// raft takes a message of the agreement. A box that was no voter becomes one by it, with nothing in its log.
func (l *Ledger) raft(now time.Duration, from string, raw []byte) {
	m := new(raftpb.Message)
	if proto.Unmarshal(raw, m) != nil || m.GetTo() != l.id {
		return
	}
	if l.core == nil {
		if m.GetType() != raftpb.MsgApp && m.GetType() != raftpb.MsgHeartbeat && m.GetType() != raftpb.MsgSnap {
			return
		}
		if l.join(now, Saved{ID: l.id}) != nil {
			return
		}
	}
	l.names[m.GetFrom()] = from
	l.core.step(now, m)
}

// follow answers a box that asks.
func (l *Ledger) follow(now time.Duration, from string, m Message) {
	if k := l.known[from]; m.ID != 0 {
		if k.id != m.ID || now > k.last+steady*l.cfg.Timing.Poll {
			k = identity{id: m.ID, since: now}
		}
		k.last = now
		l.known[from] = k
	}
	if l.state.Fleet == 0 {
		return
	}
	index := m.Index
	if m.Era != l.state.Era || m.Fleet == 0 {
		index = 0
	}
	leader, agrees := l.Leader(now)
	answer := Message{Kind: Records, Leader: leader, Agrees: agrees && l.core != nil}
	if d, ok := l.digests[m.DigestAt]; ok && index != 0 && m.DigestAt != 0 {
		answer.Differs = d != m.Digest
	}
	if l.core == nil && index >= l.state.Index {
		return // this one only follows and knows no more
	}
	voter := index != 0 && l.state.Voters[from].ID == m.ID // it gets its entries by the agreement
	if !voter {
		l.fill(&answer, index)
	}
	l.say(from, answer)
	if l.core != nil && !voter {
		l.asks[from] = follower{max(index, l.state.Index), now + followFor*l.cfg.Timing.Poll}
	}
}

// fill puts into an answer what comes after an index.
func (l *Ledger) fill(m *Message, index uint64) {
	if index >= l.state.Index {
		return
	}
	if l.core != nil && index != 0 {
		if list, ok := l.core.records(index, recordsMost); ok && len(list) > 0 && list[0].Index == index+1 {
			m.Records = list
			return
		}
	}
	m.Snapshot = l.state.Encode()
}

// tell sends new entries to those that have asked.
func (l *Ledger) tell(now time.Duration) {
	if l.core == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.asks)) {
		f := l.asks[name]
		if now >= f.until {
			delete(l.asks, name)
			continue
		}
		if f.index >= l.state.Index {
			continue
		}
		leader, agrees := l.Leader(now)
		m := Message{Kind: Records, Leader: leader, Agrees: agrees}
		l.fill(&m, f.index)
		f.index = l.state.Index
		if n := len(m.Records); n > 0 {
			f.index = m.Records[n-1].Index
		}
		l.asks[name] = f
		l.say(name, m)
	}
}

// records takes what a box has answered.
func (l *Ledger) records(now time.Duration, from string, m Message) {
	if m.Fleet == 0 || m.Era < l.state.Era {
		return
	}
	if m.Differs && from == m.Leader && m.Era == l.state.Era {
		if l.alarm == nil {
			l.cfg.Told("%v", errDiffers)
		}
		l.alarm = errDiffers
	}
	if from == l.source {
		l.answered, l.agrees, l.leader = now, m.Agrees, m.Leader
	}
	if len(m.Snapshot) > 0 {
		s, err := Decode(m.Snapshot)
		if err != nil {
			l.cfg.Told("what %s sent: %v", from, err)
			return
		}
		if s.Era != m.Era || s.Fleet != m.Fleet || s.Index <= l.state.Index {
			return
		}
		if l.state.Era == s.Era || l.state.Fleet == 0 && l.core != nil {
			l.install(s)
		} else if err := l.adopt(s); err != nil {
			l.stop(err)
		}
		return
	}
	if m.Era != l.state.Era || m.Fleet != l.state.Fleet {
		return
	}
	for _, r := range m.Records {
		if r.Index <= l.state.Index {
			continue
		}
		if err := l.apply(r); errors.Is(err, ErrFailed) {
			l.stop(err)
			return
		} else if err != nil {
			return // a gap: the next answer closes it
		}
	}
}

// adopt takes up a later era and forgets what this box was in an earlier one: no vote of it counts any more.
func (l *Ledger) adopt(s *State) error {
	if l.state.Fleet != 0 {
		l.cfg.Told("this box goes over to era %d of the fleet", s.Era)
		l.id = l.draw()
	}
	l.core, l.alarm, l.ahead = nil, nil, ""
	l.install(s)
	return l.keep()
}

// install replaces the state by a newer one.
func (l *Ledger) install(s *State) {
	l.state, l.moved = s, true
	l.applied = append(l.applied, Applied{Index: s.Index})
	l.digests, l.newest = map[uint64]uint64{}, 0
}

func (l *Ledger) apply(r Record) error {
	if r.Index <= l.state.Index {
		return nil // it came by another way already
	}
	list, why, err := l.state.apply(r)
	if err != nil {
		if errors.Is(err, ErrVersion) && l.alarm == nil {
			l.alarm = err
			l.cfg.Told("%v", err)
		}
		return err
	}
	l.moved = true
	l.applied = append(l.applied, Applied{r.Index, list, why})
	if r.Index%digestEach == 0 {
		l.digests[r.Index], l.newest = l.state.Digest(), r.Index
		delete(l.digests, r.Index-digestEach*digestsKept)
	}
	if l.core == nil && r.Index%keepEach == 0 {
		return l.keep()
	}
	return nil
}

// Tick does what is due and returns when to call again, at the latest.
func (l *Ledger) Tick(now time.Duration) time.Duration {
	if l.fail != nil {
		return now + l.cfg.Timing.Election
	}
	next := now + l.cfg.Timing.Poll
	if l.core != nil {
		next = min(next, l.core.tick(now))
	}
	if now >= l.poll {
		l.poll = now + l.cfg.Timing.Poll
		l.ask(now)
	}
	if l.core != nil && now >= l.review {
		l.review = now + l.cfg.Timing.Poll/4
		l.reconcile(now)
		next = min(next, l.review)
	}
	l.turn(now)
	if len(l.gather) > 0 {
		next = min(next, l.gathered+l.cfg.Timing.Gather)
	}
	return min(next, l.poll)
}

// ask asks a voter for what comes next; a voter asks the leader, so that digests are compared and identities known.
func (l *Ledger) ask(now time.Duration) {
	m := Message{Kind: Follow, ID: l.id, Index: l.state.Index, DigestAt: l.newest, Digest: l.digests[l.newest]}
	if l.ahead != "" {
		l.say(l.ahead, m)
		l.ahead = "" // it says so again
	}
	if l.core != nil && l.state.Voters[l.cfg.Name].ID == l.id {
		if lead := l.core.lead(); lead != 0 && lead != l.id {
			l.source = l.nameOf(lead)
			l.say(l.source, m)
			return
		}
	}
	if now > l.answered+l.cfg.Timing.Poll*3/2 || l.source == "" || l.source == l.cfg.Name || len(l.state.Voters) > 0 && !slices.Contains(l.voters(), l.source) {
		l.change()
		l.answered = now
	}
	if l.source != "" {
		l.say(l.source, m)
	}
	if slices.Contains(l.state.Want, l.cfg.Name) && l.leader != "" && l.leader != l.source && l.leader != l.cfg.Name {
		l.say(l.leader, m) // it is to know of this box's identity
	}
}

// change goes over to another source: one of the voters, or of all that are named as long as no fleet is known. Now and then it
// is one that is named all the same: it may know of voters, or of an era, that this box has not heard of. A box that only
// follows is none to stay with: two that follow each other learn nothing.
func (l *Ledger) change() {
	l.agrees = false
	list := l.voters()
	if len(list) == 0 || l.cfg.Rand.IntN(strayEach) == 0 {
		list = slices.Clone(l.cfg.Seeds)
	}
	slices.Sort(list)
	list = slices.DeleteFunc(list, func(n string) bool { return n == l.cfg.Name })
	if len(list) == 0 {
		l.source = ""
		return
	}
	l.source = list[l.cfg.Rand.IntN(len(list))]
}

// strayEach is how many changes of source lie between two that ask somebody who does not vote, on average.
const strayEach = 4

// voters are the names of those that vote.
func (l *Ledger) voters() (list []string) {
	for name, v := range l.state.Voters {
		if !v.Learner {
			list = append(list, name)
		}
	}
	return list
}

// reconcile has the leader make the next change of voters.
func (l *Ledger) reconcile(now time.Duration) {
	if !l.Leads(now) {
		return
	}
	known := map[string]uint64{l.cfg.Name: l.id}
	for name, k := range l.known {
		// A copy of a box's folder that is started beside it has the name, and no claim to the vote of a box that is there.
		if v, ok := l.state.Voters[name]; ok && v.ID != k.id && l.core.lately(now, v.ID) {
			continue
		}
		if now >= k.since+steady*l.cfg.Timing.Poll/2 && now <= k.last+steady*l.cfg.Timing.Poll {
			known[name] = k.id
		}
	}
	s := voters.Situation{Want: l.state.Want, Have: l.state.Voters, Old: l.state.Old, Known: known, Caught: l.core.caughtUp, Self: l.cfg.Name}
	if c, ok := s.Next(); ok {
		l.cfg.Told("voters: %s (%x) becomes %v", c.Name, c.ID, c.Role)
		l.core.change(c)
	}
}

// turn carries out what the agreement asks for, and passes on what came of it.
func (l *Ledger) turn(now time.Duration) {
	l.flush(now)
	if l.core != nil {
		err := l.core.ready(now, func(snap *raftpb.Snapshot) error {
			s, err := Decode(snap.GetData())
			if err != nil {
				return err
			}
			if s.Index > l.state.Index || l.state.Fleet == 0 {
				l.install(s)
			}
			return nil
		}, l.apply)
		if err == nil {
			err = l.core.compact(l.state)
		}
		if err != nil {
			l.stop(err)
			return
		}
		for _, m := range l.core.out {
			if to := l.nameOf(m.GetTo()); to != "" && to != l.cfg.Name {
				l.say(to, Message{Kind: Raft, Raft: encode(m)})
			}
		}
		l.core.out = nil
		l.retire()
	}
	l.tell(now)
}

// stop says and does nothing more: what the disk holds is not known.
func (l *Ledger) stop(err error) {
	l.fail = fmt.Errorf("%w: %w", ErrFailed, err)
	l.out, l.core = nil, nil
	l.cfg.Told("%v", l.fail)
}

// retire ends this box's part in the votes once the ledger says that another identity stands in its place, or none. What it
// was never votes again: should it be wanted anew, it comes with an identity of its own.
func (l *Ledger) retire() {
	v, ok := l.state.Voters[l.cfg.Name]
	if ok && v.ID == l.id {
		l.seat = true
		return
	}
	if l.state.Fleet == 0 || l.state.Index < l.core.applied {
		return
	}
	// The agreement may be behind what this box knows by following; or it has just been asked to take part, and neither says so yet.
	if behind := l.core.member(l.id); behind && l.state.Index == l.core.applied || !behind && !l.seat {
		return
	}
	l.cfg.Told("this box votes no more")
	l.core, l.seat, l.id = nil, false, l.draw()
	if err := l.keep(); err != nil {
		l.stop(err)
	}
}

// keep has the disk hold the state of a box that only follows, under its present identity.
func (l *Ledger) keep() error {
	snap := &raftpb.Snapshot{Data: l.state.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(0)), Term: new(uint64(0)), ConfState: new(raftpb.ConfState)}}
	if err := l.cfg.Disk.Save(Write{ID: l.id, Snapshot: snap}); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return nil
}

// Take returns the messages to send and what was applied since the last call, and tells whether the state has changed.
func (l *Ledger) Take() (out []Envelope, applied []Applied, moved bool) {
	out, applied, moved = l.out, l.applied, l.moved
	l.out, l.applied, l.moved = nil, nil, false
	return out, applied, moved
}
