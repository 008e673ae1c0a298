// Package ring joins duties by bounded queues.
//
// # Model
//
// Each duty is a goroutine. Rings carry events between duties and each ring
// says what happens when it is full: the new event is refused, or the oldest
// one is dropped. Dropped counts events that were lost either way, so that no
// loss goes unseen.
//
// # Usage
//
//	r := ring.New(256, ring.Refuse)
//	ok := r.Push(event)
//	event, ok := <-r.Events()
package ring

import (
	"sync"
	"sync/atomic"
)

// Policy says what a full ring does.
type Policy uint8

// The policies.
const (
	// Refuse makes Push return false.
	Reject Policy = iota
	// DropOldest makes room by dropping the oldest event.
	DropOldest
)

// Ring is a bounded queue. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	events  chan any
	policy  Policy
	closed  bool
	dropped atomic.Int64
}

// New returns a ring for size events.
func New(size int, policy Policy) *Ring {
	return &Ring{events: make(chan any, size), policy: policy}
}

// Push adds an event. It returns false when the event was refused because the
// ring is full or closed.
func (r *Ring) Push(event any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	select {
	case r.events <- event:
		return true
	default:
	}
	r.dropped.Add(1)
	if r.policy == Reject {
		return false
	}
	select {
	case <-r.events:
	default:
	}
	r.events <- event
	return true
}

// Events returns the channel of the consumer. It is closed by Close after the
// events that are still queued.
func (r *Ring) Events() <-chan any { return r.events }

// Len returns the number of queued events.
func (r *Ring) Len() int { return len(r.events) }

// Dropped returns how many events were refused or dropped.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }

// Close ends the ring. Later pushes are refused.
func (r *Ring) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.events)
}
