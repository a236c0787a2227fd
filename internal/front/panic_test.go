//go:build !debug

package front

import (
	"testing"

	"cairnlane/internal/assert"
	"cairnlane/internal/replica"
)

// faulty panics at one class.
type faulty struct{ echo }

func (f *faulty) Arrive(q replica.Request) error {
	if q.Class == "fault" {
		panic("of a test")
	}
	return f.echo.Arrive(q)
}

// A panic used to end in netpoll's pool, and in no counter. It ends its own connection, and is counted; with the debug tag
// it ends the process.
func TestAPanicEndsOneConnectionAndIsCounted(t *testing.T) {
	before := assert.Failures()
	s := serveBy(t, 100, new(faulty))
	bad, good := dial(t, s), dial(t, s)
	if _, err := bad.Write(message("serve", 1, fields([2]string{"verb", "fault"}), "")); err != nil {
		t.Fatal(err)
	}
	if _, ok := receive(t, bad); ok {
		t.Error("an answer to the call that panics")
	}
	if _, err := good.Write(message("serve", 1, fields(), "")); err != nil {
		t.Fatal(err)
	}
	if _, ok := receive(t, good); !ok {
		t.Error("another connection ends with it")
	}
	if n := assert.Failures() - before; n != 1 {
		t.Errorf("%d failures counted", n)
	}
}
