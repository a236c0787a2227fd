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

// fakeDaemon is a fake of the daemon and of its replica with fixed answers. It records the calls.
type fakeDaemon struct {
	mu       sync.Mutex
	recorded []string
	readyErr error
}

func (b *fakeDaemon) record(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorded = append(b.recorded, fmt.Sprintf(format, a...))
}

// reset sets the result of Ready and clears the recorded calls.
func (b *fakeDaemon) reset(readyErr error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorded, b.readyErr = nil, readyErr
}

func (b *fakeDaemon) calls() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.recorded, ", ")
}

func (b *fakeDaemon) Status() control.Status {
	return control.Status{Name: "box1", Listen: "127.0.0.1:7001", Counters: map[string]int64{"answers_served": 7}}
}
func (b *fakeDaemon) Fleet() control.Fleet { return nil }

func (b *fakeDaemon) Stop()                      { b.record("stop") }
func (b *fakeDaemon) Operator() operator.Replica { return b }

// Ready, Drain and Figures implement operator.Replica.
func (b *fakeDaemon) Ready() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readyErr
}
func (b *fakeDaemon) Drain(on bool) error {
	err := b.Ready()
	if err == nil {
		b.record("drain %v", on)
	}
	return err
}
func (b *fakeDaemon) Figures() replica.Figures {
	return replica.Figures{Runs: 5, Classes: []replica.ClassFigures{{Name: "read", Served: 7}}}
}
func (b *fakeDaemon) Certificates() []certs.Status {
	return []certs.Status{{Name: "site", Alarm: "warning", Phase: "waiting", NotAfter: time.Unix(1_764_576_000, 0).UTC(), Failures: 3}}
}
func (b *fakeDaemon) History(name string) ([]keystore.Event, error) {
	if name != "site" {
		return nil, errors.New("no certificate of that name")
	}
	return []keystore.Event{{At: time.Unix(1_764_576_000, 0).UTC(), What: "issued", Text: "by main"}}, nil
}
func (b *fakeDaemon) Renew(name string) error { b.record("renew %s", name); return nil }
func (b *fakeDaemon) Revoke(_ context.Context, name string, reason int) error {
	b.record("revoke %s %s", name, strings.Repeat("i", reason))
	return nil
}

// runTool runs the tool with these arguments, against a fake daemon unless b is nil.
func runTool(t *testing.T, b *fakeDaemon, args ...string) (string, error) {
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
	ctx, err := parser.Parse(append([]string{"--socket", socket}, args...))
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	err = o.run(ctx.Command(), parser.Model, &out)
	return out.String(), err
}

func TestOutputOfCommands(t *testing.T) {
	for words, want := range map[string]string{
		"status":            "answers_served",
		"cert status":       "site  warning  waiting  2025-12-01T08:00:00Z",
		"cert history site": "2025-12-01T08:00:00Z  issued  by main",
		"completion bash":   "complete -F _cairnctl cairnctl",
	} {
		if out, err := runTool(t, new(fakeDaemon), strings.Fields(words)...); err != nil || !strings.Contains(out, want) {
			t.Errorf("%s: %v\n%s", words, err, out)
		}
	}
	out, err := runTool(t, new(fakeDaemon), "--output", "json", "cert", "status")
	var list []certs.Status
	if err != nil || json.Unmarshal([]byte(out), &list) != nil || len(list) != 1 || list[0].Failures != 3 {
		t.Errorf("as JSON: %v\n%s", err, out)
	}
}

func TestCommandsCallTheDaemon(t *testing.T) {
	b := new(fakeDaemon)
	for _, words := range []string{"drain on", "drain off", "stop", "cert renew site", "cert revoke site --reason 4"} {
		if _, err := runTool(t, b, strings.Fields(words)...); err != nil {
			t.Errorf("%s: %v", words, err)
		}
	}
	if got := b.calls(); got != "drain true, drain false, stop, renew site, revoke site iiii" {
		t.Errorf("recorded calls: %s", got)
	}
}

// TestOperatorCallsOverSocketAndListener makes the same calls over the daemon's socket and at an admin listener.
func TestOperatorCallsOverSocketAndListener(t *testing.T) {
	b := new(fakeDaemon)
	clock := testkit.NewClock()
	d, err := operator.Listen("127.0.0.1:0", b, clock.Now, new(counters.Set))
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve()
	defer d.Close()
	for _, where := range [][]string{nil, {"--door", d.Addr()}} {
		b.reset(nil)
		for words, want := range map[string]string{
			"check": "yes\n", "--output json check": `{"yes":true}`, "vars": `edge_relay_handled{category="read",outcome="passed"}       7`,
			"--output json vars": `"edge_relay_upstream_tries": 5`, "drain on": "yes\n",
		} {
			if out, err := runTool(t, b, append(strings.Fields(words), where...)...); err != nil || !strings.Contains(out, want) {
				t.Errorf("%v %s: %v\n%s", where, words, err, out)
			}
		}
		if b.calls() != "drain true" {
			t.Errorf("%v: recorded calls %v", where, b.calls())
		}
		b.reset(errors.New("not now: this process is leaving"))
		for words, want := range map[string]string{"check": "", "drain off": "", "--output json check": `"reason":"the replica says no: not now: this process is leaving"`} {
			out, err := runTool(t, b, append(strings.Fields(words), where...)...)
			if err == nil || !strings.Contains(err.Error(), "not now: this process is leaving") || !strings.Contains(out, want) {
				t.Errorf("%v %s: %v\n%s", where, words, err, out)
			}
		}
		if b.calls() != "" {
			t.Errorf("%v: recorded calls %v", where, b.calls())
		}
	}
	if _, err := runTool(t, b, "check", "--door", "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "is it running") {
		t.Errorf("no listener at the address: %v", err)
	}
}

func TestErrorMessages(t *testing.T) {
	for words, want := range map[string]string{
		"cert histroy site":           `did you mean "history"?`,
		"cert history other":          "no certificate of that name",
		"cert revoke site --reason 7": "RFC 5280",
		"cert revoke":                 "<name>",
		"--output xml status":         "must be one of",
		"drain":                       "<switch>",
		"drain maybe":                 "must be one of",
	} {
		if _, err := runTool(t, new(fakeDaemon), strings.Fields(words)...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", words, err, want)
		}
	}
	if _, err := runTool(t, nil, "status"); err == nil || !strings.Contains(err.Error(), "is it running") {
		t.Errorf("without a daemon: %v", err)
	}
}
