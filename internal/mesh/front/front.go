// Package front is the HTTP/1.1 server for callers.
//
// # Model
//
// Each connection has a goroutine that reads requests and one that writes replies,
// joined by a bounded queue. Pipelined requests run concurrently, and their replies are
// written in the order of the requests. A caller that closes its connection cancels all
// its requests in flight at once.
//
// A connection is closed only between a complete reply and the next request: the last
// reply announces it with "Connection: close", and a request that the caller sends
// before it has read that is not passed to the handler.
//
// # Invariants
//
//   - Replies are complete, and in the order of their requests.
//   - A request that was read is answered, unless its caller has closed the connection. So is
//     one that has arrived when the server shuts down.
//   - After a reply that closes the connection, no request from it is passed to the
//     handler.
//   - The number of idle connections is bounded, however often callers open new ones.
//   - The requests in progress stay within a budget. A request that does not arrive, or not soon, gives
//     way to others: its caller is told that it did not run.
//   - The number of connections is bounded. When there are too many, those whose requests do not
//     arrive are closed first, then unused ones and idle ones. One with a request in progress is never
//     closed for another.
//
// # Usage
//
//	s := front.New(handler, front.WithLimits(limits))
//	go s.Serve(listener)
//	s.Drain()
//	s.StopAccepting(listener)
//	s.Shutdown(ctx)
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// Handler returns the reply to a request. The context ends when the caller closes its
// connection or the server cancels its requests.
type Handler func(ctx context.Context, r *dispatch.Request) *dispatch.Reply

const (
	// Defaults of the limits that the configuration does not set.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 60 * time.Second

	// largestHeaderBytes and largestBodyBytes bound these limits, so that a request always
	// fits into a message of a link.
	largestHeaderBytes = 8 << 20
	largestBodyBytes   = 64 << 20

	// DefaultBudget is the budget in bytes of a server without WithBudget. With the budget for
	// responses and the connections, it fits the smallest process, which has 184 MB.
	DefaultBudget = 40 << 20
	// DefaultMaxConns is the number of connections of a server without WithMaxConns.
	DefaultMaxConns = 1024
	// A connection on which deepPipeline requests are in progress gets a receive buffer of
	// deepReadBuffer bytes: what it holds unread counts as memory of the process, and nothing is read
	// while maxPipelined replies are pending.
	deepPipeline   = 8
	deepReadBuffer = 64 << 10
	// maxEvicting bounds the evicted connections whose callers get a reply.
	maxEvicting = 128
	// noMemoryRetryAfter is when the caller of a request that did not fit the budget is to come back.
	noMemoryRetryAfter = "0.500"
	// firstChunked is what is reserved first for a body of unknown length, in bytes.
	firstChunked = 4 << 10

	// defaultBodyTimeout bounds how long a caller may take to send a body.
	defaultBodyTimeout = 30 * time.Second
	// writeTimeout bounds how long a caller may take to read a reply.
	writeTimeout = 20 * time.Second
	// maxPipelined bounds the queue of pending replies of a connection. No further
	// request is started while it is full.
	maxPipelined = 32
	// closePollInterval is the time between two looks whether the caller has closed a connection from
	// which no request is read.
	closePollInterval = 100 * time.Millisecond
	// maxKeptConns is the number of open connections beyond which each is closed after its
	// next reply. Callers that retry on new connections would otherwise use up the
	// descriptors and the memory of the process.
	maxKeptConns = 512
	// minAcceptDelay and maxAcceptDelay bound the pause after a connection could not be
	// accepted, for instance for lack of descriptors. It doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
	// lingerTimeout is how long a connection is still read after its last reply, so that
	// the reply is not lost to a reset.
	lingerTimeout = 200 * time.Millisecond
	// firstRequestTimeout is how long a connection may take at a shutdown to send its first
	// request. When all processors of a machine are busy, a request can arrive more than 100 ms
	// after its connection.
	firstRequestTimeout = 500 * time.Millisecond
	// requestLineAllowance is how many bytes the request line may have beside the header.
	requestLineAllowance = 4 << 10
)

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	handler Handler
	limits  func() cicadaseam.Limits
	budget  *budget.Budget         // of the requests in progress
	replies cicadaseam.ReplyBudget // nil if replies are not counted
	// onDelayed is called with the route of a reply that was ready on time and is delivered late
	// behind earlier ones.
	onDelayed func(route string)

	draining atomic.Bool
	inFlight atomic.Int64 // requests that are not answered yet
	// evictions counts the connections that were closed for others.
	evictions atomic.Int64

	// workCtx ends when the requests in flight are canceled.
	workCtx    context.Context
	cancelWork context.CancelFunc

	mu           sync.Mutex
	maxConns     int
	bodyTimeout  time.Duration
	conns        map[*conn]bool
	evicting     int // connections that are evicted and not closed yet
	shuttingDown bool
	wg           sync.WaitGroup // of the connections
	accepting    sync.WaitGroup // of Serve
}

// Option changes a new Server.
type Option func(*Server)

// WithLimits sets the function that returns the limits in force.
func WithLimits(f func() cicadaseam.Limits) Option { return func(s *Server) { s.limits = f } }

// WithBudget sets the budget for the requests in progress, which other parts of the process may share.
// A request that does not fit it is refused. The default is a budget of DefaultBudget bytes of its own.
func WithBudget(b *budget.Budget) Option { return func(s *Server) { s.budget = b } }

// WithReplyBudget sets the budget that replies count in until they are written. A caller that reads
// none holds memory: what uses the same budget admits less then.
func WithReplyBudget(b cicadaseam.ReplyBudget) Option { return func(s *Server) { s.replies = b } }

// WithMaxConns sets how many connections may be open. The default, also for 0, is DefaultMaxConns.
func WithMaxConns(n int) Option {
	return func(s *Server) {
		if n > 0 {
			s.maxConns = n
		}
	}
}

// WithBodyTimeout sets how long a caller may take to send a body. The default is 30 s.
func WithBodyTimeout(d time.Duration) Option { return func(s *Server) { s.bodyTimeout = d } }

// WithOnDelayed sets a function that is called with the route of each reply that was ready within
// its latency objective and is delivered after it, because replies to earlier requests of the
// connection go first.
func WithOnDelayed(f func(route string)) Option { return func(s *Server) { s.onDelayed = f } }

// New returns a server that passes requests to handler.
func New(handler Handler, opts ...Option) *Server {
	s := &Server{
		handler:     handler,
		limits:      func() cicadaseam.Limits { return cicadaseam.Limits{} },
		budget:      budget.New(DefaultBudget),
		maxConns:    DefaultMaxConns,
		bodyTimeout: defaultBodyTimeout,
		onDelayed:   func(string) {},
		conns:       map[*conn]bool{},
	}
	s.workCtx, s.cancelWork = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Serve accepts connections until the listener is closed. Any other failure to accept one
// is temporary.
func (s *Server) Serve(l net.Listener) {
	s.accepting.Add(1)
	defer s.accepting.Done()
	delay := time.Duration(0)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			time.Sleep(delay)
			continue
		}
		delay = 0
		s.startConn(nc)
	}
}

func (s *Server) startConn(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evictFor(time.Now()) {
		_ = nc.Close() // nothing was read from it
		return
	}
	c := newConn(s, nc)
	s.conns[c] = true
	c.closeIfIdle = s.shuttingDown
	s.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.evicting--
	}
}

// Close closes all connections at once. It does not wait for handlers.
func (s *Server) Close() {
	s.CancelRequests()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel()
		_ = c.nc.Close() // it is given up
	}
}

// Evictions returns how many connections were closed for others.
func (s *Server) Evictions() int64 { return s.evictions.Load() }

// isCrowded reports whether more connections are open than are kept between requests.
func (s *Server) isCrowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > maxKeptConns
}

// InFlight returns the number of requests that are not answered yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Drain makes each connection accept at most one more request and close after its last
// reply. Idle connections stay open for that request until Shutdown. New connections are
// still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// CancelRequests cancels the requests in flight. Their handlers still reply, so that the
// replies that are ready behind theirs are delivered too.
func (s *Server) CancelRequests() { s.cancelWork() }

// Shutdown drains the server and closes the connections that have no request in flight and
// on which none has arrived. A connection that was accepted just now may still send one.
// Shutdown waits until the other connections are closed too, or the context ends. It
// returns false if the context ended first.
func (s *Server) Shutdown(ctx context.Context) bool {
	s.Drain()
	s.mu.Lock()
	s.shuttingDown = true
	for c := range s.conns {
		c.closeWhenIdle()
	}
	s.mu.Unlock()
	return wait.Group(ctx, &s.wg)
}

// effectiveLimits returns the limits in force, with the defaults for those not set and
// within what links can carry.
func (s *Server) effectiveLimits() cicadaseam.Limits {
	l := s.limits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.MaxHeaderBytes = min(l.MaxHeaderBytes, largestHeaderBytes)
	l.MaxBodyBytes = min(l.MaxBodyBytes, largestBodyBytes)
	return l
}
