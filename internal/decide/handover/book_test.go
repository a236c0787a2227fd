package handover

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// The model has one key and two processes whose messages are on their way for as long as it likes. What a process
// knows of the key beside its book is one word of its table of keys.
type table byte

const (
	none    table = iota
	held          // its own try is held: nothing has run
	ran           // its own try was given to the engine
	over          // its own run has ended
	foreign       // the other process has the key
	gone          // the other process's run has ended, or nobody knows how
)

// letter is a message on its way; entries carry what they say of the sender's table.
type letter struct {
	kind Kind
	seq  uint64
	over bool
}

type side struct {
	book  Book
	table table
	claim uint64 // under which its own try is held
	waits int    // tries that wait for leave
	inbox []letter
	heard bool // Synced has come
	dead  bool
}

type state struct {
	old, new side
	linked   bool
	runs     int
	refused  int // tries refused after a run
	tries    int
}

func (s *side) copy() side {
	c := *s
	c.book.asked, c.book.lent, c.inbox = maps.Clone(s.book.asked), maps.Clone(s.book.lent), slices.Clone(s.inbox)
	return c
}

func (s state) copy() state {
	s.old, s.new = s.old.copy(), s.new.copy()
	return s
}

func (s *state) send(from *side, l letter) {
	if !s.linked || from.dead {
		return
	}
	to := &s.new
	if from == &s.new {
		to = &s.old
	}
	to.inbox = append(to.inbox, l)
}

// try has a try of the key arrive.
func (s *state) try(p *side) {
	s.tries++
	if p.table != none {
		return // a repeat: joined to what is there
	}
	switch v, seq := p.book.Try(0, "k"); v {
	case Take:
		s.hold(p, 0)
	case Ask:
		p.waits++
		s.send(p, letter{kind: Claim, seq: seq})
	case Wait:
		p.waits++
	}
}

func (s *state) hold(p *side, claim uint64) {
	p.table, p.claim = held, claim
	if p.book.Role() == Owner {
		s.send(p, letter{kind: Entry})
	}
}

func (s *state) refuse(p *side) {
	p.table = none
	if s.runs > 0 {
		s.refused++
	}
	s.send(p, letter{kind: Drop, seq: p.claim})
}

// again decides once more on those who wait.
func (s *state) again(p *side) {
	n := p.waits
	p.waits = 0
	for range n {
		s.tries--
		s.try(p)
	}
}

// take delivers the first message.
func (s *state) take(p *side) {
	l := p.inbox[0]
	p.inbox = p.inbox[1:]
	own := p.table == held || p.table == ran || p.table == over
	switch l.kind {
	case Synced:
		p.heard = true
	case Entry:
		if own {
			return
		}
		if p.table = foreign; l.over {
			p.table = gone
			p.book.Ended("k")
		}
		p.book.Told("k")
		p.waits = 0 // joined
	case Drop:
		if p.table == foreign && (p.book.Role() != Owner || p.book.Returned("k", l.seq)) {
			p.table = none
		}
	case Claim:
		if p.book.Claimed("k", l.seq, p.table == none) {
			p.table = foreign
			s.send(p, letter{kind: Grant, seq: l.seq})
			return
		}
		s.send(p, letter{kind: Entry, over: p.table == over || p.table == gone})
	case Grant:
		if !p.book.Granted("k", l.seq) {
			s.send(p, letter{kind: Drop, seq: l.seq})
			return
		}
		p.waits--
		s.hold(p, l.seq)
		p.waits = 0 // the others repeat it
	}
}

func (s *state) part(p *side) {
	owner := p.book.Role() == Owner
	p.book.Lost()
	if owner && p.table == foreign {
		p.table = gone
	}
	s.again(p)
}

// join takes up a link: each tells its own, the owner all.
func (s *state) join() {
	s.linked, s.new.heard = true, false
	s.old.inbox, s.new.inbox = nil, nil
	for _, p := range []*side{&s.new, &s.old} {
		p.book.Joined()
		if own := p.table == held || p.table == ran || p.table == over; own || p == &s.old && p.table != none {
			s.send(p, letter{kind: Entry, over: p.table == over || p.table == gone})
		}
	}
	s.send(&s.old, letter{kind: Synced})
	s.again(&s.new)
}

// steps lists all that may happen next.
func (s state) steps() map[string]func(*state) {
	all := map[string]func(*state){}
	for name, at := range map[string]func(*state) *side{"old": func(s *state) *side { return &s.old }, "new": func(s *state) *side { return &s.new }} {
		p := at(&s)
		if p.dead {
			continue
		}
		if s.tries < 3 {
			all["a try at "+name] = func(s *state) { s.try(at(s)) }
		}
		switch p.table {
		case held:
			all[name+" refuses"] = func(s *state) { s.refuse(at(s)) }
			all[name+" runs"] = func(s *state) { at(s).table = ran; s.runs++ }
		case ran:
			all[name+" ends its run"] = func(s *state) { at(s).table = over; s.send(at(s), letter{kind: Entry, over: true}) }
		}
		if len(p.inbox) > 0 {
			all["a message reaches "+name] = func(s *state) { s.take(at(s)) }
		}
		if p.waits > 0 {
			all[name+" gives up"] = func(s *state) { at(s).waits = 0; at(s).book.GaveUp("k") }
		}
	}
	switch {
	case !s.old.dead && s.linked:
		all["the old one is killed"] = func(s *state) {
			s.old.dead, s.linked = true, false
		}
		all["the link breaks"] = func(s *state) {
			s.linked = false
			s.old.inbox, s.new.inbox = nil, nil
			s.part(&s.old)
			s.part(&s.new)
			s.new.heard = false
		}
	case !s.old.dead:
		all["a new link"] = func(s *state) { s.join() }
		all["the old one is killed"] = func(s *state) { s.old.dead = true }
	case len(s.new.inbox) == 0 && s.new.book.Role() != Owner: // all that was on its way was read
		all["the new one takes over"] = func(s *state) {
			s.part(&s.new)
			s.new.book.TookOver(s.new.heard, time.Hour)
			if s.new.table == foreign {
				s.new.table = gone
			}
			s.again(&s.new)
		}
	}
	return all
}

// TestOneRunInEveryOrder explores every order of what can happen to three tries of one key at two processes, with the
// link broken and taken up, claims given up on, the old process killed at any moment and the new one taking over.
func TestOneRunInEveryOrder(t *testing.T) {
	start := state{}
	start.new.book.Follow()
	start.join()
	seen := map[string]bool{}
	frontier, depth := []state{start}, 0
	const most = 14
	for ; depth < most && len(frontier) > 0; depth++ {
		var next []state
		for _, s := range frontier {
			for name, do := range s.steps() {
				c := s.copy()
				do(&c)
				if c.runs > 1 || c.refused > 0 {
					t.Fatalf("after %q at depth %d: %d runs, %d refused after a run: %+v", name, depth, c.runs, c.refused, c)
				}
				// Numbers of claims only ever grow; what matters of them is which are alike.
				if key := fmt.Sprintf("%+v", c); !seen[key] {
					seen[key] = true
					next = append(next, c)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states in %d steps", len(seen), depth)
	if len(seen) < 10_000 {
		t.Errorf("only %d states", len(seen))
	}
}
