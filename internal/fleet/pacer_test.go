package fleet

import (
	"testing"
	"time"

	"cairnlane/internal/decide/probes"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/fleet/view"
)

// TestAPacerIsAloneWithoutRules, and asks by the fleet's word with them.
func TestAPacerIsAloneWithoutRules(t *testing.T) {
	now := time.Hour
	lone := func(try int) time.Duration { return min(10*time.Millisecond<<min(try, 10), 100*time.Millisecond) }
	p := NewPacer("n1", func() time.Duration { return now }, lone)
	ask := func(span time.Duration) (n int) {
		for end := now + span; now < end; now += 50 * time.Millisecond {
			if p.Due() {
				n++
				p.Told(false)
			}
		}
		return n
	}
	if n := ask(10 * time.Second); n < 13 || n > 15 {
		t.Errorf("alone it asks %d times in 10 s, also while it is down", n)
	}
	for try := range 6 {
		if p.Reconnect(try) != lone(try) {
			t.Errorf("alone it waits %v before try %d", p.Reconnect(try), try)
		}
	}
	hear := func() { p.turn(9, false, []probes.Said{{Box: "n2", Up: false, Ago: 0}}) }
	hear()
	if n := ask(3 * time.Second); n != 0 {
		t.Errorf("two boxes found it down, and one that is not the prober has asked %d times", n)
	}
	p.turn(9, true, nil)
	if n := ask(5 * time.Second); n < 4 {
		t.Errorf("the prober has asked %d times in 5 s", n)
	}
	seen := map[time.Duration]bool{}
	for range 100 {
		d := p.Reconnect(20)
		if d < 0 || d > reconnectMost {
			t.Fatalf("a pause of %v", d)
		}
		seen[d] = true
	}
	if len(seen) < 50 {
		t.Errorf("%d different pauses of 100: boxes would come back in step", len(seen))
	}
}

// TestTheRulesInForceAreActedUpon: a configuration with an overload block has the box advise its module under the number in force, and ask
// for the prober's lease; one without ends both.
func TestTheRulesInForceAreActedUpon(t *testing.T) {
	advised := make(chan *shed.Advice, 1000)
	a := beginWith(t, func(c *Config) {
		c.Overload = func(n uint64, body []byte) *shed.Rules {
			if string(body) == "shed" {
				return &shed.Rules{Version: n, Order: []int{0}}
			}
			return nil
		}
		c.Load = func() view.Totals { return view.Totals{} }
		c.Advise = func(a *shed.Advice) {
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
				t.Fatal("not seen: " + what)
			}
		}
	}
	until("nothing is advised at first", func(v *shed.Advice) bool { return v == nil })
	for i, body := range []string{"shed", "nothing", "shed"} {
		n := a.roll(t, body)
		if body == "shed" {
			until(body, func(v *shed.Advice) bool { return v != nil && v.Version == n })
			for end := time.Now().Add(20 * time.Second); !a.Load().Pacing.Prober; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d: nobody holds %s: %+v", i, Prober, a.Leases())
				}
			}
		} else {
			until(body, func(v *shed.Advice) bool { return v == nil })
		}
	}
}
