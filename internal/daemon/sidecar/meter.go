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
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// sampleSize is the number of latencies kept for each histogram.
const sampleSize = 256

// Meter counts what a node does, for its metrics page. It is safe for concurrent
// use.
type Meter struct {
	registry gometrics.Registry

	mu       sync.Mutex
	replies  map[replyKey]gometrics.Counter
	services map[string]*times
}

// replyKey tells replies apart.
type replyKey struct {
	service  string
	priority int
	outcome  string
	reason   cicadaseam.Reason
}

// times are the histograms of the replies of one service.
type times struct{ latency, queued, backend, added gometrics.Histogram }

// NewMeter returns a meter at zero.
func NewMeter() *Meter {
	m := &Meter{registry: gometrics.NewRegistry(), replies: map[replyKey]gometrics.Counter{}, services: map[string]*times{}}
	m.counter("calls-late") // there from the start
	return m
}

// Replied implements dispatch.Observer.
func (m *Meter) ObserveReply(r dispatch.ReplyStats) {
	if r.Reason == cicadaseam.ReasonNone {
		r.Reason = "none"
	}
	count, t := m.reply(replyKey{r.Service, r.Priority, r.Outcome, r.Reason})
	count.Inc(1)
	t.latency.Update(r.Latency.Microseconds())
	t.queued.Update(r.QueueTime.Microseconds())
	t.backend.Update(r.BackendTime.Microseconds())
	t.added.Update(max(r.Latency-r.QueueTime-r.BackendTime, 0).Microseconds())
}

func (m *Meter) reply(k replyKey) (gometrics.Counter, *times) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.replies[k]
	if count == nil {
		count = m.counter(fmt.Sprintf("requests.%s.%d.%s.%s", k.service, k.priority, k.outcome, k.reason))
		m.replies[k] = count
	}
	t := m.services[k.service]
	if t == nil {
		t = &times{
			latency: m.histogram("latency-us." + k.service), queued: m.histogram("queued-us." + k.service),
			backend: m.histogram("backend-us." + k.service), added: m.histogram("added-us." + k.service),
		}
		m.services[k.service] = t
	}
	return count, t
}

// Repeated implements dispatch.Observer.
func (m *Meter) ObserveRetry(service string, allowed bool) {
	verdict := "denied"
	if allowed {
		verdict = "made"
	}
	m.counter("repeats." + service + "." + verdict).Inc(1)
}

// CameLate counts a call that lay on its way for long.
func (m *Meter) ObserveLateCall() { m.counter("calls-late").Inc(1) }

// StoreCall counts a call to the platform's store.
func (m *Meter) ObserveStoreCall(op, result string) { m.counter("store." + op + "." + result).Inc(1) }

func (m *Meter) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.registry)
}

func (m *Meter) histogram(name string) gometrics.Histogram {
	return m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	}).(gometrics.Histogram)
}

// handler writes the metrics as text, one a line.
func (m *Meter) handler(n *Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		load := n.target.Load(now)
		lines := []string{
			fmt.Sprintf("revision %d", n.keeper.Number()),
			fmt.Sprintf("peers %d", len(n.fleet.Peers())),
			fmt.Sprintf("open %d", n.front.InFlight()),
			fmt.Sprintf("slots %d", load.Slots),
			fmt.Sprintf("running %d", load.InFlight),
			fmt.Sprintf("queued %d", load.Queued),
			fmt.Sprintf("wait-us %d", n.target.EstimatedWait().Microseconds()),
			fmt.Sprintf("pace-permille %d", load.LatencyPermille),
			fmt.Sprintf("failing-permille %d", load.FailurePermille),
			fmt.Sprintf("log-lines-dropped %d", n.dropped()),
			fmt.Sprintf("beats-sent %d", n.fleet.Counters().Sent.Load()),
			fmt.Sprintf("beats-received %d", n.fleet.Counters().Received.Load()),
			fmt.Sprintf("beats-bad %d", n.fleet.Counters().Dropped.Load()),
			fmt.Sprintf("link-dials %d", n.pool.Counters().Dials.Load()),
			fmt.Sprintf("links-silent %d", n.pool.Counters().PingTimeouts.Load()),
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
