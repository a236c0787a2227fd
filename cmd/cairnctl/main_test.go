package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"cairnlane/internal/certs"
	"cairnlane/internal/control"
	"cairnlane/internal/counters"
	"cairnlane/internal/operator"
	"cairnlane/internal/replica"
	"cairnlane/internal/state/keystore"
	"cairnlane/internal/testkit"
)

// box is a daemon that answers from store and notes what it is asked to do.
type box struct {
	mu   sync.Mutex
	done []string
	no   error
}

func (b *box) did(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = append(b.done, fmt.Sprintf(format, a...))
}

// set changes what it answers, and forgets what it has done.
func (b *box) set(no error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done, b.no = nil, no
}

func (b *box) all() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.done, ", ")
}

func (b *box) Status() control.Status {
	return control.Status{Name: "box1", Listen: "127.0.0.1:7001", Counters: map[string]int64{"answers_served": 7}}
}
func (b *box) Fleet() control.Fleet { return nil }

func (b *box) Stop()                      { b.did("stop") }
func (b *box) Operator() operator.Replica { return b }

// Ready, Drain and Figures make the box what the door speaks of.
func (b *box) Ready() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.no
}
func (b *box) Drain(on bool) error {
	err := b.Ready()
	if err == nil {
		b.did("drain %v", on)
	}
	return err
}
func (b *box) Figures() replica.Figures {
	return replica.Figures{Runs: 5, Classes: []replica.ClassFigures{{Name: "read", Served: 7}}}
}
func (b *box) Certificates() []certs.Status {
	return []certs.Status{{Name: "site", Alarm: "warning", Phase: "waiting", NotAfter: time.Unix(1_764_576_000, 0).UTC(), Failures: 3}}
}
func (b *box) History(name string) ([]keystore.Event, error) {
	if name != "site" {
		return nil, errors.New("no certificate of that name")
	}
	return []keystore.Event{{At: time.Unix(1_764_576_000, 0).UTC(), What: "issued", Text: "by main"}}, nil
}
func (b *box) Renew(name string) error { b.did("renew %s", name); return nil }
func (b *box) Revoke(_ context.Context, name string, reason int) error {
	b.did("revoke %s %s", name, strings.Repeat("i", reason))
	return nil
}

// call runs the tool with these words against a daemon.
func call(t *testing.T, b *box, words ...string) (string, error) {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "c.sock")
	if b != nil {
		s, err := control.Listen(socket, b)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
	}
	var o options
	parser, err := kong.New(&o, kong.Name("cairnctl"), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, err := parser.Parse(append([]string{"--socket", socket}, words...))
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	err = o.run(ctx.Command(), parser.Model, &out)
	return out.String(), err
}

func TestWhatTheToolShows(t *testing.T) {
	for words, want := range map[string]string{
		"status":            "answers_served",
		"cert status":       "site  warning  waiting  2025-12-01T08:00:00Z",
		"cert history site": "2025-12-01T08:00:00Z  issued  by main",
		"completion bash":   "complete -F _cairnctl cairnctl",
	} {
		if out, err := call(t, new(box), strings.Fields(words)...); err != nil || !strings.Contains(out, want) {
			t.Errorf("%s: %v\n%s", words, err, out)
		}
	}
	out, err := call(t, new(box), "--output", "json", "cert", "status")
	var list []certs.Status
	if err != nil || json.Unmarshal([]byte(out), &list) != nil || len(list) != 1 || list[0].Failures != 3 {
		t.Errorf("as JSON: %v\n%s", err, out)
	}
}

func TestWhatTheToolDoes(t *testing.T) {
	b := new(box)
	for _, words := range []string{"drain on", "drain off", "stop", "cert renew site", "cert revoke site --reason 4"} {
		if _, err := call(t, b, strings.Fields(words)...); err != nil {
			t.Errorf("%s: %v", words, err)
		}
	}
	if got := b.all(); got != "drain true, drain false, stop, renew site, revoke site iiii" {
		t.Errorf("done: %s", got)
	}
}

// The same calls go over the daemon's socket and to a door of the platform.
func TestOperatorsCallsBothWays(t *testing.T) {
	b := new(box)
	clock := testkit.NewClock()
	d, err := operator.Listen("127.0.0.1:0", b, clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve()
	defer d.Close()
	for _, where := range [][]string{nil, {"--door", d.Addr()}} {
		b.set(nil)
		for words, want := range map[string]string{
			"check": "yes\n", "--output json check": `{"yes":true}`, "vars": `edge_relay_handled{category="read",outcome="passed"}       7`,
			"--output json vars": `"edge_relay_upstream_tries": 5`, "drain on": "yes\n",
		} {
			if out, err := call(t, b, append(strings.Fields(words), where...)...); err != nil || !strings.Contains(out, want) {
				t.Errorf("%v %s: %v\n%s", where, words, err, out)
			}
		}
		if b.all() != "drain true" {
			t.Errorf("%v: done %v", where, b.all())
		}
		b.set(errors.New("not now: this process is leaving"))
		for words, want := range map[string]string{"check": "", "drain off": "", "--output json check": `"reason":"the replica says no: not now: this process is leaving"`} {
			out, err := call(t, b, append(strings.Fields(words), where...)...)
			if err == nil || !strings.Contains(err.Error(), "not now: this process is leaving") || !strings.Contains(out, want) {
				t.Errorf("%v %s: %v\n%s", where, words, err, out)
			}
		}
		if b.all() != "" {
			t.Errorf("%v: done %v", where, b.all())
		}
	}
	if _, err := call(t, b, "check", "--door", "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "is it running") {
		t.Errorf("nobody there: %v", err)
	}
}

func TestErrorsSayWhatToDo(t *testing.T) {
	for words, want := range map[string]string{
		"cert histroy site":           `did you mean "history"?`,
		"cert history other":          "no certificate of that name",
		"cert revoke site --reason 7": "RFC 5280",
		"cert revoke":                 "<name>",
		"--output xml status":         "must be one of",
		"drain":                       "<switch>",
		"drain maybe":                 "must be one of",
	} {
		if _, err := call(t, new(box), strings.Fields(words)...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", words, err, want)
		}
	}
	if _, err := call(t, nil, "status"); err == nil || !strings.Contains(err.Error(), "is it running") {
		t.Errorf("without a daemon: %v", err)
	}
}
