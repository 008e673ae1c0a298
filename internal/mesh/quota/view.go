package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another node as the fleet shows it.
type Peer struct {
	Node    string
	Addr    string
	Epoch   int64 // of its process
	Leaving bool
}

// Membership is what the fleet shows at a moment.
type Membership struct {
	// Peers lists the other nodes that are not silent.
	Peers []Peer
	// Addrs lists the addresses of the other nodes, the silent ones included. It may be nil where
	// it has not changed.
	Addrs []string
	// Joined is set once the node has joined the fleet, and Leaving once it leaves.
	Joined  bool
	Leaving bool
	// Active is set if there are customers with a quota.
	Active bool
	// Settle is the longest time by which two nodes may notice a change at different times.
	Settle time.Duration
}

// View is the membership as one node sees it: it chooses owners and says which share of the rate
// of a customer this node may grant.
//
// A node that becomes reachable counts for the share only after the settle time, and one that
// becomes silent is deducted at once. So the shares of disjoint groups never add up to more than 1
// while nodes notice a change at times that differ by up to the settle time.
type View struct {
	addr     string
	hash     uint64
	settle   time.Duration
	started  time.Time
	joined   bool
	peers    map[string]*member // by address; only those that are not silent
	known    map[string]time.Time
	departed map[string]int64 // epochs of the processes that left, by address
	// ended holds, for the addresses that refuse connections, when they last did.
	ended map[string]time.Time
	// claimed is the number of nodes that another node reported to know, at claimedAt.
	claimed    int
	claimedAt  time.Time
	tenures    []*tenure // oldest first
	seconds    float64   // the reading of refill seconds (see bucket) at advancedAt
	advancedAt time.Time
	share      float64
	round      uint64 // number of the last update
	// settledOnce is set once this process may have granted tokens as an owner.
	settledOnce bool
	// handoverShare is the share of the owner that last handed buckets over, at handoverAt.
	handoverShare float64
	handoverAt    time.Time
}

type member struct {
	hash    uint64
	epoch   int64
	since   time.Time
	leaving bool
	round   uint64 // of the last update that had the peer
}

// tenure is a time in which the nodes from which owners are chosen stay the same.
type tenure struct {
	since time.Time
	// settled is set once the settle time has passed, at the reading settledAt of refill seconds.
	settled   bool
	settledAt float64
	nodes     []candidate
}

type candidate struct {
	hash uint64
	addr string
}

const (
	// maxTenures bounds the tenures that are remembered, and maxTenureAge their age.
	maxTenures   = 32
	maxTenureAge = time.Minute
)

// NewView returns the view of a node that has just started.
func NewView(now time.Time, addr, node string) *View {
	return &View{
		addr: addr, hash: xxhash.Sum64String(node), started: now, advancedAt: now, settle: time.Second,
		peers: map[string]*member{}, known: map[string]time.Time{}, departed: map[string]int64{}, ended: map[string]time.Time{},
	}
}

// advance counts refill seconds up to now.
func (v *View) advance(now time.Time) {
	if d := now.Sub(v.advancedAt); d > 0 {
		v.seconds += v.share * d.Seconds()
		v.advancedAt = now
	}
	v.settleTenures(now)
}

// settleTenures marks the tenures as settled whose time has come.
func (v *View) settleTenures(now time.Time) {
	for _, t := range v.tenures {
		if !t.settled && now.Sub(t.since) >= v.settle {
			t.settled, t.settledAt = true, v.seconds
			v.settledOnce = true
		}
	}
}

// settleNow settles all tenures before their time, because no other node can have been an owner.
func (v *View) settleNow(now time.Time) {
	for _, t := range v.tenures {
		t.settled, t.settledAt = true, v.seconds
	}
	for _, p := range v.peers {
		p.since = now.Add(-v.settle)
	}
	v.settledOnce = true
	v.share = v.newShare(now)
}

// ageFor returns the age of this process for a node, by its ID and the number of nodes it knows.
func (v *View) ageFor(now time.Time, id uint32, known int) Age {
	if v.settledOnce {
		return AgeSettled
	}
	for addr := range v.peers {
		if nodeID(addr) == id && v.Known(now) <= known {
			return AgeNew
		}
	}
	return AgeUnknown
}

// nodeID returns the ID of the node at an address.
func nodeID(addr string) uint32 { return uint32(xxhash.Sum64String(addr)) }

// reset forgets since when this node and its peers have been connected. It is called after the
// process did not run for a while, in which other nodes may have taken over.
func (v *View) reset(now time.Time) {
	v.advancedAt, v.share, v.tenures, v.settledOnce = now, 0, nil, true
	clear(v.peers)
	clear(v.ended)
}

// Update applies the membership.
func (v *View) Update(now time.Time, m Membership) {
	v.advance(now)
	v.settle, v.joined = m.Settle, m.Joined
	v.round++
	changed := len(v.tenures) == 0
	for _, p := range m.Peers {
		changed = v.updatePeer(now, p) || changed
	}
	ended := true
	for addr, p := range v.peers {
		if p.round != v.round {
			ended = ended && (p.leaving || v.hasEnded(now, addr))
			delete(v.peers, addr)
			changed = changed || !p.leaving
		} else if p.since.Equal(now) {
			ended = false
		}
	}
	v.updateKnown(now, m.Addrs)
	if changed || m.Leaving != v.isLeaving() {
		v.addTenure(now, m.Leaving, ended && !m.Leaving)
	}
	v.share = v.newShare(now)
}

// updatePeer reports whether the nodes from which owners are chosen changed.
func (v *View) updatePeer(now time.Time, p Peer) bool {
	if p.Leaving {
		v.departed[p.Addr] = p.Epoch
		delete(v.known, p.Addr)
	} else if epoch, departed := v.departed[p.Addr]; departed && epoch != p.Epoch {
		delete(v.departed, p.Addr)
	}
	if _, departed := v.departed[p.Addr]; !departed {
		v.known[p.Addr] = now
	}
	old := v.peers[p.Addr]
	if old == nil {
		v.peers[p.Addr] = &member{hash: xxhash.Sum64String(p.Node), epoch: p.Epoch, since: now, leaving: p.Leaving, round: v.round}
		return !p.Leaving
	}
	if old.epoch != p.Epoch {
		delete(v.ended, p.Addr) // another process
	}
	changed := old.leaving != p.Leaving
	old.epoch, old.leaving, old.round = p.Epoch, p.Leaving, v.round
	return changed
}

// updateKnown adds addresses to the known nodes and forgets those that were silent for long.
func (v *View) updateKnown(now time.Time, addrs []string) {
	for _, addr := range addrs {
		if _, departed := v.departed[addr]; !departed && addr != v.addr && v.known[addr].IsZero() {
			v.known[addr] = now
		}
	}
	for addr, at := range v.known {
		if now.Sub(at) > silentTime {
			delete(v.known, addr)
		}
	}
	for addr, at := range v.ended {
		if now.Sub(at) > endedTime {
			delete(v.ended, addr)
		}
	}
}

// isLeaving reports whether this node is not among the candidates of the newest tenure.
func (v *View) isLeaving() bool {
	if len(v.tenures) == 0 {
		return false
	}
	nodes := v.tenures[len(v.tenures)-1].nodes
	return len(nodes) == 0 || nodes[0].addr != v.addr
}

// addTenure starts a tenure. It is settled at once if the only nodes that went are those whose
// processes have ended.
func (v *View) addTenure(now time.Time, leaving, settled bool) {
	t := &tenure{since: now, nodes: make([]candidate, 0, len(v.peers)+1)}
	if !leaving {
		t.nodes = append(t.nodes, candidate{v.hash, v.addr})
	}
	for addr, p := range v.peers {
		if !p.leaving {
			t.nodes = append(t.nodes, candidate{p.hash, addr})
		}
	}
	if n := len(v.tenures); n > 0 && settled && v.tenures[n-1].settled {
		t.settled, t.settledAt = true, v.seconds
	}
	for len(v.tenures) > 1 && (len(v.tenures) >= maxTenures || now.Sub(v.tenures[1].since) > maxTenureAge) {
		v.tenures = v.tenures[1:]
	}
	v.tenures = append(v.tenures, t)
}

// newShare returns the share of the known nodes that this node has reached for the settle time.
func (v *View) newShare(now time.Time) float64 {
	live := 1
	for _, p := range v.peers {
		if !p.leaving && now.Sub(p.since) >= v.settle {
			live++
		}
	}
	share := min(float64(live)/float64(v.Known(now)), 1)
	if now.Sub(v.handoverAt) < v.settle {
		share = max(share, min(v.handoverShare, v.reach(now)))
	}
	return share
}

// reach returns the share of the known nodes that this node reaches at the moment.
func (v *View) reach(now time.Time) float64 {
	live := 1
	for _, p := range v.peers {
		if !p.leaving {
			live++
		}
	}
	return min(float64(live)/float64(v.Known(now)), 1)
}

// Known returns the number of known nodes, this one included.
func (v *View) Known(now time.Time) int {
	known := len(v.known) + 1
	if now.Sub(v.claimedAt) < claimTime {
		known = max(known, v.claimed)
	}
	return known
}

// claim takes the number of nodes that another node knows into account. A node that restarted
// while the directory is unavailable knows only those that it reaches.
func (v *View) claim(now time.Time, known int) {
	if known >= v.claimed || now.Sub(v.claimedAt) >= claimTime {
		v.claimed, v.claimedAt = known, now
	}
}

// hasEnded reports whether the process at an address is known to have ended.
func (v *View) hasEnded(now time.Time, addr string) bool {
	at, ok := v.ended[addr]
	return ok && now.Sub(at) <= endedTime
}

// Owner returns the address of the owner of a customer, or "" if there is none.
func (v *View) Owner(now time.Time, customer uint64) string {
	if len(v.tenures) == 0 {
		return ""
	}
	return v.tenures[len(v.tenures)-1].top(customer, func(addr string) bool { return len(v.ended) > 0 && v.hasEnded(now, addr) })
}

// top returns the candidate with the highest hash that is not skipped.
func (t *tenure) top(customer uint64, skip func(addr string) bool) string {
	best, addr := uint64(0), ""
	for i := range t.nodes {
		n := &t.nodes[i]
		if h := mix(customer ^ n.hash); (addr == "" || h > best) && !skip(n.addr) {
			best, addr = h, n.addr
		}
	}
	return addr
}

func skipNone(string) bool { return false }

// ownedSince returns the tenure since which this node has owned a customer without a break. It
// returns nil if another node does, or did until its process ended.
func (v *View) ownedSince(customer uint64) *tenure {
	var since *tenure
	for i := len(v.tenures) - 1; i >= 0 && v.tenures[i].top(customer, skipNone) == v.addr; i-- {
		since = v.tenures[i]
	}
	return since
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
