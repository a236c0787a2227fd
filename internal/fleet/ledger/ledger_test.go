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

// few are ledgers that reach each other at once.
type few struct {
	t     *testing.T
	now   time.Duration
	list  map[string]*Ledger
	disks map[string]*Memory
	said  map[string]int // messages by sender
	away  map[string]bool
}

func newFew(t *testing.T, names ...string) *few {
	f := &few{t: t, list: map[string]*Ledger{}, disks: map[string]*Memory{}, said: map[string]int{}, away: map[string]bool{}}
	for _, name := range names {
		f.disks[name] = new(Memory)
		f.open(name, names)
	}
	if err := f.list[names[0]].Init(f.now, lease.Terms{Term: time.Second}, names[:3]); err != nil {
		t.Fatal(err)
	}
	f.pass(10 * time.Second)
	return f
}

func (f *few) open(name string, seeds []string) {
	var err error
	f.list[name], err = Open(f.now, Config{Name: name, Seeds: seeds, Timing: DefaultTiming, Rand: rand.New(rand.NewPCG(uint64(len(f.list)), 5)), Disk: f.disks[name]})
	if err != nil {
		f.t.Fatal(err)
	}
}

// pass lets time pass.
func (f *few) pass(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
		for name, l := range f.list {
			if !f.away[name] {
				l.Tick(f.now)
			}
		}
		for again := true; again; {
			again = false
			for name, l := range f.list {
				out, _, _ := l.Take()
				f.said[name] += len(out)
				for _, e := range out {
					if to := f.list[e.To]; to != nil && !f.away[name] && !f.away[e.To] {
						to.Receive(f.now, name, e.Message)
						again = true
					}
				}
			}
		}
	}
}

func (f *few) leader() string {
	for name, l := range f.list {
		if !f.away[name] && l.Leads(f.now) {
			return name
		}
	}
	return ""
}

// TestNothingIsSaidThatIsNotOnTheDisk fills a box's disk: it votes for nobody, takes no entry, and goes on from what the disk holds.
func TestNothingIsSaidThatIsNotOnTheDisk(t *testing.T) {
	f := newFew(t, "a", "b", "c")
	lead := f.leader()
	var other string
	for name := range f.list {
		if name != lead {
			other = name
		}
	}
	l := f.list[other]
	f.disks[other].Full = true
	vote := false
	before := l.core.node.BasicStatus().HardState.GetTerm()
	f.away[lead] = true
	for end := f.now + 10*time.Second; f.now < end && l.Failed() == nil; f.now += 10 * time.Millisecond {
		l.Tick(f.now)
		out, _, _ := l.Take()
		for _, e := range out {
			if m := e.Message; m.Kind == Raft && l.Failed() != nil {
				vote = true
			}
		}
		// It is asked for its vote at a later term, which it has to store before it answers.
		third := f.third(lead, other)
		f.list[third].Tick(f.now)
		sent, _, _ := f.list[third].Take()
		for _, e := range sent {
			if e.To == other {
				l.Receive(f.now, third, e.Message)
				answer, _, _ := l.Take()
				for _, a := range answer {
					if a.Kind == Raft && l.Failed() != nil {
						vote = true
					}
					f.list[third].Receive(f.now, other, a.Message)
				}
			}
		}
		if n := f.list[third].core.node.BasicStatus(); f.list[third].core.leads() && n.GetTerm() > before {
			t.Fatal("another box leads by a vote that is not on the disk")
		}
	}
	if l.Failed() == nil || vote {
		t.Fatalf("failed: %v, something was said after: %v", l.Failed(), vote)
	}
	if out, _, _ := l.Take(); len(out) > 0 {
		t.Errorf("it says %v", out)
	}
	f.disks[other].Full = false
	if err := l.Reopen(f.now); err != nil {
		t.Fatal(err)
	}
	f.away[lead] = false
	f.pass(8 * time.Second)
	if f.leader() == "" || l.State().Digest() != f.list[f.leader()].State().Digest() {
		t.Error("it does not come back")
	}
}

func (f *few) third(a, b string) string {
	for name := range f.list {
		if name != a && name != b {
			return name
		}
	}
	return ""
}

// TestAVoteIsKeptOverARestart has a box vote, end and start anew, and asks it for another vote in the same term.
func TestAVoteIsKeptOverARestart(t *testing.T) {
	f := newFew(t, "a", "b", "c")
	c := f.list["c"]
	status := c.core.node.BasicStatus()
	last, _ := c.core.log.LastIndex()
	logTerm, _ := c.core.log.Term(last)
	term := status.HardState.GetTerm() + 3
	ask := func(from string) (granted bool) {
		m := &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: new(f.list[from].ID()), To: new(c.ID()), Term: &term, Index: &last, LogTerm: &logTerm}
		c.Receive(f.now, from, Message{Kind: Raft, Fleet: c.State().Fleet, Era: c.State().Era, Raft: encode(m)})
		out, _, _ := c.Take()
		for _, e := range out {
			a := new(raftpb.Message)
			if e.Kind == Raft && proto.Unmarshal(e.Raft, a) == nil && a.GetType() == raftpb.MsgVoteResp && e.To == from {
				granted = !a.GetReject()
			}
		}
		return granted
	}
	f.now += time.Minute // no leader was heard for long
	if !ask("a") {
		t.Fatal("it does not vote")
	}
	f.open("c", []string{"a", "b", "c"})
	c = f.list["c"]
	if f.now += time.Minute; ask("b") {
		t.Error("it votes twice in one term")
	}
	if !ask("a") {
		t.Error("it does not stand by its vote")
	}
}

// TestADifferenceIsAnAlarm changes one box's state behind the ledger's back.
func TestADifferenceIsAnAlarm(t *testing.T) {
	f := newFew(t, "a", "b", "c", "d")
	f.list["d"].State().Table.Ticket++
	for i := range 2 * digestEach {
		f.list[f.leader()].Ask(f.now, []lease.Command{{Kind: lease.Join, Box: fmt.Sprint("box", i), Nonce: 1, Try: 1}})
		f.pass(30 * time.Millisecond)
	}
	f.pass(5 * time.Second)
	for name, l := range f.list {
		if differs := l.Alarm() != nil; differs != (name == "d") {
			t.Errorf("%s: alarm %v", name, l.Alarm())
		}
	}
}

func TestOperatorsAreToldWhatIsWrong(t *testing.T) {
	f := newFew(t, "a", "b", "c")
	lonely, err := Open(0, Config{Name: "x", Timing: DefaultTiming, Rand: rand.New(rand.NewPCG(1, 1)), Disk: new(Memory)})
	if err != nil {
		t.Fatal(err)
	}
	good := lease.Terms{Term: time.Second}
	for name, err := range map[string]error{
		"a second begin":       f.list["a"].Init(f.now, good, []string{"a"}),
		"two voters":           lonely.Init(0, good, []string{"x", "y"}),
		"one twice":            lonely.Init(0, good, []string{"x", "y", "x"}),
		"a term of nothing":    lonely.Init(0, lease.Terms{}, []string{"x"}),
		"a drift of a half":    lonely.Init(0, lease.Terms{Term: time.Second, Drift: 0.5}, []string{"x"}),
		"recover from nothing": lonely.Recover(0),
		"four voters":          f.list["a"].Want(f.now, []string{"a", "b", "c", "d"}),
	} {
		if err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}
