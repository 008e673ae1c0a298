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
	"github.com/cicadaseam/cicadaseam/internal/mesh/losses"
)

// sampleSize is the number of values that each histogram samples.
const sampleSize = 256

// Meter collects the metrics that a node serves. It is safe for concurrent use.
type Meter struct {
	registry gometrics.Registry

	losses *losses.Recorder // nil until the zone of the node is known

	mu         sync.Mutex
	replies    map[replyKey]gometrics.Counter
	histograms map[string]*serviceHistograms
}

// replyKey identifies a counter of replies.
type replyKey struct {
	service  string
	priority int
	outcome  string
	reason   cicadaseam.Reason
}

// serviceHistograms holds the histograms of the replies of one service, in microseconds.
// added is the latency without the time in the queue and at the backend server.
type serviceHistograms struct{ latency, queued, backend, added gometrics.Histogram }

// NewMeter returns a meter without counts.
func NewMeter() *Meter {
	m := &Meter{registry: gometrics.NewRegistry(), replies: map[replyKey]gometrics.Counter{}, histograms: map[string]*serviceHistograms{}}
	m.counter("records-rewritten")
	m.counter("calls-late") // served from the start, also while it is 0
	return m
}

// ObserveReply implements dispatch.Observer.
func (m *Meter) ObserveReply(r dispatch.ReplyStats) {
	m.recordLoss(&r)
	if r.Reason == cicadaseam.ReasonNone {
		r.Reason = "none"
	}
	count, h := m.replyMetrics(replyKey{r.Service, r.Priority, r.Outcome, r.Reason})
	count.Inc(1)
	h.latency.Update(r.Latency.Microseconds())
	h.queued.Update(r.QueueTime.Microseconds())
	h.backend.Update(r.BackendTime.Microseconds())
	h.added.Update(max(r.Latency-r.QueueTime-r.BackendTime, 0).Microseconds())
}

// replyMetrics returns the counter of a key and the histograms of its service, and
// registers them when they are used for the first time.
func (m *Meter) replyMetrics(k replyKey) (gometrics.Counter, *serviceHistograms) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.replies[k]
	if count == nil {
		count = m.counter(fmt.Sprintf("requests.%s.%d.%s.%s", k.service, k.priority, k.outcome, k.reason))
		m.replies[k] = count
	}
	h := m.histograms[k.service]
	if h == nil {
		h = &serviceHistograms{
			latency: m.histogram("latency-us." + k.service), queued: m.histogram("queued-us." + k.service),
			backend: m.histogram("backend-us." + k.service), added: m.histogram("added-us." + k.service),
		}
		m.histograms[k.service] = h
	}
	return count, h
}

// ObserveRetry implements dispatch.Observer.
func (m *Meter) ObserveRetry(service string, allowed bool) {
	verdict := "denied"
	if allowed {
		verdict = "made"
	}
	m.counter("repeats." + service + "." + verdict).Inc(1)
}

// ObserveLateCall counts a call that was delayed in transit by lateThreshold or more.
func (m *Meter) ObserveLateCall() { m.counter("calls-late").Inc(1) }

// ObserveRewrite counts the records that were written again after a restore of the store.
func (m *Meter) ObserveRewrite(records int) { m.counter("records-rewritten").Inc(int64(records)) }

// ObserveStoreCall counts a call to the platform's store by operation and result.
func (m *Meter) ObserveStoreCall(op, result string) { m.counter("store." + op + "." + result).Inc(1) }

func (m *Meter) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.registry)
}

func (m *Meter) histogram(name string) gometrics.Histogram {
	return m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	}).(gometrics.Histogram)
}

// handler serves the metrics of the meter and of the parts of a node as text, one per
// line and sorted.
func (m *Meter) handler(n *Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		load := n.target.Load(now)
		epochs := n.platform.Epochs.Counts()
		lines := []string{
			fmt.Sprintf("revision %d", n.syncer.Number()),
			fmt.Sprintf("store-epoch %d", n.platform.Epochs.Epoch()),
			fmt.Sprintf("store-epochs-older %d", epochs.Older),
			fmt.Sprintf("store-epochs-invalid %d", epochs.Invalid),
			fmt.Sprintf("peers %d", len(n.fleet.Peers())),
			fmt.Sprintf("open %d", n.front.InFlight()),
			fmt.Sprintf("request-bytes %d", n.requests.Used()),
			fmt.Sprintf("requests-revoked %d", n.requests.Revoked()),
			fmt.Sprintf("connections-evicted %d", n.front.Evictions()),
			fmt.Sprintf("slots %d", load.Slots),
			fmt.Sprintf("running %d", load.InFlight),
			fmt.Sprintf("queued %d", load.Queued),
			fmt.Sprintf("sent %d", n.target.Sent()),
			fmt.Sprintf("rate-limit %g", n.target.RateLimit()),
			fmt.Sprintf("wait-us %d", n.target.EstimatedWait().Microseconds()),
			fmt.Sprintf("pace-permille %d", load.LatencyPermille),
			fmt.Sprintf("failing-permille %d", load.FailurePermille),
			fmt.Sprintf("log-lines-dropped %d", n.droppedLines()),
			fmt.Sprintf("beats-sent %d", n.fleet.Counters().Sent.Load()),
			fmt.Sprintf("beats-received %d", n.fleet.Counters().Received.Load()),
			fmt.Sprintf("beats-bad %d", n.fleet.Counters().Dropped.Load()),
			fmt.Sprintf("link-dials %d", n.pool.Counters().Dials.Load()),
			fmt.Sprintf("links-silent %d", n.pool.Counters().PingTimeouts.Load()),
			fmt.Sprintf("revision-age-ms %d", n.syncer.Age(now).Milliseconds()),
		}
		lines = append(lines, n.buildMetrics()...)
		lines = append(lines, n.keyMetrics()...)
		lines = append(lines, n.rollouts.metrics()...)
		lines = append(lines, n.quotaMetrics()...)
		m.registry.Each(func(name string, metric any) {
			switch v := metric.(type) {
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
