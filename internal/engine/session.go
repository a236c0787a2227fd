package engine

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"cairnlane/policy"
)

// Events takes what the engine tells. The calls come one at a time, in the order of the notices.
type Events interface {
	// Started says that the engine came up that long ago. It may come up long after this process.
	Started(ago time.Duration)
	// Done ends a run. The result is only lent for the call.
	Done(id string, end policy.Outcome, took time.Duration, result []byte)
	// Rejected says that the engine did not carry out a command for this request.
	Rejected(id string)
	// Gauges brings the gauges, in the order of the settings.
	Gauges(values []float64)
	// Attached says that the link is up and all that was missed has been told: whatever runs by our
	// books, was written after since and was not told of may have been lost and is sent again. Run takes
	// requests once open was called.
	Attached(since time.Duration, open func())
}

// memory is what outlives a link: the number of the last notice read, and when anything was read.
type memory struct {
	last  int64
	heard time.Duration
}

// The states of a link.
const (
	attaching int32 = iota
	ready           // all that was missed has been read; commands may be written
	retired         // another link is about to replace this one
)

// session is the state of one link, from ATTACH on, with no I/O of its own. Only state, asked and
// tags may be used from elsewhere than the reader.
type session struct {
	memory *memory
	events Events
	now    func() time.Duration
	send   func(encode func([]byte) []byte)
	in     []byte
	hello  bool
	sync   string
	since  time.Duration // commands written before it have reached the engine
	state  atomic.Int32
	asked  atomic.Int32 // STATs that are open
	tags   atomic.Int64
	quiet  atomic.Int64 // since when a STAT waits and nothing is heard; 0 while none waits
	giveUp func()       // ends the link
}

// quietMost is how long an engine that was asked for its gauges may say nothing at all. It is asked at every tick and
// has little to do for the answer. A link that is open and silent for longer is given up: whatever hangs behind it,
// a new link is told what was missed.
const quietMost = time.Second

// silent tells whether the link has gone silent. Before HELLO nothing is asked, so that an engine may start late.
func (s *session) silent() bool {
	since := s.quiet.Load()
	return since != 0 && s.now()-time.Duration(since) > quietMost
}

func (s *session) begin() {
	s.since = s.memory.heard - lossSpan
	s.send(func(dst []byte) []byte { return appendAttach(dst, s.memory.last) })
}

// feed reads what has come in and tells events of it.
func (s *session) feed(p []byte) error {
	s.memory.heard = s.now()
	if s.quiet.Load() != 0 {
		s.quiet.Store(int64(s.memory.heard))
	}
	s.in = append(s.in, p...)
	buf := s.in
	for {
		n, rest, done, err := nextNotice(buf)
		if err != nil {
			return err
		}
		if !done {
			break
		}
		if err := s.take(n); err != nil {
			return err
		}
		buf = rest
	}
	s.in = append(s.in[:0], buf...)
	return nil
}

func (s *session) take(n notice) error {
	if !s.hello && n.kind != "HELLO" {
		return fmt.Errorf("%w: %s before HELLO", ErrMalformed, n.kind)
	}
	switch n.kind {
	case "HELLO":
		s.hello = true
		s.events.Started(n.took)
		s.sync = s.stat() // what was missed stands between HELLO and the answer to this
	case "DONE", "NOTE":
		if n.number <= s.memory.last { // told on an earlier link
			return nil
		}
		s.memory.last = n.number
		if n.kind == "DONE" {
			s.events.Done(n.id, n.end, n.took, n.result)
		}
	case "STATS":
		s.answered(n.tag)
		s.events.Gauges(n.gauges)
	case "NO":
		if n.command == "STAT" {
			s.answered(n.id)
		} else {
			s.events.Rejected(n.id)
		}
	}
	return nil
}

func (s *session) answered(tag string) {
	if s.asked.Add(-1) <= 0 {
		s.quiet.Store(0)
	}
	if tag == s.sync && s.state.Load() == attaching {
		s.events.Attached(s.since, func() { s.state.CompareAndSwap(attaching, ready) })
	}
}

// stat asks for the gauges under a new tag.
func (s *session) stat() string {
	if s.asked.Add(1) == 1 {
		s.quiet.Store(int64(s.now()))
	}
	tag := "g" + strconv.FormatInt(s.tags.Add(1), 10)
	s.send(func(dst []byte) []byte { return appendStat(dst, tag) })
	return tag
}
