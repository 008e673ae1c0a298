package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// Peer is another node as of its last heartbeat. It is immutable.
type Peer struct {
	Heartbeat Heartbeat
	LastHeard time.Time
}

// entry is what is known of one address.
type entry struct {
	zone     string // empty while it is not known
	peer     *Peer  // as of the last heartbeat; nil before the first one
	senderID uint64 // of the process whose heartbeat was received last
	index    int    // of peer in the list of peers, or -1 when the peer is silent
	added    time.Time
	// silentRounds counts the heartbeats that came due while the address was silent for
	// long.
	silentRounds int
	// departed are the departures that processes at the address reported, one for each instance
	// ID, in the order in which they were last reported.
	departed []cicadaseam.Departure
	// fullDue is the number of full heartbeats that the address still gets before it
	// may get compact ones.
	fullDue int
}

func newEntry(now time.Time, zone string) *entry {
	return &entry{zone: zone, added: now, index: -1, fullDue: initialFull}
}

// lastSeen returns when the address last sent a heartbeat, or else when it was added.
func (e *entry) lastSeen() time.Time {
	if e.peer != nil {
		return e.peer.LastHeard
	}
	return e.added
}

// maxDeparted bounds the departed instances that are remembered for an address.
const maxDeparted = 64

// addDeparted remembers departed instances. When there are more than maxDeparted, it forgets those
// that were not reported for the longest time.
func (e *entry) addDeparted(list []cicadaseam.Departure) {
	for _, d := range list {
		if i := slices.IndexFunc(e.departed, func(x cicadaseam.Departure) bool { return x.ID == d.ID }); i >= 0 {
			d.StartUnixMilli = max(d.StartUnixMilli, e.departed[i].StartUnixMilli)
			e.departed = slices.Delete(e.departed, i, i+1)
		}
		e.departed = append(e.departed, d)
	}
	if excess := len(e.departed) - maxDeparted; excess > 0 {
		e.departed = slices.Delete(e.departed, 0, excess)
	}
}

// Departed returns the instances that the node at an address reported as departed.
func (f *Fleet) Departed(addr string) []cicadaseam.Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[addr]
	if e == nil {
		return nil
	}
	return e.departures()
}

func (e *entry) departures() []cicadaseam.Departure { return slices.Clone(e.departed) }

// expire forgets addresses that have been silent for forgetAfter, and removes silent
// nodes from the list of peers.
func (f *Fleet) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, e := range f.entries {
		if now.Sub(e.lastSeen()) > forgetAfter {
			delete(f.entries, a)
			delete(f.senders, e.senderID)
			f.addToZone(e.zone, -1)
		}
	}
	f.publish(now)
}

// publish replaces the list of peers by the nodes that are not silent. The lock is
// held.
func (f *Fleet) publish(now time.Time) {
	f.publishedAt = now
	timeout := f.silenceTimeout()
	old := f.Peers()
	out := make([]*Peer, 0, len(old)+1)
	for _, e := range f.entries {
		e.index = -1
		if e.peer != nil && now.Sub(e.peer.LastHeard) <= timeout {
			e.index = len(out)
			out = append(out, e.peer)
		}
	}
	if len(out) < len(old) {
		f.logger.Info("peers lost", zap.Int("were", len(old)), zap.Int("are", len(out)), zap.Duration("silence", timeout))
	}
	f.peers.Store(&out)
}

// publishOne replaces one node in the list of peers. The lock is held.
func (f *Fleet) publishOne(e *entry) {
	out := slices.Clone(f.Peers())
	out[e.index] = e.peer
	f.peers.Store(&out)
}

// getOrAddEntry returns the entry of an address and adds it if there is none. It
// returns nil for the node's own address, for an empty one, and for an unknown one when
// maxPeers addresses are tracked. The lock is held.
func (f *Fleet) getOrAddEntry(now time.Time, addr, zone string) *entry {
	e := f.entries[addr]
	if e == nil && addr != f.self && addr != "" && len(f.entries) < maxPeers {
		e = newEntry(now, zone)
		f.entries[addr] = e
		f.addToZone(zone, 1)
	}
	return e
}

// addToZone changes the number of entries of a zone. The lock is held.
func (f *Fleet) addToZone(zone string, delta int) {
	if f.zoneSizes[zone] += delta; f.zoneSizes[zone] <= 0 {
		delete(f.zoneSizes, zone)
	}
}

// setLast makes a heartbeat the last one of its entry. The lock is held.
func (f *Fleet) setLast(now time.Time, e *entry, hb Heartbeat) {
	if e.peer == nil || e.peer.Heartbeat.Epoch != hb.Epoch {
		delete(f.senders, e.senderID)
		e.senderID = transit.SenderID(hb.Addr, hb.Epoch)
		f.senders[e.senderID] = e
	}
	if e.zone != hb.Zone {
		f.addToZone(e.zone, -1)
		f.addToZone(hb.Zone, 1)
		e.zone = hb.Zone
	}
	e.peer = &Peer{Heartbeat: hb, LastHeard: now}
	if e.index < 0 || now.Sub(f.publishedAt) >= publishInterval {
		f.publish(now)
		return
	}
	f.publishOne(e)
}

// Size returns the number of nodes that are known, this one and those that are silent
// included.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries) + 1
}
