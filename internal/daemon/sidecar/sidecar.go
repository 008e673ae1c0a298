// Package sidecar puts the parts of a mesh proxy together: the process beside one
// backend server, for deployments whose operators write whole revisions.
//
// # Model
//
// Callers and the backend server send requests to front, which hands them to
// dispatch; that asks a target, here or at another node over a link; the target
// runs them at its backend server. revision keeps the configuration in force,
// fleet knows the other nodes. Nothing is kept here: what must last lies in the
// platform's store, reached through the interfaces of the root package.
//
// # Shutdown
//
// At SIGTERM the node says at once that it is not ready and tells the others that
// it leaves. It goes on serving what still comes until its callers had time to
// hear of it, closing connections with their next answers; its backend server works
// for other nodes until then. It ends when nothing is open or the grace time is over.
//
// # Usage
//
//	n, err := sidecar.New(settings, platform, sidecar.WithLogger(logger))
//	err = n.Run(ctx)
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/front"
	"github.com/cicadaseam/cicadaseam/internal/mesh/guard"
	"github.com/cicadaseam/cicadaseam/internal/mesh/revision"
	"github.com/cicadaseam/cicadaseam/internal/mesh/target"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

const (
	// linkSilence is how long a link with calls on it may be silent, and bulkSilence
	// one that carries a configuration.
	linkSilence = 700 * time.Millisecond
	bulkSilence = 2 * time.Second
	// linkDial bounds the time in which a link opens, and linkPatience how long a call
	// waits for it before another node is asked.
	linkDial          = 2 * time.Second
	linkPatience      = 250 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	// An address that is still in use is tried again, so often and after so long.
	listenRetry = 50 * time.Millisecond
	listenTries = 40
)

// Platform is what a sidecar needs of the place where it runs.
type Platform struct {
	Source    cicadaseam.RevisionSource
	Directory cicadaseam.Directory
	Headers   cicadaseam.MeshHeaders
	// Registry returns the handler for what the backend server says of itself.
	NewRegistryHandler func(to *Registrar) http.Handler
}

// Node is one running sidecar.
type Node struct {
	settings Settings
	platform Platform
	logger   *zap.Logger
	epoch    int64
	sender   uint64 // of this process, in its calls

	timers *timer.Service
	pool   *mux.Pool
	// bulk has connections of its own, so that a whole configuration on a slow link
	// delays no call.
	bulk     *mux.Pool
	links    *mux.Server
	fleet    *fleet.Fleet
	keeper   *revision.Syncer
	target   *target.Target
	guard    *guard.Guard
	gauge    *transit.Estimator
	dispatch *dispatch.Dispatcher
	front    *front.Server
	meter    *Meter
	dropped  func() int64

	listeners struct{ calls, ready, backend, links, metrics net.Listener }
	servers   []*http.Server

	// leaving is set at SIGTERM; closing once no new call is run for other nodes.
	leaving atomic.Bool
	closing atomic.Bool
	joined  atomic.Bool
	left    sync.Map // instances whose leaving lies in the directory
	wg      sync.WaitGroup
}

// Option changes a new Node.
type Option func(*Node)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(n *Node) { n.logger = l } }

// WithMeter sets the meter, which others may count in too.
func WithMeter(m *Meter) Option { return func(n *Node) { n.meter = m } }

// WithDropped sets where the number of dropped log lines is found.
func WithDroppedLines(f func() int64) Option { return func(n *Node) { n.dropped = f } }

// New returns a node that listens and does not work yet.
func New(settings Settings, platform Platform, opts ...Option) (*Node, error) {
	now := time.Now()
	n := &Node{settings: settings, platform: platform, logger: zap.NewNop(), epoch: now.UnixNano(), meter: NewMeter(), dropped: func() int64 { return 0 }}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	conn, err := netio.New().ListenPacket(settings.LinkAddr)
	if err != nil {
		n.closeListeners()
		return nil, errors.Wrapf(err, "listen for beats on %s", settings.LinkAddr)
	}
	n.build(now, conn)
	return n, nil
}

func (n *Node) build(now time.Time, conn cicadaseam.PacketConn) {
	s := &n.settings
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.timers = timer.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.pool = mux.NewPool(netio.New(), n.timers, mux.WithPingTimeout(linkSilence), mux.WithDialTimeout(linkDial), mux.WithMaxConnectWait(linkPatience))
	n.bulk = mux.NewPool(netio.New(), n.timers, mux.WithPingTimeout(bulkSilence), mux.WithHeartbeatInterval(bulkSilence/4))
	n.links = mux.NewServer(mux.HandlerFunc(n.serveLink))
	n.guard = guard.New()
	n.gauge = transit.New()
	n.sender = transit.SenderID(s.peerAddr(), n.epoch)
	n.target = target.New(n.platform.Headers, target.WithLogger(n.logger), target.WithLease(s.BackendLease), target.WithGuard(n.guard), target.WithOnChange(n.instanceChanged))
	n.keeper = revision.New(n.platform.Source, n.fetch, revision.WithLogger(n.logger), revision.WithOnChange(n.revisionChanged), revision.WithIsReader(n.isReader))
	n.fleet = fleet.New(s.peerAddr(), conn, n.timers, n.beat, fleet.WithPeriod(s.HeartbeatPeriod), fleet.WithLogger(n.logger), fleet.WithOnHeartbeat(n.heard))
	n.dispatch = dispatch.New(s.peerAddr(), s.Zone, s.Service, n.keeper, n.fleet, n.target, linkCaller{n}, rng,
		dispatch.WithLogger(n.logger), dispatch.WithHeaders(n.platform.Headers), dispatch.WithObserver(n.meter), dispatch.WithGuard(n.guard),
		dispatch.WithRetryBudget(dispatch.NewRetryBudget(now, allowance(s))))
	n.front = front.New(n.dispatch.Serve, front.WithLimits(n.limits))
}

// tell sends a beat soon, once there is a fleet.
func (n *Node) tell() {
	if n.fleet != nil {
		n.fleet.NotifyAll()
	}
}

// revisionChanged tells the own zone, if this node is the one that follows the
// source for it. The others hear of it with the next beat.
func (n *Node) revisionChanged() {
	if n.fleet != nil && n.isReader() {
		n.fleet.NotifyZone(n.settings.Zone)
	}
}

func (n *Node) limits() cicadaseam.Limits {
	if t := n.keeper.Table(); t != nil {
		return t.Limits
	}
	return cicadaseam.Limits{}
}

// beat returns what this node tells the others.
func (n *Node) beat(now time.Time) fleet.Heartbeat {
	instance, serving := n.target.Instance(now)
	return fleet.Heartbeat{
		Node:              n.settings.Name,
		Addr:              n.settings.peerAddr(),
		Zone:              n.settings.Zone,
		Epoch:             n.epoch,
		Revision:          n.keeper.Number(),
		Leaving:           n.leaving.Load(),
		SourceUnavailable: n.keeper.SourceUnavailable(),
		SourceSlow:        n.keeper.SourceSlow(),
		Service:           instance.Service,
		Instance:          instance.ID,
		Serving:           serving && n.isReady() && !n.closing.Load(),
		Load:              n.target.Load(now),
		Departed:          n.target.Departed(),
		Marks:             n.guard.NextMarks(),
		SentAt:            transit.Now(),
	}
}

// heard takes a beat of another node.
func (n *Node) heard(b fleet.Heartbeat) {
	if b.SentAt > 0 {
		n.gauge.ExcessDelay(transit.Now(), transit.SenderID(b.Addr, b.Epoch), b.SentAt)
	}
	n.guard.MergeMarks(time.Now(), b.Marks)
	n.keeper.ObservePeer(context.Background(), b.Addr, b.Revision, b.Zone == n.settings.Zone)
}

// readerDuty is the key of the nodes that follow the configuration source.
const readerDuty = "reader"

// isReader reports whether this node follows the configuration source.
func (n *Node) isReader() bool {
	return fleet.ZoneTask{Key: readerDuty, Node: n.settings.Name, Zone: n.settings.Zone, SourceSlow: n.keeper.SourceSlow()}.IsOwner(n.fleet.Peers())
}

// isReady reports whether this node takes work.
func (n *Node) isReady() bool { return n.keeper.Table() != nil && n.joined.Load() }

// Reload takes new settings. Those of addresses and names hold from the next start
// on; a change of them is logged.
func (n *Node) Reload(s Settings) {
	old := n.settings
	n.dispatch.SetRetryBudget(allowance(&s))
	n.target.SetLease(s.BackendLease)
	old.RetryRatio, old.RetrySlack, old.RetryWindow = s.RetryRatio, s.RetrySlack, s.RetryWindow
	old.BackendLease, old.LogLevel = s.BackendLease, s.LogLevel
	n.logger.Info("settings reloaded", zap.Float64("retry-ratio", s.RetryRatio), zap.Duration("lease", s.BackendLease), zap.Bool("restart-needed", old != s))
}

func allowance(s *Settings) dispatch.RetryBudgetConfig {
	return dispatch.RetryBudgetConfig{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// Run works until the context ends and shuts down.
func (n *Node) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.start(duties)
	n.logger.Info("node started", zap.String("name", n.settings.Name), zap.String("zone", n.settings.Zone), zap.String("service", n.settings.Service))
	<-ctx.Done()
	done := n.drain()
	stop()
	n.closeListeners()
	n.finish()
	n.logger.Info("node stopped", zap.Bool("all-answered", done))
	return nil
}

// finishTime bounds how long the duties may take to end; the process ends then.
const finishTime = 100 * time.Millisecond

// finish waits for the duties, which have been told to end.
func (n *Node) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	n.duty(n.links.Close)
	wait.Group(ctx, &n.wg) // the process ends in any case
}

func (n *Node) start(ctx context.Context) {
	n.duty(func() { n.timers.Run(ctx) })
	n.duty(func() { n.pool.Run(ctx) })
	n.duty(func() { n.bulk.Run(ctx) })
	n.duty(func() { n.links.Serve(n.listeners.links) })
	n.duty(func() { n.fleet.Run(ctx) })
	n.duty(func() { n.keeper.Run(ctx) })
	n.duty(func() { n.join(ctx) })
	n.duty(func() { n.joinThroughPeers(ctx) })
	n.duty(func() { n.front.Serve(n.listeners.calls) })
	n.serve(n.listeners.ready, http.HandlerFunc(n.answerReady))
	n.serve(n.listeners.backend, n.platform.NewRegistryHandler(&Registrar{node: n}))
	if n.listeners.metrics != nil {
		n.serve(n.listeners.metrics, n.meter.handler(n))
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
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(n.logger)}
	n.servers = append(n.servers, s)
	n.duty(func() { _ = s.Serve(l) }) // returns when the server is closed
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listen opens the addresses. One that the process before it still holds is tried
// again for a while.
func (n *Node) listen() error {
	s := &n.settings
	for _, x := range []struct {
		to   *net.Listener
		addr string
	}{
		{&n.listeners.links, s.LinkAddr}, {&n.listeners.backend, s.RegistryAddr}, {&n.listeners.ready, s.ReadyAddr},
		{&n.listeners.calls, s.CallAddr}, {&n.listeners.metrics, s.MetricsAddr},
	} {
		if x.addr == "" {
			continue
		}
		l, err := listenSoon(x.addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", x.addr)
		}
		*x.to = l
	}
	return nil
}

func listenSoon(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: netio.KeepAliveConfig()}
	var l net.Listener
	var err error
	for range listenTries {
		if l, err = config.Listen(context.Background(), "tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(listenRetry)
	}
	return nil, err
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.calls, n.listeners.ready, n.listeners.backend, n.listeners.links, n.listeners.metrics} {
		if l != nil {
			_ = l.Close() // nothing is taken any more
		}
	}
	for _, s := range n.servers {
		_ = s.Close() // the answers that matter are written
	}
}
