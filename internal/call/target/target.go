// Package target runs calls at the backend server of this node.
//
// # Model
//
// A call passes the quarantine, the gate, and for a non-idempotent request the
// table of attempts and the ledger, in this order: reserve a slot, claim,
// start. Only then is it sent, once. The answer says what is known: ran,
// notrun when no byte reached the backend server, or unknown.
//
// Resolve tells an entry node that lost its link what became of an attempt. An
// attempt that had not started is voided by the question itself, so that the
// answer stays true. Inquire is the question of another target whose key is
// held by an attempt here, and changes nothing.
//
// # Invariants
//
//   - A non-idempotent attempt starts at most once, and never after a void.
//   - A claimed attempt that does not start is voided in the ledger.
//   - A crash of the backend server is told to all nodes before the answer
//     leaves.
//
// # Usage
//
//	t := target.New(self, ledgerClient, resolver)
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
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/call/admit"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/call/quarantine"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// RetryAfter hints.
const (
	retryBusy   = time.Second
	retryLedger = 2 * time.Second
	// refuseCheck bounds the look whether the backend server still listens.
	refuseCheck = 250 * time.Millisecond
	// lostTogether is the time within which requests that are lost belong to
	// the same crash.
	lostTogether = time.Second
	// voidTries is how often the void of a claimed attempt is asked for.
	voidTries = 5
)

// Claims is the ledger as a target sees it.
type Ledger interface {
	Submit(ctx context.Context, op ledger.Op) (ledger.Result, error)
}

// Resolver asks another node what became of an attempt.
type Resolver interface {
	Inquire(ctx context.Context, node, addr, attempt string, wait time.Duration) Resolution
}

// Events tells the node about its backend server.
type Observer interface {
	// Crashed is called once a crash, before any lost call is answered.
	ObserveCrash(marks []cicadaseam.CrashMark)
	// Cleared tells that marked requests ran well.
	ObserveCleared(marks []cicadaseam.CrashMark)
}

// Counters count what a target did.
type Counters struct {
	Ran     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	Crashes atomic.Int64
	Voids   atomic.Int64
}

// Target stands before one backend server. It is safe for concurrent use.
type Target struct {
	nodeID   string
	addr     string
	claims   Ledger
	resolver Resolver
	events   Observer
	logger   *zap.Logger
	attempts *attempts
	counts   Counters

	mu       sync.Mutex
	gate     *admit.Controller
	runner   *runner.Runner
	backend  cicadaseam.Backend
	nextID   uint64
	waiting  map[uint64]chan admit.Decision
	running  map[uint64]uint64 // ticket to fingerprint
	lost     []lostRun
	crashes  int
	inFlight sync.WaitGroup

	marksMu sync.Mutex
	marks   *quarantine.Quarantine
	marked  atomic.Bool
}

type lostRun struct {
	fingerprint uint64
	at          time.Time
}

// Option changes a new Target.
type Option func(*Target)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(t *Target) { t.logger = l } }

// WithEvents sets who learns of crashes.
func WithObserver(e Observer) Option { return func(t *Target) { t.events = e } }

// New returns a target without a backend server.
func New(nodeID, addr string, claims Ledger, resolver Resolver, opts ...Option) *Target {
	t := &Target{
		nodeID:   nodeID,
		addr:     addr,
		claims:   claims,
		resolver: resolver,
		events:   noEvents{},
		logger:   zap.NewNop(),
		attempts: newAttempts(),
		gate:     admit.New(),
		waiting:  map[uint64]chan admit.Decision{},
		running:  map[uint64]uint64{},
		marks:    quarantine.New(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

type noEvents struct{}

func (noEvents) ObserveCrash([]cicadaseam.CrashMark)   {}
func (noEvents) ObserveCleared([]cicadaseam.CrashMark) {}

// Counters returns the counters of the target.
func (t *Target) Counters() *Counters { return &t.counts }

// Backend returns the backend server as announced.
func (t *Target) Backend() cicadaseam.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backend
}

// Attach takes a backend server that announced itself.
func (t *Target) Attach(r *runner.Runner, b cicadaseam.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runner != nil && t.runner != r {
		t.runner.Close()
	}
	t.runner = r
	t.backend = b
	t.gate.SetSlots(b.Slots)
	t.gate.Resume()
	t.lost = nil
}

// Drain refuses new work from now on and the work that is queued.
func (t *Target) Drain() {
	t.detach(cicadaseam.BackendDraining)
}

// Detach forgets a backend server whose lease ended.
func (t *Target) Detach() {
	t.detach(cicadaseam.BackendNone)
}

func (t *Target) detach(state cicadaseam.BackendState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backend.State = state
	t.deliver(t.gate.Drain(time.Now()))
}

// Wait returns when nothing is in flight or the context ends. It reports
// whether everything ended.
func (t *Target) Wait(ctx context.Context) bool {
	return wait.Group(ctx, &t.inFlight)
}

// Close drops the connections to the backend server.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runner != nil {
		t.runner.Close()
	}
}

// Load returns the load that answers carry.
func (t *Target) Load() cicadaseam.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Load(time.Now())
}

// Handle runs a call. The context carries its deadline.
func (t *Target) Handle(ctx context.Context, call *cicadaseam.Call, p tree.Policy) *cicadaseam.Answer {
	t.inFlight.Add(1)
	defer t.inFlight.Done()
	answer := t.handle(ctx, call, p)
	answer.Load = t.Load()
	t.count(answer.Outcome)
	return answer
}

func (t *Target) count(o cicadaseam.Outcome) {
	switch o {
	case cicadaseam.OutcomeRan:
		t.counts.Ran.Add(1)
	case cicadaseam.OutcomeNotRun:
		t.counts.NotRun.Add(1)
	default:
		t.counts.Unknown.Add(1)
	}
}

func (t *Target) handle(ctx context.Context, call *cicadaseam.Call, p tree.Policy) *cicadaseam.Answer {
	if wait, refused := t.Quarantined(call.Fingerprint, p.Quarantine); refused {
		return notRun(cicadaseam.ReasonQuarantine, wait)
	}
	if !call.Idempotent && !t.attempts.open(time.Now(), call.AttemptID) {
		return notRun(cicadaseam.ReasonCanceled, 0)
	}
	ticket, reason := t.reserve(ctx, call, p)
	if reason != cicadaseam.ReasonNone {
		t.attempts.voidIfOpen(call)
		return notRun(reason, retryBusy)
	}
	if call.Idempotent {
		return t.run(ctx, call, p, ticket)
	}
	return t.runOnce(ctx, call, p, ticket)
}

// runOnce runs a non-idempotent request: it claims its key, if it has one, and
// starts the attempt.
func (t *Target) runOnce(ctx context.Context, call *cicadaseam.Call, p tree.Policy, ticket uint64) *cicadaseam.Answer {
	if call.IdempotencyKey != "" {
		if answer := t.claim(ctx, call); answer != nil {
			t.release()
			return answer
		}
	}
	if ctx.Err() != nil || !t.attempts.start(call.AttemptID) {
		t.release()
		t.attempts.void(time.Now(), call.AttemptID)
		t.voidClaim(call)
		return notRun(cicadaseam.ReasonDeadline, retryBusy)
	}
	// The caller may go away; the run goes on, and its answer is kept for the
	// one who asks again.
	deadline, _ := ctx.Deadline()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer := t.run(runCtx, call, p, ticket)
	if answer.Outcome == cicadaseam.OutcomeNotRun {
		// The connection could not be made: the attempt is spent all the same.
		t.voidClaim(call)
	}
	kept := *answer // the caller's copy is still completed with the load
	t.attempts.finish(call.AttemptID, &kept)
	return answer
}

// reserve waits for a slot. The reason is empty when it has one.
func (t *Target) reserve(ctx context.Context, call *cicadaseam.Call, p tree.Policy) (uint64, cicadaseam.Reason) {
	deadline, _ := ctx.Deadline()
	t.mu.Lock()
	if t.backend.State != cicadaseam.BackendReady || t.backend.Service != call.Service {
		t.mu.Unlock()
		return 0, cicadaseam.ReasonDraining
	}
	t.nextID++
	id := t.nextID
	decided := make(chan admit.Decision, 1)
	t.waiting[id] = decided
	t.deliver(t.gate.Admit(time.Now(), admit.Request{
		ID:          id,
		Priority:    call.Priority,
		Deadline:    deadline,
		QueueWait:   p.QueueWait,
		QueueLength: p.QueueLength,
	}))
	t.mu.Unlock()
	select {
	case e := <-decided:
		return id, e.Reason
	default:
		return t.waitForSlot(ctx, id, decided, p.QueueWait)
	}
}

func (t *Target) waitForSlot(ctx context.Context, id uint64, decided <-chan admit.Decision, wait time.Duration) (uint64, cicadaseam.Reason) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		select {
		case e := <-decided:
			return id, e.Reason
		case <-timeout.C:
			t.mu.Lock()
			t.deliver(t.gate.Tick(time.Now()))
			t.mu.Unlock()
		case <-ctx.Done():
			return t.giveUp(id, decided)
		}
	}
}

// giveUp leaves the queue. A slot that was given meanwhile is given back.
func (t *Target) giveUp(id uint64, decided <-chan admit.Decision) (uint64, cicadaseam.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate.Cancel(id) {
		delete(t.waiting, id)
		return id, cicadaseam.ReasonDeadline
	}
	e := <-decided
	if e.Reason == cicadaseam.ReasonNone {
		t.deliver(t.gate.Release(time.Now()))
		return id, cicadaseam.ReasonDeadline
	}
	return id, e.Reason
}

// deliver tells waiting calls what the gate decided. The lock is held.
func (t *Target) deliver(events []admit.Decision) {
	for _, e := range events {
		if decided := t.waiting[e.ID]; decided != nil {
			delete(t.waiting, e.ID)
			decided <- e
		}
	}
}

// release gives the slot of a call back that did not start.
func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Release(time.Now()))
}

func notRun(reason cicadaseam.Reason, retryAfter time.Duration) *cicadaseam.Answer {
	return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}
