package target

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// Guard hears of requests that ran well and of those that ran at a crash.
type Guard interface {
	RecordCrash(now time.Time, crash string, fingerprints []uint64)
	RecordSuccess(now time.Time, fingerprint uint64)
}

type noGuard struct{}

func (noGuard) RecordCrash(time.Time, string, []uint64) {}

func (noGuard) RecordSuccess(time.Time, uint64) {}

// WithGuard sets who hears of crashes.
func WithGuard(g Guard) Option { return func(t *Target) { t.guard = g } }

// Runs reports whether a request runs here now.
func (t *Target) IsRunning(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running[id] > 0
}

// mark counts a request as running or no longer so.
func (t *Target) mark(s *server, call *cicadaseam.MeshCall, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[call.ID] += by; t.running[call.ID] <= 0 {
		delete(t.running, call.ID)
	}
	if s.work[call.Fingerprint] += by; s.work[call.Fingerprint] <= 0 {
		delete(s.work, call.Fingerprint)
	}
}

// crashTimeout bounds the question whether a backend server still listens.
const crashTimeout = 300 * time.Millisecond

// look finds out whether a backend server crashed under a request whose connection
// broke. A server that only closed the connection still listens.
func (t *Target) look(s *server, result *upstream.Result) {
	if result.Err == nil || !result.Sent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	if !s.client.RefusesConnections(ctx) {
		return
	}
	t.mu.Lock()
	now := time.Now()
	known := now.Before(s.downUntil)
	s.downUntil = now.Add(downFirst)
	s.queue.RefuseAll()
	s.crashes++
	crash := fmt.Sprintf("%s/%d", s.instance.ID, s.crashes)
	prints := make([]uint64, 0, len(s.work))
	for f := range s.work {
		prints = append(prints, f)
	}
	t.mu.Unlock()
	if known {
		return // another request has told of this crash
	}
	t.logger.Info("backend server crashed", zap.String("crash", crash), zap.Int("running", len(prints)))
	t.guard.RecordCrash(now, crash, prints)
	t.changed()
}
