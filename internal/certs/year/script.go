// Package year simulates a year of one box with certificates of several lifetimes: with an accelerated clock, the real
// managers, store and TLS listener on loopback, and fake authorities that follow a script of faults.
package year

import (
	"math/rand/v2"
	"time"

	"cairnlane/internal/fake/authority"
)

const day = 24 * time.Hour

// Window is a period of a script during which an authority has one kind of fault.
type Window struct {
	From, To time.Time
	Kind     string
	fault    func(authority.Op) authority.Fault
}

// Script is the list of fault windows of one authority, in order of time and without overlaps.
type Script []Window

// at returns the window that covers a time, or nil.
func (s Script) at(now time.Time) *Window {
	for i := range s {
		if !now.Before(s[i].From) && now.Before(s[i].To) {
			return &s[i]
		}
	}
	return nil
}

// Fault returns the fault of an operation at a time. It is the callback of authority.Config.
func (s Script) Fault(now time.Time, op authority.Op) authority.Fault {
	if w := s.at(now); w != nil {
		return w.fault(op)
	}
	return authority.Fault{}
}

// faultOn returns a fault function that injects a fault into one operation.
func faultOn(op authority.Op, f authority.Fault) func(authority.Op) authority.Fault {
	return func(o authority.Op) authority.Fault {
		if o == op {
			return f
		}
		return authority.Fault{}
	}
}

// faultKinds are the kinds of faults that a script is drawn from.
var faultKinds = []struct {
	name string
	make func(*rand.Rand) func(authority.Op) authority.Fault
}{
	{"down", func(*rand.Rand) func(authority.Op) authority.Fault {
		return func(authority.Op) authority.Fault { return authority.Fault{DropRequest: true} }
	}},
	{"slow", func(*rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpOrder, authority.Fault{Hang: true})
	}},
	{"errors", func(r *rand.Rand) func(authority.Op) authority.Fault {
		f := authority.Fault{Status: 503, RetryAfter: time.Duration(r.IntN(90)) * time.Minute}
		return func(authority.Op) authority.Fault { return f }
	}},
	{"bad nonces", func(*rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpFinalize, authority.Fault{BadNonce: true})
	}},
	{"limits", func(r *rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpOrder, authority.Fault{Status: 429, Problem: "rateLimited", RetryAfter: time.Duration(1+r.IntN(11)) * time.Hour})
	}},
	{"refusals", func(*rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpOrder, authority.Fault{Problem: "caa"})
	}},
	{"slow validation", func(r *rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpChallenge, authority.Fault{Delay: time.Duration(1+r.IntN(20)) * time.Hour})
	}},
	{"failed validation", func(*rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpChallenge, authority.Fault{FailValidation: true})
	}},
	{"rubbish", func(r *rand.Rand) func(authority.Op) authority.Fault {
		all := []authority.CertDefect{authority.WrongName, authority.Expired, authority.OtherKey, authority.InvalidDER}
		return faultOn(authority.OpFinalize, authority.Fault{Defect: all[r.IntN(len(all))]})
	}},
	{"answers lost", func(r *rand.Rand) func(authority.Op) authority.Fault {
		ops := []authority.Op{authority.OpOrder, authority.OpChallenge, authority.OpFinalize, authority.OpDownload}
		return faultOn(ops[r.IntN(len(ops))], authority.Fault{DropResponse: true})
	}},
	{"replaces refused", func(*rand.Rand) func(authority.Op) authority.Fault {
		return faultOn(authority.OpOrder, authority.Fault{RejectReplaces: true})
	}},
}

// drawScript draws a script for a period: windows of 6 hours to maxLength, with gaps of a day to maxGap between them.
func drawScript(r *rand.Rand, from, to time.Time, maxLength, maxGap time.Duration) (s Script) {
	for at := from.Add(randomDuration(r, day, maxGap)); ; {
		k := faultKinds[r.IntN(len(faultKinds))]
		w := Window{From: at, To: at.Add(randomDuration(r, 6*time.Hour, maxLength)), Kind: k.name, fault: k.make(r)}
		if w.To.After(to) {
			return s
		}
		s = append(s, w)
		at = w.To.Add(randomDuration(r, day, maxGap))
	}
}

// randomDuration returns a random duration of at least lower and less than upper.
func randomDuration(r *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(r.Int64N(int64(upper-lower)))
}

// baseline simulates a simple renewal under the same script: when a third of the lifetime is left, it makes an attempt
// each hour at the first authority only and ignores its responses. It returns how long there is no valid certificate,
// the number of orders and the largest number of orders in a week.
func baseline(s Script, from, to time.Time, life time.Duration) (expired time.Duration, orders, maxInWeek int) {
	validUntil := from.Add(life)
	var attempts []time.Time
	for now := from; now.Before(to); now = now.Add(time.Hour) {
		if now.After(validUntil) {
			expired += time.Hour
		}
		if validUntil.Sub(now) > life/3 {
			continue
		}
		orders++
		for attempts = append(attempts, now); now.Sub(attempts[0]) >= 7*day; attempts = attempts[1:] {
		}
		maxInWeek = max(maxInWeek, len(attempts))
		if w := s.at(now); w == nil || w.Kind == "replaces refused" {
			validUntil = now.Add(life)
		}
	}
	return expired, orders, maxInWeek
}
