package mux

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

var (
	errPingTimeout = errors.New("ping timeout: nothing received from the peer")
	errWrite       = errors.New("write failed")
	errIdle        = errors.New("closed: idle")
	errPoolStopped = errors.New("closed: pool stopped")
)

// Counters holds the counters of a pool or a server.
type Counters struct {
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	Dials    atomic.Int64
	// PingTimeouts counts the connections that were closed because of a ping timeout.
	PingTimeouts atomic.Int64
	// DroppedFrames counts the frames of unknown or finished requests.
	DroppedFrames atomic.Int64
	// MethodBytes holds, for each method number, the bytes of requests and answers, in both
	// directions. Framing is not measured but estimated by frameOverhead.
	MethodBytes [numMethods]atomic.Int64
}

// numMethods bounds the method numbers that are counted.
const numMethods = 32

// frameOverhead is the approximate number of bytes that framing adds to a request and its
// answer together.
const frameOverhead = 40

func (c *Counters) addMethodBytes(m uint8, request, answer int) {
	if int(m) < numMethods {
		c.MethodBytes[m].Add(int64(request + answer + frameOverhead))
	}
}

// Pool holds one connection to each peer. It is safe for concurrent use.
type Pool struct {
	network           cicadaseam.Network
	answers           AnswerBudget // nil if answers are not bounded
	timers            *timer.Service
	heartbeatInterval time.Duration
	pingTimeout       time.Duration
	idleTimeout       time.Duration
	dialTimeout       time.Duration
	maxConnectWait    time.Duration
	counters          Counters

	mu    sync.Mutex
	peers map[string]*peer

	// dialCtx is the parent context of all dials. It is canceled when Run ends.
	dialCtx     context.Context
	cancelDials context.CancelFunc
}

// peer holds the connection to one address. At most one dial is in progress at a time, and it
// serves all requests that wait for the connection.
type peer struct {
	mu      sync.Mutex
	conn    *conn
	dialing chan struct{}
	dialErr error
}

// Option configures a new Pool.
type Option func(*Pool)

// WithPingTimeout sets the time after a ping within which something must be received from the
// peer. Otherwise the connection is closed.
func WithPingTimeout(d time.Duration) Option { return func(p *Pool) { p.pingTimeout = d } }

// WithHeartbeatInterval sets how often connections are checked, and the time without received
// data after which a ping is sent on a connection with pending requests.
func WithHeartbeatInterval(d time.Duration) Option { return func(p *Pool) { p.heartbeatInterval = d } }

// AnswerBudget bounds the memory of answers while they arrive. *connpool.Budget implements it.
type AnswerBudget interface {
	// Reserve reserves n more bytes for an answer of a size, and reports whether there is room.
	Reserve(n, size int64) bool
	Release(n int64)
}

// WithAnswerBudget sets the budget for answers that arrive in several frames, which other parts of the
// process may share. A request whose answer does not fit it ends with an error.
func WithAnswerBudget(b AnswerBudget) Option { return func(p *Pool) { p.answers = b } }

// WithDialTimeout bounds the time that a dial may take.
func WithDialTimeout(d time.Duration) Option { return func(p *Pool) { p.dialTimeout = d } }

// WithMaxConnectWait bounds how long a request waits for a connection to open. The dial itself
// continues, so that later requests can use the connection to a peer that is slow to accept.
// By default, only the context of the request and the dial timeout bound the wait.
func WithMaxConnectWait(d time.Duration) Option { return func(p *Pool) { p.maxConnectWait = d } }

// NewPool returns an empty pool.
func NewPool(network cicadaseam.Network, timers *timer.Service, opts ...Option) *Pool {
	p := &Pool{
		network:           network,
		timers:            timers,
		heartbeatInterval: DefaultHeartbeatInterval,
		pingTimeout:       DefaultPingTimeout,
		idleTimeout:       DefaultIdleTimeout,
		dialTimeout:       DefaultDialTimeout,
		maxConnectWait:    time.Hour, // longer than a dial takes
		peers:             map[string]*peer{},
	}
	p.dialCtx, p.cancelDials = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Counters returns the counters of the pool.
func (p *Pool) Counters() *Counters { return &p.counters }

// Run checks the connections once per heartbeat interval until the context is canceled, then
// closes them.
func (p *Pool) Run(ctx context.Context) {
	sub := p.timers.Subscribe(p.heartbeatInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			p.cancelDials()
			p.closeAll()
			return
		case now := <-sub.C:
			p.check(now)
		}
	}
}

// Request sends a message to the peer at addr and returns its answer.
func (p *Pool) Request(ctx context.Context, addr string, method uint8, payload []byte) ([]byte, error) {
	return p.RequestParts(ctx, addr, method, [][]byte{payload})
}

// RequestParts is like Request, for a payload that is the data of all parts. They must not change any
// more, even after it returned.
func (p *Pool) RequestParts(ctx context.Context, addr string, method uint8, parts [][]byte) ([]byte, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	size := frame.Size(parts)
	answer, err := c.request(ctx, method, parts)
	p.counters.addMethodBytes(method, size, len(answer))
	return answer, err
}

// connect returns a live connection to the peer at addr. It dials if there is none, or waits for
// the dial in progress.
func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	pr := p.lockPeer(addr)
	if pr.conn != nil && pr.conn.alive() {
		defer pr.mu.Unlock()
		return pr.conn, nil
	}
	if pr.dialing == nil {
		pr.dialing = make(chan struct{})
		go p.dial(addr, pr, pr.dialing)
	}
	dialing := pr.dialing
	pr.mu.Unlock()
	waitTimer := time.NewTimer(p.maxConnectWait)
	defer waitTimer.Stop()
	select {
	case <-dialing:
	case <-waitTimer.C:
		return nil, &LinkError{Peer: addr, Reason: "dial: not connected yet"}
	case <-ctx.Done():
		return nil, &LinkError{Peer: addr, Reason: "dial: " + context.Cause(ctx).Error()}
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == nil {
		return nil, &LinkError{Peer: addr, Reason: "dial: " + errorText(pr.dialErr)}
	}
	return pr.conn, nil
}

func (p *Pool) dial(addr string, pr *peer, done chan struct{}) {
	ctx, cancel := context.WithTimeout(p.dialCtx, p.dialTimeout)
	defer cancel()
	p.counters.Dials.Add(1)
	nc, err := p.network.Dial(ctx, addr)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.conn, pr.dialErr, pr.dialing = nil, err, nil
	switch {
	case err != nil:
	case p.dialCtx.Err() != nil:
		_ = nc.Close() // the dial finished after the pool had closed its connections
	default:
		pr.conn = newConn(addr, nc, &p.counters, p.answers)
	}
	close(done)
}

// lockPeer returns the peer at addr with its mutex locked. It locks that mutex while it holds
// the mutex of the pool, as check does, so that check cannot remove the peer in between.
func (p *Pool) lockPeer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[addr]
	if pr == nil {
		pr = &peer{}
		p.peers[addr] = pr
	}
	pr.mu.Lock()
	return pr
}

// check checks all connections and removes the peers without one. After a ping timeout, it pings
// all other peers, because the cause may affect their connections too.
func (p *Pool) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timedOut := false
	for addr, pr := range p.peers {
		switch pr.check(now, p) {
		case connGone:
			delete(p.peers, addr)
		case connTimedOut:
			delete(p.peers, addr)
			timedOut = true
		}
	}
	if !timedOut {
		return
	}
	for _, pr := range p.peers {
		pr.ping(now)
	}
}

// check checks the connection of a peer. The status is connGone if there is neither a connection
// nor a dial in progress, and connOK while a dial is in progress, so that the peer is kept.
func (pr *peer) check(now time.Time, p *Pool) connStatus {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == nil {
		if pr.dialing == nil {
			return connGone
		}
		return connOK
	}
	status := pr.conn.check(now, p.heartbeatInterval, p.pingTimeout, p.idleTimeout)
	if status != connOK {
		pr.conn = nil
	}
	if pr.dialing != nil {
		return connOK
	}
	return status
}

func (pr *peer) ping(now time.Time) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil {
		pr.conn.ping(now)
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.peers {
		pr.mu.Lock()
		if pr.conn != nil {
			pr.conn.fail(errPoolStopped)
		}
		pr.mu.Unlock()
	}
}

func errorText(err error) string {
	if err == nil {
		return "connection ended"
	}
	return err.Error()
}

// countingWriter adds the number of bytes written to a counter.
type countingWriter struct {
	dst   net.Conn
	count *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.dst.Write(b)
	w.count.Add(int64(n))
	return n, err
}

// countingReader adds the number of bytes read to a counter.
type countingReader struct {
	src   io.Reader
	count *atomic.Int64
}

// Read implements io.Reader.
func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.src.Read(b)
	r.count.Add(int64(n))
	return n, err
}
