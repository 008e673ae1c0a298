// Package ratelimit limits the requests that start in a second to what a backend server names in
// its answers.
//
// # Model
//
// A Limiter is a token bucket. Unused starts are kept for BurstTime only, so that over any time
// no more requests start than the limit allows in it, and a small burst. Without a limit, every
// request may start.
//
// A Named follows the limit that the answers of a server name. Answers may overtake each other:
// a limit is raised or ended only by the answer to a request that was sent after the last answer
// that named it.
//
// # Usage
//
//	if changed, err := named.Update(now, answer); changed { limiter.Set(now, named.PerSecond) }
//	if limiter.Take(now) { ... } // start a request
package ratelimit

import (
	"math"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	// BurstTime is the time for which unused starts are kept. It is longer than the period in
	// which owners look for requests that may start now.
	BurstTime = 50 * time.Millisecond
	// minPerSecond is the lowest limit that is applied, in requests a second. Only an answer can
	// end a limit, so a few requests are needed even if the server wants none.
	minPerSecond = 0.25
)

// Limiter limits the rate of starts. The zero value has no limit. It reads no clock and is not
// safe for concurrent use.
type Limiter struct {
	bucket *rate.Limiter // nil without a limit
}

// Set changes the limit to a number of requests a second; 0 removes it.
func (l *Limiter) Set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		l.bucket = nil
		return
	}
	burst := 1 + int(math.Ceil(perSecond*BurstTime.Seconds()))
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(now, burst) // the server has enough requests already
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
}

// IsSet reports whether there is a limit.
func (l *Limiter) IsSet() bool { return l.bucket != nil }

// Interval returns the time between two starts, or 0 without a limit.
func (l *Limiter) Interval() time.Duration {
	if l.bucket == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / float64(l.bucket.Limit()))
}

// Wait returns how long a request waits behind a number of others.
func (l *Limiter) Wait(now time.Time, ahead int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(ahead+1) - l.bucket.TokensAt(now)
	return time.Duration(max(missing, 0) * float64(l.Interval()))
}

// Take reports whether one more request may start now, and counts it if so.
func (l *Limiter) Take(now time.Time) bool { return l.bucket == nil || l.bucket.AllowN(now, 1) }

// Named is the limit that a server named last.
type Named struct {
	// PerSecond is the number of requests a second, or 0 without a limit.
	PerSecond float64
	namedAt   time.Time // when the last answer that named it arrived
}

// Answer is the answer of a server to one request.
type Answer struct {
	SentAt time.Time // of the request
	// Field is the header field with the limit, or empty.
	Field string
	// Certain is set if the answer surely comes from the server. Any other one can only lower the
	// limit.
	Certain bool
}

// Update applies an answer that arrives now. It reports whether the limit changed. A value that
// is no limit changes nothing.
func (n *Named) Update(now time.Time, a Answer) (changed bool, err error) {
	perSecond, err := parse(a.Field)
	if err != nil {
		return false, err
	}
	if perSecond == n.PerSecond {
		n.namedAt = now
		return false, nil
	}
	lower := perSecond > 0 && (n.PerSecond == 0 || perSecond < n.PerSecond)
	if !lower && (a.SentAt.Before(n.namedAt) || !a.Certain) {
		return false, nil
	}
	*n = Named{PerSecond: perSecond, namedAt: now}
	return true, nil
}

// parse returns the limit in a header field, or 0 if the field is empty.
func parse(field string) (float64, error) {
	if field == "" {
		return 0, nil
	}
	perSecond, err := strconv.ParseFloat(field, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, &ValueError{Value: field}
	}
	return max(perSecond, minPerSecond), nil
}

// ValueError reports a number that is no rate limit.
type ValueError struct{ Value string }

// Error implements error.
func (e *ValueError) Error() string { return e.Value + " is no rate limit" }
