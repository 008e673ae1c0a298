package target

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// Run runs a request at the backend server, waiting for a slot first if necessary. If
// the request is not run, the answer has the reason.
func (t *Target) Run(ctx context.Context, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	began := time.Now()
	s, slotReq, queued, refused := t.admit(began, call)
	if refused != nil {
		return refused
	}
	defer t.settle(s, slotReq)
	if queued {
		if refused := t.waitForSlot(ctx, s, slotReq); refused != nil {
			refused.QueueTime = time.Since(began)
			return refused
		}
	}
	queueTime := time.Since(began)
	remaining := call.Timeout - queueTime
	if remaining < minRunTime {
		t.releaseSlot(s, call.Nested)
		return t.refusal(s, cicadaseam.ReasonDeadline, 0)
	}
	// It may have begun to crash servers while it waited, or the node that sent it does not know that.
	if wait, refused := t.guard.Refused(time.Now(), call.Fingerprint); refused {
		t.releaseSlot(s, call.Nested)
		return t.refusal(s, cicadaseam.ReasonQuarantine, wait)
	}
	answer := t.send(ctx, s, call, remaining)
	answer.QueueTime = queueTime
	return answer
}

// admit offers a request to the queue. It returns a refusal, or the slot request and whether
// it has to wait.
func (t *Target) admit(now time.Time, call *cicadaseam.MeshCall) (s *server, slotReq *slot.Request, queued bool, refused *cicadaseam.MeshAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s = t.server
	if s == nil || s.instance.Service != call.Service {
		return nil, nil, false, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonNoTarget}
	}
	if reason := t.unavailableReason(now, s); reason != cicadaseam.ReasonNone {
		return nil, nil, false, refusalLocked(now, s, reason, 0)
	}
	if call.Timeout < s.minTimeout(now, call) {
		return nil, nil, false, refusalLocked(now, s, cicadaseam.ReasonDeadline, 0)
	}
	slotReq = &slot.Request{
		Rank:            rankOf(call),
		Customer:        call.Customer,
		Deadline:        now.Add(call.LatencyBudget),
		MaxWait:         call.MaxWait,
		ExpectedRunTime: s.stats.runTimes.expected(now, call),
		Admitted:        make(chan bool, 1),
	}
	decision, wait := s.queue.Admit(now, slotReq)
	switch decision {
	case slot.Started:
		return s, slotReq, false, nil
	case slot.Refused:
		if t.isEndingLocked(s) {
			return nil, nil, false, refusalLocked(now, s, cicadaseam.ReasonDraining, 0)
		}
		return nil, nil, false, refusalLocked(now, s, s.fullReason(), wait)
	}
	t.scheduleAdvance(s)
	return s, slotReq, true, nil
}

// minExpectedShare is the share of the expected run time that a request must have left.
// With less it is not started: it would occupy a slot and hardly ever end in time.
const minExpectedShare = 0.7

// minTimeout returns the least time that a request must have left to be started.
func (s *server) minTimeout(now time.Time, call *cicadaseam.MeshCall) time.Duration {
	return time.Duration(minExpectedShare * float64(s.stats.runTimes.expected(now, call)))
}

// rankOf returns the rank of a request in the queue. Each priority has two ranks:
// requests that were refused before go ahead of those that come for the first time.
func rankOf(call *cicadaseam.MeshCall) int {
	switch {
	case call.Nested:
		return slot.RankNested
	case call.Late:
		return slot.LateRank(call.Priority)
	case call.CallerRetry:
		return min(slot.RankBase+2*call.Priority, defaultRank)
	}
	return min(slot.RankBase+2*call.Priority+1, defaultRank)
}

// refusalLocked returns the answer to a request that is not run. t.mu must be held.
func refusalLocked(now time.Time, s *server, reason cicadaseam.Reason, wait time.Duration) *cicadaseam.MeshAnswer {
	return &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: wait, Load: s.load(now)}
}

func (t *Target) refusal(s *server, reason cicadaseam.Reason, wait time.Duration) *cicadaseam.MeshAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return refusalLocked(time.Now(), s, reason, wait)
}

// fullReason returns why the queue refuses a request.
func (s *server) fullReason() cicadaseam.Reason {
	if s.rateLimit.PerSecond > 0 && s.queue.Running() < s.queue.Limit() {
		return cicadaseam.ReasonRateLimit
	}
	return cicadaseam.ReasonQueueFull
}

// scheduleAdvance arranges that the queue is advanced for as long as it is not empty. t.mu must
// be held.
func (t *Target) scheduleAdvance(s *server) {
	if s.advanceScheduled {
		return
	}
	s.advanceScheduled = true
	time.AfterFunc(advancePeriod, func() { t.advanceQueue(s) })
}

// advanceQueue refuses the requests that have waited too long, and starts those for which the
// rate limit has made room.
func (t *Target) advanceQueue(s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.advanceScheduled = false
	s.queue.Advance(time.Now())
	if s.queue.Waiting() > 0 {
		t.scheduleAdvance(s)
	}
}

// waitForSlot waits until a queued request may start. It returns the refusal if it may
// not.
func (t *Target) waitForSlot(ctx context.Context, s *server, slotReq *slot.Request) *cicadaseam.MeshAnswer {
	select {
	case admitted := <-slotReq.Admitted:
		if admitted {
			return nil
		}
		return t.queueRefusal(s, slotReq)
	case <-ctx.Done():
	}
	t.mu.Lock()
	canceled := s.queue.Cancel(slotReq)
	t.mu.Unlock()
	if !canceled && <-slotReq.Admitted {
		t.releaseSlot(s, slotReq.Rank == slot.RankNested)
	}
	reason := cicadaseam.ReasonCanceled
	if ctx.Err() == context.DeadlineExceeded {
		reason = cicadaseam.ReasonDeadline
	}
	return t.refusal(s, reason, 0)
}

// queueRefusal returns the answer to a request that the queue refused.
func (t *Target) queueRefusal(s *server, slotReq *slot.Request) *cicadaseam.MeshAnswer {
	if t.isEnding(s) {
		return t.refusal(s, cicadaseam.ReasonDraining, 0) // that says nothing of the room elsewhere
	}
	return t.refusal(s, cicadaseam.ReasonQueueTimeout, t.estimateWait(s, slotReq))
}

// estimateWait returns how long a new request of the same rank and customer would wait.
func (t *Target) estimateWait(s *server, slotReq *slot.Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.queue.EstimateCustomerWait(time.Now(), slotReq.Rank, slotReq.Customer)
}

// settle charges the class and the customer of a request for the time for which it occupied its
// slot.
func (t *Target) settle(s *server, slotReq *slot.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.queue.Settle(time.Now(), slotReq)
}

// releaseSlot frees the slot of a request that was not sent.
func (t *Target) releaseSlot(s *server, nested bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.release(time.Now(), nested, 0)
}

// release frees the slot of a request that ran for took, or 0 if that says nothing about the
// backend server. Target.mu must be held.
func (s *server) release(now time.Time, nested bool, took time.Duration) {
	if nested {
		s.queue.ReleaseNested(now, took)
		return
	}
	s.queue.Release(now, took)
}

// send sends a request that has a slot to the backend server and releases the slot.
// remaining is the time until the request's timeout.
func (t *Target) send(ctx context.Context, s *server, call *cicadaseam.MeshCall, remaining time.Duration) *cicadaseam.MeshAnswer {
	t.trackRunning(s, call, 1)
	defer t.trackRunning(s, call, -1)
	began := time.Now()
	t.beginRun(began, s, call)
	result := s.client.Do(ctx, call, s.id, remaining, t.sendBy(s))
	took := time.Since(began)
	if ctx.Err() == nil {
		t.detectLoss(s, &result)
	}
	answer := &cicadaseam.MeshAnswer{BackendTime: took, ReachedBackend: result.Sent}
	t.setOutcome(ctx, answer, &result)
	if result.Sent {
		t.sent.Add(1)
	}
	if d, departed := t.record(s, call, answer, &result, began); departed {
		t.onChange()
		t.onDeparted(d)
	}
	if result.Err != nil && ctx.Err() == nil {
		t.logger.Info("backend server failed", zap.String("request", call.ID), zap.String("instance", s.id),
			zap.Stringer("outcome", answer.Outcome), zap.Duration("took", took), logging.Error(result.Err))
	}
	return answer
}

// sendBy returns when the server may exit if it is draining, and zero if it is not.
func (t *Target) sendBy(s *server) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.endsAt
}

// isEnding reports whether a server or this node is to exit.
func (t *Target) isEnding(s *server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isEndingLocked(s)
}

// isEndingLocked is isEnding for a caller that holds t.mu.
func (t *Target) isEndingLocked(s *server) bool { return s.draining || !t.stopsAt.IsZero() }

// beginRun records that a request is sent.
func (t *Target) beginRun(now time.Time, s *server, call *cicadaseam.MeshCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.stats.active.begin(now, call, s.stats.runTimes.expected(now, call))
}

// record records the result of a request that was sent at a time, and completes its answer. It
// returns the departure of the instance if the instance departs with it.
func (t *Target) record(s *server, call *cicadaseam.MeshCall, answer *cicadaseam.MeshAnswer, result *upstream.Result, began time.Time) (d cicadaseam.Departure, departed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	departed = t.recordSignals(now, s, call.ID, began, result)
	if result.Err == nil && began.After(s.crashedAt) {
		s.crashedAt = time.Time{}
	}
	t.recordResult(now, s, call, answer, answer.BackendTime)
	t.recordResponse(began, s, call, answer)
	answer.Load = s.load(now)
	answer.CallRefused = t.running[call.ID].callRefused
	return s.departure(), departed
}

// setOutcome sets the outcome and the reason of an answer from the result at the
// backend server. The zero outcome is unknown: the request may have run.
func (t *Target) setOutcome(ctx context.Context, answer *cicadaseam.MeshAnswer, r *upstream.Result) {
	switch {
	case r.Err == nil && r.Rejected:
		answer.Outcome = cicadaseam.OutcomeNotRun
		answer.Reason = cicadaseam.ReasonBackendRejected
	case r.Err == nil:
		answer.Outcome = cicadaseam.OutcomeRan
		answer.Status = r.Status
		answer.Headers = r.Headers
		answer.Body = r.Body
	case !r.Sent:
		answer.Outcome = cicadaseam.OutcomeNotRun
		answer.Reason = unsentReason(ctx, r)
	case ctx.Err() == context.DeadlineExceeded:
		answer.Reason = cicadaseam.ReasonDeadline
	case ctx.Err() != nil:
		answer.Reason = cicadaseam.ReasonCanceled
	default:
		answer.Reason = cicadaseam.ReasonBackendLost
	}
}

// unsentReason returns why a request was not sent.
func unsentReason(ctx context.Context, r *upstream.Result) cicadaseam.Reason {
	switch {
	case ctx.Err() == context.Canceled:
		return cicadaseam.ReasonCanceled // the caller left; that says nothing of the server
	case errors.Is(r.Err, upstream.ErrTooLate):
		return cicadaseam.ReasonDraining
	}
	return cicadaseam.ReasonBackendLost
}

// recordResult releases the slot of a request and updates the statistics and the
// backoff from its answer. t.mu must be held.
func (t *Target) recordResult(now time.Time, s *server, call *cicadaseam.MeshCall, answer *cicadaseam.MeshAnswer, took time.Duration) {
	succeeded := answer.Outcome == cicadaseam.OutcomeRan && answer.Status < http.StatusInternalServerError
	if !succeeded {
		took = 0
	}
	took -= min(s.stats.active.end(now, call, answer.Outcome != cicadaseam.OutcomeUnknown), took)
	s.release(now, call.Nested, took)
	if succeeded {
		s.stats.recordSuccess(now, call, took)
		t.guard.RecordSuccess(now, call.Fingerprint)
		s.connectFailures = 0
		return
	}
	if answer.ReachedBackend && (answer.Reason == cicadaseam.ReasonCanceled || answer.Reason == cicadaseam.ReasonDeadline) {
		s.stats.runTimes.addUnfinished(now, call, answer.BackendTime)
	}
	if answer.Reason == cicadaseam.ReasonCanceled || answer.Reason == cicadaseam.ReasonDraining {
		return
	}
	s.stats.recordFailure(now)
	if !answer.ReachedBackend {
		s.backOff(now)
	}
}

// backOff refuses the queued requests and all others for a while, which doubles with each
// failure in a row. Target.mu must be held.
func (s *server) backOff(now time.Time) {
	s.connectFailures++
	s.backoffUntil = now.Add(min(minBackoff<<min(s.connectFailures-1, 10), maxBackoff))
	s.queue.RefuseAll()
}
