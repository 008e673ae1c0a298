// Package node joins all parts into one node.
//
// # Model
//
// A node has four addresses: for callers, for other nodes, for its backend
// server and for operators. Run starts a goroutine for each duty and stops
// them in the order in which they depend on each other: first new work ends
// with "not run", then calls in flight finish, then links close.
//
// # Usage
//
//	n, err := node.New(settings, log)
//	err = n.Run(ctx) // until ctx ends, then drains
package node

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/metrics"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/call/entry"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/call/target"
	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
	"github.com/cicadaseam/cicadaseam/internal/config/feed"
	"github.com/cicadaseam/cicadaseam/internal/config/publish"
	"github.com/cicadaseam/cicadaseam/internal/config/store"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/member/announce"
	"github.com/cicadaseam/cicadaseam/internal/member/gossip"
	"github.com/cicadaseam/cicadaseam/internal/report/burn"
)

const (
	// lingerTime is how long a drained node still answers "not run" to peers
	// that have not yet heard that it leaves.
	lingerTime        = 300 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	callerIdle        = 2 * time.Minute
)

// Node is one node.
type Node struct {
	settings Settings
	log      cicadaseam.Log
	network  cicadaseam.Network
	dialer   connpool.DialFunc
	logger   *zap.Logger
	seed     uint64

	id        string
	timers    *timer.Service
	pool      *mux.Pool
	links     *mux.Server
	gossip    *gossip.Gossip
	announcer *announce.Announcer
	store     *store.Store
	feed      *feed.Feed
	publisher *publish.Publisher
	writer    *ledger.Writer
	ledger    *ledger.Client
	target    *target.Target
	entry     *entry.Entry
	recorder  *burn.Recorder
	metrics   *metrics.Set
	backend   *backendKeeper
	progress  progress

	listeners struct{ calls, links, backend, operator net.Listener }
	servers   []*http.Server
	wg        sync.WaitGroup
}

// Option changes a new Node.
type Option func(*Node)

// WithNetwork replaces TCP and UDP, for tests.
func WithNetwork(n cicadaseam.Network) Option { return func(x *Node) { x.network = n } }

// WithBackendDialer replaces TCP to the backend server, for tests.
func WithBackendDialer(d connpool.DialFunc) Option { return func(x *Node) { x.dialer = d } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(x *Node) { x.logger = l } }

// WithSeed fixes the seed of all random choices.
func WithSeed(seed uint64) Option { return func(x *Node) { x.seed = seed } }

// New returns a node that listens but does not yet work.
func New(s Settings, log cicadaseam.Log, opts ...Option) (*Node, error) {
	n := &Node{settings: s, log: log, network: netio.New(), logger: zap.NewNop(), id: newID()}
	n.seed = seedOf(n.id)
	for _, opt := range opts {
		opt(n)
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.build()
	if err := n.gossip.Listen(n.listeners.links.Addr().String()); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func newID() string {
	id := uuid.New()
	return string(appendHex(nil, id[:8]))
}

func appendHex(dst, src []byte) []byte {
	const digits = "0123456789abcdef"
	for _, b := range src {
		dst = append(dst, digits[b>>4], digits[b&15])
	}
	return dst
}

func seedOf(id string) uint64 {
	return binary.BigEndian.Uint64([]byte(id))
}

func (n *Node) listen() error {
	for _, l := range []struct {
		to   *net.Listener
		addr string
		what string
	}{
		{&n.listeners.calls, n.settings.CallAddr, "calls"},
		{&n.listeners.links, n.settings.LinkAddr, "links"},
		{&n.listeners.backend, n.settings.BackendAddr, "backend"},
		{&n.listeners.operator, n.settings.OperatorAddr, "operator"},
	} {
		listener, err := n.network.Listen(l.addr)
		if err != nil {
			return errors.Wrapf(err, "listen for %s on %s", l.what, l.addr)
		}
		*l.to = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.calls, n.listeners.links, n.listeners.backend, n.listeners.operator} {
		if l != nil {
			_ = l.Close() // it takes no more connections either way
		}
	}
}

// rng returns a random source of its own for one part.
func (n *Node) rng(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.seed, part))
}

func (n *Node) build() {
	s := &n.settings
	n.logger = n.logger.With(zap.String("node", s.Name), zap.String("zone", s.Locality.Zone))
	self := cicadaseam.Member{ID: n.id, Name: s.Name, Addr: n.listeners.links.Addr().String(), Locality: s.Locality}
	if s.Advertise != "" {
		self.Addr = s.Advertise
	}
	n.timers = timer.New(n.rng(1))
	n.pool = mux.NewPool(n.network, n.timers, mux.WithPingTimeout(s.PingTimeout), mux.WithHeartbeatInterval(s.HeartbeatInterval))
	n.links = mux.NewServer(mux.HandlerFunc(n.serveLink))
	n.store = store.New(s.Locality, store.WithLogger(n.logger))
	n.gossip = gossip.New(self, n.network, n.pool, n.timers, n.rng(2),
		gossip.WithProbePeriod(s.ProbePeriod), gossip.WithConfigStatus(n.head, n.heard), gossip.WithOnMarks(n.takeMarks))
	n.announcer = announce.New(n.log, n.gossip, n.rng(3), announce.WithSeeds(s.Seeds), announce.WithLogger(n.logger))
	n.feed = feed.New(n.log, n.store, n.gossip, n.pool, n.timers, n.rng(4),
		feed.WithLogger(n.logger), feed.WithReadyTimeout(s.ReadyTimeout), feed.WithFanout(s.Fanout),
		feed.WithScheduler(distribution.New(n.rng(6), distribution.WithReaders(s.ReadersPerZone))))
	n.publisher = publish.New(n.log, n.store, publish.WithLogger(n.logger), publish.WithIngest(n.feed.Ingest))
	n.writer = ledger.NewWriter(n.log, ledger.WithKeyLifetime(s.KeyLifetime), ledger.WithAppendInterval(s.LedgerAppendInterval), ledger.WithLogger(n.logger))
	n.ledger = ledger.NewClient(n.gossip, n.pool, n.writer)
	remote := entry.NewRemote(n.pool)
	n.target = target.New(n.id, self.Addr, n.ledger, remote, target.WithLogger(n.logger), target.WithObserver(n))
	n.recorder = burn.NewRecorder()
	n.entry = entry.New(n.store, n.gossip, remote, n.target, n.rng(5),
		entry.WithLogger(n.logger), entry.WithRecorder(n.recorder), entry.WithReady(n.ready))
	n.backend = newBackendKeeper(n)
	n.metrics = n.newMetrics()
}

// head and heard are called by gossip, which is built before the feed.
func (n *Node) head() cicadaseam.ConfigStatus { return n.feed.Status() }

func (n *Node) heard(addr string, h cicadaseam.ConfigStatus) { n.feed.ObservePeer(addr, h) }

func (n *Node) takeMarks(marks []cicadaseam.CrashMark) []cicadaseam.CrashMark {
	return n.target.MergeMarks(marks)
}

func (n *Node) ready() bool {
	select {
	case <-n.feed.Ready():
		return true
	default:
		return false
	}
}

// Crashed implements target.Events.
func (n *Node) ObserveCrash(marks []cicadaseam.CrashMark) {
	n.backend.lost()
	n.gossip.BroadcastMarks(marks)
}

// Cleared implements target.Events.
func (n *Node) ObserveCleared(marks []cicadaseam.CrashMark) { n.gossip.BroadcastMarks(marks) }

// serveLink hands the request of a peer to its part.
func (n *Node) serveLink(ctx context.Context, m uint8, payload []byte) ([]byte, error) {
	switch m {
	case method.Call, method.Resolve:
		return n.entry.ServePeer(ctx, m, payload)
	case method.Join, method.ZoneSync:
		return n.gossip.ServePeer(ctx, m, payload)
	case method.Push, method.Fetch:
		return n.feed.ServePeer(ctx, m, payload)
	case method.Claim:
		return n.writer.ServePeer(ctx, m, payload)
	case method.Burn:
		return n.serveBurn()
	case method.Status:
		return n.serveStatus()
	}
	return nil, errors.Newf("unknown request %d", m)
}

// Addrs are the addresses that a node listens on.
type Addrs struct {
	Calls    string
	Links    string
	Backend  string
	Operator string
}

// Addrs returns the addresses that the node listens on.
func (n *Node) Addrs() Addrs {
	return Addrs{
		Calls:    n.listeners.calls.Addr().String(),
		Links:    n.listeners.links.Addr().String(),
		Backend:  n.listeners.backend.Addr().String(),
		Operator: n.listeners.operator.Addr().String(),
	}
}

// ID returns the id of this process.
func (n *Node) ID() string { return n.id }

// Store returns the configuration of the node.
func (n *Node) Store() *store.Store { return n.store }

// Publisher returns the publisher of the node.
func (n *Node) Publisher() *publish.Publisher { return n.publisher }

// ReadyBackends returns how many nodes with a ready backend server this node
// knows, itself included.
func (n *Node) ReadyBackends() int {
	v := n.gossip.View()
	count := 0
	for _, m := range v.Live("") {
		if m.Backend.State == cicadaseam.BackendReady {
			count++
		}
	}
	return count
}

// Fleet returns the members as this node sees them, in short.
func (n *Node) PeerStates() []string {
	var out []string
	for _, s := range n.gossip.View().Peers {
		out = append(out, fmt.Sprintf("%s %s %s", s.Member.Name, s.Member.State, s.Member.Backend.State))
	}
	return out
}

// Member returns a member as this node sees it.
func (n *Node) Member(id string) (cicadaseam.Member, bool) { return n.gossip.View().Member(id) }

// Metrics returns the metrics of the node.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Ready returns a channel that is closed once the node takes calls.
func (n *Node) Ready() <-chan struct{} { return n.feed.Ready() }

// Run works until the context ends and drains.
func (n *Node) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.start(duties)
	n.logger.Info("node started", zap.String("id", n.id), zap.Any("listen", n.Addrs()))
	<-ctx.Done()
	err := n.drain()
	n.shutdown(stop)
	return err
}

func (n *Node) shutdown(stop context.CancelFunc) {
	n.closeListeners()
	stop()
	n.links.Close()
	n.target.Close()
	n.wg.Wait()
}

func (n *Node) start(ctx context.Context) {
	n.duty(func() { n.timers.Run(ctx) })
	n.duty(func() { n.pool.Run(ctx) })
	n.duty(func() { n.links.Serve(n.listeners.links) })
	n.duty(func() { n.gossip.Run(ctx) })
	n.duty(func() { n.announcer.Run(ctx, n.timers) })
	n.duty(func() { n.feed.Run(ctx) })
	n.duty(func() { n.writer.Run(ctx) })
	n.duty(func() { n.backend.run(ctx) })
	n.duty(func() { n.backend.tellWhenReady(ctx) })
	n.duty(func() { n.watchMembers(ctx) })
	keep := n.timers.Subscribe(ledger.KeepAliveInterval())
	n.duty(func() { n.ledger.RunKeepAlive(ctx, keep.C) })
	n.serve(n.listeners.calls, n.entry)
	n.serve(n.listeners.backend, n.backend.handler())
	n.serve(n.listeners.operator, n.operatorHandler())
}

// watchMembers logs members that come and go.
func (n *Node) watchMembers(ctx context.Context) {
	known := map[string]cicadaseam.MemberState{}
	for {
		changed := n.gossip.Changed()
		for _, s := range n.gossip.View().Peers {
			was, seen := known[s.Member.ID]
			known[s.Member.ID] = s.Member.State
			if s.Member.State != was && (seen || s.Member.State != cicadaseam.MemberAlive) {
				n.logger.Info("member changed", zap.String("member", s.Member.Name), zap.Stringer("was", was), zap.Stringer("is", s.Member.State))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) duty(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdle, ErrorLog: zap.NewStdLog(n.logger)}
	n.servers = append(n.servers, s)
	n.duty(func() { _ = s.Serve(l) }) // returns when the server is shut down
}

// drain ends new work and waits for the calls in flight.
func (n *Node) drain() error {
	n.logger.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	n.entry.Drain()
	n.target.Drain()
	n.gossip.Leave()
	done := n.target.Wait(ctx) && n.entry.Wait(ctx)
	time.Sleep(lingerTime)
	done = n.links.Drain(ctx) && done
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			done = false
		}
	}
	if !done {
		return errors.Newf("calls were still in flight after %s", n.settings.DrainTimeout)
	}
	n.logger.Info("drained")
	return nil
}
