package sidecar

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/cicadaseam/cicadaseam"
)

// sampleSize is the number of latencies kept for each histogram.
const sampleSize = 256

// Meter counts what a node does, for its metrics page. It is safe for concurrent
// use.
type Meter struct {
	mu       sync.Mutex
	registry gometrics.Registry
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{registry: gometrics.NewRegistry()} }

// Replied implements dispatch.Observer.
func (m *Meter) Replied(service string, priority int, outcome string, reason cicadaseam.Reason, took time.Duration) {
	if reason == cicadaseam.ReasonNone {
		reason = "none"
	}
	labels := fmt.Sprintf("%s.%d.%s.%s", service, priority, outcome, reason)
	m.counter("requests." + labels).Inc(1)
	m.histogram("latency-us." + service).Update(took.Microseconds())
}

// StoreCall counts a call to the platform's store.
func (m *Meter) StoreCall(op, result string) { m.counter("store." + op + "." + result).Inc(1) }

func (m *Meter) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.registry)
}

func (m *Meter) histogram(name string) gometrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.registry.Get(name).(gometrics.Histogram); ok {
		return h
	}
	h := gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	_ = m.registry.Register(name, h) // the name was not there
	return h
}

// handler writes the metrics as text, one a line.
func (m *Meter) handler(n *Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		load := n.target.Load(now)
		lines := []string{
			fmt.Sprintf("revision %d", n.keeper.Number()),
			fmt.Sprintf("peers %d", len(n.fleet.Peers())),
			fmt.Sprintf("open %d", n.front.Open()),
			fmt.Sprintf("slots %d", load.Slots),
			fmt.Sprintf("running %d", load.Running),
			fmt.Sprintf("queued %d", load.Queued),
			fmt.Sprintf("wait-us %d", n.target.Wait().Microseconds()),
			fmt.Sprintf("pace-permille %d", load.Pace),
			fmt.Sprintf("failing-permille %d", load.Failing),
			fmt.Sprintf("log-lines-dropped %d", n.dropped()),
			fmt.Sprintf("beats-sent %d", n.fleet.Counters().Sent.Load()),
			fmt.Sprintf("beats-received %d", n.fleet.Counters().Received.Load()),
			fmt.Sprintf("beats-bad %d", n.fleet.Counters().Bad.Load()),
			fmt.Sprintf("link-dials %d", n.pool.Counters().Dials.Load()),
			fmt.Sprintf("links-silent %d", n.pool.Counters().Silent.Load()),
			fmt.Sprintf("revision-age-ms %d", n.keeper.Age(now).Milliseconds()),
		}
		m.registry.Each(func(name string, x any) {
			switch v := x.(type) {
			case gometrics.Counter:
				lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
			case gometrics.Histogram:
				s := v.Snapshot()
				lines = append(lines, fmt.Sprintf("%s count=%d mean=%.0f p50=%.0f p95=%.0f p99=%.0f max=%d",
					name, s.Count(), s.Mean(), s.Percentile(0.5), s.Percentile(0.95), s.Percentile(0.99), s.Max()))
			}
		})
		sort.Strings(lines)
		fmt.Fprintln(w, strings.Join(lines, "\n"))
	})
}
