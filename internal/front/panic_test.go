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
