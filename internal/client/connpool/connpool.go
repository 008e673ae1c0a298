// Package connpool pools the connections to one backend server and sends requests on
// them.
//
// # Model
//
// A connection carries one request at a time. It is kept after a complete response that
// no further data follows, and checked before it is used again: a connection that the server
// has closed, or on which it sent unsolicited data, is dropped, and no byte of a request
// is lost with it. The connection that was used last is taken first, so that the others
// reach their idle timeout when there is little traffic.
//
// A server may send a second copy of a response when the connection is in use again. The
// copy is recognised by the ID of its request, so a connection carries no two requests with
// the same ID. A user of the pool must not Put a connection after a response without an ID,
// if its server echoes the ID of each request. On a connection on which the server has echoed an ID,
// a response without one belongs to no request, see Conn.Echoes.
//
// The goroutine of a request writes the request and reads the response itself. Only a
// body that may not fit the socket buffers is written by another goroutine, since a
// server may respond before it has read the whole body.
//
// # Invariants
//
//   - A request is written on one connection, once.
//   - Exchange reports sent unless no byte of the request was written.
//   - A request whose context ends closes its connection.
//   - A connection to a server that is gone without a sign fails within seconds, however
//     long its request may run.
//
// # Usage
//
//	pool := connpool.New("10.0.0.9:8080", 5*time.Second)
//	c, err := pool.Get(ctx, time.Now(), time.Hour, requestID)
//	sent, reusable := c.Exchange(ctx, size, write, read)
//	if reusable { pool.Put(time.Now(), c) }
package connpool

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/client/netio"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// checkPeriod is how often idle connections are checked. The server may close one, or send
	// on it without end.
	checkPeriod = time.Second
	// defaultBudget is the budget, in bytes, of a pool without WithBudget.
	defaultBudget = 64 << 20
)

// DialFunc opens a connection to the server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Pool holds the idle connections to one server. It is safe for concurrent use.
type Pool struct {
	addr        string
	idleTimeout time.Duration
	dial        DialFunc
	dials       atomic.Int64
	budget      *Budget

	mu     sync.Mutex
	idle   []*Conn // in the order of their last use
	closed bool
	// checkScheduled is set while idle connections are due to be checked.
	checkScheduled bool
}

// Option configures a new Pool.
type Option func(*Pool)

// WithDialer sets how connections are opened. The default is TCP.
func WithDialer(d DialFunc) Option { return func(p *Pool) { p.dial = d } }

// WithBudget sets the budget for the response bodies in progress, which other pools may share.
// The default is a budget of defaultBudget bytes of its own.
func WithBudget(b *Budget) Option { return func(p *Pool) { p.budget = b } }

// New returns an empty pool for the server at addr. A connection may be idle for
// idleTimeout, unless Conn.SetIdleTimeout changes that.
func New(addr string, idleTimeout time.Duration, opts ...Option) *Pool {
	d := netio.NewDialer(dialTimeout)
	p := &Pool{addr: addr, idleTimeout: idleTimeout, budget: NewBudget(defaultBudget), dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Addr returns the address of the server.
func (p *Pool) Addr() string { return p.addr }

// Dials returns how many times a connection was opened for a request, including failed
// attempts.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// HasUsable reports whether the next request would reuse a connection.
func (p *Pool) HasUsable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	return len(p.idle) > 0 && p.idle[len(p.idle)-1].usable()
}

// Probe opens a connection to see whether the server accepts it, and closes it again.
func (p *Pool) Probe(ctx context.Context) error {
	nc, err := p.dial(ctx, p.addr)
	if err != nil {
		return errors.Wrapf(err, "connect to backend server %s", p.addr)
	}
	return nc.Close()
}

// Get returns a connection that was idle for at most maxIdle, or a new one. id is the ID of
// the request for which it is used, or empty. A connection that has carried a request with
// the same ID is not returned.
func (p *Pool) Get(ctx context.Context, now time.Time, maxIdle time.Duration, id string) (*Conn, error) {
	hash := hashID(id)
	if c := p.takeIdle(now, maxIdle, hash); c != nil {
		c.carried = append(c.carried, hash)
		return c, nil
	}
	p.dials.Add(1)
	nc, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to backend server %s", p.addr)
	}
	c := newConn(nc, p.idleTimeout, p.budget)
	c.carried = append(c.carried, hash)
	return c, nil
}

// takeIdle removes the most recently used connection that is usable for a request with an
// ID from the pool, or returns nil.
func (p *Pool) takeIdle(now time.Time, maxIdle time.Duration, id uint64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.lastUsed) > maxIdle {
			return nil // the others have been idle for even longer
		}
		if !c.accepts(id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if now.Sub(c.lastUsed) <= c.idleTimeout && c.usable() {
			return c
		}
		c.close()
	}
	return nil
}

// Put returns a connection to the pool. Exchange must have reported it as reusable.
func (p *Pool) Put(now time.Time, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(c.carried) >= maxRequests {
		c.close()
		return
	}
	c.lastUsed = now
	p.idle = append(p.idle, c)
	p.expire(now)
	p.scheduleCheck()
}

// scheduleCheck arranges that idle connections are checked after checkPeriod. The lock is held.
func (p *Pool) scheduleCheck() {
	if p.checkScheduled || len(p.idle) == 0 {
		return
	}
	p.checkScheduled = true
	time.AfterFunc(checkPeriod, p.checkIdle)
}

// checkIdle closes the idle connections that have expired, that the server has closed, or on
// which it sent unsolicited data.
func (p *Pool) checkIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkScheduled = false
	p.expire(time.Now())
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if c.usable() {
			return false
		}
		c.close()
		return true
	})
	p.scheduleCheck()
}

// expire closes connections that were idle for longer than their idle timeout, from the
// least recently used one on. The lock is held.
func (p *Pool) expire(now time.Time) {
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].lastUsed) > p.idle[expired].idleTimeout {
		p.idle[expired].close()
		expired++
	}
	if expired > 0 {
		p.idle = append([]*Conn(nil), p.idle[expired:]...)
	}
}

// Close closes the idle connections. Connections that are put back later are closed too.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
