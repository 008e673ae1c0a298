// Package slot decides which requests run at a backend server, which wait and
// which are refused.
//
// # Model
//
// The node beside a backend server is the only way to it, so that it owns the
// slots exactly: no more requests run than the server has slots, and all waiting
// is done here, where a request can still be refused truthfully.
//
// A request says how long it may wait. It is refused at once when the work ahead
// of it takes longer than that; a later change may still make it too late, and
// then it is refused at the moment at which its wait ends. Requests wait in order of rank
// and, within a rank, of arrival; a higher rank counts only the work of its own
// and of higher ranks as ahead of it.
//
// # Invariants
//
//   - At most Limit requests run.
//   - Each request is answered by exactly one of start and refusal.
//
// # Usage
//
//	q := slot.New(18)
//	switch v := q.Offer(now, item); v.Verdict { ... }
//	for _, started := range q.Done(now, took) { ... }
package slot

import (
	"container/list"
	"time"
)

// Verdict is what happens to a request.
type Decision uint8

// The verdicts.
const (
	Started Decision = iota
	Queued
	Refused
)

// Ranks of requests. Calls that a backend server makes for a request that it runs
// go first: a request whose call is refused has wasted its slot. Requests that are
// late take what the others leave.
const (
	RankNested = 0
	RankBase   = 1 // priorities follow from here
	RankLate   = 15
	ranks      = RankLate + 1
)

// Item is one request.
type Request struct {
	Rank int
	// Due is when the answer is due.
	Deadline time.Time
	// Wait is the longest time for which the request may wait.
	MaxWait time.Duration
	// Work is how long the request is expected to run.
	ExpectedRunTime time.Duration
	// Ready receives the outcome of an item that was queued: true to start.
	Admitted chan bool

	until   time.Time
	element *list.Element
}

// Queue is the admission of one backend server. It is a plain state machine and
// is not safe for concurrent use.
type Queue struct {
	limit   int
	running int
	work    time.Duration        // mean time that a request runs
	waiting [ranks]list.List     // each in order of Due
	ahead   [ranks]time.Duration // work that waits, by rank
	count   int
}

// initialWork is the time that a request is expected to run before any has.
const initialWork = 100 * time.Millisecond

// meanShare is the weight of a new sample in the mean.
const meanShare = 0.05

// New returns a queue in front of limit slots.
func New(limit int) *Queue { return &Queue{limit: max(limit, 1), work: initialWork} }

// SetLimit changes the number of slots and returns the items that start now.
func (q *Queue) SetLimit(now time.Time, limit int) {
	q.limit = max(limit, 1)
	q.advance(now)
}

// Limit returns the number of slots.
func (q *Queue) Limit() int { return q.limit }

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.count }

// Estimate returns how long a request of a rank that is due last would wait.
func (q *Queue) EstimateWait(rank int) time.Duration {
	ahead := time.Duration(0)
	for r := 0; r <= clampRank(rank); r++ {
		ahead += q.ahead[r]
	}
	return q.estimate(ahead)
}

// estimate returns how long a request waits behind an amount of work.
func (q *Queue) estimate(ahead time.Duration) time.Duration {
	if q.running < q.limit && q.count == 0 {
		return 0
	}
	// The first slot comes free after the mean rest of one of the running requests.
	return (q.work + ahead) / time.Duration(q.limit)
}

// place finds where an item belongs in its rank, from the back, and the work that
// is ahead of it.
func (q *Queue) place(x *Request) (after *list.Element, ahead time.Duration) {
	for r := 0; r <= x.Rank; r++ {
		ahead += q.ahead[r]
	}
	after = q.waiting[x.Rank].Back()
	for after != nil && x.Deadline.Before(after.Value.(*Request).Deadline) {
		ahead -= after.Value.(*Request).ExpectedRunTime
		after = after.Prev()
	}
	return after, ahead
}

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }

// Offer decides about a request. With Queued, the item's Ready channel tells later.
// wait is the estimate on which the verdict rests.
func (q *Queue) Admit(now time.Time, x *Request) (v Decision, wait time.Duration) {
	x.Rank = clampRank(x.Rank)
	if x.ExpectedRunTime <= 0 {
		x.ExpectedRunTime = q.work
	}
	if q.running < q.limit && q.count == 0 {
		q.running++
		return Started, 0
	}
	after, ahead := q.place(x)
	wait = q.estimate(ahead)
	if wait > x.MaxWait {
		return Refused, wait
	}
	x.until = now.Add(x.MaxWait)
	if after == nil {
		x.element = q.waiting[x.Rank].PushFront(x)
	} else {
		x.element = q.waiting[x.Rank].InsertAfter(x, after)
	}
	q.ahead[x.Rank] += x.ExpectedRunTime
	q.count++
	return Queued, wait
}

// Withdraw takes a queued item out. It reports whether the item had not started.
func (q *Queue) Cancel(x *Request) bool {
	if x.element == nil {
		return false
	}
	q.remove(x)
	return true
}

func (q *Queue) remove(x *Request) {
	q.waiting[x.Rank].Remove(x.element)
	x.element = nil
	q.ahead[x.Rank] -= x.ExpectedRunTime
	q.count--
}

// Done ends a request that ran for took; took is 0 when the time says nothing
// about the server.
func (q *Queue) Release(now time.Time, took time.Duration) {
	q.running--
	if took > 0 {
		q.work += time.Duration(meanShare * float64(took-q.work))
	}
	q.advance(now)
}

// advance starts waiting items while there are slots. Items whose wait has ended
// are refused.
func (q *Queue) advance(now time.Time) {
	for r := range q.waiting {
		for q.running < q.limit {
			front := q.waiting[r].Front()
			if front == nil {
				break
			}
			x := front.Value.(*Request)
			q.remove(x)
			start := !now.After(x.until)
			if start {
				q.running++
			}
			x.Admitted <- start
		}
	}
}

// Expire refuses the items whose wait has ended.
func (q *Queue) Expire(now time.Time) {
	for r := range q.waiting {
		for e := q.waiting[r].Front(); e != nil; {
			next := e.Next()
			if x := e.Value.(*Request); now.After(x.until) {
				q.remove(x)
				x.Admitted <- false
			}
			e = next
		}
	}
}

// Clear refuses all items that wait.
func (q *Queue) RefuseAll() {
	for r := range q.waiting {
		for e := q.waiting[r].Front(); e != nil; {
			next := e.Next()
			x := e.Value.(*Request)
			q.remove(x)
			x.Admitted <- false
			e = next
		}
	}
}
