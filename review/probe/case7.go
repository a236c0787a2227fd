package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/thrift"
)

const (
	badClients   = 6                // connections of bad clients
	atOnce       = 50               // requests that each of them sends at once
	badTime      = 50 * time.Second // how long they go on
	memoryLimit  = 64               // MB, of the replica
	goodInterval = 50 * time.Millisecond
)

// anonymousKB returns the memory of a process that is not the content of a file, in KB, or 0 if the process has ended.
func anonymousKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// badCounts counts what the bad clients sent and got.
type badCounts struct{ sent, refused, failed, served, closed atomic.Int64 }

// badClient sends requests whose ids the engine does not know, and each of them again as soon as it is turned away.
func badClient(addr string, s *site, number int, stop *atomic.Bool, n *badCounts) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	seq := int32(0)
	message := func(dst []byte) []byte {
		seq++
		n.sent.Add(1)
		fields := [][2]string{{"verb", s.reads[2]}, {"txn", newID()}, {"door", strconv.FormatInt(time.Now().UnixMilli(), 10)},
			{"lb", strconv.Itoa(number)}, {"team", s.tenants[0]}, {"ram", "24.5"}, {"standing", "0.6250"}, {"limit", "5300"}}
		return thrift.AppendFrame(dst, func(b []byte) []byte {
			b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: seq})
			b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
			return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), "x"))
		})
	}
	var out []byte
	for range atOnce {
		out = message(out)
	}
	in := bufio.NewReaderSize(conn, 64<<10)
	for !stop.Load() {
		if in.Buffered() == 0 && len(out) > 0 || len(out) > 16<<10 {
			if _, err := conn.Write(out); err != nil {
				n.closed.Add(1)
				return
			}
			out = out[:0]
		}
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			n.closed.Add(1)
			return
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, payload); err != nil {
			n.closed.Add(1)
			return
		}
		r := thrift.NewReader(payload)
		h := r.Header()
		if h.Type == thrift.Oneway {
			continue
		}
		switch decodeAnswer(r, h).kind {
		case "refused":
			n.refused.Add(1)
		case "served":
			n.served.Add(1)
		default:
			n.failed.Add(1)
		}
		out = message(out)
	}
}

// badClientsFillMemory has a few bad clients repeat what is turned away, beside a little usual traffic, and watches the memory of the
// replica.
func badClientsFillMemory(log *record, trouble bool) error {
	s, err := readSite()
	if err != nil {
		return err
	}
	e, err := startKnowingEngine(runTime)
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
	b.limits["memory_mb"] = memoryLimit
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
	var good struct{ sent, served, other atomic.Int64 }
	var routers sync.WaitGroup
	routers.Add(1)
	go func() { // the usual routers
		defer routers.Done()
		for !stop.Load() {
			time.Sleep(goodInterval)
			routers.Add(1)
			go func() {
				defer routers.Done()
				t := try{class: s.reads[1], tenant: s.tenants[1], body: "page", limit: 5300 * time.Millisecond, id: newID()}
				e.announce(t.id)
				good.sent.Add(1)
				if a := ask(b.listen, t, t.limit+slack); a.kind == "served" {
					good.served.Add(1)
				} else {
					good.other.Add(1)
				}
			}()
		}
	}()
	if trouble {
		log.printf("%d bad clients begin, %d requests at once each", badClients, atOnce)
		for i := range badClients {
			go func() {
				for !stop.Load() { // a client whose connection was closed connects again
					badClient(b.listen, s, 100+i, &stop, &bad)
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	most, over := 0, time.Duration(0)
	began := time.Now()
	for i := 1; time.Since(began) < badTime; i++ {
		time.Sleep(100 * time.Millisecond)
		now := anonymousKB(p.Pid())
		most = max(most, now)
		if i%5 == 0 {
			runs, denied := e.counts()
			log.printf("anonymous memory %d KB of %d MB; bad: %d sent, %d refused, %d failed, %d served, %d connections closed; usual: %d sent, %d served, %d otherwise; engine: %d runs, %d unknown ids",
				now, memoryLimit, bad.sent.Load(), bad.refused.Load(), bad.failed.Load(), bad.served.Load(), bad.closed.Load(), good.sent.Load(), good.served.Load(), good.other.Load(), runs, denied)
		}
		if now > memoryLimit<<10 {
			over = time.Since(began)
			log.printf("anonymous memory %d KB: over %d MB, so the platform kills the replica here (SIGKILL)", now, memoryLimit)
			p.Kill()
			break
		}
	}
	stop.Store(true)
	routers.Wait()
	select {
	case <-p.Done():
		if over == 0 {
			return fmt.Errorf("%w: the replica ended by itself: %v", errBroken, p.Err())
		}
	default:
	}
	if over > 0 {
		return fmt.Errorf("%w: the replica went over its memory of %d MB after %.1f s; %d KB at the most", errBroken, memoryLimit, over.Seconds(), most)
	}
	log.printf("anonymous memory: %d KB at the most", most)
	return nil
}
