// Command toy plays what a replica talks to, so that a newcomer can try one by hand: an engine that
// sleeps and echoes, a catalog that says yes, and a router that sends a few requests and prints the
// answers. It listens on the loopback addresses of examples/config.json. It measures nothing.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnlane/internal/thrift"
)

func main() {
	engine := flag.String("engine", "127.0.0.1:4400", "address of the toy engine")
	directory := flag.String("directory", "127.0.0.1:2379", "address of the toy catalog")
	replica := flag.String("replica", "127.0.0.1:7001", "address of the replica")
	ask := flag.Int("ask", 5, "how many requests to send, 0 for none")
	work := flag.Duration("work", 200*time.Millisecond, "how long a run takes")
	flag.Parse()
	ln, err := net.Listen("tcp", *engine)
	if err != nil {
		log.Fatal(err)
	}
	go playEngine(ln, *work)
	go func() {
		log.Fatal(http.ListenAndServe(*directory, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		})))
	}()
	log.Printf("engine at %s, catalog at %s", *engine, *directory)
	if *ask > 0 {
		if err := playRouter(*replica, *ask); err != nil {
			log.Fatal(err)
		}
		return
	}
	select {}
}

// playEngine serves one link after the other.
func playEngine(ln net.Listener, work time.Duration) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			log.Fatal(err)
		}
		if err := playLink(conn, work); err != nil {
			log.Print("engine: the link ended: ", err)
		}
	}
}

func playLink(conn net.Conn, work time.Duration) error {
	defer conn.Close()
	in, out := bufio.NewReader(conn), make(chan string, 64)
	gone := make(chan struct{})
	defer close(gone)
	go func() {
		for n := 1; ; {
			select {
			case <-gone:
				return
			case s := <-out:
				if strings.Contains(s, "DONE") {
					s = strings.Replace(s, "#", strconv.Itoa(n), 1)
					n++
				}
				io.WriteString(conn, s)
			}
		}
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		switch w := strings.Fields(line); {
		case len(w) == 2 && w[0] == "ATTACH":
			out <- "HELLO running 0\r\n"
		case len(w) == 2 && w[0] == "STAT":
			out <- "STATS " + w[1] + " 0.2 1 0.1 1\r\n"
		case len(w) == 4 && w[0] == "RUN":
			n, err := strconv.Atoi(w[3])
			if err != nil || n < 0 || n > 1<<16 {
				return fmt.Errorf("bad length %q", w[3])
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return err
			}
			time.AfterFunc(work, func() {
				select {
				case out <- fmt.Sprintf("DONE # %s fine %d %d\r\n%s", w[1], work.Milliseconds(), n, body):
				case <-gone:
				}
			})
		default:
			return fmt.Errorf("no command: %q", line)
		}
	}
}

// playRouter sends some requests over one connection and prints the answers as they come.
func playRouter(addr string, n int) error {
	conn, err := dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	for i := 1; i <= n; i++ {
		fields := [][2]string{{"verb", "lecture-page"}, {"txn", fmt.Sprintf("%016x", rand.Uint64())},
			{"door", strconv.FormatInt(time.Now().UnixMilli(), 10)}, {"lb", "1"}, {"team", "riverside-uni"},
			{"limit", "5000"}, {"ram", "24.5"}, {"standing", "0.5"}}
		frame := thrift.AppendFrame(nil, func(b []byte) []byte {
			b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: int32(i)})
			b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
			return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), fmt.Sprint("page ", i)))
		})
		if _, err := conn.Write(frame); err != nil {
			return err
		}
	}
	var in []byte
	for got, buf := 0, make([]byte, 4096); got < n; {
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
		log.Printf("answer to %d: %s", h.Seq, map[int16]string{0: "served", 1: "refused", 2: "failed"}[kind])
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
