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

// simulation drives one Controller and one backend server in virtual time.
type simulation struct {
	controller *Controller
	rng        *rand.Rand
	now        time.Time
	queue      events
	slots      int           // real capacity; the announced slots may differ
	service    time.Duration // mean service time when the backend server is not overloaded
	deadline   time.Duration
	running    int
	classes    []class
	calls      map[uint64]*call
	seq        uint64
}

type class struct {
	priority int
	share    float64 // share of the backend server's capacity that it offers at 1x
	offered  int
	good     int // answered before the deadline
	shed     int // refused at the source
}

type call struct {
	class   *class
	began   time.Time
	started time.Time
}

type event struct {
	at    time.Time
	id    uint64 // the call that ends; 0 for an arrival or a tick
	class *class // the class that offers a call; nil for an end or a tick
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

// run offers calls for a time, at a multiple of the backend server's capacity.
func (s *simulation) run(multiple float64, length time.Duration) {
	if s.calls == nil {
		s.now = time.Unix(0, 0)
		s.calls = map[uint64]*call{}
	}
	s.queue = slices.DeleteFunc(s.queue, func(e event) bool { return e.id == 0 })
	heap.Init(&s.queue)
	end := s.now.Add(length)
	for i := range s.classes {
		s.scheduleArrival(&s.classes[i], multiple)
	}
	heap.Push(&s.queue, event{at: s.now})
	for s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		switch {
		case e.class != nil:
			s.offer(e.class)
			s.scheduleArrival(e.class, multiple)
		case e.id != 0:
			s.finish(e.id)
		default:
			s.apply(s.controller.Tick(s.now))
			heap.Push(&s.queue, event{at: s.now.Add(tick)})
		}
	}
}

func (s *simulation) scheduleArrival(c *class, multiple float64) {
	capacity := float64(s.slots) / s.service.Seconds()
	rate := capacity * c.share * multiple
	heap.Push(&s.queue, event{at: s.now.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))), class: c})
}

// offer sheds a call at the source, as an entry node does, or passes it to the
// controller.
func (s *simulation) offer(c *class) {
	c.offered++
	const shedProbeShare = 0.1
	if s.controller.MinPriority(s.now) > c.priority && s.rng.Float64() >= shedProbeShare {
		c.shed++
		return
	}
	s.seq++
	s.calls[s.seq] = &call{class: c, began: s.now}
	s.apply(s.controller.Admit(s.now, Request{
		ID: s.seq, Priority: c.priority, Deadline: s.now.Add(s.deadline),
		QueueWait: s.deadline / 2, QueueLength: 200,
	}))
}

func (s *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		c := s.calls[d.ID]
		if d.Reason != cicadaseam.ReasonNone {
			delete(s.calls, d.ID)
			continue
		}
		c.started = s.now
		s.running++
		// A backend server over its real slots slows all its requests down.
		stretch := math.Max(1, float64(s.running)/float64(s.slots))
		took := time.Duration((0.5 + 0.5*s.rng.ExpFloat64()) * stretch * float64(s.service))
		heap.Push(&s.queue, event{at: s.now.Add(took), id: d.ID})
	}
}

func (s *simulation) finish(id uint64) {
	c := s.calls[id]
	delete(s.calls, id)
	s.running--
	if s.now.Sub(c.began) <= s.deadline {
		c.class.good++
	}
	s.apply(s.controller.Done(s.now, s.now.Sub(c.started), false))
}

func newSimulation(announced, slots int) *simulation {
	return &simulation{
		controller: New(WithSlots(announced)), rng: rand.New(rand.NewPCG(1, 1)), slots: slots,
		service: 20 * time.Millisecond, deadline: 400 * time.Millisecond,
		classes: []class{{priority: 30, share: 0.2}, {priority: 20, share: 0.3}, {priority: 10, share: 0.5}},
	}
}

func (s *simulation) totals() (good, offered int) {
	for _, c := range s.classes {
		good += c.good
		offered += c.offered
	}
	return good, offered
}

// Under overload the highest class must be served and goodput must not collapse,
// also when the backend server announced three times the slots that it has.
func TestPriorityAndUsefulWorkUnderOverload(t *testing.T) {
	const length = 30 * time.Second
	goodput := map[float64]int{}
	for _, announced := range []int{20, 60} { // the backend server has 20 slots
		for _, multiple := range []float64{1, 2, 4} {
			s := newSimulation(announced, 20)
			s.run(multiple, length)
			good, offered := s.totals()
			top, low := s.classes[0], s.classes[2]
			topShare := float64(top.good) / float64(top.offered)
			lowShare := float64(low.good) / float64(low.offered)
			t.Logf("announced %d, %gx: %d of %d good; highest class %.2f%%, lowest %.2f%% (%d shed at the source), limit %d",
				announced, multiple, good, offered, 100*topShare, 100*lowShare, low.shed, s.controller.Limit())
			if announced == 20 {
				goodput[multiple] = good
			}
			require.GreaterOrEqual(t, topShare, 0.99, "the highest class offers only %g of the capacity", 0.2*multiple)
			require.GreaterOrEqual(t, good, goodput[1]*9/10, "goodput at %gx", multiple)
			if multiple == 1 {
				require.Positive(t, low.good)
			}
			// latencyTolerance allows twice the latency floor, which is reached
			// at twice the real slots.
			require.LessOrEqual(t, s.controller.Limit(), 2*20+5, "the limit follows the real capacity")
		}
	}
}

// When requests become five times slower and stay so, the higher latency must not be
// taken for queueing, which would keep the limit down for good.
func TestLimitRecoversWhenRequestsBecomeSlower(t *testing.T) {
	s := newSimulation(20, 20)
	s.run(0.9, 10*time.Second)
	s.service *= 5
	s.run(0.9, 20*time.Second)
	for i := range s.classes {
		s.classes[i].good, s.classes[i].offered = 0, 0
	}
	s.run(0.9, 20*time.Second)
	good, offered := s.totals()
	t.Logf("five times slower, 0.9x of the remaining capacity: %d of %d good, limit %d", good, offered, s.controller.Limit())
	require.GreaterOrEqual(t, good, offered*9/10)
}

func TestRequestsAreDecidedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	c := New(WithSlots(3))
	c.limit = 3
	now := time.Unix(0, 0)
	undecided := map[uint64]bool{}
	running := map[uint64]bool{}
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			require.True(t, undecided[d.ID], "request %d is decided twice", d.ID)
			delete(undecided, d.ID)
			if d.Reason == cicadaseam.ReasonNone {
				running[d.ID] = true
			}
		}
	}
	for id := uint64(1); id < 20000; id++ {
		now = now.Add(time.Duration(rng.IntN(3)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0:
			apply(c.Tick(now))
		case 1, 2:
			undecided[id] = true
			apply(c.Admit(now, Request{ID: id, Priority: rng.IntN(3), Deadline: now.Add(time.Duration(rng.IntN(50)) * time.Millisecond), QueueWait: 20 * time.Millisecond, QueueLength: 4}))
		case 3:
			for r := range running {
				delete(running, r)
				apply(c.Done(now, 2*time.Millisecond, rng.IntN(10) == 0))
				break
			}
		case 4:
			if rng.IntN(400) == 0 {
				apply(c.Drain(now))
				require.Empty(t, undecided)
				c.Resume()
			}
		}
		require.LessOrEqual(t, len(running), 3)
		require.Equal(t, len(running), c.Running())
	}
}

func TestHigherPriorityDisplacesAndStartsFirst(t *testing.T) {
	now := time.Unix(0, 0)
	c := New(WithSlots(1))
	request := func(id uint64, priority int) Request {
		return Request{ID: id, Priority: priority, Deadline: now.Add(time.Second), QueueWait: time.Second, QueueLength: 2}
	}
	require.Equal(t, []Decision{{ID: 1}}, c.Admit(now, request(1, 1)))
	require.Empty(t, c.Admit(now, request(2, 1)))
	require.Empty(t, c.Admit(now, request(3, 1)))
	require.Equal(t, []Decision{{ID: 3, Reason: cicadaseam.ReasonDisplaced}}, c.Admit(now, request(4, 2)), "the youngest request of the lowest priority is displaced")
	require.Equal(t, []Decision{{ID: 5, Reason: cicadaseam.ReasonQueueFull}}, c.Admit(now, request(5, 1)))
	require.Equal(t, []Decision{{ID: 4}}, c.Done(now, time.Millisecond, false), "the highest priority starts first")
	require.True(t, c.Cancel(2))
	require.False(t, c.Cancel(2))
}
