package slot

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadaseam/cicadaseam"
)

// burstTime is the time for which unused starts are kept while a rate limit holds. It is
// longer than the period in which the owner of a queue calls Advance.
const burstTime = 50 * time.Millisecond

// SetRate limits the requests that start in a second; 0 removes the limit and starts queued
// requests in the free slots.
func (q *Queue) SetRate(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		q.rate = nil
		q.startQueued(now)
		return
	}
	burst := 1 + int(math.Ceil(perSecond*burstTime.Seconds()))
	if q.rate == nil {
		q.rate = rate.NewLimiter(rate.Limit(perSecond), burst)
		q.rate.AllowN(now, burst) // the server has enough requests already
		return
	}
	q.rate.SetLimitAt(now, rate.Limit(perSecond))
	q.rate.SetBurstAt(now, burst)
}

// RateLimit returns the state of the rate limit, or nil if there is none.
func (q *Queue) RateLimit(now time.Time) *cicadaseam.MeshRateLimit {
	if q.rate == nil {
		return nil
	}
	return &cicadaseam.MeshRateLimit{Interval: q.rateInterval(), Wait: q.rateWait(now, q.queued)}
}

// rateInterval returns the time between two starts that the rate limit allows.
func (q *Queue) rateInterval() time.Duration {
	return time.Duration(float64(time.Second) / float64(q.rate.Limit()))
}

// rateWait returns how long a request waits for the rate limit behind a number of others.
func (q *Queue) rateWait(now time.Time, ahead int) time.Duration {
	if q.rate == nil {
		return 0
	}
	missing := float64(ahead+1) - q.rate.TokensAt(now)
	return time.Duration(max(missing, 0) * float64(q.rateInterval()))
}

// takeStart reports whether the rate limit allows one more request to start now, and counts
// it if so.
func (q *Queue) takeStart(now time.Time) bool { return q.rate == nil || q.rate.AllowN(now, 1) }
