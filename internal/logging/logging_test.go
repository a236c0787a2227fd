package logging

import (
	"bytes"
	"encoding/json"
	"log"
	"os"
	"strings"
	"testing"
)

func TestStandardLogIsStructured(t *testing.T) {
	defer func() { log.SetOutput(os.Stderr); log.SetFlags(log.LstdFlags) }()
	var b bytes.Buffer
	l := Setup(&b, Config{Level: "warn"})
	l.Info().Msg("too low")
	l.Warn().Str("k", "v").Msg("seen")
	Setup(&b, Config{})
	log.Print("two\n")
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(b.String()), "\n") {
		var m map[string]string
		if err := json.Unmarshal([]byte(line), &m); err != nil || m["time"] == "" {
			t.Fatalf("%q: %v", line, err)
		}
		got = append(got, m["level"]+" "+m["message"])
	}
	if s := strings.Join(got, ", "); s != "warn seen, info two" {
		t.Errorf("log: %s", s)
	}
	b.Reset()
	Setup(&b, Config{Format: "text"})
	log.Print("readable")
	if s := b.String(); strings.HasPrefix(s, "{") || !strings.Contains(s, "readable") {
		t.Errorf("text: %q", s)
	}
}

func TestValidateRejectsUnknownValues(t *testing.T) {
	for _, c := range []Config{{Level: "loud"}, {Format: "xml"}} {
		if Validate(c) == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
	if err := Validate(Config{Level: "debug", Format: "json"}); err != nil {
		t.Error(err)
	}
}
