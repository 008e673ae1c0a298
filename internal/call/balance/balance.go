// Package balance implements load balancing: it chooses the target of a call.
//
// # Model
//
// A Balancer samples two random candidates of its own zone and one of the rest of
// the region, and picks the one with the lowest cost. If the zone has fewer than
// two, it samples more of the region, and if fewer than two are found in the whole
// region, up to two of other regions as well. The cost is the expected wait: the
// calls that this node has in flight there, times the recent latency and the load
// reported in answers, increased by recent failures and by distance. Calls spill
// over to other zones when the cost in the zone of this node rises, and return
// when it falls. A candidate that has just become ready starts with a small share
// of the calls (slow start). A candidate that fails repeatedly is ejected for a
// time; the share of a service that may be ejected is bounded, so that a false
// signal cannot leave the service without targets.
//
// The tests compare the Balancer with two baselines, Random and RoundRobin.
//
// # Usage
//
//	b := balance.New(locality, rng)
//	i := b.Pick(now, candidates, tried)
//	b.Started(now, candidates[i].ID)
//	b.Ended(now, candidates[i].ID, result)
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Parameters of the cost and of the ejection.
const (
	// latencyWeight and failureWeight are the weights of the newest call in the
	// moving averages of a candidate's latency and failure rate.
	latencyWeight = 0.2
	failureWeight = 0.2
	// failurePenalty scales the failure rate in the cost: a candidate whose recent
	// calls all failed costs 21 times as much as one without failures.
	failurePenalty = 20.0
	// staleAfter is the time without a call after which the latency and failure
	// rate of a candidate begin to lose their weight, so that it is tried again.
	staleAfter = 2 * time.Second
	// Cost factors by distance.
	sameZoneCost    = 1.0
	sameRegionCost  = 3.0
	otherRegionCost = 8.0
	// refusalPenalty is the cost factor of a candidate that refused a call within
	// refusalTTL.
	refusalPenalty = 4.0
	refusalTTL     = 100 * time.Millisecond
	// loadTTL is how long a reported load counts.
	loadTTL = time.Second

	// failuresToEject is the number of consecutive failures that eject a candidate.
	failuresToEject = 5
	// The first ejection lasts firstEjection; each further one lasts twice as long
	// as the one before, up to maxEjection. A candidate that stays in service for
	// ejectionMemory starts at firstEjection again.
	firstEjection  = 5 * time.Second
	maxEjection    = time.Minute
	ejectionMemory = 2 * time.Minute
	// minSlowStartShare is the lower bound of slowStartFactor: at the beginning of
	// slow start a candidate costs ten times as much as afterwards.
	minSlowStartShare = 0.1
	// defaultLatency is assumed for a candidate without a measured latency.
	defaultLatency = time.Millisecond
)

// state holds the recent results and the load of one candidate.
type state struct {
	inFlight            int
	latency             float64 // moving average in nanoseconds, 0 before the first answer
	failureRate         float64 // moving average, 0 to 1
	lastEndedAt         time.Time
	refusedAt           time.Time
	load                cicadaseam.Load // as last reported, at loadAt
	loadAt              time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int // in a row, see ejectionMemory
}

// Balancer is the cicadaseam.Picker of one service at one entry node. It is a
// plain state machine that reads no clock, and is not safe for concurrent use.
type Balancer struct {
	locality      cicadaseam.Locality // of this node
	rng           *rand.Rand
	slowStart     time.Duration
	maxEjectShare float64
	states        map[string]*state // by candidate ID
	firstPickAt   time.Time
}

// Option configures a new Balancer.
type Option func(*Balancer)

// WithMaxEjectShare sets the largest share of a service that may be ejected.
func WithMaxEjectShare(share float64) Option { return func(b *Balancer) { b.maxEjectShare = share } }

// New returns a Balancer for the calls of a node at a locality.
func New(locality cicadaseam.Locality, rng *rand.Rand, opts ...Option) *Balancer {
	b := &Balancer{locality: locality, rng: rng, slowStart: 10 * time.Second, maxEjectShare: 0.34, states: map[string]*state{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Configure changes the length of the slow start and the largest share of the
// service that may be ejected.
func (b *Balancer) Configure(slowStart time.Duration, maxEjectShare float64) {
	b.slowStart = slowStart
	b.maxEjectShare = maxEjectShare
}

// Pick implements cicadaseam.Picker.
func (b *Balancer) Pick(now time.Time, candidates []cicadaseam.Candidate, tried map[string]bool) int {
	if b.firstPickAt.IsZero() {
		b.firstPickAt = now
	}
	ejected := b.ejected(now, candidates)
	best, bestCost := -1, math.Inf(1)
	for _, i := range b.sample(candidates, tried, ejected) {
		if cost := b.cost(now, candidates[i]); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// sample returns the indexes of the candidates to compare. When every candidate is
// ejected or tried, it takes the ejected ones that are not tried, so that ejection
// alone never leaves a service without targets.
func (b *Balancer) sample(candidates []cicadaseam.Candidate, tried, ejected map[string]bool) []int {
	var sameZone, sameRegion, otherRegion []int
	for i, c := range candidates {
		if tried[c.ID] || ejected[c.ID] {
			continue
		}
		switch {
		case c.Zone == b.locality.Zone:
			sameZone = append(sameZone, i)
		case c.Region == b.locality.Region:
			sameRegion = append(sameRegion, i)
		default:
			otherRegion = append(otherRegion, i)
		}
	}
	picked := b.drawRandom(sameZone, 2)
	picked = append(picked, b.drawRandom(sameRegion, 3-len(picked))...)
	if len(picked) < 2 {
		picked = append(picked, b.drawRandom(otherRegion, 2)...)
	}
	if len(picked) > 0 || len(ejected) == 0 {
		return picked
	}
	return b.sample(candidates, tried, nil)
}

// drawRandom returns up to n different members of a set, which it reorders.
func (b *Balancer) drawRandom(set []int, n int) []int {
	for i := 0; i < n && i < len(set); i++ {
		j := i + b.rng.IntN(len(set)-i)
		set[i], set[j] = set[j], set[i]
	}
	return append([]int(nil), set[:min(n, len(set))]...)
}

// cost returns the expected wait at a candidate, in nanoseconds times the factors
// for failures, load, slow start, refusals and distance.
func (b *Balancer) cost(now time.Time, c cicadaseam.Candidate) float64 {
	s := b.stateOf(c.ID)
	latency := s.latency
	if latency == 0 {
		latency = float64(defaultLatency)
	}
	freshness := b.freshness(now, s)
	latency = float64(defaultLatency) + (latency-float64(defaultLatency))*freshness
	cost := float64(s.inFlight+1) * latency
	cost *= 1 + failurePenalty*s.failureRate*freshness
	cost *= b.loadFactor(now, s, c.Slots)
	cost /= b.slowStartFactor(now, c)
	if now.Sub(s.refusedAt) < refusalTTL && !s.refusedAt.IsZero() {
		cost *= refusalPenalty
	}
	return cost * b.distanceFactor(c)
}

// freshness returns the weight of a candidate's latency and failure rate. It is 1
// until the candidate has had no call for staleAfter, and then decays towards 0.
func (b *Balancer) freshness(now time.Time, s *state) float64 {
	idle := now.Sub(s.lastEndedAt) - staleAfter
	if idle <= 0 || s.inFlight > 0 {
		return 1
	}
	return math.Exp(-float64(idle) / float64(2*staleAfter))
}

// loadFactor returns the cost factor of the load that the target reported. Queued
// requests count twice.
func (b *Balancer) loadFactor(now time.Time, s *state, slots int) float64 {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > loadTTL {
		return 1
	}
	limit := s.load.Limit
	if limit == 0 {
		limit = max(slots, 1)
	}
	return 1 + float64(s.load.InFlight+2*s.load.Queued)/float64(limit)
}

// slowStartFactor returns the divisor of a candidate's cost, which rises from
// minSlowStartShare to 1 during its slow start. A candidate first seen less than
// slowStart after the first Pick is taken to have been ready before this node started,
// and has no slow start.
func (b *Balancer) slowStartFactor(now time.Time, c cicadaseam.Candidate) float64 {
	age := now.Sub(c.ReadySince)
	if b.slowStart <= 0 || age >= b.slowStart || c.ReadySince.Sub(b.firstPickAt) < b.slowStart {
		return 1
	}
	return math.Max(float64(age)/float64(b.slowStart), minSlowStartShare)
}

// distanceFactor returns the cost factor of a candidate's distance.
func (b *Balancer) distanceFactor(c cicadaseam.Candidate) float64 {
	switch {
	case c.Zone == b.locality.Zone:
		return sameZoneCost
	case c.Region == b.locality.Region:
		return sameRegionCost
	}
	return otherRegionCost
}

// ejected returns the candidates that are ejected now, but no more of them than
// maxEjectShare allows.
func (b *Balancer) ejected(now time.Time, candidates []cicadaseam.Candidate) map[string]bool {
	maxEjected := int(b.maxEjectShare * float64(len(candidates)))
	var out map[string]bool
	for _, c := range candidates {
		s := b.states[c.ID]
		if s == nil || !now.Before(s.ejectedUntil) || len(out) >= maxEjected {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[c.ID] = true
	}
	return out
}

// Started implements cicadaseam.Picker.
func (b *Balancer) Started(_ time.Time, id string) {
	b.stateOf(id).inFlight++
}

// Ended implements cicadaseam.Picker.
func (b *Balancer) Ended(now time.Time, id string, r cicadaseam.PickResult) {
	s := b.stateOf(id)
	s.inFlight--
	s.lastEndedAt = now
	if r.Load.Limit > 0 {
		s.load, s.loadAt = r.Load, now
	}
	if r.Refused {
		s.refusedAt = now
		return
	}
	b.recordResult(now, s, r)
}

// recordResult updates the measurements of a candidate that did not refuse a call,
// and ejects the candidate after failuresToEject consecutive failures.
func (b *Balancer) recordResult(now time.Time, s *state, r cicadaseam.PickResult) {
	failed := 0.0
	if r.Failed {
		failed = 1
		s.consecutiveFailures++
	} else {
		s.consecutiveFailures = 0
		b.recordLatency(s, r.Latency)
	}
	s.failureRate += failureWeight * (failed - s.failureRate)
	if s.consecutiveFailures >= failuresToEject && !now.Before(s.ejectedUntil) {
		b.eject(now, s)
	}
}

func (b *Balancer) recordLatency(s *state, latency time.Duration) {
	if s.latency == 0 {
		s.latency = float64(latency)
		return
	}
	s.latency += latencyWeight * (float64(latency) - s.latency)
}

// eject ejects a candidate, for a time that doubles with each ejection in a row.
func (b *Balancer) eject(now time.Time, s *state) {
	if now.Sub(s.ejectedUntil) > ejectionMemory {
		s.ejections = 0
	}
	// The shift is bounded so that it cannot overflow.
	s.ejectedUntil = now.Add(min(firstEjection<<min(s.ejections, 10), maxEjection))
	s.ejections++
	s.consecutiveFailures = 0
}

// MinPriority returns the lowest priority that any of the candidates accepts, as
// reported in their answers. It is 0 if one of them has reported none within
// minPriorityTTL.
func (b *Balancer) MinPriority(now time.Time, candidates []cicadaseam.Candidate) int {
	minPriority := math.MaxInt
	for _, c := range candidates {
		s := b.states[c.ID]
		if s == nil || s.loadAt.IsZero() || now.Sub(s.loadAt) > minPriorityTTL {
			return 0
		}
		minPriority = min(minPriority, s.load.MinPriority)
	}
	if minPriority == math.MaxInt {
		return 0
	}
	return minPriority
}

// minPriorityTTL is how long a reported minimum priority counts.
const minPriorityTTL = 250 * time.Millisecond

// Prune drops the states of targets that are no longer candidates, except those
// with calls in flight. It does so only when there are more states than twice the
// number of candidates plus maxExtra.
func (b *Balancer) Prune(candidates []cicadaseam.Candidate) {
	const maxExtra = 64
	if len(b.states) <= 2*len(candidates)+maxExtra {
		return
	}
	keep := make(map[string]*state, len(candidates))
	for _, c := range candidates {
		if s := b.states[c.ID]; s != nil {
			keep[c.ID] = s
		}
	}
	for id, s := range b.states {
		if s.inFlight > 0 {
			keep[id] = s
		}
	}
	b.states = keep
}

// stateOf returns the state of a candidate, a new one if there is none.
func (b *Balancer) stateOf(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}
