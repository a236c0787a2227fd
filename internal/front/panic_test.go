//go:build !debug

package front

import (
	"testing"

	"cairnlane/internal/assert"
	"cairnlane/internal/replica"
)

// panickingCore panics on requests of class "fault".
type panickingCore struct{ echoCore }

func (f *panickingCore) Arrive(q replica.Request) error {
	if q.Class == "fault" {
		panic("of a test")
	}
	return f.echoCore.Arrive(q)
}

// TestPanicClosesOneConnectionAndIsCounted checks that a panic in a callback closes only its own connection and is counted,
// rather than being recovered in netpoll's pool without a count. With the debug tag a panic ends the process.
func TestPanicClosesOneConnectionAndIsCounted(t *testing.T) {
	before := assert.Failures()
	s := serveCore(t, 100, new(panickingCore))
	bad, good := dial(t, s), dial(t, s)
	if _, err := bad.Write(callMessage("serve", 1, requestFields([2]string{"verb", "fault"}), "")); err != nil {
		t.Fatal(err)
	}
	if _, ok := receive(t, bad); ok {
		t.Error("the call that panics is answered")
	}
	if _, err := good.Write(callMessage("serve", 1, requestFields(), "")); err != nil {
		t.Fatal(err)
	}
	if _, ok := receive(t, good); !ok {
		t.Error("another connection is closed as well")
	}
	if n := assert.Failures() - before; n != 1 {
		t.Errorf("%d failures counted", n)
	}
}

// waitingCore is a Core that answers nothing and panics when a call is given up.
type waitingCore struct {
	echoCore
	arrived chan struct{}
}

func (w *waitingCore) CallerGone(string) { panic("of a test") }

func (w *waitingCore) Arrive(replica.Request) error {
	w.arrived <- struct{}{}
	return nil
}

// TestPanicAtTheEndOfAConnectionIsCounted guards against a process that ends with one connection: a panic while its open calls were
// given up was not recovered.
func TestPanicAtTheEndOfAConnectionIsCounted(t *testing.T) {
	before := assert.Failures()
	core := &waitingCore{arrived: make(chan struct{}, 1)}
	s := serveCore(t, 100, core)
	leaving, other := dial(t, s), dial(t, s)
	leaving.Write(callMessage("serve", 1, requestFields(), ""))
	<-core.arrived
	leaving.Close()
	eventually(t, "the panic to be counted", func() bool { return assert.Failures() == before+1 })
	eventually(t, "the end of one connection", func() bool { return s.Connections() == 1 })
	other.Write(callMessage("isWell", 1, nil, ""))
	if _, ok := receive(t, other); !ok {
		t.Error("another connection is closed as well")
	}
}
