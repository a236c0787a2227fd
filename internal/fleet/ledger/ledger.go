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

// Kind is the type of a message.
type Kind uint8

// Message kinds.
const (
	Raft    Kind = iota + 1 // Raft message between voters and learners
	Follow                  // reports the sender's position and requests the entries after it
	Records                 // entries or a snapshot in response to Follow
	Propose                 // commands for the leader; forwarded by other boxes
)

// Message is a message between the ledgers of two boxes.
type Message struct {
	Kind  Kind   `cbor:"1,keyasint"`
	Fleet uint64 `cbor:"2,keyasint,omitempty"`
	Era   uint64 `cbor:"3,keyasint,omitempty"`
	Raft  []byte `cbor:"4,keyasint,omitempty"`
	// Fields of Follow.
	ID       uint64 `cbor:"5,keyasint,omitempty"` // identity under which the sender would become a voter
	Index    uint64 `cbor:"6,keyasint,omitempty"` // last entry that the sender has applied
	DigestAt uint64 `cbor:"7,keyasint,omitempty"`
	Digest   uint64 `cbor:"8,keyasint,omitempty"`
	// Fields of Records.
	Records  []Record `cbor:"9,keyasint,omitempty"`
	Snapshot []byte   `cbor:"10,keyasint,omitempty"` // encoded State, if the entries are no longer available
	Leader   string   `cbor:"11,keyasint,omitempty"`
	Agrees   bool     `cbor:"12,keyasint,omitempty"` // the sender is in contact with a leader that has a quorum
	Differs  bool     `cbor:"13,keyasint,omitempty"` // the digest in the Follow differs from the sender's
	// Fields of Propose.
	Commands []lease.Command `cbor:"14,keyasint,omitempty"`
	Want     []string        `cbor:"15,keyasint,omitempty"`
	Hops     int             `cbor:"16,keyasint,omitempty"`
}

// Envelope is a message and its destination.
type Envelope struct {
	To string
	Message
}

// Applied holds the commands of an applied entry and their results.
type Applied struct {
	Index    uint64
	Commands []lease.Command
	Results  []error
}

const (
	digestInterval = 64   // number of entries between two digests
	saveInterval   = 4096 // number of entries after which a follower saves the state
	maxDigests     = 32
	maxRecordBytes = 128 << 10 // maximum size in bytes of the entries of one message
	maxQueued      = 4096      // maximum number of commands that wait for the leader's next entry
	maxHops        = 2         // maximum number of times a Propose is forwarded
	followPolls    = 3         // number of poll intervals for which new entries are sent to a box after its Follow
)

// Config holds the parameters of a Ledger.
type Config struct {
	Name   string
	Seeds  []string // boxes to contact while no fleet is known
	Timing Timing
	Rand   *rand.Rand
	Disk   Disk
	Logf   func(format string, args ...any) // logs a message for operators; may be nil
}

// Ledger is the replica of the ledger on one box. Times are those of the box's own clock. It is not safe for concurrent use.
type Ledger struct {
	cfg       Config
	id        uint64
	state     *State
	core      *core // nil if the box is only a follower
	wasMember bool  // this identity has been a voter or learner
	diskErr   error // disk error; nothing is sent or applied until Reopen

	namesByID       map[uint64]string      // box names by identity, from received messages
	identities      map[string]identity    // identities reported by the boxes
	queued          []lease.Command        // commands for the leader's next entry
	queuedSet       map[lease.Command]bool // the commands in queued
	queuedSince     time.Duration          // when the first command was added to queued, or the last entry was proposed
	digests         map[uint64]uint64      // state digests by index
	lastDigestIndex uint64                 // highest index in digests
	alarm           error

	followers    map[string]follower // boxes to which new entries are sent
	source       string              // box to which this one sends Follow
	laterEraBox  string              // box that knows of a later era
	lastResponse time.Duration       // time of the last response of the source
	sourceAgrees bool                // as reported by the source
	sourceLeader string              // as reported by the source
	nextPoll     time.Duration       // time of the next Follow
	nextReview   time.Duration       // time of the next check of the voters
	outbox       []Envelope
	applied      []Applied
	stateChanged bool // whether the state has changed since the last TakeOutput
}

// identity is the voting identity reported by a box. It is used only if the box has reported the same one for a while and
// recently, because a message with a former identity may be delayed.
type identity struct {
	id          uint64
	since, last time.Duration
}

// identityPolls is the number of poll intervals after which an identity expires that is not reported again. An identity is
// used once it has been reported for half of that time.
const identityPolls = 2

// follower is a box to which new entries are sent.
type follower struct {
	index uint64
	until time.Duration
}

// Errors of a Ledger.
var (
	ErrNoFleet      = errors.New("this box is not part of a fleet yet; start one with 'cairnctl fleet init' on one box, or connect this box to a box of a fleet")
	ErrFleetExists  = errors.New("this box is already part of a fleet")
	ErrFailed       = errors.New("ledger disk failure")
	errStateDiffers = errors.New("the state of this box differs from the leader's; the box does not act for the fleet until it is started with an empty folder")
)

// Open returns a Ledger with the state stored on the disk.
func Open(now time.Duration, cfg Config) (*Ledger, error) {
	if cfg.Logf == nil {
		cfg.Logf = func(string, ...any) {}
	}
	l := &Ledger{cfg: cfg, namesByID: map[uint64]string{}, identities: map[string]identity{}, followers: map[string]follower{}}
	return l, l.load(now)
}

// load resets the ledger to the state stored on the disk.
func (l *Ledger) load(now time.Duration) error {
	saved, err := l.cfg.Disk.Load()
	if err != nil {
		return err
	}
	l.core, l.diskErr, l.digests, l.lastDigestIndex, l.queued = nil, nil, map[uint64]uint64{}, 0, nil
	l.state = &State{Version: 1, Table: lease.NewTable(lease.Terms{Term: lease.MaxTerm}), Voters: map[string]voters.Voter{}}
	if data := saved.Snapshot.GetData(); len(data) > 0 {
		if l.state, err = Decode(data); err != nil {
			return err
		}
	}
	if l.id = saved.ID; l.id == 0 { // new disk, or a copy of another one
		l.id = l.randomID()
		if err := l.saveState(); err != nil {
			return err
		}
		saved = StoredData{ID: l.id}
	}
	l.stateChanged = true
	if l.wasMember = saved.Hard != nil || len(saved.Entries) > 0; l.wasMember {
		return l.startRaft(now, saved)
	}
	return nil
}

// randomID returns a random identity, which is never 0.
func (l *Ledger) randomID() uint64 { return l.cfg.Rand.Uint64()>>1 | 1 }

// startRaft starts Raft on this box.
func (l *Ledger) startRaft(now time.Duration, s StoredData) (err error) {
	l.core, err = newCore(now, s, l.cfg.Disk, l.cfg.Timing, l.cfg.Rand)
	return err
}

// Reopen reloads the state from the disk after a failure.
func (l *Ledger) Reopen(now time.Duration) error { return l.load(now) }

// Failed returns the error of the disk, if it has failed. The ledger then sends and applies nothing until Reopen.
func (l *Ledger) Failed() error { return l.diskErr }

// State returns the replicated state as far as this box has applied it. It belongs to the Ledger, which modifies it.
func (l *Ledger) State() *State { return l.state }

// ID returns this box's voting identity.
func (l *Ledger) ID() uint64 { return l.id }

// Alarm returns the reason for which this box must not act for the fleet, or nil.
func (l *Ledger) Alarm() error { return l.alarm }

// Leads reports whether this box is the leader and has a quorum.
func (l *Ledger) Leads(now time.Duration) bool {
	return l.core != nil && l.core.isLeader() && l.core.hasQuorum(now)
}

// Leader returns the name of the leader, if known, and whether the fleet can commit entries at present.
func (l *Ledger) Leader(now time.Duration) (name string, agrees bool) {
	if l.core != nil && l.state.Voters[l.cfg.Name].ID == l.id {
		return l.nameOf(l.core.leaderID()), l.core.hasLiveLeader(now)
	}
	return l.sourceLeader, l.sourceAgrees && now-l.lastResponse < 3*l.cfg.Timing.Poll
}

// Role returns this box's Raft role.
func (l *Ledger) Role() string {
	v, ok := l.state.Voters[l.cfg.Name]
	switch {
	case l.core == nil || !ok || v.ID != l.id:
		return "follower"
	case v.Learner:
		return "learner"
	case l.core.isLeader():
		return "leader"
	}
	return "voter"
}

// nameOf returns the name of the box with an identity, or "".
func (l *Ledger) nameOf(id uint64) string {
	for name, v := range l.state.Voters {
		if v.ID == id {
			return name
		}
	}
	return l.namesByID[id]
}

// startFrom replaces the content of the disk by a new ledger that starts with the given state and has this box as its only voter.
func (l *Ledger) startFrom(now time.Duration, id uint64, s *State) error {
	snap := &raftpb.Snapshot{Data: s.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(s.Index), Term: new(uint64(1)), ConfState: &raftpb.ConfState{Voters: []uint64{id}}}}
	hard := &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(s.Index)}
	if err := l.cfg.Disk.Save(Write{ID: id, Hard: hard, Snapshot: snap}); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if err := l.load(now); err != nil {
		return err
	}
	l.core.electionAt = now
	return nil
}

// Init starts a fleet with this box as its first voter. The boxes in want become voters as they connect.
func (l *Ledger) Init(now time.Duration, terms lease.Terms, want []string) error {
	if l.state.Fleet != 0 {
		return ErrFleetExists
	}
	if err := terms.Validate(); err != nil {
		return err
	}
	if err := checkWant(want); err != nil {
		return err
	}
	id := l.randomID()
	return l.startFrom(now, id, NewState(l.randomID(), terms, want, l.cfg.Name, id))
}

// checkWant returns an error if a list of voters is invalid.
func checkWant(want []string) error {
	if n := len(want); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("number of voters must be 1, 3 or 5, not %d: an even number tolerates no more failures than one less", n)
	}
	for i, name := range want {
		if name == "" || slices.Contains(want[:i], name) {
			return fmt.Errorf("voter %q is named twice or is no name", name)
		}
	}
	return nil
}

// Recover restarts the ledger from this box's state, in a new era, with this box as its only voter. It is for an operator who
// knows that a majority of the voters is permanently lost. If it is not, there are two fleets until they connect; the new era
// takes precedence then.
func (l *Ledger) Recover(now time.Duration) error {
	if l.state.Fleet == 0 {
		return ErrNoFleet
	}
	id := l.randomID()
	return l.startFrom(now, id, l.state.NextEra(l.cfg.Name, id))
}

// SetVoters requests another set of voters.
func (l *Ledger) SetVoters(now time.Duration, want []string) error {
	if err := checkWant(want); err != nil {
		return err
	}
	l.propose(now, Message{Kind: Propose, Want: want})
	return nil
}

// Submit sends commands to the leader. They may be lost; the caller has to repeat them.
func (l *Ledger) Submit(now time.Duration, list []lease.Command) {
	for len(list) > 0 {
		n := min(len(list), MaxCommands)
		l.propose(now, Message{Kind: Propose, Commands: list[:n:n]})
		list = list[n:]
	}
}

// propose queues a Propose if this box leads, and otherwise forwards it towards the leader.
func (l *Ledger) propose(now time.Duration, m Message) {
	if l.core != nil && l.core.isLeader() {
		l.enqueue(now, m)
		return
	}
	to := l.source
	if l.core != nil && l.core.leaderID() != 0 {
		to = l.nameOf(l.core.leaderID())
	}
	if m.Hops < maxHops && to != "" && to != l.cfg.Name {
		m.Hops++
		l.send(to, m)
	}
}

// enqueue adds commands to the leader's next entry. Commands that are already applied are skipped.
func (l *Ledger) enqueue(now time.Duration, m Message) {
	if len(m.Want) > 0 && checkWant(m.Want) == nil {
		l.proposeEntry(Entry{Version: 1, Want: m.Want})
	}
	for _, c := range m.Commands {
		if s := l.state.Table.Sessions[c.Session]; c.Session != 0 && c.Kind != lease.Expire && (s == nil || c.Seq <= s.Seq) {
			continue
		}
		if len(l.queued) < maxQueued && !l.queuedSet[c] {
			if len(l.queued) == 0 {
				l.queuedSince, l.queuedSet = now, map[lease.Command]bool{}
			}
			l.queued, l.queuedSet[c] = append(l.queued, c), true
		}
	}
}

// proposeEntry proposes an entry and reports whether Raft has accepted it.
func (l *Ledger) proposeEntry(e Entry) bool {
	raw, err := encoding.Marshal(e)
	return err == nil && l.core.propose(raw) == nil
}

// flush proposes the queued commands: immediately if no entry is in progress, otherwise when an entry is full or
// Timing.BatchDelay has passed.
func (l *Ledger) flush(now time.Duration) {
	if l.core == nil || !l.core.isLeader() {
		l.queued = nil
		return
	}
	last, _ := l.core.log.LastIndex()
	for len(l.queued) > 0 && (last == l.core.applied || len(l.queued) >= MaxCommands || now >= l.queuedSince+l.cfg.Timing.BatchDelay) {
		n := min(len(l.queued), MaxCommands)
		if !l.proposeEntry(Entry{Version: versionOf(l.queued[:n]), Commands: l.queued[:n]}) {
			l.queued = nil // the senders repeat them
			return
		}
		l.queued, l.queuedSince = slices.Clone(l.queued[n:]), now
		last = 0
	}
}

// send queues a message for sending.
func (l *Ledger) send(to string, m Message) {
	m.Fleet, m.Era = l.state.Fleet, l.state.Era
	l.outbox = append(l.outbox, Envelope{to, m})
}

// Receive handles a message from a box.
func (l *Ledger) Receive(now time.Duration, from string, m Message) {
	if l.diskErr != nil {
		return
	}
	if m.Fleet != 0 && l.state.Fleet != 0 && m.Fleet != l.state.Fleet {
		l.cfg.Logf("ignoring message from %s: it belongs to fleet %x, this box to fleet %x", from, m.Fleet, l.state.Fleet)
		return
	}
	switch m.Kind {
	case Raft:
		if m.Fleet == l.state.Fleet && m.Era == l.state.Era || l.state.Fleet == 0 {
			l.handleRaft(now, from, m.Raft)
		}
	case Follow:
		if m.Era > l.state.Era {
			l.laterEraBox, l.nextPoll = from, now
		}
		l.handleFollow(now, from, m)
	case Records:
		l.handleRecords(now, from, m)
	case Propose:
		if m.Fleet == l.state.Fleet && m.Era == l.state.Era && l.state.Fleet != 0 {
			l.propose(now, m)
		}
	}
	l.process(now)
}

// handleRaft handles a Raft message. On a follower, a message of the leader starts Raft with an empty log.
func (l *Ledger) handleRaft(now time.Duration, from string, raw []byte) {
	m := new(raftpb.Message)
	if proto.Unmarshal(raw, m) != nil || m.GetTo() != l.id {
		return
	}
	if l.core == nil {
		if m.GetType() != raftpb.MsgApp && m.GetType() != raftpb.MsgHeartbeat && m.GetType() != raftpb.MsgSnap {
			return
		}
		if l.startRaft(now, StoredData{ID: l.id}) != nil {
			return
		}
	}
	l.namesByID[m.GetFrom()] = from
	l.core.step(now, m)
}

// handleFollow handles a Follow message.
func (l *Ledger) handleFollow(now time.Duration, from string, m Message) {
	if k := l.identities[from]; m.ID != 0 {
		if k.id != m.ID || now > k.last+identityPolls*l.cfg.Timing.Poll {
			k = identity{id: m.ID, since: now}
		}
		k.last = now
		l.identities[from] = k
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
		return // this box is a follower itself and has no newer entries
	}
	voter := index != 0 && l.state.Voters[from].ID == m.ID // it receives its entries through Raft
	if !voter {
		l.addRecords(&answer, index)
	}
	l.send(from, answer)
	if l.core != nil && !voter {
		l.followers[from] = follower{max(index, l.state.Index), now + followPolls*l.cfg.Timing.Poll}
	}
}

// addRecords adds the entries after an index to a response, or a snapshot if they are not available.
func (l *Ledger) addRecords(m *Message, index uint64) {
	if index >= l.state.Index {
		return
	}
	if l.core != nil && index != 0 {
		if list, ok := l.core.records(index, maxRecordBytes); ok && len(list) > 0 && list[0].Index == index+1 {
			m.Records = list
			return
		}
	}
	m.Snapshot = l.state.Encode()
}

// sendNewEntries sends new entries to the boxes that have sent a Follow recently.
func (l *Ledger) sendNewEntries(now time.Duration) {
	if l.core == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.followers)) {
		f := l.followers[name]
		if now >= f.until {
			delete(l.followers, name)
			continue
		}
		if f.index >= l.state.Index {
			continue
		}
		leader, agrees := l.Leader(now)
		m := Message{Kind: Records, Leader: leader, Agrees: agrees}
		l.addRecords(&m, f.index)
		f.index = l.state.Index
		if n := len(m.Records); n > 0 {
			f.index = m.Records[n-1].Index
		}
		l.followers[name] = f
		l.send(name, m)
	}
}

// handleRecords handles a Records message.
func (l *Ledger) handleRecords(now time.Duration, from string, m Message) {
	if m.Fleet == 0 || m.Era < l.state.Era {
		return
	}
	if m.Differs && from == m.Leader && m.Era == l.state.Era {
		if l.alarm == nil {
			l.cfg.Logf("%v", errStateDiffers)
		}
		l.alarm = errStateDiffers
	}
	if from == l.source {
		l.lastResponse, l.sourceAgrees, l.sourceLeader = now, m.Agrees, m.Leader
	}
	if len(m.Snapshot) > 0 {
		s, err := Decode(m.Snapshot)
		if err != nil {
			l.cfg.Logf("what %s sent: %v", from, err)
			return
		}
		if s.Era != m.Era || s.Fleet != m.Fleet || s.Index <= l.state.Index {
			return
		}
		if l.state.Era == s.Era || l.state.Fleet == 0 && l.core != nil {
			l.install(s)
		} else if err := l.adoptEra(s); err != nil {
			l.failDisk(err)
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
			l.failDisk(err)
			return
		} else if err != nil {
			return // gap: the next response fills it
		}
	}
}

// adoptEra installs the state of a later era and discards the box's identity of the earlier one, whose votes are void.
func (l *Ledger) adoptEra(s *State) error {
	if l.state.Fleet != 0 {
		l.cfg.Logf("switching to era %d of the fleet", s.Era)
		l.id = l.randomID()
	}
	l.core, l.alarm, l.laterEraBox = nil, nil, ""
	l.install(s)
	return l.saveState()
}

// install replaces the state with a newer one.
func (l *Ledger) install(s *State) {
	l.state, l.stateChanged = s, true
	l.applied = append(l.applied, Applied{Index: s.Index})
	l.digests, l.lastDigestIndex = map[uint64]uint64{}, 0
}

// apply applies the next entry to the state.
func (l *Ledger) apply(r Record) error {
	if r.Index <= l.state.Index {
		return nil // already received by another path
	}
	list, why, err := l.state.apply(r)
	if err != nil {
		if errors.Is(err, ErrVersion) && l.alarm == nil {
			l.alarm = err
			l.cfg.Logf("%v", err)
		}
		return err
	}
	l.stateChanged = true
	l.applied = append(l.applied, Applied{r.Index, list, why})
	if r.Index%digestInterval == 0 {
		l.digests[r.Index], l.lastDigestIndex = l.state.Digest(), r.Index
		delete(l.digests, r.Index-digestInterval*maxDigests)
	}
	if l.core == nil && r.Index%saveInterval == 0 {
		return l.saveState()
	}
	return nil
}

// Tick performs the actions that are due and returns the latest time of the next call.
func (l *Ledger) Tick(now time.Duration) time.Duration {
	if l.diskErr != nil {
		return now + l.cfg.Timing.Election
	}
	next := now + l.cfg.Timing.Poll
	if l.core != nil {
		next = min(next, l.core.tick(now))
	}
	if now >= l.nextPoll {
		l.nextPoll = now + l.cfg.Timing.Poll
		l.sendFollow(now)
	}
	if l.core != nil && now >= l.nextReview {
		l.nextReview = now + l.cfg.Timing.Poll/4
		l.reconcile(now)
		next = min(next, l.nextReview)
	}
	l.process(now)
	if len(l.queued) > 0 {
		next = min(next, l.queuedSince+l.cfg.Timing.BatchDelay)
	}
	return min(next, l.nextPoll)
}

// sendFollow sends a Follow to a voter. A voter sends it to the leader, so that digests are compared and identities are known.
func (l *Ledger) sendFollow(now time.Duration) {
	m := Message{Kind: Follow, ID: l.id, Index: l.state.Index, DigestAt: l.lastDigestIndex, Digest: l.digests[l.lastDigestIndex]}
	if l.laterEraBox != "" {
		l.send(l.laterEraBox, m)
		l.laterEraBox = "" // it is set again by the box's next Follow
	}
	if l.core != nil && l.state.Voters[l.cfg.Name].ID == l.id {
		if lead := l.core.leaderID(); lead != 0 && lead != l.id {
			l.source = l.nameOf(lead)
			l.send(l.source, m)
			return
		}
	}
	if now > l.lastResponse+l.cfg.Timing.Poll*3/2 || l.source == "" || l.source == l.cfg.Name || len(l.state.Voters) > 0 && !slices.Contains(l.voterNames(), l.source) {
		l.selectSource()
		l.lastResponse = now
	}
	if l.source != "" {
		l.send(l.source, m)
	}
	if slices.Contains(l.state.Want, l.cfg.Name) && l.sourceLeader != "" && l.sourceLeader != l.source && l.sourceLeader != l.cfg.Name {
		l.send(l.sourceLeader, m) // the leader must know this box's identity
	}
}

// selectSource selects another source at random: one of the voters, or one of the seeds if no fleet is known. Occasionally it selects
// a seed although voters are known, because the seed may know of voters or an era that this box does not. A source that is only
// a follower is replaced at the next poll: two boxes that follow each other receive nothing new.
func (l *Ledger) selectSource() {
	l.sourceAgrees = false
	list := l.voterNames()
	if len(list) == 0 || l.cfg.Rand.IntN(seedChoiceInterval) == 0 {
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

// seedChoiceInterval is the average number of source changes between two that select from the seeds.
const seedChoiceInterval = 4

// voterNames returns the names of the voters.
func (l *Ledger) voterNames() (list []string) {
	for name, v := range l.state.Voters {
		if !v.Learner {
			list = append(list, name)
		}
	}
	return list
}

// reconcile proposes the next change of voters if this box leads.
func (l *Ledger) reconcile(now time.Duration) {
	if !l.Leads(now) {
		return
	}
	known := map[string]uint64{l.cfg.Name: l.id}
	for name, k := range l.identities {
		// A copy of a box's folder that runs beside the box has the same name, but must not replace a voter that is alive.
		if v, ok := l.state.Voters[name]; ok && v.ID != k.id && l.core.heardRecently(now, v.ID) {
			continue
		}
		if now >= k.since+identityPolls*l.cfg.Timing.Poll/2 && now <= k.last+identityPolls*l.cfg.Timing.Poll {
			known[name] = k.id
		}
	}
	s := voters.Situation{Wanted: l.state.Want, Members: l.state.Voters, Replaced: l.state.ReplacedIDs, Reported: known, CaughtUp: l.core.caughtUp, Self: l.cfg.Name}
	if c, ok := s.Next(); ok {
		l.cfg.Logf("changing voters: %s (%x) becomes %v", c.Name, c.ID, c.Role)
		l.core.proposeChange(c)
	}
}

// process processes pending Raft work, applies committed entries and queues the resulting messages.
func (l *Ledger) process(now time.Duration) {
	l.flush(now)
	if l.core != nil {
		err := l.core.processReady(now, func(snap *raftpb.Snapshot) error {
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
			l.failDisk(err)
			return
		}
		for _, m := range l.core.outbox {
			if to := l.nameOf(m.GetTo()); to != "" && to != l.cfg.Name {
				l.send(to, Message{Kind: Raft, Raft: encode(m)})
			}
		}
		l.core.outbox = nil
		l.retire()
	}
	l.sendNewEntries(now)
}

// failDisk records a disk failure. Nothing is sent or applied after it because the content of the disk is unknown.
func (l *Ledger) failDisk(err error) {
	l.diskErr = fmt.Errorf("%w: %w", ErrFailed, err)
	l.outbox, l.core = nil, nil
	l.cfg.Logf("%v", l.diskErr)
}

// retire stops Raft on this box once the ledger shows that the box's identity was replaced or removed. The identity never votes
// again: if the box is to vote later, it does so under a new one.
func (l *Ledger) retire() {
	v, ok := l.state.Voters[l.cfg.Name]
	if ok && v.ID == l.id {
		l.wasMember = true
		return
	}
	if l.state.Fleet == 0 || l.state.Index < l.core.applied {
		return
	}
	// Raft may lag behind the state that this box received as a follower; or the box has just been added and neither the state
	// nor Raft shows it yet.
	if behind := l.core.isMember(l.id); behind && l.state.Index == l.core.applied || !behind && !l.wasMember {
		return
	}
	l.cfg.Logf("this box is no longer a voter")
	l.core, l.wasMember, l.id = nil, false, l.randomID()
	if err := l.saveState(); err != nil {
		l.failDisk(err)
	}
}

// saveState saves the state of a follower under its present identity.
func (l *Ledger) saveState() error {
	snap := &raftpb.Snapshot{Data: l.state.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(0)), Term: new(uint64(0)), ConfState: new(raftpb.ConfState)}}
	if err := l.cfg.Disk.Save(Write{ID: l.id, Snapshot: snap}); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return nil
}

// TakeOutput returns the messages to send, the entries applied since the last call, and whether the state has changed since then.
func (l *Ledger) TakeOutput() (out []Envelope, applied []Applied, changed bool) {
	out, applied, changed = l.outbox, l.applied, l.stateChanged
	l.outbox, l.applied, l.stateChanged = nil, nil, false
	return out, applied, changed
}
