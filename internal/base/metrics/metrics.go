// Package metrics publishes counters by go-metrics.
//
// # Model
//
// Parts keep their own counters; a Set reads them when it is asked, so that
// the call path pays nothing. Names are "part.what" and carry a unit where it
// is not a count.
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

// Gauge adds a number that is read by f.
func (s *Set) Gauge(name string, f func() int64) {
	_ = s.registry.Register(name, gometrics.NewFunctionalGauge(f)) // names are unique in the program
}

// Value returns a number by name.
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
