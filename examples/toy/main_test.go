package main

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"

	"cairnlane/internal/settings"
	"cairnlane/policy"
)

// TestTheToyAsksForWhatTheSettingsHave, at each example: every class and tenant, keys where they are needed, limits within the deadlines.
func TestTheToyAsksForWhatTheSettingsHave(t *testing.T) {
	for _, config := range []string{"../config.json", "../images/config.json"} {
		site, err := settings.Load(config)
		if err != nil {
			t.Fatal(err)
		}
		classes, tenants := map[string]int{}, map[string]int{}
		for _, q := range requests(site, 20) {
			f := map[string]string{}
			for _, pair := range q.fields {
				f[pair[0]] = pair[1]
			}
			i := slices.IndexFunc(site.Policy.Classes, func(c policy.Class) bool { return c.Name == f["verb"] })
			if i < 0 || (f["unique"] != "") != (site.Policy.Classes[i].Semantics == policy.Keyed) || !slices.Contains(site.Tenants, f["team"]) {
				t.Errorf("%s: %v", config, q.fields)
			}
			classes[f["verb"]]++
			tenants[f["team"]]++
		}
		if len(classes) != len(site.Policy.Classes) || len(tenants) != len(site.Tenants) {
			t.Errorf("%s: classes %v, tenants %v", config, classes, tenants)
		}
	}
}

// TestARunCallsTheIndexOnce: with calls a run waits for its one call, and ends after FEED and after SKIP.
func TestARunCallsTheIndexOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go playEngine(ln, 0, true)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, s := range [][2]string{{"ATTACH 0\r\n", "HELLO running 0\r\n"}, {"RUN 0a read 2\r\nab\r\n", "NEED 1 0a 2\r\nab\r\n"}, {"FEED 0a 2\r\ncd\r\n", "DONE 2 0a fine 0 2\r\nab\r\n"},
		{"RUN 0b read 1\r\nx\r\n", "NEED 3 0b 1\r\nx\r\n"}, {"SKIP 0b 3\r\n", "DONE 4 0b fine 0 1\r\nx\r\n"}} {
		if _, err := io.WriteString(conn, s[0]); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(s[1]))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != s[1] {
			t.Fatalf("%q is answered %q, %v", s[0], got, err)
		}
	}
}

// TestTheIndexAnswersWhatItIsAsked, and nothing to STOP.
func TestTheIndexAnswersWhatItIsAsked(t *testing.T) {
	var out bytes.Buffer
	in := bytes.NewBufferString("GET 0a 250 2\r\nab\r\nSTOP 0a\r\nGET 0b 90 1\r\nx\r\n")
	err := serveIndex(struct {
		io.Reader
		io.Writer
	}{in, &out})
	if err != io.EOF || out.String() != "0a HIT 2\r\nab\r\n0b HIT 1\r\nx\r\n" {
		t.Errorf("%v, %q", err, out.String())
	}
}
