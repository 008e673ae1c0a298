// Package keys proves that the API keys of a node's configuration are current, so that a key
// that was revoked stops working everywhere within a bound.
//
// # Model
//
// A proof is a time by the clock of this node (CLOCK_BOOTTIME, which advances also while the
// machine is suspended) before which no later revision than the one in force had been
// acknowledged by the store. It has two sources:
//
//   - A read of the store that was sent at Q and returned nothing later proves Q. A long poll that
//     the store held for its whole wait proves Q plus that wait.
//   - A peer that answers a query, sent at Q, with its revision and the age of its own proof
//     proves Q less that age.
//
// Only the time at which this node sent something and the durations that others report are used,
// never the time of a response and never the clock of another machine. Ages add up along a chain
// of peers.
//
// A node queries when its proof reaches the age of queryAge: first the reader of its zone, then
// the substitute of that reader, then the reader of another zone, then any peer. Each query that
// brings nothing is followed by one to the next candidate after QueryTimeout, so that the loss of
// one node never lets a proof age to the limit. A reader refreshes its proof once a second, so its
// proof does not reach queryAge, and its peers query it just after a refresh. A node that gets no
// answers reads the store itself, as the substitute does when its proof becomes old.
//
// # Restores of the store
//
// A store that comes back from an older copy may have lost a version that revoked a key. Its
// answers therefore prove nothing in a new epoch, or in the first one of a process, until a peer
// that has a proof of that epoch has answered, or else a peer of each zone, none with a later
// revision. A revision that any peer reports as in force must have been acknowledged, so while
// this node lacks it, nothing proves the one in force.
//
// # Invariants
//
//   - A proof never names a time at which a later revision had been acknowledged and was known to
//     the store, or to a node that was asked.
//   - The time of the proof never decreases, and the proof holds for the revision in force or an
//     earlier one.
//
// # Usage
//
//	p := keys.New(keys.WithLimit(5 * time.Second))
//	p.SetRevision(id)
//	p.ObserveRead(keys.Read{...})                          // of the store
//	if p.QueryDue(now) { targets := p.Targets(now, peers) } // query each, then
//	p.ObserveAnswer(now, sentAt, peer, answer)              // or p.ObserveFailure(now, peer)
//	admitted := p.Check(now).Accept
package keys

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// DefaultLimit is the time after which a revoked key works nowhere.
	DefaultLimit = 5 * time.Second
	// admitMargin is subtracted from the limit. It covers the lag of a store that answers a held
	// poll late, and the drift between the clocks of the machines.
	admitMargin = 300 * time.Millisecond
	// rejectLimit is the age of the proof up to which an unknown key is rejected. The key may
	// belong to a later version, which must be known 2.5 s after its acknowledgement.
	rejectLimit = 2500*time.Millisecond - 200*time.Millisecond
	// PollWait is how long the store holds a poll of a reader, and so the time between two
	// proofs from it.
	PollWait = time.Second
	// queryAge is the age of the proof at which a node queries a peer. It is longer than PollWait
	// by the time that a poll takes, so that a reader with a healthy store sends no query.
	queryAge = PollWait + 100*time.Millisecond
)

// Source says where a proof came from.
type Source string

// Sources of proofs.
const (
	SourceNone      Source = "none"
	SourceStore     Source = "store"
	SourceZone      Source = "zone"
	SourceOtherZone Source = "other-zone"
)

// Read is a successful call to the store that returned nothing later than the revision in force.
type Read struct {
	// Proves is the time by this node's clock up to which the call covers the store.
	Proves time.Duration
	// Epoch is that of the response, 0 if the store names none.
	Epoch uint64
	// Revision is the latest one that the store returned so far. The one in force is the same or
	// a later one, or has the same contents under another ID.
	Revision cicadaseam.RevisionID
}

// Query is the message that asks a peer for its proof.
type Query struct {
	Epoch uint64 // the newest that the sender knows
}

// Answer is the answer to a query. It holds no key and no hash of one.
type Answer struct {
	// Revision is the one in force at the peer.
	Revision cicadaseam.RevisionID
	// Proven is set if the peer has a proof. Age is then the age of the proof when the query
	// was answered, and Epoch the epoch of the store that it comes from.
	Proven bool
	Age    time.Duration
	Epoch  uint64
}

// Check says what the age of the proof allows.
type Check struct {
	// Accept is set if a key of the revision in force may be used.
	Accept bool
	// Reject is set if a key that the revision in force lacks may be answered with 401.
	Reject bool
}

// Counts are the events since the start.
type Counts struct {
	Queries, QueriesFailed         int64
	FromStore, FromZone, FromOther int64
	// Unusable counts reads and answers that proved nothing new.
	Unusable int64
}

// Prover holds the proof of one node. It reads no clock and is safe for concurrent use. All times
// are readings of CLOCK_BOOTTIME.
type Prover struct {
	limit time.Duration
	at    atomic.Int64 // the proven time in nanoseconds; 0 before the first proof

	mu          sync.Mutex
	active      cicadaseam.RevisionID // in force
	read        cicadaseam.RevisionID // the latest that the store returned
	latest      cicadaseam.RevisionID // the latest that a peer reported
	epoch       uint64                // newest known
	source      Source
	provenEpoch uint64 // of the proof
	pending     *pendingProof
	// confirmed is set once peers have confirmed that the store of confirmedIn has lost nothing
	// that they know.
	confirmed   bool
	confirmedIn uint64
	alone       bool // as in SetAlone
	// unconfirmed is the last proof by the store that awaits the confirmation.
	unconfirmed pendingProof
	// zonesAsked are the zones of which a peer answered a query that was sent at epochAt or later,
	// when this node knew the epoch epochSeen.
	zonesAsked map[string]bool
	epochSeen  uint64
	epochAt    time.Duration
	schedule
	counts Counts
}

// pendingProof is a proof that cannot be used yet: its revision is not in force yet, or its epoch
// is not confirmed.
type pendingProof struct {
	revision cicadaseam.RevisionID
	at       time.Duration
	epoch    uint64
	source   Source
}

// Option changes a new Prover.
type Option func(*Prover)

// WithLimit sets the time after which a revoked key works nowhere.
func WithLimit(d time.Duration) Option { return func(p *Prover) { p.limit = d } }

// New returns a prover without a proof.
func New(opts ...Option) *Prover {
	p := &Prover{limit: DefaultLimit, source: SourceNone, zonesAsked: map[string]bool{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Check returns what is allowed now. A caller that reads the table in force afterwards gets the
// revision of the proof or a later one. It allows nothing if now is 0, as when the clock cannot be
// read.
func (p *Prover) Check(now time.Duration) Check {
	age, proven := p.Age(now)
	return Check{Accept: proven && age <= p.limit-admitMargin, Reject: proven && age <= min(rejectLimit, p.limit-admitMargin)}
}

// Age returns the age of the proof, and false if there is none.
func (p *Prover) Age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(p.at.Load())
	return now - at, at != 0 && now != 0
}

// SetRevision records the revision in force.
func (p *Prover) SetRevision(id cicadaseam.RevisionID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = id
	if x := p.pending; x != nil && !x.revision.After(id) {
		p.pending = nil
		if x.epoch == p.epoch && !p.isBehind() {
			p.accept(*x)
			p.confirm()
		}
	}
}

// isBehind reports whether a peer has a later revision in force. The lock is held.
func (p *Prover) isBehind() bool { return p.latest.After(p.active) && p.latest.After(p.read) }

// ObserveRevision records the revision that a peer reported as in force there.
func (p *Prover) ObserveRevision(id cicadaseam.RevisionID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeRevision(id)
}

func (p *Prover) observeRevision(id cicadaseam.RevisionID) {
	if id.After(p.latest) {
		p.latest = id
	}
}

// ObserveEpoch records the newest epoch of the store that is known.
func (p *Prover) ObserveEpoch(epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeEpoch(epoch)
}

func (p *Prover) observeEpoch(epoch uint64) {
	if epoch > p.epoch {
		p.epoch = epoch
		clear(p.zonesAsked)
	}
}

// SetAlone records whether there are no other nodes that could know of a version that the store
// has lost.
func (p *Prover) SetAlone(alone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alone = alone
	p.acceptUnconfirmed()
}

// ObserveRead records a read of the store. The revision in force must be at least the newest one
// that the read returned, and must have been set.
func (p *Prover) ObserveRead(r Read) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeEpoch(r.Epoch)
	if r.Revision.After(p.read) {
		p.read = r.Revision
	}
	if r.Epoch < p.epoch || p.active.Number == 0 || p.isBehind() {
		p.counts.Unusable++
		return
	}
	p.counts.FromStore++
	x := pendingProof{revision: p.active, at: r.Proves, epoch: r.Epoch, source: SourceStore}
	if !p.isConfirmed() {
		p.unconfirmed = x
		return
	}
	p.accept(x)
}

// isConfirmed reports whether the store of the newest epoch is known to have lost nothing that a
// reachable peer knows. The lock is held.
func (p *Prover) isConfirmed() bool {
	return p.epoch == 0 || p.alone || p.confirmed && p.confirmedIn == p.epoch
}

// confirm ends the confirmation of the newest epoch. The lock is held.
func (p *Prover) confirm() {
	p.confirmed, p.confirmedIn = true, p.epoch
	p.acceptUnconfirmed()
}

// acceptUnconfirmed accepts the proof by the store that awaited the confirmation, if that is
// there. The lock is held.
func (p *Prover) acceptUnconfirmed() {
	x := p.unconfirmed
	if x.at == 0 || !p.isConfirmed() {
		return
	}
	p.unconfirmed = pendingProof{}
	if x.epoch == p.epoch && !p.isBehind() {
		p.accept(x)
	}
}

// accept uses a proof for the revision in force. The lock is held.
func (p *Prover) accept(x pendingProof) bool {
	if int64(x.at) <= p.at.Load() {
		return false
	}
	p.at.Store(int64(x.at))
	p.source, p.provenEpoch = x.source, x.epoch
	return true
}

// ObserveAnswer records the answer of a peer to a query that was sent at a time.
func (p *Prover) ObserveAnswer(now, sentAt time.Duration, from Peer, a Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeRevision(a.Revision)
	p.observeEpoch(a.Epoch)
	useful := p.useAnswer(sentAt, from, a)
	if !useful {
		p.counts.Unusable++
	}
	if p.epochSeen == p.epoch && sentAt >= p.epochAt && !a.Revision.After(p.active) && p.active.Number > 0 {
		p.zonesAsked[from.Zone] = true
	}
	p.recordResult(now, true, useful && !p.isOld(now))
}

// useAnswer uses the proof in an answer. It returns false if the answer proves nothing. The lock
// is held.
func (p *Prover) useAnswer(sentAt time.Duration, from Peer, a Answer) bool {
	if !a.Proven || a.Age < 0 || a.Age >= sentAt || a.Epoch < p.epoch || p.active.After(a.Revision) || a.Revision.Number == 0 {
		return false
	}
	x := pendingProof{revision: a.Revision, at: sentAt - a.Age, epoch: a.Epoch, source: SourceOtherZone}
	if from.SameZone {
		x.source = SourceZone
	}
	p.countAnswer(x.source)
	if a.Revision.After(p.active) {
		p.pending = &x
		return true
	}
	if p.isBehind() {
		return false
	}
	accepted := p.accept(x)
	p.confirm()
	return accepted
}

func (p *Prover) countAnswer(s Source) {
	if s == SourceZone {
		p.counts.FromZone++
		return
	}
	p.counts.FromOther++
}

// Answer returns the answer to a query.
func (p *Prover) Answer(now time.Duration) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	age, proven := p.Age(now)
	return Answer{Revision: p.active, Proven: proven, Age: age, Epoch: p.provenEpoch}
}

// Status describes the proof.
type Status struct {
	Source Source
	Counts Counts
	// Missing is the latest revision that a peer has in force, if this node lacks it.
	Missing cicadaseam.RevisionID
	// Unconfirmed is set while the answers of the store prove nothing because no peer has
	// confirmed its epoch.
	Unconfirmed bool
}

// Status returns the status of the proof.
func (p *Prover) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Source: p.source, Counts: p.counts, Unconfirmed: !p.isConfirmed()}
	if p.isBehind() {
		s.Missing = p.latest
	}
	return s
}
