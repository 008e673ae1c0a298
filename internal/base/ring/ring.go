// Package ring provides bounded event queues between goroutines.
//
// # Model
//
// Producers push events, and one goroutine receives them from a channel. The policy of a ring
// says what happens when it is full: the new event is rejected, or the oldest one is dropped.
// Dropped counts the lost events in both cases, so that no loss goes unnoticed.
//
// # Usage
//
//	r := ring.New(256, ring.Reject)
//	ok := r.Push(event)
//	event, ok := <-r.Events()
package ring

import (
	"sync"
	"sync/atomic"
)

// Policy is what a full ring does with a new event.
type Policy uint8

// Policies of a ring.
const (
	// Reject makes Push return false.
	Reject Policy = iota
	// DropOldest drops the oldest event to make room.
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

// New returns a Ring that holds up to size events.
func New(size int, policy Policy) *Ring {
	return &Ring{events: make(chan any, size), policy: policy}
}

// Push adds an event. It returns false if the event is rejected because the ring is full or
// closed.
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

// Events returns the channel from which the consumer receives. After Close, the channel
// delivers the events that are still queued and is then closed.
func (r *Ring) Events() <-chan any { return r.events }

// Len returns the number of queued events.
func (r *Ring) Len() int { return len(r.events) }

// Dropped returns the number of events that were rejected or dropped because the ring was full.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }

// Close closes the ring. Later pushes are rejected.
func (r *Ring) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.events)
}
