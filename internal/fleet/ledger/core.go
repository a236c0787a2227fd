package ledger

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"cairnlane/internal/decide/voters"
)

// Timing is how fast a ledger's boxes talk.
type Timing struct {
	Beat     time.Duration // between two heartbeats of a leader
	Election time.Duration // a follower that hears no leader for this, and up to twice as long, starts an election
	Poll     time.Duration // between two questions of a box that follows
	Gather   time.Duration // how long a leader waits for more commands while an entry is under way
}

// DefaultTiming suits boxes of one site.
var DefaultTiming = Timing{Beat: 100 * time.Millisecond, Election: time.Second, Poll: time.Second, Gather: 20 * time.Millisecond}

const (
	// never is for how many ticks the library would wait by itself: elections are started here.
	never = 1 << 30
	// keepEntries is how many applied entries are kept for boxes that are a little behind, and compactAfter how many there
	// may be before the rest is folded into a snapshot.
	keepEntries, compactAfter = 512, 2048
	messageMost, flightMost   = 256 << 10, 64
)

// core is one voter's or learner's part in the agreement: the library's pure machine, its log in memory, and the timers that
// the library would draw at random, drawn here from a seeded source.
type core struct {
	id     uint64
	timing Timing
	rand   *rand.Rand
	disk   Disk
	node   *raft.RawNode
	log    *raft.MemoryStorage
	conf   *raftpb.ConfState

	campaign time.Duration // when to start an election, if no leader is heard before
	beat     time.Duration // when the leader ticks next
	leader   time.Duration // when one was heard last
	heard    map[uint64]time.Duration
	stuck    time.Duration // when to doubt next that snapshots have arrived
	stale    bool          // the snapshot is from before a change of voters
	probe    time.Duration // when a leader that hears no majority speaks next
	loud     bool          // it speaks although it hears none
	out      []*raftpb.Message
	applied  uint64
}

// silent is the library's log: what matters of it is told by the ledger.
type silent struct{}

func (silent) Debug(...any)              {}
func (silent) Debugf(string, ...any)     {}
func (silent) Error(...any)              {}
func (silent) Errorf(string, ...any)     {}
func (silent) Info(...any)               {}
func (silent) Infof(string, ...any)      {}
func (silent) Warning(...any)            {}
func (silent) Warningf(string, ...any)   {}
func (silent) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// newCore takes up a part from what the disk holds.
func newCore(now time.Duration, s Saved, disk Disk, t Timing, r *rand.Rand) (*core, error) {
	c := &core{id: s.ID, timing: t, rand: r, disk: disk, log: raft.NewMemoryStorage(), heard: map[uint64]time.Duration{}, conf: new(raftpb.ConfState)}
	if !raft.IsEmptySnap(s.Snapshot) {
		if err := c.log.ApplySnapshot(s.Snapshot); err != nil {
			return nil, err
		}
		c.applied = s.Snapshot.GetMetadata().GetIndex()
		c.conf = s.Snapshot.GetMetadata().GetConfState()
	}
	if s.Hard != nil {
		if err := c.log.SetHardState(s.Hard); err != nil {
			return nil, err
		}
	}
	if err := c.log.Append(s.Entries); err != nil {
		return nil, err
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{ID: s.ID, ElectionTick: never, HeartbeatTick: 1, Storage: c.log, Applied: c.applied, MaxSizePerMsg: messageMost,
		MaxInflightMsgs: flightMost, MaxUncommittedEntriesSize: 4 << 20, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: silent{}})
	if err != nil {
		return nil, err
	}
	c.campaign = now + c.election()
	return c, nil
}

// election is how long to wait for a leader this time.
func (c *core) election() time.Duration {
	return c.timing.Election + time.Duration(c.rand.Int64N(int64(c.timing.Election)))
}

func (c *core) leads() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// lead is the identity of the leader, 0 if none is known.
func (c *core) lead() uint64 { return c.node.BasicStatus().Lead }

func (c *core) votes() bool { return slices.Contains(c.conf.GetVoters(), c.id) }

// member tells whether an identity has a part.
func (c *core) member(id uint64) bool {
	return slices.Contains(c.conf.GetVoters(), id) || slices.Contains(c.conf.GetLearners(), id) || slices.Contains(c.conf.GetVotersOutgoing(), id)
}

// quorum tells whether a leader has heard from a majority within an election's time. One that has not says nothing more, so
// that the others elect another one although they still hear it.
func (c *core) quorum(now time.Duration) bool {
	n := 0
	for _, id := range c.conf.GetVoters() {
		if at, ok := c.heard[id]; id == c.id || ok && now-at < c.timing.Election {
			n++
		}
	}
	return n > len(c.conf.GetVoters())/2
}

// lately tells whether an identity was heard within some elections' time.
func (c *core) lately(now time.Duration, id uint64) bool {
	at, ok := c.heard[id]
	return ok && now-at < 4*c.timing.Election
}

// content tells whether there is a leader that this box has heard lately. It helps nobody to become another one then.
func (c *core) content(now time.Duration) bool {
	if c.leads() {
		return c.quorum(now)
	}
	return c.lead() != 0 && now-c.leader < c.timing.Election
}

// step takes a message. What is wrong with it is not this box's trouble.
func (c *core) step(now time.Duration, m *raftpb.Message) {
	if m.GetTo() != c.id {
		return // it is for what this box was before it lost its disk
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if len(c.conf.GetVoters()) > 0 && !c.member(m.GetFrom()) || c.content(now) {
			return
		}
	case raftpb.MsgProp:
		return
	}
	c.node.Step(m) // an error says that the message is of no use any more
	c.heard[m.GetFrom()] = now
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if c.lead() == m.GetFrom() {
			c.leader, c.campaign = now, now+c.election()
		}
	}
}

// tick does what is due, and returns when something will be.
func (c *core) tick(now time.Duration) time.Duration {
	if c.leads() {
		if now >= c.beat {
			c.beat = now + c.timing.Beat
			if c.quorum(now) {
				c.node.Tick()
			} else if now >= c.probe {
				// It gives way, but must not fall silent: another box may have no right to an election before it hears more.
				c.probe, c.loud = now+probePause*c.timing.Election, true
				c.node.Tick()
			}
			c.unstick(now)
		}
		c.campaign = now + c.election()
		return c.beat
	}
	if now >= c.campaign {
		c.campaign = now + c.election()
		if c.votes() {
			if c.node.Campaign() == nil && c.leads() { // the only voter
				c.beat = now
			}
		}
	}
	return c.campaign
}

// unstick has snapshots sent again that were not taken within an election's time: the library waits for word of them, and
// a link does not say what it has lost.
func (c *core) unstick(now time.Duration) {
	if now < c.stuck {
		return
	}
	c.stuck = now + c.timing.Election
	progress := c.node.Status().Progress
	for _, id := range slices.Sorted(maps.Keys(progress)) {
		if progress[id].State == tracker.StateSnapshot {
			c.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// propose has the leader add an entry.
func (c *core) propose(data []byte) error { return c.node.Propose(data) }

// change has the leader change the voters.
func (c *core) change(ch voters.Change) error {
	kind := map[voters.Role]raftpb.ConfChangeType{voters.Learner: raftpb.ConfChangeAddLearnerNode, voters.Full: raftpb.ConfChangeAddNode, voters.Removed: raftpb.ConfChangeRemoveNode}[ch.Role]
	context, err := encoding.Marshal(ch)
	if err != nil {
		return err
	}
	return c.node.ProposeConfChange(&raftpb.ConfChangeV2{Context: context, Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: &ch.ID}}})
}

// caughtUp tells a leader whether a box has nearly all entries.
func (c *core) caughtUp(id uint64) bool {
	last, _ := c.log.LastIndex()
	p, ok := c.node.Status().Progress[id]
	return ok && p.Match+64 >= last
}

// ready carries out what the library asks for: first to the disk, then to the others. install takes a snapshot and apply each
// entry that is agreed on. After an error the core is of no more use: what is on the disk is not known, and nothing that
// depends on it was sent.
func (c *core) ready(now time.Duration, install func(*raftpb.Snapshot) error, apply func(Record) error) error {
	for c.node.HasReady() {
		led := c.leads()
		rd := c.node.Ready()
		w := Write{Hard: rd.HardState, Entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			w.Snapshot, w.Compact = rd.Snapshot, rd.Snapshot.GetMetadata().GetIndex()
		}
		if w.Hard != nil || w.Snapshot != nil || len(w.Entries) > 0 {
			if err := c.disk.Save(w); err != nil {
				return err
			}
		}
		if w.Snapshot != nil {
			if err := c.log.ApplySnapshot(w.Snapshot); err != nil {
				return err
			}
			c.conf = w.Snapshot.GetMetadata().GetConfState()
			if err := install(w.Snapshot); err != nil {
				return err
			}
			c.applied = w.Compact
		}
		if rd.HardState != nil {
			c.log.SetHardState(rd.HardState)
		}
		if err := c.log.Append(rd.Entries); err != nil {
			return err
		}
		c.send(now, rd.Messages)
		for _, e := range rd.CommittedEntries {
			if e.GetType() == raftpb.EntryConfChangeV2 {
				var cc raftpb.ConfChangeV2
				if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
					return err
				}
				c.conf, c.stale = c.node.ApplyConfChange(&cc), true
			}
			if err := apply(Record{Index: e.GetIndex(), Type: e.GetType(), Data: e.GetData()}); err != nil {
				return err
			}
			c.applied = e.GetIndex()
		}
		c.node.Advance(rd)
		c.loud = c.loud && c.node.HasReady()
		if !led && c.leads() {
			c.beat = now + c.timing.Beat
			for _, id := range c.conf.GetVoters() {
				c.heard[id] = now // they have just voted, or have an election's time to answer
			}
		}
	}
	return nil
}

// send keeps the messages for the others, but for those of a leader that nobody answers.
func (c *core) send(now time.Duration, list []*raftpb.Message) {
	mute := c.leads() && !c.quorum(now) && !c.loud
	for _, m := range list {
		switch m.GetType() {
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			if mute {
				if m.GetType() == raftpb.MsgSnap {
					c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
				}
				continue
			}
		}
		c.out = append(c.out, m)
	}
}

// probePause is how many of an election's times lie between two words of a leader that hears no majority; long enough for
// others to elect another one meanwhile.
const probePause = 4

// compact folds the log into a snapshot of the state, once there is much of it. After a change of voters there is a new
// snapshot at once: a box takes none in which it has no part.
func (c *core) compact(s *State) error {
	first, _ := c.log.FirstIndex()
	long := c.applied >= first+compactAfter
	if s.Index != c.applied || !long && !c.stale {
		return nil
	}
	snap, err := c.log.CreateSnapshot(c.applied, c.conf, s.Encode())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		return err
	}
	w := Write{Snapshot: snap}
	if long {
		w.Compact = c.applied - keepEntries
	}
	if err := c.disk.Save(w); err != nil {
		return err
	}
	c.stale = false
	if !long {
		return nil
	}
	return c.log.Compact(w.Compact)
}

// records returns entries after an index for a box that follows; ok is false when they are not kept any more.
func (c *core) records(after uint64, most int) (list []Record, ok bool) {
	if after >= c.applied {
		return nil, true
	}
	entries, err := c.log.Entries(after+1, c.applied+1, uint64(most))
	if err != nil {
		return nil, false
	}
	for _, e := range entries {
		list = append(list, Record{Index: e.GetIndex(), Type: e.GetType(), Data: e.GetData()})
	}
	return list, true
}
