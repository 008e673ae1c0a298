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

// perform makes attempts until one settles the call.
func (e *Entry) perform(ctx context.Context, x *exchange) *cicadaseam.Answer {
	if wait, refused := e.local.Quarantined(x.call.Fingerprint, x.policy.Quarantine); refused {
		return refusal(http.StatusServiceUnavailable, cicadaseam.ReasonQuarantine, wait)
	}
	tried := map[string]bool{}
	var earlier *cicadaseam.Answer
	for number := 1; ; number++ {
		answer, more := e.attempt(ctx, x, tried)
		e.counts.Attempts.Add(1)
		answer = truthOf(earlier, answer)
		delay, again := e.decide(ctx, x, answer, number, more)
		if !again {
			return answer
		}
		e.counts.Retries.Add(1)
		if !wait.Sleep(ctx, delay) {
			return answer
		}
		earlier = answer
	}
}

// truthOf keeps the outcome of a call true over its attempts: one that did not
// run says nothing about an earlier one that did, or may have.
func truthOf(earlier, answer *cicadaseam.Answer) *cicadaseam.Answer {
	if earlier == nil || answer.Outcome == cicadaseam.OutcomeRan {
		return answer
	}
	if earlier.Outcome == cicadaseam.OutcomeRan || answer.Outcome == cicadaseam.OutcomeNotRun && earlier.Outcome == cicadaseam.OutcomeUnknown {
		return earlier
	}
	return answer
}

// attempt picks a target and sends the call there. more is false when no
// untried target is left.
func (e *Entry) attempt(ctx context.Context, x *exchange, tried map[string]bool) (answer *cicadaseam.Answer, more bool) {
	v := e.fleet.View()
	candidates := v.Candidates(x.call.Service)
	id, refused := e.pick(x, candidates, tried)
	if refused != nil {
		return refused, false
	}
	tried[id] = true
	deadline, _ := ctx.Deadline()
	call := x.call
	call.AttemptID = requestID()
	call.Timeout = time.Until(deadline)
	began := time.Now()
	if id == v.Self.ID {
		answer = e.local.Handle(ctx, &call, x.policy)
	} else {
		member, _ := v.Member(id)
		answer = e.remote.Call(ctx, member, &call)
	}
	e.ended(x, id, began, answer)
	return answer, len(tried) < len(candidates)
}

// pick chooses a target, or sheds the call at the source.
func (e *Entry) pick(x *exchange, candidates []cicadaseam.Candidate, tried map[string]bool) (string, *cicadaseam.Answer) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(x)
	if s.balancer.MinPriority(now, candidates) > x.call.Priority && e.rng.Float64() >= shedPass {
		e.counts.Shed.Add(1)
		return "", refusal(http.StatusServiceUnavailable, cicadaseam.ReasonShed, retryShed)
	}
	i := s.balancer.Pick(now, candidates, tried)
	if i < 0 {
		return "", refusal(http.StatusServiceUnavailable, cicadaseam.ReasonNoTarget, retryTarget)
	}
	s.balancer.Started(now, candidates[i].ID)
	s.balancer.Prune(candidates)
	return candidates[i].ID, nil
}

// service returns the state of a call's service. The lock is held.
func (e *Entry) service(x *exchange) *service {
	s := e.services[x.call.Service]
	if s == nil {
		s = &service{
			balancer: balance.New(x.table.Place, rand.New(rand.NewPCG(e.rng.Uint64(), e.rng.Uint64()))),
			budget:   retry.NewBudget(rand.New(rand.NewPCG(e.rng.Uint64(), e.rng.Uint64()))),
		}
		e.services[x.call.Service] = s
	}
	s.balancer.Configure(x.policy.SlowStart, x.policy.EjectShare)
	return s
}

func (e *Entry) ended(x *exchange, id string, began time.Time, answer *cicadaseam.Answer) {
	result := cicadaseam.PickResult{
		Latency: time.Since(began),
		Failed:  failed(answer),
		Refused: answer.Outcome == cicadaseam.OutcomeNotRun && !lostLink(answer.Reason),
		Load:    answer.Load,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service(x).balancer.Ended(time.Now(), id, result)
}

// lostLink reports whether a target was not reached, which counts as failing
// and not as refusing.
func lostLink(r cicadaseam.Reason) bool {
	return r == cicadaseam.ReasonLinkLost || r == cicadaseam.ReasonBackendLost
}

// failed reports whether an answer speaks against its target.
func failed(a *cicadaseam.Answer) bool {
	switch a.Outcome {
	case cicadaseam.OutcomeRan:
		return a.Status == http.StatusInternalServerError || a.Status == http.StatusBadGateway ||
			a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout
	case cicadaseam.OutcomeNotRun:
		return lostLink(a.Reason)
	}
	return a.Reason != cicadaseam.ReasonCanceled && a.Reason != cicadaseam.ReasonKeyRunning
}

func (e *Entry) decide(ctx context.Context, x *exchange, answer *cicadaseam.Answer, number int, more bool) (time.Duration, bool) {
	deadline, _ := ctx.Deadline()
	bad := failed(answer)
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.service(x).budget
	if answer.Outcome == cicadaseam.OutcomeRan && !bad {
		budget.RecordSuccess(x.policy.RetryShare)
		return 0, false
	}
	if ctx.Err() != nil {
		return 0, false
	}
	return budget.Decide(retry.Attempt{
		Number:           number,
		MaxRetries:       x.policy.Retries,
		FirstHop:         x.first,
		Idempotent:       x.call.Idempotent,
		Outcome:          answer.Outcome,
		Reason:           answer.Reason,
		Failed:           bad,
		Remaining:        time.Until(deadline),
		HasUntriedTarget: more,
	})
}
