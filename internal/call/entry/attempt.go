package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/call/balance"
	"github.com/cicadaseam/cicadaseam/internal/call/retry"
)

// perform makes attempts until one succeeds or no retry is allowed, and returns the
// answer to the call.
func (e *Entry) perform(ctx context.Context, c *callState) *cicadaseam.Answer {
	if wait, refused := e.local.Quarantined(c.call.Fingerprint, c.policy.Quarantine); refused {
		return refusal(http.StatusServiceUnavailable, cicadaseam.ReasonQuarantine, wait)
	}
	tried := map[string]bool{}
	var earlier *cicadaseam.Answer
	for attempts := 1; ; attempts++ {
		answer, hasUntried := e.attempt(ctx, c, tried)
		e.counters.Attempts.Add(1)
		answer = mergeAnswers(earlier, answer)
		delay, shouldRetry := e.decideRetry(ctx, c, answer, attempts, hasUntried)
		if !shouldRetry {
			return answer
		}
		e.counters.Retries.Add(1)
		if !wait.Sleep(ctx, delay) {
			return answer
		}
		earlier = answer
	}
}

// mergeAnswers returns the answer to a call from the answer of its latest attempt and the
// merged answer of the attempts before (nil for the first attempt). The latest answer wins,
// with two exceptions: the earlier answer stays if the latest attempt did not run but an
// earlier attempt ran or may have run, or if the outcome of the latest attempt is unknown
// but an earlier attempt ran.
func mergeAnswers(earlier, answer *cicadaseam.Answer) *cicadaseam.Answer {
	if earlier == nil || answer.Outcome == cicadaseam.OutcomeRan {
		return answer
	}
	if earlier.Outcome == cicadaseam.OutcomeRan || answer.Outcome == cicadaseam.OutcomeNotRun && earlier.Outcome == cicadaseam.OutcomeUnknown {
		return earlier
	}
	return answer
}

// attempt picks a target and sends the call to it. hasUntried is false when every
// candidate has been tried or the call was refused before one was picked.
func (e *Entry) attempt(ctx context.Context, c *callState, tried map[string]bool) (answer *cicadaseam.Answer, hasUntried bool) {
	view := e.membership.View()
	candidates := view.Candidates(c.call.Service)
	targetID, refused := e.pick(c, candidates, tried)
	if refused != nil {
		return refused, false
	}
	tried[targetID] = true
	deadline, _ := ctx.Deadline()
	call := c.call
	call.AttemptID = newID()
	call.Timeout = time.Until(deadline)
	startedAt := time.Now()
	if targetID == view.Self.ID {
		answer = e.local.Handle(ctx, &call, c.policy)
	} else {
		member, _ := view.Member(targetID)
		answer = e.remote.Call(ctx, member, &call)
	}
	e.recordAttempt(c, targetID, startedAt, answer)
	return answer, len(tried) < len(candidates)
}

// pick chooses a target and returns its ID, or an answer when the call is shed or
// has no target.
func (e *Entry) pick(c *callState, candidates []cicadaseam.Candidate, tried map[string]bool) (string, *cicadaseam.Answer) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceState(c)
	if s.balancer.MinPriority(now, candidates) > c.call.Priority && e.rng.Float64() >= shedProbeShare {
		e.counters.Shed.Add(1)
		return "", refusal(http.StatusServiceUnavailable, cicadaseam.ReasonShed, retryAfterShed)
	}
	i := s.balancer.Pick(now, candidates, tried)
	if i < 0 {
		return "", refusal(http.StatusServiceUnavailable, cicadaseam.ReasonNoTarget, retryAfterUnavailable)
	}
	s.balancer.Started(now, candidates[i].ID)
	s.balancer.Prune(candidates)
	return candidates[i].ID, nil
}

// serviceState returns the state of a call's service. e.mu must be held.
func (e *Entry) serviceState(c *callState) *serviceState {
	s := e.services[c.call.Service]
	if s == nil {
		s = &serviceState{
			balancer: balance.New(c.table.Locality, rand.New(rand.NewPCG(e.rng.Uint64(), e.rng.Uint64()))),
			budget:   retry.NewBudget(rand.New(rand.NewPCG(e.rng.Uint64(), e.rng.Uint64()))),
		}
		e.services[c.call.Service] = s
	}
	s.balancer.Configure(c.policy.SlowStart, c.policy.EjectShare)
	return s
}

// recordAttempt reports the result of an attempt to the balancer.
func (e *Entry) recordAttempt(c *callState, targetID string, startedAt time.Time, answer *cicadaseam.Answer) {
	result := cicadaseam.PickResult{
		Latency: time.Since(startedAt),
		Failed:  isFailure(answer),
		Refused: answer.Outcome == cicadaseam.OutcomeNotRun && !isUnreachable(answer.Reason),
		Load:    answer.Load,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serviceState(c).balancer.Ended(time.Now(), targetID, result)
}

// isUnreachable reports whether a target or its backend server was not reached. This
// counts as a failure of the target and not as a refusal.
func isUnreachable(r cicadaseam.Reason) bool {
	return r == cicadaseam.ReasonLinkLost || r == cicadaseam.ReasonBackendLost
}

// isFailure reports whether an answer counts as a failure of its target.
func isFailure(a *cicadaseam.Answer) bool {
	switch a.Outcome {
	case cicadaseam.OutcomeRan:
		return a.Status == http.StatusInternalServerError || a.Status == http.StatusBadGateway ||
			a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout
	case cicadaseam.OutcomeNotRun:
		return isUnreachable(a.Reason)
	}
	return a.Reason != cicadaseam.ReasonCanceled && a.Reason != cicadaseam.ReasonKeyRunning
}

// decideRetry reports whether to retry after an answer, and after which delay. A
// successful call adds to the retry budget.
func (e *Entry) decideRetry(ctx context.Context, c *callState, answer *cicadaseam.Answer, attempts int, hasUntried bool) (time.Duration, bool) {
	deadline, _ := ctx.Deadline()
	failed := isFailure(answer)
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.serviceState(c).budget
	if answer.Outcome == cicadaseam.OutcomeRan && !failed {
		budget.RecordSuccess(c.policy.RetryShare)
		return 0, false
	}
	if ctx.Err() != nil {
		return 0, false
	}
	return budget.Decide(retry.Attempt{
		Number:           attempts,
		MaxRetries:       c.policy.Retries,
		FirstHop:         c.firstHop,
		Idempotent:       c.call.Idempotent,
		Outcome:          answer.Outcome,
		Reason:           answer.Reason,
		Failed:           failed,
		Remaining:        time.Until(deadline),
		HasUntriedTarget: hasUntried,
	})
}
