package dispatch

import (
	"sync"
	"time"
)

// RetryBudgetConfig bounds the retries that the fleet as a whole makes for each service.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed for each request within Window.
	Ratio float64
	// Slack is the number of retries that the fleet may make within Window beyond that.
	Slack float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
}

const (
	// usableShare is the part of the configured budget that nodes use. The rest is left
	// for nested calls: a backend server that runs a retried request repeats the calls
	// that it makes on behalf of this request, and these repetitions are retries too.
	usableShare = 0.45
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 10
)

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	index    int64 // of the bucket, counted from the start of the budget
	requests float64
	retries  float64
}

// RetryBudget bounds the retries of one node for each service. A node may use the
// ratio of the requests that it received itself and its part of the slack, so the sum
// over the fleet stays within the configured budget without communication between
// nodes. It is safe for concurrent use.
type RetryBudget struct {
	start time.Time

	mu       sync.Mutex
	config   RetryBudgetConfig
	services map[string]*[windowBuckets]bucket
}

// NewRetryBudget returns a budget without history. Buckets are counted from start by
// the monotonic clock, so that adjustments of the wall clock have no effect.
func NewRetryBudget(start time.Time, config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, start: start, services: map[string]*[windowBuckets]bucket{}}
}

// SetConfig changes the budget. If the window changes, all counts are reset.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		b.services = map[string]*[windowBuckets]bucket{}
	}
	b.config = config
}

// RecordRequest counts a request of a caller for a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket(now, service).requests++
}

// TryAcquire reports whether the budget of this node, in a fleet of nodes, allows one
// more retry, and counts it if so.
func (b *RetryBudget) TryAcquire(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(now, service)
	requests, retries := 0.0, 0.0
	for _, bk := range b.services[service] {
		if current.index-bk.index < windowBuckets {
			requests += bk.requests
			retries += bk.retries
		}
	}
	limit := usableShare * (b.config.Ratio*requests + b.config.Slack/float64(max(nodes, 1)))
	if retries+1 > limit {
		return false
	}
	current.retries++
	return true
}

// Refund gives back to the budget a retry that reached no backend server.
func (b *RetryBudget) Refund(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(now, service)
	current.retries = max(current.retries-1, 0)
}

// currentBucket returns the current bucket of a service, which it clears first if it is
// one of an earlier window. The lock is held.
func (b *RetryBudget) currentBucket(now time.Time, service string) *bucket {
	ring := b.services[service]
	if ring == nil {
		ring = &[windowBuckets]bucket{}
		b.services[service] = ring
	}
	index := int64(now.Sub(b.start)/(b.config.Window/windowBuckets)) + 1
	current := &ring[index%windowBuckets]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}
