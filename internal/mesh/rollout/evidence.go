package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// maxRoutes bounds the routes that are counted separately. The rest share otherRoutes.
	maxRoutes   = 16
	otherRoutes = "*"
	// urgentResponses and urgentFailures are the numbers of new responses of a server of the target
	// version, and of new failures of any server, after which its counts are sent at once, but not
	// within urgentPause of the last time.
	urgentResponses = 20
	urgentFailures  = 5
	urgentPause     = 100 * time.Millisecond
	// lostPause is the time in which several broken connections of one server count as one
	// failure. A server that crashes breaks as many as it has slots.
	lostPause = 200 * time.Millisecond
	// logScale is the unit of RouteCounts.LogSum: 1/logScale of a factor of 2.
	logScale = 64
)

// RouteCounts counts the responses of one backend server on one route.
type RouteCounts struct {
	// Responses are those that show whether the server fails, and Failures the failed ones.
	Responses int64 `msgpack:"n"`
	Failures  int64 `msgpack:"f,omitempty"`
	// Timed are the responses whose run time counts, and LogSum the sum of the binary
	// logarithms of their run times in microseconds, in units of 1/logScale. The mean of the
	// logarithms is little changed by a few requests that ran into a stall.
	Timed  int64 `msgpack:"t,omitempty"`
	LogSum int64 `msgpack:"l,omitempty"`
}

func (c RouteCounts) minus(o RouteCounts) RouteCounts {
	return RouteCounts{c.Responses - o.Responses, c.Failures - o.Failures, c.Timed - o.Timed, c.LogSum - o.LogSum}
}

func (c RouteCounts) plus(o RouteCounts) RouteCounts {
	return RouteCounts{c.Responses + o.Responses, c.Failures + o.Failures, c.Timed + o.Timed, c.LogSum + o.LogSum}
}

// meanLog returns the mean binary logarithm of the run times.
func (c RouteCounts) meanLog() float64 { return float64(c.LogSum) / logScale / float64(c.Timed) }

// Counts holds the counts of one backend server by route.
type Counts map[string]RouteCounts

// total returns the sum over all routes.
func (c Counts) total() (t RouteCounts) {
	for _, x := range c {
		t = t.plus(x)
	}
	return t
}

// add adds other counts to c.
func (c Counts) add(o Counts) {
	for route, x := range o {
		c[route] = c[route].plus(x)
	}
}

// since returns what was counted after earlier counts.
func (c Counts) since(earlier Counts) Counts {
	out := make(Counts, len(c))
	for route, x := range c {
		if d := x.minus(earlier[route]); d.Responses > 0 || d.Timed > 0 {
			out[route] = d
		}
	}
	return out
}

// Response is the result of one request at a backend server.
type Response struct {
	Instance string
	// Version is that of the software of the instance.
	Version string
	Route   string
	// Failed is set if the server answered with an error of its own or did not answer.
	Failed bool
	// Lost is set on a failure without an answer, and TimedOut if the deadline of the request
	// passed.
	Lost     bool
	TimedOut bool
	RunTime  time.Duration
	// WarmUp is set while the server is slow because it has just started, as it announced.
	WarmUp bool
}

// Recorder counts the responses of the backend server beside a node. It is safe for concurrent
// use.
type Recorder struct {
	mu       sync.Mutex
	instance string
	version  string // of the instance
	forKey   uint32 // of the order; 0 while nothing is counted
	urgent   bool   // whether the instance is of the target version
	counts   Counts
	sent     RouteCounts // the total as of the last urgent report
	sentAt   time.Duration
	lostAt   time.Duration // of the last broken connection that was counted
}

// NewRecorder returns a recorder that counts nothing.
func NewRecorder() *Recorder { return &Recorder{} }

// Follow makes the recorder count the responses of an instance and its version for an order. The
// counts start again if one of them is another one: a server may start again under its ID with
// another version. A key of 0 ends the counting. urgent is set for an instance of the target version.
func (r *Recorder) Follow(instance, version string, key uint32, urgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance != instance || r.version != version || r.forKey != key {
		r.counts, r.sent = Counts{}, RouteCounts{}
	}
	r.instance, r.version, r.forKey, r.urgent = instance, version, key, urgent
}

// Record counts a response. It reports whether the counts are to be sent at once.
func (r *Recorder) Record(now time.Duration, x Response) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forKey == 0 || x.Instance != r.instance || x.Version != r.version || x.WarmUp && x.TimedOut {
		return false
	}
	if x.Lost && !x.TimedOut {
		if r.lostAt > 0 && now-r.lostAt < lostPause {
			return false
		}
		r.lostAt = now
	}
	r.add(x)
	if now-r.sentAt < urgentPause {
		return false
	}
	unsent := r.counts.total().minus(r.sent)
	if (!r.urgent || unsent.Responses < urgentResponses) && unsent.Failures < urgentFailures {
		return false
	}
	r.sent, r.sentAt = r.counts.total(), now
	return true
}

func (r *Recorder) add(x Response) {
	route := x.Route
	if _, known := r.counts[route]; !known && len(r.counts) >= maxRoutes-1 {
		route = otherRoutes
	}
	c := r.counts[route]
	c.Responses++
	if x.Failed {
		c.Failures++
	}
	// The run time of a failure is not that of the work, except after a timeout.
	if !x.WarmUp && x.RunTime > 0 && (!x.Failed || x.TimedOut) {
		c.Timed++
		c.LogSum += int64(math.Round(logScale * math.Log2(float64(max(x.RunTime.Microseconds(), 1)))))
	}
	r.counts[route] = c
}

// Counts returns a copy of the counts and the key of the order.
func (r *Recorder) Counts() (Counts, uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forKey == 0 || len(r.counts) == 0 {
		return nil, r.forKey
	}
	out := make(Counts, len(r.counts))
	for route, x := range r.counts {
		out[route] = x
	}
	return out, r.forKey
}
