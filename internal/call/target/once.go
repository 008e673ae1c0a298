package target

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
)

// ResolutionState is what is known of an attempt.
type ResolutionState uint8

// The states of an attempt as others learn them.
const (
	// ResolutionLost: the node that had the attempt does not answer for it.
	ResolutionLost ResolutionState = iota
	// ResolutionVoid: the attempt did not start and never will.
	ResolutionVoid
	ResolutionRunning
	ResolutionFinished
)

// Resolution is the answer to Resolve.
type Resolution struct {
	State ResolutionState `msgpack:"s"`
	// Answer is the kept answer of a finished attempt; nil when it is no
	// longer kept.
	Answer *cicadaseam.Answer `msgpack:"a,omitempty"`
}

const (
	voidTimeout = 2 * time.Second
	voidPause   = time.Second
	// holderWait is how long a resend waits for the first run to finish.
	holderWait = 200 * time.Millisecond
)

// claim asks the ledger for the key of a call. It returns nil when the attempt
// won and may start.
func (t *Target) claim(ctx context.Context, call *cicadaseam.Call) *cicadaseam.Answer {
	key, err := ledger.ParseKey(call.Customer, call.Service, call.IdempotencyKey, time.Now())
	if err != nil {
		return notRun(cicadaseam.ReasonBadKey, 0)
	}
	// A second round follows the void of a holder that never started.
	const rounds = 2
	for range rounds {
		result, err := t.claims.Submit(ctx, t.op(ledger.OpClaim, key, call))
		if err != nil {
			t.attempts.void(time.Now(), call.AttemptID)
			t.voidClaim(call)
			return notRun(cicadaseam.ReasonLedgerUnavailable, retryLedger)
		}
		if result.Won {
			return nil
		}
		answer := t.notWon(ctx, call, key, result)
		if answer != nil {
			return answer
		}
	}
	return notRun(cicadaseam.ReasonLedgerUnavailable, retryLedger)
}

func (t *Target) op(kind ledger.OpKind, key ledger.Key, call *cicadaseam.Call) ledger.Op {
	return ledger.Op{
		Kind:        kind,
		Key:         key,
		AttemptID:   call.AttemptID,
		NodeID:      t.nodeID,
		Addr:        t.addr,
		Fingerprint: call.Fingerprint,
	}
}

// notWon answers a call whose key is held by another attempt or too old. It
// returns nil when the holder was voided and the claim may be tried again.
func (t *Target) notWon(ctx context.Context, call *cicadaseam.Call, key ledger.Key, result ledger.Result) *cicadaseam.Answer {
	if result.Expired {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonKeyExpired}
	}
	if result.Holder == nil {
		// This attempt was voided in the stream: it never starts.
		return notRun(cicadaseam.ReasonLedgerUnavailable, retryLedger)
	}
	if result.Holder.Fingerprint != call.Fingerprint {
		return notRun(cicadaseam.ReasonKeyConflict, 0)
	}
	return t.askHolder(ctx, key, result.Holder)
}

// askHolder learns what became of the attempt that holds the key.
func (t *Target) askHolder(ctx context.Context, key ledger.Key, holder *ledger.Claim) *cicadaseam.Answer {
	res := t.resolveHolder(ctx, holder)
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
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonKeyRunning, RetryAfter: retryBusy}
	case ResolutionLost:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonKeyLost}
	}
	// The holder did not start and never will. Its claim is voided on its
	// behalf.
	void := ledger.Op{Kind: ledger.OpVoid, Key: key, AttemptID: holder.AttemptID, NodeID: holder.NodeID, Addr: holder.Addr}
	if _, err := t.claims.Submit(ctx, void); err != nil {
		return notRun(cicadaseam.ReasonLedgerUnavailable, retryLedger)
	}
	t.counts.Voids.Add(1)
	return nil
}

func (t *Target) resolveHolder(ctx context.Context, holder *ledger.Claim) Resolution {
	if holder.NodeID == t.nodeID {
		return t.Inquire(ctx, holder.AttemptID, holderWait)
	}
	return t.resolver.Inquire(ctx, holder.NodeID, holder.Addr, holder.AttemptID, holderWait)
}

// Resolve tells the entry that sent an attempt what became of it, and voids it
// if it has not started or not even come. It waits for a running one up to
// wait. Only the sender may ask so, soon after: a finished attempt is not known
// for ever.
func (t *Target) Resolve(ctx context.Context, attemptID string, wait time.Duration) Resolution {
	state, x := t.attempts.void(time.Now(), attemptID)
	return t.resolution(ctx, state, x, wait)
}

// Inquire tells what became of an attempt that claimed a key at this node. It
// changes nothing: an attempt between claim and start goes on, and one that is
// no longer known may have run.
func (t *Target) Inquire(ctx context.Context, attemptID string, wait time.Duration) Resolution {
	state, x := t.attempts.lookup(attemptID)
	return t.resolution(ctx, state, x, wait)
}

func (t *Target) resolution(ctx context.Context, state attemptState, x *attempt, wait time.Duration) Resolution {
	if x == nil {
		return Resolution{State: ResolutionLost}
	}
	if state == attemptOpen || state == attemptStarted {
		if !waitFor(ctx, x.done, wait) {
			return Resolution{State: ResolutionRunning}
		}
		state, _ = t.attempts.lookup(x.id)
	}
	if state == attemptVoid {
		return Resolution{State: ResolutionVoid}
	}
	return Resolution{State: ResolutionFinished, Answer: t.attempts.answerOf(x)}
}

func waitFor(ctx context.Context, done <-chan struct{}, wait time.Duration) bool {
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

// voidClaim writes the void record of an attempt that will not start. It goes
// on in the background: whatever becomes of it, the attempt never starts here.
func (t *Target) voidClaim(call *cicadaseam.Call) {
	if call.IdempotencyKey == "" {
		return
	}
	key, err := ledger.ParseKey(call.Customer, call.Service, call.IdempotencyKey, time.Now())
	if err != nil {
		return
	}
	t.counts.Voids.Add(1)
	t.inFlight.Add(1)
	go func() {
		defer t.inFlight.Done()
		t.submitVoid(t.op(ledger.OpVoid, key, call))
	}()
}

func (t *Target) submitVoid(op ledger.Op) {
	for range voidTries {
		ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
		_, err := t.claims.Submit(ctx, op)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(voidPause)
	}
	// A resend asks this node by Resolve and voids the claim then.
	t.logger.Warn("void not written", zap.String("attempt", op.AttemptID))
}

// voidIfOpen ends an attempt that was refused before its start.
func (a *attempts) voidIfOpen(call *cicadaseam.Call) {
	if !call.Idempotent {
		a.void(time.Now(), call.AttemptID)
	}
}
