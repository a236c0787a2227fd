package front

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
	"cairnlane/internal/thrift"
)

// recordingCore is a Core that records requests and does not answer them.
type recordingCore struct {
	requests  []replica.Request
	malformed int
	gone      []string
}

func (c *recordingCore) Arrive(q replica.Request) error {
	if q.Class != "page" {
		return fmt.Errorf("unknown class %q", q.Class)
	}
	c.requests = append(c.requests, q)
	return nil
}
func (c *recordingCore) CountMalformed()               { c.malformed++ }
func (c *recordingCore) CallerGone(txn string)         { c.gone = append(c.gone, txn) }
func (c *recordingCore) Healthy() bool                 { return true }
func (c *recordingCore) CurrentSignal() replica.Signal { return replica.Signal{Value: 0.25, Set: true} }

// testRouter is the router's side of a session.
type testRouter struct {
	*session
	recorder *recordingCore
	clock    *testkit.Clock
	out      []byte
}

func newTestRouter() *testRouter {
	r := &testRouter{recorder: new(recordingCore), clock: testkit.NewClock()}
	r.session = &session{core: r.recorder, now: r.clock.Now, acceptedAt: r.clock.Now(), lastUsed: r.clock.Now(),
		overLimit: new(counters.Counter), send: func(encode func([]byte) []byte) { r.out = encode(r.out) }}
	return r
}

func requestFields(more ...[2]string) [][2]string {
	return append([][2]string{{"verb", "page"}, {"txn", "9b1f03aa5c7e2d41"}, {"door", "1764576000123"}, {"lb", "4"},
		{"team", "x"}, {"limit", "480"}, {"ram", "24.5"}, {"standing", "0.6250"}}, more...)
}

func callMessage(name string, seq int32, fields [][2]string, body string) []byte {
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: name, Seq: seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), body))
	})
}

func forgetMessage(seq int32) []byte {
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Oneway, Name: "forget", Seq: 0})
		b = thrift.AppendI32(thrift.AppendField(b, thrift.I32, 1), seq)
		return thrift.AppendStop(b)
	})
}

// nextMessage removes one message from the output and returns its header and the encoded rest.
func (r *testRouter) nextMessage() (thrift.Header, string) {
	p, rest, _ := thrift.Frame(r.out)
	r.out = rest
	in := thrift.NewReader(p)
	h := in.Header()
	return h, string(p[len(p)-in.Len():])
}

func TestRequestIsDecoded(t *testing.T) {
	r := newTestRouter()
	if err := r.feed(callMessage("serve", 1, requestFields([2]string{"second", "1"}, [2]string{"unique", "k"}), "\x00body")); err != nil {
		t.Fatal(err)
	}
	q := r.recorder.requests[0]
	q.Reply = nil
	want := replica.Request{Txn: "9b1f03aa5c7e2d41", Class: "page", Tenant: "x", Body: []byte("\x00body"), Caller: 4, Retry: true,
		KB: 24.5, Rank: 0.625, ArrivedAt: time.UnixMilli(1764576000123), WaitLimit: 480 * time.Millisecond, IdempotencyKey: "k"}
	if got := fmt.Sprintf("%+v", q); got != fmt.Sprintf("%+v", want) {
		t.Errorf("got  %s\nwant %+v", got, want)
	}
}

// TestForgetAbandonsAttemptOfItsCall checks that a forget message reaches the core. If it were ignored like other oneway
// messages, the attempt would go on and its run would be wasted.
func TestForgetAbandonsAttemptOfItsCall(t *testing.T) {
	r := newTestRouter()
	if err := r.feed(callMessage("serve", 5, requestFields(), "")); err != nil {
		t.Fatal(err)
	}
	for _, seq := range []int32{4, 5} { // the message for an unknown call is ignored
		if err := r.feed(forgetMessage(seq)); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.recorder.gone) != 1 || r.recorder.gone[0] != "9b1f03aa5c7e2d41" {
		t.Fatalf("abandoned attempts %q", r.recorder.gone)
	}
	r.recorder.requests[0].Reply.Answer(replica.Answer{Kind: replica.Served})
	if err := r.feed(forgetMessage(5)); err != nil { // so is the one for an answered call
		t.Fatal(err)
	}
	if len(r.recorder.gone) != 1 {
		t.Errorf("abandoned attempts %q after the answer", r.recorder.gone)
	}
}

// TestWaitLimitIsOptional checks that a request without "limit" is valid: routers at some sites do not send it.
func TestWaitLimitIsOptional(t *testing.T) {
	r := newTestRouter()
	var without [][2]string
	for _, f := range requestFields() {
		if f[0] != "limit" {
			without = append(without, f)
		}
	}
	if err := r.feed(callMessage("serve", 1, without, "")); err != nil {
		t.Fatal(err)
	}
	if q := r.recorder.requests; len(q) != 1 || q[0].WaitLimit != 0 || !q[0].WaitLimitUnknown {
		t.Errorf("requests %+v, %d malformed", q, r.recorder.malformed)
	}
}

// TestLongNamesAndWaitLimitsAreAccepted checks that names of over 64 bytes and wait limits of over a minute are valid, as
// the settings bound them.
func TestLongNamesAndWaitLimitsAreAccepted(t *testing.T) {
	r := newTestRouter()
	name := strings.Repeat("the-school-of-distance-education-", 20)
	if err := r.feed(callMessage("serve", 1, requestFields([2]string{"team", name}, [2]string{"limit", "90000"}), "")); err != nil {
		t.Fatal(err)
	}
	if err := r.feed(callMessage("serve", 2, requestFields([2]string{"verb", name}), "")); err != nil {
		t.Fatal(err)
	}
	if q := r.recorder.requests; len(q) != 1 || q[0].Tenant != name || q[0].WaitLimit != 90*time.Second {
		t.Errorf("requests %+v", q)
	}
	if h, text := r.nextMessage(); h.Type != thrift.Exception || !strings.Contains(text, "unknown class") {
		t.Errorf("answer for an unknown class: %+v %q", h, text)
	}
}

func TestAnswerFields(t *testing.T) {
	signal := replica.Signal{Value: 0.5, Set: true}
	for _, tc := range []struct {
		answer replica.Answer
		has    []string
		not    string
	}{
		{replica.Answer{Kind: replica.Served, Body: []byte("result"), Signal: signal}, []string{"result", "feedback", "0.5"}, "later"},
		{replica.Answer{Kind: replica.Rejected, RetryAfter: 1500 * time.Microsecond, DoNotRetry: true, Signal: signal},
			[]string{"later\x00\x00\x00\x012", "giveup\x00\x00\x00\x011", "feedback"}, "result"},
		{replica.Answer{Kind: replica.Rejected}, nil, "later"},
		{replica.Answer{Kind: replica.Failed, Signal: signal}, []string{"feedback"}, "giveup"},
	} {
		r := newTestRouter()
		if err := r.feed(callMessage("serve", 3, requestFields(), "")); err != nil {
			t.Fatal(err)
		}
		r.recorder.requests[0].Reply.Answer(tc.answer)
		h, text := r.nextMessage()
		ok := h == thrift.Header{Type: thrift.Reply, Name: "serve", Seq: 3} && !strings.Contains(text, tc.not)
		for _, has := range tc.has {
			ok = ok && strings.Contains(text, has)
		}
		if !ok {
			t.Errorf("%+v is encoded as %+v %q", tc.answer, h, text)
		}
	}
}

func TestMalformedCallIsAnsweredWithException(t *testing.T) {
	for name, m := range map[string][]byte{
		"unknown class":      callMessage("serve", 5, requestFields([2]string{"verb", "other"}), ""),
		"unknown method":     callMessage("fetch", 5, nil, ""),
		"no door":            callMessage("serve", 5, requestFields([2]string{"door", ""}), ""),
		"zero memory":        callMessage("serve", 5, requestFields([2]string{"ram", "0"}), ""),
		"NaN":                callMessage("serve", 5, requestFields([2]string{"ram", "NaN"}), ""),
		"rank out of range":  callMessage("serve", 5, requestFields([2]string{"standing", "1"}), ""),
		"negative limit":     callMessage("serve", 5, requestFields([2]string{"limit", "-1"}), ""),
		"limit out of range": callMessage("serve", 5, requestFields([2]string{"limit", "1e9"}), ""),
		"invalid retry mark": callMessage("serve", 5, requestFields([2]string{"second", "2"}), ""),
		"long key":           callMessage("serve", 5, requestFields([2]string{"unique", strings.Repeat("x", maxName+1)}), ""),
		"bad txn":            callMessage("serve", 5, requestFields([2]string{"txn", "a\r\nRUN x y 0"}), ""),
		"large body":         callMessage("serve", 5, requestFields(), strings.Repeat("x", maxBody+1)),
		"truncated":          thrift.AppendFrame(nil, func(b []byte) []byte { return append(b, callMessage("serve", 5, requestFields(), "")[4:60]...) }),
	} {
		r := newTestRouter()
		if err := r.feed(append(m, callMessage("isWell", 6, nil, "")...)); err != nil {
			t.Errorf("%s: the session fails: %v", name, err)
			continue
		}
		exception, _ := r.nextMessage()
		check, text := r.nextMessage()
		if exception.Type != thrift.Exception || exception.Seq != 5 || check.Seq != 6 || !strings.Contains(text, "0.25") {
			t.Errorf("%s: %+v, then %+v %q", name, exception, check, text)
		}
	}
}

func TestGarbageFailsTheSession(t *testing.T) {
	reply := thrift.AppendFrame(nil, func(b []byte) []byte {
		return thrift.AppendHeader(b, thrift.Header{Type: thrift.Reply, Name: "serve", Seq: 1})
	})
	twice := callMessage("isWell", 1, nil, "")
	for name, in := range map[string][]byte{"repeated sequence number": append(twice, twice...), "text": []byte("GET / HTTP/1.1\r\n"), "a reply": reply, "no header": {0, 0, 0, 1, 9}} {
		r := newTestRouter()
		if err := r.feed(in); err == nil || len(r.recorder.requests) > 0 {
			t.Errorf("%s is accepted: error %v, %d requests", name, err, len(r.recorder.requests))
		}
	}
}

// TestConnectionStates checks a session against a model of its state: the open calls, whether goaway was sent, since when
// the connection is idle, and whether it is overdue. Clients that send nothing, or a frame that never ends, must not
// keep their connection.
func TestConnectionStates(t *testing.T) {
	testkit.RunStateMachine(t, func(*rapid.T) map[string]func(*rapid.T) {
		r := newTestRouter()
		open, givenUp := map[int32]replica.Reply{}, map[int32]bool{}
		var unread []byte  // written by the router, not yet read by the session
		var partial []byte // the incomplete frame that the session holds
		acceptedAt, partialSince, kind := r.clock.Now(), time.Duration(0), conns.Silent
		seq, lastUsed, goawayRequests, closed, calls, goawaysSent := int32(0), r.clock.Now(), 0, false, map[int32]bool{}, 0
		return map[string]func(*rapid.T){
			"write": func(rt *rapid.T) {
				if seq++; seq%4 == 0 {
					unread = append(unread, callMessage("isWell", seq, nil, "")...)
				} else {
					unread = append(unread, callMessage("serve", seq, requestFields(), rapid.StringN(0, 9, -1).Draw(rt, "body"))...)
				}
				calls[seq] = true
			},
			"read": func(rt *rapid.T) {
				n, before := rapid.IntRange(0, len(unread)).Draw(rt, "bytes"), len(r.recorder.requests)
				if len(open) > conns.MaxAwaited-20 || closed {
					return
				}
				if err := r.feed(unread[:n]); err != nil {
					rt.Fatal(err)
				}
				parsed := false
				for partial = append(partial, unread[:n]...); ; parsed = true {
					p, rest, _ := thrift.Frame(partial)
					if p == nil {
						break
					}
					partial = rest
					if h := thrift.NewReader(p).Header(); h.Name == "serve" {
						kind = conns.Caller
					} else {
						kind = max(kind, conns.Checker)
					}
				}
				if len(partial) == 0 {
					partialSince = 0
				} else if parsed || partialSince == 0 {
					partialSince = r.clock.Now()
				}
				unread = unread[n:]
				for _, q := range r.recorder.requests[before:] {
					open[q.Reply.(*call).seq] = q.Reply
				}
				lastUsed = r.clock.Now()
			},
			"answer": func(*rapid.T) {
				for s, reply := range open {
					reply.Answer(replica.Answer{Kind: replica.Failed})
					delete(open, s)
					delete(givenUp, s)
					lastUsed = r.clock.Now()
					return
				}
			},
			"forget": func(rt *rapid.T) {
				given := rapid.Int32Range(1, seq+1).Draw(rt, "call")
				before := len(r.recorder.gone)
				if len(partial) > 0 || closed {
					return
				}
				if err := r.feed(forgetMessage(given)); err != nil {
					rt.Fatal(err)
				}
				lastUsed = r.clock.Now()
				if open[given] != nil && !givenUp[given] {
					givenUp[given] = true
					before++
				}
				if len(r.recorder.gone) != before {
					rt.Fatalf("%d calls are given up, want %d", len(r.recorder.gone), before)
				}
			},
			"goaway": func(*rapid.T) { r.sendGoaway(); goawayRequests++ },
			"end": func(rt *rapid.T) {
				closed = rapid.IntRange(0, 30).Draw(rt, "end") == 0 || closed
				if !closed {
					return
				}
				want := len(r.recorder.gone) + len(open) - len(givenUp)
				r.endCalls()
				for s := range open {
					givenUp[s] = true
				}
				if len(r.recorder.gone) != want {
					rt.Fatalf("%d calls are given up at the end, want %d", len(r.recorder.gone), want)
				}
			},
			"wait": func(*rapid.T) { r.clock.Advance(time.Second) },
			"": func(rt *rapid.T) {
				for len(r.out) > 0 {
					h, _ := r.nextMessage()
					switch {
					case h.Name == "goaway":
						if goawaysSent++; goawaysSent > 1 || goawayRequests == 0 || h.Type != thrift.Oneway {
							rt.Fatalf("goaway number %d after %d requests for it", goawaysSent, goawayRequests)
						}
					case !calls[h.Seq] || open[h.Seq] != nil || h.Type != thrift.Reply:
						rt.Fatalf("answer %+v without an open call", h)
					}
					delete(calls, h.Seq)
				}
				now := r.clock.Now()
				want, due := conns.Use{Kind: kind, Last: lastUsed, Busy: len(open) > 0}, conns.None
				if partialSince > 0 {
					want.Kind = conns.Writing
				}
				switch idle := now - lastUsed; {
				case len(open) > 0:
				case kind == conns.Silent && partialSince == 0 && now >= acceptedAt+conns.FirstCallTimeout, kind == conns.Silent && now >= acceptedAt+conns.FrameTimeout,
					partialSince > 0 && now >= partialSince+conns.FrameTimeout:
					due = conns.Overdue
				case idle >= 3*time.Second:
					due = conns.Idle
				}
				if got := r.calls.NotGivenUp(); got != len(open)-len(givenUp) {
					rt.Fatalf("%d calls are not given up, want %d", got, len(open)-len(givenUp))
				}
				if got, why := r.use(), r.due(3*time.Second); got != want || why != due || r.calls.Unanswered() != len(open) {
					rt.Fatalf("use %+v, want %+v; due as %v, want %v; %d calls open, want %d", got, want, why, due, r.calls.Unanswered(), len(open))
				}
			},
		}
	})
}

func FuzzFeed(f *testing.F) {
	f.Add(callMessage("serve", 1, requestFields(), "body"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, parts := newTestRouter(), newTestRouter()
		err := whole.feed(bytes.Clone(in))
		for i := range in {
			if parts.feed(in[i:i+1]) != nil {
				break
			}
		}
		if err == nil && whole.overLimit.Load() == 0 && !bytes.Equal(whole.out, parts.out) {
			t.Errorf("output %x for input in parts, %x for the same input at once", parts.out, whole.out)
		}
	})
}
