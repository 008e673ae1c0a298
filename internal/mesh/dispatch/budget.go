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
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 10
	// retryBuckets is the number of buckets over which retries are counted. They cover at
	// least the window and one bucket more, because a retry may wait in a queue before it
	// reaches its backend server. Requests are counted over windowBuckets, which cover at
	// most the window.
	retryBuckets = windowBuckets + 2
	// outerShare is the part of the budget that requests of callers may use. The rest is
	// for nested calls: if one of these fails, the whole run of the outer request was in
	// vain.
	outerShare = 0.8
)

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	index    int64 // of the bucket, counted from the start of the budget
	requests float64
	retries  float64
}

// RetryBudget bounds the retries of one node for each service. A retry is each time that a
// request is sent to a backend server after an earlier attempt of it may have reached one,
// and each attempt of a nested call whose outer run is a retry.
//
// A node may use the ratio of the requests that it received itself and its part of the
// slack, so the sum over the fleet stays within the configured budget without
// communication between nodes, as long as no node takes the fleet for smaller than it is.
// A process earns its part of the slack over its first window, because the process before
// it may have used the same part. It is safe for concurrent use.
type RetryBudget struct {
	start time.Time

	mu       sync.Mutex
	config   RetryBudgetConfig
	services map[string]*[retryBuckets]bucket
}

// NewRetryBudget returns a budget without history. Buckets are counted from start by
// the monotonic clock, so that adjustments of the wall clock have no effect.
func NewRetryBudget(start time.Time, config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, start: start, services: map[string]*[retryBuckets]bucket{}}
}

// SetConfig changes the budget. If the window changes, all counts are reset.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		b.services = map[string]*[retryBuckets]bucket{}
	}
	b.config = config
}

// RecordRequest counts a request for a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket(now, service).requests++
}

// TryAcquire reports whether the budget of this node, in a fleet of nodes, allows one
// more retry, and counts it if so.
func (b *RetryBudget) TryAcquire(now time.Time, service string, nodes int, nested bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(now, service)
	requests, retries := 0.0, 0.0
	for _, bk := range b.services[service] {
		age := current.index - bk.index
		if age < retryBuckets {
			retries += bk.retries
		}
		if age < windowBuckets {
			requests += bk.requests
		}
	}
	slack := b.config.Slack * min(float64(now.Sub(b.start))/float64(b.config.Window), 1)
	limit := b.config.Ratio*requests + slack/float64(max(nodes, 1))
	if !nested {
		limit *= outerShare
	}
	if retries+1 > limit {
		return false
	}
	current.retries++
	return true
}

// Refund gives back a retry that was acquired at a time and reached no backend server.
func (b *RetryBudget) Refund(acquired time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ring := b.services[service]
	if ring == nil {
		return
	}
	index := b.bucketIndex(acquired)
	if bk := &ring[index%retryBuckets]; bk.index == index {
		bk.retries = max(bk.retries-1, 0)
	}
}

// bucketIndex returns the index of the bucket of a time, counted from 1.
func (b *RetryBudget) bucketIndex(t time.Time) int64 {
	return int64(t.Sub(b.start)/(b.config.Window/windowBuckets)) + 1
}

// currentBucket returns the current bucket of a service, which it clears first if it is
// one of an earlier window. The lock is held.
func (b *RetryBudget) currentBucket(now time.Time, service string) *bucket {
	ring := b.services[service]
	if ring == nil {
		ring = &[retryBuckets]bucket{}
		b.services[service] = ring
	}
	index := b.bucketIndex(now)
	current := &ring[index%retryBuckets]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}
