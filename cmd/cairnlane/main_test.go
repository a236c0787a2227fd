package main

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestMain runs the program instead of the tests if the environment requests it.
func TestMain(m *testing.M) {
	if os.Getenv("CAIRNLANE_TEST_RUN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestBadConfigurationGivesOneLineError(t *testing.T) {
	for name, path := range map[string]string{"none": "", "missing": "no/such/file", "not JSON": "main.go"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "CAIRNLANE_TEST_RUN=1", "RELAY_CONFIG="+path)
		var out bytes.Buffer
		cmd.Stderr = &out
		err := cmd.Run()
		text := out.String()
		if _, exited := err.(*exec.ExitError); !exited || !strings.HasPrefix(text, "cairnlane: ") || strings.Count(text, "\n") != 1 {
			t.Errorf("%s: error %v, message %q", name, err, text)
		}
	}
}
