// Package wait has helpers for waiting with a context, and for retry delays.
//
// # Usage
//
//	if !wait.Sleep(ctx, wait.Backoff(rng.Int64N, attempt, first, limit)) { return }
//	done := wait.Group(ctx, &inFlight)
package wait

import (
	"context"
	"sync"
	"time"
)

// maxShift bounds the number of times that a delay is doubled, so that it does not overflow.
const maxShift = 20

// Sleep waits for a duration. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Group waits for a WaitGroup. It returns false if the context ends first.
func Group(ctx context.Context, g *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() {
		g.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Backoff returns a delay for an attempt, counted from 0. It is a capped exponential backoff
// with full jitter: the bound is first, doubled for each attempt, but at most limit, and the
// delay is uniform between 0 and the bound. random returns a random number from 0 up to but not
// including its argument.
func Backoff(random func(int64) int64, attempt int, first, limit time.Duration) time.Duration {
	bound := min(first<<min(attempt, maxShift), limit)
	return time.Duration(random(int64(bound)))
}
