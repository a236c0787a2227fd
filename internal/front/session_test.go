package front

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
	"cairnlane/internal/thrift"
)

// core is a Core that keeps the requests it is given.
type core struct {
	requests []replica.Request
	turned   int
	gone     []string
}

func (c *core) Arrive(q replica.Request) error {
	if q.Class != "page" {
		return fmt.Errorf("unknown class %q", q.Class)
	}
	c.requests = append(c.requests, q)
	return nil
}
func (c *core) CountMalformed()               { c.turned++ }
func (c *core) CallerGone(txn string)         { c.gone = append(c.gone, txn) }
func (c *core) Healthy() bool                 { return true }
func (c *core) CurrentSignal() replica.Signal { return replica.Signal{Value: 0.25, Set: true} }

// router is the other end of a session.
type router struct {
	*session
	core  *core
	clock *testkit.Clock
	out   []byte
}

func newRouter() *router {
	r := &router{core: new(core), clock: testkit.NewClock()}
	r.session = &session{core: r.core, now: r.clock.Now, began: r.clock.Now(), used: r.clock.Now(),
		send: func(encode func([]byte) []byte) { r.out = encode(r.out) }}
	return r
}

func fields(more ...[2]string) [][2]string {
	return append([][2]string{{"verb", "page"}, {"txn", "9b1f03aa5c7e2d41"}, {"door", "1764576000123"}, {"lb", "4"},
		{"team", "x"}, {"limit", "480"}, {"ram", "24.5"}, {"standing", "0.6250"}}, more...)
}

func message(name string, seq int32, fields [][2]string, body string) []byte {
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: name, Seq: seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), body))
	})
}

// next cuts one message off the output and describes it: its header, then the text of the rest.
func (r *router) next() (thrift.Header, string) {
	p, rest, _ := thrift.Frame(r.out)
	r.out = rest
	in := thrift.NewReader(p)
	h := in.Header()
	return h, string(p[len(p)-in.Len():])
}

func TestARequestIsTranslated(t *testing.T) {
	r := newRouter()
	if err := r.feed(message("serve", 1, fields([2]string{"second", "1"}, [2]string{"unique", "k"}), "\x00body")); err != nil {
		t.Fatal(err)
	}
	q := r.core.requests[0]
	q.Reply = nil
	want := replica.Request{Txn: "9b1f03aa5c7e2d41", Class: "page", Tenant: "x", Body: []byte("\x00body"), Caller: 4, Retry: true,
		KB: 24.5, Rank: 0.625, ArrivedAt: time.UnixMilli(1764576000123), WaitLimit: 480 * time.Millisecond, IdempotencyKey: "k"}
	if got := fmt.Sprintf("%+v", q); got != fmt.Sprintf("%+v", want) {
		t.Errorf("got  %s\nwant %+v", got, want)
	}
}

// A router's forget used to be passed over as any oneway message: the try went on, and its run was wasted.
func TestAForgetReachesTheTryOfItsCall(t *testing.T) {
	r := newRouter()
	if err := r.feed(message("serve", 5, fields(), "")); err != nil {
		t.Fatal(err)
	}
	forget := func(seq int32) []byte {
		return thrift.AppendFrame(nil, func(b []byte) []byte {
			b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Oneway, Name: "forget", Seq: 0})
			b = thrift.AppendI32(thrift.AppendField(b, thrift.I32, 1), seq)
			return thrift.AppendStop(b)
		})
	}
	for _, seq := range []int32{4, 5} { // a call that was never made is passed over
		if err := r.feed(forget(seq)); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.core.gone) != 1 || r.core.gone[0] != "9b1f03aa5c7e2d41" {
		t.Fatalf("gone %q", r.core.gone)
	}
	r.core.requests[0].Reply.Answer(replica.Answer{Kind: replica.Served})
	if err := r.feed(forget(5)); err != nil { // nor is one that has its answer
		t.Fatal(err)
	}
	if len(r.core.gone) != 1 {
		t.Errorf("gone %q after the answer", r.core.gone)
	}
}

// A request without "limit" used to be malformed; routers at some sites do not say how long they wait.
func TestARequestNeedNotSayHowLongItsCallerWaits(t *testing.T) {
	r := newRouter()
	var without [][2]string
	for _, f := range fields() {
		if f[0] != "limit" {
			without = append(without, f)
		}
	}
	if err := r.feed(message("serve", 1, without, "")); err != nil {
		t.Fatal(err)
	}
	if q := r.core.requests; len(q) != 1 || q[0].WaitLimit != 0 || !q[0].WaitLimitUnknown {
		t.Errorf("taken %+v, turned %d", q, r.core.turned)
	}
}

// Names of over 64 bytes and callers that wait for over a minute used to be malformed, whatever the settings name.
func TestNamesAndWaitsAreBoundedByTheSettings(t *testing.T) {
	r := newRouter()
	name := strings.Repeat("the-school-of-distance-education-", 20)
	if err := r.feed(message("serve", 1, fields([2]string{"team", name}, [2]string{"limit", "90000"}), "")); err != nil {
		t.Fatal(err)
	}
	if err := r.feed(message("serve", 2, fields([2]string{"verb", name}), "")); err != nil {
		t.Fatal(err)
	}
	if q := r.core.requests; len(q) != 1 || q[0].Tenant != name || q[0].WaitLimit != 90*time.Second {
		t.Errorf("taken %+v", q)
	}
	if h, text := r.next(); h.Type != thrift.Exception || !strings.Contains(text, "unknown class") {
		t.Errorf("a class that the settings do not name: %+v %q", h, text)
	}
}

func TestAnswersCarryTheirFields(t *testing.T) {
	signal := replica.Signal{Value: 0.5, Set: true}
	for _, k := range []struct {
		answer replica.Answer
		has    []string
		not    string
	}{
		{replica.Answer{Kind: replica.Served, Body: []byte("result"), Signal: signal}, []string{"result", "feedback", "0.5"}, "later"},
		{replica.Answer{Kind: replica.Rejected, RetryAfter: 1500 * time.Microsecond, GiveUp: true, Signal: signal},
			[]string{"later\x00\x00\x00\x012", "giveup\x00\x00\x00\x011", "feedback"}, "result"},
		{replica.Answer{Kind: replica.Rejected}, nil, "later"},
		{replica.Answer{Kind: replica.Failed, Signal: signal}, []string{"feedback"}, "giveup"},
	} {
		r := newRouter()
		if err := r.feed(message("serve", 3, fields(), "")); err != nil {
			t.Fatal(err)
		}
		r.core.requests[0].Reply.Answer(k.answer)
		h, text := r.next()
		ok := h == thrift.Header{Type: thrift.Reply, Name: "serve", Seq: 3} && !strings.Contains(text, k.not)
		for _, has := range k.has {
			ok = ok && strings.Contains(text, has)
		}
		if !ok {
			t.Errorf("%+v is written as %+v %q", k.answer, h, text)
		}
	}
}

func TestWhatIsWrongInACallIsAnsweredOnThatCall(t *testing.T) {
	for name, m := range map[string][]byte{
		"unknown class":  message("serve", 5, fields([2]string{"verb", "other"}), ""),
		"unknown method": message("fetch", 5, nil, ""),
		"no door":        message("serve", 5, fields([2]string{"door", ""}), ""),
		"no memory":      message("serve", 5, fields([2]string{"ram", "0"}), ""),
		"NaN":            message("serve", 5, fields([2]string{"ram", "NaN"}), ""),
		"no rank":        message("serve", 5, fields([2]string{"standing", "1"}), ""),
		"negative":       message("serve", 5, fields([2]string{"limit", "-1"}), ""),
		"no end":         message("serve", 5, fields([2]string{"limit", "1e9"}), ""),
		"odd mark":       message("serve", 5, fields([2]string{"second", "2"}), ""),
		"long key":       message("serve", 5, fields([2]string{"unique", strings.Repeat("x", maxName+1)}), ""),
		"bad txn":        message("serve", 5, fields([2]string{"txn", "a\r\nRUN x y 0"}), ""),
		"large body":     message("serve", 5, fields(), strings.Repeat("x", maxBody+1)),
		"cut short":      thrift.AppendFrame(nil, func(b []byte) []byte { return append(b, message("serve", 5, fields(), "")[4:60]...) }),
	} {
		r := newRouter()
		if err := r.feed(append(m, message("isWell", 6, nil, "")...)); err != nil {
			t.Errorf("%s ends the connection: %v", name, err)
			continue
		}
		fault, _ := r.next()
		check, text := r.next()
		if fault.Type != thrift.Exception || fault.Seq != 5 || check.Seq != 6 || !strings.Contains(text, "0.25") {
			t.Errorf("%s: %+v, then %+v %q", name, fault, check, text)
		}
	}
}

func TestGarbageEndsTheConnection(t *testing.T) {
	reply := thrift.AppendFrame(nil, func(b []byte) []byte {
		return thrift.AppendHeader(b, thrift.Header{Type: thrift.Reply, Name: "serve", Seq: 1})
	})
	twice, many := message("isWell", 1, nil, ""), []byte(nil)
	for seq := range int32(maxOpen + 1) {
		many = append(many, message("serve", seq+1, fields(), "")...)
	}
	for name, in := range map[string][]byte{"one number twice": append(twice, twice...), "calls by the hundred": many, "text": []byte("GET / HTTP/1.1\r\n"), "a reply": reply, "no header": {0, 0, 0, 1, 9}} {
		r := newRouter()
		if err := r.feed(in); err == nil || len(r.core.requests) > 0 {
			t.Errorf("%s is taken: error %v, %d requests", name, err, len(r.core.requests))
		}
	}
}

// TestConnectionStates checks a connection against a model of its states: the calls that are open,
// whether it was asked to part, since when it is idle, and whether it is overdue: clients that send
// nothing, or a frame that never ends, used to keep their connection.
func TestConnectionStates(t *testing.T) {
	testkit.Steps(t, func(*rapid.T) map[string]func(*rapid.T) {
		r := newRouter()
		open := map[int32]replica.Reply{}
		var wire []byte  // written by the router, not yet read
		var begun []byte // read, not yet a whole frame, since
		began, since, kind := r.clock.Now(), time.Duration(0), conns.Silent
		seq, used, parted, ended, asked, sent := int32(0), r.clock.Now(), 0, false, map[int32]bool{}, 0
		return map[string]func(*rapid.T){
			"write": func(rt *rapid.T) {
				if seq++; seq%4 == 0 {
					wire = append(wire, message("isWell", seq, nil, "")...)
				} else {
					wire = append(wire, message("serve", seq, fields(), rapid.StringN(0, 9, -1).Draw(rt, "body"))...)
				}
				asked[seq] = true
			},
			"read": func(rt *rapid.T) {
				n, before := rapid.IntRange(0, len(wire)).Draw(rt, "bytes"), len(r.core.requests)
				if len(open) > maxOpen-20 || ended {
					return
				}
				if err := r.feed(wire[:n]); err != nil {
					rt.Fatal(err)
				}
				cut := false
				for begun = append(begun, wire[:n]...); ; cut = true {
					p, rest, _ := thrift.Frame(begun)
					if p == nil {
						break
					}
					begun = rest
					if h := thrift.NewReader(p).Header(); h.Name == "serve" {
						kind = conns.Caller
					} else {
						kind = max(kind, conns.Checker)
					}
				}
				if len(begun) == 0 {
					since = 0
				} else if cut || since == 0 {
					since = r.clock.Now()
				}
				wire = wire[n:]
				for _, q := range r.core.requests[before:] {
					open[q.Reply.(*call).seq] = q.Reply
				}
				used = r.clock.Now()
			},
			"answer": func(*rapid.T) {
				for s, reply := range open {
					reply.Answer(replica.Answer{Kind: replica.Failed})
					delete(open, s)
					used = r.clock.Now()
					return
				}
			},
			"part": func(*rapid.T) { r.part(); parted++ },
			"end":  func(rt *rapid.T) { ended = rapid.IntRange(0, 30).Draw(rt, "end") == 0 || ended; endIf(r, ended) },
			"wait": func(*rapid.T) { r.clock.Advance(time.Second) },
			"": func(rt *rapid.T) {
				for len(r.out) > 0 {
					h, _ := r.next()
					switch {
					case h.Name == "goaway":
						if sent++; sent > 1 || parted == 0 || h.Type != thrift.Oneway {
							rt.Fatalf("goaway number %d after %d partings", sent, parted)
						}
					case !asked[h.Seq] || open[h.Seq] != nil || h.Type != thrift.Reply:
						rt.Fatalf("answer %+v to no open call", h)
					}
					delete(asked, h.Seq)
				}
				now := r.clock.Now()
				want, due := conns.Use{Kind: kind, Last: used, Busy: len(open) > 0}, conns.None
				if since > 0 {
					want.Kind = conns.Writing
				}
				switch idle := now - used; {
				case len(open) > 0:
				case kind == conns.Silent && since == 0 && now >= began+conns.CallTime, kind == conns.Silent && now >= began+conns.WriteTime,
					since > 0 && now >= since+conns.WriteTime:
					due = conns.Overdue
				case idle >= 3*time.Second:
					due = conns.Idle
				}
				if got, why := r.use(), r.due(3*time.Second); got != want || why != due || r.open != len(open) {
					rt.Fatalf("use %+v, want %+v; due for %v, want %v; %d calls open, want %d", got, want, why, due, r.open, len(open))
				}
			},
		}
	})
}

func endIf(r *router, ended bool) {
	if ended {
		r.end()
	}
}

func FuzzFeed(f *testing.F) {
	f.Add(message("serve", 1, fields(), "body"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, parts := newRouter(), newRouter()
		err := whole.feed(bytes.Clone(in))
		for i := range in {
			if parts.feed(in[i:i+1]) != nil {
				break
			}
		}
		if err == nil && !bytes.Equal(whole.out, parts.out) {
			t.Errorf("in parts %x, as a whole %x", parts.out, whole.out)
		}
	})
}
