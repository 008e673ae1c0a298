package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// load drives one gate and one backend server in virtual time.
type load struct {
	gate     *Controller
	rng      *rand.Rand
	now      time.Time
	queue    events
	slots    int           // what the backend server can really run at once
	service  time.Duration // mean time of a request when it is not overloaded
	deadline time.Duration
	running  int
	classes  []class
	calls    map[uint64]*call
	seq      uint64
}

type class struct {
	priority int
	share    float64 // of the capacity, at 1x
	offered  int
	good     int
	shed     int
}

type call struct {
	class   *class
	began   time.Time
	started time.Time
}

type event struct {
	at   time.Time
	id   uint64 // call that ends, 0 for an arrival or a tick
	from *class // class that arrives
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const tick = 10 * time.Millisecond

// run offers calls at a multiple of the capacity.
func (l *load) run(multiple float64, length time.Duration) {
	if l.calls == nil {
		l.now = time.Unix(0, 0)
		l.calls = map[uint64]*call{}
	}
	l.queue = slices.DeleteFunc(l.queue, func(e event) bool { return e.id == 0 })
	heap.Init(&l.queue)
	end := l.now.Add(length)
	for i := range l.classes {
		l.arrive(&l.classes[i], multiple)
	}
	heap.Push(&l.queue, event{at: l.now})
	for l.queue[0].at.Before(end) {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		switch {
		case e.from != nil:
			l.offer(e.from)
			l.arrive(e.from, multiple)
		case e.id != 0:
			l.finish(e.id)
		default:
			l.take(l.gate.Tick(l.now))
			heap.Push(&l.queue, event{at: l.now.Add(tick)})
		}
	}
}

func (l *load) arrive(c *class, multiple float64) {
	capacity := float64(l.slots) / l.service.Seconds()
	rate := capacity * c.share * multiple
	heap.Push(&l.queue, event{at: l.now.Add(time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))), from: c})
}

// offer sheds at the source as an entry node does, or asks the gate.
func (l *load) offer(c *class) {
	c.offered++
	const pass = 0.1
	if l.gate.MinPriority(l.now) > c.priority && l.rng.Float64() >= pass {
		c.shed++
		return
	}
	l.seq++
	l.calls[l.seq] = &call{class: c, began: l.now}
	l.take(l.gate.Admit(l.now, Request{
		ID: l.seq, Priority: c.priority, Deadline: l.now.Add(l.deadline),
		QueueWait: l.deadline / 2, QueueLength: 200,
	}))
}

func (l *load) take(decided []Decision) {
	for _, d := range decided {
		c := l.calls[d.ID]
		if d.Reason != cicadaseam.ReasonNone {
			delete(l.calls, d.ID)
			continue
		}
		c.started = l.now
		l.running++
		// Past its real slots the backend server shares them.
		stretch := math.Max(1, float64(l.running)/float64(l.slots))
		took := time.Duration((0.5 + 0.5*l.rng.ExpFloat64()) * stretch * float64(l.service))
		heap.Push(&l.queue, event{at: l.now.Add(took), id: d.ID})
	}
}

func (l *load) finish(id uint64) {
	c := l.calls[id]
	delete(l.calls, id)
	l.running--
	if l.now.Sub(c.began) <= l.deadline {
		c.class.good++
	}
	l.take(l.gate.Done(l.now, l.now.Sub(c.started), false))
}

func newLoad(announced, slots int) *load {
	return &load{
		gate: New(WithSlots(announced)), rng: rand.New(rand.NewPCG(1, 1)), slots: slots,
		service: 20 * time.Millisecond, deadline: 400 * time.Millisecond,
		classes: []class{{priority: 30, share: 0.2}, {priority: 20, share: 0.3}, {priority: 10, share: 0.5}},
	}
}

func (l *load) totals() (good, offered int) {
	for _, c := range l.classes {
		good += c.good
		offered += c.offered
	}
	return good, offered
}

func TestPriorityAndUsefulWorkUnderOverload(t *testing.T) {
	const length = 30 * time.Second
	useful := map[float64]int{}
	for _, announced := range []int{20, 60} { // 60 is a lie: it has 20 slots
		for _, multiple := range []float64{1, 2, 4} {
			l := newLoad(announced, 20)
			l.run(multiple, length)
			good, offered := l.totals()
			top, low := l.classes[0], l.classes[2]
			topShare := float64(top.good) / float64(top.offered)
			lowShare := float64(low.good) / float64(low.offered)
			t.Logf("announced %d, %gx: %d of %d good; highest class %.2f%%, lowest %.2f%% (%d shed at the source), limit %d",
				announced, multiple, good, offered, 100*topShare, 100*lowShare, low.shed, l.gate.Limit())
			if announced == 20 {
				useful[multiple] = good
			}
			require.GreaterOrEqual(t, topShare, 0.99, "the demand of the highest class fits: %g of the capacity", 0.2*multiple)
			require.GreaterOrEqual(t, good, useful[1]*9/10, "useful work at %gx", multiple)
			if multiple == 1 {
				require.Positive(t, low.good)
			}
			// Latency may grow to twice its floor, at twice the real slots.
			require.LessOrEqual(t, l.gate.Limit(), 2*20+5, "a lie about the slots is found out")
		}
	}
}

// Work that becomes five times slower for good is not taken for queueing.
func TestSlowerWorkIsLearned(t *testing.T) {
	l := newLoad(20, 20)
	l.run(0.9, 10*time.Second)
	l.service *= 5
	l.run(0.9, 20*time.Second)
	for i := range l.classes {
		l.classes[i].good, l.classes[i].offered = 0, 0
	}
	l.run(0.9, 20*time.Second)
	good, offered := l.totals()
	t.Logf("five times slower, 0.9x of what is left: %d of %d good, limit %d", good, offered, l.gate.Limit())
	require.GreaterOrEqual(t, good, offered*9/10)
}

func TestTicketsAreDecidedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	g := New(WithSlots(3))
	g.limit = 3
	now := time.Unix(0, 0)
	open := map[uint64]bool{} // offered, not decided
	running := map[uint64]bool{}
	take := func(decided []Decision) {
		for _, d := range decided {
			require.True(t, open[d.ID], "ticket %d is decided twice", d.ID)
			delete(open, d.ID)
			if d.Reason == cicadaseam.ReasonNone {
				running[d.ID] = true
			}
		}
	}
	for id := uint64(1); id < 20000; id++ {
		now = now.Add(time.Duration(rng.IntN(3)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0:
			take(g.Tick(now))
		case 1, 2:
			open[id] = true
			take(g.Admit(now, Request{ID: id, Priority: rng.IntN(3), Deadline: now.Add(time.Duration(rng.IntN(50)) * time.Millisecond), QueueWait: 20 * time.Millisecond, QueueLength: 4}))
		case 3:
			for r := range running {
				delete(running, r)
				take(g.Done(now, 2*time.Millisecond, rng.IntN(10) == 0))
				break
			}
		case 4:
			if rng.IntN(400) == 0 {
				take(g.Drain(now))
				require.Empty(t, open)
				g.Resume()
			}
		}
		require.LessOrEqual(t, len(running), 3)
		require.Equal(t, len(running), g.Running())
	}
}

func TestHigherClassDisplacesAndGoesFirst(t *testing.T) {
	now := time.Unix(0, 0)
	g := New(WithSlots(1))
	ticket := func(id uint64, priority int) Request {
		return Request{ID: id, Priority: priority, Deadline: now.Add(time.Second), QueueWait: time.Second, QueueLength: 2}
	}
	require.Equal(t, []Decision{{ID: 1}}, g.Admit(now, ticket(1, 1)))
	require.Empty(t, g.Admit(now, ticket(2, 1)))
	require.Empty(t, g.Admit(now, ticket(3, 1)))
	require.Equal(t, []Decision{{ID: 3, Reason: cicadaseam.ReasonDisplaced}}, g.Admit(now, ticket(4, 2)), "the youngest of the lowest class gives way")
	require.Equal(t, []Decision{{ID: 5, Reason: cicadaseam.ReasonQueueFull}}, g.Admit(now, ticket(5, 1)))
	require.Equal(t, []Decision{{ID: 4}}, g.Done(now, time.Millisecond, false), "the higher class goes first")
	require.True(t, g.Cancel(2))
	require.False(t, g.Cancel(2))
}
