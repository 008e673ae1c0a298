package embed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/slot"
)

// Admission decides which requests run at one backend server, which wait for a slot and which are
// refused. It is safe for concurrent use. All requests to the backend server must go through it.
type Admission struct {
	mu               sync.Mutex
	queue            *slot.Queue
	advanceScheduled bool
}

// NewAdmission returns an Admission for a backend server that runs a number of requests at once.
func NewAdmission(slots int) *Admission { return &Admission{queue: slot.New(slots)} }

// RefusedError says that a request was not admitted. It has not run.
type RefusedError struct {
	Reason cicadaseam.Reason
	// RetryAfter is the time after which the request could probably start.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the request was refused (%s); it could start in %s", e.Reason, e.RetryAfter)
}

// Request asks for a slot.
type Request struct {
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Deadline is when the answer is late. It orders the requests of a priority.
	Deadline time.Time
	// MaxWait bounds the wait for a slot.
	MaxWait time.Duration
}

// advancePeriod is how often waiting requests are checked for the end of their wait.
const advancePeriod = 10 * time.Millisecond

// Acquire waits for a slot. The caller must call release when the request has ended. Acquire
// returns a *RefusedError, at once if the wait would be too long.
func (a *Admission) Acquire(ctx context.Context, r Request) (release func(), err error) {
	began := time.Now()
	req := &slot.Request{Rank: slot.RankBase + r.Priority, Deadline: r.Deadline, MaxWait: r.MaxWait, Admitted: make(chan bool, 1)}
	a.mu.Lock()
	decision, wait := a.queue.Admit(began, req)
	reason := cicadaseam.ReasonQueueFull
	if a.queue.Running() < a.queue.Limit() {
		reason = cicadaseam.ReasonRateLimit
	}
	if decision == slot.Queued {
		a.scheduleAdvance()
	}
	a.mu.Unlock()
	switch decision {
	case slot.Started:
		return a.releaseOnce(), nil
	case slot.Refused:
		return nil, &RefusedError{Reason: reason, RetryAfter: wait}
	}
	select {
	case admitted := <-req.Admitted:
		if !admitted {
			return nil, &RefusedError{Reason: cicadaseam.ReasonQueueTimeout, RetryAfter: a.estimateWait(req.Rank)}
		}
		return a.releaseOnce(), nil
	case <-ctx.Done():
		a.leave(req)
		return nil, &RefusedError{Reason: cicadaseam.ReasonCanceled}
	}
}

// scheduleAdvance arranges that the queue is advanced for as long as it is not empty. The lock is
// held.
func (a *Admission) scheduleAdvance() {
	if a.advanceScheduled {
		return
	}
	a.advanceScheduled = true
	time.AfterFunc(advancePeriod, a.advance)
}

// advance refuses the requests that have waited too long and starts those that now may.
func (a *Admission) advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceScheduled = false
	a.queue.Advance(time.Now())
	if a.queue.Waiting() > 0 {
		a.scheduleAdvance()
	}
}

// leave gives up a request that waits, or the slot that it has got meanwhile.
func (a *Admission) leave(req *slot.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Cancel(req) && <-req.Admitted {
		a.queue.Release(time.Now(), 0)
	}
}

func (a *Admission) estimateWait(rank int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.EstimateWait(time.Now(), rank)
}

// releaseOnce returns the function that frees the slot of a request that starts now.
func (a *Admission) releaseOnce() func() {
	began := time.Now()
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		now := time.Now()
		a.queue.Release(now, now.Sub(began))
	})
}

// SetSlots changes the number of requests that run at once.
func (a *Admission) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimit(time.Now(), n)
}

// SetRate limits the requests that start in a second; 0 removes the limit.
func (a *Admission) SetRate(perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetRate(time.Now(), perSecond)
}
