// Package slot decides which requests run at a backend server, which wait for a
// slot and which are refused.
//
// # Model
//
// The node beside a backend server is the only path to it, so the node's count of
// occupied slots is exact: no more requests run than the server has slots. All
// queueing happens here, where the node can still refuse a request and guarantee
// that it did not run.
//
// A request states how long it may wait. It is refused at once when the work ahead
// of it is expected to take longer than this time. Later arrivals of a higher rank, or
// slower requests than expected, may still make the wait too long; then the request
// is refused when its wait ends. Requests wait in order of rank and, within a rank,
// of deadline. Only the requests of higher ranks, and those of the same rank with a
// deadline that is not later, count as ahead of a request. The slots that higher classes have
// used lately are not counted on, because their requests keep arriving.
//
// Customers share the slots of a priority class fairly, by the time for which their requests
// occupy a slot. While a class asks for more slots than there are, its requests wait in order of
// the share that their customer has had, and only then of rank and deadline. A customer that wants
// less than its share is served at once; the others share what is left. A request of a customer
// above its share is refused at once if the queued requests of that customer are expected to use
// its share for longer than the request may wait. Requests without a customer count as those of
// one customer, so if there is no other, the order is always that of rank and deadline.
//
// A backend server may also limit the requests that it takes in a second. A request then
// waits for that too, in the same queue.
//
// # Invariants
//
//   - At most Limit requests run, unless SetLimit lowered the limit below the
//     number that were running.
//   - Over any time, no more requests start than the rate limit allows in it, and a burst of
//     ratelimit.BurstTime.
//   - Each queued request is either started, refused or canceled, exactly once.
//   - A slot does not stay free while requests wait, unless the rate limit demands it or it is
//     kept for nested requests.
//
// # Usage
//
//	q := slot.New(18)
//	switch decision, wait := q.Admit(now, request); decision { ... }
//	q.Release(now, took) // starts queued requests through their Admitted channels
//	q.Settle(now, request) // corrects the slots that a class is known to use
//	q.Advance(now)       // periodically, while requests wait
//	q.EndBy(now, end)    // when the backend server is to exit
//	q.StopBy(now, end)   // when the node is to exit
package slot

import (
	"container/list"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
)

// Decision says whether a request starts, waits or is refused.
type Decision uint8

// The decisions.
const (
	Started Decision = iota
	Queued
	Refused
)

// Ranks of requests; a lower number runs first. Calls that a backend server makes
// on behalf of a request that it is running go first: if such a call is refused, the
// slot of the outer request was occupied in vain. Late requests get the slots that
// no other request waits for, in order of priority. While a backend server is so slow that
// all its requests are late, they are all that it serves.
const (
	RankNested = 0
	RankBase   = 1 // rank of the highest priority; lower priorities follow
	RankLate   = 15
	// latePriorities is the number of priorities that late requests are distinguished by.
	latePriorities = 7
	rankCount      = RankLate + latePriorities*ranksPerClass
)

// LateRank returns the rank of a late request of a priority. Each priority has a class of its own.
func LateRank(priority int) int {
	return RankLate + ranksPerClass*min(max(priority, 0), latePriorities-1)
}

// Request asks for a slot.
type Request struct {
	Rank int
	// Customer is the name of the customer that shares the slots with others, or empty.
	Customer string
	// Deadline is the end of the request's latency objective; an answer after it is
	// late. It orders the requests of a rank.
	Deadline time.Time
	// MaxWait is the longest time for which the request may wait for a slot.
	MaxWait time.Duration
	// ExpectedRunTime is how long the request is expected to occupy a slot. If it is
	// not positive, the mean run time of the queue is used.
	ExpectedRunTime time.Duration
	// Admitted receives the result for a queued request: true to start, false when
	// it is refused. The queue sends at most one value and does not wait for a
	// receiver, so the channel needs a buffer of one.
	Admitted chan bool

	waitUntil time.Time     // when the request is refused if it still waits
	element   *list.Element // in flow.waiting; nil while the request is not queued
	flow      *flow         // of the customer; nil until the request is queued or starts
	startedAt time.Time     // zero until the request starts
}

// Queue controls admission to one backend server. It is a plain state machine and
// is not safe for concurrent use.
type Queue struct {
	limit       int
	running     int
	meanRunTime time.Duration
	classes     [classCount]class        // hold the waiting requests
	queuedCount [rankCount]int           // waiting requests, by rank
	queuedWork  [rankCount]time.Duration // sum of ExpectedRunTime of the waiting requests, by rank
	queued      int                      // waiting requests of all ranks
	rate        ratelimit.Limiter
	nested      reservation
	// outerRunTime is the mean run time of the requests that are not nested.
	outerRunTime time.Duration
	// endings are when the backend server and the node may exit.
	endings []ending
}

// initialRunTime is the assumed mean run time before any request has run.
const initialRunTime = 100 * time.Millisecond

// runTimeSmoothing is the weight of a new sample in the exponentially weighted mean
// run time.
const runTimeSmoothing = 0.05

// New returns a queue for limit slots.
func New(limit int) *Queue {
	return &Queue{limit: max(limit, 1), meanRunTime: initialRunTime, outerRunTime: initialRunTime}
}

// SetLimit changes the number of slots and starts queued requests in new ones. When
// the limit falls, running requests keep their slots.
func (q *Queue) SetLimit(now time.Time, limit int) {
	q.limit = max(limit, 1)
	q.startQueued(now)
}

// Limit returns the number of slots.
func (q *Queue) Limit() int { return q.limit }

// Running returns the number of requests that occupy a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.queued }

// backlog is what runs before a request.
type backlog struct {
	requests int
	work     time.Duration // sum of ExpectedRunTime
}

func (b *backlog) add(o backlog) {
	b.requests += o.requests
	b.work += o.work
}

// EstimateWait returns how long a request of a rank would wait if its deadline were
// the latest of that rank.
func (q *Queue) EstimateWait(now time.Time, rank int) time.Duration {
	return q.waitBehind(now, clampRank(rank), q.upTo(clampRank(rank)))
}

// upTo returns the queued requests of a rank and the higher ones.
func (q *Queue) upTo(rank int) (ahead backlog) {
	for r := 0; r <= rank; r++ {
		ahead.requests += q.queuedCount[r]
		ahead.work += q.queuedWork[r]
	}
	return ahead
}

// waitBehind returns how long a request waits behind a backlog.
func (q *Queue) waitBehind(now time.Time, rank int, ahead backlog) time.Duration {
	wait := q.rate.Wait(now, ahead.requests)
	if q.mayStart(rank) && (ahead.requests == 0 || q.rate.IsSet()) {
		return wait
	}
	// The running requests are expected to free one slot within the mean run time
	// divided by the number of slots.
	return max(wait, time.Duration(float64(q.meanRunTime+ahead.work)/q.slotsFor(now, rank)))
}

// position returns the element of its flow after which a request belongs in its rank, or nil for
// the front, the backlog ahead of it, and the part of that which is of its own customer.
func (q *Queue) position(now time.Time, req *Request, f *flow) (after *list.Element, ahead, own backlog) {
	index, _ := classOf(req.Rank)
	c := &q.classes[index]
	ahead = q.upTo(firstRank(index) - 1)
	if f != nil {
		after, own = f.insertionPoint(req)
		ahead.add(own)
	}
	tag, contended := c.nextTag(f)+own.work, c.isContended(now)
	for _, g := range c.backlogged {
		if g != f {
			ahead.add(g.aheadOf(req, contended, tag))
		}
	}
	return after, ahead, own
}

// EstimateCustomerWait returns how long a request of a customer would wait if its deadline were
// the latest of its rank.
func (q *Queue) EstimateCustomerWait(now time.Time, rank int, customer string) time.Duration {
	req := &Request{Rank: clampRank(rank), Deadline: latestDeadline, ExpectedRunTime: q.meanRunTime}
	index, _ := classOf(req.Rank)
	f := q.classes[index].find(customer)
	_, ahead, own := q.position(now, req, f)
	return max(q.waitBehind(now, req.Rank, ahead), q.shareWait(now, req, f, ahead, own))
}

// latestDeadline is later than the deadline of any request.
var latestDeadline = time.Unix(1<<40, 0)

func clampRank(rank int) int { return min(max(rank, 0), rankCount-1) }

// Admit starts, queues or refuses a request. If it is queued, its Admitted channel
// receives the result later. wait is the estimated wait on which the decision rests.
func (q *Queue) Admit(now time.Time, req *Request) (decision Decision, wait time.Duration) {
	req.Rank = clampRank(req.Rank)
	if req.ExpectedRunTime <= 0 {
		req.ExpectedRunTime = q.meanRunTime
	}
	index, _ := classOf(req.Rank)
	c := &q.classes[index]
	if req.Rank == RankNested {
		q.nested.arrived(now)
	}
	if !q.canStartAt(now, req) {
		return Refused, 0
	}
	if q.mayStart(req.Rank) && q.upTo(req.Rank).requests == 0 && q.rate.Take(now) {
		req.flow = c.findOrAdd(now, req.Customer)
		q.start(now, req)
		return Started, 0
	}
	q.recordDemand(now, req)
	f := c.find(req.Customer)
	after, ahead, own := q.position(now, req, f)
	wait = max(q.waitBehind(now, req.Rank, ahead), q.shareWait(now, req, f, ahead, own))
	if wait > req.MaxWait || !q.canStartAt(now.Add(wait), req) {
		return Refused, wait
	}
	req.waitUntil = q.boundWait(req, now.Add(req.MaxWait))
	req.flow = c.findOrAdd(now, req.Customer)
	c.push(req.flow, req, after)
	q.queuedCount[req.Rank]++
	q.queuedWork[req.Rank] += req.ExpectedRunTime
	q.queued++
	return Queued, wait
}

// start gives a slot to a request and charges its customer. It is called before a queued request
// is removed, because a customer keeps its place in the order while it has queued requests.
func (q *Queue) start(now time.Time, req *Request) {
	index, _ := classOf(req.Rank)
	c := &q.classes[index]
	c.charge(req.flow, req.ExpectedRunTime)
	c.recordUse(now, req.flow, req.ExpectedRunTime)
	req.startedAt = now
	q.running++
	if req.Rank == RankNested {
		q.nested.advance(now)
		q.nested.running++
	}
}

// Cancel removes a queued request. It returns false if the request is no longer
// queued, because it was started or refused before.
func (q *Queue) Cancel(req *Request) bool {
	if req.element == nil {
		return false
	}
	q.remove(req)
	return true
}

func (q *Queue) remove(req *Request) {
	index, _ := classOf(req.Rank)
	q.classes[index].pop(req)
	q.queuedCount[req.Rank]--
	q.queuedWork[req.Rank] -= req.ExpectedRunTime
	q.queued--
}

// Release frees the slot of a request that ran for took and starts queued requests.
// took is 0 when the time says nothing about the speed of the server.
func (q *Queue) Release(now time.Time, took time.Duration) {
	if took > 0 {
		q.outerRunTime += time.Duration(runTimeSmoothing * float64(took-q.outerRunTime))
	}
	q.release(now, took)
}

func (q *Queue) release(now time.Time, took time.Duration) {
	q.running--
	if took > 0 {
		q.meanRunTime += time.Duration(runTimeSmoothing * float64(took-q.meanRunTime))
	}
	q.updateReservation(now)
	q.startQueued(now)
}

// startQueued starts queued requests while slots are free and the rate limit allows it, and
// refuses those whose wait has ended.
func (q *Queue) startQueued(now time.Time) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.backlogged) > 0 && q.mayStart(firstRank(i)) {
			req := c.next(now).front()
			start := !now.After(req.waitUntil)
			if start && !q.rate.Take(now) {
				return
			}
			if start {
				q.start(now, req)
			}
			q.remove(req)
			req.Admitted <- start
		}
	}
}

// Advance refuses the queued requests whose wait has ended and starts those that the rate
// limit now allows.
func (q *Queue) Advance(now time.Time) {
	for i := range q.classes {
		q.classes[i].each(func(req *Request) {
			if now.After(req.waitUntil) {
				q.remove(req)
				req.Admitted <- false
			}
		})
	}
	q.startQueued(now)
}

// RefuseAll refuses all queued requests.
func (q *Queue) RefuseAll() {
	for i := range q.classes {
		q.classes[i].each(func(req *Request) {
			q.remove(req)
			req.Admitted <- false
		})
	}
}
