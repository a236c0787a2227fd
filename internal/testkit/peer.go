package testkit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// HangTimeout is the timeout for a test that hangs. No test checks a duration by it: tests check the order of what a peer reads and writes.
const HangTimeout = time.Minute

// Peer is the remote end of a connection to the code under test. A test drives it step by step: each method blocks until its step
// has happened and fails the test if something else happens.
type Peer struct {
	net.Conn
	Reader *bufio.Reader // buffers what is read from Conn
	t      testing.TB
}

// Listen opens a loopback listener that is closed when the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Accept returns a peer for the next connection to ln. The connection is closed when the test ends, and its reads and writes
// time out after HangTimeout.
func Accept(t testing.TB, ln net.Listener) *Peer {
	t.Helper()
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(HangTimeout))
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(HangTimeout))
	return &Peer{c, bufio.NewReader(c), t}
}

// ExpectRead fails the test unless the next bytes received are exactly want.
func (p *Peer) ExpectRead(want string) {
	p.t.Helper()
	got := make([]byte, len(want))
	n, err := io.ReadFull(p.Reader, got)
	if string(got[:n]) != want {
		p.t.Fatalf("peer read %q (%v), want %q", got[:n], err, want)
	}
}

// Writef formats its arguments as fmt.Sprintf does and writes the result to the connection.
func (p *Peer) Writef(format string, args ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p.Conn, format, args...); err != nil {
		p.t.Fatal(err)
	}
}

// ExpectEOF fails the test unless the next event is an orderly close (EOF) by the other side; a reset fails the test.
func (p *Peer) ExpectEOF() {
	p.t.Helper()
	if b, err := p.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		p.t.Fatalf("peer read %q, %v, want EOF", b, err)
	}
}

// ExpectOpen fails the test if data has arrived or the other side has closed the connection.
func (p *Peer) ExpectOpen() {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(time.Millisecond)) // no data is expected, so the read must end with this deadline
	if b, err := p.Reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Fatalf("peer read %q, %v, want no data on an open connection", b, err)
	}
	p.SetReadDeadline(time.Now().Add(HangTimeout))
}
