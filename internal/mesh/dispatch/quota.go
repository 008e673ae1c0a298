package dispatch

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
)

// Quota bounds the requests of each customer over all nodes. Implementations are safe for
// concurrent use.
type Quota interface {
	// Acquire takes a token for a request of a customer, which is nil if the request has none.
	Acquire(ctx context.Context, c *cicadaseam.Customer) quota.Decision
	// Return returns the token of a request that did not run.
	Return(c *cicadaseam.Customer, d quota.Decision)
}

type noQuota struct{}

func (noQuota) Acquire(context.Context, *cicadaseam.Customer) quota.Decision {
	return quota.Decision{OK: true}
}

func (noQuota) Return(*cicadaseam.Customer, quota.Decision) {}

// WithQuota sets the quotas of the customers.
func WithQuota(q Quota) Option { return func(d *Dispatcher) { d.quota = q } }

// tryWithToken takes a token of the customer, tries targets, and returns the token if the request
// did not run.
func (d *Dispatcher) tryWithToken(ctx context.Context, ex *exchange, customer *cicadaseam.Customer) (*Reply, string, cicadaseam.Reason) {
	decision := d.quota.Acquire(ctx, customer)
	switch {
	case decision.NotReady:
		return d.refuse(ex, cicadaseam.ReasonNotReady, decision.RetryAfter), cicadaseam.OutcomeNotRun.String(), cicadaseam.ReasonNotReady
	case !decision.OK:
		d.logger.Debug("request over the quota", zap.String("request", ex.call.ID), zap.String("customer", customer.Name), zap.Duration("retry-after", decision.RetryAfter))
		return retryReply(http.StatusTooManyRequests, roundUp(decision.RetryAfter)), cicadaseam.OutcomeNotRun.String(), cicadaseam.ReasonQuota
	}
	reply, outcome, reason := d.tryTargets(ctx, ex)
	if outcome == cicadaseam.OutcomeNotRun.String() {
		d.quota.Return(customer, decision)
	}
	return reply, outcome, reason
}

// roundUp returns a duration in whole milliseconds, so that a caller which waits for it finds a
// token.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - time.Nanosecond).Truncate(time.Millisecond)
}
