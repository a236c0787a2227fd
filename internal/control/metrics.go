package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsCollector exports all counters of the daemon and the load of its fleet to Prometheus. It is served on the control
// socket only and reads values that the daemon keeps anyway.
type metricsCollector struct{ d Daemon }

const namespace = "cairnlane_"

var (
	fleetTrust         = prometheus.NewDesc(namespace+"fleet_trust", "How much the fleet's advice counts, 0 to 1.", nil, nil)
	fleetLevel         = prometheus.NewDesc(namespace+"fleet_level", "How many classes are shed before the others.", nil, nil)
	fleetCapacity      = prometheus.NewDesc(namespace+"fleet_capacity", "Requests a second that the fleet can serve.", nil, nil)
	fleetFree          = prometheus.NewDesc(namespace+"fleet_free", "Of it what is free at other boxes.", nil, nil)
	fleetFirstAttempts = prometheus.NewDesc(namespace+"fleet_first_tries", "First tries a second that come to the fleet.", nil, nil)
	fleetRetries       = prometheus.NewDesc(namespace+"fleet_further_tries", "Further tries a second.", nil, nil)
	fleetOverShare     = prometheus.NewDesc(namespace+"fleet_over_share", "The part of a tenant's requests that is beyond its share.", []string{"tenant"}, nil)
	fleetGiveUp        = prometheus.NewDesc(namespace+"fleet_give_up", "1 while no other box has room.", nil, nil)
)

// Describe implements prometheus.Collector. It sends no descriptions, as the set of counters is known only when they are
// collected.
func (m metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metricsCollector) Collect(out chan<- prometheus.Metric) {
	for name, n := range m.d.Status().Counters {
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc(namespace+name, "The daemon's counter of this name.", nil, nil), prometheus.UntypedValue, float64(n))
	}
	f := m.d.Fleet()
	if f == nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	l := f.Load()
	gauge(fleetCapacity, l.Fleet.Capacity)
	gauge(fleetFree, l.Fleet.Free)
	gauge(fleetFirstAttempts, l.Fleet.First)
	gauge(fleetRetries, l.Fleet.Further)
	if a := l.Advice; a != nil {
		gauge(fleetTrust, a.Trust)
		gauge(fleetLevel, float64(a.Level))
		giveUp := 0.0
		if a.GiveUp {
			giveUp = 1
		}
		gauge(fleetGiveUp, giveUp)
		for tenant := range l.Fleet.Tenants {
			gauge(fleetOverShare, a.Tenants[tenant], tenant)
		}
	}
}

func metricsHandler(d Daemon) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metricsCollector{d})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
