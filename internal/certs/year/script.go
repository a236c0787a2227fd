// Package year plays a simulated year of one box with certificates of several lifetimes: a sped-up clock, the real
// keepers, store and TLS front over loopback, and stand-ins for the authorities that follow a script of faults.
package year

import (
	"math/rand/v2"
	"time"

	"cairnlane/internal/standin/authority"
)

const day = 24 * time.Hour

// Window is a stretch of a script.
type Window struct {
	From, To time.Time
	Kind     string
	fault    func(authority.Op) authority.Fault
}

// Script is what goes wrong at one authority, in order, without overlaps.
type Script []Window

// at gives the window that covers a time, or nil.
func (s Script) at(now time.Time) *Window {
	for i := range s {
		if !now.Before(s[i].From) && now.Before(s[i].To) {
			return &s[i]
		}
	}
	return nil
}

// Fault is for authority.Config.
func (s Script) Fault(now time.Time, op authority.Op) authority.Fault {
	if w := s.at(now); w != nil {
		return w.fault(op)
	}
	return authority.Fault{}
}

func only(op authority.Op, f authority.Fault) func(authority.Op) authority.Fault {
	return func(o authority.Op) authority.Fault {
		if o == op {
			return f
		}
		return authority.Fault{}
	}
}

// kinds are the faults that a window may hold.
var kinds = []struct {
	name string
	make func(*rand.Rand) func(authority.Op) authority.Fault
}{
	{"down", func(*rand.Rand) func(authority.Op) authority.Fault {
		return func(authority.Op) authority.Fault { return authority.Fault{Down: true} }
	}},
	{"slow", func(*rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpOrder, authority.Fault{Slow: true})
	}},
	{"errors", func(r *rand.Rand) func(authority.Op) authority.Fault {
		f := authority.Fault{Status: 503, RetryAfter: time.Duration(r.IntN(90)) * time.Minute}
		return func(authority.Op) authority.Fault { return f }
	}},
	{"bad nonces", func(*rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpFinalize, authority.Fault{BadNonce: true})
	}},
	{"limits", func(r *rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpOrder, authority.Fault{Status: 429, Problem: "rateLimited", RetryAfter: time.Duration(1+r.IntN(11)) * time.Hour})
	}},
	{"refusals", func(*rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpOrder, authority.Fault{Problem: "caa"})
	}},
	{"slow validation", func(r *rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpChallenge, authority.Fault{Pending: time.Duration(1+r.IntN(20)) * time.Hour})
	}},
	{"failed validation", func(*rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpChallenge, authority.Fault{Invalid: true})
	}},
	{"rubbish", func(r *rand.Rand) func(authority.Op) authority.Fault {
		all := []authority.Rubbish{authority.WrongName, authority.AlreadyOver, authority.OtherKey, authority.NoPEM}
		return only(authority.OpFinalize, authority.Fault{Rubbish: all[r.IntN(len(all))]})
	}},
	{"answers lost", func(r *rand.Rand) func(authority.Op) authority.Fault {
		ops := []authority.Op{authority.OpOrder, authority.OpChallenge, authority.OpFinalize, authority.OpFetch}
		return only(ops[r.IntN(len(ops))], authority.Fault{Lost: true})
	}},
	{"replaces refused", func(*rand.Rand) func(authority.Op) authority.Fault {
		return only(authority.OpOrder, authority.Fault{Replace: true})
	}},
}

// draw makes a script for a span: windows of up to most, with up to apart between them.
func draw(r *rand.Rand, from, to time.Time, most, apart time.Duration) (s Script) {
	for at := from.Add(span(r, day, apart)); ; {
		k := kinds[r.IntN(len(kinds))]
		w := Window{From: at, To: at.Add(span(r, 6*time.Hour, most)), Kind: k.name, fault: k.make(r)}
		if w.To.After(to) {
			return s
		}
		s = append(s, w)
		at = w.To.Add(span(r, day, apart))
	}
}

func span(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// baseline is what renewing at a third of the lifetime left, with a try each hour at the first authority alone and no
// heed to what it says, comes to under the same script: how long no good certificate is held, and how often it asks.
func baseline(s Script, from, to time.Time, life time.Duration) (expired time.Duration, orders, most int) {
	good := from.Add(life)
	var tries []time.Time
	for now := from; now.Before(to); now = now.Add(time.Hour) {
		if now.After(good) {
			expired += time.Hour
		}
		if good.Sub(now) > life/3 {
			continue
		}
		orders++
		for tries = append(tries, now); now.Sub(tries[0]) >= 7*day; tries = tries[1:] {
		}
		most = max(most, len(tries))
		if w := s.at(now); w == nil || w.Kind == "replaces refused" {
			good = now.Add(life)
		}
	}
	return expired, orders, most
}
