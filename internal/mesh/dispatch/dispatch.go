// Package dispatch brings a request from the node that took it to a backend
// server, and its answer back.
//
// # Model
//
// A request keeps the table with which it started. Its service comes from the
// split of its route, its target from a Placer. Targets that cannot run it in
// time refuse at once, which costs no backend server anything, so that a few are
// asked before the caller is refused; after two refusals only those whose last news
// leave hope. What a target is expected to take is its work, its queue and the time on
// the way, which is learned from what answers took beyond what the target told. After a request may have reached a backend
// server, it is sent once more only if it is idempotent or the backend server
// proved that it did not run, within the route's bound and the Budget.
//
// The deadline of a route's callers is learned: a request that comes with less
// time left is one that was refused before, and its objective counts from the
// time at which its caller first asked.
//
// # Invariants
//
//   - A non-idempotent request is sent again only on proof that it did not run.
//   - 503 is answered only when no attempt ran or may still run.
//   - A caller has its answer by the earlier of its deadline and the timeout of
//     the route.
//
// # Usage
//
//	d := dispatch.New(options)
//	reply := d.Serve(ctx, request)
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

const (
	// maxAsked bounds the targets that one request is offered to.
	maxAsked = 5
	// maxFar bounds those of them in other zones: a request that is refused there has
	// cost its bytes.
	maxFar = 2
	// answerMargin is how much earlier than the caller's time a target must end.
	answerMargin = 15 * time.Millisecond
	// leastLeft is the least time for which a request is sent.
	leastLeft = 10 * time.Millisecond
	// onTimeShare is the part of the objective within which an answer is planned.
	onTimeShare = 0.9
	// lateShare is the part of the objective that a request may wait once it is
	// late.
	lateShare = 0.25
	// usualDeadline is used for callers that tell none.
	usualDeadline = 30 * time.Second
)

// Request is one request of a caller.
type Request struct {
	Method string
	Host   string
	Path   string
	// Target is the path with the query, as it was sent.
	Target string
	Header http.Header
	Body   []byte
	// Arrived is when it was read.
	Arrived time.Time
}

// Reply is the answer to a caller.
type Reply struct {
	Status  int
	Headers []cicadaseam.Header
	Body    []byte
}

// Links sends calls to other nodes.
type RemoteTargets interface {
	Run(ctx context.Context, addr string, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer
}

// Local is the target of this node.
type LocalTarget interface {
	Run(ctx context.Context, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer
	Instance(now time.Time) (cicadaseam.Instance, bool)
	Load(now time.Time) cicadaseam.MeshLoad
	// Runs reports whether the backend server of this node runs a request now.
	IsRunning(id string) bool
}

// Fleet is what the dispatcher needs of the other nodes.
type Fleet interface {
	Peers() []*fleet.Peer
}

// Config is where the dispatcher finds its table; nil before there is one.
type Config interface {
	Table() *route.Table
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Addr    string // of this node
	Zone    string
	Service string // of the backend server beside this node
	Headers cicadaseam.MeshHeaders

	config   Config
	fleet    Fleet
	local    LocalTarget
	links    RemoteTargets
	logger   *zap.Logger
	placer   *Placer
	budget   *RetryBudget
	shares   *route.Shares
	observer Observer
	habits   *habits
	guard    Guard
}

// Observer hears of replies and repeats, for metrics.
type Observer interface {
	ObserveReply(r ReplyStats)
	// Repeated hears whether the budget allowed one more repeat.
	ObserveRetry(service string, allowed bool)
}

// Replied is what is told of one reply.
type ReplyStats struct {
	Service  string
	Priority int
	Outcome  string
	Reason   cicadaseam.Reason
	// Took is the time from the request to its reply; Queued and Ran are the parts of
	// it that the last target was waited for and the backend server worked.
	Took, Queued, Ran time.Duration
}

// Guard tells which requests crash backend servers.
type Guard interface {
	Refused(now time.Time, fingerprint uint64) (time.Duration, bool)
}

type noGuard struct{}

func (noGuard) Refused(time.Time, uint64) (time.Duration, bool) { return 0, false }

type noObserver struct{}

func (noObserver) ObserveReply(ReplyStats) {}

func (noObserver) ObserveRetry(string, bool) {}

// Option changes a new Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger of decisions.
func WithLogger(l *zap.Logger) Option { return func(d *Dispatcher) { d.logger = l } }

// WithObserver sets who hears of each reply.
func WithObserver(o Observer) Option { return func(d *Dispatcher) { d.observer = o } }

// WithBudget sets the budget of repeats.
func WithRetryBudget(b *RetryBudget) Option { return func(d *Dispatcher) { d.budget = b } }

// WithGuard sets who tells which requests crash backend servers.
func WithGuard(g Guard) Option { return func(d *Dispatcher) { d.guard = g } }

// WithHeaders sets the names of headers.
func WithHeaders(h cicadaseam.MeshHeaders) Option { return func(d *Dispatcher) { d.Headers = h } }

// DefaultAllowance is used where the settings name none.
var DefaultRetryBudget = RetryBudgetConfig{Ratio: 0.1, Slack: 20, Window: 10 * time.Second}

// New returns a dispatcher for the node at addr, in a zone, beside a backend
// server of a service.
func New(addr, zone, service string, config Config, f Fleet, local LocalTarget, links RemoteTargets, rng *rand.Rand, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		Addr:     addr,
		Zone:     zone,
		Service:  service,
		Headers:  cicadaseam.DefaultMeshHeaders(),
		config:   config,
		fleet:    f,
		local:    local,
		links:    links,
		logger:   zap.NewNop(),
		placer:   NewPlacer(zone, rng),
		budget:   NewRetryBudget(time.Now(), DefaultRetryBudget),
		shares:   route.NewShares(),
		observer: noObserver{},
		habits:   newHabits(),
		guard:    noGuard{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// SetAllowance changes what the fleet may repeat.
func (d *Dispatcher) SetRetryBudget(a RetryBudgetConfig) { d.budget.SetAllowance(a) }

// Serve answers a request.
func (d *Dispatcher) Serve(ctx context.Context, r *Request) *Reply {
	table := d.config.Table()
	if table == nil {
		return d.refuse(nil, cicadaseam.ReasonNotReady, notReadyRetry)
	}
	rt := table.Find(r.Host, r.Path)
	if rt == nil {
		d.logger.Info("no route", zap.String("request", r.Header.Get(d.Headers.RequestID)), zap.String("host", r.Host), zap.Uint64("revision", table.Number))
		return &Reply{Status: http.StatusNotFound}
	}
	x := d.prepare(r, rt, table.Number)
	if wait, refused := d.guard.Refused(time.Now(), x.call.Fingerprint); refused {
		return d.refuse(x, cicadaseam.ReasonQuarantine, wait)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	reply, outcome, reason := d.perform(ctx, x)
	d.observer.ObserveReply(ReplyStats{
		Service: x.call.Service, Priority: rt.Priority, Outcome: outcome, Reason: reason,
		Took: time.Since(x.arrived), Queued: x.queued, Ran: x.ran,
	})
	return reply
}

// perform asks targets until the request is settled.
func (d *Dispatcher) perform(ctx context.Context, x *exchange) (reply *Reply, outcome string, reason cicadaseam.Reason) {
	for len(x.asked) < maxAsked {
		now := time.Now()
		if x.deadline.Sub(now) < leastLeft {
			x.lastCause = cicadaseam.ReasonDeadline
			break
		}
		need := x.need(now)
		choice, ok := d.placer.Pick(now, need, d.candidates(now, x.call.Service), x.asked)
		x.passed = choice.Passed
		if !ok {
			break
		}
		x.asked[choice.Candidate.Addr] = true
		if choice.Candidate.Zone != d.Zone {
			x.far++
		}
		repeat := x.offered > 0
		if repeat && !d.mayRepeat(now, x.call.Service) {
			x.lastCause = cicadaseam.ReasonRetryBudget
			break
		}
		answer := d.send(ctx, x, &need, &choice)
		ended := time.Now()
		d.placer.Ended(ended, choice.Candidate.Addr, ended.Sub(now), answer)
		if answer.Outcome == cicadaseam.OutcomeRan {
			d.placer.Size(x.route.Name, len(x.call.Body)+len(answer.Body))
		}
		if repeat && !answer.ReachedBackend && answer.Outcome == cicadaseam.OutcomeNotRun {
			d.budget.Return(now, x.call.Service)
		}
		if !d.again(ctx, x, &choice, answer) {
			return d.settle(x, answer)
		}
	}
	return d.giveUp(x)
}

// mayRepeat takes a repeat from the budget, if it allows one.
func (d *Dispatcher) mayRepeat(now time.Time, service string) bool {
	allowed := d.budget.Take(now, service, len(d.fleet.Peers())+1)
	d.observer.ObserveRetry(service, allowed)
	return allowed
}

// candidates returns the nodes whose backend server runs a service.
func (d *Dispatcher) candidates(now time.Time, service string) []Candidate {
	out := candidates(service, d.fleet.Peers())
	if instance, ok := d.local.Instance(now); ok && instance.Service == service {
		out = append(out, Candidate{Addr: d.Addr, Node: localNode, Zone: d.Zone, Instance: instance.ID, Local: true, Load: d.local.Load(now), Heard: now})
	}
	return out
}

// localNode stands in the log for the node itself.
const localNode = "local"

// send offers a request to one target.
func (d *Dispatcher) send(ctx context.Context, x *exchange, need *Need, choice *Choice) *cicadaseam.MeshAnswer {
	call := x.call
	call.Timeout = need.Rest
	call.MaxWait, call.Late = need.wait(choice.Work)
	call.LatencyBudget = need.Left
	call.CallerRetry = x.returning
	if choice.Candidate.Local {
		return d.local.Run(ctx, &call)
	}
	return d.links.Run(ctx, choice.Candidate.Addr, &call)
}
