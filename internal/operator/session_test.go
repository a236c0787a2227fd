package operator

import (
	"errors"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"pgregory.net/rapid"

	"cairnlane/internal/replica"
	"cairnlane/internal/testkit"
)

// fakeReplica is a Replica whose answers a test sets.
type fakeReplica struct {
	readyErr error
	drainErr error
	drained  bool
	figures  replica.Figures
}

func (f *fakeReplica) Ready() error { return f.readyErr }
func (f *fakeReplica) Drain(on bool) error {
	if f.drainErr == nil {
		f.drained = on
	}
	return f.drainErr
}
func (f *fakeReplica) Figures() replica.Figures { return f.figures }

func TestCallsAndAnswers(t *testing.T) {
	leaving := errors.New("not now: this process is leaving")
	for _, c := range []struct {
		call, want string
		f          fakeReplica
		drained    bool
	}{
		{"check\n", "ACK\n", fakeReplica{}, false},
		{"check\r\n", "ACK\n", fakeReplica{}, false},
		{" check \n", "ACK\n", fakeReplica{}, false},
		{"check\ndrain-on\n", "ACK\n", fakeReplica{}, false}, // a second line is ignored
		{"check\n", "NAK not now: this process is leaving\n", fakeReplica{readyErr: leaving}, false},
		{"drain-on\n", "ACK\n", fakeReplica{}, true},
		{"drain-on\n", "ACK\n", fakeReplica{drained: true}, true},
		{"drain-off\n", "ACK\n", fakeReplica{drained: true}, false},
		{"drain-off\n", "NAK not now: this process is leaving\n", fakeReplica{drained: true, drainErr: leaving}, true},
		{"\n", "NAK unknown call \"\"; there are check, vars, drain-on and drain-off\n", fakeReplica{}, false},
		{"CHECK\n", "NAK unknown call \"CHECK\"; there are check, vars, drain-on and drain-off\n", fakeReplica{}, false},
		{"a\x00\x1b[2J\n", "NAK unknown call \"a\\x00\\x1b[2J\"; there are check, vars, drain-on and drain-off\n", fakeReplica{}, false},
		{strings.Repeat("x", 200), "NAK a call of over 128 bytes\n", fakeReplica{}, false},
		{"check", "", fakeReplica{}, false},
	} {
		for step := 1; step <= 3; step++ { // over all steps, the call is split at every byte
			s, got := session{}, ""
			for p := []byte(c.call); len(p) > 0; p = p[min(step, len(p)):] {
				got += string(s.feed(p[:min(step, len(p))], &c.f))
			}
			if got != c.want || c.f.drained != c.drained {
				t.Errorf("%.20q in steps of %d: %q, want %q; drained %v", c.call, step, got, c.want, c.f.drained)
			}
		}
	}
}

// TestVarsUsePrometheusTextFormat reads the metrics with the Prometheus parser and compares each with its count.
func TestVarsUsePrometheusTextFormat(t *testing.T) {
	f := &fakeReplica{figures: replica.Figures{Runs: 7, Open: 3, Classes: []replica.ClassFigures{{Name: "a", Served: 1, Rejected: 2, Failed: 4}, {Name: "b\"\\\n", Served: 9}}}}
	text := string(new(session).feed([]byte("vars\n"), f))
	body, ok := strings.CutSuffix(text, "\n--\n")
	if !ok {
		t.Fatalf("%q does not end in the line --", text)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(body + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for name, family := range families {
		for _, m := range family.Metric {
			key := name
			for _, l := range m.Label {
				key += " " + l.GetValue()
			}
			got[key] = m.Untyped.GetValue()
		}
	}
	for key, want := range map[string]float64{"edge_relay_handled a passed": 1, "edge_relay_handled a dropped": 2, "edge_relay_handled a bad_gateway": 4,
		"edge_relay_handled b\"\\\n passed": 9, "edge_relay_handled b\"\\\n dropped": 0, "edge_relay_upstream_tries": 7, "edge_relay_in_progress": 3} {
		if v, there := got[key]; !there || v != want {
			t.Errorf("%q is %v, want %v", key, v, want)
		}
	}
	if len(got) != 8 {
		t.Errorf("%d metrics, want 8: %v", len(got), got)
	}
}

// TestRandomInputGivesAtMostOneAnswer checks that on any input a session returns at most one answer, one line of ACK or NAK
// unless the call is vars, and holds a bounded line.
func TestRandomInputGivesAtMostOneAnswer(t *testing.T) {
	testkit.RunStateMachine(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		s, answers := session{}, 0
		return map[string]func(*rapid.T){
			"feed": func(rt *rapid.T) {
				p := rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 300), rapid.SampledFrom([][]byte{[]byte("che"), []byte("ck\r"), []byte("\n"), []byte("drain-on\n")})).Draw(rt, "p")
				if a := string(s.feed(p, &fakeReplica{})); a != "" {
					answers++
					if !strings.HasPrefix(a, "ACK") && !strings.HasPrefix(a, "NAK ") || strings.Count(a, "\n") != 1 {
						rt.Fatalf("answer %q", a)
					}
				}
			},
			"": func(rt *rapid.T) {
				if answers > 1 || len(s.line) > maxLine+2 {
					rt.Fatalf("%d answers, %d bytes buffered", answers, len(s.line))
				}
			},
		}
	})
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("check\r\n"))
	f.Add([]byte("drain-on"))
	f.Fuzz(func(t *testing.T, p []byte) {
		whole, cut := session{}, session{}
		want, got := whole.feed(p, &fakeReplica{}), []byte(nil)
		for i := range p {
			got = append(got, cut.feed(p[i:i+1], &fakeReplica{})...)
		}
		if string(want) != string(got) {
			t.Errorf("%q: answer %q for the whole input, %q byte by byte", p, want, got)
		}
	})
}
