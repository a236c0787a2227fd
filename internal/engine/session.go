package engine

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/policy"
)

// Events receives the notices of the engine. It is called sequentially, in the order of the notices.
type Events interface {
	// Started reports that the engine started ago earlier. It may start long after this process.
	Started(ago time.Duration)
	// Done reports the end of a run. result is valid only during the call.
	Done(id string, end policy.Outcome, took time.Duration, result []byte)
	// Rejected reports that the engine did not execute the RUN of this request.
	Rejected(id string)
	// CallRequested reports that a run waits for a call with this body; the body is valid only during the call. number is
	// that of the notice, and a SKIP of the call refers to it.
	CallRequested(id string, number int64, body []byte)
	// Gauges delivers the gauges, in the order of the settings.
	Gauges(values []float64)
	// Attached reports that the link is up and that all missed notices have been delivered. A run that is still
	// considered running and was written at since or later may have been lost with an earlier link. Run accepts
	// requests once open was called.
	Attached(since time.Duration, open func())
}

// linkMemory is the state that outlives a link. Only the reader of the present link uses it.
type linkMemory struct {
	lastNotice int64 // number of the last notice read
	// confirmedAt is when the newest answered STAT was written. The engine reads in order, so it has received
	// everything that was written before on the same link, and everything written on an earlier link and not sent
	// again since.
	confirmedAt       time.Duration
	helloSeen         bool  // the engine has sent HELLO to this process
	linksWithoutHello int   // consecutive links without HELLO
	missingNotice     int64 // number of the missing notice for which a link was re-established
}

// States of a link.
const (
	attaching int32 = iota
	ready           // all missed notices have been read; commands may be written
	retired         // another link is about to replace this one
)

// session is the state of one link from ATTACH on; it does no I/O itself. Only the reader may use it, except for
// state, silentSince, silenceLimit and the fields guarded by statMu.
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
	silentSince  atomic.Int64 // time of the last input or request while an answer is awaited; 0 while none is
	silenceLimit atomic.Int64 // how long the link may be silent
	closeLink    func()       // closes the link

	statMu    sync.Mutex // guards the fields below
	lastTag   int64
	openStats map[string]time.Duration // time at which each unanswered STAT was written, by tag
}

// maxSilence is how long an engine may send nothing at all while the answer to a STAT is awaited. The gauges are
// requested at every tick and cost the engine little. A link that is silent for longer is closed: whatever blocks
// it, the missed notices are delivered on a new link.
const maxSilence = time.Second

// An engine may start long after this process and sends HELLO only then, so the first HELLO is given more time. The limit
// doubles with each link in a row without HELLO, so that an engine that is slow to answer gets the time it needs.
const (
	firstHelloDoublings = 2 // initial doublings for an engine that has not sent HELLO yet
	maxDoublings        = 4 // limit on the doublings
)

// silent reports whether the link has been silent for too long.
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

// feed parses input and passes its notices to events.
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
		s.syncTag = s.sendStat() // missed notices arrive between HELLO and the answer to this STAT
	case "DONE", "NEED", "NOTE":
		if n.number <= s.memory.lastNotice { // already delivered on an earlier link
			return nil
		}
		if next := s.memory.lastNotice + 1; n.number > next && s.memory.missingNotice != next {
			s.memory.missingNotice = next // a new link is sent it if the engine still has it; otherwise it is skipped
			return fmt.Errorf("%w: notice %d received, expected %d", ErrMalformed, n.number, next)
		}
		s.memory.lastNotice = n.number
		switch n.kind {
		case "DONE":
			s.events.Done(n.id, n.outcome, n.duration, n.result)
		case "NEED":
			s.events.CallRequested(n.id, n.number, n.result)
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
		default: // a FEED or SKIP for a run that no longer waits: its end is reported by DONE
		}
	}
	return nil
}

// statAnswered handles the answer to a STAT, which confirms that everything written before the STAT was read.
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

// openStatCount returns the number of unanswered STATs.
func (s *session) openStatCount() int {
	s.statMu.Lock()
	defer s.statMu.Unlock()
	return len(s.openStats)
}

// sendStat requests the gauges under a new tag and returns the tag.
func (s *session) sendStat() string {
	s.statMu.Lock()
	defer s.statMu.Unlock() // held during the write: STATs are written in the order of their times
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
