// Package target runs calls at the backend server of this node.
//
// # Model
//
// A call is checked against the quarantine and then waits for admission, which gives it
// a slot. The attempt to run a non-idempotent request is also recorded in a table, and
// takes three steps: it gets its slot, claims the idempotency key of the request, if any,
// in the ledger, and starts. Only then is the request sent, once. The answer has the
// outcome: ran; notrun, when no byte reached the backend server; or unknown.
//
// An entry node that lost its link to this node calls Resolve to learn the state of
// an attempt. Resolve voids an attempt that has not started, so that the reported state
// stays true. Another target that finds its key held by an attempt at this node calls
// Inquire, which changes nothing.
//
// # Invariants
//
//   - An attempt to run a non-idempotent request starts at most once, and never after it
//     was voided.
//   - An attempt that claimed a key and does not start is voided in the ledger.
//   - A crash of the backend server is reported to all nodes before the lost requests are
//     answered.
//
// # Usage
//
//	t := target.New(nodeID, addr, ledgerClient, resolver)
//	t.Attach(runner, backend)
//	answer := t.Handle(ctx, call, policy)
package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/call/admit"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

const (
	// retryAfterBusy and retryAfterLedger are the RetryAfter of answers to calls that were
	// not run, or whose key is held by a running attempt: retryAfterLedger when the ledger
	// is unavailable, retryAfterBusy otherwise.
	retryAfterBusy   = time.Second
	retryAfterLedger = 2 * time.Second
	// probeTimeout bounds the check whether the backend server still accepts connections.
	probeTimeout = 250 * time.Millisecond
	// crashWindow is the time before the detection of a crash within which lost requests
	// are attributed to it.
	crashWindow = time.Second
	// maxVoidWrites bounds how often the write of a void record is tried.
	maxVoidWrites = 5
)

// Ledger is the part of the ledger client that a target uses.
type Ledger interface {
	// Submit performs an operation on a key and returns its result.
	Submit(ctx context.Context, op ledger.Op) (ledger.Result, error)
}

// Resolver asks other nodes about attempts.
type Resolver interface {
	// Inquire calls Target.Inquire at another node.
	Inquire(ctx context.Context, nodeID, addr, attemptID string, wait time.Duration) Resolution
}

// Observer is notified of crash marks that are to be sent to all nodes.
type Observer interface {
	// ObserveCrash is called with the new marks of a crash, once per crash, before the
	// lost calls are answered.
	ObserveCrash(marks []cicadaseam.CrashMark)
	// ObserveCleared is called with the cleared marks of a request that succeeded.
	ObserveCleared(marks []cicadaseam.CrashMark)
}

// Counters counts the answers of a target by outcome, the crashes of its backend server,
// and the void records that it requested.
type Counters struct {
	Ran     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	Crashes atomic.Int64
	Voids   atomic.Int64
}

// Target runs the calls for one backend server. It is safe for concurrent use.
type Target struct {
	nodeID   string
	addr     string
	ledger   Ledger
	resolver Resolver
	observer Observer
	logger   *zap.Logger
	attempts *attemptTable
	counters Counters
	// onLeaving is called when the backend server says that it is about to exit.
	onLeaving func()

	mu                  sync.Mutex
	admission           *admit.Controller
	runner              *runner.Runner
	backend             cicadaseam.Backend
	lastSlotID          uint64
	queued              map[uint64]chan admit.Decision // by slot ID
	runningFingerprints map[uint64]uint64              // by slot ID
	lostRequests        []lostRequest                  // of the last crashWindow, since the last Attach
	rateLimit           ratelimit.Named                // of the backend server since the last Attach
	crashed             *runner.Runner                 // of the server that crashed last
	crashCount          int                            // numbers the crashes in their IDs
	inFlight            sync.WaitGroup                 // calls and void records

	quarantineMu sync.Mutex
	quarantine   *quarantine.Quarantine
	// hasMarks says whether quarantine has marks. Without any, calls need not take
	// quarantineMu.
	hasMarks atomic.Bool
}

// lostRequest is a request whose connection ended without a response.
type lostRequest struct {
	fingerprint uint64
	lostAt      time.Time
}

// Option configures a new Target.
type Option func(*Target)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(t *Target) { t.logger = l } }

// WithObserver sets the observer of crash marks.
func WithObserver(o Observer) Option { return func(t *Target) { t.observer = o } }

// WithOnLeaving sets a function that is called when the backend server says in an answer that it
// is about to exit.
func WithOnLeaving(f func()) Option { return func(t *Target) { t.onLeaving = f } }

// New returns a target without a backend server, for the node with the given ID and
// address.
func New(nodeID, addr string, l Ledger, resolver Resolver, opts ...Option) *Target {
	t := &Target{
		nodeID:              nodeID,
		addr:                addr,
		ledger:              l,
		resolver:            resolver,
		observer:            noObserver{},
		logger:              zap.NewNop(),
		attempts:            newAttemptTable(),
		admission:           admit.New(),
		queued:              map[uint64]chan admit.Decision{},
		runningFingerprints: map[uint64]uint64{},
		quarantine:          quarantine.New(),
		onLeaving:           func() {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

type noObserver struct{}

func (noObserver) ObserveCrash([]cicadaseam.CrashMark)   {}
func (noObserver) ObserveCleared([]cicadaseam.CrashMark) {}

// Counters returns the counters of the target.
func (t *Target) Counters() *Counters { return &t.counters }

// Backend returns the backend server as it was announced, with its present state.
func (t *Target) Backend() cicadaseam.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backend
}

// Attach sets the backend server, as it was announced, and the runner that sends requests
// to it, and accepts calls from then on. It closes a runner that it replaces.
func (t *Target) Attach(r *runner.Runner, b cicadaseam.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runner != nil && t.runner != r {
		t.runner.Close()
	}
	t.runner = r
	t.backend = b
	t.admission.SetSlots(b.Slots)
	t.admission.Resume()
	t.lostRequests = nil
	t.rateLimit = ratelimit.Named{}
	t.deliver(t.admission.SetRate(time.Now(), 0))
}

// Drain refuses the queued calls, and new ones until the next Attach.
func (t *Target) Drain() {
	t.detach(cicadaseam.BackendDraining)
}

// Detach marks the backend server as gone, since its lease has expired. Like Drain, it
// refuses the queued calls, and new ones until the next Attach.
func (t *Target) Detach() {
	t.detach(cicadaseam.BackendNone)
}

// detach sets the state of the backend server and refuses all calls.
func (t *Target) detach(state cicadaseam.BackendState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backend.State = state
	if t.runner != nil {
		t.runner.Drain()
	}
	t.deliver(t.admission.Drain(time.Now()))
}

// Wait waits until no call or write of a void record is in flight, or the context ends.
// It reports whether none is.
func (t *Target) Wait(ctx context.Context) bool {
	return wait.Group(ctx, &t.inFlight)
}

// Close closes the idle connections to the backend server. From now on, none is kept for
// reuse.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runner != nil {
		t.runner.Close()
	}
}

// Load returns the load that is reported with each answer.
func (t *Target) Load() cicadaseam.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admission.Load(time.Now())
}

// Handle runs a call or refuses it. The context carries the deadline of the call.
func (t *Target) Handle(ctx context.Context, call *cicadaseam.Call, policy tree.Policy) *cicadaseam.Answer {
	t.inFlight.Add(1)
	defer t.inFlight.Done()
	answer := t.handle(ctx, call, policy)
	answer.Load = t.Load()
	t.countOutcome(answer.Outcome)
	return answer
}

func (t *Target) countOutcome(o cicadaseam.Outcome) {
	switch o {
	case cicadaseam.OutcomeRan:
		t.counters.Ran.Add(1)
	case cicadaseam.OutcomeNotRun:
		t.counters.NotRun.Add(1)
	default:
		t.counters.Unknown.Add(1)
	}
}

// handle returns the answer to a call, without the load.
func (t *Target) handle(ctx context.Context, call *cicadaseam.Call, policy tree.Policy) *cicadaseam.Answer {
	if wait, refused := t.Quarantined(call.Fingerprint, policy.Quarantine); refused {
		return notRun(cicadaseam.ReasonQuarantine, wait)
	}
	if !call.Idempotent && !t.attempts.register(time.Now(), call.AttemptID) {
		return notRun(cicadaseam.ReasonCanceled, 0)
	}
	slotID, reason := t.acquireSlot(ctx, call, policy)
	if reason != cicadaseam.ReasonNone {
		t.attempts.voidRefused(call)
		return notRun(reason, retryAfterBusy)
	}
	if call.Idempotent {
		return t.run(ctx, call, policy, slotID)
	}
	return t.runNonIdempotent(ctx, call, policy, slotID)
}

// runNonIdempotent claims the key of a non-idempotent request, if it has one, starts the
// attempt and runs the request.
func (t *Target) runNonIdempotent(ctx context.Context, call *cicadaseam.Call, policy tree.Policy, slotID uint64) *cicadaseam.Answer {
	if call.IdempotencyKey != "" {
		if answer := t.claim(ctx, call); answer != nil {
			t.releaseSlot()
			return answer
		}
	}
	if reason := t.startAttempt(ctx, call); reason != cicadaseam.ReasonNone {
		t.releaseSlot()
		t.attempts.void(time.Now(), call.AttemptID)
		t.voidClaimAsync(call)
		return notRun(reason, retryAfterBusy)
	}
	// The request goes on when the caller disconnects. Its answer is kept for a retry.
	deadline, _ := ctx.Deadline()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer := t.run(runCtx, call, policy, slotID)
	if answer.Outcome == cicadaseam.OutcomeNotRun {
		// Nothing was sent, but an attempt cannot start twice: void its claim.
		t.voidClaimAsync(call)
	}
	keptAnswer := *answer // a copy, since Handle sets the load in the answer
	t.attempts.finish(call.AttemptID, &keptAnswer)
	return answer
}

// startAttempt marks the attempt of a call as started. It returns why the call may not start any more,
// or ReasonNone: the ledger may have taken so long that the backend server leaves or is another one.
func (t *Target) startAttempt(ctx context.Context, call *cicadaseam.Call) cicadaseam.Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.accepts(call) {
		return cicadaseam.ReasonDraining
	}
	if ctx.Err() != nil || !t.attempts.start(call.AttemptID) {
		return cicadaseam.ReasonDeadline
	}
	return cicadaseam.ReasonNone
}

// accepts reports whether the backend server takes a call now. t.mu must be held.
func (t *Target) accepts(call *cicadaseam.Call) bool {
	return t.backend.State == cicadaseam.BackendReady && t.backend.Service == call.Service
}

// acquireSlot waits for a slot and returns its ID. The reason is ReasonNone when the call
// got one.
func (t *Target) acquireSlot(ctx context.Context, call *cicadaseam.Call, policy tree.Policy) (uint64, cicadaseam.Reason) {
	deadline, _ := ctx.Deadline()
	t.mu.Lock()
	if !t.accepts(call) {
		t.mu.Unlock()
		return 0, cicadaseam.ReasonDraining
	}
	t.lastSlotID++
	id := t.lastSlotID
	decision := make(chan admit.Decision, 1)
	t.queued[id] = decision
	t.deliver(t.admission.Admit(time.Now(), admit.Request{
		ID:          id,
		Priority:    call.Priority,
		Deadline:    deadline,
		QueueWait:   policy.QueueWait,
		QueueLength: policy.QueueLength,
	}))
	t.mu.Unlock()
	select {
	case d := <-decision:
		return id, d.Reason
	default:
		return t.waitForSlot(ctx, id, decision, policy.QueueWait)
	}
}

// rateTick is the time after which a queued call looks whether a rate limit lets calls start.
const rateTick = 10 * time.Millisecond

// waitForSlot waits for the decision on a queued call. After the time wait, and periodically while
// the rate is limited, it calls Tick of the admission controller, which refuses the calls that
// have been queued for too long and starts others.
func (t *Target) waitForSlot(ctx context.Context, id uint64, decision <-chan admit.Decision, wait time.Duration) (uint64, cicadaseam.Reason) {
	timeout := time.NewTimer(t.nextTick(wait))
	defer timeout.Stop()
	until := time.Now().Add(wait)
	for {
		select {
		case d := <-decision:
			return id, d.Reason
		case <-timeout.C:
			t.mu.Lock()
			t.deliver(t.admission.Tick(time.Now()))
			t.mu.Unlock()
			if left := time.Until(until); left > 0 {
				timeout.Reset(t.nextTick(left))
			}
		case <-ctx.Done():
			return t.leaveQueue(id, decision)
		}
	}
}

// nextTick returns after which time a queued call that may wait for another while calls Tick.
func (t *Target) nextTick(wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.admission.HasRate() {
		return min(wait, rateTick)
	}
	return wait
}

// leaveQueue removes a call from the queue, or releases the slot that it got in the
// meantime.
func (t *Target) leaveQueue(id uint64, decision <-chan admit.Decision) (uint64, cicadaseam.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.admission.Cancel(id) {
		delete(t.queued, id)
		return id, cicadaseam.ReasonDeadline
	}
	d := <-decision
	if d.Reason == cicadaseam.ReasonNone {
		t.deliver(t.admission.Release(time.Now()))
		return id, cicadaseam.ReasonDeadline
	}
	return id, d.Reason
}

// deliver passes decisions on to the calls that wait for them. t.mu must be held.
func (t *Target) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if decision := t.queued[d.ID]; decision != nil {
			delete(t.queued, d.ID)
			decision <- d
		}
	}
}

// releaseSlot frees the slot of a call that did not start.
func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.admission.Release(time.Now()))
}

// notRun returns the answer to a call that was not run.
func notRun(reason cicadaseam.Reason, retryAfter time.Duration) *cicadaseam.Answer {
	return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}
