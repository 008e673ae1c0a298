package dispatch

import (
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// returningAfter is the least time that a caller has spent when its request is
	// taken for one that returns.
	returningAfter = 20 * time.Millisecond
	// maxHabits bounds the routes whose callers' deadlines are kept.
	maxHabits = 4096

	notReadyRetry = 500 * time.Millisecond
	noTargetRetry = 300 * time.Millisecond
	leastRetry    = 50 * time.Millisecond
	// returnShare is the largest part of the time that a caller has left for which
	// it is sent away: callers cut longer ones.
	returnShare = 1.0 / 3
)

// habits learns the time that the callers of each route begin with.
type habits struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newHabits() *habits { return &habits{longest: map[string]time.Duration{}} }

// spent returns how much of its time a caller with left has used before.
func (h *habits) spent(route string, left time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest, known := h.longest[route]
	if !known && len(h.longest) >= maxHabits {
		h.longest = map[string]time.Duration{}
	}
	if left > longest {
		h.longest[route] = left
		return 0
	}
	return longest - left
}

// returnAfter returns when the caller of a refused request should come back: when
// some target expects to have room, spread so that those who were refused together
// do not return together.
func (d *Dispatcher) returnAfter(x *exchange) time.Duration {
	room := x.room
	if room <= 0 && x.lastCause != cicadaseam.ReasonQueueFull && x.lastCause != cicadaseam.ReasonQueueTimeout {
		room = noTargetRetry
	}
	after := max(time.Duration(d.placer.spread()*float64(room)), leastRetry)
	limit := time.Duration(returnShare * float64(x.left-time.Since(x.arrived)))
	return max(min(after, limit), 0)
}

// spread returns a factor between 0.75 and 1.75.
func (p *Placer) spread() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 0.75 + p.rng.Float64()
}
