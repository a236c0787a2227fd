package fleet

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wall is what reads or compares times of the wall clock. Durations on the process's monotonic clock, as in a wait, do not.
var wall = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|time\.Unix\(|CLOCK_REALTIME|\.(UTC|Format|Date)\(`)

// TestNothingOfTheFleetReadsTheWallClock reads the source: a wall clock that jumps can then change nothing.
func TestNothingOfTheFleetReadsTheWallClock(t *testing.T) {
	n := 0
	for _, dir := range []string{".", "../decide/lease", "../decide/voters"} {
		err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			n++
			if m := wall.Find(raw); m != nil {
				t.Errorf("%s has %q", path, m)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if n < 15 {
		t.Errorf("%d files read", n)
	}
	for _, bad := range []string{"time.Now().UnixNano()", "t.Unix()", "unix.CLOCK_REALTIME"} {
		if !wall.MatchString(bad) {
			t.Errorf("%s is let through", bad)
		}
	}
}
