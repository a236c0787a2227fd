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
		if !t.s.makeRoom(false) {
			<-t.handshakes
			t.s.count.rejected.Inc()
			raw.Close()
			continue
		}
		w, err := newTLSSocket(raw.(*net.TCPConn))
		if err != nil {
			<-t.handshakes
			raw.Close()
			continue
		}
		go t.serve(w)
	}
}

// Close closes the listener.
func (t *TLS) Close() error { return t.ln.Close() }

// serve performs the handshake of a connection and reads from it until it is closed.
func (t *TLS) serve(w *tlsSocket) {
	tc := tls.Server(w, t.cfg)
	l := &tlsTransport{tc: tc, tlsSocket: w}
	c := t.s.add(l, deadlineWriter{tc})
	defer l.raw.Close()
	defer t.s.remove(c)
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
			if c.enter() {
				t.s.feed(c, buf[:n], w.RemoteAddr())
			} else {
				t.s.countDiscarded(c, n)
			}
		}
		if err != nil {
			return
		}
	}
}

// deadlineWriter sets a deadline for each write.
type deadlineWriter struct{ *tls.Conn }

func (d deadlineWriter) Write(p []byte) (int, error) {
	d.SetWriteDeadline(time.Now().Add(minWriteTimeout))
	return d.Conn.Write(p)
}

// tlsSocket is the socket below TLS. It records whether crypto/tls waits for input, which it does only once it has
// processed all that was read before. A read and the record of it are one step under mu, so that input is always
// visible either in the kernel or here.
type tlsSocket struct {
	net.Conn
	raw *net.TCPConn
	sys syscall.RawConn

	mu      sync.Mutex
	waiting bool // crypto/tls waits for input and holds no complete record
}

func newTLSSocket(c *net.TCPConn) (*tlsSocket, error) {
	if err := c.SetReadBuffer(readBuffer); err != nil {
		return nil, err
	}
	sys, err := c.SyscallConn()
	return &tlsSocket{Conn: c, raw: c, sys: sys}, err
}

// Read implements net.Conn.
func (w *tlsSocket) Read(p []byte) (n int, err error) {
	w.mu.Lock()
	w.waiting = true
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
			w.waiting = false
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

func (l *tlsTransport) unacked() int { return l.queue(unix.SIOCOUTQ) }

func (l *tlsTransport) queue(request uint) (n int) {
	n = 1
	l.sys.Control(func(fd uintptr) { n = queueLength(int(fd), request) })
	return n
}

func (l *tlsTransport) polled() bool { return false }

func (l *tlsTransport) halfClose() error {
	l.tc.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
	return errors.Join(l.tc.CloseWrite(), l.raw.CloseWrite())
}

// Close closes the connection. Its goroutine then removes it from the table.
func (l *tlsTransport) Close() error {
	l.raw.SetReadDeadline(time.Unix(1, 0)) // unblocks the goroutine's read
	l.tc.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
	return errors.Join(l.tc.CloseWrite(), l.raw.Close())
}
