package dispatch

import (
	"sync"
	"time"
)

// Allowance is what the fleet as a whole may repeat.
type RetryBudgetConfig struct {
	// Ratio is the repeats allowed for each request in Window.
	Ratio float64
	// Slack is the number of repeats that the fleet may make in Window beyond that.
	Slack  float64
	Window time.Duration
}

const (
	// spendShare is the part of the allowance that is spent, since the calls of a
	// repeated request are repeats too.
	spendShare = 0.45
	parts      = 10
)

// part counts the requests and repeats of one part of the window.
type part struct {
	index    int64
	requests float64
	repeats  float64
}

// Budget bounds the repeats of one node, service by service. Each node spends by
// the requests that it took itself and its part of the slack, so that the sum over
// the fleet stays within the allowance without an exchange between nodes.
type RetryBudget struct {
	start time.Time

	mu       sync.Mutex
	allow    RetryBudgetConfig
	services map[string]*[parts]part
}

// NewBudget returns a budget without history. Times are told from start by the
// steady clock, so that steps of the time of day change nothing.
func NewRetryBudget(start time.Time, allow RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{allow: allow, start: start, services: map[string]*[parts]part{}}
}

// SetAllowance changes what the fleet may repeat. Another window starts the counts
// anew.
func (b *RetryBudget) SetAllowance(allow RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if allow.Window != b.allow.Window {
		b.services = map[string]*[parts]part{}
	}
	b.allow = allow
}

// Request counts a request of a caller for a service.
func (b *RetryBudget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now, service).requests++
}

// Take reports whether one more repeat fits, in a fleet of nodes, and counts it.
func (b *RetryBudget) Take(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now, service)
	requests, repeats := 0.0, 0.0
	for _, p := range b.services[service] {
		if current.index-p.index < parts {
			requests += p.requests
			repeats += p.repeats
		}
	}
	limit := spendShare * (b.allow.Ratio*requests + b.allow.Slack/float64(max(nodes, 1)))
	if repeats+1 > limit {
		return false
	}
	current.repeats++
	return true
}

// Return gives back a repeat that reached no backend server.
func (b *RetryBudget) Return(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.at(now, service)
	p.repeats = max(p.repeats-1, 0)
}

// at returns the current part of a service. The lock is held.
func (b *RetryBudget) at(now time.Time, service string) *part {
	ring := b.services[service]
	if ring == nil {
		ring = &[parts]part{}
		b.services[service] = ring
	}
	index := int64(now.Sub(b.start)/(b.allow.Window/parts)) + 1
	p := &ring[index%parts]
	if p.index != index {
		*p = part{index: index}
	}
	return p
}
