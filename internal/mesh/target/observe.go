package target

import (
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// maxKnownFields bounds the names of header fields that are remembered of an instance.
const maxKnownFields = 32

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
