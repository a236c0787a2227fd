package conns

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnlane/internal/testkit"
)

// TestVictimsMatchSortedOrder compares the lists with a plain sort of all connections.
func TestVictimsMatchSortedOrder(t *testing.T) {
	testkit.RunStateMachine(t, func(*rapid.T) map[string]func(*rapid.T) {
		limits := Limits{Max: 12, Protected: 250 * time.Millisecond, MaxSilent: 3}
		table, uses, now := NewTable(limits), map[*Conn]Use{}, time.Hour
		kinds, closing := map[*Conn]Kind{}, map[*Conn]bool{}
		var order []*Conn // by age, so that ties are broken in one way
		drawConn := func(rt *rapid.T) *Conn {
			if len(order) == 0 {
				rt.Skip()
			}
			return order[rapid.IntRange(0, len(order)-1).Draw(rt, "conn")]
		}
		return map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				if table.Full() {
					return
				}
				c := new(Conn)
				order, uses[c] = append(order, c), Use{Last: now}
				table.Add(c, now)
			},
			"remove": func(rt *rapid.T) {
				c := drawConn(rt)
				table.Remove(c)
				table.Remove(c)
				delete(uses, c)
				delete(closing, c)
				order = slices.DeleteFunc(order, func(o *Conn) bool { return o == c })
			},
			"close": func(rt *rapid.T) {
				c := drawConn(rt)
				table.StartClosing(c)
				closing[c] = true
			},
			"use": func(rt *rapid.T) {
				c := drawConn(rt)
				kinds[c] = max(kinds[c], Kind(rapid.IntRange(0, 2).Draw(rt, "kind")))
				uses[c] = Use{Kind: kinds[c], Last: now, Busy: rapid.IntRange(0, 3).Draw(rt, "busy") == 0}
				if rapid.IntRange(0, 3).Draw(rt, "writing") == 0 {
					uses[c] = Use{Kind: Writing, Last: now}
				}
			},
			"wait": func(rt *rapid.T) { now += time.Duration(1+rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond },
			"": func(rt *rapid.T) {
				now++ // no two uses have the same time
				use := func(c *Conn) Use { return uses[c] }
				for range table.Victims(now, use) { // re-sort connections used since; the next iteration is then in order
				}
				silent := table.Count(Silent)
				var want []*Conn
				evictionRank := func(c *Conn) int {
					u := uses[c]
					switch fresh := now-u.Last < limits.Protected; {
					case u.Busy || closing[c]:
						return -1
					case u.Kind == Silent && (!fresh || silent > limits.MaxSilent):
						return 0
					case u.Kind == Checker && !fresh:
						return 1
					case u.Kind == Caller && !fresh:
						return 2
					case u.Kind == Silent:
						return 3
					case u.Kind == Writing && c.kind == Writing: // one that is not in this list yet was used just now and is protected
						return 4
					}
					return -1
				}
				for _, c := range order {
					if evictionRank(c) >= 0 {
						want = append(want, c)
					}
				}
				slices.SortStableFunc(want, func(a, b *Conn) int {
					return cmp.Or(cmp.Compare(evictionRank(a), evictionRank(b)), cmp.Compare(uses[a].Last, uses[b].Last))
				})
				var got []*Conn
				for c := range table.Victims(now, use) {
					if !slices.Contains(got, c) {
						got = append(got, c)
					}
				}
				if !slices.Equal(got, want) || table.Len() != len(order) {
					rt.Fatalf("%d victims, want %d; %d connections, want %d", len(got), len(want), table.Len(), len(order))
				}
				if staying := len(order) - len(closing); table.Full() != (len(order) >= limits.Max) || table.NeedsVictim() != (staying >= limits.Max) {
					rt.Fatalf("full %v, needs a victim %v; %d connections, %d of them being closed", table.Full(), table.NeedsVictim(), len(order), len(closing))
				}
			},
		}
	})
}

// TestLifetimeCloseReason checks that a request that takes 2 s to write, in halves or in pieces, is served, and that a
// malicious client is disconnected within 3 s of connecting, less the 250 ms between sweeps, whatever it has
// started and when.
func TestLifetimeCloseReason(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		s    Lifetime
		at   time.Duration
		want Reason
	}{
		{"silent, within the limit", Lifetime{AcceptedAt: 1}, FirstCallTimeout, None},
		{"silent", Lifetime{}, FirstCallTimeout, Overdue},
		{"half a request after 2 s", Lifetime{FrameStart: 1, LastUsed: 1}, 2100 * ms, None},
		{"half a request that is never completed", Lifetime{FrameStart: 1, LastUsed: 2400 * ms}, FrameTimeout + 1, Overdue},
		{"started late, within the limit", Lifetime{FrameStart: 1900 * ms, LastUsed: 1900 * ms}, FrameTimeout - 1, None},
		{"started late", Lifetime{FrameStart: 1900 * ms, LastUsed: 1900 * ms}, FrameTimeout, Overdue},
		{"a caller's frame", Lifetime{Kind: Caller, FrameStart: 9000 * ms, LastUsed: 9000 * ms}, 9000*ms + FrameTimeout - 1, None},
		{"a caller's frame that is never completed", Lifetime{Kind: Caller, FrameStart: 9000 * ms, LastUsed: 9000 * ms}, 9000*ms + FrameTimeout, Overdue},
		{"an idle caller", Lifetime{Kind: Caller, LastUsed: 1000 * ms}, 4000 * ms, Idle},
		{"a caller with an open call", Lifetime{Kind: Caller, LastUsed: 1000 * ms, Busy: true}, 9000 * ms, None},
	} {
		if got := c.s.CloseReason(c.at, 3*time.Second); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if FrameTimeout+250*ms >= 3*time.Second {
		t.Errorf("FrameTimeout %v plus a sweep of 250 ms is not below 3 s", FrameTimeout)
	}
}

func TestOutputLimitsSpareReadingPeers(t *testing.T) {
	o := OutputLimits{PerConnection: 100 << 10, Total: 1 << 20}
	for _, c := range []struct {
		own, all int
		want     bool
	}{{0, 0, true}, {100 << 10, 500 << 10, true}, {100<<10 + 1, 500 << 10, false}, {AlwaysAllowed, 9 << 20, true}, {AlwaysAllowed + 1, 1 << 20, false}} {
		if got := o.Allows(c.own, c.all); got != c.want {
			t.Errorf("Allows(%d, %d) = %v", c.own, c.all, got)
		}
	}
	if !(OutputLimits{PerConnection: 100}).Allows(100, 1<<40) {
		t.Error("output is limited although Total is 0")
	}
}

// TestClosingStates checks each reason on a connection with pending answers and on one without.
func TestClosingStates(t *testing.T) {
	busy, quiet := View{Open: 1}, View{}
	for why := Evicted; why < reasons; why++ {
		var e Closing
		revocable := why <= Exit
		switch got := e.Request(0, why, busy); {
		case revocable && (got != Keep || !e.AcceptsCalls()):
			t.Errorf("%v: connection in use: action %v, accepts calls %v", why, got, e.AcceptsCalls())
		case why == Malformed && (got != Keep || e.AcceptsCalls()):
			t.Errorf("%v: connection with pending answers: action %v, accepts calls %v", why, got, e.AcceptsCalls())
		case why > Malformed && got != Close:
			t.Errorf("%v: action %v", why, got)
		}
		if e = (Closing{}); e.Request(0, why, quiet) != Close || e.State() != Ended || e.Reason() != why || e.Step(0, busy) != Close {
			t.Errorf("%v: quiet connection: state %v, reason %v", why, e.State(), e.Reason())
		}
	}
	for _, k := range []struct {
		name  string
		steps []Action
		step  func(*Closing, int) Action
	}{
		{"answers acknowledged", []Action{Keep, HalfClose, Keep, Close}, func(e *Closing, i int) Action {
			return e.Step([]time.Duration{0, 10, 20, 10 + lingerTimeout}[i], []View{busy, quiet, quiet, quiet}[i])
		}},
		{"answers stay pending", []Action{Keep, Close, Close}, func(e *Closing, i int) Action {
			return e.Step([]time.Duration{0, answerTimeout, answerTimeout}[i], busy)
		}},
		{"peer keeps sending", []Action{Keep, Close}, func(e *Closing, i int) Action { e.Discard(i * (MaxDiscard + 1)); return e.Step(1, busy) }},
	} {
		var e Closing
		e.Request(0, Malformed, busy)
		for i, want := range k.steps {
			if got := k.step(&e, i); got != want {
				t.Errorf("%s, step %d: action %v, want %v", k.name, i, got, want)
			}
		}
	}
}

// BenchmarkVictim compares the lists with a search of all connections, in a full table of which most are in use,
// for the next victim.
func BenchmarkVictim(b *testing.B) {
	for _, n := range []int{60, 480, 4096, 32768} {
		table, all, now := NewTable(DefaultLimits(n)), make([]Conn, n), time.Hour
		uses := make(map[*Conn]Use, n)
		for i := range all {
			uses[&all[i]] = Use{Kind: Caller, Last: now + time.Duration(i)}
			table.insert(&all[i], uses[&all[i]])
		}
		now += time.Minute
		b.Run(fmt.Sprintf("lists/%d", n), func(b *testing.B) {
			for b.Loop() {
				for c := range table.Victims(now, func(c *Conn) Use { return uses[c] }) {
					table.Remove(c)
					now++
					uses[c] = Use{Kind: Caller, Last: now}
					table.insert(c, uses[c])
					break
				}
				now += time.Second
			}
		})
		b.Run(fmt.Sprintf("plain/%d", n), func(b *testing.B) {
			for b.Loop() {
				var victim *Conn
				var victimUse Use
				for i := range all {
					if u := uses[&all[i]]; !u.Busy && (victim == nil || u.Kind < victimUse.Kind || u.Kind == victimUse.Kind && u.Last < victimUse.Last) {
						victim, victimUse = &all[i], u
					}
				}
				now++
				uses[victim] = Use{Kind: Caller, Last: now}
			}
		})
	}
}
