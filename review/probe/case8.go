package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/thrift"
)

const (
	leavingClients  = 2                     // bad clients
	leavingRequests = 200                   // requests that each sends on a connection
	starveTime      = 60 * time.Second      // how long they go on
	routers         = 4                     // routers, with one connection each
	routerPause     = 40 * time.Millisecond // between two requests of a router
	allowedLost     = 0.003                 // share of requests that may go without a final answer in their time
	mostOpen        = 32                    // requests that a router has open on a connection at most
	closeCrossing   = 50 * time.Millisecond // a request written so shortly before the end of its connection is sent again
)

// leavingClient sends requests with ids that the engine does not know, hundreds on a connection, reads what it is sent meanwhile, walks
// away after the last one and does the same again.
func leavingClient(addr string, s *site, stop *atomic.Bool, n *badCounts) {
	messages := make([][]byte, leavingRequests)
	for !stop.Load() {
		for i := range messages {
			fields := [][2]string{{"verb", s.keyed}, {"txn", newID()}, {"door", strconv.FormatInt(time.Now().UnixMilli(), 10)},
				{"lb", "9"}, {"team", s.tenants[0]}, {"ram", "24.5"}, {"standing", "0.6250"}, {"limit", "3200"}, {"unique", newKey()}}
			messages[i] = thrift.AppendFrame(nil, func(b []byte) []byte {
				b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: int32(i + 1)})
				b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
				return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), "x"))
			})
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(4 * time.Second))
		go func() {
			got, _ := io.Copy(io.Discard, conn)
			n.failed.Add(got)
		}()
		for _, m := range messages {
			if _, err := conn.Write(m); err != nil {
				n.closed.Add(1)
				break
			}
			n.sent.Add(1)
		}
		conn.Close()
	}
}

// usualCounts counts how the requests of the usual routers ended.
type usualCounts struct {
	mu    sync.Mutex
	kinds map[string]int
	all   int
	lost  int
	worst time.Duration
}

// router sends requests on one connection until the end and counts how they end.
func (u *usualCounts) router(addr string, e *knowingEngine, class, tenant string, end time.Time, open *sync.WaitGroup) {
	defer open.Done()
	var c *caller
	for time.Now().Before(end) {
		time.Sleep(routerPause)
		if c == nil {
			var err error
			if c, err = dialCaller(addr); err != nil {
				c = nil
				continue
			}
		}
		if c.openCalls() >= mostOpen {
			continue
		}
		t := try{class: class, tenant: tenant, body: "page", limit: 3200 * time.Millisecond, id: newID()}
		e.announce(t.id)
		at := time.Now()
		got, err := c.send(t)
		if err != nil {
			c = nil
			continue
		}
		open.Add(1)
		go func() {
			defer open.Done()
			var a answer
			select {
			case a = <-got:
			case <-time.After(t.limit + slack):
				a.kind = "no answer in time"
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			took := time.Since(at)
			u.all++
			u.worst = max(u.worst, took)
			switch {
			case a.kind == "closed" && took < closeCrossing:
				a.kind = "crossed a close"
			case a.kind == "closed", a.kind == "no answer in time":
				u.lost++
			}
			u.kinds[a.kind]++
		}()
	}
}

func (u *usualCounts) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%v of %d, %d lost, slowest %v", u.kinds, u.all, u.lost, u.worst.Round(time.Millisecond))
}

// badClientsStarveRouters has a few bad clients send requests at full speed and walk away, and checks that those of the usual routers are
// answered.
func badClientsStarveRouters(log *record, trouble bool) error {
	s, err := readSite()
	if err != nil {
		return err
	}
	e, err := startKnowingEngine(runTime / 4)
	if err != nil {
		return err
	}
	defer e.ln.Close()
	b, err := newBox("n3", log, s.settings, false, nil)
	if err != nil {
		return err
	}
	defer b.close()
	b.ownEngine = e.ln.Addr().String()
	b.limits["memory_mb"] = 192
	p, err := b.start("first")
	if err != nil {
		return err
	}
	if !b.awaitReady(p, 30*time.Second) {
		return fmt.Errorf("the process is not ready")
	}
	time.Sleep(time.Second)
	var stop atomic.Bool
	var bad badCounts
	usual := &usualCounts{kinds: map[string]int{}}
	var open sync.WaitGroup
	end := time.Now().Add(starveTime)
	for i := range routers {
		open.Add(1)
		go usual.router(b.listen, e, s.reads[i%2], s.tenants[1], end, &open)
	}
	if trouble {
		log.printf("%d bad clients begin, %d requests on each connection", leavingClients, leavingRequests)
		for range leavingClients {
			go leavingClient(b.listen, s, &stop, &bad)
		}
	}
	for time.Now().Before(end) {
		time.Sleep(2 * time.Second)
		runs, denied := e.counts()
		log.printf("usual: %v; engine: %d runs, %d unknown ids; bad: %d sent, %d bytes of answers read, %d connections closed; anonymous memory %d KB",
			usual, runs, denied, bad.sent.Load(), bad.failed.Load(), bad.closed.Load(), anonymousKB(p.Pid()))
	}
	stop.Store(true)
	open.Wait()
	log.printf("usual: %v", usual)
	usual.mu.Lock()
	defer usual.mu.Unlock()
	if float64(usual.lost) > allowedLost*float64(usual.all) {
		return fmt.Errorf("%w: %d of %d requests got no final answer in their time", errBroken, usual.lost, usual.all)
	}
	return nil
}
