// Package admit implements admission control for one backend server: it decides
// which requests run, and when.
//
// # Model
//
// A Controller limits the requests in flight at one backend server. Its
// concurrency limit starts at a quarter of the slots that the backend server
// announced and adapts; the announced slots are its upper bound. They cannot be
// trusted, so the limit is lowered when latency rises well above its floor while
// the limit is reached, and raised again while latency stays near the floor.
// Requests over the limit queue by priority, for a bounded time. When the queue
// is full, a request displaces the youngest queued request of the lowest
// priority, if that is lower than its own. A request that can no longer be
// answered before its deadline is refused instead of started.
//
// A backend server may also limit the requests that it takes in a second (SetRate).
// Requests wait for that limit in the same queue, and Tick must then be called
// periodically while requests are queued.
//
// MinPriority is the lowest priority that the controller accepts at present. It
// is returned with each answer, so that entry nodes shed requests of lower
// priority before sending them.
//
// # Invariants
//
//   - A request is decided once, unless it is canceled before: it is started, or
//     refused with a reason.
//   - A refused request was never started.
//   - No request starts while one with a higher priority is queued.
//
// # Usage
//
//	c := admit.New(admit.WithSlots(20))
//	decisions := c.Admit(now, request)
//	decisions = c.Done(now, latency, overloaded)
//	decisions = c.Tick(now)
package admit

import (
	"math"
	"sort"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
)

// Parameters of the adaptive concurrency limit.
const (
	// A measuring window ends when it has lasted minWindow and holds
	// minWindowCalls finished requests.
	minWindow      = 100 * time.Millisecond
	minWindowCalls = 10
	// latencyTolerance is the ratio of a window's mean latency to the latency
	// floor above which the window counts as slow.
	latencyTolerance = 2.0
	// decreaseFactor multiplies the limit when it is lowered.
	decreaseFactor = 0.9
	// initialShare is the share of the announced slots that the limit starts
	// at. From there it doubles in each window. Starting low measures the latency
	// floor below the real capacity, whatever was announced, and does not flood a
	// cold backend server.
	initialShare = 0.25
	// minShare is the share of the announced slots below which the limit is never
	// lowered. Latency that stays high there does not come from queueing: the
	// requests have become slower, and their latency is the new floor.
	minShare = 0.1
	// floorDrift multiplies the latency floor after each window, so that it
	// slowly follows requests that become slower.
	floorDrift = 1.0002
	// refusalTTL is how long a refused priority keeps MinPriority above it.
	refusalTTL = 250 * time.Millisecond
	// offerTTL is how long a priority counts as in use after its last request.
	offerTTL = time.Second
	// serviceTimeWeight is the weight of the newest latency in the moving average
	// of the service time.
	serviceTimeWeight = 0.1
)

// Request is a request for a slot of the backend server.
type Request struct {
	ID       uint64
	Priority int // a higher number goes first
	Deadline time.Time
	// QueueWait bounds the time that the request may queue; a request without it
	// is refused when no slot is free.
	QueueWait time.Duration
	// QueueLength bounds the number of queued requests, of all priorities, that
	// this request may join without displacing one.
	QueueLength int

	queuedAt time.Time
}

// Decision says whether a request starts or is refused.
type Decision struct {
	ID uint64
	// Reason is empty for a request that starts now.
	Reason cicadaseam.Reason
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Controller admits the requests of one backend server. It is a plain state
// machine that reads no clock, and is not safe for concurrent use.
type Controller struct {
	slots    int
	limit    float64
	running  int
	queues   map[int][]Request // by priority, oldest first
	queued   int
	draining bool
	rate     ratelimit.Limiter

	windowStart  time.Time
	windowSum    time.Duration
	windowCount  int
	limitReached bool          // in the current window
	slowStart    bool          // the limit has not been lowered since the slots were set
	lowered      bool          // the limit was already lowered in the current window
	latencyFloor time.Duration // lowest mean latency of a window
	serviceTime  time.Duration // moving average

	// refusedAt and offeredAt are the times of the last refusal and of the last
	// Admit call of each priority.
	refusedAt map[int]time.Time
	offeredAt map[int]time.Time
}

// Option configures a new Controller.
type Option func(*Controller)

// WithSlots sets the number of slots that the backend server announced.
func WithSlots(n int) Option { return func(c *Controller) { c.SetSlots(n) } }

// New returns a Controller with one slot, unless an option sets another number.
func New(opts ...Option) *Controller {
	c := &Controller{
		slots:     1,
		limit:     1,
		queues:    map[int][]Request{},
		refusedAt: map[int]time.Time{},
		offeredAt: map[int]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetSlots changes the announced slots. If n is a new number, the limit is reset to
// initialShare of it and doubles again until latency rises.
func (c *Controller) SetSlots(n int) {
	n = max(n, 1)
	if n == c.slots {
		return
	}
	c.slots = n
	c.limit = math.Max(float64(n)*initialShare, 1)
	c.slowStart = true
}

// SetRate limits the requests that start in a second; 0 removes the limit. It returns the
// decisions on queued requests.
func (c *Controller) SetRate(now time.Time, perSecond float64) []Decision {
	c.rate.Set(now, perSecond)
	return c.startQueued(now)
}

// HasRate reports whether the requests that start in a second are limited.
func (c *Controller) HasRate() bool { return c.rate.IsSet() }

// Load returns the load that is reported to entry nodes with each answer.
func (c *Controller) Load(now time.Time) cicadaseam.Load {
	return cicadaseam.Load{InFlight: c.running, Limit: c.Limit(), Queued: c.queued, MinPriority: c.MinPriority(now)}
}

// Limit returns the concurrency limit, which is at least 1.
func (c *Controller) Limit() int { return max(int(c.limit), 1) }

// Running returns the number of requests in flight.
func (c *Controller) Running() int { return c.running }

// MinPriority returns the lowest priority that is accepted at present: one above
// the highest priority refused within refusalTTL, but not above the highest
// priority offered within offerTTL, since that would shed all requests.
func (c *Controller) MinPriority(now time.Time) int {
	highest := 0
	for p, at := range c.offeredAt {
		if now.Sub(at) <= offerTTL {
			highest = max(highest, p)
		}
	}
	minPriority := 0
	for p, at := range c.refusedAt {
		if now.Sub(at) <= refusalTTL {
			minPriority = max(minPriority, p+1)
		}
	}
	return min(minPriority, highest)
}

// Drain refuses all queued requests, and every new one until Resume.
func (c *Controller) Drain(now time.Time) []Decision {
	c.draining = true
	var decisions []Decision
	for _, p := range c.queuedPriorities() {
		for _, r := range c.queues[p] {
			decisions = append(decisions, Decision{ID: r.ID, Reason: cicadaseam.ReasonDraining, Waited: now.Sub(r.queuedAt)})
		}
	}
	c.queues = map[int][]Request{}
	c.queued = 0
	return decisions
}

// Resume accepts requests again after Drain.
func (c *Controller) Resume() { c.draining = false }

// Admit asks for a slot for a request. It returns the decisions made at once, which
// may include those on other requests. If none is on r, r has been queued.
func (c *Controller) Admit(now time.Time, r Request) []Decision {
	if c.draining {
		return []Decision{{ID: r.ID, Reason: cicadaseam.ReasonDraining}}
	}
	c.offeredAt[r.Priority] = now
	if c.missesDeadline(now, r) {
		return []Decision{{ID: r.ID, Reason: cicadaseam.ReasonDeadline}}
	}
	if c.running < c.Limit() && c.queued == 0 && c.rate.Take(now) {
		c.running++
		return []Decision{{ID: r.ID}}
	}
	if c.rate.IsSet() && c.rate.Wait(now, c.queued) > r.QueueWait {
		return []Decision{{ID: r.ID, Reason: cicadaseam.ReasonRateLimit}} // other backend servers may have room
	}
	if c.running >= c.Limit() {
		c.limitReached = true
	}
	decisions := c.enqueue(now, r)
	return append(decisions, c.startQueued(now)...)
}

// enqueue queues a request. When the queue is full, the request displaces the
// youngest one of the lowest priority, or is refused if that is not below its own.
func (c *Controller) enqueue(now time.Time, r Request) []Decision {
	r.queuedAt = now
	if r.QueueWait <= 0 {
		return c.refuse(now, r, cicadaseam.ReasonQueueFull)
	}
	if c.queued < r.QueueLength {
		c.push(r)
		return nil
	}
	lowest, ok := c.lowestQueued()
	if !ok || lowest >= r.Priority {
		return c.refuse(now, r, cicadaseam.ReasonQueueFull)
	}
	queue := c.queues[lowest]
	displaced := queue[len(queue)-1]
	c.setQueue(lowest, queue[:len(queue)-1])
	c.queued--
	c.push(r)
	return c.refuse(now, displaced, cicadaseam.ReasonDisplaced)
}

func (c *Controller) push(r Request) {
	c.queues[r.Priority] = append(c.queues[r.Priority], r)
	c.queued++
}

func (c *Controller) setQueue(priority int, queue []Request) {
	if len(queue) == 0 {
		delete(c.queues, priority)
		return
	}
	c.queues[priority] = queue
}

func (c *Controller) lowestQueued() (int, bool) {
	lowest, found := math.MaxInt, false
	for p := range c.queues {
		lowest, found = min(lowest, p), true
	}
	return lowest, found
}

// queuedPriorities returns the priorities of the queued requests, highest first.
func (c *Controller) queuedPriorities() []int {
	out := make([]int, 0, len(c.queues))
	for p := range c.queues {
		out = append(out, p)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(out)))
	return out
}

// refuse returns the refusal of a request and notes its time for MinPriority.
func (c *Controller) refuse(now time.Time, r Request, reason cicadaseam.Reason) []Decision {
	c.refusedAt[r.Priority] = now
	return []Decision{{ID: r.ID, Reason: reason, Waited: now.Sub(r.queuedAt)}}
}

// missesDeadline reports whether less than half of the mean service time is left
// before the deadline of a request.
func (c *Controller) missesDeadline(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(c.serviceTime/2).After(r.Deadline)
}

// startQueued starts queued requests while slots are free and the rate limit allows
// it, the highest priority first, and refuses those that would miss their deadlines.
func (c *Controller) startQueued(now time.Time) []Decision {
	var decisions []Decision
	for _, p := range c.queuedPriorities() {
		for len(c.queues[p]) > 0 && c.running < c.Limit() {
			r := c.queues[p][0]
			late := c.missesDeadline(now, r)
			if !late && !c.rate.Take(now) {
				return decisions
			}
			c.setQueue(p, c.queues[p][1:])
			c.queued--
			if late {
				decisions = append(decisions, c.refuse(now, r, cicadaseam.ReasonDeadline)...)
				continue
			}
			c.running++
			decisions = append(decisions, Decision{ID: r.ID, Waited: now.Sub(r.queuedAt)})
		}
	}
	return decisions
}

// Cancel removes a request from the queue. It returns false if the request is not
// queued.
func (c *Controller) Cancel(id uint64) bool {
	for p, queue := range c.queues {
		for i, r := range queue {
			if r.ID != id {
				continue
			}
			rest := append(append([]Request(nil), queue[:i]...), queue[i+1:]...)
			c.setQueue(p, rest)
			c.queued--
			return true
		}
	}
	return false
}

// Release frees the slot of a request that was started but not sent to the backend
// server. Its latency is not measured.
func (c *Controller) Release(now time.Time) []Decision {
	c.running--
	return c.startQueued(now)
}

// Done frees the slot of a request that has run. overloaded is set when the
// backend server reported that it is overloaded, which lowers the limit.
func (c *Controller) Done(now time.Time, latency time.Duration, overloaded bool) []Decision {
	c.running--
	c.recordLatency(now, latency)
	if overloaded {
		c.lowerLimit()
	}
	return c.startQueued(now)
}

func (c *Controller) recordLatency(now time.Time, latency time.Duration) {
	if c.serviceTime == 0 {
		c.serviceTime = latency
	}
	c.serviceTime += time.Duration(serviceTimeWeight * float64(latency-c.serviceTime))
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	c.windowSum += latency
	c.windowCount++
	if c.running+1 >= c.Limit() { // running no longer counts the finished request
		c.limitReached = true
	}
	if c.windowCount >= minWindowCalls && now.Sub(c.windowStart) >= minWindow {
		c.endWindow(now)
	}
}

// endWindow adjusts the limit to the mean latency of the window, if the limit was
// reached in it. A slow window at the lowest limit raises the latency floor instead.
func (c *Controller) endWindow(now time.Time) {
	mean := c.windowSum / time.Duration(c.windowCount)
	if c.latencyFloor == 0 || mean < c.latencyFloor {
		c.latencyFloor = mean
	}
	slow := float64(mean) > latencyTolerance*float64(c.latencyFloor)
	switch {
	case slow && c.limitReached && c.limit <= c.minLimit():
		c.latencyFloor = mean
	case slow && c.limitReached:
		c.lowerLimit()
	case !slow && c.limitReached && !c.lowered:
		c.raiseLimit()
	}
	c.latencyFloor = time.Duration(floorDrift * float64(c.latencyFloor))
	c.windowStart = now
	c.windowSum, c.windowCount = 0, 0
	c.limitReached, c.lowered = false, false
}

// raiseLimit doubles the limit during slow start and increments it afterwards, up
// to the announced slots.
func (c *Controller) raiseLimit() {
	if c.slowStart {
		c.limit *= 2
	} else {
		c.limit++
	}
	c.limit = math.Min(c.limit, float64(c.slots))
}

// lowerLimit ends slow start and lowers the limit, at most once in a window.
func (c *Controller) lowerLimit() {
	c.slowStart = false
	if c.lowered {
		return
	}
	c.lowered = true
	c.limit = math.Max(c.limit*decreaseFactor, c.minLimit())
}

func (c *Controller) minLimit() float64 {
	return math.Max(minShare*float64(c.slots), 1)
}

// Tick refuses queued requests that have waited too long or would miss their
// deadlines, and starts others if slots are free.
func (c *Controller) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, p := range c.queuedPriorities() {
		var keep []Request
		for _, r := range c.queues[p] {
			switch {
			case c.missesDeadline(now, r):
				decisions = append(decisions, c.refuse(now, r, cicadaseam.ReasonDeadline)...)
			case now.Sub(r.queuedAt) >= r.QueueWait:
				decisions = append(decisions, c.refuse(now, r, cicadaseam.ReasonQueueTimeout)...)
			default:
				keep = append(keep, r)
				continue
			}
			c.queued--
		}
		c.setQueue(p, keep)
	}
	return append(decisions, c.startQueued(now)...)
}
