package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/decide/straggler"
	"cairnlane/internal/fleet/ledger"
	"cairnlane/internal/fleet/peer"
	"cairnlane/internal/fleet/view"
	"cairnlane/internal/state/audit"
	"cairnlane/internal/state/configs"
)

// Config is a box's place in its fleet.
type Config struct {
	Name    string
	Listen  string
	Peers   map[string]string // address by name; this box's own may be among them
	KeyFile string
	Dir     string // for what outlives a restart
	Build   string
	Timing  ledger.Timing
	Now     func() time.Duration // a clock that also runs while the machine sleeps: clock.Boot
	Told    func(format string, args ...any)
	Audit   *audit.Log                                                                 // what the box did that matters to others; may be nil
	Acts    audit.Build                                                                // the version that the box acts as
	Number  uint64                                                                     // of the build
	Configs *configs.Store                                                             // nil: no part in roll-outs
	Check   func(n uint64, body []byte) (needs uint64, rules rollout.Rules, err error) // of a configuration, against this build
	Served  func() (good, bad uint64)                                                  // requests of this process; may be nil
	Load    func() view.Totals                                                         // how the box is loaded; nil: it does not tell
	// Overload reads the rules of shedding out of a configuration of a number; nil where it has none.
	Overload func(n uint64, body []byte) *shed.Rules
	Advise   func(*shed.Advice) // takes what the fleet advises, nil for nothing; it must not wait. It may be nil
	Pacer    *Pacer             // when this box asks what all depend on; may be nil
	Later    time.Duration      // the longest that a caller may be asked to stay away
}

// The kinds of messages on the links, in the order in which they go.
const (
	kindLedger  = byte(iota) // what keeps the agreement going; it is of no use late
	kindRecords              // what boxes that follow are told
	kindBodies               // contents of configurations
	kindLoad                 // how boxes are loaded; of no use late
)

var kinds = []peer.Kind{
	kindLedger:  {Messages: 2048, Bytes: 16 << 20, Stale: 3 * time.Second},
	kindRecords: {Messages: 256, Bytes: 32 << 20, Stale: 10 * time.Second},
	kindBodies:  {Messages: 64, Bytes: 4 << 20, Stale: 5 * time.Second},
	kindLoad:    {Messages: 16, Bytes: 1 << 20, Stale: time.Second},
}

// inboxMost is how many messages may wait for the node. What is beyond is lost, as on a network.
const inboxMost = 4096

// Fleet runs a Node in a process.
//
// One lock guards the node; whoever has it may wait for the ledger's disk. Nothing that serves requests takes it.
type Fleet struct {
	cfg   Config
	store *ledger.Store
	links *peer.Links
	inbox chan received
	stop  context.CancelFunc
	ended chan struct{}
	set   *counters.Set
	lost  *counters.Counter
	over  *counters.Counter // effects that took longer than was said

	mu      sync.Mutex
	node    *Node
	kicked  bool          // the loop has been told that something changed
	kick    chan struct{} // tells it
	changed chan struct{} // closed at each change, and made anew
	closed  bool
	phase   lease.Phase // as it stands in the audit
	session uint64
	stands  straggler.State

	versions *versions // nil: no part in roll-outs
	load     load      // f.mu is held for all of it
}

type received struct {
	from string
	m    ledger.Message
	body *body // or this
	load *view.Message
}

// decoding bounds what a message may claim to hold.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Open takes up the box's part and begins to talk to its peers.
func Open(cfg Config, set *counters.Set) (*Fleet, error) {
	f := &Fleet{cfg: cfg, set: set, inbox: make(chan received, inboxMost), stands: straggler.Level, ended: make(chan struct{}), kick: make(chan struct{}, 1), changed: make(chan struct{}),
		lost: set.Get("fleet_messages_lost"), over: set.Get("fleet_effects_over_time")}
	var err error
	if f.store, err = ledger.OpenStore(cfg.Dir); err != nil {
		return nil, err
	}
	seeds := make([]string, 0, len(cfg.Peers))
	for name := range cfg.Peers {
		seeds = append(seeds, name)
	}
	nc := NodeConfig{Name: cfg.Name, Build: cfg.Build, Seeds: seeds, Timing: cfg.Timing,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Disk: f.store, Told: cfg.Told, Number: cfg.Number}
	if cfg.Configs != nil {
		now := cfg.Configs.InForce()
		f.versions = &versions{f: f, store: cfg.Configs, fetches: map[string]*fetch{}, good: cfg.Served}
		nc.Configs, nc.InForce, nc.Since = f.versions, now.N, Place{now.Fleet, now.Index}
		cfg.Acts.Fleet, cfg.Acts.Digest = now.N, now.Digest
	}
	// A peer may call before the node is there; it is heard then.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links, err = peer.Listen(peer.Config{Name: cfg.Name, Listen: cfg.Listen, Peers: cfg.Peers, Kinds: kinds, Now: cfg.Now, Set: set, Told: cfg.Told,
		Keys: func() ([][]byte, error) { return peer.LoadKeys(cfg.KeyFile) }}, f.receive)
	if err == nil {
		if f.node, err = NewNode(cfg.Now(), nc); err != nil {
			f.links.Close()
		}
	}
	if err != nil {
		f.store.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.noteLocked(audit.Entry{Kind: audit.Version, Build: &cfg.Acts})
	go f.run(ctx)
	go f.tellMarks(ctx)
	if cfg.Load != nil {
		go f.tellLoad(ctx)
	}
	return f, nil
}

// Addr is where peers are heard.
func (f *Fleet) Addr() string { return f.links.Addr() }

// receive takes a message off a link. It is lent for the call.
func (f *Fleet) receive(from string, kind byte, payload []byte) {
	r := received{from: from}
	var err error
	switch kind {
	case kindBodies:
		r.body = new(body)
		err = decoding.Unmarshal(payload, r.body)
	case kindLoad:
		r.load = new(view.Message)
		err = decoding.Unmarshal(payload, r.load)
	default:
		err = decoding.Unmarshal(payload, &r.m)
	}
	if err != nil {
		f.lost.Inc()
		return
	}
	select {
	case f.inbox <- r:
	default:
		f.lost.Inc()
	}
}

// run is the one goroutine that gives the node messages and time.
func (f *Fleet) run(ctx context.Context) {
	defer close(f.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.inbox:
			f.with(func(now time.Duration) {
				f.take(now, r)
				for range len(f.inbox) { // what has come meanwhile
					f.take(now, <-f.inbox)
				}
			})
		case <-f.kick:
		case <-timer.C:
			f.with(func(now time.Duration) { f.node.Tick(now) })
		}
		f.mu.Lock()
		f.kicked = false
		wait := f.node.Next() - f.cfg.Now()
		f.mu.Unlock()
		timer.Reset(max(wait, time.Millisecond))
	}
}

// take gives the node what a peer has said.
func (f *Fleet) take(now time.Duration, r received) {
	switch {
	case r.load != nil:
		f.hearLoad(now, r.from, *r.load)
	case r.body == nil:
		f.node.Receive(now, r.from, r.m)
	case f.versions != nil:
		f.versions.heard(now, r.from, *r.body)
		f.node.Poke(now)
	}
}

// with does something with the node, and then sends what it has to say and wakes those who wait.
func (f *Fleet) with(do func(now time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	do(f.cfg.Now())
	f.standing()
	for _, e := range f.node.Take() {
		raw, err := cbor.Marshal(e.Message)
		if err != nil {
			continue // of our own types
		}
		kind := kindLedger
		if e.Kind == ledger.Records {
			kind = kindRecords
		}
		f.links.Send(e.To, kind, raw)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	if !f.kicked {
		f.kicked = true
		select {
		case f.kick <- struct{}{}:
		default:
		}
	}
}

// Close leaves the fleet in order, if it can be told within a moment, and ends the links. Nothing acts any more when it is
// called.
func (f *Fleet) Close() {
	f.with(func(now time.Duration) { f.node.Part(now) })
	for end := time.Now().Add(partTime); time.Now().Before(end); {
		f.mu.Lock()
		gone := f.node.Left()
		changed := f.changed
		f.mu.Unlock()
		if gone {
			break
		}
		select {
		case <-changed:
		case <-time.After(partTime / 10):
		}
	}
	f.stop()
	<-f.ended
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.links.Close()
	f.store.Close()
	f.note(audit.Entry{Kind: audit.End})
}

// partTime is how long the end of a process waits for its fleet to know.
const partTime = 300 * time.Millisecond

// Status is how a box stands to its fleet.
type Status struct {
	Fleet   string        `json:"fleet,omitempty"`
	Name    string        `json:"name"`
	Phase   string        `json:"phase"`
	Session uint64        `json:"session,omitempty"` // its incarnation
	Role    string        `json:"role"`
	Leader  string        `json:"leader,omitempty"`
	Agrees  bool          `json:"agrees"`           // the fleet can agree on something now
	Reason  string        `json:"reason,omitempty"` // why not, or why this box may not act
	Era     uint64        `json:"era,omitempty"`
	Index   uint64        `json:"index"`
	Digest  string        `json:"digest"`
	Term    string        `json:"term,omitempty"`
	Drift   float64       `json:"drift"`
	Voters  []string      `json:"voters,omitempty"`
	Want    []string      `json:"want,omitempty"`
	Links   []peer.Status `json:"links,omitempty"`
	Disk    int64         `json:"disk_bytes"`
	Counts  Counts        `json:"counts"`
}

// Status tells how this box stands.
func (f *Fleet) Status() Status {
	links, size := f.links.Status(), f.store.Size()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	l := f.node.Ledger()
	st := l.State()
	s := Status{Name: f.cfg.Name, Phase: f.node.Holder().Phase().String(), Session: f.node.Holder().Session(), Role: l.Role(), Era: st.Era, Index: st.Index,
		Digest: fmt.Sprintf("%016x", st.Digest()), Drift: st.Table.Terms.Drift, Want: st.Want, Links: links, Disk: size, Counts: f.node.Counts()}
	s.Leader, s.Agrees = l.Leader(now)
	if st.Fleet != 0 {
		s.Fleet, s.Term = fmt.Sprintf("%x", st.Fleet), st.Table.Terms.Term.String()
	}
	for _, m := range f.node.Members(now) {
		if m.Votes {
			s.Voters = append(s.Voters, m.Name)
		}
	}
	s.Reason = f.reason(s.Agrees, s.Leader)
	return s
}

// reason says why the fleet, or this box, can do nothing.
func (f *Fleet) reason(agrees bool, leader string) string {
	l := f.node.Ledger()
	switch phase := f.node.Holder().Phase(); {
	case l.State().Fleet == 0:
		return ledger.ErrNoFleet.Error()
	case l.Failed() != nil:
		return l.Failed().Error()
	case l.Alarm() != nil:
		return l.Alarm().Error()
	case phase == lease.Superseded:
		return "another process has joined under this box's name; end one of the two, and start this one anew if it is the right one"
	case !agrees && leader == "":
		return "no leader is heard: a majority of the voters is away, or cannot be reached from here"
	case !agrees:
		return "the last leader, " + leader + ", is not heard, or hears no majority"
	}
	return ""
}

// Members lists the boxes that the fleet knows of.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Members(f.cfg.Now())
}

// LeaseStatus is a slot, or a place in a queue, as operators see it.
type LeaseStatus struct {
	Task     string `json:"task"`
	Slots    int    `json:"slots"`
	Box      string `json:"box"`
	Held     bool   `json:"held"`
	Token    uint64 `json:"token,omitempty"`
	Place    int    `json:"place,omitempty"` // in the queue, from 1
	Priority int    `json:"priority"`
	Sticky   bool   `json:"sticky"`
	Orphan   bool   `json:"orphan"` // its box is gone; an operator may free it
	Stop     bool   `json:"stop"`   // its holder is asked to stop
}

// Leases lists who holds and waits for what, as far as this box knows.
func (f *Fleet) Leases() (list []LeaseStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.node.Ledger().State().Table
	for _, name := range t.TaskNames() {
		task := t.Tasks[name]
		for _, l := range task.Holders {
			list = append(list, LeaseStatus{Task: name, Slots: task.Slots, Box: l.Box, Held: true, Token: l.Token, Priority: l.Priority, Sticky: l.Sticky, Orphan: l.Orphan, Stop: l.Stop})
		}
		for i, w := range task.Queue {
			list = append(list, LeaseStatus{Task: name, Slots: task.Slots, Box: w.Box, Place: i + 1, Priority: w.Priority, Sticky: w.Sticky})
		}
	}
	return list
}

// Init begins a fleet with this box.
func (f *Fleet) Init(terms lease.Terms, voters []string) (err error) {
	f.with(func(now time.Duration) { err = f.node.Init(now, terms, voters) })
	return err
}

// Recover begins the ledger anew; see ledger.Recover for what the operator must know.
func (f *Fleet) Recover() (err error) {
	f.with(func(now time.Duration) { err = f.node.Recover(now) })
	return err
}

// Voters asks for other voters. They change one at a time, as they catch up.
func (f *Fleet) Voters(change func(now []string) ([]string, error)) (err error) {
	f.with(func(now time.Duration) {
		var want []string
		if f.node.Ledger().State().Fleet == 0 {
			err = ledger.ErrNoFleet
		} else if want, err = change(f.node.Ledger().State().Want); err == nil {
			err = f.node.Want(now, want)
		}
	})
	return err
}

// errNoToken says that an operator has named a token that nobody holds.
var errNoToken = errors.New("nobody holds a lease with this token; 'cairnctl fleet leases' lists them")

// Free gives back a slot whose box is gone for good. The operator knows that the box does not act any more.
func (f *Fleet) Free(token uint64) error {
	return f.command(lease.Command{Kind: lease.Free, Token: token})
}

// StopEarly asks the holder of a lease to stop.
func (f *Fleet) StopEarly(token uint64) error {
	return f.command(lease.Command{Kind: lease.Stop, Token: token})
}

// command sends an operator's command and waits until it shows in the ledger.
func (f *Fleet) command(c lease.Command) error {
	done := func() (found bool) {
		for _, task := range f.node.Ledger().State().Table.Tasks {
			for _, l := range task.Holders {
				if l.Token == c.Token {
					return c.Kind == lease.Stop && l.Stop
				}
			}
		}
		return true
	}
	there := false
	f.with(func(now time.Duration) {
		if there = !done() || c.Kind == lease.Stop && f.holds(c.Token); there {
			f.node.Operator(now, c)
		}
	})
	if !there {
		return errNoToken
	}
	for end := time.Now().Add(operatorTime); time.Now().Before(end); {
		f.mu.Lock()
		ok, changed := done(), f.changed
		f.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(operatorTime / 4):
			f.with(func(now time.Duration) { f.node.Operator(now, c) })
		}
	}
	return errors.New("the fleet has not agreed on it within " + operatorTime.String() + "; 'cairnctl fleet status' says why")
}

func (f *Fleet) holds(token uint64) bool {
	for _, task := range f.node.Ledger().State().Table.Tasks {
		for _, l := range task.Holders {
			if l.Token == token {
				return true
			}
		}
	}
	return false
}

// operatorTime is how long an operator's command may take to be agreed on.
const operatorTime = 5 * time.Second

// Terms are those that the fleet has agreed on.
func (f *Fleet) Terms() lease.Terms {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.Ledger().State().Table.Terms
}
