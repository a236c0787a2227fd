package engine

import (
	"fmt"
	"strconv"
	"sync"
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
	// Rejected says that the engine did not carry out the RUN of this request.
	Rejected(id string)
	// Need says that a run waits for a call, which has this body; the body is only lent for the call. number names
	// the notice, which a SKIP of that call gives back.
	Need(id string, number int64, body []byte)
	// Gauges brings the gauges, in the order of the settings.
	Gauges(values []float64)
	// Attached says that the link is up and all that was missed has been told: whatever runs by our
	// books, was written at since or later and was not told of may have been lost with an earlier link. Run
	// takes requests once open was called.
	Attached(since time.Duration, open func())
}

// linkMemory is what outlives a link. The reader of the present one alone uses it.
type linkMemory struct {
	lastNotice int64 // number of the last notice read
	// confirmedAt is when the newest question was written that was answered: an engine reads in order, so all that was
	// written before it on that link, or on an earlier one and was not sent again since, is with the engine.
	confirmedAt       time.Duration
	helloSeen         bool  // the engine has said HELLO to this process
	linksWithoutHello int   // links in a row without HELLO
	missingNotice     int64 // the notice that was missing when a link was taken up anew for it
}

// The states of a link.
const (
	attaching int32 = iota
	ready           // all that was missed has been read; commands may be written
	retired         // another link is about to replace this one
)

// session is the state of one link, from ATTACH on, with no I/O of its own. Only state, quiet, most and
// what asking guards may be used from elsewhere than the reader.
type session struct {
	memory       *linkMemory
	events       Events
	now          func() time.Duration
	send         func(encode func([]byte) []byte)
	input        []byte
	hello        bool
	syncTag      string
	lossSince    time.Duration // commands written before it have reached the engine
	state        atomic.Int32
	silentSince  atomic.Int64 // since when an answer is waited for and nothing is heard; 0 while none is
	silenceLimit atomic.Int64 // how long that may last
	closeLink    func()       // ends the link

	statMu    sync.Mutex // guards what follows
	lastTag   int64
	openStats map[string]time.Duration // STATs that are open: when each was written
}

// maxSilence is how long an engine that was asked for its gauges may say nothing at all. It is asked at every tick and
// has little to do for the answer. A link that is open and silent for longer is given up: whatever hangs behind it,
// a new link is told what was missed.
const maxSilence = time.Second

// An engine may start long after this process, and says HELLO only then; one that has said it before has nothing to wait
// for. Either way the wait doubles from link to link, so that an engine that is slow to answer is not kept from it.
const (
	firstHelloDoublings = 2 // doublings for an engine that has not been heard of at all
	maxDoublings        = 4 // most doublings
)

// silent tells whether the link has gone silent.
func (s *session) silent() bool {
	since := s.silentSince.Load()
	return since != 0 && s.now()-time.Duration(since) > time.Duration(s.silenceLimit.Load())
}

func (s *session) sendAttach() {
	s.lossSince = s.memory.confirmedAt
	doublings := s.memory.linksWithoutHello
	if !s.memory.helloSeen {
		doublings += firstHelloDoublings
	}
	s.memory.linksWithoutHello++
	s.silenceLimit.Store(int64(maxSilence << min(doublings, maxDoublings)))
	s.silentSince.Store(int64(s.now()))
	s.send(func(dst []byte) []byte { return appendAttach(dst, s.memory.lastNotice) })
}

// feed reads what has come in and tells events of it.
func (s *session) feed(p []byte) error {
	if s.silentSince.Load() != 0 {
		s.silentSince.Store(int64(s.now()))
	}
	s.input = append(s.input, p...)
	buf := s.input
	for {
		n, rest, done, err := nextNotice(buf)
		if err != nil {
			return err
		}
		if !done {
			break
		}
		if err := s.handle(n); err != nil {
			return err
		}
		buf = rest
	}
	s.input = append(s.input[:0], buf...)
	return nil
}

func (s *session) handle(n notice) error {
	if !s.hello && n.kind != "HELLO" {
		return fmt.Errorf("%w: %s before HELLO", ErrMalformed, n.kind)
	}
	switch n.kind {
	case "HELLO":
		s.hello, s.memory.helloSeen, s.memory.linksWithoutHello = true, true, 0
		s.silenceLimit.Store(int64(maxSilence))
		s.events.Started(n.duration)
		s.syncTag = s.sendStat() // what was missed stands between HELLO and the answer to this
	case "DONE", "NEED", "NOTE":
		if n.number <= s.memory.lastNotice { // told on an earlier link
			return nil
		}
		if next := s.memory.lastNotice + 1; n.number > next && s.memory.missingNotice != next {
			s.memory.missingNotice = next // a new link is told it, if the engine still knows; else it is passed over
			return fmt.Errorf("%w: notice %d where %d is due", ErrMalformed, n.number, next)
		}
		s.memory.lastNotice = n.number
		switch n.kind {
		case "DONE":
			s.events.Done(n.id, n.outcome, n.duration, n.result)
		case "NEED":
			s.events.Need(n.id, n.number, n.result)
		}
	case "STATS":
		s.statAnswered(n.tag)
		s.events.Gauges(n.gauges)
	case "NO":
		switch n.command {
		case "STAT":
			s.statAnswered(n.id)
		case "RUN":
			s.events.Rejected(n.id)
		default: // a FEED or SKIP for a run that no longer waits: its end is told by DONE
		}
	}
	return nil
}

// statAnswered takes the answer to a question, and with it that all that was written before the question was read.
func (s *session) statAnswered(tag string) {
	s.statMu.Lock()
	written, known := s.openStats[tag]
	delete(s.openStats, tag)
	if len(s.openStats) == 0 {
		s.silentSince.Store(0)
	}
	s.statMu.Unlock()
	if known {
		s.memory.confirmedAt = max(s.memory.confirmedAt, written)
	}
	if tag == s.syncTag && s.state.Load() == attaching {
		s.events.Attached(s.lossSince, func() { s.state.CompareAndSwap(attaching, ready) })
	}
}

// openStatCount tells how many questions have no answer.
func (s *session) openStatCount() int {
	s.statMu.Lock()
	defer s.statMu.Unlock()
	return len(s.openStats)
}

// sendStat asks for the gauges under a new tag.
func (s *session) sendStat() string {
	s.statMu.Lock()
	defer s.statMu.Unlock() // also while it is put: questions are written in the order of their times
	if s.openStats == nil {
		s.openStats = map[string]time.Duration{}
	}
	now := s.now()
	if len(s.openStats) == 0 {
		s.silentSince.Store(int64(now))
	}
	s.lastTag++
	tag := "g" + strconv.FormatInt(s.lastTag, 10)
	s.openStats[tag] = now
	s.send(func(dst []byte) []byte { return appendStat(dst, tag) })
	return tag
}
