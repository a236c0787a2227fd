package fleet

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockUse matches code that reads or compares wall-clock times. Durations on the monotonic clock, as in a wait, do not match.
var wallClockUse = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|time\.Unix\(|CLOCK_REALTIME|\.(UTC|Format|Date)\(`)

// TestFleetSourceDoesNotReadWallClock scans the source, because a jump of the wall clock must not affect leases.
func TestFleetSourceDoesNotReadWallClock(t *testing.T) {
	n := 0
	for _, dir := range []string{".", "../decide/lease", "../decide/voters"} {
		err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			n++
			if m := wallClockUse.Find(raw); m != nil {
				t.Errorf("%s uses the wall clock: %q", path, m)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if n < 15 {
		t.Errorf("only %d files were scanned", n)
	}
	for _, bad := range []string{"time.Now().UnixNano()", "t.Unix()", "unix.CLOCK_REALTIME"} {
		if !wallClockUse.MatchString(bad) {
			t.Errorf("%s is not detected", bad)
		}
	}
}
