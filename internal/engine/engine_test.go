package engine

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
	"cairnlane/policy"
)

// recorder records the events of a link.
type recorder struct {
	events       []string
	engineUptime time.Duration
}

func (r *recorder) Done(id string, end policy.Outcome, took time.Duration, result []byte) {
	r.events = append(r.events, fmt.Sprintf("%s %d %v %q", id, end, took, result))
}
func (r *recorder) Rejected(id string) { r.events = append(r.events, "no "+id) }
func (r *recorder) CallRequested(id string, number int64, body []byte) {
	r.events = append(r.events, fmt.Sprintf("need %s %d %q", id, number, body))
}
func (r *recorder) Gauges(v []float64)        { r.events = append(r.events, fmt.Sprint("gauges ", v)) }
func (r *recorder) Started(ago time.Duration) { r.engineUptime = ago }
func (r *recorder) Attached(_ time.Duration, open func()) {
	r.events = append(r.events, "attached")
	open()
}
func (r *recorder) want(t *testing.T, w string) {
	t.Helper()
	equal(t, strings.Join(r.events, "; "), w)
}

func equal(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// newTestSession returns a session whose events and output are recorded.
func newTestSession(mem *linkMemory) (*session, *recorder, *bytes.Buffer) {
	rec, out := new(recorder), new(bytes.Buffer)
	s := &session{memory: mem, events: rec, now: testkit.NewClock().Now, send: func(encode func([]byte) []byte) { out.Write(encode(nil)) }}
	s.sendAttach()
	return s, rec, out
}

func TestRunCarriesBodyUnchanged(t *testing.T) {
	equal(t, string(appendRun(nil, "0a", "note-save", []byte("a\r\n\x00b"))), "RUN 0a note-save 5\r\na\r\n\x00b\r\n")
}

func TestMissedNoticesAreDeliveredBeforeAttached(t *testing.T) {
	mem := &linkMemory{lastNotice: 3}
	s, rec, out := newTestSession(mem)
	in := "HELLO running 10\r\nDONE 3 aa fine 1 0\r\n\r\nDONE 4 bb fine 2.5 4\r\n\r\n\r\n\r\nNOTE 5 any words\r\nSTATS g1 0.5 3 0.1 9\r\n"
	if err := s.feed([]byte(in)); err != nil {
		t.Fatal(err)
	}
	equal(t, out.String(), "ATTACH 3\r\nSTAT g1\r\n")
	rec.want(t, `bb 0 2.5ms "\r\n\r\n"; attached; gauges [0.5 3 0.1 9]`)
	if mem.lastNotice != 5 || s.state.Load() != ready || rec.engineUptime != 10*time.Millisecond {
		t.Errorf("last notice %d, state %v, engine uptime %v", mem.lastNotice, s.state.Load(), rec.engineUptime)
	}
}

// TestRejectedCommands checks that the rejection of a FEED or SKIP is not taken for that of a RUN: a run that
// has started would end as one that never ran.
func TestRejectedCommands(t *testing.T) {
	s, rec, _ := newTestSession(&linkMemory{})
	if err := s.feed([]byte("HELLO starting 0\r\nNO STAT g1\r\nNO RUN 7f\r\nNO FEED 7e\r\nNO SKIP 7d\r\n")); err != nil {
		t.Fatal(err)
	}
	rec.want(t, "attached; no 7f")
}

func TestCallBodiesAndRepliesAreUnchanged(t *testing.T) {
	equal(t, string(appendFeed(nil, "0a", []byte("a\r\n\x00b"))), "FEED 0a 5\r\na\r\n\x00b\r\n")
	equal(t, string(appendSkip(nil, "0a", 12)), "SKIP 0a 12\r\n")
	mem := &linkMemory{}
	s, rec, _ := newTestSession(mem)
	in := "HELLO running 1\r\nNEED 1 0a 4\r\n\r\nx\x00\r\nNEED 1 0a 4\r\n\r\nx\x00\r\nDONE 2 0a fine 1 0\r\n\r\nNEED 3 0b 0\r\n\r\n"
	if err := s.feed([]byte(in)); err != nil {
		t.Fatal(err)
	}
	rec.want(t, `need 0a 1 "\r\nx\x00"; 0a 0 1ms ""; need 0b 3 ""`) // the NEED that is sent twice is reported once
	if mem.lastNotice != 3 {
		t.Errorf("last notice %d, want 3", mem.lastNotice)
	}
	for _, in := range []string{"HELLO running 1\r\nNEED 1 0a\r\n", "HELLO running 1\r\nNEED 1 0a 99999999\r\n"} {
		s, _, _ := newTestSession(&linkMemory{})
		if err := s.feed([]byte(in)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: error %v", in, err)
		}
	}
}

// TestMalformedInputEndsLink checks malformed input, such as an unknown outcome, which must not count as
// success, the zero value of policy.Outcome.
func TestMalformedInputEndsLink(t *testing.T) {
	for _, in := range []string{"DONE 1 a fine 1 0\r\n\r\n", "HELLO x\r\n", "HELLO running 1\r\nDONE 1 a odd 1 0\r\n\r\n",
		"HELLO running 1\r\nDONE x a fine 1 0\r\n\r\n", "HELLO running 1\r\nDONE 1 a fine 1 99999999\r\n",
		"HELLO running 1\r\nDONE 1 a fine 1 1\r\nabc", "HELLO running 1\r\nWHAT\r\n", "\r\n", strings.Repeat("x", maxLine+1)} {
		s, _, _ := newTestSession(&linkMemory{})
		if err := s.feed([]byte(in)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: error %v", in, err)
		}
	}
}

// TestMissingNoticeIsRequestedOnce checks that when a notice arrives ahead of a missing one, the missing one is
// not dropped later as already delivered: its run would never end. The link is re-established so that the engine
// sends it again; if the engine no longer has it, it is skipped.
func TestMissingNoticeIsRequestedOnce(t *testing.T) {
	mem := &linkMemory{}
	s, rec, _ := newTestSession(mem)
	if err := s.feed([]byte("HELLO running 5\r\nDONE 1 a fine 1 0\r\n\r\nDONE 3 c fine 1 0\r\n\r\n")); !errors.Is(err, ErrMalformed) || mem.lastNotice != 1 {
		t.Fatalf("error %v, last notice %d", err, mem.lastNotice)
	}
	s, again, _ := newTestSession(mem)
	if err := s.feed([]byte("HELLO running 5\r\nDONE 2 b fine 1 0\r\n\r\nDONE 3 c fine 1 0\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	rec.want(t, `a 0 1ms ""`)
	again.want(t, `b 0 1ms ""; c 0 1ms ""`)
	for _, fails := range []bool{true, false} { // notices 4 to 6 are lost
		s, rec, _ = newTestSession(mem)
		if err := s.feed([]byte("HELLO running 5\r\nDONE 7 g fine 1 0\r\n\r\n")); (err != nil) != fails {
			t.Fatalf("error %v", err)
		}
	}
	rec.want(t, `g 0 1ms ""`)
}

// TestNoticesAreDeliveredOnceAcrossBreaks breaks the link at random positions of the stream.
func TestNoticesAreDeliveredOnceAcrossBreaks(t *testing.T) {
	testkit.RunStateMachine(t, func(*rapid.T) map[string]func(*rapid.T) {
		mem := &linkMemory{}
		var notices []string // notices of the engine, in the order of their numbers
		var delivered []string
		var s *session
		var rec *recorder
		var wire []byte
		attach := func(*rapid.T) {
			if rec != nil {
				delivered = append(delivered, rec.events...)
			}
			s, rec, _ = newTestSession(mem)
			wire = []byte("HELLO running 5\r\n")
			for _, n := range notices[mem.lastNotice:] {
				wire = append(wire, n...)
			}
		}
		attach(nil)
		return map[string]func(*rapid.T){
			"break": attach,
			"done": func(rt *rapid.T) {
				body := rapid.StringN(0, 20, -1).Draw(rt, "body")
				n := fmt.Sprintf("DONE %d id%d fine 1 %d\r\n%s\r\n", len(notices)+1, len(notices)+1, len(body), body)
				notices = append(notices, n)
				wire = append(wire, n...)
			},
			"read": func(rt *rapid.T) {
				n := rapid.IntRange(0, len(wire)).Draw(rt, "bytes")
				if err := s.feed(wire[:n]); err != nil {
					rt.Fatal(err)
				}
				wire = wire[n:]
			},
			"": func(rt *rapid.T) {
				all := slices.Concat(delivered, rec.events)
				for i, event := range all {
					if !strings.HasPrefix(event, fmt.Sprintf("id%d ", i+1)) {
						rt.Fatalf("event %d is %s", i+1, event)
					}
				}
				if int64(len(all)) != mem.lastNotice {
					rt.Fatalf("%d events, last notice %d", len(all), mem.lastNotice)
				}
			},
		}
	})
}
