package policy

import (
	"math"
	"testing"
	"time"
)

// TestOthersSayWhoIsRefusedAndNotHowMany: whatever share of the arrivals is put first, as many are refused as without it, those first.
func TestOthersSayWhoIsRefusedAndNotHowMany(t *testing.T) {
	for _, c := range []struct{ p, over, low float64 }{{0.1, 0.2, 0}, {0.3, 0.2, 0}, {0.3, 0.2, 0.3}, {0.8, 0.2, 0.3}, {0.05, 0, 0.5}, {0.4, 0, 0}} {
		ctl, _ := start(t, testConfig())
		ctl.dropProb, ctl.burstAllowed = c.p, 0
		var came, refused [3]float64
		const n = 40000
		for i := range n {
			order, u := 0, ctl.random()
			switch {
			case u < c.over:
				order = 2
			case u < c.over+c.low:
				order = 1
			}
			r := &request{Request: Request{ID: RequestID(i + 1), Others: Others{Order: order}}, class: &ctl.classes[0]}
			ctl.observe(r)
			came[order]++
			if ctl.dice(r) {
				refused[order]++
			}
		}
		all := (refused[0] + refused[1] + refused[2]) / n
		if math.Abs(all-c.p) > 0.04 {
			t.Errorf("%+v: %.3f are refused", c, all)
		}
		// What is put later goes only when most of what is put first goes.
		for later := range 2 {
			first := refused[later+1] / max(came[later+1], 1)
			if came[later+1] > 0 && refused[later]/came[later] > 0.1 && first < 0.85 {
				t.Errorf("%+v: %.2f of place %d are refused while %.2f of place %d are", c, refused[later]/came[later], later, first, later+1)
			}
		}
	}
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

// TestWhatIsRefusedHereIsNotHeldBackByCallersAsWell: callers hold back by rank alone, and would hold back those that nothing puts first.
func TestWhatIsRefusedHereIsNotHeldBackByCallersAsWell(t *testing.T) {
	for share, want := range map[int]float64{0: 0.45, 5: 0.27, 1: 0} { // one in so many is put first
		cfg := testConfig()
		cfg.Signal = RankFloor
		ctl, _ := start(t, cfg)
		for i := range 2000 {
			order := 0
			if share > 0 && i%share == 0 {
				order = 2
			}
			ctl.observe(&request{Request: Request{Others: Others{Order: order}}, class: &ctl.classes[0]})
		}
		ctl.ahead.dropProb = 0.5
		ctl.say()
		if math.Abs(ctl.signal-want) > 0.05 {
			t.Errorf("one in %d is put first: the signal is %.2f, not %.2f", share, ctl.signal, want)
		}
	}
}
