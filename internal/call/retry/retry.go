// Package retry decides whether a call is tried again.
//
// # Model
//
// Only the first entry of a call retries, so that depth does not multiply
// attempts. A retry needs three things: that it is safe (the request is
// idempotent, or the last attempt did not run), that the deadline leaves room,
// and a token of the budget. Successful calls earn a share of a token each, so
// that retries stay a bounded share of the work that succeeds.
//
// # Usage
//
//	b := retry.NewBudget()
//	delay, again := b.Decide(retry.Attempt{...})
//	b.Succeeded(share)
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// Limits of the budget, in retries.
const (
	// initialTokens lets a service with little traffic retry at all.
	initialTokens = 3.0
	maxTokens     = 20.0
)

// Delays before a retry.
const (
	firstDelay = 5 * time.Millisecond
	maxDelay   = 200 * time.Millisecond
	// leastRoom is the least time that must be left for one more attempt.
	leastRoom = 2 * time.Millisecond
)

// Attempt describes the last attempt of a call.
type Attempt struct {
	// Number counts the attempts made so far.
	Number     int
	MaxRetries int
	FirstEntry bool
	Idempotent bool
	Outcome    cicadaseam.Outcome
	Reason     cicadaseam.Reason
	// Failed is set when a backend server ran the request and failed it.
	Failed bool
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// OtherTargets is false when no target is left that was not tried.
	OtherTargets bool
}

// Budget bounds the retries of one service at one entry node. It is a plain
// state machine and is not safe for concurrent use.
type Budget struct {
	rng    *rand.Rand
	tokens float64
}

// NewBudget returns a budget with its initial tokens.
func NewBudget(rng *rand.Rand) *Budget {
	return &Budget{rng: rng, tokens: initialTokens}
}

// Succeeded earns a share of a retry.
func (b *Budget) Succeeded(share float64) {
	b.tokens = min(b.tokens+share, maxTokens)
}

// Tokens returns the retries that the budget allows now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Decide says whether to try again and after which delay.
func (b *Budget) Decide(a Attempt) (time.Duration, bool) {
	if !a.FirstEntry || a.Number > a.MaxRetries || !safe(a) || !worthwhile(a) {
		return 0, false
	}
	delay := b.delay(a)
	if a.Remaining-delay < leastRoom {
		return 0, false
	}
	if free(a) {
		return delay, true
	}
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// safe reports whether one more attempt can break no promise.
func safe(a Attempt) bool {
	return a.Idempotent || a.Outcome == cicadaseam.OutcomeNotRun
}

// worthwhile reports whether another attempt may end better.
func worthwhile(a Attempt) bool {
	switch a.Reason {
	case cicadaseam.ReasonQuarantine, cicadaseam.ReasonBackendCrashed, cicadaseam.ReasonDeadline,
		cicadaseam.ReasonCanceled, cicadaseam.ReasonKeyExpired, cicadaseam.ReasonKeyConflict,
		cicadaseam.ReasonKeyRunning, cicadaseam.ReasonKeyLost, cicadaseam.ReasonLedgerUnavailable,
		cicadaseam.ReasonAnswerTooLarge, cicadaseam.ReasonNoTarget, cicadaseam.ReasonShed:
		return false
	}
	if a.Outcome == cicadaseam.OutcomeRan {
		return a.Failed && a.OtherTargets
	}
	return a.OtherTargets
}

// free reports whether the attempt was a detour that cost nobody work: the
// target was leaving, or not yet there.
func free(a Attempt) bool {
	if a.Outcome != cicadaseam.OutcomeNotRun {
		return false
	}
	return a.Reason == cicadaseam.ReasonDraining || a.Reason == cicadaseam.ReasonNotReady
}

// delay is capped exponential with full jitter. A target that did not run the
// request is replaced at once.
func (b *Budget) delay(a Attempt) time.Duration {
	if a.Outcome == cicadaseam.OutcomeNotRun {
		return 0
	}
	return wait.Backoff(b.rng.Int64N, a.Number, firstDelay, maxDelay)
}
