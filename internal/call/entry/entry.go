// Package entry takes the calls of callers.
//
// # Model
//
// A call finds its customer by the credential, its class by the customer, its
// route by method and path, and its policy in one immutable table that it
// keeps to its end. The entry picks a target, sends the call there, and tries
// again where package retry allows it. What it tells the caller is true: the
// Cicadaseam-Outcome header says ran, notrun or unknown.
//
// When a link is lost under a non-idempotent call, the entry asks the target
// over a new connection what became of the attempt; the question voids an
// attempt that has not started.
//
// # Invariants
//
//   - The caller gets a whole answer or an error.
//   - A call that is given up is answered at once, with a time to come back.
//   - A non-idempotent call is sent again only when the last attempt did not
//     run.
//   - A target runs no call before its node is ready, nor one of a service that
//     its own table does not hold.
//
// # Usage
//
//	e := entry.New(self, store, fleet, pool, localTarget)
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

// Names of the headers that callers see.
const (
	HeaderOutcome        = "Cicadaseam-Outcome"
	HeaderReason         = "Cicadaseam-Reason"
	HeaderVersion        = "Cicadaseam-Version"
	HeaderReplayed       = "Idempotency-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxDepth stops calls that go round in a circle.
	maxDepth = 64
	// shedPass is the share of calls that go to the target although its level
	// says no, so that a lower level is learned.
	shedPass = 0.1
	// resolveMargin is how long after the deadline the truth about an attempt
	// may still be asked for.
	resolveMargin = 500 * time.Millisecond
	retryShed     = time.Second
	retryTarget   = time.Second
)

// Config is where the entry finds its table.
type Config interface {
	Table() *tree.Table
}

// Fleet is what the entry needs of membership.
type Fleet interface {
	View() *view.View
}

// Counters count the calls of an entry.
type Counters struct {
	Calls    atomic.Int64
	Attempts atomic.Int64
	Retries  atomic.Int64
	Shed     atomic.Int64
}

// Entry is an http.Handler for callers. It is safe for concurrent use.
type Entry struct {
	config   Config
	fleet    Fleet
	remote   *Remote
	local    *target.Target
	recorder *burn.Recorder
	logger   *zap.Logger
	ready    func() bool
	counts   Counters

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*service
	draining atomic.Bool
	inFlight sync.WaitGroup
}

// service is what the entry keeps about one service.
type service struct {
	balancer *balance.Balancer
	budget   *retry.Budget
}

// Option changes a new Entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(e *Entry) { e.logger = l } }

// WithRecorder sets where good and bad calls are counted.
func WithRecorder(r *burn.Recorder) Option { return func(e *Entry) { e.recorder = r } }

// WithReady sets the test whether the node may take calls.
func WithReady(ready func() bool) Option { return func(e *Entry) { e.ready = ready } }

// New returns an entry.
func New(config Config, fleet Fleet, remote *Remote, local *target.Target, rng *rand.Rand, opts ...Option) *Entry {
	e := &Entry{
		config:   config,
		fleet:    fleet,
		remote:   remote,
		local:    local,
		recorder: burn.NewRecorder(),
		logger:   zap.NewNop(),
		ready:    func() bool { return true },
		rng:      rng,
		services: map[string]*service{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Counters returns the counters of the entry.
func (e *Entry) Counters() *Counters { return &e.counts }

// Drain refuses new calls from now on.
func (e *Entry) Drain() { e.draining.Store(true) }

// Wait returns when no call is in flight or the context ends.
func (e *Entry) Wait(ctx context.Context) bool {
	return wait.Group(ctx, &e.inFlight)
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	e.counts.Calls.Add(1)
	table := e.config.Table()
	id := requestID()
	w.Header().Set(runner.HeaderRequestID, id)
	w.Header().Set(HeaderVersion, strconv.FormatUint(uint64(table.Version), 10))
	x, answer := e.prepare(r, table, id)
	if answer != nil {
		if answer.Reason == cicadaseam.ReasonDraining {
			w.Header().Set("Connection", "close") // the caller finds another node
		}
		write(w, answer)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.policy.Deadline)
	defer cancel()
	answer = e.perform(ctx, x)
	e.record(x, answer)
	write(w, answer)
}

// exchange is one call of a caller.
type exchange struct {
	call   cicadaseam.Call
	policy tree.Policy
	table  *tree.Table
	began  time.Time
	first  bool // this node is the first entry of the call
}

// prepare finds all that a call needs. It returns an answer instead when the
// call cannot be made.
func (e *Entry) prepare(r *http.Request, table *tree.Table, id string) (*exchange, *cicadaseam.Answer) {
	if e.draining.Load() {
		return nil, refusal(http.StatusServiceUnavailable, cicadaseam.ReasonDraining, retryTarget)
	}
	if !e.ready() {
		return nil, refusal(http.StatusServiceUnavailable, cicadaseam.ReasonNotReady, retryTarget)
	}
	customer := credential(r)
	class, known := table.Customer(customer)
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
	x := &exchange{table: table, began: time.Now(), first: depth == 0, policy: table.Policy(route.Service, class.Name)}
	x.policy.Deadline = callerDeadline(r, x.policy.Deadline)
	body, answer := readBody(r, x.policy.MaxBody)
	if answer != nil {
		return nil, answer
	}
	x.call = cicadaseam.Call{
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
	return x, e.prepareKey(r, x)
}

// prepareKey takes the Idempotency-Key of a non-idempotent call.
func (e *Entry) prepareKey(r *http.Request, x *exchange) *cicadaseam.Answer {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" || x.call.Idempotent {
		return nil
	}
	if _, err := ledger.ParseKey(x.call.Customer, x.call.Service, key, time.Now()); err != nil {
		answer := refusal(http.StatusBadRequest, cicadaseam.ReasonBadKey, 0)
		answer.Body = []byte(err.Error() + "\n")
		return answer
	}
	x.call.IdempotencyKey = key
	return nil
}

func (e *Entry) record(x *exchange, answer *cicadaseam.Answer) {
	now := time.Now()
	good := answer.Outcome == cicadaseam.OutcomeRan && !failed(answer) && now.Sub(x.began) <= x.policy.Deadline
	e.recorder.Record(now, x.call.Service, x.call.Class, good)
	if ce := e.logger.Check(zap.DebugLevel, "call ended"); ce != nil {
		ce.Write(zap.String("request", x.call.ID), zap.String("service", x.call.Service), zap.String("class", x.call.Class),
			zap.Stringer("outcome", answer.Outcome), zap.String("reason", string(answer.Reason)), zap.Int("status", answer.Status),
			zap.Uint64("version", uint64(x.table.Version)), zap.Duration("took", now.Sub(x.began)))
	}
}

// credential returns the SHA-256 sum of the caller's bearer token in hex.
func credential(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// callerDeadline lets a caller shorten the deadline of the policy.
func callerDeadline(r *http.Request, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(runner.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

func requestID() string {
	id := uuid.New()
	return hex.EncodeToString(id[:])
}
