// Package gossip runs the failure detector over datagrams and publishes the
// view of the fleet.
//
// # Model
//
// One duty owns the detector: it is fed by ticks, by datagrams from the
// receiving duty and by commands, through one bounded ring. Full state is
// exchanged over links at a join and when a zone's digest stays different;
// such exchanges are limited to one a syncPeriod. A node that has just joined
// exchanges the whole fleet a few times, until that changes nothing. A datagram
// may be lost, and a full ring drops the oldest datagram; both are repaired by
// later ones.
//
// # Usage
//
//	g := gossip.New(self, network, pool, timers, rng, gossip.WithHead(head))
//	go g.Run(ctx)
//	err := g.Join(ctx, addrs)
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
	ringEvents  = 1024
	syncPeriod  = 2 * time.Second
	joinTimeout = 2 * time.Second
	// ticksPerPeriod is how often the detector is ticked in its period.
	ticksPerPeriod = 5
	maxDatagram    = 64 << 10
	// markTransmits is how often a mark is passed on by each node after the
	// broadcast that reported it.
	markTransmits = 4
	marksPerPing  = 4
)

// Counters count the traffic of gossip.
type Counters struct {
	PacketsIn  atomic.Int64
	PacketsOut atomic.Int64
	BytesIn    atomic.Int64
	BytesOut   atomic.Int64
	Syncs      atomic.Int64
	BadPackets atomic.Int64
}

// Gossip is the membership part of one node.
type Gossip struct {
	network cicadaseam.Network
	pool    *mux.Pool
	timers  *timer.Service
	rng     *rand.Rand
	period  time.Duration
	head    func() cicadaseam.ConfigStatus
	onHead  func(addr string, h cicadaseam.ConfigStatus)
	onMarks func([]cicadaseam.CrashMark) []cicadaseam.CrashMark

	detector  *detect.Detector
	conn      cicadaseam.PacketConn
	events    *ring.Ring
	commands  chan command
	view      atomic.Pointer[view.View]
	shown     uint64
	lastSync  time.Time
	settling  settling
	exchanges sync.WaitGroup
	marks     []spreadMark
	counts    Counters
	done      chan struct{}

	mu      sync.Mutex
	changed chan struct{}
}

type spreadMark struct {
	mark      cicadaseam.CrashMark
	transmits int
}

// Option changes a new Gossip.
type Option func(*Gossip)

// WithPeriod sets the probe period.
func WithProbePeriod(d time.Duration) Option { return func(g *Gossip) { g.period = d } }

// WithHead sets what is told about the configuration, and who hears of it.
func WithConfigStatus(head func() cicadaseam.ConfigStatus, onHead func(addr string, h cicadaseam.ConfigStatus)) Option {
	return func(g *Gossip) {
		g.head = head
		g.onHead = onHead
	}
}

// WithMarks sets who takes crash marks. It returns those that were new.
func WithOnMarks(onMarks func([]cicadaseam.CrashMark) []cicadaseam.CrashMark) Option {
	return func(g *Gossip) { g.onMarks = onMarks }
}

// New returns the membership part of a node.
func New(self cicadaseam.Member, network cicadaseam.Network, pool *mux.Pool, timers *timer.Service, rng *rand.Rand, opts ...Option) *Gossip {
	g := &Gossip{
		network:  network,
		pool:     pool,
		timers:   timers,
		rng:      rng,
		period:   detect.DefaultProbePeriod,
		head:     func() cicadaseam.ConfigStatus { return cicadaseam.ConfigStatus{} },
		onHead:   func(string, cicadaseam.ConfigStatus) {},
		onMarks:  func([]cicadaseam.CrashMark) []cicadaseam.CrashMark { return nil },
		events:   ring.New(ringEvents, ring.DropOldest),
		commands: make(chan command),
		changed:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.settling.rng = rng
	g.detector = detect.New(self, rng, detect.WithProbePeriod(g.period))
	g.view.Store(view.New(g.detector.Self(), nil))
	return g
}

// View returns the current view of the fleet.
func (g *Gossip) View() *view.View { return g.view.Load() }

// Counters returns the traffic counters.
func (g *Gossip) Counters() *Counters { return &g.counts }

// Changed returns a channel that is closed at the next change of the view.
func (g *Gossip) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// command is work for the owner of the detector.
type command struct {
	do   func(now time.Time)
	done chan struct{}
}

// Listen opens the datagram address.
func (g *Gossip) Listen(addr string) error {
	conn, err := g.network.ListenPacket(addr)
	if err != nil {
		return errors.Wrapf(err, "listen for gossip on %s", addr)
	}
	g.conn = conn
	return nil
}

// Run feeds the detector until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	defer g.exchanges.Wait()
	defer close(g.done) // first, so that no exchange waits for the owner
	received := make(chan struct{})
	go g.receive(received)
	sub := g.timers.Subscribe(g.period / ticksPerPeriod)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = g.conn.Close() // ends the receiver
			<-received
			return
		case now := <-sub.C:
			g.tick(ctx, now)
		case event := <-g.events.Events():
			g.receivePacket(event.(*detect.Packet))
		case c := <-g.commands:
			c.do(time.Now())
			close(c.done)
		}
		g.show()
	}
}

func (g *Gossip) receive(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagram)
	for {
		n, err := g.conn.Receive(buf)
		if err != nil {
			return
		}
		g.counts.PacketsIn.Add(1)
		g.counts.BytesIn.Add(int64(n))
		p, err := detect.Decode(buf[:n])
		if err != nil {
			g.counts.BadPackets.Add(1)
			continue
		}
		g.events.Push(p)
	}
}

func (g *Gossip) tick(ctx context.Context, now time.Time) {
	g.send(g.detector.Tick(now))
	g.send(g.detector.Gossip())
	g.startSync(ctx, now)
	g.settle(ctx, now)
}

func (g *Gossip) receivePacket(p *detect.Packet) {
	g.onHead(p.FromAddr, p.ConfigStatus)
	g.takeMarks(p.Marks)
	g.send(g.detector.Receive(time.Now(), p))
}

// do runs f on the owner of the detector and waits for it.
func (g *Gossip) do(f func(now time.Time)) {
	c := command{do: f, done: make(chan struct{})}
	select {
	case g.commands <- c:
		<-c.done
	case <-g.done:
	}
}

func (g *Gossip) send(sends []detect.Outgoing) {
	for _, s := range sends {
		s.Packet.ConfigStatus = g.head()
		s.Packet.Marks = append(s.Packet.Marks, g.nextMarks()...)
		data, err := detect.Encode(s.Packet)
		if err != nil {
			continue
		}
		g.counts.PacketsOut.Add(1)
		g.counts.BytesOut.Add(int64(len(data)))
		_ = g.conn.Send(s.Addr, data) // a lost datagram is repaired by later ones
	}
}

// show swaps in a new view when the detector changed.
func (g *Gossip) show() {
	v := g.detector.Version()
	if v == g.shown {
		return
	}
	g.shown = v
	g.view.Store(view.New(g.detector.Self(), g.seen()))
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// Fleet returns the members and when each was last heard of.
func (g *Gossip) Peers() []view.Peer {
	var out []view.Peer
	g.do(func(time.Time) { out = g.seen() })
	return out
}

func (g *Gossip) seen() []view.Peer {
	members := g.detector.Members()
	out := make([]view.Peer, len(members))
	for i, m := range members {
		heard, first := g.detector.LastHeard(m.ID)
		out[i] = view.Peer{Member: m, LastHeard: heard, FirstSeen: first}
	}
	return out
}

// SetBackend tells the fleet about the backend server of this node.
func (g *Gossip) SetBackend(b cicadaseam.Backend) {
	g.do(func(time.Time) { g.detector.SetBackend(b) })
}

// Leave says goodbye to the fleet.
func (g *Gossip) Leave() {
	g.do(func(time.Time) { g.send(g.detector.Leave()) })
}

// Report broadcasts marks to all live members at once.
func (g *Gossip) BroadcastMarks(marks []cicadaseam.CrashMark) {
	g.do(func(time.Time) {
		g.queueMarks(marks)
		g.send(g.detector.Broadcast(marks))
	})
}

// Stats returns the detector's counters and its doubt of itself.
func (g *Gossip) DetectorStats() (counts detect.Counters, score int) {
	g.do(func(time.Time) {
		counts = g.detector.Counters()
		score = g.detector.HealthScore()
	})
	return counts, score
}

func (g *Gossip) takeMarks(marks []cicadaseam.CrashMark) {
	if len(marks) == 0 {
		return
	}
	g.queueMarks(g.onMarks(marks))
}

func (g *Gossip) queueMarks(marks []cicadaseam.CrashMark) {
	for _, m := range marks {
		g.marks = append(g.marks, spreadMark{mark: m})
	}
}

// nextMarks returns the marks that travel on the next packet.
func (g *Gossip) nextMarks() []cicadaseam.CrashMark {
	n := min(len(g.marks), marksPerPing)
	if n == 0 {
		return nil
	}
	var out []cicadaseam.CrashMark
	var keep []spreadMark
	for _, m := range g.marks[:n] {
		out = append(out, m.mark)
		m.transmits++
		if m.transmits < markTransmits {
			keep = append(keep, m)
		}
	}
	g.marks = append(append([]spreadMark(nil), g.marks[n:]...), keep...)
	return out
}
