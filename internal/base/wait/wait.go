// Package wait has the few ways in which duties wait.
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

// maxShift keeps a doubled delay from overflowing.
const maxShift = 20

// Sleep waits for a time. It returns false when the context ended before.
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

// Group waits for a group. It returns false when the context ended before.
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

// Backoff returns a delay that is exponential in the attempt, capped, with full
// jitter: any time from 0 to the bound. random returns a number below its
// argument.
func Backoff(random func(int64) int64, attempt int, first, limit time.Duration) time.Duration {
	bound := min(first<<min(attempt, maxShift), limit)
	return time.Duration(random(int64(bound)))
}
