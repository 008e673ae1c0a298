package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// server is a backend server of the model: slots, a queue, faults.
type server struct {
	id      string
	zone    string
	slots   int
	service time.Duration
	fails   bool // answers at once with a failure
	gone    bool // does not answer
	running int
	waiting []*request
	served  int
}

type request struct {
	entry  int
	server int
	began  time.Time
}

type done struct {
	at time.Time
	r  *request
	ok bool
}

type dones []done

func (d dones) Len() int           { return len(d) }
func (d dones) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d dones) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dones) Push(x any)        { *d = append(*d, x.(done)) }
func (d *dones) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// world is a service of 12 servers in 4 zones, called by one entry in each.
type world struct {
	now        time.Time
	rng        *rand.Rand
	servers    []*server
	candidates []cicadaseam.Candidate
	pickers    []cicadaseam.Picker
	queue      dones
	latencies  []time.Duration
	failed     int
}

const (
	serviceTime = 10 * time.Millisecond
	timeout     = time.Second
)

func newWorld(picker func(place cicadaseam.Locality, seed uint64) cicadaseam.Picker) *world {
	w := &world{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(9, 9))}
	for i := range 12 {
		zone := fmt.Sprintf("zone-%d", i%4)
		w.servers = append(w.servers, &server{id: fmt.Sprintf("s%d", i), zone: zone, slots: 10, service: serviceTime})
		w.candidates = append(w.candidates, cicadaseam.Candidate{ID: fmt.Sprintf("s%d", i), Zone: zone, Region: "r", ReadySince: w.now.Add(-time.Hour), Slots: 10})
	}
	for i := range 4 {
		w.pickers = append(w.pickers, picker(cicadaseam.Locality{Region: "r", Zone: fmt.Sprintf("zone-%d", i)}, uint64(i)+1))
	}
	return w
}

// run offers calls at a share of the capacity of 12 healthy servers.
func (w *world) run(length time.Duration, share float64) {
	rate := share * 12 * 10 / serviceTime.Seconds()
	end := w.now.Add(length)
	next := w.now
	for w.now.Before(end) {
		if len(w.queue) > 0 && w.queue[0].at.Before(next) {
			d := heap.Pop(&w.queue).(done)
			w.now = d.at
			w.finish(d)
			continue
		}
		w.now = next
		next = w.now.Add(time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)))
		w.call()
	}
}

func (w *world) call() {
	entry := w.rng.IntN(len(w.pickers))
	i := w.pickers[entry].Pick(w.now, w.candidates, nil)
	w.pickers[entry].Started(w.now, w.candidates[i].ID)
	r := &request{entry: entry, server: i, began: w.now}
	s := w.servers[i]
	switch {
	case s.gone:
		heap.Push(&w.queue, done{at: w.now.Add(timeout), r: r})
	case s.fails:
		heap.Push(&w.queue, done{at: w.now.Add(time.Millisecond), r: r})
	case s.running < s.slots:
		w.serve(s, r)
	default:
		s.waiting = append(s.waiting, r)
	}
}

func (w *world) serve(s *server, r *request) {
	s.running++
	took := time.Duration((0.5 + 0.5*w.rng.ExpFloat64()) * float64(s.service))
	heap.Push(&w.queue, done{at: w.now.Add(took), r: r, ok: true})
}

func (w *world) finish(d done) {
	s := w.servers[d.r.server]
	load := cicadaseam.Load{}
	if d.ok {
		s.running--
		s.served++
		load = cicadaseam.Load{InFlight: s.running, Limit: s.slots, Queued: len(s.waiting)}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			w.serve(s, next)
		}
	}
	latency := w.now.Sub(d.r.began)
	w.pickers[d.r.entry].Ended(w.now, s.id, cicadaseam.PickResult{Latency: latency, Failed: !d.ok, Load: load})
	if !d.ok {
		w.failed++
		return
	}
	w.latencies = append(w.latencies, latency)
}

type figures struct {
	p50, p99 time.Duration
	failed   float64
}

func (w *world) figures() figures {
	sort.Slice(w.latencies, func(i, j int) bool { return w.latencies[i] < w.latencies[j] })
	n := len(w.latencies)
	return figures{
		p50: w.latencies[n/2], p99: w.latencies[n*99/100],
		failed: float64(w.failed) / float64(w.failed+n),
	}
}

func (f figures) String() string {
	return fmt.Sprintf("p50 %s p99 %s failed %.2f%%", f.p50.Round(100*time.Microsecond), f.p99.Round(100*time.Microsecond), 100*f.failed)
}

var pickers = map[string]func(cicadaseam.Locality, uint64) cicadaseam.Picker{
	"balancer": func(p cicadaseam.Locality, seed uint64) cicadaseam.Picker {
		return New(p, rand.New(rand.NewPCG(seed, seed)))
	},
	"random": func(_ cicadaseam.Locality, seed uint64) cicadaseam.Picker {
		return NewRandom(rand.New(rand.NewPCG(seed, seed)))
	},
	"round robin": func(cicadaseam.Locality, uint64) cicadaseam.Picker { return NewRoundRobin() },
}

func TestAgainstBaselines(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		spoil func(w *world)
		// better says what must be better than both baselines.
		better func(t *testing.T, mine, other figures)
	}{
		{"all well", 0.6, func(*world) {}, func(t *testing.T, mine, other figures) {
			require.LessOrEqual(t, mine.p99, other.p99+other.p99/4)
		}},
		{"one server at a tenth of its speed", 0.6, func(w *world) { w.servers[0].service *= 10 }, func(t *testing.T, mine, other figures) {
			require.Less(t, mine.p99, other.p99/2)
		}},
		{"one server that fails calls at once", 0.6, func(w *world) { w.servers[0].fails = true }, func(t *testing.T, mine, other figures) {
			require.Less(t, mine.failed, other.failed/10)
		}},
		{"a zone gone", 0.5, func(w *world) {
			for _, s := range w.servers {
				s.gone = s.zone == "zone-2"
			}
		}, func(t *testing.T, mine, other figures) {
			require.Less(t, mine.failed, other.failed/5)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			results := map[string]figures{}
			for name, picker := range pickers {
				w := newWorld(picker)
				w.run(2*time.Second, tc.share)
				tc.spoil(w)
				w.latencies, w.failed = nil, 0
				w.run(20*time.Second, tc.share)
				results[name] = w.figures()
			}
			for _, name := range []string{"balancer", "random", "round robin"} {
				t.Logf("%-12s %s", name, results[name])
			}
			tc.better(t, results["balancer"], results["random"])
			tc.better(t, results["balancer"], results["round robin"])
		})
	}
}

func TestZoneFirstWithSpillOver(t *testing.T) {
	served := func(share float64, entryZone int) (own, all int) {
		w := newWorld(pickers["balancer"])
		w.pickers = w.pickers[entryZone : entryZone+1] // all callers are in one zone
		w.run(10*time.Second, share)
		for _, s := range w.servers {
			all += s.served
			if s.zone == fmt.Sprintf("zone-%d", entryZone) {
				own += s.served
			}
		}
		return own, all
	}
	own, all := served(0.05, 1) // a fifth of what the zone can do
	t.Logf("light load: %d of %d in the own zone", own, all)
	require.Greater(t, own, all*3/4)
	own, all = served(0.6, 1) // more than twice what the zone can do
	t.Logf("heavy load: %d of %d in the own zone", own, all)
	require.Less(t, own, all/2)
}

func TestSlowStartAndEjectionCeiling(t *testing.T) {
	w := newWorld(pickers["balancer"])
	w.run(12*time.Second, 0.5)
	w.candidates = append(w.candidates, cicadaseam.Candidate{ID: "cold", Zone: "zone-0", Region: "r", ReadySince: w.now, Slots: 10})
	w.servers = append(w.servers, &server{id: "cold", zone: "zone-0", slots: 10, service: serviceTime})
	before := w.servers[0].served
	w.run(time.Second, 0.5)
	cold, warm := w.servers[12].served, w.servers[0].served-before
	t.Logf("first second: cold %d, warm %d of the same zone", cold, warm)
	require.Less(t, cold, warm/2)

	b := New(cicadaseam.Locality{Zone: "zone-0", Region: "r"}, rand.New(rand.NewPCG(1, 1)), WithEjectShare(0.34))
	now := time.Unix(1000, 0)
	for range 10 {
		for _, c := range w.candidates[:3] {
			b.Started(now, c.ID)
			b.Ended(now, c.ID, cicadaseam.PickResult{Failed: true})
		}
	}
	require.Len(t, b.ejected(now, w.candidates[:3]), 1, "a wrong signal cannot empty a service")
	require.GreaterOrEqual(t, b.Pick(now, w.candidates[:3], nil), 0)
	require.GreaterOrEqual(t, b.Pick(now, w.candidates[:1], nil), 0, "the only candidate is used, whatever it did")
}
