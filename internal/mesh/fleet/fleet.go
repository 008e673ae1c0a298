// Package fleet knows the other nodes: where they are, what they run and how
// loaded they are.
//
// # Model
//
// Each node sends a Beat to every other one at a period that grows with the
// fleet, and at once when its own state changes. A node that was not heard for a
// few periods is left out of the choice of targets, and so is one to which a link
// just failed, until a later beat of it arrives. Addresses come from a directory
// and from the beats of nodes that were not known; an address that went silent is
// still sent beats for a while, so that a process that starts there again learns
// of the fleet without the directory.
//
// Most beats are short: they carry the load and what tells that the rest is as it
// was. A whole one follows each change, and every few beats in any case. A node that
// is met, or met again, is greeted with a whole beat of its own, and its next one is
// whole too: no other node has to hear of it, so that a fleet that starts at once sends
// each pair two greetings, not each meeting a beat to all.
//
// Load travels on beats and on every answer; nothing rests on it.
//
// # Usage
//
//	f := fleet.New(self, conn, timers, fleet.WithBeat(sample))
//	go f.Run(ctx)
//	f.Learn(addrs)
//	for _, p := range f.Peers() { ... }
package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

const (
	// DefaultPeriod is the time between two beats in a small fleet.
	DefaultPeriod = 500 * time.Millisecond
	// smallFleet is the number of nodes from which on the period grows.
	smallFleet = 48
	// maxStretch bounds how many times longer the period becomes.
	maxStretch = 6
	// missedBeats is the number of periods of silence that make a node suspect.
	missedBeats = 3
	// forgetAfter is how long a silent address is still sent beats.
	forgetAfter = time.Minute
	// silentShare is the share of beats that a silent address still gets.
	silentShare = 4
	// wholeEach is how often a beat is whole though nothing changed.
	wholeEach = 8
	// greetings is the number of whole beats that a node gets when it is met. One may
	// be lost.
	greetings = 2
	// publishEach is how often the silent nodes are looked for as beats arrive.
	publishEach = 100 * time.Millisecond
	maxDatagram = 4 << 10
	maxPeers    = 4096
)

// Peer is another node as this one sees it. It is immutable.
type Peer struct {
	Beat  Beat
	Heard time.Time
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

// Fleet is the view of one node. It is safe for concurrent use.
type Fleet struct {
	self   string
	conn   cicadaseam.PacketConn
	timers *timer.Service
	logger *zap.Logger
	period time.Duration
	sample func(now time.Time) Beat
	onBeat func(Beat)
	now    func() time.Time

	mu       sync.Mutex
	entries  map[string]*entry
	senders  map[uint64]*entry // by process; only those that were heard
	sequence uint64
	told     shapeOf // by the last whole beat
	sinceAll int     // beats since the last whole one to all
	peers    atomic.Pointer[[]*Peer]
	// published is when the list of nodes was last made anew.
	published time.Time
	soon      chan string // the zone that is told, or all
	greeting  chan struct{}
	counts    Counters
}

// Counters count the traffic of beats.
type Counters struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Bad      atomic.Int64
}

// Option changes a new Fleet.
type Option func(*Fleet)

// WithPeriod sets the time between two beats in a small fleet.
func WithPeriod(d time.Duration) Option { return func(f *Fleet) { f.period = d } }

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithOnBeat sets a function that hears each beat that is news.
func WithOnBeat(fn func(Beat)) Option { return func(f *Fleet) { f.onBeat = fn } }

// New returns a fleet of one node, which listens at self and tells of itself what
// sample returns.
func New(self string, conn cicadaseam.PacketConn, timers *timer.Service, sample func(now time.Time) Beat, opts ...Option) *Fleet {
	f := &Fleet{
		self:     self,
		conn:     conn,
		timers:   timers,
		logger:   zap.NewNop(),
		period:   DefaultPeriod,
		sample:   sample,
		onBeat:   func(Beat) {},
		now:      time.Now,
		entries:  map[string]*entry{},
		senders:  map[uint64]*entry{},
		soon:     make(chan string, 4),
		greeting: make(chan struct{}, 1),
	}
	f.peers.Store(&[]*Peer{})
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Counters returns the counters.
func (f *Fleet) Counters() *Counters { return &f.counts }

// Peers returns the other nodes that are not silent.
func (f *Fleet) Peers() []*Peer { return *f.peers.Load() }

// Period returns the current time between two beats.
func (f *Fleet) Period() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.periodLocked()
}

func (f *Fleet) periodLocked() time.Duration {
	stretch := min(max(float64(len(f.entries))/smallFleet, 1), maxStretch)
	return time.Duration(stretch * float64(f.period))
}

// Learn adds addresses of nodes.
func (f *Fleet) Learn(addrs []string) {
	f.mu.Lock()
	now := f.now()
	fresh := false
	for _, a := range addrs {
		if a != f.self && a != "" && f.entries[a] == nil && len(f.entries) < maxPeers {
			f.entries[a] = newEntry(now)
			fresh = true
		}
	}
	f.mu.Unlock()
	if fresh {
		f.greetSoon()
	}
}

// Run sends and receives beats until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	done := make(chan struct{})
	go f.receive(done)
	tick := f.timers.Subscribe(f.period)
	defer tick.Stop()
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			_ = f.conn.Close() // ends the receiver
			<-done
			return
		case now := <-tick.C:
			f.expire(now)
			if now.Sub(last) >= f.Period()-f.period/2 {
				last = now
				f.send(now, allZones)
			}
		case zone := <-f.soon:
			f.send(f.now(), zone)
		case <-f.greeting:
			f.greet(f.now())
		}
	}
}

func (e *entry) heard() time.Time {
	if e.peer != nil {
		return e.peer.Heard
	}
	return e.added
}

func (f *Fleet) silence() time.Duration { return missedBeats * f.periodLocked() }

func (f *Fleet) receive(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.conn.Receive(buf)
		if err != nil {
			return
		}
		beat, ok := f.decode(buf[:n])
		if !ok {
			f.counts.Bad.Add(1)
			continue
		}
		f.counts.Received.Add(1)
		f.Take(f.now(), beat)
	}
}

// Take takes a beat of another node.
func (f *Fleet) Take(now time.Time, b Beat) {
	if b.Addr == f.self {
		return
	}
	f.mu.Lock()
	e := f.entries[b.Addr]
	if e == nil {
		if len(f.entries) >= maxPeers {
			f.mu.Unlock()
			return
		}
		e = newEntry(now)
		f.entries[b.Addr] = e
	}
	if !f.fresh(now, e, b) {
		f.mu.Unlock()
		return
	}
	met := e.peer == nil || e.peer.Beat.Epoch != b.Epoch || now.Sub(e.peer.Heard) > f.silence()
	if met {
		e.owed = greetings
	}
	changed := met || shape(e.peer.Beat) != shape(b)
	e.remember(b.Left)
	if e.peer == nil || e.peer.Beat.Epoch != b.Epoch {
		delete(f.senders, e.sender)
		e.sender = transit.Sender(b.Addr, b.Epoch)
		f.senders[e.sender] = e
	}
	e.peer = &Peer{Beat: b, Heard: now}
	if e.place < 0 || now.Sub(f.published) >= publishEach {
		f.publish(now)
	} else {
		f.replace(e)
	}
	f.mu.Unlock()
	if changed {
		f.logger.Info("peer changed", zap.String("peer", b.Node), zap.Bool("met", met), zap.String("service", b.Service),
			zap.Bool("serving", b.Serving), zap.Bool("leaving", b.Leaving), zap.Uint64("revision", b.Revision))
	}
	if met {
		f.greetSoon()
	}
	f.onBeat(b)
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
func (f *Fleet) Recall(addr string) []string {
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

// fresh reports whether a beat is later than the last one of its address. A
// process that started again is told by its epoch; clocks may step, so that a
// lower epoch is believed once the old one is silent.
func (f *Fleet) fresh(now time.Time, e *entry, b Beat) bool {
	if e.peer == nil {
		return true
	}
	old := e.peer.Beat
	if b.Epoch == old.Epoch {
		return b.Sequence > old.Sequence
	}
	return b.Epoch > old.Epoch || now.Sub(e.peer.Heard) > f.period/2
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
		if e.peer != nil && now.Sub(e.peer.Heard) <= silence {
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
