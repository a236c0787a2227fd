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

// TestRequestsMatchSettings checks for each example configuration that the requests cover every class and tenant of it, and that just
// the requests of keyed classes have idempotency keys.
func TestRequestsMatchSettings(t *testing.T) {
	for _, config := range []string{"../config.json", "../images/config.json"} {
		site, err := settings.Load(config)
		if err != nil {
			t.Fatal(err)
		}
		classes, tenants := map[string]int{}, map[string]int{}
		for _, q := range makeRequests(site, 20) {
			fields := map[string]string{}
			for _, pair := range q.fields {
				fields[pair[0]] = pair[1]
			}
			i := slices.IndexFunc(site.Policy.Classes, func(c policy.Class) bool { return c.Name == fields["verb"] })
			if i < 0 || (fields["unique"] != "") != (site.Policy.Classes[i].Semantics == policy.Keyed) || !slices.Contains(site.Tenants, fields["team"]) {
				t.Errorf("%s: unknown class or tenant, or an idempotency key that does not fit the class: %v", config, q.fields)
			}
			classes[fields["verb"]]++
			tenants[fields["team"]]++
		}
		if len(classes) != len(site.Policy.Classes) || len(tenants) != len(site.Tenants) {
			t.Errorf("%s: classes %v, tenants %v, want all %d and %d", config, classes, tenants, len(site.Policy.Classes), len(site.Tenants))
		}
	}
}

// TestRunWaitsForItsIndexCall checks that a run makes one index call and ends after FEED and after SKIP.
func TestRunWaitsForItsIndexCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go serveEngine(ln, 0, true)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, exchange := range [][2]string{{"ATTACH 0\r\n", "HELLO running 0\r\n"}, {"RUN 0a read 2\r\nab\r\n", "NEED 1 0a 2\r\nab\r\n"}, {"FEED 0a 2\r\ncd\r\n", "DONE 2 0a fine 0 2\r\nab\r\n"},
		{"RUN 0b read 1\r\nx\r\n", "NEED 3 0b 1\r\nx\r\n"}, {"SKIP 0b 3\r\n", "DONE 4 0b fine 0 1\r\nx\r\n"}} {
		send, want := exchange[0], exchange[1]
		if _, err := io.WriteString(conn, send); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
			t.Fatalf("after %q: read %q, %v, want %q", send, got, err, want)
		}
	}
}

// TestIndexEchoesCalls checks that each call gets its body as the reply, and STOP gets none.
func TestIndexEchoesCalls(t *testing.T) {
	var out bytes.Buffer
	in := bytes.NewBufferString("GET 0a 250 2\r\nab\r\nSTOP 0a\r\nGET 0b 90 1\r\nx\r\n")
	err := serveIndexConn(struct {
		io.Reader
		io.Writer
	}{in, &out})
	if err != io.EOF || out.String() != "0a HIT 2\r\nab\r\n0b HIT 1\r\nx\r\n" {
		t.Errorf("got %q, %v, want two replies and EOF", out.String(), err)
	}
}
