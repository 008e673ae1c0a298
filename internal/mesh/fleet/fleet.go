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
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
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

// Fleet is the view of one node. It is safe for concurrent use.
type Fleet struct {
	self   string
	conn   cicadaseam.PacketConn
	timers *timer.Service
	logger *zap.Logger
	period time.Duration
	sample func(now time.Time) Heartbeat
	onBeat func(Heartbeat)
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
	Dropped  atomic.Int64
}

// Option changes a new Fleet.
type Option func(*Fleet)

// WithPeriod sets the time between two beats in a small fleet.
func WithPeriod(d time.Duration) Option { return func(f *Fleet) { f.period = d } }

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithOnBeat sets a function that hears each beat that is news.
func WithOnHeartbeat(fn func(Heartbeat)) Option { return func(f *Fleet) { f.onBeat = fn } }

// New returns a fleet of one node, which listens at self and tells of itself what
// sample returns.
func New(self string, conn cicadaseam.PacketConn, timers *timer.Service, sample func(now time.Time) Heartbeat, opts ...Option) *Fleet {
	f := &Fleet{
		self:     self,
		conn:     conn,
		timers:   timers,
		logger:   zap.NewNop(),
		period:   DefaultPeriod,
		sample:   sample,
		onBeat:   func(Heartbeat) {},
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
func (f *Fleet) AddAddrs(addrs []string) {
	f.mu.Lock()
	now := f.now()
	fresh := false
	for _, a := range addrs {
		fresh = f.entries[a] == nil && f.entryOf(now, a) != nil || fresh
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
			f.counts.Dropped.Add(1)
			continue
		}
		f.counts.Received.Add(1)
		f.HandleHeartbeat(f.now(), beat)
	}
}

// Take takes a beat of another node.
func (f *Fleet) HandleHeartbeat(now time.Time, b Heartbeat) {
	n := f.take(now, b)
	if n.changed {
		f.logger.Info("peer changed", zap.String("peer", b.Node), zap.Bool("met", n.met), zap.String("service", b.Service),
			zap.Bool("serving", b.Serving), zap.Bool("leaving", b.Leaving), zap.Uint64("revision", b.Revision))
	}
	if n.met {
		f.greetSoon()
	}
	if n.taken {
		f.onBeat(b)
	}
}

// news is what a beat brought.
type news struct {
	taken   bool // it was later than the last one
	met     bool // its process was not known or silent
	changed bool // it told more than another load
}

func (f *Fleet) take(now time.Time, b Heartbeat) news {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entryOf(now, b.Addr)
	if e == nil || !f.fresh(now, e, b) {
		return news{}
	}
	n := news{taken: true, met: e.peer == nil || e.peer.Heartbeat.Epoch != b.Epoch || now.Sub(e.peer.LastHeard) > f.silence()}
	n.changed = n.met || shape(e.peer.Heartbeat) != shape(b)
	if n.met {
		e.owed = greetings
	}
	e.remember(b.Departed)
	f.set(now, e, b)
	return n
}

// fresh reports whether a beat is later than the last one of its address. A
// process that started again is told by its epoch; clocks may step, so that a
// lower epoch is believed once the old one is silent.
func (f *Fleet) fresh(now time.Time, e *entry, b Heartbeat) bool {
	if e.peer == nil {
		return true
	}
	old := e.peer.Heartbeat
	if b.Epoch == old.Epoch {
		return b.Sequence > old.Sequence
	}
	return b.Epoch > old.Epoch || now.Sub(e.peer.LastHeard) > f.period/2
}
