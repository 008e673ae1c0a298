package slot

import (
	"slices"
	"time"
)

const (
	// endMargin is the multiple of its expected run time that a request must have left until the
	// backend server may exit: run times vary, and a request that is cut off may have run.
	endMargin = 1.5
	// StopMargin is that multiple until this node cancels what still runs. It is larger since nothing
	// outlasts that moment, while a backend server usually serves for a while after it may exit.
	StopMargin = 3
)

// ending is a time after which a request may be cut off.
type ending struct {
	at     time.Time
	margin float64 // multiple of its expected run time that a request must have left
}

// EndBy is called when the backend server may exit at a time. Requests that are not expected to end by
// then are refused, at once, so that they can run elsewhere: those that are queued, and those that come
// from now on. The others wait only for as long as they can end by then.
func (q *Queue) EndBy(now, at time.Time) { q.addEnding(now, ending{at, endMargin}) }

// StopBy is EndBy for the time at which this node cancels the requests that still run.
func (q *Queue) StopBy(now, at time.Time) { q.addEnding(now, ending{at, StopMargin}) }

func (q *Queue) addEnding(now time.Time, e ending) {
	q.endings = append(q.endings, e)
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

// latestStart returns until when a request may start. There must be an ending.
func (q *Queue) latestStart(req *Request) time.Time {
	latest := time.Time{}
	for _, e := range q.endings {
		if at := e.at.Add(-time.Duration(e.margin * float64(req.ExpectedRunTime))); latest.IsZero() || at.Before(latest) {
			latest = at
		}
	}
	return latest
}

// canStartAt reports whether a request that starts at a time is expected to end in time.
func (q *Queue) canStartAt(at time.Time, req *Request) bool {
	return len(q.endings) == 0 || !at.After(q.latestStart(req))
}

// boundWait returns until when a request may wait, given when its own wait ends.
func (q *Queue) boundWait(req *Request, until time.Time) time.Time {
	if len(q.endings) == 0 || until.Before(q.latestStart(req)) {
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
