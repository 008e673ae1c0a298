package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
)

// again decides whether an answer leaves the request open for another target.
func (d *Dispatcher) again(ctx context.Context, x *exchange, choice *Choice, a *cicadaseam.MeshAnswer) bool {
	if a.ReachedBackend {
		x.offered++
	}
	x.lastCause = a.Reason
	x.queued, x.ran = a.QueueTime, a.BackendTime
	switch a.Outcome {
	case cicadaseam.OutcomeRan:
		if a.Status < http.StatusInternalServerError || !x.route.Idempotent {
			return false
		}
		x.failure = a
	case cicadaseam.OutcomeNotRun:
		x.room = max(x.room, a.RetryAfter)
		if a.Reason == cicadaseam.ReasonQueueFull {
			x.refusals++
		}
	default:
		x.unknown = true
		if !x.route.Idempotent {
			return false
		}
	}
	more := ctx.Err() == nil && x.offered < max(x.route.MaxAttempts, 1)
	d.logger.Info("attempt failed", zap.String("request", x.call.ID), zap.String("route", x.route.Name), zap.String("target", choice.Candidate.Node),
		zap.Stringer("outcome", a.Outcome), zap.String("reason", string(a.Reason)), zap.Int("status", a.Status),
		zap.Duration("queued", a.QueueTime), zap.Duration("ran", a.BackendTime), zap.Duration("room", a.RetryAfter), zap.Bool("again", more),
		zap.Duration("age", choice.Candidate.age(time.Now())), zap.Duration("way", choice.Way), zap.Uint64("revision", x.revision))
	return more
}

func (c *Candidate) age(now time.Time) time.Duration { return now.Sub(c.Heard) }

// settle turns the last answer into a reply.
func (d *Dispatcher) settle(x *exchange, a *cicadaseam.MeshAnswer) (*Reply, string, cicadaseam.Reason) {
	if a.Outcome == cicadaseam.OutcomeRan {
		return relay(a), a.Outcome.String(), cicadaseam.ReasonNone
	}
	return d.giveUp(x)
}

// relay passes an answer of a backend server on.
func relay(a *cicadaseam.MeshAnswer) *Reply {
	return &Reply{Status: a.Status, Headers: a.Headers, Body: a.Body}
}

// giveUp answers a request that no backend server answered.
func (d *Dispatcher) giveUp(x *exchange) (*Reply, string, cicadaseam.Reason) {
	reason := x.lastCause
	if reason == cicadaseam.ReasonNone {
		reason = cicadaseam.ReasonNoTarget
	}
	if x.failure != nil {
		return relay(x.failure), cicadaseam.OutcomeRan.String(), reason
	}
	if !x.unknown {
		return d.refuse(x, reason, d.returnAfter(x)), cicadaseam.OutcomeNotRun.String(), reason
	}
	status := http.StatusBadGateway
	if reason == cicadaseam.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	d.logger.Info("request lost", zap.String("request", x.call.ID), zap.String("service", x.call.Service), zap.String("route", x.route.Name), zap.Bool("nested", x.nested),
		zap.String("reason", string(reason)), zap.Int("status", status), zap.Duration("took", time.Since(x.arrived)), zap.Uint64("revision", x.revision))
	return &Reply{Status: status}, cicadaseam.OutcomeUnknown.String(), reason
}

// refuse answers that a request did not run and when to come back.
func (d *Dispatcher) refuse(x *exchange, reason cicadaseam.Reason, after time.Duration) *Reply {
	if x != nil {
		d.logger.Info("request refused", zap.String("request", x.call.ID), zap.String("service", x.call.Service), zap.String("route", x.route.Name), zap.Bool("nested", x.nested),
			zap.String("reason", string(reason)), zap.Duration("retry-after", after), zap.Int("targets", len(x.asked)), zap.Int("passed-over", x.passed),
			zap.Bool("returning", x.returning), zap.Duration("took", time.Since(x.arrived)), zap.Uint64("revision", x.revision))
	}
	value := strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	return &Reply{Status: http.StatusServiceUnavailable, Headers: []cicadaseam.Header{{Name: "Retry-After", Value: value}}}
}
