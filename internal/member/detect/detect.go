package detect

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// DefaultProbePeriod is the time between two probes.
	DefaultProbePeriod = time.Second
	// DefaultTombstoneLifetime is how long a dead or left member is remembered.
	DefaultTombstoneLifetime = 5 * time.Minute
	// DefaultUnreachableTimeout is how long a member stays unreachable before it is declared dead.
	DefaultUnreachableTimeout = 2 * time.Hour

	// maxIndirectProbes bounds the members that are asked to probe a target.
	maxIndirectProbes = 3
	// gossipFanout bounds the members to which one call of Gossip sends updates.
	gossipFanout = 2
	// suspicionMultiplier scales the shortest suspicion timeout: this many probe periods times
	// log10 of the fleet size, which counts as at least 10.
	suspicionMultiplier = 3
	// maxConfirmations is the number of members that confirm the first report of a suspicion
	// after which the suspicion timeout is at its minimum.
	maxConfirmations = 3
	// transmissionFactor scales the number of times that an update is sent: this many times
	// 1 + log10 of the fleet size, rounded up.
	transmissionFactor = 3
	// maxHealthScore bounds the health score and with it the stretching of timeouts.
	maxHealthScore = 8
	// maxStride bounds the random step in which randomAlive walks the probe order.
	maxStride = 97
	// minSilentShare is the share of a zone that must be silent (suspect or unreachable) at the
	// same time for its members to become unreachable instead of dead.
	minSilentShare = 0.6
	// minSilentMembers is the number of members of a zone that must also be silent for this.
	minSilentMembers = 3
	// reservedBytes is the part of a packet that is kept for everything but updates.
	reservedBytes = 700
)

// Outgoing is a packet to send.
type Outgoing struct {
	Addr   string
	Packet *Packet
}

// entry is the state that this node keeps about a member.
type entry struct {
	member    cicadaseam.Member
	changedAt time.Time // of the last change of member
	firstSeen time.Time
	// readySince is when the backend server of the member last became ready.
	readySince time.Time
	// suspectedAt and suspectedBy are the start of a suspicion and the ids of the members that
	// reported it.
	suspectedAt   time.Time
	suspectedBy   map[string]bool
	transmissions int // of the current update about the member
	size          int // of the encoded member, in bytes
	ackedAt       time.Time
}

// probe is the probe of this node that is in flight.
type probe struct {
	seq          uint64
	targetID     string
	sentAt       time.Time
	indirectSent bool // other members have been asked to probe the target
	answered     bool
}

// relayedPing is a ping that this node sent on behalf of another one.
type relayedPing struct {
	seq       uint64 // of the PingRequest
	addr      string // of the node that asked
	expiresAt time.Time
}

// Counters counts the decisions of a detector.
type Counters struct {
	Probes      int
	Suspicions  int
	Refutations int
	Deaths      int
	Unreachable int
}

// Detector is the failure detector of one node. It is not safe for concurrent use.
type Detector struct {
	self              cicadaseam.Member
	rng               *rand.Rand
	period            time.Duration
	tombstoneLifetime time.Duration
	members           map[string]*entry
	probeOrder        []string // ids of all members, shuffled after each round of probes
	nextProbe         int      // index into probeOrder
	seq               uint64
	probe             *probe
	relayedPings      map[uint64]relayedPing // by the sequence number of the ping
	pending           updateQueue
	// selfEntry is the entry of this node itself, which is not in members.
	selfEntry   *entry
	healthScore int
	lastTick    time.Time
	lastExpiry  time.Time // of the last call of removeExpired
	suspects    map[string]bool
	// disputed holds the ids of members that are dead here and alive for another node.
	disputed map[string]bool
	version  uint64
	digests  map[string]uint64 // by zone
	zones    []string
	nextZone int // index into zones, modulo their number, of the next digest to send
	leaving  bool
	counters Counters
	// digestMismatches counts, for each zone, the received digests in a row that differ from
	// the digest of this node.
	digestMismatches map[string]int
	syncRequests     []SyncRequest
	// initialTransmissions is the number of transmissions at which a new update starts.
	initialTransmissions int
}

// SyncRequest asks for an exchange of the members of one zone with a peer.
type SyncRequest struct {
	Addr string
	Zone string
}

// Option configures a new Detector.
type Option func(*Detector)

// WithProbePeriod sets the time between two probes.
func WithProbePeriod(d time.Duration) Option { return func(x *Detector) { x.period = d } }

// New returns a detector without any other member.
func New(self cicadaseam.Member, rng *rand.Rand, opts ...Option) *Detector {
	self.State = cicadaseam.MemberAlive
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	d := &Detector{
		self:              self,
		rng:               rng,
		period:            DefaultProbePeriod,
		tombstoneLifetime: DefaultTombstoneLifetime,
		members:           map[string]*entry{},
		suspects:          map[string]bool{},
		disputed:          map[string]bool{},
		selfEntry:         &entry{},
		relayedPings:      map[uint64]relayedPing{},
		digests:           map[string]uint64{},
		digestMismatches:  map[string]int{},
	}
	for _, opt := range opts {
		opt(d)
	}
	d.addToDigest(self)
	return d
}

// Self returns this node as it announces itself to the others.
func (d *Detector) Self() cicadaseam.Member { return d.self }

// Version increases with each change of the result of Self or Members.
func (d *Detector) Version() uint64 { return d.version }

// Counters returns the counts of the decisions made so far.
func (d *Detector) Counters() Counters { return d.counters }

// HealthScore returns a measure of how slow this node itself appears to be: 0 when it is healthy,
// maxHealthScore at worst.
func (d *Detector) HealthScore() int { return d.healthScore }

// Members returns the other members, sorted by id.
func (d *Detector) Members() []cicadaseam.Member {
	out := make([]cicadaseam.Member, 0, len(d.members))
	for _, e := range d.members {
		out = append(out, e.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Times are when something happened to a member, as this node learned of it.
type Times struct {
	LastHeard time.Time // last change or acknowledgement, whichever is later
	FirstSeen time.Time
	// ReadySince is when the backend server of the member last became ready.
	ReadySince time.Time
}

// Times returns the times of a member, which are zero for an unknown one.
func (d *Detector) Times(id string) Times {
	e := d.members[id]
	if e == nil {
		return Times{}
	}
	t := Times{LastHeard: e.changedAt, FirstSeen: e.firstSeen, ReadySince: e.readySince}
	if e.ackedAt.After(e.changedAt) {
		t.LastHeard = e.ackedAt
	}
	return t
}

// SetBackend changes the state of the backend server that this node announces.
func (d *Detector) SetBackend(b cicadaseam.Backend) {
	if d.self.Backend == b {
		return
	}
	d.updateSelf(func() { d.self.Backend = b })
}

// Leave sets this node to the state left and returns the packets that announce it, to be sent at
// once.
func (d *Detector) Leave() []Outgoing {
	d.leaving = true
	d.updateSelf(func() { d.self.State = cicadaseam.MemberLeft })
	return d.Broadcast(nil)
}

// Broadcast returns a packet with marks, pending updates and the state of this node for each member
// that is alive or suspect. It is for rare events that all members must learn of at once.
func (d *Detector) Broadcast(marks []cicadaseam.CrashMark) []Outgoing {
	var out []Outgoing
	for _, e := range d.sortedEntries() {
		if e.member.State > cicadaseam.MemberSuspect {
			continue
		}
		p := d.newPacket(Gossip, e.member)
		p.Marks = marks
		p.Updates = append(p.Updates, d.self)
		out = append(out, Outgoing{Addr: e.member.Addr, Packet: p})
	}
	return out
}

// TakeSyncRequests returns the zone exchanges that are due and clears the list.
func (d *Detector) TakeSyncRequests() []SyncRequest {
	out := d.syncRequests
	d.syncRequests = nil
	return out
}

// updateSelf increments the incarnation of this node, applies a change to it and queues the update.
func (d *Detector) updateSelf(change func()) {
	d.removeFromDigest(d.self)
	d.self.Incarnation++
	change()
	d.addToDigest(d.self)
	d.version++
	d.enqueueUpdate(d.self.ID)
}

// Merge applies the members that a peer sent in full, at a join or an exchange. Other nodes learn
// of many members at once in the same way, or by comparing zone digests, so each of these is
// gossiped fewer times: once if the queue of updates is long.
func (d *Detector) Merge(now time.Time, members []cicadaseam.Member) {
	if len(members) > largeMerge {
		d.initialTransmissions = reducedTransmissions - 1
		defer func() { d.initialTransmissions = 0 }()
	}
	for _, m := range members {
		d.applyUpdate(now, m, "")
	}
}

// applyUpdate applies an update about a member. from is the id of the sender, which counts as a
// reporter of a suspicion, or empty.
func (d *Detector) applyUpdate(now time.Time, m cicadaseam.Member, from string) {
	if m.ID == d.self.ID {
		d.refute(m)
		return
	}
	if m.State == cicadaseam.MemberUnreachable {
		// Unreachable is a judgement of the sender about the zone, not a state of the member.
		m.State = cicadaseam.MemberSuspect
	}
	e := d.members[m.ID]
	if e == nil {
		if m.State >= cicadaseam.MemberDead {
			return
		}
		d.addMember(now, m, from)
		return
	}
	if m.State == cicadaseam.MemberSuspect && e.member.State == cicadaseam.MemberSuspect && from != "" && m.Incarnation == e.member.Incarnation {
		d.confirmSuspicion(e, from)
	}
	if !supersedes(m, e.member) {
		d.noteDispute(m, e.member)
		return
	}
	if m.State == cicadaseam.MemberDead && severity(e.member.State) == severity(cicadaseam.MemberSuspect) && d.zoneSilent(m.Locality.Zone) {
		// The sender has not seen yet that most of the zone is silent.
		d.markUnreachable(now, e)
		return
	}
	d.setMember(now, e, m, from)
}

// noteDispute records a member that is dead for this node and alive, at the same incarnation, for
// another node. The update does not revive the member, but pingDisputed notifies the member of its
// death, so that the member refutes with a higher incarnation.
func (d *Detector) noteDispute(update, current cicadaseam.Member) {
	if update.State == cicadaseam.MemberAlive && current.State == cicadaseam.MemberDead && update.Incarnation == current.Incarnation {
		d.disputed[update.ID] = true
	}
}

// supersedes reports whether an update about a member replaces its current state. Nothing replaces
// left. An unreachable member counts as suspect: a higher incarnation makes it alive again.
func supersedes(update, current cicadaseam.Member) bool {
	if current.State == cicadaseam.MemberLeft {
		return false
	}
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return severity(update.State) > severity(current.State)
}

// severity orders the states at the same incarnation: the higher one wins.
func severity(s cicadaseam.MemberState) int {
	if s == cicadaseam.MemberUnreachable {
		return int(cicadaseam.MemberSuspect)
	}
	return int(s)
}

// refute answers an update that says that this node is not alive: it takes a higher incarnation. It
// raises the health score, because others may have suspected this node for being slow.
func (d *Detector) refute(m cicadaseam.Member) {
	if d.leaving || m.State == cicadaseam.MemberAlive || m.Incarnation < d.self.Incarnation {
		return
	}
	d.counters.Refutations++
	d.adjustHealthScore(1)
	refuted := m.Incarnation
	d.updateSelf(func() { d.self.Incarnation = max(d.self.Incarnation, refuted+1) })
}

func (d *Detector) addMember(now time.Time, m cicadaseam.Member, from string) {
	e := &entry{firstSeen: now}
	d.members[m.ID] = e
	d.insertIntoProbeOrder(m.ID)
	e.member.ID = m.ID
	e.member.State = cicadaseam.MemberDead // not in the zone digest; setMember adds it
	d.setMember(now, e, m, from)
}

// setMember replaces the member of an entry and queues the update. from is the reporter of a
// suspicion, or empty.
func (d *Detector) setMember(now time.Time, e *entry, m cicadaseam.Member, from string) {
	d.removeFromDigest(e.member)
	previous := e.member.State
	wasReady := e.member.Backend.State == cicadaseam.BackendReady
	if m.Backend.State == cicadaseam.BackendReady && !wasReady {
		e.readySince = now
	}
	e.member = m
	e.changedAt = now
	d.addToDigest(e.member)
	d.version++
	switch {
	case m.State == cicadaseam.MemberSuspect && previous != cicadaseam.MemberSuspect:
		e.suspectedAt = now
		d.suspects[m.ID] = true
		e.suspectedBy = map[string]bool{}
		d.confirmSuspicion(e, from)
	case m.State == cicadaseam.MemberAlive:
		e.suspectedBy = nil
	}
	d.enqueueUpdate(m.ID)
}

// confirmSuspicion records a member that reports a suspicion, and queues the update again, so that
// others count the confirmation too.
func (d *Detector) confirmSuspicion(e *entry, from string) {
	if from == "" || e.suspectedBy == nil || e.suspectedBy[from] || len(e.suspectedBy) > maxConfirmations {
		return
	}
	e.suspectedBy[from] = true
	d.enqueueUpdate(e.member.ID)
}

// insertIntoProbeOrder inserts a new member at a random position of the probe order.
func (d *Detector) insertIntoProbeOrder(id string) {
	i := d.rng.IntN(len(d.probeOrder) + 1)
	d.probeOrder = append(d.probeOrder, "")
	copy(d.probeOrder[i+1:], d.probeOrder[i:])
	d.probeOrder[i] = id
}

// suspicionTimeout returns how long a member stays suspect before the suspicion ends. It shrinks
// from its maximum to its minimum as more members report the suspicion. The minimum grows with the
// logarithm of the fleet size, because a refutation takes that long to spread.
func (d *Detector) suspicionTimeout(e *entry) time.Duration {
	n := math.Max(float64(len(d.members)+1), 10)
	shortest := suspicionMultiplier * math.Log10(n) * float64(d.period)
	longest := 2 * shortest
	share := math.Log(float64(max(len(e.suspectedBy), 1))) / math.Log(maxConfirmations+1)
	timeout := longest - (longest-shortest)*math.Min(share, 1)
	return time.Duration(timeout) * time.Duration(1+d.healthScore/2)
}

func (d *Detector) adjustHealthScore(delta int) {
	d.healthScore = min(max(d.healthScore+delta, 0), maxHealthScore)
}

// sortedEntries returns the entries of the other members, sorted by id.
func (d *Detector) sortedEntries() []*entry {
	out := make([]*entry, 0, len(d.members))
	for _, e := range d.members {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].member.ID < out[j].member.ID })
	return out
}

// addToDigest adds a member to the digest of its zone, unless it is dead or left. The digest is the
// exclusive or of the hashes of the members, so that a change of one costs the same in a zone of
// any size.
func (d *Detector) addToDigest(m cicadaseam.Member) {
	if m.State > cicadaseam.MemberUnreachable {
		return
	}
	if _, known := d.digests[m.Locality.Zone]; !known {
		d.zones = append(d.zones, m.Locality.Zone)
	}
	d.digests[m.Locality.Zone] ^= memberHash(m)
}

// removeFromDigest undoes addToDigest.
func (d *Detector) removeFromDigest(m cicadaseam.Member) {
	if m.State > cicadaseam.MemberUnreachable {
		return
	}
	d.digests[m.Locality.Zone] ^= memberHash(m)
}

// memberHash returns the hash of the id and the incarnation of a member.
func memberHash(m cicadaseam.Member) uint64 {
	var incarnation [8]byte
	for i := range incarnation {
		incarnation[i] = byte(m.Incarnation >> (8 * i))
	}
	return xxhash.Sum64(append([]byte(m.ID), incarnation[:]...))
}
