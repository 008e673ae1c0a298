// Package admit decides which requests a backend server gets, and when.
//
// # Model
//
// A Gate stands before one backend server. It lets as many requests run as
// its limit says. The limit starts at the slots that the backend server
// announced and adapts below that: announced numbers may lie, so latency that
// grows well past its floor while the limit is in use lowers it, and calm
// raises it again. Further requests queue by priority, for a bounded time. A
// request with a higher priority displaces a queued one with the lowest. A
// request that can no longer be answered in its deadline is dropped before it
// starts.
//
// The gate's level is the lowest priority that it takes. It travels back on
// answers, so that entry nodes shed lower classes at the source.
//
// # Invariants
//
//   - A ticket is decided once: started, or refused with a reason.
//   - A refused ticket was never started.
//   - No ticket starts while one with a higher priority is queued.
//
// # Usage
//
//	g := admit.New(admit.WithSlots(20))
//	events := g.Offer(now, ticket)
//	events = g.Done(now, latency, overloaded)
//	events = g.Tick(now)
package admit

import (
	"math"
	"sort"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Tuning of the limit.
const (
	// windowTime and windowCalls end a measuring window, whichever is later.
	windowTime  = 100 * time.Millisecond
	windowCalls = 10
	// tolerance is how far latency may grow past its floor.
	tolerance = 2.0
	decrease  = 0.9
	// startShare is the share of the announced slots to begin with. From there
	// the limit doubles each window, so that the latency floor is learned below
	// the real capacity, whatever was announced, and a cold backend server is
	// not flooded.
	startShare = 0.25
	// leastShare is the share of the announced slots that the limit never goes
	// below. Latency that stays high there is not from queueing: the work has
	// changed, and its latency is the new floor.
	leastShare = 0.1
	// floorDrift lets the latency floor rise slowly, so that a change of the
	// work is learned.
	floorDrift = 1.0002
	// levelHold is how long a refusal raises the level.
	levelHold = 250 * time.Millisecond
	// seenHold is how long a priority counts as asking.
	seenHold = time.Second
	// serviceWeight is the weight of a new latency in the estimate of the
	// service time.
	serviceWeight = 0.1
)

// Ticket is a request that asks for a slot.
type Request struct {
	ID       uint64
	Priority int
	Deadline time.Time
	// QueueWait bounds the time in the queue and QueueLength the queue.
	QueueWait   time.Duration
	QueueLength int

	queuedAt time.Time
}

// Event tells what became of a ticket.
type Decision struct {
	ID uint64
	// Reason is empty for a ticket that starts now.
	Reason cicadaseam.Reason
	// Waited is the time in the queue.
	Waited time.Duration
}

// Gate is a plain state machine and is not safe for concurrent use.
type Controller struct {
	slots    int
	limit    float64
	running  int
	queues   map[int][]Request // by priority, oldest first
	queued   int
	draining bool

	windowStart time.Time
	windowSum   time.Duration
	windowCount int
	windowFull  bool // the limit was in use during the window
	starting    bool // the limit has not met its bound yet
	lowered     bool // the limit was already lowered in the window
	floor       time.Duration
	service     time.Duration

	// refusedAt and seenAt are the last refusal and the last offer of each
	// priority.
	refusedAt map[int]time.Time
	seenAt    map[int]time.Time
}

// Option changes a new Gate.
type Option func(*Controller)

// WithSlots sets the announced slots.
func WithSlots(n int) Option { return func(g *Controller) { g.SetSlots(n) } }

// New returns a gate with one slot.
func New(opts ...Option) *Controller {
	g := &Controller{
		slots:     1,
		limit:     1,
		queues:    map[int][]Request{},
		refusedAt: map[int]time.Time{},
		seenAt:    map[int]time.Time{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetSlots changes the announced slots.
func (g *Controller) SetSlots(n int) {
	n = max(n, 1)
	if n == g.slots {
		return
	}
	g.slots = n
	g.limit = math.Max(float64(n)*startShare, 1)
	g.starting = true
}

// Load returns what the target tells about itself.
func (g *Controller) Load(now time.Time) cicadaseam.Load {
	return cicadaseam.Load{InFlight: g.running, Limit: g.Limit(), Queued: g.queued, MinPriority: g.MinPriority(now)}
}

// Limit returns how many requests may run at once.
func (g *Controller) Limit() int { return max(int(g.limit), 1) }

// Running returns how many requests run.
func (g *Controller) Running() int { return g.running }

// Level returns the lowest priority that the gate takes: above each priority
// that it refused of late, but never above the highest one that asks, which
// would shed everybody.
func (g *Controller) MinPriority(now time.Time) int {
	top := 0
	for p, at := range g.seenAt {
		if now.Sub(at) <= seenHold {
			top = max(top, p)
		}
	}
	level := 0
	for p, at := range g.refusedAt {
		if now.Sub(at) <= levelHold {
			level = max(level, p+1)
		}
	}
	return min(level, top)
}

// Drain refuses all queued tickets and every one from now on.
func (g *Controller) Drain(now time.Time) []Decision {
	g.draining = true
	var events []Decision
	for _, p := range g.priorities() {
		for _, t := range g.queues[p] {
			events = append(events, Decision{ID: t.ID, Reason: cicadaseam.ReasonDraining, Waited: now.Sub(t.queuedAt)})
		}
	}
	g.queues = map[int][]Request{}
	g.queued = 0
	return events
}

// Resume takes requests again after Drain.
func (g *Controller) Resume() { g.draining = false }

// Offer asks for a slot.
func (g *Controller) Admit(now time.Time, t Request) []Decision {
	if g.draining {
		return []Decision{{ID: t.ID, Reason: cicadaseam.ReasonDraining}}
	}
	g.seenAt[t.Priority] = now
	if g.hopeless(now, t) {
		return []Decision{{ID: t.ID, Reason: cicadaseam.ReasonDeadline}}
	}
	if g.running < g.Limit() && g.queued == 0 {
		g.running++
		return []Decision{{ID: t.ID}}
	}
	g.windowFull = true
	events := g.enqueue(now, t)
	return append(events, g.fill(now)...)
}

// enqueue puts a ticket in the queue, in place of a lower one when it is full.
func (g *Controller) enqueue(now time.Time, t Request) []Decision {
	t.queuedAt = now
	if t.QueueWait <= 0 {
		return g.refuse(now, t, cicadaseam.ReasonQueueFull)
	}
	if g.queued < t.QueueLength {
		g.push(t)
		return nil
	}
	lowest, ok := g.lowest()
	if !ok || lowest >= t.Priority {
		return g.refuse(now, t, cicadaseam.ReasonQueueFull)
	}
	queue := g.queues[lowest]
	victim := queue[len(queue)-1]
	g.setQueue(lowest, queue[:len(queue)-1])
	g.queued--
	g.push(t)
	return g.refuse(now, victim, cicadaseam.ReasonDisplaced)
}

func (g *Controller) push(t Request) {
	g.queues[t.Priority] = append(g.queues[t.Priority], t)
	g.queued++
}

func (g *Controller) setQueue(priority int, queue []Request) {
	if len(queue) == 0 {
		delete(g.queues, priority)
		return
	}
	g.queues[priority] = queue
}

func (g *Controller) lowest() (int, bool) {
	low, found := math.MaxInt, false
	for p := range g.queues {
		low, found = min(low, p), true
	}
	return low, found
}

// priorities returns the queued priorities from high to low.
func (g *Controller) priorities() []int {
	out := make([]int, 0, len(g.queues))
	for p := range g.queues {
		out = append(out, p)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(out)))
	return out
}

func (g *Controller) refuse(now time.Time, t Request, reason cicadaseam.Reason) []Decision {
	g.refusedAt[t.Priority] = now
	return []Decision{{ID: t.ID, Reason: reason, Waited: now.Sub(t.queuedAt)}}
}

// hopeless reports whether a ticket can no longer be answered in its deadline.
func (g *Controller) hopeless(now time.Time, t Request) bool {
	return !t.Deadline.IsZero() && now.Add(g.service/2).After(t.Deadline)
}

// fill starts queued tickets while slots are free.
func (g *Controller) fill(now time.Time) []Decision {
	var events []Decision
	for _, p := range g.priorities() {
		for len(g.queues[p]) > 0 && g.running < g.Limit() {
			t := g.queues[p][0]
			g.setQueue(p, g.queues[p][1:])
			g.queued--
			if g.hopeless(now, t) {
				events = append(events, g.refuse(now, t, cicadaseam.ReasonDeadline)...)
				continue
			}
			g.running++
			events = append(events, Decision{ID: t.ID, Waited: now.Sub(t.queuedAt)})
		}
	}
	return events
}

// Withdraw takes a ticket out of the queue. It returns false when the ticket
// is not queued.
func (g *Controller) Cancel(id uint64) bool {
	for p, queue := range g.queues {
		for i, t := range queue {
			if t.ID != id {
				continue
			}
			rest := append(append([]Request(nil), queue[:i]...), queue[i+1:]...)
			g.setQueue(p, rest)
			g.queued--
			return true
		}
	}
	return false
}

// Release gives a slot back without a measurement: the request was not run.
func (g *Controller) Release(now time.Time) []Decision {
	g.running--
	return g.fill(now)
}

// Done gives a slot back after a run. Overloaded is set when the backend
// server said that it is.
func (g *Controller) Done(now time.Time, latency time.Duration, overloaded bool) []Decision {
	g.running--
	g.measure(now, latency)
	if overloaded {
		g.lower()
	}
	return g.fill(now)
}

func (g *Controller) measure(now time.Time, latency time.Duration) {
	if g.service == 0 {
		g.service = latency
	}
	g.service += time.Duration(serviceWeight * float64(latency-g.service))
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	g.windowSum += latency
	g.windowCount++
	if g.running+1 >= g.Limit() {
		g.windowFull = true
	}
	if g.windowCount >= windowCalls && now.Sub(g.windowStart) >= windowTime {
		g.endWindow(now)
	}
}

// endWindow adapts the limit to the mean latency of the window.
func (g *Controller) endWindow(now time.Time) {
	mean := g.windowSum / time.Duration(g.windowCount)
	if g.floor == 0 || mean < g.floor {
		g.floor = mean
	}
	slow := float64(mean) > tolerance*float64(g.floor)
	switch {
	case slow && g.windowFull && g.limit <= g.least():
		g.floor = mean
	case slow && g.windowFull:
		g.lower()
	case !slow && g.windowFull && !g.lowered:
		g.raise()
	}
	g.floor = time.Duration(floorDrift * float64(g.floor))
	g.windowStart = now
	g.windowSum, g.windowCount = 0, 0
	g.windowFull, g.lowered = false, false
}

// raise grows the limit up to the announced slots.
func (g *Controller) raise() {
	if g.starting {
		g.limit *= 2
	} else {
		g.limit++
	}
	g.limit = math.Min(g.limit, float64(g.slots))
}

// lower shrinks the limit once a window.
func (g *Controller) lower() {
	g.starting = false
	if g.lowered {
		return
	}
	g.lowered = true
	g.limit = math.Max(g.limit*decrease, g.least())
}

func (g *Controller) least() float64 {
	return math.Max(leastShare*float64(g.slots), 1)
}

// Tick drops tickets that waited too long.
func (g *Controller) Tick(now time.Time) []Decision {
	var events []Decision
	for _, p := range g.priorities() {
		var keep []Request
		for _, t := range g.queues[p] {
			switch {
			case g.hopeless(now, t):
				events = append(events, g.refuse(now, t, cicadaseam.ReasonDeadline)...)
			case now.Sub(t.queuedAt) >= t.QueueWait:
				events = append(events, g.refuse(now, t, cicadaseam.ReasonQueueTimeout)...)
			default:
				keep = append(keep, t)
				continue
			}
			g.queued--
		}
		g.setQueue(p, keep)
	}
	return append(events, g.fill(now)...)
}
