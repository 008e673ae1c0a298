// Package node is the node process: it runs beside one backend server and combines
// configuration, membership, calls and links.
//
// # Model
//
// A node listens on four addresses: for callers, for other nodes (links and gossip),
// for its backend server, and for operators. Run starts one goroutine for each
// component. When its context ends, it shuts the components down in the order of their
// dependencies: first the node answers new calls with "not run", then the calls in
// flight finish, then the links are closed.
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
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/base/metrics"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/call/entry"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/call/target"
	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
	"github.com/cicadaseam/cicadaseam/internal/config/feed"
	"github.com/cicadaseam/cicadaseam/internal/config/publish"
	"github.com/cicadaseam/cicadaseam/internal/config/store"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/member/announce"
	"github.com/cicadaseam/cicadaseam/internal/member/gossip"
	"github.com/cicadaseam/cicadaseam/internal/mesh/front"
	"github.com/cicadaseam/cicadaseam/internal/report/burn"
)

const (
	// lingerTime is how long a drained node continues to answer "not run" to peers
	// that do not know yet that it is leaving.
	lingerTime = 300 * time.Millisecond
	// callBudget and linkBudget bound the calls of callers and the requests of peers in progress, in
	// bytes. They are apart, so that a crowd of callers does not hold up the configuration.
	callBudget = 24 << 20
	linkBudget = 24 << 20
)

// Node is a node of the mesh. New creates it, and Run serves until its context ends.
type Node struct {
	settings Settings
	log      cicadaseam.Log
	network  cicadaseam.Network
	dialer   connpool.DialFunc // to the backend server; nil for the default of package runner
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
	registrar *backendRegistrar
	progress  progressTracker

	listeners struct{ calls, links, backend, operator net.Listener }
	servers   []*server
	wg        sync.WaitGroup
}

// Option configures a new Node.
type Option func(*Node)

// WithNetwork replaces TCP and UDP for all four addresses and the links, for tests.
func WithNetwork(n cicadaseam.Network) Option { return func(x *Node) { x.network = n } }

// WithBackendDialer replaces TCP for connections to the backend server, for tests.
func WithBackendDialer(d connpool.DialFunc) Option { return func(x *Node) { x.dialer = d } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(x *Node) { x.logger = l } }

// WithSeed sets the seed of all random choices. The default depends on the node ID,
// which is random.
func WithSeed(seed uint64) Option { return func(x *Node) { x.seed = seed } }

// New returns a node that listens on its addresses but serves nothing until Run.
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

// newID returns 64 random bits in hexadecimal.
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

// seedOf derives a seed from the first 8 bytes of a node ID.
func seedOf(id string) uint64 {
	return binary.BigEndian.Uint64([]byte(id))
}

// listen opens the listeners of the four addresses.
func (n *Node) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		addr     string
		purpose  string
	}{
		{&n.listeners.calls, n.settings.CallAddr, "calls"},
		{&n.listeners.links, n.settings.LinkAddr, "links"},
		{&n.listeners.backend, n.settings.BackendAddr, "backend"},
		{&n.listeners.operator, n.settings.OperatorAddr, "operator"},
	} {
		listener, err := n.network.Listen(l.addr)
		if err != nil {
			return errors.Wrapf(err, "listen for %s on %s", l.purpose, l.addr)
		}
		*l.listener = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.calls, n.listeners.links, n.listeners.backend, n.listeners.operator} {
		if l != nil {
			_ = l.Close() // the listener accepts no more connections in any case
		}
	}
}

// rng returns a separate random source for one component, identified by its number.
func (n *Node) rng(component uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.seed, component))
}

// build creates the components. The node must be listening.
func (n *Node) build() {
	s := &n.settings
	n.logger = n.logger.With(zap.String("node", s.Name), zap.String("zone", s.Locality.Zone))
	self := cicadaseam.Member{ID: n.id, Name: s.Name, Addr: n.listeners.links.Addr().String(), Locality: s.Locality}
	if s.Advertise != "" {
		self.Addr = s.Advertise
	}
	n.timers = timer.New(n.rng(1))
	n.pool = mux.NewPool(n.network, n.timers, mux.WithPingTimeout(s.PingTimeout), mux.WithHeartbeatInterval(s.HeartbeatInterval))
	n.links = mux.NewServer(mux.HandlerFunc(n.serveLink), mux.WithBudget(budget.New(linkBudget)), mux.WithHeldAnswers(runner.Responses()))
	n.store = store.New(s.Locality, store.WithLogger(n.logger))
	n.gossip = gossip.New(self, n.network, n.pool, n.timers, n.rng(2),
		gossip.WithProbePeriod(s.ProbePeriod), gossip.WithConfigStatus(n.configStatus, n.observePeer), gossip.WithOnMarks(n.mergeMarks))
	n.announcer = announce.New(n.log, n.gossip, n.rng(3), announce.WithSeeds(s.Seeds), announce.WithLogger(n.logger))
	n.feed = feed.New(n.log, n.store, n.gossip, n.pool, n.timers, n.rng(4),
		feed.WithLogger(n.logger), feed.WithReadyTimeout(s.ReadyTimeout), feed.WithFanout(s.Fanout),
		feed.WithScheduler(distribution.New(n.rng(6), distribution.WithReaders(s.ReadersPerZone))))
	n.publisher = publish.New(n.log, n.store, publish.WithLogger(n.logger), publish.WithIngest(n.feed.Ingest))
	n.writer = ledger.NewWriter(n.log, ledger.WithKeyLifetime(s.KeyLifetime), ledger.WithAppendInterval(s.LedgerAppendInterval), ledger.WithLogger(n.logger))
	n.ledger = ledger.NewClient(n.gossip, n.pool, n.writer)
	remote := entry.NewRemote(n.pool)
	n.target = target.New(n.id, self.Addr, n.ledger, remote, target.WithLogger(n.logger), target.WithObserver(n), target.WithOnLeaving(func() { n.registrar.drain() }))
	n.recorder = burn.NewRecorder()
	n.entry = entry.New(n.store, n.gossip, remote, n.target, n.rng(5),
		entry.WithLogger(n.logger), entry.WithRecorder(n.recorder), entry.WithReady(n.ready))
	n.registrar = newBackendRegistrar(n)
	n.metrics = n.newMetrics()
}

// configStatus and observePeer forward to the feed. They are methods of the node because
// gossip, which calls them, is created before the feed.
func (n *Node) configStatus() cicadaseam.ConfigStatus { return n.feed.Status() }

func (n *Node) observePeer(addr string, s cicadaseam.ConfigStatus) { n.feed.ObservePeer(addr, s) }

// mergeMarks forwards to the target, which is created after gossip. It returns the marks
// that were new.
func (n *Node) mergeMarks(marks []cicadaseam.CrashMark) []cicadaseam.CrashMark {
	return n.target.MergeMarks(marks)
}

// ready reports whether the node accepts calls.
func (n *Node) ready() bool {
	select {
	case <-n.feed.Ready():
		return true
	default:
		return false
	}
}

// ObserveCrash implements target.Observer. It removes the crashed backend server and
// broadcasts the crash marks.
func (n *Node) ObserveCrash(marks []cicadaseam.CrashMark) {
	n.registrar.remove()
	n.gossip.BroadcastMarks(marks)
}

// ObserveCleared implements target.Observer. It broadcasts the cleared marks.
func (n *Node) ObserveCleared(marks []cicadaseam.CrashMark) { n.gossip.BroadcastMarks(marks) }

// serveLink dispatches a request of a peer to the component that handles its method.
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

// ID returns the ID of the node, which is new in each process.
func (n *Node) ID() string { return n.id }

// Store returns the configuration store of the node.
func (n *Node) Store() *store.Store { return n.store }

// Publisher returns the publisher of configuration changes.
func (n *Node) Publisher() *publish.Publisher { return n.publisher }

// ReadyBackends returns the number of known live nodes whose backend server is ready,
// including this node.
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

// PeerStates describes each other member as this node sees it: by its name, its state and
// the state of its backend server.
func (n *Node) PeerStates() []string {
	var out []string
	for _, peer := range n.gossip.View().Peers {
		out = append(out, fmt.Sprintf("%s %s %s", peer.Member.Name, peer.Member.State, peer.Member.Backend.State))
	}
	return out
}

// Member returns the member with an ID as this node sees it, and whether it is known.
func (n *Node) Member(id string) (cicadaseam.Member, bool) { return n.gossip.View().Member(id) }

// Metrics returns the metrics of the node.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Ready returns a channel that is closed once the node accepts calls.
func (n *Node) Ready() <-chan struct{} { return n.feed.Ready() }

// Run serves until the context ends, and then drains and shuts down the node. It returns
// an error if calls were still in flight after the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	components, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.start(components)
	n.logger.Info("node started", zap.String("id", n.id), zap.Any("listen", n.Addrs()))
	<-ctx.Done()
	err := n.drain()
	n.shutdown(stop)
	return err
}

// shutdown stops all components and waits for their goroutines.
func (n *Node) shutdown(stop context.CancelFunc) {
	n.closeListeners()
	stop()
	for _, s := range n.servers {
		s.Close()
	}
	n.links.Close()
	n.target.Close()
	n.wg.Wait()
}

// start starts the goroutines of all components, which run until the context ends, and
// the HTTP servers.
func (n *Node) start(ctx context.Context) {
	n.spawn(func() { n.timers.Run(ctx) })
	n.spawn(func() { n.pool.Run(ctx) })
	n.spawn(func() { n.links.Serve(n.listeners.links) })
	n.spawn(func() { n.gossip.Run(ctx) })
	n.spawn(func() { n.announcer.Run(ctx, n.timers) })
	n.spawn(func() { n.feed.Run(ctx) })
	n.spawn(func() { n.writer.Run(ctx) })
	n.spawn(func() { n.registrar.run(ctx) })
	n.spawn(func() { n.registrar.gossipWhenReady(ctx) })
	n.spawn(func() { n.watchMembers(ctx) })
	keepAlive := n.timers.Subscribe(ledger.KeepAliveInterval())
	n.spawn(func() { n.ledger.RunKeepAlive(ctx, keepAlive.C) })
	calls := front.New(front.HTTPHandler(n.entry, n.logger), front.WithLimits(callLimits), front.WithBudget(budget.New(callBudget)), front.WithReplyBudget(runner.Responses()))
	n.serve(n.listeners.calls, calls)
	n.serve(n.listeners.backend, front.NewControl(n.registrar.handler(), n.logger))
	n.serve(n.listeners.operator, front.NewControl(n.operatorHandler(), n.logger))
}

// watchMembers logs each change of the state of a member, and each new member that is not
// alive, until the context ends.
func (n *Node) watchMembers(ctx context.Context) {
	known := map[string]cicadaseam.MemberState{}
	for {
		changed := n.gossip.Changed()
		for _, peer := range n.gossip.View().Peers {
			previous, isKnown := known[peer.Member.ID]
			known[peer.Member.ID] = peer.Member.State
			if peer.Member.State != previous && (isKnown || peer.Member.State != cicadaseam.MemberAlive) {
				n.logger.Info("member changed", zap.String("member", peer.Member.Name), zap.Stringer("was", previous), zap.Stringer("is", peer.Member.State))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// spawn runs f in a goroutine that shutdown waits for.
func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// server is an HTTP server and its listener.
type server struct {
	*front.Server
	listener net.Listener
}

// serve starts an HTTP server on a listener.
func (n *Node) serve(l net.Listener, s *front.Server) {
	n.servers = append(n.servers, &server{Server: s, listener: l})
	n.spawn(func() { s.Serve(l) }) // returns when the listener is closed
}

// callLimits returns the limits of calls. The configuration may set a lower one for the body.
func callLimits() cicadaseam.Limits {
	return cicadaseam.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: tree.LargestMaxBody, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
}

// drain refuses new calls and waits for those in flight, at most for the drain timeout
// and lingerTime.
func (n *Node) drain() error {
	n.logger.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	n.entry.Drain()
	for _, s := range n.servers {
		s.Drain()
	}
	n.target.Drain()
	n.gossip.Leave()
	drained := n.target.Wait(ctx) && n.entry.Wait(ctx)
	time.Sleep(lingerTime)
	drained = n.links.Drain(ctx) && drained
	for _, s := range n.servers {
		s.StopAccepting(s.listener)
		drained = s.Shutdown(ctx) && drained
	}
	if !drained {
		return errors.Newf("calls were still in flight after %s", n.settings.DrainTimeout)
	}
	n.logger.Info("drained")
	return nil
}
