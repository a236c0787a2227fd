package policy

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestOthersSayWhoIsRefusedFirst: who is beyond a share at the least pressure, who is of a class that goes first once many are refused, and
// nobody while there is none. What repeats a request that may have run is joined to it all the same.
func TestOthersSayWhoIsRefusedFirst(t *testing.T) {
	for name, c := range map[string]struct {
		ahead, p float64
		refused  [3]bool // by order
	}{"calm": {0, 0, [3]bool{}}, "a little": {0.001, 0, [3]bool{2: true}}, "few are refused": {0.3, 0.05, [3]bool{2: true}}, "many are": {0.5, 0.11, [3]bool{1: true, 2: true}}} {
		for order, want := range c.refused {
			ctl, h := start(t, testConfig())
			ctl.ahead.dropProb, ctl.dropProb, ctl.burstAllowed = c.ahead, c.p, time.Second // no dice
			ctl.Arrive(0, Request{ID: 1, KB: 1, Others: Others{Order: order}})
			if got := strings.HasPrefix(h.take(), "refuse"); got != want {
				t.Errorf("%s: order %d is refused: %v", name, order, got)
			}
		}
	}
	for order, want := range map[int]string{0: "refuse 1", -1: "run 1"} { // what would be read again elsewhere is not refused by chance
		ctl, h := start(t, testConfig())
		ctl.dropProb, ctl.burstAllowed = 1, 0
		ctl.Arrive(0, Request{ID: 1, KB: 1, Others: Others{Order: order}})
		if got := h.take(); got != want {
			t.Errorf("order %d with a chance of 1: %s", order, got)
		}
	}
	ctl, h := start(t, testConfig())
	ctl.ahead.dropProb = 1
	ctl.Arrive(0, Request{ID: 1, Class: 1, KB: 1})
	h.take()
	ctl.Arrive(0, Request{ID: 2, Class: 1, KB: 1, Earlier: 1, Retry: true, Others: Others{Order: 2, Beyond: true}})
	want(t, h, "reuse 2")
}

// TestOthersDecideWhatARefusedCallerIsTold: to give up only when no other server has room, and when to come back.
func TestOthersDecideWhatARefusedCallerIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		others Others
		p      float64 // of what is told ahead
		want   Advice
	}{
		"alone, crowded":           {Others{}, 0.5, Advice{Last: true}},
		"others have room":         {Others{Version: 7, Known: true, Return: 70 * ms}, 0.5, Advice{Version: 7, HoldOff: 70 * ms}},
		"not for more than may be": {Others{Version: 7, Known: true, Return: time.Hour}, 0.5, Advice{Version: 7, HoldOff: time.Second}},
		"others have none":         {Others{Version: 7, Known: true, Full: true, Return: 70 * ms}, 0.5, Advice{Version: 7, Last: true}},
		"alone, and others full":   {Others{Version: 8, Full: true, Return: 70 * ms}, 0, Advice{Version: 8}},
		"beyond the tries":         {Others{Version: 7, Known: true, Beyond: true, Return: 70 * ms}, 0, Advice{Version: 7}},
	} {
		cfg, h := testConfig(), new(adviceHost)
		cfg.Signal, cfg.MaxHoldOff = RankFloor, time.Second
		ctl, err := New(0, cfg, h)
		if err != nil {
			t.Fatal(err)
		}
		ctl.burstAllowed, ctl.dropProb, ctl.ahead.dropProb = 0, 1, c.p
		if c.others.Beyond { // refused although nothing else is
			ctl.burstAllowed, ctl.dropProb = time.Second, 0
		}
		ctl.Arrive(0, Request{ID: 1, KB: 10, Others: c.others})
		if h.last != c.want {
			t.Errorf("%s: %+v, want %+v", name, h.last, c.want)
		}
	}
}

// TestServersAskForTheSame, as far as all of them ask for much: else callers leave one for the next, and back. One that is far worse off
// still says so, and without a word from others each says its own.
func TestServersAskForTheSame(t *testing.T) {
	for _, c := range []struct{ own, mean, want float64 }{{0.5, 0, 0.45}, {0.5, 0.05, 0.45}, {0, 0.5, 0.5}, {0.5, 0.3, 0.3}, {1, 0.3, 0.75}, {0, 0.2, 0.1}, {0.2, 0.9, 0.9}} {
		cfg := testConfig()
		cfg.Signal = RankFloor
		ctl, _ := start(t, cfg)
		ctl.Others(c.mean)
		ctl.ahead.dropProb = c.own
		ctl.say()
		if math.Abs(ctl.signal-c.want) > 0.011 || math.Abs(ctl.Level()-levelShare*c.own) > 1e-9 {
			t.Errorf("%+v: %.2f is said, %.2f is its own", c, ctl.signal, ctl.Level())
		}
	}
}
