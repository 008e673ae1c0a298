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
	// firstAttemptShare is the share of the usual timeout of a route with which a request
	// still counts as the first attempt of its caller: callers of one route do not all wait
	// equally long.
	firstAttemptShare = 0.8
	// usualTimeoutQuantile is the quantile of the timeouts of a route that counts as the
	// usual one. A lower one would fall when many callers retry, and the longest timeout
	// may be that of a single caller. timeoutAdjustment is the relative change by a sample.
	usualTimeoutQuantile = 0.9
	timeoutAdjustment    = 0.02
	// maxTrackedRoutes bounds the routes whose caller timeouts, and those whose mean
	// sizes, are kept.
	maxTrackedRoutes = 4096

	notReadyRetryAfter = 500 * time.Millisecond // there is no routing table yet
	noTargetRetryAfter = 300 * time.Millisecond // refused, but not for lack of room
	minRetryAfter      = 50 * time.Millisecond
	// roomFactor is the multiple of the time until a target expects room after which a refused
	// caller is to return. While more requests arrive than can be served, those that come first take
	// that room. A caller who returned for it would mostly be refused again or be late, and delay
	// requests that can still be on time.
	roomFactor = 4
	// maxRetryAfterShare bounds Retry-After as a part of the time that the caller has
	// left, because callers shorten longer ones.
	maxRetryAfterShare = 1.0 / 3
)

// callerTimeouts learns the usual timeout with which the callers of each route begin, as a
// quantile of the timeouts of its requests.
type callerTimeouts struct {
	mu    sync.Mutex
	usual map[string]time.Duration // by route
}

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{usual: map[string]time.Duration{}} }

// elapsed returns how much of its timeout a caller with a remaining time has probably used
// in earlier attempts, and takes the remaining time into account for later ones.
func (c *callerTimeouts) elapsed(route string, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	usual, known := c.usual[route]
	if !known {
		if len(c.usual) >= maxTrackedRoutes {
			c.usual = map[string]time.Duration{}
		}
		usual = remaining
	}
	adjustment := timeoutAdjustment * (usualTimeoutQuantile - 1)
	if remaining > usual {
		adjustment = timeoutAdjustment * usualTimeoutQuantile
	}
	c.usual[route] = usual + time.Duration(adjustment*float64(usual))
	if float64(remaining) >= firstAttemptShare*float64(usual) {
		return 0
	}
	// The caller began with a timeout between firstAttemptShare and all of the usual one.
	return time.Duration((1+firstAttemptShare)/2*float64(usual)) - remaining
}

// retryAfter returns the time after which the caller of a refused request should retry. Jitter keeps
// callers that were refused together from retrying together.
func (d *Dispatcher) retryAfter(ex *exchange) time.Duration {
	base := ex.returnTime()
	after := max(time.Duration(d.selector.retryJitter()*float64(base)), minRetryAfter)
	limit := time.Duration(maxRetryAfterShare * float64(ex.callerTimeout-time.Since(ex.arrived)))
	return max(min(after, limit), 0)
}

// returnTime returns when the caller of a refused request should retry on average. If targets lack
// room, that follows from the longest time after which one of them expects to have some.
func (ex *exchange) returnTime() time.Duration {
	switch {
	case ex.lastReason == cicadaseam.ReasonQuarantine:
		return ex.retryAfter
	case ex.retryAfter > 0:
		return roomFactor * ex.retryAfter
	case ex.rejected:
		// The backend server turns away part of its requests, whenever they come. A caller that
		// returns soon can still get its answer on time.
		return minRetryAfter
	case ex.lastReason == cicadaseam.ReasonQueueFull, ex.lastReason == cicadaseam.ReasonQueueTimeout:
		return 0
	}
	return noTargetRetryAfter
}

// retryJitter returns a random factor between 0.75 and 1.75.
func (s *Selector) retryJitter() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 0.75 + s.rng.Float64()
}
