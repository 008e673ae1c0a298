package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// Peer is another node as this one sees it. It is immutable.
type Peer struct {
	Heartbeat Heartbeat
	LastHeard time.Time
}

// entry is what is kept about one address.
type entry struct {
	peer    *Peer  // the last beat; nil before the first one
	sender  uint64 // of the process that was heard last
	place   int    // of the peer in the list of those that are not silent, or -1
	added   time.Time
	skipped int
	left    map[string]bool // told by any process at the address
	// owed is the number of whole beats that go to the address before others do.
	owed int
}

func newEntry(now time.Time) *entry { return &entry{added: now, place: -1, owed: greetings} }

func (e *entry) heard() time.Time {
	if e.peer != nil {
		return e.peer.LastHeard
	}
	return e.added
}

// maxLeft bounds the instances that are remembered for an address.
const maxLeft = 64

func (e *entry) remember(left []string) {
	for _, id := range left {
		if e.left == nil || len(e.left) >= maxLeft {
			e.left = map[string]bool{}
		}
		e.left[id] = true
	}
}

// Recall returns the instances at an address that were heard to leave.
func (f *Fleet) Departed(addr string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[addr]
	if e == nil {
		return nil
	}
	out := make([]string, 0, len(e.left))
	for id := range e.left {
		out = append(out, id)
	}
	return out
}

// expire forgets addresses that were silent for long and leaves silent nodes out.
func (f *Fleet) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, e := range f.entries {
		if now.Sub(e.heard()) > forgetAfter {
			delete(f.entries, a)
			delete(f.senders, e.sender)
		}
	}
	f.publish(now)
}

// publish swaps in the nodes that are not silent. The lock is held.
func (f *Fleet) publish(now time.Time) {
	f.published = now
	silence := f.silence()
	old := f.Peers()
	out := make([]*Peer, 0, len(old)+1)
	for _, e := range f.entries {
		e.place = -1
		if e.peer != nil && now.Sub(e.peer.LastHeard) <= silence {
			e.place = len(out)
			out = append(out, e.peer)
		}
	}
	if len(out) < len(old) {
		f.logger.Info("peers lost", zap.Int("were", len(old)), zap.Int("are", len(out)), zap.Duration("silence", silence))
	}
	f.peers.Store(&out)
}

// replace swaps in the newest beat of one node of the list. The lock is held.
func (f *Fleet) replace(e *entry) {
	out := slices.Clone(f.Peers())
	out[e.place] = e.peer
	f.peers.Store(&out)
}

// entryOf returns the entry of an address, a new one where there is none, or nil.
// The lock is held.
func (f *Fleet) entryOf(now time.Time, addr string) *entry {
	e := f.entries[addr]
	if e == nil && addr != f.self && addr != "" && len(f.entries) < maxPeers {
		e = newEntry(now)
		f.entries[addr] = e
	}
	return e
}

// set makes a beat the last one of its entry. The lock is held.
func (f *Fleet) set(now time.Time, e *entry, b Heartbeat) {
	if e.peer == nil || e.peer.Heartbeat.Epoch != b.Epoch {
		delete(f.senders, e.sender)
		e.sender = transit.SenderID(b.Addr, b.Epoch)
		f.senders[e.sender] = e
	}
	e.peer = &Peer{Heartbeat: b, LastHeard: now}
	if e.place < 0 || now.Sub(f.published) >= publishEach {
		f.publish(now)
		return
	}
	f.replace(e)
}
