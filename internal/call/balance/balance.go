// Package balance chooses the target of a call.
//
// # Model
//
// A Balancer draws two candidates of the own zone and one of the rest of the
// region (or of the other regions when the region has none) and takes the
// cheapest. The cost is the expected wait: what this node has in flight there
// and the load that came back on answers, times the recent latency, raised by
// recent failures and by distance. Work spills over to other zones when the
// own one grows expensive, and comes back by itself. A candidate seen for the
// first time starts with a small share of the work. A candidate that keeps
// failing is ejected for a time; no more than a share of a service may be
// ejected, so that a wrong signal cannot empty it.
//
// Random and RoundRobin are baselines to measure against.
//
// # Usage
//
//	b := balance.New(place, rng)
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

// Tuning.
const (
	latencyWeight = 0.2
	failureWeight = 0.2
	failureCost   = 20.0
	// staleAfter is the time without a call after which what is known about a
	// candidate begins to fade, so that it is tried again.
	staleAfter  = 2 * time.Second
	zoneCost    = 1.0
	regionCost  = 3.0
	farCost     = 8.0
	refusedCost = 4.0
	refusedHold = 100 * time.Millisecond
	loadHold    = time.Second

	ejectFailures  = 5
	ejectFirst     = 5 * time.Second
	ejectCap       = time.Minute
	ejectForget    = 2 * time.Minute
	slowStartFloor = 0.1
	defaultLatency = time.Millisecond
)

// state is what a balancer knows about one candidate.
type state struct {
	inFlight    int
	latency     float64 // nanoseconds, 0 before the first answer
	failure     float64 // share of recent calls that failed
	lastEnd     time.Time
	refusedAt   time.Time
	load        cicadaseam.Load
	loadAt      time.Time
	consecutive int
	ejectedTo   time.Time
	ejections   int
}

// Balancer is the Picker of one service at one entry node. It is a plain state
// machine and is not safe for concurrent use.
type Balancer struct {
	place     cicadaseam.Locality
	rng       *rand.Rand
	slowStart time.Duration
	share     float64
	states    map[string]*state
	began     time.Time
}

// Option changes a new Balancer.
type Option func(*Balancer)

// WithEjectShare sets the largest share of a service that may be ejected.
func WithEjectShare(share float64) Option { return func(b *Balancer) { b.share = share } }

// New returns a balancer for callers at a place.
func New(place cicadaseam.Locality, rng *rand.Rand, opts ...Option) *Balancer {
	b := &Balancer{place: place, rng: rng, slowStart: 10 * time.Second, share: 0.34, states: map[string]*state{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Configure changes the slow start and the ejection share.
func (b *Balancer) Configure(slowStart time.Duration, share float64) {
	b.slowStart = slowStart
	b.share = share
}

// Pick implements cicadaseam.Picker.
func (b *Balancer) Pick(now time.Time, candidates []cicadaseam.Candidate, tried map[string]bool) int {
	if b.began.IsZero() {
		b.began = now
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

// sample draws the candidates to compare. When all are ejected or tried, the
// ejected ones are used: a service is never emptied.
func (b *Balancer) sample(candidates []cicadaseam.Candidate, tried, ejected map[string]bool) []int {
	var zone, region, far []int
	for i, c := range candidates {
		if tried[c.ID] || ejected[c.ID] {
			continue
		}
		switch {
		case c.Zone == b.place.Zone:
			zone = append(zone, i)
		case c.Region == b.place.Region:
			region = append(region, i)
		default:
			far = append(far, i)
		}
	}
	picked := b.draw(zone, 2)
	picked = append(picked, b.draw(region, 3-len(picked))...)
	if len(picked) < 2 {
		picked = append(picked, b.draw(far, 2)...)
	}
	if len(picked) > 0 || len(ejected) == 0 {
		return picked
	}
	return b.sample(candidates, tried, nil)
}

// draw returns up to n different members of a set.
func (b *Balancer) draw(set []int, n int) []int {
	for i := 0; i < n && i < len(set); i++ {
		j := i + b.rng.IntN(len(set)-i)
		set[i], set[j] = set[j], set[i]
	}
	return append([]int(nil), set[:min(n, len(set))]...)
}

// cost is the expected wait at a candidate, in weighted nanoseconds.
func (b *Balancer) cost(now time.Time, c cicadaseam.Candidate) float64 {
	s := b.state(c.ID)
	latency := s.latency
	if latency == 0 {
		latency = float64(defaultLatency)
	}
	fade := b.fade(now, s)
	latency = float64(defaultLatency) + (latency-float64(defaultLatency))*fade
	cost := float64(s.inFlight+1) * latency
	cost *= 1 + failureCost*s.failure*fade
	cost *= b.loadFactor(now, s, c.Slots)
	cost /= b.warmth(now, c)
	if now.Sub(s.refusedAt) < refusedHold && !s.refusedAt.IsZero() {
		cost *= refusedCost
	}
	return cost * b.distance(c)
}

// fade falls from 1 to 0 while nothing is heard of a candidate.
func (b *Balancer) fade(now time.Time, s *state) float64 {
	idle := now.Sub(s.lastEnd) - staleAfter
	if idle <= 0 || s.inFlight > 0 {
		return 1
	}
	return math.Exp(-float64(idle) / float64(2*staleAfter))
}

// loadFactor weighs what the target told about its load.
func (b *Balancer) loadFactor(now time.Time, s *state, slots int) float64 {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > loadHold {
		return 1
	}
	limit := s.load.Limit
	if limit == 0 {
		limit = max(slots, 1)
	}
	return 1 + float64(s.load.InFlight+2*s.load.Queued)/float64(limit)
}

// warmth rises from slowStartFloor to 1 during the slow start. Candidates that
// were there when this node began are taken as warm.
func (b *Balancer) warmth(now time.Time, c cicadaseam.Candidate) float64 {
	age := now.Sub(c.ReadySince)
	if b.slowStart <= 0 || age >= b.slowStart || c.ReadySince.Sub(b.began) < b.slowStart {
		return 1
	}
	return math.Max(float64(age)/float64(b.slowStart), slowStartFloor)
}

func (b *Balancer) distance(c cicadaseam.Candidate) float64 {
	switch {
	case c.Zone == b.place.Zone:
		return zoneCost
	case c.Region == b.place.Region:
		return regionCost
	}
	return farCost
}

// ejected returns the candidates that are out now, within the ceiling.
func (b *Balancer) ejected(now time.Time, candidates []cicadaseam.Candidate) map[string]bool {
	ceiling := int(b.share * float64(len(candidates)))
	var out map[string]bool
	for _, c := range candidates {
		s := b.states[c.ID]
		if s == nil || !now.Before(s.ejectedTo) || len(out) >= ceiling {
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
	b.state(id).inFlight++
}

// Ended implements cicadaseam.Picker.
func (b *Balancer) Ended(now time.Time, id string, r cicadaseam.PickResult) {
	s := b.state(id)
	s.inFlight--
	s.lastEnd = now
	if r.Load.Limit > 0 {
		s.load, s.loadAt = r.Load, now
	}
	if r.Refused {
		s.refusedAt = now
		return
	}
	b.learn(now, s, r)
}

func (b *Balancer) learn(now time.Time, s *state, r cicadaseam.PickResult) {
	failed := 0.0
	if r.Failed {
		failed = 1
		s.consecutive++
	} else {
		s.consecutive = 0
		b.learnLatency(s, r.Latency)
	}
	s.failure += failureWeight * (failed - s.failure)
	if s.consecutive >= ejectFailures && !now.Before(s.ejectedTo) {
		b.eject(now, s)
	}
}

func (b *Balancer) learnLatency(s *state, latency time.Duration) {
	if s.latency == 0 {
		s.latency = float64(latency)
		return
	}
	s.latency += latencyWeight * (float64(latency) - s.latency)
}

func (b *Balancer) eject(now time.Time, s *state) {
	if now.Sub(s.ejectedTo) > ejectForget {
		s.ejections = 0
	}
	s.ejectedTo = now.Add(min(ejectFirst<<min(s.ejections, 10), ejectCap))
	s.ejections++
	s.consecutive = 0
}

// Level returns the lowest priority that any of the candidates takes, as far
// as their answers tell: 0 when one of them has not told lately.
func (b *Balancer) MinPriority(now time.Time, candidates []cicadaseam.Candidate) int {
	level := math.MaxInt
	for _, c := range candidates {
		s := b.states[c.ID]
		if s == nil || s.loadAt.IsZero() || now.Sub(s.loadAt) > levelFresh {
			return 0
		}
		level = min(level, s.load.MinPriority)
	}
	if level == math.MaxInt {
		return 0
	}
	return level
}

// levelFresh is how long a level that came with an answer counts.
const levelFresh = 250 * time.Millisecond

// Forget drops what is known about candidates that are gone.
func (b *Balancer) Prune(candidates []cicadaseam.Candidate) {
	const slack = 64
	if len(b.states) <= 2*len(candidates)+slack {
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

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}
