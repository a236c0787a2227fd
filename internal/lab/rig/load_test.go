package rig

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/router"
)

// TestStalledReplicaDoesNotBlockOthers checks that requests to other replicas go on while one replica reads requests and never answers,
// which uses up all requests that its router may have open. Were the others blocked, a retry could be sent after its key had expired
// and would rightly run a second time, which the load would report as a fault.
func TestStalledReplicaDoesNotBlockOthers(t *testing.T) {
	stalled, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := stalled.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go io.Copy(io.Discard, c)
		}
	}()
	unused, err := FreeAddr() // connections to it are refused at once
	if err != nil {
		t.Fatal(err)
	}
	l := &Load{Seed: 1, Timeout: time.Second, MeanInterval: 100 * time.Microsecond, Excused: func(int, time.Time) bool { return true }, Engines: func() []*engine.Engine { return nil },
		Traffic: Traffic{Tenant: "a", Safe: "read", Keyed: []KeyedClass{{"write", 9600 * time.Millisecond}}}, Routers: []*router.Router{{Addr: stalled.Addr().String()}, {Addr: unused}}}
	l.Start()
	const enough = 20 * maxOpen
	for end := time.Now().Add(20 * time.Second); atomic.LoadInt64(&l.Requests) < enough && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := atomic.LoadInt64(&l.Requests); n < enough {
		t.Errorf("%d requests were started, want %d: the stalled replica blocks the other", n, enough)
	}
	l.stop.Store(true)
	stalled.Close()
	ended := make(chan struct{})
	go func() { l.senders.Wait(); close(ended) }()
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

// TestFreeAddrsDoNotRepeat checks that an address that was returned to one site is not returned to another before the first listens.
func TestFreeAddrsDoNotRepeat(t *testing.T) {
	seen := map[string]bool{}
	for range 60 {
		list, err := FreeAddrs(48)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range list {
			if seen[a] {
				t.Fatalf("address %s was returned twice", a)
			}
			seen[a] = true
		}
	}
}
