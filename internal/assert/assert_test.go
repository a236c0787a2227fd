package assert

import "testing"

func TestAFailedCheckPanicsInDebugAndIsCountedInRelease(t *testing.T) {
	before := Failures()
	defer func() {
		if p := recover(); (p != nil) != panics {
			t.Errorf("panic %v in a build that panics: %v", p, panics)
		}
	}()
	if !That(true, "holds") || Failures() != before {
		t.Error("a check that holds was counted")
	}
	if That(false, "broken for the test") || Failures() != before+1 {
		t.Errorf("%d failures counted, want %d", Failures(), before+1)
	}
}
