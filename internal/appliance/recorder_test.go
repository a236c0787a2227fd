package appliance

import (
	"path/filepath"
	"slices"
	"testing"

	"cairnlane/internal/state/records"
)

// TestRecorderKeepsACompleteRecord runs a box from start to drain and checks that its record has all parts
// without a gap.
func TestRecorderKeepsACompleteRecord(t *testing.T) {
	b := startTestBox(t, "tls-alpn-01")
	if err := b.control.Stop(); err != nil {
		t.Fatal(err)
	}
	b.cmd.Wait()
	dir := filepath.Join(b.dir, "state", "records")
	list, err := records.ReadFolder(dir)
	if err != nil || len(list) != 1 {
		t.Fatal(list, err)
	}
	seen := map[records.Kind]int{}
	for _, r := range list[0].Records {
		seen[r.Kind]++
	}
	if slices.ContainsFunc(list[0].Missing, func(m records.MissingRange) bool { return !m.TailUnknown }) || seen[records.KindStart] != 1 || seen[records.KindDrain] != 1 || seen[records.KindEnd] != 1 || seen[records.KindGauge] == 0 {
		t.Errorf("records by kind %v, missing %v", seen, list[0].Missing)
	}
}
