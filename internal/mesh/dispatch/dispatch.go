// Package dispatch sends a request from the node that received it to a backend
// server and returns the reply.
//
// # Model
//
// A request uses one routing table from start to end. The traffic split of its route
// selects the service, and a Selector selects the target: a node with a backend
// server of that service.
//
// A target that cannot run the request in time refuses it at once. That costs no
// backend server anything, so several targets are tried before the caller is refused.
// After a refusal, only targets are tried whose last reported load suggests that
// they have room. Before a request waits at a target, some are asked for a free slot
// (probe.go). The expected latency of a target is the sum of the run time, the wait in
// its queue and the transit time. The transit time is learned from answers: it is the
// measured time less the times that the target reported.
//
// Once a request may have reached a backend server, it is retried only if it is
// idempotent or the backend server proved that it did not run, and only within the
// MaxAttempts of its route and the RetryBudget.
//
// The timeout with which the callers of a route usually begin is learned as well. A request
// with clearly less time left is taken for a retry of a request that was refused before,
// and its latency objective counts from the caller's first attempt.
//
// # Invariants
//
//   - A non-idempotent request is sent again only on proof that it did not run.
//   - The dispatcher itself replies with 503 only when no attempt ran or may still run.
//   - A caller receives its reply by the earlier of its deadline and the timeout of
//     the route.
//
// # Usage
//
//	d := dispatch.New(addr, zone, service, tables, fleet, local, remote, rng, options...)
//	reply := d.Serve(ctx, request)
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

const (
	// maxTargetsPerRequest bounds the targets to which one request is sent.
	maxTargetsPerRequest = 5
	// maxOtherZoneTargets bounds those of them in other zones, because a request that
	// is refused there has still caused cross-zone traffic.
	maxOtherZoneTargets = 2
	// replyMargin is how long before the deadline of the reply a target must finish, so
	// that its answer still reaches the caller in time.
	replyMargin = 15 * time.Millisecond
	// minAttemptTime is the least remaining time with which a request is sent.
	minAttemptTime = 10 * time.Millisecond
	// plannedShare is the part of the remaining latency budget within which a request is
	// planned to wait and run; the rest is a margin.
	plannedShare = 0.9
	// plannedRunTime is the multiple of the mean run time with which a request is planned. Run
	// times vary, so a request that is planned with their mean and waits as long as it may is late
	// about as often as not, while others are refused for it.
	plannedRunTime = 1.25
	// lateWaitShare is the part of the latency objective for which a late request may
	// wait in a queue.
	lateWaitShare = 0.25
	// defaultCallerTimeout is used for callers that send no timeout.
	defaultCallerTimeout = 30 * time.Second
)

// Request is one request of a caller.
type Request struct {
	Method string
	Host   string
	Path   string
	// RequestURI is the path with the query, as it was received.
	RequestURI string
	Header     http.Header
	Body       []byte
	// Arrived is when the request was read.
	Arrived time.Time
}

// Reply is the response to a caller.
type Reply struct {
	Status  int
	Headers []cicadaseam.Header
	Body    []byte
	// Route and LateAt, the end of the latency objective, are set in a successful reply.
	Route  string
	LateAt time.Time
}

// RemoteTargets runs calls at other nodes. Implementations are safe for concurrent
// use.
type RemoteTargets interface {
	Run(ctx context.Context, addr string, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer
}

// LocalTarget runs calls at the backend server beside this node. Implementations are
// safe for concurrent use.
type LocalTarget interface {
	Run(ctx context.Context, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer
	// Instance returns the current instance and whether it accepts new requests.
	Instance(now time.Time) (cicadaseam.Instance, bool)
	Load(now time.Time) cicadaseam.MeshLoad
	// Running reports whether the backend server is running the request with an id, and
	// whether that run is a retry.
	Running(id string) (running, isRetry bool)
	// RecordRefusedCall records that a call for the run with an id was refused for lack of
	// retry budget.
	RecordRefusedCall(id string)
}

// Fleet lists the other nodes.
type Fleet interface {
	Peers() []*fleet.Peer
	// Size returns the number of nodes, this one and those that are silent included.
	Size() int
}

// TableSource returns the current routing table, or nil before there is one.
type TableSource interface {
	Table() *route.Table
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Addr    string // of this node
	Zone    string // of this node
	Service string // of the backend server beside this node
	Headers cicadaseam.MeshHeaders

	tables         TableSource
	fleet          Fleet
	local          LocalTarget
	remote         RemoteTargets
	logger         *zap.Logger
	selector       *Selector
	budget         *RetryBudget
	splitter       *route.Splitter
	observer       Observer
	callerTimeouts *callerTimeouts
	guard          Guard
	keys           KeyProofs
	quota          Quota
	rollouts       Rollouts
	// endsAt is when this node cancels the requests in flight, or nil.
	endsAt atomic.Pointer[time.Time]
}

// Observer receives replies and retries, for metrics.
type Observer interface {
	ObserveReply(r ReplyStats)
	// ObserveRetry receives whether the budget allowed a retry.
	ObserveRetry(service string, allowed bool)
}

// ReplyStats describes one reply.
type ReplyStats struct {
	Service  string
	Priority int
	// Route is empty if the route is not known.
	Route   string
	Outcome string
	Status  int
	Reason  cicadaseam.Reason
	// Returning is set if the caller had been refused before. Budget is the part of the latency
	// objective that was left when the request arrived.
	Returning bool
	Budget    time.Duration
	// Latency is the time from the request to its reply. QueueTime and BackendTime are
	// the parts of it that the last target reported for its queue and its backend server.
	Latency, QueueTime, BackendTime time.Duration
}

// Guard identifies the requests that crash backend servers.
type Guard interface {
	// Refused reports whether a request is refused, and for how much longer.
	Refused(now time.Time, fingerprint uint64) (time.Duration, bool)
}

type noGuard struct{}

func (noGuard) Refused(time.Time, uint64) (time.Duration, bool) { return 0, false }

type noObserver struct{}

func (noObserver) ObserveReply(ReplyStats) {}

func (noObserver) ObserveRetry(string, bool) {}

// Option changes a new Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(d *Dispatcher) { d.logger = l } }

// WithObserver sets the observer of replies and retries.
func WithObserver(o Observer) Option { return func(d *Dispatcher) { d.observer = o } }

// WithRetryBudget sets the retry budget.
func WithRetryBudget(b *RetryBudget) Option { return func(d *Dispatcher) { d.budget = b } }

// WithGuard sets the guard against requests that crash backend servers.
func WithGuard(g Guard) Option { return func(d *Dispatcher) { d.guard = g } }

// WithHeaders sets the names of the header fields that the mesh adds and reads.
func WithHeaders(h cicadaseam.MeshHeaders) Option { return func(d *Dispatcher) { d.Headers = h } }

// DefaultRetryBudget is the retry budget of a fleet whose settings name none.
var DefaultRetryBudget = RetryBudgetConfig{Ratio: 0.1, Slack: 20, Window: 10 * time.Second}

// New returns a dispatcher for the node at addr, in a zone, beside a backend
// server of a service.
func New(addr, zone, service string, tables TableSource, f Fleet, local LocalTarget, remote RemoteTargets, rng *rand.Rand, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		Addr:           addr,
		Zone:           zone,
		Service:        service,
		Headers:        cicadaseam.DefaultMeshHeaders(),
		tables:         tables,
		fleet:          f,
		local:          local,
		remote:         remote,
		logger:         zap.NewNop(),
		selector:       NewSelector(zone, rng),
		budget:         NewRetryBudget(time.Now(), DefaultRetryBudget),
		splitter:       route.NewSplitter(),
		observer:       noObserver{},
		callerTimeouts: newCallerTimeouts(),
		guard:          noGuard{},
		keys:           alwaysCurrent{},
		quota:          noQuota{},
		rollouts:       noRollouts{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// SetRetryBudget changes the retry budget of the fleet.
func (d *Dispatcher) SetRetryBudget(c RetryBudgetConfig) { d.budget.SetConfig(c) }

// noService stands for the service of a request whose route is not known.
const noService = "none"

// Serve returns the reply to a request.
func (d *Dispatcher) Serve(ctx context.Context, r *Request) *Reply {
	reply, stats := d.serve(ctx, r)
	stats.Status, stats.Latency = reply.Status, time.Since(r.Arrived)
	d.observer.ObserveReply(stats)
	return reply
}

func (d *Dispatcher) serve(ctx context.Context, r *Request) (*Reply, ReplyStats) {
	stats := ReplyStats{Service: noService, Outcome: cicadaseam.OutcomeNotRun.String()}
	proof := d.keys.Check() // before the table is read, which is thus at least that of the proof
	table := d.tables.Table()
	if table == nil {
		stats.Reason = cicadaseam.ReasonNotReady
		return d.refuse(nil, stats.Reason, notReadyRetryAfter), stats
	}
	rt := table.Find(r.Host, r.Path)
	if rt == nil {
		d.logger.Info("no route", zap.String("request", r.Header.Get(d.Headers.RequestID)), zap.String("host", r.Host), zap.Uint64("revision", table.Number))
		stats.Reason = cicadaseam.ReasonNoRoute
		return &Reply{Status: http.StatusNotFound}, stats
	}
	outer := d.outerRun(r.Header.Get(d.Headers.RequestID))
	customer, ok := authenticate(table, rt, r, outer)
	if stats.Reason = d.checkKey(proof, r, customer, ok); stats.Reason != cicadaseam.ReasonNone {
		return d.refuseKey(r, rt, stats.Reason, table.Number), stats
	}
	ex := d.prepare(r, rt, table, customer, outer)
	stats.Route, stats.Service, stats.Priority = rt.Name, ex.call.Service, ex.call.Priority
	stats.Returning, stats.Budget = ex.callerRetry, ex.latencyDeadline.Sub(r.Arrived)
	if d.isQuarantined(ex) {
		stats.Reason = cicadaseam.ReasonQuarantine
		return d.refuse(ex, stats.Reason, ex.retryAfter), stats
	}
	ctx, cancel := context.WithDeadline(ctx, ex.deadline)
	defer cancel()
	reply, outcome, reason := d.tryWithToken(ctx, ex, customer)
	stats.Outcome, stats.Reason = outcome, reason
	stats.QueueTime, stats.BackendTime = ex.queueTime, ex.backendTime
	if outcome == cicadaseam.OutcomeRan.String() && reply.Status < http.StatusInternalServerError {
		reply.Route, reply.LateAt = rt.Name, ex.latencyDeadline
	}
	if ex.nested && reason == cicadaseam.ReasonRetryBudget {
		d.local.RecordRefusedCall(outerID(ex.call.ID))
	}
	return reply, stats
}

// tryTargets sends a request to one target after another until its reply is known.
func (d *Dispatcher) tryTargets(ctx context.Context, ex *exchange) (reply *Reply, outcome string, reason cicadaseam.Reason) {
	for len(ex.tried) < maxTargetsPerRequest {
		now := time.Now()
		if d.deadlineOf(ex).Sub(now) < minAttemptTime {
			ex.lastReason = cicadaseam.ReasonDeadline
			break
		}
		if reason := d.recheckKey(ex); reason != cicadaseam.ReasonNone {
			ex.lastReason = reason
			break
		}
		if d.isQuarantined(ex) { // it may have crashed the servers that it was sent to
			break
		}
		probing := d.mayProbe(ex)
		a, ok := d.tryNext(ctx, now, ex, probing)
		switch {
		case !ok && probing:
			continue
		case !ok:
			return d.giveUp(ex)
		case !d.recordAnswer(ctx, ex, &a.selected, a.answer):
			return d.replyWith(ex, a.answer)
		}
	}
	return d.giveUp(ex)
}

// isQuarantined reports whether a request is refused because it crashes backend servers, and sets
// when its caller may return.
func (d *Dispatcher) isQuarantined(ex *exchange) bool {
	wait, refused := d.guard.Refused(time.Now(), ex.call.Fingerprint)
	if refused {
		ex.lastReason, ex.retryAfter = cicadaseam.ReasonQuarantine, wait
	}
	return refused
}

// attempt is a target to which a request was sent, and its answer.
type attempt struct {
	selected Selection
	answer   *cicadaseam.MeshAnswer
}

// tryNext sends a request to the next target, which is only asked for a free slot if probing is
// set. It returns false if the request was sent to none, or was probing and found no free slot.
func (d *Dispatcher) tryNext(ctx context.Context, now time.Time, ex *exchange, probing bool) (attempt, bool) {
	if probing {
		return d.probe(ctx, now, ex)
	}
	return d.tryWaiting(ctx, now, ex)
}

// tryWaiting sends a request to the next target, where it may wait for a slot. It returns false if
// there is none, or a retry is not allowed.
func (d *Dispatcher) tryWaiting(ctx context.Context, now time.Time, ex *exchange) (attempt, bool) {
	isRetry := ex.isRetry()
	if isRetry && !d.budget.TryAcquire(now, ex.call.Service, d.fleet.Size(), ex.nested) {
		d.observer.ObserveRetry(ex.call.Service, false)
		ex.lastReason = cicadaseam.ReasonRetryBudget
		return attempt{}, false
	}
	req := d.requirements(now, ex)
	selected, ok := d.selectTarget(now, req, ex)
	ex.skipped = selected.Skipped
	if !ok {
		if req.CutOff && ex.lastReason == cicadaseam.ReasonNone {
			ex.lastReason = cicadaseam.ReasonDraining
		}
		if isRetry {
			d.budget.Refund(now, ex.call.Service)
		}
		return attempt{}, false
	}
	if isRetry {
		d.observer.ObserveRetry(ex.call.Service, true)
	}
	ex.tried[selected.Candidate.Addr] = true
	if selected.Candidate.Zone != d.Zone {
		ex.otherZoneTargets++
	}
	answer := d.send(ctx, ex, &req, &selected, isRetry)
	if isRetry && !answer.ReachedBackend && answer.Outcome == cicadaseam.OutcomeNotRun {
		d.budget.Refund(now, ex.call.Service)
	}
	return attempt{selected, answer}, true
}

// candidates returns the nodes, this one included, whose backend server runs a
// service.
func (d *Dispatcher) candidates(now time.Time, service string) []Candidate {
	out := remoteCandidates(service, d.fleet.Peers())
	if instance, ok := d.local.Instance(now); ok && instance.Service == service {
		out = append(out, Candidate{Addr: d.Addr, Node: localNode, Zone: d.Zone, Instance: instance.ID, Version: instance.Version, Local: true, Load: d.local.Load(now), LoadAt: now})
	}
	return out
}

// localNode names the node itself in its log lines.
const localNode = "local"

// send sends a request to one target and learns from its answer.
func (d *Dispatcher) send(ctx context.Context, ex *exchange, req *Requirements, selected *Selection, isRetry bool) *cicadaseam.MeshAnswer {
	call := ex.call
	call.Retry = isRetry
	call.Timeout = req.Timeout
	call.MaxWait, call.Late = req.maxWait(selected.RunTime)
	if req.Probe {
		call.MaxWait = 0
	}
	call.LatencyBudget = req.LatencyBudget
	call.CallerRetry = ex.callerRetry
	began := time.Now()
	answer := d.run(ctx, selected, &call)
	ended := time.Now()
	d.selector.RecordResult(ended, selected.Candidate.Addr, ended.Sub(began), answer)
	if answer.Outcome == cicadaseam.OutcomeRan {
		d.selector.RecordSize(ex.route.Name, len(ex.call.Body)+len(answer.Body))
	}
	return answer
}

func (d *Dispatcher) run(ctx context.Context, selected *Selection, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	if selected.Candidate.Local {
		return d.local.Run(ctx, call)
	}
	return d.remote.Run(ctx, selected.Candidate.Addr, call)
}
