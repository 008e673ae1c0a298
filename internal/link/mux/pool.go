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
)

var (
	errSilent = errors.New("silent: no byte within the silence time")
	errWrite  = errors.New("write failed")
	errIdle   = errors.New("closed: idle")
	errClosed = errors.New("closed: pool ended")
)

// Counters count what a pool or a server did.
type Counters struct {
	BytesIn       atomic.Int64
	BytesOut      atomic.Int64
	Dials         atomic.Int64
	PingTimeouts  atomic.Int64
	DroppedFrames atomic.Int64
	// Methods are the bytes of messages by the number of their method, both
	// ways, without framing.
	MethodBytes [maxMethods]atomic.Int64
}

// maxMethods bounds the numbers of methods.
const maxMethods = 32

// frameOverhead is about what framing adds to a message and its answer.
const frameOverhead = 40

func (c *Counters) addMethod(m uint8, request, answer int) {
	if int(m) < maxMethods {
		c.MethodBytes[m].Add(int64(request + answer + frameOverhead))
	}
}

// Pool holds one connection to each peer.
type Pool struct {
	network     cicadaseam.Network
	timers      *timer.Service
	heartbeat   time.Duration
	silence     time.Duration
	idle        time.Duration
	dialTimeout time.Duration
	patience    time.Duration
	counts      Counters

	mu    sync.Mutex
	peers map[string]*peer

	// life ends when Run ends, and with it every dial.
	life context.Context
	end  context.CancelFunc
}

// peer is the way to one address. Its mutex makes one dial serve all waiters.
type peer struct {
	mu      sync.Mutex
	conn    *conn
	dialing chan struct{}
	dialErr error
}

// Option changes a new Pool.
type Option func(*Pool)

// WithSilence sets the time after which a connection without a byte from the
// peer is replaced.
func WithPingTimeout(d time.Duration) Option { return func(p *Pool) { p.silence = d } }

// WithHeartbeat sets the period of heartbeats on connections in use.
func WithHeartbeatInterval(d time.Duration) Option { return func(p *Pool) { p.heartbeat = d } }

// WithDialTimeout bounds a dial.
func WithDialTimeout(d time.Duration) Option { return func(p *Pool) { p.dialTimeout = d } }

// WithPatience bounds how long a request waits for a connection to open. The dial goes
// on, so that a peer that is slow to accept serves later requests.
func WithMaxConnectWait(d time.Duration) Option { return func(p *Pool) { p.patience = d } }

// NewPool returns an empty pool.
func NewPool(network cicadaseam.Network, timers *timer.Service, opts ...Option) *Pool {
	p := &Pool{
		network:     network,
		timers:      timers,
		heartbeat:   DefaultHeartbeatInterval,
		silence:     DefaultPingTimeout,
		idle:        DefaultIdleTimeout,
		dialTimeout: DefaultDialTimeout,
		patience:    time.Hour,
		peers:       map[string]*peer{},
	}
	p.life, p.end = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Counters returns the counters of the pool.
func (p *Pool) Counters() *Counters { return &p.counts }

// Run checks the connections until the context ends, then closes them.
func (p *Pool) Run(ctx context.Context) {
	sub := p.timers.Subscribe(p.heartbeat)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			p.end()
			p.closeAll()
			return
		case now := <-sub.C:
			p.check(now)
		}
	}
}

// Request sends a message to the peer at addr and returns its answer.
func (p *Pool) Request(ctx context.Context, addr string, method uint8, payload []byte) ([]byte, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	answer, err := c.request(ctx, method, payload)
	p.counts.addMethod(method, len(payload), len(answer))
	return answer, err
}

// connect returns a live connection; one dial serves all that wait.
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
	patience := time.NewTimer(p.patience)
	defer patience.Stop()
	select {
	case <-dialing:
	case <-patience.C:
		return nil, &LinkError{Peer: addr, Reason: "dial: not open yet"}
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
	ctx, cancel := context.WithTimeout(p.life, p.dialTimeout)
	defer cancel()
	p.counts.Dials.Add(1)
	nc, err := p.network.Dial(ctx, addr)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.conn, pr.dialErr, pr.dialing = nil, err, nil
	switch {
	case err != nil:
	case p.life.Err() != nil:
		_ = nc.Close() // it came after the pool had closed the others
	default:
		pr.conn = newConn(addr, nc, &p.counts)
	}
	close(done)
}

// lockPeer returns the peer at addr with its lock held. The check holds both
// locks in the same order, so that no peer in use is forgotten.
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

func (p *Pool) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := false
	for addr, pr := range p.peers {
		switch pr.check(now, p) {
		case verdictDrop:
			delete(p.peers, addr)
		case verdictSilent:
			delete(p.peers, addr)
			silent = true
		}
	}
	if !silent {
		return
	}
	for _, pr := range p.peers {
		pr.ping(now)
	}
}

// check drops a peer that has neither a connection nor a dial.
func (pr *peer) check(now time.Time, p *Pool) verdict {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == nil {
		if pr.dialing == nil {
			return verdictDrop
		}
		return verdictKeep
	}
	v := pr.conn.check(now, p.heartbeat, p.silence, p.idle)
	if v != verdictKeep {
		pr.conn = nil
	}
	if pr.dialing != nil {
		return verdictKeep
	}
	return v
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
			pr.conn.fail(errClosed)
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

// countingWriter counts the bytes written to a connection.
type countingWriter struct {
	nc net.Conn
	n  *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.nc.Write(b)
	w.n.Add(int64(n))
	return n, err
}

// countingReader counts the bytes read from a connection.
type countingReader struct {
	nc io.Reader
	n  *atomic.Int64
}

// Read implements io.Reader.
func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.nc.Read(b)
	r.n.Add(int64(n))
	return n, err
}
