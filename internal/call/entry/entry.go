// Package entry is the ingress of a node: it accepts HTTP requests of callers and
// forwards each as a call to a target, the node of a backend server.
//
// # Model
//
// A call is matched to a customer by its credential, to a class by the customer, and
// to a route by method and path; these and its policy come from one immutable table,
// which the call uses until it ends. The entry node picks a target, sends the call
// to it, and retries where package retry allows it. The Cicadaseam-Outcome header
// reports truthfully to the caller whether the request ran, did not run (notrun), or may
// have run (unknown).
//
// When a link is lost during a non-idempotent call, the entry node asks the target
// over a new connection what became of the attempt. An attempt that has not started
// by then is voided: it will not run.
//
// # Invariants
//
//   - The caller gets a complete answer or an error.
//   - A call that is refused for lack of capacity or of a target is answered at
//     once, with the time after which to retry.
//   - A non-idempotent call is sent again only when the last attempt did not run.
//   - A target runs no call before its node is ready, nor one of a service that its
//     own table does not contain.
//
// # Usage
//
//	e := entry.New(tables, membership, remote, localTarget, rng)
//	http.Serve(listener, e)
package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/call/balance"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
	"github.com/cicadaseam/cicadaseam/internal/call/retry"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/call/target"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
	"github.com/cicadaseam/cicadaseam/internal/report/burn"
)

// Headers of requests from callers (HeaderIdempotencyKey) and of answers to them.
const (
	HeaderOutcome        = "Cicadaseam-Outcome"
	HeaderReason         = "Cicadaseam-Reason"
	HeaderVersion        = "Cicadaseam-Version"
	HeaderReplayed       = "Idempotency-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxDepth bounds how deep calls may nest, which ends loops of calls.
	maxDepth = 64
	// shedProbeShare is the share of calls below the minimum priority of all targets
	// that are sent nevertheless, to learn when the minimum falls.
	shedProbeShare = 0.1
	// resolveMargin is how long after the deadline of a call the target may still be
	// asked for the outcome of an attempt.
	resolveMargin = 500 * time.Millisecond
	// Values of Retry-After for refused calls.
	retryAfterShed        = time.Second
	retryAfterUnavailable = time.Second
)

// TableSource provides the current configuration table.
type TableSource interface {
	Table() *tree.Table
}

// Membership provides the current view of the nodes and their backend servers.
type Membership interface {
	View() *view.View
}

// Counters counts the requests that a node receives from callers, and the attempts,
// retries and shed attempts that follow from them.
type Counters struct {
	Calls    atomic.Int64
	Attempts atomic.Int64
	Retries  atomic.Int64
	Shed     atomic.Int64 // attempts that were shed before a target was picked
}

// Entry is the http.Handler that serves callers. It is safe for concurrent use.
type Entry struct {
	tables     TableSource
	membership Membership
	remote     *Remote
	local      *target.Target
	recorder   *burn.Recorder
	logger     *zap.Logger
	ready      func() bool
	counters   Counters

	mu       sync.Mutex // guards rng and services
	rng      *rand.Rand
	services map[string]*serviceState
	draining atomic.Bool
	inFlight sync.WaitGroup
}

// serviceState is the state of one service at this entry node.
type serviceState struct {
	balancer *balance.Balancer
	budget   *retry.Budget
}

// Option configures a new Entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(e *Entry) { e.logger = l } }

// WithRecorder sets the recorder that counts good and bad calls.
func WithRecorder(r *burn.Recorder) Option { return func(e *Entry) { e.recorder = r } }

// WithReady sets the function that reports whether the node may accept calls.
func WithReady(ready func() bool) Option { return func(e *Entry) { e.ready = ready } }

// New returns an Entry. local is the target at this node, and remote reaches the
// targets at other nodes.
func New(tables TableSource, membership Membership, remote *Remote, local *target.Target, rng *rand.Rand, opts ...Option) *Entry {
	e := &Entry{
		tables:     tables,
		membership: membership,
		remote:     remote,
		local:      local,
		recorder:   burn.NewRecorder(),
		logger:     zap.NewNop(),
		ready:      func() bool { return true },
		rng:        rng,
		services:   map[string]*serviceState{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Counters returns the counters of e.
func (e *Entry) Counters() *Counters { return &e.counters }

// Drain refuses new calls from now on.
func (e *Entry) Drain() { e.draining.Store(true) }

// Wait returns when no call is in flight or the context ends. It reports whether no
// call is in flight.
func (e *Entry) Wait(ctx context.Context) bool {
	return wait.Group(ctx, &e.inFlight)
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	e.counters.Calls.Add(1)
	table := e.tables.Table()
	id := newID()
	w.Header().Set(runner.HeaderRequestID, id)
	w.Header().Set(HeaderVersion, strconv.FormatUint(uint64(table.Version), 10))
	c, answer := e.prepare(r, table, id)
	if answer != nil {
		if answer.Reason == cicadaseam.ReasonDraining {
			w.Header().Set("Connection", "close") // the caller finds another node
		}
		writeAnswer(w, answer)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.policy.Deadline)
	defer cancel()
	answer = e.perform(ctx, c)
	e.recordCall(c, answer)
	writeAnswer(w, answer)
}

// callState is a call together with what the entry node needs to make it.
type callState struct {
	call      cicadaseam.Call
	policy    tree.Policy
	table     *tree.Table
	startedAt time.Time
	firstHop  bool // the call is not nested in another one
}

// prepare authenticates and routes a request and builds its call. It returns an
// answer when the call cannot be made.
func (e *Entry) prepare(r *http.Request, table *tree.Table, id string) (*callState, *cicadaseam.Answer) {
	if e.draining.Load() {
		return nil, refusal(http.StatusServiceUnavailable, cicadaseam.ReasonDraining, retryAfterUnavailable)
	}
	if !e.ready() {
		return nil, refusal(http.StatusServiceUnavailable, cicadaseam.ReasonNotReady, retryAfterUnavailable)
	}
	customer := tokenHash(r)
	class, known := table.CustomerClass(customer)
	if !known {
		return nil, refusal(http.StatusUnauthorized, cicadaseam.ReasonNoCredential, 0)
	}
	route, found := table.Route(r.Method, r.URL.Path)
	if !found {
		return nil, refusal(http.StatusNotFound, cicadaseam.ReasonNoRoute, 0)
	}
	depth, _ := strconv.Atoi(r.Header.Get(runner.HeaderDepth))
	if depth < 0 || depth > maxDepth {
		return nil, refusal(http.StatusLoopDetected, cicadaseam.ReasonNoRoute, 0)
	}
	c := &callState{table: table, startedAt: time.Now(), firstHop: depth == 0, policy: table.Policy(route.Service, class.Name)}
	c.policy.Deadline = callTimeout(r, c.policy.Deadline)
	body, answer := readBody(r, c.policy.MaxBody)
	if answer != nil {
		return nil, answer
	}
	c.call = cicadaseam.Call{
		ID:          id,
		Service:     route.Service,
		Route:       route.Name,
		Class:       class.Name,
		Priority:    class.Priority,
		Method:      r.Method,
		RequestURI:  r.URL.RequestURI(),
		Headers:     runner.RequestHeaders(r.Header),
		Body:        body,
		Idempotent:  route.Idempotent(r.Method),
		Customer:    customer,
		Depth:       depth,
		Fingerprint: quarantine.Fingerprint(route.Service, r.Method, r.URL.RequestURI(), body),
	}
	return c, e.setIdempotencyKey(r, c)
}

// setIdempotencyKey checks and sets the Idempotency-Key of a non-idempotent call. It
// returns an answer when the key is not valid.
func (e *Entry) setIdempotencyKey(r *http.Request, c *callState) *cicadaseam.Answer {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" || c.call.Idempotent {
		return nil
	}
	if _, err := ledger.ParseKey(c.call.Customer, c.call.Service, key, time.Now()); err != nil {
		answer := refusal(http.StatusBadRequest, cicadaseam.ReasonBadKey, 0)
		answer.Body = []byte(err.Error() + "\n")
		return answer
	}
	c.call.IdempotencyKey = key
	return nil
}

// recordCall counts a call as good or bad and logs it. A good call was run, did not
// fail, and was answered before its deadline.
func (e *Entry) recordCall(c *callState, answer *cicadaseam.Answer) {
	now := time.Now()
	good := answer.Outcome == cicadaseam.OutcomeRan && !isFailure(answer) && now.Sub(c.startedAt) <= c.policy.Deadline
	e.recorder.Record(now, c.call.Service, c.call.Class, good)
	if ce := e.logger.Check(zap.DebugLevel, "call ended"); ce != nil {
		ce.Write(zap.String("request", c.call.ID), zap.String("service", c.call.Service), zap.String("class", c.call.Class),
			zap.Stringer("outcome", answer.Outcome), zap.String("reason", string(answer.Reason)), zap.Int("status", answer.Status),
			zap.Uint64("version", uint64(c.table.Version)), zap.Duration("took", now.Sub(c.startedAt)))
	}
}

// tokenHash returns the SHA-256 sum of the caller's bearer token in hex, or "" for a
// request without one. It identifies the customer.
func tokenHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// callTimeout returns the limit, or the timeout that the caller asks for if that is
// shorter.
func callTimeout(r *http.Request, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(runner.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

// newID returns a random ID for a call or an attempt.
func newID() string {
	id := uuid.New()
	return hex.EncodeToString(id[:])
}
