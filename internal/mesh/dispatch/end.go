package dispatch

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
)

// EndBy is called when this node cancels at a time the requests that are in flight then. From now on,
// a request is sent only to a target from which its answer is expected before.
func (d *Dispatcher) EndBy(at time.Time) { d.endsAt.Store(&at) }

// deadlineOf returns until when the reply to a request is due at this node.
func (d *Dispatcher) deadlineOf(ex *exchange) time.Time {
	if end := d.endsAt.Load(); end != nil && end.Before(ex.deadline) {
		return *end
	}
	return ex.deadline
}

// requirements returns the requirements on the next target.
func (d *Dispatcher) requirements(now time.Time, ex *exchange) Requirements {
	req := ex.requirements(now)
	if left := d.deadlineOf(ex).Sub(now) - replyMargin; left < req.Timeout {
		req.Timeout, req.CutOff = left, true
	}
	return req
}

// endsWithin reports whether the answer is expected within a time, after which the request is canceled.
func (s *Selection) endsWithin(d time.Duration) bool {
	return time.Duration(slot.StopMargin*float64(s.RunTime))+s.QueueTime+s.TransitTime <= d
}
