package target

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// run sends a call to the backend server and gives the slot back.
func (t *Target) run(ctx context.Context, call *cicadaseam.Call, p tree.Policy, ticket uint64) *cicadaseam.Answer {
	t.mu.Lock()
	r := t.runner
	t.running[ticket] = call.Fingerprint
	t.mu.Unlock()
	began := time.Now()
	result := r.Run(ctx, call, p.MaxAnswer)
	answer := t.answerOf(ctx, r, call, ticket, result)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, ticket)
	overloaded := result.Status == http.StatusServiceUnavailable
	t.deliver(t.gate.Done(time.Now(), time.Since(began), overloaded))
	return answer
}

// answerOf says what is known of a request from what came of it.
func (t *Target) answerOf(ctx context.Context, r *runner.Runner, call *cicadaseam.Call, ticket uint64, result runner.Result) *cicadaseam.Answer {
	switch {
	case result.Err == nil:
		t.succeeded(call.Fingerprint)
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Status: result.Status, Headers: result.Headers, Body: result.Body}
	case result.TooLarge:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Status: http.StatusBadGateway, Reason: cicadaseam.ReasonAnswerTooLarge}
	case ctx.Err() != nil:
		return &cicadaseam.Answer{Outcome: outcomeOf(result.Sent), Reason: cicadaseam.ReasonDeadline}
	case !result.Sent:
		return notRun(cicadaseam.ReasonBackendLost, retryBusy)
	}
	return t.lostRun(r, call.Fingerprint, ticket)
}

func outcomeOf(sent bool) cicadaseam.Outcome {
	if sent {
		return cicadaseam.OutcomeUnknown
	}
	return cicadaseam.OutcomeNotRun
}

// lostRun handles a request whose connection ended without an answer. When the
// backend server refuses connections too, it has crashed.
func (t *Target) lostRun(r *runner.Runner, fingerprint uint64, ticket uint64) *cicadaseam.Answer {
	answer := &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonBackendLost}
	t.mu.Lock()
	delete(t.running, ticket)
	t.lost = append(t.lost, lostRun{fingerprint: fingerprint, at: time.Now()})
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), refuseCheck)
	defer cancel()
	if !r.RefusesConnections(ctx) {
		return answer
	}
	if alone := t.crashed(r); alone {
		answer.Reason = cicadaseam.ReasonBackendCrashed
	}
	return answer
}

// crashed marks all that the backend server was running. It reports whether
// there was only one request, which then is to blame for certain.
func (t *Target) crashed(r *runner.Runner) bool {
	now := time.Now()
	t.mu.Lock()
	if t.runner == r && t.backend.State == cicadaseam.BackendReady {
		t.crashes++
		t.backend.State = cicadaseam.BackendNone
		t.deliver(t.gate.Drain(now))
		t.counts.Crashes.Add(1)
	}
	crash := fmt.Sprintf("%s/%d", t.nodeID, t.crashes)
	suspects := map[uint64]bool{}
	for _, l := range t.lost {
		if now.Sub(l.at) <= lostTogether {
			suspects[l.fingerprint] = true
		}
	}
	for _, f := range t.running {
		suspects[f] = true
	}
	t.mu.Unlock()
	fingerprints := make([]uint64, 0, len(suspects))
	for f := range suspects {
		fingerprints = append(fingerprints, f)
	}
	t.marksMu.Lock()
	marks := t.marks.RecordCrash(now, crash, fingerprints)
	t.marked.Store(t.marks.HasMarks())
	t.marksMu.Unlock()
	if len(marks) > 0 {
		t.logger.Warn("backend server crashed", zap.String("crash", crash), zap.Int("suspects", len(fingerprints)))
		t.events.ObserveCrash(marks)
	}
	return len(fingerprints) == 1
}

// succeeded clears a marked request that ran well.
func (t *Target) succeeded(fingerprint uint64) {
	if !t.marked.Load() {
		return
	}
	t.marksMu.Lock()
	marks := t.marks.RecordSuccess(time.Now(), fingerprint)
	t.marked.Store(t.marks.HasMarks())
	t.marksMu.Unlock()
	if len(marks) > 0 {
		t.events.ObserveCleared(marks)
	}
}

// TakeMarks notes marks that other nodes told and returns the new ones.
func (t *Target) MergeMarks(marks []cicadaseam.CrashMark) []cicadaseam.CrashMark {
	t.marksMu.Lock()
	defer t.marksMu.Unlock()
	fresh := t.marks.MergeMarks(time.Now(), marks)
	t.marked.Store(t.marks.HasMarks())
	return fresh
}

// Quarantined reports whether a fingerprint is refused, and for how long.
func (t *Target) Quarantined(fingerprint uint64, period time.Duration) (time.Duration, bool) {
	if !t.marked.Load() {
		return 0, false
	}
	t.marksMu.Lock()
	defer t.marksMu.Unlock()
	t.marks.SetPeriod(period)
	return t.marks.Refused(time.Now(), fingerprint)
}
