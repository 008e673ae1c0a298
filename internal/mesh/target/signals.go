package target

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// maxKnownFields bounds the names of header fields that are remembered of an instance.
const maxKnownFields = 32

// recordSignals records what the backend server says of itself in the answer to a request that
// was sent at a time. It reports whether the instance departs with it. t.mu must be held.
func (t *Target) recordSignals(now time.Time, s *server, requestID string, sentAt time.Time, result *upstream.Result) (departed bool) {
	if result.Err != nil {
		return false
	}
	t.logNewFields(s, requestID, result)
	t.recordRateLimit(now, s, requestID, sentAt, result)
	if !s.answered {
		s.answered = true
		s.queue.SetLimit(now, s.slots())
	}
	return result.Leaving && t.recordLeaving(now, s, requestID)
}

// recordLeaving marks an instance as departed that says so in the answer to a request. It
// reports whether that is new.
func (t *Target) recordLeaving(now time.Time, s *server, requestID string) bool {
	if s.draining || t.server != s {
		return false
	}
	t.tracker.markDeparted(now, s.departure())
	s.drain(now, t.drainTime)
	t.logger.Info("backend server leaves", zap.String("request", requestID), zap.String("instance", s.id), zap.Int("running", s.queue.Running()), zap.Int("queued", s.queue.Waiting()))
	return true
}

// recordRateLimit records the rate limit in the answer to a request that was sent at a time.
func (t *Target) recordRateLimit(now time.Time, s *server, requestID string, sentAt time.Time, result *upstream.Result) {
	before := s.rateLimit.PerSecond
	changed, err := s.rateLimit.Update(now, ratelimit.Answer{SentAt: sentAt, Field: result.RateLimit, Certain: result.Sealed})
	if err != nil {
		t.logger.Warn("invalid rate limit of the backend server ignored", zap.String("request", requestID), zap.String("instance", s.id), zap.String("value", result.RateLimit), logging.Error(err))
	}
	if !changed {
		return
	}
	s.queue.SetRate(now, s.rateLimit.PerSecond)
	t.logger.Info("rate limit of the backend server changed", zap.String("request", requestID), zap.String("instance", s.id),
		zap.Float64("per-second", s.rateLimit.PerSecond), zap.Float64("before", before), zap.Int("running", s.queue.Running()), zap.Int("queued", s.queue.Waiting()))
}

// logNewFields logs the name of each header field that an instance sends for the first time.
// t.mu must be held.
func (t *Target) logNewFields(s *server, requestID string, result *upstream.Result) {
	for _, h := range result.Headers {
		if s.knownFields[h.Name] || len(s.knownFields) >= maxKnownFields {
			continue
		}
		s.knownFields[h.Name] = true
		t.logger.Info("new header field of the backend server", zap.String("request", requestID), zap.String("instance", s.id), zap.String("field", h.Name), zap.Int("status", result.Status))
	}
}

// Sent returns how many requests were sent to the backend server.
func (t *Target) Sent() int64 { return t.sent.Load() }

// RateLimit returns the rate limit of the backend server in requests a second, or 0 if it
// names none.
func (t *Target) RateLimit() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil {
		return 0
	}
	return t.server.rateLimit.PerSecond
}
