package slot

import (
	"slices"
	"time"
)

// endMargin is the multiple of its expected run time that a request must have left until the backend
// server may exit: run times vary, and a request that is cut off may have run.
const endMargin = 1.5

// EndBy is called when the backend server, or the node beside it, may exit at a time. Requests that
// are not expected to end by then are refused, at once, so that they can run elsewhere: those that are
// queued, and those that come from now on. The others wait only for as long as they can end by then.
// A later time than that of an earlier call has no effect.
func (q *Queue) EndBy(now, end time.Time) {
	if !q.end.IsZero() && !end.Before(q.end) {
		return
	}
	q.end = end
	var ahead backlog
	for _, req := range q.inOrder() {
		if now.Add(q.drainWait(now, ahead)).After(q.latestStart(req)) {
			q.remove(req)
			req.Admitted <- false
			continue
		}
		req.waitUntil = q.boundWait(req, req.waitUntil)
		ahead.add(backlog{requests: 1, work: req.ExpectedRunTime})
	}
}

// latestStart returns until when a request may start. It must not be called before EndBy.
func (q *Queue) latestStart(req *Request) time.Time {
	return q.end.Add(-time.Duration(endMargin * float64(req.ExpectedRunTime)))
}

// canStartAt reports whether a request that starts at a time is expected to end in time.
func (q *Queue) canStartAt(at time.Time, req *Request) bool {
	return q.end.IsZero() || !at.After(q.latestStart(req))
}

// boundWait returns until when a request may wait, given when its own wait ends.
func (q *Queue) boundWait(req *Request, until time.Time) time.Time {
	if q.end.IsZero() || until.Before(q.latestStart(req)) {
		return until
	}
	return q.latestStart(req)
}

// drainWait returns how long a request waits behind a backlog while no other request arrives.
func (q *Queue) drainWait(now time.Time, ahead backlog) time.Duration {
	wait := (q.meanRunTime + ahead.work) / time.Duration(q.limit)
	return max(wait, q.rate.Wait(now, ahead.requests))
}

// inOrder returns the queued requests by rank and deadline. The order of a class that customers share
// differs from that, within the class.
func (q *Queue) inOrder() []*Request {
	requests := make([]*Request, 0, q.queued)
	for i := range q.classes {
		q.classes[i].each(func(req *Request) { requests = append(requests, req) })
	}
	slices.SortFunc(requests, func(a, b *Request) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	})
	return requests
}
