package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cairnlane/internal/decide/lease"
)

// cluster is a set of ledgers that exchange messages without delay.
type cluster struct {
	t            *testing.T
	now          time.Duration
	ledgers      map[string]*Ledger
	disks        map[string]*Memory
	sentCount    map[string]int // number of messages by sender
	disconnected map[string]bool
}

func newCluster(t *testing.T, names ...string) *cluster {
	f := &cluster{t: t, ledgers: map[string]*Ledger{}, disks: map[string]*Memory{}, sentCount: map[string]int{}, disconnected: map[string]bool{}}
	for _, name := range names {
		f.disks[name] = new(Memory)
		f.open(name, names)
	}
	if err := f.ledgers[names[0]].Init(f.now, lease.Terms{Term: time.Second}, names[:3]); err != nil {
		t.Fatal(err)
	}
	f.advance(10 * time.Second)
	return f
}

func (f *cluster) open(name string, seeds []string) {
	var err error
	f.ledgers[name], err = Open(f.now, Config{Name: name, Seeds: seeds, Timing: DefaultTiming, Rand: rand.New(rand.NewPCG(uint64(len(f.ledgers)), 5)), Disk: f.disks[name]})
	if err != nil {
		f.t.Fatal(err)
	}
}

// advance advances the time by d, ticks the ledgers and delivers their messages.
func (f *cluster) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
		for name, l := range f.ledgers {
			if !f.disconnected[name] {
				l.Tick(f.now)
			}
		}
		for again := true; again; {
			again = false
			for name, l := range f.ledgers {
				out, _, _ := l.TakeOutput()
				f.sentCount[name] += len(out)
				for _, e := range out {
					if to := f.ledgers[e.To]; to != nil && !f.disconnected[name] && !f.disconnected[e.To] {
						to.Receive(f.now, name, e.Message)
						again = true
					}
				}
			}
		}
	}
}

// leader returns the name of the leader, or "".
func (f *cluster) leader() string {
	for name, l := range f.ledgers {
		if !f.disconnected[name] && l.Leads(f.now) {
			return name
		}
	}
	return ""
}

// TestNoMessageAfterFailedSave fills the disk of a box and checks that the box sends no vote that is not stored, and that it
// continues from the content of the disk after Reopen.
func TestNoMessageAfterFailedSave(t *testing.T) {
	f := newCluster(t, "a", "b", "c")
	lead := f.leader()
	var other string
	for name := range f.ledgers {
		if name != lead {
			other = name
		}
	}
	l := f.ledgers[other]
	f.disks[other].Full = true
	vote := false
	before := l.core.node.BasicStatus().HardState.GetTerm()
	f.disconnected[lead] = true
	for end := f.now + 10*time.Second; f.now < end && l.Failed() == nil; f.now += 10 * time.Millisecond {
		l.Tick(f.now)
		out, _, _ := l.TakeOutput()
		for _, e := range out {
			if m := e.Message; m.Kind == Raft && l.Failed() != nil {
				vote = true
			}
		}
		// The third box requests a vote in a later term, which the box has to store before it responds.
		third := f.third(lead, other)
		f.ledgers[third].Tick(f.now)
		sent, _, _ := f.ledgers[third].TakeOutput()
		for _, e := range sent {
			if e.To == other {
				l.Receive(f.now, third, e.Message)
				answer, _, _ := l.TakeOutput()
				for _, a := range answer {
					if a.Kind == Raft && l.Failed() != nil {
						vote = true
					}
					f.ledgers[third].Receive(f.now, other, a.Message)
				}
			}
		}
		if n := f.ledgers[third].core.node.BasicStatus(); f.ledgers[third].core.isLeader() && n.GetTerm() > before {
			t.Fatal("another box became leader by a vote that is not on disk")
		}
	}
	if l.Failed() == nil || vote {
		t.Fatalf("failed: %v, sent a message after the failure: %v", l.Failed(), vote)
	}
	if out, _, _ := l.TakeOutput(); len(out) > 0 {
		t.Errorf("failed ledger sends %v", out)
	}
	f.disks[other].Full = false
	if err := l.Reopen(f.now); err != nil {
		t.Fatal(err)
	}
	f.disconnected[lead] = false
	f.advance(8 * time.Second)
	if f.leader() == "" || l.State().Digest() != f.ledgers[f.leader()].State().Digest() {
		t.Error("reopened ledger does not catch up")
	}
}

// third returns the name of a box other than a and b.
func (f *cluster) third(a, b string) string {
	for name := range f.ledgers {
		if name != a && name != b {
			return name
		}
	}
	return ""
}

// TestVoteSurvivesRestart restarts a box after it has voted and checks that it does not vote for another box in the same term.
func TestVoteSurvivesRestart(t *testing.T) {
	f := newCluster(t, "a", "b", "c")
	c := f.ledgers["c"]
	status := c.core.node.BasicStatus()
	last, _ := c.core.log.LastIndex()
	logTerm, _ := c.core.log.Term(last)
	term := status.HardState.GetTerm() + 3
	requestVote := func(from string) (granted bool) {
		m := &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: new(f.ledgers[from].ID()), To: new(c.ID()), Term: &term, Index: &last, LogTerm: &logTerm}
		c.Receive(f.now, from, Message{Kind: Raft, Fleet: c.State().Fleet, Era: c.State().Era, Raft: encode(m)})
		out, _, _ := c.TakeOutput()
		for _, e := range out {
			a := new(raftpb.Message)
			if e.Kind == Raft && proto.Unmarshal(e.Raft, a) == nil && a.GetType() == raftpb.MsgVoteResp && e.To == from {
				granted = !a.GetReject()
			}
		}
		return granted
	}
	f.now += time.Minute // longer than any election time-out
	if !requestVote("a") {
		t.Fatal("vote not granted")
	}
	f.open("c", []string{"a", "b", "c"})
	c = f.ledgers["c"]
	if f.now += time.Minute; requestVote("b") {
		t.Error("second vote granted in one term")
	}
	if !requestVote("a") {
		t.Error("repeated request of the same candidate not granted")
	}
}

// TestDivergedStateRaisesAlarm modifies the state of one box directly, so that its digest differs from the leader's.
func TestDivergedStateRaisesAlarm(t *testing.T) {
	f := newCluster(t, "a", "b", "c", "d")
	f.ledgers["d"].State().Table.Ticket++
	for i := range 2 * digestInterval {
		f.ledgers[f.leader()].Submit(f.now, []lease.Command{{Kind: lease.Join, Box: fmt.Sprint("box", i), Nonce: 1, JoinAttempt: 1}})
		f.advance(30 * time.Millisecond)
	}
	f.advance(5 * time.Second)
	for name, l := range f.ledgers {
		if differs := l.Alarm() != nil; differs != (name == "d") {
			t.Errorf("%s: alarm %v", name, l.Alarm())
		}
	}
}

func TestInvalidOperatorRequestsAreRejected(t *testing.T) {
	f := newCluster(t, "a", "b", "c")
	lonely, err := Open(0, Config{Name: "x", Timing: DefaultTiming, Rand: rand.New(rand.NewPCG(1, 1)), Disk: new(Memory)})
	if err != nil {
		t.Fatal(err)
	}
	good := lease.Terms{Term: time.Second}
	for name, err := range map[string]error{
		"second init":             f.ledgers["a"].Init(f.now, good, []string{"a"}),
		"two voters":              lonely.Init(0, good, []string{"x", "y"}),
		"duplicate voter":         lonely.Init(0, good, []string{"x", "y", "x"}),
		"zero lease term":         lonely.Init(0, lease.Terms{}, []string{"x"}),
		"drift out of range":      lonely.Init(0, lease.Terms{Term: time.Second, Drift: 0.5}, []string{"x"}),
		"recover without a fleet": lonely.Recover(0),
		"four voters":             f.ledgers["a"].SetVoters(f.now, []string{"a", "b", "c", "d"}),
	} {
		if err == nil {
			t.Errorf("%s accepted", name)
		}
	}
}
