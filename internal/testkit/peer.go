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

// Patience ends a test that hangs, and judges nothing: what is tested is the order of what a peer reads and says.
const Patience = time.Minute

// Peer is the other end of a connection of what is tested. A test steps it: each call waits for what it names.
type Peer struct {
	net.Conn
	In *bufio.Reader
	t  testing.TB
}

// Listen opens a listener on loopback for peers, until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Accept takes the next connection.
func Accept(t testing.TB, ln net.Listener) *Peer {
	t.Helper()
	if l, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Now().Add(Patience))
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Patience))
	return &Peer{c, bufio.NewReader(c), t}
}

// Reads demands that these bytes come next.
func (p *Peer) Reads(want string) {
	p.t.Helper()
	got := make([]byte, len(want))
	n, err := io.ReadFull(p.In, got)
	if string(got[:n]) != want {
		p.t.Fatalf("the peer reads %q (%v), want %q", got[:n], err, want)
	}
}

// Says writes to the connection.
func (p *Peer) Says(format string, a ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p.Conn, format, a...); err != nil {
		p.t.Fatal(err)
	}
}

// Ends demands that the other side ends next, by an end and not by a reset.
func (p *Peer) Ends() {
	p.t.Helper()
	if b, err := p.In.ReadByte(); !errors.Is(err, io.EOF) {
		p.t.Fatalf("the peer reads %q, %v, want the end", b, err)
	}
}

// Stays demands that nothing has come and that the other side has not ended.
func (p *Peer) Stays() {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(time.Millisecond)) // nothing is to come, so that only this ends the read
	if b, err := p.In.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Fatalf("the peer reads %q, %v, want nothing", b, err)
	}
	p.SetReadDeadline(time.Now().Add(Patience))
}
