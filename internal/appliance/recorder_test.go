package appliance

import (
	"path/filepath"
	"slices"
	"testing"

	"cairnlane/internal/state/records"
)

// TestARecorderTellsHowABoxStood: from the start over what was served to the end, whole and without holes.
func TestARecorderTellsHowABoxStood(t *testing.T) {
	b := start(t, "tls-alpn-01")
	if err := b.ctl.Stop(); err != nil {
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
	if slices.ContainsFunc(list[0].Missing, func(m records.Missing) bool { return !m.Tail }) || seen[records.KindStart] != 1 || seen[records.KindDrain] != 1 || seen[records.KindEnd] != 1 || seen[records.KindGauge] == 0 {
		t.Errorf("%v, missing %v", seen, list[0].Missing)
	}
}
