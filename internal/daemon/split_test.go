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

// idle is an engine that is never there.
type idle struct{}

func (idle) Run(string, string, []byte) bool { return false }
func (idle) RequestGauges() bool             { return false }
func (idle) Feed(string, []byte) bool        { return false }
func (idle) Skip(string, int64) bool         { return false }

// TestAFullTableMakesRoomForASuccessor has a process whose table clients hold for nothing halve it for its successor, tell
// it what is left, and take all back when it is alone again. Without the split the successor had 0 of 160 descriptors.
func TestAFullTableMakesRoomForASuccessor(t *testing.T) {
	cfg, err := settings.Load("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	limits := settings.Limits{Cores: 1, MemoryMB: 64, Sockets: 160}
	plan := connections(limits)
	alone := plan.Alone()
	clk, set := clock.NewSystem(), new(counters.Set)
	rep, err := replica.New(replica.Config{Policy: cfg.Policy, Tenants: cfg.Tenants, CoresGauge: cfg.OnCores, MaxResultBytes: 1 << 20, Replaceable: true}, clk, idle{}, set)
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
			t.Fatalf("%d connections are held", server.Connections())
		}
	}
	s := newSplit(limits, server, rep)
	given := make(chan int, 100)
	s.halve(func(m *handover.Message) {
		if m.Kind == handover.Share {
			given <- int(m.N)
		}
	})
	all := 2 * plan.Half()
	for end := time.After(20 * time.Second); ; {
		select {
		case n := <-given:
			held := server.Connections()
			if n+max(held, all/2) > all+1 {
				t.Fatalf("%d are given away while %d are held, of %d", n, held, all)
			}
			if n == all/2 {
				if held > all/2 {
					t.Errorf("%d are held, want %d at most", held, all/2)
				}
				s.alone()
				if got := debug.SetMemoryLimit(-1); got != int64(memoryShare*float64(limits.MemoryMB<<20)) {
					t.Errorf("memory limit %d when alone again", got)
				}
				return
			}
		case <-end:
			t.Fatalf("%d connections are held, and half were never given", server.Connections())
		}
	}
}
