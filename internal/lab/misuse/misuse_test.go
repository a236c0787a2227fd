package misuse

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"cairnlane/internal/daemon"
)

// TestMain runs a replica when a trial starts this test binary as a child process.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_CONFIG") == "" {
		os.Exit(m.Run())
	}
	os.Stderr.WriteString(daemon.RunFromEnvironment().Error())
	os.Exit(1)
}

// TestClientsCannotOutrunTheProcess plays some scenarios for a second each on both sites. It guards against input that is read ahead, and
// against keyed requests that run twice when they come again. What depends on the load of the machine (memory under the race detector,
// late answers) is left to the trial.
func TestClientsCannotOutrunTheProcess(t *testing.T) {
	const maxUnprocessed = 1 << 20 // more than the kernel buffers of the clients' connections
	for _, site := range []string{"../../../examples/config.json", "../../../examples/images/config.json"} {
		results, err := Run(Config{Seed: 1, Command: []string{os.Args[0]}, Site: site, MemoryMB: 64, Crowd: 20, Span: time.Second,
			Scenarios: []string{"unsound", "new keys", "withdrawn", "half a request", "coming again upgrade"}}, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range results {
			t.Log(r)
			if r.Ended || r.Written == 0 || r.Read == 0 {
				t.Errorf("%s: %s: the process ended: %v; %d bytes written, %d read", site, r.Scenario, r.Ended, r.Written, r.Read)
			}
			if r.Written-r.Read > maxUnprocessed {
				t.Errorf("%s: %s: %d of %d bytes are kept unprocessed, want at most %d", site, r.Scenario, r.Written-r.Read, r.Written, maxUnprocessed)
			}
			if r.DoubleRuns > 0 || r.Usual.DoubleRuns > 0 || r.Usual.EndedTwice > 0 || r.Usual.Wrong > 0 {
				t.Errorf("%s: %v", site, r)
			}
		}
	}
}

func TestUnknownScenarioIsReported(t *testing.T) {
	if _, err := Run(Config{Scenarios: []string{"no such scenario"}}, io.Discard); !errors.Is(err, ErrUnknownScenario) {
		t.Errorf("error %v", err)
	}
}
