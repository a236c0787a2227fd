// Command toy plays what a replica talks to, so that a newcomer can try one by hand: an engine that
// sleeps and echoes, a catalog that says yes, the index if the settings know one, and a router that
// sends a few requests of each class and prints the answers. Addresses, classes and tenants are those
// of the replica's configuration. It measures nothing.
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
	config := flag.String("config", "examples/config.json", "configuration of the replica")
	ask := flag.Int("ask", 5, "how many requests to send, 0 for none")
	work := flag.Duration("work", 200*time.Millisecond, "how long a run takes")
	flag.Parse()
	site, err := settings.Load(*config)
	if err != nil {
		log.Fatal(err)
	}
	engine := listen(site.Engine)
	calls := site.Policy.Dependency == policy.SharedDependency
	go func() { log.Fatal(playEngine(engine, *work, calls)) }()
	if calls {
		index := listen(site.Index)
		go func() { log.Fatal(playIndex(index)) }()
	}
	go func() {
		log.Fatal(http.ListenAndServe(site.Directory, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		})))
	}()
	log.Printf("engine at %s, catalog at %s", site.Engine, site.Directory)
	if *ask > 0 {
		if err := playRouter(site.Listen, requests(site, *ask)); err != nil {
			log.Fatal(err)
		}
		return
	}
	select {}
}

func listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	return ln
}

// request is one as the toy's router sends it.
type request struct {
	fields [][2]string
	body   string
}

// requests are so many, of the site's classes and tenants in turn.
func requests(site *settings.Replica, n int) (list []request) {
	classes := site.Policy.Classes
	for i := range n {
		k := classes[i%len(classes)]
		q := request{body: fmt.Sprint("body ", i+1), fields: [][2]string{{"verb", k.Name}, {"txn", fmt.Sprintf("%016x", rand.Uint64())},
			{"door", strconv.FormatInt(time.Now().UnixMilli(), 10)}, {"lb", "1"}, {"limit", strconv.FormatInt(k.Deadline.Milliseconds(), 10)},
			{"ram", "24.5"}, {"standing", "0.5"}}}
		if len(site.Tenants) > 0 {
			q.fields = append(q.fields, [2]string{"team", site.Tenants[i%len(site.Tenants)]})
		}
		if k.Semantics == policy.Keyed {
			q.fields = append(q.fields, [2]string{"unique", fmt.Sprintf("%032x", rand.Uint64())})
		}
		list = append(list, q)
	}
	return list
}

// playRouter sends requests over one connection and prints the answers as they come.
func playRouter(addr string, list []request) error {
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
	for got, buf := 0, make([]byte, 4096); got < len(list); {
		payload, rest, err := thrift.Frame(in)
		if err != nil {
			return err
		}
		if payload == nil {
			k, err := conn.Read(buf)
			if err != nil {
				return err
			}
			in = append(in, buf[:k]...)
			continue
		}
		in = rest
		got++
		r := thrift.NewReader(payload)
		h := r.Header()
		_, kind := r.Field() // 0 served, 1 refused, 2 failed
		log.Printf("answer to %d (%s): %s", h.Seq, list[h.Seq-1].fields[0][1], map[int16]string{0: "served", 1: "refused", 2: "failed"}[kind])
	}
	return nil
}

// dial waits for the replica to come up.
func dial(addr string) (net.Conn, error) {
	for try := 0; ; try++ {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil || try == 50 {
			return conn, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}
