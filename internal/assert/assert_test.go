package assert

import "testing"

func TestFailedCheckPanicsInDebugBuildAndIsCountedInRelease(t *testing.T) {
	before := Failures()
	defer func() {
		if p := recover(); (p != nil) != panics {
			t.Errorf("recovered %v, want a panic: %v", p, panics)
		}
	}()
	if !That(true, "condition that holds") || Failures() != before {
		t.Error("a check that holds was counted as a failure")
	}
	if That(false, "condition that fails") || Failures() != before+1 {
		t.Errorf("%d failures counted, want %d", Failures(), before+1)
	}
}
