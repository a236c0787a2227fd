package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
)

const (
	// handshakeTime is how long a client may take to its handshake.
	handshakeTime = 2 * time.Second
	// handshakesMost bounds the handshakes that are open at once: each costs a signature.
	handshakesMost = 64
	// readSize is what a TLS connection reads at once. It is held for as long as the connection lives.
	readSize = 4 << 10
	// goodbyeTime is how long a close may take to send its notice.
	goodbyeTime = 50 * time.Millisecond
)

// TLS accepts connections of routers that speak TLS, for a Server. crypto/tls reads in a blocking way, so each
// connection has one goroutine for as long as it lives; nothing is started for a request, and sessions, sweep, table
// and ends are those of the plain connections.
type TLS struct {
	s     *Server
	ln    net.Listener
	cfg   *tls.Config
	open  chan struct{} // a place for each open handshake
	count struct{ done, failed, turned *counters.Counter }
}

// ListenTLS opens a listener for TLS. The configuration gives a certificate for each handshake; session tickets
// outlive a change of certificates as long as the configuration is the same.
func (s *Server) ListenTLS(addr string, cfg *tls.Config, set *counters.Set) (*TLS, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for routers over TLS: %w", err)
	}
	t := &TLS{s: s, ln: ln, cfg: cfg, open: make(chan struct{}, handshakesMost)}
	t.count.done, t.count.failed = set.Get("tls_handshakes"), set.Get("tls_handshakes_failed")
	t.count.turned = set.Get("tls_handshakes_over_limit")
	return t, nil
}

// Addr is the address that the listener got.
func (t *TLS) Addr() string { return t.ln.Addr().String() }

// Serve accepts connections until Close.
func (t *TLS) Serve() error {
	for {
		raw, err := t.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or gone before it was accepted
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case t.open <- struct{}{}:
		default:
			t.count.turned.Inc()
			raw.Close()
			continue
		}
		if !t.s.makeRoom(false) {
			<-t.open
			t.s.count.turned.Inc()
			raw.Close()
			continue
		}
		w, err := newWire(raw.(*net.TCPConn))
		if err != nil {
			<-t.open
			raw.Close()
			continue
		}
		go t.serve(w) // for the connection, not for a request
	}
}

// Close ends the listening.
func (t *TLS) Close() error { return t.ln.Close() }

// serve is the life of one connection.
func (t *TLS) serve(w *wire) {
	tc := tls.Server(w, t.cfg)
	l := &tlsLine{tc: tc, wire: w}
	c := t.s.add(l, deadlined{tc})
	defer l.raw.Close()
	defer t.s.remove(c)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTime)
	err := tc.HandshakeContext(ctx)
	cancel()
	<-t.open
	if err != nil {
		t.count.failed.Inc()
		return
	}
	t.count.done.Inc()
	if tc.ConnectionState().NegotiatedProtocol == "acme-tls/1" {
		return // the authority has seen what it asked for
	}
	buf := make([]byte, readSize)
	for {
		n, err := tc.Read(buf)
		if n > 0 {
			if c.enter() {
				t.s.feed(c, buf[:n], w.RemoteAddr())
			} else {
				t.s.thrown(c, n)
			}
		}
		if err != nil {
			return
		}
	}
}

// deadlined bounds each write.
type deadlined struct{ *tls.Conn }

func (d deadlined) Write(p []byte) (int, error) {
	d.SetWriteDeadline(time.Now().Add(writeTimeout))
	return d.Conn.Write(p)
}

// wire is the socket below TLS. It knows whether all that was read has been worked off: crypto/tls asks for more only
// then. The read and the note of it are one step under mu, so nothing is ever in hands that cannot be seen.
type wire struct {
	net.Conn
	raw *net.TCPConn
	sys syscall.RawConn

	mu   sync.Mutex
	asks bool // crypto/tls waits for input, and has nothing whole
}

func newWire(c *net.TCPConn) (*wire, error) {
	if err := c.SetReadBuffer(readBuffer); err != nil {
		return nil, err
	}
	sys, err := c.SyscallConn()
	return &wire{Conn: c, raw: c, sys: sys}, err
}

// Read implements net.Conn.
func (w *wire) Read(p []byte) (n int, err error) {
	w.mu.Lock()
	w.asks = true
	w.mu.Unlock()
	rerr := w.sys.Read(func(fd uintptr) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for {
			n, err = syscall.Read(int(fd), p)
			if err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			n, err = 0, nil
			return false
		}
		if n > 0 {
			w.asks = false
		}
		return true
	})
	switch {
	case rerr != nil:
		return 0, rerr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: w.RemoteAddr(), Err: err}
	case n <= 0:
		return 0, io.EOF
	}
	return n, nil
}

// tlsLine is TLS over a socket.
type tlsLine struct {
	*wire
	tc *tls.Conn
}

func (l *tlsLine) input() (kernel, reader int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.asks {
		reader = 1
	}
	return l.queue(unix.SIOCINQ), reader
}

func (l *tlsLine) unacked() int { return l.queue(unix.SIOCOUTQ) }

func (l *tlsLine) queue(what uint) (n int) {
	n = 1
	l.sys.Control(func(fd uintptr) { n = queued(int(fd), what) })
	return n
}

func (l *tlsLine) polled() bool { return false }

func (l *tlsLine) halfClose() error {
	l.tc.SetWriteDeadline(time.Now().Add(goodbyeTime))
	return errors.Join(l.tc.CloseWrite(), l.raw.CloseWrite())
}

// Close ends the connection. Its goroutine takes it out of the table.
func (l *tlsLine) Close() error {
	l.raw.SetReadDeadline(time.Unix(1, 0)) // the goroutine ends
	l.tc.SetWriteDeadline(time.Now().Add(goodbyeTime))
	return errors.Join(l.tc.CloseWrite(), l.raw.Close())
}
