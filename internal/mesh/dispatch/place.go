package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
)

// Costs of a target, in shares of what an answer on time is worth.
const (
	// farCostPerKB is what a kilobyte from another zone costs.
	farCostPerKB = 0.03
	// overheadKB is what a request and its answer take beside their bodies.
	overheadKB = 0.5
	// lateCost is what is lost when an answer is late.
	lateCost = 0.7
	// sureShare is the share of the objective up to which an answer that is expected
	// then is hardly ever late.
	sureShare = 0.3
	// failCost is the cost of a target at which every request fails.
	failCost = 1.5
	// busyCost spreads requests over targets that have room.
	busyCost = 0.02
	// leavingCost keeps what it can from a node that is about to end.
	leavingCost = 0.2
	// noise keeps nodes with the same news from choosing the same target.
	noise = 0.01
	// tryGain draws one request of each node of a zone to a backend server there that
	// it has not used for tryAfter, so that a new or recovered one is noticed.
	tryGain  = 0.5
	tryAfter = 3 * time.Second
	// unprovenCost is the cost of a target to which requests are under way while none
	// has been answered since a link to it failed or it was first seen.
	unprovenCost = 0.5
	// provenAfter is when a link that has not failed is taken to be open.
	provenAfter = 100 * time.Millisecond
	// usualPace is the pace of a target that told none, in thousandths.
	usualPace = 330
	// enoughRefusals is the number of targets without room after which only those are
	// asked that are expected to have some.
	enoughRefusals = 2
	thousand       = 1000
	kilobyte       = 1024
	// sizeShare is the weight of a new sample in the mean size of a route's bodies.
	sizeShare = 0.05
)

// Candidate is a node that may run a request.
type Candidate struct {
	Addr     string
	Node     string
	Zone     string
	Instance string
	Local    bool
	// Leaving is set while the node is about to end.
	Leaving bool
	Load    cicadaseam.MeshLoad
	// Heard is when the load was told.
	Heard time.Time
}

// Placer chooses the target of a request. It is a plain state machine behind a
// lock and reads no clock.
type Placer struct {
	mu     sync.Mutex
	zone   string
	rng    *rand.Rand
	tracks map[string]*track
	sizes  map[string]float64 // mean bytes of the bodies of a route
}

// Need is what a request needs of its target.
type Need struct {
	Route     string
	Objective time.Duration
	// Left is the time until its answer is late.
	Left       time.Duration
	Idempotent bool
	// NearOnly leaves out the targets of other zones.
	NearOnly bool
	// Rest is the time until its answer is of no use.
	Rest time.Duration
	// Nested requests are calls of a backend server.
	Nested bool
	// Refusals counts the targets that had no room for it.
	Refusals int
}

// wait returns how long a request may wait for a slot. While it can be answered on time
// it may wait for that; once it is late it takes what is free soon, behind those that
// are on time. A nested call may wait as long as the request that made it: refused, it
// would have wasted that one's slot.
func (n *Need) wait(work time.Duration) (wait time.Duration, late bool) {
	if n.Nested {
		return max(n.Rest-work, 0), false
	}
	wait = time.Duration(onTimeShare*float64(n.Left)) - work
	if wait > 0 {
		return wait, false
	}
	return time.Duration(lateShare * float64(n.Objective)), true
}

// hopeless reports whether a target that told its load a time ago will have no room
// either. The first refusals are asked for, since news may be old and ranks differ.
func (n *Need) hopeless(work, wait, age time.Duration) bool {
	if n.Refusals < enoughRefusals {
		return false
	}
	allowed, _ := n.wait(work)
	return wait-age > allowed
}

// NewPlacer returns a placer for a node in a zone.
func NewPlacer(zone string, rng *rand.Rand) *Placer {
	return &Placer{zone: zone, rng: rng, tracks: map[string]*track{}, sizes: map[string]float64{}}
}

// Choice is the outcome of Pick.
type Choice struct {
	Candidate Candidate
	// Work is how long the target is expected to run the request.
	Work time.Duration
	// Wait is how long the request is expected to wait there, and Way how long it and
	// its answer are expected to be on their way.
	Wait time.Duration
	Way  time.Duration
	// Passed is the number of candidates that were not asked, since their last news
	// left no hope.
	Passed int
}

// Pick returns the cheapest candidate that was not tried, and counts a request as
// sent to it.
func (p *Placer) Pick(now time.Time, need Need, candidates []Candidate, tried map[string]bool) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Choice
	var to *track
	passed, lowest := 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if tried[c.Addr] || need.NearOnly && c.Zone != p.zone {
			continue
		}
		t := p.track(now, c)
		if now.Before(t.avoid) {
			continue
		}
		expected := t.expect(now, need.Objective)
		if need.hopeless(expected.Work, expected.Wait, now.Sub(t.loadAt)) {
			passed++
			continue
		}
		if cost := p.cost(now, t, c, &need, &expected); to == nil || cost < lowest {
			best, to, lowest = expected, t, cost
			best.Candidate = *c
		}
	}
	best.Passed = passed
	if to == nil {
		return best, false
	}
	to.sends(now)
	return best, true
}

// cost estimates what it costs to send a request to a target now.
func (p *Placer) cost(now time.Time, t *track, c *Candidate, need *Need, expected *Choice) float64 {
	slots, occupied := t.occupied()
	cost := lateCost * lateness(expected.Work+expected.Wait+expected.Way, need)
	use := float64(occupied) / float64(slots)
	cost += busyCost * min(use*use, 1)
	cost += failCost * float64(t.load.FailurePermille) / thousand
	if c.Leaving {
		cost += leavingCost
	}
	if need.Idempotent && !c.Leaving && c.Zone == p.zone && occupied < slots && now.Sub(t.used) > tryAfter {
		cost = failCost*float64(t.load.FailurePermille)/thousand - tryGain // its pace may be that of a cold start
	}
	if !t.proven && t.inFlight > 0 && !c.Local && now.Sub(t.triedAt) < provenAfter {
		cost += unprovenCost
	}
	if c.Zone != p.zone {
		cost += farCostPerKB * (overheadKB + p.sizes[need.Route]/kilobyte)
	}
	return cost + noise*p.rng.Float64()
}

// lateness estimates how likely an answer is late that is expected after a time. It
// goes on rising beyond certainty, so that of many late targets the quickest wins.
func lateness(expected time.Duration, need *Need) float64 {
	left := max(need.Left, need.Objective/4)
	if left <= 0 {
		return 0
	}
	x := (float64(expected)/float64(left) - sureShare) / (1 - sureShare)
	if x <= 0 {
		return 0
	}
	return min(x*x, x)
}

// Size notes the bytes of the bodies of a request and its answer.
func (p *Placer) Size(route string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, known := p.sizes[route]
	if !known {
		if len(p.sizes) >= maxHabits {
			p.sizes = map[string]float64{}
		}
		mean = float64(bytes)
	}
	p.sizes[route] = mean + sizeShare*(float64(bytes)-mean)
}

// candidates returns the other nodes whose backend server runs a service.
func candidates(service string, peers []*fleet.Peer) []Candidate {
	var out []Candidate
	for _, p := range peers {
		b := &p.Heartbeat
		if !b.Serving || b.Service != service {
			continue
		}
		out = append(out, Candidate{Addr: b.Addr, Node: b.Node, Zone: b.Zone, Instance: b.Instance, Leaving: b.Leaving, Load: b.Load, Heard: p.LastHeard})
	}
	return out
}
