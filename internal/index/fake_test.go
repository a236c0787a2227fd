package index

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/policy"
)

// testTimeout limits every wait of a test, so that a fault fails the test instead of blocking it. No test relies on it
// for the order of events.
const testTimeout = 10 * time.Second

// fakeIndex is an index on loopback that the test controls line by line.
type fakeIndex struct {
	t        *testing.T
	listener net.Listener
	accepted chan *peer

	mu      sync.Mutex
	sockets []net.Conn // closed with the listener
}

// peer is one connection that the fake index accepted.
type peer struct {
	t      *testing.T
	socket net.Conn
	r      *bufio.Reader
}

// line is one line read by a peer: GET with its id, milliseconds and body, or STOP with its id.
type line struct {
	word, id string
	ms       int
	body     []byte
}

func newFakeIndex(t *testing.T) *fakeIndex {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeIndex{t: t, listener: listener, accepted: make(chan *peer, 16)}
	t.Cleanup(func() {
		listener.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, socket := range f.sockets {
			socket.Close()
		}
	})
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.sockets = append(f.sockets, socket)
			f.mu.Unlock()
			f.accepted <- &peer{t: t, socket: socket, r: bufio.NewReader(socket)}
		}
	}()
	return f
}

func (f *fakeIndex) addr() string { return f.listener.Addr().String() }

// next waits for the next connection.
func (f *fakeIndex) next() *peer {
	f.t.Helper()
	select {
	case p := <-f.accepted:
		return p
	case <-time.After(testTimeout):
		f.t.Fatalf("no connection within %v", testTimeout)
		return nil
	}
}

// read reads one GET or STOP.
func (p *peer) read() line {
	p.t.Helper()
	p.socket.SetReadDeadline(time.Now().Add(testTimeout))
	text, err := p.r.ReadString('\n')
	if err != nil {
		p.t.Fatalf("fake index: read %q: %v", text, err)
	}
	text, crlf := strings.CutSuffix(text, "\r\n")
	words := strings.Split(text, " ")
	switch {
	case crlf && len(words) == 2 && words[0] == "STOP":
		return line{word: "STOP", id: words[1]}
	case crlf && len(words) == 4 && words[0] == "GET":
		ms, err1 := strconv.Atoi(words[2])
		size, err2 := strconv.Atoi(words[3])
		if err1 != nil || err2 != nil {
			p.t.Fatalf("fake index: line %q", text)
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(p.r, body); err != nil || !bytes.HasSuffix(body, []byte("\r\n")) {
			p.t.Fatalf("fake index: body of %q: %v", text, err)
		}
		return line{word: "GET", id: words[1], ms: ms, body: body[:size]}
	}
	p.t.Fatalf("fake index: line %q", text)
	return line{}
}

// expect reads one line and checks its word and id.
func (p *peer) expect(word, id string) line {
	p.t.Helper()
	l := p.read()
	if l.word != word || l.id != id {
		p.t.Fatalf("fake index read %s %s, want %s %s", l.word, l.id, word, id)
	}
	return l
}

// send writes raw bytes.
func (p *peer) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.socket, text); err != nil {
		p.t.Fatal(err)
	}
}

// hit writes a HIT with result.
func (p *peer) hit(id string, result []byte) {
	p.t.Helper()
	p.send(fmt.Sprintf("%s HIT %d\r\n%s\r\n", id, len(result), result))
}

// reply is one call of Reply.
type reply struct {
	id      string
	outcome policy.Outcome
	took    time.Duration
	result  []byte
}

// recorder records the calls of Reply in order.
type recorder struct{ got chan reply }

func newRecorder() *recorder { return &recorder{got: make(chan reply, 4*maxOpenCalls)} }

func (r *recorder) Reply(id string, outcome policy.Outcome, took time.Duration, result []byte) {
	r.got <- reply{id: id, outcome: outcome, took: took, result: bytes.Clone(result)}
}

// next waits for the next Reply.
func (r *recorder) next(t *testing.T) reply {
	t.Helper()
	select {
	case got := <-r.got:
		return got
	case <-time.After(testTimeout):
		t.Fatalf("no Reply within %v", testTimeout)
		return reply{}
	}
}

// expect waits for the next Reply and checks its id and outcome.
func (r *recorder) expect(t *testing.T, id string, outcome policy.Outcome) reply {
	t.Helper()
	got := r.next(t)
	if got.id != id || got.outcome != outcome {
		t.Fatalf("Reply(%s, %v), want Reply(%s, %v)", got.id, got.outcome, id, outcome)
	}
	return got
}

// expectNone checks that no Reply is pending.
func (r *recorder) expectNone(t *testing.T) {
	t.Helper()
	select {
	case got := <-r.got:
		t.Fatalf("unexpected Reply(%s, %v)", got.id, got.outcome)
	default:
	}
}

// newTestClient returns a client with at most one connection to addr, and a recorder; the client is closed at the
// end of the test.
func newTestClient(t *testing.T, addr string) (*Client, *recorder, *counters.Set) {
	return newTestClientWithLinks(t, addr, 1)
}

// newTestClientWithLinks returns a client with at most links connections.
func newTestClientWithLinks(t *testing.T, addr string, links int) (*Client, *recorder, *counters.Set) {
	set := new(counters.Set)
	r := newRecorder()
	c := New(addr, r, set)
	c.maxLinks = links
	t.Cleanup(c.Close)
	return c, r, set
}

// callID returns the id of call n.
func callID(n int) string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+uint64(n)) }

// longWait is a wait that no test reaches.
const longWait = time.Minute
