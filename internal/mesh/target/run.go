package target

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// Run runs a request, or says why not.
func (t *Target) Run(ctx context.Context, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	began := time.Now()
	s, item, refused := t.admit(began, call)
	if refused != nil {
		return refused
	}
	if item != nil {
		if refused := t.await(ctx, s, item); refused != nil {
			refused.QueueTime = time.Since(began)
			return refused
		}
	}
	queued := time.Since(began)
	left := call.Timeout - queued
	if left < leastRun {
		t.release(s, 0)
		return t.refusal(s, cicadaseam.ReasonDeadline, 0)
	}
	answer := t.send(ctx, s, call, left)
	answer.QueueTime = queued
	return answer
}

// admit offers a request to the queue. Without a refusal and an item it may start.
func (t *Target) admit(now time.Time, call *cicadaseam.MeshCall) (*server, *slot.Request, *cicadaseam.MeshAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server
	if s == nil || s.instance.Service != call.Service {
		return nil, nil, &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonNoTarget}
	}
	if reason := s.unfit(now, t.lease); reason != cicadaseam.ReasonNone {
		return nil, nil, refusalLocked(now, s, reason, 0)
	}
	if call.Timeout < s.least(call) {
		return nil, nil, refusalLocked(now, s, cicadaseam.ReasonDeadline, 0)
	}
	item := &slot.Request{Rank: rankOf(call), Deadline: now.Add(call.LatencyBudget), MaxWait: call.MaxWait, ExpectedRunTime: s.expected(call), Admitted: make(chan bool, 1)}
	verdict, wait := s.queue.Admit(now, item)
	switch verdict {
	case slot.Started:
		return s, nil, nil
	case slot.Refused:
		return nil, nil, refusalLocked(now, s, cicadaseam.ReasonQueueFull, wait)
	}
	t.wake(s)
	return s, item, nil
}

// hopelessShare is the part of the expected time below which a request is not
// started: it would take a slot and hardly ever end in time.
const hopelessShare = 0.7

// least returns the least time that a request must have left to be worth a slot.
func (s *server) least(call *cicadaseam.MeshCall) time.Duration {
	return time.Duration(hopelessShare * float64(s.expected(call)))
}

// expected returns how long a request is expected to run, or 0 when too little is
// known.
func (s *server) expected(call *cicadaseam.MeshCall) time.Duration {
	if s.stats.samples < fewSamples {
		return 0
	}
	return time.Duration(s.stats.pace * float64(call.LatencyObjective))
}

// rankOf returns the rank in which a request waits.
func rankOf(call *cicadaseam.MeshCall) int {
	switch {
	case call.Nested:
		return slot.RankNested
	case call.Late:
		return slot.RankLate
	case call.CallerRetry:
		return min(slot.RankBase+2*call.Priority, usualRank)
	}
	return min(slot.RankBase+2*call.Priority+1, usualRank)
}

func refusalLocked(now time.Time, s *server, reason cicadaseam.Reason, wait time.Duration) *cicadaseam.MeshAnswer {
	return &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: wait, Load: s.load(now)}
}

func (t *Target) refusal(s *server, reason cicadaseam.Reason, wait time.Duration) *cicadaseam.MeshAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return refusalLocked(time.Now(), s, reason, wait)
}

// wake lets the waits of a queue end while there is one. The lock is held.
func (t *Target) wake(s *server) {
	if s.waker {
		return
	}
	s.waker = true
	time.AfterFunc(expirePeriod, func() { t.expire(s) })
}

func (t *Target) expire(s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.waker = false
	now := time.Now()
	s.queue.Expire(now)
	if s.queue.Waiting() > 0 {
		t.wake(s)
	}
}

// await waits until a queued request may start.
func (t *Target) await(ctx context.Context, s *server, item *slot.Request) *cicadaseam.MeshAnswer {
	select {
	case start := <-item.Admitted:
		if start {
			return nil
		}
		return t.refusal(s, cicadaseam.ReasonQueueTimeout, t.room(s, item.Rank))
	case <-ctx.Done():
	}
	t.mu.Lock()
	withdrawn := s.queue.Cancel(item)
	t.mu.Unlock()
	if !withdrawn && <-item.Admitted {
		t.release(s, 0)
	}
	reason := cicadaseam.ReasonCanceled
	if ctx.Err() == context.DeadlineExceeded {
		reason = cicadaseam.ReasonDeadline
	}
	return t.refusal(s, reason, 0)
}

// room returns how long a request of a rank would wait now.
func (t *Target) room(s *server, rank int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.queue.EstimateWait(rank)
}

// release gives a slot back.
func (t *Target) release(s *server, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.queue.Release(time.Now(), took)
}

// send runs a request that has a slot.
func (t *Target) send(ctx context.Context, s *server, call *cicadaseam.MeshCall, left time.Duration) *cicadaseam.MeshAnswer {
	t.mark(s, call, 1)
	defer t.mark(s, call, -1)
	began := time.Now()
	result := s.client.Do(ctx, call, s.id, left)
	took := time.Since(began)
	if ctx.Err() == nil {
		t.look(s, &result)
	}
	answer := &cicadaseam.MeshAnswer{BackendTime: took, ReachedBackend: result.Sent}
	t.judge(ctx, answer, &result)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.note(now, s, call, answer, took)
	answer.Load = s.load(now)
	if result.Err != nil && ctx.Err() == nil {
		t.logger.Info("backend server failed", zap.String("request", call.ID), zap.String("instance", s.id),
			zap.Stringer("outcome", answer.Outcome), zap.Duration("took", took), logging.Error(result.Err))
	}
	return answer
}

// judge tells what became of a request from what came back.
func (t *Target) judge(ctx context.Context, answer *cicadaseam.MeshAnswer, r *upstream.Result) {
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
		answer.Reason = cicadaseam.ReasonBackendLost
	case ctx.Err() == context.DeadlineExceeded:
		answer.Reason = cicadaseam.ReasonDeadline
	case ctx.Err() != nil:
		answer.Reason = cicadaseam.ReasonCanceled
	default:
		answer.Reason = cicadaseam.ReasonBackendLost
	}
}

// note learns from an answer. The lock is held.
func (t *Target) note(now time.Time, s *server, call *cicadaseam.MeshCall, answer *cicadaseam.MeshAnswer, took time.Duration) {
	ran := answer.Outcome == cicadaseam.OutcomeRan && answer.Status < http.StatusInternalServerError
	if !ran {
		took = 0
	}
	s.queue.Release(now, took)
	if ran {
		s.stats.ran(now, took, call.LatencyObjective)
		t.guard.RecordSuccess(now, call.Fingerprint)
		s.refusals = 0
		return
	}
	if answer.Reason == cicadaseam.ReasonCanceled {
		return
	}
	s.stats.failed(now)
	if !answer.ReachedBackend {
		s.refusals++
		s.downUntil = now.Add(min(downFirst<<min(s.refusals-1, 10), downLimit))
		s.queue.RefuseAll()
	}
}
