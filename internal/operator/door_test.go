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

func open(t *testing.T) (*Door, *testkit.Clock, *counters.Set) {
	t.Helper()
	clock, set := testkit.NewClock(), new(counters.Set)
	d, err := Listen("127.0.0.1:0", &fake{}, clock.Now, set)
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve()
	t.Cleanup(d.Close)
	return d, clock, set
}

func dial(t *testing.T, d *Door) net.Conn {
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

func TestACallIsAnsweredAndOurSideEnds(t *testing.T) {
	d, _, _ := open(t)
	for _, half := range []bool{false, true} { // some callers end their side behind the call
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

// Callers that send nothing, or half a call, used up every place of a door with no order of eviction.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	d, _, set := open(t)
	for i := range 5 * Most {
		c := dial(t, d)
		if i%2 == 0 {
			io.WriteString(c, "che")
		}
	}
	if got := call(t, dial(t, d), "check\n", false); got != "ACK\n" {
		t.Errorf("after the crowd: %q", got)
	}
	d.mu.Lock()
	held := len(d.order)
	d.mu.Unlock()
	if held > Most || set.Get("operator_callers_evicted").Load() < 4*Most {
		t.Errorf("%d held, %d evicted", held, set.Get("operator_callers_evicted").Load())
	}
}

func TestACallerThatStaysTooLongIsEnded(t *testing.T) {
	d, clock, _ := open(t)
	c := dial(t, d)
	call(t, dial(t, d), "check\n", false) // c was taken in before
	clock.Advance(holdTime - time.Second)
	d.sweep()
	fmt.Fprint(c, "check\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != "ACK\n" {
		t.Fatalf("inside its time: %q, %v", line, err)
	}
	silent := dial(t, d)
	call(t, dial(t, d), "check\n", false)
	clock.Advance(holdTime)
	d.sweep()
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after its time: %v", err)
	}
}

func TestATakenAddressIsNamed(t *testing.T) {
	d, _, _ := open(t)
	for _, addr := range []string{d.Addr(), "127.0.0.1:nowhere"} {
		if _, err := Listen(addr, &fake{}, testkit.NewClock().Now, new(counters.Set)); err == nil || !strings.Contains(err.Error(), addr) {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

func TestAskTellsWhatWentWrong(t *testing.T) {
	d, _, _ := open(t)
	text, err := Ask(d.Addr(), "vars", 20*time.Second)
	values, bad := Values(text)
	if err != nil || bad != nil || values["edge_relay_in_progress"] != 0 || len(values) != 2 {
		t.Errorf("vars: %q, %v, %v, %v", text, err, values, bad)
	}
	if _, err := Ask(d.Addr(), "chek", 20*time.Second); !errors.Is(err, ErrNo) || !strings.Contains(err.Error(), "there are check") {
		t.Errorf("a wrong call: %v", err)
	}
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, most := range []time.Duration{time.Nanosecond, time.Millisecond} { // not even a connection in time, and no answer in time
		if _, err := Ask(mute.Addr().String(), "check", most); err == nil || !strings.Contains(err.Error(), "did not answer within") {
			t.Errorf("no answer within %v: %v", most, err)
		}
	}
	mute.Close()
	if _, err := Ask(mute.Addr().String(), "check", time.Second); err == nil || !strings.Contains(err.Error(), "is it running") {
		t.Errorf("nobody there: %v", err)
	}
	if _, err := Values("a x\n"); err == nil {
		t.Error("a figure that is no number is taken")
	}
}
