// Package retry decides whether a call is retried.
//
// # Model
//
// Only the first hop of a call retries: if the services that a request passes
// through retried too, the attempts would multiply with the depth. A retry needs
// three things: it must be safe (the request is idempotent, or the last attempt did
// not run), the deadline must leave time for it, and the retry budget must hold a
// token. Each successful call adds a fraction of a token, so that retries are a
// bounded share of the calls that succeed. A retry after a target that was draining
// or not ready needs no token.
//
// # Usage
//
//	b := retry.NewBudget(rng)
//	delay, again := b.Decide(retry.Attempt{...})
//	b.RecordSuccess(share)
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// Limits of the budget, in tokens. A token pays for one retry.
const (
	// initialTokens allows retries for a service with too little traffic to earn
	// tokens.
	initialTokens = 3.0
	// maxTokens bounds the retries that can be saved up.
	maxTokens = 20.0
)

// Delays before a retry.
const (
	// A delay is random, below minBackoff doubled for each attempt made so far, and
	// below maxBackoff.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// minTimeLeft is the least time that must be left before the deadline for one
	// more attempt.
	minTimeLeft = 2 * time.Millisecond
)

// Attempt describes the last attempt of a call.
type Attempt struct {
	// Number is the number of attempts made so far.
	Number     int
	MaxRetries int
	// FirstHop is set where the call enters the mesh. It is not set for a call that
	// a backend server makes while it handles another one.
	FirstHop   bool
	Idempotent bool
	Outcome    cicadaseam.Outcome
	Reason     cicadaseam.Reason
	// Failed is set when the attempt counts as a failure of its target, for
	// instance when the backend server ran the request and answered with an error.
	Failed bool
	// Remaining is the time left before the deadline.
	Remaining time.Duration
	// HasUntriedTarget is false when every target of the service has been tried.
	HasUntriedTarget bool
}

// Budget is the retry budget of one service at one entry node. It is a plain state
// machine that reads no clock, and is not safe for concurrent use.
type Budget struct {
	rng    *rand.Rand
	tokens float64
}

// NewBudget returns a Budget that holds initialTokens.
func NewBudget(rng *rand.Rand) *Budget {
	return &Budget{rng: rng, tokens: initialTokens}
}

// RecordSuccess adds a fraction of a token for a call that succeeded.
func (b *Budget) RecordSuccess(share float64) {
	b.tokens = min(b.tokens+share, maxTokens)
}

// Tokens returns the number of retries that the budget allows now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Decide reports whether to retry, and after which delay. It takes a token from the
// budget unless the retry needs none.
func (b *Budget) Decide(a Attempt) (time.Duration, bool) {
	if !a.FirstHop || a.Number > a.MaxRetries || !safe(a) || !mayHelp(a) {
		return 0, false
	}
	delay := b.delay(a)
	if a.Remaining-delay < minTimeLeft {
		return 0, false
	}
	if needsNoToken(a) {
		return delay, true
	}
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// safe reports whether the request may be sent again: it is idempotent, or the last
// attempt did not run it.
func safe(a Attempt) bool {
	return a.Idempotent || a.Outcome == cicadaseam.OutcomeNotRun
}

// mayHelp reports whether another attempt may succeed where the last one did not.
func mayHelp(a Attempt) bool {
	switch a.Reason {
	case cicadaseam.ReasonQuarantine, cicadaseam.ReasonBackendCrashed, cicadaseam.ReasonDeadline,
		cicadaseam.ReasonCanceled, cicadaseam.ReasonKeyExpired, cicadaseam.ReasonKeyConflict,
		cicadaseam.ReasonKeyRunning, cicadaseam.ReasonKeyLost, cicadaseam.ReasonLedgerUnavailable,
		cicadaseam.ReasonAnswerTooLarge, cicadaseam.ReasonNoTarget, cicadaseam.ReasonShed:
		return false
	}
	if a.Outcome == cicadaseam.OutcomeRan {
		return a.Failed && a.HasUntriedTarget
	}
	return a.HasUntriedTarget
}

// needsNoToken reports whether the attempt reached a target that is draining or not
// ready yet, and so caused no work.
func needsNoToken(a Attempt) bool {
	if a.Outcome != cicadaseam.OutcomeNotRun {
		return false
	}
	return a.Reason == cicadaseam.ReasonDraining || a.Reason == cicadaseam.ReasonNotReady
}

// delay returns an exponential backoff with a cap and full jitter, or 0 when the
// last target did not run the request: the next one is tried at once.
func (b *Budget) delay(a Attempt) time.Duration {
	if a.Outcome == cicadaseam.OutcomeNotRun {
		return 0
	}
	return wait.Backoff(b.rng.Int64N, a.Number, minBackoff, maxBackoff)
}
