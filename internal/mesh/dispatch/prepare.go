package dispatch

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

// exchange is one request on its way.
type exchange struct {
	route *cicadaseam.MeshRoute
	call  cicadaseam.MeshCall
	// revision is the number of the table in use.
	revision uint64
	arrived  time.Time
	deadline time.Time // when the caller has its answer
	left     time.Duration
	// onTime is when the objective ends, counted from the caller's first request.
	onTime time.Time
	// returning is set for a request that was refused before.
	returning bool
	// nested is set for a call that a backend server makes for a request it runs.
	nested bool

	asked   map[string]bool
	far     int // targets in other zones that were asked
	offered int // backend servers that it reached
	unknown bool
	// queued and ran are the times that the last target told.
	queued, ran time.Duration
	// refusals counts the targets that had no room.
	refusals int
	// passed counts the targets that were not asked the last time, since they were
	// expected to have no room either.
	passed int
	// failure is the answer of the last attempt that ran and failed.
	failure   *cicadaseam.MeshAnswer
	room      time.Duration // until some target expects to have room
	lastCause cicadaseam.Reason
}

// prepare finds all that a request needs.
func (d *Dispatcher) prepare(r *Request, rt *cicadaseam.MeshRoute, revision uint64) *exchange {
	now := time.Now()
	left := callerTime(r.Header.Get(d.Headers.Timeout), rt.Timeout)
	spent := d.habits.spent(rt.Name, left)
	x := &exchange{
		route:     rt,
		revision:  revision,
		arrived:   r.Arrived,
		left:      left,
		deadline:  r.Arrived.Add(min(left, rt.Timeout)),
		onTime:    r.Arrived.Add(rt.LatencyObjective - spent),
		returning: spent > returningAfter,
		nested:    d.isNested(r.Header.Get(d.Headers.RequestID)),
		asked:     map[string]bool{},
	}
	x.call = cicadaseam.MeshCall{
		ID:               r.Header.Get(d.Headers.RequestID),
		Method:           r.Method,
		Host:             r.Host,
		RequestURI:       r.Target,
		Body:             r.Body,
		Service:          d.shares.Next(rt),
		Route:            rt.Name,
		LatencyObjective: rt.LatencyObjective,
		Priority:         rt.Priority,
		Idempotent:       rt.Idempotent,
		Nested:           x.nested,
		Headers:          d.forwarded(r.Header),
		Fingerprint:      quarantine.Fingerprint(d.Service, r.Method, r.Target, r.Body),
	}
	d.budget.Request(now, x.call.Service)
	return x
}

// need returns what the request needs of its next target.
func (x *exchange) need(now time.Time) Need {
	return Need{
		Route:      x.route.Name,
		Objective:  x.route.LatencyObjective,
		Left:       x.onTime.Sub(now),
		Rest:       x.deadline.Sub(now) - answerMargin,
		Idempotent: x.route.Idempotent,
		NearOnly:   x.far >= maxFar,
		Nested:     x.nested,
		Refusals:   x.refusals,
	}
}

// isNested reports whether an id extends that of a request which the backend server
// beside this node runs. It decides nothing but the order of requests.
func (d *Dispatcher) isNested(id string) bool {
	at := strings.LastIndexByte(id, '.')
	return at > 0 && d.local.IsRunning(id[:at])
}

// forwarded returns the headers that go on to the backend server. What the system
// sets itself is never taken from a caller.
func (d *Dispatcher) forwarded(h http.Header) []cicadaseam.Header {
	h.Del(d.Headers.RequestID)
	h.Del(d.Headers.Timeout)
	h.Del(d.Headers.ExpectedInstance)
	h.Del(d.Headers.CallerService)
	h.Del("Expect") // the body is whole here; nothing has to be asked first
	out := http1.EndToEndHeaders(h)
	return append(out, cicadaseam.Header{Name: d.Headers.CallerService, Value: d.Service})
}

// callerTime returns how long a caller waits.
func callerTime(v string, timeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return max(usualDeadline, timeout)
	}
	return time.Duration(ms) * time.Millisecond
}
