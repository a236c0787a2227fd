package rig

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnlane/internal/standin/engine"
	"cairnlane/internal/standin/router"
)

// TestAStandingReplicaHoldsUpNoOther: a replica that reads and never answers takes all requests that its router may have open, and the
// others' go on. Else a key's next try would come after the time for which it is kept, and run again by right.
func TestAStandingReplicaHoldsUpNoOther(t *testing.T) {
	still, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := still.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go io.Copy(io.Discard, c)
		}
	}()
	gone, err := FreeAddr() // each request is turned back at once
	if err != nil {
		t.Fatal(err)
	}
	l := &Load{Seed: 1, Limit: time.Second, Pause: 100 * time.Microsecond, Excused: func(int, time.Time) bool { return true }, Engines: func() []*engine.Engine { return nil },
		Traffic: Traffic{Tenant: "a", Safe: "read", Keyed: []KeyedClass{{"write", 9600 * time.Millisecond}}}, Routers: []*router.Router{{Addr: still.Addr().String()}, {Addr: gone}}}
	l.Begin()
	const enough = 20 * openMost
	for end := time.Now().Add(20 * time.Second); atomic.LoadInt64(&l.Requests) < enough && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := atomic.LoadInt64(&l.Requests); n < enough {
		t.Errorf("%d requests were begun; the one that stands still holds all up", n)
	}
	l.stop.Store(true)
	still.Close()
	ended := make(chan struct{})
	go func() { l.wait.Wait(); close(ended) }()
	for {
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestSitesSideBySideGetPortsOfTheirOwn: what was found free for one is not given to another before it listens.
func TestSitesSideBySideGetPortsOfTheirOwn(t *testing.T) {
	seen := map[string]bool{}
	for range 60 {
		list, err := FreeAddrs(48)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range list {
			if seen[a] {
				t.Fatalf("%s is given twice", a)
			}
			seen[a] = true
		}
	}
}
