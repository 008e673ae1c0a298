package dispatch

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// exchange is the state of one request until its reply.
type exchange struct {
	route *cicadaseam.MeshRoute
	call  cicadaseam.MeshCall
	// revision is the number of the table in use.
	revision uint64
	arrived  time.Time
	deadline time.Time // by which the caller gets its reply
	// callerTimeout is how long the caller waits, counted from arrived.
	callerTimeout time.Duration
	// latencyDeadline is the end of the latency objective, counted from the caller's
	// first attempt.
	latencyDeadline time.Time
	// callerRetry is set for a request that was refused before.
	callerRetry bool
	// nested is set for a call that a backend server makes on behalf of a request that
	// it is running.
	nested bool
	// nestedInRetry is set for a nested call whose outer run is a retry. Each attempt of
	// the call then counts as a retry, the first one included.
	nestedInRetry bool

	tried            map[string]bool // addresses of the targets
	probes           int             // targets that were asked for a free slot
	probed           []string        // addresses of those that had none
	otherZoneTargets int             // tried targets in other zones
	reachedBackends  int             // backend servers that the request reached
	outcomeUnknown   bool            // some attempt may have run or may still run
	// queueTime and backendTime are the times that the last target reported.
	queueTime, backendTime time.Duration
	// refusals counts the targets whose queue was full.
	refusals int
	// rejected is set once a backend server itself rejected the request.
	rejected bool
	// skipped counts the targets that the last selection left out because they were
	// expected to refuse.
	skipped int
	// lastFailure is the answer of the last attempt that ran and failed.
	lastFailure *cicadaseam.MeshAnswer
	retryAfter  time.Duration // the longest RetryAfter of a target that did not run the request
	lastReason  cicadaseam.Reason
	presentedKey
}

// prepare returns the state of a new request and counts it in the retry budget. customer is nil
// if the request has none.
func (d *Dispatcher) prepare(r *Request, rt *cicadaseam.MeshRoute, table *route.Table, customer *cicadaseam.Customer, outer outerRun) *exchange {
	now := time.Now()
	key := presentedKeyOf(r, table, customer) // before the header field is removed
	timeout := parseCallerTimeout(r.Header.Get(d.Headers.Timeout), rt.Timeout)
	elapsed := d.callerTimeouts.elapsed(rt.Name, timeout)
	ex := &exchange{
		route:           rt,
		revision:        table.Number,
		arrived:         r.Arrived,
		callerTimeout:   timeout,
		deadline:        r.Arrived.Add(min(timeout, rt.Timeout)),
		latencyDeadline: r.Arrived.Add(rt.LatencyObjective - elapsed),
		callerRetry:     elapsed > minCallerRetryElapsed,
		nested:          outer.running,
		nestedInRetry:   outer.isRetry,
		tried:           map[string]bool{},
		presentedKey:    key,
	}
	ex.call = cicadaseam.MeshCall{
		ID:               r.Header.Get(d.Headers.RequestID),
		Method:           r.Method,
		Host:             r.Host,
		RequestURI:       r.RequestURI,
		Body:             r.Body,
		Service:          d.splitter.Next(rt),
		Route:            rt.Name,
		LatencyObjective: rt.LatencyObjective,
		Priority:         rt.Priority,
		Idempotent:       rt.Idempotent,
		Nested:           ex.nested,
		Headers:          d.forwardedHeaders(r.Header, table.IsKeyed()),
		Fingerprint:      quarantine.Fingerprint(d.Service, r.Method, r.RequestURI, r.Body),
	}
	if customer != nil {
		d.setCustomer(ex, customer)
	}
	if !outer.isRetry { // such a call is a retry, not a request that allows retries
		d.budget.RecordRequest(now, ex.call.Service)
	}
	return ex
}

// isRetry reports whether the next attempt counts as a retry.
func (ex *exchange) isRetry() bool { return ex.nestedInRetry || ex.reachedBackends > 0 }

// requirements returns the requirements on the next target.
func (ex *exchange) requirements(now time.Time) Requirements {
	return Requirements{
		Route:            ex.route.Name,
		LatencyObjective: ex.route.LatencyObjective,
		LatencyBudget:    ex.latencyDeadline.Sub(now),
		Timeout:          ex.deadline.Sub(now) - replyMargin,
		Idempotent:       ex.route.Idempotent,
		SameZoneOnly:     ex.otherZoneTargets >= maxOtherZoneTargets,
		Nested:           ex.nested,
		Refusals:         ex.refusals,
	}
}

// outerRun is the run on whose behalf the backend server beside this node makes a request.
type outerRun struct {
	running bool // false if the request is not made for a run
	isRetry bool // whether that run is a retry
}

// outerRun returns the run whose id the id of a request extends. The ids of running requests
// are known to the backend server and to the callers that sent them.
func (d *Dispatcher) outerRun(id string) outerRun {
	outer := outerID(id)
	if outer == "" {
		return outerRun{}
	}
	running, isRetry := d.local.Running(outer)
	return outerRun{running, isRetry}
}

// outerID returns the id that a nested call's id extends, or "" if it extends none.
func outerID(id string) string {
	return id[:max(strings.LastIndexByte(id, '.'), 0)]
}

// forwardedHeaders returns the headers for the backend server. Header fields that the
// mesh sets itself are never taken from a caller. keyed is set if the callers have keys, which
// no backend server gets.
func (d *Dispatcher) forwardedHeaders(h http.Header, keyed bool) []cicadaseam.Header {
	if keyed {
		h.Del("Authorization")
	}
	h.Del(d.Headers.Customer)
	h.Del(d.Headers.RequestID)
	h.Del(d.Headers.Timeout)
	h.Del(d.Headers.ExpectedInstance)
	h.Del(d.Headers.CallerService)
	h.Del("Expect") // the body has been read already, so no 100-continue is needed
	out := http1.EndToEndHeaders(h)
	return append(out, cicadaseam.Header{Name: d.Headers.CallerService, Value: d.Service})
}

// parseCallerTimeout returns how long a caller waits by its timeout header, in
// milliseconds. Without a valid one it returns a default that is at least the timeout
// of the route.
func parseCallerTimeout(v string, routeTimeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return max(defaultCallerTimeout, routeTimeout)
	}
	return time.Duration(ms) * time.Millisecond
}
