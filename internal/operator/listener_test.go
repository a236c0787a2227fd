package operator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/internal/testkit"
)

func startListener(t *testing.T) (*Listener, *testkit.Clock, *counters.Set) {
	t.Helper()
	clock, set := testkit.NewClock(), new(counters.Set)
	d, err := Listen("127.0.0.1:0", &fakeReplica{}, clock.Now, set)
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve()
	t.Cleanup(d.Close)
	return d, clock, set
}

func dial(t *testing.T, d *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// call sends a line and reads to the end of the connection.
func call(t *testing.T, c net.Conn, line string, halfClose bool) string {
	t.Helper()
	if _, err := io.WriteString(c, line); err != nil {
		t.Fatal(err)
	}
	if halfClose {
		c.(*net.TCPConn).CloseWrite()
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

func TestCallIsAnsweredAndConnectionHalfClosed(t *testing.T) {
	d, _, _ := startListener(t)
	for _, half := range []bool{false, true} { // some callers shut down their write side after the call
		for range 50 {
			if got := call(t, dial(t, d), "check\n", half); got != "ACK\n" {
				t.Fatalf("half-closed %v: %q", half, got)
			}
		}
	}
	if got := call(t, dial(t, d), "vars\n", false); !strings.HasSuffix(got, "--\n") {
		t.Errorf("vars: %q", got)
	}
}

// TestSilentCallersAreEvicted checks that callers that send nothing, or a partial call, do not keep others from connecting by
// occupying all connections.
func TestSilentCallersAreEvicted(t *testing.T) {
	d, _, set := startListener(t)
	for i := range 5 * MaxConnections {
		c := dial(t, d)
		if i%2 == 0 {
			io.WriteString(c, "che")
		}
	}
	if got := call(t, dial(t, d), "check\n", false); got != "ACK\n" {
		t.Errorf("answer after the silent callers: %q", got)
	}
	d.mu.Lock()
	connections := len(d.callers)
	d.mu.Unlock()
	if connections > MaxConnections || set.Get("operator_callers_evicted").Load() < 4*MaxConnections {
		t.Errorf("%d connections, %d evicted", connections, set.Get("operator_callers_evicted").Load())
	}
}

func TestConnectionIsClosedAfterTimeout(t *testing.T) {
	d, clock, _ := startListener(t)
	c := dial(t, d)
	call(t, dial(t, d), "check\n", false) // c was accepted before
	clock.Advance(connectionTimeout - time.Second)
	d.sweep()
	fmt.Fprint(c, "check\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != "ACK\n" {
		t.Fatalf("answer within the connection's lifetime: %q, %v", line, err)
	}
	silent := dial(t, d)
	call(t, dial(t, d), "check\n", false)
	clock.Advance(connectionTimeout)
	d.sweep()
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the connection's lifetime: %v", err)
	}
}

func TestListenErrorNamesAddress(t *testing.T) {
	d, _, _ := startListener(t)
	for _, addr := range []string{d.Addr(), "127.0.0.1:nowhere"} {
		if _, err := Listen(addr, &fakeReplica{}, testkit.NewClock().Now, new(counters.Set)); err == nil || !strings.Contains(err.Error(), addr) {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

func TestCallErrors(t *testing.T) {
	d, _, _ := startListener(t)
	text, err := Call(d.Addr(), "vars", 20*time.Second)
	values, bad := ParseMetrics(text)
	if err != nil || bad != nil || values["edge_relay_in_progress"] != 0 || len(values) != 2 {
		t.Errorf("vars: %q, %v, %v, %v", text, err, values, bad)
	}
	if _, err := Call(d.Addr(), "chek", 20*time.Second); !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), "there are check") {
		t.Errorf("unknown call: %v", err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, timeout := range []time.Duration{time.Nanosecond, time.Millisecond} { // the connection times out, and the answer times out
		if _, err := Call(silent.Addr().String(), "check", timeout); err == nil || !strings.Contains(err.Error(), "did not answer within") {
			t.Errorf("time-out of %v: %v", timeout, err)
		}
	}
	silent.Close()
	if _, err := Call(silent.Addr().String(), "check", time.Second); err == nil || !strings.Contains(err.Error(), "is it running") {
		t.Errorf("closed address: %v", err)
	}
	if _, err := ParseMetrics("a x\n"); err == nil {
		t.Error("a metric without an integer value is accepted")
	}
}

// TestFloodingCallerIsNotReadAhead guards against memory that grows with what callers write: input after the call was read without a
// bound.
func TestFloodingCallerIsNotReadAhead(t *testing.T) {
	const total, bound = 32 << 20, 4 << 20
	d, _, _ := startListener(t)
	c := dial(t, d)
	if err := c.(*net.TCPConn).SetWriteBuffer(maxDiscard); err != nil {
		t.Fatal(err)
	}
	written := 0
	var err error
	for written < total && err == nil {
		var n int
		n, err = c.Write(make([]byte, maxDiscard))
		written += n
	}
	if err == nil || written > bound {
		t.Errorf("%d bytes of one caller were taken, want at most %d (%v)", written, bound, err)
	}
	if got := call(t, dial(t, d), "check\n", false); got != "ACK\n" {
		t.Errorf("another caller gets %q", got)
	}
}
