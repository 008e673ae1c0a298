package target

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
)

// ResolutionState is the state of an attempt as reported to other nodes.
type ResolutionState uint8

// The states that are reported.
const (
	// ResolutionLost: the attempt is not known to its node, or the node did not answer.
	// The attempt may have run.
	ResolutionLost ResolutionState = iota
	// ResolutionVoid: the attempt has not started and never will.
	ResolutionVoid
	// ResolutionRunning: the attempt has not finished. When Inquire returns it, the
	// attempt may not have started yet either.
	ResolutionRunning
	// ResolutionFinished: the attempt has finished.
	ResolutionFinished
)

// Resolution is the answer to Resolve and Inquire.
type Resolution struct {
	State ResolutionState `msgpack:"s"`
	// Answer is the answer of a finished attempt, or nil when it was dropped.
	Answer *cicadaseam.Answer `msgpack:"a,omitempty"`
}

const (
	// voidWriteTimeout bounds one write of a void record, and voidRetryInterval is the
	// pause before the next one.
	voidWriteTimeout  = 2 * time.Second
	voidRetryInterval = time.Second
	// holderWait is how long a retry with the same key waits for the attempt that holds
	// the key to finish.
	holderWait = 200 * time.Millisecond
)

// claim claims the idempotency key of a call. It returns nil when the attempt won the
// claim and may start, or else the answer to the call.
func (t *Target) claim(ctx context.Context, call *cicadaseam.Call) *cicadaseam.Answer {
	key, err := ledger.ParseKey(call.Customer, call.Service, call.IdempotencyKey, time.Now())
	if err != nil {
		return notRun(cicadaseam.ReasonBadKey, 0)
	}
	// The second round is for a key whose holder did not run and has been voided.
	const rounds = 2
	for range rounds {
		result, err := t.ledger.Submit(ctx, t.newOp(ledger.OpClaim, key, call))
		if err != nil {
			t.attempts.void(time.Now(), call.AttemptID)
			t.voidClaimAsync(call)
			return notRun(cicadaseam.ReasonLedgerUnavailable, retryAfterLedger)
		}
		if result.Won {
			return nil
		}
		answer := t.answerNotWon(ctx, call, key, result)
		if answer != nil {
			return answer
		}
	}
	return notRun(cicadaseam.ReasonLedgerUnavailable, retryAfterLedger)
}

// newOp returns an operation on the key of a call, for the call's attempt.
func (t *Target) newOp(kind ledger.OpKind, key ledger.Key, call *cicadaseam.Call) ledger.Op {
	return ledger.Op{
		Kind:        kind,
		Key:         key,
		AttemptID:   call.AttemptID,
		NodeID:      t.nodeID,
		Addr:        t.addr,
		Fingerprint: call.Fingerprint,
	}
}

// answerNotWon returns the answer to a call whose attempt did not win the claim: another
// attempt holds the key, the key has expired, or this attempt was voided. It returns nil
// when the holder of the key was voided, so that the claim can be tried again.
func (t *Target) answerNotWon(ctx context.Context, call *cicadaseam.Call, key ledger.Key, result ledger.Result) *cicadaseam.Answer {
	if result.Expired {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonKeyExpired}
	}
	if result.Holder == nil {
		// This attempt was voided in the log: it never starts.
		return notRun(cicadaseam.ReasonLedgerUnavailable, retryAfterLedger)
	}
	if result.Holder.Fingerprint != call.Fingerprint {
		return notRun(cicadaseam.ReasonKeyConflict, 0)
	}
	return t.answerFromHolder(ctx, key, result.Holder)
}

// answerFromHolder returns the answer to a call from the state of the attempt that holds
// its key. If that attempt did not run and never will, its claim is voided in the ledger
// and the result is nil.
func (t *Target) answerFromHolder(ctx context.Context, key ledger.Key, holder *ledger.Claim) *cicadaseam.Answer {
	res := t.queryHolder(ctx, holder)
	switch res.State {
	case ResolutionFinished:
		if res.Answer != nil && res.Answer.Outcome != cicadaseam.OutcomeNotRun {
			replay := *res.Answer
			replay.Replayed = true
			return &replay
		}
		if res.Answer == nil {
			return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Status: http.StatusConflict, Reason: cicadaseam.ReasonKeyLost, Replayed: true}
		}
	case ResolutionRunning:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonKeyRunning, RetryAfter: retryAfterBusy}
	case ResolutionLost:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonKeyLost}
	}
	// The holder did not run and never will: void its claim on its behalf.
	void := ledger.Op{Kind: ledger.OpVoid, Key: key, AttemptID: holder.AttemptID, NodeID: holder.NodeID, Addr: holder.Addr}
	if _, err := t.ledger.Submit(ctx, void); err != nil {
		return notRun(cicadaseam.ReasonLedgerUnavailable, retryAfterLedger)
	}
	t.counters.Voids.Add(1)
	return nil
}

// queryHolder gets the state of the attempt that holds a key from the node that has the
// attempt, which may be this node.
func (t *Target) queryHolder(ctx context.Context, holder *ledger.Claim) Resolution {
	if holder.NodeID == t.nodeID {
		return t.Inquire(ctx, holder.AttemptID, holderWait)
	}
	return t.resolver.Inquire(ctx, holder.NodeID, holder.Addr, holder.AttemptID, holderWait)
}

// Resolve returns the state of an attempt to the entry node that sent it. An attempt that
// has not started, or not even arrived, is voided; a running attempt gets up to wait to
// finish. Only the sender may call Resolve, and soon after sending: a finished attempt is
// forgotten after a time, and would then be reported as void.
func (t *Target) Resolve(ctx context.Context, attemptID string, wait time.Duration) Resolution {
	state, x := t.attempts.void(time.Now(), attemptID)
	return t.awaitResolution(ctx, state, x, wait)
}

// Inquire returns the state of an attempt that claimed a key at this node. It changes
// nothing: an attempt between its claim and its start continues. An attempt that has not
// finished gets up to wait to finish. An attempt that is no longer known may have run.
func (t *Target) Inquire(ctx context.Context, attemptID string, wait time.Duration) Resolution {
	state, x := t.attempts.lookup(attemptID)
	return t.awaitResolution(ctx, state, x, wait)
}

// awaitResolution returns the state of an attempt. It waits up to wait for a pending or
// running attempt to finish.
func (t *Target) awaitResolution(ctx context.Context, state attemptState, x *attempt, wait time.Duration) Resolution {
	if x == nil {
		return Resolution{State: ResolutionLost}
	}
	if state == attemptPending || state == attemptStarted {
		if !waitDone(ctx, x.done, wait) {
			return Resolution{State: ResolutionRunning}
		}
		state, _ = t.attempts.lookup(x.id)
	}
	if state == attemptVoided {
		return Resolution{State: ResolutionVoid}
	}
	return Resolution{State: ResolutionFinished, Answer: t.attempts.keptAnswer(x)}
}

// waitDone waits for done, at most for wait. It reports whether done is closed.
func waitDone(ctx context.Context, done <-chan struct{}, wait time.Duration) bool {
	select {
	case <-done:
		return true
	default:
	}
	if wait <= 0 {
		return false
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-done:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// voidClaimAsync writes the void record of an attempt that will not start, if the call
// has a key. It does so in the background: the attempt never starts here, whether or not
// the write succeeds.
func (t *Target) voidClaimAsync(call *cicadaseam.Call) {
	if call.IdempotencyKey == "" {
		return
	}
	key, err := ledger.ParseKey(call.Customer, call.Service, call.IdempotencyKey, time.Now())
	if err != nil {
		return
	}
	t.counters.Voids.Add(1)
	t.inFlight.Add(1)
	go func() {
		defer t.inFlight.Done()
		t.writeVoid(t.newOp(ledger.OpVoid, key, call))
	}()
}

// writeVoid submits a void record until that succeeds, at most maxVoidWrites times.
func (t *Target) writeVoid(op ledger.Op) {
	for range maxVoidWrites {
		ctx, cancel := context.WithTimeout(context.Background(), voidWriteTimeout)
		_, err := t.ledger.Submit(ctx, op)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(voidRetryInterval)
	}
	// A retry with the same key asks this node by Inquire, and then voids the claim.
	t.logger.Warn("void record not written", zap.String("attempt", op.AttemptID))
}

// voidRefused voids the attempt of a call that was refused before its start. Idempotent
// calls have no attempt in the table.
func (a *attemptTable) voidRefused(call *cicadaseam.Call) {
	if !call.Idempotent {
		a.void(time.Now(), call.AttemptID)
	}
}
