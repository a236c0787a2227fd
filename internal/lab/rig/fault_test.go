package rig

import (
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestSchedulePrintParseRoundTrip(t *testing.T) {
	s := Draw(rand.New(rand.NewPCG(1, 2)), Kinds, 60, 7, time.Minute)
	if again := Draw(rand.New(rand.NewPCG(1, 2)), Kinds, 60, 7, time.Minute); !reflect.DeepEqual(s, again) {
		t.Error("the same seed gave two different schedules")
	}
	seen := map[Kind]int{}
	for _, f := range s {
		seen[f.Kind]++
	}
	for _, k := range Kinds {
		if seen[k] < 2 {
			t.Errorf("%s was drawn %d times in 60 faults, want at least 2", k, seen[k])
		}
	}
	parsed, err := Parse("# a comment\n" + s.String())
	if err != nil || !reflect.DeepEqual(parsed, s) {
		t.Errorf("parsed schedule differs from the printed one: %v\n%v", err, parsed)
	}
	for _, bad := range []string{"1s kill 1 2", "1s nothing 1 2 3s", "x kill 1 2 3s", "1s kill a 2 3s"} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("%q was parsed, want an error", bad)
		}
	}
}

func TestShrinkKeepsNeededFaults(t *testing.T) {
	s := Draw(rand.New(rand.NewPCG(3, 4)), Kinds, 40, 5, time.Minute)
	needed := []Fault{s[7], s[23]}
	got := Shrink(s, func(s Schedule) bool { return slices.Contains(s, needed[0]) && slices.Contains(s, needed[1]) })
	if !reflect.DeepEqual(got, Schedule(needed)) {
		t.Errorf("shrunk to %v, want %v", got, needed)
	}
}

// TestRelayAppliesFlows checks each setting of Flow, and that a setting for one direction does not affect the other.
func TestRelayAppliesFlows(t *testing.T) {
	network := NewNetwork()
	defer network.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr, err := network.AddRelay(0, 1, func() string { return ln.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	connect := func() (net.Conn, net.Conn) {
		caller, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		target, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return caller, target
	}
	read := func(conn net.Conn, want string) {
		t.Helper()
		buf := make([]byte, len(want))
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != want {
			t.Fatalf("read %q, %v; want %q", buf, err, want)
		}
	}
	caller, target := connect()
	io.WriteString(caller, "there")
	read(target, "there")
	network.SetFlow(0, 1, func(f *Flow) { f.Drop = true })
	io.WriteString(caller, "lost")
	io.WriteString(target, "back") // the other direction is not affected
	read(caller, "back")
	for network.DroppedBytes() < len("lost") {
		time.Sleep(time.Millisecond)
	}
	network.SetFlow(0, 1, func(f *Flow) { *f = Flow{Hold: true} })
	io.WriteString(caller, "held")
	network.SetFlow(0, 1, func(f *Flow) { f.Hold = false })
	read(target, "held") // and none of the dropped bytes
	network.SetFlow(1, 0, func(f *Flow) { f.Delay = 50 * time.Millisecond })
	began := time.Now()
	io.WriteString(target, "late")
	if read(caller, "late"); time.Since(began) < 50*time.Millisecond {
		t.Error("the bytes arrived without the delay of 50 ms")
	}
	network.SetFlow(0, 1, func(f *Flow) { f.Break = true })
	io.WriteString(caller, "frame!")
	read(target, "fra")
	if size, err := target.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes after the connection was broken", size)
	}
	network.SetFlow(0, 1, func(f *Flow) { *f = Flow{Reject: true} })
	if caller, err = net.Dial("tcp", addr); err == nil {
		if _, err = caller.Read(make([]byte, 1)); err == nil {
			t.Error("the connection was not rejected")
		}
	}
}
