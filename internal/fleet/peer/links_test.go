package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnlane/internal/counters"
)

var testStart = time.Now()

func testClock() time.Duration { return time.Since(testStart) }

// testNode is one end of links over real sockets.
type testNode struct {
	*Links
	counters    *counters.Set
	received    atomic.Int64
	lastMessage atomic.Value
	keys        atomic.Value // [][]byte
	mu          sync.Mutex
	logLines    []string
}

func (n *testNode) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.logLines, "\n")
}

// waitFor waits up to 20 s for a condition.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 20 s: ", what)
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startNode(t *testing.T, name string, peers map[string]string, key []byte, kinds []KindLimits) *testNode {
	t.Helper()
	n := &testNode{counters: new(counters.Set)}
	n.keys.Store([][]byte{key})
	var err error
	n.Links, err = Listen(Config{Name: name, Listen: peers[name], Peers: peers, Keys: func() ([][]byte, error) { return n.keys.Load().([][]byte), nil }, Kinds: kinds, Now: testClock, Counters: n.counters,
		Logf: func(f string, a ...any) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.logLines = append(n.logLines, fmt.Sprintf(f, a...))
		}}, func(from string, kind byte, p []byte) {
		n.lastMessage.Store(fmt.Sprintf("%s %d %s", from, kind, p[:min(len(p), 20)]))
		n.received.Add(1)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

var testKinds = []KindLimits{{Messages: 1000, Bytes: 1 << 20, MaxAge: time.Minute}, {Messages: 10, Bytes: 16 << 20}}

func TestLinksDeliverMessagesAndReconnect(t *testing.T) {
	peers := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	a := startNode(t, "a", peers, testKey(1), testKinds)
	a.Send("b", 0, []byte("sent before b"))
	b := startNode(t, "b", peers, testKey(1), testKinds)
	waitFor(t, "a message sent before b listens", func() bool { return b.lastMessage.Load() == "a 0 sent before b" })
	b.Send("a", 1, []byte("back"))
	waitFor(t, "an answer on the same link", func() bool { return a.lastMessage.Load() == "b 1 back" })
	if up := a.counters.Get("fleet_links_up").Load(); up != 1 {
		t.Errorf("%d links are up, want 1", up)
	}
	big := bytes.Repeat([]byte("x"), 8<<20)
	a.Send("b", 1, big)
	waitFor(t, "8 MB", func() bool { return b.received.Load() == 2 })
	b.Close()
	b = startNode(t, "b", peers, testKey(1), testKinds)
	waitFor(t, "a link to the restarted b", func() bool {
		a.Send("b", 0, []byte("again"))
		return b.lastMessage.Load() == "a 0 again"
	})
}

func TestSimultaneousDial(t *testing.T) {
	peers := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	a, b := startNode(t, "a", peers, testKey(1), testKinds), startNode(t, "b", peers, testKey(1), testKinds)
	for i := range 100 {
		a.Send("b", 0, []byte{byte(i)})
		b.Send("a", 0, []byte{byte(i)})
	}
	waitFor(t, "a link that works in both directions", func() bool {
		a.Send("b", 0, []byte("from a"))
		b.Send("a", 0, []byte("from b"))
		return a.lastMessage.Load() == "b 0 from b" && b.lastMessage.Load() == "a 0 from a"
	})
	if s := a.Status()[0]; !s.Up || s.Peer != "b" {
		t.Errorf("%+v", s)
	}
}

// TestMessagesAboveRateAreDroppedAndLogged lets an authenticated peer exceed the message rate; the excess must be dropped, counted and logged.
func TestMessagesAboveRateAreDroppedAndLogged(t *testing.T) {
	peers := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	wide := []KindLimits{{Messages: 1 << 20, Bytes: 64 << 20}}
	a, b := startNode(t, "a", peers, testKey(1), wide), startNode(t, "b", peers, testKey(1), wide)
	const sent = 4 * maxMessageRate
	for i := range sent {
		a.Send("b", 0, []byte{byte(i)})
	}
	flooded := b.counters.Get("fleet_links_messages_flooded")
	waitFor(t, "all messages to be received or dropped", func() bool { return b.received.Load()+flooded.Load() == sent })
	if flooded.Load() == 0 || b.received.Load() < maxMessageRate || !strings.Contains(b.log(), "a sends more than") {
		t.Errorf("%d received, %d dropped; log: %s", b.received.Load(), flooded.Load(), b.log())
	}
}

// TestFleetKeyReplacement replaces the key on one box after another and reopens the links after each step.
func TestFleetKeyReplacement(t *testing.T) {
	peers := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	a, b := startNode(t, "a", peers, testKey(1), testKinds), startNode(t, "b", peers, testKey(1), testKinds)
	works := func(step string) bool {
		for _, n := range []*testNode{a, b} {
			n.Links.mu.Lock()
			var k *link
			for _, p := range n.peers {
				k = p.link
			}
			n.Links.mu.Unlock()
			if k != nil {
				k.end(nil)
			}
		}
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			a.Send("b", 0, []byte(step))
			b.Send("a", 0, []byte(step))
			if b.lastMessage.Load() == "a 0 "+step && a.lastMessage.Load() == "b 0 "+step {
				return true
			}
		}
		return false
	}
	old, both, next := [][]byte{testKey(1)}, [][]byte{testKey(1), testKey(2)}, [][]byte{testKey(2)}
	for i, step := range [][2][][]byte{{old, old}, {both, old}, {both, both}, {next, both}, {next, next}} {
		a.keys.Store(step[0])
		b.keys.Store(step[1])
		if !works(fmt.Sprint("step ", i)) {
			t.Fatalf("step %d: %s %s", i, a.log(), b.log())
		}
	}
	a.keys.Store(old)
	// A handshake that has begun with the later key may still be completed; it opens one link at most, which the second call ends.
	if works("an old key") && works("an old key, after any handshake from before") {
		t.Error("the replaced key is still accepted")
	}
}

func TestUnauthenticatedConnectionsAreBoundedAndLogged(t *testing.T) {
	peers := map[string]string{"a": freeAddress(t), "b": freeAddress(t), "w": freeAddress(t)}
	a := startNode(t, "a", peers, testKey(1), testKinds)
	wrong := startNode(t, "w", peers, testKey(2), testKinds)
	wrong.Send("a", 0, []byte("x"))
	waitFor(t, "the log line about the wrong key", func() bool { return strings.Contains(a.log(), ErrKey.Error()) })
	var open []net.Conn
	for range maxUnauthenticated + 20 {
		c, err := net.Dial("tcp", peers["a"])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	waitFor(t, "the log line about too many connections", func() bool { return strings.Contains(a.log(), "unauthenticated connections already open") })
	waitFor(t, "silent connections to be closed", func() bool {
		a.Links.mu.Lock()
		defer a.Links.mu.Unlock()
		return a.unauthenticated == 0
	})
	// Each is closed by a, those above the limit and those that sent nothing; it is not enough that they are no longer counted.
	var held atomic.Int64
	var reads sync.WaitGroup
	for _, c := range open {
		c.SetReadDeadline(time.Now().Add(20 * time.Second)) // as long as waitFor waits
		reads.Go(func() {
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				held.Add(1)
			}
		})
	}
	if reads.Wait(); held.Load() > 0 {
		t.Errorf("%d of %d unauthenticated connections were not closed", held.Load(), len(open))
	}
	c, err := net.Dial("tcp", peers["a"])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(bytes.Repeat([]byte("garbage "), 100))
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(a.log())
		}
	})
	waitFor(t, "the log line about invalid data", func() bool { return strings.Contains(a.log(), ErrProtocol.Error()) })
	b := startNode(t, "b", peers, testKey(1), testKinds)
	b.Send("a", 0, []byte("still well"))
	waitFor(t, "a peer's message", func() bool { return a.lastMessage.Load() == "b 0 still well" })
	if a.received.Load() != 1 {
		t.Errorf("%d messages were received, want 1", a.received.Load())
	}
}

// TestNonReadingPeerDoesNotBlockOthers lets b accept its link without reading, while a must still reach c.
func TestNonReadingPeerDoesNotBlockOthers(t *testing.T) {
	peers := map[string]string{"a": freeAddress(t), "b": freeAddress(t), "c": freeAddress(t)}
	block := make(chan struct{})
	b := &testNode{counters: new(counters.Set)}
	var err error
	b.Links, err = Listen(Config{Name: "b", Listen: peers["b"], Peers: peers, Keys: func() ([][]byte, error) { return [][]byte{testKey(1)}, nil }, Kinds: testKinds, Now: testClock, Counters: b.counters}, func(string, byte, []byte) { <-block })
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	defer close(block)
	a, c := startNode(t, "a", peers, testKey(1), testKinds), startNode(t, "c", peers, testKey(1), testKinds)
	for i := range 3000 {
		a.Send("b", 0, make([]byte, 32<<10))
		if i%100 == 0 {
			a.Send("c", 0, []byte("to c"))
		}
	}
	waitFor(t, "the messages to c", func() bool { return c.received.Load() == 30 })
	a.Links.mu.Lock()
	waiting := a.peers["b"].queue.bytes[0]
	a.Links.mu.Unlock()
	if waiting > testKinds[0].Bytes || a.counters.Get("fleet_links_messages_dropped").Load() == 0 {
		t.Errorf("%d bytes wait for the peer that does not read, %d messages were dropped", waiting, a.counters.Get("fleet_links_messages_dropped").Load())
	}
}
