// Package timer is the source of periodic events in a process.
//
// # Model
//
// Components subscribe with a period and receive ticks on a channel of their own. A subscriber
// that falls behind gets one tick, not the ones it missed. Ticks carry the current time, so
// that a state machine driven by them reads no clock. The first tick comes after a random part
// of the period, so that nodes that start at the same time do not act in lockstep.
//
// # Usage
//
//	svc := timer.New(rng)
//	go svc.Run(ctx)
//	sub := svc.Subscribe(time.Second)
//	defer sub.Stop()
//	for now := range sub.C { ... }
package timer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Subscription is a subscription to a periodic event.
type Subscription struct {
	// C carries the ticks.
	C       <-chan time.Time
	c       chan time.Time
	period  time.Duration
	next    time.Time
	index   int // in the heap of the service; -1 after Stop
	service *Service
}

// Stop cancels the subscription. C is not closed.
func (s *Subscription) Stop() {
	s.service.remove(s)
}

// Service delivers ticks to its subscribers.
type Service struct {
	mu   sync.Mutex
	rng  *rand.Rand
	subs subHeap
	wake chan struct{} // makes Run look at the next tick again
}

// New returns a Service that draws the time of first ticks from rng.
func New(rng *rand.Rand) *Service {
	return &Service{rng: rng, wake: make(chan struct{}, 1)}
}

// Subscribe adds a subscription with a period.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan time.Time, 1)
	first := time.Duration(s.rng.Int64N(int64(period))) + 1
	sub := &Subscription{C: c, c: c, period: period, next: time.Now().Add(first), service: s}
	heap.Push(&s.subs, sub)
	s.signal()
	return sub
}

// Run delivers ticks until the context ends.
func (s *Service) Run(ctx context.Context) {
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	for {
		next.Reset(s.deliver(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-next.C:
		}
	}
}

// deliver sends the ticks that are due and returns the time until the next one.
func (s *Service) deliver(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.subs) > 0 && !s.subs[0].next.After(now) {
		sub := s.subs[0]
		select {
		case sub.c <- now:
		default:
		}
		sub.next = now.Add(sub.period)
		heap.Fix(&s.subs, 0)
	}
	if len(s.subs) == 0 {
		return time.Hour
	}
	return s.subs[0].next.Sub(now)
}

func (s *Service) remove(sub *Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index < 0 {
		return
	}
	heap.Remove(&s.subs, sub.index)
	sub.index = -1
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// subHeap is a heap.Interface that orders subscriptions by their next tick.
type subHeap []*Subscription

func (h subHeap) Len() int           { return len(h) }
func (h subHeap) Less(i, j int) bool { return h[i].next.Before(h[j].next) }

func (h subHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *subHeap) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*h)
	*h = append(*h, sub)
}

// Pop implements heap.Interface.
func (h *subHeap) Pop() any {
	old := *h
	sub := old[len(old)-1]
	*h = old[:len(old)-1]
	return sub
}
