// Package metrics publishes counters as JSON with go-metrics.
//
// # Model
//
// Components keep their own counters; a Set reads them on demand, so that metrics cost nothing
// on the call path. Names have the form "component.metric" and include the unit unless the
// value is a count.
//
// # Usage
//
//	s := metrics.New()
//	s.Gauge("link.bytes-out", counts.BytesOut.Load)
//	http.Handle("/v1/metrics", s)
package metrics

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
)

// Set is a set of metrics. It is safe for concurrent use.
type Set struct {
	registry gometrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{registry: gometrics.NewRegistry()}
}

// Gauge adds a metric whose value is read by calling f.
func (s *Set) Gauge(name string, f func() int64) {
	_ = s.registry.Register(name, gometrics.NewFunctionalGauge(f)) // fails only for duplicates; names are unique
}

// Value returns the value of the metric with a name, or 0 if there is none.
func (s *Set) Value(name string) int64 {
	g, ok := s.registry.Get(name).(gometrics.Gauge)
	if !ok {
		return 0
	}
	return g.Value()
}

// ServeHTTP writes all metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(s.registry, w)
}
