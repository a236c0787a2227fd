package front

import (
	"slices"
	"sync"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
)

// leavingCore is a Core that answers nothing and records which attempts arrived and which were given up.
type leavingCore struct {
	holdingCore
	mu   sync.Mutex
	gone []string
}

func (k *leavingCore) CallerGone(txn string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = append(k.gone, txn)
}

// given returns the attempts that were given up so far.
func (k *leavingCore) given() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.gone)
}

// newLeavingServer returns a server whose reading the test can hold.
func newLeavingServer(t *testing.T) (*controlledServer, *leavingCore) {
	t.Helper()
	core := &leavingCore{holdingCore: holdingCore{arrived: make(chan struct{}, 1024)}}
	s, err := Listen("127.0.0.1:0", 9, core, testkit.NewClock().Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	st := &controlledServer{Server: s, core: &core.holdingCore}
	t.Cleanup(st.releaseReading)
	return st, core
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(50 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatalf("never seen: %s", what)
		}
	}
}

func requestOf(txn string, seq int32) []byte {
	return callMessage("serve", seq, requestFields([2]string{"txn", txn}), "body")
}

// TestUnreadRequestsOfAClientThatLeftAreDropped guards against requests that are passed on although their client has closed its
// connection before they were read.
func TestUnreadRequestsOfAClientThatLeftAreDropped(t *testing.T) {
	st, core := newLeavingServer(t)
	client := st.dial(t)
	st.holdReading()
	for seq := range int32(20) {
		client.Write(requestOf("00000000000000aa", seq+1))
	}
	st.awaitInput()
	client.Close()
	eventually(t, "the close of the client", st.peerHasClosed)
	st.releaseReading()
	eventually(t, "the end of the connection", func() bool { return st.Connections() == 0 })
	if n := len(core.requests); n > 0 {
		t.Errorf("%d requests reached the core after their client had left", n)
	}
}

// peerHasClosed reports whether a peer has closed its side of a connection.
func (st *controlledServer) peerHasClosed() bool {
	for _, c := range st.openConnections() {
		if c.transport.(*socket).peerClosed() {
			return true
		}
	}
	return false
}

// TestOpenCallsOfAClientThatLeftAreGivenUp guards against requests that wait and run for a client that has closed its connection.
func TestOpenCallsOfAClientThatLeftAreGivenUp(t *testing.T) {
	st, core := newLeavingServer(t)
	client := st.dial(t)
	txns := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	for i, txn := range txns {
		client.Write(requestOf(txn, int32(i+1)))
		<-core.arrived
	}
	core.requests[0].Reply.Answer(replica.Answer{Kind: replica.Served})
	client.Write(forgetMessage(2))
	eventually(t, "the forget", func() bool { return len(core.given()) == 1 })
	client.Close()
	// The call that is answered is not given up, and none is given up twice.
	eventually(t, "the give-up at the close", func() bool { return len(core.given()) >= 2 })
	if got := core.given(); !slices.Equal(got, txns[1:]) {
		t.Errorf("given up: %v, want %v", got, txns[1:])
	}
	core.requests[1].Reply.Answer(replica.Answer{Kind: replica.Rejected}) // dropped without an assertion failure
}
