package control

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"cairnlane/internal/decide/shed"
	"cairnlane/internal/fleet"
)

type fakeDaemon struct {
	Daemon
	fleet Fleet
}

func (s fakeDaemon) Status() Status {
	return Status{Counters: map[string]int64{"requests_read": 7, "refused_over_share": 3}}
}
func (s fakeDaemon) Fleet() Fleet { return s.fleet }

type fakeFleet struct {
	Fleet
	status fleet.LoadStatus
}

func (l fakeFleet) Load() fleet.LoadStatus { return l.status }

// TestMetrics checks the exported counters, and the fleet's load for a box with and without a fleet.
func TestMetrics(t *testing.T) {
	sums := shed.Sums{Capacity: 300, Free: 12, Tenants: map[string]float64{"x": 5, "y": 9}}
	for name, c := range map[string]struct {
		fleet Fleet
		want  map[string]float64
		not   string
	}{
		"no fleet":       {nil, map[string]float64{"cairnlane_requests_read": 7, "cairnlane_refused_over_share": 3}, "cairnlane_fleet_capacity"},
		"without advice": {fakeFleet{status: fleet.LoadStatus{Fleet: sums}}, map[string]float64{"cairnlane_fleet_capacity": 300, "cairnlane_fleet_free": 12}, "cairnlane_fleet_level"},
		"with advice":    {fakeFleet{status: fleet.LoadStatus{Fleet: sums, Advice: &shed.Advice{Trust: 1, Level: 2, GiveUp: true, Tenants: map[string]float64{"y": 0.4}}}}, map[string]float64{"cairnlane_fleet_level": 2, "cairnlane_fleet_trust": 1, "cairnlane_fleet_give_up": 1, "cairnlane_fleet_over_share": 0.4}, ""},
	} {
		w := httptest.NewRecorder()
		handler(fakeDaemon{fleet: c.fleet}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		parser := expfmt.NewTextParser(model.LegacyValidation)
		got, err := parser.TextToMetricFamilies(w.Body)
		if err != nil || w.Code != http.StatusOK {
			t.Fatalf("%s: %d, %v", name, w.Code, err)
		}
		for n, v := range c.want {
			f := got[n]
			if f == nil {
				t.Errorf("%s: no %s", name, n)
				continue
			}
			value := 0.0
			for _, m := range f.Metric {
				value = max(value, m.GetGauge().GetValue(), m.GetUntyped().GetValue())
			}
			if value != v {
				t.Errorf("%s: %s is %v, want %v", name, n, value, v)
			}
		}
		if got[c.not] != nil {
			t.Errorf("%s: %s is exported", name, c.not)
		}
	}
}
