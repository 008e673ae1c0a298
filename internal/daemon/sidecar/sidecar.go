// Package sidecar assembles the mesh proxy that runs beside one backend server, for
// deployments whose operators write complete revisions of the configuration.
//
// # Model
//
// Callers and the backend server send requests to front, which passes them to dispatch.
// dispatch selects a target, in this process or at another node over a link, and the
// target runs the request at its backend server. revision keeps the configuration up to
// date, and fleet tracks the other nodes. The process stores nothing durably: what must
// survive it is in the platform's store, which it reaches through the interfaces of the
// root package.
//
// # Shutdown
//
// At SIGTERM the node reports at once that it is not ready and notifies the other
// nodes that it is leaving. It continues to serve requests for Settings.DrainDelay, so that
// its callers have time to notice, and closes each connection after its next answer.
// Until that delay ends, its backend server also runs calls of other nodes. The process
// ends when no request is in flight. Shortly before the end of Settings.GracePeriod it
// cancels the requests that still are.
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

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/base/release"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
	"github.com/cicadaseam/cicadaseam/internal/mesh/epoch"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/front"
	"github.com/cicadaseam/cicadaseam/internal/mesh/guard"
	"github.com/cicadaseam/cicadaseam/internal/mesh/keys"
	"github.com/cicadaseam/cicadaseam/internal/mesh/losses"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
	"github.com/cicadaseam/cicadaseam/internal/mesh/revision"
	"github.com/cicadaseam/cicadaseam/internal/mesh/target"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

const (
	// linkPingTimeout bounds the silence of a link that carries calls, and
	// bulkPingTimeout that of a link that carries a configuration.
	linkPingTimeout = 700 * time.Millisecond
	bulkPingTimeout = 2 * time.Second
	// linkDialTimeout bounds the time in which a link opens, and linkMaxConnectWait how
	// long a call waits for the link before another node is tried.
	linkDialTimeout    = 2 * time.Second
	linkMaxConnectWait = 250 * time.Millisecond
)

// Platform holds what the environment of a sidecar provides.
type Platform struct {
	Source    cicadaseam.RevisionSource
	Directory cicadaseam.Directory
	// Rollouts keeps the status of rollouts. It may be nil; none is followed then.
	Rollouts cicadaseam.RolloutStore
	// Epochs gets the epochs that the responses of the store name. It may be nil.
	Epochs  *epoch.Tracker
	Headers cicadaseam.MeshHeaders
	// NewRegistryHandler returns the HTTP handler for the announcements and withdrawals
	// of the backend server, which it passes to a Registrar.
	NewRegistryHandler func(registrar *Registrar) http.Handler
}

// Node is one sidecar process.
type Node struct {
	settings Settings
	platform Platform
	logger   *zap.Logger
	epoch    int64  // start time in nanoseconds since the Unix epoch
	senderID uint64 // identifies this process in its calls
	build    string // commit of this program, or empty

	timers *timer.Service
	pool   *mux.Pool
	// bulkPool has connections of its own for configurations, so that a large one on a
	// slow link does not delay calls.
	bulkPool       *mux.Pool
	links          *mux.Server
	requests       *budget.Budget // of the requests of callers and of other nodes in progress
	fleet          *fleet.Fleet
	syncer         *revision.Syncer
	target         *target.Target
	guard          *guard.Guard
	delayEstimator *transit.Estimator
	quota          *quota.Limiter
	dispatch       *dispatch.Dispatcher
	front          *front.Server
	meter          *Meter
	prover         *keys.Prover
	keyLoop        keyLoop
	rollouts       *rollouts
	droppedLines   func() int64

	listeners struct{ calls, ready, registry, links, metrics net.Listener }
	servers   []*front.Server // of the listeners for readiness, registry and metrics

	// leaving is set at SIGTERM, and refusingCalls after the drain delay, from when on
	// calls of other nodes are refused.
	leaving       atomic.Bool
	refusingCalls atomic.Bool
	joined        atomic.Bool
	// departedKnown is set once a peer has told which instances departed here.
	departedKnown atomic.Bool
	// suspicionsKnown is set once a peer has told which requests may crash backend servers.
	suspicionsKnown  atomic.Bool
	recordedDeparted sync.Map // of cicadaseam.Departure; those recorded in the directory
	wg               sync.WaitGroup
}

// Option changes a new Node.
type Option func(*Node)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(n *Node) { n.logger = l } }

// WithMeter sets the meter. The caller may add its own counts to it.
func WithMeter(m *Meter) Option { return func(n *Node) { n.meter = m } }

// WithDroppedLines sets the function that returns the number of dropped log lines.
func WithDroppedLines(f func() int64) Option { return func(n *Node) { n.droppedLines = f } }

// New returns a node that listens on its addresses. Run makes it serve them.
func New(settings Settings, platform Platform, opts ...Option) (*Node, error) {
	now := time.Now()
	n := &Node{settings: settings, platform: platform, logger: zap.NewNop(), epoch: now.UnixNano(), build: release.Commit(), meter: NewMeter(), droppedLines: func() int64 { return 0 }}
	for _, opt := range opts {
		opt(n)
	}
	if n.platform.Epochs == nil {
		n.platform.Epochs = epoch.New(rand.Float64) // of a store without epochs
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	conn, err := n.listenForHeartbeats()
	if err != nil {
		n.closeListeners()
		return nil, err
	}
	n.assemble(now, conn)
	return n, nil
}

// assemble creates the parts of the node, which send heartbeats on conn.
func (n *Node) assemble(now time.Time, conn cicadaseam.PacketConn) {
	s := &n.settings
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.meter.losses = losses.NewRecorder(s.Zone)
	n.timers = timer.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.pool = mux.NewPool(netio.New(), n.timers, mux.WithPingTimeout(linkPingTimeout), mux.WithDialTimeout(linkDialTimeout), mux.WithMaxConnectWait(linkMaxConnectWait), mux.WithAnswerBudget(upstream.Responses()))
	n.bulkPool = mux.NewPool(netio.New(), n.timers, mux.WithPingTimeout(bulkPingTimeout), mux.WithHeartbeatInterval(bulkPingTimeout/4))
	n.requests = budget.New(front.DefaultBudget)
	n.links = mux.NewServer(mux.PartsFunc(n.handleLinkRequest), mux.WithBudget(n.requests), mux.WithHeldAnswers(upstream.Responses()))
	n.guard = guard.New()
	n.prover, n.keyLoop.wake = keys.New(keys.WithLimit(s.KeyRevoke)), make(chan struct{}, 1)
	n.delayEstimator = transit.New()
	n.senderID = transit.SenderID(s.peerAddr(), n.epoch)
	n.rollouts = newRollouts(n)
	n.target = target.New(n.platform.Headers, target.WithLogger(n.logger), target.WithLease(s.BackendLease), target.WithDrainTime(s.BackendDrain), target.WithGuard(n.guard), target.WithProcess(n.senderID), target.WithOnChange(n.instanceChanged), target.WithOnDeparted(n.instanceDeparted),
		target.WithDeparturesKnown(n.joined.Load), target.WithOnResponse(n.rollouts.recordResponse))
	n.syncer = revision.New(n.platform.Source, n.fetchUpdate, revision.WithLogger(n.logger), revision.WithOnChange(n.revisionChanged), revision.WithIsReader(n.readsSource),
		revision.WithReadObserver(n.readObserver()), revision.WithOnOrders(n.rollouts.addOrders), revision.WithKeysExpected(s.KeyStrict))
	n.fleet = fleet.New(s.peerAddr(), s.Zone, conn, n.timers, n.heartbeat, fleet.WithPeriod(s.HeartbeatPeriod), fleet.WithLogger(n.logger), fleet.WithOnHeartbeat(n.handleHeartbeat))
	n.quota = newQuota(n)
	n.dispatch = dispatch.New(s.peerAddr(), s.Zone, s.Service, n.syncer, n.fleet, n.target, remoteTargets{n}, rng,
		dispatch.WithLogger(n.logger), dispatch.WithHeaders(n.platform.Headers), dispatch.WithObserver(n.meter), dispatch.WithGuard(n.guard),
		dispatch.WithRetryBudget(dispatch.NewRetryBudget(now, retryBudget(s))), dispatch.WithKeyProofs(keyProofs{n}), dispatch.WithQuota(n.quota), dispatch.WithRollouts(n.rollouts.tracker))
	n.front = front.New(n.dispatch.Serve, front.WithLimits(n.limits), front.WithOnDelayed(n.meter.losses.RecordDelayed), front.WithBudget(n.requests), front.WithReplyBudget(upstream.Responses()), front.WithMaxConns(s.MaxConns))
}

// notifyPeers sends a heartbeat to the other nodes without waiting for the heartbeat period.
// It does nothing before the fleet is created.
func (n *Node) notifyPeers() {
	if n.fleet != nil {
		n.fleet.NotifyAll()
	}
}

// revisionChanged notifies the nodes of its zone, if this node reads the source for them.
// The other nodes receive the new revision number with the next heartbeat.
func (n *Node) revisionChanged() {
	n.keyLoop.wakeUp()
	if n.fleet != nil && n.isReader() {
		n.fleet.NotifyZone(n.settings.Zone)
	}
}

// limits returns the limits of the revision in force, which are zero before there is one.
func (n *Node) limits() cicadaseam.Limits {
	if t := n.syncer.Table(); t != nil {
		return t.Limits
	}
	return cicadaseam.Limits{}
}

// heartbeat returns the heartbeat that describes the current state of this node.
func (n *Node) heartbeat(now time.Time) fleet.Heartbeat {
	instance, serving := n.target.Instance(now)
	revision := n.syncer.ID()
	return fleet.Heartbeat{
		Node:              n.settings.Name,
		Addr:              n.settings.peerAddr(),
		Zone:              n.settings.Zone,
		Epoch:             n.epoch,
		Revision:          revision.Number,
		Written:           revision.Written,
		SourceEpoch:       n.platform.Epochs.Epoch(),
		Leaving:           n.leaving.Load(),
		SourceUnavailable: n.syncer.SourceUnavailable(),
		SourceSlow:        n.syncer.SourceSlow(),
		Service:           instance.Service,
		Instance:          instance.ID,
		Serving:           serving && n.isReady() && !n.refusingCalls.Load(),
		Load:              n.target.Load(now),
		Departed:          n.target.Departed(),
		Marks:             n.guard.NextMarks(),
		SentAt:            transit.Now(),
		Rollout:           n.rollouts.report(instance.Version),
		Build:             n.build,
	}
}

// handleHeartbeat handles a heartbeat of another node.
func (n *Node) handleHeartbeat(hb fleet.Heartbeat) {
	if hb.SentAt > 0 {
		n.delayEstimator.ExcessDelay(transit.Now(), transit.SenderID(hb.Addr, hb.Epoch), hb.SentAt)
	}
	n.rollouts.handleHeartbeat(&hb)
	n.guard.MergeMarks(time.Now(), hb.Marks)
	n.prover.ObserveRevision(cicadaseam.RevisionID{Number: hb.Revision}) // a compact heartbeat may have the position of an earlier one
	n.platform.Epochs.Observe(time.Now(), hb.SourceEpoch, hb.Node)
	n.syncer.ObservePeer(context.Background(), hb.Addr, cicadaseam.RevisionID{Number: hb.Revision, Written: hb.Written}, hb.Zone == n.settings.Zone)
}

// readerTask is the key of the zone task of reading the configuration source.
const readerTask = "reader"

// isReader reports whether this node reads the configuration source for its zone.
func (n *Node) isReader() bool {
	return n.readerTask().IsOwner(n.fleet.Peers())
}

func (n *Node) readerTask() fleet.ZoneTask {
	return fleet.ZoneTask{Key: readerTask, Node: n.settings.Name, Zone: n.settings.Zone, SourceSlow: n.syncer.SourceSlow()}
}

// isReady reports whether this node has a configuration and has joined the fleet.
func (n *Node) isReady() bool { return n.syncer.Table() != nil && n.joined.Load() }

// Reload applies the retry budget, the backend lease and the drain time of new settings. The log level is
// applied by the caller. Every other change takes effect at the next start, and the log line
// reports whether there is one.
func (n *Node) Reload(s Settings) {
	old := n.settings
	n.dispatch.SetRetryBudget(retryBudget(&s))
	n.target.SetLease(s.BackendLease)
	n.target.SetDrainTime(s.BackendDrain)
	old.RetryRatio, old.RetrySlack, old.RetryWindow = s.RetryRatio, s.RetrySlack, s.RetryWindow
	old.BackendLease, old.BackendDrain, old.LogLevel = s.BackendLease, s.BackendDrain, s.LogLevel
	n.logger.Info("settings reloaded", zap.Float64("retry-ratio", s.RetryRatio), zap.Duration("lease", s.BackendLease), zap.Duration("drain", s.BackendDrain), zap.Bool("restart-needed", old != s))
}

func retryBudget(s *Settings) dispatch.RetryBudgetConfig {
	return dispatch.RetryBudgetConfig{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// Run serves until the context ends, and then drains the node and stops it.
func (n *Node) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.startTasks(taskCtx)
	n.logger.Info("node started", zap.String("name", n.settings.Name), zap.String("zone", n.settings.Zone), zap.String("service", n.settings.Service), zap.String("build", n.build))
	<-ctx.Done()
	allAnswered := n.drain()
	stop()
	n.closeListeners()
	n.awaitTasks()
	n.logger.Info("node stopped", zap.Bool("all-answered", allAnswered))
	return nil
}

// stopTimeout bounds how long the tasks may take to stop; the process then exits.
const stopTimeout = 100 * time.Millisecond

// awaitTasks closes the links and waits for the tasks, whose context has ended.
func (n *Node) awaitTasks() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.startTask(n.links.Close)
	wait.Group(ctx, &n.wg) // the process exits in any case
}

// startTasks starts a goroutine for each part of the node and for each address.
func (n *Node) startTasks(ctx context.Context) {
	n.startTask(func() { n.timers.Run(ctx) })
	n.startTask(func() { n.pool.Run(ctx) })
	n.startTask(func() { n.bulkPool.Run(ctx) })
	n.startTask(func() { n.links.Serve(n.listeners.links) })
	n.startTask(func() { n.fleet.Run(ctx) })
	n.startTask(func() { n.syncer.Run(ctx) })
	n.startTask(func() { n.runQuota(ctx) })
	n.startTask(func() { n.join(ctx) })
	n.startTask(func() { n.joinThroughPeers(ctx) })
	n.startTask(func() { n.keepRecords(ctx) })
	n.startTask(func() { n.keepKeysProven(ctx) })
	n.startTask(func() { n.rollouts.run(ctx) })
	n.startTask(func() { n.logLosses(ctx) })
	n.startTask(func() { n.front.Serve(n.listeners.calls) })
	n.serveHTTP(n.listeners.ready, http.HandlerFunc(n.handleReady))
	n.serveHTTP(n.listeners.registry, n.platform.NewRegistryHandler(&Registrar{node: n}))
	if n.listeners.metrics != nil {
		n.serveHTTP(n.listeners.metrics, n.withCustomersPage(n.meter.handler(n)))
	}
}

// startTask runs f in a goroutine that awaitTasks waits for.
func (n *Node) startTask(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// serveHTTP serves a listener that is not for callers. Its requests have a small budget of their own,
// so that a crowd of callers does not keep them out, nor they the callers.
func (n *Node) serveHTTP(l net.Listener, h http.Handler) {
	server := front.NewControl(h, n.logger)
	n.servers = append(n.servers, server)
	n.startTask(func() { server.Serve(l) }) // returns when the listener is closed
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
