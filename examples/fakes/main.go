// Command fakes runs fakes of the systems around a replica, to try a replica by hand: an engine whose runs sleep and return their body, a
// catalog that accepts every report, an index if the settings have one, and a router that sends requests of each class in turn and prints
// the replies. The addresses, classes and tenants come from the replica's configuration. It is not a benchmark.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"cairnlane/internal/settings"
	"cairnlane/internal/thrift"
	"cairnlane/policy"
)

func main() {
	configPath := flag.String("config", "examples/config.json", "configuration of the replica")
	count := flag.Int("ask", 5, "how many requests to send, 0 for none")
	runTime := flag.Duration("work", 200*time.Millisecond, "how long a run takes")
	flag.Parse()
	site, err := settings.Load(*configPath)
	if err != nil {
		log.Fatal(err)
	}
	engine := listen(site.Engine)
	callIndex := site.Policy.Dependency == policy.SharedDependency
	go func() { log.Fatal(serveEngine(engine, *runTime, callIndex)) }()
	if callIndex {
		index := listen(site.Index)
		go func() { log.Fatal(serveIndex(index)) }()
	}
	go func() {
		log.Fatal(http.ListenAndServe(site.CatalogAddr, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		})))
	}()
	log.Printf("engine at %s, catalog at %s", site.Engine, site.CatalogAddr)
	if *count > 0 {
		if err := sendRequests(site.Listen, makeRequests(site, *count)); err != nil {
			log.Fatal(err)
		}
		return
	}
	select {}
}

// listen listens on a TCP address and exits if that fails.
func listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	return ln
}

// request is a request that the fake router sends.
type request struct {
	fields [][2]string
	body   string
}

// makeRequests returns n requests that go through the site's classes and tenants in turn. Requests of keyed classes have a random
// idempotency key.
func makeRequests(site *settings.Replica, n int) (list []request) {
	classes := site.Policy.Classes
	for i := range n {
		class := classes[i%len(classes)]
		q := request{body: fmt.Sprint("body ", i+1), fields: [][2]string{{"verb", class.Name}, {"txn", fmt.Sprintf("%016x", rand.Uint64())},
			{"door", strconv.FormatInt(time.Now().UnixMilli(), 10)}, {"lb", "1"}, {"limit", strconv.FormatInt(class.Deadline.Milliseconds(), 10)},
			{"ram", "24.5"}, {"standing", "0.5"}}}
		if len(site.Tenants) > 0 {
			q.fields = append(q.fields, [2]string{"team", site.Tenants[i%len(site.Tenants)]})
		}
		if class.Semantics == policy.Keyed {
			q.fields = append(q.fields, [2]string{"unique", fmt.Sprintf("%032x", rand.Uint64())})
		}
		list = append(list, q)
	}
	return list
}

// sendRequests is a fake router that sends the requests over one connection and prints each reply when it arrives.
func sendRequests(addr string, list []request) error {
	conn, err := dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	for i, q := range list {
		frame := thrift.AppendFrame(nil, func(b []byte) []byte {
			b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: int32(i + 1)})
			b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), q.fields)
			return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), q.body))
		})
		if _, err := conn.Write(frame); err != nil {
			return err
		}
	}
	var in []byte
	for replies, buf := 0, make([]byte, 4096); replies < len(list); {
		payload, rest, err := thrift.Frame(in)
		if err != nil {
			return err
		}
		if payload == nil {
			n, err := conn.Read(buf)
			if err != nil {
				return err
			}
			in = append(in, buf[:n]...)
			continue
		}
		in = rest
		replies++
		r := thrift.NewReader(payload)
		h := r.Header()
		_, outcome := r.Field() // id of the result's field: 0 served, 1 rejected, 2 failed
		log.Printf("reply to request %d (%s): %s", h.Seq, list[h.Seq-1].fields[0][1], map[int16]string{0: "served", 1: "refused", 2: "failed"}[outcome])
	}
	return nil
}

// dial connects to the replica, with retries while it starts: at most 51 attempts, 200 ms apart.
func dial(addr string) (net.Conn, error) {
	for attempt := 0; ; attempt++ {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil || attempt == 50 {
			return conn, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}
