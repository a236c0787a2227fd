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

var began = time.Now()

func since() time.Duration { return time.Since(began) }

// node is one end of real links.
type node struct {
	*Links
	set  *counters.Set
	got  atomic.Int64
	last atomic.Value
	keys atomic.Value // [][]byte
	mu   sync.Mutex
	told []string
}

func (n *node) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.told, "\n")
}

// until waits for what has to come.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: ", what)
		}
	}
}

func address(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func start(t *testing.T, name string, peers map[string]string, key []byte, kinds []Kind) *node {
	t.Helper()
	n := &node{set: new(counters.Set)}
	n.keys.Store([][]byte{key})
	var err error
	n.Links, err = Listen(Config{Name: name, Listen: peers[name], Peers: peers, Keys: func() ([][]byte, error) { return n.keys.Load().([][]byte), nil }, Kinds: kinds, Now: since, Set: n.set,
		Told: func(f string, a ...any) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.told = append(n.told, fmt.Sprintf(f, a...))
		}}, func(from string, kind byte, p []byte) {
		n.last.Store(fmt.Sprintf("%s %d %s", from, kind, p[:min(len(p), 20)]))
		n.got.Add(1)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

var usual = []Kind{{Messages: 1000, Bytes: 1 << 20, Stale: time.Minute}, {Messages: 10, Bytes: 16 << 20}}

func TestLinksCarryMessagesAndAreTakenUpAnew(t *testing.T) {
	peers := map[string]string{"a": address(t), "b": address(t)}
	a := start(t, "a", peers, key(1), usual)
	a.Send("b", 0, []byte("before b is there"))
	b := start(t, "b", peers, key(1), usual)
	until(t, "what was sent before", func() bool { return b.last.Load() == "a 0 before b is there" })
	b.Send("a", 1, []byte("back"))
	until(t, "an answer on the same link", func() bool { return a.last.Load() == "b 1 back" })
	if up := a.set.Get("fleet_links_up").Load(); up != 1 {
		t.Errorf("%d links", up)
	}
	big := bytes.Repeat([]byte("x"), 8<<20)
	a.Send("b", 1, big)
	until(t, "8 MB", func() bool { return b.got.Load() == 2 })
	b.Close()
	b = start(t, "b", peers, key(1), usual)
	until(t, "a link to b that was started anew", func() bool {
		a.Send("b", 0, []byte("again"))
		return b.last.Load() == "a 0 again"
	})
}

func TestBothDialAtOnce(t *testing.T) {
	peers := map[string]string{"a": address(t), "b": address(t)}
	a, b := start(t, "a", peers, key(1), usual), start(t, "b", peers, key(1), usual)
	for i := range 100 {
		a.Send("b", 0, []byte{byte(i)})
		b.Send("a", 0, []byte{byte(i)})
	}
	until(t, "a link that works both ways", func() bool {
		a.Send("b", 0, []byte("from a"))
		b.Send("a", 0, []byte("from b"))
		return a.last.Load() == "b 0 from b" && b.last.Load() == "a 0 from a"
	})
	if s := a.Status()[0]; !s.Up || s.Peer != "b" {
		t.Errorf("%+v", s)
	}
}

// TestAFloodIsLeftOutAndTold has a peer with the key send far more than boxes do.
func TestAFloodIsLeftOutAndTold(t *testing.T) {
	peers := map[string]string{"a": address(t), "b": address(t)}
	wide := []Kind{{Messages: 1 << 20, Bytes: 64 << 20}}
	a, b := start(t, "a", peers, key(1), wide), start(t, "b", peers, key(1), wide)
	const sent = 4 * messagesRate
	for i := range sent {
		a.Send("b", 0, []byte{byte(i)})
	}
	flooded := b.set.Get("fleet_links_messages_flooded")
	until(t, "all that was sent", func() bool { return b.got.Load()+flooded.Load() == sent })
	if flooded.Load() == 0 || b.got.Load() < messagesRate || !strings.Contains(b.log(), "a sends more than") {
		t.Errorf("%d taken, %d left out; told: %s", b.got.Load(), flooded.Load(), b.log())
	}
}

// TestAFleetKeyIsChangedUnderWay, box after box, with links that are opened anew at each step.
func TestAFleetKeyIsChangedUnderWay(t *testing.T) {
	peers := map[string]string{"a": address(t), "b": address(t)}
	a, b := start(t, "a", peers, key(1), usual), start(t, "b", peers, key(1), usual)
	works := func(step string) bool {
		for _, n := range []*node{a, b} {
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
			if b.last.Load() == "a 0 "+step && a.last.Load() == "b 0 "+step {
				return true
			}
		}
		return false
	}
	old, both, next := [][]byte{key(1)}, [][]byte{key(1), key(2)}, [][]byte{key(2)}
	for i, step := range [][2][][]byte{{old, old}, {both, old}, {both, both}, {next, both}, {next, next}} {
		a.keys.Store(step[0])
		b.keys.Store(step[1])
		if !works(fmt.Sprint("step ", i)) {
			t.Fatalf("step %d: %s %s", i, a.log(), b.log())
		}
	}
	a.keys.Store(old)
	if works("an old key") {
		t.Error("the old key is still taken")
	}
}

func TestStrangersCostABoundedAmountAndAreTold(t *testing.T) {
	peers := map[string]string{"a": address(t), "b": address(t), "w": address(t)}
	a := start(t, "a", peers, key(1), usual)
	wrong := start(t, "w", peers, key(2), usual)
	wrong.Send("a", 0, []byte("x"))
	until(t, "word of the wrong key", func() bool { return strings.Contains(a.log(), ErrKey.Error()) })
	var open []net.Conn
	for range strangersMost + 20 {
		c, err := net.Dial("tcp", peers["a"])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	until(t, "word of too many", func() bool { return strings.Contains(a.log(), "prove nothing") })
	until(t, "the end of those that say nothing", func() bool {
		a.Links.mu.Lock()
		defer a.Links.mu.Unlock()
		return a.strangers == 0
	})
	// Each is closed by a, those that were too many and those that said nothing; it is not enough that they no longer count.
	var held atomic.Int64
	var reads sync.WaitGroup
	for _, c := range open {
		c.SetReadDeadline(time.Now().Add(20 * time.Second)) // as long as until waits
		reads.Go(func() {
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				held.Add(1)
			}
		})
	}
	if reads.Wait(); held.Load() > 0 {
		t.Errorf("%d of %d connections that prove nothing were not closed", held.Load(), len(open))
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
	until(t, "word of garbage", func() bool { return strings.Contains(a.log(), ErrGarbage.Error()) })
	b := start(t, "b", peers, key(1), usual)
	b.Send("a", 0, []byte("still well"))
	until(t, "a peer's message", func() bool { return a.last.Load() == "b 0 still well" })
	if a.got.Load() != 1 {
		t.Errorf("%d messages were taken", a.got.Load())
	}
}

// TestAPeerThatDoesNotReadStallsNobody has b take the link and read nothing, while a goes on talking to c.
func TestAPeerThatDoesNotReadStallsNobody(t *testing.T) {
	peers := map[string]string{"a": address(t), "b": address(t), "c": address(t)}
	block := make(chan struct{})
	b := &node{set: new(counters.Set)}
	var err error
	b.Links, err = Listen(Config{Name: "b", Listen: peers["b"], Peers: peers, Keys: func() ([][]byte, error) { return [][]byte{key(1)}, nil }, Kinds: usual, Now: since, Set: b.set}, func(string, byte, []byte) { <-block })
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	defer close(block)
	a, c := start(t, "a", peers, key(1), usual), start(t, "c", peers, key(1), usual)
	for i := range 3000 {
		a.Send("b", 0, make([]byte, 32<<10))
		if i%100 == 0 {
			a.Send("c", 0, []byte("to c"))
		}
	}
	until(t, "c's messages", func() bool { return c.got.Load() == 30 })
	a.Links.mu.Lock()
	waiting := a.peers["b"].queue.bytes[0]
	a.Links.mu.Unlock()
	if waiting > usual[0].Bytes || a.set.Get("fleet_links_messages_dropped").Load() == 0 {
		t.Errorf("%d bytes wait for who does not read, %d messages were dropped", waiting, a.set.Get("fleet_links_messages_dropped").Load())
	}
}
