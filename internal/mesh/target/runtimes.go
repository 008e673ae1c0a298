package target

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// runTimeDecay is the time in which the weight of a run time falls to 1/e. Means then show
	// the start and the end of a slow phase within a second of traffic.
	runTimeDecay = 400 * time.Millisecond
	// minMeanWeight is the number of samples below which the weight of a mean does not decay, so
	// that a single run changes it little on routes with few requests.
	minMeanWeight = 8
	// outlierFactor bounds a sample relative to the mean. One run that takes very long raises the
	// mean by a quarter at most. The mean of a server that became 8 times slower still rises to
	// three times its value within a second. A larger factor lets a short stall double the mean.
	outlierFactor = 3
	// maxRoutes bounds the routes whose run times are kept. The others use the mean of all.
	maxRoutes = 64
	// staleRunTime is the age of a route's last run after which its mean follows that of all
	// routes: by then, the server may have become slower or faster.
	staleRunTime = time.Second
)

// decayingMean is a mean of samples whose weight decays with their age. It bounds outliers.
type decayingMean struct {
	value   float64
	samples int
	weight  float64 // of value, in samples, as of at
	at      time.Time
}

func (m *decayingMean) add(now time.Time, x float64) {
	if m.samples >= minMeanWeight {
		x = min(x, outlierFactor*m.value)
	}
	decayed := m.weight * math.Exp(-now.Sub(m.at).Seconds()/runTimeDecay.Seconds())
	m.weight = max(decayed, float64(min(m.samples, minMeanWeight))) + 1
	m.value += (x - m.value) / m.weight
	m.samples++
	m.at = now
}

// isKnown reports whether there are enough samples to predict a run time.
func (m *decayingMean) isKnown() bool { return m.samples >= minSamples }

// routeRunTime is the run time of the requests of one route.
type routeRunTime struct {
	seconds decayingMean
	// latencyShare is the mean of all routes when the last run of this one ended.
	latencyShare float64
}

// runTimes holds the run times of an instance, by route.
type runTimes struct {
	latencyShare decayingMean             // run time of all routes as a share of the latency objective
	routes       map[string]*routeRunTime // by name
}

// add records the run of a request. A run without a time, because all of it was in a stall, says
// nothing.
func (t *runTimes) add(now time.Time, call *cicadaseam.MeshCall, took time.Duration) {
	if call.LatencyObjective <= 0 || took <= 0 {
		return
	}
	t.latencyShare.add(now, float64(took)/float64(call.LatencyObjective))
	r := t.routes[call.Route]
	if r == nil {
		r = t.addRoute(call.Route)
	}
	r.seconds.add(now, took.Seconds())
	r.latencyShare = t.latencyShare.value
}

// addRoute makes room for a route in place of the one whose last run is the oldest.
func (t *runTimes) addRoute(name string) *routeRunTime {
	if t.routes == nil {
		t.routes = map[string]*routeRunTime{}
	}
	if len(t.routes) >= maxRoutes {
		oldest, found := "", false
		for other, r := range t.routes {
			if !found || r.seconds.at.Before(t.routes[oldest].seconds.at) {
				oldest, found = other, true
			}
		}
		delete(t.routes, oldest)
	}
	r := &routeRunTime{}
	t.routes[name] = r
	return r
}

// addUnfinished records a run that did not end within a time. It says something only if others
// usually end by then.
func (t *runTimes) addUnfinished(now time.Time, call *cicadaseam.MeshCall, took time.Duration) {
	if expected := t.expected(now, call); expected > 0 && took > expected {
		t.add(now, call, took)
	}
}

// expected returns how long a request is expected to run, or 0 while there are too few samples.
func (t *runTimes) expected(now time.Time, call *cicadaseam.MeshCall) time.Duration {
	seconds := 0.0
	switch r := t.routes[call.Route]; {
	case r != nil && r.seconds.isKnown():
		seconds = r.seconds.value
		if now.Sub(r.seconds.at) > staleRunTime && r.latencyShare > 0 {
			seconds *= t.latencyShare.value / r.latencyShare
		}
	case t.latencyShare.isKnown():
		seconds = t.latencyShare.value * call.LatencyObjective.Seconds()
	}
	return time.Duration(seconds * float64(time.Second))
}
