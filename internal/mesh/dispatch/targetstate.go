package dispatch

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// minBackoff and maxBackoff bound the time for which a target is left out after a
	// link to it failed. That time doubles with each failure in a row. A target that
	// cannot reach its backend server is left out for half of minBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

const (
	// transitSmoothing is the weight of a new sample in the mean transit time.
	// transitHalfLife is the time in which that mean halves without a new sample.
	transitSmoothing = 0.3
	transitHalfLife  = time.Second
)

// targetState is the state of a target that this node keeps in addition to its heartbeats.
type targetState struct {
	load     cicadaseam.MeshLoad
	loadAt   time.Time
	inFlight int
	// sentSinceLoad counts the requests sent since the load was received.
	sentSinceLoad int
	linkFailures  int // in a row
	backoffUntil  time.Time
	instance      string
	// lastUsed is when a request was last sent to the target, or when it was first seen.
	lastUsed time.Time
	// confirmed is set once the target has answered since it was first seen or a link to
	// it failed last.
	confirmed bool
	busySince time.Time // when inFlight last rose from 0
	// transitTime is the mean time that a request and its answer spend on the link or in
	// a process that is short of processor time, and transitAt when it was last updated.
	transitTime time.Duration
	transitAt   time.Time
}

// state returns the state of a candidate, updated with the load of its heartbeat if
// that is newer. Another instance at the address starts without history.
func (s *Selector) state(now time.Time, c *Candidate) *targetState {
	t := s.targets[c.Addr]
	if t == nil || t.instance != c.Instance {
		inFlight := 0
		if t != nil {
			inFlight = t.inFlight
		}
		t = &targetState{instance: c.Instance, inFlight: inFlight, lastUsed: now}
		s.targets[c.Addr] = t
	}
	if c.LoadAt.After(t.loadAt) {
		t.updateLoad(c.LoadAt, c.Load)
	}
	return t
}

// updateLoad sets the load that was received at a time.
func (t *targetState) updateLoad(at time.Time, load cicadaseam.MeshLoad) {
	t.load = load
	t.loadAt = at
	t.sentSinceLoad = 0
}

// occupancy returns the number of slots of a target and the number of requests that
// have or wait for one, as they count for a nested request or another one. Nested requests go
// before those that wait.
func (t *targetState) occupancy(nested bool) (slots, occupied int) {
	if nested {
		return max(t.load.Slots, 1), t.load.InFlight + t.sentSinceLoad
	}
	return max(t.load.Slots, 1), t.load.InFlight + t.load.Queued + t.sentSinceLoad
}

// estimate returns the expected times of a request with a latency objective, as a
// Selection without its candidate.
func (t *targetState) estimate(now time.Time, objective time.Duration, nested bool) Selection {
	latency := t.load.LatencyPermille
	if latency == 0 {
		latency = defaultLatencyPermille
	}
	expected := Selection{RunTime: objective * time.Duration(latency) / permille, TransitTime: t.transitTimeAt(now)}
	if slots, occupied := t.occupancy(nested); occupied >= slots {
		expected.QueueTime = time.Duration(queueTimeFactor * float64(expected.RunTime) * float64(occupied-slots+1) / float64(slots))
	}
	expected.QueueTime = max(expected.QueueTime, t.rateWait(now))
	return expected
}

// rateWait returns how long a request waits for the rate limit of the backend server.
func (t *targetState) rateWait(now time.Time) time.Duration {
	limit := t.load.RateLimit
	if limit == nil {
		return 0
	}
	return limit.Wait - now.Sub(t.loadAt) + time.Duration(t.sentSinceLoad)*limit.Interval
}

// recordSent counts a request as sent.
func (t *targetState) recordSent(now time.Time) {
	if t.inFlight == 0 {
		t.busySince = now
	}
	t.inFlight++
	t.sentSinceLoad++
	t.lastUsed = now
}

// RecordResult updates the state of the target at addr with its answer to a request. took
// is the time from the sending of the request to the answer.
func (s *Selector) RecordResult(now time.Time, addr string, took time.Duration, answer *cicadaseam.MeshAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[addr]
	if t == nil {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	if answer.Reason == cicadaseam.ReasonLinkLost {
		t.linkFailures++
		t.confirmed = false
		t.backoffUntil = now.Add(min(minBackoff<<min(t.linkFailures-1, 8), maxBackoff))
		return
	}
	t.linkFailures = 0
	t.recordTransit(now, took, answer)
	t.confirmed = t.confirmed || answer.Reason != cicadaseam.ReasonDeadline && answer.Reason != cicadaseam.ReasonCanceled
	if answer.Load.Slots > 0 {
		t.updateLoad(now, answer.Load)
	}
	if answer.Reason == cicadaseam.ReasonBackendLost && !answer.ReachedBackend {
		t.backoffUntil = now.Add(minBackoff / 2)
	}
}

// recordTransit updates the mean transit time with an answer, or with the lack of one
// before the deadline.
func (t *targetState) recordTransit(now time.Time, took time.Duration, answer *cicadaseam.MeshAnswer) {
	sample := took - answer.QueueTime - answer.BackendTime
	if answer.Load.Slots == 0 {
		if answer.Reason != cicadaseam.ReasonDeadline {
			return
		}
		sample = took / 2 // no answer; where the request was held up is unknown
	}
	mean := t.transitTimeAt(now)
	t.transitTime = mean + time.Duration(transitSmoothing*float64(max(sample, 0)-mean))
	t.transitAt = now
}

// transitTimeAt returns the expected transit time. It decays while there are no new
// samples, so that a target that was slow to reach is tried again.
func (t *targetState) transitTimeAt(now time.Time) time.Duration {
	return time.Duration(float64(t.transitTime) * math.Exp2(-now.Sub(t.transitAt).Seconds()/transitHalfLife.Seconds()))
}
