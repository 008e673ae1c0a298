package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// recordAnswer records the answer of a target and reports whether another target is to
// be tried.
func (d *Dispatcher) recordAnswer(ctx context.Context, ex *exchange, selected *Selection, a *cicadaseam.MeshAnswer) bool {
	if a.ReachedBackend {
		ex.reachedBackends++
	}
	ex.lastReason = a.Reason
	ex.queueTime, ex.backendTime = a.QueueTime, a.BackendTime
	switch a.Outcome {
	case cicadaseam.OutcomeRan:
		if a.Status < http.StatusInternalServerError || !ex.route.Idempotent {
			return false
		}
		ex.lastFailure = a
	case cicadaseam.OutcomeNotRun:
		ex.retryAfter = max(ex.retryAfter, a.RetryAfter)
		if isLackOfRoom(a.Reason) {
			ex.refusals++
		}
		ex.rejected = ex.rejected || a.Reason == cicadaseam.ReasonBackendRejected
	default:
		ex.outcomeUnknown = true
		if !ex.route.Idempotent {
			return false
		}
	}
	retry := ctx.Err() == nil && a.Reason != cicadaseam.ReasonQuarantine && ex.reachedBackends < max(ex.route.MaxAttempts, 1) && !a.CallRefused
	d.logger.Info("attempt failed", zap.String("request", ex.call.ID), zap.String("route", ex.route.Name), zap.String("target", selected.Candidate.Node), zap.String("version", selected.Candidate.Version),
		zap.Stringer("outcome", a.Outcome), zap.String("reason", string(a.Reason)), zap.Int("status", a.Status),
		zap.Duration("queued", a.QueueTime), zap.Duration("ran", a.BackendTime), zap.Duration("room", a.RetryAfter), zap.Bool("again", retry),
		zap.Duration("age", selected.Candidate.loadAge(time.Now())), zap.Duration("way", selected.TransitTime), zap.Uint64("revision", ex.revision))
	return retry
}

// isLackOfRoom reports whether a target refused a request because it has too little room.
func isLackOfRoom(r cicadaseam.Reason) bool {
	return r == cicadaseam.ReasonQueueFull || r == cicadaseam.ReasonQueueTimeout || r == cicadaseam.ReasonRateLimit
}

// loadAge returns how old the reported load of a candidate is.
func (c *Candidate) loadAge(now time.Time) time.Duration { return now.Sub(c.LoadAt) }

// replyWith turns the last answer into a reply, with the outcome and the reason for the
// metrics.
func (d *Dispatcher) replyWith(ex *exchange, a *cicadaseam.MeshAnswer) (*Reply, string, cicadaseam.Reason) {
	if a.Outcome == cicadaseam.OutcomeRan {
		return relay(a), a.Outcome.String(), cicadaseam.ReasonNone
	}
	return d.giveUp(ex)
}

// relay returns the answer of a backend server as a reply.
func relay(a *cicadaseam.MeshAnswer) *Reply {
	return &Reply{Status: a.Status, Headers: a.Headers, Body: a.Body}
}

// giveUp returns the reply to a request for which no further target is tried: the last
// answer of a backend server that ran it and failed if there is one, a refusal if nothing
// ran, and a gateway error if the outcome is unknown.
func (d *Dispatcher) giveUp(ex *exchange) (*Reply, string, cicadaseam.Reason) {
	reason := ex.lastReason
	if reason == cicadaseam.ReasonNone {
		reason = cicadaseam.ReasonNoTarget
	}
	if ex.lastFailure != nil {
		return relay(ex.lastFailure), cicadaseam.OutcomeRan.String(), reason
	}
	if !ex.outcomeUnknown {
		return d.refuse(ex, reason, d.retryAfter(ex)), cicadaseam.OutcomeNotRun.String(), reason
	}
	status := http.StatusBadGateway
	if reason == cicadaseam.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	d.logger.Info("request lost", zap.String("request", ex.call.ID), zap.String("service", ex.call.Service), zap.String("route", ex.route.Name), zap.Bool("nested", ex.nested),
		zap.String("reason", string(reason)), zap.Int("status", status), zap.Duration("took", time.Since(ex.arrived)), zap.Uint64("revision", ex.revision))
	return &Reply{Status: status}, cicadaseam.OutcomeUnknown.String(), reason
}

// refuse returns a 503 reply, which says that the request did not run. Its Retry-After
// header holds the time after which the caller may retry, in seconds with three decimals.
// ex is nil before the route is known.
func (d *Dispatcher) refuse(ex *exchange, reason cicadaseam.Reason, after time.Duration) *Reply {
	if ex != nil {
		d.logger.Info("request refused", zap.String("request", ex.call.ID), zap.String("service", ex.call.Service), zap.String("route", ex.route.Name), zap.Bool("nested", ex.nested),
			zap.String("reason", string(reason)), zap.Duration("retry-after", after), zap.Int("targets", len(ex.tried)), zap.Int("probed", len(ex.probed)), zap.Int("passed-over", ex.skipped),
			zap.Bool("returning", ex.callerRetry), zap.Duration("timeout", ex.callerTimeout), zap.Duration("took", time.Since(ex.arrived)), zap.Uint64("revision", ex.revision))
	}
	return retryReply(http.StatusServiceUnavailable, after)
}

// retryReply returns a reply that tells the caller when to retry, in seconds with three decimals.
func retryReply(status int, after time.Duration) *Reply {
	value := strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	return &Reply{Status: status, Headers: []cicadaseam.Header{{Name: "Retry-After", Value: value}}}
}
