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

// server is a simulated backend server with slots, a queue and faults.
type server struct {
	id      string
	zone    string
	slots   int
	service time.Duration // mean service time
	fails   bool          // answers at once with a failure
	silent  bool          // does not answer
	running int
	queued  []*request
	served  int
}

type request struct {
	entry  int // index into pickers
	server int // index into servers
	began  time.Time
}

type completion struct {
	at time.Time
	r  *request
	ok bool
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// simulation is a service of 12 servers in 4 zones, called by one entry node in each
// zone.
type simulation struct {
	now        time.Time
	rng        *rand.Rand
	servers    []*server
	candidates []cicadaseam.Candidate
	pickers    []cicadaseam.Picker
	queue      completions
	latencies  []time.Duration
	failed     int
}

const (
	serviceTime = 10 * time.Millisecond
	timeout     = time.Second
)

func newSimulation(picker func(locality cicadaseam.Locality, seed uint64) cicadaseam.Picker) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(9, 9))}
	for i := range 12 {
		zone := fmt.Sprintf("zone-%d", i%4)
		sim.servers = append(sim.servers, &server{id: fmt.Sprintf("s%d", i), zone: zone, slots: 10, service: serviceTime})
		sim.candidates = append(sim.candidates, cicadaseam.Candidate{ID: fmt.Sprintf("s%d", i), Zone: zone, Region: "r", ReadySince: sim.now.Add(-time.Hour), Slots: 10})
	}
	for i := range 4 {
		sim.pickers = append(sim.pickers, picker(cicadaseam.Locality{Region: "r", Zone: fmt.Sprintf("zone-%d", i)}, uint64(i)+1))
	}
	return sim
}

// run offers calls for a time, at a share of the capacity of 12 healthy servers.
func (sim *simulation) run(length time.Duration, share float64) {
	rate := share * 12 * 10 / serviceTime.Seconds()
	end := sim.now.Add(length)
	next := sim.now
	for sim.now.Before(end) {
		if len(sim.queue) > 0 && sim.queue[0].at.Before(next) {
			c := heap.Pop(&sim.queue).(completion)
			sim.now = c.at
			sim.finish(c)
			continue
		}
		sim.now = next
		next = sim.now.Add(time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second)))
		sim.offer()
	}
}

func (sim *simulation) offer() {
	entry := sim.rng.IntN(len(sim.pickers))
	i := sim.pickers[entry].Pick(sim.now, sim.candidates, nil)
	sim.pickers[entry].Started(sim.now, sim.candidates[i].ID)
	r := &request{entry: entry, server: i, began: sim.now}
	s := sim.servers[i]
	switch {
	case s.silent:
		heap.Push(&sim.queue, completion{at: sim.now.Add(timeout), r: r})
	case s.fails:
		heap.Push(&sim.queue, completion{at: sim.now.Add(time.Millisecond), r: r})
	case s.running < s.slots:
		sim.serve(s, r)
	default:
		s.queued = append(s.queued, r)
	}
}

func (sim *simulation) serve(s *server, r *request) {
	s.running++
	took := time.Duration((0.5 + 0.5*sim.rng.ExpFloat64()) * float64(s.service))
	heap.Push(&sim.queue, completion{at: sim.now.Add(took), r: r, ok: true})
}

func (sim *simulation) finish(c completion) {
	s := sim.servers[c.r.server]
	load := cicadaseam.Load{}
	if c.ok {
		s.running--
		s.served++
		load = cicadaseam.Load{InFlight: s.running, Limit: s.slots, Queued: len(s.queued)}
		if len(s.queued) > 0 {
			next := s.queued[0]
			s.queued = s.queued[1:]
			sim.serve(s, next)
		}
	}
	latency := sim.now.Sub(c.r.began)
	sim.pickers[c.r.entry].Ended(sim.now, s.id, cicadaseam.PickResult{Latency: latency, Failed: !c.ok, Load: load})
	if !c.ok {
		sim.failed++
		return
	}
	sim.latencies = append(sim.latencies, latency)
}

type stats struct {
	p50, p99 time.Duration
	failed   float64
}

func (sim *simulation) stats() stats {
	sort.Slice(sim.latencies, func(i, j int) bool { return sim.latencies[i] < sim.latencies[j] })
	n := len(sim.latencies)
	return stats{
		p50: sim.latencies[n/2], p99: sim.latencies[n*99/100],
		failed: float64(sim.failed) / float64(sim.failed+n),
	}
}

func (s stats) String() string {
	return fmt.Sprintf("p50 %s p99 %s failed %.2f%%", s.p50.Round(100*time.Microsecond), s.p99.Round(100*time.Microsecond), 100*s.failed)
}

var pickers = map[string]func(cicadaseam.Locality, uint64) cicadaseam.Picker{
	"balancer": func(locality cicadaseam.Locality, seed uint64) cicadaseam.Picker {
		return New(locality, rand.New(rand.NewPCG(seed, seed)))
	},
	"random": func(_ cicadaseam.Locality, seed uint64) cicadaseam.Picker {
		return NewRandom(rand.New(rand.NewPCG(seed, seed)))
	},
	"round robin": func(cicadaseam.Locality, uint64) cicadaseam.Picker { return NewRoundRobin() },
}

func TestAgainstBaselines(t *testing.T) {
	cases := []struct {
		name        string
		share       float64
		injectFault func(sim *simulation)
		// check compares the balancer with a baseline, for each of the two.
		check func(t *testing.T, balancer, baseline stats)
	}{
		{"no faults", 0.6, func(*simulation) {}, func(t *testing.T, balancer, baseline stats) {
			require.LessOrEqual(t, balancer.p99, baseline.p99+baseline.p99/4)
		}},
		{"one server at a tenth of its speed", 0.6, func(sim *simulation) { sim.servers[0].service *= 10 }, func(t *testing.T, balancer, baseline stats) {
			require.Less(t, balancer.p99, baseline.p99/2)
		}},
		{"one server that fails calls at once", 0.6, func(sim *simulation) { sim.servers[0].fails = true }, func(t *testing.T, balancer, baseline stats) {
			require.Less(t, balancer.failed, baseline.failed/10)
		}},
		{"a zone that does not answer", 0.5, func(sim *simulation) {
			for _, s := range sim.servers {
				s.silent = s.zone == "zone-2"
			}
		}, func(t *testing.T, balancer, baseline stats) {
			require.Less(t, balancer.failed, baseline.failed/5)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			results := map[string]stats{}
			for name, picker := range pickers {
				sim := newSimulation(picker)
				sim.run(2*time.Second, tc.share)
				tc.injectFault(sim)
				sim.latencies, sim.failed = nil, 0
				sim.run(20*time.Second, tc.share)
				results[name] = sim.stats()
			}
			for _, name := range []string{"balancer", "random", "round robin"} {
				t.Logf("%-12s %s", name, results[name])
			}
			tc.check(t, results["balancer"], results["random"])
			tc.check(t, results["balancer"], results["round robin"])
		})
	}
}

func TestZoneFirstWithSpillOver(t *testing.T) {
	countServed := func(share float64, entryZone int) (own, all int) {
		sim := newSimulation(pickers["balancer"])
		sim.pickers = sim.pickers[entryZone : entryZone+1] // all calls come from one zone
		sim.run(10*time.Second, share)
		for _, s := range sim.servers {
			all += s.served
			if s.zone == fmt.Sprintf("zone-%d", entryZone) {
				own += s.served
			}
		}
		return own, all
	}
	own, all := countServed(0.05, 1) // a fifth of the capacity of the zone
	t.Logf("light load: %d of %d in the own zone", own, all)
	require.Greater(t, own, all*3/4)
	own, all = countServed(0.6, 1) // more than twice the capacity of the zone
	t.Logf("heavy load: %d of %d in the own zone", own, all)
	require.Less(t, own, all/2)
}

func TestSlowStartAndEjectionCeiling(t *testing.T) {
	sim := newSimulation(pickers["balancer"])
	sim.run(12*time.Second, 0.5)
	sim.candidates = append(sim.candidates, cicadaseam.Candidate{ID: "cold", Zone: "zone-0", Region: "r", ReadySince: sim.now, Slots: 10})
	sim.servers = append(sim.servers, &server{id: "cold", zone: "zone-0", slots: 10, service: serviceTime})
	before := sim.servers[0].served
	sim.run(time.Second, 0.5)
	cold, warm := sim.servers[12].served, sim.servers[0].served-before
	t.Logf("first second: cold %d, warm %d of the same zone", cold, warm)
	require.Less(t, cold, warm/2)

	balancer := New(cicadaseam.Locality{Zone: "zone-0", Region: "r"}, rand.New(rand.NewPCG(1, 1)), WithMaxEjectShare(0.34))
	now := time.Unix(1000, 0)
	for range 10 {
		for _, c := range sim.candidates[:3] {
			balancer.Started(now, c.ID)
			balancer.Ended(now, c.ID, cicadaseam.PickResult{Failed: true})
		}
	}
	require.Len(t, balancer.ejected(now, sim.candidates[:3]), 1, "a false signal must not eject a whole service")
	require.GreaterOrEqual(t, balancer.Pick(now, sim.candidates[:3], nil), 0)
	require.GreaterOrEqual(t, balancer.Pick(now, sim.candidates[:1], nil), 0, "the only candidate is used although it is ejected")
}
