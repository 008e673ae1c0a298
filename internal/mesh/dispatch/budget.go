package dispatch

import (
	"math"
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
	// arrivalBuckets is the number of buckets that a retry may take until it reaches its
	// backend server: it may wait in a queue first.
	arrivalBuckets = 2
	// ringBuckets is the number of buckets that are kept: the current window, the one
	// before it, and the current bucket in addition.
	ringBuckets = 2*windowBuckets + arrivalBuckets
	// clearDifference is the number of standard deviations of a count by which it must exceed
	// another one to count as larger.
	clearDifference = 3
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
	services map[string]*[ringBuckets]bucket
}

// NewRetryBudget returns a budget without history. Buckets are counted from start by
// the monotonic clock, so that adjustments of the wall clock have no effect.
func NewRetryBudget(start time.Time, config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, start: start, services: map[string]*[ringBuckets]bucket{}}
}

// SetConfig changes the budget. If the window changes, all counts are reset.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		b.services = map[string]*[ringBuckets]bucket{}
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
// more retry, and counts it if so. The retry must fit into each window that it belongs to.
func (b *RetryBudget) TryAcquire(now time.Time, service string, nodes int, nested bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(now, service)
	h := newHistory(b.services[service], current.index)
	slack := b.config.Slack * min(float64(now.Sub(b.start))/float64(b.config.Window), 1) / float64(max(nodes, 1))
	for age := 1; age <= windowBuckets; age++ {
		limit := b.config.Ratio*h.requestsFor(age) + slack
		if !nested {
			limit *= outerShare
		}
		if h.retries(age+arrivalBuckets)+1 > limit {
			return false
		}
	}
	current.retries++
	return true
}

// history holds the sums of the requests and retries of the last buckets: element n is that
// of the n newest ones.
type history struct {
	requestSums, retrySums [ringBuckets + 1]float64
}

func newHistory(ring *[ringBuckets]bucket, index int64) *history {
	h := &history{}
	for age := range int64(ringBuckets) {
		h.requestSums[age+1], h.retrySums[age+1] = h.requestSums[age], h.retrySums[age]
		if i := index - age; i > 0 && ring[i%ringBuckets].index == i {
			h.requestSums[age+1] += ring[i%ringBuckets].requests
			h.retrySums[age+1] += ring[i%ringBuckets].retries
		}
	}
	return h
}

// retries returns the retries of the n newest buckets.
func (h *history) retries(n int) float64 { return h.retrySums[min(n, ringBuckets)] }

// requestsFor returns the requests that allow the retries of the window which began age
// buckets ago. The rule takes the most of those of that window, of the one before it and
// of the one half a window before it, over the whole fleet. If each node took the most of
// its own, random differences would add up to more. So a node takes an earlier window that
// it knows in full, and its own only if that has clearly more requests.
func (h *history) requestsFor(age int) float64 {
	earlier := h.requestSums[age+windowBuckets] - h.requestSums[age]
	if age >= windowBuckets/2 {
		earlier = h.requestSums[age+windowBuckets/2] - h.requestSums[age-windowBuckets/2]
	}
	own := h.requestSums[age]
	if own-earlier > clearDifference*math.Sqrt(own) {
		return own
	}
	return earlier
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
	if bk := &ring[index%ringBuckets]; bk.index == index {
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
		ring = &[ringBuckets]bucket{}
		b.services[service] = ring
	}
	index := b.bucketIndex(now)
	current := &ring[index%ringBuckets]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}
