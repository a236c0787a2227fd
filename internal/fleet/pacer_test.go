package fleet

import (
	"testing"
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/fleet/view"
)

// TestPacerFollowsFleetOnlyWithRules checks that a Pacer uses its own intervals without fleet rules and the fleet's findings with them.
func TestPacerFollowsFleetOnlyWithRules(t *testing.T) {
	now := time.Hour
	soloBackoff := func(attempt int) time.Duration {
		return min(10*time.Millisecond<<min(attempt, 10), 100*time.Millisecond)
	}
	p := NewPacer("n1", func() time.Duration { return now }, soloBackoff)
	countReports := func(span time.Duration) (n int) {
		for end := now + span; now < end; now += 50 * time.Millisecond {
			if p.Due() {
				n++
				p.RecordResult(false)
			}
		}
		return n
	}
	if n := countReports(10 * time.Second); n < 13 || n > 15 {
		t.Errorf("without a fleet it reports %d times in 10 s while the catalog is down; want 13 to 15", n)
	}
	for attempt := range 6 {
		if p.Reconnect(attempt) != soloBackoff(attempt) {
			t.Errorf("without a fleet it waits %v before attempt %d", p.Reconnect(attempt), attempt)
		}
	}
	receiveReport := func() { p.exchange(9, false, []probes.FindingReport{{Box: "n2", Up: false, Ago: 0}}) }
	receiveReport()
	if n := countReports(3 * time.Second); n != 0 {
		t.Errorf("two boxes found the catalog down, but a box that is not the prober reported %d times", n)
	}
	p.exchange(9, true, nil)
	if n := countReports(5 * time.Second); n < 4 {
		t.Errorf("the prober reported %d times in 5 s; want at least 4", n)
	}
	seen := map[time.Duration]bool{}
	for range 100 {
		d := p.Reconnect(20)
		if d < 0 || d > maxReconnectDelay {
			t.Fatalf("reconnect delay of %v", d)
		}
		seen[d] = true
	}
	if len(seen) < 50 {
		t.Errorf("only %d distinct delays of 100: boxes would reconnect at the same time", len(seen))
	}
}

// TestOverloadRulesFollowConfigInForce checks that a configuration with an overload block makes the box pass on advice with that version and request
// the ProberTask lease, and that a configuration without one ends both.
func TestOverloadRulesFollowConfigInForce(t *testing.T) {
	advised := make(chan *shed.Advice, 1000)
	a := startSoloWith(t, func(c *Config) {
		c.Overload = func(n uint64, body []byte) *shed.Rules {
			if string(body) == "shed" {
				return &shed.Rules{Version: n, Order: []int{0}}
			}
			return nil
		}
		c.Load = func() view.Totals { return view.Totals{} }
		c.OnAdvice = func(a *shed.Advice) {
			select {
			case advised <- a:
			default:
			}
		}
		c.Pacer = NewPacer("a", c.Now, func(int) time.Duration { return time.Millisecond })
	})
	until := func(what string, ok func(*shed.Advice) bool) {
		t.Helper()
		end := time.After(20 * time.Second)
		for {
			select {
			case v := <-advised:
				if ok(v) {
					return
				}
			case <-end:
				t.Fatal("no matching advice within 20 s: " + what)
			}
		}
	}
	until("no advice at first", func(v *shed.Advice) bool { return v == nil })
	for i, body := range []string{"shed", "nothing", "shed"} {
		n := a.rollOut(t, body)
		if body == "shed" {
			until(body, func(v *shed.Advice) bool { return v != nil && v.Version == n })
			for end := time.Now().Add(20 * time.Second); !a.Load().Pacing.Prober; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("round %d: no box holds %s: %+v", i, ProberTask, a.Leases())
				}
			}
		} else {
			until(body, func(v *shed.Advice) bool { return v == nil })
		}
	}
}
