package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
)

const (
	// handshakeTimeout bounds a handshake.
	handshakeTimeout = 2 * time.Second
	// maxHandshakes bounds the concurrent handshakes, each of which costs a signature.
	maxHandshakes = 64
	// tlsReadSize is the size of a TLS connection's read buffer, which is allocated for the connection's lifetime.
	tlsReadSize = 4 << 10
	// closeNotifyTimeout bounds the sending of close_notify.
	closeNotifyTimeout = 50 * time.Millisecond
)

// TLS accepts TLS connections of routers for a Server. As crypto/tls reads block, each connection has a goroutine for
// its lifetime; requests start none. Sessions, table, sweep and closing are shared with the plain connections.
type TLS struct {
	s          *Server
	ln         net.Listener
	cfg        *tls.Config
	handshakes chan struct{} // semaphore of maxHandshakes
	count      struct{ done, failed, rejected *counters.Counter }
}

// ListenTLS opens a TLS listener. The configuration supplies a certificate for each handshake; session tickets
// stay valid across a change of certificates as long as the configuration is the same.
func (s *Server) ListenTLS(addr string, cfg *tls.Config, set *counters.Set) (*TLS, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for routers over TLS: %w", err)
	}
	t := &TLS{s: s, ln: ln, cfg: cfg, handshakes: make(chan struct{}, maxHandshakes)}
	t.count.done, t.count.failed = set.Get("tls_handshakes"), set.Get("tls_handshakes_failed")
	t.count.rejected = set.Get("tls_handshakes_over_limit")
	return t, nil
}

// Addr returns the address of the listener.
func (t *TLS) Addr() string { return t.ln.Addr().String() }

// Serve accepts connections until Close.
func (t *TLS) Serve() error {
	for {
		raw, err := t.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or the peer closed before the accept
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case t.handshakes <- struct{}{}:
		default:
			t.count.rejected.Inc()
			raw.Close()
			continue
		}
		if !t.accept(raw.(*net.TCPConn)) {
			<-t.handshakes
			raw.Close()
		}
	}
}

// accept starts to serve a connection. It returns false if the table has no room for it or it has ended.
func (t *TLS) accept(raw *net.TCPConn) bool {
	w, err := newTLSSocket(raw)
	if err != nil {
		return false
	}
	l := &tlsTransport{tc: tls.Server(w, t.cfg), tlsSocket: w}
	c := t.s.admit(func() *conn { return t.s.add(l, deadlineWriter{l.tc, &t.s.writeTimeout}) })
	if c == nil {
		return false
	}
	go t.serve(c, l)
	return true
}

// Close closes the listener.
func (t *TLS) Close() error { return t.ln.Close() }

// serve performs the handshake of a connection and reads from it until it is closed.
func (t *TLS) serve(c *conn, l *tlsTransport) {
	defer l.TCPConn.Close()
	defer t.s.remove(c)
	tc := l.tc
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	err := tc.HandshakeContext(ctx)
	cancel()
	<-t.handshakes
	if err != nil {
		t.count.failed.Inc()
		return
	}
	t.count.done.Inc()
	if tc.ConnectionState().NegotiatedProtocol == "acme-tls/1" {
		return // the authority validates the challenge with the handshake alone
	}
	buf := make([]byte, tlsReadSize)
	for {
		n, err := tc.Read(buf)
		if n > 0 {
			t.s.process(c, buf[:n])
		}
		if err != nil || l.peerClosed() {
			return
		}
	}
}

// tlsSocket is the socket below TLS. It records whether crypto/tls waits for input, which it does only once it has
// processed all that was read before. A read and the record of it are one step under mu, so that input is always
// visible either in the kernel or here.
type tlsSocket struct {
	*socket
	mu      sync.Mutex
	waiting bool // crypto/tls waits for input and holds no complete record
}

func newTLSSocket(c *net.TCPConn) (*tlsSocket, error) {
	if err := c.SetReadBuffer(readBuffer); err != nil {
		return nil, err
	}
	w, err := newSocket(c)
	return &tlsSocket{socket: w}, err
}

// Read implements net.Conn.
func (w *tlsSocket) Read(p []byte) (n int, err error) {
	w.mu.Lock()
	w.waiting = true
	w.mu.Unlock()
	closed := w.sys.Read(func(fd uintptr) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		n, err = readOnce(int(fd), p)
		if n > 0 {
			w.waiting = false
		}
		return n > 0 || err != nil
	})
	switch {
	case closed != nil:
		return 0, closed
	case err == io.EOF:
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: w.RemoteAddr(), Err: err}
	}
	return n, nil
}

// tlsTransport is TLS over a socket.
type tlsTransport struct {
	*tlsSocket
	tc *tls.Conn
}

func (l *tlsTransport) input() (kernel, reader int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.waiting {
		reader = 1
	}
	return l.queue(unix.SIOCINQ), reader
}

func (l *tlsTransport) halfClose() error {
	l.tc.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
	return errors.Join(l.tc.CloseWrite(), l.CloseWrite())
}

// Close closes the connection. Its goroutine then removes it from the table.
func (l *tlsTransport) Close() error {
	l.SetReadDeadline(time.Unix(1, 0)) // unblocks the goroutine's read
	l.tc.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
	return errors.Join(l.tc.CloseWrite(), l.TCPConn.Close())
}
