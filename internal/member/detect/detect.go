package detect

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

// Defaults.
const (
	DefaultProbePeriod        = time.Second
	DefaultTombstoneLifetime  = 5 * time.Minute
	DefaultUnreachableTimeout = 2 * time.Hour
	indirectProbes            = 3
	gossipFanout              = 2
	suspicionMultiplier       = 3
	suspicionConfirms         = 3
	retransmitFactor          = 3
	maxScore                  = 8
	// maxStride bounds the steps in which members are drawn from the order.
	maxStride = 97
	// zoneSilentShare is the share of a zone that must be silent at once for
	// its members to become unreachable instead of dead.
	zoneSilentShare   = 0.6
	zoneSilentMembers = 3
	updateReserve     = 700 // bytes of a packet kept for all but updates
)

// Send is a packet to send.
type Outgoing struct {
	Addr   string
	Packet *Packet
}

// entry is a member with what this node keeps about it.
type entry struct {
	m         cicadaseam.Member
	changed   time.Time
	firstSeen time.Time
	// suspicion of this member
	suspectAt time.Time
	accusers  map[string]bool
	transmits int
	size      int // encoded, in bytes
	ackedAt   time.Time
}

// probe is the one probe in flight.
type probe struct {
	seq      uint64
	id       string
	sentAt   time.Time
	indirect bool
	answered bool
}

// relay is a probe that this node makes for another one.
type relay struct {
	seq    uint64
	addr   string
	expire time.Time
}

// Counters count what the detector decided.
type Counters struct {
	Probes      int
	Suspicions  int
	Refutations int
	Deaths      int
	Unreachable int
}

// Detector is the failure detector of one node.
type Detector struct {
	self    cicadaseam.Member
	rng     *rand.Rand
	period  time.Duration
	tomb    time.Duration
	members map[string]*entry
	order   []string // probe order
	next    int
	seq     uint64
	probe   *probe
	relays  map[uint64]relay
	news    news
	// own is the entry of this node itself.
	own     *entry
	score   int
	lastNow time.Time
	// lastExpire is when old members were last looked for.
	lastExpire time.Time
	suspects   map[string]bool
	// doubted are dead members that others hold alive.
	doubted map[string]bool
	version uint64
	digests map[string]uint64
	zones   []string
	zoneAt  int
	leaving bool
	counts  Counters
	// mismatch counts answers in a row whose zone digest differs.
	mismatch map[string]int
	syncs    []SyncRequest
	// sent is how often new news counts as sent already.
	sent int
}

// Sync asks for an exchange of one zone's members with a peer.
type SyncRequest struct {
	Addr string
	Zone string
}

// Option changes a new Detector.
type Option func(*Detector)

// WithPeriod sets the time between two probes.
func WithProbePeriod(d time.Duration) Option { return func(x *Detector) { x.period = d } }

// New returns a detector that knows itself alone.
func New(self cicadaseam.Member, rng *rand.Rand, opts ...Option) *Detector {
	self.State = cicadaseam.MemberAlive
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	d := &Detector{
		self:     self,
		rng:      rng,
		period:   DefaultProbePeriod,
		tomb:     DefaultTombstoneLifetime,
		members:  map[string]*entry{},
		suspects: map[string]bool{},
		doubted:  map[string]bool{},
		own:      &entry{},
		relays:   map[uint64]relay{},
		digests:  map[string]uint64{},
		mismatch: map[string]int{},
	}
	for _, opt := range opts {
		opt(d)
	}
	d.addDigest(self)
	return d
}

// Self returns this node as others see it.
func (d *Detector) Self() cicadaseam.Member { return d.self }

// Version rises with each change of what Members returns.
func (d *Detector) Version() uint64 { return d.version }

// Counters returns what the detector decided so far.
func (d *Detector) Counters() Counters { return d.counts }

// Score returns how much this node doubts itself, 0 for not at all.
func (d *Detector) HealthScore() int { return d.score }

// Members returns the other members in order of id.
func (d *Detector) Members() []cicadaseam.Member {
	out := make([]cicadaseam.Member, 0, len(d.members))
	for _, e := range d.members {
		out = append(out, e.m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Heard returns the time of the last change or answer of a member and when it
// was first seen.
func (d *Detector) LastHeard(id string) (changed, firstSeen time.Time) {
	e := d.members[id]
	if e == nil {
		return time.Time{}, time.Time{}
	}
	if e.ackedAt.After(e.changed) {
		return e.ackedAt, e.firstSeen
	}
	return e.changed, e.firstSeen
}

// SetBackend changes what this node tells about its backend server.
func (d *Detector) SetBackend(b cicadaseam.Backend) {
	if d.self.Backend == b {
		return
	}
	d.raiseIncarnation(func() { d.self.Backend = b })
}

// Leave makes this node say goodbye and returns the packets to send at once.
func (d *Detector) Leave() []Outgoing {
	d.leaving = true
	d.raiseIncarnation(func() { d.self.State = cicadaseam.MemberLeft })
	return d.Broadcast(nil)
}

// Broadcast returns a packet with marks and pending updates to each live
// member. It is for rare events that all must learn at once.
func (d *Detector) Broadcast(marks []cicadaseam.CrashMark) []Outgoing {
	var sends []Outgoing
	for _, e := range d.sorted() {
		if e.m.State > cicadaseam.MemberSuspect {
			continue
		}
		p := d.packet(Gossip, e.m)
		p.Marks = marks
		p.Updates = append(p.Updates, d.self)
		sends = append(sends, Outgoing{Addr: e.m.Addr, Packet: p})
	}
	return sends
}

// TakeSyncs returns the zone exchanges that are due and forgets them.
func (d *Detector) TakeSyncRequests() []SyncRequest {
	out := d.syncs
	d.syncs = nil
	return out
}

func (d *Detector) raiseIncarnation(change func()) {
	d.dropDigest(d.self)
	d.self.Incarnation++
	change()
	d.addDigest(d.self)
	d.version++
	d.enqueue(d.self.ID)
}

// Merge takes members that a peer sent whole, at a join or an exchange. Of many
// at once the peers of this node learn in the same way, or by the digests of
// zones, so that each is passed on once.
func (d *Detector) Merge(now time.Time, members []cicadaseam.Member) {
	if len(members) > muchMerged {
		d.sent = fewRetransmits - 1
		defer func() { d.sent = 0 }()
	}
	for _, m := range members {
		d.update(now, m, "")
	}
}

// update takes news about a member. by names the accuser of a suspicion.
func (d *Detector) update(now time.Time, m cicadaseam.Member, by string) {
	if m.ID == d.self.ID {
		d.refute(m)
		return
	}
	if m.State == cicadaseam.MemberUnreachable {
		// Unreachable is a view of the sender, not news about the member.
		m.State = cicadaseam.MemberSuspect
	}
	e := d.members[m.ID]
	if e == nil {
		if m.State >= cicadaseam.MemberDead {
			return
		}
		d.add(now, m, by)
		return
	}
	if m.State == cicadaseam.MemberSuspect && e.m.State == cicadaseam.MemberSuspect && by != "" && m.Incarnation == e.m.Incarnation {
		d.accuse(e, by)
	}
	if !supersedes(m, e.m) {
		d.noteDoubt(m, e.m)
		return
	}
	if m.State == cicadaseam.MemberDead && rank(e.m.State) == rank(cicadaseam.MemberSuspect) && d.zoneSilent(m.Locality.Zone) {
		// The sender did not yet see that the whole zone is silent.
		d.markUnreachable(now, e)
		return
	}
	d.set(now, e, m, by)
}

// noteDoubt notes a member that others hold alive and this node holds dead at
// the same incarnation. It cannot be believed to be back, but it can be told,
// so that it refutes.
func (d *Detector) noteDoubt(news, old cicadaseam.Member) {
	if news.State == cicadaseam.MemberAlive && old.State == cicadaseam.MemberDead && news.Incarnation == old.Incarnation {
		d.doubted[news.ID] = true
	}
}

// supersedes orders two pieces of news about one member. An unreachable
// member is as good as a suspect one: a higher incarnation brings it back.
func supersedes(news, old cicadaseam.Member) bool {
	if old.State == cicadaseam.MemberLeft {
		return false
	}
	if news.Incarnation != old.Incarnation {
		return news.Incarnation > old.Incarnation
	}
	return rank(news.State) > rank(old.State)
}

func rank(s cicadaseam.MemberState) int {
	if s == cicadaseam.MemberUnreachable {
		return int(cicadaseam.MemberSuspect)
	}
	return int(s)
}

// refute answers news that this node is not alive.
func (d *Detector) refute(m cicadaseam.Member) {
	if d.leaving || m.State == cicadaseam.MemberAlive || m.Incarnation < d.self.Incarnation {
		return
	}
	d.counts.Refutations++
	d.raiseScore(1)
	inc := m.Incarnation
	d.raiseIncarnation(func() { d.self.Incarnation = max(d.self.Incarnation, inc+1) })
}

func (d *Detector) add(now time.Time, m cicadaseam.Member, by string) {
	e := &entry{firstSeen: now}
	d.members[m.ID] = e
	d.insertProbe(m.ID)
	e.m.ID = m.ID
	e.m.State = cicadaseam.MemberDead // so that set counts it as new
	d.set(now, e, m, by)
}

// set changes the entry of a member and spreads the news.
func (d *Detector) set(now time.Time, e *entry, m cicadaseam.Member, by string) {
	d.dropDigest(e.m)
	was := e.m.State
	e.m = m
	e.changed = now
	d.addDigest(e.m)
	d.version++
	switch {
	case m.State == cicadaseam.MemberSuspect && was != cicadaseam.MemberSuspect:
		e.suspectAt = now
		d.suspects[m.ID] = true
		e.accusers = map[string]bool{}
		d.accuse(e, by)
	case m.State == cicadaseam.MemberAlive:
		e.accusers = nil
	}
	d.enqueue(m.ID)
}

func (d *Detector) accuse(e *entry, by string) {
	if by == "" || e.accusers == nil || e.accusers[by] || len(e.accusers) > suspicionConfirms {
		return
	}
	e.accusers[by] = true
	d.enqueue(e.m.ID)
}

// insertProbe puts a new member at a random place of the probe order.
func (d *Detector) insertProbe(id string) {
	at := d.rng.IntN(len(d.order) + 1)
	d.order = append(d.order, "")
	copy(d.order[at+1:], d.order[at:])
	d.order[at] = id
}

// suspicionTimeout shrinks from its maximum to its minimum as more members
// accuse. The minimum grows with the size of the fleet, since a refutation
// needs that long to travel.
func (d *Detector) suspicionTimeout(e *entry) time.Duration {
	n := math.Max(float64(len(d.members)+1), 10)
	low := suspicionMultiplier * math.Log10(n) * float64(d.period)
	high := 2 * low
	share := math.Log(float64(max(len(e.accusers), 1))) / math.Log(suspicionConfirms+1)
	timeout := high - (high-low)*math.Min(share, 1)
	return time.Duration(timeout) * time.Duration(1+d.score/2)
}

func (d *Detector) raiseScore(by int) {
	d.score = min(max(d.score+by, 0), maxScore)
}

func (d *Detector) sorted() []*entry {
	out := make([]*entry, 0, len(d.members))
	for _, e := range d.members {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].m.ID < out[j].m.ID })
	return out
}

// The digest of a zone is the exclusive or over its live members, so that one
// change costs the same at any size.

func (d *Detector) addDigest(m cicadaseam.Member) {
	if m.State > cicadaseam.MemberUnreachable {
		return
	}
	if _, known := d.digests[m.Locality.Zone]; !known {
		d.zones = append(d.zones, m.Locality.Zone)
	}
	d.digests[m.Locality.Zone] ^= memberHash(m)
}

func (d *Detector) dropDigest(m cicadaseam.Member) {
	if m.State > cicadaseam.MemberUnreachable {
		return
	}
	d.digests[m.Locality.Zone] ^= memberHash(m)
}

func memberHash(m cicadaseam.Member) uint64 {
	var inc [8]byte
	for i := range inc {
		inc[i] = byte(m.Incarnation >> (8 * i))
	}
	return xxhash.Sum64(append([]byte(m.ID), inc[:]...))
}
