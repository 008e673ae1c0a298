package target

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	permille = 1000
	// initialLatencyShare is reported before there are any samples.
	initialLatencyShare = 0.33
	// warmUpFactor is how many times slower than initialLatencyShare a backend server
	// without samples is assumed to be while it warms up.
	warmUpFactor = 2.0
	// failureSmoothing is the weight of a new outcome in the failure share.
	failureSmoothing = 0.1
	// minSamples is the number of samples below which a mean is not used to predict how long a
	// request runs.
	minSamples = 20
	// failureHalfLife is the time in which the failure share halves without new
	// outcomes.
	failureHalfLife = 2 * time.Second
)

// stats holds moving averages of what the backend server did with its requests.
type stats struct {
	runTimes     runTimes
	active       activeRuns
	failureShare float64 // share of recent requests that failed, as of decayedAt
	decayedAt    time.Time
}

func (s *stats) recordSuccess(now time.Time, call *cicadaseam.MeshCall, took time.Duration) {
	s.decay(now)
	s.failureShare *= 1 - failureSmoothing
	s.runTimes.add(now, call, took)
}

func (s *stats) recordFailure(now time.Time) {
	s.decay(now)
	s.failureShare += failureSmoothing * (1 - s.failureShare)
}

// decay ages the failure share to now.
func (s *stats) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		s.failureShare *= math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(failureHalfLife))
	}
	s.decayedAt = now
}

// latencyPermille returns the latency share in thousandths, or an assumed one while
// there are no samples. While the server is stalled, new requests wait for the end of the stall
// too. It is expected to last as long again as the running requests have waited.
func (s *stats) latencyPermille(now, warmUpUntil time.Time) int {
	share := s.runTimes.latencyShare.value
	if s.runTimes.latencyShare.samples == 0 {
		share = initialLatencyShare
		if now.Before(warmUpUntil) {
			share *= warmUpFactor
		}
	}
	if overdue, stalled := s.active.stall(now); stalled {
		share += overdue
	}
	return int(permille * share)
}

// failurePermille returns the failure share in thousandths.
func (s *stats) failurePermille(now time.Time) int {
	s.decay(now)
	return int(permille * s.failureShare)
}
