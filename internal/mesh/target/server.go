package target

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/ratelimit"
	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
	"github.com/cicadaseam/cicadaseam/internal/mesh/upstream"
)

// server is the current instance with its connections, queue and statistics. Except for
// id and client, which never change, it is protected by Target.mu.
type server struct {
	id        string              // of the instance
	instance  cicadaseam.Instance // its latest announcement
	client    *upstream.Client
	queue     *slot.Queue
	stats     stats
	lastHeard time.Time
	draining  bool
	// endsAt is when the server may exit, if it is draining.
	endsAt   time.Time
	answered bool // a request
	// backoffUntil is when a server that refused a connection or crashed is tried again.
	backoffUntil     time.Time
	connectFailures  int // since the last success: connections that could not be opened
	warmUpUntil      time.Time
	advanceScheduled bool
	rateLimit        ratelimit.Named
	// runningFingerprints counts the running requests by fingerprint.
	runningFingerprints map[uint64]int
	// knownFields are the names of the header fields that the server has sent.
	knownFields map[string]bool
	// crashedAt is when a crash was noticed, until a request that was sent later is answered.
	crashedAt time.Time
}

// slots returns the number of requests that may run at the server.
func (s *server) slots() int {
	if s.answered {
		return s.instance.Slots
	}
	return min(s.instance.Slots, unknownSlots)
}

// drain records that the server is to exit. It serves for drainTime after that is acknowledged.
// Target.mu must be held.
func (s *server) drain(now time.Time, drainTime time.Duration) {
	s.draining = true
	s.endsAt = now.Add(drainTime)
	s.queue.EndBy(now, s.endsAt)
}

// unavailableReason returns why a server gets no new request, or ReasonNone. t.mu must be held.
func (t *Target) unavailableReason(now time.Time, s *server) cicadaseam.Reason {
	switch {
	case !t.departuresKnown():
		return cicadaseam.ReasonNotReady
	case s.draining:
		return cicadaseam.ReasonDraining
	case now.Sub(s.lastHeard) > t.lease:
		return cicadaseam.ReasonNoTarget
	case now.Before(s.backoffUntil):
		return cicadaseam.ReasonBackendLost
	}
	return cicadaseam.ReasonNone
}

func (s *server) load(now time.Time) cicadaseam.MeshLoad {
	return cicadaseam.MeshLoad{
		InFlight:        s.queue.Running() + s.queue.Kept(),
		Queued:          s.queue.Waiting(),
		Slots:           max(s.instance.Slots, 1),
		LatencyPermille: s.stats.latencyPermille(now, s.warmUpUntil),
		FailurePermille: s.stats.failurePermille(now),
		RateLimit:       s.queue.RateLimit(now),
	}
}

func (s *server) departure() cicadaseam.Departure {
	return cicadaseam.Departure{ID: s.id, StartUnixMilli: s.instance.StartUnixMilli}
}
