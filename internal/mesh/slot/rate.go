package slot

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// SetRate limits the requests that start in a second; 0 removes the limit and starts queued
// requests in the free slots.
func (q *Queue) SetRate(now time.Time, perSecond float64) {
	q.rate.Set(now, perSecond)
	q.startQueued(now)
}

// RateLimit returns the state of the rate limit, or nil if there is none.
func (q *Queue) RateLimit(now time.Time) *cicadaseam.MeshRateLimit {
	if !q.rate.IsSet() {
		return nil
	}
	return &cicadaseam.MeshRateLimit{Interval: q.rate.Interval(), Wait: q.rate.Wait(now, q.queued)}
}
