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

// fake is a replica with figures that a test sets.
type fake struct {
	ready   error
	drain   error
	drained bool
	figures replica.Figures
}

func (f *fake) Ready() error { return f.ready }
func (f *fake) Drain(on bool) error {
	if f.drain == nil {
		f.drained = on
	}
	return f.drain
}
func (f *fake) Figures() replica.Figures { return f.figures }

func TestCallsAndTheirAnswers(t *testing.T) {
	no := errors.New("not now: this process is leaving")
	for _, c := range []struct {
		call, want string
		f          fake
		drained    bool
	}{
		{"check\n", "ACK\n", fake{}, false},
		{"check\r\n", "ACK\n", fake{}, false},
		{" check \n", "ACK\n", fake{}, false},
		{"check\ndrain-on\n", "ACK\n", fake{}, false}, // one line a connection
		{"check\n", "NAK not now: this process is leaving\n", fake{ready: no}, false},
		{"drain-on\n", "ACK\n", fake{}, true},
		{"drain-on\n", "ACK\n", fake{drained: true}, true},
		{"drain-off\n", "ACK\n", fake{drained: true}, false},
		{"drain-off\n", "NAK not now: this process is leaving\n", fake{drained: true, drain: no}, true},
		{"\n", "NAK unknown call \"\"; there are check, vars, drain-on and drain-off\n", fake{}, false},
		{"CHECK\n", "NAK unknown call \"CHECK\"; there are check, vars, drain-on and drain-off\n", fake{}, false},
		{"a\x00\x1b[2J\n", "NAK unknown call \"a\\x00\\x1b[2J\"; there are check, vars, drain-on and drain-off\n", fake{}, false},
		{strings.Repeat("x", 200), "NAK a call of over 128 bytes\n", fake{}, false},
		{"check", "", fake{}, false},
	} {
		for step := 1; step <= 3; step++ { // cut at every place, in the end
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

// The figures are read by what operators use, and each is the number that was counted.
func TestVarsAreInThePrometheusTextForm(t *testing.T) {
	f := &fake{figures: replica.Figures{Runs: 7, Open: 3, Classes: []replica.ClassFigures{{Name: "a", Served: 1, Rejected: 2, Failed: 4}, {Name: "b\"\\\n", Served: 9}}}}
	text := string(new(session).feed([]byte("vars\n"), f))
	body, ok := strings.CutSuffix(text, "\n--\n")
	if !ok {
		t.Fatalf("no line -- at the end of %q", text)
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
		t.Errorf("%d figures: %v", len(got), got)
	}
}

// Whatever comes, a session gives at most one answer, one line of ACK or NAK unless it is vars, and holds a bounded line.
func TestRandomInput(t *testing.T) {
	testkit.Steps(t, func(rt *rapid.T) map[string]func(*rapid.T) {
		s, answers := session{}, 0
		return map[string]func(*rapid.T){
			"feed": func(rt *rapid.T) {
				p := rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 300), rapid.SampledFrom([][]byte{[]byte("che"), []byte("ck\r"), []byte("\n"), []byte("drain-on\n")})).Draw(rt, "p")
				if a := string(s.feed(p, &fake{})); a != "" {
					answers++
					if !strings.HasPrefix(a, "ACK") && !strings.HasPrefix(a, "NAK ") || strings.Count(a, "\n") != 1 {
						rt.Fatalf("answer %q", a)
					}
				}
			},
			"": func(rt *rapid.T) {
				if answers > 1 || len(s.line) > lineMost+2 {
					rt.Fatalf("%d answers, %d bytes held", answers, len(s.line))
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
		want, got := whole.feed(p, &fake{}), []byte(nil)
		for i := range p {
			got = append(got, cut.feed(p[i:i+1], &fake{})...)
		}
		if string(want) != string(got) {
			t.Errorf("%q: %q whole, %q in bytes", p, want, got)
		}
	})
}
