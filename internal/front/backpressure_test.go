package front

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"
)

// TestSenderWaitsUntilItsInputIsProcessed guards against memory that grows with what one client writes: input was read ahead
// without a bound while its processing fell behind.
func TestSenderWaitsUntilItsInputIsProcessed(t *testing.T) {
	const (
		clientBuffer = 64 << 10
		total        = 16 << 20
		bound        = 1 << 20 // the kernel's buffers on both sides and what is processed at once, several times over
		patience     = 500 * time.Millisecond
	)
	core := &blockingCore{entered: make(chan struct{}, 1), proceed: make(chan struct{})}
	s := serveCore(t, 10, core)
	sender := dial(t, s)
	if err := sender.(*net.TCPConn).SetWriteBuffer(clientBuffer); err != nil {
		t.Fatal(err)
	}
	sender.Write(callMessage("serve", 1, requestFields(), "body"))
	<-core.entered // nothing more is processed: a larger first input could be rejected by the limit on calls, without the core
	written, seq := 0, int32(1)
	var err error
	for written < total && err == nil { // until the sender has to wait
		seq++
		sender.SetWriteDeadline(time.Now().Add(patience))
		var n int
		n, err = sender.Write(callMessage("serve", seq, requestFields(), "body"))
		written += n
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || written > bound {
		t.Errorf("the sender wrote %d bytes of which none was processed, want at most %d (%v)", written, bound, err)
	}
	close(core.proceed)
	if _, ok := receive(t, sender); !ok {
		t.Error("no answer once the server goes on")
	}
	other := dial(t, s)
	other.Write(callMessage("serve", 1, requestFields(), "body"))
	if h, ok := receive(t, other); !ok || h.Seq != 1 {
		t.Errorf("another client receives %+v, %v", h, ok)
	}
}

// TestIncompleteFrameHoldsNoMoreThanItself guards against memory that grows with the number of connections: each kept the buffer of its
// largest input for as long as it ended in the middle of a frame.
func TestIncompleteFrameHoldsNoMoreThanItself(t *testing.T) {
	const many, rest = 80, 100
	r := newTestRouter()
	input := calls(1, many)
	partial := callMessage("serve", many+1, requestFields(), "body")[:rest]
	half := len(input)/2 + 1 // in the middle of a frame
	for _, p := range [][]byte{input[:half], append(input[half:], partial...)} {
		if err := r.feed(p); err != nil {
			t.Fatal(err)
		}
		if n, held := len(r.buffered), cap(r.buffered); held > 2*n+rest {
			t.Errorf("%d bytes are held for an incomplete frame of %d bytes", held, n)
		}
	}
	if len(r.buffered) != rest {
		t.Errorf("an incomplete frame of %d bytes is held, want %d", len(r.buffered), rest)
	}
}

// TestConnectionsTakeTurns guards against routers that get no answers beside clients that send at full speed (review/8): with one
// connection processed at a time, a request is reached after a few turns of the others, however much they have written.
func TestConnectionsTakeTurns(t *testing.T) {
	const flooding, rounds = 10, 3
	st := newControlledServer(t, 100)
	router := st.dialUsed(t)
	st.holdReading()
	for range flooding {
		client := st.dial(t)
		go func() { // until the connection is closed
			for seq := int32(1); ; seq++ {
				if _, err := client.Write(callMessage("isWell", seq, nil, "")); err != nil {
					return
				}
			}
		}()
		go io.Copy(io.Discard, client)
	}
	eventually(t, "unread input on all connections", func() bool {
		waiting := 0
		for _, c := range st.openConnections() {
			if kernel, _ := c.transport.input(); kernel > maxFeed {
				waiting++
			}
		}
		return waiting == flooding
	})
	router.Write(callMessage("serve", 2, requestFields(), "body"))
	before := st.count.bytesIn.Load()
	st.readBuffers <- st.held[0] // one connection at a time
	st.held = st.held[1:]
	<-st.core.arrived
	if read := st.count.bytesIn.Load() - before; read > rounds*(flooding+1)*maxFeed {
		t.Errorf("%d bytes were processed before the router's request, want at most %d rounds of %d", read, rounds, (flooding+1)*maxFeed)
	}
	st.core.answerAll()
	if h, ok := receive(t, router); !ok || h.Seq != 2 {
		t.Errorf("answer %+v, received %v", h, ok)
	}
}

// TestOthersRunBetweenTurns guards against answers that come seconds late beside many clients at full speed: with one processor, readers
// handed their turns to each other within one time slice of the scheduler, and what waited in its global queue, such as a notice of
// the engine, hardly came up.
func TestOthersRunBetweenTurns(t *testing.T) {
	if os.Getenv(ownProcessEnv) == "" {
		runInOwnProcess(t)
		return
	}
	const flooding, yields = 20, 50
	runtime.GOMAXPROCS(1)
	st := newControlledServer(t, 100)
	input := calls(1, 1)
	for range flooding {
		client := st.dial(t)
		go func() { // until the connection is closed
			for seq := int32(1); ; seq++ {
				var batch []byte
				for range 200 {
					seq++
					batch = append(batch, callMessage("isWell", seq, nil, "")...)
				}
				if _, err := client.Write(batch); err != nil {
					return
				}
			}
		}()
		go io.Copy(io.Discard, client)
	}
	eventually(t, "the flood", func() bool { return st.count.bytesIn.Load() > flooding*maxFeed })
	before := st.count.bytesIn.Load()
	for range yields { // each puts this goroutine at the end of the global queue
		runtime.Gosched()
	}
	perYield := (st.count.bytesIn.Load() - before) / yields
	t.Logf("%d bytes are processed while another goroutine waits once; a request has %d", perYield, len(input))
	if bound := int64(2 * cap(st.readBuffers) * maxFeed); perYield > bound {
		t.Errorf("%d bytes are processed while another goroutine waits once, want at most two turns of each reader, %d", perYield, bound)
	}
}
