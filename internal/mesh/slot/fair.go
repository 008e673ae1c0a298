package slot

import (
	"container/list"
	"time"
)

const (
	// ranksPerClass is the number of ranks of a priority class: requests that return after a
	// refusal, and those that come for the first time. Customers share a class, not a rank:
	// otherwise the returning requests of one that floods the server would go ahead of all others.
	ranksPerClass = 2
	classCount    = rankCount/ranksPerClass + 1
	// maxCredit bounds the share that a customer can save up, in work. It lets the burst of a
	// customer below its share go ahead of the requests of one above it. With less, short
	// bursts of customers below their share are refused.
	maxCredit = time.Second
	// contentionTime is how long shares are enforced after a class last asked for contentionLoad of
	// its slots. A shorter time would end between two bursts of a slight overload, and customers
	// below their share would have to wait.
	contentionTime = 3 * time.Second
	// contentionLoad is the part of the available slots that a class must ask for so that its
	// shares stay enforced.
	contentionLoad = 0.9
	// retentionTime is how long a customer without requests is remembered: eight times usageWindow,
	// after which its use has decayed to less than a thousandth.
	retentionTime = 4 * time.Second
	// maxIdleCustomers bounds the customers of a class that are remembered, except for those that
	// have queued requests.
	maxIdleCustomers = 2048
)

// class holds the requests of one priority class. While it is contended, it shares the slots
// between its customers by start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996). The virtual
// time of a class is the highest start tag of a request that started. The start tag of a customer's
// next request is the end of its last one in virtual time, but at most maxCredit before the virtual
// time when the request is queued. The request with the lowest start tag starts first.
//
// A class that is not contended starts requests by rank and deadline. All of them are served in
// time then, while fair queueing would let the largest customer alone wait for the bursts of all.
type class struct {
	virtual time.Duration // in work, as sums of run times
	// anonymous is the flow of the requests without a customer.
	anonymous  flow
	flows      map[string]*flow // of the customers
	backlogged []*flow          // those with queued requests
	sweptAt    time.Time
	used       usage // by the requests that started
	requested  usage // by all requests that found no free slot, also those that were refused
	// contendedUntil is when the order changes back to that of deadlines.
	contendedUntil time.Time
}

// flow is the state of a customer in a class.
type flow struct {
	tag     time.Duration                // start tag of the next request
	waiting [ranksPerClass]list.List     // by rank, each in order of Deadline
	work    [ranksPerClass]time.Duration // sum of ExpectedRunTime of the waiting requests, by rank
	queued  int                          // waiting requests of both ranks
	used    usage                        // by the requests that started
}

// classOf returns the class of a rank, and the index of the rank within it.
func classOf(rank int) (index, rankIndex int) {
	index = (rank + 1) / ranksPerClass
	return index, rank - firstRank(index)
}

// firstRank returns the first rank of a class. The class of nested requests has only one.
func firstRank(index int) int { return max(ranksPerClass*index-1, 0) }

// find returns the flow of a customer, or nil if it is not known.
func (c *class) find(customer string) *flow {
	if customer == "" {
		return &c.anonymous
	}
	return c.flows[customer]
}

// findOrAdd returns the flow of a customer.
func (c *class) findOrAdd(now time.Time, customer string) *flow {
	f := c.find(customer)
	if f != nil {
		return f
	}
	if c.flows == nil {
		c.flows = map[string]*flow{}
	}
	if len(c.flows) >= maxIdleCustomers {
		c.evictIdle(now)
	}
	f = &flow{used: usage{at: now}}
	c.flows[customer] = f
	return f
}

// evictIdle removes the customers without queued requests and recent use. If those are still too
// many, it removes others without queued requests.
func (c *class) evictIdle(now time.Time) {
	c.sweptAt = now
	for name, f := range c.flows {
		if f.queued == 0 && (now.Sub(f.used.at) > retentionTime || len(c.flows) >= maxIdleCustomers) {
			delete(c.flows, name)
		}
	}
}

// isShared reports whether customers share the class.
func (c *class) isShared() bool { return len(c.flows) > 0 }

// nextTag returns the start tag of the next request of a flow, which may be nil.
func (c *class) nextTag(f *flow) time.Duration {
	switch {
	case f == nil:
		return c.virtual - maxCredit
	case f.queued > 0:
		return f.tag
	}
	return max(f.tag, c.virtual-maxCredit)
}

// charge records that a request of a flow starts.
func (c *class) charge(f *flow, work time.Duration) {
	start := c.nextTag(f)
	c.virtual = max(c.virtual, start)
	f.tag = start + work
}

// next returns the flow whose first request starts next. There must be queued requests.
func (c *class) next(now time.Time) *flow {
	best := c.backlogged[0]
	contended := c.isContended(now)
	for _, f := range c.backlogged[1:] {
		if contended && f.tag != best.tag {
			if f.tag < best.tag {
				best = f
			}
		} else if f.front().before(best.front()) {
			best = f
		}
	}
	return best
}

// isContended reports whether the class shares the slots by customer.
func (c *class) isContended(now time.Time) bool { return now.Before(c.contendedUntil) }

// front returns the first queued request of a flow that has some.
func (f *flow) front() *Request {
	e := f.waiting[0].Front()
	if e == nil {
		e = f.waiting[1].Front()
	}
	return e.Value.(*Request)
}

// before reports whether r goes ahead of o by rank and deadline, regardless of their customers.
func (r *Request) before(o *Request) bool {
	if r.Rank != o.Rank {
		return r.Rank < o.Rank
	}
	return r.Deadline.Before(o.Deadline)
}

// insertionPoint returns the element of a flow after which a request belongs in its rank, or nil
// for the front, and the requests of the flow ahead of it. It searches from the back.
func (f *flow) insertionPoint(req *Request) (after *list.Element, ahead backlog) {
	_, rankIndex := classOf(req.Rank)
	for r := 0; r <= rankIndex; r++ {
		ahead.requests += f.waiting[r].Len()
		ahead.work += f.work[r]
	}
	after = f.waiting[rankIndex].Back()
	for after != nil && req.Deadline.Before(after.Value.(*Request).Deadline) {
		ahead.requests--
		ahead.work -= after.Value.(*Request).ExpectedRunTime
		after = after.Prev()
	}
	return after, ahead
}

// aheadOf returns the queued requests of a flow that start before a request with a start tag.
func (f *flow) aheadOf(req *Request, contended bool, tag time.Duration) (ahead backlog) {
	for r := range f.waiting {
		for e := f.waiting[r].Front(); e != nil; e = e.Next() {
			g := e.Value.(*Request)
			own := f.tag + ahead.work
			if contended && own > tag || !(contended && own < tag) && req.before(g) {
				return ahead
			}
			ahead.requests++
			ahead.work += g.ExpectedRunTime
		}
	}
	return ahead
}

// push queues a request of a flow after an element of its rank, or at the front.
func (c *class) push(f *flow, req *Request, after *list.Element) {
	_, rankIndex := classOf(req.Rank)
	if f.queued == 0 {
		f.tag = c.nextTag(f)
		c.backlogged = append(c.backlogged, f)
	}
	if after == nil {
		req.element = f.waiting[rankIndex].PushFront(req)
	} else {
		req.element = f.waiting[rankIndex].InsertAfter(req, after)
	}
	f.work[rankIndex] += req.ExpectedRunTime
	f.queued++
}

// pop removes a queued request.
func (c *class) pop(req *Request) {
	f := req.flow
	_, rankIndex := classOf(req.Rank)
	f.waiting[rankIndex].Remove(req.element)
	req.element = nil
	f.work[rankIndex] -= req.ExpectedRunTime
	if f.queued--; f.queued > 0 {
		return
	}
	for i, g := range c.backlogged {
		if g == f {
			last := len(c.backlogged) - 1
			c.backlogged[i] = c.backlogged[last]
			c.backlogged[last] = nil
			c.backlogged = c.backlogged[:last]
			return
		}
	}
}

// each calls visit for each queued request, which it may remove.
func (c *class) each(visit func(req *Request)) {
	for i := len(c.backlogged) - 1; i >= 0; i-- {
		f := c.backlogged[i]
		for r := range f.waiting {
			for e := f.waiting[r].Front(); e != nil; {
				next := e.Next()
				visit(e.Value.(*Request))
				e = next
			}
		}
	}
}
