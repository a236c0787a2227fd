package policy

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestPeerStateOrdersRejection checks that order 2 (over a share) is rejected at the slightest overload, order 1 (a low class) once many
// requests are rejected, and none without overload. A repeat of a request that may have run is joined to it in any case.
func TestPeerStateOrdersRejection(t *testing.T) {
	for name, c := range map[string]struct {
		ahead, p float64
		rejected [3]bool // by order
	}{"no overload": {0, 0, [3]bool{}}, "slight overload": {0.001, 0, [3]bool{2: true}}, "few rejected": {0.3, 0.05, [3]bool{2: true}}, "many rejected": {0.5, 0.11, [3]bool{1: true, 2: true}}} {
		for order, want := range c.rejected {
			ctl, h := startController(t, testConfig())
			ctl.advisory.dropProb, ctl.dropProb, ctl.burstAllowed = c.ahead, c.p, time.Second // no random rejection
			ctl.Arrive(0, Request{ID: 1, KB: 1, Peers: PeerState{RejectOrder: order}})
			if got := strings.HasPrefix(h.takeActions(), "reject"); got != want {
				t.Errorf("%s: order %d rejected: %v", name, order, got)
			}
		}
	}
	for order, want := range map[int]string{0: "reject 1", -1: "run 1"} { // order -1 is not rejected at random, as another server would have to read it again
		ctl, h := startController(t, testConfig())
		ctl.dropProb, ctl.burstAllowed = 1, 0
		ctl.Arrive(0, Request{ID: 1, KB: 1, Peers: PeerState{RejectOrder: order}})
		if got := h.takeActions(); got != want {
			t.Errorf("order %d at a drop probability of 1: %s", order, got)
		}
	}
	ctl, h := startController(t, testConfig())
	ctl.advisory.dropProb = 1
	ctl.Arrive(0, Request{ID: 1, Class: 1, KB: 1})
	h.takeActions()
	ctl.Arrive(0, Request{ID: 2, Class: 1, KB: 1, RepeatOf: 1, Retry: true, Peers: PeerState{RejectOrder: 2, BeyondRetryLimit: true}})
	wantActions(t, h, "reuse 2")
}

// TestPeerStateDecidesRejectionAdvice checks that callers are advised not to retry only when no other server has room, and when they are to
// return.
func TestPeerStateDecidesRejectionAdvice(t *testing.T) {
	for name, c := range map[string]struct {
		others PeerState
		p      float64 // advisory probability
		want   Advice
	}{
		"unknown peers, overload":    {PeerState{}, 0.5, Advice{DoNotRetry: true}},
		"peers have room":            {PeerState{Version: 7, Known: true, RetryAfter: 70 * ms}, 0.5, Advice{Version: 7, HoldOff: 70 * ms}},
		"hold-off is bounded":        {PeerState{Version: 7, Known: true, RetryAfter: time.Hour}, 0.5, Advice{Version: 7, HoldOff: time.Second}},
		"peers are full":             {PeerState{Version: 7, Known: true, Full: true, RetryAfter: 70 * ms}, 0.5, Advice{Version: 7, DoNotRetry: true}},
		"unknown peers, marked full": {PeerState{Version: 8, Full: true, RetryAfter: 70 * ms}, 0, Advice{Version: 8}},
		"over the retry limit":       {PeerState{Version: 7, Known: true, BeyondRetryLimit: true, RetryAfter: 70 * ms}, 0, Advice{Version: 7}},
	} {
		cfg, h := testConfig(), new(adviceHost)
		cfg.Signal, cfg.MaxHoldOff = RankFloor, time.Second
		ctl, err := New(0, cfg, h)
		if err != nil {
			t.Fatal(err)
		}
		ctl.burstAllowed, ctl.dropProb, ctl.advisory.dropProb = 0, 1, c.p
		if c.others.BeyondRetryLimit { // rejected although nothing else is
			ctl.burstAllowed, ctl.dropProb = time.Second, 0
		}
		ctl.Arrive(0, Request{ID: 1, KB: 10, Peers: c.others})
		if h.last != c.want {
			t.Errorf("%s: %+v, want %+v", name, h.last, c.want)
		}
	}
}

// TestSignalBlendsWithMeanOfServers guards against callers that alternate between servers because these ask for different levels. A server
// far above the mean still asks for more, and without a known mean each server asks for its own level.
func TestSignalBlendsWithMeanOfServers(t *testing.T) {
	for _, c := range []struct{ own, mean, want float64 }{{0.5, 0, 0.45}, {0.5, 0.05, 0.45}, {0, 0.5, 0.5}, {0.5, 0.3, 0.3}, {1, 0.3, 0.75}, {0, 0.2, 0.1}, {0.2, 0.9, 0.9}} {
		cfg := testConfig()
		cfg.Signal = RankFloor
		ctl, _ := startController(t, cfg)
		ctl.SetMeanLevel(c.mean)
		ctl.advisory.dropProb = c.own
		ctl.updateSignal()
		if math.Abs(ctl.signal-c.want) > 0.011 || math.Abs(ctl.Level()-levelShare*c.own) > 1e-9 {
			t.Errorf("%+v: signal %.2f, own level %.2f", c, ctl.signal, ctl.Level())
		}
	}
}
