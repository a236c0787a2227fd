package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics collects what a collector of figures is shown: all counters of the daemon, and how its fleet is loaded. It is asked over the
// control socket alone, and reads what is kept anyway.
type metrics struct{ d Daemon }

const namespace = "cairnlane_"

var (
	fleetTrust    = prometheus.NewDesc(namespace+"fleet_trust", "How much the fleet's advice counts, 0 to 1.", nil, nil)
	fleetLevel    = prometheus.NewDesc(namespace+"fleet_level", "How many classes are shed before the others.", nil, nil)
	fleetCapacity = prometheus.NewDesc(namespace+"fleet_capacity", "Requests a second that the fleet can serve.", nil, nil)
	fleetFree     = prometheus.NewDesc(namespace+"fleet_free", "Of it what is free at other boxes.", nil, nil)
	fleetFirst    = prometheus.NewDesc(namespace+"fleet_first_tries", "First tries a second that come to the fleet.", nil, nil)
	fleetFurther  = prometheus.NewDesc(namespace+"fleet_further_tries", "Further tries a second.", nil, nil)
	fleetOver     = prometheus.NewDesc(namespace+"fleet_over_share", "The part of a tenant's requests that is beyond its share.", []string{"tenant"}, nil)
	fleetGiveUp   = prometheus.NewDesc(namespace+"fleet_give_up", "1 while no other box has room.", nil, nil)
)

// Describe implements prometheus.Collector. It describes nothing: which counters there are is known when they are read.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(out chan<- prometheus.Metric) {
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
	gauge(fleetFirst, l.Fleet.First)
	gauge(fleetFurther, l.Fleet.Further)
	if a := l.Advice; a != nil {
		gauge(fleetTrust, a.Trust)
		gauge(fleetLevel, float64(a.Level))
		up := 0.0
		if a.GiveUp {
			up = 1
		}
		gauge(fleetGiveUp, up)
		for tenant := range l.Fleet.Tenants {
			gauge(fleetOver, a.Tenants[tenant], tenant)
		}
	}
}

func metricsHandler(d Daemon) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{d})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
