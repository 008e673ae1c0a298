package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
)

// Constants of the selection. Those named a cost, and probeBonus, are in units of the
// value of an answer that is on time.
const (
	// otherZoneCostPerKB is the cost of a kilobyte of cross-zone traffic.
	otherZoneCostPerKB = 0.03
	// overheadKB is the size of a request and its answer without their bodies.
	overheadKB = 0.5
	// lateCost is the cost of a late answer.
	lateCost = 0.7
	// safeLatencyShare is the part of the remaining latency budget up to which the
	// expected latency carries hardly any risk of a late answer.
	safeLatencyShare = 0.3
	// failureCost is the cost of a target at which every request fails.
	failureCost = 1.5
	// utilizationCost is the cost of a target without free slots. It spreads requests
	// over the targets that have some.
	utilizationCost = 0.02
	// leavingCost keeps requests from a node that is about to shut down if another one
	// is good enough.
	leavingCost = 0.2
	// costJitter bounds a random cost that keeps nodes with the same load reports from
	// all selecting the same target.
	costJitter = 0.01
	// probeBonus attracts one idempotent request from each node of a zone to a backend
	// server there that the node has not used for probeAfter, so that a new or recovered
	// one is noticed.
	probeBonus = 0.5
	probeAfter = 3 * time.Second
	// unconfirmedCost is the cost of a target with requests in flight that has answered
	// none since it was first seen or a link to it failed: it may be gone.
	unconfirmedCost = 0.5
	// confirmTimeout is the time after which a link with requests in flight that has not
	// failed is taken to be open.
	confirmTimeout = 100 * time.Millisecond
	// defaultLatencyPermille stands in for the LatencyPermille of a target that reports
	// none.
	defaultLatencyPermille = 330
	// queueTimeFactor is what the estimated wait in a queue is multiplied by: other nodes send to
	// the same target until its load is reported again. A larger factor causes more refusals
	// under high load (docs/design/fairness.md).
	queueTimeFactor = 1.5
	// skipAfterRefusals is the number of refusals for lack of room after which targets that
	// are expected to refuse too are skipped.
	skipAfterRefusals = 1
	// loadValidity is the age up to which a reported load is relied on while there is a lack of
	// room. Reports come at least twice in it, unless the fleet is very large.
	loadValidity = time.Second
	permille     = 1000
	kilobyte     = 1024
	// sizeSmoothing is the weight of a new sample in the exponentially weighted mean
	// size of a route's bodies.
	sizeSmoothing = 0.05
)

// Candidate is a node that may run a request.
type Candidate struct {
	Addr     string
	Node     string
	Zone     string
	Instance string
	// Version is empty if it is not known. Other nodes report theirs only during a rollout.
	Version string
	Local   bool
	// Leaving is set while the node is about to shut down.
	Leaving bool
	Load    cicadaseam.MeshLoad
	// LoadAt is when this node received the load.
	LoadAt time.Time
}

// Selector selects the target of a request. It is a state machine behind a lock and
// reads no clock.
type Selector struct {
	mu        sync.Mutex
	zone      string
	rng       *rand.Rand
	targets   map[string]*targetState // by address
	meanSizes map[string]float64      // bytes of the bodies of a request and its answer, by route
}

// Requirements are what a request requires of its target.
type Requirements struct {
	Route            string
	LatencyObjective time.Duration
	// LatencyBudget is the time until the answer is late; it is negative afterwards.
	LatencyBudget time.Duration
	Idempotent    bool
	// Probe is set if the target starts the request at once or refuses it.
	Probe bool
	// SameZoneOnly excludes the targets of other zones.
	SameZoneOnly bool
	// Timeout is the time within which the target must answer to reach the caller by its
	// deadline.
	Timeout time.Duration
	// CutOff is set if the request is canceled after Timeout because this node exits, though its
	// caller waits longer.
	CutOff bool
	// Nested requests are calls that a backend server makes on behalf of a request that
	// it is running.
	Nested bool
	// Refusals counts the targets that refused the request because of a full queue.
	Refusals int
}

// maxWait returns how long a request with an expected run time may wait for a slot. A
// request that can still be on time may wait as long as it stays so. A late one waits
// a short time, behind those that are on time. A nested call may wait until its
// timeout: if it is refused, the slot of the outer request was occupied in vain. No
// request waits until its timeout leaves no time to run: it is refused before, while the
// refusal still reaches the caller.
func (r *Requirements) maxWait(runTime time.Duration) (wait time.Duration, late bool) {
	longest := max(r.Timeout-runTime, 0)
	if r.Nested {
		return longest, false
	}
	wait = time.Duration(plannedShare*float64(r.LatencyBudget) - plannedRunTime*float64(runTime))
	if wait > 0 {
		return min(wait, longest), false
	}
	return min(time.Duration(lateWaitShare*float64(r.LatencyObjective)), longest), true
}

// expectsRefusal reports whether a target is expected to refuse the request, given its
// run time, its wait and the age of the load from which these are estimated. A queue may have
// become shorter since that load, unless a refusal by another target shows that there is a lack of
// room: then arrivals keep the queues as long as they were. A late request is sent to a second
// target only if that has a free slot. While room is short, it would wait behind all others in
// vain, and its caller learns of the refusal that much later.
func (r *Requirements) expectsRefusal(runTime, wait, loadAge time.Duration) bool {
	allowed, late := r.maxWait(runTime)
	switch {
	case r.Probe:
		return wait > loadAge
	case r.Refusals == 0:
		return wait-loadAge > allowed
	case late:
		return wait > 0 && loadAge < loadValidity
	}
	return wait-max(loadAge-loadValidity, 0) > allowed
}

// NewSelector returns a selector for a node in a zone.
func NewSelector(zone string, rng *rand.Rand) *Selector {
	return &Selector{zone: zone, rng: rng, targets: map[string]*targetState{}, meanSizes: map[string]float64{}}
}

// Selection is the result of Select: a target and its expected latency.
type Selection struct {
	Candidate Candidate
	// RunTime is how long the backend server is expected to run the request.
	RunTime time.Duration
	// QueueTime is how long the request is expected to wait for a slot, and TransitTime
	// how long it and its answer are expected to take between the two nodes.
	QueueTime   time.Duration
	TransitTime time.Duration
	// Skipped is the number of candidates that were left out because they are expected
	// to refuse. It is set also if no target was selected.
	Skipped int
}

// Select returns the candidate with the lowest cost, of a random sample of those that were
// not tried, and counts a request as sent to it. Candidates that are expected to refuse
// come last, and are left out after skipAfterRefusals: the first of them are tried, because
// the load may be outdated and the estimate ignores ranks. A probe is sent to none of them.
// Select returns false if there is no candidate, or if a probe would leave the zone.
func (s *Selector) Select(now time.Time, req Requirements, candidates []Candidate, tried map[string]bool) (Selection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.sampling(candidates)
	c := comparison{now: now, req: &req}
	for i := range candidates {
		if sample.includes(&candidates[i]) {
			s.compare(&c, &candidates[i], tried)
		}
	}
	if c.accepting.target == nil && !sample.isAll {
		c = comparison{now: now, req: &req}
		for i := range candidates {
			s.compare(&c, &candidates[i], tried)
		}
	}
	best := &c.accepting
	if best.target == nil && req.Refusals < skipAfterRefusals && !req.Probe {
		best = &c.refusing
	}
	best.selection.Skipped = c.skipped
	if best.target == nil || req.Probe && best.selection.Candidate.Zone != s.zone {
		return best.selection, false
	}
	best.target.recordSent(now)
	return best.selection, true
}

// option is the best one of the candidates that were compared.
type option struct {
	selection Selection
	target    *targetState // nil if there is none
	cost      float64
}

// comparison compares candidates for one request.
type comparison struct {
	now                 time.Time
	req                 *Requirements
	accepting, refusing option // those expected to accept and to refuse the request
	skipped             int    // those expected to refuse
}

// compare adds a candidate to a comparison unless it is excluded. The lock is held.
func (s *Selector) compare(c *comparison, candidate *Candidate, tried map[string]bool) {
	if tried[candidate.Addr] || c.req.SameZoneOnly && candidate.Zone != s.zone {
		return
	}
	t := s.state(c.now, candidate)
	if c.now.Before(t.backoffUntil) {
		return
	}
	expected := t.estimate(c.now, c.req.LatencyObjective, c.req.Nested)
	if c.req.CutOff && !expected.endsWithin(c.req.Timeout) {
		return
	}
	best := &c.accepting
	if c.req.expectsRefusal(expected.RunTime, expected.QueueTime, c.now.Sub(t.loadAt)) {
		c.skipped++
		best = &c.refusing
	}
	if c.req.Probe {
		expected.QueueTime = 0 // it starts at once, or not there
	}
	cost := s.cost(c.now, t, candidate, c.req, &expected)
	if best.target == nil || cost < best.cost {
		expected.Candidate = *candidate
		*best = option{selection: expected, target: t, cost: cost}
	}
}

// cost estimates the cost of sending a request to a target now.
func (s *Selector) cost(now time.Time, t *targetState, c *Candidate, req *Requirements, expected *Selection) float64 {
	slots, occupied := t.occupancy(req.Nested)
	cost := lateCost * lateRisk(expected.RunTime+expected.QueueTime+expected.TransitTime, req)
	utilization := float64(occupied) / float64(slots)
	cost += utilizationCost * min(utilization*utilization, 1)
	cost += failureCost * float64(t.load.FailurePermille) / permille
	if c.Leaving {
		cost += leavingCost
	}
	if req.Idempotent && !c.Leaving && c.Zone == s.zone && occupied < slots && now.Sub(t.lastUsed) > probeAfter {
		// The reported latency may be that of a cold start, so it is not counted.
		cost = failureCost*float64(t.load.FailurePermille)/permille - probeBonus
	}
	if !t.confirmed && t.inFlight > 0 && !c.Local && now.Sub(t.busySince) < confirmTimeout {
		cost += unconfirmedCost
	}
	if c.Zone != s.zone {
		cost += otherZoneCostPerKB * (overheadKB + s.meanSizes[req.Route]/kilobyte)
	}
	return cost + costJitter*s.rng.Float64()
}

// lateRisk estimates how likely an answer that is expected after a time is late. The
// result is not a probability: it rises above 1, so that among targets that are all late
// the fastest is selected.
func lateRisk(expected time.Duration, req *Requirements) float64 {
	// The budget may be used up. The minimum keeps the risks of targets comparable then.
	budget := max(req.LatencyBudget, req.LatencyObjective/4)
	if budget <= 0 {
		return 0
	}
	x := (float64(expected)/float64(budget) - safeLatencyShare) / (1 - safeLatencyShare)
	if x <= 0 {
		return 0
	}
	return min(x*x, x)
}

// RecordSize updates the mean size of a route with the bytes of the bodies of a request
// and its answer.
func (s *Selector) RecordSize(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.meanSizes[route]
	if !known {
		if len(s.meanSizes) >= maxTrackedRoutes {
			s.meanSizes = map[string]float64{}
		}
		mean = float64(bytes)
	}
	s.meanSizes[route] = mean + sizeSmoothing*(float64(bytes)-mean)
}

// remoteCandidates returns the other nodes whose backend server runs a service.
func remoteCandidates(service string, peers []*fleet.Peer) []Candidate {
	var out []Candidate
	for _, p := range peers {
		hb := &p.Heartbeat
		if !hb.Serving || hb.Service != service {
			continue
		}
		out = append(out, Candidate{Addr: hb.Addr, Node: hb.Node, Zone: hb.Zone, Instance: hb.Instance, Version: versionOf(hb), Leaving: hb.Leaving, Load: hb.Load, LoadAt: p.LastHeard})
	}
	return out
}
