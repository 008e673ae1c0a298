// Package connpool holds the connections to one backend server and carries requests on
// them.
//
// # Model
//
// A connection carries one request at a time. It is kept after a whole answer with
// nothing behind it, and looked at before it is used again: one that the server has
// closed, or on which it said something unasked, is dropped, and no byte of a request
// is lost with it. The last used one is taken first, so that in a quiet time the
// others grow old and go.
//
// The goroutine of the request writes it and reads the answer itself. Only a body
// that may not fit the buffers of the sockets is written beside, since a server may
// answer before it has read all of it.
//
// # Invariants
//
//   - A request is written on one connection, once.
//   - Exchange reports sent unless no byte of the request was written.
//   - A request whose context ends ends its connection.
//
// # Usage
//
//	pool := connpool.New("10.0.0.9:8080", 5*time.Second)
//	c, err := pool.Get(ctx, time.Now(), time.Hour)
//	sent, reusable := c.Exchange(ctx, size, write, read)
//	if reusable { pool.Put(time.Now(), c) }
package connpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const dialTimeout = time.Second

// Dialer opens connections to the server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Pool is safe for concurrent use.
type Pool struct {
	addr  string
	life  time.Duration
	dial  DialFunc
	dials atomic.Int64

	mu     sync.Mutex
	idle   []*Conn // the last used one is the last
	closed bool
}

// Option changes a new Pool.
type Option func(*Pool)

// WithDialer replaces TCP.
func WithDialer(d DialFunc) Option { return func(p *Pool) { p.dial = d } }

// New returns a pool without connections. A connection is idle for at most life,
// unless what its server said changes that.
func New(addr string, life time.Duration, opts ...Option) *Pool {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	p := &Pool{addr: addr, life: life, dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Addr returns the address of the server.
func (p *Pool) Addr() string { return p.addr }

// Dials returns how many connections were opened for requests.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Idle returns how many connections are kept.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Usable reports whether the next request would use a kept connection.
func (p *Pool) HasUsable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	return len(p.idle) > 0 && p.idle[len(p.idle)-1].usable()
}

// Try opens a connection only to see whether it opens.
func (p *Pool) Probe(ctx context.Context) error {
	nc, err := p.dial(ctx, p.addr)
	if err != nil {
		return errors.Wrapf(err, "connect to backend server %s", p.addr)
	}
	return nc.Close()
}

// Get returns a kept connection that was idle for limit at most, or a new one.
func (p *Pool) Get(ctx context.Context, now time.Time, limit time.Duration) (*Conn, error) {
	if c := p.kept(now, limit); c != nil {
		return c, nil
	}
	p.dials.Add(1)
	nc, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to backend server %s", p.addr)
	}
	return newConn(nc, p.life), nil
}

func (p *Pool) kept(now time.Time, limit time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if now.Sub(c.used) > limit {
			return nil // so are all that were used before it
		}
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if now.Sub(c.used) <= c.life && c.usable() {
			return c
		}
		c.close()
	}
	return nil
}

// Put keeps a connection whose exchange was reusable.
func (p *Pool) Put(now time.Time, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.used = now
	p.idle = append(p.idle, c)
	p.expire(now)
}

// expire closes connections that were idle for too long. The oldest is first. The
// lock is held.
func (p *Pool) expire(now time.Time) {
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].used) > p.idle[old].life {
		p.idle[old].close()
		old++
	}
	if old > 0 {
		p.idle = append([]*Conn(nil), p.idle[old:]...)
	}
}

// Close drops the idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
