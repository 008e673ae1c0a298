// Package gossip runs the failure detector over datagrams and publishes the
// view of the fleet.
//
// # Model
//
// One goroutine owns the detector. It handles ticks, commands from other
// goroutines, and packets that a receiving goroutine puts into a bounded ring.
// Full state is exchanged over links at a join and when the digest of a zone
// keeps differing between two nodes. A node starts at most one exchange of a zone
// in minSyncInterval. A node that has just joined exchanges the members of the
// whole fleet a few times, until that changes nothing. A datagram may be lost, and
// a full ring drops the oldest packet; later packets repair both.
//
// # Usage
//
//	g := gossip.New(self, network, pool, timers, rng, gossip.WithConfigStatus(status, onStatus))
//	err := g.Listen(addr)
//	go g.Run(ctx)
//	err = g.Join(ctx, addrs)
//	v := g.View()
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/ring"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/member/detect"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

const (
	// packetQueueSize bounds the received packets that wait for the owner of the detector.
	packetQueueSize = 1024
	// minSyncInterval is the shortest time between two zone exchanges that this node starts.
	minSyncInterval = 2 * time.Second
	// exchangeTimeout bounds a join and an exchange of members.
	exchangeTimeout = 2 * time.Second
	// ticksPerPeriod is the number of ticks of the detector in a probe period.
	ticksPerPeriod = 5
	// maxDatagramBytes is the size of the receive buffer, which holds any UDP datagram.
	maxDatagramBytes = 64 << 10
	// transmissionsPerMark is the number of packets in which each node sends a mark, besides
	// the broadcast of the node that reported it.
	transmissionsPerMark = 4
	// maxMarksPerPacket bounds the pending marks that are sent in one packet.
	maxMarksPerPacket = 4
)

// Counters counts the gossip traffic of a node.
type Counters struct {
	PacketsIn  atomic.Int64
	PacketsOut atomic.Int64
	BytesIn    atomic.Int64
	BytesOut   atomic.Int64
	Syncs      atomic.Int64 // exchanges of members that this node started, without joins
	BadPackets atomic.Int64 // received packets that did not decode
}

// Gossip is the membership of one node. After New and Listen it is safe for concurrent use.
type Gossip struct {
	network        cicadaseam.Network
	pool           *mux.Pool
	timers         *timer.Service
	rng            *rand.Rand
	period         time.Duration
	configStatus   func() cicadaseam.ConfigStatus
	onConfigStatus func(addr string, s cicadaseam.ConfigStatus)
	onMarks        func([]cicadaseam.CrashMark) []cicadaseam.CrashMark

	detector         *detect.Detector // used by the goroutine of Run alone
	conn             cicadaseam.PacketConn
	packets          *ring.Ring
	commands         chan command
	view             atomic.Pointer[view.View]
	publishedVersion uint64 // version of the detector in view
	lastSync         time.Time
	joinSync         joinSync
	exchanges        sync.WaitGroup
	pendingMarks     []pendingMark
	counters         Counters
	done             chan struct{} // closed when Run has stopped handling commands

	mu      sync.Mutex
	changed chan struct{}
}

// pendingMark is a mark that is still to be sent.
type pendingMark struct {
	mark          cicadaseam.CrashMark
	transmissions int
}

// Option configures a new Gossip.
type Option func(*Gossip)

// WithProbePeriod sets the time between two probes.
func WithProbePeriod(d time.Duration) Option { return func(g *Gossip) { g.period = d } }

// WithConfigStatus sets the source of the configuration status that is sent with each packet, and
// the function that is called with the status of each received packet and the address of its
// sender.
func WithConfigStatus(status func() cicadaseam.ConfigStatus, onStatus func(addr string, s cicadaseam.ConfigStatus)) Option {
	return func(g *Gossip) {
		g.configStatus = status
		g.onConfigStatus = onStatus
	}
}

// WithOnMarks sets the function that is called with received crash marks. It returns those that
// were new, which are sent on.
func WithOnMarks(onMarks func([]cicadaseam.CrashMark) []cicadaseam.CrashMark) Option {
	return func(g *Gossip) { g.onMarks = onMarks }
}

// New returns the membership of a node. Listen and then Run start it.
func New(self cicadaseam.Member, network cicadaseam.Network, pool *mux.Pool, timers *timer.Service, rng *rand.Rand, opts ...Option) *Gossip {
	g := &Gossip{
		network:        network,
		pool:           pool,
		timers:         timers,
		rng:            rng,
		period:         detect.DefaultProbePeriod,
		configStatus:   func() cicadaseam.ConfigStatus { return cicadaseam.ConfigStatus{} },
		onConfigStatus: func(string, cicadaseam.ConfigStatus) {},
		onMarks:        func([]cicadaseam.CrashMark) []cicadaseam.CrashMark { return nil },
		packets:        ring.New(packetQueueSize, ring.DropOldest),
		commands:       make(chan command),
		changed:        make(chan struct{}),
		done:           make(chan struct{}),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.joinSync.rng = rng
	g.detector = detect.New(self, rng, detect.WithProbePeriod(g.period))
	g.view.Store(view.New(g.detector.Self(), nil))
	return g
}

// View returns the current view of the fleet.
func (g *Gossip) View() *view.View { return g.view.Load() }

// Counters returns the traffic counters.
func (g *Gossip) Counters() *Counters { return &g.counters }

// Changed returns a channel that is closed at the next change of the view.
func (g *Gossip) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// command is a function to run on the goroutine that owns the detector.
type command struct {
	run  func(now time.Time)
	done chan struct{}
}

// Listen opens the datagram socket on an address.
func (g *Gossip) Listen(addr string) error {
	conn, err := g.network.ListenPacket(addr)
	if err != nil {
		return errors.Wrapf(err, "listen for gossip on %s", addr)
	}
	g.conn = conn
	return nil
}

// Run handles ticks, packets and commands until the context ends. Then it closes the socket and
// waits for the exchanges in flight.
func (g *Gossip) Run(ctx context.Context) {
	defer g.exchanges.Wait()
	defer close(g.done) // runs before Wait, so that no exchange waits for the owner
	receiverDone := make(chan struct{})
	go g.receive(receiverDone)
	sub := g.timers.Subscribe(g.period / ticksPerPeriod)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = g.conn.Close() // ends the receiver
			<-receiverDone
			return
		case now := <-sub.C:
			g.tick(ctx, now)
		case event := <-g.packets.Events():
			g.handlePacket(event.(*detect.Packet))
		case c := <-g.commands:
			c.run(time.Now())
			close(c.done)
		}
		g.publishView()
	}
}

// receive decodes datagrams and queues their packets until the socket is closed.
func (g *Gossip) receive(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := g.conn.Receive(buf)
		if err != nil {
			return
		}
		g.counters.PacketsIn.Add(1)
		g.counters.BytesIn.Add(int64(n))
		p, err := detect.Decode(buf[:n])
		if err != nil {
			g.counters.BadPackets.Add(1)
			continue
		}
		g.packets.Push(p)
	}
}

func (g *Gossip) tick(ctx context.Context, now time.Time) {
	g.send(g.detector.Tick(now))
	g.send(g.detector.Gossip())
	g.startZoneSync(ctx, now)
	g.startJoinSync(ctx, now)
}

func (g *Gossip) handlePacket(p *detect.Packet) {
	g.onConfigStatus(p.FromAddr, p.ConfigStatus)
	g.handleMarks(p.Marks)
	g.send(g.detector.Receive(time.Now(), p))
}

// runOnOwner runs f on the goroutine of Run, which owns the detector, and waits for it. It blocks
// until Run has started. After the end of Run it returns without running f.
func (g *Gossip) runOnOwner(f func(now time.Time)) {
	c := command{run: f, done: make(chan struct{})}
	select {
	case g.commands <- c:
		<-c.done
	case <-g.done:
	}
}

// send sends packets with the configuration status and pending marks.
func (g *Gossip) send(packets []detect.Outgoing) {
	for _, out := range packets {
		out.Packet.ConfigStatus = g.configStatus()
		out.Packet.Marks = append(out.Packet.Marks, g.nextMarks()...)
		data, err := detect.Encode(out.Packet)
		if err != nil {
			continue
		}
		g.counters.PacketsOut.Add(1)
		g.counters.BytesOut.Add(int64(len(data)))
		_ = g.conn.Send(out.Addr, data) // later datagrams repair the loss
	}
}

// publishView publishes a new view if the members have changed.
func (g *Gossip) publishView() {
	version := g.detector.Version()
	if version == g.publishedVersion {
		return
	}
	g.publishedVersion = version
	g.view.Store(view.New(g.detector.Self(), g.peers()))
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// Peers returns the other members. Their times are newer than those of View, which changes only
// with a member.
func (g *Gossip) Peers() []view.Peer {
	var out []view.Peer
	g.runOnOwner(func(time.Time) { out = g.peers() })
	return out
}

func (g *Gossip) peers() []view.Peer {
	members := g.detector.Members()
	out := make([]view.Peer, len(members))
	for i, m := range members {
		times := g.detector.Times(m.ID)
		out[i] = view.Peer{Member: m, LastHeard: times.LastHeard, FirstSeen: times.FirstSeen, ReadySince: times.ReadySince}
	}
	return out
}

// SetBackend announces the state of the backend server of this node to the fleet.
func (g *Gossip) SetBackend(b cicadaseam.Backend) {
	g.runOnOwner(func(time.Time) { g.detector.SetBackend(b) })
}

// Leave announces to all live members that this node leaves.
func (g *Gossip) Leave() {
	g.runOnOwner(func(time.Time) { g.send(g.detector.Leave()) })
}

// BroadcastMarks sends marks to all live members at once, and queues them for further packets.
func (g *Gossip) BroadcastMarks(marks []cicadaseam.CrashMark) {
	g.runOnOwner(func(time.Time) {
		g.enqueueMarks(marks)
		g.send(g.detector.Broadcast(marks))
	})
}

// DetectorStats returns the counters and the health score of the detector.
func (g *Gossip) DetectorStats() (counters detect.Counters, healthScore int) {
	g.runOnOwner(func(time.Time) {
		counters = g.detector.Counters()
		healthScore = g.detector.HealthScore()
	})
	return counters, healthScore
}

// handleMarks passes received marks to onMarks and queues those that were new.
func (g *Gossip) handleMarks(marks []cicadaseam.CrashMark) {
	if len(marks) == 0 {
		return
	}
	g.enqueueMarks(g.onMarks(marks))
}

func (g *Gossip) enqueueMarks(marks []cicadaseam.CrashMark) {
	for _, m := range marks {
		g.pendingMarks = append(g.pendingMarks, pendingMark{mark: m})
	}
}

// nextMarks returns the marks to send with the next packet.
func (g *Gossip) nextMarks() []cicadaseam.CrashMark {
	n := min(len(g.pendingMarks), maxMarksPerPacket)
	if n == 0 {
		return nil
	}
	var out []cicadaseam.CrashMark
	var remaining []pendingMark
	for _, m := range g.pendingMarks[:n] {
		out = append(out, m.mark)
		m.transmissions++
		if m.transmissions < transmissionsPerMark {
			remaining = append(remaining, m)
		}
	}
	g.pendingMarks = append(append([]pendingMark(nil), g.pendingMarks[n:]...), remaining...)
	return out
}
