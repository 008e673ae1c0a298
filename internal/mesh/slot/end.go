package slot

import (
	"slices"
	"time"
)

// endMargin is the multiple of its expected run time that a request must have left until the backend
// server may exit: run times vary, and a request that is cut off may have run.
const endMargin = 1.5

// EndBy is called when the backend server is to exit and may do so at a time. Requests that are not
// expected to end by then are refused, at once, so that they can run elsewhere. The others wait only
// for as long as that stays so. The queue admits no request from then on.
func (q *Queue) EndBy(now, end time.Time) {
	var ahead backlog
	for _, req := range q.inOrder() {
		latest := end.Add(-time.Duration(endMargin * float64(req.ExpectedRunTime)))
		if now.Add(q.drainWait(now, ahead)).After(latest) {
			q.remove(req)
			req.Admitted <- false
			continue
		}
		if latest.Before(req.waitUntil) {
			req.waitUntil = latest
		}
		ahead.add(backlog{requests: 1, work: req.ExpectedRunTime})
	}
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
