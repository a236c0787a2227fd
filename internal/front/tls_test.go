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

// certificate creates a self-signed certificate for site.example with a serial number.
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

// tlsServer is a controlledServer with a TLS listener whose certificate can be swapped.
type tlsServer struct {
	*controlledServer
	tls  *TLS
	cert atomic.Pointer[tls.Certificate]
	set  counters.Set
}

func newTLSServer(t *testing.T, maxConns int) *tlsServer {
	t.Helper()
	s := &tlsServer{controlledServer: newControlledServer(t, maxConns)}
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

// dialTLS connects and completes the handshake.
func (s *tlsServer) dialTLS(t *testing.T, configure func(*tls.Config)) *tls.Conn {
	t.Helper()
	cfg := &tls.Config{ServerName: "site.example", InsecureSkipVerify: true}
	if configure != nil {
		configure(cfg)
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

// TestCertificateSwapKeepsOpenRequestsAndTickets checks that a request open during the swap is answered, that a connection
// accepted before it completes its handshake with the new certificate, and that a session ticket from before it
// still resumes.
func TestCertificateSwapKeepsOpenRequestsAndTickets(t *testing.T) {
	for name, maxVersion := range map[string]uint16{"1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13} {
		s := newTLSServer(t, 9)
		tickets := tls.NewLRUClientSessionCache(4)
		configure := func(c *tls.Config) { c.MaxVersion, c.ClientSessionCache = maxVersion, tickets }
		old := s.dialTLS(t, configure)
		old.Write(callMessage("serve", 1, requestFields(), "body"))
		<-s.core.arrived
		unfinished, err := net.Dial("tcp", s.tls.Addr()) // connected, but the handshake has not begun
		if err != nil {
			t.Fatal(err)
		}
		for s.Connections() < 2 {
			time.Sleep(50 * time.Microsecond)
		}
		s.cert.Store(certificate(t, 2))
		s.core.answerAll()
		if h, ok := receive(t, old); !ok || h.Seq != 1 {
			t.Errorf("TLS %s: answer after the swap %+v, %v", name, h, ok)
		}
		late := tls.Client(unfinished, &tls.Config{InsecureSkipVerify: true, MaxVersion: maxVersion})
		if err := late.Handshake(); err != nil || serial(late) != 2 {
			t.Errorf("TLS %s: handshake after the swap: %v", name, err)
		}
		resumed := s.dialTLS(t, configure)
		if !resumed.ConnectionState().DidResume {
			t.Errorf("TLS %s: the session ticket from before the swap is rejected", name)
		}
		resumed.Write(callMessage("isWell", 1, nil, ""))
		if _, ok := receive(t, resumed); !ok {
			t.Errorf("TLS %s: no answer on the resumed connection", name)
		}
		late.Close()
	}
}

// TestSlowHandshakesAreBounded checks that clients that connect and send nothing are disconnected after 2 s, and that
// connections above maxHandshakes are closed at once.
func TestSlowHandshakesAreBounded(t *testing.T) {
	s := newTLSServer(t, 2*maxHandshakes)
	var silent []net.Conn
	for range maxHandshakes {
		c, err := net.Dial("tcp", s.tls.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	for s.Connections() < maxHandshakes {
		time.Sleep(50 * time.Microsecond)
	}
	excess, err := net.Dial("tcp", s.tls.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer excess.Close()
	if !connectionEnded(excess) {
		t.Error("a connection above the bound is kept")
	}
	for _, c := range silent { // the server closes each after 2 s
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if !connectionEnded(c) {
			t.Fatal("a silent connection is kept")
		}
	}
	c := s.dialTLS(t, nil)
	c.Write(callMessage("isWell", 1, nil, ""))
	if _, ok := receive(t, c); !ok {
		t.Error("no answer after the silent connections are closed")
	}
}

// TestTLSConnectionsCloseLikePlainOnes checks eviction, malformed input and drain of TLS connections.
func TestTLSConnectionsCloseLikePlainOnes(t *testing.T) {
	s := newTLSServer(t, 2)
	s.CloseIdle(time.Second)
	idle, busy := s.dialTLS(t, nil), s.dialTLS(t, nil)
	for _, c := range []*tls.Conn{idle, busy} {
		c.Write(callMessage("isWell", 1, nil, ""))
		if _, ok := receive(t, c); !ok {
			t.Fatal("no answer")
		}
	}
	busy.Write(callMessage("serve", 2, requestFields(), "body"))
	<-s.core.arrived
	s.waitQuiet()
	s.clock.Advance(500 * time.Millisecond)
	plain := s.dialUsed(t) // evicts the idle connection, not the busy one
	if !connectionEnded(idle) || s.count.ended[conns.Evicted].Load() != 1 {
		t.Error("the idle connection is not evicted")
	}
	s.clock.Advance(2 * time.Second)
	other := s.dialTLS(t, nil) // evicts the plain connection, after a fence
	if !connectionEnded(plain) {
		t.Error("the plain connection is not evicted")
	}
	other.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if !connectionEnded(other) || s.count.ended[conns.Malformed].Load() != 1 {
		t.Error("malformed input does not close the connection")
	}
	s.Drain()
	s.cert.Store(certificate(t, 2)) // a swap during the drain: a new connection gets the new certificate and a goaway
	late := s.dialTLS(t, nil)
	if h, ok := receive(t, late); !ok || h.Name != "goaway" || serial(late) != 2 {
		t.Errorf("a new connection during the drain receives %+v, with certificate %d", h, serial(late))
	}
	late.Close()
	s.core.answerAll()
	names := map[string]bool{}
	for range 2 {
		h, ok := receive(t, busy)
		names[h.Name] = ok
	}
	if !names["goaway"] || !names["serve"] {
		t.Errorf("the busy connection receives %v during the drain", names)
	}
	for !s.CloseQuiet() {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkRequest measures a health check from the client's write to its answer, plain and over TLS.
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
				c.Write(callMessage("isWell", seq, nil, ""))
				c.Read(buf)
			}
		})
	}
}

// BenchmarkHandshake measures a connection with its handshake, both sides together.
func BenchmarkHandshake(b *testing.B) {
	_, dial := benchServer(b)
	for b.Loop() {
		dial().Close()
	}
}

// BenchmarkIdleConnectionMemory measures the memory of an idle connection, both sides together.
func BenchmarkIdleConnectionMemory(b *testing.B) {
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
				c.Write(callMessage("isWell", 1, nil, ""))
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
	s, err := Listen("127.0.0.1:0", 2000, new(recordingCore), func() time.Duration { return time.Duration(time.Now().UnixNano()) }, new(counters.Set))
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
