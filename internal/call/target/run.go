package target

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// run sends a call to the backend server and then frees the slot.
func (t *Target) run(ctx context.Context, call *cicadaseam.Call, policy tree.Policy, slotID uint64) *cicadaseam.Answer {
	t.mu.Lock()
	r := t.runner
	t.runningFingerprints[slotID] = call.Fingerprint
	t.mu.Unlock()
	start := time.Now()
	result := r.Run(ctx, call, policy.MaxAnswer)
	answer := t.answerFor(ctx, r, call, slotID, result)
	if t.recordSignals(r, call.ID, start, result) {
		t.onLeaving()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runningFingerprints, slotID)
	overloaded := result.Status == http.StatusServiceUnavailable
	t.deliver(t.admission.Done(time.Now(), time.Since(start), overloaded))
	return answer
}

// recordSignals records what the backend server says of itself in the response to a request that
// was sent at a time. It reports whether the server is about to exit.
func (t *Target) recordSignals(r *runner.Runner, requestID string, sentAt time.Time, result runner.Result) (leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result.Err != nil || t.runner != r {
		return false
	}
	now, before := time.Now(), t.rateLimit.PerSecond
	changed, err := t.rateLimit.Update(now, ratelimit.Answer{SentAt: sentAt, Field: result.RateLimit, Certain: true})
	if err != nil {
		t.logger.Warn("invalid rate limit of the backend server ignored", zap.String("request", requestID), zap.String("value", result.RateLimit), logging.Error(err))
	}
	if changed {
		t.deliver(t.admission.SetRate(now, t.rateLimit.PerSecond))
		t.logger.Info("rate limit of the backend server changed", zap.String("request", requestID), zap.Float64("per-second", t.rateLimit.PerSecond), zap.Float64("before", before))
	}
	return result.Leaving && t.backend.State == cicadaseam.BackendReady
}

// answerFor returns the answer that follows from the result of a request.
func (t *Target) answerFor(ctx context.Context, r *runner.Runner, call *cicadaseam.Call, slotID uint64, result runner.Result) *cicadaseam.Answer {
	switch {
	case result.Err == nil:
		t.recordSuccess(call.Fingerprint)
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Status: result.Status, Headers: result.Headers, Body: result.Body}
	case result.TooLarge:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Status: http.StatusBadGateway, Reason: cicadaseam.ReasonAnswerTooLarge}
	case ctx.Err() != nil:
		return &cicadaseam.Answer{Outcome: unansweredOutcome(result.Sent), Reason: cicadaseam.ReasonDeadline}
	case errors.Is(result.Err, runner.ErrDraining):
		return notRun(cicadaseam.ReasonDraining, retryAfterBusy)
	case !result.Sent:
		return notRun(cicadaseam.ReasonBackendLost, retryAfterBusy)
	}
	return t.handleLost(r, call.Fingerprint, slotID)
}

// unansweredOutcome returns the outcome of a request that got no response.
func unansweredOutcome(sent bool) cicadaseam.Outcome {
	if sent {
		return cicadaseam.OutcomeUnknown
	}
	return cicadaseam.OutcomeNotRun
}

// handleLost answers a request whose connection ended without a response. If the backend
// server also refuses a new connection, it has crashed.
func (t *Target) handleLost(r *runner.Runner, fingerprint uint64, slotID uint64) *cicadaseam.Answer {
	answer := &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: cicadaseam.ReasonBackendLost}
	t.mu.Lock()
	delete(t.runningFingerprints, slotID)
	t.recordLost(time.Now(), fingerprint)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !r.RefusesConnections(ctx) {
		return answer
	}
	if only := t.recordCrash(r); only {
		answer.Reason = cicadaseam.ReasonBackendCrashed
	}
	return answer
}

// recordLost records a lost request, and forgets those that a crash would no longer be blamed on.
// t.mu must be held.
func (t *Target) recordLost(now time.Time, fingerprint uint64) {
	t.lostRequests = slices.DeleteFunc(t.lostRequests, func(l lostRequest) bool { return now.Sub(l.lostAt) > crashWindow })
	t.lostRequests = append(t.lostRequests, lostRequest{fingerprint: fingerprint, lostAt: now})
}

// recordCrash marks the fingerprints of all requests that the backend server was running
// when it crashed. It reports whether there was only one, which certainly is the cause.
func (t *Target) recordCrash(r *runner.Runner) bool {
	now := time.Now()
	t.mu.Lock()
	if t.crashed != r { // a draining backend server crashes too
		t.crashed = r
		t.crashCount++
		t.counters.Crashes.Add(1)
	}
	if t.runner == r && t.backend.State == cicadaseam.BackendReady {
		t.backend.State = cicadaseam.BackendNone
		t.deliver(t.admission.Drain(now))
	}
	crashID := fmt.Sprintf("%s/%d", t.nodeID, t.crashCount)
	suspects := map[uint64]bool{}
	for _, l := range t.lostRequests {
		if now.Sub(l.lostAt) <= crashWindow {
			suspects[l.fingerprint] = true
		}
	}
	for _, f := range t.runningFingerprints {
		suspects[f] = true
	}
	t.mu.Unlock()
	fingerprints := make([]uint64, 0, len(suspects))
	for f := range suspects {
		fingerprints = append(fingerprints, f)
	}
	t.quarantineMu.Lock()
	marks := t.quarantine.RecordCrash(now, crashID, fingerprints)
	t.hasMarks.Store(t.quarantine.HasMarks())
	t.quarantineMu.Unlock()
	if len(marks) > 0 {
		t.logger.Warn("backend server crashed", zap.String("crash", crashID), zap.Int("suspects", len(fingerprints)))
		t.observer.ObserveCrash(marks)
	}
	return len(fingerprints) == 1
}

// recordSuccess clears the marks of a request that succeeded.
func (t *Target) recordSuccess(fingerprint uint64) {
	if !t.hasMarks.Load() {
		return
	}
	t.quarantineMu.Lock()
	marks := t.quarantine.RecordSuccess(time.Now(), fingerprint)
	t.hasMarks.Store(t.quarantine.HasMarks())
	t.quarantineMu.Unlock()
	if len(marks) > 0 {
		t.observer.ObserveCleared(marks)
	}
}

// MergeMarks adds marks received from other nodes and returns those that were new.
func (t *Target) MergeMarks(marks []cicadaseam.CrashMark) []cicadaseam.CrashMark {
	t.quarantineMu.Lock()
	defer t.quarantineMu.Unlock()
	added := t.quarantine.MergeMarks(time.Now(), marks)
	t.hasMarks.Store(t.quarantine.HasMarks())
	return added
}

// Quarantined reports whether a fingerprint is refused, and for how much longer. If any
// fingerprint is marked, it also sets the period of those that are marked from now on.
func (t *Target) Quarantined(fingerprint uint64, period time.Duration) (time.Duration, bool) {
	if !t.hasMarks.Load() {
		return 0, false
	}
	t.quarantineMu.Lock()
	defer t.quarantineMu.Unlock()
	t.quarantine.SetPeriod(period)
	return t.quarantine.Refused(time.Now(), fingerprint)
}
