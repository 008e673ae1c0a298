// Package losses counts by cause the requests that were not answered within their latency
// objective.
//
// # Model
//
// Each reply has one cause: it was on time, late, refused or failed. A late one is attributed to
// what took the longest: the queue, the backend server, or the way between the nodes; or to its
// caller, who returned after the end of the objective. A Recorder counts the causes by route. Each
// second it writes a log line for each route that lost requests, so the volume does not grow with
// the load. Package lossreport adds up the lines in the logs of several nodes.
//
// The times are those of the node that received the request. The way between the caller and this
// node is not in them.
//
// # Usage
//
//	r := losses.NewRecorder("zone-a")
//	r.Record(losses.Reply{Route: "claims", Outcome: cicadaseam.OutcomeRan.String(), ...})
//	r.Flush(logger)
package losses

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// Message is that of the log lines of a Recorder.
const Message = "requests not served on time"

// OnTime is the cause of a reply that lost nothing.
const OnTime = "on-time"

// The causes of late replies. Those of the others consist of a kind and a reason.
const (
	causeReturned = "late-returned" // the caller returned when its objective was over
	causeQueue    = "late-queue"
	causeRun      = "late-run"
	causeWay      = "late-way"
	causeOrder    = "late-order" // ready on time, delivered late behind earlier pipelined replies
	kindRefused   = "refused-"
	kindAgain     = "again-" // refused after the caller had returned
	kindFailed    = "failed-"
)

// Reply describes a reply as far as its cause depends on it.
type Reply struct {
	Route   string
	Outcome string // of a cicadaseam.Outcome
	Status  int
	Reason  cicadaseam.Reason
	// Returning is set if the caller had been refused before.
	Returning bool
	// Budget is the part of the latency objective that was left when the request arrived.
	Budget time.Duration
	// Latency is the time from the request to its reply. QueueTime and BackendTime are parts of it.
	Latency, QueueTime, BackendTime time.Duration
}

// cause returns what the reply counts as.
func (r *Reply) cause() string {
	served := r.Outcome == cicadaseam.OutcomeRan.String() && r.Status < http.StatusInternalServerError
	switch {
	case r.Outcome == cicadaseam.OutcomeNotRun.String() && r.Returning:
		return kindAgain + r.reason()
	case r.Outcome == cicadaseam.OutcomeNotRun.String():
		return kindRefused + r.reason()
	case !served:
		return kindFailed + r.reason()
	case r.Latency <= r.Budget:
		return OnTime
	case r.Budget <= 0:
		return causeReturned
	}
	way := r.Latency - r.QueueTime - r.BackendTime
	switch max(way, r.QueueTime, r.BackendTime) {
	case r.BackendTime:
		return causeRun
	case r.QueueTime:
		return causeQueue
	}
	return causeWay
}

func (r *Reply) reason() string {
	if r.Reason == cicadaseam.ReasonNone {
		return "backend"
	}
	return string(r.Reason)
}

// Recorder counts the causes at one node. It is safe for concurrent use.
type Recorder struct {
	zone string

	mu     sync.Mutex
	routes map[string]map[string]int // by route and cause; since the last line of the route
}

// maxRoutes bounds the routes that are counted between two lines of theirs.
const maxRoutes = 4096

// NewRecorder returns a recorder for a node in a zone.
func NewRecorder(zone string) *Recorder {
	return &Recorder{zone: zone, routes: map[string]map[string]int{}}
}

// Record counts a reply of the node.
func (r *Recorder) Record(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(reply.Route, reply.cause(), 1)
}

// RecordDelayed counts a reply of a route, recorded as on time, that was delivered late behind
// earlier pipelined ones.
func (r *Recorder) RecordDelayed(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(route, causeOrder, 1)
	r.add(route, OnTime, -1)
}

// add adds to a count. The lock is held.
func (r *Recorder) add(route, cause string, n int) {
	counts := r.routes[route]
	if counts == nil {
		if len(r.routes) >= maxRoutes {
			return
		}
		counts = map[string]int{}
		r.routes[route] = counts
	}
	counts[cause] += n
}

// Flush writes a line for each route that lost requests since its last line.
func (r *Recorder) Flush(logger *zap.Logger) {
	lost := r.takeLosses()
	for _, route := range slices.Sorted(maps.Keys(lost)) {
		counts := lost[route]
		fields := []zap.Field{zap.String("zone", r.zone), zap.String("route", route)}
		for _, cause := range slices.Sorted(maps.Keys(counts)) {
			fields = append(fields, zap.Int(cause, counts[cause]))
		}
		logger.Info(Message, fields...)
	}
}

// takeLosses returns the counts of the routes that lost requests, and starts those anew.
func (r *Recorder) takeLosses() map[string]map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[string]int{}
	for route, counts := range r.routes {
		if len(counts) > 1 || counts[OnTime] == 0 {
			out[route] = counts
			delete(r.routes, route)
		}
	}
	return out
}
