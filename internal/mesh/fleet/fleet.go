// Package fleet tracks the other nodes by heartbeats: their addresses, what they run
// and how loaded they are.
//
// # Model
//
// Each node sends a Heartbeat periodically, and immediately when its own state changes. It
// goes to every node of its own zone and to the nodes of small zones. Of each larger zone
// one node, another one each time, receives it and passes it on to the nodes of that zone,
// together with its own next heartbeat, or at once if the state changed. So a heartbeat
// crosses the border of a zone once, and what a node sends grows with its zone and not
// with the fleet. The period grows with the size of the fleet, so that the heartbeats of
// all nodes stay within a share of a node's link.
//
// A node that has been silent for a few periods is removed from the peers, and so from
// the targets, until its next heartbeat arrives. Addresses come from a directory and from
// the heartbeats of unknown nodes. A silent address of the own zone still gets heartbeats
// for a while, so that a process that restarts there learns of the fleet without the
// directory.
//
// Most heartbeats are compact: they carry the load, the revision and an ID of the sending
// process, whose last full heartbeat holds for everything else. A full heartbeat follows
// each change, and one of many is full in any case. A node that gets a compact heartbeat
// of an unknown process asks another node of its zone for a full one. A node that is discovered, or
// sends again after a silence, gets a full heartbeat at once, and the next heartbeat to it
// is full too. The other nodes get nothing extra: when a whole fleet starts at once,
// each pair exchanges two additional heartbeats, instead of every discovery causing a
// heartbeat to all nodes. Across a border that is crossed by relays it is one, the answer
// of the node that discovered the other one.
//
// Load travels with heartbeats and with every answer. It is advisory: correctness does
// not depend on it.
//
// # Usage
//
//	f := fleet.New(self, zone, conn, timers, sample, fleet.WithOnHeartbeat(handle))
//	go f.Run(ctx)
//	f.AddAddr(addr, zone)
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
	// DefaultPeriod is the time between two heartbeats in a small fleet.
	DefaultPeriod = 500 * time.Millisecond
	// heartbeatBytesPerSecond bounds the heartbeats that a node receives. The period is
	// stretched where they would take more.
	heartbeatBytesPerSecond = 10 << 10
	// maxPeriodFactor bounds how many times longer than its base the period becomes.
	maxPeriodFactor = 6
	// silentPeriods is the number of periods without a heartbeat after which a node
	// counts as silent.
	silentPeriods = 3
	// forgetAfter is how long a silent address still gets heartbeats.
	forgetAfter = time.Minute
	// silentSendEvery thins out the heartbeats to an address that has been silent for
	// long: it gets one of this many.
	silentSendEvery = 4
	// fullEvery bounds the heartbeats to all nodes from one full one to the next while
	// nothing changes. Nodes that lack one ask for it.
	fullEvery = 40
	// initialFull is the number of full heartbeats that a discovered node gets. It is
	// more than 1 because a datagram may be lost.
	initialFull = 2
	// publishInterval is how often arriving heartbeats make the node look for peers
	// that have become silent.
	publishInterval = 100 * time.Millisecond
	// directZoneNodes is the number of nodes of another zone up to which each of them gets
	// every heartbeat directly.
	directZoneNodes = 8
	// maxDatagram bounds a received heartbeat, in bytes.
	maxDatagram = 4 << 10
	// maxPeers bounds the addresses that are tracked.
	maxPeers = 4096
)

// Fleet is one node's view of the other nodes. It is safe for concurrent use.
type Fleet struct {
	self        string
	zone        string
	conn        cicadaseam.PacketConn
	timers      *timer.Service
	logger      *zap.Logger
	period      time.Duration
	sample      func(now time.Time) Heartbeat
	onHeartbeat func(Heartbeat)
	now         func() time.Time

	mu        sync.Mutex
	entries   map[string]*entry // by address
	senders   map[uint64]*entry // by sender ID; only addresses that sent a heartbeat
	zoneSizes map[string]int    // entries by zone
	pending   [][]byte          // heartbeats of other zones to pass on within this one
	unknown   map[uint64]bool   // IDs of the unknown senders of compact heartbeats
	sequence  uint64
	lastFull  peerState // in the last full heartbeat to all nodes
	// lastRollout is the sequence of the rollout report in that heartbeat.
	lastRollout uint64
	sinceFull   int // heartbeats to all nodes since the last full one
	peers       atomic.Pointer[[]*Peer]
	// publishedAt is when the list of peers was last rebuilt.
	publishedAt time.Time
	notify      chan string   // the zone to send a heartbeat to, or allZones
	initialDue  chan struct{} // filled while discovered nodes wait for their first heartbeat
	relayDue    chan struct{} // filled while pending holds a heartbeat that reports a change
	counts      Counters
}

// Counters count the heartbeats of one node.
type Counters struct {
	Sent     atomic.Int64
	Received atomic.Int64
	// Dropped counts datagrams that could not be decoded, and compact heartbeats of
	// unknown processes.
	Dropped atomic.Int64
}

// Option configures a new Fleet.
type Option func(*Fleet)

// WithPeriod sets the time between two heartbeats in a small fleet.
func WithPeriod(d time.Duration) Option { return func(f *Fleet) { f.period = d } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithOnHeartbeat sets a function that is called with each heartbeat that is newer
// than the last one of its address.
func WithOnHeartbeat(fn func(Heartbeat)) Option { return func(f *Fleet) { f.onHeartbeat = fn } }

// New returns the fleet as seen by the node at address self in a zone. The node's own
// heartbeats are made by sample.
func New(self, zone string, conn cicadaseam.PacketConn, timers *timer.Service, sample func(now time.Time) Heartbeat, opts ...Option) *Fleet {
	f := &Fleet{
		self:        self,
		zone:        zone,
		conn:        conn,
		timers:      timers,
		logger:      zap.NewNop(),
		period:      DefaultPeriod,
		sample:      sample,
		onHeartbeat: func(Heartbeat) {},
		now:         time.Now,
		entries:     map[string]*entry{},
		senders:     map[uint64]*entry{},
		zoneSizes:   map[string]int{},
		unknown:     map[uint64]bool{},
		notify:      make(chan string, 4),
		initialDue:  make(chan struct{}, 1),
		relayDue:    make(chan struct{}, 1),
	}
	f.peers.Store(&[]*Peer{})
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Counters returns the counters, which keep counting.
func (f *Fleet) Counters() *Counters { return &f.counts }

// Peers returns the other nodes that are not silent. The list is not changed afterwards
// and must not be modified.
func (f *Fleet) Peers() []*Peer { return *f.peers.Load() }

// Period returns the current time between two heartbeats.
func (f *Fleet) Period() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.periodLocked()
}

// periodLocked derives the period from the bytes that a node receives in one: a datagram
// from each node of the largest zone, and the heartbeats of all nodes. The lock is
// held.
func (f *Fleet) periodLocked() time.Duration {
	largest := 0
	for _, n := range f.zoneSizes {
		largest = max(largest, n)
	}
	bytes := float64(largest*datagramOverhead + len(f.entries)*meanSize)
	stretched := time.Duration(bytes / heartbeatBytesPerSecond * float64(time.Second))
	return min(max(stretched, f.period), maxPeriodFactor*f.period)
}

// AddAddr adds the address of another node. zone may be empty if it is not known.
func (f *Fleet) AddAddr(addr, zone string) {
	f.mu.Lock()
	added := f.entries[addr] == nil && f.getOrAddEntry(f.now(), addr, zone) != nil
	f.mu.Unlock()
	if added {
		f.triggerInitial()
	}
}

// Run sends and receives heartbeats until the context ends.
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
			if now.Sub(last) >= f.Period()-f.period/2 { // the tick nearest to the period
				last = now
				f.send(now, allZones, false)
			}
		case zone := <-f.notify:
			f.send(f.now(), zone, true)
		case <-f.relayDue:
			f.passOn(f.now())
		case <-f.initialDue:
			f.sendInitial(f.now())
		}
	}
}

// silenceTimeout is the time without a heartbeat after which a node counts as silent.
// The lock is held.
func (f *Fleet) silenceTimeout() time.Duration { return silentPeriods * f.periodLocked() }

func (f *Fleet) receive(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.conn.Receive(buf)
		if err != nil {
			return
		}
		f.handleDatagram(f.now(), buf[:n])
	}
}

// handleDatagram handles the heartbeats in a datagram.
func (f *Fleet) handleDatagram(now time.Time, data []byte) {
	for _, message := range f.unwrap(data) {
		hb, ok := f.decode(message)
		if !ok {
			f.counts.Dropped.Add(1)
			continue
		}
		f.counts.Received.Add(1)
		f.HandleHeartbeat(now, hb)
	}
}

// HandleHeartbeat records a heartbeat of another node.
func (f *Fleet) HandleHeartbeat(now time.Time, hb Heartbeat) {
	eff := f.record(now, hb)
	if eff.changed {
		f.logger.Info("peer changed", zap.String("peer", hb.Node), zap.Bool("met", eff.discovered), zap.String("service", hb.Service),
			zap.Bool("serving", hb.Serving), zap.Bool("leaving", hb.Leaving), zap.Uint64("revision", hb.Revision), zap.String("build", hb.Build))
	}
	if eff.discovered {
		f.triggerInitial()
	}
	if eff.recorded {
		f.onHeartbeat(hb)
	}
}

// effect is what recording a heartbeat changed.
type effect struct {
	recorded   bool // the heartbeat was newer than the last one
	discovered bool // its process was unknown or silent
	changed    bool // more than the load changed
}

func (f *Fleet) record(now time.Time, hb Heartbeat) effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.getOrAddEntry(now, hb.Addr, hb.Zone)
	if e == nil || !f.isNewer(now, e, hb) {
		return effect{}
	}
	eff := effect{recorded: true, discovered: e.peer == nil || e.peer.Heartbeat.Epoch != hb.Epoch || now.Sub(e.peer.LastHeard) > f.silenceTimeout()}
	eff.changed = eff.discovered || stateOf(e.peer.Heartbeat) != stateOf(hb)
	e.addDeparted(hb.Departed)
	f.setLast(now, e, hb)
	if eff.discovered {
		e.fullDue = initialFull
		if hb.Known && f.isRelayed(e) {
			e.fullDue = 0 // the node sent this heartbeat because it discovered this one
		}
	}
	return eff
}

// isNewer reports whether a heartbeat is later than the last one of its address. The
// epoch tells a restarted process from the one before it. Clocks may be set back, so a
// lower epoch is accepted too, once the other process has sent nothing for half a period.
func (f *Fleet) isNewer(now time.Time, e *entry, hb Heartbeat) bool {
	if e.peer == nil {
		return true
	}
	last := e.peer.Heartbeat
	if hb.Epoch == last.Epoch {
		return hb.Sequence > last.Sequence
	}
	return hb.Epoch > last.Epoch || now.Sub(e.peer.LastHeard) > f.period/2
}
