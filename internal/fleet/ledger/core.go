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

// Timing holds the intervals and time-outs of a ledger.
type Timing struct {
	Heartbeat  time.Duration // interval of a leader's heartbeats
	Election   time.Duration // minimum election time-out; the time-out is drawn at random from once to twice this value
	Poll       time.Duration // interval of Follow messages
	BatchDelay time.Duration // time for which a leader waits for more commands while an entry is in progress
}

// DefaultTiming is suitable for boxes at one site.
var DefaultTiming = Timing{Heartbeat: 100 * time.Millisecond, Election: time.Second, Poll: time.Second, BatchDelay: 20 * time.Millisecond}

const (
	// noElectionTicks is the library's election time-out in ticks. It is never reached because core starts the elections itself.
	noElectionTicks = 1 << 30
	// keepEntries is the number of applied entries kept for boxes that lag a little. compactAfter is the number of entries
	// after which the older ones are compacted into a snapshot.
	keepEntries, compactAfter    = 512, 2048
	maxMessageBytes, maxInflight = 256 << 10, 64
)

// core is the Raft node of a voter or learner: the library's state machine, which does no I/O, its log in memory, and the
// timers. The library would randomize the timers itself; core uses a seeded source instead, so that simulations are reproducible.
type core struct {
	id     uint64
	timing Timing
	rand   *rand.Rand
	disk   Disk
	node   *raft.RawNode
	log    *raft.MemoryStorage
	conf   *raftpb.ConfState

	electionAt        time.Duration            // when to start an election unless a leader is heard before
	nextBeat          time.Duration            // time of the leader's next tick
	leaderHeard       time.Duration            // when a leader was last heard
	lastHeard         map[uint64]time.Duration // when each identity was last heard
	nextSnapshotCheck time.Duration            // time of the next check for snapshots that were not acknowledged
	snapshotStale     bool                     // the snapshot is from before the last change of voters
	nextProbe         time.Duration            // when a leader without a quorum sends its next heartbeat
	probing           bool                     // such a heartbeat is being sent
	outbox            []*raftpb.Message
	applied           uint64
}

// silentLogger is the library's logger. It discards messages because Ledger logs the relevant events; it panics on fatal ones.
type silentLogger struct{}

func (silentLogger) Debug(...any)              {}
func (silentLogger) Debugf(string, ...any)     {}
func (silentLogger) Error(...any)              {}
func (silentLogger) Errorf(string, ...any)     {}
func (silentLogger) Info(...any)               {}
func (silentLogger) Infof(string, ...any)      {}
func (silentLogger) Warning(...any)            {}
func (silentLogger) Warningf(string, ...any)   {}
func (silentLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (silentLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// newCore returns a Raft node with the state stored on the disk.
func newCore(now time.Duration, s StoredData, disk Disk, t Timing, r *rand.Rand) (*core, error) {
	c := &core{id: s.ID, timing: t, rand: r, disk: disk, log: raft.NewMemoryStorage(), lastHeard: map[uint64]time.Duration{}, conf: new(raftpb.ConfState)}
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
	c.node, err = raft.NewRawNode(&raft.Config{ID: s.ID, ElectionTick: noElectionTicks, HeartbeatTick: 1, Storage: c.log, Applied: c.applied, MaxSizePerMsg: maxMessageBytes,
		MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: 4 << 20, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: silentLogger{}})
	if err != nil {
		return nil, err
	}
	c.electionAt = now + c.electionTimeout()
	return c, nil
}

// electionTimeout returns a random election time-out.
func (c *core) electionTimeout() time.Duration {
	return c.timing.Election + time.Duration(c.rand.Int64N(int64(c.timing.Election)))
}

// isLeader reports whether this box is the leader.
func (c *core) isLeader() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// leaderID returns the identity of the leader, 0 if none is known.
func (c *core) leaderID() uint64 { return c.node.BasicStatus().Lead }

// isVoter reports whether this box is a voter.
func (c *core) isVoter() bool { return slices.Contains(c.conf.GetVoters(), c.id) }

// isMember reports whether an identity is a voter or learner.
func (c *core) isMember(id uint64) bool {
	return slices.Contains(c.conf.GetVoters(), id) || slices.Contains(c.conf.GetLearners(), id) || slices.Contains(c.conf.GetVotersOutgoing(), id)
}

// hasQuorum reports whether the leader has heard from a majority within Timing.Election. A leader without a quorum stops
// sending, so that other boxes that can still receive from it elect another leader.
func (c *core) hasQuorum(now time.Duration) bool {
	n := 0
	for _, id := range c.conf.GetVoters() {
		if at, ok := c.lastHeard[id]; id == c.id || ok && now-at < c.timing.Election {
			n++
		}
	}
	return n > len(c.conf.GetVoters())/2
}

// heardRecently reports whether an identity was heard within four times Timing.Election.
func (c *core) heardRecently(now time.Duration, id uint64) bool {
	at, ok := c.lastHeard[id]
	return ok && now-at < 4*c.timing.Election
}

// hasLiveLeader reports whether this box is a leader with a quorum or has heard the leader within Timing.Election. It ignores
// requests for votes then.
func (c *core) hasLiveLeader(now time.Duration) bool {
	if c.isLeader() {
		return c.hasQuorum(now)
	}
	return c.leaderID() != 0 && now-c.leaderHeard < c.timing.Election
}

// step handles a message. Invalid messages are ignored.
func (c *core) step(now time.Duration, m *raftpb.Message) {
	if m.GetTo() != c.id {
		return // addressed to a former identity of this box, from before it lost its disk
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if len(c.conf.GetVoters()) > 0 && !c.isMember(m.GetFrom()) || c.hasLiveLeader(now) {
			return
		}
	case raftpb.MsgProp:
		return
	}
	c.node.Step(m) // an error means that the message is obsolete
	c.lastHeard[m.GetFrom()] = now
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if c.leaderID() == m.GetFrom() {
			c.leaderHeard, c.electionAt = now, now+c.electionTimeout()
		}
	}
}

// tick performs the actions that are due and returns the time of the next one.
func (c *core) tick(now time.Duration) time.Duration {
	if c.isLeader() {
		if now >= c.nextBeat {
			c.nextBeat = now + c.timing.Heartbeat
			if c.hasQuorum(now) {
				c.node.Tick()
			} else if now >= c.nextProbe {
				// A leader without a quorum has to let others be elected, but must still send occasionally: a box may not be
				// entitled to an election before it receives more entries.
				c.nextProbe, c.probing = now+probeInterval*c.timing.Election, true
				c.node.Tick()
			}
			c.retrySnapshots(now)
		}
		c.electionAt = now + c.electionTimeout()
		return c.nextBeat
	}
	if now >= c.electionAt {
		c.electionAt = now + c.electionTimeout()
		if c.isVoter() {
			if c.node.Campaign() == nil && c.isLeader() { // this box is the only voter
				c.nextBeat = now
			}
		}
	}
	return c.electionAt
}

// retrySnapshots repeats snapshots that were not acknowledged within Timing.Election: the library waits for a report of their
// delivery, but links do not report lost messages.
func (c *core) retrySnapshots(now time.Duration) {
	if now < c.nextSnapshotCheck {
		return
	}
	c.nextSnapshotCheck = now + c.timing.Election
	progress := c.node.Status().Progress
	for _, id := range slices.Sorted(maps.Keys(progress)) {
		if progress[id].State == tracker.StateSnapshot {
			c.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// propose appends an entry to the log. Only the leader may call it.
func (c *core) propose(data []byte) error { return c.node.Propose(data) }

// proposeChange proposes a change of voters. Only the leader may call it.
func (c *core) proposeChange(ch voters.Change) error {
	kind := map[voters.Role]raftpb.ConfChangeType{voters.Learner: raftpb.ConfChangeAddLearnerNode, voters.FullVoter: raftpb.ConfChangeAddNode, voters.Removed: raftpb.ConfChangeRemoveNode}[ch.Role]
	context, err := encoding.Marshal(ch)
	if err != nil {
		return err
	}
	return c.node.ProposeConfChange(&raftpb.ConfChangeV2{Context: context, Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: &ch.ID}}})
}

// caughtUp reports whether a box has all but at most 64 entries. Only the leader knows this.
func (c *core) caughtUp(id uint64) bool {
	last, _ := c.log.LastIndex()
	p, ok := c.node.Status().Progress[id]
	return ok && p.Match+64 >= last
}

// processReady processes the pending work of the library: it saves to the disk first and queues messages afterwards. It calls
// install for a snapshot and apply for each committed entry. After an error the core must not be used any more: the content of
// the disk is unknown, and nothing that depends on it was sent.
func (c *core) processReady(now time.Duration, install func(*raftpb.Snapshot) error, apply func(Record) error) error {
	for c.node.HasReady() {
		led := c.isLeader()
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
				c.conf, c.snapshotStale = c.node.ApplyConfChange(&cc), true
			}
			if err := apply(Record{Index: e.GetIndex(), Type: e.GetType(), Data: e.GetData()}); err != nil {
				return err
			}
			c.applied = e.GetIndex()
		}
		c.node.Advance(rd)
		c.probing = c.probing && c.node.HasReady()
		if !led && c.isLeader() {
			c.nextBeat = now + c.timing.Heartbeat
			for _, id := range c.conf.GetVoters() {
				c.lastHeard[id] = now // they have just voted, or have Timing.Election to respond
			}
		}
	}
	return nil
}

// send queues messages, except those of a leader without a quorum.
func (c *core) send(now time.Duration, list []*raftpb.Message) {
	mute := c.isLeader() && !c.hasQuorum(now) && !c.probing
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
		c.outbox = append(c.outbox, m)
	}
}

// probeInterval is the interval, in multiples of Timing.Election, between two heartbeats of a leader without a quorum. It is long
// enough for the other boxes to elect a leader in between.
const probeInterval = 4

// compact replaces old log entries by a snapshot of the state once there are compactAfter of them. After a change of voters it
// makes a new snapshot immediately, because a box does not accept a snapshot in which it is not a member.
func (c *core) compact(s *State) error {
	first, _ := c.log.FirstIndex()
	long := c.applied >= first+compactAfter
	if s.Index != c.applied || !long && !c.snapshotStale {
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
	c.snapshotStale = false
	if !long {
		return nil
	}
	return c.log.Compact(w.Compact)
}

// records returns entries after an index for a follower. ok is false if they are no longer in the log.
func (c *core) records(after uint64, maxBytes int) (list []Record, ok bool) {
	if after >= c.applied {
		return nil, true
	}
	entries, err := c.log.Entries(after+1, c.applied+1, uint64(maxBytes))
	if err != nil {
		return nil, false
	}
	for _, e := range entries {
		list = append(list, Record{Index: e.GetIndex(), Type: e.GetType(), Data: e.GetData()})
	}
	return list, true
}
