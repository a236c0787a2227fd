package front

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
)

// certificate makes one for site.example with that serial number.
func certificate(t testing.TB, serial int64) *tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), DNSNames: []string{"site.example"}, NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// secure is a stage with a TLS listener whose certificate can be swapped.
type secure struct {
	*stage
	tls  *TLS
	cert atomic.Pointer[tls.Certificate]
	set  counters.Set
}

func newSecure(t *testing.T, most int) *secure {
	t.Helper()
	s := &secure{stage: newStage(t, most)}
	s.cert.Store(certificate(t, 1))
	var err error
	s.tls, err = s.ListenTLS("127.0.0.1:0", &tls.Config{MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.cert.Load(), nil }}, &s.set)
	if err != nil {
		t.Fatal(err)
	}
	go s.tls.Serve()
	t.Cleanup(func() { s.tls.Close() })
	return s
}

// connect dials and shakes hands.
func (s *secure) connect(t *testing.T, change func(*tls.Config)) *tls.Conn {
	t.Helper()
	cfg := &tls.Config{ServerName: "site.example", InsecureSkipVerify: true}
	if change != nil {
		change(cfg)
	}
	c, err := tls.Dial("tcp", s.tls.Addr(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func serial(c *tls.Conn) int64 { return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64() }

// TestACertificateIsSwappedUnderRequests: a request that is open across the swap is answered, a handshake that began
// before it ends with one certificate or the other, and a ticket from before it still resumes.
func TestACertificateIsSwappedUnderRequests(t *testing.T) {
	for name, max := range map[string]uint16{"1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13} {
		s := newSecure(t, 9)
		tickets := tls.NewLRUClientSessionCache(4)
		with := func(c *tls.Config) { c.MaxVersion, c.ClientSessionCache = max, tickets }
		old := s.connect(t, with)
		old.Write(message("serve", 1, fields(), "body"))
		<-s.core.came
		half, err := net.Dial("tcp", s.tls.Addr()) // it has connected, and its handshake is still to come
		if err != nil {
			t.Fatal(err)
		}
		for s.Connections() < 2 {
			time.Sleep(50 * time.Microsecond)
		}
		s.cert.Store(certificate(t, 2))
		s.core.answer()
		if h, ok := receive(t, old); !ok || h.Seq != 1 {
			t.Errorf("TLS %s: the answer across the swap is %+v, %v", name, h, ok)
		}
		late := tls.Client(half, &tls.Config{InsecureSkipVerify: true, MaxVersion: max})
		if err := late.Handshake(); err != nil || serial(late) != 2 {
			t.Errorf("TLS %s: the handshake across the swap: %v", name, err)
		}
		again := s.connect(t, with)
		if !again.ConnectionState().DidResume {
			t.Errorf("TLS %s: the ticket from before the swap is not taken", name)
		}
		again.Write(message("isWell", 1, nil, ""))
		if _, ok := receive(t, again); !ok {
			t.Errorf("TLS %s: no answer on the resumed connection", name)
		}
		late.Close()
	}
}

// TestSlowHandshakesAreBounded: clients that connect and say nothing hold a place for 2 s and no more of them than
// there are places; who is over that is closed at once.
func TestSlowHandshakesAreBounded(t *testing.T) {
	s := newSecure(t, 2*handshakesMost)
	var silent []net.Conn
	for range handshakesMost {
		c, err := net.Dial("tcp", s.tls.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	for s.Connections() < handshakesMost {
		time.Sleep(50 * time.Microsecond)
	}
	over, err := net.Dial("tcp", s.tls.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer over.Close()
	if !ended(over) {
		t.Error("one over the bound is kept")
	}
	for _, c := range silent { // after 2 s each is closed by the server
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if !ended(c) {
			t.Fatal("a silent one is kept")
		}
	}
	c := s.connect(t, nil)
	c.Write(message("isWell", 1, nil, ""))
	if _, ok := receive(t, c); !ok {
		t.Error("no answer when the places are free again")
	}
}

// TestTheEndsAreThoseOfPlainConnections: eviction, idle, garbage, and the drain.
func TestTheEndsAreThoseOfPlainConnections(t *testing.T) {
	s := newSecure(t, 2)
	s.CloseIdle(time.Second)
	idle, busy := s.connect(t, nil), s.connect(t, nil)
	for _, c := range []*tls.Conn{idle, busy} {
		c.Write(message("isWell", 1, nil, ""))
		if _, ok := receive(t, c); !ok {
			t.Fatal("no answer")
		}
	}
	busy.Write(message("serve", 2, fields(), "body"))
	<-s.core.came
	s.settle()
	s.clock.Advance(500 * time.Millisecond)
	plain := s.used(t) // evicts the idle one, not the busy one
	if !ended(idle) || s.count.ended[conns.Evicted].Load() != 1 {
		t.Error("the idle one is not evicted")
	}
	s.clock.Advance(2 * time.Second)
	other := s.connect(t, nil) // evicts the plain one, behind a fence
	if !ended(plain) {
		t.Error("the plain one is not evicted")
	}
	other.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if !ended(other) || s.count.ended[conns.Garbage].Load() != 1 {
		t.Error("garbage does not end it")
	}
	s.Leave()
	s.cert.Store(certificate(t, 2)) // a swap in the drain: who still comes is served by the new one and asked to part
	late := s.connect(t, nil)
	if h, ok := receive(t, late); !ok || h.Name != "goaway" || serial(late) != 2 {
		t.Errorf("who comes in the drain is told %+v, by certificate %d", h, serial(late))
	}
	late.Close()
	s.core.answer()
	names := map[string]bool{}
	for range 2 {
		h, ok := receive(t, busy)
		names[h.Name] = ok
	}
	if !names["goaway"] || !names["serve"] {
		t.Errorf("in the drain the busy one is told %v", names)
	}
	for !s.Close() {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkRequest is what a health check costs from the client's write to its answer, plain and over TLS.
func BenchmarkRequest(b *testing.B) {
	s, dial := benchServer(b)
	for name, connect := range map[string]func() net.Conn{"plain": func() net.Conn { c, _ := net.Dial("tcp", s.Addr()); return c }, "tls": dial} {
		b.Run(name, func(b *testing.B) {
			c := connect()
			defer c.Close()
			buf := make([]byte, 256)
			seq := int32(0)
			for b.Loop() {
				seq++
				c.Write(message("isWell", seq, nil, ""))
				c.Read(buf)
			}
		})
	}
}

// BenchmarkHandshake is what a connection with its handshake costs on both sides.
func BenchmarkHandshake(b *testing.B) {
	_, dial := benchServer(b)
	for b.Loop() {
		dial().Close()
	}
}

// BenchmarkIdle is the memory of an idle connection, of both of its sides together.
func BenchmarkIdle(b *testing.B) {
	s, dial := benchServer(b)
	for name, connect := range map[string]func() net.Conn{"plain": func() net.Conn { c, _ := net.Dial("tcp", s.Addr()); return c }, "tls": dial} {
		b.Run(name, func(b *testing.B) {
			var list []net.Conn
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			const n = 400
			for range n {
				c := connect()
				c.Write(message("isWell", 1, nil, ""))
				c.Read(make([]byte, 256))
				list = append(list, c)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			both := float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
			for _, c := range list {
				c.Close()
			}
			for b.Loop() {
			}
			b.ReportMetric(both/n, "B/conn")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func benchServer(b *testing.B) (*Server, func() net.Conn) {
	s, err := Listen("127.0.0.1:0", 2000, new(core), func() time.Duration { return time.Duration(time.Now().UnixNano()) }, new(counters.Set))
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	cert := certificate(b, 1)
	t, err := s.ListenTLS("127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{*cert}}, new(counters.Set))
	if err != nil {
		b.Fatal(err)
	}
	go t.Serve()
	b.Cleanup(func() { t.Close() })
	return s, func() net.Conn {
		c, err := tls.Dial("tcp", t.Addr(), &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			b.Fatal(err)
		}
		return c
	}
}
