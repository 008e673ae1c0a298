package target

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// Guard records which requests succeeded and which were running at a crash of the
// backend server, and refuses those that crash it.
type Guard interface {
	// RecordCrash takes the fingerprints of the requests that were running at a crash.
	// crash identifies the crash among those of all backend servers.
	RecordCrash(now time.Time, crash string, fingerprints []uint64)
	RecordSuccess(now time.Time, fingerprint uint64)
	// Refused reports whether a request is refused, and for how much longer.
	Refused(now time.Time, fingerprint uint64) (time.Duration, bool)
}

type noGuard struct{}

func (noGuard) RecordCrash(time.Time, string, []uint64) {}

func (noGuard) RecordSuccess(time.Time, uint64) {}

func (noGuard) Refused(time.Time, uint64) (time.Duration, bool) { return 0, false }

// WithGuard sets the Guard that records crashes and successful requests.
func WithGuard(g Guard) Option { return func(t *Target) { t.guard = g } }

// WithProcess sets the ID of this process among those of all nodes and their restarts. It is part
// of the IDs of crashes.
func WithProcess(id uint64) Option { return func(t *Target) { t.process = id } }

// nextCrashID returns the ID of the next crash. A backend server may start again under the ID that it
// had, and a node beside it too, so that neither the server's ID nor a count of its crashes tells two
// crashes apart: the process counts the crashes of all servers that it sees. t.mu must be held.
func (t *Target) nextCrashID() string {
	t.crashCount++
	return strconv.FormatUint(t.process, 36) + "/" + strconv.Itoa(t.crashCount)
}

// runningRequest counts the current runs of one request at the backend server.
type runningRequest struct {
	runs    int
	retries int // of runs
	// callRefused is set if a call for it was refused for lack of retry budget.
	callRefused bool
}

// Running reports whether the request with this ID is running at the backend server, and
// whether one of its runs is a retry.
func (t *Target) Running(id string) (running, isRetry bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[id]
	return r.runs > 0, r.retries > 0
}

// RecordRefusedCall records that a call for the request with this ID was refused for lack of
// retry budget.
func (t *Target) RecordRefusedCall(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.running[id]; ok {
		r.callRefused = true
		t.running[id] = r
	}
}

// trackRunning adds delta to the counts of running requests with the ID and the
// fingerprint of call.
func (t *Target) trackRunning(s *server, call *cicadaseam.MeshCall, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[call.ID]
	r.runs += delta
	if call.Retry {
		r.retries += delta
	}
	t.running[call.ID] = r
	if r.runs <= 0 {
		delete(t.running, call.ID)
	}
	if s.runningFingerprints[call.Fingerprint] += delta; s.runningFingerprints[call.Fingerprint] <= 0 {
		delete(s.runningFingerprints, call.Fingerprint)
	}
}

// crashProbeTimeout bounds the connection attempt that shows whether the backend
// server still listens.
const crashProbeTimeout = 300 * time.Millisecond

// crashNoticeTime is how long after a crash the requests that it broke notice it. A backend server
// takes longer to start again.
const crashNoticeTime = time.Second

// detectLoss checks whether the backend server is still there after the connection of a
// request broke. A server that only closed the connection still accepts new ones.
func (t *Target) detectLoss(s *server, result *upstream.Result) {
	if result.Err == nil || !result.Sent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	switch s.client.Probe(ctx) {
	case upstream.Refusing:
		t.recordCrash(s)
	case upstream.Unreachable:
		t.recordUnreachable(s)
	}
}

// recordUnreachable stops sending requests to a backend server that does not answer. Those
// that are queued can run elsewhere.
func (t *Target) recordUnreachable(s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.backOff(time.Now())
	t.logger.Info("backend server unreachable", zap.String("instance", s.id), zap.Int("running", s.queue.Running()), zap.Int("failures", s.connectFailures))
}

// recordCrash stops sending requests to a backend server that crashed, and records which
// requests it was running.
func (t *Target) recordCrash(s *server) {
	t.mu.Lock()
	now := time.Now()
	if !s.crashedAt.IsZero() && now.Sub(s.crashedAt) < crashNoticeTime {
		t.mu.Unlock()
		return // another request has reported this crash
	}
	s.crashedAt = now
	s.backoffUntil = now.Add(minBackoff)
	s.queue.RefuseAll()
	crash := t.nextCrashID()
	start := s.instance.StartUnixMilli
	fingerprints := make([]uint64, 0, len(s.runningFingerprints))
	for f := range s.runningFingerprints {
		fingerprints = append(fingerprints, f)
	}
	t.mu.Unlock()
	t.logger.Info("backend server crashed", zap.String("crash", crash), zap.String("instance", s.id), zap.Int64("born", start), zap.Int("running", len(fingerprints)))
	t.guard.RecordCrash(now, crash, fingerprints)
	t.onChange()
}
