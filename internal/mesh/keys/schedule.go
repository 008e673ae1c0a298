package keys

import "time"

const (
	// QueryTimeout bounds a query. The next candidate is asked after it.
	QueryTimeout = 300 * time.Millisecond
	// minQueryGap is the time between a failed query and the next one, and usefulGap that after a
	// query that brought a proof. longGap is the gap after maxQuickFailures rounds in a row that
	// brought none: the store is then probably unavailable to all nodes. Fewer rounds let proofs
	// age beyond the limit in a long chain of peers of which only the first reaches the store.
	minQueryGap      = 50 * time.Millisecond
	usefulGap        = 250 * time.Millisecond
	longGap          = time.Second
	maxQuickFailures = 12
	// maxTargets bounds the peers that are asked at once while there is no proof.
	maxTargets = 8
	// storeAfterUnanswered is the number of rounds in a row without any answer after which a node
	// with an old proof reads the store itself, for storeHold.
	storeAfterUnanswered = 3
	storeHold            = 10 * time.Second
)

// Peer is a node that can be queried.
type Peer struct {
	Addr string
	Zone string
	// SameZone is set if the peer is in the zone of this node.
	SameZone bool
	// Reader is set if the peer reads the store for its zone, and Substitute if it does so when
	// the reader fails.
	Reader     bool
	Substitute bool
}

// schedule decides when and whom to query. It is part of a Prover and protected by its lock.
type schedule struct {
	lastQuery  time.Duration
	lastResult time.Duration
	inFlight   int
	answered   bool // any of the queries of the round
	useful     bool
	failures   int // rounds in a row that brought no proof
	unanswered int // rounds in a row without an answer
	rotation   int // advances with each candidate that is not a reader
	storeUntil time.Duration
}

// QueryDue reports whether a query is due.
func (p *Prover) QueryDue(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.schedule
	if p.epochSeen != p.epoch || p.epochAt == 0 {
		p.epochSeen, p.epochAt = p.epoch, now
	}
	if p.active.Number == 0 || s.inFlight > 0 && now < s.lastQuery+2*QueryTimeout {
		return false
	}
	gap := usefulGap
	switch {
	case s.failures > maxQuickFailures:
		gap = longGap
	case s.failures > 0 || s.lastQuery == 0:
		gap = minQueryGap
	}
	if now < s.lastResult+gap {
		return false
	}
	age, proven := p.Age(now)
	return !proven || age >= queryAge || !p.isConfirmed()
}

// Targets returns the peers to query now, and counts them as queried. peers are all live ones.
func (p *Prover) Targets(now time.Duration, peers []Peer) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isConfirmed() && p.allZonesAsked(peers) {
		p.confirm()
	}
	var targets []Peer
	switch {
	case !p.isConfirmed():
		targets = p.representatives(peers)
	case p.isOld(now):
		targets = p.candidates(peers)
	default:
		all := p.candidates(peers)
		if len(all) > 0 {
			targets = all[p.failures%len(all):][:1]
		}
	}
	s := &p.schedule
	s.lastQuery, s.inFlight, s.answered, s.useful = now, len(targets), false, false
	p.counts.Queries += int64(len(targets))
	if len(targets) == 0 {
		p.endRound(now)
	}
	return targets
}

// candidates returns the peers to query in the order of preference: the reader of the zone, its
// substitute, the reader of another zone, any other peer. The lock is held.
func (p *Prover) candidates(peers []Peer) []Peer {
	p.rotation++
	var out []Peer
	for _, match := range []func(Peer) bool{
		func(x Peer) bool { return x.SameZone && x.Reader },
		func(x Peer) bool { return x.SameZone && x.Substitute },
		func(x Peer) bool { return !x.SameZone && x.Reader },
		func(x Peer) bool { return !x.Reader && !x.Substitute },
	} {
		if x, ok := pick(peers, p.rotation, match); ok {
			out = append(out, x)
		}
	}
	return out
}

// representatives returns the reader and another peer of each zone in which no peer has answered
// in this epoch. The lock is held.
func (p *Prover) representatives(peers []Peer) []Peer {
	p.rotation++
	var out []Peer
	seen := map[string]bool{}
	for _, sameZone := range []bool{true, false} {
		for _, x := range peers {
			if x.SameZone != sameZone || seen[x.Zone] || p.zonesAsked[x.Zone] {
				continue
			}
			seen[x.Zone] = true
			for _, reader := range []bool{true, false} {
				if y, ok := pick(peers, p.rotation, func(y Peer) bool { return y.Zone == x.Zone && y.Reader == reader }); ok && len(out) < maxTargets {
					out = append(out, y)
				}
			}
		}
	}
	return out
}

// pick returns one of the peers that match, another one for each rotation.
func pick(peers []Peer, rotation int, match func(Peer) bool) (Peer, bool) {
	var matching []Peer
	for _, x := range peers {
		if match(x) {
			matching = append(matching, x)
		}
	}
	if len(matching) == 0 {
		return Peer{}, false
	}
	return matching[rotation%len(matching)], true
}

// allZonesAsked reports whether a peer of each zone has answered in this epoch. The lock is held.
func (p *Prover) allZonesAsked(peers []Peer) bool {
	for _, x := range peers {
		if !p.zonesAsked[x.Zone] {
			return false
		}
	}
	return len(peers) > 0
}

// ObserveFailure records a query that was not answered.
func (p *Prover) ObserveFailure(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.QueriesFailed++
	p.recordResult(now, false, false)
}

// recordResult records the result of a query. The lock is held.
func (p *Prover) recordResult(now time.Duration, answered, useful bool) {
	s := &p.schedule
	s.answered = s.answered || answered
	s.useful = s.useful || useful
	s.inFlight = max(s.inFlight-1, 0)
	if s.inFlight == 0 {
		p.endRound(now)
	}
}

// endRound records the end of a round of queries. The lock is held.
func (p *Prover) endRound(now time.Duration) {
	s := &p.schedule
	s.lastResult = now
	s.failures++
	if s.useful {
		s.failures = 0
	}
	s.unanswered++
	if s.answered {
		s.unanswered = 0
	}
	if s.unanswered >= storeAfterUnanswered && p.isOld(now) {
		s.storeUntil = now + storeHold
	}
}

// NeedsStore reports whether this node is to read the store although it is not the reader of its
// zone: because no peer answers, or because it is the substitute and its proof is old, which says
// that the reader does not get one either.
func (p *Prover) NeedsStore(now time.Duration, isSubstitute func() bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A node that has just started does not know yet who the substitute is.
	if _, proven := p.Age(now); proven && now >= p.storeUntil && p.isOld(now) && isSubstitute() {
		p.storeUntil = now + storeHold
	}
	return now < p.storeUntil
}

// isOld reports whether the proof is missing or has reached half of the limit. The lock is held.
func (p *Prover) isOld(now time.Duration) bool {
	age, proven := p.Age(now)
	return !proven || age > p.limit/2
}
