package runner

import (
	"context"
	"sync"
	"time"
)

// pool keeps the connections to one backend server, the last used first, so
// that a quiet time lets the others grow old and go.
type pool struct {
	// tokens bounds the connections in use.
	tokens chan struct{}

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

func newPool(connections int) *pool {
	return &pool{tokens: make(chan struct{}, connections)}
}

// acquire waits until one more connection may be in use.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.tokens <- struct{}{}:
		return nil
	default:
	}
	select {
	case p.tokens <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (p *pool) release() { <-p.tokens }

// get returns a kept connection that is still good, or nil. Old ones and broken
// ones are closed on the way.
func (p *pool) get(now time.Time) *conn {
	p.expire(now)
	for {
		c := p.pop()
		if c == nil || c.usable() {
			return c
		}
		c.close()
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// put keeps a connection.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.used = time.Now()
	p.idle = append(p.idle, c)
}

// expire closes connections that were not used for long. The oldest is first.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].used) > idleTimeout {
		p.idle[old].close()
		old++
	}
	if old > 0 {
		p.idle = append([]*conn(nil), p.idle[old:]...)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
