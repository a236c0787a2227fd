package daemon

import (
	"net"
	"runtime/debug"
	"testing"
	"time"

	"cairnlane/internal/clock"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/handover"
	"cairnlane/internal/front"
	"cairnlane/internal/replica"
	"cairnlane/internal/settings"
)

// absentEngine is an engine that is not connected.
type absentEngine struct{}

func (absentEngine) Run(string, string, []byte) bool { return false }
func (absentEngine) RequestGauges() bool             { return false }
func (absentEngine) Feed(string, []byte) bool        { return false }
func (absentEngine) Skip(string, int64) bool         { return false }

// TestFullTableIsSharedWithSuccessor checks that a process whose table is full of idle clients shrinks to half for
// its successor, grants it the rest, and uses the whole limit when it is alone again. Without the split the successor had
// 0 of 160 descriptors.
func TestFullTableIsSharedWithSuccessor(t *testing.T) {
	cfg, err := settings.Load("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	limits := settings.Limits{Cores: 1, MemoryMB: 64, Sockets: 160}
	plan := newPlan(limits)
	alone := plan.Alone()
	clk, set := clock.NewSystem(), new(counters.Set)
	rep, err := replica.New(replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, CoresGauge: cfg.CoresGauge, MaxResultBytes: 1 << 20, Replaceable: true}, clk, absentEngine{}, set)
	if err != nil {
		t.Fatal(err)
	}
	server, err := front.Listen("127.0.0.1:0", alone, rep, clk.Now, set)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	for range alone {
		c, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for end := time.Now().Add(20 * time.Second); server.Connections() < alone; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want %d", server.Connections(), alone)
		}
	}
	s := newSplit(limits, server, rep)
	shares := make(chan int, 100)
	s.shareWithSuccessor(func(m *handover.Message) {
		if m.Kind == handover.Share {
			shares <- int(m.Number)
		}
	})
	all := 2 * plan.Half()
	for end := time.After(20 * time.Second); ; {
		select {
		case n := <-shares:
			held := server.Connections()
			if n+max(held, all/2) > all+1 {
				t.Fatalf("successor was given %d while %d connections are open, limit %d", n, held, all)
			}
			if n == all/2 {
				if held > all/2 {
					t.Errorf("%d connections are open, want at most %d", held, all/2)
				}
				s.useAll()
				if got := debug.SetMemoryLimit(-1); got != int64(memoryShare*float64(limits.MemoryMB<<20)) {
					t.Errorf("memory limit is %d after the successor has ended", got)
				}
				return
			}
		case <-end:
			t.Fatalf("successor was not given half within 20 s; %d connections are open", server.Connections())
		}
	}
}
