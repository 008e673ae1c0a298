package dispatch

import (
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// minCallerRetryElapsed is how much of its timeout a caller must have used before its
	// request counts as a retry by the caller.
	minCallerRetryElapsed = 20 * time.Millisecond
	// callerTimeoutPeriod is the shortest time for which the timeout of a caller is taken
	// into account; the longest is two periods.
	callerTimeoutPeriod = time.Minute
	// maxTrackedRoutes bounds the routes whose caller timeouts, and those whose mean
	// sizes, are kept.
	maxTrackedRoutes = 4096

	notReadyRetryAfter = 500 * time.Millisecond // there is no routing table yet
	noTargetRetryAfter = 300 * time.Millisecond // refused, but not for lack of room
	minRetryAfter      = 50 * time.Millisecond
	// maxRetryAfterShare bounds Retry-After as a part of the time that the caller has
	// left, because callers shorten longer ones.
	maxRetryAfterShare = 1.0 / 3
)

// callerTimeouts learns the timeout with which the callers of each route begin: the
// longest timeout of the current and the previous period.
type callerTimeouts struct {
	mu          sync.Mutex
	periodStart time.Time
	longest     map[string]time.Duration
	previous    map[string]time.Duration // of the period before
}

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{longest: map[string]time.Duration{}} }

// elapsed returns how much of its timeout a caller with a remaining time has used in
// earlier attempts. A remaining time that is the longest of its route lately is recorded,
// and counts as a first attempt.
func (c *callerTimeouts) elapsed(now time.Time, route string, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.periodStart) >= callerTimeoutPeriod || len(c.longest) >= maxTrackedRoutes {
		c.previous, c.longest, c.periodStart = c.longest, map[string]time.Duration{}, now
	}
	if remaining > c.longest[route] {
		c.longest[route] = remaining
	}
	return max(c.longest[route], c.previous[route]) - remaining
}

// retryAfter returns the time after which the caller of a refused request should retry.
// It is based on the longest time after which a target expects to have room. Jitter keeps
// callers that were refused together from retrying together.
func (d *Dispatcher) retryAfter(ex *exchange) time.Duration {
	base := ex.retryAfter
	if base <= 0 && ex.lastReason != cicadaseam.ReasonQueueFull && ex.lastReason != cicadaseam.ReasonQueueTimeout {
		base = noTargetRetryAfter
	}
	after := max(time.Duration(d.selector.retryJitter()*float64(base)), minRetryAfter)
	limit := time.Duration(maxRetryAfterShare * float64(ex.callerTimeout-time.Since(ex.arrived)))
	return max(min(after, limit), 0)
}

// retryJitter returns a random factor between 0.75 and 1.75.
func (s *Selector) retryJitter() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 0.75 + s.rng.Float64()
}
